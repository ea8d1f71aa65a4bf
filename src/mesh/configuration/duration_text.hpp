#pragma once

// Durations and versions in their text form: 1500ms, 2.5s, r12.

#include <optional>
#include <string>
#include <string_view>

#include "mesh/names.hpp"

namespace rackroute::mesh {

/// Parses a number with the unit ms or s. None for anything else, including negative and infinite numbers.
std::optional<Span> parseDuration(std::string_view text);
std::string formatDuration(Span span);
/// Seconds with three decimals and no unit, as in Retry-After.
std::string formatSeconds(Span span);
/// Parses the letter r followed by a number.
std::optional<Generation> parseGeneration(std::string_view text);
std::string formatGeneration(Generation generation);

}  // namespace rackroute::mesh
