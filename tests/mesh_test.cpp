// Unit tests of the mesh's components, and a simulation of all of them under random load in virtual time.

#include <catch2/catch.hpp>
#include <filesystem>
#include <random>

#include "lab/mesh/world.hpp"
#include "mesh/admission/admission.hpp"
#include "mesh/checker/explain.hpp"
#include "mesh/configuration/settings.hpp"
#include "mesh/control/control_node.hpp"
#include "mesh/routing/request_router.hpp"
#include "mesh/sidecar/sidecar.hpp"
#include "mesh/storage/store.hpp"
#include "mesh/transport/api_endpoints.hpp"
#include "mesh/transport/compression.hpp"
#include "mesh_fixtures.hpp"

using namespace rackroute;
using namespace rackroute::mesh;
using namespace std::chrono_literals;
using nlohmann::json;

namespace {

std::string changeOf(const json& route) {
  return json{
      {"upsert",
       {{"service_list", json::array({{{"name", "desk"}, {"generation", "r1"}}})},
        {"host_map", json::array({{{"hostname", "a.example"}, {"path_routes", json::array({route})}}})}}}}
      .dump();
}

/// A control process's first message to a sidecar, with three voters.
Welcome welcomeOf(const Address& at) {
  Welcome welcome;
  welcome.self = {at, {1}};
  welcome.zone = "z";
  welcome.voters.epoch = {1};
  for (const char* voter : {"v0", "v1", "v2"}) welcome.voters.voters.push_back({{voter}, {1}});
  return welcome;
}

Heartbeat settledHeartbeat(std::uint64_t digest) {
  Heartbeat heartbeat;
  heartbeat.epoch = {1};
  heartbeat.digest = digest;
  heartbeat.holdsState = heartbeat.settled = true;
  heartbeat.members = 1;
  return heartbeat;
}

}  // namespace

TEST_CASE("copies of the configuration converge in any order of items, and versions never decrease") {
  std::mt19937_64 random(3);
  for (int round = 0; round < 50; ++round) {
    std::vector<Item> all;
    for (int i = 0; i < 40; ++i) {
      all.push_back(
          route("r" + std::to_string(random() % 6), random() % 8, std::to_string(1 + random() % 5) + "s"));
      if (random() % 4 == 0) {
        all.back().dropped = true;
        all.back().value = nullptr;
      }
    }
    Items first;
    for (const Item& item : all) first.merge(item);
    std::shuffle(all.begin(), all.end(), random);
    Items second;
    for (const Item& item : all) {
      const Item* held = second.find(item.key);
      const std::uint64_t before = held == nullptr ? 0 : held->generation.value;
      second.merge(itemFromJson(toJson(item)));
      REQUIRE(second.find(item.key)->generation.value >= before);
    }
    REQUIRE(first.digest() == second.digest());
    REQUIRE(first.activeAsJson() == second.activeAsJson());
    Items third;
    for (const Item& item : first.newerThan(third.versions())) third.merge(item);
    REQUIRE(third.digest() == first.digest());
    REQUIRE(first.newerThan(third.versions()).empty());
  }
}

TEST_CASE("a change is validated completely, and errors name the field") {
  const json valid = route("look", 4).value;
  REQUIRE(parseChange(changeOf(valid)));
  const auto errorFor = [&](const char* field, const json& value) {
    json invalid = valid;
    invalid[field] = value;
    const auto read = parseChange(changeOf(invalid));
    REQUIRE_FALSE(read);
    return read.error().line();
  };
  CHECK(errorFor("timeout", "0ms").find("route/look.timeout is 0") != std::string::npos);
  CHECK(errorFor("timeout", "601s").find("over ten minutes") != std::string::npos);
  CHECK(errorFor("timeout", "soon").find("is not a duration") != std::string::npos);
  CHECK(errorFor("path_prefix", "look/").find("does not begin with a slash") != std::string::npos);
  CHECK(errorFor("generation", "7").find("is not a version") != std::string::npos);
  CHECK(errorFor("route_kind", "odd").find("violates \"enum\"") != std::string::npos);
  CHECK(errorFor("max_attempts", 0).find("minimum") != std::string::npos);
  CHECK_FALSE(parseChange(changeOf(valid).substr(0, 60)));
  // A change may contain an item twice with equal contents, but not with different contents and one version.
  CHECK(parseChange(
            R"({"remove":{"route_list":[{"name":"x","generation":"r7"},{"name":"x","generation":"r7"}]}})")
            .value()
            .size() == 1);
  json twice = json::parse(changeOf(valid));
  twice["remove"]["route_list"] = json::array({{{"name", "look"}, {"generation", "r4"}}});
  CHECK_FALSE(parseChange(twice.dump()));
  // A service that its routes refer to must exist after the change.
  Items items;
  std::vector<Item> change = parseChange(changeOf(valid)).value();
  CHECK_FALSE(items.unknownService(change));
  change.erase(std::remove_if(change.begin(), change.end(),
                              [](const Item& i) { return i.key.kind == ItemKind::service; }),
               change.end());
  CHECK(items.unknownService(change) == "desk");
}

TEST_CASE("a request is routed by the longest matching path prefix") {
  Items items;
  for (const auto& [name, prefix] :
       {std::pair("all", "/"), std::pair("a", "/a/"), std::pair("ab", "/a/b/")}) {
    Item item = route(name, 1);
    item.value["path_prefix"] = prefix;
    items.merge(item);
  }
  RouteTable table;
  table.load(items);
  CHECK(table.find("A.example:80", "/a/b/c?x=/z/")->name == "ab");
  CHECK(table.find("a.example", "/a/b")->name == "a");
  CHECK(table.find("a.example", "/a")->name == "all");
  CHECK_FALSE(table.find("b.example", "/a/"));
}

TEST_CASE(
    "five consecutive failures eject a server, up to half of them, and a successful trial re-admits it") {
  ServerPool pool("z", {"n"}, 1);
  for (const char* id : {"a", "b", "c", "d"}) pool.update(0s, served(id), true);
  const auto failUntilEjected = [&](const char* id) {
    for (int i = 0; i < 5; ++i) pool.recordOutcome(1s, {id}, ServerOutcome::failed, std::nullopt);
  };
  for (const char* id : {"a", "b", "c"}) failUntilEjected(id);
  CHECK(pool.countEjected(1s, {"desk"}) == 2);
  for (int i = 0; i < 50; ++i) {
    const auto picked = pool.pick(2s, {"desk"}, false, {});
    REQUIRE(picked);
    CHECK((picked->id.value == "c" || picked->id.value == "d"));
  }
  // After the ejection time a single trial request is sent to it.
  std::set<InstanceId> others{{"b"}, {"c"}, {"d"}};
  CHECK(pool.pick(20s, {"desk"}, false, others));
  CHECK_FALSE(pool.pick(20s, {"desk"}, false, others));
  pool.recordOutcome(20s, {"a"}, ServerOutcome::succeeded, std::nullopt);
  CHECK(pool.countEjected(20s, {"desk"}) == 0);
  CHECK(pool.pick(20s, {"desk"}, false, others));
}

TEST_CASE("draining and sign-offs are final, and losing contact with half of the servers is disregarded") {
  ServerPool pool("z", {"n"}, 1);
  for (const char* id : {"a", "b", "c", "d"}) pool.update(0s, served(id), true);
  ServerRecord leaving = served("a", 2);
  leaving.draining = true;
  pool.update(1s, leaving, true);
  pool.update(1s, served("a", 1), true);  // outdated
  const std::set<InstanceId> others{{"b"}, {"c"}, {"d"}};
  CHECK_FALSE(pool.pick(1s, {"desk"}, false, others));
  // One disconnected server of three is avoided; if two are disconnected, both remain candidates.
  pool.update(1s, served("b"), false);
  std::set<InstanceId> seen;
  for (int i = 0; i < 60; ++i) seen.insert(pool.pick(1s, {"desk"}, false, {})->id);
  CHECK(seen.count({"b"}) == 0);
  pool.update(1s, served("c"), false);
  for (int i = 0; i < 60; ++i) seen.insert(pool.pick(1s, {"desk"}, false, {})->id);
  CHECK(seen.count({"b"}) == 1);
  // A late heartbeat after a restart of the server's process doesn't undo the drain.
  ServerRecord restarted = served("a", 1);
  restarted.life = {2};
  pool.update(2s, restarted, true);
  CHECK_FALSE(pool.pick(2s, {"desk"}, false, others));
  // A server that was marked as replaced is used again once its process reports otherwise.
  ServerRecord back = served("b", 2);
  back.replaced = true;
  pool.update(2s, back, true);
  CHECK_FALSE(pool.pick(2s, {"desk"}, false, {{"a"}, {"c"}, {"d"}}));
  back.replaced = false;
  back.seq = 3;
  pool.update(2s, back, true);
  CHECK(pool.pick(2s, {"desk"}, false, {{"a"}, {"c"}, {"d"}}));
}

TEST_CASE("the retry budgets of all processes together stay within the fleet's allowance in every window") {
  std::mt19937_64 random(11);
  const RetryAllowance all{0.2, 60, 10s};
  std::vector<RetryBudget> budgets(10);
  for (RetryBudget& budget : budgets) budget.configure(all, budgets.size());
  std::vector<std::pair<Span, bool>> events;  // whether it is a retry
  for (Span now{}; now < 60s; now += 5ms) {
    RetryBudget& budget = budgets[random() % budgets.size()];
    if (now < 40s || random() % 20 == 0) {
      budget.onRequest(now);
      events.emplace_back(now, false);
    }
    for (int i = 0; i < 3; ++i) {
      if (budget.tryTake(now)) events.emplace_back(now, true);
    }
  }
  std::size_t retryCount = 0;
  for (const auto& [at, retry] : events) {
    if (!retry) continue;
    ++retryCount;
    double requests = 0;
    double taken = 0;
    for (const auto& [then, isRetry] : events) {
      if (then <= at - 10s || then > at) continue;
      (isRetry ? taken : requests) += 1;
    }
    REQUIRE(taken <= all.ratio * requests + all.slack);
  }
  CHECK(retryCount > 100);
}

TEST_CASE("admission limits requests to the server's capacity and orders the queue by value per second") {
  Admission admission = admissionWithVoters();
  admission.heartbeat(0s, heartbeat("i1", 1));
  const auto running = [&](std::uint64_t no, const ForwardRequest& request) {
    return countOf(admission.handleRequest(0s, {no}, request, std::nullopt), AdmissionAction::Kind::run) == 1;
  };
  // Learns the execution times of a slow and a fast route.
  CHECK(running(1, forwardRequest(RouteKind::pure, 1, "long")));
  admission.executionEnded(600ms, {1}, ExecutionResult::answered, {200, false, nullptr, 0});
  CHECK(running(2, forwardRequest(RouteKind::pure, 1, "quick")));
  admission.executionEnded(20ms, {2}, ExecutionResult::answered, {200, false, nullptr, 0});
  CHECK(running(3, forwardRequest(RouteKind::pure, 1, "long")));
  CHECK(running(4, forwardRequest(RouteKind::pure, 1, "long")));
  CHECK_FALSE(running(5, forwardRequest(RouteKind::pure, 1, "long")));
  CHECK_FALSE(running(6, forwardRequest(RouteKind::pure, 1, "quick")));
  const AdmissionActions actions =
      admission.executionEnded(30ms, {3}, ExecutionResult::answered, {200, false, nullptr, 0});
  REQUIRE(countOf(actions, AdmissionAction::Kind::run) == 1);
  CHECK(std::find_if(actions.begin(), actions.end(), [](const AdmissionAction& action) {
          return action.kind == AdmissionAction::Kind::run;
        })->request == InboundRequestId{6});
  // A request that can't start in time is refused immediately.
  const AdmissionActions refused = admission.handleRequest(
      0s, {7},
      [] {
        ForwardRequest late = forwardRequest(RouteKind::pure, 2, "long");
        late.targetLeft = 100ms;
        return late;
      }(),
      std::nullopt);
  REQUIRE(countOf(refused, AdmissionAction::Kind::answer) == 1);
  CHECK(refused.back().reply.verdict == Verdict::overloaded);
}

TEST_CASE("no requests for draining, ended or unknown servers, and late heartbeats have no effect") {
  Admission admission = admissionWithVoters();
  CHECK(
      admission.handleRequest(0s, {1}, forwardRequest(RouteKind::pure), std::nullopt).back().reply.verdict ==
      Verdict::unknownServer);
  admission.heartbeat(0s, heartbeat("i1", 5));
  ServerHeartbeat leaving = heartbeat("i1", 6);
  leaving.draining = true;
  CHECK(countOf(admission.heartbeat(1s, leaving), AdmissionAction::Kind::announce) == 1);
  CHECK(countOf(admission.heartbeat(1s, heartbeat("i1", 5)), AdmissionAction::Kind::announce) == 0);
  CHECK(countOf(admission.handleRequest(1500ms, {2}, forwardRequest(RouteKind::pure), std::nullopt),
                AdmissionAction::Kind::run) == 1);
  CHECK(admission.handleRequest(3400ms, {3}, forwardRequest(RouteKind::pure), std::nullopt)
            .back()
            .reply.verdict == Verdict::draining);
  ForwardRequest elsewhere = forwardRequest(RouteKind::pure);
  elsewhere.service = {"line"};
  CHECK(admission.handleRequest(1s, {4}, elsewhere, std::nullopt).back().reply.verdict ==
        Verdict::unknownServer);
}

TEST_CASE("a keyed operation runs once, repeats get or await its answer, and unused claims are released") {
  Admission admission = admissionWithVoters();
  admission.heartbeat(0s, heartbeat("i1", 1, 1));
  const AdmissionActions claiming = admission.handleRequest(0s, {1}, forwardRequest(RouteKind::keyed), "k");
  REQUIRE(claiming.size() == 1);
  REQUIRE(claiming[0].kind == AdmissionAction::Kind::claim);
  // No slot is held while waiting for votes: another request runs, and the keyed one is queued afterwards.
  CHECK(countOf(admission.handleRequest(0s, {2}, forwardRequest(RouteKind::pure), std::nullopt),
                AdmissionAction::Kind::run) == 1);
  CHECK(countOf(admission.claimEnded(1ms, winClaim(admission, claiming[0].claim)),
                AdmissionAction::Kind::run) == 0);
  CHECK(countOf(admission.executionEnded(2ms, {2}, ExecutionResult::answered, {200, false, nullptr, 0}),
                AdmissionAction::Kind::run) == 1);
  CHECK(admission.handleRequest(3ms, {3}, forwardRequest(RouteKind::keyed), "k").empty());
  const auto bytes = std::make_shared<int>(5);
  const AdmissionActions done =
      admission.executionEnded(9ms, {1}, ExecutionResult::answered, {200, false, bytes, 100});
  REQUIRE(countOf(done, AdmissionAction::Kind::answer) == 2);
  for (const AdmissionAction& act : done) CHECK(act.bytes == bytes);
  CHECK(admission.handleRequest(1s, {4}, forwardRequest(RouteKind::keyed), "k").back().bytes == bytes);
  // Rejected by the server, so certainly not run: the claim is released for another server.
  const AdmissionActions second = admission.handleRequest(1s, {5}, forwardRequest(RouteKind::keyed), "k2");
  admission.claimEnded(1s, winClaim(admission, second[0].claim));
  const AdmissionActions turned =
      admission.executionEnded(1s, {5}, ExecutionResult::answered, {503, true, nullptr, 0});
  CHECK(countOf(turned, AdmissionAction::Kind::releaseClaim) == 1);
  CHECK(turned.back().reply.verdict == Verdict::rejectedByServer);
  // Connection lost: the outcome is unknown, and the operation must not run again.
  const AdmissionActions third = admission.handleRequest(2s, {6}, forwardRequest(RouteKind::keyed), "k3");
  admission.claimEnded(2s, winClaim(admission, third[0].claim));
  CHECK(countOf(admission.executionEnded(2s, {6}, ExecutionResult::connectionLost, {}),
                AdmissionAction::Kind::releaseClaim) == 0);
  CHECK(admission.handleRequest(3s, {7}, forwardRequest(RouteKind::keyed), "k3").back().reply.verdict ==
        Verdict::unknown);
}

TEST_CASE("without a quorum keyed requests are refused immediately and hold no slot") {
  Admission admission = admissionWithVoters();
  admission.heartbeat(0s, heartbeat("i1", 1, 1));
  const AdmissionActions claiming = admission.handleRequest(0s, {1}, forwardRequest(RouteKind::keyed), "k");
  REQUIRE(countOf(claiming, AdmissionAction::Kind::claim) == 1);
  const AdmissionActions over = admission.tick(500ms);
  CHECK(countOf(over, AdmissionAction::Kind::releaseClaim) == 1);
  CHECK(over.back().reply.verdict == Verdict::noQuorum);
  const AdmissionActions next = admission.handleRequest(501ms, {2}, forwardRequest(RouteKind::keyed), "k2");
  REQUIRE(next.size() == 1);
  CHECK(next[0].reply.verdict == Verdict::noQuorum);
  // The retry advice is short while the voters may only be slow, and longer once no claim has been decided
  // for some time.
  CHECK(next[0].reply.wait < 500ms);
  const AdmissionActions again = admission.handleRequest(800ms, {4}, forwardRequest(RouteKind::keyed), "k4");
  REQUIRE(countOf(again, AdmissionAction::Kind::claim) == 1);
  CHECK(admission.tick(1300ms).back().reply.wait >= 1s);
  admission.claims().setReachableVoters(1);
  const AdmissionActions alone = admission.handleRequest(5s, {3}, forwardRequest(RouteKind::keyed), "k3");
  CHECK(alone.back().reply.verdict == Verdict::noQuorum);
  CHECK(alone.back().reply.wait >= 1s);
  admission.claims().setReachableVoters(3);
  const AdmissionActions back = admission.handleRequest(6s, {5}, forwardRequest(RouteKind::keyed), "k5");
  admission.claimEnded(6s, winClaim(admission, back[0].claim));
  CHECK(admission.claims().retryAfter(6s) < 500ms);
}

TEST_CASE("requests that may have run are retried only where allowed, and never reported as not run") {
  const auto send = [](const RoutingActions& actions) {
    REQUIRE(actions.size() == 1);
    REQUIRE(actions[0].kind == RoutingAction::Kind::send);
    return actions[0].attempt;
  };
  SECTION(
      "after a lost connection the outcome of an effectful request is queried once, at the same process") {
    RequestRouter router = callerRouter(RouteKind::effectful);
    const RoutingActions first = router.handleRequest(1s, {1}, kClientRequest);
    const AttemptNo sent = send(first);
    const RoutingActions asking =
        router.forwardEnded(1s, {1}, sent, ForwardResult::connectionLost, {}, 0, nullptr);
    const AttemptNo asked = send(asking);
    CHECK(asking[0].at == first[0].at);
    CHECK(asking[0].forward.id == first[0].forward.id);
    CHECK(asking[0].forward.outcomeQuery == LifeNo{1});
    ForwardReply reply;
    SECTION("no reply: 502") {
      for (const ForwardResult how : {ForwardResult::connectionLost, ForwardResult::notSent}) {
        RequestRouter same = callerRouter(RouteKind::effectful);
        const AttemptNo again =
            send(same.forwardEnded(1s, {1}, send(same.handleRequest(1s, {1}, kClientRequest)),
                                   ForwardResult::connectionLost, {}, 0, nullptr));
        const RoutingActions actions = same.forwardEnded(1s, {1}, again, how, {}, 0, nullptr);
        REQUIRE(actions.size() == 1);
        CHECK(actions[0].status == 502);
      }
    }
    SECTION("outcome unknown there: 502") {
      reply.verdict = Verdict::unknown;
      CHECK(router.forwardEnded(1s, {1}, asked, ForwardResult::replied, reply, 503, nullptr)[0].status ==
            502);
    }
    SECTION("not received: sent to another server, and refused if none admits it") {
      reply.verdict = Verdict::notReceived;
      const RoutingActions actions =
          router.forwardEnded(1s, {1}, asked, ForwardResult::replied, reply, 503, nullptr);
      const AttemptNo second = send(actions);
      CHECK(actions[0].at != first[0].at);
      reply.verdict = Verdict::overloaded;
      CHECK(router.forwardEnded(1s, {1}, second, ForwardResult::replied, reply, 503, nullptr)[0].status ==
            503);
    }
    SECTION("a reply that it was not received is invalid too long after it was sent") {
      RequestRouter slow = callerRouter(RouteKind::effectful);
      Items items;
      Item item = route("look", 2, "60s");
      item.value["route_kind"] = "effectful";
      items.merge(item);
      slow.configure(items);
      const AttemptNo old = send(slow.handleRequest(1s, {1}, {"a.example", "/look/1", 60s}));
      const AttemptNo question =
          send(slow.forwardEnded(2s, {1}, old, ForwardResult::connectionLost, {}, 0, nullptr));
      reply.verdict = Verdict::notReceived;
      CHECK(slow.forwardEnded(11s, {1}, question, ForwardResult::replied, reply, 503, nullptr)[0].status ==
            502);
    }
    SECTION("no reply before the client's deadline: 504") {
      const RoutingActions actions = router.tick(2500ms);
      REQUIRE(actions.size() == 1);
      CHECK(actions[0].status == 504);
    }
  }
  SECTION("a request that no server admits is refused with Retry-After") {
    RequestRouter router = callerRouter(RouteKind::effectful);
    AttemptNo sent = send(router.handleRequest(1s, {1}, kClientRequest));
    ForwardReply full;
    full.verdict = Verdict::overloaded;
    sent = send(router.forwardEnded(1s, {1}, sent, ForwardResult::replied, full, 503, nullptr));
    const RoutingActions actions =
        router.forwardEnded(1s, {1}, sent, ForwardResult::replied, full, 503, nullptr);
    CHECK(actions[0].status == 503);
    CHECK(actions[0].retryAfter > 0s);
  }
  SECTION("a pure request is retried within the retry budget") {
    RequestRouter router = callerRouter(RouteKind::pure, 0);
    const AttemptNo sent = send(router.handleRequest(1s, {1}, kClientRequest));
    CHECK(router.forwardEnded(1s, {1}, sent, ForwardResult::connectionLost, {}, 0, nullptr)[0].status == 502);
    RequestRouter rich = callerRouter(RouteKind::pure);
    RoutingActions actions;
    for (std::uint64_t i = 1; i < 60; ++i) actions = rich.handleRequest(20s + i * 1ms, {i}, kClientRequest);
    send(rich.forwardEnded(20200ms, {59}, actions[0].attempt, ForwardResult::connectionLost, {}, 0, nullptr));
  }
  SECTION(
      "the holder of a key is queried; if it is unreachable, the request itself is known not to have run") {
    ForwardReply claimed;
    claimed.verdict = Verdict::keyClaimed;
    claimed.holder = Holder{{"there:1"}, {4}, {9}};
    RequestRouter router = callerRouter(RouteKind::keyed);
    const AttemptNo sent = send(router.handleRequest(1s, {1}, kClientRequest));
    const RoutingActions asking =
        router.forwardEnded(1s, {1}, sent, ForwardResult::replied, claimed, 503, nullptr);
    REQUIRE(asking.size() == 1);
    CHECK(asking[0].at.value == "there:1");
    CHECK(asking[0].forward.holder == LifeNo{4});
    const RoutingActions refused =
        router.forwardEnded(1s, {1}, asking[0].attempt, ForwardResult::notSent, {}, 0, nullptr);
    CHECK(refused[0].status == 503);
    CHECK(refused[0].retryAfter >= 500ms);
    // Likewise at the client's deadline.
    RequestRouter waiting = callerRouter(RouteKind::keyed);
    send(waiting.forwardEnded(1s, {1}, send(waiting.handleRequest(1s, {1}, kClientRequest)),
                              ForwardResult::replied, claimed, 503, nullptr));
    CHECK(waiting.tick(2500ms)[0].status == 503);
    // An earlier attempt of this request may have run.
    RequestRouter another = callerRouter(RouteKind::keyed);
    const AttemptNo second =
        send(another.forwardEnded(1s, {1}, send(another.handleRequest(1s, {1}, kClientRequest)),
                                  ForwardResult::connectionLost, {}, 0, nullptr));
    const AttemptNo third =
        send(another.forwardEnded(1s, {1}, second, ForwardResult::replied, claimed, 503, nullptr));
    CHECK(another.forwardEnded(1s, {1}, third, ForwardResult::notSent, {}, 0, nullptr)[0].status == 502);
  }
  SECTION("a repeat of an operation with unknown outcome did not run itself") {
    RequestRouter router = callerRouter(RouteKind::keyed);
    const AttemptNo sent = send(router.handleRequest(1s, {1}, kClientRequest));
    ForwardReply reply;
    reply.verdict = Verdict::unknown;
    reply.replayed = true;
    CHECK(router.forwardEnded(1s, {1}, sent, ForwardResult::replied, reply, 503, nullptr)[0].status == 503);
    RequestRouter first = callerRouter(RouteKind::keyed);
    reply.replayed = false;
    CHECK(first
              .forwardEnded(1s, {1}, send(first.handleRequest(1s, {1}, kClientRequest)),
                            ForwardResult::replied, reply, 503, nullptr)[0]
              .status == 502);
  }
  SECTION("no route: 404") {
    RequestRouter router = callerRouter(RouteKind::pure);
    CHECK(router.handleRequest(1s, {1}, {"a.example", "/other/", 1s})[0].status == 404);
  }
}

TEST_CASE("the store returns what was written, and refuses a database of a newer version") {
  const auto folder =
      std::filesystem::temp_directory_path() / ("rackroute-store-" + std::to_string(::getpid()));
  std::filesystem::remove_all(folder);
  std::filesystem::create_directories(folder);
  std::map<std::string, std::string> all;
  const auto entry = [&](std::string key, std::string value) { all[std::move(key)] = std::move(value); };
  {
    Store store(folder.string());
    REQUIRE(store.open(entry).state == OpenState::opened);
    CHECK(all.empty());
    std::mutex mutex;
    std::condition_variable progress;
    std::size_t done = 0;
    store.start([&](std::uint64_t, bool written) {
      const std::lock_guard guard(mutex);
      if (written) ++done;
      progress.notify_one();
    });
    store.write(1, {{"a", "1"}, {"b", "2"}});
    store.write(2, {{"a", std::nullopt}});
    std::unique_lock lock(mutex);
    progress.wait(lock, [&] { return done == 2; });
  }
  {
    Store again(folder.string());
    REQUIRE(again.open(entry).state == OpenState::opened);
    CHECK(all == std::map<std::string, std::string>{{"b", "2"}});
  }
  {
    Store newer(folder.string());
    REQUIRE(newer.open(entry).state == OpenState::opened);
    newer.start([](std::uint64_t, bool) {});
    newer.write(1, {{"version", "2"}});
  }
  all.clear();
  Store late(folder.string());
  CHECK(late.open(entry).state == OpenState::unrecognized);
  CHECK(all.empty());
  std::filesystem::remove_all(folder);
}

TEST_CASE("a large message is compressed once for all receivers, and corrupted data is rejected") {
  json routes = json::array();
  for (int i = 0; i < 300; ++i) routes.push_back(route("r" + std::to_string(i), 1).value);
  const auto text = std::make_shared<const std::string>(routes.dump());
  REQUIRE(shouldCompress(*text));
  CHECK_FALSE(shouldCompress("{}"));
  Compressor compressor;
  const auto packed = compressor.compress(text);
  REQUIRE(packed);
  CHECK(packed->size() * 8 < text->size());
  CHECK(compressor.compress(text) == packed);
  CHECK(decompress(*packed, text->size()) == *text);
  // A size that is too small or too large, and corrupted or truncated data.
  CHECK_FALSE(decompress(*packed, text->size() - 1));
  CHECK_FALSE(decompress(*packed, text->size() + 1));
  std::string corrupted = *packed;
  corrupted[corrupted.size() / 2] = static_cast<char>(corrupted[corrupted.size() / 2] ^ 4);
  CHECK_FALSE(decompress(corrupted, text->size()));
  CHECK_FALSE(decompress(std::string_view(*packed).substr(0, packed->size() / 2), text->size()));
}

TEST_CASE("a change that is nested without end is refused with the place, and does not end the process") {
  constexpr std::size_t kLevels = 1'000'000;
  const std::string lists(kLevels, '[');
  std::string objects = R"({"upsert":{"limits":)";
  for (std::size_t i = 0; i < kLevels; ++i) objects += R"({"a":)";
  const std::string whole =
      R"({"upsert":{"limits":{"generation":"r1","deep":)" + lists + std::string(kLevels, ']') + "}}}";
  for (const std::string& text : {lists, objects, R"({"upsert":{"host_map":)" + lists, whole}) {
    const auto read = parseChange(text);
    REQUIRE_FALSE(read);
    CHECK(read.error().what.find("nested too deeply at byte") != std::string::npos);
    CHECK_FALSE(parseConfiguration(text));
  }
  // All items, as the checker reads them, have one level less.
  CHECK_FALSE(parseConfiguration(R"({"limits":)" + lists));
  // The bound leaves room for what an item's value may have.
  const std::string allowed(200, '[');
  CHECK(parseChange(R"({"upsert":{"limits":{"generation":"r1","deep":)" + allowed + std::string(200, ']') +
                    "}}}"));
}

TEST_CASE("a large configuration is sent in parts and takes effect after the last one") {
  Items items;
  std::vector<Item> list;
  for (int i = 0; i < 400; ++i) {
    items.merge(route("r" + std::to_string(i), 1));
    list.push_back(*items.find({ItemKind::route, "r" + std::to_string(i)}));
  }
  ItemsReply head;
  head.confirmed = true;
  const auto texts = itemsReplies(head, list);
  REQUIRE(texts.size() > 1);
  REQUIRE(itemsReplies(head, {}).size() == 1);
  Sidecar::Config built;
  built.controlClient = {{"s"}, {"s:1"}, "z", {1}, {{"v0"}}};
  Sidecar sidecar(built);
  sidecar.sessionOpened(0s, {"v0"});
  sidecar.handleMessage(0s, {"v0"}, json::parse(encode(welcomeOf({"v0"}))));
  sidecar.handleMessage(0s, {"v0"}, json::parse(encode(settledHeartbeat(items.digest()))));
  Items copy;
  for (std::size_t i = 0; i < texts.size(); ++i) {
    const json text = json::parse(*texts[i]);
    const Result<Message> message = decode(text);
    REQUIRE(message);
    const auto& reply = std::get<ItemsReply>(message.value());
    CHECK(reply.last() == (i + 1 == texts.size()));
    for (const Item& item : reply.items) copy.merge(item);
    CHECK_FALSE(sidecar.serving(0s));
    sidecar.handleMessage(0s, {"v0"}, text);
  }
  CHECK(copy.digest() == items.digest());
  // All items have arrived, but the routing table is not complete yet.
  CHECK_FALSE(sidecar.serving(0s));
  sidecar.tick(sidecar.nextTick(0s) + 100ms);
  REQUIRE(sidecar.serving(100ms));
  for (const Item& item : list) CHECK(sidecar.router().routes().find("a.example", "/" + item.key.name + "/"));
}

TEST_CASE("a restarted process serves its server immediately, but not one that was replaced") {
  ServerRecord known = served("i1", 4);
  known.node = {"n"};
  known.life = {6};
  known.leaving = true;  // the process, not the server
  Admission admission = admissionWithVoters();
  const AdmissionActions announced = admission.adopt(0s, known);
  REQUIRE(countOf(announced, AdmissionAction::Kind::announce) == 1);
  CHECK(announced[0].served.life == LifeNo{7});
  CHECK_FALSE(announced[0].served.leaving);
  const AdmissionActions run =
      admission.handleRequest(0s, {1}, forwardRequest(RouteKind::pure), std::nullopt);
  REQUIRE(countOf(run, AdmissionAction::Kind::run) == 1);
  CHECK(run[0].server.value == "app");
  // Its first heartbeat changes nothing; one of another server at its address replaces it.
  CHECK(admission.heartbeat(1s, heartbeat("i1", 9, 10)).empty());
  const AdmissionActions replaced = admission.heartbeat(2s, heartbeat("i2", 1));
  REQUIRE(countOf(replaced, AdmissionAction::Kind::announce) == 2);
  CHECK(replaced[0].served.replaced);
  CHECK(
      admission.handleRequest(2s, {2}, forwardRequest(RouteKind::pure), std::nullopt).back().reply.verdict ==
      Verdict::draining);
  CHECK(admission.adopt(3s, served("i3")).empty());

  // Not adopted: draining servers and those of other nodes. Of two servers the one announced last is adopted.
  // A 421 answer marks it as replaced.
  Admission second = admissionWithVoters();
  ServerRecord drains = known;
  drains.draining = true;
  drains.id = {"i4"};
  CHECK(second.adopt(0s, drains).empty());
  drains.draining = false;
  CHECK(second.adopt(0s, drains).empty());  // outdated after the drain
  CHECK(second.adopt(0s, served("i1")).empty());
  second.adopt(0s, known);
  ServerRecord older = known;
  older.id = {"i0"};
  older.seq = 3;
  CHECK(second.adopt(0s, older).empty());
  second.handleRequest(0s, {1}, forwardRequest(RouteKind::pure), std::nullopt);
  const AdmissionActions actions =
      second.executionEnded(0s, {1}, ExecutionResult::answered, {421, true, nullptr, 0});
  REQUIRE(countOf(actions, AdmissionAction::Kind::announce) == 1);
  CHECK(second.servers()[0].replaced);
}

TEST_CASE(
    "a starting process is ready once a settled control process has sent a configuration confirmed by a "
    "majority") {
  ControlClient client({{"s"}, {"s:1"}, "z", {1}, {{"v0"}, {"v1"}, {"v2"}}});
  Items items;
  items.merge(route("look", 4));
  const auto deliver = [&](Span now, const char* at, const Message& message) {
    client.handleMessage(now, {at}, json::parse(encode(message)));
  };
  for (const char* at : {"v0", "v1"}) {
    client.sessionOpened(0s, {at});
    deliver(0s, at, welcomeOf({at}));
  }
  deliver(0s, "v1", settledHeartbeat(items.digest()));
  CHECK_FALSE(client.ready(0s));
  ItemsReply reply;
  reply.items = {route("look", 4)};
  reply.confirmed = true;
  SECTION("confirmed") { deliver(1ms, "v0", reply); }
  SECTION("not without a majority's confirmation, even if two hold the same items") {
    deliver(0s, "v0", settledHeartbeat(items.digest()));
    reply.confirmed = false;
    deliver(1ms, "v0", reply);
    deliver(1ms, "v1", settledHeartbeat(items.digest()));
    CHECK_FALSE(client.ready(1ms));
    // Nor after any time while a settled control process is reachable.
    CHECK_FALSE(client.ready(10s));
    reply.confirmed = true;
    reply.items.clear();
    deliver(2ms, "v1", reply);
  }
  CHECK(client.ready(2ms));
}

TEST_CASE("settings are validated completely, and unknown fields are ignored") {
  json settings{{"node_name", "n"},
                {"ip", "10.0.0.1"},
                {"zone", "a"},
                {"zones", {{"a", "r"}, {"b", "r"}}},
                {"listen_addrs", {{"control_addr", "10.0.0.1:8144"}}},
                {"port_range", {7000, 7010}},
                {"seed_list", json::array()},
                {"bound_map", {{"drain", "2.5s"}, {"new_bound", "7q"}}},
                {"data_dir", nullptr},
                {"something_new", 1}};
  const auto read = readSettings(settings.dump());
  REQUIRE(read);
  CHECK(read.value().drain == 2500ms);
  CHECK(read.value().zones == 2);
  settings["bound_map"]["drain"] = "2.5";
  CHECK(readSettings(settings.dump()).error().what.find("bound_map.drain") != std::string::npos);
  settings.erase("zone");
  CHECK_FALSE(readSettings(settings.dump()));
}

TEST_CASE("the checker describes the effects of a change and the route of a request") {
  const auto configuration = parseConfiguration(changeOf(route("look", 4).value));
  REQUIRE(configuration);
  Items items;
  for (const Item& item : configuration.value()) items.merge(item);
  const auto reports = [](const std::vector<Finding>& findings, const std::string& what) {
    return std::any_of(findings.begin(), findings.end(),
                       [&](const Finding& r) { return r.what.find(what) != r.what.npos; });
  };
  CHECK(findIssues(items).empty());
  CHECK(reports(describeChange(items, {route("look", 3)}), "has no effect"));
  CHECK(reports(describeChange(items, {route("look", 5, "100ms")}), "timeout"));
  CHECK(reports(describeChange(items, {route("look", 5, "100ms")}), "shorter than target_time"));
  Item drop = route("look", 6);
  drop.dropped = true;
  drop.value = nullptr;
  CHECK(reports(describeChange(items, {drop}), "loses its last route"));
  Item same = route("other", 5);
  same.value["path_prefix"] = "/look/";
  CHECK(reports(describeChange(items, {same}), "has the same host and path_prefix as"));
  // The configuration as it is read back is accepted too.
  CHECK(parseConfiguration(items.activeAsJson().dump()).value().size() == 2);
  bool found = false;
  CHECK(explainRoute(items, "a.example", "/look/1", found).back().find("taken: look") == 0);
  CHECK(found);
  CHECK(explainRoute(items, "b.example", "/look/1", found).front().find("the host differs") !=
        std::string::npos);
  CHECK_FALSE(found);
}

TEST_CASE("API endpoints are found by socket, role, method and path") {
  bool known = false;
  const auto endpoint =
      findApiEndpoint(ApiListener::control, MachineRole::auxiliary, "PUT", "/rackroute/instances/i-1", known);
  REQUIRE(endpoint);
  CHECK(endpoint->name == "i-1");
  CHECK_FALSE(findApiEndpoint(ApiListener::control, MachineRole::core, "DELETE", "/rackroute/config", known));
  CHECK(known);
  CHECK_FALSE(findApiEndpoint(ApiListener::control, MachineRole::core, "GET", "/rackroute/configs", known));
  CHECK_FALSE(known);
}

TEST_CASE("a simulated mesh keeps its rules under random faults, and a seed is reproducible", ) {
  lab::mesh::Day size;
  size.seconds = 22;
  size.requestRate = 90;
  size.minServedShare = 0.8;
  for (std::uint64_t seed = 500; seed < 512; ++seed) {
    const lab::mesh::DayResult played = lab::mesh::runDay(lab::mesh::drawDay(seed, size), seed);
    for (const auto& broken : played.violations)
      UNSCOPED_INFO("seed " << seed << ": " << broken.rule << ' ' << broken.detail);
    REQUIRE(played.passed());
    CHECK(played.figures.at("repeats_answered").get<int>() > 0);
  }
  const auto twice = lab::mesh::drawDay(500, size);
  CHECK(lab::mesh::runDay(twice, 500).figures == lab::mesh::runDay(twice, 500).figures);
}
