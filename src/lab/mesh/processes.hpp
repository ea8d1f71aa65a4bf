#pragma once

// A whole mesh of real processes on loopback: its two programs as they are started in service, with servers,
// clients and operators of the lab's own, and a day's troubles done to the processes. Judged as in virtual
// time.

#include <functional>
#include <string>

#include "lab/mesh/day.hpp"
#include "lab/mesh/world.hpp"

namespace rackroute::lab::mesh {

struct ProcessPlan {
  std::string sidecar;  // the programs
  std::string control;
  std::uint64_t seed = 1;
  std::string logs{};                              // a folder for what they log; empty: nothing is kept
  std::function<void(const std::string&)> tell{};  // what happens, a line each
};

struct PlayedProcesses : DayResult {
  bool late = false;  // the machine was too slow: the run tells nothing
};

/// The day without the troubles that processes on loopback can't have.
Day forProcesses(Day day);
/// Throws BadScenario where the day has troubles that processes on loopback can't have.
PlayedProcesses playProcesses(const Day& day, const ProcessPlan& plan);

}  // namespace rackroute::lab::mesh
