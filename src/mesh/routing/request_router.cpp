#include "mesh/routing/request_router.hpp"

#include <algorithm>
#include <cassert>
#include <functional>
#include <utility>

namespace rackroute::mesh {
namespace {

using namespace std::chrono_literals;

constexpr std::size_t kProcessesUntold = 100;  // until the control plane tells; more than share most slacks
constexpr std::uint32_t kMostRefusals = 4;     // that may turn a request away before it is given up
constexpr Span kLeastLeft = 20ms;              // of a client's time; nothing is served in less
constexpr Span kLeastComeBack = 50ms;          // for a client that is turned away; a queue's shortest time
constexpr Span kMostComeBack = 400ms;          // clients heed a third of what time they have
constexpr Span kNoServers = 300ms;             // to come back when none is known; news takes about that long
constexpr Span kHolderGone = 1s;               // to come back when an earlier run's outcome is not known
constexpr double kHedgeMean = 3;               // times the mean answer, before another server is asked too
constexpr double kHedgeAim = 0.5;              // of the aim, before which no other server is asked
constexpr double kAnswerShare = 0.05;          // of the newest answer in the mean
constexpr std::uint64_t kSpread = 0x9e3779b97f4a7c15;  // 2^64 / golden ratio, odd: keeps lives apart
constexpr std::uint32_t kTimeout = 504;
constexpr std::uint32_t kFailed = 502;
constexpr std::uint32_t kBusy = 503;

}  // namespace

RequestRouter::RequestRouter(Built built)
    : built_(std::move(built)),
      pool_(built_.zone, built_.node, built_.seed),
      chance_(built_.seed + 1),
      processes_(kProcessesUntold),
      // The seed alone may be made of the node's name, which an exclusive or would take out again.
      origin_(built_.seed * kSpread + std::hash<std::string>{}(built_.node.value)) {}

void RequestRouter::processes(std::size_t count) {
  processes_ = std::max<std::size_t>(count, 1);
  for (auto& [service, budget] : budgets_) budget.configure(built_.allowance, processes_);
}

RetryBudget& RequestRouter::budget(const ServiceName& service) {
  const auto [found, added] = budgets_.try_emplace(service);
  if (added) found->second.configure(built_.allowance, processes_);
  return found->second;
}

Span RequestRouter::hedgeAfter(const Route& route) const {
  const auto mean = meanAnswer_.find(route.name);
  const Span byAim = std::chrono::duration_cast<Span>(route.aim * kHedgeAim);
  if (mean == meanAnswer_.end()) return byAim;
  return std::max(byAim,
                  std::chrono::duration_cast<Span>(std::chrono::duration<double>(mean->second * kHedgeMean)));
}

RoutingActions RequestRouter::asked(Span now, CallNo no, const Asked& asked) {
  RoutingActions acts;
  auto route = table_.find(asked.host, asked.path);
  if (!route) {
    answer(no, 404, Span{0}, acts);
    return acts;
  }
  Call call;
  call.started = now;
  call.deadline = now + std::min(asked.patience.value_or(route->timeout), route->timeout);
  call.service = route->targetAt(std::uniform_real_distribution<double>(0, 1)(chance_));
  if (route->kind == RouteKind::pure && route->mostServers > 1) call.hedgeAt = now + hedgeAfter(*route);
  call.route = std::move(route);
  budget(call.service).onRequest(now);
  Call& kept = calls_.emplace(no, std::move(call)).first->second;
  if (!sendOn(now, no, kept, acts)) giveUp(now, no, kept, acts);
  return acts;
}

// To one more server, if any may take it; no question of the budget.
bool RequestRouter::sendOn(Span now, CallNo no, Call& call, RoutingActions& acts) {
  if (call.deadline - now < kLeastLeft) return false;
  const bool keyed = call.route->kind == RouteKind::keyed;
  const auto picked = pool_.pick(now, call.service, keyed, call.been);
  if (!picked) return false;
  call.been.insert(picked->id);
  const TryNo sent{++tries_};
  call.out[sent] = {Try::Kind::request, picked->id, picked->at, picked->life, now};
  RoutingAction act{RoutingAction::Kind::send, no, sent};
  act.at = picked->at;
  act.ask.instance = picked->id;
  act.ask.service = call.service;
  act.ask.caller = built_.service;
  act.ask.left = call.deadline - now;
  act.ask.targetLeft = std::max(Span{0}, call.started + call.route->aim - now);
  act.ask.priority = call.route->priority;
  act.ask.kind = call.route->kind;
  act.ask.route = call.route->name;
  if (call.route->kind == RouteKind::effectful) act.ask.id = ForwardId{origin_, sent.value};
  acts.push_back(std::move(act));
  return true;
}

// What a request's end says of the server.
void RequestRouter::learn(Span now, const Try& tried, ForwardResult how, const ForwardReply& told,
                          std::uint32_t status) {
  ServerOutcome ending = ServerOutcome::failed;
  switch (how == ForwardResult::told ? told.verdict : Verdict::unknown) {
    case Verdict::executed:
      ending = status >= 500 && !told.replayed ? ServerOutcome::serverError : ServerOutcome::succeeded;
      break;
    case Verdict::rejectedByServer:
    case Verdict::overloaded:
    case Verdict::keyClaimed:
    case Verdict::inProgress:
    case Verdict::notReceived:
      ending = ServerOutcome::atCapacity;
      break;
    case Verdict::draining:
      ending = ServerOutcome::draining;
      break;
    case Verdict::unknownServer:
      ending = ServerOutcome::unknownServer;
      break;
    case Verdict::noQuorum:
      ending = ServerOutcome::noQuorum;
      break;
    case Verdict::unreachable:
    case Verdict::unknown:
      ending = how == ForwardResult::told ? ServerOutcome::failed : ServerOutcome::unreachable;
      break;
  }
  pool_.recordOutcome(now, tried.instance, ending, told.load);
}

// The answer of an operation lies with the process that holds its key, if that one still lives.
void RequestRouter::askHolder(Span now, CallNo no, Call& call, const Holder& holder, RoutingActions& acts) {
  const TryNo next{++tries_};
  call.out[next] = {Try::Kind::holder, {}, holder.at, holder.life, now};
  RoutingAction act{RoutingAction::Kind::send, no, next};
  act.at = holder.at;
  act.ask.service = call.service;
  act.ask.caller = built_.service;
  act.ask.left = call.deadline - now;
  act.ask.kind = call.route->kind;
  act.ask.priority = call.route->priority;
  act.ask.holder = holder.life;
  acts.push_back(std::move(act));
}

// Once, after a connection broke with a request on it that must not be sent again on a guess. The same life
// of the other process knows whether it came; if it did not, a late copy is turned away there.
bool RequestRouter::askOutcome(Span now, CallNo no, Call& call, TryNo sent, const Try& broken,
                               RoutingActions& acts) {
  const bool asks = call.route->kind == RouteKind::effectful && broken.kind == Try::Kind::request;
  if (!asks || call.deadline - now < kLeastLeft) return false;
  const TryNo next{++tries_};
  call.out[next] = broken;
  call.out[next].kind = Try::Kind::outcome;
  RoutingAction act{RoutingAction::Kind::send, no, next};
  act.at = broken.at;
  act.ask.instance = broken.instance;
  act.ask.service = call.service;
  act.ask.caller = built_.service;
  act.ask.left = call.deadline - now;
  act.ask.kind = call.route->kind;
  act.ask.priority = call.route->priority;
  act.ask.id = ForwardId{origin_, sent.value};
  act.ask.outcomeQuery = broken.life;
  acts.push_back(std::move(act));
  return true;
}

// An earlier run of the operation ended with no answer. Whether that one ran nobody knows, but this request
// did not, unless a copy of it went another way.
void RequestRouter::earlierRunUnknown(CallNo no, const Call& call, RoutingActions& acts) {
  if (call.mayHaveRun) {
    answer(no, kFailed, Span{0}, acts);
  } else {
    answer(no, kBusy, kHolderGone, acts);
  }
  calls_.erase(no);
}

RoutingActions RequestRouter::forwarded(Span now, CallNo no, TryNo sent, ForwardResult how,
                                        const ForwardReply& told, std::uint32_t status,
                                        std::shared_ptr<const void> bytes) {
  RoutingActions acts;
  const auto found = calls_.find(no);
  if (found == calls_.end() || found->second.out.count(sent) == 0) return acts;
  Call& call = found->second;
  const Try tried = call.out.at(sent);
  call.out.erase(sent);
  Verdict verdict = how == ForwardResult::told ? told.verdict : Verdict::unknown;
  // Word that it never came is believed only while the other process surely remembers what came.
  const bool trusted = tried.kind == Try::Kind::outcome && now - tried.sentAt < kOutcomeQueryWindow;
  if (verdict == Verdict::notReceived && !trusted) verdict = Verdict::unknown;
  const bool pure = call.route->kind == RouteKind::pure;

  if (tried.kind == Try::Kind::request) learn(now, tried, how, told, status);

  switch (verdict) {
    case Verdict::executed: {
      ++call.reached;
      if (!told.replayed && status < 400) {
        double& mean = meanAnswer_.try_emplace(call.route->name, 0).first->second;
        const double seconds = std::chrono::duration<double>(now - call.started).count();
        mean = mean == 0 ? seconds : mean + kAnswerShare * (seconds - mean);
      }
      call.mayHaveRun = true;
      // A failure of one server may be no failure of the next.
      if (pure && status >= 500) {
        call.lastBytes = bytes;
        if (!call.out.empty()) return acts;
        if (call.reached < call.route->mostServers && budget(call.service).tryTake(now) &&
            sendOn(now, no, call, acts))
          return acts;
      }
      RoutingAction act{RoutingAction::Kind::pass, no};
      act.bytes = std::move(bytes);
      acts.push_back(std::move(act));
      calls_.erase(found);
      return acts;
    }
    case Verdict::overloaded:
    case Verdict::draining:
    case Verdict::unknownServer:
    case Verdict::unreachable:
    case Verdict::noQuorum:
      ++call.refusals;
      if (verdict == Verdict::noQuorum) {
        call.quorumBack = std::max(call.quorumBack, told.wait);
      } else if (told.wait > Span{0}) {
        call.wait = std::min(call.wait, told.wait);
      }
      // One process may be cut off from the quorum; two are a sign that there is none.
      if (verdict == Verdict::noQuorum && ++call.voteless > 1) call.refusals = kMostRefusals;
      if (!call.out.empty()) return acts;
      if (tried.kind == Try::Kind::holder) break;  // the holder gave its claim back; the client may ask anew
      if (call.refusals < kMostRefusals && sendOn(now, no, call, acts)) return acts;
      break;
    case Verdict::rejectedByServer:
      ++call.reached;
      ++call.refusals;
      if (!call.out.empty()) return acts;
      if (call.reached < call.route->mostServers && call.refusals < kMostRefusals &&
          budget(call.service).tryTake(now) && sendOn(now, no, call, acts))
        return acts;
      break;
    case Verdict::keyClaimed:
      if (tried.kind != Try::Kind::request || !told.holder) break;
      askHolder(now, no, call, *told.holder, acts);
      return acts;
    case Verdict::inProgress:
      answer(no, 409, Span{0}, acts);
      calls_.erase(found);
      return acts;
    case Verdict::notReceived:
      ++call.refusals;
      if (call.refusals < kMostRefusals && sendOn(now, no, call, acts)) return acts;
      break;
    case Verdict::unknown: {
      if (tried.kind == Try::Kind::holder || (how == ForwardResult::told && told.replayed)) {
        earlierRunUnknown(no, call, acts);
        return acts;
      }
      if (how == ForwardResult::broken && askOutcome(now, no, call, sent, tried, acts)) return acts;
      // A question that could not be sent leaves the request as unknown as one that was.
      if (tried.kind == Try::Kind::outcome) how = ForwardResult::broken;
      if (how != ForwardResult::notSent) {
        ++call.reached;
        call.mayHaveRun = true;
      }
      if (!call.out.empty()) return acts;
      // A keyed request may go to another server: its key is claimed there, and a claim that stands is found.
      // After word from the server's own process that it may have run it is known to be in vain.
      const bool again = how == ForwardResult::notSent || pure ||
                         (call.route->kind == RouteKind::keyed && how != ForwardResult::told);
      const bool counted = how != ForwardResult::notSent;
      if (how == ForwardResult::notSent) ++call.refusals;
      if (again && call.refusals < kMostRefusals &&
          call.reached < call.route->mostServers + (counted ? 0U : 1U) &&
          (!counted || budget(call.service).tryTake(now)) && sendOn(now, no, call, acts))
        return acts;
      break;
    }
  }
  giveUp(now, no, call, acts);
  return acts;
}

// Guards against servers that work, and slots that are held, for nobody.
RoutingActions RequestRouter::abandoned(Span now, CallNo no) {
  RoutingActions acts;
  const auto found = calls_.find(no);
  if (found == calls_.end() || found->second.route->kind == RouteKind::keyed) return acts;
  for (const auto& [sent, tried] : found->second.out) {
    // That its client left says nothing of the server's health.
    if (tried.kind == Try::Kind::request)
      pool_.recordOutcome(now, tried.instance, ServerOutcome::atCapacity, std::nullopt);
    acts.push_back({RoutingAction::Kind::cancel, no, sent});
  }
  calls_.erase(found);
  return acts;
}

void RequestRouter::giveUp(Span now, CallNo no, Call& call, RoutingActions& acts) {
  if (!call.out.empty()) return;
  if (call.lastBytes) {
    RoutingAction act{RoutingAction::Kind::pass, no};
    act.bytes = call.lastBytes;
    acts.push_back(std::move(act));
  } else if (call.mayHaveRun) {
    answer(no, call.deadline <= now ? kTimeout : kFailed, Span{0}, acts);
  } else {
    const bool known = pool_.countUsable(call.service) > 0;
    Span wait = call.wait == Span::max() ? (known ? kLeastComeBack : kNoServers) : call.wait;
    wait = std::clamp(wait, kLeastComeBack, kMostComeBack);
    wait = std::max(wait, call.quorumBack);
    answer(no, kBusy, wait, acts);
  }
  calls_.erase(no);
}

void RequestRouter::answer(CallNo no, std::uint32_t status, Span comeBack, RoutingActions& acts) {
  RoutingAction act{RoutingAction::Kind::answer, no};
  act.status = status;
  act.comeBack = comeBack;
  acts.push_back(std::move(act));
}

RoutingActions RequestRouter::tick(Span now) {
  RoutingActions acts;
  std::vector<CallNo> due;
  for (const auto& [no, call] : calls_) {
    if (std::min(call.deadline, call.hedgeAt) <= now) due.push_back(no);
  }
  for (const CallNo no : due) {
    Call& call = calls_.at(no);
    if (call.deadline <= now) {
      // What is still out may have run; nobody waits for it any more.
      for (const auto& [sent, tried] : call.out) {
        if (tried.kind == Try::Kind::request)
          pool_.recordOutcome(now, tried.instance, ServerOutcome::failed, std::nullopt);
        if (tried.kind != Try::Kind::holder) call.mayHaveRun = true;
      }
      call.out.clear();
      giveUp(now, no, call, acts);
      continue;
    }
    call.hedgeAt = Span::max();
    // One more than the route allows must never be out: those out may all have reached their servers.
    const std::uint32_t may = call.reached + static_cast<std::uint32_t>(call.out.size());
    if (may >= call.route->mostServers || pool_.countUsable(call.service) < 2) continue;
    if (budget(call.service).tryTake(now)) sendOn(now, no, call, acts);
  }
  pool_.sweep(now);
  return acts;
}

std::optional<Span> RequestRouter::nextTick() const {
  std::optional<Span> next;
  for (const auto& [no, call] : calls_) {
    const Span at = std::min(call.deadline, call.hedgeAt);
    next = std::min(next.value_or(at), at);
  }
  return next;
}

}  // namespace rackroute::mesh
