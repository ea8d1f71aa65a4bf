#pragma once

// The state that the balancer keeps of queries, their executions, servers and zones. Plain data.

#include <cstddef>
#include <cstdint>
#include <optional>
#include <vector>

#include "decide/rolling_window.hpp"
#include "rackroute/balancer.hpp"

namespace rackroute {

using ServerSlot = std::size_t;
using QuerySlot = std::uint32_t;

constexpr Span kBucket = std::chrono::milliseconds{500};  // statistics cover kBuckets of these
constexpr std::size_t kBuckets = 16;
using RecentStats = RollingWindow<kBucket.count(), kBuckets>;

/// An execution in flight at a server.
struct InFlight {
  QuerySlot query;
  ExecutionNo no;
  Span sentAt;
  double others;                            // executions in flight at the server when this one was sent
  std::optional<Span> responseStartedAt{};  // since then the response streams and the server is done
  bool bodyStreaming = false;               // the query's body is still being received
  bool overdue = false;                     // already counted as a timeout
};

/// Failures of one use case at one server.
struct UseCaseFailures {
  std::uint32_t consecutive = 0;
  Span firstAt{};
  Span excludedUntil = Span::min();
};

enum class ExecState { inFlight, notExecuted, mayHaveExecuted };

struct Execution {
  ServerSlot server;
  Span sentAt;
  ZoneId zone;
  CellId cell;
  ExecState state = ExecState::inFlight;
};

/// A query without a final answer, or with executions still in flight.
struct QueryState {
  Query request{};
  Span arrivedAt{};
  Span deadline{};
  std::uint32_t generation = 0;  // of the slot; invalidates old handles
  std::uint32_t inFlight = 0;
  bool inUse = false;
  bool answered = false;
  bool queued = false;
  double priority = 0;  // in the queue
  std::vector<Execution> executions{};
};

struct Server {
  ServerId id;
  ZoneId zone;
  CellId cell;
  double size = 1;        // nominal capacity
  double listedLoad = 0;  // queries per core, if the server list reports load
  std::optional<Span> startedAt;
  Span unavailableFrom = Span::max();   // no new executions from then on
  bool listed = false;                  // in the last accepted list
  bool everListed = false;              // false if it is only known from disableServer
  bool disabled = false;                // by an operator
  std::optional<Span> listedStartedAt;  // as last listed; startedAt may be later
  bool inSubset = false;                // of the servers that this balancer uses
  double weight = 1;                    // lowered by failures
  std::uint32_t consecutiveFailures = 0;
  Span lastFailureAt{};
  std::vector<UseCaseFailures> useCases;
  bool ejected = false;
  Span trialAt{};
  bool onTrial = false;
  double limit = 1;  // concurrent executions
  std::vector<InFlight> inFlight;
  Span lastCompletedSentAt = Span::min();  // latest send time of a completed execution
  RecentStats unitLatency;                 // seconds; response time / executions in flight
  double serviceTime = 0;                  // seconds, as last reported; 0 if never
  double coldCredit = 0;                   // token bucket of executions while the server is cold
  Span coldCreditAt{};
};

/// Failures of all servers in one zone.
struct ZoneFailures {
  std::uint32_t consecutive = 0;
  Span lastAt{};
};

}  // namespace rackroute
