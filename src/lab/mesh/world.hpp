#pragma once

// Runs a whole mesh in virtual time: the real control nodes and sidecars on an emulated network with emulated
// disks, servers, clients and operators. Runs are deterministic for a given day and seed.

#include <cstdint>
#include <memory>
#include <nlohmann/json.hpp>
#include <string>
#include <vector>

#include "lab/mesh/day.hpp"
#include "lab/mesh/judge.hpp"

namespace rackroute::lab::mesh {

/// The violations and figures of one run.
struct DayResult {
  std::vector<Violation> violations;
  nlohmann::json figures;  // counts of requests, faults and messages
  [[nodiscard]] bool passed() const { return violations.empty(); }
};

DayResult runDay(const Day& day, std::uint64_t seed);
/// The day without those faults that are not needed to break the given rule.
Day minimized(const Day& day, std::uint64_t seed, const std::string& rule);

}  // namespace rackroute::lab::mesh
