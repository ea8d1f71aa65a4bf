#pragma once

// Times and versions as the pages write them: 1500ms, 2.5s, r12.

#include <optional>
#include <string>
#include <string_view>

#include "mesh/names.hpp"

namespace rackroute::mesh {

/// A number and its unit, ms or s; none for anything else, and for a negative or endless number.
std::optional<Span> readSpan(std::string_view text);
std::string writeSpan(Span span);
/// Seconds and a fraction of three digits, without a unit, as Retry-After has it.
std::string writeSeconds(Span span);
/// r and a number.
std::optional<Generation> readGeneration(std::string_view text);
std::string writeGeneration(Generation generation);

}  // namespace rackroute::mesh
