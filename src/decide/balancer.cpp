// The balancing decisions: which server executes a query, whether it is retried, and when it is given up.
//
// The code never blocks, reads no clock and draws random numbers from the configured seed only, so the same
// calls give the same decisions. State is declared in state.hpp.

#include "rackroute/balancer.hpp"

#include <algorithm>
#include <array>
#include <cmath>
#include <cstddef>
#include <limits>
#include <numbers>
#include <random>
#include <utility>

#include "decide/rolling_window.hpp"
#include "decide/state.hpp"

namespace rackroute {
namespace {

using namespace std::chrono_literals;

constexpr std::uint32_t kFailuresToEject = 5;  // consecutive failures of a server
constexpr std::uint32_t kErrorsToExclude = 2;  // consecutive errors of one use case at a server
constexpr Span kEjectTime = 10s;               // failures of servers last 5 s to 35 s
constexpr double kEjectJitter = 0.3;           // of the eject time, so that trials are spread
constexpr double kMaxExcludedShare = 0.5;      // of the pool
constexpr double kWeightStep = 0.1;            // regained per success; full weight is 1
constexpr double kMinWeight = 0.05;            // keeps a failing server in sight
constexpr double kSlowFactor = 1.25;        // of the pool's mean expected latency; slower servers are skipped
constexpr double kOwnZonePreference = 6.0;  // weight factor of servers in the own zone
constexpr std::size_t kHomesPerKey = 2;     // servers of a key; the second takes what the first cannot
constexpr double kHomeFactor = 1.2;         // relative to kSlowFactor, for a key's home
constexpr double kMaxListedLoad = 6;        // mean queries per core; limits shrink above it
constexpr double kListedLoadExponent = 0.5;  // below 1, as the list shows the load late
constexpr double kMaxSpeed = 2;  // of the mean speed; its inverse is the minimum, as reports are noisy
constexpr double kSuspectDropShare = 0.5;   // a complete list that drops more servers is confirmed first
constexpr double kColdSafetyFactor = 0.65;  // of a cold server's overload; work varies about twofold
constexpr double kInitialLimit = 4.0;       // concurrent executions per server, of all balancers
constexpr double kMinLimit = 0.2;           // likewise
constexpr double kLimitStep = 0.07;         // per fast response
constexpr double kLimitCut = 0.7;           // factor per slow response; two in a row halve the limit
constexpr double kFastResponse = 0.5;       // of the SLO time; slower ones mean a queue at the server
constexpr double kOverdueFactor = 3.0;      // of the mean latency; healthy servers stay below it
constexpr double kSlowResponse = 0.6;       // of the SLO time; leaves the rest for the queue here
constexpr double kMinConcurrency = 2.4;     // limits stay above this multiple of what recent throughput needs
constexpr double kMinListedConcurrency = 1.2;  // likewise, if the list reports load
constexpr double kMinSamples = 5;              // for a mean
constexpr double kMinSubset = 3;               // servers; outlasts two failures and can still compare
constexpr double kMinUsers = 8;             // balancers that have a server in their subset; fewer are uneven
constexpr double kResponsesPerMember = 32;  // in a statistics window; the subset grows with them
constexpr double kMaxSaved = 3;             // mean executions that may be saved up below the limits
constexpr Span kCallTime = 100ms;           // of discovery, for a whole list of some dozen servers
constexpr Span kMaxCallSpread = 4s;         // for the first discovery calls of all balancers
constexpr Span kMinBackoff = 250ms;         // of failed discovery calls
constexpr Span kMaxBackoff = 4s;            // well below the time for which a list may stay unrefreshed
constexpr double kMinCompletedShare = 0.5;  // bounds the priority boost of a use case that is rarely served
constexpr double kLatencyMargin = 1.5;      // factor on the mean latency when checking a deadline
constexpr double kAccountTolerance = 1.15;  // factor on an account's share; a balancer sees part of the mix
constexpr Span kMinErrorSpan = 1s;          // duration of a short run of errors that excludes a use case
constexpr Span kFullBackoff = 400ms;        // after a refusal at capacity; the work of a few queries
constexpr Span kMinQueueRecheck = 20ms;     // while queries wait; well below any SLO time
constexpr Span kRetryAfter = 150ms;         // leaves a client's retry a chance within the SLO time
constexpr double kInitialLatency = 0.15;    // seconds, until the first response

double seconds(Span span) { return std::chrono::duration<double>(span).count(); }
Span scaled(Span span, double factor) {
  return Span{static_cast<Span::rep>(static_cast<double>(span.count()) * factor)};
}

double hashToUnit(std::uint64_t key, std::uint64_t server) {  // in (0, 1), by the splitmix64 finalizer
  std::uint64_t value = key ^ (server * 0x9e3779b97f4a7c15U);
  value = (value ^ (value >> 30U)) * 0xbf58476d1ce4e5b9U;
  value = (value ^ (value >> 27U)) * 0x94d049bb133111ebU;
  return (static_cast<double>((value ^ (value >> 31U)) >> 12U) + 0.5) / 4503599627370496.0;
}

ExecState stateAfter(Outcome outcome) {
  using enum Outcome;
  return outcome == full || outcome == connectFailed || outcome == invalidQuery ? ExecState::notExecuted
                                                                                : ExecState::mayHaveExecuted;
}

bool isFailure(Outcome outcome) {  // a refusal at capacity is none; a cancellation says nothing
  return outcome == Outcome::error || outcome == Outcome::timeout || outcome == Outcome::connectFailed ||
         outcome == Outcome::reset;
}

}  // namespace

class BalancerImpl {
 public:
  BalancerImpl(BalancerConfig config, BalancerHost& host)
      : config_(std::move(config)),
        host_(host),
        random_(static_cast<std::uint_fast32_t>(config_.seed)),
        accountResponses_(config_.accountShares.size()),
        completed_(config_.useCases.size()) {
    // Spreads the calls, as all balancers may start at once and discovery handles one call at a time.
    watchAt_ = scaled(callSpread(), draw());
    if (!config_.discoveryOnRequest) watchAt_ = Span::max();
    if (watchAt_ <= Span{0}) wake(Span{0});
    scheduleWake(Span{0});
  }

  void setBalancerCount(std::uint32_t balancers) { config_.balancerCount = std::max(balancers, 1U); }

  // ---- Server lists: the last good list stays in use after discovery errors and implausible lists.

  void serversListed(Span now, ServerListKind listing, std::span<const ListedServer> servers) {
    if (listing != ServerListKind::persisted) watchBackoff_ = std::max(kMinBackoff, callSpread());
    if (listing != ServerListKind::changes) removeAbsent(now, listing, servers);
    for (const ListedServer& listed : servers) updateServer(now, listed);
    fillSubset(now);
    reduceLimits(now);
    dispatchQueued(now);
    scheduleWake(now);
  }

  // A disabled server is outside the pool, so it does not count towards the cap on ejections.
  void disableServer(Span now, ServerId id) {
    if (!std::exchange(findOrAdd(id).disabled, true)) dispatchQueued(now);
    scheduleWake(now);
  }

  // The server counts as just started, as the list may not show its restart. It stays in the subset.
  void enableServer(Span now, ServerId id) {
    Server& server = findOrAdd(id);
    if (!std::exchange(server.disabled, false)) return;
    resetStatistics(now, server);
    server.startedAt = now;
    dispatchQueued(now);
    scheduleWake(now);
  }

  [[nodiscard]] bool isExcluded(Span now, ServerId id) const {
    return std::any_of(servers_.begin(), servers_.end(), [&](const Server& s) {
      return s.id == id && s.listed && (!available(now, s) || s.ejected);
    });
  }

  // The current list stays in use; the call is repeated with exponential backoff and jitter.
  void discoveryFailed(Span now) {
    watchAt_ = now + scaled(watchBackoff_, 0.25 + draw());
    watchBackoff_ = std::min(2 * watchBackoff_, std::max(kMaxBackoff, callSpread()));
    scheduleWake(now);
  }

  // ---- Queries

  std::pair<QuerySlot, std::uint32_t> submit(Span now, const Query& request) {
    const QuerySlot slot = allocateSlot();
    QueryState& query = queries_[slot];
    const std::uint32_t generation = query.generation;
    query.request = request;
    query.arrivedAt = now;
    query.deadline = now + request.timeLeft;
    query.inUse = true;
    fillSubset(now);
    if (!dispatch(now, slot)) enqueueOrFinish(now, slot);
    scheduleWake(now);
    return {slot, generation};
  }

  void wake(Span now) {
    if (wakeAt_ <= now) wakeAt_ = Span::max();
    if (watchAt_ <= now) {
      watchAt_ = Span::max();
      host_.watchServers();
    }
    if (std::exchange(relistDue_, false)) host_.listServers();
    checkOverdue(now);
    dispatchQueued(now);
    scheduleWake(now);
  }

  void executionEnded(Span now, QuerySlot slot, ExecutionNo no, Outcome outcome, bool terminal,
                      Span service) {
    QueryState& query = queries_[slot];
    if (no.value >= query.executions.size() || query.executions[no.value].state != ExecState::inFlight)
      return;
    Execution& execution = query.executions[no.value];
    execution.state = stateAfter(outcome);
    --query.inFlight;
    if (service > Span{0}) reported_.add(now, servers_[execution.server].serviceTime = seconds(service));
    recordOutcome(now, slot, no, execution, outcome);
    if (terminal) query.answered = true;
    if (!query.answered && query.inFlight == 0) {
      if (isExpired(now, query)) {
        finish(now, slot);
      } else if (!dispatch(now, slot)) {
        enqueueOrFinish(now, slot);
      }
    }
    release(slot);
    dispatchQueued(now);
    scheduleWake(now);
  }

  void responseStarted(Span now, QuerySlot slot, ExecutionNo no) {
    const QueryState& query = queries_[slot];
    if (no.value >= query.executions.size()) return;
    for (InFlight& pending : servers_[query.executions[no.value].server].inFlight) {
      if (pending.query == slot && pending.no == no) pending.responseStartedAt = now;
    }
    dispatchQueued(now);
  }

  // All times are counted from the end of the body, so that a slow client does not make its server look slow.
  void bodyComplete(Span now, QuerySlot slot) {
    QueryState& query = queries_[slot];
    query.arrivedAt = now;
    query.deadline = now + query.request.timeLeft;
    query.request.bodyStreaming = false;
    for (Execution& execution : query.executions) {
      execution.sentAt = now;
      for (InFlight& pending : servers_[execution.server].inFlight)
        if (pending.query == slot)
          pending = {.query = slot, .no = pending.no, .sentAt = now, .others = pending.others};
    }
    scheduleWake(now);
  }

  void clientLeft(Span now, QuerySlot slot) {
    dequeue(slot);
    queries_[slot].answered = true;
    release(slot);
    scheduleWake(now);
  }

  [[nodiscard]] PoolStatus poolStatus(Span now) const {
    PoolStatus all;
    for (const Server& server : servers_) {
      if (!server.listed || !inPool(now, server)) continue;
      ++all.pool;
      if (server.ejected) ++all.ejected;
    }
    return all;
  }

  // ---- Handover to a successor

  // Without these statistics a successor could not queue queries or send any to cold servers at first.
  [[nodiscard]] BalancerSnapshot snapshot(Span now) const {
    BalancerSnapshot all{.meanLatency = latency_.mean(now, 0),
                         .responsesPerSecond = latency_.count(now) / statsTime(now)};
    all.warmResponses = warmResponses_;
    all.warmServerSeconds = warmServerSeconds_;
    all.unloadedLatency = unloaded_;
    all.subsetSize = subsetSize_;
    for (const Server& s : servers_) {
      if (!s.listed) continue;
      all.servers.push_back({s.id, s.inSubset, s.ejected, s.consecutiveFailures, s.trialAt - now, s.weight,
                             s.limit, s.coldCredit, s.unitLatency.mean(now, 0), s.serviceTime});
    }
    return all;
  }

  void restore(Span now, const BalancerSnapshot& all) {
    for (double left = all.responsesPerSecond; left >= 1; --left) latency_.add(now, all.meanLatency);
    warmResponses_ = all.warmResponses;
    warmServerSeconds_ = all.warmServerSeconds;
    unloaded_ = all.unloadedLatency;
    subsetSize_ = all.subsetSize;
    if (watchAt_ != Span::max()) watchAt_ = now;  // cheap for discovery, as the list is current
    scheduleWake(now);
    for (Server& server : servers_) {
      const auto at = std::find_if(all.servers.begin(), all.servers.end(),
                                   [&](const ServerSnapshot& s) { return s.id == server.id; });
      if (at == all.servers.end()) continue;
      server.inSubset = at->inSubset;
      server.ejected = at->ejected;
      server.consecutiveFailures = at->consecutiveFailures;
      server.trialAt = now + at->trialIn;
      server.weight = at->weight;
      server.limit = at->limit;
      server.coldCredit = at->coldCredit;
      server.serviceTime = at->serviceTime;
      if (at->unitLatency > 0) server.unitLatency.add(now, at->unitLatency);
      if (at->unitLatency > 0) unitLatency_.add(now, at->unitLatency);
    }
  }

  [[nodiscard]] bool isCurrent(QuerySlot slot, std::uint32_t generation) const {
    return queries_[slot].inUse && queries_[slot].generation == generation;
  }

 private:
  static double statsTime(Span now) { return std::clamp(seconds(now), 1.0, seconds(kBucket) * kBuckets); }
  double draw() { return static_cast<double>(random_()) / (1.0 + decltype(random_)::max()); }  // in [0, 1)
  [[nodiscard]] const UseCase& useCase(const QueryState& query) const {
    return config_.useCases[query.request.useCase.value];
  }

  void removeAbsent(Span now, ServerListKind listing, std::span<const ListedServer> servers) {
    const auto absent = [&](const Server& s) {
      return s.listed && std::none_of(servers.begin(), servers.end(),
                                      [&](const ListedServer& l) { return l.id == s.id; });
    };
    const auto lost = static_cast<double>(std::count_if(servers_.begin(), servers_.end(), absent));
    // An implausible list is requested again; the servers it omits stay in use for most of the drain grace.
    const bool suspect = listing == ServerListKind::complete && !removalDeferred_ && listedCount_ > 0 &&
                         (servers.empty() || lost > kSuspectDropShare * listedCount_);
    for (Server& server : servers_) {
      if (absent(server))
        retire(server, suspect ? now + std::max(config_.drainGrace - 2 * config_.tick, Span{0}) : now);
    }
    removalDeferred_ = suspect;
    if (suspect) relistDue_ = true;
  }

  void retire(Server& server, Span from) {
    server.unavailableFrom = std::min(server.unavailableFrom, from);
    server.listed = false;
  }

  void updateServer(Span now, const ListedServer& listed) {
    auto at =
        std::find_if(servers_.begin(), servers_.end(), [&](const Server& s) { return s.id == listed.id; });
    if (listed.lifecycle != Lifecycle::serving) {
      if (at != servers_.end()) retire(*at, now);
      return;
    }
    const bool known = at != servers_.end();
    if (!known) {
      at = std::find_if(servers_.begin(), servers_.end(), [&](const Server& s) {
        return !s.listed && s.unavailableFrom <= now && s.inFlight.empty() && !s.disabled;
      });
      if (at == servers_.end()) at = servers_.emplace(servers_.end());
    }
    const bool joins = !known || !at->everListed;
    const bool restarted = known && at->listedStartedAt != listed.startedAt && listed.startedAt;
    if (joins || restarted) {
      // New servers join existing subsets with the probability that a listed server is a member.
      if (joins) at->inSubset = subsetSize_ > 0 && draw() * listedCount_ < subsetSize_;
      const bool disabled = known && at->disabled;
      resetStatistics(now, *at);
      at->disabled = disabled;
      at->startedAt = listed.startedAt;
    }
    at->id = listed.id;
    at->zone = listed.zone;
    at->cell = listed.cell;
    // A weight that follows load falls with it; the largest weight seen is taken as the nominal size.
    const double weight = std::max(listed.size, 1e-3);
    at->size = config_.weightsFollowLoad && !joins ? std::max(at->size, weight) : weight;
    at->listedLoad = at->size / weight - 1;
    at->listedStartedAt = listed.startedAt;
    at->unavailableFrom = Span::max();
    at->listed = true;
    at->everListed = true;
  }

  void resetStatistics(Span now, Server& server) {
    server.ejected = server.onTrial = false;
    server.consecutiveFailures = 0;
    server.lastCompletedSentAt = Span::min();
    server.unitLatency = {};
    server.serviceTime = 0;
    server.weight = meanWeight_;
    server.useCases.assign(config_.useCases.size(), {});
    server.coldCredit = draw();  // spreads the balancers' first executions
    server.coldCreditAt = now;
    server.limit = initialLimit();
  }

  // Also adds a server that no list has contained yet, to remember that it is disabled.
  Server& findOrAdd(ServerId id) {
    const auto at =
        std::find_if(servers_.begin(), servers_.end(), [&](const Server& s) { return s.id == id; });
    if (at != servers_.end()) return *at;
    Server& added = servers_.emplace_back();
    added.id = id;
    added.unavailableFrom = Span::min();
    added.useCases.assign(config_.useCases.size(), {});
    return added;
  }

  // ---- The subset of servers that this balancer uses

  // Subsetting limits connections and gives each balancer enough responses to judge its servers. The servers
  // are sorted by zone and cut into parts; each member is from another part. The offset varies by
  // balancer.
  void fillSubset(Span now) {
    order_.clear();
    double usable = 0;
    double unused = 0;
    double size = 0;
    double weight = 0;
    for (ServerSlot slot = 0; slot < servers_.size(); ++slot) {
      const Server& server = servers_[slot];
      if (!server.listed || !available(now, server)) continue;
      order_.push_back(slot);
      size += server.size;
      weight += server.weight;
      unused += server.inSubset || server.ejected ? 0 : 1;
      usable += server.inSubset && !server.ejected ? 1 : 0;
    }
    listedCount_ = static_cast<double>(order_.size());
    meanWeight_ = listedCount_ > 0 ? weight / listedCount_ : 1;
    const double byRate =
        latency_.count(now) / statsTime(now) * seconds(kBucket) * kBuckets / kResponsesPerMember;
    subsetSize_ =
        std::max({subsetSize_, kMinSubset, kMinUsers * listedCount_ / config_.balancerCount, byRate});
    const double wanted = std::min(subsetSize_, usable + unused);
    if (usable >= wanted) return;
    std::sort(order_.begin(), order_.end(), [&](ServerSlot a, ServerSlot b) {
      return std::pair(servers_[a].zone, servers_[a].id) < std::pair(servers_[b].zone, servers_[b].id);
    });
    const double parts = std::ceil(std::min(subsetSize_, listedCount_));
    for (; usable < wanted && unused > 0; ++usable, --unused, ++subsetPicks_) {
      const double part = std::fmod(subsetPicks_, parts);
      const double offset =
          std::fmod(config_.balancerIndex * (std::numbers::phi + part * std::numbers::sqrt2), 1.0);
      double remaining = (part + offset) / parts * size;
      std::size_t at = 0;
      for (; at + 1 < order_.size() && remaining >= servers_[order_[at]].size; ++at)
        remaining -= servers_[order_[at]].size;
      // Servers outside the subset may be ejected, as keys and retries are sent to them too.
      while (servers_[order_[at]].inSubset || servers_[order_[at]].ejected) at = (at + 1) % order_.size();
      servers_[order_[at]].inSubset = true;
      servers_[order_[at]].limit = initialLimit();
    }
  }

  // This balancer's part of kInitialLimit, but at least one execution in total. Members also get the parts of
  // servers outside the subset.
  [[nodiscard]] double initialLimit() const {
    const double size = std::max(subsetSize_, 1.0);
    return std::max(kInitialLimit * std::max(listedCount_ / size, 1.0) / config_.balancerCount, 1 / size);
  }

  [[nodiscard]] Span callSpread() const {
    return std::min(kMaxCallSpread, kCallTime * (config_.balancerCount - 1));
  }

  [[nodiscard]] static bool inPool(Span now, const Server& s) { return s.inSubset && available(now, s); }

  // ---- Outcomes, limits and ejection

  [[nodiscard]] static bool available(Span now, const Server& server) {
    return now < server.unavailableFrom && !server.disabled;
  }

  void recordOutcome(Span now, QuerySlot slot, ExecutionNo no, const Execution& execution, Outcome outcome) {
    Server& server = servers_[execution.server];
    const auto at = std::find_if(server.inFlight.begin(), server.inFlight.end(),
                                 [&](const InFlight& p) { return p.query == slot && p.no == no; });
    if (at == server.inFlight.end()) return;
    const InFlight pending = *at;
    const bool atLimit = timeToCapacity(now) > Span{0} || load(now, server) + 1 > server.limit;
    server.inFlight.erase(at);
    if (server.startedAt && execution.sentAt < *server.startedAt) return;  // the server restarted since
    const Span elapsed = pending.responseStartedAt.value_or(now) - execution.sentAt;
    const QueryState& query = queries_[slot];
    const std::size_t use = query.request.useCase.value;
    const Span slo = useCase(query).sloTime;
    if (outcome == Outcome::completed) {
      server.lastCompletedSentAt = std::max(server.lastCompletedSentAt, execution.sentAt);
      server.unitLatency.add(now, seconds(elapsed) / (pending.others + 1));
      unitLatency_.add(now, seconds(elapsed) / (pending.others + 1));
      latency_.add(now, seconds(elapsed));
      if (query.request.account) accountResponses_[query.request.account->value].add(now, 1);
      const bool own = server.zone == config_.zone;
      RecentStats& latency = zoneLatency_[own];
      latency.add(now, seconds(elapsed));
      if (latency.count(now) >= kMinSamples) unloaded_[own] = std::min(unloaded_[own], latency.mean(now, 0));
      if (!query.answered) completed_[use].add(now, 1);
      if (slowStartFactor(now, server) >= 1) ++warmResponses_[server.inSubset];
      if (atLimit && elapsed <= scaled(slo, kFastResponse)) adjustLimits(now, server, 1 + kLimitStep);
      if (elapsed > scaled(slo, kSlowResponse)) adjustLimits(now, server, kLimitCut);
      // Responses after the SLO time do not restore weight, so that slow servers get fewer queries.
      if (elapsed <= slo) server.weight = std::min(1.0, server.weight + kWeightStep);
      server.consecutiveFailures = server.useCases[use].consecutive = 0;
      zoneFailures(server.zone).consecutive = 0;
      server.ejected = server.onTrial = false;
    } else if (isFailure(outcome)) {
      if (!pending.overdue) countFailure(now, server, use);
      // A use case that fails or hangs at a server is excluded there. A frequent one needs a longer run of
      // errors, as short runs occur by chance.
      UseCaseFailures& run = server.useCases[use];
      if (run.consecutive == 0) run.firstAt = now;
      const bool hung = outcome == Outcome::timeout && isStalled(now, server, pending);
      if ((outcome == Outcome::error || outcome == Outcome::reset || hung) &&
          ++run.consecutive >= kErrorsToExclude &&
          (run.consecutive >= kFailuresToEject || now - run.firstAt >= kMinErrorSpan) && mayExclude(now, use))
        run.excludedUntil = now + scaled(kEjectTime, 1.0 + kEjectJitter * draw());
    } else if (outcome == Outcome::full) {
      // A server that refuses a use case at once would otherwise look idle and attract more of it.
      server.useCases[use].excludedUntil = std::max(server.useCases[use].excludedUntil, now + kFullBackoff);
    }
    server.onTrial = server.onTrial && !server.inFlight.empty();
  }

  // A response adjusts its server's limit; one from outside the subset adjusts all members' limits a little.
  // Limits stay above the concurrency that recent throughput needs (Little's law).
  void adjustLimits(Span now, Server& responder, double factor) {
    if (factor > 1 && meanListedLoad_ > kMaxListedLoad) return;
    double sizes = 0;
    double members = 0;
    for (const Server& server : servers_) {
      if (!inPool(now, server) || server.ejected) continue;
      sizes += server.size;
      ++members;
    }
    const double work = zoneLatency_[0].count(now) * unloaded_[0] + zoneLatency_[1].count(now) * unloaded_[1];
    const double needed =
        (config_.weightsFollowLoad ? kMinListedConcurrency : kMinConcurrency) * work / statsTime(now);
    for (Server& server : servers_) {
      if (&server != &responder && (responder.inSubset || !inPool(now, server))) continue;
      const double step = &server == &responder ? factor : std::pow(factor, 1 / members);
      const double increased = server.limit + (step - 1) * std::min(server.limit, 1 / server.limit);
      const double minimum =
          std::max(kMinLimit / config_.balancerCount, needed * server.size / std::max(sizes, server.size));
      server.limit = step > 1 ? increased : std::max(minimum, server.limit * step);
    }
  }

  // Reacts to load by all balancers, which the listed load shows and this balancer's responses may not.
  void reduceLimits(Span now) {
    double inverseLoad = 0;
    double members = 0;
    for (Server& server : servers_) {
      if (!inPool(now, server) || server.ejected || zoneDown(now, server.zone)) continue;
      inverseLoad += 1 / (1 + server.listedLoad);
      ++members;
    }
    meanListedLoad_ = members > 0 ? members / inverseLoad - 1 : 0;  // harmonic mean
    if (meanListedLoad_ <= kMaxListedLoad) return;
    for (Server& server : servers_)
      if (server.inSubset)
        server.limit = std::max(server.limit * kMaxListedLoad / meanListedLoad_, 1 / std::max(members, 1.0));
  }

  void countFailure(Span now, Server& server, std::size_t use) {
    server.weight = std::max(kMinWeight, server.weight / 2);
    ++server.consecutiveFailures;
    server.lastFailureAt = now;
    ZoneFailures& zone = zoneFailures(server.zone);
    ++zone.consecutive;
    zone.lastAt = now;
    if (server.ejected || (server.consecutiveFailures >= kFailuresToEject && mayExclude(now, use)))
      eject(now, server);
  }

  // Detects hung servers: an execution that is far slower than usual counts as a timeout before its deadline.
  [[nodiscard]] Span overdueAt(Span now, const InFlight& pending) const {
    const Span slo = useCase(queries_[pending.query]).sloTime;
    return pending.sentAt + std::max(slo, scaled(1s, kOverdueFactor * latency_.mean(now, kInitialLatency)));
  }

  void checkOverdue(Span now) {
    for (Server& server : servers_) {
      for (InFlight& pending : server.inFlight) {
        if (pending.overdue || isIdle(pending) || now < overdueAt(now, pending)) continue;
        pending.overdue = true;
        if (isStalled(now, server, pending)) continue;
        // By the listed load there is no queue at the server, so the response was probably lost.
        if (!config_.weightsFollowLoad || server.listedLoad > kInitialLimit)
          adjustLimits(now, server, kLimitCut);
        countFailure(now, server, queries_[pending.query].request.useCase.value);
      }
    }
  }

  void eject(Span now, Server& server) {
    if (server.ejected && now < server.trialAt) return;  // an execution from before the ejection
    server.ejected = true;
    server.onTrial = false;
    server.trialAt = now + scaled(kEjectTime, 1.0 + kEjectJitter * draw());
  }

  // Exclusion must leave half of the pool, as the balancer's own failure detection may be at fault.
  [[nodiscard]] bool mayExclude(Span now, std::size_t use) const {
    double pool = 0;
    double excluded = 0;
    for (const Server& server : servers_) {
      if (!server.listed || !inPool(now, server)) continue;
      ++pool;
      if (server.ejected || now < server.useCases[use].excludedUntil) ++excluded;
    }
    return excluded + 1 <= kMaxExcludedShare * pool;
  }

  // ---- Cold servers

  // The share of its capacity that a server is assumed to have, growing linearly during its cold time.
  [[nodiscard]] double slowStartFactor(Span now, const Server& server) const {
    if (!server.startedAt || config_.coldTime <= Span{0}) return 1;
    const double age = std::max(0.0, seconds(now - *server.startedAt)) / seconds(config_.coldTime);
    return std::min(1.0, config_.coldShare + (1 - config_.coldShare) * age);
  }

  // A token bucket that keeps a cold server below the load that overloads it, even if it is the only one
  // left. The rate derives from this balancer's warm responses, so that all balancers together stay below it.
  [[nodiscard]] bool hasColdCredit(Span now, Server& server) {
    const double factor = slowStartFactor(now, server);
    if (factor >= 1) return true;
    const double rate = factor * config_.overloadMultiple * kColdSafetyFactor * server.size *
                        warmResponses_[server.inSubset] / std::max(warmServerSeconds_[server.inSubset], 1.0);
    const double most = std::max(1.0, rate * seconds(config_.overloadWindow));
    server.coldCredit = std::min(most, server.coldCredit + rate * seconds(now - server.coldCreditAt));
    server.coldCreditAt = now;
    return server.coldCredit >= 1;
  }

  // Measured since the start rather than over a window, as recent throughput may be low during an outage.
  void measureWarmTime(Span now) {
    for (const Server& server : servers_) {
      if (server.listed && !server.ejected && slowStartFactor(now, server) >= 1)
        warmServerSeconds_[server.inSubset] += server.size * seconds(now - warmMeasuredAt_);
    }
    warmMeasuredAt_ = now;
  }

  // ---- Server selection

  // The server completed an execution that was sent later, so this one's connection has probably failed.
  [[nodiscard]] bool isStalled(Span now, const Server& server, const InFlight& pending) const {
    return server.lastCompletedSentAt > pending.sentAt &&
           now > pending.sentAt + scaled(1s, kOverdueFactor * latency_.mean(now, kInitialLatency));
  }
  // The server does no work: the body is still being received, or the response is being sent.
  [[nodiscard]] static bool isIdle(const InFlight& p) { return p.bodyStreaming || p.responseStartedAt; }
  [[nodiscard]] double load(Span now, const Server& server) const {
    return static_cast<double>(
        std::count_if(server.inFlight.begin(), server.inFlight.end(), [&](const InFlight& p) {
          return !isIdle(p) && !isStalled(now, server, p) && !(p.overdue && config_.weightsFollowLoad);
        }));
  }

  [[nodiscard]] double expectedLatency(Span now, const Server& server, double mean) const {
    // Without own samples the mean over all servers applies, so that an idle server is not starved.
    double estimate = server.unitLatency.mean(now, unitLatency_.mean(now, mean)) * (load(now, server) + 1);
    // The latency is at least the age of the oldest unanswered execution.
    for (const InFlight& pending : server.inFlight) {
      if (!isIdle(pending) && !isStalled(now, server, pending))
        estimate = std::max(estimate, seconds(now - pending.sentAt));
    }
    return estimate;
  }

  [[nodiscard]] bool wasTried(const QueryState& query, ServerSlot slot) const {
    return std::any_of(query.executions.begin(), query.executions.end(),
                       [&](const Execution& e) { return e.server == slot; });
  }

  // From the service times that servers report; 1 if this one reports none.
  [[nodiscard]] double relativeSpeed(Span now, const Server& server) const {
    if (server.serviceTime <= 0) return 1;
    return std::clamp(reported_.mean(now, server.serviceTime) / server.serviceTime, 1 / kMaxSpeed, kMaxSpeed);
  }

  [[nodiscard]] static bool isFailing(Span now, std::uint32_t count, Span lastAt, std::uint32_t limit) {
    return count >= limit && now < lastAt + kEjectTime;
  }

  ZoneFailures& zoneFailures(ZoneId zone) {
    if (zone.value >= zoneFailures_.size()) zoneFailures_.resize(zone.value + 1);
    return zoneFailures_[zone.value];
  }
  // Detects the failure of a whole zone without waiting for each of its servers to fail.
  bool zoneDown(Span now, ZoneId zone) {
    return isFailing(now, zoneFailures(zone).consecutive, zoneFailures(zone).lastAt, kFailuresToEject);
  }

  std::optional<ServerSlot> pickServer(Span now, const QueryState& query) {
    if (timeToCapacity(now) > Span{0}) return std::nullopt;
    measureWarmTime(now);
    // Listed load takes precedence over key affinity.
    const bool affinity = config_.keyAffinity && query.request.key && !config_.weightsFollowLoad;
    const bool retry = firstExecuted(query) != nullptr;
    const double mean = latency_.mean(now, kInitialLatency);
    expected_.assign(servers_.size(), 0.0);
    double inverse = 0;
    double pool = 0;
    for (ServerSlot slot = 0; slot < servers_.size(); ++slot) {
      Server& server = servers_[slot];
      if (!available(now, server) || !(server.inSubset || affinity || retry) ||
          !retryAllowed(now, query, server))
        continue;
      if (server.ejected) {
        if (trialDue(now, server, query) && hasColdCredit(now, server) && !wasTried(query, slot)) return slot;
        continue;
      }
      if (now < server.useCases[query.request.useCase.value].excludedUntil) continue;
      expected_[slot] = std::max(expectedLatency(now, server, mean), 1e-6);
      if (!server.inSubset) continue;
      inverse += 1 / expected_[slot];
      ++pool;
    }
    const double bound = kSlowFactor * (pool > 0 ? pool / inverse : mean);  // harmonic mean
    // Key affinity is suspended while the own zone is slower than the others.
    const bool fast = zoneLatency_[1].mean(now, 0) <= kSlowFactor * zoneLatency_[0].mean(now, unloaded_[0]);
    const bool useHomes = affinity && fast && !zoneDown(now, config_.zone);
    std::array<std::pair<double, ServerSlot>, kHomesPerKey> nearest;  // distance and server
    nearest.fill({std::numeric_limits<double>::infinity(), 0});
    std::optional<ServerSlot> best;
    double sum = 0;
    pickWeights_.assign(servers_.size(), 0.0);
    for (ServerSlot slot = 0; slot < servers_.size(); ++slot) {
      Server& server = servers_[slot];
      if (expected_[slot] <= 0 || wasTried(query, slot)) continue;
      const double odds = server.weight * server.size * slowStartFactor(now, server) *
                          relativeSpeed(now, server) * std::pow(1 + server.listedLoad, -kListedLoadExponent);
      if (useHomes && server.zone == config_.zone &&
          !isFailing(now, server.consecutiveFailures, server.lastFailureAt, 1)) {
        // Rendezvous hashing on listed data only, so that all balancers choose the same homes for a key.
        const double capacity = server.size * slowStartFactor(now, server);
        const double distance = -std::log(hashToUnit(query.request.key->value, server.id.value)) / capacity;
        if (distance < nearest.back().first) {
          nearest.back() = {distance, slot};
          std::sort(nearest.begin(), nearest.end());
        }
      }
      if (!(server.inSubset || retry) || !hasCapacity(now, server)) continue;
      if (!best || expected_[slot] < expected_[*best]) best = slot;
      if (expected_[slot] > bound) continue;
      pickWeights_[slot] = server.zone == config_.zone ? kOwnZonePreference * odds : odds;
      sum += pickWeights_[slot];
    }
    // Homes come first: a weight factor would be too weak among many servers.
    for (const auto& [distance, home] : nearest) {
      if (!std::isinf(distance) && expected_[home] <= kHomeFactor * bound && hasCapacity(now, servers_[home]))
        return home;
    }
    if (sum <= 0) return best;
    double rest = draw() * sum;
    for (ServerSlot slot = 0; slot < servers_.size() && rest >= 0; ++slot) {
      if (pickWeights_[slot] <= 0) continue;
      best = slot;
      rest -= pickWeights_[slot];
    }
    return best;
  }

  // Idempotent queries are preferred for trials, as a failed trial can then be retried.
  [[nodiscard]] bool trialDue(Span now, const Server& server, const QueryState& query) const {
    if (server.onTrial || now < server.trialAt || !server.inFlight.empty()) return false;
    return useCase(query).retrySafety == RetrySafety::idempotent || now >= server.trialAt + kEjectTime;
  }

  [[nodiscard]] bool hasCapacity(Span now, Server& server) {
    // If the cap on ejections keeps a failing server in the pool, it gets one execution at a time.
    if (server.consecutiveFailures >= kFailuresToEject && !server.inFlight.empty()) return false;
    // A failed zone gets one execution at a time.
    if (zoneDown(now, server.zone) && std::any_of(servers_.begin(), servers_.end(), [&](const Server& s) {
          return s.zone == server.zone && !s.inFlight.empty();
        }))
      return false;
    return load(now, server) + 1 <= std::max(1.0, server.limit) && hasColdCredit(now, server);
  }

  // Time until another execution may start. The sum of all limits applies too; as it may be below one, unused
  // capacity is saved up, in seconds of execution.
  [[nodiscard]] Span timeToCapacity(Span now) {
    double active = 0;
    double limits = 0;
    for (const Server& server : servers_) {
      active += load(now, server);
      if (inPool(now, server) && !server.ejected && !zoneDown(now, server.zone)) limits += server.limit;
    }
    const double mean = latency_.mean(now, kInitialLatency);
    saved_ =
        std::clamp(saved_ + (limits - active) * seconds(now - savedAt_), -kMaxSaved * mean, kMaxSaved * mean);
    savedAt_ = now;
    const double needed = mean * (active + 1) - saved_;
    if (active + 1 <= limits || needed <= 0) return Span{0};
    return scaled(1s, limits <= active ? mean : std::min(1.0, needed / (limits - active))) + Span{1};
  }

  // ---- Retries and dispatch

  // The first execution that may have taken effect.
  [[nodiscard]] static const Execution* firstExecuted(const QueryState& query) {
    const auto at = std::find_if(query.executions.begin(), query.executions.end(),
                                 [](const Execution& e) { return e.state != ExecState::notExecuted; });
    return at == query.executions.end() ? nullptr : &*at;
  }

  // A query that may have been executed is retried only where the servers would discard a duplicate.
  [[nodiscard]] bool retryAllowed(Span now, const QueryState& query, const Server& server) const {
    const Execution* first = firstExecuted(query);
    const UseCase& use = useCase(query);
    if (first == nullptr || use.retrySafety == RetrySafety::idempotent) return true;
    if (use.retrySafety == RetrySafety::nonIdempotent) return false;
    if (now + 2 * config_.tick >= first->sentAt + use.dedupWindow) return false;
    const bool sameZone = server.zone == first->zone;
    return use.dedupScope == DedupScope::all ||
           (sameZone && (use.dedupScope == DedupScope::zone || server.cell == first->cell));
  }

  [[nodiscard]] bool mayExecute(Span now, const QueryState& query) const {
    if (query.answered || query.inFlight > 0 || now + config_.tick >= query.deadline) return false;
    if (query.executions.size() >= std::min(config_.maxExecutions, query.request.maxExecutions)) return false;
    return std::any_of(servers_.begin(), servers_.end(),
                       [&](const Server& s) { return available(now, s) && retryAllowed(now, query, s); });
  }

  [[nodiscard]] bool isExpired(Span now, const QueryState& query) const {
    const UseCase& use = useCase(query);
    return now >= query.deadline || (use.lateImportance <= 0 && now >= query.arrivedAt + use.sloTime);
  }

  bool dispatch(Span now, QuerySlot slot) {
    QueryState& query = queries_[slot];
    if (!mayExecute(now, query)) return false;
    const std::optional<ServerSlot> picked = pickServer(now, query);
    if (!picked) return false;
    Server& server = servers_[*picked];
    const ExecutionNo no{static_cast<std::uint32_t>(query.executions.size())};
    server.onTrial = server.ejected;
    server.inFlight.push_back({.query = slot,
                               .no = no,
                               .sentAt = now,
                               .others = load(now, server),
                               .bodyStreaming = query.request.bodyStreaming});
    server.coldCredit -= 1;
    query.executions.push_back({*picked, now, server.zone, server.cell});
    ++query.inFlight;
    dequeue(slot);
    host_.execute(query.request.id, server.id, query.deadline - now);
    return true;
  }

  // ---- The queue

  void enqueueOrFinish(Span now, QuerySlot slot) {
    QueryState& query = queries_[slot];
    if (!mayExecute(now, query) || now >= latestDispatch(now, query)) return finish(now, slot);
    query.priority = queuePriority(now, query);
    const auto before = [&](QuerySlot a, QuerySlot b) { return queries_[a].priority > queries_[b].priority; };
    const auto at = std::upper_bound(queue_.begin(), queue_.end(), slot, before);
    // Rejects the query at once if those ahead of it cannot be served in time at the current throughput.
    const double ahead = static_cast<double>(at - queue_.begin());
    const double rate = latency_.count(now) / statsTime(now);
    const double left = seconds(latestDispatch(now, query) - now - timeToCapacity(now));
    if (left < 0 || ahead > rate * left) return finish(now, slot);
    queue_.insert(at, slot);
    query.queued = true;
  }

  // Use cases that were rarely completed of late get a higher priority, so that none starves.
  [[nodiscard]] double queuePriority(Span now, const QueryState& query) const {
    const double served =
        std::max(kMinCompletedShare, completed_[query.request.useCase.value].mean(now, 1.0));
    const double factor = exceedsAccountShare(now, query) ? config_.beyondShareImportance : 1.0;
    return factor * useCase(query).importance / served;
  }

  [[nodiscard]] bool exceedsAccountShare(Span now, const QueryState& query) const {
    if (!query.request.account) return false;
    const std::size_t account = query.request.account->value;
    const double allowed = kAccountTolerance * config_.accountShares[account] * latency_.count(now);
    return accountResponses_[account].count(now) > allowed + 1;
  }

  // The latest time at which an execution is still expected to complete within the SLO time.
  [[nodiscard]] Span latestDispatch(Span now, const QueryState& query) const {
    const Span reserve = scaled(1s, kLatencyMargin * latency_.mean(now, kInitialLatency));
    return std::min(query.deadline, query.arrivedAt + useCase(query).sloTime) - reserve;
  }

  void dequeue(QuerySlot slot) {
    if (!queries_[slot].queued) return;
    queries_[slot].queued = false;
    std::erase(queue_, slot);
  }

  void dispatchQueued(Span now) {
    for (std::size_t i = 0; i < queue_.size();) {
      const QuerySlot slot = queue_[i];
      if (now >= latestDispatch(now, queries_[slot]) || !mayExecute(now, queries_[slot])) {
        dequeue(slot);
        finish(now, slot);
      } else if (!dispatch(now, slot)) {
        ++i;
      }
    }
  }

  // ---- Final answers

  void finish(Span now, QuerySlot slot) {
    QueryState& query = queries_[slot];
    if (query.answered) return;
    query.answered = true;
    completed_[query.request.useCase.value].add(now, 0);
    const UseCase& use = useCase(query);
    const bool harmless = firstExecuted(query) == nullptr || use.retrySafety == RetrySafety::idempotent ||
                          (use.retrySafety == RetrySafety::deduplicated && use.dedupScope == DedupScope::all);
    if (!harmless || now >= query.deadline)
      host_.abort(query.request.id);
    else
      host_.reject(query.request.id, std::min(kRetryAfter, config_.maxRetryAfter));
    release(slot);
  }

  // ---- Query slots and timers

  QuerySlot allocateSlot() {
    const auto free = std::ranges::find(queries_, false, &QueryState::inUse);
    const auto slot = static_cast<QuerySlot>(free - queries_.begin());
    if (free == queries_.end()) queries_.emplace_back();
    return slot;
  }

  void release(QuerySlot slot) {
    QueryState& query = queries_[slot];
    if (!query.inUse || !query.answered || query.inFlight > 0) return;
    query = QueryState{.generation = query.generation + 1};
  }

  void scheduleWake(Span now) {
    Span due = relistDue_ ? now : watchAt_;
    for (const QuerySlot slot : queue_) due = std::min(due, latestDispatch(now, queries_[slot]));
    if (!queue_.empty()) due = std::min(due, now + std::max(timeToCapacity(now), kMinQueueRecheck));
    for (const Server& server : servers_) {
      for (const InFlight& pending : server.inFlight)
        if (!pending.overdue && !isIdle(pending)) due = std::min(due, overdueAt(now, pending));
    }
    due = std::max(due, now + config_.tick);
    if (due >= wakeAt_ || due == Span::max()) return;
    wakeAt_ = due;
    host_.wakeAt(due);
  }

  BalancerConfig config_;
  BalancerHost& host_;
  std::ranlux24_base random_;
  std::vector<Server> servers_;
  std::vector<QueryState> queries_;
  std::vector<QuerySlot> queue_;     // by descending priority
  std::vector<ServerSlot> order_;    // scratch of fillSubset()
  std::vector<double> expected_;     // scratch of pickServer(), by server slot
  std::vector<double> pickWeights_;  // scratch of pickServer(), by server slot
  RecentStats latency_;              // seconds, of completed executions
  RecentStats unitLatency_;          // of all servers
  RecentStats reported_;             // seconds, as reported by servers
  std::vector<RecentStats> accountResponses_;
  std::vector<RecentStats> completed_;         // by use case: 1 per completed query, 0 per given up
  std::array<double, 2> warmResponses_{};      // of servers outside the subset, and of members
  std::array<double, 2> warmServerSeconds_{};  // likewise, weighted by server size
  Span warmMeasuredAt_{};
  double listedCount_ = 0;  // available servers
  double meanWeight_ = 1;   // of available servers
  double subsetSize_ = 0;   // wanted
  std::uint32_t subsetPicks_ = 0;
  std::array<RecentStats, 2> zoneLatency_;  // of other zones, and of the own
  std::array<double, 2> unloaded_{1, 1};    // seconds; lowest mean so far
  std::vector<ZoneFailures> zoneFailures_;  // by zone
  double meanListedLoad_ = 0;               // queries per core in the pool
  double saved_ = 1;                        // seconds of execution; see timeToCapacity()
  Span savedAt_{};
  Span watchAt_ = Span::max();
  Span watchBackoff_ = std::max(kMinBackoff, callSpread());
  Span wakeAt_ = Span::max();
  bool removalDeferred_ = false;
  bool relistDue_ = false;
};

// ---- Public interface

Balancer::Balancer(BalancerConfig config, BalancerHost& host)
    : impl_(std::make_unique<BalancerImpl>(std::move(config), host)) {}
Balancer::~Balancer() = default;

QueryHandle Balancer::submit(Span now, const Query& query) {
  const auto [slot, generation] = impl_->submit(now, query);
  return {*impl_, slot, generation};
}
void Balancer::serversListed(Span now, ServerListKind listing, std::span<const ListedServer> servers) {
  impl_->serversListed(now, listing, servers);
}
void Balancer::setBalancerCount(std::uint32_t balancers) { impl_->setBalancerCount(balancers); }
void Balancer::discoveryFailed(Span now) { impl_->discoveryFailed(now); }
void Balancer::wake(Span now) { impl_->wake(now); }
void Balancer::disableServer(Span now, ServerId server) { impl_->disableServer(now, server); }
void Balancer::enableServer(Span now, ServerId server) { impl_->enableServer(now, server); }
bool Balancer::isExcluded(Span now, ServerId server) const { return impl_->isExcluded(now, server); }
BalancerSnapshot Balancer::snapshot(Span now) const { return impl_->snapshot(now); }
void Balancer::restore(Span now, const BalancerSnapshot& snapshot) { impl_->restore(now, snapshot); }
PoolStatus Balancer::poolStatus(Span now) const { return impl_->poolStatus(now); }

void QueryHandle::executionEnded(Span now, ExecutionNo execution, Outcome outcome, bool terminal,
                                 Span service) {
  if (!finished()) impl_->executionEnded(now, slot_, execution, outcome, terminal, service);
}
void QueryHandle::responseStarted(Span now, ExecutionNo execution) {
  if (!finished()) impl_->responseStarted(now, slot_, execution);
}
void QueryHandle::bodyComplete(Span now) {
  if (!finished()) impl_->bodyComplete(now, slot_);
}
void QueryHandle::clientLeft(Span now) {
  if (!finished()) impl_->clientLeft(now, slot_);
}
bool QueryHandle::finished() const { return !impl_->isCurrent(slot_, generation_); }

}  // namespace rackroute
