#pragma once

// The text format in which a process hands its balancer's learned state to its successor. Parsing rejects
// values that a balancer could not have produced. No I/O.

#include <optional>
#include <string>

#include "rackroute/balancer.hpp"

namespace rackroute::handover {

std::string formatSnapshot(const BalancerSnapshot& snapshot);
/// Returns nothing if the text is truncated, malformed or has values out of range.
std::optional<BalancerSnapshot> parseSnapshot(const std::string& text);

}  // namespace rackroute::handover
