#pragma once

// The draws of a run that every clock and policy shares: the servers with their names, zones and speeds, the
// clients' queries one after the other, and which servers a trouble hits.

#include <string>
#include <vector>

#include "lab/draws.hpp"
#include "lab/scenario.hpp"
#include "rackroute/balancer.hpp"

namespace rackroute::lab {

struct FleetServer {
  std::string name;
  ServerId id;
  ZoneId zone;
  CellId cell;
  double size = 1;  // as registered
  ServerTraits traits;
  bool atStart = true;  // false: it joins later
};

std::vector<FleetServer> drawFleet(const Scenario& scenario, std::uint64_t seed);

/// What one client wants; its tries are its own.
struct Ask {
  std::uint64_t number = 0;  // also its mark against repeats, from 1
  Span at{};
  std::uint32_t balancer = 0;
  std::uint32_t useCase = 0;
  double work = 0;  // seconds of a standard core
  std::optional<std::uint64_t> key;
  bool obeys = false;
  double leavesAfter = 2;  // of its time; above 1: never
  double spread = 1;       // of its waits
};

class Clients {
 public:
  Clients(const Scenario& scenario, std::uint64_t seed);
  /// The next one; none after the end.
  std::optional<Ask> next();

 private:
  [[nodiscard]] double rate(Span at) const;

  const Scenario& scenario_;
  Chance arrivals_;
  Chance clients_;
  std::vector<double> useCases_;   // running sums of shares
  std::vector<double> balancers_;  // running sums of weights
  std::optional<SkewedKeys> keys_;
  double mean_;
  Span at_{};
  std::uint64_t number_ = 0;
};

/// The servers, by place, that trouble number `no` hits.
std::vector<std::size_t> hitBy(const Scenario& scenario, std::size_t no,
                               const std::vector<FleetServer>& fleet, std::uint64_t seed);

}  // namespace rackroute::lab
