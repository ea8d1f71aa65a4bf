#pragma once

// Balancing policies of the lab: the module under test and the baselines that it is compared with. All of
// them use the same BalancerHost and receive the same events. Baselines exist for comparison only.

#include <array>
#include <functional>
#include <memory>
#include <span>
#include <string>
#include <string_view>
#include <vector>

#include "lab/random.hpp"
#include "rackroute/balancer.hpp"

namespace rackroute::lab {

/// The policy of one balancer; shares no state with other balancers.
class BalancingPolicy {
 public:
  BalancingPolicy() = default;
  BalancingPolicy(const BalancingPolicy&) = delete;
  BalancingPolicy& operator=(const BalancingPolicy&) = delete;
  virtual ~BalancingPolicy() = default;

  virtual void submit(Span now, const Query& query) = 0;
  virtual void executionEnded(Span now, QueryId query, ExecutionNo no, Outcome outcome, bool terminal,
                              Span service) = 0;
  virtual void clientLeft(Span now, QueryId query) = 0;
  virtual void serversListed(Span now, ServerListKind listing, std::span<const ListedServer> servers) = 0;
  virtual void discoveryFailed(Span now) = 0;
  virtual void wake(Span now) = 0;
  [[nodiscard]] virtual PoolStatus poolStatus(Span) const { return {}; }
};

/// Knowledge of the all_seeing baseline: seconds until a further query would be answered by the server;
/// negative if the server would not answer or must not be used.
using WaitOracle = std::function<double(std::uint32_t balancer, ServerId server)>;

enum class PolicyKind { module, random, roundRobin, leastOfTwo, allSeeing };

std::string_view nameOf(PolicyKind kind);
/// Throws std::invalid_argument on an unknown name.
PolicyKind policyOf(std::string_view name);
inline constexpr std::array kPolicies = {PolicyKind::module, PolicyKind::random, PolicyKind::roundRobin,
                                         PolicyKind::leastOfTwo, PolicyKind::allSeeing};

std::unique_ptr<BalancingPolicy> makePolicy(PolicyKind kind, const BalancerConfig& config, BalancerHost& host,
                                            const WaitOracle& estimateWait);

/// Index of the less loaded of two random candidates; the first one on a tie.
std::size_t leastOfTwo(RandomEngine& engine, std::size_t count,
                       const std::function<std::size_t(std::size_t)>& load);

}  // namespace rackroute::lab
