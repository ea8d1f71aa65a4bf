#pragma once

// Counters of the process since its start, printed on SIGUSR1 and at exit.

#include <array>
#include <cstdint>
#include <ostream>
#include <string_view>
#include <vector>

#include "rackroute/balancer.hpp"

namespace rackroute::sidecar {

std::string_view nameOf(Outcome outcome);

/// Final results of one use case.
struct FinalResults {
  std::uint64_t completed = 0;
  std::uint64_t rejected = 0;
  std::uint64_t failed = 0;
};

struct Counters {
  std::vector<FinalResults> finalResults;  // indexed by use case
  std::uint64_t relayed = 0;               // executions fully written to their server
  std::uint64_t queries = 0;
  std::uint64_t completed = 0;
  std::uint64_t rejected = 0;
  std::uint64_t aborted = 0;
  std::uint64_t clientsLeft = 0;
  std::uint64_t badQueries = 0;
  std::uint64_t executions = 0;
  std::array<std::uint64_t, 8> outcomes{};  // indexed by Outcome
  std::uint64_t lateAnswers = 0;            // complete, but their query had been answered
  std::uint64_t clientConnections = 0;
  std::uint64_t serverConnections = 0;
  std::uint64_t dialsFailed = 0;
  std::uint64_t reused = 0;
  std::uint64_t discoveryCalls = 0;
  std::uint64_t discoveryFailures = 0;
  std::uint64_t lists = 0;
  std::uint64_t outOfDescriptors = 0;
  std::uint64_t turns = 0;  // of the event loop
  std::uint64_t timers = 0;
  std::uint64_t maxTimerDelay = 0;  // microseconds
  std::uint64_t faults = 0;         // exceptions caught by the event loop

  void print(std::ostream& out) const;
};

}  // namespace rackroute::sidecar
