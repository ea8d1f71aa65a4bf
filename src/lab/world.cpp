#include "lab/world.hpp"

#include <algorithm>
#include <array>
#include <optional>
#include <string>
#include <unordered_map>
#include <utility>
#include <vector>

#include "lab/draws.hpp"
#include "lab/fleet.hpp"
#include "lab/registry_model.hpp"
#include "lab/server_model.hpp"
#include "lab/stand_in.hpp"
#include "lab/timeline.hpp"

namespace rackroute::lab {
namespace {

using namespace std::chrono_literals;

constexpr Span kSecond = 1s;  // between two samples of the fleet
constexpr Span kAfter = 5s;   // beyond the longest time of a query, until a run must be at rest

using QueryKey = std::uint32_t;  // a query's id; unique in the run

class World;

struct Execution {
  std::size_t server = 0;
  std::uint32_t epoch = 0;  // of the server's connections, when it was sent
  Span sentAt{};
  bool over = false;     // its balancer has been told its end
  bool dialled = false;  // on a new connection
  bool reached = false;  // its server has begun to hold it
  bool error = false;    // it will fail
};

struct Try {  // one query at one balancer
  Ask ask;
  std::uint32_t balancer = 0;
  std::uint32_t tries = 0;  // of its client, this one included
  Span deadline{};          // when its client gives it up
  bool answered = false;
  bool gone = false;     // its client left
  bool settled = false;  // its client knows how it ended
  std::vector<Execution> executions;
  [[nodiscard]] bool over() const {
    return (answered || gone) && settled &&
           std::all_of(executions.begin(), executions.end(), [](const Execution& e) { return e.over; });
  }
};

struct Machine : StandIn {  // one server with what surrounds its process
  using StandIn::StandIn;
  Span due = Span::max();       // when its turn is due
  std::size_t connections = 0;  // open
  std::uint32_t epoch = 0;      // grows when its connections are lost
  bool vanished = false;        // the machine says nothing; false while down: its process is dead
  double onTheWay = 0;          // seconds of work
};

class Sidecar : public BalancerHost {  // one balancer with its connections
 public:
  Sidecar(World& world, std::uint32_t no, ZoneId zone) : world_(world), no_(no), zone_(zone) {}
  void execute(QueryId query, ServerId server, Span timeout) override;
  void cancel(QueryId query, ExecutionNo execution) override;
  void reject(QueryId query, Span comeBackAfter) override;
  void abort(QueryId query) override;
  void wakeAt(Span time) override;
  void watchServers() override;
  void listServers() override;

  struct Idle {
    Span since;
    std::uint32_t epoch;
  };
  World& world_;
  std::uint32_t no_;
  ZoneId zone_;
  std::unique_ptr<Contender> contender_;
  std::unordered_map<std::size_t, std::vector<Idle>> idle_;  // by server, the latest last
  PoolStatus standing_;
};

class World : public Stricken {
 public:
  World(const Scenario& scenario, const RunPlan& plan);
  Result run();

  // ---- What balancers ask for
  void execute(Sidecar& from, QueryKey query, ServerId server, Span timeout);
  void cancel(QueryKey query, std::uint32_t no);
  void answer(QueryKey query, Answer how, Span advice);
  void wakeAt(std::uint32_t balancer, Span time);
  void callDiscovery(std::uint32_t balancer, bool watch);

 private:
  // ---- Clients
  void arrive();
  void tryOnce(const Ask& ask, std::uint32_t tries, Span at);
  void take(QueryKey query);
  void clientsTimeUp(QueryKey query);
  void clientLeaves(QueryKey query);
  void clientHears(QueryKey query, Answer how, Span advice);
  void goOn(Try& ended, const NextStep& next);
  void settle(Try& ended, Fate fate);
  void forget(QueryKey query);

  // ---- Executions
  void reach(QueryKey query, std::uint32_t no);
  void end(QueryKey query, std::uint32_t no, Outcome outcome, Span service);
  void turnOf(std::size_t server);
  void schedule(std::size_t server);
  void finish(std::size_t server, const Finished& finished);
  void reply(QueryKey query, std::uint32_t no, Outcome outcome, Span service);
  void log(std::size_t server, const Finished& finished, bool used);

  // ---- Connections and ways
  bool takeIdle(Sidecar& from, std::size_t server);
  void closeIdle();
  Span way(ZoneId a, ZoneId b);
  Span clientWay();
  [[nodiscard]] bool reachable(ZoneId a, ZoneId b) const;

  // ---- Servers, troubles, discovery
  [[nodiscard]] Span now() const override { return time_.now(); }
  void later(Span wait, std::function<void()> deed) override { time_.in(wait, std::move(deed)); }
  StandIn& standIn(std::size_t server) override { return machines_[server]; }
  void turn(std::size_t server) override;
  void die(std::size_t server, bool vanish) override;
  void come(std::size_t server) override;
  void changed(std::size_t server, Lifecycle lifecycle) override;
  void cutOff(std::optional<std::uint32_t> zone) override { cutZone_ = zone; }
  void watchBroke(std::uint32_t balancer) override;
  void tellWhole(std::uint32_t balancer) override;
  void push();
  void tellChanges(std::uint32_t balancer);
  void tellNow(std::uint32_t balancer);
  void tell(std::uint32_t balancer, ServerListKind listing, const std::vector<RegistryEntry>& entries);
  void sample();
  double trueWait(std::uint32_t balancer, ServerId server);
  void sampleStanding(Sidecar& sidecar, bool mayHaveEjected);

  const Scenario& scenario_;
  const RunPlan& plan_;
  Timeline time_;
  Tally tally_;
  Audit audit_;
  Clients clients_;
  Chance network_;
  Chance chance_;
  std::vector<Machine> machines_;
  std::unordered_map<std::uint64_t, std::size_t> machineOf_;  // by server id
  std::vector<std::unique_ptr<Sidecar>> sidecars_;
  std::unordered_map<QueryKey, Try> tries_;
  std::optional<Ask> next_;
  RegistryModel registry_;
  ToldLists told_;
  MarkGroups marks_;
  std::optional<std::uint32_t> cutZone_;
  std::vector<std::vector<std::size_t>> hit_;  // by trouble
  QueryKey lastQuery_ = 0;
};

void Sidecar::execute(QueryId query, ServerId server, Span timeout) {
  world_.execute(*this, query.value, server, timeout);
}
void Sidecar::cancel(QueryId query, ExecutionNo execution) { world_.cancel(query.value, execution.value); }
void Sidecar::reject(QueryId query, Span comeBackAfter) {
  world_.answer(query.value, Answer::rejected, comeBackAfter);
}
void Sidecar::abort(QueryId query) { world_.answer(query.value, Answer::aborted, {}); }
void Sidecar::wakeAt(Span time) { world_.wakeAt(no_, time); }
void Sidecar::watchServers() { world_.callDiscovery(no_, true); }
void Sidecar::listServers() { world_.callDiscovery(no_, false); }

World::World(const Scenario& scenario, const RunPlan& plan)
    : scenario_(scenario),
      plan_(plan),
      tally_(scenario),
      audit_(measuresOf(scenario)),
      clients_(scenario, plan.seed),
      network_(chanceOf(plan.seed, Purpose::network)),
      chance_(chanceOf(plan.seed, Purpose::troubles, scenario.troubles.size())),
      registry_(scenario),
      told_(scenario, drawFleet(scenario, plan.seed), audit_) {
  const std::vector<FleetServer> fleet = drawFleet(scenario, plan.seed);
  for (const FleetServer& drawn : fleet) machines_.emplace_back(drawn);
  for (std::size_t i = 0; i < machines_.size(); ++i) {
    Machine& machine = machines_[i];
    machineOf_[machine.drawn.id.value] = i;
    const bool there = machine.drawn.atStart;
    registry_.add({machine.drawn.id, i, machine.drawn.zone, machine.drawn.cell, machine.drawn.size}, there);
    if (!there) static_cast<void>(machine.model.stop(Span{}));
  }
  for (std::size_t no = 0; no < scenario.troubles.size(); ++no) {
    hit_.push_back(hitBy(scenario, no, fleet, plan.seed));
    const Trouble& planned = scenario.troubles[no];
    const auto plays = [this, no](bool begins) {
      play(scenario_.troubles[no], begins, hit_[no], machines_.size(), registry_, *this);
    };
    time_.at(planned.at, [plays] { plays(true); });
    time_.at(planned.at + planned.length, [plays] { plays(false); });
  }
  const MakeContender make = plan.make
                                 ? plan.make
                                 : [kind = policyOf(plan.policy)](const BalancerConfig& terms,
                                                                  BalancerHost& host, const TrueWait& sees) {
                                     return makeContender(kind, terms, host, sees);
                                   };
  for (std::uint32_t i = 0; i < scenario.balancers; ++i) {
    const BalancerConfig terms = scenario.terms(plan.seed, i);
    sidecars_.push_back(std::make_unique<Sidecar>(*this, i, terms.zone));
    Sidecar& sidecar = *sidecars_.back();
    sidecar.contender_ = make(terms, sidecar, [this](std::uint32_t balancer, ServerId server) {
      return trueWait(balancer, server);
    });
    tell(i, ServerListKind::persisted, registry_.whole());
    registry_.joined(i, !scenario.onRequest);
  }
}

Result World::run() {
  time_.at(Span{}, [this] { sample(); });
  next_ = clients_.next();
  if (next_) time_.at(next_->at, [this] { arrive(); });
  const Span last = scenario_.length + std::max_element(scenario_.useCases.begin(), scenario_.useCases.end(),
                                                        [](const UseCasePlan& a, const UseCasePlan& b) {
                                                          return a.timeout < b.timeout;
                                                        })
                                           ->timeout;
  while (time_.step(last + kAfter)) continue;
  audit_.close(time_.now());
  Result result;
  result.goodput = tally_.goodput();
  result.breaches = audit_.count();
  result.told = audit_.breaches();
  result.json = resultJson(scenario_, plan_.policy, "virtual", plan_.seed, tally_, audit_);
  result.json["events"] = time_.done();
  return result;
}

// ---- Clients

void World::arrive() {
  const Ask ask = *next_;
  next_ = clients_.next();
  if (next_) time_.at(next_->at, [this] { arrive(); });
  tryOnce(ask, 1, time_.now());
}

void World::tryOnce(const Ask& ask, std::uint32_t tries, Span at) {
  const QueryKey query = ++lastQuery_;
  const Span whole = scenario_.useCases[ask.useCase].timeout;
  const Span ends = std::min(at + span(scenario_.tryShare * seconds(whole)), ask.at + whole);
  Try& made = tries_[query];
  made.ask = ask;
  made.balancer = ask.balancer;
  made.tries = tries;
  made.deadline = ends;
  time_.at(at + clientWay(), [this, query] { take(query); });
  if (ask.leavesAfter <= 1)
    time_.at(at + span(ask.leavesAfter * seconds(ends - at)), [this, query] { clientLeaves(query); });
}

void World::take(QueryKey query) {
  const auto at = tries_.find(query);
  if (at == tries_.end()) return;  // its client left before it came
  Try& taken = at->second;
  const Span now = time_.now();
  const Span left = std::max(taken.deadline - now, Span{1});
  audit_.taken(now, query, taken.balancer, {taken.ask.useCase}, now + left, taken.ask.number);
  time_.at(now + left + scenario_.answerSlack + Span{1}, [this, query] { clientsTimeUp(query); });
  Query asked;
  asked.id = {query};
  asked.useCase = {taken.ask.useCase};
  asked.timeLeft = left;
  if (taken.ask.key) asked.key = KeyId{*taken.ask.key};
  sidecars_[taken.balancer]->contender_->take(now, asked);
  forget(query);
}

void World::clientsTimeUp(QueryKey query) {
  const auto at = tries_.find(query);
  if (at == tries_.end() || at->second.answered || at->second.gone) return;
  at->second.gone = true;
  audit_.clientLeft(time_.now(), query);
  sidecars_[at->second.balancer]->contender_->clientLeft(time_.now(), {query});
  goOn(at->second, afterSilence(scenario_, at->second.ask, at->second.tries, time_.now()));
  forget(query);
}

void World::clientLeaves(QueryKey query) {
  const auto at = tries_.find(query);
  if (at == tries_.end() || at->second.answered || at->second.gone) return;
  at->second.gone = true;
  settle(at->second, Fate::left);
  audit_.clientLeft(time_.now(), query);
  sidecars_[at->second.balancer]->contender_->clientLeft(time_.now(), {query});
  forget(query);
}

void World::clientHears(QueryKey query, Answer how, Span advice) {
  Try& heard = tries_.at(query);
  goOn(heard, afterAnswer(scenario_, heard.ask, heard.tries, how, advice, time_.now()));
  forget(query);
}

// A client's retry counts as part of its first try: same mark, the time since the first goes on.
void World::goOn(Try& ended, const NextStep& next) {
  if (!next.again) return settle(ended, next.fate);
  tally_.retried();
  const Ask ask = ended.ask;
  const std::uint32_t tries = ended.tries + 1;
  const Span at = time_.now() + *next.again;
  time_.at(at, [this, ask, tries, at] { tryOnce(ask, tries, at); });
  ended.settled = true;
}

void World::settle(Try& ended, Fate fate) {
  if (std::exchange(ended.settled, true)) return;
  tally_.asked(ended.ask.at, ended.ask.useCase, fate, time_.now() - ended.ask.at);
}

void World::forget(QueryKey query) {
  const auto at = tries_.find(query);
  if (at != tries_.end() && at->second.over()) tries_.erase(at);
}

// ---- Executions

void World::execute(Sidecar& from, QueryKey query, ServerId server, Span timeout) {
  Try& asked = tries_.at(query);
  const std::size_t place = machineOf_.at(server.value);
  Machine& machine = machines_[place];
  const auto no = static_cast<std::uint32_t>(asked.executions.size());
  const Span now = time_.now();
  audit_.sent(now, query, no, server, machine.drawn.zone, machine.drawn.cell);
  tally_.executed();
  if (from.zone_ != machine.drawn.zone) tally_.crossed();
  asked.executions.push_back({.server = place, .epoch = machine.epoch, .sentAt = now});
  const Span oneWay = way(from.zone_, machine.drawn.zone);
  const auto fails = [&](Span after) {
    time_.in(after, [this, query, no] { end(query, no, Outcome::connectFailed, {}); });
  };
  const bool silent = machine.vanished || !reachable(from.zone_, machine.drawn.zone);
  if (takeIdle(from, place)) {
    machine.onTheWay += asked.ask.work;
    time_.in(oneWay, [this, query, no] { reach(query, no); });
  } else if (silent) {
    fails(scenario_.dialTimeout);
  } else if (!machine.model.up() || machine.connections >= machine.drawn.traits.connections) {
    fails(2 * oneWay);
  } else {
    tally_.dialled();
    asked.executions.back().dialled = true;
    tally_.connections(++machine.connections);
    machine.onTheWay += asked.ask.work;
    time_.in(3 * oneWay, [this, query, no] { reach(query, no); });
  }
  time_.in(timeout, [this, query, no] { end(query, no, Outcome::timeout, {}); });
}

void World::cancel(QueryKey query, std::uint32_t no) {
  time_.in(Span{}, [this, query, no] { end(query, no, Outcome::cancelled, {}); });
}

void World::reach(QueryKey query, std::uint32_t no) {
  const auto at = tries_.find(query);
  if (at == tries_.end()) return;
  Try& asked = at->second;
  Execution& execution = asked.executions[no];
  Machine& machine = machines_[execution.server];
  machine.onTheWay = std::max(0.0, machine.onTheWay - asked.ask.work);
  const Span now = time_.now();
  const ZoneId from = sidecars_[asked.balancer]->zone_;
  if (machine.vanished || !reachable(from, machine.drawn.zone)) return;  // lost; nothing tells
  if (!machine.model.up() || execution.epoch != machine.epoch) return reply(query, no, Outcome::reset, {});
  if (execution.over && scenario_.traits.cancelStops != CancelStops::nothing) return;
  Job job = marks_.jobOf(scenario_, asked.ask, machine.drawn, std::uint64_t{query} << 8U | no);
  if (execution.dialled) job.work += scenario_.connectionWork;
  if (machine.resets > 0 && fraction(chance_) < machine.resets) return reply(query, no, Outcome::reset, {});
  const bool aimed = !machine.errorsOf || *machine.errorsOf == asked.ask.useCase;
  if (aimed && machine.errors > 0 && fraction(chance_) < machine.errors) {
    execution.error = true;
    job.work *= kErrorWork;
    job.marks = nullptr;
  }
  execution.reached = true;
  tally_.sent(now, execution.server, job.work);
  audit_.pressed(now, machine.drawn.id, asked.balancer, job.work);
  const bool room = machine.model.offer(now, job);
  if (machine.model.fell()) return die(execution.server, false);
  if (!room) return reply(query, no, Outcome::full, {});
  schedule(execution.server);
}

void World::schedule(std::size_t server) {
  Machine& machine = machines_[server];
  const std::optional<Span> next = machine.model.next();
  if (!next || *next >= machine.due) return;
  machine.due = *next;
  time_.at(*next, [this, server] { turnOf(server); });
}

void World::turnOf(std::size_t server) {
  Machine& machine = machines_[server];
  if (machine.due > time_.now()) return;
  machine.due = Span::max();
  for (const Finished& finished : machine.model.advance(time_.now())) finish(server, finished);
  schedule(server);
}

void World::finish(std::size_t server, const Finished& finished) {
  const auto query = static_cast<QueryKey>(finished.job.id >> 8U);
  const auto no = static_cast<std::uint32_t>(finished.job.id & 0xffU);
  Machine& machine = machines_[server];
  tally_.worked(finished.worked);
  const auto at = tries_.find(query);
  const bool waits = at != tries_.end() && !at->second.executions[no].over;
  const bool error = at != tries_.end() && at->second.executions[no].error;
  if (at != tries_.end() && finished.effect && !error) {
    const UseCase& use = scenario_.useCases[at->second.ask.useCase].terms;
    audit_.effect(finished.at, query, at->second.ask.number, use.retrySafety, machine.drawn.id);
  }
  log(server, finished, waits && !error);
  if (!waits || error || at->second.answered || at->second.gone) tally_.wasted(finished.worked);
  if (!waits) return;
  if (error) return reply(query, no, Outcome::error, {});
  const double breaks = machine.cuts + machine.spoils;
  if (breaks > 0 && fraction(chance_) < breaks) return reply(query, no, Outcome::reset, {});
  reply(query, no, Outcome::completed, machine.model.reported());
}

void World::reply(QueryKey query, std::uint32_t no, Outcome outcome, Span service) {
  const Try& asked = tries_.at(query);
  const ZoneId from = machines_[asked.executions[no].server].drawn.zone;
  const ZoneId to = sidecars_[asked.balancer]->zone_;
  if (!reachable(from, to)) return;
  time_.in(way(from, to), [this, query, no, outcome, service] { end(query, no, outcome, service); });
}

void World::end(QueryKey query, std::uint32_t no, Outcome outcome, Span service) {
  const auto at = tries_.find(query);
  if (at == tries_.end()) return;
  Try& asked = at->second;
  Execution& execution = asked.executions[no];
  if (std::exchange(execution.over, true)) return;
  const Span now = time_.now();
  Machine& machine = machines_[execution.server];
  Sidecar& sidecar = *sidecars_[asked.balancer];
  tally_.outcome(outcome);
  const bool kept = outcome == Outcome::completed || outcome == Outcome::error || outcome == Outcome::full;
  if (execution.epoch == machine.epoch && outcome != Outcome::connectFailed) {
    if (kept) {
      sidecar.idle_[execution.server].push_back({now, machine.epoch});
    } else if (machine.connections > 0) {
      --machine.connections;
    }
  }
  if ((outcome == Outcome::timeout || outcome == Outcome::cancelled) && execution.reached) {
    const std::uint64_t job = std::uint64_t{query} << 8U | no;
    const std::size_t server = execution.server;
    time_.in(way(sidecar.zone_, machine.drawn.zone), [this, server, job] {
      if (const auto worked = machines_[server].model.cancel(time_.now(), job)) {
        tally_.worked(*worked);
        tally_.wasted(*worked);
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
  if (outcome == Outcome::completed && !asked.answered && !asked.gone) {
    asked.answered = true;
    audit_.answered(now, query, Answer::completed);
    time_.in(clientWay(), [this, query] { clientHears(query, Answer::completed, {}); });
  }
  const bool terminal = asked.answered || asked.gone;
  sidecar.contender_->executionEnded(now, {query}, {no}, outcome, terminal, service);
  sampleStanding(sidecar, true);
  forget(query);
}

void World::answer(QueryKey query, Answer how, Span advice) {
  const auto at = tries_.find(query);
  if (at == tries_.end()) return;
  const Span now = time_.now();
  audit_.gaveUp(now, query);
  audit_.answered(now, query, how);
  if (std::exchange(at->second.answered, true) || at->second.gone) return;
  time_.in(clientWay(), [this, query, how, advice] { clientHears(query, how, advice); });
}

void World::wakeAt(std::uint32_t balancer, Span time) {
  time_.at(time, [this, balancer] {
    Sidecar& sidecar = *sidecars_[balancer];
    sidecar.contender_->wake(time_.now());
    sampleStanding(sidecar, true);
  });
}

void World::sampleStanding(Sidecar& sidecar, bool mayHaveEjected) {
  const PoolStatus now = sidecar.contender_->standing(time_.now());
  if (mayHaveEjected) audit_.ejected(time_.now(), sidecar.no_, sidecar.standing_, now);
  sidecar.standing_ = now;
}

void World::log(std::size_t server, const Finished& finished, bool used) {
  if (plan_.executions == nullptr) return;
  *plan_.executions << R"({"query":)" << (finished.job.id >> 8U) << R"(,"no":)" << (finished.job.id & 0xffU)
                    << R"(,"server":")" << machines_[server].drawn.name << R"(","from_us":)"
                    << (finished.at - finished.worked).count() << R"(,"ended_us":)" << finished.at.count()
                    << R"(,"worked_us":)" << finished.worked.count() << R"(,"effect":)"
                    << (finished.effect ? "true" : "false") << R"(,"wasted_us":)"
                    << (used ? 0 : finished.worked.count()) << "}\n";
}

// ---- Connections and ways

bool World::takeIdle(Sidecar& from, std::size_t server) {
  const auto at = from.idle_.find(server);
  if (at == from.idle_.end()) return false;
  Machine& machine = machines_[server];
  std::vector<Sidecar::Idle>& idle = at->second;
  std::erase_if(idle, [&](const Sidecar::Idle& one) { return one.epoch != machine.epoch; });
  if (idle.empty() || idle.back().since + scenario_.connectionIdle <= time_.now()) return false;
  idle.pop_back();
  return true;
}

void World::closeIdle() {
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

Span World::way(ZoneId a, ZoneId b) {
  const Span mean = a == b ? scenario_.sameZone : scenario_.crossZone;
  return span(seconds(mean) * (1 + scenario_.jitter * (2 * fraction(network_) - 1)));
}

Span World::clientWay() {
  return span(seconds(scenario_.clientWay) * (1 + scenario_.jitter * (2 * fraction(network_) - 1)));
}

bool World::reachable(ZoneId a, ZoneId b) const {
  return !cutZone_ || a == b || (a.value != *cutZone_ && b.value != *cutZone_);
}

// ---- Servers and troubles

void World::die(std::size_t server, bool vanish) {
  Machine& machine = machines_[server];
  if (!machine.model.up()) return;
  machine.vanished = vanish;
  audit_.stopped(time_.now(), machine.drawn.id);
  for (const Finished& lost : machine.model.stop(time_.now())) {
    tally_.worked(lost.worked);
    tally_.wasted(lost.worked);
    log(server, lost, false);
    const auto query = static_cast<QueryKey>(lost.job.id >> 8U);
    const auto no = static_cast<std::uint32_t>(lost.job.id & 0xffU);
    const auto at = tries_.find(query);
    if (vanish || at == tries_.end() || at->second.executions[no].over) continue;
    reply(query, no, Outcome::reset, {});
  }
  machine.connections = 0;
  if (!vanish) ++machine.epoch;  // a machine that vanished leaves its connections standing, silent
}

void World::come(std::size_t server) {
  Machine& machine = machines_[server];
  if (machine.model.up()) return;
  if (std::exchange(machine.vanished, false)) ++machine.epoch;
  machine.connections = 0;
  machine.model.start(time_.now(), true);
  audit_.started(time_.now(), machine.drawn.id, machine.drawn.traits.cores * machine.drawn.traits.speed);
  changed(server, Lifecycle::serving);
}

void World::turn(std::size_t server) {
  machines_[server].due = Span::max();
  schedule(server);
}

void World::watchBroke(std::uint32_t balancer) {
  time_.in(way({0}, {0}), [this, balancer] {
    audit_.doubtful(time_.now(), balancer, time_.now() + scenario_.drainGrace);
    sidecars_[balancer]->contender_->discoveryFailed(time_.now());
  });
}

void World::tellWhole(std::uint32_t balancer) {
  time_.in(way({0}, {1}), [this, balancer] { tellNow(balancer); });
}

// ---- Discovery

void World::changed(std::size_t server, Lifecycle lifecycle) {
  const Machine& machine = machines_[server];
  std::optional<Span> started;
  if (machine.model.startedAt() != Span::min()) started = machine.model.startedAt();
  time_.in(scenario_.discoveryDelay + registry_.lateBy(), [this, server, lifecycle, started] {
    registry_.change(machines_[server].drawn.id, lifecycle, started);
    push();
  });
}

void World::push() {
  for (const std::uint32_t balancer : registry_.watching())
    time_.in(way({0}, {balancer % 2}), [this, balancer] { tellChanges(balancer); });
}

void World::tellChanges(std::uint32_t balancer) {
  if (!registry_.behind(balancer)) return;
  tell(balancer, ServerListKind::changes, registry_.changesFor(balancer));
}

void World::tellNow(std::uint32_t balancer) {
  static_cast<void>(registry_.changesFor(balancer));
  tell(balancer, ServerListKind::complete, registry_.whole());
}

void World::callDiscovery(std::uint32_t balancer, bool watch) {
  const Span oneWay = way({0}, {balancer % 2});
  const std::optional<Span> done = registry_.call(time_.now() + oneWay);
  if (!done) {
    const Span failed = registry_.isOut() ? 2 * oneWay : scenario_.discoveryPatience + 2 * oneWay;
    time_.in(failed, [this, balancer] { sidecars_[balancer]->contender_->discoveryFailed(time_.now()); });
    return;
  }
  time_.at(*done + oneWay, [this, balancer, watch] {
    // Guards against an answer that a call begun before an outage would bring within it.
    if (registry_.isOut()) return sidecars_[balancer]->contender_->discoveryFailed(time_.now());
    if (!watch) return tellNow(balancer);
    registry_.joined(balancer, true);
    tell(balancer, ServerListKind::changes, registry_.changesFor(balancer));
  });
}

void World::tell(std::uint32_t balancer, ServerListKind listing, const std::vector<RegistryEntry>& entries) {
  Sidecar& sidecar = *sidecars_[balancer];
  const Span now = time_.now();
  std::vector<ListedServer> listed;
  for (const RegistryEntry& entry : entries)
    listed.push_back({entry.server.id, entry.lifecycle, entry.server.zone, entry.server.cell,
                      entry.server.size, entry.startedAt});
  told_.tell(now, balancer, listing != ServerListKind::changes, entries);
  sidecar.contender_->serversListed(now, listing, listed);
  sampleStanding(sidecar, false);
}

// ---- Looks at the whole

void World::sample() {
  const Span now = time_.now();
  closeIdle();
  double ejected = 0;
  double pool = 0;
  for (const auto& sidecar : sidecars_) {
    const PoolStatus standing = sidecar->contender_->standing(now);
    ejected += standing.ejected;
    pool += standing.pool;
  }
  tally_.ejected(now, pool > 0 ? ejected / pool : 0);
  for (std::size_t i = 0; i < machines_.size(); ++i)
    tally_.serverLoad(now, i, static_cast<double>(machines_[i].model.held()), machines_[i].model.up());
  if (plan_.progress) plan_.progress(std::min(1.0, seconds(now) / seconds(scenario_.length)));
  if (now + kSecond < scenario_.length) time_.in(kSecond, [this] { sample(); });
}

double World::trueWait(std::uint32_t balancer, ServerId server) {
  const Machine& machine = machines_[machineOf_.at(server.value)];
  const ZoneId from = sidecars_[balancer]->zone_;
  const Span now = time_.now();
  if (!machine.model.up() || machine.model.hangs() || !reachable(from, machine.drawn.zone)) return -1;
  if (machine.errors > 0 || machine.resets > 0 || machine.cuts + machine.spoils > 0) return -1;
  const double work = scenario_.meanWork();
  if (!machine.model.bears(now, machine.onTheWay + 2 * work)) return -1;
  const double speed = std::max(machine.model.capacity(now), 1e-6);
  const Span mean = from == machine.drawn.zone ? scenario_.sameZone : scenario_.crossZone;
  return machine.model.backlog(now) + (machine.onTheWay + work * machine.drawn.traits.cores) / speed +
         2 * seconds(mean);
}

}  // namespace

Measures measuresOf(const Scenario& scenario) {
  Measures measures;
  for (const UseCasePlan& plan : scenario.useCases) measures.useCases.push_back(plan.terms);
  measures.answerSlack = scenario.answerSlack;
  measures.drainGrace = scenario.drainGrace;
  measures.coldShare = scenario.traits.coldShare;
  measures.coldTime = scenario.traits.coldTime;
  measures.overloadMultiple = scenario.traits.overloadMultiple;
  measures.overloadWindow = scenario.traits.overloadWindow;
  return measures;
}

Result playVirtual(const Scenario& scenario, const RunPlan& plan) { return World(scenario, plan).run(); }

}  // namespace rackroute::lab
