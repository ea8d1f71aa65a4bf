#include "lab/contender.hpp"

#include <algorithm>
#include <map>
#include <optional>
#include <stdexcept>
#include <unordered_map>
#include <utility>

namespace rackroute::lab {
namespace {

class Module : public Contender {
 public:
  Module(const BalancerConfig& terms, BalancerHost& host) : balancer_(terms, host) {}

  void take(Span now, const Query& query) override {
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
  [[nodiscard]] PoolStatus standing(Span now) const override { return balancer_.poolStatus(now); }

 private:
  // What the module answers by itself, in a wake or for another query, is swept out at its next mention.
  template <class Call>
  void with(QueryId query, const Call& call) {
    const auto at = handles_.find(query.value);
    if (at == handles_.end()) return;
    call(at->second);
    if (at->second.finished()) handles_.erase(at);
    if (handles_.size() < 2 * sweptTo_ + 64) return;
    std::erase_if(handles_, [](const auto& entry) { return entry.second.finished(); });
    sweptTo_ = handles_.size();
  }

  Balancer balancer_;
  std::unordered_map<std::uint32_t, QueryHandle> handles_;
  std::size_t sweptTo_ = 0;
};

/// What all baselines share: they hold the list as told, send what never ran to another server, what may run
/// again too, and give up else.
class Baseline : public Contender {
 public:
  Baseline(const BalancerConfig& terms, BalancerHost& host)
      : terms_(terms), host_(host), chance_(chanceOf(terms.seed, Purpose::policy, terms.balancerIndex)) {
    if (terms_.discoveryOnRequest) host_.watchServers();
  }

  void take(Span now, const Query& query) override {
    Open& open = open_[query.id];
    open.query = query;
    open.deadline = now + query.timeLeft;
    place(now, query.id);
  }
  void executionEnded(Span now, QueryId query, ExecutionNo, Outcome outcome, bool terminal, Span) override {
    const auto at = open_.find(query);
    if (at == open_.end()) return;
    --out_[at->second.server];
    if (terminal || at->second.left) {
      open_.erase(at);
      return;
    }
    const bool never =
        outcome == Outcome::full || outcome == Outcome::connectFailed || outcome == Outcome::invalidQuery;
    if (!never) at->second.mayHaveRun = true;
    const RetrySafety repeat = terms_.useCases[at->second.query.useCase.value].retrySafety;
    if (at->second.mayHaveRun && repeat != RetrySafety::idempotent) return giveUp(now, at);
    place(now, query);
  }
  void clientLeft(Span, QueryId query) override {
    const auto at = open_.find(query);
    if (at != open_.end()) at->second.left = true;
  }
  void serversListed(Span, ServerListKind listing, std::span<const ListedServer> servers) override {
    if (listing != ServerListKind::changes) held_.clear();
    for (const ListedServer& server : servers) {
      const auto at = std::find(held_.begin(), held_.end(), server.id);
      if (server.lifecycle == Lifecycle::serving && at == held_.end())
        held_.push_back(server.id);
      else if (server.lifecycle != Lifecycle::serving && at != held_.end())
        held_.erase(at);
    }
    std::sort(held_.begin(), held_.end());
  }
  void discoveryFailed(Span now) override { host_.wakeAt(now + std::chrono::milliseconds(500)); }
  void wake(Span) override { host_.watchServers(); }

 protected:
  virtual std::optional<ServerId> pick() = 0;

  BalancerConfig terms_;
  BalancerHost& host_;
  Chance chance_;
  std::vector<ServerId> held_;
  std::unordered_map<std::uint64_t, std::size_t> outById_;
  struct OutAt {
    std::unordered_map<std::uint64_t, std::size_t>& by;
    std::size_t& operator[](ServerId id) const { return by[id.value]; }
  };
  OutAt out_{outById_};

 private:
  struct Open {
    Query query;
    Span deadline{};
    ServerId server;
    std::uint32_t executions = 0;
    bool mayHaveRun = false;
    bool left = false;
  };

  void place(Span now, QueryId query) {
    const auto at = open_.find(query);
    Open& open = at->second;
    const std::optional<ServerId> server =
        open.executions < terms_.maxExecutions && now + terms_.tick < open.deadline ? pick() : std::nullopt;
    if (!server) return giveUp(now, at);
    ++open.executions;
    open.server = *server;
    ++out_[*server];
    host_.execute(query, *server, open.deadline - now);
  }
  void giveUp(Span now, std::map<QueryId, Open>::iterator at) {
    const QueryId query = at->first;
    const bool harmless =
        !at->second.mayHaveRun ||
        terms_.useCases[at->second.query.useCase.value].retrySafety == RetrySafety::idempotent;
    const bool reject = harmless && now < at->second.deadline;
    open_.erase(at);
    if (reject)
      host_.reject(query, Span{0});
    else
      host_.abort(query);
  }

  std::map<QueryId, Open> open_;
};

class Random : public Baseline {
  using Baseline::Baseline;
  std::optional<ServerId> pick() override {
    if (held_.empty()) return std::nullopt;
    return held_[std::uniform_int_distribution<std::size_t>(0, held_.size() - 1)(chance_)];
  }
};

class RoundRobin : public Baseline {
 public:
  RoundRobin(const BalancerConfig& terms, BalancerHost& host) : Baseline(terms, host), next_(chance_()) {}

 private:
  std::optional<ServerId> pick() override {
    if (held_.empty()) return std::nullopt;
    return held_[next_++ % held_.size()];
  }
  std::size_t next_;  // starts by chance, or all balancers would go round in step
};

class LeastOfTwo : public Baseline {
  using Baseline::Baseline;
  std::optional<ServerId> pick() override {
    if (held_.empty()) return std::nullopt;
    return held_[leastOfTwo(chance_, held_.size(), [this](std::size_t at) { return out_[held_[at]]; })];
  }
};

class AllSeeing : public Baseline {
 public:
  AllSeeing(const BalancerConfig& terms, BalancerHost& host, TrueWait sees)
      : Baseline(terms, host), sees_(std::move(sees)) {}

 private:
  std::optional<ServerId> pick() override {
    std::optional<ServerId> best;
    double least = 0;
    for (const ServerId server : held_) {
      const double wait = sees_(terms_.balancerIndex, server);
      if (wait < 0 || (best && wait >= least)) continue;
      best = server;
      least = wait;
    }
    return best;
  }
  TrueWait sees_;
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

std::unique_ptr<Contender> makeContender(PolicyKind kind, const BalancerConfig& terms, BalancerHost& host,
                                         const TrueWait& sees) {
  switch (kind) {
    case PolicyKind::module:
      return std::make_unique<Module>(terms, host);
    case PolicyKind::random:
      return std::make_unique<Random>(terms, host);
    case PolicyKind::roundRobin:
      return std::make_unique<RoundRobin>(terms, host);
    case PolicyKind::leastOfTwo:
      return std::make_unique<LeastOfTwo>(terms, host);
    case PolicyKind::allSeeing:
      return std::make_unique<AllSeeing>(terms, host, sees);
  }
  throw std::invalid_argument("no such policy");
}

std::size_t leastOfTwo(Chance& chance, std::size_t places,
                       const std::function<std::size_t(std::size_t)>& held) {
  std::uniform_int_distribution<std::size_t> place(0, places - 1);
  const std::size_t one = place(chance);
  if (places == 1) return one;
  std::size_t other = place(chance);
  while (other == one) other = place(chance);
  return held(other) < held(one) ? other : one;
}

}  // namespace rackroute::lab
