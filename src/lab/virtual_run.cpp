#include "lab/virtual_run.hpp"

#include <algorithm>
#include <array>
#include <optional>
#include <string>
#include <unordered_map>
#include <utility>
#include <vector>

#include "lab/fleet.hpp"
#include "lab/random.hpp"
#include "lab/registry_model.hpp"
#include "lab/run_model.hpp"
#include "lab/server_model.hpp"
#include "lab/timeline.hpp"

namespace rackroute::lab {
namespace {

using namespace std::chrono_literals;

constexpr Span kSampleInterval = 1s;
constexpr Span kDrainPeriod = 5s;  // after the last query's timeout

using QueryKey = std::uint32_t;  // query id, unique in the run

class VirtualRun;

struct Execution {
  std::size_t server = 0;
  std::uint32_t epoch = 0;  // connection epoch of the server at send time
  Span sentAt{};
  bool over = false;     // the balancer was notified of its outcome
  bool dialled = false;  // uses a new connection
  bool reached = false;  // arrived at the server
  bool error = false;    // the server will answer with an error
};

struct Attempt {  // one query sent to one balancer
  ClientRequest request;
  std::uint32_t balancer = 0;
  std::uint32_t attemptNo = 0;  // 1 for the first attempt of the request
  Span deadline{};              // client-side timeout
  bool answered = false;
  bool abandoned = false;  // the client timed out or disconnected
  bool settled = false;    // the client's outcome is recorded, or a retry is scheduled
  std::vector<Execution> executions;
  [[nodiscard]] bool over() const {
    return (answered || abandoned) && settled &&
           std::all_of(executions.begin(), executions.end(), [](const Execution& e) { return e.over; });
  }
};

struct Machine : SimulatedServer {  // one server with its connections
  using SimulatedServer::SimulatedServer;
  Span due = Span::max();       // next scheduled completion
  std::size_t connections = 0;  // open
  std::uint32_t epoch = 0;      // incremented when all connections break
  bool vanished = false;        // unreachable without resets; false: only the process is down
  double workInTransit = 0;     // work in transit to the server, in seconds
};

class Sidecar : public BalancerHost {  // one balancer with its connection pool
 public:
  Sidecar(VirtualRun& run, std::uint32_t no, ZoneId zone) : run_(run), no_(no), zone_(zone) {}
  void execute(QueryId query, ServerId server, Span timeout) override;
  void cancel(QueryId query, ExecutionNo execution) override;
  void reject(QueryId query, Span retryAfter) override;
  void abort(QueryId query) override;
  void wakeAt(Span time) override;
  void watchServers() override;
  void listServers() override;

  struct Idle {
    Span since;
    std::uint32_t epoch;
  };
  VirtualRun& run_;
  std::uint32_t no_;
  ZoneId zone_;
  std::unique_ptr<BalancingPolicy> policy_;
  std::unordered_map<std::size_t, std::vector<Idle>> idle_;  // by server, most recently used last
  PoolStatus poolStatus_;
};

class VirtualRun : public FaultTarget {
 public:
  VirtualRun(const Scenario& scenario, const RunPlan& plan);
  Result run();

  // ---- Requests from balancers
  void execute(Sidecar& from, QueryKey query, ServerId server, Span timeout);
  void cancel(QueryKey query, std::uint32_t no);
  void answer(QueryKey query, Answer how, Span advice);
  void wakeAt(std::uint32_t balancer, Span time);
  void callDiscovery(std::uint32_t balancer, bool watch);

 private:
  // ---- Clients
  void arrive();
  void sendAttempt(const ClientRequest& request, std::uint32_t attemptNo, Span at);
  void deliver(QueryKey query);
  void clientTimedOut(QueryKey query);
  void clientDisconnects(QueryKey query);
  void clientReceives(QueryKey query, Answer how, Span advice);
  void retryOrSettle(Attempt& ended, const ClientAction& next);
  void settle(Attempt& ended, Fate fate);
  void eraseIfOver(QueryKey query);

  // ---- Executions
  void requestArrived(QueryKey query, std::uint32_t no);
  void endExecution(QueryKey query, std::uint32_t no, Outcome outcome, Span service);
  void advanceServer(std::size_t server);
  void schedule(std::size_t server);
  void finish(std::size_t server, const Finished& finished);
  void reply(QueryKey query, std::uint32_t no, Outcome outcome, Span service);
  void log(std::size_t server, const Finished& finished, bool used);

  // ---- Connections and network
  bool takeIdleConnection(Sidecar& from, std::size_t server);
  void closeIdleConnections();
  Span networkDelay(ZoneId a, ZoneId b);
  Span clientDelay();
  [[nodiscard]] bool reachable(ZoneId a, ZoneId b) const;

  // ---- Servers, troubles and discovery
  [[nodiscard]] Span now() const override { return time_.now(); }
  void runAfter(Span wait, std::function<void()> task) override { time_.in(wait, std::move(task)); }
  SimulatedServer& simulatedServer(std::size_t server) override { return machines_[server]; }
  void reschedule(std::size_t server) override;
  void stopServer(std::size_t server, bool vanish) override;
  void startServer(std::size_t server) override;
  void lifecycleChanged(std::size_t server, Lifecycle lifecycle) override;
  void partitionZone(std::optional<std::uint32_t> zone) override { partitionedZone_ = zone; }
  void watchLost(std::uint32_t balancer) override;
  void sendSnapshot(std::uint32_t balancer) override;
  void notifyWatchers();
  void sendChanges(std::uint32_t balancer);
  void sendSnapshotNow(std::uint32_t balancer);
  void sendList(std::uint32_t balancer, ServerListKind listing, const std::vector<RegistryEntry>& entries);
  void sample();
  double estimateWait(std::uint32_t balancer, ServerId server);
  void samplePoolStatus(Sidecar& sidecar, bool mayHaveEjected);

  const Scenario& scenario_;
  const RunPlan& plan_;
  Timeline time_;
  RunStatistics statistics_;
  Audit audit_;
  Clients clients_;
  RandomEngine network_;
  RandomEngine random_;
  std::vector<Machine> machines_;
  std::unordered_map<std::uint64_t, std::size_t> serverIndex_;  // by server id
  std::vector<std::unique_ptr<Sidecar>> sidecars_;
  std::unordered_map<QueryKey, Attempt> attempts_;
  std::optional<ClientRequest> next_;
  RegistryModel registry_;
  BalancerViews views_;
  DedupGroups dedupGroups_;
  std::optional<std::uint32_t> partitionedZone_;
  std::vector<std::vector<std::size_t>> affected_;  // servers affected, by trouble
  QueryKey lastQueryId_ = 0;
};

void Sidecar::execute(QueryId query, ServerId server, Span timeout) {
  run_.execute(*this, query.value, server, timeout);
}
void Sidecar::cancel(QueryId query, ExecutionNo execution) { run_.cancel(query.value, execution.value); }
void Sidecar::reject(QueryId query, Span retryAfter) {
  run_.answer(query.value, Answer::rejected, retryAfter);
}
void Sidecar::abort(QueryId query) { run_.answer(query.value, Answer::aborted, {}); }
void Sidecar::wakeAt(Span time) { run_.wakeAt(no_, time); }
void Sidecar::watchServers() { run_.callDiscovery(no_, true); }
void Sidecar::listServers() { run_.callDiscovery(no_, false); }

VirtualRun::VirtualRun(const Scenario& scenario, const RunPlan& plan)
    : scenario_(scenario),
      plan_(plan),
      statistics_(scenario),
      audit_(auditLimitsOf(scenario)),
      clients_(scenario, plan.seed),
      network_(makeRandomEngine(plan.seed, Purpose::network)),
      random_(makeRandomEngine(plan.seed, Purpose::troubles, scenario.troubles.size())),
      registry_(scenario),
      views_(scenario, drawFleet(scenario, plan.seed), audit_) {
  const std::vector<FleetServer> fleet = drawFleet(scenario, plan.seed);
  for (const FleetServer& spec : fleet) machines_.emplace_back(spec);
  for (std::size_t i = 0; i < machines_.size(); ++i) {
    Machine& machine = machines_[i];
    serverIndex_[machine.spec.id.value] = i;
    const bool listed = machine.spec.atStart;
    registry_.add({machine.spec.id, i, machine.spec.zone, machine.spec.cell, machine.spec.size}, listed);
    if (!listed) static_cast<void>(machine.model.stop(Span{}));
  }
  for (std::size_t no = 0; no < scenario.troubles.size(); ++no) {
    affected_.push_back(affectedServers(scenario, no, fleet, plan.seed));
    const Trouble& planned = scenario.troubles[no];
    const auto apply = [this, no](bool begins) {
      applyTrouble(scenario_.troubles[no], begins, affected_[no], machines_.size(), registry_, *this);
    };
    time_.at(planned.at, [apply] { apply(true); });
    time_.at(planned.at + planned.length, [apply] { apply(false); });
  }
  const PolicyFactory make =
      plan.make ? plan.make
                : [kind = policyOf(plan.policy)](const BalancerConfig& config, BalancerHost& host,
                                                 const WaitOracle& estimateWait) {
                    return makePolicy(kind, config, host, estimateWait);
                  };
  for (std::uint32_t i = 0; i < scenario.balancers; ++i) {
    const BalancerConfig config = scenario.balancerConfig(plan.seed, i);
    sidecars_.push_back(std::make_unique<Sidecar>(*this, i, config.zone));
    Sidecar& sidecar = *sidecars_.back();
    sidecar.policy_ = make(config, sidecar, [this](std::uint32_t balancer, ServerId server) {
      return estimateWait(balancer, server);
    });
    sendList(i, ServerListKind::persisted, registry_.snapshot());
    registry_.subscribe(i, !scenario.onRequest);
  }
}

Result VirtualRun::run() {
  time_.at(Span{}, [this] { sample(); });
  next_ = clients_.next();
  if (next_) time_.at(next_->at, [this] { arrive(); });
  const Span last = scenario_.length + std::max_element(scenario_.useCases.begin(), scenario_.useCases.end(),
                                                        [](const UseCasePlan& a, const UseCasePlan& b) {
                                                          return a.timeout < b.timeout;
                                                        })
                                           ->timeout;
  while (time_.step(last + kDrainPeriod)) continue;
  audit_.close(time_.now());
  Result result;
  result.goodput = statistics_.goodput();
  result.breaches = audit_.count();
  result.breachDetails = audit_.breaches();
  result.json = resultJson(scenario_, plan_.policy, "virtual", plan_.seed, statistics_, audit_);
  result.json["events"] = time_.done();
  return result;
}

// ---- Clients

void VirtualRun::arrive() {
  const ClientRequest request = *next_;
  next_ = clients_.next();
  if (next_) time_.at(next_->at, [this] { arrive(); });
  sendAttempt(request, 1, time_.now());
}

void VirtualRun::sendAttempt(const ClientRequest& request, std::uint32_t attemptNo, Span at) {
  const QueryKey query = ++lastQueryId_;
  const Span timeout = scenario_.useCases[request.useCase].timeout;
  const Span ends = std::min(at + span(scenario_.tryShare * seconds(timeout)), request.at + timeout);
  Attempt& attempt = attempts_[query];
  attempt.request = request;
  attempt.balancer = request.balancer;
  attempt.attemptNo = attemptNo;
  attempt.deadline = ends;
  time_.at(at + clientDelay(), [this, query] { deliver(query); });
  if (request.disconnectsAfter <= 1)
    time_.at(at + span(request.disconnectsAfter * seconds(ends - at)),
             [this, query] { clientDisconnects(query); });
}

void VirtualRun::deliver(QueryKey query) {
  const auto at = attempts_.find(query);
  if (at == attempts_.end()) return;  // the client left before the query arrived
  Attempt& attempt = at->second;
  const Span now = time_.now();
  const Span left = std::max(attempt.deadline - now, Span{1});
  audit_.queryReceived(now, query, attempt.balancer, {attempt.request.useCase}, now + left,
                       attempt.request.number);
  time_.at(now + left + scenario_.answerSlack + Span{1}, [this, query] { clientTimedOut(query); });
  Query submitted;
  submitted.id = {query};
  submitted.useCase = {attempt.request.useCase};
  submitted.timeLeft = left;
  if (attempt.request.key) submitted.key = KeyId{*attempt.request.key};
  sidecars_[attempt.balancer]->policy_->submit(now, submitted);
  eraseIfOver(query);
}

void VirtualRun::clientTimedOut(QueryKey query) {
  const auto at = attempts_.find(query);
  if (at == attempts_.end() || at->second.answered || at->second.abandoned) return;
  at->second.abandoned = true;
  audit_.clientLeft(time_.now(), query);
  sidecars_[at->second.balancer]->policy_->clientLeft(time_.now(), {query});
  retryOrSettle(at->second, afterTimeout(scenario_, at->second.request, at->second.attemptNo, time_.now()));
  eraseIfOver(query);
}

void VirtualRun::clientDisconnects(QueryKey query) {
  const auto at = attempts_.find(query);
  if (at == attempts_.end() || at->second.answered || at->second.abandoned) return;
  at->second.abandoned = true;
  settle(at->second, Fate::left);
  audit_.clientLeft(time_.now(), query);
  sidecars_[at->second.balancer]->policy_->clientLeft(time_.now(), {query});
  eraseIfOver(query);
}

void VirtualRun::clientReceives(QueryKey query, Answer how, Span advice) {
  Attempt& attempt = attempts_.at(query);
  retryOrSettle(attempt,
                afterAnswer(scenario_, attempt.request, attempt.attemptNo, how, advice, time_.now()));
  eraseIfOver(query);
}

// A retry belongs to the same request: it keeps the deduplication key, and latency counts from the first
// attempt.
void VirtualRun::retryOrSettle(Attempt& ended, const ClientAction& next) {
  if (!next.retryDelay) return settle(ended, next.fate);
  statistics_.retried();
  const ClientRequest request = ended.request;
  const std::uint32_t attemptNo = ended.attemptNo + 1;
  const Span at = time_.now() + *next.retryDelay;
  time_.at(at, [this, request, attemptNo, at] { sendAttempt(request, attemptNo, at); });
  ended.settled = true;
}

void VirtualRun::settle(Attempt& ended, Fate fate) {
  if (std::exchange(ended.settled, true)) return;
  statistics_.requestFinished(ended.request.at, ended.request.useCase, fate, time_.now() - ended.request.at);
}

void VirtualRun::eraseIfOver(QueryKey query) {
  const auto at = attempts_.find(query);
  if (at != attempts_.end() && at->second.over()) attempts_.erase(at);
}

// ---- Executions

void VirtualRun::execute(Sidecar& from, QueryKey query, ServerId server, Span timeout) {
  Attempt& attempt = attempts_.at(query);
  const std::size_t index = serverIndex_.at(server.value);
  Machine& machine = machines_[index];
  const auto no = static_cast<std::uint32_t>(attempt.executions.size());
  const Span now = time_.now();
  audit_.sent(now, query, no, server, machine.spec.zone, machine.spec.cell);
  statistics_.executed();
  if (from.zone_ != machine.spec.zone) statistics_.crossed();
  attempt.executions.push_back({.server = index, .epoch = machine.epoch, .sentAt = now});
  const Span oneWay = networkDelay(from.zone_, machine.spec.zone);
  const auto fails = [&](Span after) {
    time_.in(after, [this, query, no] { endExecution(query, no, Outcome::connectFailed, {}); });
  };
  const bool silent = machine.vanished || !reachable(from.zone_, machine.spec.zone);
  if (takeIdleConnection(from, index)) {
    machine.workInTransit += attempt.request.work;
    time_.in(oneWay, [this, query, no] { requestArrived(query, no); });
  } else if (silent) {
    fails(scenario_.dialTimeout);
  } else if (!machine.model.up() || machine.connections >= machine.spec.traits.connections) {
    fails(2 * oneWay);
  } else {
    statistics_.dialled();
    attempt.executions.back().dialled = true;
    statistics_.connections(++machine.connections);
    machine.workInTransit += attempt.request.work;
    time_.in(3 * oneWay, [this, query, no] { requestArrived(query, no); });
  }
  time_.in(timeout, [this, query, no] { endExecution(query, no, Outcome::timeout, {}); });
}

void VirtualRun::cancel(QueryKey query, std::uint32_t no) {
  time_.in(Span{}, [this, query, no] { endExecution(query, no, Outcome::cancelled, {}); });
}

void VirtualRun::requestArrived(QueryKey query, std::uint32_t no) {
  const auto at = attempts_.find(query);
  if (at == attempts_.end()) return;
  Attempt& attempt = at->second;
  Execution& execution = attempt.executions[no];
  Machine& machine = machines_[execution.server];
  machine.workInTransit = std::max(0.0, machine.workInTransit - attempt.request.work);
  const Span now = time_.now();
  const ZoneId from = sidecars_[attempt.balancer]->zone_;
  if (machine.vanished || !reachable(from, machine.spec.zone)) return;  // lost without notice
  if (!machine.model.up() || execution.epoch != machine.epoch) return reply(query, no, Outcome::reset, {});
  if (execution.over && scenario_.traits.cancelStops != CancelStops::nothing) return;
  Job job = dedupGroups_.makeJob(scenario_, attempt.request, machine.spec, std::uint64_t{query} << 8U | no);
  if (execution.dialled) job.work += scenario_.connectionWork;
  if (machine.resetShare > 0 && uniform01(random_) < machine.resetShare)
    return reply(query, no, Outcome::reset, {});
  const bool matches = !machine.errorUseCase || *machine.errorUseCase == attempt.request.useCase;
  if (matches && machine.errorShare > 0 && uniform01(random_) < machine.errorShare) {
    execution.error = true;
    job.work *= kErrorWorkShare;
    job.dedup = nullptr;
  }
  execution.reached = true;
  statistics_.sent(now, execution.server, job.work);
  audit_.workReceived(now, machine.spec.id, attempt.balancer, job.work);
  const bool accepted = machine.model.offer(now, job);
  if (machine.model.overloaded()) return stopServer(execution.server, false);
  if (!accepted) return reply(query, no, Outcome::full, {});
  schedule(execution.server);
}

void VirtualRun::schedule(std::size_t server) {
  Machine& machine = machines_[server];
  const std::optional<Span> next = machine.model.next();
  if (!next || *next >= machine.due) return;
  machine.due = *next;
  time_.at(*next, [this, server] { advanceServer(server); });
}

void VirtualRun::advanceServer(std::size_t server) {
  Machine& machine = machines_[server];
  if (machine.due > time_.now()) return;
  machine.due = Span::max();
  for (const Finished& finished : machine.model.advance(time_.now())) finish(server, finished);
  schedule(server);
}

void VirtualRun::finish(std::size_t server, const Finished& finished) {
  const auto query = static_cast<QueryKey>(finished.job.id >> 8U);
  const auto no = static_cast<std::uint32_t>(finished.job.id & 0xffU);
  Machine& machine = machines_[server];
  statistics_.worked(finished.worked);
  const auto at = attempts_.find(query);
  const bool awaited = at != attempts_.end() && !at->second.executions[no].over;
  const bool error = at != attempts_.end() && at->second.executions[no].error;
  if (at != attempts_.end() && finished.effect && !error) {
    const UseCase& use = scenario_.useCases[at->second.request.useCase].useCase;
    audit_.effect(finished.at, query, at->second.request.number, use.retrySafety, machine.spec.id);
  }
  log(server, finished, awaited && !error);
  if (!awaited || error || at->second.answered || at->second.abandoned) statistics_.wasted(finished.worked);
  if (!awaited) return;
  if (error) return reply(query, no, Outcome::error, {});
  const double breaks = machine.truncateShare + machine.malformShare;
  if (breaks > 0 && uniform01(random_) < breaks) return reply(query, no, Outcome::reset, {});
  reply(query, no, Outcome::completed, machine.model.reported());
}

void VirtualRun::reply(QueryKey query, std::uint32_t no, Outcome outcome, Span service) {
  const Attempt& attempt = attempts_.at(query);
  const ZoneId from = machines_[attempt.executions[no].server].spec.zone;
  const ZoneId to = sidecars_[attempt.balancer]->zone_;
  if (!reachable(from, to)) return;
  time_.in(networkDelay(from, to),
           [this, query, no, outcome, service] { endExecution(query, no, outcome, service); });
}

void VirtualRun::endExecution(QueryKey query, std::uint32_t no, Outcome outcome, Span service) {
  const auto at = attempts_.find(query);
  if (at == attempts_.end()) return;
  Attempt& attempt = at->second;
  Execution& execution = attempt.executions[no];
  if (std::exchange(execution.over, true)) return;
  const Span now = time_.now();
  Machine& machine = machines_[execution.server];
  Sidecar& sidecar = *sidecars_[attempt.balancer];
  statistics_.outcome(outcome);
  const bool reusable =
      outcome == Outcome::completed || outcome == Outcome::error || outcome == Outcome::full;
  if (execution.epoch == machine.epoch && outcome != Outcome::connectFailed) {
    if (reusable) {
      sidecar.idle_[execution.server].push_back({now, machine.epoch});
    } else if (machine.connections > 0) {
      --machine.connections;
    }
  }
  if ((outcome == Outcome::timeout || outcome == Outcome::cancelled) && execution.reached) {
    const std::uint64_t job = std::uint64_t{query} << 8U | no;
    const std::size_t server = execution.server;
    time_.in(networkDelay(sidecar.zone_, machine.spec.zone), [this, server, job] {
      if (const auto worked = machines_[server].model.cancel(time_.now(), job)) {
        statistics_.worked(*worked);
        statistics_.wasted(*worked);
        Finished stopped;
        stopped.job.id = job;
        stopped.at = time_.now();
        stopped.worked = *worked;
        log(server, stopped, false);
      }
      schedule(server);
    });
  }
  audit_.ended(now, query, no, outcome);
  if (outcome == Outcome::completed && !attempt.answered && !attempt.abandoned) {
    attempt.answered = true;
    audit_.answered(now, query, Answer::completed);
    time_.in(clientDelay(), [this, query] { clientReceives(query, Answer::completed, {}); });
  }
  const bool terminal = attempt.answered || attempt.abandoned;
  sidecar.policy_->executionEnded(now, {query}, {no}, outcome, terminal, service);
  samplePoolStatus(sidecar, true);
  eraseIfOver(query);
}

void VirtualRun::answer(QueryKey query, Answer how, Span advice) {
  const auto at = attempts_.find(query);
  if (at == attempts_.end()) return;
  const Span now = time_.now();
  audit_.gaveUp(now, query);
  audit_.answered(now, query, how);
  if (std::exchange(at->second.answered, true) || at->second.abandoned) return;
  time_.in(clientDelay(), [this, query, how, advice] { clientReceives(query, how, advice); });
}

void VirtualRun::wakeAt(std::uint32_t balancer, Span time) {
  time_.at(time, [this, balancer] {
    Sidecar& sidecar = *sidecars_[balancer];
    sidecar.policy_->wake(time_.now());
    samplePoolStatus(sidecar, true);
  });
}

void VirtualRun::samplePoolStatus(Sidecar& sidecar, bool mayHaveEjected) {
  const PoolStatus now = sidecar.policy_->poolStatus(time_.now());
  if (mayHaveEjected) audit_.ejected(time_.now(), sidecar.no_, sidecar.poolStatus_, now);
  sidecar.poolStatus_ = now;
}

void VirtualRun::log(std::size_t server, const Finished& finished, bool used) {
  if (plan_.executions == nullptr) return;
  *plan_.executions << R"({"query":)" << (finished.job.id >> 8U) << R"(,"no":)" << (finished.job.id & 0xffU)
                    << R"(,"server":")" << machines_[server].spec.name << R"(","from_us":)"
                    << (finished.at - finished.worked).count() << R"(,"ended_us":)" << finished.at.count()
                    << R"(,"worked_us":)" << finished.worked.count() << R"(,"effect":)"
                    << (finished.effect ? "true" : "false") << R"(,"wasted_us":)"
                    << (used ? 0 : finished.worked.count()) << "}\n";
}

// ---- Connections and network

bool VirtualRun::takeIdleConnection(Sidecar& from, std::size_t server) {
  const auto at = from.idle_.find(server);
  if (at == from.idle_.end()) return false;
  Machine& machine = machines_[server];
  std::vector<Sidecar::Idle>& idle = at->second;
  std::erase_if(idle, [&](const Sidecar::Idle& one) { return one.epoch != machine.epoch; });
  if (idle.empty() || idle.back().since + scenario_.connectionIdle <= time_.now()) return false;
  idle.pop_back();
  return true;
}

void VirtualRun::closeIdleConnections() {
  for (const auto& sidecar : sidecars_) {
    for (auto& [server, idle] : sidecar->idle_) {
      Machine& machine = machines_[server];
      std::erase_if(idle, [&](const Sidecar::Idle& one) {
        if (one.epoch != machine.epoch) return true;
        if (one.since + scenario_.connectionIdle > time_.now()) return false;
        if (machine.connections > 0) --machine.connections;
        return true;
      });
    }
    std::erase_if(sidecar->idle_, [](const auto& entry) { return entry.second.empty(); });
  }
}

Span VirtualRun::networkDelay(ZoneId a, ZoneId b) {
  const Span mean = a == b ? scenario_.sameZoneDelay : scenario_.crossZoneDelay;
  return span(seconds(mean) * (1 + scenario_.jitter * (2 * uniform01(network_) - 1)));
}

Span VirtualRun::clientDelay() {
  return span(seconds(scenario_.clientDelay) * (1 + scenario_.jitter * (2 * uniform01(network_) - 1)));
}

bool VirtualRun::reachable(ZoneId a, ZoneId b) const {
  return !partitionedZone_ || a == b || (a.value != *partitionedZone_ && b.value != *partitionedZone_);
}

// ---- Servers and troubles

void VirtualRun::stopServer(std::size_t server, bool vanish) {
  Machine& machine = machines_[server];
  if (!machine.model.up()) return;
  machine.vanished = vanish;
  audit_.stopped(time_.now(), machine.spec.id);
  for (const Finished& lost : machine.model.stop(time_.now())) {
    statistics_.worked(lost.worked);
    statistics_.wasted(lost.worked);
    log(server, lost, false);
    const auto query = static_cast<QueryKey>(lost.job.id >> 8U);
    const auto no = static_cast<std::uint32_t>(lost.job.id & 0xffU);
    const auto at = attempts_.find(query);
    if (vanish || at == attempts_.end() || at->second.executions[no].over) continue;
    reply(query, no, Outcome::reset, {});
  }
  machine.connections = 0;
  if (!vanish) ++machine.epoch;  // connections of a vanished machine stay open without traffic
}

void VirtualRun::startServer(std::size_t server) {
  Machine& machine = machines_[server];
  if (machine.model.up()) return;
  if (std::exchange(machine.vanished, false)) ++machine.epoch;
  machine.connections = 0;
  machine.model.start(time_.now(), true);
  audit_.started(time_.now(), machine.spec.id, machine.spec.traits.cores * machine.spec.traits.speed);
  lifecycleChanged(server, Lifecycle::serving);
}

void VirtualRun::reschedule(std::size_t server) {
  machines_[server].due = Span::max();
  schedule(server);
}

void VirtualRun::watchLost(std::uint32_t balancer) {
  time_.in(networkDelay({0}, {0}), [this, balancer] {
    audit_.listUnreliable(time_.now(), balancer, time_.now() + scenario_.drainGrace);
    sidecars_[balancer]->policy_->discoveryFailed(time_.now());
  });
}

void VirtualRun::sendSnapshot(std::uint32_t balancer) {
  time_.in(networkDelay({0}, {1}), [this, balancer] { sendSnapshotNow(balancer); });
}

// ---- Discovery

void VirtualRun::lifecycleChanged(std::size_t server, Lifecycle lifecycle) {
  const Machine& machine = machines_[server];
  std::optional<Span> started;
  if (machine.model.startedAt() != Span::min()) started = machine.model.startedAt();
  time_.in(scenario_.discoveryDelay + registry_.delay(), [this, server, lifecycle, started] {
    registry_.change(machines_[server].spec.id, lifecycle, started);
    notifyWatchers();
  });
}

void VirtualRun::notifyWatchers() {
  for (const std::uint32_t balancer : registry_.watching())
    time_.in(networkDelay({0}, {balancer % 2}), [this, balancer] { sendChanges(balancer); });
}

void VirtualRun::sendChanges(std::uint32_t balancer) {
  if (!registry_.hasPendingChanges(balancer)) return;
  sendList(balancer, ServerListKind::changes, registry_.takeChanges(balancer));
}

void VirtualRun::sendSnapshotNow(std::uint32_t balancer) {
  static_cast<void>(registry_.takeChanges(balancer));
  sendList(balancer, ServerListKind::complete, registry_.snapshot());
}

void VirtualRun::callDiscovery(std::uint32_t balancer, bool watch) {
  const Span oneWay = networkDelay({0}, {balancer % 2});
  const std::optional<Span> done = registry_.admitCall(time_.now() + oneWay);
  if (!done) {
    const Span failed = registry_.inOutage() ? 2 * oneWay : scenario_.discoveryMaxWait + 2 * oneWay;
    time_.in(failed, [this, balancer] { sidecars_[balancer]->policy_->discoveryFailed(time_.now()); });
    return;
  }
  time_.at(*done + oneWay, [this, balancer, watch] {
    // A call that began before an outage must not succeed during it.
    if (registry_.inOutage()) return sidecars_[balancer]->policy_->discoveryFailed(time_.now());
    if (!watch) return sendSnapshotNow(balancer);
    registry_.subscribe(balancer, true);
    sendList(balancer, ServerListKind::changes, registry_.takeChanges(balancer));
  });
}

void VirtualRun::sendList(std::uint32_t balancer, ServerListKind listing,
                          const std::vector<RegistryEntry>& entries) {
  Sidecar& sidecar = *sidecars_[balancer];
  const Span now = time_.now();
  std::vector<ListedServer> listed;
  for (const RegistryEntry& entry : entries)
    listed.push_back({entry.server.id, entry.lifecycle, entry.server.zone, entry.server.cell,
                      entry.server.size, entry.startedAt});
  views_.update(now, balancer, listing != ServerListKind::changes, entries);
  sidecar.policy_->serversListed(now, listing, listed);
  samplePoolStatus(sidecar, false);
}

// ---- Sampling

void VirtualRun::sample() {
  const Span now = time_.now();
  closeIdleConnections();
  double ejected = 0;
  double pool = 0;
  for (const auto& sidecar : sidecars_) {
    const PoolStatus status = sidecar->policy_->poolStatus(now);
    ejected += status.ejected;
    pool += status.pool;
  }
  statistics_.ejected(now, pool > 0 ? ejected / pool : 0);
  for (std::size_t i = 0; i < machines_.size(); ++i)
    statistics_.serverLoad(now, i, static_cast<double>(machines_[i].model.inFlight()),
                           machines_[i].model.up());
  if (plan_.progress) plan_.progress(std::min(1.0, seconds(now) / seconds(scenario_.length)));
  if (now + kSampleInterval < scenario_.length) time_.in(kSampleInterval, [this] { sample(); });
}

double VirtualRun::estimateWait(std::uint32_t balancer, ServerId server) {
  const Machine& machine = machines_[serverIndex_.at(server.value)];
  const ZoneId from = sidecars_[balancer]->zone_;
  const Span now = time_.now();
  if (!machine.model.up() || machine.model.hung() || !reachable(from, machine.spec.zone)) return -1;
  if (machine.errorShare > 0 || machine.resetShare > 0 || machine.truncateShare + machine.malformShare > 0)
    return -1;
  const double work = scenario_.meanWork();
  if (!machine.model.canAbsorb(now, machine.workInTransit + 2 * work)) return -1;
  const double speed = std::max(machine.model.capacity(now), 1e-6);
  const Span mean = from == machine.spec.zone ? scenario_.sameZoneDelay : scenario_.crossZoneDelay;
  return machine.model.backlog(now) + (machine.workInTransit + work * machine.spec.traits.cores) / speed +
         2 * seconds(mean);
}

}  // namespace

AuditLimits auditLimitsOf(const Scenario& scenario) {
  AuditLimits limits;
  for (const UseCasePlan& plan : scenario.useCases) limits.useCases.push_back(plan.useCase);
  limits.answerSlack = scenario.answerSlack;
  limits.drainGrace = scenario.drainGrace;
  limits.coldShare = scenario.traits.coldShare;
  limits.coldTime = scenario.traits.coldTime;
  limits.overloadMultiple = scenario.traits.overloadMultiple;
  limits.overloadWindow = scenario.traits.overloadWindow;
  return limits;
}

Result runVirtual(const Scenario& scenario, const RunPlan& plan) { return VirtualRun(scenario, plan).run(); }

}  // namespace rackroute::lab
