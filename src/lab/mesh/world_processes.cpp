// Start, restart and end of the emulated processes, and the execution of the actions they return.

#include "lab/mesh/emulated_world.hpp"

namespace rackroute::lab::mesh::emulated {

std::size_t World::addMachine(bool isControl, std::uint32_t number, std::uint32_t zone) {
  Machine m;
  m.isControl = isControl;
  m.number = number;
  m.zone = zone;
  m.name = (isControl ? "v" : "s") + std::to_string(number);
  byAddress_[m.name + ":1"] = machines_.size();
  machines_.push_back(std::move(m));
  return machines_.size() - 1;
}

std::vector<Address> World::currentSeeds(const std::string& first) const {
  constexpr std::size_t kSeeds = 3;
  std::vector<Address> seeds;
  if (!first.empty()) seeds.push_back({first});
  for (const std::size_t control : knownControls_) {
    if (seeds.size() < kSeeds && address(control) != first) seeds.push_back({address(control)});
  }
  return seeds;
}

void World::startControl(std::size_t machine) {
  Machine& m = machines_[machine];
  ControlHost& host = controlOn(machine);
  host.calls.clear();
  ControlNode::Options options;
  options.node = {m.name};
  options.at = {address(machine)};
  options.zone = "z" + std::to_string(m.zone);
  options.life = {static_cast<std::uint64_t>(wallClock(machine).count())};
  options.seeds = currentSeeds("");
  options.founders = day_.controls;
  options.firstBoot = !host.disk.initialized;
  options.keyWindow = span(day_.keyWindow);
  options.random = seed_ * 1000 + machine;
  host.disk.initialized = true;
  m.poweredOff = false;
  if (!openDisk(machine, options)) return restart(machine, kOpenRetryInterval);
  m.incarnation = ++m.lastIncarnation;
  m.startedAt = now_;
  execute(machine, host.control->start(now_));
  tickControl(machine, m.incarnation);
}

void World::restart(std::size_t machine, Span wait) {
  runAfter(wait, [this, machine] {
    const Machine& m = machines_[machine];
    if (m.incarnation != 0 || m.retired) return;
    if (m.isControl) {
      startControl(machine);
    } else {
      startSidecar(machine);
    }
  });
}

void World::tickControl(std::size_t machine, std::uint64_t incarnation) {
  execute(machine, controlOn(machine).control->tick(now_));
  runOnProcess(now_ + ControlNode::tickInterval(), machine, incarnation,
               [this, machine, incarnation] { tickControl(machine, incarnation); });
}

void World::startSidecar(std::size_t machine) {
  Machine& m = machines_[machine];
  m.incarnation = ++m.lastIncarnation;
  m.startedAt = now_;
  m.poweredOff = m.stopping = false;
  // Like the sidecar program.
  const LifeNo incarnation{static_cast<std::uint64_t>(wallClock(machine).count())};
  SidecarHost& host = sidecarOn(machine);
  Sidecar::Config options;
  options.router.node = {m.name};
  options.router.zone = "z" + std::to_string(m.zone);
  options.router.service = {serviceName(host.server.service)};
  options.router.allowance = {kRetryRatio, kRetrySlack, 10s};
  options.router.seed = seed_ * 1000 + machine * 31 + m.incarnation;
  options.admission = {{m.name},    {address(machine)},     options.router.zone,
                       incarnation, options.router.service, {m.name + ":app"},
                       kDrainTime,  span(day_.keyWindow),   32 << 20};
  options.controlClient = {
      {m.name}, {address(machine)}, options.router.zone, incarnation, currentSeeds(m.firstSeed)};
  host.sidecar = std::make_unique<Sidecar>(std::move(options));
  host.inbound.clear();
  host.attemptOf.clear();
  host.serverCalls.clear();
  host.nextWakeAt = Span::max();
  execute(machine, host.sidecar->tick(now_));
}

void World::kill(std::size_t machine, bool powerLoss) {
  Machine& m = machines_[machine];
  if (m.incarnation == 0) return;
  m.incarnation = 0;
  m.poweredOff = powerLoss;
  if (m.isControl) closeDisk(machine, powerLoss);
  for (const LinkPtr& link : links_) {
    if (link->open && (link->a == machine || link->b == machine)) close(link, machine);
  }
  links_.erase(std::remove_if(links_.begin(), links_.end(), [](const LinkPtr& link) { return !link->open; }),
               links_.end());
  controlSessions_[machine].clear();
  sidecarSessions_[machine].clear();
  if (!m.isControl) {
    // The connections of its clients close; clients retry elsewhere if the request allows it.
    std::vector<std::uint64_t> interrupted;
    for (const auto& [attempt, entry] : openAttempts_) {
      if (entry.first == machine) interrupted.push_back(attempt);
    }
    for (const std::uint64_t attempt : interrupted) {
      const LoadRequest request = openAttempts_.at(attempt).second;
      responseReceived(machine, request, attempt, 0, 0, Span{0});
    }
  }
}

void World::execute(std::size_t machine, const ControlActions& actions) {
  ControlHost& host = controlOn(machine);
  for (const ControlAction& action : actions) {
    switch (action.kind) {
      case ControlAction::Kind::send: {
        const auto link = controlSessions_[machine].find(action.session.value);
        if (link != controlSessions_[machine].end())
          send(link->second, link->second->a == machine, *action.text);
        break;
      }
      case ControlAction::Kind::dial:
        dial(machine, action.at);
        break;
      case ControlAction::Kind::close: {
        const auto link = controlSessions_[machine].find(action.session.value);
        if (link == controlSessions_[machine].end()) break;
        const LinkPtr closing = link->second;
        controlSessions_[machine].erase(link);
        close(closing, machine);
        break;
      }
      case ControlAction::Kind::write:
        host.disk.pending.emplace_back(action.batch.value, action.entries);
        startSync(machine);
        break;
      case ControlAction::Kind::answer:
        if (const auto call = host.calls.find(action.call.value); call != host.calls.end()) {
          const auto done = std::move(call->second);
          host.calls.erase(call);
          done(action.status, action.body);
        }
        break;
    }
  }
}

void World::scheduleWake(std::size_t machine) {
  SidecarHost& host = sidecarOn(machine);
  const Span next = host.sidecar->nextTick(now_);
  if (next >= host.nextWakeAt) return;
  host.nextWakeAt = next;
  runOnProcess(next, machine, machines_[machine].incarnation, [this, machine, next] {
    SidecarHost& current = sidecarOn(machine);
    if (current.nextWakeAt != next) return;
    current.nextWakeAt = Span::max();
    execute(machine, current.sidecar->tick(now_));
  });
}

void World::execute(std::size_t machine, const SidecarActions& actions) {
  for (const ServerCallResponse& response : actions.callResponses) serverCallAnswered(machine, response);
  SidecarHost& host = sidecarOn(machine);
  for (const RoutingAction& action : actions.routing) {
    const auto found = host.attemptOf.find(action.call.value);
    if (found == host.attemptOf.end()) continue;
    if (action.kind == RoutingAction::Kind::send) {
      forward(machine, action);
      continue;
    }
    if (action.kind == RoutingAction::Kind::cancel) {
      cancelForward(machine, action);
      continue;
    }
    const std::uint64_t attempt = found->second;
    host.attemptOf.erase(found);
    const auto open = openAttempts_.find(attempt);
    if (open == openAttempts_.end()) continue;
    std::uint32_t status = action.status;
    std::uint64_t seal = 0;
    if (action.kind == RoutingAction::Kind::pass) {
      const auto answer =
          std::static_pointer_cast<const std::pair<std::uint32_t, std::uint64_t>>(action.bytes);
      status = answer->first;
      seal = answer->second;
    }
    const LoadRequest request = open->second.second;
    responseReceived(machine, request, attempt, status, seal, action.retryAfter);
  }
  for (const AdmissionAction& action : actions.admission) {
    const auto found = host.inbound.find(action.request.value);
    if (found == host.inbound.end()) continue;
    if (action.kind == AdmissionAction::Kind::run) {
      serve(machine, action);
      continue;
    }
    if (action.kind == AdmissionAction::Kind::cancel) {
      cancelExecution(machine, action);
      continue;
    }
    const auto reply = found->second.reply;
    host.inbound.erase(found);
    std::uint32_t status = 503;
    std::uint64_t seal = 0;
    if (action.bytes) {
      const auto answer =
          std::static_pointer_cast<const std::pair<std::uint32_t, std::uint64_t>>(action.bytes);
      status = answer->first;
      seal = answer->second;
    }
    reply(action.reply, status, seal, action.bytes);
  }
  for (const ControlClientAction& action : actions.control) {
    auto& sessions = sidecarSessions_[machine];
    const auto link = sessions.find(action.at.value);
    if (action.kind == ControlClientAction::Kind::send) {
      if (link != sessions.end()) send(link->second, true, *action.text);
    } else if (action.kind == ControlClientAction::Kind::dial) {
      dial(machine, action.at);
    } else if (link != sessions.end()) {
      const LinkPtr closing = link->second;
      sessions.erase(link);
      close(closing, machine);
    }
  }
  scheduleWake(machine);
}

}  // namespace rackroute::lab::mesh::emulated
