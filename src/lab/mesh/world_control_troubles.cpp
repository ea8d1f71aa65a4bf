#include "lab/mesh/emulated.hpp"

namespace rackroute::lab::mesh::emulated {
namespace {

constexpr Span kClockRestart = 500ms;  // between a restart and the clock's step, and after it until the next
constexpr Span kClosingWait =
    3s;  // for the last acknowledgement, before the closing fault strikes without it
constexpr Span kClosingDown = 900ms;        // without power
constexpr std::uint32_t kSteppedShare = 3;  // one machine of so many

}  // namespace

void World::strikeControl(const Trouble& trouble, std::size_t control) {
  const Span lasts = span(trouble.lasts);
  Disk& disk = core(control).disk;
  disturbCore(lasts);
  switch (trouble.kind) {
    case TroubleKind::killControl:
      kill(control, false);
      return restart(control, kDead);
    case TroubleKind::powerControl:
    case TroubleKind::wipeControl:
      kill(control, true);
      if (trouble.kind == TroubleKind::wipeControl) wipeDisk(control);
      return restart(control, lasts);
    case TroubleKind::freezeControl:
      machines_[control].frozenUntil = now_ + lasts;
      return;
    case TroubleKind::cutControl:
    case TroubleKind::cutControlOneWay:
    case TroubleKind::cutControlAsymmetric:
      return cut(waysFromCore(trouble.kind, control), lasts);
    case TroubleKind::cutCoreHalves:
      return cut(waysBetweenHalves(), lasts);
    case TroubleKind::diskSlow:
      disk.slow = std::max(1.0, trouble.part);
      return in(lasts, [&disk] { disk.slow = 1; });
    case TroubleKind::diskFull:
      return fillDisk(disk, lasts);
    case TroubleKind::diskStall:
      disk.stalledUntil = now_ + lasts;
      return;
    case TroubleKind::resetControl:
      return resetSessions(control, trouble.part);
    case TroubleKind::replaceControl:
      return replace(trouble.who % day_.controls, span(std::max(0.0, trouble.part)));
    case TroubleKind::replaceControlPlanned:
      return replacePlanned(trouble.who % day_.controls);
    case TroubleKind::clockStep:
      return stepClocks(trouble, control);
    case TroubleKind::killCore:
    case TroubleKind::powerCore:
      return strikeCore(trouble.kind == TroubleKind::powerCore, lasts);
    default:
      atAnswer_ = [this, lasts] { strikeCore(true, lasts); };
      change(trouble.who, false, true);
  }
}

void World::cut(const Ways& ways, Span lasts) {
  for (const auto& way : ways) cuts_.insert(way);
  noteCuts();
  in(lasts, [this, ways] { heal(ways); });
}

void World::heal(const Ways& ways) {
  for (const auto& way : ways) cuts_.erase(cuts_.find(way));
  noteCuts();
  for (const LinkPtr& link : links_) {
    for (const bool fromA : {true, false}) {
      const std::size_t from = fromA ? link->a : link->b;
      const std::size_t to = fromA ? link->b : link->a;
      if (isCut(from, to) || link->held[fromA].empty()) continue;
      for (std::string& text : std::exchange(link->held[fromA], {}))
        deliver(link, fromA, now_ + delay(from, to), std::move(text));
    }
  }
}

World::Ways World::waysFromCore(TroubleKind kind, std::size_t control) const {
  Ways ways;
  bool heard = true;
  for (const std::size_t other : slots_) {
    if (other == control) continue;
    const bool asymmetric = kind == TroubleKind::cutControlAsymmetric;
    if (!asymmetric || heard) ways.emplace_back(control, other);
    if (kind == TroubleKind::cutControl || (asymmetric && !heard)) ways.emplace_back(other, control);
    heard = !heard;
  }
  return ways;
}

World::Ways World::waysBetweenHalves() const {
  Ways ways;
  for (std::size_t a = 0; a < slots_.size(); ++a) {
    for (std::size_t b = 0; b < slots_.size(); ++b) {
      if ((a < slots_.size() / 2) != (b < slots_.size() / 2)) ways.emplace_back(slots_[a], slots_[b]);
    }
  }
  return ways;
}

// A process is in touch with another if words pass both ways.
void World::noteCuts() {
  for (const std::size_t control : slots_) {
    std::size_t reached = 0;
    for (const std::size_t other : slots_) {
      if (!isCut(control, other) && !isCut(other, control)) ++reached;
    }
    Span& from = core(control).cutOffFrom;
    if (reached >= majority()) {
      from = Span::max();
    } else if (from == Span::max()) {
      from = now_;
    }
  }
}

std::size_t World::addSuccessor(std::uint32_t slot) {
  const auto number = static_cast<std::uint32_t>(cores_.size());
  cores_.emplace_back();
  cores_.back().disk.used = true;  // its settings do not say that it founds the control plane
  return addMachine(true, number, machines_[slots_[slot]].zone);
}

void World::startSuccessor(std::uint32_t slot, std::size_t successor) {
  disturbCore(Span{0});
  startControl(successor);
  slots_[slot] = successor;
  in(kListLag, [this] { listed_ = slots_; });
}

void World::replace(std::uint32_t slot, Span gap) {
  const std::size_t old = slots_[slot];
  kill(old, true);
  machines_[old].gone = true;
  const std::size_t successor = addSuccessor(slot);
  in(gap, [this, slot, successor] { startSuccessor(slot, successor); });
}

void World::replacePlanned(std::uint32_t slot) {
  const std::size_t old = slots_[slot];
  startSuccessor(slot, addSuccessor(slot));
  in(kPlannedStop, [this, old] {
    disturbCore(Span{0});
    machines_[old].gone = true;
    kill(old, false);
  });
}

void World::strikeCore(bool dark, Span lasts) {
  disturbCore(lasts + 500ms);
  for (const std::size_t control : slots_) {
    kill(control, dark);
    restart(control, dark ? lasts + span(0.3 * uniform01(network_)) : kDead);
  }
}

// Processes whose life numbers are made from the time of day start just before, during and after the step.
void World::stepClocks(const Trouble& trouble, std::size_t control) {
  const std::size_t sidecar = sideAt(trouble.who % day_.sidecars);
  const auto again = [this](std::size_t machine) {
    kill(machine, false);
    restart(machine, kDead);
  };
  std::vector<std::size_t> stepped{control, sidecar};
  for (std::size_t machine = 0; machine < machines_.size(); ++machine) {
    if (machine % kSteppedShare == trouble.who % kSteppedShare) stepped.push_back(machine);
  }
  const Span step = span(std::abs(trouble.part)) * (trouble.part < 0 ? -1 : 1);
  const auto set = [this, stepped](Span by) {
    for (const std::size_t machine : stepped) machines_[machine].wallStep = by;
  };
  again(sidecar);
  in(kClockRestart, [set, again, step, sidecar, control] {
    set(step);
    again(sidecar);
    again(control);
  });
  in(std::max(span(trouble.lasts), 2 * kClockRestart), [set, again, sidecar, control] {
    set(Span{0});
    again(sidecar);
    again(control);
  });
}

void World::fillDisk(Disk& disk, Span lasts) {
  const auto set = [&disk](bool full) {
    disk.full = full;
    disk.files->full(full);
  };
  set(true);
  in(lasts, [set] { set(false); });
}

void World::closeDay() {
  if (day_.closing == Closing::none) return;
  const auto struck = std::make_shared<bool>(false);
  const auto strikeOnce = [this, struck] {
    if (!std::exchange(*struck, true)) strikeClosing();
  };
  atAnswer_ = strikeOnce;
  change(static_cast<std::uint32_t>(seed_), false, true);
  in(kClosingWait, strikeOnce);
}

void World::strikeClosing() {
  disturbCore(4s);
  const bool wipes = day_.closing == Closing::wipeOne;
  const bool othersStay = wipes && seed_ % 2 == 0;
  for (std::uint32_t i = 0; i < day_.controls; ++i) {
    const std::size_t control = coreAt(i);
    const bool wiped = wipes && i == seed_ % day_.controls;
    if (othersStay && !wiped) continue;
    kill(control, day_.closing != Closing::killAll);
    if (wiped) wipeDisk(control);
    restart(control, kClosingDown);
  }
  // Machines without a disk that counts lose power too, on half of the days.
  const bool sidecarsToo = day_.closing != Closing::killAll && !othersStay && seed_ / 2 % 2 == 0;
  for (std::uint32_t i = 0; sidecarsToo && i < day_.sidecars; ++i) {
    disturbSidecar(i, kClosingDown);
    kill(sideAt(i), true);
    restart(sideAt(i), kClosingDown + span(0.5 * uniform01(network_)));
  }
}

}  // namespace rackroute::lab::mesh::emulated
