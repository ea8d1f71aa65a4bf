#include "lab/mesh/day.hpp"

#include <algorithm>
#include <array>
#include <sstream>
#include <utility>

#include "lab/toml_section.hpp"

namespace rackroute::lab::mesh {
namespace {

constexpr std::array<std::pair<std::string_view, FaultKind>, 42> kFaultKinds{{
    {"kill_sidecar", FaultKind::killSidecar},
    {"kill_control", FaultKind::killControl},
    {"power_control", FaultKind::powerControl},
    {"wipe_control", FaultKind::wipeControl},
    {"freeze_sidecar", FaultKind::freezeSidecar},
    {"freeze_control", FaultKind::freezeControl},
    {"cut_sidecar", FaultKind::cutSidecar},
    {"cut_control", FaultKind::cutControl},
    {"cut_control_one_way", FaultKind::cutControlOneWay},
    {"disk_slow", FaultKind::diskSlow},
    {"disk_full", FaultKind::diskFull},
    {"server_loses", FaultKind::serverLoses},
    {"server_spoils", FaultKind::serverSpoils},
    {"server_slow", FaultKind::serverSlow},
    {"server_crash", FaultKind::serverCrash},
    {"release", FaultKind::release},
    {"term_sidecar", FaultKind::termSidecar},
    {"change", FaultKind::change},
    {"race", FaultKind::race},
    {"bad_change", FaultKind::badChange},
    {"replace_control", FaultKind::replaceControl},
    {"replace_control_planned", FaultKind::replaceControlPlanned},
    {"cut_control_asymmetric", FaultKind::cutControlAsymmetric},
    {"cut_core_halves", FaultKind::cutCoreHalves},
    {"restart_beside", FaultKind::restartBeside},
    {"reset_control", FaultKind::resetControl},
    {"reset_sidecar", FaultKind::resetSidecar},
    {"disk_stall", FaultKind::diskStall},
    {"clock_step", FaultKind::clockStep},
    {"kill_core", FaultKind::killCore},
    {"power_core", FaultKind::powerCore},
    {"power_core_at_answer", FaultKind::powerCoreAtAnswer},
    {"roll_sidecars", FaultKind::rollSidecars},
    {"answers_lost", FaultKind::answersLost},
    {"storm", FaultKind::storm},
    {"change_many", FaultKind::changeMany},
    {"race_many", FaultKind::raceMany},
    {"old_change", FaultKind::oldChange},
    {"new_service", FaultKind::newService},
    {"reset_forwards", FaultKind::resetForwards},
    {"hang_up", FaultKind::hangUp},
    {"term_control", FaultKind::termControl},
}};
constexpr std::array<std::pair<std::string_view, Closing>, 4> kClosingFaults{
    {{"none", Closing::none},
     {"kill_all", Closing::killAll},
     {"power_all", Closing::powerAll},
     {"wipe_one", Closing::wipeOne}}};

}  // namespace

std::string nameOf(FaultKind kind) {
  return std::string(std::find_if(kFaultKinds.begin(), kFaultKinds.end(), [&](const auto& entry) {
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
  day.requestRate = top.number("per_s", day.requestRate, 0, 1e6);
  day.keyedShare = top.number("keyed", day.keyedShare, 0, 1);
  day.effectfulShare = top.number("effectful", day.effectfulShare, 0, 1);
  day.repeatShare = top.number("again", day.repeatShare, 0, 1);
  day.disconnectShare = top.number("leaving", day.disconnectShare, 0, 1);
  day.slots = top.integer("slots", day.slots, 1, 10000);
  day.meanServiceTime = top.number("work_s", day.meanServiceTime, 0.001, 100);
  day.longShare = top.number("long_share", day.longShare, 0, 1);
  day.longServiceTime = top.number("long_s", day.longServiceTime, 0.001, 100);
  day.syncTime = top.number("sync_s", day.syncTime, 0, 10);
  day.crossZoneDelay = top.number("across_s", day.crossZoneDelay, 0, 10);
  day.keyWindow = top.number("key_window_s", day.keyWindow, 1, kMaxDurationSeconds);
  day.idleRoutes = top.integer("idle_routes", day.idleRoutes, 0, 100'000);
  day.minServedShare = top.number("least_served", 0, 0, 1);
  day.keepConnections = top.boolean("clients_stay", day.keepConnections);
  const std::string closing = top.text("closing", "none");
  const auto found = std::find_if(kClosingFaults.begin(), kClosingFaults.end(),
                                  [&](const auto& e) { return e.first == closing; });
  if (found == kClosingFaults.end()) top.fail("closing", "is not a closing fault");
  day.closing = found->second;
  for (Section& entry : top.tables("trouble")) {
    Fault fault;
    const std::string kind = entry.text("kind", "");
    const auto known =
        std::find_if(kFaultKinds.begin(), kFaultKinds.end(), [&](const auto& e) { return e.first == kind; });
    if (known == kFaultKinds.end()) entry.fail("kind", "is not a known kind");
    fault.kind = known->second;
    fault.at = entry.number("at_s", 5, 0, kMaxDurationSeconds);
    fault.duration = entry.number("for_s", 3, 0, kMaxDurationSeconds);
    fault.target = entry.integer("who", 0, 0, 1e6);
    fault.magnitude = entry.number("part", 0.05, -1000, 1000);
    entry.close();
    day.faults.push_back(fault);
  }
  top.close();
  return day;
}

std::vector<FaultKind> emulatedFaultKinds() {
  std::vector<FaultKind> kinds;
  for (const auto& entry : kFaultKinds) {
    const bool processesOnly = entry.second == FaultKind::resetForwards ||
                               entry.second == FaultKind::hangUp || entry.second == FaultKind::termControl;
    if (!processesOnly) kinds.push_back(entry.second);
  }
  return kinds;
}

std::string textOf(const Day& day) {
  std::ostringstream text;
  text << "name = \"" << day.name << "\"\nzones = " << day.zones << "\ncontrols = " << day.controls
       << "\nsidecars = " << day.sidecars << "\nlength_s = " << day.seconds << "\nper_s = " << day.requestRate
       << "\nkeyed = " << day.keyedShare << "\neffectful = " << day.effectfulShare
       << "\nagain = " << day.repeatShare << "\nleaving = " << day.disconnectShare
       << "\nslots = " << day.slots << "\nwork_s = " << day.meanServiceTime
       << "\nlong_share = " << day.longShare << "\nlong_s = " << day.longServiceTime
       << "\nsync_s = " << day.syncTime << "\nacross_s = " << day.crossZoneDelay
       << "\nkey_window_s = " << day.keyWindow << "\nidle_routes = " << day.idleRoutes
       << "\nleast_served = " << day.minServedShare
       << "\nclients_stay = " << (day.keepConnections ? "true" : "false") << "\nclosing = \""
       << std::find_if(kClosingFaults.begin(), kClosingFaults.end(),
                       [&](const auto& e) { return e.second == day.closing; })
              ->first
       << "\"\n";
  for (const Fault& fault : day.faults) {
    text << "\n[[trouble]]\nkind = \"" << nameOf(fault.kind) << "\"\nat_s = " << fault.at
         << "\nfor_s = " << fault.duration << "\nwho = " << fault.target << "\npart = " << fault.magnitude
         << '\n';
  }
  return text.str();
}

}  // namespace rackroute::lab::mesh
