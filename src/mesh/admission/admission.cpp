#include "mesh/admission/admission.hpp"

#include <algorithm>
#include <cassert>
#include <limits>
#include <utility>

namespace rackroute::mesh {
namespace {

using namespace std::chrono_literals;

constexpr Span kDrainMargin = 1200ms;         // before the bound, nothing new is let to a server that drains
constexpr double kWaitPart = 0.4;             // of the aim, the longest that a request waits here for room
constexpr Span kLeastWait = 60ms;             // for the quickest requests, and late ones: a few slots' turns
constexpr double kUnseenPart = 0.25;          // of a route's aim, its length before one has run
constexpr double kLateValue = 0.2;            // of its worth, for a request that can't keep its aim any more
constexpr Span kClaimTime = 450ms;            // for a quorum's votes: a slow sync, or a large configuration
constexpr Span kLeastLeft = 15ms;             // of a client's time; no server answers in less
constexpr Span kTellBack = 40ms;              // before that time is over, for word that it did not run
constexpr double kRunShare = 0.1;             // of the newest run in the mean
constexpr Span kNoteSpare = 10s;              // beyond the window that an operation's end is remembered
constexpr std::size_t kMostLengths = 10'000;  // routes whose lengths are remembered
constexpr std::uint32_t kNotThatServer = 421;
constexpr std::size_t kMostServers = 256;  // of a machine, in a minute
constexpr Span kNoServerFor = 60s;         // without a beat, a server that never signed off is forgotten

Span spanOf(double seconds) {
  return std::chrono::duration_cast<Span>(std::chrono::duration<double>(seconds));
}

// Guards against a request that only waited, whose caller hears so too late to promise that it did not run.
Span tellBack(Span left) { return std::max(kLeastLeft, std::min(kTellBack, left / 4)); }

}  // namespace

Admission::Admission(Built built) : built_(std::move(built)), newsLife_(built_.life) {}

AdmissionActions Admission::beat(Span now, const Beat& beat) {
  AdmissionActions acts;
  beaten_ = true;
  Server& server = entryFor(now, beat);
  const Served before = server.told;
  server.lastBeat = now;
  const bool late = !beat.gone && before.seq > 0 && beat.seq <= server.seq;
  if (!beat.gone && !late && !server.told.gone) {
    // Guards against work for a server that crashed, where another listens now; and against an adopted one
    // that ended unseen.
    for (auto& [id, other] : servers_) {
      if (id != beat.id && other.address == beat.address) over(now, other, acts);
    }
    server.seq = beat.seq;
    server.address = beat.address;
    server.told.capacity = std::max<std::uint32_t>(beat.capacity, 1);
    server.told.coldLeft = beat.coldLeft;
    server.told.replaced = false;
    server.coldUntil = now + beat.coldLeft;
  }
  depart(now, server, beat.draining, beat.gone);
  Served plain = server.told;
  plain.coldLeft = before.coldLeft;
  // Told when something changed that others act on; how cold it is they count down themselves.
  if (!(plain == before) || before.seq == 0) tell(server, acts);
  if (server.told.gone) turnAwayAll(now, server, acts);
  return acts;
}

Admission::Server& Admission::entryFor(Span now, const Beat& beat) {
  if (const auto found = servers_.find(beat.id); found != servers_.end()) return found->second;
  makePlace();
  Server& fresh = servers_[beat.id];
  fresh.told.id = beat.id;
  fresh.told.service = beat.service.value.empty() ? built_.service : beat.service;
  fresh.told.at = built_.at;
  fresh.told.node = built_.node;
  fresh.told.zone = beat.zone.empty() ? built_.zone : beat.zone;
  fresh.told.life = newsLife_;
  const auto known = departed_.find(beat.id);
  const bool drained = known != departed_.end() && known->second.draining;
  const bool gone = known != departed_.end() && known->second.gone;
  // Guards against a drain whose time begins anew with each life of this process: since when it drains was
  // told to an earlier one.
  if (drained || beat.draining) fresh.drainsSince = now - built_.drain;
  depart(now, fresh, drained, gone);
  return fresh;
}

// Guards against calls under ever new ids: the server that was quiet for the longest is forgotten, or none.
void Admission::makePlace() {
  if (servers_.size() < kMostServers) return;
  auto quietest = servers_.end();
  for (auto at = servers_.begin(); at != servers_.end(); ++at) {
    const bool idle = at->second.busy == 0 && at->second.waiting.empty();
    if (idle && (quietest == servers_.end() || at->second.lastBeat < quietest->second.lastBeat))
      quietest = at;
  }
  if (quietest != servers_.end()) servers_.erase(quietest);
}

// Never taken back.
void Admission::depart(Span now, Server& server, bool draining, bool gone) const {
  if ((draining || gone) && server.drainsSince == Span::max()) server.drainsSince = now;
  server.told.draining = server.told.draining || draining;
  server.told.gone = server.told.gone || gone;
}

// Guards against a drain or a sign-off that an earlier life of this process acknowledged, and this one has
// not heard of: the server's late beats, or old news, may say that it is ready.
void Admission::learnDeparture(Span now, const Served& served, AdmissionActions& acts) {
  if (served.node != built_.node || (!served.draining && !served.gone)) return;
  const auto found = servers_.find(served.id);
  if (found == servers_.end()) {
    if (departed_.insert_or_assign(served.id, served).second) departedInOrder_.push_back(served.id);
    if (departed_.size() <= kMostServers) return;
    departed_.erase(departedInOrder_.front());
    departedInOrder_.pop_front();
    return;
  }
  Server& server = found->second;
  const bool isNew = (served.draining && !server.told.draining) || (served.gone && !server.told.gone);
  if (!isNew) return;
  if (server.drainsSince == Span::max()) server.drainsSince = now - built_.drain;
  depart(now, server, served.draining, served.gone);
  tell(server, acts);
  turnAwayAll(now, server, acts);
}

void Admission::turnAwayAll(Span now, Server& server, AdmissionActions& acts) {
  while (!server.waiting.empty()) {
    const InboundRequestId no = server.waiting.front();
    refuse(now, no, Verdict::draining, &server, acts);
  }
}

// It has ended without a word.
void Admission::over(Span now, Server& server, AdmissionActions& acts) {
  if (server.told.gone || server.told.replaced) return;
  server.told.replaced = true;
  tell(server, acts);
  turnAwayAll(now, server, acts);
}

void Admission::tell(Server& server, AdmissionActions& acts) {
  server.told.seq = ++said_;
  AdmissionAction act{AdmissionAction::Kind::tell, {}};
  act.served = server.told;
  acts.push_back(std::move(act));
}

// Guards against a server that stands idle for a beat after its process was killed and came back: what the
// others know of it is enough to send it work, as it refuses what is meant for another.
AdmissionActions Admission::adopt(Span now, const Served& served) {
  AdmissionActions acts;
  learnDeparture(now, served, acts);
  const bool same = served.node == built_.node && served.service == built_.service;
  // Told in this life, before or after followLife(), or in one before the last.
  const bool own = served.life == built_.life || served.life == newsLife_ || served.life < supersededLife_;
  if (beaten_ || leaving_ || built_.server.value.empty() || !same || own) return acts;
  const bool left = served.gone || served.draining || served.replaced || departed_.count(served.id) > 0;
  if (left || servers_.count(served.id) > 0) return acts;
  // Of two that stand by what others know, the one that was told of last.
  const std::pair told{served.life, served.seq};
  if (!servers_.empty() && told <= adopted_) return acts;
  for (auto& [id, other] : servers_) over(now, other, acts);
  adopted_ = told;
  Server& server = servers_[served.id];
  server.told = served;
  server.told.at = built_.at;
  server.told.life = newsLife_;
  server.told.leaving = false;
  server.address = built_.server;
  server.coldUntil = now + served.coldLeft;
  server.lastBeat = now;
  tell(server, acts);
  return acts;
}

AdmissionActions Admission::followLife(LifeNo highest) {
  AdmissionActions acts;
  // Equal to this one: it is another life only as long as this one has told nothing.
  const bool higher = highest > newsLife_ || (highest == newsLife_ && said_ == 0);
  if (!higher || highest.value == std::numeric_limits<std::uint64_t>::max()) return acts;
  supersededLife_ = highest;
  newsLife_ = {highest.value + 1};
  for (auto& [id, server] : servers_) {
    server.told.life = newsLife_;
    tell(server, acts);
  }
  return acts;
}

bool Admission::open(Span now, const Server& server) const {
  if (leaving_ || server.told.gone || server.told.replaced) return false;
  return server.drainsSince == Span::max() || now < server.drainsSince + built_.drain - kDrainMargin;
}

std::uint32_t Admission::room(const Server& server) const { return server.told.capacity; }

Span Admission::waitAhead(const Server& server) const {
  double ahead = server.meanRun;
  for (const InboundRequestId no : server.waiting) ahead += jobs_.at(no).length;
  return spanOf(ahead / room(server));
}

double Admission::lengthOf(const ForwardRequest& ask) const {
  const auto known = lengths_.find(ask.route);
  if (known != lengths_.end()) return known->second;
  return std::max(0.01, std::chrono::duration<double>(ask.targetLeft).count() * kUnseenPart);
}

ForwardReply Admission::toldOf(Span now, Verdict verdict, const Server* server) const {
  ForwardReply told;
  told.verdict = verdict;
  if (server != nullptr) {
    told.load = Load{server->busy, static_cast<std::uint32_t>(server->waiting.size())};
    told.wait = waitAhead(*server);
  }
  if (verdict == Verdict::noQuorum) told.wait = claims_.retryAfter(now);
  return told;
}

AdmissionActions Admission::asked(Span now, InboundRequestId no, const ForwardRequest& ask,
                                  const std::optional<std::string>& key) {
  AdmissionActions acts;
  const auto answer = [&](ForwardReply told, std::shared_ptr<const void> bytes = nullptr) {
    AdmissionAction act{AdmissionAction::Kind::answer, no};
    act.told = std::move(told);
    act.bytes = std::move(bytes);
    acts.push_back(std::move(act));
  };
  const auto found = servers_.find(ask.instance);
  const Server* here = found == servers_.end() ? nullptr : &found->second;
  std::optional<KeyHash> print;
  if (key) {
    print = hashOfKey(*key);
    const auto past = operations_.find(*print);
    if (past != operations_.end()) {
      ForwardReply told = toldOf(now, Verdict::executed, here);
      told.replayed = true;
      switch (past->second.past) {
        case Past::answered:
          answer(told, past->second.bytes);
          return acts;
        case Past::unknown:
          told.verdict = Verdict::unknown;
          answer(told);
          return acts;
        case Past::working:
          past->second.waiters.emplace_back(no, now + ask.left - tellBack(ask.left));
          awaited_.insert(*print);
          return acts;
      }
    }
    if (ask.holder) {
      // The claim it asks after: of this life it was given back, of an earlier one nobody knows.
      ForwardReply told =
          toldOf(now, *ask.holder == built_.life ? Verdict::noQuorum : Verdict::unknown, here);
      answer(told);
      return acts;
    }
  }
  if (here == nullptr || here->told.service != ask.service) {
    answer(toldOf(now, Verdict::unknownServer, nullptr));
    return acts;
  }
  Server& server = found->second;
  if (!open(now, server)) {
    answer(toldOf(now, Verdict::draining, &server));
    return acts;
  }
  if (print && !claims_.canWin(now)) {
    answer(toldOf(now, Verdict::noQuorum, &server));
    return acts;
  }
  if (ask.left < kLeastLeft) {
    answer(toldOf(now, Verdict::overloaded, &server));
    return acts;
  }
  Job job;
  job.no = no;
  job.ask = ask;
  job.deadline = now + ask.left;
  job.key = print;
  const Span patience =
      std::min(ask.left - tellBack(ask.left),
               std::max<Span>(kLeastWait, std::chrono::duration_cast<Span>(ask.targetLeft * kWaitPart)));
  job.startBy = now + patience;
  job.length = lengthOf(ask);
  // What is worth most for the time that it holds a slot goes first (Smith's rule): quick checks that other
  // work waits for are not starved by long look-ups of the same rank. The rank's worth falls as its inverse.
  const bool late = std::chrono::duration<double>(ask.targetLeft).count() < job.length;
  job.value = (late ? kLateValue : 1) / (1.0 + ask.priority) / std::max(job.length, 0.001);
  if (print) {
    Operation operation;
    operation.by = no;
    operation.at = now;
    operations_.emplace(*print, std::move(operation));
  }
  Job& kept = jobs_.emplace(no, std::move(job)).first->second;
  if (!fits(now, kept, server)) {
    refuse(now, no, Verdict::overloaded, &server, acts);
  } else if (print) {
    claim(now, kept, acts);
  } else {
    admit(now, kept, server, acts);
  }
  check();
  return acts;
}

// Whether it would be started in time, as things stand; asked before anything is spent on it.
bool Admission::fits(Span now, const Job& job, const Server& server) const {
  if (server.busy < room(server) && server.waiting.empty()) return true;
  double ahead = server.meanRun;
  for (const InboundRequestId other : server.waiting) {
    if (jobs_.at(other).value < job.value) break;
    ahead += jobs_.at(other).length;
  }
  return now + spanOf(ahead / room(server)) <= job.startBy;
}

// To the server at once, or to its place among those that wait.
void Admission::admit(Span now, Job& job, Server& server, AdmissionActions& acts) {
  if (server.busy < room(server) && server.waiting.empty()) {
    ++server.busy;
    return run(now, job, server, acts);
  }
  job.stage = Stage::waiting;
  const auto place = std::find_if(server.waiting.begin(), server.waiting.end(),
                                  [&](InboundRequestId other) { return jobs_.at(other).value < job.value; });
  server.waiting.insert(place, job.no);
  // Whoever cannot be started in time, seen from its place, goes at once and not when its time is over.
  double ahead = server.meanRun;
  std::vector<InboundRequestId> tooLate;
  for (const InboundRequestId waiting : server.waiting) {
    const Job& other = jobs_.at(waiting);
    if (now + spanOf(ahead / room(server)) > other.startBy) {
      tooLate.push_back(waiting);
    } else {
      ahead += other.length;
    }
  }
  for (const InboundRequestId waiting : tooLate) refuse(now, waiting, Verdict::overloaded, &server, acts);
}

// A job that surely never ran ends with a verdict that says so.
void Admission::refuse(Span now, InboundRequestId no, Verdict verdict, const Server* server,
                       AdmissionActions& acts, std::optional<Holder> holder) {
  const auto found = jobs_.find(no);
  if (found == jobs_.end()) return;
  const Job job = found->second;
  const auto at = servers_.find(job.ask.instance);
  if (at != servers_.end()) {
    if (job.stage == Stage::waiting) {
      auto& waiting = at->second.waiting;
      waiting.erase(std::remove(waiting.begin(), waiting.end(), no), waiting.end());
    } else if (job.stage == Stage::running) {
      --at->second.busy;
    }
  }
  if (job.key && job.claim.value > 0) {
    AdmissionAction act{AdmissionAction::Kind::giveBack, no};
    act.key = *job.key;
    act.claim = job.claim;
    acts.push_back(std::move(act));
  }
  AdmissionAction act{AdmissionAction::Kind::answer, no};
  act.told = toldOf(now, verdict, server);
  act.told.holder = std::move(holder);
  acts.push_back(std::move(act));
  jobs_.erase(found);
  if (job.key) forgetOperation(now, *job.key, acts);
}

// Without a slot: votes may take as long as a disk that hangs, and other work need not wait for them.
void Admission::claim(Span now, Job& job, AdmissionActions& acts) {
  job.stage = Stage::claiming;
  job.claim = claims_.open(now, *job.key, std::min(now + kClaimTime, job.deadline - kLeastLeft));
  operations_.at(*job.key).claim = job.claim;
  claiming_[job.claim] = job.no;
  AdmissionAction act{AdmissionAction::Kind::claim, job.no};
  act.key = *job.key;
  act.claim = job.claim;
  acts.push_back(std::move(act));
}

void Admission::run(Span now, Job& job, Server& server, AdmissionActions& acts) {
  job.stage = Stage::running;
  job.startedAt = now;
  AdmissionAction act{AdmissionAction::Kind::run, job.no};
  act.server = server.address;
  act.instance = job.ask.instance;
  act.caller = job.ask.caller;
  act.left = job.deadline - now;
  acts.push_back(std::move(act));
}

AdmissionActions Admission::claimEnded(Span now, const Claims::Outcome& ended) {
  AdmissionActions acts;
  const auto found = claiming_.find(ended.no);
  if (found == claiming_.end()) return acts;
  const InboundRequestId no = found->second;
  claiming_.erase(found);
  Job& job = jobs_.at(no);
  const auto at = servers_.find(job.ask.instance);
  Server* server = at == servers_.end() ? nullptr : &at->second;
  const bool stillOpen = server != nullptr && open(now, *server) && job.deadline - now >= kLeastLeft;
  if (ended.won && stillOpen) {
    admit(now, job, *server, acts);
  } else {
    // It never ran here and never will: whatever was promised to it is given back.
    const Verdict verdict = ended.won      ? Verdict::draining
                            : ended.holder ? Verdict::keyClaimed
                                           : Verdict::noQuorum;
    refuse(now, no, verdict, server, acts, ended.won ? std::nullopt : ended.holder);
  }
  check();
  return acts;
}

AdmissionActions Admission::ran(Span now, InboundRequestId no, AtServer how, const ServerAnswer& answer) {
  AdmissionActions acts;
  const auto found = jobs_.find(no);
  if (found == jobs_.end()) return acts;
  const Job job = found->second;
  const auto at = servers_.find(job.ask.instance);
  Server* server = at == servers_.end() ? nullptr : &at->second;
  const bool sure = how == AtServer::notSent || (how == AtServer::answered && answer.notRun);
  if (sure) {
    refuse(now, no, how == AtServer::notSent ? Verdict::unreachable : Verdict::rejectedByServer, server,
           acts);
    // Another server answered: the one that was meant is no more.
    if (server != nullptr && how == AtServer::answered && answer.status == kNotThatServer)
      over(now, *server, acts);
  } else {
    jobs_.erase(found);
    if (server != nullptr) {
      --server->busy;
      const double seconds = std::chrono::duration<double>(now - job.startedAt).count();
      server->meanRun += kRunShare * (seconds - server->meanRun);
      double& length = lengths_.try_emplace(job.ask.route, seconds).first->second;
      length += kRunShare * (seconds - length);
    }
    AdmissionAction act{AdmissionAction::Kind::answer, no};
    act.told = toldOf(now, how == AtServer::answered ? Verdict::executed : Verdict::unknown, server);
    act.bytes = how == AtServer::answered ? answer.bytes : nullptr;
    act.size = how == AtServer::answered ? answer.size : 0;
    acts.push_back(std::move(act));
    if (job.key)
      endOperation(now, *job.key, how == AtServer::answered ? Past::answered : Past::unknown, answer, acts);
  }
  if (server != nullptr) next(now, *server, acts);
  check();
  return acts;
}

// Guards against servers that work, and room that is held, for nobody.
AdmissionActions Admission::abandoned(Span now, InboundRequestId no) {
  AdmissionActions acts;
  const auto found = jobs_.find(no);
  if (found == jobs_.end() || found->second.key) return acts;
  const Job& job = found->second;
  const auto at = servers_.find(job.ask.instance);
  Server* server = at == servers_.end() ? nullptr : &at->second;
  if (job.stage == Stage::waiting) {
    refuse(now, no, Verdict::overloaded, server, acts);
  } else if (job.ask.kind == RouteKind::pure) {
    acts.push_back({AdmissionAction::Kind::cancel, no});
    AdmissionAction act{AdmissionAction::Kind::answer, no};
    act.told = toldOf(now, Verdict::unknown, server);
    acts.push_back(std::move(act));
    jobs_.erase(found);
    if (server != nullptr) {
      --server->busy;
      next(now, *server, acts);
    }
  }
  check();
  return acts;
}

void Admission::endOperation(Span now, const KeyHash& key, Past past, const ServerAnswer& answer,
                             AdmissionActions& acts) {
  Operation& operation = operations_.at(key);
  operation.past = past;
  operation.at = now;
  if (past == Past::answered) {
    operation.bytes = answer.bytes;
    operation.size = answer.size;
    kept_ += answer.size;
  }
  for (const auto& [no, until] : std::exchange(operation.waiters, {})) {
    AdmissionAction act{AdmissionAction::Kind::answer, no};
    act.told = toldOf(now, past == Past::answered ? Verdict::executed : Verdict::unknown, nullptr);
    act.told.replayed = true;
    act.bytes = operation.bytes;
    acts.push_back(std::move(act));
  }
  ended_.emplace_back(now, key);
  // Guards against answers that eat the memory: the oldest go first, and their repeats are told that nobody
  // knows.
  for (auto old = ended_.begin(); kept_ > built_.mostKept && old != ended_.end(); ++old) {
    const auto found = operations_.find(old->second);
    if (found == operations_.end() || found->second.past != Past::answered) continue;
    kept_ -= found->second.size;
    found->second.past = Past::unknown;
    found->second.bytes.reset();
    found->second.size = 0;
  }
}

void Admission::forgetOperation(Span now, const KeyHash& key, AdmissionActions& acts) {
  const auto found = operations_.find(key);
  if (found == operations_.end()) return;
  for (const auto& [no, until] : found->second.waiters) {
    AdmissionAction act{AdmissionAction::Kind::answer, no};
    act.told = toldOf(now, Verdict::noQuorum, nullptr);
    acts.push_back(std::move(act));
  }
  operations_.erase(found);
}

void Admission::next(Span now, Server& server, AdmissionActions& acts) {
  while (server.busy < room(server) && !server.waiting.empty()) {
    const InboundRequestId no = server.waiting.front();
    Job& job = jobs_.at(no);
    if (!open(now, server) || job.deadline - now < kLeastLeft) {
      refuse(now, no, Verdict::draining, &server, acts);
      continue;
    }
    server.waiting.pop_front();
    ++server.busy;
    run(now, job, server, acts);
  }
}

AdmissionActions Admission::tick(Span now) {
  AdmissionActions acts;
  for (const Claims::Outcome& ended : claims_.expire(now)) {
    const AdmissionActions more = claimEnded(now, ended);
    acts.insert(acts.end(), more.begin(), more.end());
  }
  for (auto& [id, server] : servers_) {
    const std::deque<InboundRequestId> waiting = server.waiting;
    for (const InboundRequestId no : waiting) {
      const Verdict verdict = open(now, server) ? Verdict::overloaded : Verdict::draining;
      if (verdict == Verdict::draining || jobs_.at(no).startBy <= now)
        refuse(now, no, verdict, &server, acts);
    }
  }
  for (auto at = awaited_.begin(); at != awaited_.end();) {
    const auto found = operations_.find(*at);
    if (found == operations_.end() || found->second.waiters.empty()) {
      at = awaited_.erase(at);
      continue;
    }
    ++at;
    auto& waiters = found->second.waiters;
    for (const auto& [no, until] : waiters) {
      if (until > now) continue;
      AdmissionAction act{AdmissionAction::Kind::answer, no};
      act.told = toldOf(now, Verdict::inProgress, nullptr);
      acts.push_back(std::move(act));
    }
    waiters.erase(
        std::remove_if(waiters.begin(), waiters.end(), [&](const auto& w) { return w.second <= now; }),
        waiters.end());
  }
  while (!ended_.empty() && ended_.front().first + built_.keyWindow + kNoteSpare <= now) {
    const auto found = operations_.find(ended_.front().second);
    if (found != operations_.end() && found->second.past != Past::working &&
        found->second.at <= ended_.front().first) {
      kept_ -= found->second.size;
      operations_.erase(found);
    }
    ended_.pop_front();
  }
  for (auto at = servers_.begin(); at != servers_.end();) {
    const Server& server = at->second;
    const bool over = server.lastBeat + kNoServerFor < now && server.busy == 0 && server.waiting.empty();
    at = over ? servers_.erase(at) : std::next(at);
  }
  // Guards against routes that come and go without end: what is known of their lengths is soon known anew.
  if (lengths_.size() > kMostLengths) lengths_.clear();
  return acts;
}

std::optional<Span> Admission::nextTick() const {
  std::optional<Span> next = claims_.nextDeadline();
  const auto earlier = [&](Span at) { next = std::min(next.value_or(at), at); };
  for (const auto& [id, server] : servers_) {
    for (const InboundRequestId no : server.waiting) earlier(jobs_.at(no).startBy);
  }
  for (const KeyHash& key : awaited_) {
    const auto found = operations_.find(key);
    if (found == operations_.end()) continue;
    for (const auto& waiter : found->second.waiters) earlier(waiter.second);
  }
  return next;
}

AdmissionActions Admission::leave(Span now) {
  leaving_ = true;
  AdmissionActions acts = tick(now);
  for (auto& [id, server] : servers_) {
    server.told.leaving = true;
    tell(server, acts);
  }
  return acts;
}

std::vector<Served> Admission::servers() const {
  std::vector<Served> all;
  for (const auto& [id, server] : servers_) all.push_back(server.told);
  return all;
}

void Admission::check() const {
#ifndef NDEBUG
  for (const auto& [id, server] : servers_) {
    assert(server.busy <= room(server));
    std::size_t busy = 0;
    for (const auto& [no, job] : jobs_) {
      if (job.ask.instance == id && job.stage == Stage::running) ++busy;
    }
    assert(busy == server.busy);
  }
  for (const auto& [no, job] : jobs_) assert(!job.key || operations_.count(*job.key) > 0);
#endif
}

}  // namespace rackroute::mesh
