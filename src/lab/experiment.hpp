#pragma once

// Experiments: the same scenario with several policies on the same draws, or over values of one key, with
// intervals over seeds. It owns the arithmetic of comparing and nothing of a run.

#include <cstdint>
#include <functional>
#include <string>
#include <vector>

#include "lab/tally.hpp"

namespace rackroute::lab {

struct Interval {
  double mean = 0;
  double half = 0;  // of the 95% interval, by Student's t; 0 with one value only
};

Interval intervalOf(const std::vector<double>& values);

struct ExperimentPlan {
  std::vector<std::uint64_t> seeds;
  std::vector<std::string> policies;
  unsigned jobs = 1;  // runs at once
  std::function<void(std::size_t done, std::size_t all)> progress;
};

/// All policies on each seed's draws, paired.
Json compareJson(const Scenario& scenario, const ExperimentPlan& plan);

struct Sweep {
  std::string key;
  std::vector<std::string> values;
};

Json sweepJson(const std::string& file, const std::vector<Override>& overrides, const Sweep& sweep,
               const ExperimentPlan& plan);

/// Does all of them, so many at once; the first that throws ends it.
void inParallel(std::size_t count, unsigned jobs, const std::function<void(std::size_t)>& deed);

}  // namespace rackroute::lab
