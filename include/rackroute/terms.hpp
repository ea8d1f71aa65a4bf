#pragma once

#include <chrono>
#include <compare>
#include <cstdint>
#include <vector>

namespace rackroute {

/// Every time is a span since the balancer's start; it is negative for what happened before.
using Span = std::chrono::microseconds;

template <class Tag, class Value>
struct Id {
  Value value{};
  auto operator<=>(const Id&) const = default;
};
using ServerId = Id<struct ServerTag, std::uint64_t>;  // the same at every balancer
using QueryId = Id<struct QueryTag, std::uint32_t>;
using UseCaseId = Id<struct UseCaseTag, std::uint32_t>;  // place in Terms::useCases
using AccountId = Id<struct AccountTag, std::uint32_t>;  // place in Terms::accounts
using ZoneId = Id<struct ZoneTag, std::uint32_t>;
using CellId = Id<struct CellTag, std::int64_t>;
using KeyId = Id<struct KeyTag, std::uint64_t>;
using ExecutionNo = Id<struct ExecutionTag, std::uint32_t>;  // counts a query's executions from 0

enum class Repeat { idempotent, deduplicated, nonIdempotent };
enum class DedupGroup { all, zone, cell };

struct UseCase {
  Repeat repeat = Repeat::nonIdempotent;
  DedupGroup group = DedupGroup::cell;
  Span dedupWindow{};
  double importance = 1;
  double lateImportance = 0;
  Span sloTime{};
};

/// What a balancer is told once, at its start.
struct Terms {
  std::uint64_t seed = 0;
  std::vector<UseCase> useCases;
  std::vector<double> accounts;  // each account's part of the service
  double beyondShareImportance = 1;
  ZoneId zone;
  std::uint32_t balancers = 1;
  std::uint32_t number = 0;  // this balancer's among them
  bool discoveryOnRequest = false;
  bool weightsFollowLoad = false;  // a listed size is the nominal one over 1 + queries held for each core
  Span longestAdvice{};            // 0 where clients take no advice on when to come back
  std::uint32_t mostExecutions = 1;
  bool warmKeys = false;
  Span tick{};
  Span drainGrace{};
  double coldShare = 1;
  Span coldTime{};
  double tipMultiple = 1;
  Span tipWindow{};
};

}  // namespace rackroute
