// Client requests of the emulated mesh: arrival, retries, forwarding between sidecars, and execution by
// servers.

#include "lab/mesh/emulated_world.hpp"

namespace rackroute::lab::mesh::emulated {

void World::generateRequests() {
  if (now_ >= end_) return;
  runAfter(span(-std::log(1 - uniform01(arrivals_)) / std::max(day_.requestRate, 0.001)),
           [this] { generateRequests(); });
  LoadRequest request;
  const double kind = uniform01(arrivals_);
  const bool otherService = uniform01(arrivals_) < 0.4;
  if (kind < day_.keyedShare) {
    request.route = otherService ? 2 : 1;
    request.key = "k" + std::to_string(++keyNo_);
  } else if (kind < day_.keyedShare + day_.effectfulShare) {
    request.route = 4;
  } else {
    request.route = otherService ? 3 : 0;
  }
  request.deadline = now_ + span(kRoutes[request.route].deadline);
  const auto machine = sidecarMachine(static_cast<std::uint32_t>(uniform01(arrivals_) * day_.sidecars));
  sendRequest(machine, request);
}

void World::sendRequest(std::size_t machine, const LoadRequest& request) {
  Machine& m = machines_[machine];
  if (m.incarnation == 0 || m.stopping) {
    // The platform routes clients only to machines with a ready process.
    for (std::uint32_t i = 0; i < day_.sidecars; ++i) {
      const std::size_t next = sidecarMachine((static_cast<std::uint32_t>(machine) + i) % day_.sidecars);
      if (machines_[next].incarnation != 0 && !machines_[next].stopping) {
        machine = next;
        break;
      }
    }
    if (machines_[machine].incarnation == 0) return;
  }
  machines_[machine].lastRequestAt = now_;
  const RouteSpec& route = kRoutes[request.route];
  const std::uint64_t attempt = ++attemptNo_;
  judge_.requestSent(now_, attempt, route.kind, request.key, route.service);
  openAttempts_[attempt] = {machine, request};
  if (!request.key.empty()) attemptKeys_[attempt] = request.key;
  const Span deadline = request.deadline;
  // A client stops waiting at its deadline.
  runAt(deadline + 50ms, [this, attempt] { openAttempts_.erase(attempt); });
  runOnProcess(now_ + 1ms, machine, machines_[machine].incarnation,
               [this, machine, request, attempt, deadline] {
                 SidecarHost& host = sidecarOn(machine);
                 const RouteSpec& requestRoute = kRoutes[request.route];
                 if (!host.sidecar->serving(now_))
                   return responseReceived(machine, request, attempt, 503, 0, 300ms);
                 const auto knownRoute = host.sidecar->router().routes().find(kHost, requestRoute.prefix);
                 const std::uint64_t minimum =
                     controlsStable() && sidecarStable(machine)
                         ? ledger_.newestAt(std::string("route/") + requestRoute.name, now_ - kApplyTime)
                         : 0;
                 judge_.routeVersionUsed(now_, static_cast<std::uint32_t>(machine * 100 + request.route),
                                         machines_[machine].incarnation,
                                         knownRoute ? knownRoute->generation.value : 0, minimum);
                 const std::uint64_t call = ++host.lastCallId;
                 host.attemptOf[call] = attempt;
                 ClientRequest received;
                 received.host = kHost;
                 received.path = requestRoute.prefix;
                 received.timeout = deadline - now_;
                 execute(machine, host.sidecar->requestReceived(now_, {call}, received));
                 maybeDisconnect(machine, call, deadline);
               });
}

void World::responseReceived(std::size_t machine, const LoadRequest& request, std::uint64_t attempt,
                             std::uint32_t status, std::uint64_t seal, Span retryAfter) {
  if (openAttempts_.erase(attempt) == 0) return;
  if (status > 0) judge_.responseReceived(now_, attempt, status, seal);
  const RouteSpec& route = kRoutes[request.route];
  LoadRequest next = request;
  if (status == 200) {
    if (route.kind == RequestKind::keyed && !request.isRepeat && uniform01(clients_) < day_.repeatShare) {
      next.isRepeat = true;
      next.deadline = now_ + span(route.deadline) + 1s;
      const auto otherMachine =
          sidecarMachine(static_cast<std::uint32_t>(uniform01(clients_) * day_.sidecars));
      runAfter(span(uniform01(clients_)), [this, otherMachine, next] { sendRequest(otherMachine, next); });
    }
    return;
  }
  const bool guaranteesNotExecuted = status == 503;
  if (status >= 400 && status < 500 && status != 409) return;
  if (route.kind == RequestKind::effectful && !guaranteesNotExecuted) return;
  if (++next.tries > 2 || next.deadline - now_ < 100ms) return;
  const Span wait = std::min<Span>(retryAfter, (next.deadline - now_) / 3) + 5ms;
  const std::size_t target =
      status == 0 ? sidecarMachine(static_cast<std::uint32_t>(uniform01(clients_) * day_.sidecars)) : machine;
  runAfter(wait, [this, target, next] { sendRequest(target, next); });
}

// Forwards a request from one sidecar to another and returns the reply.
void World::forward(std::size_t machine, const RoutingAction& act) {
  const std::uint64_t incarnationA = machines_[machine].incarnation;
  const std::uint64_t attempt = sidecarOn(machine).attemptOf.at(act.call.value);
  const auto complete = [this, machine, call = act.call, sent = act.attempt](
                            ForwardResult result, const ForwardReply& reply, std::uint32_t status,
                            std::shared_ptr<const void> bytes) {
    this->execute(machine, sidecarOn(machine).sidecar->forwardCompleted(now_, call, sent, result, reply,
                                                                        status, std::move(bytes)));
  };
  const auto target = findMachine(act.at.value);
  const Span until = now_ + act.forward.left + 2 * kTimeoutMargin;
  const auto fail = [=, this](Span when, ForwardResult result) {
    runOnProcess(when, machine, incarnationA, [=] { complete(result, {}, 0, nullptr); });
  };
  if (!target || machines_[*target].poweredOff || isCut(machine, *target))
    return fail(now_ + 300ms, ForwardResult::notSent);
  if (machines_[*target].incarnation == 0)
    return fail(now_ + delay(machine, *target), ForwardResult::notSent);
  const std::size_t to = *target;
  const std::uint64_t incarnationB = machines_[to].incarnation;
  const auto done = std::make_shared<bool>(false);
  const auto finish = [=, this](Span when, ForwardResult result, const ForwardReply& reply,
                                std::uint32_t status, const std::shared_ptr<const void>& bytes) {
    runOnProcess(when, machine, incarnationA, [=] {
      if (std::exchange(*done, true)) return;
      complete(result, reply, status, bytes);
    });
  };
  // Detects the end of the other process, an unreachable machine, and the timeout.
  const auto watch = std::make_shared<std::function<void()>>();
  *watch = [=, this, weak = std::weak_ptr(watch)] {
    if (*done) return;
    if (machines_[to].incarnation != incarnationB)
      return finish(now_ + (machines_[to].poweredOff ? kBreakDetectionTime : delay(machine, to)),
                    ForwardResult::connectionLost, {}, 0, nullptr);
    if (now_ >= until) return finish(now_, ForwardResult::timedOut, {}, 0, nullptr);
    if (const auto self = weak.lock()) runAfter(20ms, [self] { (*self)(); });
  };
  runAfter(20ms, [watch] { (*watch)(); });
  const auto received = std::make_shared<std::uint64_t>(0);  // the inbound number at the other process
  sidecarOn(machine).forwards[act.attempt.value] = [=, this] {
    *done = true;
    runOnProcess(now_ + delay(machine, to), to, incarnationB, [=, this] {
      if (*received > 0) this->execute(to, sidecarOn(to).sidecar->forwardAbandoned(now_, {*received}));
    });
  };
  runOnProcess(now_ + delay(machine, to), to, incarnationB, [=, this, act = act] {
    SidecarHost& peer = sidecarOn(to);
    const std::uint64_t inboundId = ++peer.lastInboundId;
    *received = inboundId;
    peer.inbound[inboundId] = {
        attempt, [=, this](const ForwardReply& reply, std::uint32_t status, std::uint64_t,
                           const std::shared_ptr<const void>& bytes) {
          if (isCut(to, machine))
            return finish(now_ + kBreakDetectionTime, ForwardResult::connectionLost, {}, 0, nullptr);
          // Encode and decode, so that only what the header carries reaches the caller.
          const auto read = parseForwardReply(rackroute::mesh::textOf(reply));
          finish(now_ + delay(to, machine), read ? ForwardResult::replied : ForwardResult::connectionLost,
                 read.value_or(ForwardReply{}), status, bytes);
        }};
    const auto request = parseForwardRequest(rackroute::mesh::textOf(act.forward));
    std::optional<std::string> key;
    if (act.forward.kind == RouteKind::keyed) {
      const auto open = attemptKeys_.find(attempt);
      if (open != attemptKeys_.end()) key = open->second;
    }
    this->execute(to, peer.sidecar->forwardReceived(now_, {inboundId}, *request, key));
  });
}

void World::serve(std::size_t machine, const AdmissionAction& act) {
  SidecarHost& host = sidecarOn(machine);
  Server& server = host.server;
  const std::uint64_t incarnation = machines_[machine].incarnation;
  const std::uint64_t attempt = host.inbound.at(act.request.value).attempt;
  const auto end = [this, machine, incarnation, ask = act.request](Span when, ExecutionResult result,
                                                                   ServerAnswer answer) {
    runOnProcess(when, machine, incarnation, [=, this] {
      this->execute(machine, sidecarOn(machine).sidecar->executionEnded(now_, ask, result, answer));
    });
  };
  if (!server.up) return end(now_ + 100us, ExecutionResult::notSent, {});
  const Span until = now_ + act.left + kTimeoutMargin;
  const auto bytesOf = [](std::uint32_t status, std::uint64_t seal) {
    return std::make_shared<const std::pair<std::uint32_t, std::uint64_t>>(status, seal);
  };
  judge_.requestArrived(now_, attempt, server.service);
  if (server.id != act.instance.value)
    return end(now_ + 200us, ExecutionResult::answered, {421, true, bytesOf(421, 0), 0});
  const std::uint64_t serverIncarnation = server.incarnation;
  const Span startDeadline = now_ + act.left;
  const auto stopped = std::make_shared<bool>(false);  // the connection was closed
  sidecarOn(machine).executions[act.request.value] = [stopped] { *stopped = true; };
  auto run = [=, this, left = act.left, ask = act.request] {
    Server& current = sidecarOn(machine).server;
    if (current.incarnation != serverIncarnation) return;
    if (*stopped) return freeSlot(machine, serverIncarnation);
    if (now_ >= startDeadline) {
      --current.busy;
      return end(now_, ExecutionResult::answered, {503, true, bytesOf(503, 0), 0});
    }
    const std::uint64_t seal = ++sealNo_;
    sidecarOn(machine).lastExecutionAt = now_;
    judge_.executionStarted(now_, attempt, current.service, seal, current.drainAckedAt);
    Distribution work{Shape::lognormal, day_.meanServiceTime, 0.6};
    double serviceTime = work.draw(clients_) * current.slowdown;
    if (current.coldUntil > now_) serviceTime *= 2;
    const double outcome = uniform01(clients_);
    const double lossShare = current.lossShare;
    const double malformedShare = current.malformedShare;
    const Span done = now_ + span(serviceTime);
    const auto stop = [=, this] {
      if (std::exchange(*stopped, true)) return;
      judge_.executionFinished(now_, attempt, done - now_);
      freeSlot(machine, serverIncarnation);
    };
    sidecarOn(machine).executions[ask.value] = stop;
    runAt(done, [=, this] {
      sidecarOn(machine).executions.erase(ask.value);
      stop();
    });
    runAt(std::min(done, until), [=, this] {
      if (sidecarOn(machine).server.incarnation != serverIncarnation)
        return end(now_, ExecutionResult::connectionLost, {});
      if (done > until) return end(now_, ExecutionResult::timedOut, {});
      if (outcome < lossShare)
        return end(outcome < lossShare / 2 ? now_ : until,
                   outcome < lossShare / 2 ? ExecutionResult::connectionLost : ExecutionResult::timedOut, {});
      if (outcome < lossShare + malformedShare) return end(now_, ExecutionResult::malformed, {});
      end(now_, ExecutionResult::answered, {200, false, bytesOf(200, seal), 5000});
    });
  };
  if (server.busy < day_.slots) {
    ++server.busy;
    runAfter(100us, run);
  } else if (server.queue.size() < 4 * day_.slots) {
    server.queue.push_back(run);
  } else {
    end(now_ + 200us, ExecutionResult::answered, {503, true, bytesOf(503, 0), 0});
  }
}

}  // namespace rackroute::lab::mesh::emulated
