#pragma once

// One day of an emulated mesh: its machines, its requests, its troubles. It is read from a file or drawn from
// a seed; it plays nothing.

#include <cstdint>
#include <string>
#include <vector>

#include "lab/scenario.hpp"

namespace rackroute::lab::mesh {

enum class TroubleKind {
  killSidecar,    // SIGKILL; the process comes back
  killControl,    // the same
  powerControl,   // loses power: what was not synced is there, missing or torn
  wipeControl,    // loses power and its disk
  freezeSidecar,  // stands still and wakes
  freezeControl,
  cutSidecar,        // from all controls
  cutControl,        // from all other controls
  cutControlOneWay,  // it hears them, and is not heard
  diskSlow,
  diskFull,
  serverLoses,   // part of the answers, after the run
  serverSpoils,  // part of the answers are no answers
  serverSlow,
  serverCrash,  // ends without a word; another life starts there
  release,      // drains, signs off, and another life starts there
  termSidecar,  // SIGTERM; comes back
  change,       // a valid change of a route's time-out and its service's weights
  race,         // two operators, two controls, the same version
  badChange,    // an invalid one
};

struct Trouble {
  TroubleKind kind = TroubleKind::change;
  double at = 0;          // seconds
  double lasts = 3;       // seconds
  std::uint32_t who = 0;  // of the kind that it strikes, by number
  double part = 0.05;     // of answers, or how many times as slow
};

enum class Closing { none, killAll, powerAll, wipeOne };

struct Day {
  std::string name = "day";
  std::uint32_t zones = 4;
  std::uint32_t controls = 4;
  std::uint32_t sidecars = 10;  // each with a server; even ones of one service, odd ones of the other
  double seconds = 30;
  double perSecond = 150;  // requests of clients
  double keyed = 0.4;      // part of them
  double effectful = 0.1;
  double again = 0.08;       // part of the keyed that come again after a good answer
  std::uint32_t slots = 12;  // of a server
  double work = 0.12;        // seconds, in the mean
  double sync = 0.003;       // seconds
  double across = 0.0009;    // seconds between zones, one way
  double keyWindow = 60;
  std::uint32_t idleRoutes = 0;  // further routes that nobody asks for
  double leastServed = 0;        // of all requests, below which the day fails
  Closing closing = Closing::none;
  std::vector<Trouble> troubles;
};

/// Throws BadScenario, naming file, line and key.
Day readDay(const std::string& file, const std::vector<Override>& overrides = {});
/// A day of that size with troubles drawn from the seed: never more controls lost at once than can be borne.
Day drawDay(std::uint64_t seed, const Day& size);
std::string nameOf(TroubleKind kind);
/// As a file that readDay reads.
std::string textOf(const Day& day);

}  // namespace rackroute::lab::mesh
