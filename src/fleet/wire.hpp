#pragma once

// The bytes of what members say: msgpack maps with small numbers for keys, so that a later version may add
// fields that this one passes over. It must never take up what is not whole, of another fleet, or larger than
// it may be.

#include <array>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

#include "fleet/member.hpp"

namespace rackroute::fleet {

inline constexpr std::size_t kLongestDatagram = 1200;  // bytes; below any path's limit
inline constexpr std::size_t kLongestWhole = 4 << 20;  // bytes; a view of twenty thousand members
inline constexpr std::uint32_t kVersion = 1;           // changes only when old ones can't read the new

enum class Refusal : std::uint8_t { none, garbled, version, otherFleet, absurd };
inline constexpr std::size_t kRefusals = 5;
[[nodiscard]] std::string_view nameOf(Refusal refusal);

/// A checksum of so many bytes, and the body behind it.
inline constexpr std::size_t kSeal = 4;
[[nodiscard]] std::string sealed(std::string_view body);

/// Words that do not fit into a datagram are left out, the last ones first.
[[nodiscard]] std::string encode(const std::string& fleet, const Message& message);
[[nodiscard]] std::string encode(const std::string& fleet, const Whole& whole);
/// Why it is not taken up; nothing is written then.
Refusal decode(const std::string& fleet, std::string_view bytes, Message& message);
Refusal decode(const std::string& fleet, std::string_view bytes, Whole& whole);

}  // namespace rackroute::fleet
