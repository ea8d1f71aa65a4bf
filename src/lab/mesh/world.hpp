#pragma once

// A whole mesh in virtual time: its controls and sidecars as they are, with a network, disks, servers,
// clients and operators of the lab's own. The same day and seed play the same to the byte.

#include <cstdint>
#include <memory>
#include <nlohmann/json.hpp>
#include <string>
#include <vector>

#include "lab/mesh/day.hpp"
#include "lab/mesh/judge.hpp"

namespace rackroute::lab::mesh {

struct Played {
  std::vector<Broken> broken;
  nlohmann::json figures;  // what was asked and served, and what it cost, by kind of session
  [[nodiscard]] bool kept() const { return broken.empty(); }
};

Played play(const Day& day, std::uint64_t seed);
/// The fewest of its troubles with which the same rule still breaks.
Day shrunk(const Day& day, std::uint64_t seed, const std::string& rule);

}  // namespace rackroute::lab::mesh
