// Faults of sidecars and servers, and the dispatch of all faults.

#include "lab/mesh/emulated_world.hpp"

namespace rackroute::lab::mesh::emulated {
namespace {

// Shutdown timing of the sidecar program.
constexpr Span kMinDrainTime = 2600ms;
constexpr Span kQuietPeriod = 300ms;
constexpr Span kDrainPollInterval = 50ms;
constexpr Span kKillMargin = 400ms;

}  // namespace

void World::injectFault(const Fault& fault) {
  ++injectedFaults_[nameOf(fault.kind)];
  const std::size_t sidecar = sidecarMachine(fault.target % day_.sidecars);
  switch (fault.kind) {
    case FaultKind::killSidecar:
    case FaultKind::freezeSidecar:
    case FaultKind::cutSidecar:
    case FaultKind::resetSidecar:
    case FaultKind::restartBeside:
    case FaultKind::termSidecar:
    case FaultKind::rollSidecars:
      return injectSidecarFault(fault, sidecar);
    case FaultKind::serverLoses:
    case FaultKind::serverSpoils:
    case FaultKind::serverSlow:
    case FaultKind::release:
      return injectServerFault(fault, sidecarOn(sidecar).server);
    case FaultKind::serverCrash:
      ++sidecarOn(sidecar).server.incarnation;
      sidecarOn(sidecar).server.up = false;
      return runAfter(span(fault.duration), [this, sidecar] { startServer(sidecar); });
    case FaultKind::change:
    case FaultKind::race:
    case FaultKind::badChange:
    case FaultKind::changeMany:
    case FaultKind::raceMany:
    case FaultKind::oldChange:
    case FaultKind::newService:
    case FaultKind::storm:
    case FaultKind::answersLost:
      return injectOperatorFault(fault);
    case FaultKind::resetForwards:
      throw BadScenario(day_.name + ": trouble: reset_forwards requires real processes");
    default:
      return injectControlFault(fault, controlMachine(fault.target));
  }
}

void World::injectOperatorFault(const Fault& fault) {
  switch (fault.kind) {
    case FaultKind::change:
      return submitChange(fault.target, false, true);
    case FaultKind::race:
      return submitChange(fault.target, true, true);
    case FaultKind::badChange:
      return submitChange(fault.target, false, false);
    case FaultKind::changeMany:
      return submitMultiChange(fault.target, false);
    case FaultKind::raceMany:
      return submitMultiChange(fault.target, true);
    case FaultKind::oldChange:
      return submitOldChange(fault.target);
    case FaultKind::newService:
      return submitNewService(fault.target);
    case FaultKind::storm:
      return startStorm(fault);
    default:
      lostAnswerShare_ = fault.magnitude;
      answersLostUntil_ = now_ + span(fault.duration);
  }
}

void World::injectServerFault(const Fault& fault, Server& server) {
  const Span duration = span(fault.duration);
  switch (fault.kind) {
    case FaultKind::serverLoses:
      server.lossShare = fault.magnitude;
      return runAfter(duration, [&server] { server.lossShare = 0; });
    case FaultKind::serverSpoils:
      server.malformedShare = fault.magnitude;
      return runAfter(duration, [&server] { server.malformedShare = 0; });
    case FaultKind::serverSlow:
      server.slowdown = std::max(1.0, fault.magnitude);
      return runAfter(duration, [&server] { server.slowdown = 1; });
    default:
      server.draining = true;
  }
}

void World::injectSidecarFault(const Fault& fault, std::size_t sidecar) {
  const Span duration = span(fault.duration);
  switch (fault.kind) {
    case FaultKind::killSidecar:
      kill(sidecar, false);
      return restart(sidecar, kRestartDelay);
    case FaultKind::freezeSidecar:
      machines_[sidecar].frozenUntil = now_ + duration;
      return disturbSidecar(sidecar, duration);
    case FaultKind::resetSidecar:
      disturbSidecar(sidecar, Span{0});
      return resetSessions(sidecar, fault.magnitude);
    case FaultKind::restartBeside: {
      machines_[sidecar].firstSeed = address(controlMachine(fault.target));
      for (const std::size_t control : controlSlots_) {
        if (controlOn(control).partitionedSince != Span::max())
          machines_[sidecar].firstSeed = address(control);
      }
      kill(sidecar, false);
      return restart(sidecar, kRestartDelay);
    }
    case FaultKind::termSidecar:
      return drainSidecar(sidecar, [] {});
    case FaultKind::rollSidecars:
      return rollSidecars(sidecar, static_cast<std::uint32_t>(std::max(1.0, fault.magnitude)));
    default: {
      Paths paths;
      for (std::size_t control = 0; control < machines_.size(); ++control) {
        if (machines_[control].isControl) paths.insert(paths.end(), {{sidecar, control}, {control, sidecar}});
      }
      disturbSidecar(sidecar, duration);
      cut(paths, duration);
    }
  }
}

// The process ends once it is idle, at the latest shortly before the platform would kill it.
void World::drainSidecar(std::size_t sidecar, std::function<void()> then) {
  Machine& m = machines_[sidecar];
  if (m.incarnation == 0 || m.stopping) return then();
  m.stopping = true;
  execute(sidecar, sidecarOn(sidecar).sidecar->startDrain(now_, now_ + kGracePeriod - kKillMargin));
  finishDrain(sidecar, m.incarnation, now_, then);
}

void World::finishDrain(std::size_t sidecar, std::uint64_t incarnation, Span since,
                        const std::function<void()>& then) {
  const Machine& m = machines_[sidecar];
  if (m.incarnation != incarnation) return then();
  const bool idle = sidecarOn(sidecar).sidecar->inFlight() == 0 && m.lastRequestAt + kQuietPeriod <= now_;
  if ((!idle || now_ < since + kMinDrainTime) && now_ < since + kGracePeriod - kKillMargin)
    return runAfter(kDrainPollInterval, [this, sidecar, incarnation, since, then] {
      finishDrain(sidecar, incarnation, since, then);
    });
  for (const OpenWork& work : sidecarOn(sidecar).sidecar->admission().openWork(now_)) {
    if (work.age < now_ - since && work.left > Span{0})
      judge_.reportLoss(now_, "a stop cuts off an execution that began after it, on route " + work.route);
  }
  kill(sidecar, false);
  restart(sidecar, kRestartDelay);
  runAfter(kRestartDelay, then);
}

void World::rollSidecars(std::size_t sidecar, std::uint32_t remaining) {
  if (remaining == 0) return;
  const std::uint32_t next = (machines_[sidecar].number + 1) % day_.sidecars;
  drainSidecar(sidecar, [this, next, remaining] { rollSidecars(sidecarMachine(next), remaining - 1); });
}

// Resets are noticed at both ends of a session.
void World::resetSessions(std::size_t machine, double share) {
  for (const LinkPtr& link : std::vector<LinkPtr>(links_)) {
    if (link->a != machine && link->b != machine) continue;
    if (link->open && uniform01(network_) < share) close(link, std::nullopt);
  }
  links_.erase(std::remove_if(links_.begin(), links_.end(), [](const LinkPtr& link) { return !link->open; }),
               links_.end());
}

}  // namespace rackroute::lab::mesh::emulated
