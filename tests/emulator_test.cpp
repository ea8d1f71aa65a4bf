// The emulated mesh: days drawn from seeds and days kept in files, and the ledger that judges orders.

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

/// The rules that broke, each once.
std::set<std::string> rulesOf(const std::vector<Broken>& broken) {
  std::set<std::string> rules;
  for (const Broken& one : broken) rules.insert(one.rule);
  return rules;
}

Day worstDay() { return readDay(std::string(RACKROUTE_LAB_MESH) + "/worst.toml"); }

void requireKept(const Day& day, std::uint64_t seed) {
  const Played played = play(day, seed);
  for (const Broken& broken : played.broken)
    UNSCOPED_INFO(day.name << ", seed " << seed << ": " << broken.rule << " at " << broken.at
                           << " s: " << broken.what);
  REQUIRE(played.kept());
}

/// An operators' ledger and what its judge holds against the mesh.
struct Ledger {
  Judge judge{{}};
  OrderLedger orders{judge};
  OrderNo first = orders.first(2);

  std::set<std::string> broken() {
    orders.end(60s);
    return rulesOf(judge.broken());
  }
  void inForce(std::size_t sidecar, OrderNo no) {
    for (const auto& [at, value] : orders.order(no).values) orders.inForce(5s, sidecar, 1, at, value);
  }
  /// All values of these orders, as a read tells them.
  [[nodiscard]] json readOf(const std::vector<OrderNo>& all) const {
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

TEST_CASE("the ledger finds two values under one version, acknowledged or in force") {
  Ledger heard;
  const OrderNo one = heard.orders.change({{0, 20}}, true);
  const OrderNo other = heard.orders.change({{0, 20}, {1, 21}}, true);
  heard.orders.told(2s, one);
  CHECK(heard.broken().empty());
  heard.orders.told(2s, other);
  CHECK(heard.broken() == std::set<std::string>{"CONFIG two values"});

  Ledger seen;
  const OrderNo winner = seen.orders.change({{0, 20}}, true);
  const OrderNo loser = seen.orders.change({{0, 20}}, true);
  seen.orders.told(2s, winner);
  seen.inForce(0, winner);
  seen.inForce(1, loser);
  CHECK(seen.broken() == std::set<std::string>{"CONFIG two values"});
}

TEST_CASE("the ledger finds false refusals, and lets a race's loser be refused") {
  Ledger race;
  const OrderNo winner = race.orders.change({{0, 20}}, true);
  const OrderNo loser = race.orders.change({{0, 20}, {1, 21}}, true);
  race.orders.answered(2s, loser, 409);
  race.orders.told(2s, winner);
  race.orders.answered(2s, winner, 200);
  CHECK(race.broken().empty());
  race.orders.answered(3s, winner, 409);
  CHECK(race.broken() ==
        std::set<std::string>{"CONFIG both answers", "CONFIG false refusal", "CONFIG refused in force"});

  Ledger alone;
  alone.orders.answered(2s, alone.orders.change({{0, 20}}, true), 409);
  CHECK(alone.broken() == std::set<std::string>{"CONFIG false refusal"});

  Ledger both;
  both.orders.answered(2s, both.orders.change({{0, 20}}, true), 409);
  both.orders.answered(2s, both.orders.change({{0, 20}}, true), 400);
  CHECK(both.broken() == std::set<std::string>{"CONFIG false refusal"});

  Ledger invalid;
  const OrderNo bad = invalid.orders.change({{0, 20}}, false);
  invalid.orders.answered(2s, bad, 400);
  CHECK(invalid.broken().empty());
  invalid.orders.told(3s, bad);
  CHECK(invalid.broken().count("CONFIG invalid") == 1);
}

TEST_CASE("the ledger finds a refused order in force, whole or in part, before or after its refusal") {
  for (const bool refusedFirst : {true, false}) {
    Ledger ledger;
    const OrderNo winner = ledger.orders.change({{0, 20}}, true);
    const OrderNo loser = ledger.orders.change({{0, 20}, {1, 21}}, true);
    ledger.orders.told(2s, winner);
    if (refusedFirst) ledger.orders.answered(2s, loser, 409);
    const Register part{"route/order", 21};
    ledger.orders.inForce(3s, 4, 1, part, ledger.orders.order(loser).values.at(part));
    if (!refusedFirst) ledger.orders.answered(4s, loser, 409);
    CHECK(ledger.broken() == std::set<std::string>{"CONFIG refused in force"});
  }
}

TEST_CASE("the ledger finds sidecars that go back or change a value within a life, and values never sent") {
  Ledger ledger;
  const OrderNo older = ledger.orders.change({{0, 20}}, true);
  const OrderNo newer = ledger.orders.change({{0, 22}}, true);
  ledger.inForce(0, newer);
  ledger.inForce(1, older);
  ledger.inForce(1, newer);
  CHECK(ledger.broken().empty());
  ledger.inForce(0, older);
  CHECK(ledger.broken() == std::set<std::string>{"CONFIG went back"});

  Ledger anew;
  const OrderNo late = anew.orders.change({{0, 22}}, true);
  anew.inForce(0, late);
  const auto& [at, value] = *anew.orders.order(anew.first).values.find({"route/look", 1});
  anew.orders.inForce(6s, 0, 2, at, value);  // another life
  CHECK(anew.broken().empty());
  anew.orders.inForce(7s, 0, 2, at, "{}");
  CHECK(anew.broken() == std::set<std::string>{"CONFIG unsent", "CONFIG value changed"});
}

TEST_CASE("the ledger finds reads older than what was acknowledged when they began") {
  Ledger ledger;
  ledger.orders.answered(1s, ledger.first, 200);
  const OrderNo newer = ledger.orders.change({{0, 22}}, true);
  const Floor before = ledger.orders.floorAt(2s);
  ledger.orders.answered(3s, newer, 200);
  CHECK(ledger.orders.newestAt("route/look", 2s) == 1);
  CHECK(ledger.orders.newestAt("route/look", 3s) == 22);
  ledger.orders.read(4s, ledger.readOf({ledger.first}), before, "CONFIG stale read");
  CHECK(ledger.broken().empty());
  ledger.orders.read(4s, ledger.readOf({ledger.first}), ledger.orders.floorAt(3s), "CONFIG stale read");
  CHECK(ledger.broken() == std::set<std::string>{"CONFIG stale read"});
  ledger.orders.read(5s, json{{"service_list", json::array()}, {"host_map", json::array()}},
                     ledger.orders.floorAt(3s), "LOST");
  CHECK(ledger.broken().count("LOST") == 1);
}

TEST_CASE(
    "drawn days have every trouble, never more control machines lost than can be borne, and read back") {
  std::set<TroubleKind> drawn;
  for (std::uint64_t seed = 0; seed < 120; ++seed) {
    const Day day = drawDay(seed, worstDay());
    REQUIRE(day.controls >= 3);
    REQUIRE(day.controls <= 5);
    double lostUntil = 0;  // a disk, with the time to catch up
    for (const Trouble& trouble : day.troubles) {
      drawn.insert(trouble.kind);
      const bool replaced = trouble.kind == TroubleKind::replaceControl;
      if (trouble.kind != TroubleKind::wipeControl && !replaced) continue;
      CHECK(trouble.at >= lostUntil);
      lostUntil = trouble.at + (replaced ? trouble.part : trouble.lasts) + kCatchUpSeconds;
    }
  }
  CHECK(drawn.size() == allTroubleKinds().size());
}

TEST_CASE("an emulated day plays the same each time, and tells what struck and for how long") {
  const Day day = drawDay(7, worstDay());
  const Played one = play(day, 7);
  CHECK(one.figures == play(day, 7).figures);
  std::uint64_t struck = 0;
  for (const auto& entry : one.figures.at("struck").items()) struck += entry.value().get<std::uint64_t>();
  CHECK(struck == day.troubles.size());
  CHECK(one.figures.at("virtual_s").get<double>() > day.seconds);
}

TEST_CASE("twenty drawn days with every kind of trouble keep the rules") {
  for (std::uint64_t seed = 1; seed <= 20; ++seed) requireKept(drawDay(seed, worstDay()), seed);
}

TEST_CASE("two operators who give one version to two values are not both acknowledged") {
  for (const char* name : {"two-orders-one-version", "two-orders-one-shared-route"}) {
    const Day day = readDay(std::string(RACKROUTE_LAB_MESH) + '/' + name + ".toml");
    for (std::uint64_t seed = 1; seed <= 5; ++seed) requireKept(day, seed);
  }
}

TEST_CASE("a sidecar that starts beside a control process that is cut off serves nothing old", ) {
  const Day day = readDay(std::string(RACKROUTE_LAB_MESH) + "/stale-start-beside-cut-off.toml");
  for (const std::uint64_t seed : {1080, 1, 2, 3}) requireKept(day, seed);
}
