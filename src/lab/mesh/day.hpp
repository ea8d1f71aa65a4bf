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
  serverCrash,     // ends without a word; another life starts there
  release,         // drains, signs off, and another life starts there
  termSidecar,     // SIGTERM; comes back
  change,          // a valid change of a route's time-out and its service's weights
  race,            // two operators, two controls, the same version
  badChange,       // an invalid one
  replaceControl,  // its machine is gone for good; after `part` seconds an empty one at another address
  replaceControlPlanned,  // an empty one at another address first; after a second the old process is stopped
  cutControlAsymmetric,   // hears only some of the other controls, and is heard only by the others
  cutCoreHalves,          // the controls in two halves, from each other
  restartBeside,          // a sidecar comes back with a control that is cut off as its first seed
  resetControl,           // `part` of its sessions are reset at once
  resetSidecar,
  diskStall,          // a control's disk answers nothing
  clockStep,          // the time of day of every third machine jumps by `part` seconds and returns
  killCore,           // all controls are killed at once
  powerCore,          // all controls lose power at once
  powerCoreAtAnswer,  // the same in the moment in which a change is acknowledged
  rollSidecars,       // SIGTERM to several sidecars, one after the other, each while it has work
  answersLost,        // `part` of the answers to operators
  storm,              // `part` changes by eight operators at once
  changeMany,         // one change of several routes
  raceMany,           // two such changes that share one route's version
  oldChange,          // a change, and after its acknowledgement one of a lower version, at another control
  newService,         // a service, and after its acknowledgement a route to it, at another control
  resetForwards,      // part of the connections between sidecars, to one of them; processes only
  hangUp,             // SIGHUP to a machine's process, whichever it is; processes only
};

struct Trouble {
  TroubleKind kind = TroubleKind::change;
  double at = 0;          // seconds
  double lasts = 3;       // seconds
  std::uint32_t who = 0;  // of the kind that it strikes, by number
  double part = 0.05;     // of answers or sessions, times as slow, seconds, or a count: see TroubleKind
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
  double leaving = 0;        // part of the clients that close their connection before an answer
  std::uint32_t slots = 12;  // of a server
  double work = 0.12;        // seconds, in the mean
  double sync = 0.003;       // seconds
  double across = 0.0009;    // seconds between zones, one way
  double keyWindow = 60;
  std::uint32_t idleRoutes = 0;  // further routes that nobody asks for
  double leastServed = 0;        // of all requests, below which the day fails
  /// With processes: clients go on over their open connections to a sidecar that was told to end, until it is
  /// gone.
  bool clientsStay = false;
  Closing closing = Closing::none;
  std::vector<Trouble> troubles;
};

/// Throws BadScenario, naming file, line and key.
Day readDay(const std::string& file, const std::vector<Override>& overrides = {});
/// A day of that size with troubles of all kinds drawn from the seed, on three to five controls: never more
/// of them lost at once than a majority can bear. A lost machine counts until kCatchUpSeconds after its
/// successor's start. Time without any majority is taken off leastServed.
Day drawDay(std::uint64_t seed, const Day& size);
/// A day for real processes: series of signals, restarts and changes that come close together and overlap,
/// while clients stay with what they are connected to. Every tenth seed has kCrowd processes.
Day drawSoak(std::uint64_t seed, const Day& size);
inline constexpr std::uint32_t kCrowd = 120;
/// What a control process that lost its disk has to catch up before the next may be lost.
inline constexpr double kCatchUpSeconds = 4;
/// Every kind there is.
std::vector<TroubleKind> allTroubleKinds();
std::string nameOf(TroubleKind kind);
/// As a file that readDay reads.
std::string textOf(const Day& day);

}  // namespace rackroute::lab::mesh
