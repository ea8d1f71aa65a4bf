#include "mesh/routing/request_router.hpp"

#include <algorithm>
#include <cassert>
#include <functional>
#include <utility>

namespace rackroute::mesh {
namespace {

using namespace std::chrono_literals;

// Used until the control plane reports the number of processes; high, so that the retry budget is not
// exceeded.
constexpr std::size_t kAssumedProcesses = 100;
// Refusals after which a request is given up.
constexpr std::uint32_t kMaxRefusals = 4;
// Requests with less time left are not sent: none is answered faster.
constexpr Span kMinTimeLeft = 20ms;
constexpr Span kMinRetryAfter = 50ms;        // the shortest time in which a queue shrinks
constexpr Span kMaxRetryAfter = 400ms;       // clients wait at most a third of the time that they have left
constexpr Span kNoServerRetryAfter = 300ms;  // about the time until an update of the servers arrives
constexpr Span kOutcomeUnknownRetryAfter = 1s;  // the outcome of an earlier run is not known
// A hedged attempt starts after this multiple of the mean answer time, and not before this share of the
// target time.
constexpr double kHedgeMeanFactor = 3;
constexpr double kHedgeTargetShare = 0.5;
// Weight of the newest answer in the moving average.
constexpr double kMeanWeight = 0.05;
// 2^64 / golden ratio: spreads consecutive seeds over all forward origins.
constexpr std::uint64_t kGoldenRatio = 0x9e3779b97f4a7c15;
constexpr std::uint32_t kGatewayTimeout = 504;
constexpr std::uint32_t kBadGateway = 502;
constexpr std::uint32_t kServiceUnavailable = 503;

}  // namespace

RequestRouter::RequestRouter(Config config)
    : config_(std::move(config)),
      pool_(config_.zone, config_.node, config_.seed),
      random_(config_.seed + 1),
      processCount_(kAssumedProcesses),
      // The seed may already contain the hash of the node's name by exclusive or, which would cancel here.
      forwardOrigin_(config_.seed * kGoldenRatio + std::hash<std::string>{}(config_.node.value)) {}

void RequestRouter::setProcessCount(std::size_t count) {
  processCount_ = std::max<std::size_t>(count, 1);
  for (auto& [service, budget] : budgets_) budget.configure(config_.allowance, processCount_);
}

RetryBudget& RequestRouter::budget(const ServiceName& service) {
  const auto [found, added] = budgets_.try_emplace(service);
  if (added) found->second.configure(config_.allowance, processCount_);
  return found->second;
}

Span RequestRouter::hedgeDelay(const Route& route) const {
  const auto mean = meanSecondsByRoute_.find(route.name);
  const Span byTarget = std::chrono::duration_cast<Span>(route.targetTime * kHedgeTargetShare);
  if (mean == meanSecondsByRoute_.end()) return byTarget;
  return std::max(byTarget, std::chrono::duration_cast<Span>(
                                std::chrono::duration<double>(mean->second * kHedgeMeanFactor)));
}

RoutingActions RequestRouter::handleRequest(Span now, CallNo no, const ClientRequest& request) {
  RoutingActions actions;
  auto route = table_.find(request.host, request.path);
  if (!route) {
    answer(no, 404, Span{0}, actions);
    return actions;
  }
  Call call;
  call.started = now;
  call.deadline = now + std::min(request.timeout.value_or(route->timeout), route->timeout);
  call.service = route->pickTarget(std::uniform_real_distribution<double>(0, 1)(random_));
  if (route->kind == RouteKind::pure && route->maxAttempts > 1) call.hedgeAt = now + hedgeDelay(*route);
  call.route = std::move(route);
  budget(call.service).onRequest(now);
  Call& added = calls_.emplace(no, std::move(call)).first->second;
  if (!sendToNext(now, no, added, actions)) finishWithoutAnswer(now, no, added, actions);
  return actions;
}

// Sends the request to one more server, if there is a candidate. The caller checks the retry budget.
bool RequestRouter::sendToNext(Span now, CallNo no, Call& call, RoutingActions& actions) {
  if (call.deadline - now < kMinTimeLeft) return false;
  const bool keyed = call.route->kind == RouteKind::keyed;
  const auto picked = pool_.pick(now, call.service, keyed, call.triedServers);
  if (!picked) return false;
  call.triedServers.insert(picked->id);
  const AttemptNo attemptNo{++lastAttempt_};
  call.pending[attemptNo] = {Attempt::Kind::request, picked->id, picked->at, picked->life, now};
  RoutingAction action{RoutingAction::Kind::send, no, attemptNo};
  action.at = picked->at;
  action.forward.instance = picked->id;
  action.forward.service = call.service;
  action.forward.caller = config_.service;
  action.forward.left = call.deadline - now;
  action.forward.targetLeft = std::max(Span{0}, call.started + call.route->targetTime - now);
  action.forward.priority = call.route->priority;
  action.forward.kind = call.route->kind;
  action.forward.route = call.route->name;
  if (call.route->kind == RouteKind::effectful)
    action.forward.id = ForwardId{forwardOrigin_, attemptNo.value};
  actions.push_back(std::move(action));
  return true;
}

// Reports the attempt's outcome to the server pool.
void RequestRouter::reportOutcome(Span now, const Attempt& attempt, ForwardResult how,
                                  const ForwardReply& reply, std::uint32_t status) {
  ServerOutcome ending = ServerOutcome::failed;
  switch (how == ForwardResult::replied ? reply.verdict : Verdict::unknown) {
    case Verdict::executed:
      ending = status >= 500 && !reply.replayed ? ServerOutcome::serverError : ServerOutcome::succeeded;
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
      ending = how == ForwardResult::replied ? ServerOutcome::failed : ServerOutcome::unreachable;
      break;
  }
  pool_.recordOutcome(now, attempt.instance, ending, reply.load);
}

// Requests the answer from the process that holds the operation's key.
void RequestRouter::queryHolder(Span now, CallNo no, Call& call, const Holder& holder,
                                RoutingActions& actions) {
  const AttemptNo next{++lastAttempt_};
  call.pending[next] = {Attempt::Kind::holder, {}, holder.at, holder.life, now};
  RoutingAction action{RoutingAction::Kind::send, no, next};
  action.at = holder.at;
  action.forward.service = call.service;
  action.forward.caller = config_.service;
  action.forward.left = call.deadline - now;
  action.forward.kind = call.route->kind;
  action.forward.priority = call.route->priority;
  action.forward.holder = holder.life;
  actions.push_back(std::move(action));
}

// Queries once whether an effectful request arrived before its connection was lost. Only the run of the
// process to which it was sent can answer; if the request had not arrived, that process refuses a late copy
// of it.
bool RequestRouter::queryOutcome(Span now, CallNo no, Call& call, AttemptNo attemptNo, const Attempt& lost,
                                 RoutingActions& actions) {
  const bool canQuery = call.route->kind == RouteKind::effectful && lost.kind == Attempt::Kind::request;
  if (!canQuery || call.deadline - now < kMinTimeLeft) return false;
  const AttemptNo next{++lastAttempt_};
  call.pending[next] = lost;
  call.pending[next].kind = Attempt::Kind::outcome;
  RoutingAction action{RoutingAction::Kind::send, no, next};
  action.at = lost.at;
  action.forward.instance = lost.instance;
  action.forward.service = call.service;
  action.forward.caller = config_.service;
  action.forward.left = call.deadline - now;
  action.forward.kind = call.route->kind;
  action.forward.priority = call.route->priority;
  action.forward.id = ForwardId{forwardOrigin_, attemptNo.value};
  action.forward.outcomeQuery = lost.life;
  actions.push_back(std::move(action));
  return true;
}

// Answers a request whose operation has an earlier run with an unknown outcome. This request itself did not
// run, unless another attempt of it may have.
void RequestRouter::answerEarlierRunUnknown(CallNo no, const Call& call, RoutingActions& actions) {
  if (call.mayHaveRun) {
    answer(no, kBadGateway, Span{0}, actions);
  } else {
    answer(no, kServiceUnavailable, kOutcomeUnknownRetryAfter, actions);
  }
  calls_.erase(no);
}

RoutingActions RequestRouter::forwardEnded(Span now, CallNo no, AttemptNo attemptNo, ForwardResult how,
                                           const ForwardReply& reply, std::uint32_t status,
                                           std::shared_ptr<const void> bytes) {
  RoutingActions actions;
  const auto found = calls_.find(no);
  if (found == calls_.end() || found->second.pending.count(attemptNo) == 0) return actions;
  Call& call = found->second;
  const Attempt attempt = call.pending.at(attemptNo);
  call.pending.erase(attemptNo);
  Verdict verdict = how == ForwardResult::replied ? reply.verdict : Verdict::unknown;
  // A reply that the request was not received is valid only while the other process still remembers all
  // requests that arrived.
  const bool withinTrust =
      attempt.kind == Attempt::Kind::outcome && now - attempt.sentAt < kOutcomeQueryWindow;
  if (verdict == Verdict::notReceived && !withinTrust) verdict = Verdict::unknown;
  const bool pure = call.route->kind == RouteKind::pure;

  if (attempt.kind == Attempt::Kind::request) reportOutcome(now, attempt, how, reply, status);

  switch (verdict) {
    case Verdict::executed: {
      ++call.reached;
      if (!reply.replayed && status < 400) {
        double& mean = meanSecondsByRoute_.try_emplace(call.route->name, 0).first->second;
        const double seconds = std::chrono::duration<double>(now - call.started).count();
        mean = mean == 0 ? seconds : mean + kMeanWeight * (seconds - mean);
      }
      call.mayHaveRun = true;
      // A pure request that failed may succeed at another server.
      if (pure && status >= 500) {
        call.lastFailure = bytes;
        if (!call.pending.empty()) return actions;
        if (call.reached < call.route->maxAttempts && budget(call.service).tryTake(now) &&
            sendToNext(now, no, call, actions))
          return actions;
      }
      RoutingAction action{RoutingAction::Kind::pass, no};
      action.bytes = std::move(bytes);
      actions.push_back(std::move(action));
      calls_.erase(found);
      return actions;
    }
    case Verdict::overloaded:
    case Verdict::draining:
    case Verdict::unknownServer:
    case Verdict::unreachable:
    case Verdict::noQuorum:
      ++call.refusals;
      if (verdict == Verdict::noQuorum) {
        call.quorumRetryAfter = std::max(call.quorumRetryAfter, reply.wait);
      } else if (reply.wait > Span{0}) {
        call.shortestWait = std::min(call.shortestWait, reply.wait);
      }
      // A single process may be cut off from the quorum; a second one suggests that there is none.
      if (verdict == Verdict::noQuorum && ++call.quorumRefusals > 1) call.refusals = kMaxRefusals;
      if (!call.pending.empty()) return actions;
      if (attempt.kind == Attempt::Kind::holder) break;  // the claim was released; the client may retry
      if (call.refusals < kMaxRefusals && sendToNext(now, no, call, actions)) return actions;
      break;
    case Verdict::rejectedByServer:
      ++call.reached;
      ++call.refusals;
      if (!call.pending.empty()) return actions;
      if (call.reached < call.route->maxAttempts && call.refusals < kMaxRefusals &&
          budget(call.service).tryTake(now) && sendToNext(now, no, call, actions))
        return actions;
      break;
    case Verdict::keyClaimed:
      if (attempt.kind != Attempt::Kind::request || !reply.holder) break;
      queryHolder(now, no, call, *reply.holder, actions);
      return actions;
    case Verdict::inProgress:
      answer(no, 409, Span{0}, actions);
      calls_.erase(found);
      return actions;
    case Verdict::notReceived:
      ++call.refusals;
      if (call.refusals < kMaxRefusals && sendToNext(now, no, call, actions)) return actions;
      break;
    case Verdict::unknown: {
      if (attempt.kind == Attempt::Kind::holder || (how == ForwardResult::replied && reply.replayed)) {
        answerEarlierRunUnknown(no, call, actions);
        return actions;
      }
      if (how == ForwardResult::connectionLost && queryOutcome(now, no, call, attemptNo, attempt, actions))
        return actions;
      // The request's outcome stays unknown, whether or not the query for it was sent.
      if (attempt.kind == Attempt::Kind::outcome) how = ForwardResult::connectionLost;
      if (how != ForwardResult::notSent) {
        ++call.reached;
        call.mayHaveRun = true;
      }
      if (!call.pending.empty()) return actions;
      // A keyed request may go to another server, as claiming its key there finds an existing claim. After a
      // reply that it may have run, such an attempt could only fail.
      const bool retryable = how == ForwardResult::notSent || pure ||
                             (call.route->kind == RouteKind::keyed && how != ForwardResult::replied);
      const bool counted = how != ForwardResult::notSent;
      if (how == ForwardResult::notSent) ++call.refusals;
      if (retryable && call.refusals < kMaxRefusals &&
          call.reached < call.route->maxAttempts + (counted ? 0U : 1U) &&
          (!counted || budget(call.service).tryTake(now)) && sendToNext(now, no, call, actions))
        return actions;
      break;
    }
  }
  finishWithoutAnswer(now, no, call, actions);
  return actions;
}

// Frees slots and cancels work for clients that have disconnected.
RoutingActions RequestRouter::abandoned(Span now, CallNo no) {
  RoutingActions actions;
  const auto found = calls_.find(no);
  if (found == calls_.end() || found->second.route->kind == RouteKind::keyed) return actions;
  for (const auto& [attemptNo, attempt] : found->second.pending) {
    // A client's disconnect doesn't count against the server.
    if (attempt.kind == Attempt::Kind::request)
      pool_.recordOutcome(now, attempt.instance, ServerOutcome::atCapacity, std::nullopt);
    actions.push_back({RoutingAction::Kind::cancel, no, attemptNo});
  }
  calls_.erase(found);
  return actions;
}

void RequestRouter::finishWithoutAnswer(Span now, CallNo no, Call& call, RoutingActions& actions) {
  if (!call.pending.empty()) return;
  if (call.lastFailure) {
    RoutingAction action{RoutingAction::Kind::pass, no};
    action.bytes = call.lastFailure;
    actions.push_back(std::move(action));
  } else if (call.mayHaveRun) {
    answer(no, call.deadline <= now ? kGatewayTimeout : kBadGateway, Span{0}, actions);
  } else {
    const bool known = pool_.countUsable(call.service) > 0;
    Span wait =
        call.shortestWait == Span::max() ? (known ? kMinRetryAfter : kNoServerRetryAfter) : call.shortestWait;
    wait = std::clamp(wait, kMinRetryAfter, kMaxRetryAfter);
    wait = std::max(wait, call.quorumRetryAfter);
    answer(no, kServiceUnavailable, wait, actions);
  }
  calls_.erase(no);
}

void RequestRouter::answer(CallNo no, std::uint32_t status, Span retryAfter, RoutingActions& actions) {
  RoutingAction action{RoutingAction::Kind::answer, no};
  action.status = status;
  action.retryAfter = retryAfter;
  actions.push_back(std::move(action));
}

RoutingActions RequestRouter::tick(Span now) {
  RoutingActions actions;
  std::vector<CallNo> due;
  for (const auto& [no, call] : calls_) {
    if (std::min(call.deadline, call.hedgeAt) <= now) due.push_back(no);
  }
  for (const CallNo no : due) {
    Call& call = calls_.at(no);
    if (call.deadline <= now) {
      // Pending attempts may have run.
      for (const auto& [attemptNo, attempt] : call.pending) {
        if (attempt.kind == Attempt::Kind::request)
          pool_.recordOutcome(now, attempt.instance, ServerOutcome::failed, std::nullopt);
        if (attempt.kind != Attempt::Kind::holder) call.mayHaveRun = true;
      }
      call.pending.clear();
      finishWithoutAnswer(now, no, call, actions);
      continue;
    }
    call.hedgeAt = Span::max();
    // All pending attempts may have reached their servers, so they count towards the route's limit.
    const std::uint32_t reachable = call.reached + static_cast<std::uint32_t>(call.pending.size());
    if (reachable >= call.route->maxAttempts || pool_.countUsable(call.service) < 2) continue;
    if (budget(call.service).tryTake(now)) sendToNext(now, no, call, actions);
  }
  pool_.sweep(now);
  return actions;
}

std::vector<OpenWork> RequestRouter::openWork(Span now) const {
  std::vector<OpenWork> open;
  for (const auto& [no, call] : calls_) {
    const std::string at = call.pending.empty() ? "" : call.pending.begin()->second.at.value;
    open.push_back({call.route->name, at, now - call.started, call.deadline - now});
  }
  return open;
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
