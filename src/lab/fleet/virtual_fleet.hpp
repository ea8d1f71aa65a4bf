#pragma once

// A drill in virtual time: the same src/fleet/ code as in the program, thousands of members, no sockets.

#include <cstdint>
#include <functional>

#include "lab/fleet/drill.hpp"
#include "lab/tally.hpp"

namespace rackroute::lab {

/// The judge's JSON, with figures of the members themselves added.
[[nodiscard]] Json playDrillVirtual(const Drill& drill, std::uint64_t seed,
                                    const std::function<void(double done)>& progress = {});

}  // namespace rackroute::lab
