#include "lab/mesh/emulated.hpp"

namespace rackroute::lab::mesh::emulated {

void World::strike(const Trouble& trouble) {
  const Span lasts = span(trouble.lasts);
  const std::size_t control = coreAt(trouble.who % day_.controls);
  const std::size_t sidecar = sideAt(trouble.who % day_.sidecars);
  const auto cut = [&](std::size_t a, std::size_t b, bool both) {
    cuts_.insert({a, b});
    if (both) cuts_.insert({b, a});
  };
  const auto heal = [this](std::vector<std::pair<std::size_t, std::size_t>> ways) {
    for (const auto& way : ways) cuts_.erase(way);
    for (const LinkPtr& link : links_) {
      for (const bool fromA : {true, false}) {
        const std::size_t from = fromA ? link->a : link->b;
        const std::size_t to = fromA ? link->b : link->a;
        if (isCut(from, to) || link->held[fromA].empty()) continue;
        for (std::string& text : std::exchange(link->held[fromA], {}))
          deliver(link, fromA, now_ + delay(from, to), std::move(text));
      }
    }
  };
  disturb(now_ + lasts + 1s);
  switch (trouble.kind) {
    case TroubleKind::killSidecar:
      kill(sidecar, false);
      in(kDead, [this, sidecar] { startSidecar(sidecar); });
      break;
    case TroubleKind::killControl:
      kill(control, false);
      in(kDead, [this, control] { startControl(control); });
      break;
    case TroubleKind::powerControl:
    case TroubleKind::wipeControl:
      kill(control, true);
      if (trouble.kind == TroubleKind::wipeControl) core(control).disk.synced.clear();
      in(lasts, [this, control] { startControl(control); });
      break;
    case TroubleKind::freezeSidecar:
      machines_[sidecar].frozenUntil = now_ + lasts;
      break;
    case TroubleKind::freezeControl:
      machines_[control].frozenUntil = now_ + lasts;
      break;
    case TroubleKind::cutSidecar: {
      std::vector<std::pair<std::size_t, std::size_t>> ways;
      for (std::uint32_t i = 0; i < day_.controls; ++i) {
        cut(sidecar, coreAt(i), true);
        ways.insert(ways.end(), {{sidecar, coreAt(i)}, {coreAt(i), sidecar}});
      }
      in(lasts, [heal, ways] { heal(ways); });
      break;
    }
    case TroubleKind::cutControl:
    case TroubleKind::cutControlOneWay: {
      std::vector<std::pair<std::size_t, std::size_t>> ways;
      for (std::uint32_t i = 0; i < day_.controls; ++i) {
        if (coreAt(i) == control) continue;
        cut(control, coreAt(i), trouble.kind == TroubleKind::cutControl);
        ways.insert(ways.end(), {{control, coreAt(i)}, {coreAt(i), control}});
      }
      in(lasts, [heal, ways] { heal(ways); });
      break;
    }
    case TroubleKind::diskSlow:
      core(control).disk.slow = std::max(1.0, trouble.part);
      in(lasts, [this, control] { core(control).disk.slow = 1; });
      break;
    case TroubleKind::diskFull:
      core(control).disk.full = true;
      in(lasts, [this, control] { core(control).disk.full = false; });
      break;
    case TroubleKind::serverLoses:
      side(sidecar).server.loses = trouble.part;
      in(lasts, [this, sidecar] { side(sidecar).server.loses = 0; });
      break;
    case TroubleKind::serverSpoils:
      side(sidecar).server.spoils = trouble.part;
      in(lasts, [this, sidecar] { side(sidecar).server.spoils = 0; });
      break;
    case TroubleKind::serverSlow:
      side(sidecar).server.slow = std::max(1.0, trouble.part);
      in(lasts, [this, sidecar] { side(sidecar).server.slow = 1; });
      break;
    case TroubleKind::serverCrash:
      ++side(sidecar).server.lives;
      side(sidecar).server.up = false;
      in(lasts, [this, sidecar] { newServer(sidecar); });
      break;
    case TroubleKind::release:
      side(sidecar).server.draining = true;
      break;
    case TroubleKind::termSidecar:
      if (machines_[sidecar].life == 0) break;
      machines_[sidecar].leaving = true;
      act(sidecar, side(sidecar).sidecar->leave(now_));
      in(kGrace - 500ms, [this, sidecar, life = machines_[sidecar].life] {
        if (machines_[sidecar].life != life) return;
        kill(sidecar, false);
        in(kDead, [this, sidecar] { startSidecar(sidecar); });
      });
      disturb(now_ + kGrace + 1s);
      break;
    case TroubleKind::change:
      change(trouble.who, false, false);
      break;
    case TroubleKind::race:
      change(trouble.who, true, false);
      break;
    case TroubleKind::badChange:
      change(trouble.who, false, true);
      break;
  }
}

void World::closeDay() {
  disturb(now_ + 5s);
  for (std::uint32_t i = 0; i < day_.controls; ++i) {
    if (day_.closing == Closing::none) break;
    const std::size_t control = coreAt(i);
    const bool wiped = day_.closing == Closing::wipeOne && i == seed_ % day_.controls;
    if (day_.closing == Closing::wipeOne && !wiped && seed_ % 2 == 0) continue;
    kill(control, day_.closing != Closing::killAll);
    if (wiped) core(control).disk.synced.clear();
    in(900ms, [this, control] {
      if (machines_[control].life == 0) startControl(control);
    });
  }
}

}  // namespace rackroute::lab::mesh::emulated
