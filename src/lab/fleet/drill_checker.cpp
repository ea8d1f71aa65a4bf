#include "lab/fleet/drill_checker.hpp"

#include <algorithm>
#include <array>
#include <sstream>

namespace rackroute::lab {
namespace {

constexpr std::uint8_t kUnknown = 4;  // distinct from all states
// For this long after a disturbance, members may be declared dead.
constexpr Span kDeathGracePeriod = std::chrono::seconds(15);
constexpr Span kWakeGracePeriod = std::chrono::seconds(3);  // after a freeze, until the refutation has spread
constexpr Span kDeathConfirmation = std::chrono::milliseconds(200);
// Minimum gap between separately measured disturbances.
constexpr Span kDisturbanceGap = std::chrono::seconds(2);
constexpr std::size_t kMaxBrokenDetails = 20;  // further violations are only counted
constexpr std::size_t kMaxPlotRows = 120;      // larger drills get no chart rows

bool seenAlive(std::uint8_t seen) {
  return seen == static_cast<std::uint8_t>(fleet::State::alive) ||
         seen == static_cast<std::uint8_t>(fleet::State::suspect);
}

}  // namespace

DrillChecker::DrillChecker(const Drill& drill, const Timetable& table, Span lag)
    : drill_(drill), lag_(lag), members_(drill.members) {
  seen_.assign(std::size_t{drill.members} * drill.members, kUnknown);
  for (const ScheduledAction& action : table.actions) {
    const bool fault =
        action.kind == ScheduledAction::Kind::faultBegins || action.kind == ScheduledAction::Kind::faultEnds;
    if (fault && !isDisturbance(drill.faults[action.member].kind)) continue;
    if (action.kind != ScheduledAction::Kind::faultBegins) {
      disturbances_.push_back({action.at, action.at});
      continue;
    }
    for (const ScheduledAction& end : table.actions) {
      if (end.kind != ScheduledAction::Kind::faultEnds || end.member != action.member) continue;
      disturbances_.push_back({action.at, end.at});
      partitions_.push_back(disturbances_.back());
    }
    if (disturbances_.empty() || disturbances_.back().from != action.at) {  // until the end
      disturbances_.push_back({action.at, drill.length});
      partitions_.push_back(disturbances_.back());
    }
  }
}

bool DrillChecker::disturbed(Span now, Span after) const {
  return std::ranges::any_of(disturbances_,
                             [&](const Window& s) { return now >= s.from && now < s.until + after; });
}

bool DrillChecker::cut(Span now) const {
  return std::ranges::any_of(
      partitions_, [&](const Window& s) { return now >= s.from && now < s.until + kDeathGracePeriod; });
}

void DrillChecker::set(std::uint32_t observer, std::uint32_t subject, std::uint8_t seen) {
  std::uint8_t& known = seen_[std::size_t{observer} * drill_.members + subject];
  if (observer != subject && seenAlive(known) != seenAlive(seen))
    members_[observer].wrong += seenAlive(seen) == members_[subject].runs ? std::uint32_t(-1) : 1U;
  known = seen;
}

void DrillChecker::runs(Span now, std::uint32_t member, bool value) {
  Member& here = members_[member];
  here.disturbedAt = now;
  if (here.runs == value) return;
  here.runs = value;
  running_ += value ? 1U : std::uint32_t(-1);
  for (std::uint32_t i = 0; i < members_.size(); ++i) {
    if (i == member) continue;
    const bool right = seenAlive(seen_[std::size_t{i} * drill_.members + member]) == value;
    members_[i].wrong += right ? std::uint32_t(-1) : 1U;
  }
}

void DrillChecker::started(Span now, std::uint32_t member) {
  runs(now, member, true);
  for (std::uint32_t i = 0; i < members_.size(); ++i) set(member, i, kUnknown);
  members_[member].hearing = fleet::Connectivity::isolated;
  members_[member].wrongSince = Span::max();
}

void DrillChecker::ended(Span now, std::uint32_t member) {
  runs(now, member, false);
  members_[member].frozen = false;
  members_[member].endedAt = now;
  members_[member].suspectedAt = Span::max();
}

void DrillChecker::frozen(Span now, std::uint32_t member, bool value) {
  members_[member].frozen = value;
  members_[member].resumedAt = now;
}

void DrillChecker::allMembersKnown() {
  for (std::uint32_t i = 0; i < members_.size(); ++i) {
    for (std::uint32_t j = 0; j < members_.size(); ++j)
      set(i, j, static_cast<std::uint8_t>(fleet::State::alive));
  }
}

void DrillChecker::observes(Span now, std::uint32_t observer, std::uint32_t subject, fleet::State state) {
  if (observer == subject) return;
  const std::uint8_t before = seen_[std::size_t{observer} * drill_.members + subject];
  set(observer, subject, static_cast<std::uint8_t>(state));
  Member& subjectState = members_[subject];
  const bool accused = state == fleet::State::suspect || state == fleet::State::dead;
  if (!subjectState.runs && accused && subjectState.suspectedAt == Span::max()) {
    subjectState.suspectedAt = now;
    suspicions_.push_back(now - subjectState.endedAt);
  }
  if (state != fleet::State::dead || before == static_cast<std::uint8_t>(state) || !subjectState.runs ||
      subjectState.frozen)
    return;
  if (now - subjectState.disturbedAt < kDeathGracePeriod || now - subjectState.resumedAt < kWakeGracePeriod ||
      cut(now) || now - subjectState.deathCountedAt < kDeathGracePeriod)
    return;
  deathReports_.push_back({now, observer, subject});
}

// A wrong death counts only if it persists: a member that was frozen processes outdated messages before those
// that correct them.
void DrillChecker::settleDeaths(Span now) {
  std::erase_if(deathReports_, [&](const DeathReport& report) {
    if (now - report.at < kDeathConfirmation) return false;
    Member& subjectState = members_[report.subject];
    const bool dead = seen_[std::size_t{report.observer} * drill_.members + report.subject] ==
                      static_cast<std::uint8_t>(fleet::State::dead);
    if (!dead || !subjectState.runs || subjectState.frozen ||
        now - subjectState.deathCountedAt < kDeathGracePeriod)
      return true;
    subjectState.deathCountedAt = now;
    ++wrongDeaths_;
    if (drill_.expected.wrongDeaths >= 0 && static_cast<double>(wrongDeaths_) > drill_.expected.wrongDeaths)
      broken(now, "no living member is declared dead", report.observer,
             std::string("holds m").append(std::to_string(report.subject)) + " dead");
    return true;
  });
}

void DrillChecker::unknown(std::uint32_t observer, std::uint32_t subject) {
  if (observer != subject) set(observer, subject, kUnknown);
}

void DrillChecker::reports(std::uint32_t member, fleet::Connectivity hearing, std::size_t safeCount) {
  members_[member].hearing = hearing;
  members_[member].safeCount = safeCount;
}

void DrillChecker::sent(Span now, std::uint32_t member, std::size_t bytes) {
  if (!disturbed(now, drill_.expected.settle)) members_[member].bytesOut += bytes;
}

void DrillChecker::received(Span now, std::uint32_t member, std::size_t bytes) {
  const auto second = static_cast<std::size_t>(now / std::chrono::seconds(1));
  Member& here = members_[member];
  if (here.receivedPerSecond.size() <= second) here.receivedPerSecond.resize(second + 1);
  ++here.receivedPerSecond[second];
  if (!disturbed(now, drill_.expected.settle)) here.bytesIn += bytes;
}

void DrillChecker::broken(Span now, const std::string& promise, std::uint32_t member,
                          const std::string& what) {
  if (broken_.size() >= kMaxBrokenDetails) {
    ++brokenOverflow_;
    return;
  }
  broken_.push_back({{"promise", promise},
                     {"second", seconds(now)},
                     {"member", std::string("m").append(std::to_string(member))},
                     {"what", what}});
}

void DrillChecker::evaluate(Span now) {
  settleDeaths(now);
  const Expectations& expected = drill_.expected;
  Span disturbance = Span::min() / 2;
  for (const Window& s : disturbances_) {
    if (s.from <= now) disturbance = std::max(disturbance, std::min(s.until, now));
  }
  if (disturbance != lastDisturbance_) {
    // Disturbances in close succession are measured as one.
    if (lastWrongViewAt_ > lastDisturbance_ && lastDisturbance_ >= Span{} &&
        disturbance - lastDisturbance_ > kDisturbanceGap)
      settleTimes_.push_back(lastWrongViewAt_ - lastDisturbance_);
    lastDisturbance_ = disturbance;
    lastWrongViewAt_ = disturbance;
  }
  const bool must =
      expected.settle > Span{} && now > expected.settle && !disturbed(now, expected.settle + lag_);
  std::uint64_t wrong = 0;
  std::array<std::uint32_t, 3> hearing{};
  for (std::uint32_t i = 0; i < members_.size(); ++i) {
    Member& member = members_[i];
    if (!member.runs || member.frozen) continue;
    ++hearing[static_cast<std::size_t>(member.hearing)];
    wrong += member.wrong;
    if (member.wrong > 0) lastWrongViewAt_ = now;
    if (must && member.wrong > 0)
      broken(now, "all views are right once settled", i,
             std::to_string(member.wrong) + " members seen wrongly");
    if (expected.safeCount && member.safeCount > 0 &&
        now - std::max(member.disturbedAt, member.resumedAt) > kDeathGracePeriod && now > kDeathGracePeriod &&
        !disturbed(now, std::chrono::seconds(5)) && member.safeCount < running_)
      broken(now, "the safe count is not below the members that run", i,
             std::to_string(member.safeCount) + " of " + std::to_string(running_));
    const bool off = expected.error > 0 &&
                     now - std::max(member.disturbedAt, member.resumedAt) > kDeathGracePeriod + lag_ &&
                     member.wrong > expected.error * static_cast<double>(running_);
    member.wrongSince = off ? std::min(member.wrongSince, now) : Span::max();
    if (off && now - member.wrongSince > expected.errorFor + lag_) {
      broken(now, "a view is never wrong by more for longer", i,
             std::to_string(member.wrong) + " seen wrongly");
      member.wrongSince = now;
    }
  }
  if (now / std::chrono::seconds(1) < nextSecond_) return;
  nextSecond_ = now / std::chrono::seconds(1) + 1;
  Json rows = Json::array();
  if (members_.size() <= kMaxPlotRows) {
    for (const Member& member : members_)
      rows.push_back(member.runs ? static_cast<std::int64_t>(member.wrong) : -1);
  }
  seconds_.push_back({{"second", seconds(now)},
                      {"running", running_},
                      {"wrong", wrong},
                      {"whole", hearing[0]},
                      {"partial", hearing[1]},
                      {"alone", hearing[2]},
                      {"rows", rows}});
}

double DrillChecker::meanFirstSuspicion() const {
  double sum = 0;
  for (const Span one : suspicions_) sum += seconds(one);
  return suspicions_.empty() ? 0 : sum / static_cast<double>(suspicions_.size());
}

Json DrillChecker::finish(Span now) {
  const Expectations& expected = drill_.expected;
  if (lastWrongViewAt_ > lastDisturbance_ && lastDisturbance_ >= Span{})
    settleTimes_.push_back(lastWrongViewAt_ - lastDisturbance_);
  double undisturbed = 0;  // seconds without disturbances
  for (Span at{}; at < now; at += std::chrono::milliseconds(100))
    undisturbed += disturbed(at, expected.settle) ? 0 : 0.1;
  std::uint32_t most = 0;
  double in = 0;
  double out = 0;
  for (std::uint32_t i = 0; i < members_.size(); ++i) {
    const Member& member = members_[i];
    in += static_cast<double>(member.bytesIn);
    out += static_cast<double>(member.bytesOut);
    for (std::size_t second = 0; second < member.receivedPerSecond.size(); ++second) {
      most = std::max(most, member.receivedPerSecond[second]);
      if (expected.messages > 0 && member.receivedPerSecond[second] > expected.messages)
        broken(std::chrono::seconds(second), "nobody gets more messages a second", i,
               std::to_string(member.receivedPerSecond[second]) + " messages");
    }
    if (!expected.hearing.empty() && member.runs && !member.frozen &&
        nameOf(member.hearing) != expected.hearing)
      broken(now, "at the end all hear " + expected.hearing, i, std::string(nameOf(member.hearing)));
  }
  const double each = undisturbed > 0 ? undisturbed * std::max(1U, running_) : 1;
  if (expected.bytes > 0 && undisturbed > 0 && std::max(in, out) / each > expected.bytes)
    broken(now, "a member costs so many bytes a second", 0, std::to_string(std::max(in, out) / each));
  Json run;
  run["drill"] = drill_.name;
  run["members"] = drill_.members;
  run["kept"] = broken_.empty();
  run["broken"] = broken_;
  run["broken_more"] = brokenOverflow_;
  Json& figures = run["figures"];
  figures["wrong_deaths"] = wrongDeaths_;
  figures["settled_s"] = Json::array();
  for (const Span one : settleTimes_) figures["settled_s"].push_back(seconds(one));
  figures["ends_suspected"] = suspicions_.size();
  figures["first_suspicion_mean_s"] = meanFirstSuspicion();
  figures["messages_most_a_second"] = most;
  figures["bytes_in_a_second"] = undisturbed > 0 ? in / each : 0;
  figures["bytes_out_a_second"] = undisturbed > 0 ? out / each : 0;
  run["seconds"] = seconds_;
  return run;
}

std::string renderSvg(const Json& run) {
  constexpr int kCell = 6;
  constexpr int kLeft = 60;
  constexpr int kTop = 24;
  const auto& all = run["seconds"];
  const std::size_t rows = all.empty() ? 0 : all[0]["rows"].size();
  const auto members = std::max(1.0, run["members"].get<double>());
  std::ostringstream svg;
  svg << "<svg xmlns=\"http://www.w3.org/2000/svg\" width=\"" << kLeft + kCell * all.size() + 10
      << "\" height=\"" << kTop + kCell * rows + 30
      << "\" font-family=\"sans-serif\" font-size=\"10\"><text x=\"4\" y=\"14\">"
      << run["drill"].get<std::string>()
      << ": each member's view over time; white: correct, dark: all wrong, grey: not running</text>";
  for (std::size_t second = 0; second < all.size(); ++second) {
    const auto& shown = all[second]["rows"];
    for (std::size_t row = 0; row < shown.size(); ++row) {
      const auto wrong = shown[row].get<std::int64_t>();
      if (wrong == 0) continue;
      const int shade =
          wrong < 0 ? 0 : static_cast<int>(230 - 200 * std::min(1.0, static_cast<double>(wrong) / members));
      svg << "<rect x=\"" << kLeft + kCell * static_cast<int>(second) << "\" y=\""
          << kTop + kCell * static_cast<int>(row) << "\" width=\"" << kCell << "\" height=\"" << kCell
          << "\" fill=\""
          << (wrong < 0 ? "#bbb" : "rgb(" + std::to_string(shade) + "," + std::to_string(shade / 2) + ",40)")
          << "\"/>";
    }
    if (second % 10 == 0)
      svg << "<text x=\"" << kLeft + kCell * static_cast<int>(second) << "\" y=\"" << kTop + kCell * rows + 14
          << "\">" << all[second]["second"].get<double>() << " s</text>";
  }
  for (std::size_t row = 0; row < rows; row += 10)
    svg << "<text x=\"4\" y=\"" << kTop + kCell * static_cast<int>(row) + 8 << "\">m" << row << "</text>";
  svg << "</svg>\n";
  return svg.str();
}

}  // namespace rackroute::lab
