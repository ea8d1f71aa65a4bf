#pragma once

// The shortened form of an operation's key, under which promises and claims are kept. It decides nothing.

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace rackroute::mesh {

/// A key, shortened to 128 bits; whoever holds the same print is the same operation.
struct KeyPrint {
  std::uint64_t high = 0;
  std::uint64_t low = 0;
  auto operator<=>(const KeyPrint&) const = default;
};
KeyPrint printOfKey(std::string_view key);
/// 32 hexadecimal digits.
std::string textOf(const KeyPrint& print);
/// None: it is not such a text.
std::optional<KeyPrint> printFrom(std::string_view text);

struct HashKeyPrint {
  std::size_t operator()(const KeyPrint& print) const { return print.high ^ print.low; }
};

}  // namespace rackroute::mesh
