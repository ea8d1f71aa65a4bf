#pragma once

// The random inputs of a run, which are the same for every clock and policy: the servers, the client requests
// and the servers that each trouble affects.

#include <string>
#include <vector>

#include "lab/random.hpp"
#include "lab/scenario.hpp"
#include "rackroute/balancer.hpp"

namespace rackroute::lab {

struct FleetServer {
  std::string name;
  ServerId id;
  ZoneId zone;
  CellId cell;
  double size = 1;  // registered weight
  ServerTraits traits;
  bool atStart = true;  // false: joins later
};

std::vector<FleetServer> drawFleet(const Scenario& scenario, std::uint64_t seed);

/// One request of a client; retries belong to the same request.
struct ClientRequest {
  std::uint64_t number = 0;  // from 1; also the deduplication key
  Span at{};
  std::uint32_t balancer = 0;
  std::uint32_t useCase = 0;
  double work = 0;  // seconds of a standard core
  std::optional<std::uint64_t> key;
  bool honorsRetryAfter = false;
  double disconnectsAfter = 2;  // relative to the timeout; above 1: never
  double spread = 1;            // factor for retry delays
};

class Clients {
 public:
  Clients(const Scenario& scenario, std::uint64_t seed);
  /// The next request; nullopt at the end of the run.
  std::optional<ClientRequest> next();

 private:
  [[nodiscard]] double rate(Span at) const;

  const Scenario& scenario_;
  RandomEngine arrivals_;
  RandomEngine clients_;
  std::vector<double> useCases_;   // cumulative shares
  std::vector<double> balancers_;  // cumulative weights
  std::optional<SkewedKeys> keys_;
  double mean_;
  Span at_{};
  std::uint64_t number_ = 0;
};

/// Indexes of the servers that trouble number `no` affects.
std::vector<std::size_t> affectedServers(const Scenario& scenario, std::size_t no,
                                         const std::vector<FleetServer>& fleet, std::uint64_t seed);

}  // namespace rackroute::lab
