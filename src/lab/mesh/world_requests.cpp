#include "lab/mesh/emulated.hpp"

namespace rackroute::lab::mesh::emulated {

void World::arrive() {
  if (now_ >= end_) return;
  in(span(-std::log(1 - uniform01(arrivals_)) / std::max(day_.perSecond, 0.001)), [this] { arrive(); });
  Wanted wanted;
  const double kind = uniform01(arrivals_);
  const bool other = uniform01(arrivals_) < 0.4;
  if (kind < day_.keyed) {
    wanted.route = other ? 2 : 1;
    wanted.key = "k" + std::to_string(++keyNo_);
  } else if (kind < day_.keyed + day_.effectful) {
    wanted.route = 4;
  } else {
    wanted.route = other ? 3 : 0;
  }
  wanted.until = now_ + span(kRoutes[wanted.route].deadline);
  const auto machine = sideAt(static_cast<std::uint32_t>(uniform01(arrivals_) * day_.sidecars));
  ask(machine, wanted);
}

void World::ask(std::size_t machine, const Wanted& wanted) {
  Machine& m = machines_[machine];
  if (m.life == 0 || m.leaving) {
    // A client goes where its platform sends it: to a machine whose process is ready.
    for (std::uint32_t i = 0; i < day_.sidecars; ++i) {
      const std::size_t next = sideAt((static_cast<std::uint32_t>(machine) + i) % day_.sidecars);
      if (machines_[next].life != 0 && !machines_[next].leaving) {
        machine = next;
        break;
      }
    }
    if (machines_[machine].life == 0) return;
  }
  machines_[machine].lastAsked = now_;
  const RouteTold& route = kRoutes[wanted.route];
  const std::uint64_t attempt = ++attemptNo_;
  judge_.sent(now_, attempt, route.sort, wanted.key, route.service);
  open_[attempt] = {machine, wanted};
  if (!wanted.key.empty()) keyOf_[attempt] = wanted.key;
  const Span deadline = wanted.until;
  // A client that gets no answer until its deadline is gone.
  at(deadline + 50ms, [this, attempt] { open_.erase(attempt); });
  atProcess(now_ + 1ms, machine, machines_[machine].life, [this, machine, wanted, attempt, deadline] {
    Side& here = side(machine);
    const RouteTold& asked = kRoutes[wanted.route];
    if (!here.sidecar->serving(now_)) return answered(machine, wanted, attempt, 503, 0, 300ms);
    const auto known = here.sidecar->router().routes().find(kHost, asked.prefix);
    const std::uint64_t least =
        calm() && inTouch(machine) ? ledger_.newestAt(std::string("route/") + asked.name, now_ - kApply) : 0;
    judge_.used(now_, static_cast<std::uint32_t>(machine * 100 + wanted.route), machines_[machine].life,
                known ? known->generation.value : 0, least);
    const std::uint64_t call = ++here.nextCall;
    here.attemptOf[call] = attempt;
    ClientRequest told;
    told.host = kHost;
    told.path = asked.prefix;
    told.timeout = deadline - now_;
    act(machine, here.sidecar->requestReceived(now_, {call}, told));
    mayLeave(machine, call, deadline);
  });
}

void World::answered(std::size_t machine, const Wanted& wanted, std::uint64_t attempt, std::uint32_t status,
                     std::uint64_t seal, Span comeBack) {
  if (open_.erase(attempt) == 0) return;
  if (status > 0) judge_.answered(now_, attempt, status, seal);
  const RouteTold& route = kRoutes[wanted.route];
  Wanted next = wanted;
  if (status == 200) {
    if (route.sort == Sort::keyed && !wanted.again && uniform01(clients_) < day_.again) {
      next.again = true;
      next.until = now_ + span(route.deadline) + 1s;
      const auto elsewhere = sideAt(static_cast<std::uint32_t>(uniform01(clients_) * day_.sidecars));
      in(span(uniform01(clients_)), [this, elsewhere, next] { ask(elsewhere, next); });
    }
    return;
  }
  const bool promise = status == 503;
  if (status >= 400 && status < 500 && status != 409) return;
  if (route.sort == Sort::effectful && !promise) return;
  if (++next.tries > 2 || next.until - now_ < 100ms) return;
  const Span wait = std::min<Span>(comeBack, (next.until - now_) / 3) + 5ms;
  const std::size_t again =
      status == 0 ? sideAt(static_cast<std::uint32_t>(uniform01(clients_) * day_.sidecars)) : machine;
  in(wait, [this, again, next] { ask(again, next); });
}

// A request from one process to the one beside a server, and the answer back.
void World::forward(std::size_t machine, const RoutingAction& act) {
  const std::uint64_t lifeA = machines_[machine].life;
  const std::uint64_t attempt = side(machine).attemptOf.at(act.call.value);
  const auto ended = [this, machine, call = act.call, sent = act.attempt](
                         ForwardResult how, const ForwardReply& told, std::uint32_t status,
                         std::shared_ptr<const void> bytes) {
    this->act(machine,
              side(machine).sidecar->forwardCompleted(now_, call, sent, how, told, status, std::move(bytes)));
  };
  const auto target = machineAt(act.at.value);
  const Span until = now_ + act.forward.left + 2 * kSpare;
  const auto fails = [=, this](Span when, ForwardResult how) {
    atProcess(when, machine, lifeA, [=] { ended(how, {}, 0, nullptr); });
  };
  if (!target || machines_[*target].dark || isCut(machine, *target))
    return fails(now_ + 300ms, ForwardResult::notSent);
  if (machines_[*target].life == 0) return fails(now_ + delay(machine, *target), ForwardResult::notSent);
  const std::size_t to = *target;
  const std::uint64_t lifeB = machines_[to].life;
  const auto over = std::make_shared<bool>(false);
  const auto finish = [=, this](Span when, ForwardResult how, const ForwardReply& told, std::uint32_t status,
                                const std::shared_ptr<const void>& bytes) {
    atProcess(when, machine, lifeA, [=] {
      if (std::exchange(*over, true)) return;
      ended(how, told, status, bytes);
    });
  };
  // Word of the other's end, of silence in the dark, and of the time that is over.
  const auto watch = std::make_shared<std::function<void()>>();
  *watch = [=, this, weak = std::weak_ptr(watch)] {
    if (*over) return;
    if (machines_[to].life != lifeB)
      return finish(now_ + (machines_[to].dark ? kUnread : delay(machine, to)), ForwardResult::connectionLost,
                    {}, 0, nullptr);
    if (now_ >= until) return finish(now_, ForwardResult::timedOut, {}, 0, nullptr);
    if (const auto self = weak.lock()) in(20ms, [self] { (*self)(); });
  };
  in(20ms, [watch] { (*watch)(); });
  const auto received = std::make_shared<std::uint64_t>(0);  // as what the other process took it
  side(machine).forwards[act.attempt.value] = [=, this] {
    *over = true;
    atProcess(now_ + delay(machine, to), to, lifeB, [=, this] {
      if (*received > 0) this->act(to, side(to).sidecar->forwardAbandoned(now_, {*received}));
    });
  };
  atProcess(now_ + delay(machine, to), to, lifeB, [=, this, act = act] {
    Side& there = side(to);
    const std::uint64_t no = ++there.nextAsk;
    *received = no;
    there.asks[no] = {attempt, [=, this](const ForwardReply& told, std::uint32_t status, std::uint64_t,
                                         const std::shared_ptr<const void>& bytes) {
                        if (isCut(to, machine))
                          return finish(now_ + kUnread, ForwardResult::connectionLost, {}, 0, nullptr);
                        // As bytes: what the header can't carry must not be known at the other end.
                        const auto read = parseForwardReply(rackroute::mesh::textOf(told));
                        finish(now_ + delay(to, machine),
                               read ? ForwardResult::replied : ForwardResult::connectionLost,
                               read.value_or(ForwardReply{}), status, bytes);
                      }};
    const auto heardAsk = parseForwardRequest(rackroute::mesh::textOf(act.forward));
    std::optional<std::string> key;
    if (act.forward.kind == RouteKind::keyed) {
      const auto open = keyOf_.find(attempt);
      if (open != keyOf_.end()) key = open->second;
    }
    this->act(to, there.sidecar->forwardReceived(now_, {no}, *heardAsk, key));
  });
}

void World::serve(std::size_t machine, const AdmissionAction& act) {
  Side& here = side(machine);
  Server& server = here.server;
  const std::uint64_t life = machines_[machine].life;
  const std::uint64_t attempt = here.asks.at(act.request.value).attempt;
  const auto ends = [this, machine, life, ask = act.request](Span when, ExecutionResult how,
                                                             ServerAnswer answer) {
    atProcess(when, machine, life, [=, this] {
      this->act(machine, side(machine).sidecar->executionEnded(now_, ask, how, answer));
    });
  };
  if (!server.up) return ends(now_ + 100us, ExecutionResult::notSent, {});
  const Span until = now_ + act.left + kSpare;
  const auto bytesOf = [](std::uint32_t status, std::uint64_t seal) {
    return std::make_shared<const std::pair<std::uint32_t, std::uint64_t>>(status, seal);
  };
  judge_.arrived(now_, attempt, server.service);
  if (server.id != act.instance.value)
    return ends(now_ + 200us, ExecutionResult::answered, {421, true, bytesOf(421, 0), 0});
  const std::uint64_t serverLife = server.lives;
  const Span giveUp = now_ + act.left;
  const auto stopped = std::make_shared<bool>(false);  // its connection was closed
  side(machine).runs[act.request.value] = [stopped] { *stopped = true; };
  auto run = [=, this, left = act.left, ask = act.request] {
    Server& there = side(machine).server;
    if (there.lives != serverLife) return;
    if (*stopped) return freeSlot(machine, serverLife);
    if (now_ >= giveUp) {
      --there.busy;
      return ends(now_, ExecutionResult::answered, {503, true, bytesOf(503, 0), 0});
    }
    const std::uint64_t seal = ++sealNo_;
    side(machine).lastRun = now_;
    judge_.ran(now_, attempt, there.service, seal, there.drainAcked);
    Distribution work{Shape::lognormal, day_.work, 0.6};
    double takes = work.draw(clients_) * there.slow;
    if (there.coldUntil > now_) takes *= 2;
    const double luck = uniform01(clients_);
    const double loses = there.loses;
    const double spoils = there.spoils;
    const Span done = now_ + span(takes);
    const auto stop = [=, this] {
      if (std::exchange(*stopped, true)) return;
      judge_.worked(now_, attempt, done - now_);
      freeSlot(machine, serverLife);
    };
    side(machine).runs[ask.value] = stop;
    at(done, [=, this] {
      side(machine).runs.erase(ask.value);
      stop();
    });
    at(std::min(done, until), [=, this] {
      if (side(machine).server.lives != serverLife) return ends(now_, ExecutionResult::connectionLost, {});
      if (done > until) return ends(now_, ExecutionResult::timedOut, {});
      if (luck < loses)
        return ends(luck < loses / 2 ? now_ : until,
                    luck < loses / 2 ? ExecutionResult::connectionLost : ExecutionResult::timedOut, {});
      if (luck < loses + spoils) return ends(now_, ExecutionResult::malformed, {});
      ends(now_, ExecutionResult::answered, {200, false, bytesOf(200, seal), 5000});
    });
  };
  if (server.busy < day_.slots) {
    ++server.busy;
    in(100us, run);
  } else if (server.queue.size() < 4 * day_.slots) {
    server.queue.push_back(run);
  } else {
    ends(now_ + 200us, ExecutionResult::answered, {503, true, bytesOf(503, 0), 0});
  }
}

}  // namespace rackroute::lab::mesh::emulated
