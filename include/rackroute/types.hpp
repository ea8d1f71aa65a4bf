// Types shared by the balancer and its hosts: identifiers, use cases and the balancer's configuration.
#pragma once

#include <chrono>
#include <compare>
#include <cstdint>
#include <vector>

namespace rackroute {

/// A duration, or a point in time given as the time since the balancer started (negative for earlier points).
using Span = std::chrono::microseconds;

template <class Tag, class Value>
struct Id {
  Value value{};
  auto operator<=>(const Id&) const = default;
};
using ServerId = Id<struct ServerTag, std::uint64_t>;  // the same at every balancer
using QueryId = Id<struct QueryTag, std::uint32_t>;
using UseCaseId = Id<struct UseCaseTag, std::uint32_t>;  // index into BalancerConfig::useCases
using AccountId = Id<struct AccountTag, std::uint32_t>;  // index into BalancerConfig::accountShares
using ZoneId = Id<struct ZoneTag, std::uint32_t>;
using CellId = Id<struct CellTag, std::int64_t>;
using KeyId = Id<struct KeyTag, std::uint64_t>;
using ExecutionNo = Id<struct ExecutionTag, std::uint32_t>;  // numbers a query's executions from 0

/// Whether a query may be executed again once it may have been executed.
enum class RetrySafety { idempotent, deduplicated, nonIdempotent };

/// The servers that share deduplication state: all, those of one zone, or those of one cell.
enum class DedupScope { all, zone, cell };

struct UseCase {
  RetrySafety retrySafety = RetrySafety::nonIdempotent;
  DedupScope dedupScope = DedupScope::cell;
  Span dedupWindow{};         // how long servers remember a query for deduplication
  double importance = 1;      // of a response within the SLO time
  double lateImportance = 0;  // of a later response; 0 if it is worthless
  Span sloTime{};
};

/// Configuration of a balancer, fixed at its start except for balancerCount.
struct BalancerConfig {
  std::uint64_t seed = 0;
  std::vector<UseCase> useCases;
  std::vector<double> accountShares;  // each account's share of the service
  double beyondShareImportance = 1;   // importance factor of an account that exceeds its share
  ZoneId zone;
  std::uint32_t balancerCount = 1;  // balancers that share the servers
  std::uint32_t balancerIndex = 0;  // of this balancer, from 0
  bool discoveryOnRequest = false;  // server lists must be requested; otherwise they are pushed
  bool weightsFollowLoad = false;   // listed size = nominal size / (1 + queries per core at the server)
  Span maxRetryAfter{};             // 0 if clients ignore retry-after advice
  std::uint32_t maxExecutions = 1;  // per query
  bool keyAffinity = false;         // servers handle keys that they saw recently faster
  Span tick{};                      // timer granularity
  Span drainGrace{};                // how long a server accepts queries after it starts draining
  double coldShare = 1;             // share of its capacity that a server has right after its start
  Span coldTime{};                  // time until a started server has its full capacity
  double overloadMultiple = 1;      // multiple of its present capacity that overloads a cold server
  Span overloadWindow{};            // time over which that load is summed
};

}  // namespace rackroute
