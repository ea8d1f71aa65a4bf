#include "lab/scenario.hpp"

#include <algorithm>
#include <array>
#include <cmath>

#include "lab/section.hpp"

namespace rackroute::lab {
namespace {

constexpr double kMostBalancers = 20000;  // a gigabyte or so of balancers
constexpr double kMostServers = 2000;
constexpr double kMostRate = 100'000;  // queries a second; more outgrows any machine

const Words<Shape>& shapes() {
  static const Words<Shape> words = {{"fixed", Shape::fixed},
                                     {"uniform", Shape::uniform},
                                     {"exponential", Shape::exponential},
                                     {"lognormal", Shape::lognormal},
                                     {"pareto", Shape::pareto}};
  return words;
}

const Words<TroubleKind>& troubleKinds() {
  static const Words<TroubleKind> words = {{"slow", TroubleKind::slow},
                                           {"silent", TroubleKind::silent},
                                           {"errors", TroubleKind::errors},
                                           {"crash", TroubleKind::crash},
                                           {"drain", TroubleKind::drain},
                                           {"join", TroubleKind::join},
                                           {"zone_lost", TroubleKind::zoneLost},
                                           {"zone_cut", TroubleKind::zoneCut},
                                           {"resets", TroubleKind::resets},
                                           {"cut_answers", TroubleKind::cutAnswers},
                                           {"spoilt_answers", TroubleKind::spoiltAnswers},
                                           {"discovery_out", TroubleKind::discoveryOut},
                                           {"discovery_stale", TroubleKind::discoveryStale},
                                           {"empty_list", TroubleKind::emptyList},
                                           {"half_list", TroubleKind::halfList},
                                           {"flapping", TroubleKind::flapping},
                                           {"burst", TroubleKind::burst}};
  return words;
}

void readFleet(Section all, Scenario& into) {
  Section fleet = all.sub("fleet");
  into.balancers = fleet.whole("balancers", 5, 1, kMostBalancers);
  into.servers = fleet.whole("servers", 10, 1, kMostServers);
  into.zones = fleet.whole("zones", 3, 1, 64);
  into.traits.keySaving = fleet.number("key_saving", 0, 0, 1);
  into.traits.keyTime = fleet.seconds("key_time_s", 20);
  into.traits.keys = fleet.whole("keys_remembered", 0, 0, 1e6);
  into.traits.connections = fleet.whole("connections", 1000, 1, 1e6);
  into.connectionWork = fleet.number("connection_work_ms", 1, 0, 1000) / 1000;
  into.connectionIdle = fleet.seconds("connection_idle_s", 15, 0.1);
  into.dialTimeout = fleet.millis("dial_timeout_ms", 250, 1, 60'000);
  into.traits.reportEvery = fleet.millis("report_every_ms", 0);
  into.traits.repeatWork = fleet.number("repeat_work", 0.1, 0, 1);
  into.traits.cancelStops = fleet.word<CancelStops>(
      "cancel_stops", CancelStops::queued,
      {{"nothing", CancelStops::nothing}, {"queued", CancelStops::queued}, {"all", CancelStops::all}});
  fleet.close();
  Section cold = all.sub("cold");
  into.traits.coldShare = cold.number("share", 0.3, 0.01, 1);
  into.traits.coldTime = cold.seconds("time_s", 10);
  into.traits.overloadMultiple = cold.number("tip_multiple", 3, 0, 100);
  into.traits.overloadWindow = cold.seconds("tip_window_s", 3, 0.1);
  cold.close();
  for (Section& section : all.each("server")) {
    ServerKind kind;
    kind.name = section.text("name", "server");
    kind.share = section.number("share", 1, 0.001, 1000);
    kind.cores = section.whole("cores", 1, 1, 64);
    kind.speed = section.number("speed", 1, 0.01, 100);
    kind.speedSpread = section.number("speed_spread", 0, 0, 0.9);
    kind.queuePerCore = section.number("queue_per_core", 30, 0, 100'000);
    section.close();
    into.kinds.push_back(kind);
  }
  if (into.kinds.empty()) into.kinds.push_back({.name = "server"});
}

void readSurroundings(Section all, Scenario& into) {
  Section network = all.sub("network");
  into.sameZone = network.millis("same_zone_ms", 0.2);
  into.crossZone = network.millis("cross_zone_ms", 1);
  into.clientWay = network.millis("client_ms", 0.1);
  into.jitter = network.number("jitter", 0.2, 0, 1);
  network.close();
  Section discovery = all.sub("discovery");
  into.onRequest = discovery.yes("on_request", true);
  into.discoveryDelay = discovery.seconds("delay_s", 1);
  into.discoveryCall = discovery.millis("call_ms", 1);
  into.discoveryPatience = discovery.seconds("patience_s", 2, 0.01);
  discovery.close();
  Section rules = all.sub("rules");
  into.drainGrace = rules.millis("drain_grace_ms", 500, 1);
  into.answerSlack = rules.millis("answer_slack_ms", 20);
  into.tick = rules.millis("tick_ms", 1, 0.1, 100);
  into.maxExecutions = rules.whole("most_executions", 5, 1, 100);
  into.maxRetryAfter = rules.millis("longest_advice_ms", 1000);
  rules.close();
}

void readLoad(Section all, Scenario& into) {
  Section load = all.sub("load");
  if (load.has("share") && load.has("queries_per_s")) load.fail("share", "goes without queries_per_s");
  into.load = load.number("share", 0.6, 0, 100);
  into.rate = load.number("queries_per_s", 0, 0, kMostRate);
  into.arrivals = load.word<Arrivals>("arrivals", Arrivals::poisson,
                                      {{"steady", Arrivals::steady},
                                       {"poisson", Arrivals::poisson},
                                       {"bursts", Arrivals::bursts},
                                       {"ramp", Arrivals::ramp}});
  into.burstSize = load.number("burst_size", 3, 0, 1000);
  into.burstEvery = load.seconds("burst_every_s", 10, 0.01);
  into.burstLength = load.seconds("burst_length_s", 1, 0.001);
  into.skew = load.number("balancer_skew", 0, 0, 5);
  into.keys = load.whole("keys", 0, 0, 1e6);
  into.keySkew = load.number("key_skew", 0.8, 0, 5);
  load.close();
  for (Section& section : all.each("use_case")) {
    UseCasePlan plan;
    plan.name = section.text("name", "");
    if (plan.name.empty() || plan.name.find_first_of(" /\"\\?#,") != std::string::npos)
      section.fail("name", "wants one word");
    plan.share = section.number("share", 1, 0.0001, 10'000);
    plan.work.shape = section.word<Shape>("work", Shape::lognormal, shapes());
    plan.work.mean = section.number("work_ms", 20, 0.001, 60'000) / 1000;
    plan.work.spread = section.number("work_spread", 0.5, 0, 20);
    plan.terms.retrySafety = section.word<RetrySafety>("repeat", RetrySafety::idempotent,
                                                       {{"idempotent", RetrySafety::idempotent},
                                                        {"deduplicated", RetrySafety::deduplicated},
                                                        {"non_idempotent", RetrySafety::nonIdempotent}});
    plan.terms.dedupScope = section.word<DedupScope>(
        "group", DedupScope::all,
        {{"all", DedupScope::all}, {"zone", DedupScope::zone}, {"cell", DedupScope::cell}});
    plan.terms.dedupWindow = section.millis("window_ms", 2000, 1);
    plan.terms.importance = section.number("importance", 1, 0, 1000);
    plan.terms.lateImportance = section.number("late_importance", 0, 0, 1);
    plan.terms.sloTime = section.millis("slo_ms", 300, 1, 60'000);
    plan.timeout = section.millis("timeout_ms", 1000, 1, 60'000);
    if (plan.timeout < plan.terms.sloTime) section.fail("timeout_ms", "wants no less than slo_ms");
    section.close();
    into.useCases.push_back(plan);
  }
  if (into.useCases.empty()) all.fail("use_case", "wants one [[use_case]] at least");
  Section clients = all.sub("clients");
  into.retries = clients.whole("retries", 1, 0, 20);
  into.backoff = clients.millis("backoff_ms", 50);
  into.obeysAdvice = clients.number("obey_advice", 0.8, 0, 1);
  into.leaves = clients.number("leave_early", 0, 0, 1);
  into.tryShare = clients.number("try_share", 1, 0.1, 1);
  clients.close();
}

void readTroubles(Section all, Scenario& into) {
  for (Section& section : all.each("trouble")) {
    Trouble trouble;
    if (!section.has("kind")) section.fail("kind", "is missing");
    trouble.kind = section.word<TroubleKind>("kind", TroubleKind::slow, troubleKinds());
    trouble.at = section.seconds("at_s", 10);
    trouble.length = section.seconds("for_s", 10);
    if (trouble.at >= into.length) section.fail("at_s", "wants to lie before the end, length_s");
    trouble.part = section.number("part", 0.2, 0, 1);
    trouble.size = section.number("size", 1, 0, 1000);
    trouble.zone = section.whole("zone", 0, 0, into.zones - 1.0);
    if (const std::string name = section.text("use_case", ""); !name.empty()) {
      const auto at = std::find_if(into.useCases.begin(), into.useCases.end(),
                                   [&](const UseCasePlan& plan) { return plan.name == name; });
      if (at == into.useCases.end()) section.fail("use_case", "names no [[use_case]]");
      trouble.useCase = static_cast<std::uint32_t>(at - into.useCases.begin());
    }
    section.close();
    into.troubles.push_back(trouble);
  }
  Section expect = all.sub("expect");
  into.expected.goodput = expect.number("goodput", 0, 0, 1);
  into.expected.rulesKept = expect.yes("rules_kept", true);
  expect.close();
}

}  // namespace

double Scenario::meanWork() const {
  double sum = 0;
  double shares = 0;
  for (const UseCasePlan& plan : useCases) {
    sum += plan.share * plan.work.mean;
    shares += plan.share;
  }
  return sum / shares;
}

double Scenario::queriesPerSecond() const {
  if (rate > 0) return rate;
  double capacity = 0;
  double shares = 0;
  for (const ServerKind& kind : kinds) {
    capacity += kind.share * kind.cores * kind.speed;
    shares += kind.share;
  }
  return load * servers * capacity / shares / meanWork();
}

BalancerConfig Scenario::terms(std::uint64_t seed, std::uint32_t balancer) const {
  BalancerConfig terms;
  terms.seed = chanceOf(seed, Purpose::policy, balancer)();
  for (const UseCasePlan& plan : useCases) terms.useCases.push_back(plan.terms);
  terms.zone = {balancer % zones};
  terms.balancerCount = balancers;
  terms.balancerIndex = balancer;
  terms.discoveryOnRequest = onRequest;
  terms.maxRetryAfter = maxRetryAfter;
  terms.maxExecutions = maxExecutions;
  terms.keyAffinity = keys > 0 && traits.keySaving > 0;
  terms.tick = tick;
  terms.drainGrace = drainGrace;
  terms.coldShare = traits.coldShare;
  terms.coldTime = traits.coldTime;
  terms.overloadMultiple = traits.overloadMultiple;
  terms.overloadWindow = traits.overloadWindow;
  return terms;
}

Scenario readScenarioText(std::string_view text, const std::string& file,
                          const std::vector<Override>& overrides) {
  const toml::table table = readTable(text, file, overrides);
  Scenario scenario;
  scenario.file = file;
  Section all(&table, "", scenario.file);
  scenario.name = all.text("name", "");
  if (scenario.name.empty()) all.fail("name", "is missing");
  scenario.about = all.text("about", "");
  scenario.length = all.seconds("length_s", 60, 1);
  // The tables in turn; each ticks its own name off at `all`, which is closed last.
  for (const std::string_view table_ :
       {"fleet", "cold", "network", "discovery", "rules", "load", "clients", "expect"})
    all.sub(table_);
  for (const std::string_view tables : {"server", "use_case", "trouble"}) all.each(tables);
  all.close();
  readFleet(all, scenario);
  readSurroundings(all, scenario);
  readLoad(all, scenario);
  readTroubles(all, scenario);
  return scenario;
}

Scenario readScenario(const std::string& file, const std::vector<Override>& overrides) {
  return readScenarioText(textOf(file), file, overrides);
}

}  // namespace rackroute::lab
