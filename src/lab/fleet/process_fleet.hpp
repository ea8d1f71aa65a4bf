#pragma once

// A drill with real processes of the program, which talk through the relay and carry no queries. However the
// run ends, none of them stays behind.

#include <cstdint>
#include <functional>
#include <string>

#include "lab/fleet/drill.hpp"
#include "lab/sockets.hpp"
#include "lab/tally.hpp"

namespace rackroute::lab {

struct DrillPlan {
  std::uint64_t seed = 1;
  std::string program;  // the rackroute to start
  std::string logs;     // a folder for what they log; empty: thrown away
  std::function<void(double done)> progress;
};

/// Throws BadScenario on more members than loopback addresses or one machine should hold.
[[nodiscard]] Json playDrillProcesses(const Drill& drill, const DrillPlan& plan);

/// The drill's faults on what members say to each other, beside queries that real processes carry. Members
/// are the scenario's balancers. Throws BadScenario on faults that end or stop processes.
[[nodiscard]] std::function<std::unique_ptr<Companion>(sidecar::Loop&)> drillBeside(const Drill& drill,
                                                                                    std::uint64_t seed);

}  // namespace rackroute::lab
