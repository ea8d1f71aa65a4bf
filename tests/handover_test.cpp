// Handover between two processes of one sidecar, including crashes and hangs of either, and the text formats
// of the state that is handed over.

#include <Poco/Net/DatagramSocket.h>
#include <sys/stat.h>

#include "balancer_fixture.hpp"
#include "handover/server_overrides.hpp"
#include "handover/snapshot_text.hpp"
#include "sidecar_process.hpp"

using namespace rackroute;
using namespace rackroute::program;

namespace {

/// A process of the sidecar under test: shares its addresses, but has its own admin address.
class SidecarProcess {
 public:
  SocketAddress adminAddress = unusedAddress();

  explicit SidecarProcess(Sidecar& sidecar, const std::string& folder, const std::string& name = "n0") {
    process_.environment = {{"LB_ADMIN", adminAddress.toString()}, {"TMPDIR", folder}};
    process_.launch(R"({"name":")" + name + sidecar.configuration().substr(11));
    for (int tries = 0; tries < 1000 && !ready(); ++tries) std::this_thread::sleep_for(10ms);
    if (ready()) return;
    process_.signal(SIGKILL);
    process_.waitForExit();
    FAIL("it is not ready:\n" << process_.log());
  }
  bool ready() { return has(call("GET /ops/readiness"), " 200 "); }
  std::string call(const std::string& line) {
    try {
      Peer peer{StreamSocket(adminAddress)};
      peer.send(line + " HTTP/1.1\r\nHost: door\r\n\r\n");
      return peer.readMessage();
    } catch (const Poco::Net::NetException&) {
      return {};
    }
  }
  int terminate(int number) {
    process_.signal(number);
    return process_.waitForExit();
  }
  void signal(int number) { process_.signal(number); }
  std::string log() { return process_.log(); }

 private:
  Sidecar process_{0};
};

/// Sends one request, answers it as the server, and returns the client's response.
std::string completeRequest(Sidecar& sidecar, Peer& client, std::size_t* which = nullptr) {
  client.send(query("read"));
  Peer server = sidecar.acceptServer(which);
  server.readMessage();
  server.send(okResponse("done", "Connection: close\r\n"));
  return client.readMessage();
}

struct TemporaryFolder {
  Poco::TemporaryFile file;
  TemporaryFolder() { file.createDirectory(); }
  [[nodiscard]] std::string path() const { return file.path(); }
};

}  // namespace

TEST_CASE(
    "a new process takes over: connections move after their responses, servers stay disabled, none is "
    "refused") {
  TemporaryFolder folder;
  Sidecar sidecar;
  SidecarProcess before(sidecar, folder.path());
  Peer client = sidecar.connect();
  CHECK_FALSE(has(completeRequest(sidecar, client), "Connection: close"));
  CHECK(has(before.call("POST /ops/servers/down/s-0"), " 200 "));

  SidecarProcess after(sidecar, folder.path());
  CHECK(has(completeRequest(sidecar, client), "Connection: close"));  // accepted by the old process
  CHECK(client.closedByPeer());
  CHECK(before.ready());
  CHECK(has(after.call("GET /ops/stats"), "edge_lb_out_of_rotation 1\n"));
  CHECK(has(before.call("POST /ops/servers/up/s-0"), " 200 "));  // at either process, for both
  CHECK(has(after.call("GET /ops/stats"), "edge_lb_out_of_rotation 0\n"));
  CHECK(has(after.call("POST /ops/servers/down/s-1"), " 200 "));
  CHECK(has(before.call("GET /ops/stats"), "edge_lb_out_of_rotation 1\n"));

  Peer waiting = sidecar.connect();  // accepted by the new process
  CHECK(before.terminate(SIGTERM) == 0);
  std::size_t which = 9;
  CHECK_FALSE(has(completeRequest(sidecar, waiting, &which), "Connection: close"));
  CHECK(which == 0);

  SidecarProcess third(sidecar, folder.path());  // a second handover right after the first
  CHECK(after.terminate(SIGTERM) == 0);
  CHECK(has(third.call("GET /ops/stats"), "edge_lb_out_of_rotation 1\n"));
  Peer last = sidecar.connect();
  CHECK(has(completeRequest(sidecar, last), "done"));
}

TEST_CASE("a new process that is killed leaves the old one serving, and a later one takes over from it") {
  TemporaryFolder folder;
  Sidecar sidecar;
  SidecarProcess before(sidecar, folder.path());
  {
    SidecarProcess killed(sidecar, folder.path());
    killed.terminate(SIGKILL);
  }
  Peer client = sidecar.connect();
  CHECK_FALSE(has(completeRequest(sidecar, client), "Connection: close"));
  SidecarProcess after(sidecar, folder.path());
  CHECK(has(completeRequest(sidecar, client), "Connection: close"));
  CHECK(before.terminate(SIGTERM) == 0);
}

TEST_CASE("a new process that starts just after another was killed takes over from the old one") {
  TemporaryFolder folder;
  Sidecar sidecar;
  sidecar.extraConfig =
      R"(,"fleet":{"name":"f","period_ms":100,"listen":")" + unusedAddress().toString() + "\"}";
  SidecarProcess before(sidecar, folder.path());
  const auto startOfMember = [](SidecarProcess& process) {
    const std::string reply = process.call("GET /ops/fleet");
    return reply.substr(reply.find("\"start\":"), 21);
  };
  const std::string start = startOfMember(before);
  Peer client = sidecar.connect();
  CHECK_FALSE(has(completeRequest(sidecar, client), "Connection: close"));
  SidecarProcess killed(sidecar, folder.path());
  before.signal(SIGSTOP);  // delays its reaction to the kill
  killed.terminate(SIGKILL);
  std::jthread resume([&] {
    std::this_thread::sleep_for(80ms);
    before.signal(SIGCONT);
  });
  SidecarProcess after(sidecar, folder.path());
  CHECK(startOfMember(after) == start);
  CHECK(has(completeRequest(sidecar, client), "Connection: close"));
  CHECK(before.terminate(SIGTERM) == 0);
}

TEST_CASE(
    "a fleet member starts beside an old process that hangs, and takes its place once that one has ended") {
  TemporaryFolder folder;
  Sidecar sidecar;
  sidecar.extraConfig =
      R"(,"fleet":{"name":"f","period_ms":100,"listen":")" + unusedAddress().toString() + "\"}";
  SidecarProcess before(sidecar, folder.path());
  before.signal(SIGSTOP);
  SidecarProcess after(sidecar, folder.path());
  before.terminate(SIGKILL);
  const auto isMember = [&] { return has(after.call("GET /ops/stats"), "edge_lb_fleet_size 1\n"); };
  for (int tries = 0; tries < 500 && !isMember(); ++tries) std::this_thread::sleep_for(20ms);
  CHECK(isMember());
  CHECK(after.terminate(SIGTERM) == 0);
}

TEST_CASE(
    "two processes of a sidecar are one fleet member, and a killed one returns the membership to the other") {
  TemporaryFolder folder;
  TemporaryFolder elsewhere;
  const auto free = [] { return unusedAddress().toString(); };
  const std::string first = free();
  const std::string second = free();
  Sidecar other;
  other.extraConfig =
      R"(,"fleet":{"name":"f","period_ms":100,"listen":")" + second + R"(","join":[")" + first + "\"]}";
  Sidecar sidecar;
  sidecar.extraConfig = R"(,"fleet":{"name":"f","period_ms":100,"listen":")" + first + "\"}";
  SidecarProcess before(sidecar, folder.path());
  SidecarProcess peer(other, elsewhere.path(), "n1");
  const auto seen = [&](const std::string& part) {
    for (int tries = 0; tries < 500; ++tries) {
      if (has(peer.call("GET /ops/fleet"), part)) return true;
      std::this_thread::sleep_for(20ms);
    }
    return false;
  };
  const std::string alive = R"("name":"n0","state":"alive")";
  REQUIRE(seen(alive));
  const auto startOfMember = [&](SidecarProcess& process) {
    const std::string reply = process.call("GET /ops/fleet");
    return reply.substr(reply.find("\"start\":"), 21);
  };
  const std::string start = startOfMember(before);
  { SidecarProcess(sidecar, folder.path()).terminate(SIGKILL); }
  REQUIRE(seen(alive));
  SidecarProcess after(sidecar, folder.path());
  CHECK(before.terminate(SIGTERM) == 0);  // must not announce a leave
  CHECK(startOfMember(after) == start);
  CHECK(has(after.call("GET /ops/fleet"), "\"n1\""));
  REQUIRE(seen(alive));
  CHECK(has(after.call("GET /ops/stats"), "edge_lb_fleet_size 2\n"));
  CHECK_FALSE(has(peer.call("GET /ops/fleet"), "left"));
  CHECK(after.terminate(SIGTERM) == 0);
  CHECK(seen(R"("name":"n0","state":"left")"));
}

TEST_CASE("a member flooded with garbage limits what it reads, counts the drops and keeps serving") {
  TemporaryFolder folder;
  Sidecar sidecar;
  const SocketAddress address = unusedAddress();
  sidecar.extraConfig = R"(,"fleet":{"name":"f","listen":")" + address.toString() + "\"}";
  SidecarProcess member(sidecar, folder.path());
  Poco::Net::DatagramSocket source(SocketAddress("127.0.0.1", 0));
  std::string garbage(900, 'x');
  std::string figures;
  const auto count = [&](const std::string& name) {
    const std::size_t at = figures.find("edge_lb_fleet_" + name + ' ');
    return at == std::string::npos ? 0 : std::stoul(figures.substr(at + 15 + name.size()));
  };
  // Bursts that fit into the socket's buffer, as drops by the kernel are not counted by the member.
  for (int i = 0; i < 2000 && count("refused{reason=\"flood\"}") == 0; ++i) {
    for (int j = 0; j < 60; ++j) source.sendTo(garbage.data(), static_cast<int>(garbage.size()), address);
    figures = member.call("GET /ops/stats");
  }
  StreamSocket half{address};  // an implausible length, without any data
  half.sendBytes("\xff\xff\xff\xff", 4);
  Peer client = sidecar.connect();
  CHECK(has(completeRequest(sidecar, client), "done"));
  figures = member.call("GET /ops/stats");
  CHECK(count("refused{reason=\"garbled\"}") > 0);
  CHECK(count("refused{reason=\"flood\"}") > 0);
  CHECK(count("refused{reason=\"absurd\"}") == 1);
}

TEST_CASE("invalid fleet settings are rejected at start with their key") {
  const std::vector<std::pair<std::string, std::string>> wrong = {
      {R"({"listen":"127.0.0.1:7946"})", "fleet.name"},
      {R"({"name":"f"})", "fleet.listen"},
      {R"({"name":"f","listen":"localhost:7946"})", "fleet.listen"},
      {R"({"name":"f","listen":"0.0.0.0:7946"})", "fleet.listen"},
      {R"({"name":"f","listen":"127.0.0.1:7946","join":["here"]})", "fleet.join"},
      {R"({"name":"f","listen":"127.0.0.1:7946","advertise":7})", "fleet.advertise"},
      {R"({"name":"f","listen":"127.0.0.1:7946","period_ms":5})", "fleet.period_ms"},
      {R"({"name":"f","listen":"127.0.0.1:7946","jion":[]})", "fleet.jion"}};
  for (const auto& [fleet, key] : wrong) {
    Sidecar sidecar;
    sidecar.extraConfig = ",\"fleet\":" + fleet;
    sidecar.launch(sidecar.configuration());
    CHECK(sidecar.waitForExit() == 1);
    CHECK(has(sidecar.log(), key));
  }
}

TEST_CASE("an old process that was killed or hangs doesn't block a new one, and servers stay disabled") {
  const bool hangs = GENERATE(false, true);
  CAPTURE(hangs);
  TemporaryFolder folder;
  Sidecar sidecar;
  SidecarProcess before(sidecar, folder.path());
  CHECK(has(before.call("POST /ops/servers/down/s-1"), " 200 "));
  hangs ? before.signal(SIGSTOP) : static_cast<void>(before.terminate(SIGKILL));
  SidecarProcess after(sidecar, folder.path());
  CHECK(has(after.call("GET /ops/stats"), "edge_lb_out_of_rotation 1\n"));
  if (hangs) before.terminate(SIGKILL);
  Peer client = sidecar.connect();
  std::size_t which = 9;
  completeRequest(sidecar, client, &which);
  CHECK(which == 0);
}

TEST_CASE("unusable files in the shared folder don't prevent the start") {
  TemporaryFolder folder;
  Sidecar sidecar;
  const std::string name = folder.path() + "/rackroute-" + sidecar.address.toString();
  std::ofstream(name) << "no socket";
  std::ofstream(name + ".said") << "rackroute-said 1\nout 12";
  SidecarProcess process(sidecar, folder.path());
  Peer client = sidecar.connect();
  CHECK(has(completeRequest(sidecar, client), "done"));
  CHECK(process.terminate(SIGTERM) == 0);
  CHECK(has(process.log(), "servers out by hand can't be read"));
}

TEST_CASE("server overrides round-trip through their text format, and truncated text is rejected") {
  handover::ServerOverrides overrides;
  const auto at = [](int millis) { return handover::Moment(std::chrono::milliseconds(millis)); };
  overrides.record({7}, {true, at(1000)});
  overrides.record({9}, {true, at(1000)});
  overrides.record({9}, {false, at(2000)});
  overrides.record({9}, {true, at(1500)});  // an older override that arrives late
  const auto read = handover::ServerOverrides::parse(overrides.text());
  REQUIRE(read);
  CHECK(read->all().at({7}).disabled);
  CHECK_FALSE(read->all().at({9}).disabled);
  overrides.dropEnabledBefore(at(3000));
  CHECK(overrides.all().size() == 1);
  const std::string text = read->text();
  for (std::size_t size = 0; size < text.size(); ++size)
    CHECK_FALSE(handover::ServerOverrides::parse(text.substr(0, size)));
}

TEST_CASE("a successor restores the snapshot: a cold server gets its share at once, an ejected one none") {
  fixture::FakeFleet before(fixture::config());
  before.loadServers(4);
  before.countSentTo({1}, 100);
  before.runUntilEnded({4}, Outcome::error, 5);
  auto cold = fixture::server(3);
  cold.startedAt = before.now;
  before.updateList(ServerListKind::changes, {cold});
  const BalancerSnapshot snapshot = before.balancer.snapshot(before.now);
  const auto read = handover::parseSnapshot(handover::formatSnapshot(snapshot));
  REQUIRE(read);
  const bool restored = GENERATE(true, false);
  fixture::FakeFleet after(fixture::config());
  cold.startedAt = after.now;
  after.updateList(ServerListKind::persisted, {cold, fixture::server(4)});
  if (restored) after.balancer.restore(after.now, *read);
  after.now += 2s;
  for (int i = 0; i < 4; ++i) after.submit(fixture::kNonIdempotent);
  const auto at = [&](std::uint64_t id) {
    return std::any_of(after.sent.begin(), after.sent.end(),
                       [&](const auto& sent) { return sent.server == ServerId{id}; });
  };
  CHECK(at(3) == restored);
  CHECK(at(4) != restored);
}

TEST_CASE("truncated or implausible snapshots are rejected") {
  BalancerSnapshot snapshot;
  snapshot.servers.resize(2);
  const std::string text = handover::formatSnapshot(snapshot);
  CHECK(handover::parseSnapshot(text));
  for (std::size_t size = 0; size < text.size(); ++size)
    CHECK_FALSE(handover::parseSnapshot(text.substr(0, size)));
  snapshot.servers[1].weight = -1;
  CHECK_FALSE(handover::parseSnapshot(handover::formatSnapshot(snapshot)));
  snapshot.servers[1].weight = 1;
  snapshot.responsesPerSecond = 1e12;
  CHECK_FALSE(handover::parseSnapshot(handover::formatSnapshot(snapshot)));
}
