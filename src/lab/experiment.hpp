#pragma once

// Experiments: one scenario with several policies, or over several values of one key, with confidence
// intervals over seeds.

#include <cstdint>
#include <functional>
#include <string>
#include <vector>

#include "lab/run_statistics.hpp"

namespace rackroute::lab {

struct Interval {
  double mean = 0;
  double half = 0;  // half width of the 95% interval (Student's t); 0 for a single value
};

Interval intervalOf(const std::vector<double>& values);

struct ExperimentPlan {
  std::vector<std::uint64_t> seeds;
  std::vector<std::string> policies;
  unsigned jobs = 1;  // concurrent runs
  std::function<void(std::size_t done, std::size_t all)> progress;
};

/// Compares all policies on the same seeds, as paired samples.
Json compareJson(const Scenario& scenario, const ExperimentPlan& plan);

struct Sweep {
  std::string key;
  std::vector<std::string> values;
};

Json sweepJson(const std::string& file, const std::vector<Override>& overrides, const Sweep& sweep,
               const ExperimentPlan& plan);

/// Runs task(0) to task(count - 1) on up to `jobs` threads. Rethrows the first exception and starts no
/// further tasks.
void inParallel(std::size_t count, unsigned jobs, const std::function<void(std::size_t)>& task);

}  // namespace rackroute::lab
