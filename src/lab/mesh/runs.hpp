#pragma once

// Runs days of an emulated mesh with a range of seeds and prints a line for each run and totals.

#include <cstdint>
#include <iosfwd>
#include <nlohmann/json.hpp>

#include "lab/mesh/processes.hpp"
#include "lab/mesh/world.hpp"

namespace rackroute::lab::mesh {

struct RunOptions {
  Day size;                // the day, or the size of generated days
  std::uint64_t seed = 1;  // the first
  unsigned seeds = 1;
  bool drawn = false;           // generate the faults from each seed instead of using those of the day
  bool soaks = false;           // generate days with drawSoak(); real processes only
  bool shrinks = false;         // print a minimal set of faults that still breaks each broken rule
  unsigned jobs = 1;            // concurrent runs, in virtual time
  ProcessRunOptions processes;  // its seed is replaced by that of each run
};

struct RunResults {
  bool passed = true;  // all runs with a verdict passed
  bool late = false;   // a run has no verdict, as the machine was too slow
  nlohmann::json runs = nlohmann::json::array();
};

RunResults runInVirtualTime(const RunOptions& options, std::ostream& out);
RunResults runOnProcesses(const RunOptions& options, std::ostream& out);

}  // namespace rackroute::lab::mesh
