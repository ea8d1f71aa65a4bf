// Announced departures of servers and servers that were replaced: both must survive restarts of the sidecar
// and updates that arrive late, out of order or from other reporters.

#include <catch2/catch.hpp>
#include <map>
#include <string>
#include <variant>

#include "control_requests.hpp"
#include "mesh/balancing/server_pool.hpp"
#include "mesh/control/messages.hpp"
#include "mesh/registry/registry.hpp"
#include "mesh/sidecar/sidecar.hpp"
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

/// A sidecar that knows two control processes, and the server "i1" on its machine.
class SidecarOfTwoControls {
 public:
  SidecarOfTwoControls() : sidecar_(config()) {
    sidecar_.tick(0s);  // dials both
    open(0s, "c1");
  }

  void open(Span now, const char* control) {
    sidecar_.sessionOpened(now, {control});
    Welcome welcome;
    welcome.self = {{control}, {1}};
    welcome.holdsState = true;
    sidecar_.handleMessage(now, {control}, nlohmann::json::parse(encode(welcome)));
  }
  void failDial(Span now, const char* control) { sidecar_.sessionClosed(now, {control}); }
  void drain(Span now) { read(sidecar_.serverCalled(now, {1}, draining("i1", 9))); }
  void tick(Span now) { read(sidecar_.tick(now)); }
  /// The control process confirms the record that it was asked for last, if there is one.
  void confirm(Span now, const char* control) {
    const auto record = records_.find(control);
    if (record == records_.end()) return;
    ServersUpdate confirmation;
    confirmation.recorded = record->second;
    read(sidecar_.handleMessage(now, {control}, nlohmann::json::parse(encode(confirmation))));
  }
  [[nodiscard]] bool acknowledged() const { return acknowledged_; }

 private:
  static Sidecar::Config config() {
    Sidecar::Config config;
    config.admission = {{"n"}, {"here:1"}, "z", {7}, {"desk"}, {"app"}, 2500ms, 60s, 1 << 20};
    config.controlClient = {{"n"}, {"here:1"}, "z", {7}, {{"c1"}, {"c2"}}};
    return config;
  }
  void read(const SidecarActions& actions) {
    for (const ServerCallResponse& response : actions.callResponses)
      acknowledged_ = acknowledged_ || response.acknowledged;
    for (const ControlClientAction& action : actions.control) {
      if (action.kind != ControlClientAction::Kind::send) continue;
      const Result<Message> message = decode(nlohmann::json::parse(*action.text));
      REQUIRE(message);
      const auto* const update = std::get_if<ServersUpdate>(&message.value());
      if (update != nullptr && update->record != 0) records_[action.at.value] = update->record;
    }
  }

  Sidecar sidecar_;
  std::map<std::string, std::uint64_t> records_;
  bool acknowledged_ = false;
};

}  // namespace

TEST_CASE("a departure just after a start is not acknowledged with one copy while another can be made") {
  SidecarOfTwoControls here;
  here.drain(5ms);
  here.confirm(10ms, "c1");
  CHECK_FALSE(here.acknowledged());
  SECTION("the second session opens, and both have the record") {
    here.open(20ms, "c2");
    here.tick(300ms);
    here.confirm(305ms, "c1");
    CHECK_FALSE(here.acknowledged());
    here.confirm(310ms, "c2");
    CHECK(here.acknowledged());
  }
  SECTION("the second control process can't be reached") {
    here.failDial(20ms, "c2");
    here.tick(300ms);
    here.confirm(305ms, "c1");
    CHECK(here.acknowledged());
  }
}

TEST_CASE("a sidecar that connects learns which of its servers depart from any control process that knows") {
  test::ControlCluster cluster = test::foundedCluster(3);
  ServersUpdate report;
  report.record = 1;
  ServerRecord drains = servedOnNode(7);
  drains.draining = true;
  report.servers = {{drains, true}, {served("i9"), true}};
  const std::uint64_t first = cluster.connectSidecar(test::name(0), "n");
  cluster.sendMessage(first, report);
  cluster.run(100ms);
  for (const std::string& at : test::names(3)) {
    INFO("control process " << at);
    // It does not follow any service yet.
    const std::uint64_t session = cluster.connectSidecar(at, "n");
    const auto* const update = cluster.last<ServersUpdate>(session);
    REQUIRE(update != nullptr);
    REQUIRE(update->servers.size() == 1);
    CHECK(update->servers[0].served.id == InstanceId{"i1"});
    CHECK(update->servers[0].served.draining);
  }
}

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

TEST_CASE("a restart of its sidecar does not extend the time for which a draining server gets requests") {
  Admission here = admissionWithVoters();
  SECTION("the new run restored the server from an old record") {
    here.adopt(0s, servedOnNode(5));
    REQUIRE(admits(here, 0s, 1));
    here.heartbeat(1600ms, draining("i1", 9));
    CHECK_FALSE(admits(here, 1600ms, 2));
  }
  SECTION("a heartbeat from before the departure reaches the new run first") {
    here.heartbeat(0s, heartbeat("i1", 7));
    here.heartbeat(1300ms, draining("i1", 9));
    CHECK_FALSE(admits(here, 1300ms, 2));
  }
  SECTION("no call is missing, so this run is the first to receive the departure") {
    here.heartbeat(0s, heartbeat("i1", 7));
    here.heartbeat(1300ms, draining("i1", 8));
    CHECK(admits(here, 2500ms, 2));
    here.heartbeat(2600ms, draining("i1", 9));
    CHECK_FALSE(admits(here, 2600ms, 3));
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
