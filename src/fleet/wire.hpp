#pragma once

// The wire format: msgpack maps with small integer keys, so that later versions can add fields that this one
// skips. Rejects messages that are truncated, corrupted, oversized or from another fleet.

#include <array>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

#include "fleet/member.hpp"

namespace rackroute::fleet {

inline constexpr std::size_t kMaxDatagramBytes = 1200;        // fits into one packet on common networks
inline constexpr std::size_t kMaxViewMessageBytes = 4 << 20;  // a view of twenty thousand members
inline constexpr std::uint32_t kWireVersion = 1;              // increased only for incompatible changes

/// Why a message was rejected; outOfRange: well-formed, but a value or size exceeds its bounds.
enum class DecodeError : std::uint8_t { none, corrupt, unsupportedVersion, wrongFleet, outOfRange };
inline constexpr std::size_t kDecodeErrors = 5;
[[nodiscard]] std::string_view nameOf(DecodeError error);

/// Size of the CRC-32 ahead of each message.
inline constexpr std::size_t kChecksumBytes = 4;
/// The checksum of the body, followed by the body.
[[nodiscard]] std::string withChecksum(std::string_view body);

/// Encodes a datagram; updates that don't fit are dropped from the end.
[[nodiscard]] std::string encode(const std::string& fleet, const Message& message);
[[nodiscard]] std::string encode(const std::string& fleet, const ViewMessage& view);
/// Decodes a message; leaves the output unchanged on errors.
DecodeError decode(const std::string& fleet, std::string_view bytes, Message& message);
DecodeError decode(const std::string& fleet, std::string_view bytes, ViewMessage& view);

}  // namespace rackroute::fleet
