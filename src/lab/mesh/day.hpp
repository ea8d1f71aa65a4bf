#pragma once

// A day: the scenario of one run of an emulated mesh, with its machines, its request load and its faults.
// Days are read from files or generated from seeds.

#include <cstdint>
#include <string>
#include <vector>

#include "lab/scenario.hpp"

namespace rackroute::lab::mesh {

enum class FaultKind {
  killSidecar,            // SIGKILL, then a restart
  killControl,            // SIGKILL, then a restart
  powerControl,           // power loss: unsynced writes are kept, lost or torn
  wipeControl,            // power loss and loss of the disk
  freezeSidecar,          // the process is suspended, then resumed
  freezeControl,          // the process is suspended, then resumed
  cutSidecar,             // partitioned from all control nodes
  cutControl,             // partitioned from all other control nodes
  cutControlOneWay,       // receives from the other control nodes, but its own messages are lost
  diskSlow,               // syncs of a control node take `magnitude` times as long
  diskFull,               // a control node's disk rejects writes
  serverLoses,            // the server executes requests and loses `magnitude` of its responses
  serverSpoils,           // `magnitude` of the responses are malformed
  serverSlow,             // requests take `magnitude` times as long
  serverCrash,            // ends without signing off; a new instance starts in its place
  release,                // drains and signs off; a new instance starts in its place
  termSidecar,            // SIGTERM, then a restart
  change,                 // a valid change of one route
  race,                   // two operators send different values of one version to two control nodes
  badChange,              // an invalid change
  replaceControl,         // the machine is lost; after `magnitude` seconds an empty one starts elsewhere
  replaceControlPlanned,  // an empty machine starts elsewhere; a second later the old process is stopped
  cutControlAsymmetric,   // receives from some control nodes only, and is received by the others only
  cutCoreHalves,          // the control nodes are partitioned into two halves
  restartBeside,          // a sidecar restarts with a partitioned control node as its first seed
  resetControl,           // `magnitude` of a control node's sessions are reset at once
  resetSidecar,           // `magnitude` of a sidecar's sessions are reset at once
  diskStall,              // a control node's disk completes nothing
  clockStep,              // the wall clock of every third machine jumps by `magnitude` seconds and back
  killCore,               // all control nodes are killed at once
  powerCore,              // all control nodes lose power at once
  powerCoreAtAnswer,      // all control nodes lose power when a change is acknowledged
  rollSidecars,           // SIGTERM to `magnitude` sidecars in sequence
  answersLost,            // `magnitude` of the responses to operators are lost
  storm,                  // `magnitude` changes by eight concurrent operators
  changeMany,             // one change of several routes
  raceMany,               // two such changes that share one route's version
  oldChange,              // a change; once it is acknowledged, one of a lower version at another control node
  newService,             // a service; once it is acknowledged, a route to it at another control node
  resetForwards,          // `magnitude` of the connections to one sidecar are reset; real processes only
  hangUp,                 // SIGHUP to a control or sidecar process; real processes only
  termControl,            // SIGTERM, then a restart; real processes only
};

/// A fault or operator action injected during a day.
struct Fault {
  FaultKind kind = FaultKind::change;
  double at = 0;             // seconds
  double duration = 3;       // seconds
  std::uint32_t target = 0;  // index of the sidecar, control node or route, modulo their count
  double magnitude = 0.05;   // a share, a factor, seconds or a count, depending on the kind
};

/// The fault at the end of a day, before the configuration is read back.
enum class Closing { none, killAll, powerAll, wipeOne };

struct Day {
  std::string name = "day";
  std::uint32_t zones = 4;
  std::uint32_t controls = 4;
  std::uint32_t sidecars = 10;  // each with a server; services alternate
  double seconds = 30;
  double requestRate = 150;       // client requests per second
  double keyedShare = 0.4;        // of the requests
  double effectfulShare = 0.1;    // of the requests
  double repeatShare = 0.08;      // of the keyed requests that are repeated after a successful response
  double disconnectShare = 0;     // of the clients that close their connection before a response
  std::uint32_t slots = 12;       // concurrent requests of a server
  double meanServiceTime = 0.12;  // seconds
  double longShare = 0;        // of the requests on the route with the longest timeout: take longServiceTime
  double longServiceTime = 4;  // seconds
  double syncTime = 0.003;     // seconds
  double crossZoneDelay = 0.0009;  // seconds, one way
  double keyWindow = 60;
  std::uint32_t idleRoutes = 0;  // additional routes without requests
  double minServedShare = 0;     // of all requests, below which the day fails
  /// With real processes: clients keep using their connections to a sidecar that is shutting down.
  bool keepConnections = false;
  Closing closing = Closing::none;
  std::vector<Fault> faults;
};

/// Throws BadScenario, naming file, line and key.
Day readDay(const std::string& file, const std::vector<Override>& overrides = {});
/// A day of the given size on three to five control nodes, with faults of all kinds drawn from the seed. The
/// number of control nodes lost at once never exceeds what a majority tolerates; a lost node counts until
/// kCatchUpSeconds after its successor's start. Time without a majority lowers minServedShare.
Day drawDay(std::uint64_t seed, const Day& size);
/// A day for real processes: overlapping series of signals, restarts and changes, while clients keep their
/// connections. Every tenth seed has kCrowdProcesses processes.
Day drawSoak(std::uint64_t seed, const Day& size);
inline constexpr std::uint32_t kCrowdProcesses = 120;
/// Time that a control node that lost its disk is given to catch up before another one may be lost.
inline constexpr double kCatchUpSeconds = 4;
/// All kinds that the emulator supports.
std::vector<FaultKind> emulatedFaultKinds();
std::string nameOf(FaultKind kind);
/// The day in the file format that readDay parses.
std::string textOf(const Day& day);

}  // namespace rackroute::lab::mesh
