#pragma once

// Bytes as text, for the binary parts of JSON messages (RFC 4648, section 4, with padding).

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace rackroute::mesh {

std::string toBase64(const std::vector<std::uint8_t>& bytes);
/// None: it is no such text.
std::optional<std::vector<std::uint8_t>> fromBase64(std::string_view text);

}  // namespace rackroute::mesh
