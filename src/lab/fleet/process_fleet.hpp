#pragma once

// A drill with real rackroute processes that communicate through the relay. All processes are terminated at
// the end of the run.

#include <cstdint>
#include <functional>
#include <string>

#include "lab/fleet/drill.hpp"
#include "lab/run_statistics.hpp"
#include "lab/socket_run.hpp"

namespace rackroute::lab {

struct DrillPlan {
  std::uint64_t seed = 1;
  std::string program;  // path of the rackroute executable
  std::string logs;     // directory for their logs; empty: discarded
  std::function<void(double done)> progress;
};

/// Throws BadScenario on too many members.
[[nodiscard]] Json runDrillProcesses(const Drill& drill, const DrillPlan& plan);

/// Runs a drill along with the queries of a socket run; the members are the balancers of the scenario. Throws
/// BadScenario on the twin fault.
[[nodiscard]] std::function<std::unique_ptr<Companion>(sidecar::Loop&)> makeDrillCompanion(
    const Drill& drill, std::uint64_t seed);

}  // namespace rackroute::lab
