#pragma once

// What the sidecar took in, sent and answered since its start. Each part of the program counts its own lines
// here; nothing reads them back but the printing.

#include <array>
#include <cstdint>
#include <ostream>
#include <string_view>
#include <vector>

#include "rackroute/balancer.hpp"

namespace rackroute::sidecar {

std::string_view nameOf(Outcome outcome);

/// A use case's final answers that were handed to a client.
struct Finals {
  std::uint64_t completed = 0;
  std::uint64_t rejected = 0;
  std::uint64_t failed = 0;
};

struct Counters {
  std::vector<Finals> finals;  // by use case
  std::uint64_t relayed = 0;   // executions written whole to their server
  std::uint64_t queries = 0;
  std::uint64_t completed = 0;
  std::uint64_t rejected = 0;
  std::uint64_t aborted = 0;
  std::uint64_t clientsLeft = 0;
  std::uint64_t badQueries = 0;
  std::uint64_t executions = 0;
  std::array<std::uint64_t, 8> outcomes{};  // by Outcome
  std::uint64_t lateAnswers = 0;            // whole, but their query was over
  std::uint64_t clientConnections = 0;
  std::uint64_t serverConnections = 0;
  std::uint64_t dialsFailed = 0;
  std::uint64_t reused = 0;
  std::uint64_t discoveryCalls = 0;
  std::uint64_t discoveryFailures = 0;
  std::uint64_t lists = 0;
  std::uint64_t outOfDescriptors = 0;
  std::uint64_t turns = 0;  // of the loop
  std::uint64_t timers = 0;
  std::uint64_t latestTimer = 0;  // microseconds after its time
  std::uint64_t faults = 0;       // errors of the program itself

  void print(std::ostream& out) const;
};

}  // namespace rackroute::sidecar
