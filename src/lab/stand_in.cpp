#include "lab/stand_in.hpp"

#include <algorithm>

namespace rackroute::lab {
namespace {

using namespace std::chrono_literals;

constexpr double kLeastStep = 0.05;  // seconds between a flapping server's changes
constexpr double kVanishes = 0.5;    // a lost zone's size above it: machines fall silent

NextStep again(const Scenario& scenario, const Ask& ask, std::uint32_t tries, Span wait, Span now,
               Fate otherwise) {
  const Span spread = span(ask.spread * seconds(wait));
  const bool inTime = now + spread + 1ms < ask.at + scenario.useCases[ask.useCase].timeout;
  if (tries > scenario.retries || !inTime) return {std::nullopt, otherwise};
  return {spread, otherwise};
}

}  // namespace

Job MarkGroups::jobOf(const Scenario& scenario, const Ask& ask, const FleetServer& server, std::uint64_t id) {
  const UseCase& use = scenario.useCases[ask.useCase].terms;
  Job job;
  job.id = id;
  job.work = ask.work;
  job.key = ask.key;
  if (use.retrySafety != RetrySafety::deduplicated) return job;
  const std::int64_t number = use.dedupScope == DedupScope::all    ? 0
                              : use.dedupScope == DedupScope::zone ? server.zone.value
                                                                   : server.cell.value;
  job.mark = ask.number;
  job.window = use.dedupWindow;
  job.marks = &marks_[{use.dedupScope, number}];
  return job;
}

NextStep afterAnswer(const Scenario& scenario, const Ask& ask, std::uint32_t tries, Answer how, Span advice,
                     Span now) {
  const UseCasePlan& plan = scenario.useCases[ask.useCase];
  const Span took = now - ask.at;
  if (how == Answer::completed)
    return {std::nullopt, took <= plan.terms.sloTime ? Fate::inTime
                          : took <= plan.timeout     ? Fate::late
                                                     : Fate::failed};
  const Fate otherwise = how == Answer::rejected ? Fate::rejected : Fate::failed;
  if (how != Answer::rejected && plan.terms.retrySafety != RetrySafety::idempotent)
    return {std::nullopt, otherwise};
  return again(scenario, ask, tries, ask.obeys ? std::max(advice, scenario.backoff) : scenario.backoff, now,
               otherwise);
}

NextStep afterSilence(const Scenario& scenario, const Ask& ask, std::uint32_t tries, Span now) {
  if (scenario.useCases[ask.useCase].terms.retrySafety != RetrySafety::idempotent) return {};
  return again(scenario, ask, tries, scenario.backoff, now, Fate::failed);
}

void ToldLists::tell(Span now, std::uint32_t balancer, bool whole,
                     const std::vector<RegistryEntry>& entries) {
  std::vector<bool>& held = held_[balancer];
  std::vector<bool> named(fleet_.size());
  for (const RegistryEntry& entry : entries) {
    named[entry.server.place] = true;
    audit_.told(now, balancer, entry.server.id, entry.lifecycle, entry.startedAt);
  }
  std::size_t before = 0;
  std::size_t lost = 0;
  for (std::size_t i = 0; i < fleet_.size(); ++i) {
    if (!held[i]) continue;
    ++before;
    if (!whole || named[i]) continue;
    ++lost;
    held[i] = false;
    audit_.told(now, balancer, fleet_[i].id, Lifecycle::removed, std::nullopt);
  }
  for (const RegistryEntry& entry : entries) held[entry.server.place] = entry.lifecycle == Lifecycle::serving;
  if (whole && 2 * lost > before)
    audit_.doubtful(now, balancer, now + scenario_.drainGrace - 2 * scenario_.tick);
}

void play(const Trouble& trouble, bool begins, const std::vector<std::size_t>& hit, std::size_t servers,
          RegistryModel& registry, Stricken& run) {
  const double share = begins ? trouble.size : 0;
  for (const std::size_t server : hit) {
    StandIn& here = run.standIn(server);
    switch (trouble.kind) {
      case TroubleKind::slow:
        here.model.slowDown(begins ? std::max(trouble.size, 0.01) : 1);
        break;
      case TroubleKind::silent:
        if (begins)
          here.model.hang(run.now());
        else
          here.model.goOn(run.now());
        run.turn(server);
        break;
      case TroubleKind::errors:
        here.errors = share;
        here.errorsOf = trouble.useCase;
        break;
      case TroubleKind::resets:
        here.resets = share;
        break;
      case TroubleKind::cutAnswers:
        here.cuts = share;
        break;
      case TroubleKind::spoiltAnswers:
        here.spoils = share;
        break;
      case TroubleKind::crash:
      case TroubleKind::zoneLost:
        if (!begins) {
          run.come(server);
          break;
        }
        run.die(server, trouble.kind == TroubleKind::zoneLost && trouble.size > kVanishes);
        run.changed(server, Lifecycle::removed);
        break;
      case TroubleKind::drain:
        if (begins) {
          run.changed(server, Lifecycle::draining);
          break;
        }
        run.die(server, false);
        run.changed(server, Lifecycle::removed);
        run.later(span(trouble.size), [&run, server] { run.come(server); });
        break;
      case TroubleKind::join:
        if (begins) run.come(server);
        break;
      case TroubleKind::flapping: {
        // Out and in again, as the list has it; the server itself serves on.
        const Span step = span(std::max(trouble.size, kLeastStep));
        for (Span at{}; begins && at < trouble.length; at += 2 * step) {
          run.later(at, [&run, server] { run.changed(server, Lifecycle::removed); });
          run.later(at + step, [&run, server] { run.changed(server, Lifecycle::serving); });
        }
        break;
      }
      default:
        break;
    }
  }
  if (trouble.kind == TroubleKind::zoneCut) run.cutOff(begins ? std::optional(trouble.zone) : std::nullopt);
  if (trouble.kind == TroubleKind::discoveryStale) registry.late(span(share));
  if (trouble.kind == TroubleKind::discoveryOut) {
    for (const std::uint32_t balancer : registry.out(begins)) run.watchBroke(balancer);
  }
  const bool empty = trouble.kind == TroubleKind::emptyList;
  if (!empty && trouble.kind != TroubleKind::halfList) return;
  std::vector<ServerId> missing;
  for (std::size_t i = 0; begins && i < servers; ++i) {
    if (empty || std::find(hit.begin(), hit.end(), i) != hit.end())
      missing.push_back(run.standIn(i).drawn.id);
  }
  registry.hide(missing);
  for (const std::uint32_t balancer : registry.watching()) run.tellWhole(balancer);
}

}  // namespace rackroute::lab
