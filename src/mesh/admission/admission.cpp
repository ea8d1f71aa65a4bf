#include "mesh/admission/admission.hpp"

#include <algorithm>
#include <cassert>
#include <limits>
#include <utility>

namespace rackroute::mesh {
namespace {

using namespace std::chrono_literals;

// New requests are refused this long before a draining server's deadline.
constexpr Span kDrainMargin = 1200ms;
// Longest time in the queue, as a share of the route's target time.
constexpr double kMaxWaitShare = 0.4;
// Lower bound of that time, for routes with a short target time and for late requests: a few slots become
// free within it.
constexpr Span kMinWait = 60ms;
// Expected execution time of a route that has not run yet, as a share of its target time.
constexpr double kUnknownRouteShare = 0.25;
// Factor on the value of a request that can't meet its target time any more.
constexpr double kLateValueFactor = 0.2;
// Timeout for a quorum of votes, which a slow disk or a large configuration under way delays.
constexpr Span kClaimTimeout = 450ms;
// Requests with less time left are not sent to a server: none answers faster.
constexpr Span kMinTimeLeft = 15ms;
// Time to deliver a refusal before the client's deadline.
constexpr Span kReplyMargin = 40ms;
// Weight of the newest execution in the moving averages.
constexpr double kMeanWeight = 0.1;
// Time beyond the key window for which a completed operation is remembered.
constexpr Span kOperationRetentionMargin = 10s;
constexpr std::size_t kMaxRouteMeans = 10'000;  // routes
constexpr std::uint32_t kMisdirectedRequest = 421;
constexpr std::size_t kMaxServers = 256;  // of the machine within kServerExpiry
// A server without heartbeats for this long is forgotten.
constexpr Span kServerExpiry = 60s;

Span toSpan(double seconds) {
  return std::chrono::duration_cast<Span>(std::chrono::duration<double>(seconds));
}

// How long before the deadline a queued request is refused, so that its caller still learns in time that it
// did not run.
Span replyMargin(Span left) { return std::max(kMinTimeLeft, std::min(kReplyMargin, left / 4)); }

}  // namespace

Admission::Admission(Config config) : config_(std::move(config)), announcedLife_(config_.life) {}

AdmissionActions Admission::heartbeat(Span now, const ServerHeartbeat& heartbeat) {
  AdmissionActions actions;
  heartbeatSeen_ = true;
  Server& server = findOrAddServer(now, heartbeat);
  const ServerRecord before = server.announced;
  server.lastHeartbeat = now;
  const bool late = !heartbeat.gone && before.seq > 0 && heartbeat.seq <= server.seq;
  // If a call is missing, an earlier run of this process may have received it, and acknowledged the
  // departure.
  const bool callMissing = server.seq == 0 || heartbeat.seq != server.seq + 1;
  if (!heartbeat.gone && !late && !server.announced.gone) {
    // Another server at the same address has ended: it crashed, or was adopted after it had stopped.
    for (auto& [id, other] : servers_) {
      if (id != heartbeat.id && other.address == heartbeat.address) markReplaced(now, other, actions);
    }
    server.seq = heartbeat.seq;
    server.address = heartbeat.address;
    server.announced.capacity = std::max<std::uint32_t>(heartbeat.capacity, 1);
    server.announced.coldLeft = heartbeat.coldLeft;
    server.announced.replaced = false;
    server.coldUntil = now + heartbeat.coldLeft;
  }
  markDeparture(callMissing ? now - config_.drain : now, server, heartbeat.draining, heartbeat.gone);
  ServerRecord plain = server.announced;
  plain.coldLeft = before.coldLeft;
  // Other processes count the warm-up time down themselves, so a change of it alone is not announced.
  if (!(plain == before) || before.seq == 0) announce(server, actions);
  if (server.announced.gone) refuseWaiting(now, server, actions);
  return actions;
}

Admission::Server& Admission::findOrAddServer(Span now, const ServerHeartbeat& heartbeat) {
  if (const auto found = servers_.find(heartbeat.id); found != servers_.end()) return found->second;
  evictIdleServer();
  Server& added = servers_[heartbeat.id];
  added.announced.id = heartbeat.id;
  added.announced.service = heartbeat.service.value.empty() ? config_.service : heartbeat.service;
  added.announced.at = config_.at;
  added.announced.node = config_.node;
  added.announced.zone = heartbeat.zone.empty() ? config_.zone : heartbeat.zone;
  added.announced.life = announcedLife_;
  const auto departure = departed_.find(heartbeat.id);
  const bool drained = departure != departed_.end() && departure->second.draining;
  const bool gone = departure != departed_.end() && departure->second.gone;
  markDeparture(now - config_.drain, added, drained, gone);
  return added;
}

// Bounds the number of servers: evicts the idle one with the oldest heartbeat, if there is one.
void Admission::evictIdleServer() {
  if (servers_.size() < kMaxServers) return;
  auto oldest = servers_.end();
  for (auto at = servers_.begin(); at != servers_.end(); ++at) {
    const bool idle = at->second.busy == 0 && at->second.waiting.empty();
    if (idle && (oldest == servers_.end() || at->second.lastHeartbeat < oldest->second.lastHeartbeat))
      oldest = at;
  }
  if (oldest != servers_.end()) servers_.erase(oldest);
}

// Draining and sign-off are never undone.
void Admission::markDeparture(Span since, Server& server, bool draining, bool gone) {
  if ((draining || gone) && server.drainingSince == Span::max()) server.drainingSince = since;
  server.announced.draining = server.announced.draining || draining;
  server.announced.gone = server.announced.gone || gone;
}

// Applies a drain or sign-off that an earlier run of this process acknowledged. Late heartbeats and old
// announcements may still describe the server as ready.
void Admission::applyKnownDeparture(Span now, const ServerRecord& served, AdmissionActions& actions) {
  if (served.node != config_.node || (!served.draining && !served.gone)) return;
  const auto found = servers_.find(served.id);
  if (found == servers_.end()) {
    if (departed_.insert_or_assign(served.id, served).second) departedOrder_.push_back(served.id);
    if (departed_.size() <= kMaxServers) return;
    departed_.erase(departedOrder_.front());
    departedOrder_.pop_front();
    return;
  }
  Server& server = found->second;
  const bool isNew =
      (served.draining && !server.announced.draining) || (served.gone && !server.announced.gone);
  if (!isNew) return;
  markDeparture(now - config_.drain, server, served.draining, served.gone);
  announce(server, actions);
  refuseWaiting(now, server, actions);
}

void Admission::refuseWaiting(Span now, Server& server, AdmissionActions& actions) {
  while (!server.waiting.empty()) {
    const InboundRequestId no = server.waiting.front();
    refuse(now, no, Verdict::draining, &server, actions);
  }
}

// The server has ended without signing off.
void Admission::markReplaced(Span now, Server& server, AdmissionActions& actions) {
  if (server.announced.gone || server.announced.replaced) return;
  server.announced.replaced = true;
  announce(server, actions);
  refuseWaiting(now, server, actions);
}

void Admission::announce(Server& server, AdmissionActions& actions) {
  server.announced.seq = ++lastSeq_;
  AdmissionAction action{AdmissionAction::Kind::announce, {}};
  action.served = server.announced;
  actions.push_back(std::move(action));
}

// Lets a server receive work between a restart of this process and the server's next heartbeat. This is safe
// because a server refuses requests that are meant for another instance.
AdmissionActions Admission::adopt(Span now, const ServerRecord& served) {
  AdmissionActions actions;
  applyKnownDeparture(now, served, actions);
  const bool same = served.node == config_.node && served.service == config_.service;
  // Announced in this run, before or after continueAfterLife(), or in a run before the superseded one.
  const bool own =
      served.life == config_.life || served.life == announcedLife_ || served.life < supersededLife_;
  if (heartbeatSeen_ || leaving_ || config_.server.value.empty() || !same || own) return actions;
  const bool left = served.gone || served.draining || served.replaced || departed_.count(served.id) > 0;
  if (left || servers_.count(served.id) > 0) return actions;
  // Among adopted servers the latest announcement wins.
  const std::pair version{served.life, served.seq};
  if (!servers_.empty() && version <= adoptedVersion_) return actions;
  for (auto& [id, other] : servers_) markReplaced(now, other, actions);
  adoptedVersion_ = version;
  Server& server = servers_[served.id];
  server.announced = served;
  server.announced.at = config_.at;
  server.announced.life = announcedLife_;
  server.announced.leaving = false;
  server.address = config_.server;
  server.coldUntil = now + served.coldLeft;
  server.lastHeartbeat = now;
  announce(server, actions);
  return actions;
}

AdmissionActions Admission::continueAfterLife(LifeNo highest) {
  AdmissionActions actions;
  // An equal number belongs to another run only if this one has announced nothing yet.
  const bool higher = highest > announcedLife_ || (highest == announcedLife_ && lastSeq_ == 0);
  if (!higher || highest.value == std::numeric_limits<std::uint64_t>::max()) return actions;
  supersededLife_ = highest;
  announcedLife_ = {highest.value + 1};
  for (auto& [id, server] : servers_) {
    server.announced.life = announcedLife_;
    announce(server, actions);
  }
  return actions;
}

bool Admission::isOpen(Span now, const Server& server) const {
  if (leaving_ || server.announced.gone || server.announced.replaced) return false;
  return server.drainingSince == Span::max() || now < server.drainingSince + config_.drain - kDrainMargin;
}

bool Admission::admits(Span now, const InstanceId& id) const {
  const auto found = servers_.find(id);
  return found != servers_.end() && isOpen(now, found->second);
}

std::uint32_t Admission::capacityOf(const Server& server) const { return server.announced.capacity; }

Span Admission::estimatedWait(const Server& server) const {
  double ahead = server.meanRunSeconds;
  for (const InboundRequestId no : server.waiting) ahead += jobs_.at(no).expectedSeconds;
  return toSpan(ahead / capacityOf(server));
}

double Admission::expectedSeconds(const ForwardRequest& request) const {
  const auto known = meanSecondsByRoute_.find(request.route);
  if (known != meanSecondsByRoute_.end()) return known->second;
  return std::max(0.01, std::chrono::duration<double>(request.targetLeft).count() * kUnknownRouteShare);
}

ForwardReply Admission::replyFor(Span now, Verdict verdict, const Server* server) const {
  ForwardReply reply;
  reply.verdict = verdict;
  if (server != nullptr) {
    reply.load = Load{server->busy, static_cast<std::uint32_t>(server->waiting.size())};
    reply.wait = estimatedWait(*server);
  }
  if (verdict == Verdict::noQuorum) reply.wait = claims_.retryAfter(now);
  return reply;
}

AdmissionActions Admission::handleRequest(Span now, InboundRequestId no, const ForwardRequest& request,
                                          const std::optional<std::string>& key) {
  AdmissionActions actions;
  const auto answer = [&](ForwardReply reply, std::shared_ptr<const void> bytes = nullptr) {
    AdmissionAction action{AdmissionAction::Kind::answer, no};
    action.reply = std::move(reply);
    action.bytes = std::move(bytes);
    actions.push_back(std::move(action));
  };
  const auto found = servers_.find(request.instance);
  const Server* known = found == servers_.end() ? nullptr : &found->second;
  std::optional<KeyHash> keyHash;
  if (key) {
    keyHash = hashOfKey(*key);
    const auto operation = operations_.find(*keyHash);
    if (operation != operations_.end()) {
      ForwardReply reply = replyFor(now, Verdict::executed, known);
      reply.replayed = true;
      switch (operation->second.state) {
        case OperationState::answered:
          answer(reply, operation->second.bytes);
          return actions;
        case OperationState::unknown:
          reply.verdict = Verdict::unknown;
          answer(reply);
          return actions;
        case OperationState::running:
          operation->second.waiters.emplace_back(no, now + request.left - replyMargin(request.left));
          awaitedOperations_.insert(*keyHash);
          return actions;
      }
    }
    if (request.holder) {
      // A claim of this run was released; the outcome of one of an earlier run is unknown.
      ForwardReply reply =
          replyFor(now, *request.holder == config_.life ? Verdict::noQuorum : Verdict::unknown, known);
      answer(reply);
      return actions;
    }
  }
  if (known == nullptr || known->announced.service != request.service) {
    answer(replyFor(now, Verdict::unknownServer, nullptr));
    return actions;
  }
  Server& server = found->second;
  if (!isOpen(now, server)) {
    answer(replyFor(now, Verdict::draining, &server));
    return actions;
  }
  if (keyHash && !claims_.canWin(now)) {
    answer(replyFor(now, Verdict::noQuorum, &server));
    return actions;
  }
  if (request.left < kMinTimeLeft || !endsBeforeExit(now + request.left)) {
    answer(replyFor(now, Verdict::overloaded, &server));
    return actions;
  }
  Job job;
  job.no = no;
  job.request = request;
  job.deadline = now + request.left;
  job.key = keyHash;
  const Span maxWait = std::min(
      request.left - replyMargin(request.left),
      std::max<Span>(kMinWait, std::chrono::duration_cast<Span>(request.targetLeft * kMaxWaitShare)));
  job.startBy = now + maxWait;
  job.expectedSeconds = expectedSeconds(request);
  // Smith's rule: the highest value per second of slot time goes first, so long requests don't starve short
  // ones of the same priority. A request's value falls as the inverse of its priority number.
  const bool late = std::chrono::duration<double>(request.targetLeft).count() < job.expectedSeconds;
  job.valuePerSecond =
      (late ? kLateValueFactor : 1) / (1.0 + request.priority) / std::max(job.expectedSeconds, 0.001);
  if (keyHash) {
    Operation operation;
    operation.by = no;
    operation.at = now;
    operations_.emplace(*keyHash, std::move(operation));
  }
  Job& added = jobs_.emplace(no, std::move(job)).first->second;
  if (!canStartInTime(now, added, server)) {
    refuse(now, no, Verdict::overloaded, &server, actions);
  } else if (keyHash) {
    openClaim(now, added, actions);
  } else {
    startOrEnqueue(now, added, server, actions);
  }
  checkInvariants();
  return actions;
}

// Whether the request would start before its limit, given the current queue.
bool Admission::canStartInTime(Span now, const Job& job, const Server& server) const {
  if (server.busy < capacityOf(server) && server.waiting.empty()) return true;
  double ahead = server.meanRunSeconds;
  for (const InboundRequestId other : server.waiting) {
    if (jobs_.at(other).valuePerSecond < job.valuePerSecond) break;
    ahead += jobs_.at(other).expectedSeconds;
  }
  return now + toSpan(ahead / capacityOf(server)) <= job.startBy;
}

// Starts the request if a slot is free; otherwise queues it by value per second.
void Admission::startOrEnqueue(Span now, Job& job, Server& server, AdmissionActions& actions) {
  if (server.busy < capacityOf(server) && server.waiting.empty()) {
    ++server.busy;
    return start(now, job, server, actions);
  }
  job.stage = Stage::waiting;
  const auto place = std::find_if(server.waiting.begin(), server.waiting.end(), [&](InboundRequestId other) {
    return jobs_.at(other).valuePerSecond < job.valuePerSecond;
  });
  server.waiting.insert(place, job.no);
  // Refuses queued requests that can't start in time any more right away, rather than at their limit.
  double ahead = server.meanRunSeconds;
  std::vector<InboundRequestId> expired;
  for (const InboundRequestId waiting : server.waiting) {
    const Job& other = jobs_.at(waiting);
    if (now + toSpan(ahead / capacityOf(server)) > other.startBy) {
      expired.push_back(waiting);
    } else {
      ahead += other.expectedSeconds;
    }
  }
  for (const InboundRequestId waiting : expired) refuse(now, waiting, Verdict::overloaded, &server, actions);
}

// Ends a job that certainly did not run, with a verdict that reports this.
void Admission::refuse(Span now, InboundRequestId no, Verdict verdict, const Server* server,
                       AdmissionActions& actions, std::optional<Holder> holder) {
  const auto found = jobs_.find(no);
  if (found == jobs_.end()) return;
  const Job job = found->second;
  const auto at = servers_.find(job.request.instance);
  if (at != servers_.end()) {
    if (job.stage == Stage::waiting) {
      auto& waiting = at->second.waiting;
      waiting.erase(std::remove(waiting.begin(), waiting.end(), no), waiting.end());
    } else if (job.stage == Stage::running) {
      --at->second.busy;
    }
  }
  if (job.key && job.claim.value > 0) {
    AdmissionAction action{AdmissionAction::Kind::releaseClaim, no};
    action.key = *job.key;
    action.claim = job.claim;
    actions.push_back(std::move(action));
  }
  AdmissionAction action{AdmissionAction::Kind::answer, no};
  action.reply = replyFor(now, verdict, server);
  action.reply.holder = std::move(holder);
  actions.push_back(std::move(action));
  jobs_.erase(found);
  if (job.key) forgetOperation(now, *job.key, actions);
}

// Holds no slot while it waits for votes: these may be delayed by a slow disk.
void Admission::openClaim(Span now, Job& job, AdmissionActions& actions) {
  job.stage = Stage::claiming;
  job.claim = claims_.open(now, *job.key, std::min(now + kClaimTimeout, job.deadline - kMinTimeLeft));
  operations_.at(*job.key).claim = job.claim;
  jobsByClaim_[job.claim] = job.no;
  AdmissionAction action{AdmissionAction::Kind::claim, job.no};
  action.key = *job.key;
  action.claim = job.claim;
  actions.push_back(std::move(action));
}

void Admission::start(Span now, Job& job, Server& server, AdmissionActions& actions) {
  job.stage = Stage::running;
  job.startedAt = now;
  AdmissionAction action{AdmissionAction::Kind::run, job.no};
  action.server = server.address;
  action.instance = job.request.instance;
  action.caller = job.request.caller;
  action.left = job.deadline - now;
  actions.push_back(std::move(action));
}

AdmissionActions Admission::claimEnded(Span now, const Claims::Outcome& ended) {
  AdmissionActions actions;
  const auto found = jobsByClaim_.find(ended.no);
  if (found == jobsByClaim_.end()) return actions;
  const InboundRequestId no = found->second;
  jobsByClaim_.erase(found);
  Job& job = jobs_.at(no);
  const auto at = servers_.find(job.request.instance);
  Server* server = at == servers_.end() ? nullptr : &at->second;
  const bool stillOpen = server != nullptr && isOpen(now, *server) && job.deadline - now >= kMinTimeLeft;
  const bool inTime = endsBeforeExit(job.deadline);
  if (ended.won && stillOpen && inTime) {
    startOrEnqueue(now, job, *server, actions);
  } else {
    // The request did not run here and never will, so its claim is released.
    const Verdict verdict = ended.won      ? (inTime ? Verdict::draining : Verdict::overloaded)
                            : ended.holder ? Verdict::keyClaimed
                                           : Verdict::noQuorum;
    refuse(now, no, verdict, server, actions, ended.won ? std::nullopt : ended.holder);
  }
  checkInvariants();
  return actions;
}

AdmissionActions Admission::executionEnded(Span now, InboundRequestId no, ExecutionResult how,
                                           const ServerAnswer& answer) {
  AdmissionActions actions;
  const auto found = jobs_.find(no);
  if (found == jobs_.end()) return actions;
  const Job job = found->second;
  const auto at = servers_.find(job.request.instance);
  Server* server = at == servers_.end() ? nullptr : &at->second;
  const bool surelyNotRun =
      how == ExecutionResult::notSent || (how == ExecutionResult::answered && answer.notRun);
  if (surelyNotRun) {
    refuse(now, no, how == ExecutionResult::notSent ? Verdict::unreachable : Verdict::rejectedByServer,
           server, actions);
    // 421: another server listens at the address, so the intended one has ended.
    if (server != nullptr && how == ExecutionResult::answered && answer.status == kMisdirectedRequest)
      markReplaced(now, *server, actions);
  } else {
    jobs_.erase(found);
    if (server != nullptr) {
      --server->busy;
      const double seconds = std::chrono::duration<double>(now - job.startedAt).count();
      server->meanRunSeconds += kMeanWeight * (seconds - server->meanRunSeconds);
      double& mean = meanSecondsByRoute_.try_emplace(job.request.route, seconds).first->second;
      mean += kMeanWeight * (seconds - mean);
    }
    AdmissionAction action{AdmissionAction::Kind::answer, no};
    action.reply =
        replyFor(now, how == ExecutionResult::answered ? Verdict::executed : Verdict::unknown, server);
    action.bytes = how == ExecutionResult::answered ? answer.bytes : nullptr;
    action.size = how == ExecutionResult::answered ? answer.size : 0;
    actions.push_back(std::move(action));
    if (job.key)
      endOperation(now, *job.key,
                   how == ExecutionResult::answered ? OperationState::answered : OperationState::unknown,
                   answer, actions);
  }
  if (server != nullptr) startWaiting(now, *server, actions);
  checkInvariants();
  return actions;
}

// Frees slots and cancels work for callers that have disconnected.
AdmissionActions Admission::abandoned(Span now, InboundRequestId no) {
  AdmissionActions actions;
  const auto found = jobs_.find(no);
  if (found == jobs_.end() || found->second.key) return actions;
  const Job& job = found->second;
  const auto at = servers_.find(job.request.instance);
  Server* server = at == servers_.end() ? nullptr : &at->second;
  if (job.stage == Stage::waiting) {
    refuse(now, no, Verdict::overloaded, server, actions);
  } else if (job.request.kind == RouteKind::pure) {
    actions.push_back({AdmissionAction::Kind::cancel, no});
    AdmissionAction action{AdmissionAction::Kind::answer, no};
    action.reply = replyFor(now, Verdict::unknown, server);
    actions.push_back(std::move(action));
    jobs_.erase(found);
    if (server != nullptr) {
      --server->busy;
      startWaiting(now, *server, actions);
    }
  }
  checkInvariants();
  return actions;
}

void Admission::endOperation(Span now, const KeyHash& key, OperationState state, const ServerAnswer& answer,
                             AdmissionActions& actions) {
  Operation& operation = operations_.at(key);
  operation.state = state;
  operation.at = now;
  if (state == OperationState::answered) {
    operation.bytes = answer.bytes;
    operation.size = answer.size;
    cachedBytes_ += answer.size;
  }
  for (const auto& [no, until] : std::exchange(operation.waiters, {})) {
    AdmissionAction action{AdmissionAction::Kind::answer, no};
    action.reply =
        replyFor(now, state == OperationState::answered ? Verdict::executed : Verdict::unknown, nullptr);
    action.reply.replayed = true;
    action.bytes = operation.bytes;
    actions.push_back(std::move(action));
  }
  endedOperations_.emplace_back(now, key);
  // Bounds the memory of cached answers: drops the oldest ones, whose repeats get the outcome `unknown`.
  for (auto old = endedOperations_.begin();
       cachedBytes_ > config_.maxCachedBytes && old != endedOperations_.end(); ++old) {
    const auto found = operations_.find(old->second);
    if (found == operations_.end() || found->second.state != OperationState::answered) continue;
    cachedBytes_ -= found->second.size;
    found->second.state = OperationState::unknown;
    found->second.bytes.reset();
    found->second.size = 0;
  }
}

void Admission::forgetOperation(Span now, const KeyHash& key, AdmissionActions& actions) {
  const auto found = operations_.find(key);
  if (found == operations_.end()) return;
  for (const auto& [no, until] : found->second.waiters) {
    AdmissionAction action{AdmissionAction::Kind::answer, no};
    action.reply = replyFor(now, Verdict::noQuorum, nullptr);
    actions.push_back(std::move(action));
  }
  operations_.erase(found);
}

void Admission::startWaiting(Span now, Server& server, AdmissionActions& actions) {
  while (server.busy < capacityOf(server) && !server.waiting.empty()) {
    const InboundRequestId no = server.waiting.front();
    Job& job = jobs_.at(no);
    if (!isOpen(now, server) || job.deadline - now < kMinTimeLeft) {
      refuse(now, no, Verdict::draining, &server, actions);
      continue;
    }
    server.waiting.pop_front();
    ++server.busy;
    start(now, job, server, actions);
  }
}

AdmissionActions Admission::tick(Span now) {
  AdmissionActions actions;
  for (const Claims::Outcome& ended : claims_.expire(now)) {
    const AdmissionActions more = claimEnded(now, ended);
    actions.insert(actions.end(), more.begin(), more.end());
  }
  for (auto& [id, server] : servers_) {
    const std::deque<InboundRequestId> waiting = server.waiting;
    for (const InboundRequestId no : waiting) {
      const Verdict verdict = isOpen(now, server) ? Verdict::overloaded : Verdict::draining;
      if (verdict == Verdict::draining || jobs_.at(no).startBy <= now)
        refuse(now, no, verdict, &server, actions);
    }
  }
  for (auto at = awaitedOperations_.begin(); at != awaitedOperations_.end();) {
    const auto found = operations_.find(*at);
    if (found == operations_.end() || found->second.waiters.empty()) {
      at = awaitedOperations_.erase(at);
      continue;
    }
    ++at;
    auto& waiters = found->second.waiters;
    for (const auto& [no, until] : waiters) {
      if (until > now) continue;
      AdmissionAction action{AdmissionAction::Kind::answer, no};
      action.reply = replyFor(now, Verdict::inProgress, nullptr);
      actions.push_back(std::move(action));
    }
    waiters.erase(
        std::remove_if(waiters.begin(), waiters.end(), [&](const auto& w) { return w.second <= now; }),
        waiters.end());
  }
  while (!endedOperations_.empty() &&
         endedOperations_.front().first + config_.keyWindow + kOperationRetentionMargin <= now) {
    const auto found = operations_.find(endedOperations_.front().second);
    if (found != operations_.end() && found->second.state != OperationState::running &&
        found->second.at <= endedOperations_.front().first) {
      cachedBytes_ -= found->second.size;
      operations_.erase(found);
    }
    endedOperations_.pop_front();
  }
  for (auto at = servers_.begin(); at != servers_.end();) {
    const Server& server = at->second;
    const bool over =
        server.lastHeartbeat + kServerExpiry < now && server.busy == 0 && server.waiting.empty();
    at = over ? servers_.erase(at) : std::next(at);
  }
  // Bounds the table as routes come and go; the means are soon learned again.
  if (meanSecondsByRoute_.size() > kMaxRouteMeans) meanSecondsByRoute_.clear();
  return actions;
}

std::optional<Span> Admission::nextTick() const {
  std::optional<Span> next = claims_.nextDeadline();
  const auto earlier = [&](Span at) { next = std::min(next.value_or(at), at); };
  for (const auto& [id, server] : servers_) {
    for (const InboundRequestId no : server.waiting) earlier(jobs_.at(no).startBy);
  }
  for (const KeyHash& key : awaitedOperations_) {
    const auto found = operations_.find(key);
    if (found == operations_.end()) continue;
    for (const auto& waiter : found->second.waiters) earlier(waiter.second);
  }
  return next;
}

AdmissionActions Admission::completeBy(Span now, Span latest) {
  AdmissionActions actions;
  latestEnd_ = latest;
  for (auto& [id, server] : servers_) {
    const std::deque<InboundRequestId> waiting = server.waiting;
    for (const InboundRequestId no : waiting) {
      if (!endsBeforeExit(jobs_.at(no).deadline)) refuse(now, no, Verdict::overloaded, &server, actions);
    }
  }
  return actions;
}

AdmissionActions Admission::leave(Span now) {
  leaving_ = true;
  AdmissionActions actions = tick(now);
  for (auto& [id, server] : servers_) {
    server.announced.leaving = true;
    announce(server, actions);
  }
  return actions;
}

std::vector<OpenWork> Admission::openWork(Span now) const {
  std::vector<OpenWork> open;
  for (const auto& [no, job] : jobs_) {
    if (job.stage != Stage::running) continue;
    open.push_back({job.request.route, job.request.instance.value, now - job.startedAt, job.deadline - now});
  }
  return open;
}

std::vector<ServerRecord> Admission::servers() const {
  std::vector<ServerRecord> all;
  for (const auto& [id, server] : servers_) all.push_back(server.announced);
  return all;
}

void Admission::checkInvariants() const {
#ifndef NDEBUG
  for (const auto& [id, server] : servers_) {
    assert(server.busy <= capacityOf(server));
    std::size_t busy = 0;
    for (const auto& [no, job] : jobs_) {
      if (job.request.instance == id && job.stage == Stage::running) ++busy;
    }
    assert(busy == server.busy);
  }
  for (const auto& [no, job] : jobs_) assert(!job.key || operations_.count(*job.key) > 0);
#endif
}

}  // namespace rackroute::mesh
