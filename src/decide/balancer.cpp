// The decision module: which server gets a query, when it goes out again, and when it is given up.
//
// A client process owns one Balancer (include/rackroute/balancer.hpp), hands it queries, server lists and the
// time, and tells each QueryHandle what becomes of its query. The module answers by calls on Host. It never
// blocks, reads no clock and draws all chance from the seed in Terms: the same calls give the same answers.
//
// Read on from top to bottom: constants, then the Decider in the order of a query's life: the list, the pool,
// the pick, the execution, its outcome, the final answer. What is kept of each stands in held.hpp.

#include "rackroute/balancer.hpp"

#include <algorithm>
#include <array>
#include <cmath>
#include <cstddef>
#include <limits>
#include <numbers>
#include <random>
#include <utility>

#include "decide/buckets.hpp"
#include "decide/held.hpp"

namespace rackroute {
namespace {

using namespace std::chrono_literals;

constexpr std::uint32_t kFailuresToEject = 5;  // in a row; the design page's figure
constexpr std::uint32_t kErrorsToShut = 2;     // in a row in one use case, too rare there for five
constexpr Span kEjectTime = 10s;               // the design page's start value; troubles last 5 s to 35 s
constexpr double kEjectSpread = 0.3;           // share of the eject time; trials must not all fall together
constexpr double kMostOut = 0.5;               // share of the pool; the design page's self-preservation
constexpr double kWeightStep = 0.1;            // of full weight 1, a success; the design page's figure
constexpr double kWeightFloor = 0.05;          // of full weight 1; keeps a failing server in sight
constexpr double kCrowded = 1.25;     // of the pool's mean expected answer time; "well above" begins here
constexpr double kNearer = 6.0;       // draw weight of the own zone; crossing costs time and money
constexpr std::size_t kHomes = 2;     // servers a key may be met at; the second takes what the first can't
constexpr double kHomeCrowded = 1.2;  // of the common bound; the met key takes under half as long
constexpr double kHeld = 6;       // queries for each core; a server that holds more in the mean slows down
constexpr double kYield = 0.5;    // power of listed load in the draw; a late list needs a gentle answer
constexpr double kMostSpeed = 2;  // of the mean speed, and its inverse; reports are noisy
constexpr double kDropDoubted = 0.5;  // share of the held servers; losing more at once is doubted
constexpr double kColdMargin = 0.65;  // share of the tipping budget; queries' work varies about twofold
constexpr double kFirstLimit = 4.0;   // executions of all balancers; a queue answered within an SLO time
constexpr double kLeastLimit = 0.2;   // executions of all balancers; one at a time on every fifth server
constexpr double kLimitStep = 0.07;   // of the limit, per quick answer; a late one undoes seven
constexpr double kLimitCut = 0.7;     // of the limit, per late answer; two in a row halve it
constexpr double kTimely = 0.5;       // of the SLO time; slower answers mean a queue at the server
constexpr double kOverdue = 3.0;      // of the usual answer time; no healthy server strays that far
constexpr double kLate = 0.6;         // of the SLO time; leaves the rest for waiting here
constexpr double kFlow = 2.4;         // of the executions that the finishing rate needs; room to grow again
constexpr double kListedFlow = 1.2;   // the same where the list tells that there is room to grow
constexpr double kEnough = 5;         // answers; fewer make no mean
constexpr double kLeastSet = 3;       // servers; a set survives two failures and can still compare
constexpr double kCover = 8;          // balancers in each server's sets, at least; fewer would be uneven
constexpr double kSetAnswers = 32;    // answers for each member in a ring's time; fewer tell nothing
constexpr double kSaved = 3;          // usual executions saved up below a limit; a short run of queries
constexpr Span kOneCall = 100ms;      // of discovery's time; a call for a whole list of some dozen servers
constexpr Span kAllCalls = 4s;        // at most for all calls; leaves time to be served while the list holds
constexpr Span kFirstAsk = 250ms;     // first repeat of a failed discovery call; a tick or two is too soon
constexpr Span kLastAsk = 4s;         // longest backoff; well inside the time a held list may go unasked
constexpr double kLeastServed = 0.5;  // share of a use case's queries; bounds what starving adds
constexpr double kAnswerRoom = 1.5;   // of the usual answer time; sent later, half would come too late
constexpr double kShareSlack = 1.15;  // of an account's part; a balancer sees no exact mix
constexpr Span kRareRun = 1s;         // a run of two errors lasts that long, or five are needed and come soon
constexpr Span kRest = 400ms;         // after one full; a few queries' work, within an SLO time
constexpr Span kLeastWait = 20ms;     // between looks for room while queries wait; well under any SLO time
constexpr Span kAdvice = 150ms;  // when to come back; leaves a client's retry a chance within the SLO time
constexpr double kUnmeasured = 0.15;  // seconds; answer time assumed before the first answer

double seconds(Span span) { return std::chrono::duration<double>(span).count(); }
Span scaled(Span span, double by) {
  return Span{static_cast<Span::rep>(static_cast<double>(span.count()) * by)};
}

double fraction(std::uint64_t key, std::uint64_t server) {  // of 1, never 0; by splitmix64's finish
  std::uint64_t value = key ^ (server * 0x9e3779b97f4a7c15U);
  value = (value ^ (value >> 30U)) * 0xbf58476d1ce4e5b9U;
  value = (value ^ (value >> 27U)) * 0x94d049bb133111ebU;
  return (static_cast<double>((value ^ (value >> 31U)) >> 12U) + 0.5) / 4503599627370496.0;
}

Fate fateAfter(Outcome outcome) {
  using enum Outcome;
  return outcome == full || outcome == connectFailed || outcome == moot ? Fate::neverRan : Fate::mayHaveRun;
}

bool isFailure(Outcome outcome) {  // full is back pressure; cancelled and moot say nothing
  return outcome == Outcome::error || outcome == Outcome::timeout || outcome == Outcome::connectFailed ||
         outcome == Outcome::reset;
}

}  // namespace

class Decider {
 public:
  Decider(Terms terms, Host& host)
      : terms_(std::move(terms)),
        host_(host),
        chance_(static_cast<std::uint_fast32_t>(terms_.seed)),
        accountAnswers_(terms_.accounts.size()),
        served_(terms_.useCases.size()) {
    // Guards against a fleet that starts together and asks at once: discovery, which works through calls in
    // turn, would serve hardly any in time. Each asks at its own moment of what all of them take.
    askAt_ = scaled(allCalls(), draw());
    if (!terms_.discoveryOnRequest) askAt_ = Span::max();
    if (askAt_ <= Span{0}) wake(Span{0});
    arm(Span{0});
  }

  void fleetOf(std::uint32_t balancers) { terms_.balancers = std::max(balancers, 1U); }

  // ---- The list: the last good set is held through errors and doubtful lists.

  void serversListed(Span now, Listing listing, std::span<const ListedServer> servers) {
    if (listing != Listing::persisted) askBackoff_ = std::max(kFirstAsk, allCalls());
    if (listing != Listing::changes) dropAbsent(now, listing, servers);
    for (const ListedServer& listed : servers) update(now, listed);
    fillSet(now);
    cutCrowded(now);
    placeWaiting(now);
    arm(now);
  }

  // Maintenance: out by hand is a drain that no list ends. It is in no pool meanwhile, so that the cap on
  // ejection is reckoned without it.
  void takeOut(Span now, ServerId id) {
    if (!std::exchange(named(id).takenOut, true)) placeWaiting(now);
    arm(now);
  }

  // Guards against a restarted server that the list still calls old: it counts as started when it is put
  // back, by all balancers at once. Its place in the set was kept, as a full set would not take it again.
  void putBack(Span now, ServerId id) {
    Server& server = named(id);
    if (!std::exchange(server.takenOut, false)) return;
    refresh(now, server);
    server.startedAt = now;
    placeWaiting(now);
    arm(now);
  }

  [[nodiscard]] bool avoids(Span now, ServerId id) const {
    return std::any_of(servers_.begin(), servers_.end(),
                       [&](const Server& s) { return s.id == id && s.held && (!open(now, s) || s.ejected); });
  }

  // Guards against a registry that is out of reach: the held set stays, and the call is repeated later.
  void discoveryFailed(Span now) {
    askAt_ = now + scaled(askBackoff_, 0.25 + draw());
    askBackoff_ = std::min(2 * askBackoff_, std::max(kLastAsk, allCalls()));
    arm(now);
  }

  // ---- Time and queries

  std::pair<QuerySlot, std::uint32_t> take(Span now, const Query& query) {
    const QuerySlot slot = freeSlot();
    Held& held = queries_[slot];
    const std::uint32_t turn = held.turn;
    held.query = query;
    held.arrived = now;
    held.deadline = now + query.timeLeft;
    held.inUse = true;
    fillSet(now);
    if (!place(now, slot)) waitOrGiveUp(now, slot);
    arm(now);
    return {slot, turn};
  }

  void wake(Span now) {
    if (wakeAt_ <= now) wakeAt_ = Span::max();
    if (askAt_ <= now) {
      askAt_ = Span::max();
      host_.watchServers();
    }
    if (std::exchange(listAgain_, false)) host_.listServers();
    countOverdue(now);
    placeWaiting(now);
    arm(now);
  }

  // ---- What a handle is told

  void executionEnded(Span now, QuerySlot slot, ExecutionNo no, Outcome outcome, bool terminal,
                      Span service) {
    Held& held = queries_[slot];
    if (no.value >= held.executions.size() || held.executions[no.value].fate != Fate::out) return;
    Execution& execution = held.executions[no.value];
    execution.fate = fateAfter(outcome);
    --held.out;
    if (service > Span{0}) services_.add(now, servers_[execution.server].service = seconds(service));
    judge(now, slot, no, execution, outcome);
    if (terminal) held.answered = true;
    if (!held.answered && held.out == 0) {
      if (hopeless(now, held)) {
        answer(now, slot);
      } else if (!place(now, slot)) {
        waitOrGiveUp(now, slot);
      }
    }
    release(slot);
    placeWaiting(now);
    arm(now);
  }

  void answerStarted(Span now, QuerySlot slot, ExecutionNo no) {
    const Held& held = queries_[slot];
    if (no.value >= held.executions.size()) return;
    for (Pending& pending : servers_[held.executions[no.value].server].out) {
      if (pending.query == slot && pending.no == no) pending.started = now;
    }
    placeWaiting(now);
  }

  // Guards against a slow client that makes its server look slow: all times count from the body's last byte.
  void bodyWhole(Span now, QuerySlot slot) {
    Held& held = queries_[slot];
    held.arrived = now;
    held.deadline = now + held.query.timeLeft;
    held.query.coming = false;
    for (Execution& execution : held.executions) {
      execution.sentAt = now;
      for (Pending& pending : servers_[execution.server].out)
        if (pending.query == slot)
          pending = {.query = slot, .no = pending.no, .sentAt = now, .others = pending.others};
    }
    arm(now);
  }

  void clientLeft(Span now, QuerySlot slot) {
    stopWaiting(slot);
    queries_[slot].answered = true;
    release(slot);
    arm(now);
  }

  [[nodiscard]] Standing standing(Span now) const {
    Standing all;
    for (const Server& server : servers_) {
      if (!server.held || !inPool(now, server)) continue;
      ++all.pool;
      if (server.ejected) ++all.ejected;
    }
    return all;
  }

  // ---- What a successor in the same place goes on with

  // Guards against a change of process that forgets: without it cold servers get nothing and no query may
  // wait, as nothing tells yet what warm servers do.
  [[nodiscard]] Learned learned(Span now) const {
    Learned all{.answerTime = answers_.mean(now, 0),
                .answersPerSecond = answers_.count(now) / measuredSpan(now)};
    all.warmAnswers = warmAnswers_;
    all.warmTime = warmTime_;
    all.unloaded = unloaded_;
    all.setSize = setSize_;
    for (const Server& s : servers_) {
      if (!s.held) continue;
      all.servers.push_back({s.id, s.used, s.ejected, s.run, s.trialAt - now, s.weight, s.limit, s.coldCredit,
                             s.pace.mean(now, 0), s.service});
    }
    return all;
  }

  void learn(Span now, const Learned& all) {
    for (double left = all.answersPerSecond; left >= 1; --left) answers_.add(now, all.answerTime);
    warmAnswers_ = all.warmAnswers;
    warmTime_ = all.warmTime;
    unloaded_ = all.unloaded;
    setSize_ = all.setSize;
    if (askAt_ != Span::max()) askAt_ = now;  // its list is current: a watch costs discovery little
    arm(now);
    for (Server& server : servers_) {
      const auto at = std::find_if(all.servers.begin(), all.servers.end(),
                                   [&](const LearnedServer& s) { return s.id == server.id; });
      if (at == all.servers.end()) continue;
      server.used = at->used;
      server.ejected = at->ejected;
      server.run = at->run;
      server.trialAt = now + at->trialIn;
      server.weight = at->weight;
      server.limit = at->limit;
      server.coldCredit = at->coldCredit;
      server.service = at->service;
      if (at->pace > 0) server.pace.add(now, at->pace);
      if (at->pace > 0) paces_.add(now, at->pace);
    }
  }

  [[nodiscard]] bool current(QuerySlot slot, std::uint32_t turn) const {
    return queries_[slot].inUse && queries_[slot].turn == turn;
  }

 private:
  static double measuredSpan(Span now) { return std::clamp(seconds(now), 1.0, seconds(kBucket) * kBuckets); }
  double draw() { return std::generate_canonical<double, 24>(chance_); }
  [[nodiscard]] const UseCase& useCase(const Held& h) const { return terms_.useCases[h.query.useCase.value]; }

  // ---- The list

  void dropAbsent(Span now, Listing listing, std::span<const ListedServer> servers) {
    const auto absent = [&](const Server& server) {
      return server.held && std::none_of(servers.begin(), servers.end(),
                                         [&](const ListedServer& listed) { return listed.id == server.id; });
    };
    const auto lost = static_cast<double>(std::count_if(servers_.begin(), servers_.end(), absent));
    // Guards against a registry that lost sight of the fleet: an empty list, or one that drops over half at
    // once, is asked for again, and what it left out serves on until the drain grace would run out.
    const bool doubted = listing == Listing::complete && !doubting_ && listedCount_ > 0 &&
                         (servers.empty() || lost > kDropDoubted * listedCount_);
    for (Server& server : servers_) {
      if (absent(server))
        close(server, doubted ? now + std::max(terms_.drainGrace - 2 * terms_.tick, Span{0}) : now);
    }
    doubting_ = doubted;
    if (doubted) listAgain_ = true;
  }

  void close(Server& server, Span from) {
    server.closedFrom = std::min(server.closedFrom, from);
    server.held = false;
  }

  void update(Span now, const ListedServer& listed) {
    auto at =
        std::find_if(servers_.begin(), servers_.end(), [&](const Server& s) { return s.id == listed.id; });
    if (listed.lifecycle != Lifecycle::serving) {
      if (at != servers_.end()) close(*at, now);
      return;
    }
    const bool known = at != servers_.end();
    if (!known) {
      at = std::find_if(servers_.begin(), servers_.end(), [&](const Server& s) {
        return !s.held && s.closedFrom <= now && s.out.empty() && !s.takenOut;
      });
      if (at == servers_.end()) at = servers_.emplace(servers_.end());
    }
    const bool joins = !known || !at->joined;
    const bool restarted = known && at->listedStart != listed.startedAt && listed.startedAt;
    if (joins || restarted) {
      // Guards against a grown fleet whose new servers are in nobody's set: each joins its part of the sets.
      if (joins) at->used = setSize_ > 0 && draw() * listedCount_ < setSize_;
      const bool takenOut = known && at->takenOut;
      refresh(now, *at);
      at->takenOut = takenOut;
      at->startedAt = listed.startedAt;
    }
    at->id = listed.id;
    at->zone = listed.zone;
    at->cell = listed.cell;
    // Guards against load that is counted twice, where the listed weight falls by it: the largest is nominal.
    const double weight = std::max(listed.size, 1e-3);
    at->size = terms_.weightsFollowLoad && !joins ? std::max(at->size, weight) : weight;
    at->holds = at->size / weight - 1;
    at->listedStart = listed.startedAt;
    at->closedFrom = Span::max();
    at->held = true;
    at->joined = true;
  }

  // Nothing that was learned of the process before holds for the new one.
  void refresh(Span now, Server& server) {
    server.ejected = server.onTrial = false;
    server.run = 0;
    server.passed = Span::min();
    server.pace = {};
    server.service = 0;
    server.weight = meanWeight_;
    server.useRuns.assign(terms_.useCases.size(), {});
    server.coldCredit = draw();  // Guards against a thousand balancers that spend their parts at one moment.
    server.coldCreditAt = now;
    server.limit = firstLimit();
  }

  // One that no list has named yet, or that was forgotten, is kept for what was said of it by hand.
  Server& named(ServerId id) {
    const auto at =
        std::find_if(servers_.begin(), servers_.end(), [&](const Server& s) { return s.id == id; });
    if (at != servers_.end()) return *at;
    Server& made = servers_.emplace_back();
    made.id = id;
    made.closedFrom = Span::min();
    made.useRuns.assign(terms_.useCases.size(), {});
    return made;
  }

  // ---- The set: a balancer that can't use all servers has a few of them as its pool, location by location.

  // Guards against a thousand balancers that each hold connections to every server and know nothing of any.
  // The set is as large as this balancer's own answers can tell apart; each member is the next of a part of
  // the list, which goes by location; the places within the parts are spread evenly over the balancers.
  void fillSet(Span now) {
    order_.clear();
    double usable = 0;
    double unused = 0;
    double size = 0;
    double weight = 0;
    for (ServerSlot slot = 0; slot < servers_.size(); ++slot) {
      const Server& server = servers_[slot];
      if (!server.held || !open(now, server)) continue;
      order_.push_back(slot);
      size += server.size;
      weight += server.weight;
      unused += server.used || server.ejected ? 0 : 1;
      usable += server.used && !server.ejected ? 1 : 0;
    }
    listedCount_ = static_cast<double>(order_.size());
    meanWeight_ = listedCount_ > 0 ? weight / listedCount_ : 1;
    const double told = answers_.count(now) / measuredSpan(now) * seconds(kBucket) * kBuckets / kSetAnswers;
    setSize_ = std::max({setSize_, kLeastSet, kCover * listedCount_ / terms_.balancers, told});
    const double wanted = std::min(setSize_, usable + unused);
    if (usable >= wanted) return;
    std::sort(order_.begin(), order_.end(), [&](ServerSlot a, ServerSlot b) {
      return std::pair(servers_[a].zone, servers_[a].id) < std::pair(servers_[b].zone, servers_[b].id);
    });
    const double parts = std::ceil(std::min(setSize_, listedCount_));
    for (; usable < wanted && unused > 0; ++usable, --unused, ++setPicks_) {
      const double part = std::fmod(setPicks_, parts);
      const double place = std::fmod(terms_.number * (std::numbers::phi + part * std::numbers::sqrt2), 1.0);
      double before = (part + place) / parts * size;
      std::size_t at = 0;
      for (; at + 1 < order_.size() && before >= servers_[order_[at]].size; ++at)
        before -= servers_[order_[at]].size;
      // Guards against a home that was ejected outside the set: it would join as one more that is out.
      while (servers_[order_[at]].used || servers_[order_[at]].ejected) at = (at + 1) % order_.size();
      servers_[order_[at]].used = true;
      servers_[order_[at]].limit = firstLimit();
    }
  }

  // This balancer's part of what all may do at one server, one execution in all for the whole set at least.
  // Where it has a set it is in fewer balancers' way, and its members get the part of those left out.
  [[nodiscard]] double firstLimit() const {
    const double members = std::max(setSize_, 1.0);
    return std::max(kFirstLimit * std::max(listedCount_ / members, 1.0) / terms_.balancers, 1 / members);
  }

  [[nodiscard]] Span allCalls() const { return std::min(kAllCalls, kOneCall * (terms_.balancers - 1)); }

  [[nodiscard]] static bool inPool(Span now, const Server& s) { return s.used && open(now, s); }

  // ---- The pool: failure runs eject until a trial, and ejection halts at a capped share.

  [[nodiscard]] static bool open(Span now, const Server& server) {
    return now < server.closedFrom && !server.takenOut;
  }

  void judge(Span now, QuerySlot slot, ExecutionNo no, const Execution& execution, Outcome outcome) {
    Server& server = servers_[execution.server];
    const auto at = std::find_if(server.out.begin(), server.out.end(),
                                 [&](const Pending& p) { return p.query == slot && p.no == no; });
    if (at == server.out.end()) return;
    const Pending pending = *at;
    const bool tight = poolWait(now) > Span{0} || load(now, server) + 1 > server.limit;
    server.out.erase(at);
    if (server.startedAt && execution.sentAt < *server.startedAt) return;  // says nothing of the new process
    const Span took = pending.started.value_or(now) - execution.sentAt;
    const Held& held = queries_[slot];
    const std::size_t use = held.query.useCase.value;
    const Span slo = useCase(held).sloTime;
    if (outcome == Outcome::completed) {
      server.passed = std::max(server.passed, execution.sentAt);
      server.pace.add(now, seconds(took) / (pending.others + 1));
      paces_.add(now, seconds(took) / (pending.others + 1));
      answers_.add(now, seconds(took));
      if (held.query.account) accountAnswers_[held.query.account->value].add(now, 1);
      const bool near = server.zone == terms_.zone;
      Ring& alike = answersFrom_[near];
      alike.add(now, seconds(took));
      if (alike.count(now) >= kEnough) unloaded_[near] = std::min(unloaded_[near], alike.mean(now, 0));
      if (!held.answered) served_[use].add(now, 1);
      if (ramp(now, server) >= 1) ++warmAnswers_[server.used];
      if (tight && took <= scaled(slo, kTimely)) moveLimit(now, server, 1 + kLimitStep);
      if (took > scaled(slo, kLate)) moveLimit(now, server, kLimitCut);
      // Guards against servers that are slow but answer: an answer past its SLO time earns no weight.
      if (took <= slo) server.weight = std::min(1.0, server.weight + kWeightStep);
      server.run = server.useRuns[use].failures = 0;
      location(server.zone).run = 0;
      server.ejected = server.onTrial = false;
    } else if (isFailure(outcome)) {
      if (!pending.overdue) countFailure(now, server, use);
      // Guards against a server that fails or hangs on one use case only: that one keeps away for the eject
      // time, then one more failure renews it. Where it is frequent, two in a row may come by chance.
      UseRun& run = server.useRuns[use];
      if (run.failures == 0) run.since = now;
      const bool hung = outcome == Outcome::timeout && stuck(now, server, pending);
      if ((outcome == Outcome::error || outcome == Outcome::reset || hung) &&
          ++run.failures >= kErrorsToShut &&
          (run.failures >= kFailuresToEject || now - run.since >= kRareRun) && mayPutOut(now, use))
        run.shutUntil = now + scaled(kEjectTime, 1.0 + kEjectSpread * draw());
    } else if (outcome == Outcome::full) {
      // Guards against a server that turns a use case away at once and so looks the emptiest: that one rests.
      server.useRuns[use].shutUntil = std::max(server.useRuns[use].shutUntil, now + kRest);
    }
    server.onTrial = server.onTrial && !server.out.empty();
  }

  // An answer moves its server's limit; one from outside the set moves the whole set's by a member's part, as
  // their sum binds all. Guards against cutting below what was lately finished, near or far, without a queue.
  void moveLimit(Span now, Server& answered, double by) {
    if (by > 1 && held_ > kHeld) return;
    double sizes = 0;
    double members = 0;
    for (const Server& server : servers_) {
      if (!inPool(now, server) || server.ejected) continue;
      sizes += server.size;
      ++members;
    }
    const double ran = answersFrom_[0].count(now) * unloaded_[0] + answersFrom_[1].count(now) * unloaded_[1];
    const double flow = (terms_.weightsFollowLoad ? kListedFlow : kFlow) * ran / measuredSpan(now);
    for (Server& server : servers_) {
      if (&server != &answered && (answered.used || !inPool(now, server))) continue;
      const double step = &server == &answered ? by : std::pow(by, 1 / members);
      const double grown = server.limit + (step - 1) * std::min(server.limit, 1 / server.limit);
      const double least =
          std::max(kLeastLimit / terms_.balancers, flow * server.size / std::max(sizes, server.size));
      server.limit = step > 1 ? grown : std::max(least, server.limit * step);
    }
  }

  // Guards against a crowd that no balancer sees by its own few answers: the list tells what all hold.
  void cutCrowded(Span now) {
    double holds = 0;
    double members = 0;
    for (Server& server : servers_) {
      if (!inPool(now, server) || server.ejected || lost(now, server.zone)) continue;
      holds += 1 / (1 + server.holds);
      ++members;
    }
    held_ = members > 0 ? members / holds - 1 : 0;  // harmonic: no outlier moves it
    if (held_ <= kHeld) return;
    for (Server& server : servers_)
      if (server.used) server.limit = std::max(server.limit * kHeld / held_, 1 / std::max(members, 1.0));
  }

  void countFailure(Span now, Server& server, std::size_t use) {
    server.weight = std::max(kWeightFloor, server.weight / 2);
    ++server.run;
    server.failedAt = now;
    Location& there = location(server.zone);
    ++there.run;
    there.failedAt = now;
    if (server.ejected || (server.run >= kFailuresToEject && mayPutOut(now, use))) eject(now, server);
  }

  // Guards against servers that take work and answer none: an execution far over the usual counts at once as
  // one time-out, not only when its client gives up. Where all answers are slow the usual grows with them.
  [[nodiscard]] Span overdueAt(Span now, const Pending& pending) const {
    const Span slo = useCase(queries_[pending.query]).sloTime;
    return pending.sentAt + std::max(slo, scaled(1s, kOverdue * answers_.mean(now, kUnmeasured)));
  }

  void countOverdue(Span now) {
    for (Server& server : servers_) {
      for (Pending& pending : server.out) {
        if (pending.overdue || idle(pending) || now < overdueAt(now, pending)) continue;
        pending.overdue = true;
        if (stuck(now, server, pending)) continue;
        // An answer lost on its way, by the list: no queue at a server that holds little.
        if (!terms_.weightsFollowLoad || server.holds > kFirstLimit) moveLimit(now, server, kLimitCut);
        countFailure(now, server, queries_[pending.query].query.useCase.value);
      }
    }
  }

  void eject(Span now, Server& server) {
    if (server.ejected && now < server.trialAt) return;  // an old execution's end, not the trial's
    server.ejected = true;
    server.onTrial = false;
    server.trialAt = now + scaled(kEjectTime, 1.0 + kEjectSpread * draw());
  }

  // Self-preservation. Guards against a failure detector that is itself what broke: one more may go out, for
  // all use cases or for one, only while that leaves half the pool to that use case.
  [[nodiscard]] bool mayPutOut(Span now, std::size_t use) const {
    double pool = 0;
    double out = 0;
    for (const Server& server : servers_) {
      if (!server.held || !inPool(now, server)) continue;
      ++pool;
      if (server.ejected || now < server.useRuns[use].shutUntil) ++out;
    }
    return out + 1 <= kMostOut * pool;
  }

  // ---- Cold servers

  // The house way: a fresh server counts for less, by its age.
  [[nodiscard]] double ramp(Span now, const Server& server) const {
    if (!server.startedAt || terms_.coldTime <= Span{0}) return 1;
    const double age = std::max(0.0, seconds(now - *server.startedAt)) / seconds(terms_.coldTime);
    return std::min(1.0, terms_.coldShare + (1 - terms_.coldShare) * age);
  }

  // Guards against pushing a cold server over, also when most of the fleet is out and all would flow to it.
  // Measured by what warm servers answered this balancer: each balancer then stays within its own part.
  // What its part allows over the tipping window is saved up: a part below one is spent more rarely.
  [[nodiscard]] bool coldRoom(Span now, Server& server) {
    const double part = ramp(now, server);
    if (part >= 1) return true;
    const double rate = part * terms_.tipMultiple * kColdMargin * server.size * warmAnswers_[server.used] /
                        std::max(warmTime_[server.used], 1.0);
    const double most = std::max(1.0, rate * seconds(terms_.tipWindow));
    server.coldCredit = std::min(most, server.coldCredit + rate * seconds(now - server.coldCreditAt));
    server.coldCreditAt = now;
    return server.coldCredit >= 1;
  }

  // Answers a second that a warm server gave this balancer, for each unit of size, in the set and outside.
  // Guards against a fleet that is down and so finishes little: the mean since the start still tells.
  void measureWarmRate(Span now) {
    for (const Server& server : servers_) {
      if (server.held && !server.ejected && ramp(now, server) >= 1)
        warmTime_[server.used] += server.size * seconds(now - warmAt_);
    }
    warmAt_ = now;
  }

  // ---- The pick

  // Guards against connections that fall silent while their server answers on others: what was sent later
  // has been completed, so that such an execution takes no room there and tells nothing of the server.
  [[nodiscard]] bool stuck(Span now, const Server& server, const Pending& pending) const {
    return server.passed > pending.sentAt &&
           now > pending.sentAt + scaled(1s, kOverdue * answers_.mean(now, kUnmeasured));
  }
  // No work at its server: the body is still coming, or the answer is on its way to a slow reader.
  [[nodiscard]] static bool idle(const Pending& pending) { return pending.coming || pending.started; }
  [[nodiscard]] double load(Span now, const Server& server) const {
    return static_cast<double>(std::count_if(server.out.begin(), server.out.end(), [&](const Pending& p) {
      return !idle(p) && !stuck(now, server, p) && !(p.overdue && terms_.weightsFollowLoad);
    }));
  }

  // How long an answer would take: the server's recent pace times what would then be out there.
  [[nodiscard]] double expected(Span now, const Server& server, double usual) const {
    // Guards against a server that nothing is known of, as it was away or left alone: answer times hold the
    // queues of the others, and by them it would look too slow to be tried ever.
    double estimate = server.pace.mean(now, paces_.mean(now, usual)) * (load(now, server) + 1);
    // Guards against silence: nothing is quicker than the execution that is still unanswered.
    for (const Pending& pending : server.out) {
      if (!idle(pending) && !stuck(now, server, pending))
        estimate = std::max(estimate, seconds(now - pending.sentAt));
    }
    return estimate;
  }

  [[nodiscard]] bool triedBefore(const Held& held, ServerSlot slot) const {
    return std::any_of(held.executions.begin(), held.executions.end(),
                       [&](const Execution& e) { return e.server == slot; });
  }

  // Guards against small machines that get as much as others: by the service time they report, where they do.
  [[nodiscard]] double speed(Span now, const Server& server) const {
    if (server.service <= 0) return 1;
    return std::clamp(services_.mean(now, server.service) / server.service, 1 / kMostSpeed, kMostSpeed);
  }

  // Guards against keys that cling to homes that fail: those keep none until they answer, or the eject time.
  [[nodiscard]] static bool failsNow(Span now, std::uint32_t run, Span failedAt, std::uint32_t most) {
    return run >= most && now < failedAt + kEjectTime;
  }

  Location& location(ZoneId zone) {
    if (zone.value >= locations_.size()) locations_.resize(zone.value + 1);
    return locations_[zone.value];
  }
  // Guards against a lost location whose servers would each have to fail five times, one after the other.
  bool lost(Span now, ZoneId zone) {
    return failsNow(now, location(zone).run, location(zone).failedAt, kFailuresToEject);
  }

  std::optional<ServerSlot> pick(Span now, const Held& held) {
    if (poolWait(now) > Span{0}) return std::nullopt;
    measureWarmRate(now);
    // Where the list tells load, following it is worth more than a met key.
    const bool homes = terms_.warmKeys && held.query.key && !terms_.weightsFollowLoad;
    const bool repeat = mayHaveRun(held) != nullptr;
    const double usual = answers_.mean(now, kUnmeasured);
    expected_.assign(servers_.size(), 0.0);
    double inverse = 0;
    double pool = 0;
    for (ServerSlot slot = 0; slot < servers_.size(); ++slot) {
      Server& server = servers_[slot];
      if (!open(now, server) || !(server.used || homes || repeat) || !groupAllows(now, held, server))
        continue;
      if (server.ejected) {
        if (trialDue(now, server, held) && coldRoom(now, server) && !triedBefore(held, slot)) return slot;
        continue;
      }
      if (now < server.useRuns[held.query.useCase.value].shutUntil) continue;
      expected_[slot] = std::max(expected(now, server, usual), 1e-6);
      if (!server.used) continue;
      inverse += 1 / expected_[slot];
      ++pool;
    }
    const double crowded = kCrowded * (pool > 0 ? pool / inverse : usual);  // harmonic: no outlier moves it
    // Guards against a location whose keys alone are more than its servers bear, while others idle.
    const bool bears = answersFrom_[1].mean(now, 0) <= kCrowded * answersFrom_[0].mean(now, unloaded_[0]);
    const bool atHome = homes && bears && !lost(now, terms_.zone);
    std::array<std::pair<double, ServerSlot>, kHomes> nearest;  // by distance
    nearest.fill({std::numeric_limits<double>::infinity(), 0});
    std::optional<ServerSlot> least;
    double sum = 0;
    odds_.assign(servers_.size(), 0.0);
    for (ServerSlot slot = 0; slot < servers_.size(); ++slot) {
      Server& server = servers_[slot];
      if (expected_[slot] <= 0 || triedBefore(held, slot)) continue;
      const double share = server.weight * server.size * ramp(now, server) * speed(now, server) *
                           std::pow(1 + server.holds, -kYield);
      if (atHome && server.zone == terms_.zone && !failsNow(now, server.run, server.failedAt, 1)) {
        // Guards against a hundred balancers that each see a key's home elsewhere, so that it is met nowhere:
        // by what all are told alike, and nothing that this one measured.
        const double part = server.size * ramp(now, server);
        const double distance = -std::log(fraction(held.query.key->value, server.id.value)) / part;
        if (distance < nearest.back().first) {
          nearest.back() = {distance, slot};
          std::sort(nearest.begin(), nearest.end());
        }
      }
      if (!(server.used || repeat) || !room(now, server)) continue;
      if (!least || expected_[slot] < expected_[*least]) least = slot;
      if (expected_[slot] > crowded) continue;
      odds_[slot] = server.zone == terms_.zone ? kNearer * share : share;
      sum += odds_[slot];
    }
    // A choice, not a weight: among two hundred servers any fixed weight would be lost.
    for (const auto& [distance, home] : nearest) {
      if (!std::isinf(distance) && expected_[home] <= kHomeCrowded * crowded && room(now, servers_[home]))
        return home;
    }
    if (sum <= 0) return least;
    double rest = draw() * sum;
    for (ServerSlot slot = 0; slot < servers_.size() && rest >= 0; ++slot) {
      if (odds_[slot] <= 0) continue;
      least = slot;
      rest -= odds_[slot];
    }
    return least;
  }

  // A trial costs what its query costs: one that may run again goes first, others only if none came for long.
  [[nodiscard]] bool trialDue(Span now, const Server& server, const Held& held) const {
    if (server.onTrial || now < server.trialAt || !server.out.empty()) return false;
    return useCase(held).repeat == Repeat::idempotent || now >= server.trialAt + kEjectTime;
  }

  [[nodiscard]] bool room(Span now, Server& server) {
    // Guards against a real mass failure, in which the cap keeps dead servers in the pool: one that failed
    // often enough to be ejected stays in it, but gets one execution at a time, as in a trial.
    if (server.run >= kFailuresToEject && !server.out.empty()) return false;
    // The same for a lost location as one: its servers have one execution out between them.
    if (lost(now, server.zone) && std::any_of(servers_.begin(), servers_.end(), [&](const Server& s) {
          return s.zone == server.zone && !s.out.empty();
        }))
      return false;
    return load(now, server) + 1 <= std::max(1.0, server.limit) && coldRoom(now, server);
  }

  // How long until one more execution may be out: the limits' sum binds too. Guards against a thousand
  // balancers with one out each: a limit below one is saved up, in seconds of execution, and used up by it.
  [[nodiscard]] Span poolWait(Span now) {
    double out = 0;
    double limits = 0;
    for (const Server& server : servers_) {
      out += load(now, server);
      if (inPool(now, server) && !server.ejected && !lost(now, server.zone)) limits += server.limit;
    }
    const double usual = answers_.mean(now, kUnmeasured);
    saved_ = std::clamp(saved_ + (limits - out) * seconds(now - savedAt_), -kSaved * usual, kSaved * usual);
    savedAt_ = now;
    const double needed = usual * (out + 1) - saved_;
    if (out + 1 <= limits || needed <= 0) return Span{0};
    return scaled(1s, limits <= out ? usual : std::min(1.0, needed / (limits - out))) + Span{1};
  }

  // ---- Executions: a further one only as the use case's kind allows.

  [[nodiscard]] static const Execution* mayHaveRun(const Held& held) {
    const auto at = std::find_if(held.executions.begin(), held.executions.end(),
                                 [](const Execution& e) { return e.fate != Fate::neverRan; });
    return at == held.executions.end() ? nullptr : &*at;
  }

  // Guards against a second effect: a repeat only where, and while, the servers discard it.
  [[nodiscard]] bool groupAllows(Span now, const Held& held, const Server& server) const {
    const Execution* first = mayHaveRun(held);
    const UseCase& use = useCase(held);
    if (first == nullptr || use.repeat == Repeat::idempotent) return true;
    if (use.repeat == Repeat::nonIdempotent) return false;
    if (now + 2 * terms_.tick >= first->sentAt + use.dedupWindow) return false;
    const bool sameZone = server.zone == first->zone;
    return use.group == DedupGroup::all ||
           (sameZone && (use.group == DedupGroup::zone || server.cell == first->cell));
  }

  [[nodiscard]] bool mayExecute(Span now, const Held& held) const {
    if (held.answered || held.out > 0 || now + terms_.tick >= held.deadline) return false;
    if (held.executions.size() >= std::min(terms_.mostExecutions, held.query.mostExecutions)) return false;
    return std::any_of(servers_.begin(), servers_.end(),
                       [&](const Server& s) { return open(now, s) && groupAllows(now, held, s); });
  }

  [[nodiscard]] bool hopeless(Span now, const Held& held) const {
    const UseCase& use = useCase(held);
    return now >= held.deadline || (use.lateImportance <= 0 && now >= held.arrived + use.sloTime);
  }

  bool place(Span now, QuerySlot slot) {
    Held& held = queries_[slot];
    if (!mayExecute(now, held)) return false;
    const std::optional<ServerSlot> picked = pick(now, held);
    if (!picked) return false;
    Server& server = servers_[*picked];
    const ExecutionNo no{static_cast<std::uint32_t>(held.executions.size())};
    server.onTrial = server.ejected;
    server.out.push_back(
        {.query = slot, .no = no, .sentAt = now, .others = load(now, server), .coming = held.query.coming});
    server.coldCredit -= 1;
    held.executions.push_back({*picked, now, server.zone, server.cell});
    ++held.out;
    stopWaiting(slot);
    host_.execute(held.query.id, server.id, held.deadline - now);
    return true;
  }

  // ---- Waiting here for room, in the order of importance

  void waitOrGiveUp(Span now, QuerySlot slot) {
    Held& held = queries_[slot];
    if (!mayExecute(now, held) || now >= giveUpAt(now, held)) return answer(now, slot);
    held.rank = importance(now, held);
    const auto before = [&](QuerySlot a, QuerySlot b) { return queries_[a].rank > queries_[b].rank; };
    const auto at = std::upper_bound(waiting_.begin(), waiting_.end(), slot, before);
    // Guards against waiting in vain: what is ahead must be gone in time at the rate of late.
    const double ahead = static_cast<double>(at - waiting_.begin());
    const double rate = answers_.count(now) / measuredSpan(now);
    const double left = seconds(giveUpAt(now, held) - now - poolWait(now));
    if (left < 0 || ahead > rate * left) return answer(now, slot);
    waiting_.insert(at, slot);
    held.waiting = true;
  }

  // Guards against starving a use case in a long overload: what was served least lately moves forward.
  [[nodiscard]] double importance(Span now, const Held& held) const {
    const double served = std::max(kLeastServed, served_[held.query.useCase.value].mean(now, 1.0));
    const double part = beyondShare(now, held) ? terms_.beyondShareImportance : 1.0;
    return part * useCase(held).importance / served;
  }

  // Guards against one account's surge: while it gets more of the answers than its part, it goes behind.
  [[nodiscard]] bool beyondShare(Span now, const Held& held) const {
    if (!held.query.account) return false;
    const std::size_t account = held.query.account->value;
    const double allowed = kShareSlack * terms_.accounts[account] * answers_.count(now);
    return accountAnswers_[account].count(now) > allowed + 1;
  }

  // The last moment at which an execution may still be answered within the SLO time.
  [[nodiscard]] Span giveUpAt(Span now, const Held& held) const {
    const Span usual = scaled(1s, kAnswerRoom * answers_.mean(now, kUnmeasured));
    return std::min(held.deadline, held.arrived + useCase(held).sloTime) - usual;
  }

  void stopWaiting(QuerySlot slot) {
    if (!queries_[slot].waiting) return;
    queries_[slot].waiting = false;
    std::erase(waiting_, slot);
  }

  void placeWaiting(Span now) {
    for (std::size_t i = 0; i < waiting_.size();) {
      const QuerySlot slot = waiting_[i];
      if (now >= giveUpAt(now, queries_[slot]) || !mayExecute(now, queries_[slot])) {
        stopWaiting(slot);
        answer(now, slot);
      } else if (!place(now, slot)) {
        ++i;
      }
    }
  }

  // ---- The final answer, once

  void answer(Span now, QuerySlot slot) {
    Held& held = queries_[slot];
    if (held.answered) return;
    held.answered = true;
    served_[held.query.useCase.value].add(now, 0);
    const UseCase& use = useCase(held);
    const bool harmless = mayHaveRun(held) == nullptr || use.repeat == Repeat::idempotent ||
                          (use.repeat == Repeat::deduplicated && use.group == DedupGroup::all);
    if (!harmless || now >= held.deadline)
      host_.abort(held.query.id);
    else
      host_.reject(held.query.id, std::min(kAdvice, terms_.longestAdvice));
    release(slot);
  }

  // ---- Housekeeping

  QuerySlot freeSlot() {
    const auto free = std::ranges::find(queries_, false, &Held::inUse);
    const auto slot = static_cast<QuerySlot>(free - queries_.begin());
    if (free == queries_.end()) queries_.emplace_back();
    return slot;
  }

  void release(QuerySlot slot) {
    Held& held = queries_[slot];
    if (!held.inUse || !held.answered || held.out > 0) return;
    held = Held{.turn = held.turn + 1};
  }

  // One pending wake at the earliest time that anything is due.
  void arm(Span now) {
    Span due = listAgain_ ? now : askAt_;
    for (const QuerySlot slot : waiting_) due = std::min(due, giveUpAt(now, queries_[slot]));
    if (!waiting_.empty()) due = std::min(due, now + std::max(poolWait(now), kLeastWait));
    for (const Server& server : servers_) {
      for (const Pending& pending : server.out)
        if (!pending.overdue && !idle(pending)) due = std::min(due, overdueAt(now, pending));
    }
    due = std::max(due, now + terms_.tick);
    if (due >= wakeAt_ || due == Span::max()) return;
    wakeAt_ = due;
    host_.wakeAt(due);
  }

  Terms terms_;
  Host& host_;
  std::ranlux24_base chance_;
  std::vector<Server> servers_;
  std::vector<Held> queries_;
  std::vector<QuerySlot> waiting_;  // the most important first
  std::vector<ServerSlot> order_;   // scratch of fillSet()
  std::vector<double> expected_;    // scratch of pick(), by server slot
  std::vector<double> odds_;        // scratch of pick(), by server slot
  Ring answers_;
  Ring paces_;     // seconds, as each server's
  Ring services_;  // seconds, as reported
  std::vector<Ring> accountAnswers_;
  std::vector<Ring> served_;             // by use case: 1 for each query completed, 0 for each given up
  std::array<double, 2> warmAnswers_{};  // of servers outside the set, and of its members
  std::array<double, 2> warmTime_{};     // seconds of warm servers, by their size
  Span warmAt_{};
  double listedCount_ = 0;  // servers in the last good list
  double meanWeight_ = 1;   // theirs
  double setSize_ = 0;      // servers wanted in the set
  std::uint32_t setPicks_ = 0;
  std::array<Ring, 2> answersFrom_;       // other zones, and the own
  std::array<double, 2> unloaded_{1, 1};  // seconds; the least mean answer time so far of each
  std::vector<Location> locations_;       // by zone
  double held_ = 0;                       // queries for each core in the pool, as listed
  double saved_ = 1;  // seconds of execution that the limits allow; at the start all that may be saved
  Span savedAt_{};
  Span askAt_ = Span::max();
  Span askBackoff_ = std::max(kFirstAsk, allCalls());
  Span wakeAt_ = Span::max();
  bool doubting_ = false;
  bool listAgain_ = false;
};

// ---- The public face

Balancer::Balancer(Terms terms, Host& host) : decider_(std::make_unique<Decider>(std::move(terms), host)) {}
Balancer::~Balancer() = default;

QueryHandle Balancer::take(Span now, const Query& query) {
  const auto [slot, turn] = decider_->take(now, query);
  return {*decider_, slot, turn};
}
void Balancer::serversListed(Span now, Listing listing, std::span<const ListedServer> servers) {
  decider_->serversListed(now, listing, servers);
}
void Balancer::fleetOf(std::uint32_t balancers) { decider_->fleetOf(balancers); }
void Balancer::discoveryFailed(Span now) { decider_->discoveryFailed(now); }
void Balancer::wake(Span now) { decider_->wake(now); }
void Balancer::takeOut(Span now, ServerId server) { decider_->takeOut(now, server); }
void Balancer::putBack(Span now, ServerId server) { decider_->putBack(now, server); }
bool Balancer::avoids(Span now, ServerId server) const { return decider_->avoids(now, server); }
Learned Balancer::learned(Span now) const { return decider_->learned(now); }
void Balancer::learn(Span now, const Learned& learned) { decider_->learn(now, learned); }
Standing Balancer::standing(Span now) const { return decider_->standing(now); }

void QueryHandle::executionEnded(Span now, ExecutionNo execution, Outcome outcome, bool terminal,
                                 Span service) {
  if (!over()) decider_->executionEnded(now, slot_, execution, outcome, terminal, service);
}
void QueryHandle::answerStarted(Span now, ExecutionNo execution) {
  if (!over()) decider_->answerStarted(now, slot_, execution);
}
void QueryHandle::bodyWhole(Span now) {
  if (!over()) decider_->bodyWhole(now, slot_);
}
void QueryHandle::clientLeft(Span now) {
  if (!over()) decider_->clientLeft(now, slot_);
}
bool QueryHandle::over() const { return !decider_->current(slot_, turn_); }

}  // namespace rackroute
