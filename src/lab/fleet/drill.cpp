#include "lab/fleet/drill.hpp"

#include <algorithm>
#include <charconv>

#include "lab/section.hpp"

namespace rackroute::lab {
namespace {

constexpr double kMostMembers = 10'000;
constexpr double kLongestDrill = 7200;  // seconds

const Words<FaultKind>& faultKinds() {
  static const Words<FaultKind> words = {{"cut", FaultKind::cut},
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
  return words;
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

/// "all", "zone 1", "half 0", "third 2", "share 0.3", "members 3 7": the members of a group.
bool group(const Drill& drill, std::string_view text, Chance& chance, std::vector<bool>& into) {
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
  std::shuffle(order.begin(), order.end(), chance);
  const auto count = static_cast<std::size_t>(first * drill.members + 0.5);
  for (std::size_t i = 0; i < std::min<std::size_t>(count, order.size()); ++i) into[order[i]] = true;
  return true;
}

void readFaults(Section& all, Drill& drill) {
  for (Section& section : all.each("fault")) {
    Fault fault;
    if (!section.has("kind")) section.fail("kind", "is missing");
    fault.kind = section.word<FaultKind>("kind", FaultKind::cut, faultKinds());
    fault.at = section.seconds("at_s", 0, 0, kLongestDrill);
    fault.length = section.seconds("for_s", 0, 0, kLongestDrill);
    fault.who = section.text("who", "all");
    fault.whom = section.text("whom", lasts(fault.kind) && disturbs(fault.kind) ? "others" : "all");
    fault.share = section.number("share", 1, 0, 1);
    fault.delay = section.millis("delay_ms", 0);
    fault.least = section.seconds("least_s", 2, 0.05, kLongestDrill);
    fault.most = std::max(fault.least, section.seconds("most_s", 10, 0.05, kLongestDrill));
    fault.gap = section.seconds("gap_s", 20, 0.1, kLongestDrill);
    Chance chance(1);
    std::vector<bool> members;
    for (const char* key : {"who", "whom"}) {
      const std::string& text = key == std::string_view("who") ? fault.who : fault.whom;
      if (text != "others" && !group(drill, text, chance, members))
        section.fail(key, "wants all, others, zone N, half N, third N, share X or members N M");
    }
    if (fault.kind == FaultKind::noServers && fault.whom != "all") {
      if (!fault.whom.starts_with("zone ")) section.fail("whom", "of servers: wants all or zone N");
      fault.zone = static_cast<std::uint32_t>(numberAfter(fault.whom, 1));
    }
    if (fault.who == "others") section.fail("who", "others goes with whom");
    section.close();
    drill.faults.push_back(fault);
  }
}

}  // namespace

bool disturbs(FaultKind kind) {
  return kind != FaultKind::loss && kind != FaultKind::delay && kind != FaultKind::doubled &&
         kind != FaultKind::corrupt && kind != FaultKind::newer && kind != FaultKind::noDiscovery &&
         kind != FaultKind::noServers;
}

bool lasts(FaultKind kind) { return !disturbs(kind) || kind == FaultKind::cut || kind == FaultKind::oneWay; }

Drill readDrillText(std::string_view text, const std::string& file, const std::vector<Override>& overrides) {
  const toml::table table = readTable(text, file, overrides);
  Drill drill;
  drill.file = file;
  Section all(&table, "", drill.file);
  drill.name = all.text("name", "");
  if (drill.name.empty()) all.fail("name", "is missing");
  drill.about = all.text("about", "");
  drill.length = all.seconds("length_s", 60, 1, kLongestDrill);
  Section fleet = all.sub("fleet");
  drill.members = fleet.whole("members", 10, 1, kMostMembers);
  drill.zones = fleet.whole("zones", 3, 1, 64);
  drill.join = fleet.whole("join", 2, 0, drill.members);
  drill.startOver = fleet.seconds("start_over_s", 1);
  drill.warm = fleet.yes("warm", false);
  drill.period = fleet.seconds("period_s", 1, 0.1, 60);
  drill.askEvery = fleet.seconds("ask_every_s", 0.5, 0.1);
  drill.lifeguard = fleet.yes("lifeguard", true);
  fleet.close();
  Section network = all.sub("network");
  drill.sameZone = network.millis("same_zone_ms", 0.3);
  drill.crossZone = network.millis("cross_zone_ms", 2);
  drill.jitter = network.number("jitter", 0.3, 0, 1);
  network.close();
  readFaults(all, drill);
  Section promise = all.sub("promise");
  drill.promised.settle = promise.seconds("settle_s", 0, 0, kLongestDrill);
  drill.promised.wrongDeaths = promise.number("wrong_deaths", -1, -1, 1e6);
  drill.promised.messages = promise.number("messages_a_second", 0, 0, 1e6);
  drill.promised.bytes = promise.number("bytes_a_second", 0, 0, 1e9);
  drill.promised.error = promise.number("view_error", 0, 0, 1);
  drill.promised.errorFor = promise.seconds("view_error_for_s", 0);
  drill.promised.hearing = promise.text("hearing", "");
  drill.promised.safe = promise.yes("safe_count", true);
  promise.close();
  all.close();
  return drill;
}

Drill readDrill(const std::string& file, const std::vector<Override>& overrides) {
  return readDrillText(textOf(file), file, overrides);
}

Timetable draw(const Drill& drill, std::uint64_t seed) {
  Timetable table;
  Chance start = chanceOf(seed, Purpose::fleet);
  const auto add = [&](Span at, Deed::Kind kind, std::uint32_t member) {
    if (at < drill.length) table.deeds.push_back({at, kind, member});
  };
  for (std::uint32_t i = 0; i < drill.members; ++i)
    add(drill.warm ? Span{} : span(fraction(start) * seconds(drill.startOver)), Deed::Kind::start, i);
  for (std::uint32_t no = 0; no < drill.faults.size(); ++no) {
    const Fault& fault = drill.faults[no];
    Chance chance = chanceOf(seed, Purpose::troubles, no);
    table.who.emplace_back();
    table.whom.emplace_back();
    group(drill, fault.who, chance, table.who.back());
    if (fault.whom == "others") {
      table.whom.back() = table.who.back();
      table.whom.back().flip();
    } else {
      group(drill, fault.whom, chance, table.whom.back());
    }
    const Span end = fault.length > Span{} ? std::min(fault.at + fault.length, drill.length) : drill.length;
    const auto between = [&](Span least, Span most) {
      return least + span(fraction(chance) * seconds(most - least));
    };
    if (lasts(fault.kind)) {
      add(fault.at, Deed::Kind::faultBegins, no);
      add(end, Deed::Kind::faultEnds, no);
      continue;
    }
    for (std::uint32_t i = 0; i < drill.members; ++i) {
      if (!table.who.back()[i]) continue;
      switch (fault.kind) {
        case FaultKind::kill:
        case FaultKind::leave:
          add(fault.at, fault.kind == FaultKind::kill ? Deed::Kind::kill : Deed::Kind::leave, i);
          if (fault.length > Span{}) add(end, Deed::Kind::start, i);
          break;
        case FaultKind::freeze:
          add(fault.at, Deed::Kind::freeze, i);
          add(end, Deed::Kind::wake, i);
          break;
        case FaultKind::freezes:
        case FaultKind::deaf:
          for (Span at = fault.at + span(fraction(chance) * seconds(fault.gap));;) {
            const Span until = at + between(fault.least, fault.most);
            if (until >= end) break;
            const bool deaf = fault.kind == FaultKind::deaf;
            add(at, deaf ? Deed::Kind::deaf : Deed::Kind::freeze, i);
            add(until, deaf ? Deed::Kind::hears : Deed::Kind::wake, i);
            at = until + span(seconds(fault.gap) * 2 * fraction(chance));
          }
          break;
        case FaultKind::churn: {
          const Span at = between(fault.at, end);
          add(at, Deed::Kind::leave, i);
          add(at + between(fault.least, fault.most), Deed::Kind::start, i);
          break;
        }
        case FaultKind::crashLoop:
          for (Span at = fault.at; at < end; at += fault.least) {
            add(at, Deed::Kind::kill, i);
            add(at + Span{1}, Deed::Kind::start, i);
          }
          break;
        case FaultKind::twin:
          add(fault.at, Deed::Kind::twin, i);
          break;
        default:
          break;
      }
      if (fault.kind == FaultKind::twin) break;
    }
  }
  std::ranges::stable_sort(table.deeds, {}, &Deed::at);
  return table;
}

}  // namespace rackroute::lab
