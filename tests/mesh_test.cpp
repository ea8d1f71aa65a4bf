// Stories of the mesh's parts, and drawn load on all of them together in virtual time.

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

/// What a control process says to a sidecar at first; the voters are three.
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

TEST_CASE("copies of the configuration agree, in whatever order items come, and never go back") {
  std::mt19937_64 chance(3);
  for (int round = 0; round < 50; ++round) {
    std::vector<Item> all;
    for (int i = 0; i < 40; ++i) {
      all.push_back(
          route("r" + std::to_string(chance() % 6), chance() % 8, std::to_string(1 + chance() % 5) + "s"));
      if (chance() % 4 == 0) {
        all.back().dropped = true;
        all.back().value = nullptr;
      }
    }
    Items first;
    for (const Item& item : all) first.merge(item);
    std::shuffle(all.begin(), all.end(), chance);
    Items second;
    for (const Item& item : all) {
      const Item* held = second.find(item.key);
      const std::uint64_t before = held == nullptr ? 0 : held->generation.value;
      second.merge(itemFrom(toJson(item)));
      REQUIRE(second.find(item.key)->generation.value >= before);
    }
    REQUIRE(first.digest() == second.digest());
    REQUIRE(first.standing() == second.standing());
    Items third;
    for (const Item& item : first.beyond(third.versions())) third.merge(item);
    REQUIRE(third.digest() == first.digest());
    REQUIRE(first.beyond(third.versions()).empty());
  }
}

TEST_CASE("a change is checked whole, and what is wrong is named") {
  const json sound = route("look", 4).value;
  REQUIRE(readChange(changeOf(sound)));
  const auto wrong = [&](const char* field, const json& value) {
    json broken = sound;
    broken[field] = value;
    const auto read = readChange(changeOf(broken));
    REQUIRE_FALSE(read);
    return read.error().line();
  };
  CHECK(wrong("timeout", "0ms").find("route/look.timeout is 0") != std::string::npos);
  CHECK(wrong("timeout", "601s").find("over ten minutes") != std::string::npos);
  CHECK(wrong("timeout", "soon").find("can't be read") != std::string::npos);
  CHECK(wrong("path_prefix", "look/").find("does not begin with a slash") != std::string::npos);
  CHECK(wrong("generation", "7").find("is no version") != std::string::npos);
  CHECK(wrong("route_kind", "odd").find("breaks \"enum\"") != std::string::npos);
  CHECK(wrong("max_attempts", 0).find("minimum") != std::string::npos);
  CHECK_FALSE(readChange(changeOf(sound).substr(0, 60)));
  // A name may stand in it twice: the same word twice says nothing new, two words at one version are no
  // change.
  CHECK(readChange(
            R"({"remove":{"route_list":[{"name":"x","generation":"r7"},{"name":"x","generation":"r7"}]}})")
            .value()
            .size() == 1);
  json twice = json::parse(changeOf(sound));
  twice["remove"]["route_list"] = json::array({{{"name", "look"}, {"generation", "r4"}}});
  CHECK_FALSE(readChange(twice.dump()));
  // A service that its routes name must stand once the change has been taken.
  Items items;
  std::vector<Item> change = readChange(changeOf(sound)).value();
  CHECK_FALSE(items.unknownService(change));
  change.erase(std::remove_if(change.begin(), change.end(),
                              [](const Item& i) { return i.key.kind == ItemKind::service; }),
               change.end());
  CHECK(items.unknownService(change) == "desk");
}

TEST_CASE("a request takes the longest prefix that begins its path") {
  Items items;
  for (const auto& [name, prefix] :
       {std::pair("all", "/"), std::pair("a", "/a/"), std::pair("ab", "/a/b/")}) {
    Item item = route(name, 1);
    item.value["path_prefix"] = prefix;
    items.merge(item);
  }
  RouteTable book;
  book.read(items);
  CHECK(book.find("A.example:80", "/a/b/c?x=/z/")->name == "ab");
  CHECK(book.find("a.example", "/a/b")->name == "a");
  CHECK(book.find("a.example", "/a")->name == "all");
  CHECK_FALSE(book.find("b.example", "/a/"));
}

TEST_CASE("five failures in a row eject, up to half of the servers, and one trial re-admits") {
  ServerPool rack("z", {"n"}, 1);
  for (const char* id : {"a", "b", "c", "d"}) rack.update(0s, served(id), true);
  const auto failUntilOut = [&](const char* id) {
    for (int i = 0; i < 5; ++i) rack.recordOutcome(1s, {id}, ServerOutcome::failed, std::nullopt);
  };
  for (const char* id : {"a", "b", "c"}) failUntilOut(id);
  CHECK(rack.countEjected(1s, {"desk"}) == 2);
  for (int i = 0; i < 50; ++i) {
    const auto picked = rack.pick(2s, {"desk"}, false, {});
    REQUIRE(picked);
    CHECK((picked->id.value == "c" || picked->id.value == "d"));
  }
  // After its time one request tries it, and only one.
  std::set<InstanceId> others{{"b"}, {"c"}, {"d"}};
  CHECK(rack.pick(20s, {"desk"}, false, others));
  CHECK_FALSE(rack.pick(20s, {"desk"}, false, others));
  rack.recordOutcome(20s, {"a"}, ServerOutcome::succeeded, std::nullopt);
  CHECK(rack.countEjected(20s, {"desk"}) == 0);
  CHECK(rack.pick(20s, {"desk"}, false, others));
}

TEST_CASE("draining and sign-offs bind, silence of half the servers is doubted") {
  ServerPool rack("z", {"n"}, 1);
  for (const char* id : {"a", "b", "c", "d"}) rack.update(0s, served(id), true);
  Served leaving = served("a", 2);
  leaving.draining = true;
  rack.update(1s, leaving, true);
  rack.update(1s, served("a", 1), true);  // late news
  const std::set<InstanceId> others{{"b"}, {"c"}, {"d"}};
  CHECK_FALSE(rack.pick(1s, {"desk"}, false, others));
  // One of three unheard is avoided; two of three are not believed.
  rack.update(1s, served("b"), false);
  std::set<InstanceId> seen;
  for (int i = 0; i < 60; ++i) seen.insert(rack.pick(1s, {"desk"}, false, {})->id);
  CHECK(seen.count({"b"}) == 0);
  rack.update(1s, served("c"), false);
  for (int i = 0; i < 60; ++i) seen.insert(rack.pick(1s, {"desk"}, false, {})->id);
  CHECK(seen.count({"b"}) == 1);
  // The process beside it starts anew and has heard a late beat: the server leaves all the same.
  Served anew = served("a", 1);
  anew.life = {2};
  rack.update(2s, anew, true);
  CHECK_FALSE(rack.pick(2s, {"desk"}, false, others));
  // That process left and came back; that it found another server at the address was a guess.
  Served back = served("b", 2);
  back.replaced = true;
  rack.update(2s, back, true);
  CHECK_FALSE(rack.pick(2s, {"desk"}, false, {{"a"}, {"c"}, {"d"}}));
  back.replaced = false;
  back.seq = 3;
  rack.update(2s, back, true);
  CHECK(rack.pick(2s, {"desk"}, false, {{"a"}, {"c"}, {"d"}}));
}

TEST_CASE("the budgets of all processes together keep the fleet's allowance in every window") {
  std::mt19937_64 chance(11);
  const RetryAllowance all{0.2, 60, 10s};
  std::vector<RetryBudget> budgets(10);
  for (RetryBudget& budget : budgets) budget.configure(all, budgets.size());
  std::vector<std::pair<Span, bool>> events;  // further or not
  for (Span now{}; now < 60s; now += 5ms) {
    RetryBudget& budget = budgets[chance() % budgets.size()];
    if (now < 40s || chance() % 20 == 0) {
      budget.onRequest(now);
      events.emplace_back(now, false);
    }
    for (int i = 0; i < 3; ++i) {
      if (budget.tryTake(now)) events.emplace_back(now, true);
    }
  }
  std::size_t furtherInAll = 0;
  for (const auto& [at, further] : events) {
    if (!further) continue;
    ++furtherInAll;
    double requests = 0;
    double taken = 0;
    for (const auto& [then, isFurther] : events) {
      if (then <= at - 10s || then > at) continue;
      (isFurther ? taken : requests) += 1;
    }
    REQUIRE(taken <= all.ratio * requests + all.slack);
  }
  CHECK(furtherInAll > 100);
}

TEST_CASE("admission lets in what its server has room for, the most worth for its time first") {
  Admission here = admissionWithVoters();
  here.beat(0s, beat("i1", 1));
  const auto running = [&](std::uint64_t no, const ForwardRequest& ask) {
    return countOf(here.asked(0s, {no}, ask, std::nullopt), AdmissionAction::Kind::run) == 1;
  };
  // It learns that one route's work is long and the other's quick.
  CHECK(running(1, ask(RouteKind::pure, 1, "long")));
  here.ran(600ms, {1}, AtServer::answered, {200, false, nullptr, 0});
  CHECK(running(2, ask(RouteKind::pure, 1, "quick")));
  here.ran(20ms, {2}, AtServer::answered, {200, false, nullptr, 0});
  CHECK(running(3, ask(RouteKind::pure, 1, "long")));
  CHECK(running(4, ask(RouteKind::pure, 1, "long")));
  CHECK_FALSE(running(5, ask(RouteKind::pure, 1, "long")));
  CHECK_FALSE(running(6, ask(RouteKind::pure, 1, "quick")));
  const AdmissionActions acts = here.ran(30ms, {3}, AtServer::answered, {200, false, nullptr, 0});
  REQUIRE(countOf(acts, AdmissionAction::Kind::run) == 1);
  CHECK(std::find_if(acts.begin(), acts.end(), [](const AdmissionAction& a) {
          return a.kind == AdmissionAction::Kind::run;
        })->ask == InboundRequestId{6});
  // What can't be started in time goes at once.
  const AdmissionActions refused = here.asked(
      0s, {7},
      [] {
        ForwardRequest late = ask(RouteKind::pure, 2, "long");
        late.targetLeft = 100ms;
        return late;
      }(),
      std::nullopt);
  REQUIRE(countOf(refused, AdmissionAction::Kind::answer) == 1);
  CHECK(refused.back().told.verdict == Verdict::overloaded);
}

TEST_CASE("a server that drains, is gone or is another gets nothing, and late calls change nothing") {
  Admission here = admissionWithVoters();
  CHECK(here.asked(0s, {1}, ask(RouteKind::pure), std::nullopt).back().told.verdict ==
        Verdict::unknownServer);
  here.beat(0s, beat("i1", 5));
  Beat leaving = beat("i1", 6);
  leaving.draining = true;
  CHECK(countOf(here.beat(1s, leaving), AdmissionAction::Kind::tell) == 1);
  CHECK(countOf(here.beat(1s, beat("i1", 5)), AdmissionAction::Kind::tell) == 0);
  CHECK(countOf(here.asked(1500ms, {2}, ask(RouteKind::pure), std::nullopt), AdmissionAction::Kind::run) ==
        1);
  CHECK(here.asked(3400ms, {3}, ask(RouteKind::pure), std::nullopt).back().told.verdict == Verdict::draining);
  ForwardRequest elsewhere = ask(RouteKind::pure);
  elsewhere.service = {"line"};
  CHECK(here.asked(1s, {4}, elsewhere, std::nullopt).back().told.verdict == Verdict::unknownServer);
}

TEST_CASE("a key runs once here, repeats get its answer or wait for it, and a return is told to the voters") {
  Admission here = admissionWithVoters();
  here.beat(0s, beat("i1", 1, 1));
  const AdmissionActions claiming = here.asked(0s, {1}, ask(RouteKind::keyed), "k");
  REQUIRE(claiming.size() == 1);
  REQUIRE(claiming[0].kind == AdmissionAction::Kind::claim);
  // Votes hold no slot: other work runs meanwhile, and the key waits its turn.
  CHECK(countOf(here.asked(0s, {2}, ask(RouteKind::pure), std::nullopt), AdmissionAction::Kind::run) == 1);
  CHECK(countOf(here.claimEnded(1ms, winClaim(here, claiming[0].claim)), AdmissionAction::Kind::run) == 0);
  CHECK(countOf(here.ran(2ms, {2}, AtServer::answered, {200, false, nullptr, 0}),
                AdmissionAction::Kind::run) == 1);
  CHECK(here.asked(3ms, {3}, ask(RouteKind::keyed), "k").empty());
  const auto bytes = std::make_shared<int>(5);
  const AdmissionActions done = here.ran(9ms, {1}, AtServer::answered, {200, false, bytes, 100});
  REQUIRE(countOf(done, AdmissionAction::Kind::answer) == 2);
  for (const AdmissionAction& act : done) CHECK(act.bytes == bytes);
  CHECK(here.asked(1s, {4}, ask(RouteKind::keyed), "k").back().bytes == bytes);
  // Turned away by its server: surely not run, so the promise goes back and another server may try.
  const AdmissionActions second = here.asked(1s, {5}, ask(RouteKind::keyed), "k2");
  here.claimEnded(1s, winClaim(here, second[0].claim));
  const AdmissionActions turned = here.ran(1s, {5}, AtServer::answered, {503, true, nullptr, 0});
  CHECK(countOf(turned, AdmissionAction::Kind::giveBack) == 1);
  CHECK(turned.back().told.verdict == Verdict::rejectedByServer);
  // Broken off: nobody knows, and nobody runs it again.
  const AdmissionActions third = here.asked(2s, {6}, ask(RouteKind::keyed), "k3");
  here.claimEnded(2s, winClaim(here, third[0].claim));
  CHECK(countOf(here.ran(2s, {6}, AtServer::broken, {}), AdmissionAction::Kind::giveBack) == 0);
  CHECK(here.asked(3s, {7}, ask(RouteKind::keyed), "k3").back().told.verdict == Verdict::unknown);
}

TEST_CASE("without a quorum a key is refused at once, and room for others is not spent on it") {
  Admission here = admissionWithVoters();
  here.beat(0s, beat("i1", 1, 1));
  const AdmissionActions claiming = here.asked(0s, {1}, ask(RouteKind::keyed), "k");
  REQUIRE(countOf(claiming, AdmissionAction::Kind::claim) == 1);
  const AdmissionActions over = here.tick(500ms);
  CHECK(countOf(over, AdmissionAction::Kind::giveBack) == 1);
  CHECK(over.back().told.verdict == Verdict::noQuorum);
  const AdmissionActions next = here.asked(501ms, {2}, ask(RouteKind::keyed), "k2");
  REQUIRE(next.size() == 1);
  CHECK(next[0].told.verdict == Verdict::noQuorum);
  // Voters that are there may only be slow; without any decision for longer they are taken for gone, and
  // clients that came back at once would use up their tries before the core is back.
  CHECK(next[0].told.wait < 500ms);
  const AdmissionActions again = here.asked(800ms, {4}, ask(RouteKind::keyed), "k4");
  REQUIRE(countOf(again, AdmissionAction::Kind::claim) == 1);
  CHECK(here.tick(1300ms).back().told.wait >= 1s);
  here.claims().setReachableVoters(1);
  const AdmissionActions alone = here.asked(5s, {3}, ask(RouteKind::keyed), "k3");
  CHECK(alone.back().told.verdict == Verdict::noQuorum);
  CHECK(alone.back().told.wait >= 1s);
  here.claims().setReachableVoters(3);
  const AdmissionActions back = here.asked(6s, {5}, ask(RouteKind::keyed), "k5");
  here.claimEnded(6s, winClaim(here, back[0].claim));
  CHECK(here.claims().retryAfter(6s) < 500ms);
}

TEST_CASE(
    "what may have run is sent again only where that is allowed, and is never promised not to have run") {
  const auto send = [](const RoutingActions& acts) {
    REQUIRE(acts.size() == 1);
    REQUIRE(acts[0].kind == RoutingAction::Kind::send);
    return acts[0].sent;
  };
  SECTION("an effectful request that broke off is asked after once, where it was sent") {
    RequestRouter here = caller(RouteKind::effectful);
    const RoutingActions first = here.asked(1s, {1}, kAsked);
    const TryNo sent = send(first);
    const RoutingActions asking = here.forwarded(1s, {1}, sent, ForwardResult::broken, {}, 0, nullptr);
    const TryNo asked = send(asking);
    CHECK(asking[0].at == first[0].at);
    CHECK(asking[0].ask.id == first[0].ask.id);
    CHECK(asking[0].ask.outcomeQuery == LifeNo{1});
    ForwardReply told;
    SECTION("no answer: 502") {
      for (const ForwardResult how : {ForwardResult::broken, ForwardResult::notSent}) {
        RequestRouter same = caller(RouteKind::effectful);
        const TryNo again = send(same.forwarded(1s, {1}, send(same.asked(1s, {1}, kAsked)),
                                                ForwardResult::broken, {}, 0, nullptr));
        const RoutingActions acts = same.forwarded(1s, {1}, again, how, {}, 0, nullptr);
        REQUIRE(acts.size() == 1);
        CHECK(acts[0].status == 502);
      }
    }
    SECTION("not known there: 502") {
      told.verdict = Verdict::unknown;
      CHECK(here.forwarded(1s, {1}, asked, ForwardResult::told, told, 503, nullptr)[0].status == 502);
    }
    SECTION("it never came: to another server, and if none takes it, refused") {
      told.verdict = Verdict::notReceived;
      const RoutingActions acts = here.forwarded(1s, {1}, asked, ForwardResult::told, told, 503, nullptr);
      const TryNo second = send(acts);
      CHECK(acts[0].at != first[0].at);
      told.verdict = Verdict::overloaded;
      CHECK(here.forwarded(1s, {1}, second, ForwardResult::told, told, 503, nullptr)[0].status == 503);
    }
    SECTION("word that it never came, too long after it was sent, is not believed") {
      RequestRouter slow = caller(RouteKind::effectful);
      Items items;
      Item item = route("look", 2, "60s");
      item.value["route_kind"] = "effectful";
      items.merge(item);
      slow.configured(items);
      const TryNo old = send(slow.asked(1s, {1}, {"a.example", "/look/1", 60s}));
      const TryNo question = send(slow.forwarded(2s, {1}, old, ForwardResult::broken, {}, 0, nullptr));
      told.verdict = Verdict::notReceived;
      CHECK(slow.forwarded(11s, {1}, question, ForwardResult::told, told, 503, nullptr)[0].status == 502);
    }
    SECTION("no word before its client's time is over: 504") {
      const RoutingActions acts = here.tick(2500ms);
      REQUIRE(acts.size() == 1);
      CHECK(acts[0].status == 504);
    }
  }
  SECTION("one that was admitted nowhere goes on, and is refused with the time to come back") {
    RequestRouter here = caller(RouteKind::effectful);
    TryNo sent = send(here.asked(1s, {1}, kAsked));
    ForwardReply full;
    full.verdict = Verdict::overloaded;
    sent = send(here.forwarded(1s, {1}, sent, ForwardResult::told, full, 503, nullptr));
    const RoutingActions acts = here.forwarded(1s, {1}, sent, ForwardResult::told, full, 503, nullptr);
    CHECK(acts[0].status == 503);
    CHECK(acts[0].comeBack > 0s);
  }
  SECTION("a pure one is sent again while the budget lasts") {
    RequestRouter here = caller(RouteKind::pure, 0);
    const TryNo sent = send(here.asked(1s, {1}, kAsked));
    CHECK(here.forwarded(1s, {1}, sent, ForwardResult::broken, {}, 0, nullptr)[0].status == 502);
    RequestRouter rich = caller(RouteKind::pure);
    RoutingActions acts;
    for (std::uint64_t i = 1; i < 60; ++i) acts = rich.asked(20s + i * 1ms, {i}, kAsked);
    send(rich.forwarded(20200ms, {59}, acts[0].sent, ForwardResult::broken, {}, 0, nullptr));
  }
  SECTION(
      "a key that another holds is asked for there; a dead holder's is not known, but this one never ran") {
    ForwardReply held;
    held.verdict = Verdict::keyClaimed;
    held.holder = Holder{{"there:1"}, {4}, {9}};
    RequestRouter here = caller(RouteKind::keyed);
    const TryNo sent = send(here.asked(1s, {1}, kAsked));
    const RoutingActions asking = here.forwarded(1s, {1}, sent, ForwardResult::told, held, 503, nullptr);
    REQUIRE(asking.size() == 1);
    CHECK(asking[0].at.value == "there:1");
    CHECK(asking[0].ask.holder == LifeNo{4});
    const RoutingActions refused =
        here.forwarded(1s, {1}, asking[0].sent, ForwardResult::notSent, {}, 0, nullptr);
    CHECK(refused[0].status == 503);
    CHECK(refused[0].comeBack >= 500ms);
    // The same at the end of its client's time.
    RequestRouter waiting = caller(RouteKind::keyed);
    send(waiting.forwarded(1s, {1}, send(waiting.asked(1s, {1}, kAsked)), ForwardResult::told, held, 503,
                           nullptr));
    CHECK(waiting.tick(2500ms)[0].status == 503);
    // A copy of this one that went another way may have run.
    RequestRouter broken = caller(RouteKind::keyed);
    const TryNo second = send(broken.forwarded(1s, {1}, send(broken.asked(1s, {1}, kAsked)),
                                               ForwardResult::broken, {}, 0, nullptr));
    const TryNo third = send(broken.forwarded(1s, {1}, second, ForwardResult::told, held, 503, nullptr));
    CHECK(broken.forwarded(1s, {1}, third, ForwardResult::notSent, {}, 0, nullptr)[0].status == 502);
  }
  SECTION("a repeat whose first run ended with no answer did not run itself") {
    RequestRouter here = caller(RouteKind::keyed);
    const TryNo sent = send(here.asked(1s, {1}, kAsked));
    ForwardReply told;
    told.verdict = Verdict::unknown;
    told.replayed = true;
    CHECK(here.forwarded(1s, {1}, sent, ForwardResult::told, told, 503, nullptr)[0].status == 503);
    RequestRouter first = caller(RouteKind::keyed);
    told.replayed = false;
    CHECK(first
              .forwarded(1s, {1}, send(first.asked(1s, {1}, kAsked)), ForwardResult::told, told, 503,
                         nullptr)[0]
              .status == 502);
  }
  SECTION("no route is 404 at once") {
    RequestRouter here = caller(RouteKind::pure);
    CHECK(here.asked(1s, {1}, {"a.example", "/other/", 1s})[0].status == 404);
  }
}

TEST_CASE("the store gives back what was written, and leaves a foreign folder alone") {
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
    std::condition_variable told;
    std::size_t done = 0;
    store.start([&](std::uint64_t, bool written) {
      const std::lock_guard guard(mutex);
      if (written) ++done;
      told.notify_one();
    });
    store.write(1, {{"a", "1"}, {"b", "2"}});
    store.write(2, {{"a", std::nullopt}});
    std::unique_lock lock(mutex);
    told.wait(lock, [&] { return done == 2; });
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
  CHECK(late.open(entry).state == OpenState::foreign);
  CHECK(all.empty());
  std::filesystem::remove_all(folder);
}

TEST_CASE("a long word is packed once for all who get it, and a spoilt one is no word") {
  json routes = json::array();
  for (int i = 0; i < 300; ++i) routes.push_back(route("r" + std::to_string(i), 1).value);
  const auto word = std::make_shared<const std::string>(routes.dump());
  REQUIRE(shouldCompress(*word));
  CHECK_FALSE(shouldCompress("{}"));
  Compressor compressor;
  const auto packed = compressor.compress(word);
  REQUIRE(packed);
  CHECK(packed->size() * 8 < word->size());
  CHECK(compressor.compress(word) == packed);
  CHECK(decompress(*packed, word->size()) == *word);
  // More bytes than were said, fewer, and others than were sent.
  CHECK_FALSE(decompress(*packed, word->size() - 1));
  CHECK_FALSE(decompress(*packed, word->size() + 1));
  std::string spoilt = *packed;
  spoilt[spoilt.size() / 2] = static_cast<char>(spoilt[spoilt.size() / 2] ^ 4);
  CHECK_FALSE(decompress(spoilt, word->size()));
  CHECK_FALSE(decompress(std::string_view(*packed).substr(0, packed->size() / 2), word->size()));
}

TEST_CASE("a large configuration goes out in parts, and is no copy nor in force before its last") {
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
  Sidecar here(built);
  here.sessionOpened(0s, {"v0"});
  here.handleMessage(0s, {"v0"}, json::parse(encode(welcomeOf({"v0"}))));
  here.handleMessage(0s, {"v0"}, json::parse(encode(settledHeartbeat(items.digest()))));
  Items copy;
  for (std::size_t i = 0; i < texts.size(); ++i) {
    const json text = json::parse(*texts[i]);
    const Result<Message> message = decode(text);
    REQUIRE(message);
    const auto& reply = std::get<ItemsReply>(message.value());
    CHECK(reply.last() == (i + 1 == texts.size()));
    for (const Item& item : reply.items) copy.merge(item);
    CHECK_FALSE(here.serving(0s));
    here.handleMessage(0s, {"v0"}, text);
  }
  CHECK(copy.digest() == items.digest());
  // All is there, but not all has been read as routes.
  CHECK_FALSE(here.serving(0s));
  here.tick(here.nextTick(0s) + 100ms);
  REQUIRE(here.serving(100ms));
  for (const Item& item : list) CHECK(here.router().routes().find("a.example", "/" + item.key.name + "/"));
}

TEST_CASE("a process that came back serves its server at once, and none that another has replaced") {
  Served known = served("i1", 4);
  known.node = {"n"};
  known.life = {6};
  known.leaving = true;  // the process that told of it did
  Admission here = admissionWithVoters();
  const AdmissionActions told = here.adopt(0s, known);
  REQUIRE(countOf(told, AdmissionAction::Kind::tell) == 1);
  CHECK(told[0].served.life == LifeNo{7});
  CHECK_FALSE(told[0].served.leaving);
  const AdmissionActions run = here.asked(0s, {1}, ask(RouteKind::pure), std::nullopt);
  REQUIRE(countOf(run, AdmissionAction::Kind::run) == 1);
  CHECK(run[0].server.value == "app");
  // Its first beat changes nothing; one of another server at its address ends it.
  CHECK(here.beat(1s, beat("i1", 9, 10)).empty());
  const AdmissionActions replaced = here.beat(2s, beat("i2", 1));
  REQUIRE(countOf(replaced, AdmissionAction::Kind::tell) == 2);
  CHECK(replaced[0].served.replaced);
  CHECK(here.asked(2s, {2}, ask(RouteKind::pure), std::nullopt).back().told.verdict == Verdict::draining);
  CHECK(here.adopt(3s, served("i3")).empty());

  // Not one that leaves, not another's; of two, the one told of last; and 421 is word of its end.
  Admission there = admissionWithVoters();
  Served drains = known;
  drains.draining = true;
  drains.id = {"i4"};
  CHECK(there.adopt(0s, drains).empty());
  drains.draining = false;
  CHECK(there.adopt(0s, drains).empty());  // other news of it that come late
  CHECK(there.adopt(0s, served("i1")).empty());
  there.adopt(0s, known);
  Served older = known;
  older.id = {"i0"};
  older.seq = 3;
  CHECK(there.adopt(0s, older).empty());
  there.asked(0s, {1}, ask(RouteKind::pure), std::nullopt);
  const AdmissionActions other = there.ran(0s, {1}, AtServer::answered, {421, true, nullptr, 0});
  REQUIRE(countOf(other, AdmissionAction::Kind::tell) == 1);
  CHECK(there.servers()[0].replaced);
}

TEST_CASE("a process that starts is ready once a settled control process has told what a majority confirms") {
  ControlClient client({{"s"}, {"s:1"}, "z", {1}, {{"v0"}, {"v1"}, {"v2"}}});
  Items items;
  items.merge(route("look", 4));
  const auto tell = [&](Span now, const char* at, const Message& message) {
    client.handleMessage(now, {at}, json::parse(encode(message)));
  };
  for (const char* at : {"v0", "v1"}) {
    client.sessionOpened(0s, {at});
    tell(0s, at, welcomeOf({at}));
  }
  tell(0s, "v1", settledHeartbeat(items.digest()));
  CHECK_FALSE(client.ready(0s));
  ItemsReply reply;
  reply.items = {route("look", 4)};
  reply.confirmed = true;
  SECTION("the same") { tell(1ms, "v0", reply); }
  SECTION("not with what no majority has confirmed, also where two hold the same") {
    tell(0s, "v0", settledHeartbeat(items.digest()));
    reply.confirmed = false;
    tell(1ms, "v0", reply);
    tell(1ms, "v1", settledHeartbeat(items.digest()));
    CHECK_FALSE(client.ready(1ms));
    // Not with time alone either, as long as a settled one is in reach.
    CHECK_FALSE(client.ready(10s));
    reply.confirmed = true;
    reply.items.clear();
    tell(2ms, "v1", reply);
  }
  CHECK(client.ready(2ms));
}

TEST_CASE("settings are checked whole, and unknown fields ignored") {
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

TEST_CASE("the checker says what a change alters, and which route takes a path") {
  const auto plan = readPlan(changeOf(route("look", 4).value));
  REQUIRE(plan);
  Items items;
  for (const Item& item : plan.value()) items.merge(item);
  const auto says = [](const std::vector<Remark>& remarks, const std::string& what) {
    return std::any_of(remarks.begin(), remarks.end(),
                       [&](const Remark& r) { return r.what.find(what) != r.what.npos; });
  };
  CHECK(remarksOn(items).empty());
  CHECK(says(alterations(items, {route("look", 3)}), "has no effect"));
  CHECK(says(alterations(items, {route("look", 5, "100ms")}), "timeout"));
  CHECK(says(alterations(items, {route("look", 5, "100ms")}), "shorter than target_time"));
  Item drop = route("look", 6);
  drop.dropped = true;
  drop.value = nullptr;
  CHECK(says(alterations(items, {drop}), "loses its last route"));
  Item same = route("other", 5);
  same.value["path_prefix"] = "/look/";
  CHECK(says(alterations(items, {same}), "stands at the place of"));
  // What is read back is a plan too.
  CHECK(readPlan(items.standing().dump()).value().size() == 2);
  bool found = false;
  CHECK(wayOf(items, "a.example", "/look/1", found).back().find("taken: look") == 0);
  CHECK(found);
  CHECK(wayOf(items, "b.example", "/look/1", found).front().find("the host is another") != std::string::npos);
  CHECK_FALSE(found);
}

TEST_CASE("each call stands in the one table") {
  bool known = false;
  const auto beat =
      findApiEndpoint(ApiListener::control, MachineRole::auxiliary, "PUT", "/rackroute/instances/i-1", known);
  REQUIRE(beat);
  CHECK(beat->name == "i-1");
  CHECK_FALSE(findApiEndpoint(ApiListener::control, MachineRole::core, "DELETE", "/rackroute/config", known));
  CHECK(known);
  CHECK_FALSE(findApiEndpoint(ApiListener::control, MachineRole::core, "GET", "/rackroute/configs", known));
  CHECK_FALSE(known);
}

TEST_CASE("a whole mesh keeps the rules on drawn days, and plays a seed the same each time", ) {
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
