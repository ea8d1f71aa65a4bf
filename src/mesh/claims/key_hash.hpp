#pragma once

// The hash of an operation's key, which identifies the key in promises and claims.

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace rackroute::mesh {

/// A 128-bit hash of an operation's key. Keys with equal hashes are treated as the same operation.
struct KeyHash {
  std::uint64_t high = 0;
  std::uint64_t low = 0;
  auto operator<=>(const KeyHash&) const = default;
};
KeyHash hashOfKey(std::string_view key);
/// 32 hexadecimal digits.
std::string textOf(const KeyHash& hash);
/// Parses the output of textOf(). None: the text is malformed.
std::optional<KeyHash> keyHashFrom(std::string_view text);

struct KeyHashHasher {
  std::size_t operator()(const KeyHash& hash) const { return hash.high ^ hash.low; }
};

}  // namespace rackroute::mesh
