#include "lab/mesh/emulated.hpp"

namespace rackroute::lab::mesh::emulated {

void World::dial(std::size_t from, const Address& to) {
  const auto target = machineAt(to.value);
  const std::uint64_t lifeA = machines_[from].life;
  const auto failed = [this, from, lifeA, to] {
    if (machines_[from].core) {
      act(from, core(from).control->dialFailed(now_, to));
    } else {
      act(from, side(from).sidecar->sessionClosed(now_, to));
    }
    static_cast<void>(lifeA);
  };
  if (!target || machines_[*target].dark || isCut(from, *target) || isCut(*target, from))
    return atProcess(now_ + kDialHung, from, lifeA, failed);
  const Span trip = delay(from, *target);
  at(now_ + trip, [this, from, to, lifeA, failed, target = *target, trip] {
    if (machines_[target].life == 0) return atProcess(now_ + trip, from, lifeA, failed);
    const auto link = std::make_shared<Link>();
    link->a = from;
    link->b = target;
    link->lifeA = lifeA;
    link->lifeB = machines_[target].life;
    links_.push_back(link);
    link->noB = ++sessionNo_;
    link->noA = ++sessionNo_;
    atProcess(now_, target, link->lifeB, [this, link, target] {
      sessions_[target][link->noB] = link;
      act(target, core(target).control->sessionAccepted(now_, {link->noB}));
    });
    atProcess(now_ + trip, from, lifeA, [this, link, from, to] {
      if (!link->open) return;
      if (machines_[from].core) {
        sessions_[from][link->noA] = link;
        act(from, core(from).control->sessionEstablished(now_, {link->noA}, to));
      } else {
        dialled_[from][to.value] = link;
        act(from, side(from).sidecar->sessionOpened(now_, to));
      }
    });
  });
}

void World::send(const LinkPtr& link, bool fromA, std::string text) {
  if (!link->open) return;
  const std::size_t from = fromA ? link->a : link->b;
  const std::size_t to = fromA ? link->b : link->a;
  if (isCut(from, to) || !link->held[fromA].empty()) {
    link->held[fromA].push_back(std::move(text));
    return;
  }
  deliver(link, fromA, now_ + delay(from, to), std::move(text));
}

void World::deliver(const LinkPtr& link, bool fromA, Span when, std::string text) {
  Span& last = link->last[fromA];
  last = std::max(last + 1us, when);
  const std::size_t to = fromA ? link->b : link->a;
  atProcess(last, to, fromA ? link->lifeB : link->lifeA, [this, link, to, text = std::move(text)] {
    if (link->open) heard(to, link, text);
  });
}

void World::heard(std::size_t machine, const LinkPtr& link, const std::string& text) {
  const json word = json::parse(text);
  auto& [words, bytes] = talk_[word.at("t").get<std::string>()];
  ++words;
  bytes += text.size();
  if (machines_[machine].core) {
    act(machine,
        core(machine).control->messageReceived(now_, {link->a == machine ? link->noA : link->noB}, word));
  } else {
    act(machine, side(machine).sidecar->handleMessage(now_, {address(link->b)}, word));
    took(machine, word);
  }
}

// An end by one process reaches the other, unless the way is cut; a dark machine says nothing.
void World::close(const LinkPtr& link, std::optional<std::size_t> by) {
  if (!link->open) return;
  link->open = false;
  for (const bool atA : {true, false}) {
    const std::size_t machine = atA ? link->a : link->b;
    if (by == machine) continue;
    const std::size_t other = atA ? link->b : link->a;
    const bool silent = machines_[other].dark || isCut(other, machine);
    atProcess(now_ + (silent ? Span(2500ms) : delay(link->a, link->b)), machine,
              atA ? link->lifeA : link->lifeB, [this, machine, link] { sessionEnded(machine, link); });
  }
}

void World::sessionEnded(std::size_t machine, const LinkPtr& link) {
  if (machines_[machine].core) {
    const std::uint64_t no = link->a == machine ? link->noA : link->noB;
    if (sessions_[machine].erase(no) == 0) return;
    act(machine, core(machine).control->sessionClosed(now_, {no}));
  } else {
    auto& all = dialled_[machine];
    const auto found = all.find(address(link->b));
    if (found == all.end() || found->second != link) return;
    all.erase(found);
    act(machine, side(machine).sidecar->sessionClosed(now_, {address(link->b)}));
  }
}

}  // namespace rackroute::lab::mesh::emulated
