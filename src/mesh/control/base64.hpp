#pragma once

// Base64 with padding (RFC 4648, section 4), for binary fields of JSON messages.

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace rackroute::mesh {

std::string toBase64(const std::vector<std::uint8_t>& bytes);
/// Returns nothing if the text is not valid base64.
std::optional<std::vector<std::uint8_t>> fromBase64(std::string_view text);

}  // namespace rackroute::mesh
