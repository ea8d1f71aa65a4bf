#include "lab/mesh/emulated_world.hpp"

namespace rackroute::lab::mesh::emulated {

void World::dial(std::size_t from, const Address& to) {
  const auto target = findMachine(to.value);
  const std::uint64_t incarnationA = machines_[from].incarnation;
  const auto failed = [this, from, incarnationA, to] {
    if (machines_[from].isControl) {
      execute(from, controlOn(from).control->dialFailed(now_, to));
    } else {
      execute(from, sidecarOn(from).sidecar->sessionClosed(now_, to));
    }
    static_cast<void>(incarnationA);
  };
  if (!target || machines_[*target].poweredOff || isCut(from, *target) || isCut(*target, from))
    return runOnProcess(now_ + kDialTimeout, from, incarnationA, failed);
  const Span latency = delay(from, *target);
  runAt(now_ + latency, [this, from, to, incarnationA, failed, target = *target, latency] {
    if (machines_[target].incarnation == 0) return runOnProcess(now_ + latency, from, incarnationA, failed);
    const auto link = std::make_shared<Link>();
    link->a = from;
    link->b = target;
    link->incarnationA = incarnationA;
    link->incarnationB = machines_[target].incarnation;
    links_.push_back(link);
    link->sessionB = ++sessionNo_;
    link->sessionA = ++sessionNo_;
    runOnProcess(now_, target, link->incarnationB, [this, link, target] {
      controlSessions_[target][link->sessionB] = link;
      execute(target, controlOn(target).control->sessionAccepted(now_, {link->sessionB}));
    });
    runOnProcess(now_ + latency, from, incarnationA, [this, link, from, to] {
      if (!link->open) return;
      if (machines_[from].isControl) {
        controlSessions_[from][link->sessionA] = link;
        execute(from, controlOn(from).control->sessionEstablished(now_, {link->sessionA}, to));
      } else {
        sidecarSessions_[from][to.value] = link;
        execute(from, sidecarOn(from).sidecar->sessionOpened(now_, to));
      }
    });
  });
}

void World::send(const LinkPtr& link, bool fromA, std::string text) {
  if (!link->open) return;
  const std::size_t from = fromA ? link->a : link->b;
  const std::size_t to = fromA ? link->b : link->a;
  if (isCut(from, to) || !link->queued[fromA].empty()) {
    link->queued[fromA].push_back(std::move(text));
    return;
  }
  deliver(link, fromA, now_ + delay(from, to), std::move(text));
}

void World::deliver(const LinkPtr& link, bool fromA, Span when, std::string text) {
  Span& lastDelivery = link->lastDelivery[fromA];
  lastDelivery = std::max(lastDelivery + 1us, when);
  const std::size_t to = fromA ? link->b : link->a;
  runOnProcess(lastDelivery, to, fromA ? link->incarnationB : link->incarnationA,
               [this, link, to, text = std::move(text)] {
                 if (link->open) receive(to, link, text);
               });
}

void World::receive(std::size_t machine, const LinkPtr& link, const std::string& text) {
  const json message = json::parse(text);
  auto& [messages, bytes] = messageStats_[message.at("t").get<std::string>()];
  ++messages;
  bytes += text.size();
  if (machines_[machine].isControl) {
    execute(machine, controlOn(machine).control->messageReceived(
                         now_, {link->a == machine ? link->sessionA : link->sessionB}, message));
  } else {
    execute(machine, sidecarOn(machine).sidecar->handleMessage(now_, {address(link->b)}, message));
    recordAppliedItems(machine, message);
  }
}

// The peer notices the close after the network delay, or after a timeout if the direction is cut or the other
// machine lost power.
void World::close(const LinkPtr& link, std::optional<std::size_t> by) {
  if (!link->open) return;
  link->open = false;
  for (const bool atA : {true, false}) {
    const std::size_t machine = atA ? link->a : link->b;
    if (by == machine) continue;
    const std::size_t other = atA ? link->b : link->a;
    const bool silent = machines_[other].poweredOff || isCut(other, machine);
    runOnProcess(now_ + (silent ? Span(2500ms) : delay(link->a, link->b)), machine,
                 atA ? link->incarnationA : link->incarnationB,
                 [this, machine, link] { sessionEnded(machine, link); });
  }
}

void World::sessionEnded(std::size_t machine, const LinkPtr& link) {
  if (machines_[machine].isControl) {
    const std::uint64_t number = link->a == machine ? link->sessionA : link->sessionB;
    if (controlSessions_[machine].erase(number) == 0) return;
    execute(machine, controlOn(machine).control->sessionClosed(now_, {number}));
  } else {
    auto& sessions = sidecarSessions_[machine];
    const auto found = sessions.find(address(link->b));
    if (found == sessions.end() || found->second != link) return;
    sessions.erase(found);
    execute(machine, sidecarOn(machine).sidecar->sessionClosed(now_, {address(link->b)}));
  }
}

}  // namespace rackroute::lab::mesh::emulated
