#pragma once

// Runs a scenario on a mesh of real processes on loopback: the two mesh programs as deployed, with servers,
// clients and operators within the lab. The scenario's faults are injected into the processes, and the same
// rules are checked as in virtual time.

#include <functional>
#include <string>

#include "lab/mesh/day.hpp"
#include "lab/mesh/world.hpp"

namespace rackroute::lab::mesh {

struct ProcessRunOptions {
  std::string sidecar;  // path of the sidecar program
  std::string control;  // path of the control program
  std::uint64_t seed = 1;
  std::string logs{};                                 // folder for log files; empty: logs are discarded
  std::function<void(const std::string&)> onEvent{};  // receives a line of text for each event
};

struct ProcessRunResult : DayResult {
  bool late = false;  // the machine was too slow, or the run was interrupted: there is no verdict
};

/// Removes the faults that can't be injected into processes on loopback.
Day restrictToProcesses(Day day);
/// Throws BadScenario if the scenario has faults that can't be injected into processes on loopback.
ProcessRunResult runWithProcesses(const Day& day, const ProcessRunOptions& options);

}  // namespace rackroute::lab::mesh
