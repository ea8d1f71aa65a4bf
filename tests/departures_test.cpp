// What servers said of their leaving, and what their end means to others: it stands in every later life of
// the process that took it, whoever tells of it, and in whatever order.

#include <catch2/catch.hpp>

#include "mesh/balancing/server_pool.hpp"
#include "mesh/registry/registry.hpp"
#include "mesh_fixtures.hpp"

using namespace rackroute;
using namespace rackroute::mesh;
using namespace std::chrono_literals;

namespace {

ServerHeartbeat draining(const std::string& id, std::uint64_t seq) {
  ServerHeartbeat told = heartbeat(id, seq);
  told.draining = true;
  return told;
}

ServerHeartbeat signOff(const std::string& id) {
  ServerHeartbeat told;
  told.id = {id};
  told.gone = true;
  return told;
}

/// Whether a request for the server "i1" is let in.
bool letsIn(Admission& here, Span now, std::uint64_t number) {
  const AdmissionActions acts =
      here.handleRequest(now, {number}, forwardRequest(RouteKind::pure), std::nullopt);
  return countOf(acts, AdmissionAction::Kind::run) == 1;
}

Served servedHere(std::uint64_t life, std::uint64_t seq = 1) {
  Served made = served("i1", seq);
  made.node = {"n"};
  made.life = {life};
  return made;
}

}  // namespace

TEST_CASE("a server that said that it leaves gets nothing new from a later life of the process beside it") {
  Admission here = admissionWithVoters();
  SECTION("its first beat here says that it drains: since when is not known") {
    here.heartbeat(0s, draining("i1", 9));
    CHECK_FALSE(letsIn(here, 0s, 1));
  }
  SECTION("it signs off before its first beat here, and beats on or late") {
    here.heartbeat(0s, signOff("i1"));
    here.heartbeat(100ms, heartbeat("i1", 8));
    CHECK_FALSE(letsIn(here, 200ms, 1));
  }
  SECTION("it was taken over from old news, and other news tell that it drains") {
    here.adopt(0s, servedHere(5));
    REQUIRE(letsIn(here, 0s, 1));
    Served drains = servedHere(6);
    drains.draining = true;
    here.adopt(10ms, drains);
    CHECK_FALSE(letsIn(here, 20ms, 2));
  }
  SECTION("it beats, late, that it is ready after the news came that it has signed off") {
    Served gone = servedHere(6);
    gone.gone = true;
    here.adopt(0s, gone);
    here.heartbeat(10ms, heartbeat("i1", 8));
    CHECK_FALSE(letsIn(here, 20ms, 1));
  }
  SECTION("what it says with a call that came late binds too") {
    here.heartbeat(0s, heartbeat("i1", 9));
    here.heartbeat(100ms, draining("i1", 8));
    CHECK_FALSE(letsIn(here, 5s, 1));
  }
}

TEST_CASE("what a server said of its leaving stands in the registry and at callers, whoever tells of it") {
  Served ready = servedHere(8);
  Served left = servedHere(7);
  SECTION("it drains") { left.draining = true; }
  SECTION("it signed off") { left.gone = true; }
  for (const bool leftFirst : {true, false}) {
    INFO("the leaving is heard first: " << leftFirst);
    Registry registry;
    ServerPool pool("z", {"caller"}, 1);
    for (const Served& told : leftFirst ? std::vector{left, ready} : std::vector{ready, left}) {
      registry.told(told);
      for (const News& news : registry.of({"desk"})) pool.told(0s, news.served, true);
    }
    const std::vector<News> known = registry.of({"desk"});
    REQUIRE(known.size() == 1);
    CHECK(known[0].served.draining == left.draining);
    CHECK(known[0].served.gone == left.gone);
    CHECK_FALSE(pool.pick(1s, {"desk"}, false, {}));
  }
}

TEST_CASE(
    "servers that ended with their machine are no candidates once their process is back with another one") {
  constexpr std::size_t kMachines = 4;
  Registry registry;
  ServerPool pool("z", {"caller"}, 1);
  const auto tellAll = [&](std::uint64_t life) {
    for (std::size_t machine = 0; machine < kMachines; ++machine) {
      Served told = served("i" + std::to_string(machine) + "-" + std::to_string(life));
      told.node = {"n" + std::to_string(machine)};
      told.life = {life};
      registry.told(told);
    }
    for (const News& news : registry.of({"desk"})) pool.told(0s, news.served, true);
  };
  for (const std::uint64_t life : {1U, 2U, 3U}) tellAll(life);
  CHECK(pool.standing({"desk"}) == kMachines);
  for (int i = 0; i < 200; ++i) {
    const auto picked = pool.pick(1s, {"desk"}, false, {});
    REQUIRE(picked);
    CHECK(picked->id.value.ends_with("-3"));
    pool.ended(1s, picked->id, Ending::served, std::nullopt);
  }
}

TEST_CASE("that a process does not know its server is no doubt of the detector, and is asked again later") {
  ServerPool pool("z", {"caller"}, 1);
  for (const char* id : {"a", "b", "c", "d"}) pool.told(0s, served(id), true);
  const auto unknown = [&](Span now, const InstanceId& id) {
    while (pool.pick(now, {"desk"}, false, {})->id != id) pool.ended(now, id, Ending::full, std::nullopt);
    pool.ended(now, id, Ending::strange, std::nullopt);
  };
  for (const char* id : {"a", "b", "c"}) unknown(1s, {id});
  for (int i = 0; i < 100; ++i) CHECK(pool.pick(2s, {"desk"}, false, {})->id == InstanceId{"d"});
  // Other news of it, or a while later.
  pool.told(2s, served("a", 2), true);
  std::set<InstanceId> seen;
  for (int i = 0; i < 200; ++i) seen.insert(pool.pick(2s, {"desk"}, false, {})->id);
  CHECK(seen == std::set<InstanceId>{{"a"}, {"d"}});
  for (int i = 0; i < 200; ++i) seen.insert(pool.pick(9s, {"desk"}, false, {})->id);
  CHECK(seen.size() == 4);
}
