#include "lab/fleet/drill.hpp"

#include <algorithm>
#include <charconv>

#include "lab/toml_section.hpp"

namespace rackroute::lab {
namespace {

constexpr double kMaxMembers = 10'000;
constexpr double kMaxDrillSeconds = 7200;  // seconds

const Choices<FaultKind>& faultKinds() {
  static const Choices<FaultKind> choices = {{"cut", FaultKind::cut},
                                             {"one_way", FaultKind::oneWay},
                                             {"loss", FaultKind::loss},
                                             {"delay", FaultKind::delay},
                                             {"double", FaultKind::doubled},
                                             {"corrupt", FaultKind::corrupt},
                                             {"newer", FaultKind::newer},
                                             {"no_discovery", FaultKind::noDiscovery},
                                             {"no_servers", FaultKind::noServers},
                                             {"kill", FaultKind::kill},
                                             {"leave", FaultKind::leave},
                                             {"freeze", FaultKind::freeze},
                                             {"freezes", FaultKind::freezes},
                                             {"deaf", FaultKind::deaf},
                                             {"churn", FaultKind::churn},
                                             {"crash_loop", FaultKind::crashLoop},
                                             {"twin", FaultKind::twin}};
  return choices;
}

double numberAfter(std::string_view text, std::size_t word) {
  std::size_t from = 0;
  for (std::size_t i = 0; i < word; ++i) {
    from = text.find(' ', from);
    if (from == std::string_view::npos) return -1;
    ++from;
  }
  double number = -1;
  std::from_chars(text.data() + from, text.data() + text.size(), number);
  return number;
}

/// Resolves a group: "all", "zone 1", "half 0", "third 2", "share 0.3" or "members 3 7". False if malformed.
bool group(const Drill& drill, std::string_view text, RandomEngine& engine, std::vector<bool>& into) {
  into.assign(drill.members, false);
  const std::string_view word = text.substr(0, text.find(' '));
  const double first = numberAfter(text, 1);
  const auto each = [&](auto belongs) {
    for (std::uint32_t i = 0; i < drill.members; ++i) into[i] = belongs(i);
    return true;
  };
  if (word == "all") return each([](std::uint32_t) { return true; });
  if (first < 0) return false;
  const auto number = static_cast<std::uint32_t>(first);
  if (word == "zone") return each([&](std::uint32_t i) { return i % drill.zones == number; });
  if (word == "half") return each([&](std::uint32_t i) { return i * 2 / drill.members == number; });
  if (word == "third") return each([&](std::uint32_t i) { return i * 3 / drill.members == number; });
  if (word == "members") {
    const double last = std::max(first, numberAfter(text, 2));
    return each([&](std::uint32_t i) { return i >= number && i <= last; });
  }
  if (word != "share") return false;
  std::vector<std::uint32_t> order(drill.members);
  for (std::uint32_t i = 0; i < drill.members; ++i) order[i] = i;
  std::shuffle(order.begin(), order.end(), engine);
  const auto count = static_cast<std::size_t>(first * drill.members + 0.5);
  for (std::size_t i = 0; i < std::min<std::size_t>(count, order.size()); ++i) into[order[i]] = true;
  return true;
}

void readFaults(Section& all, Drill& drill) {
  for (Section& section : all.tables("fault")) {
    Fault fault;
    if (!section.has("kind")) section.fail("kind", "is missing");
    fault.kind = section.choice<FaultKind>("kind", FaultKind::cut, faultKinds());
    fault.at = section.seconds("at_s", 0, 0, kMaxDrillSeconds);
    fault.length = section.seconds("for_s", 0, 0, kMaxDrillSeconds);
    fault.who = section.text("who", "all");
    fault.whom =
        section.text("whom", affectsNetwork(fault.kind) && isDisturbance(fault.kind) ? "others" : "all");
    fault.share = section.number("share", 1, 0, 1);
    fault.delay = section.millis("delay_ms", 0);
    fault.least = section.seconds("least_s", 2, 0.05, kMaxDrillSeconds);
    fault.most = std::max(fault.least, section.seconds("most_s", 10, 0.05, kMaxDrillSeconds));
    fault.gap = section.seconds("gap_s", 20, 0.1, kMaxDrillSeconds);
    RandomEngine engine(1);
    std::vector<bool> members;
    for (const char* key : {"who", "whom"}) {
      const std::string& text = key == std::string_view("who") ? fault.who : fault.whom;
      if (text != "others" && !group(drill, text, engine, members))
        section.fail(key, "must be all, others, zone N, half N, third N, share X or members N M");
    }
    if (fault.kind == FaultKind::noServers && fault.whom != "all") {
      if (!fault.whom.starts_with("zone ")) section.fail("whom", "must be all or zone N for servers");
      fault.zone = static_cast<std::uint32_t>(numberAfter(fault.whom, 1));
    }
    if (fault.who == "others") section.fail("who", "others is valid in whom only");
    section.close();
    drill.faults.push_back(fault);
  }
}

}  // namespace

bool isDisturbance(FaultKind kind) {
  return kind != FaultKind::loss && kind != FaultKind::delay && kind != FaultKind::doubled &&
         kind != FaultKind::corrupt && kind != FaultKind::newer && kind != FaultKind::noDiscovery &&
         kind != FaultKind::noServers;
}

bool affectsNetwork(FaultKind kind) {
  return !isDisturbance(kind) || kind == FaultKind::cut || kind == FaultKind::oneWay;
}

Drill readDrillText(std::string_view text, const std::string& file, const std::vector<Override>& overrides) {
  const toml::table table = readTable(text, file, overrides);
  Drill drill;
  drill.file = file;
  Section all(&table, "", drill.file);
  drill.name = all.text("name", "");
  if (drill.name.empty()) all.fail("name", "is missing");
  drill.about = all.text("about", "");
  drill.length = all.seconds("length_s", 60, 1, kMaxDrillSeconds);
  Section fleet = all.sub("fleet");
  drill.members = fleet.integer("members", 10, 1, kMaxMembers);
  drill.zones = fleet.integer("zones", 3, 1, 64);
  drill.join = fleet.integer("join", 2, 0, drill.members);
  drill.startSpread = fleet.seconds("start_over_s", 1);
  drill.warm = fleet.boolean("warm", false);
  drill.period = fleet.seconds("period_s", 1, 0.1, 60);
  drill.statusInterval = fleet.seconds("ask_every_s", 0.5, 0.1);
  drill.lifeguard = fleet.boolean("lifeguard", true);
  fleet.close();
  Section network = all.sub("network");
  drill.sameZoneDelay = network.millis("same_zone_ms", 0.3);
  drill.crossZoneDelay = network.millis("cross_zone_ms", 2);
  drill.jitter = network.number("jitter", 0.3, 0, 1);
  network.close();
  readFaults(all, drill);
  Section promise = all.sub("promise");
  drill.expected.settle = promise.seconds("settle_s", 0, 0, kMaxDrillSeconds);
  drill.expected.wrongDeaths = promise.number("wrong_deaths", -1, -1, 1e6);
  drill.expected.messages = promise.number("messages_a_second", 0, 0, 1e6);
  drill.expected.bytes = promise.number("bytes_a_second", 0, 0, 1e9);
  drill.expected.error = promise.number("view_error", 0, 0, 1);
  drill.expected.errorFor = promise.seconds("view_error_for_s", 0);
  drill.expected.hearing = promise.text("hearing", "");
  drill.expected.safeCount = promise.boolean("safe_count", true);
  promise.close();
  all.close();
  return drill;
}

Drill readDrill(const std::string& file, const std::vector<Override>& overrides) {
  return readDrillText(textOf(file), file, overrides);
}

Timetable drawTimetable(const Drill& drill, std::uint64_t seed) {
  Timetable table;
  RandomEngine start = makeRandomEngine(seed, Purpose::fleet);
  const auto add = [&](Span at, ScheduledAction::Kind kind, std::uint32_t member) {
    if (at < drill.length) table.actions.push_back({at, kind, member});
  };
  for (std::uint32_t i = 0; i < drill.members; ++i)
    add(drill.warm ? Span{} : span(uniform01(start) * seconds(drill.startSpread)),
        ScheduledAction::Kind::start, i);
  for (std::uint32_t no = 0; no < drill.faults.size(); ++no) {
    const Fault& fault = drill.faults[no];
    RandomEngine engine = makeRandomEngine(seed, Purpose::troubles, no);
    table.who.emplace_back();
    table.whom.emplace_back();
    group(drill, fault.who, engine, table.who.back());
    if (fault.whom == "others") {
      table.whom.back() = table.who.back();
      table.whom.back().flip();
    } else {
      group(drill, fault.whom, engine, table.whom.back());
    }
    const Span end = fault.length > Span{} ? std::min(fault.at + fault.length, drill.length) : drill.length;
    const auto between = [&](Span least, Span most) {
      return least + span(uniform01(engine) * seconds(most - least));
    };
    if (affectsNetwork(fault.kind)) {
      add(fault.at, ScheduledAction::Kind::faultBegins, no);
      add(end, ScheduledAction::Kind::faultEnds, no);
      continue;
    }
    for (std::uint32_t i = 0; i < drill.members; ++i) {
      if (!table.who.back()[i]) continue;
      switch (fault.kind) {
        case FaultKind::kill:
        case FaultKind::leave:
          add(fault.at,
              fault.kind == FaultKind::kill ? ScheduledAction::Kind::kill : ScheduledAction::Kind::leave, i);
          if (fault.length > Span{}) add(end, ScheduledAction::Kind::start, i);
          break;
        case FaultKind::freeze:
          add(fault.at, ScheduledAction::Kind::freeze, i);
          add(end, ScheduledAction::Kind::wake, i);
          break;
        case FaultKind::freezes:
        case FaultKind::deaf:
          for (Span at = fault.at + span(uniform01(engine) * seconds(fault.gap));;) {
            const Span until = at + between(fault.least, fault.most);
            if (until >= end) break;
            const bool deaf = fault.kind == FaultKind::deaf;
            add(at, deaf ? ScheduledAction::Kind::deaf : ScheduledAction::Kind::freeze, i);
            add(until, deaf ? ScheduledAction::Kind::receives : ScheduledAction::Kind::wake, i);
            at = until + span(seconds(fault.gap) * 2 * uniform01(engine));
          }
          break;
        case FaultKind::churn: {
          const Span at = between(fault.at, end);
          add(at, ScheduledAction::Kind::leave, i);
          add(at + between(fault.least, fault.most), ScheduledAction::Kind::start, i);
          break;
        }
        case FaultKind::crashLoop:
          for (Span at = fault.at; at < end; at += fault.least) {
            add(at, ScheduledAction::Kind::kill, i);
            add(at + Span{1}, ScheduledAction::Kind::start, i);
          }
          break;
        case FaultKind::twin:
          add(fault.at, ScheduledAction::Kind::twin, i);
          break;
        default:
          break;
      }
      if (fault.kind == FaultKind::twin) break;
    }
  }
  std::ranges::stable_sort(table.actions, {}, &ScheduledAction::at);
  return table;
}

}  // namespace rackroute::lab
