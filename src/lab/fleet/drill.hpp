#pragma once

// Configuration of a membership drill, read from a TOML file: members, network, a schedule of faults and the
// expected behaviour. Used in virtual time and with real processes.

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "fleet/member.hpp"
#include "lab/random.hpp"
#include "lab/scenario.hpp"

namespace rackroute::lab {

enum class FaultKind {
  cut,          // no traffic between the two groups
  oneWay,       // no traffic from the first group to the second
  loss,         // a share of datagrams is lost
  delay,        // a share of datagrams is delayed
  doubled,      // a share of datagrams is duplicated; the copy is delayed
  corrupt,      // a share of datagrams has one byte changed
  noDiscovery,  // no traffic between members and discovery; only along with queries
  noServers,    // no traffic between members and servers (all, or of one zone); only along with queries
  newer,        // messages of the first group carry an unknown field
  kill,         // SIGKILL; restarted after for_s, if given
  leave,        // SIGTERM; restarted after for_s, if given
  freeze,       // stopped for for_s
  freezes,      // stopped repeatedly for least_s to most_s, with a mean gap of gap_s
  deaf,         // as freezes, but only received messages are lost; timers and sending continue
  churn,        // each leaves at a random time and restarts after least_s to most_s
  crashLoop,    // killed and restarted every least_s
  twin          // a second process with the name of the first member of the group
};

struct Fault {
  FaultKind kind = FaultKind::cut;
  Span at{};
  Span length{};  // 0: until the end
  std::string who;
  std::string whom;                   // "others": all except who
  std::optional<std::uint32_t> zone;  // zone of the servers; nullopt: all
  double share = 1;
  Span delay{};
  Span least{};
  Span most{};
  Span gap{};
};

/// Expected behaviour in a drill; a value of 0 is not checked.
struct Expectations {
  Span settle{};  // from the last disturbance until all views are correct and remain so
  double wrongDeaths = -1;
  double messages = 0;    // maximum received by a member in any second
  double bytes = 0;       // per second and direction, mean over members, outside of disturbances
  double error = 0;       // maximum share of wrong entries in the view of a running member ...
  Span errorFor{};        // ... for longer than this
  std::string hearing;    // state of all members at the end
  bool safeCount = true;  // no safe count is below the number of running members
};

struct Drill {
  std::string file;
  std::string name;
  std::string about;
  Span length{};
  std::uint32_t members = 0;
  std::uint32_t zones = 1;
  std::uint32_t join = 2;  // number of seed members
  Span startSpread{};
  bool warm = false;  // virtual time only: all members know each other at the start
  Span period{};
  Span statusInterval{};  // real processes only: interval of status requests to each member
  bool lifeguard = true;  // virtual time only
  Span sameZoneDelay{};
  Span crossZoneDelay{};
  double jitter = 0;
  std::vector<Fault> faults;
  Expectations expected;
};

[[nodiscard]] Drill readDrill(const std::string& file, const std::vector<Override>& overrides = {});
[[nodiscard]] Drill readDrillText(std::string_view text, const std::string& file,
                                  const std::vector<Override>& overrides = {});

/// An action on one member or on the network.
struct ScheduledAction {
  enum class Kind { start, kill, leave, freeze, wake, deaf, receives, faultBegins, faultEnds, twin };
  Span at{};
  Kind kind = Kind::start;
  std::uint32_t member = 0;  // index of the member, or of the fault for faultBegins and faultEnds
};

/// The schedule of one run: the groups of each fault and all actions in order of time.
struct Timetable {
  std::vector<ScheduledAction> actions;
  std::vector<std::vector<bool>> who;  // indexed by fault, then member
  std::vector<std::vector<bool>> whom;
};
[[nodiscard]] Timetable drawTimetable(const Drill& drill, std::uint64_t seed);
/// Whether the fault changes which members run or can reach each other; loss and similar faults do not.
[[nodiscard]] bool isDisturbance(FaultKind kind);
[[nodiscard]] bool affectsNetwork(FaultKind kind);  // acts on the network from its start to its end

}  // namespace rackroute::lab
