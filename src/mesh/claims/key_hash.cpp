#include "mesh/claims/key_hash.hpp"

#include <xxhash.h>

#include <charconv>

namespace rackroute::mesh {

KeyHash hashOfKey(std::string_view key) {
  const XXH128_hash_t hash = XXH3_128bits(key.data(), key.size());
  return {hash.high64, hash.low64};
}

std::string textOf(const KeyHash& keyHash) {
  static constexpr char kDigits[] = "0123456789abcdef";
  std::string text(32, '0');
  for (std::size_t i = 0; i < 16; ++i) {
    text[15 - i] = kDigits[(keyHash.high >> (4 * i)) & 15];
    text[31 - i] = kDigits[(keyHash.low >> (4 * i)) & 15];
  }
  return text;
}

std::optional<KeyHash> keyHashFrom(std::string_view text) {
  if (text.size() != 32) return std::nullopt;
  KeyHash keyHash;
  const auto high = std::from_chars(text.data(), text.data() + 16, keyHash.high, 16);
  const auto low = std::from_chars(text.data() + 16, text.data() + 32, keyHash.low, 16);
  if (high.ptr != text.data() + 16 || low.ptr != text.data() + 32) return std::nullopt;
  return keyHash;
}

}  // namespace rackroute::mesh
