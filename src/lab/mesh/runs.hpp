#pragma once

// Days of an emulated mesh over many seeds, and what is told of them: a line for each, and totals.

#include <cstdint>
#include <iosfwd>
#include <nlohmann/json.hpp>

#include "lab/mesh/processes.hpp"
#include "lab/mesh/world.hpp"

namespace rackroute::lab::mesh {

struct RunsAsked {
  Day size;
  std::uint64_t seed = 1;  // the first
  unsigned seeds = 1;
  bool drawn = false;    // troubles drawn anew for each seed, in place of the day's own
  bool soaks = false;    // drawn by drawSoak(); with processes
  bool shrinks = false;  // a broken day is told with the fewest troubles with which each rule still breaks
  unsigned jobs = 1;     // days at once, in virtual time
  ProcessRunOptions processes;  // its seed is each day's own
};

struct RunsPlayed {
  bool kept = true;   // by all days that have a verdict
  bool late = false;  // a day has none, as the machine was too slow
  nlohmann::json runs = nlohmann::json::array();
};

RunsPlayed playInVirtualTime(const RunsAsked& asked, std::ostream& out);
RunsPlayed playOnProcesses(const RunsAsked& asked, std::ostream& out);

}  // namespace rackroute::lab::mesh
