#include "lab/mesh/day.hpp"

#include <algorithm>
#include <array>
#include <sstream>
#include <utility>

#include "lab/draws.hpp"
#include "lab/section.hpp"

namespace rackroute::lab::mesh {
namespace {

constexpr std::array<std::pair<std::string_view, TroubleKind>, 20> kTroubleKinds{{
    {"kill_sidecar", TroubleKind::killSidecar},
    {"kill_control", TroubleKind::killControl},
    {"power_control", TroubleKind::powerControl},
    {"wipe_control", TroubleKind::wipeControl},
    {"freeze_sidecar", TroubleKind::freezeSidecar},
    {"freeze_control", TroubleKind::freezeControl},
    {"cut_sidecar", TroubleKind::cutSidecar},
    {"cut_control", TroubleKind::cutControl},
    {"cut_control_one_way", TroubleKind::cutControlOneWay},
    {"disk_slow", TroubleKind::diskSlow},
    {"disk_full", TroubleKind::diskFull},
    {"server_loses", TroubleKind::serverLoses},
    {"server_spoils", TroubleKind::serverSpoils},
    {"server_slow", TroubleKind::serverSlow},
    {"server_crash", TroubleKind::serverCrash},
    {"release", TroubleKind::release},
    {"term_sidecar", TroubleKind::termSidecar},
    {"change", TroubleKind::change},
    {"race", TroubleKind::race},
    {"bad_change", TroubleKind::badChange},
}};
constexpr std::array<std::pair<std::string_view, Closing>, 4> kClosingFaults{
    {{"none", Closing::none},
     {"kill_all", Closing::killAll},
     {"power_all", Closing::powerAll},
     {"wipe_one", Closing::wipeOne}}};

bool strikesControl(TroubleKind kind) {
  switch (kind) {
    case TroubleKind::killControl:
    case TroubleKind::powerControl:
    case TroubleKind::wipeControl:
    case TroubleKind::freezeControl:
    case TroubleKind::cutControl:
    case TroubleKind::cutControlOneWay:
    case TroubleKind::diskSlow:
    case TroubleKind::diskFull:
      return true;
    default:
      return false;
  }
}

}  // namespace

std::string nameOf(TroubleKind kind) {
  return std::string(std::find_if(kTroubleKinds.begin(), kTroubleKinds.end(), [&](const auto& entry) {
                       return entry.second == kind;
                     })->first);
}

Day readDay(const std::string& file, const std::vector<Override>& overrides) {
  const toml::table table = readTable(lab::textOf(file), file, overrides);
  Section top(&table, "", file);
  Day day;
  day.name = top.text("name", "day");
  day.zones = top.whole("zones", day.zones, 1, 20);
  day.controls = top.whole("controls", day.controls, 1, 20);
  day.sidecars = top.whole("sidecars", day.sidecars, 1, 2000);
  day.seconds = top.number("length_s", day.seconds, 1, kLongest);
  day.perSecond = top.number("per_s", day.perSecond, 0, 1e6);
  day.keyed = top.number("keyed", day.keyed, 0, 1);
  day.effectful = top.number("effectful", day.effectful, 0, 1);
  day.again = top.number("again", day.again, 0, 1);
  day.slots = top.whole("slots", day.slots, 1, 10000);
  day.work = top.number("work_s", day.work, 0.001, 100);
  day.sync = top.number("sync_s", day.sync, 0, 10);
  day.across = top.number("across_s", day.across, 0, 10);
  day.keyWindow = top.number("key_window_s", day.keyWindow, 1, kLongest);
  day.idleRoutes = top.whole("idle_routes", day.idleRoutes, 0, 100'000);
  day.leastServed = top.number("least_served", 0, 0, 1);
  const std::string closing = top.text("closing", "none");
  const auto ends = std::find_if(kClosingFaults.begin(), kClosingFaults.end(),
                                 [&](const auto& e) { return e.first == closing; });
  if (ends == kClosingFaults.end()) top.fail("closing", "is no closing fault");
  day.closing = ends->second;
  for (Section& entry : top.each("trouble")) {
    Trouble trouble;
    const std::string kind = entry.text("kind", "");
    const auto known = std::find_if(kTroubleKinds.begin(), kTroubleKinds.end(),
                                    [&](const auto& e) { return e.first == kind; });
    if (known == kTroubleKinds.end()) entry.fail("kind", "is no trouble");
    trouble.kind = known->second;
    trouble.at = entry.number("at_s", 5, 0, kLongest);
    trouble.lasts = entry.number("for_s", 3, 0, kLongest);
    trouble.who = entry.whole("who", 0, 0, 1e6);
    trouble.part = entry.number("part", 0.05, 0, 1000);
    entry.close();
    day.troubles.push_back(trouble);
  }
  top.close();
  return day;
}

Day drawDay(std::uint64_t seed, const Day& size) {
  Day day = size;
  day.name = "drawn-" + std::to_string(seed);
  Chance chance = chanceOf(seed, Purpose::troubles);
  const auto between = [&](double least, double most) { return least + fraction(chance) * (most - least); };
  const auto count = static_cast<std::size_t>(between(3, 9));
  // Controls are struck one after the other, each time after the last one has caught up: what is to be borne.
  double controlsFreeAt = 3;
  constexpr double kCatchUp = 4.5;
  for (std::size_t i = 0; i < count; ++i) {
    Trouble trouble;
    trouble.kind = kTroubleKinds[static_cast<std::size_t>(between(0, kTroubleKinds.size() - 0.001))].second;
    trouble.at = between(3, std::max(4.0, day.seconds - 8));
    trouble.lasts = between(0.3, 5);
    trouble.who = static_cast<std::uint32_t>(between(0, 1000));
    trouble.part = trouble.kind == TroubleKind::diskSlow || trouble.kind == TroubleKind::serverSlow
                       ? between(4, 30)
                       : between(0.01, 0.3);
    if (strikesControl(trouble.kind)) {
      trouble.at = std::max(trouble.at, controlsFreeAt);
      if (trouble.at + trouble.lasts + kCatchUp > day.seconds) continue;
      controlsFreeAt = trouble.at + trouble.lasts + kCatchUp;
    }
    day.troubles.push_back(trouble);
  }
  for (double at = 2; at < day.seconds; at += between(2, 8))
    day.troubles.push_back({fraction(chance) < 0.8 ? TroubleKind::change : TroubleKind::race, at, 0,
                            static_cast<std::uint32_t>(between(0, 1000)), 0});
  day.closing = kClosingFaults[static_cast<std::size_t>(between(0, kClosingFaults.size() - 0.001))].second;
  std::stable_sort(day.troubles.begin(), day.troubles.end(),
                   [](const Trouble& a, const Trouble& b) { return a.at < b.at; });
  return day;
}

std::string textOf(const Day& day) {
  std::ostringstream text;
  text << "name = \"" << day.name << "\"\nzones = " << day.zones << "\ncontrols = " << day.controls
       << "\nsidecars = " << day.sidecars << "\nlength_s = " << day.seconds << "\nper_s = " << day.perSecond
       << "\nkeyed = " << day.keyed << "\neffectful = " << day.effectful << "\nagain = " << day.again
       << "\nslots = " << day.slots << "\nwork_s = " << day.work << "\nsync_s = " << day.sync
       << "\nacross_s = " << day.across << "\nkey_window_s = " << day.keyWindow
       << "\nidle_routes = " << day.idleRoutes << "\nleast_served = " << day.leastServed << "\nclosing = \""
       << std::find_if(kClosingFaults.begin(), kClosingFaults.end(),
                       [&](const auto& e) { return e.second == day.closing; })
              ->first
       << "\"\n";
  for (const Trouble& trouble : day.troubles) {
    text << "\n[[trouble]]\nkind = \"" << nameOf(trouble.kind) << "\"\nat_s = " << trouble.at
         << "\nfor_s = " << trouble.lasts << "\nwho = " << trouble.who << "\npart = " << trouble.part << '\n';
  }
  return text.str();
}

}  // namespace rackroute::lab::mesh
