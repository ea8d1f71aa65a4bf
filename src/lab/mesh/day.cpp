#include "lab/mesh/day.hpp"

#include <algorithm>
#include <array>
#include <sstream>
#include <utility>

#include "lab/toml_section.hpp"

namespace rackroute::lab::mesh {
namespace {

constexpr std::array<std::pair<std::string_view, TroubleKind>, 41> kTroubleKinds{{
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
    {"replace_control", TroubleKind::replaceControl},
    {"replace_control_planned", TroubleKind::replaceControlPlanned},
    {"cut_control_asymmetric", TroubleKind::cutControlAsymmetric},
    {"cut_core_halves", TroubleKind::cutCoreHalves},
    {"restart_beside", TroubleKind::restartBeside},
    {"reset_control", TroubleKind::resetControl},
    {"reset_sidecar", TroubleKind::resetSidecar},
    {"disk_stall", TroubleKind::diskStall},
    {"clock_step", TroubleKind::clockStep},
    {"kill_core", TroubleKind::killCore},
    {"power_core", TroubleKind::powerCore},
    {"power_core_at_answer", TroubleKind::powerCoreAtAnswer},
    {"roll_sidecars", TroubleKind::rollSidecars},
    {"answers_lost", TroubleKind::answersLost},
    {"storm", TroubleKind::storm},
    {"change_many", TroubleKind::changeMany},
    {"race_many", TroubleKind::raceMany},
    {"old_change", TroubleKind::oldChange},
    {"new_service", TroubleKind::newService},
    {"reset_forwards", TroubleKind::resetForwards},
    {"hang_up", TroubleKind::hangUp},
}};
constexpr std::array<std::pair<std::string_view, Closing>, 4> kClosingFaults{
    {{"none", Closing::none},
     {"kill_all", Closing::killAll},
     {"power_all", Closing::powerAll},
     {"wipe_one", Closing::wipeOne}}};

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
  day.zones = top.integer("zones", day.zones, 1, 20);
  day.controls = top.integer("controls", day.controls, 1, 20);
  day.sidecars = top.integer("sidecars", day.sidecars, 1, 2000);
  day.seconds = top.number("length_s", day.seconds, 1, kMaxDurationSeconds);
  day.perSecond = top.number("per_s", day.perSecond, 0, 1e6);
  day.keyed = top.number("keyed", day.keyed, 0, 1);
  day.effectful = top.number("effectful", day.effectful, 0, 1);
  day.again = top.number("again", day.again, 0, 1);
  day.leaving = top.number("leaving", day.leaving, 0, 1);
  day.slots = top.integer("slots", day.slots, 1, 10000);
  day.work = top.number("work_s", day.work, 0.001, 100);
  day.sync = top.number("sync_s", day.sync, 0, 10);
  day.across = top.number("across_s", day.across, 0, 10);
  day.keyWindow = top.number("key_window_s", day.keyWindow, 1, kMaxDurationSeconds);
  day.idleRoutes = top.integer("idle_routes", day.idleRoutes, 0, 100'000);
  day.leastServed = top.number("least_served", 0, 0, 1);
  day.clientsStay = top.boolean("clients_stay", day.clientsStay);
  const std::string closing = top.text("closing", "none");
  const auto ends = std::find_if(kClosingFaults.begin(), kClosingFaults.end(),
                                 [&](const auto& e) { return e.first == closing; });
  if (ends == kClosingFaults.end()) top.fail("closing", "is no closing fault");
  day.closing = ends->second;
  for (Section& entry : top.tables("trouble")) {
    Trouble trouble;
    const std::string kind = entry.text("kind", "");
    const auto known = std::find_if(kTroubleKinds.begin(), kTroubleKinds.end(),
                                    [&](const auto& e) { return e.first == kind; });
    if (known == kTroubleKinds.end()) entry.fail("kind", "is no trouble");
    trouble.kind = known->second;
    trouble.at = entry.number("at_s", 5, 0, kMaxDurationSeconds);
    trouble.lasts = entry.number("for_s", 3, 0, kMaxDurationSeconds);
    trouble.who = entry.integer("who", 0, 0, 1e6);
    trouble.part = entry.number("part", 0.05, -1000, 1000);
    entry.close();
    day.troubles.push_back(trouble);
  }
  top.close();
  return day;
}

std::vector<TroubleKind> allTroubleKinds() {
  std::vector<TroubleKind> kinds;
  for (const auto& entry : kTroubleKinds) {
    const bool onProcesses =
        entry.second == TroubleKind::resetForwards || entry.second == TroubleKind::hangUp;
    if (!onProcesses) kinds.push_back(entry.second);
  }
  return kinds;
}

std::string textOf(const Day& day) {
  std::ostringstream text;
  text << "name = \"" << day.name << "\"\nzones = " << day.zones << "\ncontrols = " << day.controls
       << "\nsidecars = " << day.sidecars << "\nlength_s = " << day.seconds << "\nper_s = " << day.perSecond
       << "\nkeyed = " << day.keyed << "\neffectful = " << day.effectful << "\nagain = " << day.again
       << "\nleaving = " << day.leaving << "\nslots = " << day.slots << "\nwork_s = " << day.work
       << "\nsync_s = " << day.sync << "\nacross_s = " << day.across << "\nkey_window_s = " << day.keyWindow
       << "\nidle_routes = " << day.idleRoutes << "\nleast_served = " << day.leastServed
       << "\nclients_stay = " << (day.clientsStay ? "true" : "false") << "\nclosing = \""
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
