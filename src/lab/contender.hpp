#pragma once

// What decides in a run: the module, or one of the baselines that it is compared with. All speak to the same
// Host and are told the same things. Baselines are for comparison only and never part of the program.

#include <array>
#include <functional>
#include <memory>
#include <span>
#include <string>
#include <string_view>
#include <vector>

#include "lab/draws.hpp"
#include "rackroute/balancer.hpp"

namespace rackroute::lab {

/// One balancer of a run, sharing nothing with the others.
class Contender {
 public:
  Contender() = default;
  Contender(const Contender&) = delete;
  Contender& operator=(const Contender&) = delete;
  virtual ~Contender() = default;

  virtual void take(Span now, const Query& query) = 0;
  virtual void executionEnded(Span now, QueryId query, ExecutionNo no, Outcome outcome, bool terminal,
                              Span service) = 0;
  virtual void clientLeft(Span now, QueryId query) = 0;
  virtual void serversListed(Span now, ServerListKind listing, std::span<const ListedServer> servers) = 0;
  virtual void discoveryFailed(Span now) = 0;
  virtual void wake(Span now) = 0;
  [[nodiscard]] virtual PoolStatus standing(Span) const { return {}; }
};

/// What the all-seeing baseline sees: seconds until one more query would be answered there; negative: it
/// would not be, or it is not to be sent one.
using TrueWait = std::function<double(std::uint32_t balancer, ServerId server)>;

enum class PolicyKind { module, random, roundRobin, leastOfTwo, allSeeing };

std::string_view nameOf(PolicyKind kind);
/// By name; an unknown one throws std::invalid_argument.
PolicyKind policyOf(std::string_view name);
inline constexpr std::array kPolicies = {PolicyKind::module, PolicyKind::random, PolicyKind::roundRobin,
                                         PolicyKind::leastOfTwo, PolicyKind::allSeeing};

std::unique_ptr<Contender> makeContender(PolicyKind kind, const BalancerConfig& terms, BalancerHost& host,
                                         const TrueWait& sees);

/// The less loaded of two drawn places, the first of them if equal.
std::size_t leastOfTwo(Chance& chance, std::size_t places,
                       const std::function<std::size_t(std::size_t)>& held);

}  // namespace rackroute::lab
