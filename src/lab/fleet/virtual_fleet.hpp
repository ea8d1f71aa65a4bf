#pragma once

// A drill in virtual time: thousands of members that run the membership code of src/fleet/, without sockets.

#include <cstdint>
#include <functional>

#include "lab/fleet/drill.hpp"
#include "lab/run_statistics.hpp"

namespace rackroute::lab {

/// Returns the JSON of the checker, extended by counters of the members.
[[nodiscard]] Json runDrillVirtual(const Drill& drill, std::uint64_t seed,
                                   const std::function<void(double done)>& progress = {});

}  // namespace rackroute::lab
