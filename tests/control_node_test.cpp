// Clusters of control nodes: agreement, membership, majority contact, recovery, disk failures, bad input.

#include <catch2/catch.hpp>
#include <random>

#include "control_requests.hpp"

using namespace rackroute;
using namespace rackroute::mesh;
using namespace std::chrono_literals;
using nlohmann::json;
using namespace rackroute::mesh::test;

TEST_CASE(
    "control nodes agree on a first voter set, and acknowledge a change once a majority has it on disk") {
  ControlCluster cluster = foundedCluster(4);
  for (const std::string& at : names(4)) {
    CHECK(cluster.node(at).membership().set().epoch == Epoch{1});
    CHECK(cluster.node(at).membership().set().voters.size() == 4);
    CHECK(cluster.node(at).settled());
  }
  SECTION("all nodes have it shortly afterwards") {
    REQUIRE(send(cluster, name(1), change("look", 5)) == 200);
    cluster.run(100ms);
    for (const std::string& at : names(4)) CHECK(routeAt(cluster, at, "look")->generation == Generation{5});
  }
  SECTION("no acknowledgement without a majority of disks") {
    cluster.refuseWrites(name(1), true);
    cluster.refuseWrites(name(2), true);
    const std::uint32_t status = send(cluster, name(0), change("look", 5));
    CHECK(status == 503);
    // It is undecided and must not be in force anywhere.
    for (const std::string& at : names(4)) CHECK(routeAt(cluster, at, "look")->generation == Generation{1});
    // The same order is acknowledged once the disks accept writes again.
    cluster.refuseWrites(name(1), false);
    cluster.refuseWrites(name(2), false);
    CHECK(sendWithRetry(cluster, names(4), change("look", 5)) == 200);
  }
  SECTION("a process whose own disk refuses writes still proposes orders to a majority") {
    cluster.refuseWrites(name(0), true);
    CHECK(send(cluster, name(0), change("look", 5)) == 200);
    cluster.run(1s);
    CHECK(cluster.disk(name(0)).at("i/route/look").find("\"g\":5") == std::string::npos);
    cluster.refuseWrites(name(0), false);
    cluster.run(1s);
    CHECK(cluster.disk(name(0)).at("i/route/look").find("\"g\":5") != std::string::npos);
  }
}

TEST_CASE("of two orders with the same version one is acknowledged and the other is refused everywhere") {
  for (int round = 0; round < 20; ++round) {
    ControlCluster cluster = foundedCluster(round % 2 == 0 ? 3 : 5);
    const std::size_t size = round % 2 == 0 ? 3 : 5;
    const std::uint64_t version = 7;
    const std::uint64_t firstCall = cluster.change(name(0), change("look", version, "800ms"));
    cluster.run(1ms * (round % 7));
    const std::uint64_t secondCall = cluster.change(name(1), change("look", version, "700ms"));
    std::uint32_t first = statusOf(cluster, firstCall);
    std::uint32_t second = statusOf(cluster, secondCall);
    // Retried at any process if the outcome is unknown.
    if (first >= 500 || first == 0)
      first = sendWithRetry(cluster, names(size), change("look", version, "800ms"));
    if (second >= 500 || second == 0)
      second = sendWithRetry(cluster, names(size), change("look", version, "700ms"));
    CHECK(std::min(first, second) == 200);
    CHECK(std::max(first, second) == 409);
    const std::string won = first == 200 ? "800ms" : "700ms";
    const std::string lost = first == 200 ? "700ms" : "800ms";
    cluster.run(1500ms);
    for (const std::string& at : names(size)) {
      CHECK(routeAt(cluster, at, "look")->value.at("timeout") == won);
      CHECK(send(cluster, at, change("look", version, won)) == 200);
      CHECK(send(cluster, at, change("look", version, lost)) == 409);
    }
  }
}

TEST_CASE("an acknowledged order is acknowledged again after restarts, a wipe and newer orders") {
  ControlCluster cluster = foundedCluster(3);
  REQUIRE(send(cluster, name(0), change("look", 5, "800ms")) == 200);
  REQUIRE(send(cluster, name(1), change("look", 6, "700ms")) == 200);
  cluster.kill(name(0));
  cluster.wipe(name(0));
  cluster.run(500ms);
  cluster.start(name(0));
  cluster.run(3s);
  for (const std::string& at : names(3)) {
    cluster.kill(at);
    cluster.run(300ms);
    cluster.start(at);
    cluster.run(2s);
  }
  for (const std::string& at : names(3)) {
    CHECK(send(cluster, at, change("look", 5, "800ms")) == 200);
    CHECK(send(cluster, at, change("look", 5, "600ms")) == 409);
    CHECK(routeAt(cluster, at, "look")->generation == Generation{6});
  }
}

namespace {

/// A cluster of four that has acknowledged version 9 at one process while another one has not received it.
ControlCluster withLaterVersionMissingAtOne() {
  ControlCluster cluster = foundedCluster(4);
  cluster.disconnect(name(0), name(3));
  REQUIRE(send(cluster, name(0), change("look", 9)) == 200);
  return cluster;
}

/// Whether any process has that version of the route in force at any moment of the period.
bool everInForce(ControlCluster& cluster, std::size_t size, std::uint64_t version, Span period) {
  bool found = false;
  for (const Span until = cluster.now() + period; cluster.now() < until; cluster.run(1ms)) {
    for (const std::string& at : names(size)) {
      const Item* const route = cluster.running(at) ? routeAt(cluster, at, "look") : nullptr;
      found = found || (route != nullptr && route->generation == Generation{version});
    }
  }
  return found;
}

}  // namespace

TEST_CASE("an older version proposed after a later one was acknowledged never comes into force") {
  const std::string old = change("look", 6, "100ms");
  SECTION("one process lacks the later version, being disconnected from its proposer") {
    ControlCluster cluster = withLaterVersionMissingAtOne();
    const std::uint64_t call = cluster.change(name(1), old);
    CHECK_FALSE(everInForce(cluster, 4, 6, 3s));
    CHECK(cluster.answer(call)->status == 200);
    CHECK(routeAt(cluster, name(3), "look")->generation == Generation{9});
  }
  SECTION("no other process knows that the later version is decided, as its proposer was killed") {
    ControlCluster cluster = foundedCluster(5);
    const std::uint64_t later = cluster.change(name(0), change("look", 9));
    while (!cluster.answer(later)) cluster.run(100us);
    REQUIRE(cluster.answer(later)->status == 200);
    cluster.kill(name(0));
    const std::uint64_t call = cluster.change(name(1), old);
    CHECK_FALSE(everInForce(cluster, 5, 6, 3s));
    CHECK(cluster.answer(call)->status == 200);
    CHECK(routeAt(cluster, name(1), "look")->generation == Generation{9});
  }
  SECTION("in one order with an item that has no later version") {
    ControlCluster cluster = withLaterVersionMissingAtOne();
    const std::string both = changeOf({routeValue("more", 2, "900ms"), routeValue("look", 6, "100ms")});
    const std::uint64_t call = cluster.change(name(1), both);
    CHECK_FALSE(everInForce(cluster, 4, 6, 3s));
    CHECK(cluster.answer(call)->status == 200);
    for (const std::string& at : names(4)) CHECK(routeAt(cluster, at, "more")->generation == Generation{2});
  }
}

TEST_CASE("a route to a service is refused by a control process that missed the service's removal") {
  ControlCluster cluster = foundedCluster(4);
  const json service{{"name", "extra"}, {"generation", "r2"}};
  const json removed{{"name", "extra"}, {"generation", "r3"}};
  REQUIRE(send(cluster, name(0), json{{"upsert", {{"service_list", {service}}}}}.dump()) == 200);
  cluster.run(200ms);
  cluster.isolate(name(3));
  REQUIRE(send(cluster, name(0), json{{"remove", {{"service_list", {removed}}}}}.dump()) == 200);
  cluster.isolate(name(3), false);
  json route = routeValue("more", 5, "900ms");
  route["target"] = "extra";
  CHECK(send(cluster, name(3), changeOf({route})) == 400);
  cluster.run(1s);
  for (const std::string& at : names(4)) CHECK(routeAt(cluster, at, "more") == nullptr);
}

TEST_CASE("a decided order is acknowledged again after its service was removed, and a new one is refused") {
  ControlCluster cluster = foundedCluster(3);
  const auto serviceOf = [](const char* version) { return json{{"name", "extra"}, {"generation", version}}; };
  const auto routed = [](const char* name, std::uint64_t version) {
    json route = routeValue(name, version, "900ms");
    route["target"] = "extra";
    return changeOf({route});
  };
  REQUIRE(send(cluster, name(0), json{{"upsert", {{"service_list", {serviceOf("r2")}}}}}.dump()) == 200);
  REQUIRE(send(cluster, name(1), routed("more", 3)) == 200);
  const json removal{{"route_list", {{{"name", "more"}, {"generation", "r4"}}}},
                     {"service_list", {serviceOf("r4")}}};
  REQUIRE(send(cluster, name(2), json{{"remove", removal}}.dump()) == 200);
  cluster.run(200ms);
  for (const std::string& at : names(3)) {
    CHECK(send(cluster, at, routed("more", 3)) == 200);
    CHECK(routeAt(cluster, at, "more")->dropped);
    CHECK(send(cluster, at, routed("more", 5)) == 400);
    CHECK(send(cluster, at, routed("other", 5)) == 400);
  }
}

TEST_CASE("no item of an order comes into force if one of its items is refused") {
  ControlCluster cluster = foundedCluster(3);
  REQUIRE(send(cluster, name(0), change("look", 5, "800ms")) == 200);
  const std::string many = changeOf({routeValue("more", 2, "900ms"), routeValue("look", 5, "700ms")});
  CHECK(sendWithRetry(cluster, names(3), many) == 409);
  cluster.run(2s);
  for (const std::string& at : names(3)) CHECK(routeAt(cluster, at, "more") == nullptr);
}

TEST_CASE(
    "an isolated control process answers operators with 503 and tells its sidecars that it is not settled") {
  ControlCluster cluster = foundedCluster(4);
  const std::uint64_t session = cluster.connectSidecar(name(0), "s");
  cluster.run(600ms);
  REQUIRE(cluster.last<Heartbeat>(session)->settled);
  cluster.isolate(name(0));
  cluster.run(1400ms);
  CHECK_FALSE(cluster.node(name(0)).settled());
  CHECK_FALSE(cluster.last<Heartbeat>(session)->settled);
  // The others continue and accept a service that the isolated process does not know.
  const std::string known =
      json{{"upsert", {{"service_list", {{{"name", "line"}, {"generation", "r8"}}}}}}}.dump();
  REQUIRE(sendWithRetry(cluster, {name(1), name(2)}, known) == 200);
  json toLine = routeValue("far", 9, "900ms");
  toLine["target"] = "line";
  CHECK(send(cluster, name(0), changeOf({toLine})) == 503);
  CHECK(statusOf(cluster, cluster.readBack(name(0))) == 503);
  const Span before = cluster.now();
  const std::uint64_t call = cluster.change(name(0), change("look", 5));
  REQUIRE(cluster.answer(call));  // immediately
  CHECK(cluster.answer(call)->at == before);
  CHECK(send(cluster, name(2), changeOf({toLine})) == 200);
  // After reconnecting it reads the newest configuration before it answers.
  cluster.isolate(name(0), false);
  cluster.run(4s);
  REQUIRE(cluster.node(name(0)).settled());
  CHECK(routeAt(cluster, name(0), "far") != nullptr);
  CHECK(send(cluster, name(0), changeOf({toLine})) == 200);
}

TEST_CASE("voters with wiped disks or on machines at new addresses are replaced without an operator") {
  ControlCluster cluster = foundedCluster(5);
  std::vector<std::string> all = names(5);
  const std::uint64_t session = cluster.connectSidecar(name(4), "s");
  cluster.sendMessage(session, claimOf(cluster, name(4), 1, "key"));
  cluster.run(100ms);
  REQUIRE(cluster.last<Votes>(session));
  SECTION("two disks wiped at once") {
    for (const std::string& at : {name(0), name(1)}) {
      cluster.kill(at);
      cluster.wipe(at);
    }
    cluster.run(500ms);
    cluster.start(name(0));
    cluster.start(name(1));
  }
  SECTION("disks wiped one after another, each once the previous voter has recovered") {
    for (const std::string& at : {name(0), name(1), name(2)}) {
      cluster.kill(at);
      cluster.wipe(at);
      cluster.run(300ms);
      cluster.start(at);
      cluster.run(4s);
      CHECK(cluster.node(at).holdsState());
    }
  }
  SECTION("machines lost permanently and replaced at new addresses") {
    for (std::size_t lost = 0; lost < 4; ++lost) {
      cluster.kill(all[lost]);
      cluster.run(1s);
      cluster.start(name(10 + lost));
      cluster.run(4s);
      all[lost] = name(10 + lost);
      CHECK(cluster.node(all[lost]).holdsState());
    }
  }
  SECTION("planned replacement: the new process starts before the old one stops") {
    cluster.start(name(10));
    cluster.run(1s);
    cluster.kill(name(0));
    cluster.run(4s);
    all[0] = name(10);
  }
  cluster.run(5s);
  for (const std::string& at : all) {
    const VoterSet& set = cluster.node(at).membership().set();
    CHECK(set.voters.size() == 5);
    CHECK(set.contains(cluster.node(at).membership().self()));
    CHECK(cluster.node(at).holdsState());
    CHECK(cluster.node(at).settled());
  }
  CHECK(sendWithRetry(cluster, all, change("look", 5)) == 200);
  cluster.run(200ms);
  CHECK(routeAt(cluster, all[0], "look")->generation == Generation{5});
}

TEST_CASE(
    "a voter that lost its disk does not vote until it has recovered, and then keeps earlier promises") {
  ControlCluster cluster = foundedCluster(3);
  const std::vector<std::string> all = names(3);
  const auto claim = [&](const std::string& at, const std::string& claimer) -> std::optional<Vote> {
    const std::uint64_t session = cluster.connectSidecar(at, claimer);
    ClaimRequest request = claimOf(cluster, at, 1, "key");
    request.at = {claimer};
    cluster.sendMessage(session, request);
    cluster.run(50ms);
    const Votes* const votes = cluster.last<Votes>(session);
    return votes == nullptr ? std::nullopt : std::optional(votes->votes.at(0));
  };
  for (const std::string& at : {name(0), name(1)}) {
    const auto vote = claim(at, "first");
    REQUIRE(vote);
    CHECK_FALSE(vote->holder);
  }
  // The voters lose their disks one after another; the majority's promise must survive.
  for (const std::string& at : {name(0), name(1), name(2), name(0)}) {
    cluster.kill(at);
    cluster.wipe(at);
    cluster.run(300ms);
    cluster.start(at);
    CHECK_FALSE(cluster.node(at).holdsState());
    CHECK_FALSE(claim(at, "second"));
    // A restart during recovery must not make its partial state count as complete.
    if (!cluster.node(at).holdsState()) {
      cluster.kill(at);
      cluster.start(at);
      CHECK_FALSE(claim(at, "second"));
    }
    cluster.run(4s);
    REQUIRE(cluster.node(at).holdsState());
    for (const std::string& voter : all) {
      const auto vote = claim(voter, "third");
      REQUIRE(vote);
      if (voter != name(2) || at == name(2)) CHECK(vote->holder);
    }
  }
}

TEST_CASE("a process that restarts after hundreds of changes has all of them before it answers") {
  ControlCluster cluster = foundedCluster(3);
  cluster.kill(name(0));
  for (std::uint64_t version = 10; version < 310; ++version) {
    REQUIRE(sendWithRetry(cluster, {name(1), name(2)}, change("r" + std::to_string(version % 40), version)) ==
            200);
  }
  cluster.start(name(0));
  const Span from = cluster.now();
  while (!cluster.node(name(0)).settled() && cluster.now() < from + 5s) cluster.run(20ms);
  REQUIRE(cluster.node(name(0)).settled());
  CHECK(cluster.node(name(0)).items().digest() == cluster.node(name(1)).items().digest());
  CHECK(cluster.now() - from < 3s);
}

TEST_CASE("malformed input is refused with a logged reason and changes nothing") {
  ControlCluster cluster = foundedCluster(3);
  const std::uint64_t digest = cluster.node(name(0)).items().digest();
  SECTION("messages") {
    for (const char* text : {"{}", "[]", "7", R"({"t":"nothing"})", R"({"t":"claim"})",
                             R"({"t":"hello","format":1})", R"({"t":"decided","order":{"items":5}})"}) {
      const std::uint64_t session = cluster.connectSidecar(name(0), std::string("s") + text);
      const std::size_t before = cluster.refusals().size();
      cluster.sendText(session, text);
      CHECK_FALSE(cluster.isOpen(session));
      CHECK(cluster.refusals().size() == before + 1);
    }
  }
  SECTION("a claim with a future epoch") {
    const std::uint64_t session = cluster.connectSidecar(name(0), "s");
    ClaimRequest claim = claimOf(cluster, name(0), 1, "key");
    claim.epoch = {99};
    cluster.sendMessage(session, claim);
    cluster.run(100ms);
    CHECK(cluster.last<Votes>(session) == nullptr);
    CHECK(cluster.node(name(0)).membership().set().epoch == Epoch{1});
  }
  SECTION("a truncated identity record: the disk counts as lost and the process rejoins as a new voter") {
    cluster.kill(name(0));
    cluster.disk(name(0))["!identity"] = "{\"incarn";
    cluster.start(name(0));
    CHECK(cluster.refusals().size() == 1);
    cluster.run(4s);
    CHECK(cluster.node(name(0)).holdsState());
    CHECK(cluster.node(name(0)).membership().set().epoch == Epoch{2});
  }
  CHECK(cluster.node(name(0)).items().digest() != 0);
  static_cast<void>(digest);
}

TEST_CASE(
    "stores of the format without epochs are migrated: their processes form the first set with their state") {
  ControlCluster cluster = foundedCluster(3);
  std::map<std::string, std::string> old{{"c", "[\"c0:1\"]"}};
  for (const auto& [key, value] : cluster.disk(name(0))) {
    if (key.rfind("i/", 0) == 0 && key.rfind("i/voters", 0) != 0) old[key] = value;
  }
  old["k/" + textOf(hashOfKey("key"))] = json::array({"s:1", 3, 9, 0}).dump();
  for (const std::string& at : names(3)) {
    cluster.kill(at);
    cluster.disk(at) = old;
  }
  for (const std::string& at : names(3)) cluster.start(at);
  cluster.run(4s);
  for (const std::string& at : names(3)) {
    CHECK(cluster.node(at).settled());
    CHECK(cluster.node(at).keys().promises().all().size() == 1);
    CHECK(routeAt(cluster, at, "look") != nullptr);
  }
  CHECK(sendWithRetry(cluster, names(3), change("look", 5)) == 200);
}
