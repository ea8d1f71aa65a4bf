// Tests of the emulated mesh: days generated from seeds, days in files, and the order ledger.

#include <algorithm>
#include <catch2/catch.hpp>
#include <set>

#include "lab/mesh/orders.hpp"
#include "lab/mesh/world.hpp"

using namespace rackroute;
using namespace rackroute::lab::mesh;
using namespace std::chrono_literals;
using nlohmann::json;

namespace {

/// The distinct rules that were broken.
std::set<std::string> rulesOf(const std::vector<Violation>& violations) {
  std::set<std::string> rules;
  for (const Violation& one : violations) rules.insert(one.rule);
  return rules;
}

Day worstCaseDay() { return readDay(std::string(RACKROUTE_LAB_MESH) + "/worst.toml"); }

void requirePassed(const Day& day, std::uint64_t seed) {
  const DayResult result = runDay(day, seed);
  for (const Violation& violation : result.violations)
    UNSCOPED_INFO(day.name << ", seed " << seed << ": " << violation.rule << " at " << violation.at
                           << " s: " << violation.detail);
  REQUIRE(result.passed());
}

/// An order ledger with its judge.
struct LedgerFixture {
  Judge judge{{}};
  OrderLedger orders{judge};
  OrderNo first = orders.initialConfig(2);

  std::set<std::string> brokenRules() {
    orders.finish(60s);
    return rulesOf(judge.violations());
  }
  void apply(std::size_t sidecar, OrderNo no) {
    for (const auto& [at, value] : orders.order(no).values) orders.valueApplied(5s, sidecar, 1, at, value);
  }
  /// The configuration with all values of these orders, in the form of a read response.
  [[nodiscard]] json configOf(const std::vector<OrderNo>& all) const {
    json services = json::array();
    json routes = json::array();
    for (const OrderNo no : all) {
      for (const auto& [at, value] : orders.order(no).values)
        (at.key[0] == 's' ? services : routes).push_back(json::parse(value));
    }
    return {{"service_list", services}, {"host_map", {{{"hostname", kHost}, {"path_routes", routes}}}}};
  }
};

}  // namespace

TEST_CASE("the ledger detects two values of one version, acknowledged or applied") {
  LedgerFixture acknowledged;
  const OrderNo one = acknowledged.orders.change({{0, 20}}, true);
  const OrderNo other = acknowledged.orders.change({{0, 20}, {1, 21}}, true);
  acknowledged.orders.acknowledgedByControl(2s, one);
  CHECK(acknowledged.brokenRules().empty());
  acknowledged.orders.acknowledgedByControl(2s, other);
  CHECK(acknowledged.brokenRules() == std::set<std::string>{"CONFIG two values"});

  LedgerFixture applied;
  const OrderNo winner = applied.orders.change({{0, 20}}, true);
  const OrderNo loser = applied.orders.change({{0, 20}}, true);
  applied.orders.acknowledgedByControl(2s, winner);
  applied.apply(0, winner);
  applied.apply(1, loser);
  CHECK(applied.brokenRules() == std::set<std::string>{"CONFIG two values"});
}

TEST_CASE("the ledger detects unjustified rejections and accepts that the loser of a race is rejected") {
  LedgerFixture race;
  const OrderNo winner = race.orders.change({{0, 20}}, true);
  const OrderNo loser = race.orders.change({{0, 20}, {1, 21}}, true);
  race.orders.responseReceived(2s, loser, 409);
  race.orders.acknowledgedByControl(2s, winner);
  race.orders.responseReceived(2s, winner, 200);
  CHECK(race.brokenRules().empty());
  race.orders.responseReceived(3s, winner, 409);
  CHECK(race.brokenRules() ==
        std::set<std::string>{"CONFIG both answers", "CONFIG false refusal", "CONFIG refused in force"});

  LedgerFixture unopposed;
  unopposed.orders.responseReceived(2s, unopposed.orders.change({{0, 20}}, true), 409);
  CHECK(unopposed.brokenRules() == std::set<std::string>{"CONFIG false refusal"});

  LedgerFixture both;
  both.orders.responseReceived(2s, both.orders.change({{0, 20}}, true), 409);
  both.orders.responseReceived(2s, both.orders.change({{0, 20}}, true), 400);
  CHECK(both.brokenRules() == std::set<std::string>{"CONFIG false refusal"});

  LedgerFixture invalid;
  const OrderNo bad = invalid.orders.change({{0, 20}}, false);
  invalid.orders.responseReceived(2s, bad, 400);
  CHECK(invalid.brokenRules().empty());
  invalid.orders.acknowledgedByControl(3s, bad);
  CHECK(invalid.brokenRules().count("CONFIG invalid") == 1);
}

TEST_CASE("the ledger detects an applied value of a rejected order, before or after the rejection") {
  for (const bool rejectedFirst : {true, false}) {
    LedgerFixture ledger;
    const OrderNo winner = ledger.orders.change({{0, 20}}, true);
    const OrderNo loser = ledger.orders.change({{0, 20}, {1, 21}}, true);
    ledger.orders.acknowledgedByControl(2s, winner);
    if (rejectedFirst) ledger.orders.responseReceived(2s, loser, 409);
    const ItemVersion part{"route/order", 21};
    ledger.orders.valueApplied(3s, 4, 1, part, ledger.orders.order(loser).values.at(part));
    if (!rejectedFirst) ledger.orders.responseReceived(4s, loser, 409);
    CHECK(ledger.brokenRules() == std::set<std::string>{"CONFIG refused in force"});
  }
}

TEST_CASE("the ledger detects reverted and changed values within an incarnation, and values never sent") {
  LedgerFixture ledger;
  const OrderNo older = ledger.orders.change({{0, 20}}, true);
  const OrderNo newer = ledger.orders.change({{0, 22}}, true);
  ledger.apply(0, newer);
  ledger.apply(1, older);
  ledger.apply(1, newer);
  CHECK(ledger.brokenRules().empty());
  ledger.apply(0, older);
  CHECK(ledger.brokenRules() == std::set<std::string>{"CONFIG went back"});

  LedgerFixture restarted;
  const OrderNo late = restarted.orders.change({{0, 22}}, true);
  restarted.apply(0, late);
  const auto& [at, value] = *restarted.orders.order(restarted.first).values.find({"route/look", 1});
  restarted.orders.valueApplied(6s, 0, 2, at, value);  // another incarnation
  CHECK(restarted.brokenRules().empty());
  restarted.orders.valueApplied(7s, 0, 2, at, "{}");
  CHECK(restarted.brokenRules() == std::set<std::string>{"CONFIG unsent", "CONFIG value changed"});
}

TEST_CASE("the ledger detects reads older than what was acknowledged when they started") {
  LedgerFixture ledger;
  ledger.orders.responseReceived(1s, ledger.first, 200);
  const OrderNo newer = ledger.orders.change({{0, 22}}, true);
  const MinVersions before = ledger.orders.minVersionsAt(2s);
  ledger.orders.responseReceived(3s, newer, 200);
  CHECK(ledger.orders.newestAt("route/look", 2s) == 1);
  CHECK(ledger.orders.newestAt("route/look", 3s) == 22);
  ledger.orders.configRead(4s, ledger.configOf({ledger.first}), before, "CONFIG stale read");
  CHECK(ledger.brokenRules().empty());
  ledger.orders.configRead(4s, ledger.configOf({ledger.first}), ledger.orders.minVersionsAt(3s),
                           "CONFIG stale read");
  CHECK(ledger.brokenRules() == std::set<std::string>{"CONFIG stale read"});
  ledger.orders.configRead(5s, json{{"service_list", json::array()}, {"host_map", json::array()}},
                           ledger.orders.minVersionsAt(3s), "LOST");
  CHECK(ledger.brokenRules().count("LOST") == 1);
}

TEST_CASE("generated days have every kind of fault and never lose two control disks at once") {
  std::set<FaultKind> kinds;
  for (std::uint64_t seed = 0; seed < 120; ++seed) {
    const Day day = drawDay(seed, worstCaseDay());
    REQUIRE(day.controls >= 3);
    REQUIRE(day.controls <= 5);
    double diskLostUntil = 0;  // including the time to catch up
    for (const Fault& fault : day.faults) {
      kinds.insert(fault.kind);
      const bool replaced = fault.kind == FaultKind::replaceControl;
      if (fault.kind != FaultKind::wipeControl && !replaced) continue;
      CHECK(fault.at >= diskLostUntil);
      diskLostUntil = fault.at + (replaced ? fault.magnitude : fault.duration) + kCatchUpSeconds;
    }
  }
  CHECK(kinds.size() == emulatedFaultKinds().size());
}

TEST_CASE("an emulated day is deterministic and reports its faults and its duration") {
  const Day day = drawDay(7, worstCaseDay());
  const DayResult one = runDay(day, 7);
  CHECK(one.figures == runDay(day, 7).figures);
  std::uint64_t injected = 0;
  for (const auto& entry : one.figures.at("struck").items()) injected += entry.value().get<std::uint64_t>();
  CHECK(injected == day.faults.size());
  CHECK(one.figures.at("virtual_s").get<double>() > day.seconds);
}

TEST_CASE("twenty generated days with every kind of fault keep the rules") {
  for (std::uint64_t seed = 1; seed <= 20; ++seed) requirePassed(drawDay(seed, worstCaseDay()), seed);
}

TEST_CASE("two operators who send different values of one version are not both acknowledged") {
  for (const char* name : {"two-orders-one-version", "two-orders-one-shared-route"}) {
    const Day day = readDay(std::string(RACKROUTE_LAB_MESH) + '/' + name + ".toml");
    for (std::uint64_t seed = 1; seed <= 5; ++seed) requirePassed(day, seed);
  }
}

TEST_CASE(
    "a sidecar that starts with a partitioned control node as its seed serves no stale configuration", ) {
  const Day day = readDay(std::string(RACKROUTE_LAB_MESH) + "/stale-start-beside-cut-off.toml");
  for (const std::uint64_t seed : {1080, 1, 2, 3}) requirePassed(day, seed);
}
