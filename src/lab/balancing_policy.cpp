#include "lab/balancing_policy.hpp"

#include <algorithm>
#include <map>
#include <optional>
#include <stdexcept>
#include <unordered_map>
#include <utility>

namespace rackroute::lab {
namespace {

class Module : public BalancingPolicy {
 public:
  Module(const BalancerConfig& config, BalancerHost& host) : balancer_(config, host) {}

  void submit(Span now, const Query& query) override {
    const QueryHandle handle = balancer_.submit(now, query);
    if (!handle.finished()) handles_.emplace(query.id.value, handle);
  }
  void executionEnded(Span now, QueryId query, ExecutionNo no, Outcome outcome, bool terminal,
                      Span service) override {
    with(query, [&](QueryHandle& handle) { handle.executionEnded(now, no, outcome, terminal, service); });
  }
  void clientLeft(Span now, QueryId query) override {
    with(query, [&](QueryHandle& handle) { handle.clientLeft(now); });
  }
  void serversListed(Span now, ServerListKind listing, std::span<const ListedServer> servers) override {
    balancer_.serversListed(now, listing, servers);
  }
  void discoveryFailed(Span now) override { balancer_.discoveryFailed(now); }
  void wake(Span now) override { balancer_.wake(now); }
  [[nodiscard]] PoolStatus poolStatus(Span now) const override { return balancer_.poolStatus(now); }

 private:
  // Queries that finish during a wake or another call are removed on their next event or by a periodic sweep.
  template <class Call>
  void with(QueryId query, const Call& call) {
    const auto at = handles_.find(query.value);
    if (at == handles_.end()) return;
    call(at->second);
    if (at->second.finished()) handles_.erase(at);
    if (handles_.size() < 2 * sizeAfterSweep_ + 64) return;
    std::erase_if(handles_, [](const auto& entry) { return entry.second.finished(); });
    sizeAfterSweep_ = handles_.size();
  }

  Balancer balancer_;
  std::unordered_map<std::uint32_t, QueryHandle> handles_;
  std::size_t sizeAfterSweep_ = 0;
};

/// Common part of the baselines: use the list as received, retry failed executions on another server if that
/// is safe, and give up otherwise.
class Baseline : public BalancingPolicy {
 public:
  Baseline(const BalancerConfig& config, BalancerHost& host)
      : config_(config),
        host_(host),
        random_(makeRandomEngine(config.seed, Purpose::policy, config.balancerIndex)) {
    if (config_.discoveryOnRequest) host_.watchServers();
  }

  void submit(Span now, const Query& query) override {
    OpenQuery& open = open_[query.id];
    open.query = query;
    open.deadline = now + query.timeLeft;
    dispatch(now, query.id);
  }
  void executionEnded(Span now, QueryId query, ExecutionNo, Outcome outcome, bool terminal, Span) override {
    const auto at = open_.find(query);
    if (at == open_.end()) return;
    --inFlight_[at->second.server];
    if (terminal || at->second.abandoned) {
      open_.erase(at);
      return;
    }
    const bool neverExecuted =
        outcome == Outcome::full || outcome == Outcome::connectFailed || outcome == Outcome::invalidQuery;
    if (!neverExecuted) at->second.mayHaveRun = true;
    const RetrySafety repeat = config_.useCases[at->second.query.useCase.value].retrySafety;
    if (at->second.mayHaveRun && repeat != RetrySafety::idempotent) return giveUp(now, at);
    dispatch(now, query);
  }
  void clientLeft(Span, QueryId query) override {
    const auto at = open_.find(query);
    if (at != open_.end()) at->second.abandoned = true;
  }
  void serversListed(Span, ServerListKind listing, std::span<const ListedServer> servers) override {
    if (listing != ServerListKind::changes) servers_.clear();
    for (const ListedServer& server : servers) {
      const auto at = std::find(servers_.begin(), servers_.end(), server.id);
      if (server.lifecycle == Lifecycle::serving && at == servers_.end())
        servers_.push_back(server.id);
      else if (server.lifecycle != Lifecycle::serving && at != servers_.end())
        servers_.erase(at);
    }
    std::sort(servers_.begin(), servers_.end());
  }
  void discoveryFailed(Span now) override { host_.wakeAt(now + std::chrono::milliseconds(500)); }
  void wake(Span) override { host_.watchServers(); }

 protected:
  virtual std::optional<ServerId> pick() = 0;

  BalancerConfig config_;
  BalancerHost& host_;
  RandomEngine random_;
  std::vector<ServerId> servers_;
  std::unordered_map<std::uint64_t, std::size_t> inFlightById_;
  struct InFlightCounts {
    std::unordered_map<std::uint64_t, std::size_t>& by;
    std::size_t& operator[](ServerId id) const { return by[id.value]; }
  };
  InFlightCounts inFlight_{inFlightById_};

 private:
  struct OpenQuery {
    Query query;
    Span deadline{};
    ServerId server;
    std::uint32_t executions = 0;
    bool mayHaveRun = false;
    bool abandoned = false;
  };

  void dispatch(Span now, QueryId query) {
    const auto at = open_.find(query);
    OpenQuery& open = at->second;
    const std::optional<ServerId> server =
        open.executions < config_.maxExecutions && now + config_.tick < open.deadline ? pick() : std::nullopt;
    if (!server) return giveUp(now, at);
    ++open.executions;
    open.server = *server;
    ++inFlight_[*server];
    host_.execute(query, *server, open.deadline - now);
  }
  void giveUp(Span now, std::map<QueryId, OpenQuery>::iterator at) {
    const QueryId query = at->first;
    const bool harmless =
        !at->second.mayHaveRun ||
        config_.useCases[at->second.query.useCase.value].retrySafety == RetrySafety::idempotent;
    const bool reject = harmless && now < at->second.deadline;
    open_.erase(at);
    if (reject)
      host_.reject(query, Span{0});
    else
      host_.abort(query);
  }

  std::map<QueryId, OpenQuery> open_;
};

class Random : public Baseline {
  using Baseline::Baseline;
  std::optional<ServerId> pick() override {
    if (servers_.empty()) return std::nullopt;
    return servers_[std::uniform_int_distribution<std::size_t>(0, servers_.size() - 1)(random_)];
  }
};

class RoundRobin : public Baseline {
 public:
  RoundRobin(const BalancerConfig& config, BalancerHost& host) : Baseline(config, host), next_(random_()) {}

 private:
  std::optional<ServerId> pick() override {
    if (servers_.empty()) return std::nullopt;
    return servers_[next_++ % servers_.size()];
  }
  std::size_t next_;  // random start, so that balancers do not rotate in step
};

class LeastOfTwo : public Baseline {
  using Baseline::Baseline;
  std::optional<ServerId> pick() override {
    if (servers_.empty()) return std::nullopt;
    return servers_[leastOfTwo(random_, servers_.size(),
                               [this](std::size_t at) { return inFlight_[servers_[at]]; })];
  }
};

class AllSeeing : public Baseline {
 public:
  AllSeeing(const BalancerConfig& config, BalancerHost& host, WaitOracle estimateWait)
      : Baseline(config, host), estimateWait_(std::move(estimateWait)) {}

 private:
  std::optional<ServerId> pick() override {
    std::optional<ServerId> best;
    double least = 0;
    for (const ServerId server : servers_) {
      const double wait = estimateWait_(config_.balancerIndex, server);
      if (wait < 0 || (best && wait >= least)) continue;
      best = server;
      least = wait;
    }
    return best;
  }
  WaitOracle estimateWait_;
};

}  // namespace

std::string_view nameOf(PolicyKind kind) {
  static constexpr std::array<std::string_view, kPolicies.size()> names = {"module", "random", "round_robin",
                                                                           "least_of_two", "all_seeing"};
  return names.at(static_cast<std::size_t>(kind));
}

PolicyKind policyOf(std::string_view name) {
  for (const PolicyKind kind : kPolicies) {
    if (nameOf(kind) == name) return kind;
  }
  throw std::invalid_argument("no such policy: " + std::string(name));
}

std::unique_ptr<BalancingPolicy> makePolicy(PolicyKind kind, const BalancerConfig& config, BalancerHost& host,
                                            const WaitOracle& estimateWait) {
  switch (kind) {
    case PolicyKind::module:
      return std::make_unique<Module>(config, host);
    case PolicyKind::random:
      return std::make_unique<Random>(config, host);
    case PolicyKind::roundRobin:
      return std::make_unique<RoundRobin>(config, host);
    case PolicyKind::leastOfTwo:
      return std::make_unique<LeastOfTwo>(config, host);
    case PolicyKind::allSeeing:
      return std::make_unique<AllSeeing>(config, host, estimateWait);
  }
  throw std::invalid_argument("no such policy");
}

std::size_t leastOfTwo(RandomEngine& engine, std::size_t count,
                       const std::function<std::size_t(std::size_t)>& load) {
  std::uniform_int_distribution<std::size_t> candidate(0, count - 1);
  const std::size_t one = candidate(engine);
  if (count == 1) return one;
  std::size_t other = candidate(engine);
  while (other == one) other = candidate(engine);
  return load(other) < load(one) ? other : one;
}

}  // namespace rackroute::lab
