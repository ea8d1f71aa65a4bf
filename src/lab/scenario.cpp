#include "lab/scenario.hpp"

#include <algorithm>
#include <array>
#include <cmath>

#include "lab/toml_section.hpp"

namespace rackroute::lab {
namespace {

constexpr double kMaxBalancers = 20000;
constexpr double kMaxServers = 2000;
constexpr double kMaxQueriesPerSecond = 100'000;

const Choices<Shape>& shapes() {
  static const Choices<Shape> words = {{"fixed", Shape::fixed},
                                       {"uniform", Shape::uniform},
                                       {"exponential", Shape::exponential},
                                       {"lognormal", Shape::lognormal},
                                       {"pareto", Shape::pareto}};
  return words;
}

const Choices<TroubleKind>& troubleKinds() {
  static const Choices<TroubleKind> words = {{"slow", TroubleKind::slow},
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

void readFleet(Section document, Scenario& into) {
  Section fleet = document.sub("fleet");
  into.balancers = fleet.integer("balancers", 5, 1, kMaxBalancers);
  into.servers = fleet.integer("servers", 10, 1, kMaxServers);
  into.zones = fleet.integer("zones", 3, 1, 64);
  into.traits.keySaving = fleet.number("key_saving", 0, 0, 1);
  into.traits.keyTime = fleet.seconds("key_time_s", 20);
  into.traits.keys = fleet.integer("keys_remembered", 0, 0, 1e6);
  into.traits.connections = fleet.integer("connections", 1000, 1, 1e6);
  into.connectionWork = fleet.number("connection_work_ms", 1, 0, 1000) / 1000;
  into.connectionIdle = fleet.seconds("connection_idle_s", 15, 0.1);
  into.dialTimeout = fleet.millis("dial_timeout_ms", 250, 1, 60'000);
  into.traits.reportEvery = fleet.millis("report_every_ms", 0);
  into.traits.repeatWork = fleet.number("repeat_work", 0.1, 0, 1);
  into.traits.cancelStops = fleet.choice<CancelStops>(
      "cancel_stops", CancelStops::queued,
      {{"nothing", CancelStops::nothing}, {"queued", CancelStops::queued}, {"all", CancelStops::all}});
  fleet.close();
  Section cold = document.sub("cold");
  into.traits.coldShare = cold.number("share", 0.3, 0.01, 1);
  into.traits.coldTime = cold.seconds("time_s", 10);
  into.traits.overloadMultiple = cold.number("tip_multiple", 3, 0, 100);
  into.traits.overloadWindow = cold.seconds("tip_window_s", 3, 0.1);
  cold.close();
  for (Section& section : document.tables("server")) {
    ServerKind kind;
    kind.name = section.text("name", "server");
    kind.share = section.number("share", 1, 0.001, 1000);
    kind.cores = section.integer("cores", 1, 1, 64);
    kind.speed = section.number("speed", 1, 0.01, 100);
    kind.speedSpread = section.number("speed_spread", 0, 0, 0.9);
    kind.queuePerCore = section.number("queue_per_core", 30, 0, 100'000);
    section.close();
    into.kinds.push_back(kind);
  }
  if (into.kinds.empty()) into.kinds.push_back({.name = "server"});
}

void readNetworkAndRules(Section document, Scenario& into) {
  Section network = document.sub("network");
  into.sameZoneDelay = network.millis("same_zone_ms", 0.2);
  into.crossZoneDelay = network.millis("cross_zone_ms", 1);
  into.clientDelay = network.millis("client_ms", 0.1);
  into.jitter = network.number("jitter", 0.2, 0, 1);
  network.close();
  Section discovery = document.sub("discovery");
  into.onRequest = discovery.boolean("on_request", true);
  into.discoveryDelay = discovery.seconds("delay_s", 1);
  into.discoveryCall = discovery.millis("call_ms", 1);
  into.discoveryMaxWait = discovery.seconds("patience_s", 2, 0.01);
  discovery.close();
  Section rules = document.sub("rules");
  into.drainGrace = rules.millis("drain_grace_ms", 500, 1);
  into.answerSlack = rules.millis("answer_slack_ms", 20);
  into.tick = rules.millis("tick_ms", 1, 0.1, 100);
  into.maxExecutions = rules.integer("most_executions", 5, 1, 100);
  into.maxRetryAfter = rules.millis("longest_advice_ms", 1000);
  rules.close();
}

void readLoad(Section document, Scenario& into) {
  Section load = document.sub("load");
  if (load.has("share") && load.has("queries_per_s"))
    load.fail("share", "cannot be combined with queries_per_s");
  into.load = load.number("share", 0.6, 0, 100);
  into.rate = load.number("queries_per_s", 0, 0, kMaxQueriesPerSecond);
  into.arrivals = load.choice<Arrivals>("arrivals", Arrivals::poisson,
                                        {{"steady", Arrivals::steady},
                                         {"poisson", Arrivals::poisson},
                                         {"bursts", Arrivals::bursts},
                                         {"ramp", Arrivals::ramp}});
  into.burstSize = load.number("burst_size", 3, 0, 1000);
  into.burstEvery = load.seconds("burst_every_s", 10, 0.01);
  into.burstLength = load.seconds("burst_length_s", 1, 0.001);
  into.skew = load.number("balancer_skew", 0, 0, 5);
  into.keys = load.integer("keys", 0, 0, 1e6);
  into.keySkew = load.number("key_skew", 0.8, 0, 5);
  load.close();
  for (Section& section : document.tables("use_case")) {
    UseCasePlan plan;
    plan.name = section.text("name", "");
    if (plan.name.empty() || plan.name.find_first_of(" /\"\\?#,") != std::string::npos)
      section.fail("name", "must be a single word");
    plan.share = section.number("share", 1, 0.0001, 10'000);
    plan.work.shape = section.choice<Shape>("work", Shape::lognormal, shapes());
    plan.work.mean = section.number("work_ms", 20, 0.001, 60'000) / 1000;
    plan.work.spread = section.number("work_spread", 0.5, 0, 20);
    plan.useCase.retrySafety = section.choice<RetrySafety>("repeat", RetrySafety::idempotent,
                                                           {{"idempotent", RetrySafety::idempotent},
                                                            {"deduplicated", RetrySafety::deduplicated},
                                                            {"non_idempotent", RetrySafety::nonIdempotent}});
    plan.useCase.dedupScope = section.choice<DedupScope>(
        "group", DedupScope::all,
        {{"all", DedupScope::all}, {"zone", DedupScope::zone}, {"cell", DedupScope::cell}});
    plan.useCase.dedupWindow = section.millis("window_ms", 2000, 1);
    plan.useCase.importance = section.number("importance", 1, 0, 1000);
    plan.useCase.lateImportance = section.number("late_importance", 0, 0, 1);
    plan.useCase.sloTime = section.millis("slo_ms", 300, 1, 60'000);
    plan.timeout = section.millis("timeout_ms", 1000, 1, 60'000);
    if (plan.timeout < plan.useCase.sloTime) section.fail("timeout_ms", "must not be less than slo_ms");
    section.close();
    into.useCases.push_back(plan);
  }
  if (into.useCases.empty()) document.fail("use_case", "at least one [[use_case]] is required");
  Section clients = document.sub("clients");
  into.retries = clients.integer("retries", 1, 0, 20);
  into.backoff = clients.millis("backoff_ms", 50);
  into.honorsRetryAfter = clients.number("obey_advice", 0.8, 0, 1);
  into.disconnects = clients.number("leave_early", 0, 0, 1);
  into.tryShare = clients.number("try_share", 1, 0.1, 1);
  clients.close();
}

void readTroubles(Section document, Scenario& into) {
  for (Section& section : document.tables("trouble")) {
    Trouble trouble;
    if (!section.has("kind")) section.fail("kind", "is missing");
    trouble.kind = section.choice<TroubleKind>("kind", TroubleKind::slow, troubleKinds());
    trouble.at = section.seconds("at_s", 10);
    trouble.length = section.seconds("for_s", 10);
    if (trouble.at >= into.length) section.fail("at_s", "must be less than length_s");
    trouble.part = section.number("part", 0.2, 0, 1);
    trouble.size = section.number("size", 1, 0, 1000);
    trouble.zone = section.integer("zone", 0, 0, into.zones - 1.0);
    if (const std::string name = section.text("use_case", ""); !name.empty()) {
      const auto at = std::find_if(into.useCases.begin(), into.useCases.end(),
                                   [&](const UseCasePlan& plan) { return plan.name == name; });
      if (at == into.useCases.end()) section.fail("use_case", "does not name a [[use_case]]");
      trouble.useCase = static_cast<std::uint32_t>(at - into.useCases.begin());
    }
    section.close();
    into.troubles.push_back(trouble);
  }
  Section expect = document.sub("expect");
  into.expected.goodput = expect.number("goodput", 0, 0, 1);
  into.expected.rulesKept = expect.boolean("rules_kept", true);
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

BalancerConfig Scenario::balancerConfig(std::uint64_t seed, std::uint32_t balancer) const {
  BalancerConfig config;
  config.seed = makeRandomEngine(seed, Purpose::policy, balancer)();
  for (const UseCasePlan& plan : useCases) config.useCases.push_back(plan.useCase);
  config.zone = {balancer % zones};
  config.balancerCount = balancers;
  config.balancerIndex = balancer;
  config.discoveryOnRequest = onRequest;
  config.maxRetryAfter = maxRetryAfter;
  config.maxExecutions = maxExecutions;
  config.keyAffinity = keys > 0 && traits.keySaving > 0;
  config.tick = tick;
  config.drainGrace = drainGrace;
  config.coldShare = traits.coldShare;
  config.coldTime = traits.coldTime;
  config.overloadMultiple = traits.overloadMultiple;
  config.overloadWindow = traits.overloadWindow;
  return config;
}

Scenario readScenarioText(std::string_view text, const std::string& file,
                          const std::vector<Override>& overrides) {
  const toml::table table = readTable(text, file, overrides);
  Scenario scenario;
  scenario.file = file;
  Section document(&table, "", scenario.file);
  scenario.name = document.text("name", "");
  if (scenario.name.empty()) document.fail("name", "is missing");
  scenario.about = document.text("about", "");
  scenario.length = document.seconds("length_s", 60, 1);
  // Marks all tables as read before close() reports unknown keys.
  for (const std::string_view table_ :
       {"fleet", "cold", "network", "discovery", "rules", "load", "clients", "expect"})
    document.sub(table_);
  for (const std::string_view arrays : {"server", "use_case", "trouble"}) document.tables(arrays);
  document.close();
  readFleet(document, scenario);
  readNetworkAndRules(document, scenario);
  readLoad(document, scenario);
  readTroubles(document, scenario);
  return scenario;
}

Scenario readScenario(const std::string& file, const std::vector<Override>& overrides) {
  return readScenarioText(textOf(file), file, overrides);
}

}  // namespace rackroute::lab
