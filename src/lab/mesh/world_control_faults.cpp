// Faults of control nodes: process, power, disk, clock and network faults, and replacements.

#include "lab/mesh/emulated_world.hpp"

namespace rackroute::lab::mesh::emulated {
namespace {

constexpr Span kClockStepMargin = 500ms;  // between a restart and the clock step, and until the next restart
constexpr Span kClosingWait = 3s;  // for the last acknowledgement before the closing fault is injected anyway
constexpr Span kClosingOutage = 900ms;         // time without power
constexpr std::uint32_t kSteppedMachines = 3;  // every so many machines

}  // namespace

void World::injectControlFault(const Fault& fault, std::size_t control) {
  const Span duration = span(fault.duration);
  Disk& disk = controlOn(control).disk;
  disturbControls(duration);
  switch (fault.kind) {
    case FaultKind::killControl:
      kill(control, false);
      return restart(control, kRestartDelay);
    case FaultKind::powerControl:
    case FaultKind::wipeControl:
      kill(control, true);
      if (fault.kind == FaultKind::wipeControl) wipeDisk(control);
      return restart(control, duration);
    case FaultKind::freezeControl:
      machines_[control].frozenUntil = now_ + duration;
      return;
    case FaultKind::cutControl:
    case FaultKind::cutControlOneWay:
    case FaultKind::cutControlAsymmetric:
      return cut(pathsFromControl(fault.kind, control), duration);
    case FaultKind::cutCoreHalves:
      return cut(pathsBetweenHalves(), duration);
    case FaultKind::diskSlow:
      disk.slowdown = std::max(1.0, fault.magnitude);
      return runAfter(duration, [&disk] { disk.slowdown = 1; });
    case FaultKind::diskFull:
      return fillDisk(disk, duration);
    case FaultKind::diskStall:
      disk.stalledUntil = now_ + duration;
      return;
    case FaultKind::resetControl:
      return resetSessions(control, fault.magnitude);
    case FaultKind::replaceControl:
      return replaceControl(fault.target % day_.controls, span(std::max(0.0, fault.magnitude)));
    case FaultKind::replaceControlPlanned:
      return replaceControlPlanned(fault.target % day_.controls);
    case FaultKind::clockStep:
      return stepClocks(fault, control);
    case FaultKind::killCore:
    case FaultKind::powerCore:
      return restartAllControls(fault.kind == FaultKind::powerCore, duration);
    default:
      onNextAcknowledgement_ = [this, duration] { restartAllControls(true, duration); };
      submitChange(fault.target, false, true);
  }
}

void World::cut(const Paths& paths, Span duration) {
  for (const auto& path : paths) cuts_.insert(path);
  updatePartitions();
  runAfter(duration, [this, paths] { heal(paths); });
}

void World::heal(const Paths& paths) {
  for (const auto& path : paths) cuts_.erase(cuts_.find(path));
  updatePartitions();
  for (const LinkPtr& link : links_) {
    for (const bool fromA : {true, false}) {
      const std::size_t from = fromA ? link->a : link->b;
      const std::size_t to = fromA ? link->b : link->a;
      if (isCut(from, to) || link->queued[fromA].empty()) continue;
      for (std::string& text : std::exchange(link->queued[fromA], {}))
        deliver(link, fromA, now_ + delay(from, to), std::move(text));
    }
  }
}

World::Paths World::pathsFromControl(FaultKind kind, std::size_t control) const {
  Paths paths;
  bool receives = true;
  for (const std::size_t other : controlSlots_) {
    if (other == control) continue;
    const bool asymmetric = kind == FaultKind::cutControlAsymmetric;
    if (!asymmetric || receives) paths.emplace_back(control, other);
    if (kind == FaultKind::cutControl || (asymmetric && !receives)) paths.emplace_back(other, control);
    receives = !receives;
  }
  return paths;
}

World::Paths World::pathsBetweenHalves() const {
  Paths paths;
  for (std::size_t a = 0; a < controlSlots_.size(); ++a) {
    for (std::size_t b = 0; b < controlSlots_.size(); ++b) {
      if ((a < controlSlots_.size() / 2) != (b < controlSlots_.size() / 2))
        paths.emplace_back(controlSlots_[a], controlSlots_[b]);
    }
  }
  return paths;
}

// Two nodes are connected only if neither direction is cut.
void World::updatePartitions() {
  for (const std::size_t control : controlSlots_) {
    std::size_t reached = 0;
    for (const std::size_t other : controlSlots_) {
      if (!isCut(control, other) && !isCut(other, control)) ++reached;
    }
    Span& from = controlOn(control).partitionedSince;
    if (reached >= majority()) {
      from = Span::max();
    } else if (from == Span::max()) {
      from = now_;
    }
  }
}

std::size_t World::addSuccessor(std::uint32_t slot) {
  const auto number = static_cast<std::uint32_t>(controlHosts_.size());
  controlHosts_.emplace_back();
  controlHosts_.back().disk.initialized = true;  // a successor must not found a new control plane
  return addMachine(true, number, machines_[controlSlots_[slot]].zone);
}

void World::startSuccessor(std::uint32_t slot, std::size_t successor) {
  disturbControls(Span{0});
  startControl(successor);
  controlSlots_[slot] = successor;
  runAfter(kDiscoveryDelay, [this] { knownControls_ = controlSlots_; });
}

void World::replaceControl(std::uint32_t slot, Span gap) {
  const std::size_t old = controlSlots_[slot];
  kill(old, true);
  machines_[old].retired = true;
  const std::size_t successor = addSuccessor(slot);
  runAfter(gap, [this, slot, successor] { startSuccessor(slot, successor); });
}

void World::replaceControlPlanned(std::uint32_t slot) {
  const std::size_t old = controlSlots_[slot];
  startSuccessor(slot, addSuccessor(slot));
  runAfter(kPlannedStopDelay, [this, old] {
    disturbControls(Span{0});
    machines_[old].retired = true;
    kill(old, false);
  });
}

void World::restartAllControls(bool powerLoss, Span duration) {
  disturbControls(duration + 500ms);
  for (const std::size_t control : controlSlots_) {
    kill(control, powerLoss);
    restart(control, powerLoss ? duration + span(0.3 * uniform01(network_)) : kRestartDelay);
  }
}

// Restarts processes just before, during and after the step, as incarnation numbers derive from the wall
// clock.
void World::stepClocks(const Fault& fault, std::size_t control) {
  const std::size_t sidecar = sidecarMachine(fault.target % day_.sidecars);
  const auto killAndRestart = [this](std::size_t machine) {
    kill(machine, false);
    restart(machine, kRestartDelay);
  };
  std::vector<std::size_t> stepped{control, sidecar};
  for (std::size_t machine = 0; machine < machines_.size(); ++machine) {
    if (machine % kSteppedMachines == fault.target % kSteppedMachines) stepped.push_back(machine);
  }
  const Span step = span(std::abs(fault.magnitude)) * (fault.magnitude < 0 ? -1 : 1);
  const auto setOffset = [this, stepped](Span by) {
    for (const std::size_t machine : stepped) machines_[machine].clockOffset = by;
  };
  killAndRestart(sidecar);
  runAfter(kClockStepMargin, [setOffset, killAndRestart, step, sidecar, control] {
    setOffset(step);
    killAndRestart(sidecar);
    killAndRestart(control);
  });
  runAfter(std::max(span(fault.duration), 2 * kClockStepMargin),
           [setOffset, killAndRestart, sidecar, control] {
             setOffset(Span{0});
             killAndRestart(sidecar);
             killAndRestart(control);
           });
}

void World::fillDisk(Disk& disk, Span duration) {
  const auto setFull = [&disk](bool full) {
    disk.full = full;
    disk.files->setFull(full);
  };
  setFull(true);
  runAfter(duration, [setFull] { setFull(false); });
}

void World::scheduleClosingFault() {
  if (day_.closing == Closing::none) return;
  const auto injected = std::make_shared<bool>(false);
  const auto injectOnce = [this, injected] {
    if (!std::exchange(*injected, true)) injectClosingFault();
  };
  onNextAcknowledgement_ = injectOnce;
  submitChange(static_cast<std::uint32_t>(seed_), false, true);
  runAfter(kClosingWait, injectOnce);
}

void World::injectClosingFault() {
  disturbControls(4s);
  const bool wipesOne = day_.closing == Closing::wipeOne;
  const bool othersKeepRunning = wipesOne && seed_ % 2 == 0;
  for (std::uint32_t i = 0; i < day_.controls; ++i) {
    const std::size_t control = controlMachine(i);
    const bool wiped = wipesOne && i == seed_ % day_.controls;
    if (othersKeepRunning && !wiped) continue;
    kill(control, day_.closing != Closing::killAll);
    if (wiped) wipeDisk(control);
    restart(control, kClosingOutage);
  }
  // On half of the days the sidecars lose power as well.
  const bool sidecarsLosePower = day_.closing != Closing::killAll && !othersKeepRunning && seed_ / 2 % 2 == 0;
  for (std::uint32_t i = 0; sidecarsLosePower && i < day_.sidecars; ++i) {
    disturbSidecar(i, kClosingOutage);
    kill(sidecarMachine(i), true);
    restart(sidecarMachine(i), kClosingOutage + span(0.5 * uniform01(network_)));
  }
}

}  // namespace rackroute::lab::mesh::emulated
