#pragma once

// A drill for a fleet's members: how many, what passes between them, the faults on a timetable and what is
// promised, read from a TOML file. The same for virtual time and for real processes. It owns no state of a
// run.

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "fleet/member.hpp"
#include "lab/draws.hpp"
#include "lab/scenario.hpp"

namespace rackroute::lab {

enum class FaultKind {
  cut,          // nothing passes between the two groups
  oneWay,       // nothing passes from the first to the second
  loss,         // a share of datagrams is lost
  delay,        // a share of them comes later
  doubled,      // a share of them comes twice, the second one later
  corrupt,      // a share of them has a byte changed
  noDiscovery,  // nothing passes between members and discovery; beside queries only
  noServers,    // nothing passes between members and servers, all or those of a zone; beside queries only
  newer,        // what the first group says has a field that nobody knows yet
  kill,         // at once; starts anew after for_s, if that is given
  leave,        // by TERM; the same
  freeze,       // for_s
  freezes,      // each now and then, from least_s to most_s, with gap_s between in the mean
  deaf,         // the same, but it only hears nothing of others: its timers run, and what it says arrives
  churn,        // each leaves at a moment drawn, and starts anew after least_s to most_s
  crashLoop,    // killed and started anew every least_s
  twin          // a second process with the name of the first one of the group
};

struct Fault {
  FaultKind kind = FaultKind::cut;
  Span at{};
  Span length{};  // 0: to the end
  std::string who;
  std::string whom;                   // "others": all but who
  std::optional<std::uint32_t> zone;  // of the servers; none: all of them
  double share = 1;
  Span delay{};
  Span least{};
  Span most{};
  Span gap{};
};

/// What is promised of a drill; nothing where it is 0.
struct Promised {
  Span settle{};  // from the last disturbance until all views are right, and stay so
  double wrongDeaths = -1;
  double messages = 0;  // that anyone gets in any second
  double bytes = 0;     // a second each way, in the mean over members, outside of disturbances
  double error = 0;     // share of the members that a stayer's view has wrong ...
  Span errorFor{};      // ... for so long
  std::string hearing;  // of all at the end
  bool safe = true;     // no safe count is below the members that run
};

struct Drill {
  std::string file;
  std::string name;
  std::string about;
  Span length{};
  std::uint32_t members = 0;
  std::uint32_t zones = 1;
  std::uint32_t join = 2;  // the first ones, whose addresses all are told
  Span startOver{};
  bool warm = false;  // virtual time only: all know each other at the start
  Span period{};
  Span askEvery{};        // real processes only: each member's door, what it sees
  bool lifeguard = true;  // virtual time only
  Span sameZone{};
  Span crossZone{};
  double jitter = 0;
  std::vector<Fault> faults;
  Promised promised;
};

[[nodiscard]] Drill readDrill(const std::string& file, const std::vector<Override>& overrides = {});
[[nodiscard]] Drill readDrillText(std::string_view text, const std::string& file,
                                  const std::vector<Override>& overrides = {});

/// What is done to one member, or to what passes between all.
struct Deed {
  enum class Kind { start, kill, leave, freeze, wake, deaf, hears, faultBegins, faultEnds, twin };
  Span at{};
  Kind kind = Kind::start;
  std::uint32_t member = 0;  // or the fault
};

/// A drawn run of a drill: who is in each fault's groups, and all deeds in their order.
struct Timetable {
  std::vector<Deed> deeds;
  std::vector<std::vector<bool>> who;  // by fault, then member
  std::vector<std::vector<bool>> whom;
};
[[nodiscard]] Timetable draw(const Drill& drill, std::uint64_t seed);
/// Whether it changes who runs or who can reach whom; weather, such as loss, does not.
[[nodiscard]] bool disturbs(FaultKind kind);
[[nodiscard]] bool lasts(FaultKind kind);  // from its beginning to its end, on what passes

}  // namespace rackroute::lab
