#include "lab/mesh/emulated.hpp"

namespace rackroute::lab::mesh::emulated {

void World::strike(const Trouble& trouble) {
  const Span lasts = span(trouble.lasts);
  const std::size_t vise = coreAt(trouble.who % day_.vises);
  const std::size_t shuttle = sideAt(trouble.who % day_.shuttles);
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
  switch (trouble.ill) {
    case Ill::killShuttle:
      kill(shuttle, false);
      in(kDead, [this, shuttle] { startShuttle(shuttle); });
      break;
    case Ill::killVise:
      kill(vise, false);
      in(kDead, [this, vise] { startVise(vise); });
      break;
    case Ill::powerVise:
    case Ill::wipeVise:
      kill(vise, true);
      if (trouble.ill == Ill::wipeVise) core(vise).disk.synced.clear();
      in(lasts, [this, vise] { startVise(vise); });
      break;
    case Ill::freezeShuttle:
      machines_[shuttle].frozenUntil = now_ + lasts;
      break;
    case Ill::freezeVise:
      machines_[vise].frozenUntil = now_ + lasts;
      break;
    case Ill::cutShuttle: {
      std::vector<std::pair<std::size_t, std::size_t>> ways;
      for (std::uint32_t i = 0; i < day_.vises; ++i) {
        cut(shuttle, coreAt(i), true);
        ways.insert(ways.end(), {{shuttle, coreAt(i)}, {coreAt(i), shuttle}});
      }
      in(lasts, [heal, ways] { heal(ways); });
      break;
    }
    case Ill::cutVise:
    case Ill::cutViseOneWay: {
      std::vector<std::pair<std::size_t, std::size_t>> ways;
      for (std::uint32_t i = 0; i < day_.vises; ++i) {
        if (coreAt(i) == vise) continue;
        cut(vise, coreAt(i), trouble.ill == Ill::cutVise);
        ways.insert(ways.end(), {{vise, coreAt(i)}, {coreAt(i), vise}});
      }
      in(lasts, [heal, ways] { heal(ways); });
      break;
    }
    case Ill::diskSlow:
      core(vise).disk.slow = std::max(1.0, trouble.part);
      in(lasts, [this, vise] { core(vise).disk.slow = 1; });
      break;
    case Ill::diskFull:
      core(vise).disk.full = true;
      in(lasts, [this, vise] { core(vise).disk.full = false; });
      break;
    case Ill::serverLoses:
      side(shuttle).server.loses = trouble.part;
      in(lasts, [this, shuttle] { side(shuttle).server.loses = 0; });
      break;
    case Ill::serverSpoils:
      side(shuttle).server.spoils = trouble.part;
      in(lasts, [this, shuttle] { side(shuttle).server.spoils = 0; });
      break;
    case Ill::serverSlow:
      side(shuttle).server.slow = std::max(1.0, trouble.part);
      in(lasts, [this, shuttle] { side(shuttle).server.slow = 1; });
      break;
    case Ill::serverCrash:
      ++side(shuttle).server.lives;
      side(shuttle).server.up = false;
      in(lasts, [this, shuttle] { newServer(shuttle); });
      break;
    case Ill::release:
      side(shuttle).server.draining = true;
      break;
    case Ill::termShuttle:
      if (machines_[shuttle].life == 0) break;
      machines_[shuttle].leaving = true;
      act(shuttle, side(shuttle).shuttle->leave(now_));
      in(kGrace - 500ms, [this, shuttle, life = machines_[shuttle].life] {
        if (machines_[shuttle].life != life) return;
        kill(shuttle, false);
        in(kDead, [this, shuttle] { startShuttle(shuttle); });
      });
      disturb(now_ + kGrace + 1s);
      break;
    case Ill::change:
      change(trouble.who, false, false);
      break;
    case Ill::race:
      change(trouble.who, true, false);
      break;
    case Ill::badChange:
      change(trouble.who, false, true);
      break;
  }
}

void World::closeDay() {
  disturb(now_ + 5s);
  for (std::uint32_t i = 0; i < day_.vises; ++i) {
    if (day_.closing == Closing::none) break;
    const std::size_t vise = coreAt(i);
    const bool wiped = day_.closing == Closing::wipeOne && i == seed_ % day_.vises;
    if (day_.closing == Closing::wipeOne && !wiped && seed_ % 2 == 0) continue;
    kill(vise, day_.closing != Closing::killAll);
    if (wiped) core(vise).disk.synced.clear();
    in(900ms, [this, vise] {
      if (machines_[vise].life == 0) startVise(vise);
    });
  }
}

}  // namespace rackroute::lab::mesh::emulated
