#include "lab/audit.hpp"

#include <algorithm>
#include <array>
#include <cstdio>
#include <utility>

#include "lab/random.hpp"

namespace rackroute::lab {
namespace {

using namespace std::chrono_literals;

constexpr std::size_t kMaxBreachDetails = 50;     // further breaches are only counted
constexpr Span kEffectRetention = 120s;           // exceeds all deduplication windows and client retries
constexpr Span kPromptAnswer = 20ms;              // from giving up to the answer
constexpr std::uint32_t kMaxRejectedUnsent = 20;  // consecutive queries given up without an execution
constexpr double kInformedShare =
    2.0 / 3;                         // share of the work that comes from balancers that know of the start
constexpr Span kSimultaneous = 1ms;  // events this close may be reported in either order

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

bool neverExecuted(Outcome outcome) {
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

void Audit::record(OpenQuery& open, Span now, std::string what) const {
  open.timeline.emplace_back(now, std::move(what));
}

void Audit::breach(Rule rule, Span now, std::string subject, std::vector<std::string> timeline) {
  ++count_;
  if (breaches_.size() < kMaxBreachDetails)
    breaches_.push_back({rule, std::move(subject), now, std::move(timeline)});
}

void Audit::breach(Rule rule, Span now, QueryNumber query, const std::string& why) {
  const OpenQuery& open = open_.at(query);
  std::vector<std::string> lines;
  for (const auto& [at, what] : open.timeline) lines.push_back(text(at) + "  " + what);
  lines.push_back(text(now) + "  BROKEN: " + why);
  breach(rule, now, "query " + std::to_string(query) + " at balancer " + std::to_string(open.at), lines);
}

void Audit::queryReceived(Span now, QueryNumber query, BalancerIndex at, UseCaseId useCase, Span deadline,
                          std::uint64_t) {
  ++judged_;
  OpenQuery& open = open_[query];
  open.at = at;
  open.useCase = useCase;
  open.receivedAt = now;
  open.deadline = deadline;
  record(open, now,
         "received, use case " + std::to_string(useCase.value) + ", client deadline" + text(deadline));
}

void Audit::sent(Span now, QueryNumber query, std::uint32_t no, ServerId server, ZoneId zone, CellId cell) {
  const auto at = open_.find(query);
  if (at == open_.end()) {
    return breach(Rule::oneAnswer, now, "query " + std::to_string(query),
                  {text(now) + "  BROKEN: sent to " + serverName(server) + " after the query had ended"});
  }
  OpenQuery& open = at->second;
  record(open, now, "execution " + std::to_string(no) + " to " + serverName(server));
  lists_[open.at].sentSince = true;
  lists_[open.at].rejectedUnsent = 0;
  if (open.over && now > *open.over + kSimultaneous)
    breach(Rule::oneAnswer, now, query, "sent after the query ended at" + text(*open.over));
  // Rule 2: depends on which earlier executions may have run.
  const UseCase& use = limits_.useCases[open.useCase.value];
  for (const Sent& before : open.sent) {
    if (before.inFlight) {
      breach(Rule::noEffectTwice, now, query, "sent while an earlier execution is in flight");
      break;
    }
    if (!before.mayHaveRun || use.retrySafety == RetrySafety::idempotent) continue;
    if (use.retrySafety == RetrySafety::nonIdempotent) {
      breach(Rule::noEffectTwice, now, query, "non-idempotent, and an earlier execution may have run");
      break;
    }
    const bool grouped = use.dedupScope == DedupScope::all ||
                         (use.dedupScope == DedupScope::zone ? zone == before.zone : cell == before.cell);
    if (!grouped) breach(Rule::noEffectTwice, now, query, "repeated at servers that do not deduplicate it");
    if (now > before.at + use.dedupWindow + limits_.lag)
      breach(Rule::noEffectTwice, now, query,
             "repeated after the deduplication window of the first execution that may have run");
    break;  // only the first execution that may have run matters
  }
  open.sent.push_back({server, zone, cell, now});
  // Rule 3: no executions to a draining or removed server after the grace period.
  const auto list = notServingSince_.find(open.at);
  if (list == notServingSince_.end()) return;
  const auto notice = list->second.find(server);
  if (notice == list->second.end()) return;
  Span& latest = drains_[server];
  latest = std::max(latest, now - notice->second);
  if (now <= notice->second + limits_.drainGrace + limits_.lag) return;
  record(open, notice->second, "notified that " + serverName(server) + " is draining or removed");
  breach(Rule::drainKept, now, query, "sent after the drain grace period");
}

void Audit::ended(Span now, QueryNumber query, std::uint32_t no, Outcome outcome) {
  const auto at = open_.find(query);
  if (at == open_.end() || no >= at->second.sent.size()) return;
  Sent& sent = at->second.sent[no];
  sent.inFlight = false;
  sent.mayHaveRun = !neverExecuted(outcome);
  at->second.lastEnd = now;
  record(at->second, now, "execution " + std::to_string(no) + " ended: " + std::string(nameOf(outcome)));
  eraseIfDone(query);
}

void Audit::gaveUp(Span now, QueryNumber query) {
  const auto at = open_.find(query);
  if (at == open_.end()) return;
  OpenQuery& open = at->second;
  record(open, now, "given up");
  if (!open.gaveUp) open.gaveUp = now;
  // While the list is unreliable, previously serving servers must still be used.
  ListWatch& list = lists_[open.at];
  if (open.sent.empty() && now <= list.until && ++list.rejectedUnsent >= kMaxRejectedUnsent &&
      !list.sentSince && !std::exchange(list.broken, true))
    breach(Rule::listKept, now, query,
           "the " + std::to_string(kMaxRejectedUnsent) +
               "th consecutive query given up without an execution, on an unreliable list");
}

void Audit::answered(Span now, QueryNumber query, Answer answer) {
  const auto at = open_.find(query);
  if (at == open_.end()) {
    return breach(Rule::oneAnswer, now, "query " + std::to_string(query),
                  {text(now) + "  BROKEN: answered after the query had ended"});
  }
  OpenQuery& open = at->second;
  record(open, now,
         answer == Answer::completed  ? "completed"
         : answer == Answer::rejected ? "rejected"
                                      : "aborted");
  if (open.answered) breach(Rule::oneAnswer, now, query, "a second final answer");
  if (now > open.deadline + limits_.answerSlack + limits_.lag)
    breach(Rule::oneAnswer, now, query, "later than the client deadline and the slack");
  if (open.gaveUp && now > *open.gaveUp + kPromptAnswer + limits_.lag)
    breach(Rule::answeredAtOnce, now, query, "answer delayed after the query was given up");
  const UseCase& use = limits_.useCases[open.useCase.value];
  const bool noneInFlight =
      std::none_of(open.sent.begin(), open.sent.end(), [](const Sent& s) { return s.inFlight; });
  // Queries do not queue beyond the SLO time: without an execution in flight they count as given up.
  if (answer != Answer::completed && noneInFlight &&
      now > std::max(open.receivedAt + use.sloTime, open.lastEnd) + kPromptAnswer + limits_.lag)
    breach(Rule::answeredAtOnce, now, query,
           "answer delayed beyond the SLO time with no execution in flight");
  const bool mayHaveRun =
      std::any_of(open.sent.begin(), open.sent.end(), [](const Sent& s) { return s.mayHaveRun; });
  const bool harmless = use.retrySafety == RetrySafety::idempotent ||
                        (use.retrySafety == RetrySafety::deduplicated && use.dedupScope == DedupScope::all);
  if (answer == Answer::rejected && mayHaveRun && !harmless)
    breach(Rule::noEffectTwice, now, query,
           "rejected, which permits a retry, although an execution may have run");
  open.answered = true;
  open.over = now;
  eraseIfDone(query);
}

void Audit::clientLeft(Span now, QueryNumber query) {
  const auto at = open_.find(query);
  if (at == open_.end()) return;
  record(at->second, now, "client left");
  if (!at->second.over && now > at->second.deadline + limits_.answerSlack + limits_.lag)
    breach(Rule::oneAnswer, now, query, "no answer until the client deadline and the slack");
  at->second.over = now;
  eraseIfDone(query);
}

void Audit::eraseIfDone(QueryNumber query) {
  const auto at = open_.find(query);
  if (!at->second.over) return;
  if (std::none_of(at->second.sent.begin(), at->second.sent.end(), [](const Sent& s) { return s.inFlight; }))
    open_.erase(at);
}

void Audit::effect(Span now, QueryNumber query, std::uint64_t dedupKey, RetrySafety repeat, ServerId server) {
  if (repeat == RetrySafety::idempotent) return;
  while (!effectOrder_.empty() && effectOrder_.front().first + kEffectRetention < now) {
    effects_.erase(effectOrder_.front().second);
    effectOrder_.pop_front();
  }
  auto& [times, timeline] = effects_[dedupKey];
  if (times == 0) effectOrder_.emplace_back(now, dedupKey);
  timeline.push_back(text(now) + "  query " + std::to_string(query) + " took effect at " +
                     serverName(server));
  if (++times > 1)
    breach(Rule::noEffectTwice, now, "deduplication key " + std::to_string(dedupKey), timeline);
}

void Audit::started(Span now, ServerId server, double fullCapacity) {
  ServerWatch& watch = servers_[server.value];
  watch = {};
  watch.startedAt = now;
  watch.capacity = fullCapacity;
  watch.cold = limits_.coldTime > Span{0} && limits_.overloadMultiple > 0;
}

void Audit::stopped(Span, ServerId server) {
  const auto at = servers_.find(server.value);
  if (at == servers_.end()) return;
  endColdStart(server, at->second);
  servers_.erase(at);
}

void Audit::endColdStart(ServerId server, ServerWatch& watch) {
  if (!std::exchange(watch.cold, false)) return;
  coldPeaks_.push_back({server, watch.startedAt, watch.peak});
  watch.arrivals.clear();
}

// Maximum work within one window: a multiple of the capacity over that window.
double Audit::coldLimit(const ServerWatch& watch, Span now) const {
  const auto warmFraction = [&](Span at) {
    const double age = std::max(0.0, seconds(at - watch.startedAt)) / seconds(limits_.coldTime);
    return std::min(1.0, limits_.coldShare + (1 - limits_.coldShare) * age);
  };
  return limits_.overloadMultiple * watch.capacity * warmFraction(now) * seconds(limits_.overloadWindow);
}

void Audit::workReceived(Span now, ServerId server, BalancerIndex from, double work) {
  const auto at = servers_.find(server.value);
  if (at == servers_.end() || !at->second.cold) return;
  ServerWatch& watch = at->second;
  if (now >= watch.startedAt + limits_.coldTime) return endColdStart(server, watch);
  const auto informed = watch.startKnownAt.find(from);
  watch.arrivals.push_back({now, work, informed != watch.startKnownAt.end()});
  while (watch.arrivals.front().at + limits_.overloadWindow < now) watch.arrivals.pop_front();
  double sum = 0;
  double fromInformed = 0;
  for (const ServerWatch::Arrival& arrival : watch.arrivals) {
    sum += arrival.work;
    fromInformed += arrival.fromInformed ? arrival.work : 0;
  }
  watch.peak = std::max(watch.peak, sum / coldLimit(watch, now));
  if (sum <= coldLimit(watch, now) || fromInformed < kInformedShare * sum) return;
  breach(Rule::coldStart, now, serverName(server),
         {text(watch.startedAt) + "  started cold",
          text(watch.arrivals.front().at) + "  first work in the window",
          text(now) + "  BROKEN: " + std::to_string(sum) + " s of work arrived, " +
              std::to_string(coldLimit(watch, now)) + " s is the overload limit; " +
              std::to_string(fromInformed) + " s of it from balancers that know of the start"});
  endColdStart(server, watch);  // the server has failed
}

void Audit::serverListed(Span now, BalancerIndex at, ServerId server, Lifecycle lifecycle,
                         std::optional<Span> started) {
  if (lifecycle == Lifecycle::serving) {
    notServingSince_[at].erase(server);
    const auto watch = servers_.find(server.value);
    if (watch != servers_.end() && started && *started == watch->second.startedAt)
      watch->second.startKnownAt.try_emplace(at, now);
  } else {
    notServingSince_[at].try_emplace(server, now);
  }
}

void Audit::listUnreliable(Span now, BalancerIndex at, Span until) {
  ListWatch& list = lists_[at];
  if (now > list.until) list = {};
  list.until = std::max(list.until, until);
}

void Audit::ejected(Span now, BalancerIndex at, PoolStatus before, PoolStatus after) {
  if (after.ejected <= before.ejected || after.ejected <= limits_.maxEjectedShare * after.pool) return;
  breach(
      Rule::capKept, now, "balancer " + std::to_string(at),
      {text(now) + "  before: " + std::to_string(before.ejected) + " of " + std::to_string(before.pool) +
           " ejected",
       text(now) + "  BROKEN: now " + std::to_string(after.ejected) + " of " + std::to_string(after.pool)});
}

void Audit::close(Span now) {
  for (auto& [server, watch] : servers_) endColdStart({server}, watch);
  std::sort(coldPeaks_.begin(), coldPeaks_.end(), [](const ColdPeak& a, const ColdPeak& b) {
    return std::pair(a.startedAt, a.server) < std::pair(b.startedAt, b.server);
  });
  std::vector<QueryNumber> unanswered;
  for (const auto& [query, open] : open_) {
    if (!open.over) unanswered.push_back(query);
  }
  std::sort(unanswered.begin(), unanswered.end());
  for (const QueryNumber query : unanswered)
    breach(Rule::oneAnswer, now, query, "no answer until the end of the run");
}

}  // namespace rackroute::lab
