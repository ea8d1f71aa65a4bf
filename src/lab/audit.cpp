#include "lab/audit.hpp"

#include <algorithm>
#include <array>
#include <cstdio>
#include <utility>

#include "lab/draws.hpp"

namespace rackroute::lab {
namespace {

using namespace std::chrono_literals;

constexpr std::size_t kMostBreaches = 50;  // told in full; the rest are counted
constexpr Span kRemembered = 120s;         // an effect; far beyond any window and any client's retries
constexpr Span kAtOnce = 20ms;             // from giving up to the answer; the wire's own slack
constexpr std::uint32_t kThrownAway =
    20;                                 // queries given up in a row with nothing sent; no chance makes that
constexpr double kToldShare = 2.0 / 3;  // of the work, from those that knew; the rule's own figure
constexpr Span kTelling = 1ms;          // two things at one moment may be told in either order

std::string text(Span at) {
  std::array<char, 32> buffer{};
  std::snprintf(buffer.data(), buffer.size(), "%11.6f s", seconds(at));
  return buffer.data();
}

std::string_view nameOf(Outcome outcome) {
  static constexpr std::array<std::string_view, 8> names = {"completed",      "error", "full",      "timeout",
                                                            "connect_failed", "reset", "cancelled", "moot"};
  return names.at(static_cast<std::size_t>(outcome));
}

bool neverRan(Outcome outcome) {
  return outcome == Outcome::full || outcome == Outcome::connectFailed || outcome == Outcome::invalidQuery;
}

std::string serverName(ServerId server) { return "server " + std::to_string(server.value); }

}  // namespace

std::string_view nameOf(Rule rule) {
  static constexpr std::array<std::string_view, 7> names = {
      "one final answer, in time", "no effect twice", "drain kept",       "no cold server pushed over",
      "answered at once",          "good list kept",  "ejection cap kept"};
  return names.at(static_cast<std::size_t>(rule));
}

void Audit::say(Open& open, Span now, std::string what) const {
  open.story.emplace_back(now, std::move(what));
}

void Audit::breach(Rule rule, Span now, std::string subject, std::vector<std::string> timeline) {
  ++count_;
  if (breaches_.size() < kMostBreaches)
    breaches_.push_back({rule, std::move(subject), now, std::move(timeline)});
}

void Audit::breach(Rule rule, Span now, QueryNo query, const std::string& why) {
  const Open& open = open_.at(query);
  std::vector<std::string> lines;
  for (const auto& [at, what] : open.story) lines.push_back(text(at) + "  " + what);
  lines.push_back(text(now) + "  BROKEN: " + why);
  breach(rule, now, "query " + std::to_string(query) + " at balancer " + std::to_string(open.at), lines);
}

void Audit::taken(Span now, QueryNo query, BalancerNo at, UseCaseId useCase, Span deadline, std::uint64_t) {
  ++judged_;
  Open& open = open_[query];
  open.at = at;
  open.useCase = useCase;
  open.taken = now;
  open.deadline = deadline;
  say(open, now,
      "taken, use case " + std::to_string(useCase.value) + ", its client waits until" + text(deadline));
}

void Audit::sent(Span now, QueryNo query, std::uint32_t no, ServerId server, ZoneId zone, CellId cell) {
  const auto at = open_.find(query);
  if (at == open_.end()) {
    return breach(Rule::oneAnswer, now, "query " + std::to_string(query),
                  {text(now) + "  BROKEN: sent to " + serverName(server) + " after it was over"});
  }
  Open& open = at->second;
  say(open, now, "execution " + std::to_string(no) + " to " + serverName(server));
  lists_[open.at].sentSince = true;
  lists_[open.at].givenUpUnsent = 0;
  if (open.over && now > *open.over + kTelling)
    breach(Rule::oneAnswer, now, query, "sent after its end at" + text(*open.over));
  // Rule 2, by the wire's words: by what may have run before.
  const UseCase& use = measures_.useCases[open.useCase.value];
  for (const Sent& before : open.sent) {
    if (before.out) {
      breach(Rule::noEffectTwice, now, query, "sent while an earlier execution is out");
      break;
    }
    if (!before.mayHaveRun || use.retrySafety == RetrySafety::idempotent) continue;
    if (use.retrySafety == RetrySafety::nonIdempotent) {
      breach(Rule::noEffectTwice, now, query, "non-idempotent, and an earlier execution may have run");
      break;
    }
    const bool grouped = use.dedupScope == DedupScope::all ||
                         (use.dedupScope == DedupScope::zone ? zone == before.zone : cell == before.cell);
    if (!grouped) breach(Rule::noEffectTwice, now, query, "repeated at servers that do not discard it");
    if (now > before.at + use.dedupWindow + measures_.lag)
      breach(Rule::noEffectTwice, now, query, "repeated after the window of the first that may have run");
    break;  // the first that may have run tells
  }
  open.sent.push_back({server, zone, cell, now});
  // Rule 3.
  const auto list = closed_.find(open.at);
  if (list == closed_.end()) return;
  const auto closed = list->second.find(server);
  if (closed == list->second.end()) return;
  Span& latest = drains_[server];
  latest = std::max(latest, now - closed->second);
  if (now <= closed->second + measures_.drainGrace + measures_.lag) return;
  say(open, closed->second, "told that " + serverName(server) + " drains or is gone");
  breach(Rule::drainKept, now, query, "sent later than the grace after that");
}

void Audit::ended(Span now, QueryNo query, std::uint32_t no, Outcome outcome) {
  const auto at = open_.find(query);
  if (at == open_.end() || no >= at->second.sent.size()) return;
  Sent& sent = at->second.sent[no];
  sent.out = false;
  sent.mayHaveRun = !neverRan(outcome);
  at->second.lastEnd = now;
  say(at->second, now, "execution " + std::to_string(no) + " ended: " + std::string(nameOf(outcome)));
  settle(query);
}

void Audit::gaveUp(Span now, QueryNo query) {
  const auto at = open_.find(query);
  if (at == open_.end()) return;
  Open& open = at->second;
  say(open, now, "given up");
  if (!open.gaveUp) open.gaveUp = now;
  // While the list may be doubted, the servers that were good before are still to be used.
  ListWatch& list = lists_[open.at];
  if (open.sent.empty() && now <= list.until && ++list.givenUpUnsent >= kThrownAway && !list.sentSince &&
      !std::exchange(list.broken, true))
    breach(
        Rule::listKept, now, query,
        "the " + std::to_string(kThrownAway) + "th in a row given up with nothing sent, on a doubtful list");
}

void Audit::answered(Span now, QueryNo query, Answer answer) {
  const auto at = open_.find(query);
  if (at == open_.end()) {
    return breach(Rule::oneAnswer, now, "query " + std::to_string(query),
                  {text(now) + "  BROKEN: answered after it was over"});
  }
  Open& open = at->second;
  say(open, now,
      answer == Answer::completed  ? "completed"
      : answer == Answer::rejected ? "rejected"
                                   : "aborted");
  if (open.answered) breach(Rule::oneAnswer, now, query, "a second final answer");
  if (now > open.deadline + measures_.answerSlack + measures_.lag)
    breach(Rule::oneAnswer, now, query, "later than its client's time and the slack");
  if (open.gaveUp && now > *open.gaveUp + kAtOnce + measures_.lag)
    breach(Rule::answeredAtOnce, now, query, "held after it was given up");
  const UseCase& use = measures_.useCases[open.useCase.value];
  const bool nothingOut =
      std::none_of(open.sent.begin(), open.sent.end(), [](const Sent& s) { return s.out; });
  // Nobody waits for room beyond the SLO time: what has nothing out then was given up before.
  if (answer != Answer::completed && nothingOut &&
      now > std::max(open.taken + use.sloTime, open.lastEnd) + kAtOnce + measures_.lag)
    breach(Rule::answeredAtOnce, now, query, "held with nothing out, past its SLO time");
  const bool mayHaveRun =
      std::any_of(open.sent.begin(), open.sent.end(), [](const Sent& s) { return s.mayHaveRun; });
  const bool harmless = use.retrySafety == RetrySafety::idempotent ||
                        (use.retrySafety == RetrySafety::deduplicated && use.dedupScope == DedupScope::all);
  if (answer == Answer::rejected && mayHaveRun && !harmless)
    breach(Rule::noEffectTwice, now, query,
           "rejected, which calls a repeat harmless, though it may have run");
  open.answered = true;
  open.over = now;
  settle(query);
}

void Audit::clientLeft(Span now, QueryNo query) {
  const auto at = open_.find(query);
  if (at == open_.end()) return;
  say(at->second, now, "its client left");
  if (!at->second.over && now > at->second.deadline + measures_.answerSlack + measures_.lag)
    breach(Rule::oneAnswer, now, query, "no answer when its client's time and the slack were up");
  at->second.over = now;
  settle(query);
}

void Audit::settle(QueryNo query) {
  const auto at = open_.find(query);
  if (!at->second.over) return;
  if (std::none_of(at->second.sent.begin(), at->second.sent.end(), [](const Sent& s) { return s.out; }))
    open_.erase(at);
}

void Audit::effect(Span now, QueryNo query, std::uint64_t mark, RetrySafety repeat, ServerId server) {
  if (repeat == RetrySafety::idempotent) return;
  while (!effectOrder_.empty() && effectOrder_.front().first + kRemembered < now) {
    effects_.erase(effectOrder_.front().second);
    effectOrder_.pop_front();
  }
  auto& [times, story] = effects_[mark];
  if (times == 0) effectOrder_.emplace_back(now, mark);
  story.push_back(text(now) + "  query " + std::to_string(query) + " took effect at " + serverName(server));
  if (++times > 1) breach(Rule::noEffectTwice, now, "mark " + std::to_string(mark), story);
}

void Audit::started(Span now, ServerId server, double fullCapacity) {
  ServerWatch& watch = servers_[server.value];
  watch = {};
  watch.startedAt = now;
  watch.capacity = fullCapacity;
  watch.cold = measures_.coldTime > Span{0} && measures_.overloadMultiple > 0;
}

void Audit::stopped(Span, ServerId server) {
  const auto at = servers_.find(server.value);
  if (at == servers_.end()) return;
  warm(server, at->second);
  servers_.erase(at);
}

void Audit::warm(ServerId server, ServerWatch& watch) {
  if (!std::exchange(watch.cold, false)) return;
  coldPeaks_.push_back({server, watch.startedAt, watch.peak});
  watch.pressed.clear();
}

// What may have come within the last window: the multiple of what it could do in it.
double Audit::allowed(const ServerWatch& watch, Span now) const {
  const auto warmth = [&](Span at) {
    const double age = std::max(0.0, seconds(at - watch.startedAt)) / seconds(measures_.coldTime);
    return std::min(1.0, measures_.coldShare + (1 - measures_.coldShare) * age);
  };
  return measures_.overloadMultiple * watch.capacity * warmth(now) * seconds(measures_.overloadWindow);
}

void Audit::pressed(Span now, ServerId server, BalancerNo from, double work) {
  const auto at = servers_.find(server.value);
  if (at == servers_.end() || !at->second.cold) return;
  ServerWatch& watch = at->second;
  if (now >= watch.startedAt + measures_.coldTime) return warm(server, watch);
  const auto told = watch.toldStart.find(from);
  watch.pressed.push_back({now, work, told != watch.toldStart.end()});
  while (watch.pressed.front().at + measures_.overloadWindow < now) watch.pressed.pop_front();
  double sum = 0;
  double byTold = 0;
  for (const ServerWatch::Press& press : watch.pressed) {
    sum += press.work;
    byTold += press.byTold ? press.work : 0;
  }
  watch.peak = std::max(watch.peak, sum / allowed(watch, now));
  if (sum <= allowed(watch, now) || byTold < kToldShare * sum) return;
  breach(Rule::coldStart, now, serverName(server),
         {text(watch.startedAt) + "  started cold",
          text(watch.pressed.front().at) + "  first work in the window",
          text(now) + "  BROKEN: " + std::to_string(sum) + " s of work came, " +
              std::to_string(allowed(watch, now)) + " s is what it bears; " + std::to_string(byTold) +
              " s of it from balancers that knew"});
  warm(server, watch);  // it is down now
}

void Audit::told(Span now, BalancerNo at, ServerId server, Lifecycle lifecycle, std::optional<Span> started) {
  if (lifecycle == Lifecycle::serving) {
    closed_[at].erase(server);
    const auto watch = servers_.find(server.value);
    if (watch != servers_.end() && started && *started == watch->second.startedAt)
      watch->second.toldStart.try_emplace(at, now);
  } else {
    closed_[at].try_emplace(server, now);
  }
}

void Audit::doubtful(Span now, BalancerNo at, Span until) {
  ListWatch& list = lists_[at];
  if (now > list.until) list = {};
  list.until = std::max(list.until, until);
}

void Audit::ejected(Span now, BalancerNo at, PoolStatus before, PoolStatus after) {
  if (after.ejected <= before.ejected || after.ejected <= measures_.mostEjected * after.pool) return;
  breach(
      Rule::capKept, now, "balancer " + std::to_string(at),
      {text(now) + "  before: " + std::to_string(before.ejected) + " of " + std::to_string(before.pool) +
           " ejected",
       text(now) + "  BROKEN: now " + std::to_string(after.ejected) + " of " + std::to_string(after.pool)});
}

void Audit::close(Span now) {
  for (auto& [server, watch] : servers_) warm({server}, watch);
  std::sort(coldPeaks_.begin(), coldPeaks_.end(), [](const ColdPeak& a, const ColdPeak& b) {
    return std::pair(a.startedAt, a.server) < std::pair(b.startedAt, b.server);
  });
  std::vector<QueryNo> owed;
  for (const auto& [query, open] : open_) {
    if (!open.over) owed.push_back(query);
  }
  std::sort(owed.begin(), owed.end());
  for (const QueryNo query : owed) breach(Rule::oneAnswer, now, query, "the run is over and no answer came");
}

}  // namespace rackroute::lab
