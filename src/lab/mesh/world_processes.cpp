#include "lab/mesh/emulated.hpp"

namespace rackroute::lab::mesh::emulated {

std::size_t World::addMachine(bool isCore, std::uint32_t number, std::uint32_t zone) {
  Machine m;
  m.core = isCore;
  m.number = number;
  m.zone = zone;
  m.name = (isCore ? "v" : "s") + std::to_string(number);
  byAddress_[m.name + ":1"] = machines_.size();
  machines_.push_back(std::move(m));
  return machines_.size() - 1;
}

std::vector<Address> World::seedsNow(const std::string& first) const {
  constexpr std::size_t kSeeds = 3;
  std::vector<Address> seeds;
  if (!first.empty()) seeds.push_back({first});
  for (const std::size_t control : listed_) {
    if (seeds.size() < kSeeds && address(control) != first) seeds.push_back({address(control)});
  }
  return seeds;
}

void World::startControl(std::size_t machine) {
  Machine& m = machines_[machine];
  Core& here = core(machine);
  here.calls.clear();
  ControlNode::Options built;
  built.node = {m.name};
  built.at = {address(machine)};
  built.zone = "z" + std::to_string(m.zone);
  built.life = {static_cast<std::uint64_t>(wall(machine).count())};
  built.seeds = seedsNow("");
  built.founders = day_.controls;
  built.firstBoot = !here.disk.used;
  built.keyWindow = span(day_.keyWindow);
  built.random = seed_ * 1000 + machine;
  here.disk.used = true;
  m.dark = false;
  if (!openDisk(machine, built)) return restart(machine, kOpenPause);
  m.life = ++m.lives;
  m.started = now_;
  act(machine, here.control->start(now_));
  tickControl(machine, m.life);
}

void World::restart(std::size_t machine, Span wait) {
  in(wait, [this, machine] {
    const Machine& m = machines_[machine];
    if (m.life != 0 || m.gone) return;
    if (m.core) {
      startControl(machine);
    } else {
      startSidecar(machine);
    }
  });
}

void World::tickControl(std::size_t machine, std::uint64_t life) {
  act(machine, core(machine).control->tick(now_));
  atProcess(now_ + ControlNode::tickInterval(), machine, life,
            [this, machine, life] { tickControl(machine, life); });
}

void World::startSidecar(std::size_t machine) {
  Machine& m = machines_[machine];
  m.life = ++m.lives;
  m.started = now_;
  m.dark = m.leaving = false;
  // As the program does it.
  const LifeNo life{static_cast<std::uint64_t>(wall(machine).count())};
  Side& here = side(machine);
  Sidecar::Config built;
  built.router.node = {m.name};
  built.router.zone = "z" + std::to_string(m.zone);
  built.router.service = {serviceName(here.server.service)};
  built.router.allowance = {kRetryRatio, kRetrySlack, 10s};
  built.router.seed = seed_ * 1000 + machine * 31 + m.life;
  built.admission = {{m.name}, {address(machine)},   built.router.zone,
                     life,     built.router.service, {m.name + ":app"},
                     kDrain,   span(day_.keyWindow), 32 << 20};
  built.controlClient = {{m.name}, {address(machine)}, built.router.zone, life, seedsNow(m.firstSeed)};
  here.sidecar = std::make_unique<Sidecar>(std::move(built));
  here.asks.clear();
  here.attemptOf.clear();
  here.serverCalls.clear();
  here.wakes = Span::max();
  act(machine, here.sidecar->tick(now_));
}

void World::kill(std::size_t machine, bool dark) {
  Machine& m = machines_[machine];
  if (m.life == 0) return;
  m.life = 0;
  m.dark = dark;
  if (m.core) endDisk(machine, dark);
  for (const LinkPtr& link : links_) {
    if (link->open && (link->a == machine || link->b == machine)) close(link, machine);
  }
  links_.erase(std::remove_if(links_.begin(), links_.end(), [](const LinkPtr& link) { return !link->open; }),
               links_.end());
  sessions_[machine].clear();
  dialled_[machine].clear();
  if (!m.core) {
    // Its clients' connections close; they try again elsewhere, as their requests allow.
    std::vector<std::uint64_t> cut;
    for (const auto& [attempt, held] : open_) {
      if (held.first == machine) cut.push_back(attempt);
    }
    for (const std::uint64_t attempt : cut) {
      const Wanted wanted = open_.at(attempt).second;
      answered(machine, wanted, attempt, 0, 0, Span{0});
    }
  }
}

void World::act(std::size_t machine, const ControlActions& acts) {
  Core& here = core(machine);
  for (const ControlAction& act : acts) {
    switch (act.kind) {
      case ControlAction::Kind::send: {
        const auto link = sessions_[machine].find(act.session.value);
        if (link != sessions_[machine].end()) send(link->second, link->second->a == machine, *act.text);
        break;
      }
      case ControlAction::Kind::dial:
        dial(machine, act.at);
        break;
      case ControlAction::Kind::close: {
        const auto link = sessions_[machine].find(act.session.value);
        if (link == sessions_[machine].end()) break;
        const LinkPtr held = link->second;
        sessions_[machine].erase(link);
        close(held, machine);
        break;
      }
      case ControlAction::Kind::write:
        here.disk.waiting.emplace_back(act.batch.value, act.entries);
        sync(machine);
        break;
      case ControlAction::Kind::answer:
        if (const auto call = here.calls.find(act.call.value); call != here.calls.end()) {
          const auto done = std::move(call->second);
          here.calls.erase(call);
          done(act.status, act.body);
        }
        break;
    }
  }
}

void World::wake(std::size_t machine) {
  Side& here = side(machine);
  const Span next = here.sidecar->nextTick(now_);
  if (next >= here.wakes) return;
  here.wakes = next;
  atProcess(next, machine, machines_[machine].life, [this, machine, next] {
    Side& there = side(machine);
    if (there.wakes != next) return;
    there.wakes = Span::max();
    act(machine, there.sidecar->tick(now_));
  });
}

void World::act(std::size_t machine, const SidecarActions& acts) {
  for (const ServerCallResponse& answer : acts.callResponses) answered(machine, answer);
  Side& here = side(machine);
  for (const RoutingAction& act : acts.routing) {
    const auto found = here.attemptOf.find(act.call.value);
    if (found == here.attemptOf.end()) continue;
    if (act.kind == RoutingAction::Kind::send) {
      forward(machine, act);
      continue;
    }
    if (act.kind == RoutingAction::Kind::cancel) {
      cancelForward(machine, act);
      continue;
    }
    const std::uint64_t attempt = found->second;
    here.attemptOf.erase(found);
    const auto open = open_.find(attempt);
    if (open == open_.end()) continue;
    std::uint32_t status = act.status;
    std::uint64_t seal = 0;
    if (act.kind == RoutingAction::Kind::pass) {
      const auto answer = std::static_pointer_cast<const std::pair<std::uint32_t, std::uint64_t>>(act.bytes);
      status = answer->first;
      seal = answer->second;
    }
    const Wanted wanted = open->second.second;
    answered(machine, wanted, attempt, status, seal, act.retryAfter);
  }
  for (const AdmissionAction& act : acts.admission) {
    const auto found = here.asks.find(act.request.value);
    if (found == here.asks.end()) continue;
    if (act.kind == AdmissionAction::Kind::run) {
      serve(machine, act);
      continue;
    }
    if (act.kind == AdmissionAction::Kind::cancel) {
      cancelRun(machine, act);
      continue;
    }
    const auto reply = found->second.reply;
    here.asks.erase(found);
    std::uint32_t status = 503;
    std::uint64_t seal = 0;
    if (act.bytes) {
      const auto answer = std::static_pointer_cast<const std::pair<std::uint32_t, std::uint64_t>>(act.bytes);
      status = answer->first;
      seal = answer->second;
    }
    reply(act.reply, status, seal, act.bytes);
  }
  for (const ControlClientAction& act : acts.control) {
    auto& all = dialled_[machine];
    const auto link = all.find(act.at.value);
    if (act.kind == ControlClientAction::Kind::send) {
      if (link != all.end()) send(link->second, true, *act.text);
    } else if (act.kind == ControlClientAction::Kind::dial) {
      dial(machine, act.at);
    } else if (link != all.end()) {
      const LinkPtr held = link->second;
      all.erase(link);
      close(held, machine);
    }
  }
  wake(machine);
}

}  // namespace rackroute::lab::mesh::emulated
