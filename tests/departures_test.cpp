// Announced departures of servers and servers that were replaced: both must survive restarts of the sidecar
// and updates that arrive late, out of order or from other reporters.

#include <catch2/catch.hpp>

#include "mesh/balancing/server_pool.hpp"
#include "mesh/registry/registry.hpp"
#include "mesh_fixtures.hpp"

using namespace rackroute;
using namespace rackroute::mesh;
using namespace std::chrono_literals;

namespace {

ServerHeartbeat draining(const std::string& id, std::uint64_t seq) {
  ServerHeartbeat made = heartbeat(id, seq);
  made.draining = true;
  return made;
}

ServerHeartbeat signOff(const std::string& id) {
  ServerHeartbeat made;
  made.id = {id};
  made.gone = true;
  return made;
}

/// Whether a request for the server "i1" is admitted.
bool admits(Admission& here, Span now, std::uint64_t number) {
  const AdmissionActions acts =
      here.handleRequest(now, {number}, forwardRequest(RouteKind::pure), std::nullopt);
  return countOf(acts, AdmissionAction::Kind::run) == 1;
}

ServerRecord servedOnNode(std::uint64_t life, std::uint64_t seq = 1) {
  ServerRecord made = served("i1", seq);
  made.node = {"n"};
  made.life = {life};
  return made;
}

}  // namespace

TEST_CASE("a server that announced its departure gets no new requests after its sidecar restarted") {
  Admission here = admissionWithVoters();
  SECTION("its first heartbeat to the new sidecar reports that it drains") {
    here.heartbeat(0s, draining("i1", 9));
    CHECK_FALSE(admits(here, 0s, 1));
  }
  SECTION("it signs off before its first heartbeat, and a late heartbeat follows") {
    here.heartbeat(0s, signOff("i1"));
    here.heartbeat(100ms, heartbeat("i1", 8));
    CHECK_FALSE(admits(here, 200ms, 1));
  }
  SECTION("it was restored from an old record, and a newer record reports that it drains") {
    here.adopt(0s, servedOnNode(5));
    REQUIRE(admits(here, 0s, 1));
    ServerRecord drains = servedOnNode(6);
    drains.draining = true;
    here.adopt(10ms, drains);
    CHECK_FALSE(admits(here, 20ms, 2));
  }
  SECTION("a late heartbeat reports that it is ready after a record reported that it signed off") {
    ServerRecord gone = servedOnNode(6);
    gone.gone = true;
    here.adopt(0s, gone);
    here.heartbeat(10ms, heartbeat("i1", 8));
    CHECK_FALSE(admits(here, 20ms, 1));
  }
  SECTION("a draining heartbeat that arrives late takes effect, too") {
    here.heartbeat(0s, heartbeat("i1", 9));
    here.heartbeat(100ms, draining("i1", 8));
    CHECK_FALSE(admits(here, 5s, 1));
  }
}

TEST_CASE(
    "an announced departure persists in the registry and in callers' pools, whatever the order of updates") {
  ServerRecord ready = servedOnNode(8);
  ServerRecord left = servedOnNode(7);
  SECTION("it drains") { left.draining = true; }
  SECTION("it signed off") { left.gone = true; }
  for (const bool leftFirst : {true, false}) {
    INFO("departure received first: " << leftFirst);
    Registry registry;
    ServerPool pool("z", {"caller"}, 1);
    for (const ServerRecord& record : leftFirst ? std::vector{left, ready} : std::vector{ready, left}) {
      registry.update(record);
      for (const ServerStatus& status : registry.serversOf({"desk"})) pool.update(0s, status.served, true);
    }
    const std::vector<ServerStatus> known = registry.serversOf({"desk"});
    REQUIRE(known.size() == 1);
    CHECK(known[0].served.draining == left.draining);
    CHECK(known[0].served.gone == left.gone);
    CHECK_FALSE(pool.pick(1s, {"desk"}, false, {}));
  }
}

TEST_CASE("servers that ended with their machine are not picked once their sidecar reports a replacement") {
  constexpr std::size_t kMachines = 4;
  Registry registry;
  ServerPool pool("z", {"caller"}, 1);
  const auto reportAll = [&](std::uint64_t life) {
    for (std::size_t machine = 0; machine < kMachines; ++machine) {
      ServerRecord record = served("i" + std::to_string(machine) + "-" + std::to_string(life));
      record.node = {"n" + std::to_string(machine)};
      record.life = {life};
      registry.update(record);
    }
    for (const ServerStatus& status : registry.serversOf({"desk"})) pool.update(0s, status.served, true);
  };
  for (const std::uint64_t life : {1U, 2U, 3U}) reportAll(life);
  CHECK(pool.countUsable({"desk"}) == kMachines);
  for (int i = 0; i < 200; ++i) {
    const auto picked = pool.pick(1s, {"desk"}, false, {});
    REQUIRE(picked);
    CHECK(picked->id.value.ends_with("-3"));
    pool.recordOutcome(1s, picked->id, ServerOutcome::succeeded, std::nullopt);
  }
}

TEST_CASE("a server that its sidecar does not know is not picked until a newer record or the backoff's end") {
  ServerPool pool("z", {"caller"}, 1);
  for (const char* id : {"a", "b", "c", "d"}) pool.update(0s, served(id), true);
  const auto reportUnknown = [&](Span now, const InstanceId& id) {
    while (pool.pick(now, {"desk"}, false, {})->id != id)
      pool.recordOutcome(now, id, ServerOutcome::atCapacity, std::nullopt);
    pool.recordOutcome(now, id, ServerOutcome::unknownServer, std::nullopt);
  };
  for (const char* id : {"a", "b", "c"}) reportUnknown(1s, {id});
  for (int i = 0; i < 100; ++i) CHECK(pool.pick(2s, {"desk"}, false, {})->id == InstanceId{"d"});
  // A newer record makes server a eligible again, the end of the backoff all others.
  pool.update(2s, served("a", 2), true);
  std::set<InstanceId> seen;
  for (int i = 0; i < 200; ++i) seen.insert(pool.pick(2s, {"desk"}, false, {})->id);
  CHECK(seen == std::set<InstanceId>{{"a"}, {"d"}});
  for (int i = 0; i < 200; ++i) seen.insert(pool.pick(9s, {"desk"}, false, {})->id);
  CHECK(seen.size() == 4);
}
