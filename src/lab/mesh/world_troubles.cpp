#include "lab/mesh/emulated.hpp"

namespace rackroute::lab::mesh::emulated {
namespace {

// As in the sidecar's program: when it ends after the call to stop.
constexpr Span kStillComing = 2600ms;
constexpr Span kQuiet = 300ms;
constexpr Span kLook = 50ms;
constexpr Span kBeforeKill = 400ms;

}  // namespace

void World::strike(const Trouble& trouble) {
  ++struck_[nameOf(trouble.kind)];
  const std::size_t sidecar = sideAt(trouble.who % day_.sidecars);
  switch (trouble.kind) {
    case TroubleKind::killSidecar:
    case TroubleKind::freezeSidecar:
    case TroubleKind::cutSidecar:
    case TroubleKind::resetSidecar:
    case TroubleKind::restartBeside:
    case TroubleKind::termSidecar:
    case TroubleKind::rollSidecars:
      return strikeSidecar(trouble, sidecar);
    case TroubleKind::serverLoses:
    case TroubleKind::serverSpoils:
    case TroubleKind::serverSlow:
    case TroubleKind::release:
      return strikeServer(trouble, side(sidecar).server);
    case TroubleKind::serverCrash:
      ++side(sidecar).server.lives;
      side(sidecar).server.up = false;
      return in(span(trouble.lasts), [this, sidecar] { newServer(sidecar); });
    case TroubleKind::change:
    case TroubleKind::race:
    case TroubleKind::badChange:
    case TroubleKind::changeMany:
    case TroubleKind::raceMany:
    case TroubleKind::oldChange:
    case TroubleKind::newService:
    case TroubleKind::storm:
    case TroubleKind::answersLost:
      return strikeOrders(trouble);
    case TroubleKind::resetForwards:
      throw BadScenario(day_.name + ": trouble: reset_forwards goes with real processes");
    default:
      return strikeControl(trouble, coreAt(trouble.who));
  }
}

void World::strikeOrders(const Trouble& trouble) {
  switch (trouble.kind) {
    case TroubleKind::change:
      return change(trouble.who, false, true);
    case TroubleKind::race:
      return change(trouble.who, true, true);
    case TroubleKind::badChange:
      return change(trouble.who, false, false);
    case TroubleKind::changeMany:
      return changeMany(trouble.who, false);
    case TroubleKind::raceMany:
      return changeMany(trouble.who, true);
    case TroubleKind::oldChange:
      return oldChange(trouble.who);
    case TroubleKind::newService:
      return newService(trouble.who);
    case TroubleKind::storm:
      return storm(trouble);
    default:
      answersLost_ = trouble.part;
      answersLostUntil_ = now_ + span(trouble.lasts);
  }
}

void World::strikeServer(const Trouble& trouble, Server& server) {
  const Span lasts = span(trouble.lasts);
  switch (trouble.kind) {
    case TroubleKind::serverLoses:
      server.loses = trouble.part;
      return in(lasts, [&server] { server.loses = 0; });
    case TroubleKind::serverSpoils:
      server.spoils = trouble.part;
      return in(lasts, [&server] { server.spoils = 0; });
    case TroubleKind::serverSlow:
      server.slow = std::max(1.0, trouble.part);
      return in(lasts, [&server] { server.slow = 1; });
    default:
      server.draining = true;
  }
}

void World::strikeSidecar(const Trouble& trouble, std::size_t sidecar) {
  const Span lasts = span(trouble.lasts);
  switch (trouble.kind) {
    case TroubleKind::killSidecar:
      kill(sidecar, false);
      return restart(sidecar, kDead);
    case TroubleKind::freezeSidecar:
      machines_[sidecar].frozenUntil = now_ + lasts;
      return disturbSidecar(sidecar, lasts);
    case TroubleKind::resetSidecar:
      disturbSidecar(sidecar, Span{0});
      return resetSessions(sidecar, trouble.part);
    case TroubleKind::restartBeside: {
      machines_[sidecar].firstSeed = address(coreAt(trouble.who));
      for (const std::size_t control : slots_) {
        if (core(control).cutOffFrom != Span::max()) machines_[sidecar].firstSeed = address(control);
      }
      kill(sidecar, false);
      return restart(sidecar, kDead);
    }
    case TroubleKind::termSidecar:
      return stop(sidecar, [] {});
    case TroubleKind::rollSidecars:
      return roll(sidecar, static_cast<std::uint32_t>(std::max(1.0, trouble.part)));
    default: {
      Ways ways;
      for (std::size_t control = 0; control < machines_.size(); ++control) {
        if (machines_[control].core) ways.insert(ways.end(), {{sidecar, control}, {control, sidecar}});
      }
      disturbSidecar(sidecar, lasts);
      cut(ways, lasts);
    }
  }
}

// It ends as soon as it is quiet, at the latest shortly before the platform would kill it.
void World::stop(std::size_t sidecar, std::function<void()> then) {
  Machine& m = machines_[sidecar];
  if (m.life == 0 || m.leaving) return then();
  m.leaving = true;
  act(sidecar, side(sidecar).sidecar->startDrain(now_));
  stopped(sidecar, m.life, now_, then);
}

void World::stopped(std::size_t sidecar, std::uint64_t life, Span since, const std::function<void()>& then) {
  const Machine& m = machines_[sidecar];
  if (m.life != life) return then();
  const bool quiet = side(sidecar).sidecar->inFlight() == 0 && m.lastAsked + kQuiet <= now_;
  if ((!quiet || now_ < since + kStillComing) && now_ < since + kGrace - kBeforeKill)
    return in(kLook, [this, sidecar, life, since, then] { stopped(sidecar, life, since, then); });
  kill(sidecar, false);
  restart(sidecar, kDead);
  in(kDead, then);
}

void World::roll(std::size_t sidecar, std::uint32_t left) {
  if (left == 0) return;
  const std::uint32_t next = (machines_[sidecar].number + 1) % day_.sidecars;
  stop(sidecar, [this, next, left] { roll(sideAt(next), left - 1); });
}

// Both ends of a connection hear of its reset.
void World::resetSessions(std::size_t machine, double share) {
  for (const LinkPtr& link : std::vector<LinkPtr>(links_)) {
    if (link->a != machine && link->b != machine) continue;
    if (link->open && uniform01(network_) < share) close(link, std::nullopt);
  }
  links_.erase(std::remove_if(links_.begin(), links_.end(), [](const LinkPtr& link) { return !link->open; }),
               links_.end());
}

}  // namespace rackroute::lab::mesh::emulated
