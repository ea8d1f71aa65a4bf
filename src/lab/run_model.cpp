#include "lab/run_model.hpp"

#include <algorithm>

namespace rackroute::lab {
namespace {

using namespace std::chrono_literals;

constexpr double kMinFlapInterval = 0.05;     // seconds
constexpr double kSilentLossThreshold = 0.5;  // zone_lost with a larger size drops traffic without resets

ClientAction retryIfInTime(const Scenario& scenario, const ClientRequest& request, std::uint32_t attemptNo,
                           Span wait, Span now, Fate otherwise) {
  const Span spread = span(request.spread * seconds(wait));
  const bool inTime = now + spread + 1ms < request.at + scenario.useCases[request.useCase].timeout;
  if (attemptNo > scenario.retries || !inTime) return {std::nullopt, otherwise};
  return {spread, otherwise};
}

}  // namespace

Job DedupGroups::makeJob(const Scenario& scenario, const ClientRequest& request, const FleetServer& server,
                         std::uint64_t id) {
  const UseCase& use = scenario.useCases[request.useCase].useCase;
  Job job;
  job.id = id;
  job.work = request.work;
  job.key = request.key;
  if (use.retrySafety != RetrySafety::deduplicated) return job;
  const std::int64_t number = use.dedupScope == DedupScope::all    ? 0
                              : use.dedupScope == DedupScope::zone ? server.zone.value
                                                                   : server.cell.value;
  job.dedupKey = request.number;
  job.window = use.dedupWindow;
  job.dedup = &dedupGroups_[{use.dedupScope, number}];
  return job;
}

ClientAction afterAnswer(const Scenario& scenario, const ClientRequest& request, std::uint32_t attemptNo,
                         Answer how, Span advice, Span now) {
  const UseCasePlan& plan = scenario.useCases[request.useCase];
  const Span took = now - request.at;
  if (how == Answer::completed)
    return {std::nullopt, took <= plan.useCase.sloTime ? Fate::inTime
                          : took <= plan.timeout       ? Fate::late
                                                       : Fate::failed};
  const Fate otherwise = how == Answer::rejected ? Fate::rejected : Fate::failed;
  if (how != Answer::rejected && plan.useCase.retrySafety != RetrySafety::idempotent)
    return {std::nullopt, otherwise};
  return retryIfInTime(scenario, request, attemptNo,
                       request.honorsRetryAfter ? std::max(advice, scenario.backoff) : scenario.backoff, now,
                       otherwise);
}

ClientAction afterTimeout(const Scenario& scenario, const ClientRequest& request, std::uint32_t attemptNo,
                          Span now) {
  if (scenario.useCases[request.useCase].useCase.retrySafety != RetrySafety::idempotent) return {};
  return retryIfInTime(scenario, request, attemptNo, scenario.backoff, now, Fate::failed);
}

void BalancerViews::update(Span now, std::uint32_t balancer, bool snapshot,
                           const std::vector<RegistryEntry>& entries) {
  std::vector<bool>& serving = serving_[balancer];
  std::vector<bool> named(fleet_.size());
  for (const RegistryEntry& entry : entries) {
    named[entry.server.index] = true;
    audit_.serverListed(now, balancer, entry.server.id, entry.lifecycle, entry.startedAt);
  }
  std::size_t before = 0;
  std::size_t lost = 0;
  for (std::size_t i = 0; i < fleet_.size(); ++i) {
    if (!serving[i]) continue;
    ++before;
    if (!snapshot || named[i]) continue;
    ++lost;
    serving[i] = false;
    audit_.serverListed(now, balancer, fleet_[i].id, Lifecycle::removed, std::nullopt);
  }
  for (const RegistryEntry& entry : entries)
    serving[entry.server.index] = entry.lifecycle == Lifecycle::serving;
  if (snapshot && 2 * lost > before)
    audit_.listUnreliable(now, balancer, now + scenario_.drainGrace - 2 * scenario_.tick);
}

void applyTrouble(const Trouble& trouble, bool begins, const std::vector<std::size_t>& affected,
                  std::size_t servers, RegistryModel& registry, FaultTarget& run) {
  const double share = begins ? trouble.size : 0;
  for (const std::size_t server : affected) {
    SimulatedServer& here = run.simulatedServer(server);
    switch (trouble.kind) {
      case TroubleKind::slow:
        here.model.slowDown(begins ? std::max(trouble.size, 0.01) : 1);
        break;
      case TroubleKind::silent:
        if (begins)
          here.model.hang(run.now());
        else
          here.model.resume(run.now());
        run.reschedule(server);
        break;
      case TroubleKind::errors:
        here.errorShare = share;
        here.errorUseCase = trouble.useCase;
        break;
      case TroubleKind::resets:
        here.resetShare = share;
        break;
      case TroubleKind::cutAnswers:
        here.truncateShare = share;
        break;
      case TroubleKind::spoiltAnswers:
        here.malformShare = share;
        break;
      case TroubleKind::crash:
      case TroubleKind::zoneLost:
        if (!begins) {
          run.startServer(server);
          break;
        }
        run.stopServer(server, trouble.kind == TroubleKind::zoneLost && trouble.size > kSilentLossThreshold);
        run.lifecycleChanged(server, Lifecycle::removed);
        break;
      case TroubleKind::drain:
        if (begins) {
          run.lifecycleChanged(server, Lifecycle::draining);
          break;
        }
        run.stopServer(server, false);
        run.lifecycleChanged(server, Lifecycle::removed);
        run.runAfter(span(trouble.size), [&run, server] { run.startServer(server); });
        break;
      case TroubleKind::join:
        if (begins) run.startServer(server);
        break;
      case TroubleKind::flapping: {
        // Only the registry entry flaps; the server keeps serving.
        const Span step = span(std::max(trouble.size, kMinFlapInterval));
        for (Span at{}; begins && at < trouble.length; at += 2 * step) {
          run.runAfter(at, [&run, server] { run.lifecycleChanged(server, Lifecycle::removed); });
          run.runAfter(at + step, [&run, server] { run.lifecycleChanged(server, Lifecycle::serving); });
        }
        break;
      }
      default:
        break;
    }
  }
  if (trouble.kind == TroubleKind::zoneCut)
    run.partitionZone(begins ? std::optional(trouble.zone) : std::nullopt);
  if (trouble.kind == TroubleKind::discoveryStale) registry.setDelay(span(share));
  if (trouble.kind == TroubleKind::discoveryOut) {
    for (const std::uint32_t balancer : registry.setOutage(begins)) run.watchLost(balancer);
  }
  const bool empty = trouble.kind == TroubleKind::emptyList;
  if (!empty && trouble.kind != TroubleKind::halfList) return;
  std::vector<ServerId> missing;
  for (std::size_t i = 0; begins && i < servers; ++i) {
    if (empty || std::find(affected.begin(), affected.end(), i) != affected.end())
      missing.push_back(run.simulatedServer(i).spec.id);
  }
  registry.hide(missing);
  for (const std::uint32_t balancer : registry.watching()) run.sendSnapshot(balancer);
}

}  // namespace rackroute::lab
