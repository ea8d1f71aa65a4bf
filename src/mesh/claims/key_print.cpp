#include "mesh/claims/key_print.hpp"

#include <xxhash.h>

#include <charconv>

namespace rackroute::mesh {

KeyPrint printOfKey(std::string_view key) {
  const XXH128_hash_t hash = XXH3_128bits(key.data(), key.size());
  return {hash.high64, hash.low64};
}

std::string textOf(const KeyPrint& print) {
  static constexpr char kDigits[] = "0123456789abcdef";
  std::string text(32, '0');
  for (std::size_t i = 0; i < 16; ++i) {
    text[15 - i] = kDigits[(print.high >> (4 * i)) & 15];
    text[31 - i] = kDigits[(print.low >> (4 * i)) & 15];
  }
  return text;
}

std::optional<KeyPrint> printFrom(std::string_view text) {
  if (text.size() != 32) return std::nullopt;
  KeyPrint print;
  const auto high = std::from_chars(text.data(), text.data() + 16, print.high, 16);
  const auto low = std::from_chars(text.data() + 16, text.data() + 32, print.low, 16);
  if (high.ptr != text.data() + 16 || low.ptr != text.data() + 32) return std::nullopt;
  return print;
}

}  // namespace rackroute::mesh
