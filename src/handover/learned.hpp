#pragma once

// The text form of what a balancer learned, for its successor. It owns the form and its bounds; it must never
// give out figures that a balancer could not have, whatever stands in the text. No I/O.

#include <optional>
#include <string>

#include "rackroute/balancer.hpp"

namespace rackroute::handover {

std::string text(const BalancerSnapshot& learned);
/// Nothing if it is not whole, or holds what can't be.
std::optional<BalancerSnapshot> readLearned(const std::string& text);

}  // namespace rackroute::handover
