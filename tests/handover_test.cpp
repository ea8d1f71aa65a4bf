// A new version under load: two processes are one sidecar, whatever becomes of either.

#include <Poco/Net/DatagramSocket.h>
#include <sys/stat.h>

#include "balancer_fixture.hpp"
#include "handover/learned.hpp"
#include "handover/said.hpp"
#include "sidecar_process.hpp"

using namespace rackroute;
using namespace rackroute::program;

namespace {

/// A process beside the first, with the same addresses but for its door.
class Version {
 public:
  SocketAddress door = unusedAddress();

  explicit Version(Sidecar& sidecar, const std::string& folder, const std::string& name = "n0") {
    process_.environment = {{"LB_ADMIN", door.toString()}, {"TMPDIR", folder}};
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
      Peer peer{StreamSocket(door)};
      peer.send(line + " HTTP/1.1\r\nHost: door\r\n\r\n");
      return peer.readMessage();
    } catch (const Poco::Net::NetException&) {
      return {};
    }
  }
  int end(int number) {
    process_.signal(number);
    return process_.waitForExit();
  }
  void stop(int number) { process_.signal(number); }
  std::string log() { return process_.log(); }

 private:
  Sidecar process_{0};
};

/// Sends one query and has it answered; what the client was told.
std::string serve(Sidecar& sidecar, Peer& client, std::size_t* which = nullptr) {
  client.send(query("read"));
  Peer server = sidecar.acceptServer(which);
  server.readMessage();
  server.send(okResponse("done", "Connection: close\r\n"));
  return client.readMessage();
}

struct Folder {
  Poco::TemporaryFile file;
  Folder() { file.createDirectory(); }
  [[nodiscard]] std::string path() const { return file.path(); }
};

}  // namespace

TEST_CASE(
    "a new process takes over: connections move with their answers, servers stay out, none is refused") {
  Folder folder;
  Sidecar sidecar;
  Version before(sidecar, folder.path());
  Peer client = sidecar.connect();
  CHECK_FALSE(has(serve(sidecar, client), "Connection: close"));
  CHECK(has(before.call("POST /ops/servers/down/s-0"), " 200 "));

  Version after(sidecar, folder.path());
  CHECK(has(serve(sidecar, client), "Connection: close"));  // the old process had this one
  CHECK(client.closedByPeer());
  CHECK(before.ready());
  CHECK(has(after.call("GET /ops/stats"), "edge_lb_out_of_rotation 1\n"));
  CHECK(has(before.call("POST /ops/servers/up/s-0"), " 200 "));  // at either door, for both
  CHECK(has(after.call("GET /ops/stats"), "edge_lb_out_of_rotation 0\n"));
  CHECK(has(after.call("POST /ops/servers/down/s-1"), " 200 "));
  CHECK(has(before.call("GET /ops/stats"), "edge_lb_out_of_rotation 1\n"));

  Peer waiting = sidecar.connect();  // the new process has this one
  CHECK(before.end(SIGTERM) == 0);
  std::size_t which = 9;
  CHECK_FALSE(has(serve(sidecar, waiting, &which), "Connection: close"));
  CHECK(which == 0);

  Version third(sidecar, folder.path());  // and once more, right after
  CHECK(after.end(SIGTERM) == 0);
  CHECK(has(third.call("GET /ops/stats"), "edge_lb_out_of_rotation 1\n"));
  Peer last = sidecar.connect();
  CHECK(has(serve(sidecar, last), "done"));
}

TEST_CASE("a new process that dies leaves the old one serving, and a later one takes over from it") {
  Folder folder;
  Sidecar sidecar;
  Version before(sidecar, folder.path());
  {
    Version dies(sidecar, folder.path());
    dies.end(SIGKILL);
  }
  Peer client = sidecar.connect();
  CHECK_FALSE(has(serve(sidecar, client), "Connection: close"));
  Version after(sidecar, folder.path());
  CHECK(has(serve(sidecar, client), "Connection: close"));
  CHECK(before.end(SIGTERM) == 0);
}

TEST_CASE("a new process that starts in the moment in which another has died takes over from the old one") {
  Folder folder;
  Sidecar sidecar;
  sidecar.extraConfig =
      R"(,"fleet":{"name":"f","period_ms":100,"listen":")" + unusedAddress().toString() + "\"}";
  Version before(sidecar, folder.path());
  const auto startOf = [](Version& version) {
    const std::string told = version.call("GET /ops/fleet");
    return told.substr(told.find("\"start\":"), 21);
  };
  const std::string start = startOf(before);
  Peer client = sidecar.connect();
  CHECK_FALSE(has(serve(sidecar, client), "Connection: close"));
  Version dies(sidecar, folder.path());
  before.stop(SIGSTOP);  // it does not notice at once
  dies.end(SIGKILL);
  std::jthread goesOn([&] {
    std::this_thread::sleep_for(80ms);
    before.stop(SIGCONT);
  });
  Version after(sidecar, folder.path());
  CHECK(startOf(after) == start);
  CHECK(has(serve(sidecar, client), "Connection: close"));
  CHECK(before.end(SIGTERM) == 0);
}

TEST_CASE(
    "a member of a fleet starts beside an old process that hangs, and takes its place once it is gone") {
  Folder folder;
  Sidecar sidecar;
  sidecar.extraConfig =
      R"(,"fleet":{"name":"f","period_ms":100,"listen":")" + unusedAddress().toString() + "\"}";
  Version before(sidecar, folder.path());
  before.stop(SIGSTOP);
  Version after(sidecar, folder.path());
  before.end(SIGKILL);
  const auto isMember = [&] { return has(after.call("GET /ops/stats"), "edge_lb_fleet_size 1\n"); };
  for (int tries = 0; tries < 500 && !isMember(); ++tries) std::this_thread::sleep_for(20ms);
  CHECK(isMember());
  CHECK(after.end(SIGTERM) == 0);
}

TEST_CASE(
    "a new version's two processes are one member of the fleet, and one that dies gives its place back") {
  Folder folder;
  Folder elsewhere;
  const auto free = [] { return unusedAddress().toString(); };
  const std::string first = free();
  const std::string second = free();
  Sidecar other;
  other.extraConfig =
      R"(,"fleet":{"name":"f","period_ms":100,"listen":")" + second + R"(","join":[")" + first + "\"]}";
  Sidecar sidecar;
  sidecar.extraConfig = R"(,"fleet":{"name":"f","period_ms":100,"listen":")" + first + "\"}";
  Version before(sidecar, folder.path());
  Version neighbour(other, elsewhere.path(), "n1");
  const auto seen = [&](const std::string& part) {
    for (int tries = 0; tries < 500; ++tries) {
      if (has(neighbour.call("GET /ops/fleet"), part)) return true;
      std::this_thread::sleep_for(20ms);
    }
    return false;
  };
  const std::string alive = R"("name":"n0","state":"alive")";
  REQUIRE(seen(alive));
  const auto startOf = [&](Version& version) {
    const std::string told = version.call("GET /ops/fleet");
    return told.substr(told.find("\"start\":"), 21);
  };
  const std::string start = startOf(before);
  { Version(sidecar, folder.path()).end(SIGKILL); }
  REQUIRE(seen(alive));
  Version after(sidecar, folder.path());
  CHECK(before.end(SIGTERM) == 0);  // it does not say good-bye for the other
  CHECK(startOf(after) == start);
  CHECK(has(after.call("GET /ops/fleet"), "\"n1\""));
  REQUIRE(seen(alive));
  CHECK(has(after.call("GET /ops/stats"), "edge_lb_fleet_size 2\n"));
  CHECK_FALSE(has(neighbour.call("GET /ops/fleet"), "left"));
  CHECK(after.end(SIGTERM) == 0);
  CHECK(seen(R"("name":"n0","state":"left")"));
}

TEST_CASE("a member that is flooded with garbage drops it within bounds, counts it, and serves on") {
  Folder folder;
  Sidecar sidecar;
  const SocketAddress address = unusedAddress();
  sidecar.extraConfig = R"(,"fleet":{"name":"f","listen":")" + address.toString() + "\"}";
  Version member(sidecar, folder.path());
  Poco::Net::DatagramSocket source(SocketAddress("127.0.0.1", 0));
  std::string garbage(900, 'x');
  std::string figures;
  const auto count = [&](const std::string& name) {
    const std::size_t at = figures.find("edge_lb_fleet_" + name + ' ');
    return at == std::string::npos ? 0 : std::stoul(figures.substr(at + 15 + name.size()));
  };
  // As many at a time as wait in its socket: what the system drops is not the member's to count.
  for (int i = 0; i < 2000 && count("refused{reason=\"flood\"}") == 0; ++i) {
    for (int j = 0; j < 60; ++j) source.sendTo(garbage.data(), static_cast<int>(garbage.size()), address);
    figures = member.call("GET /ops/stats");
  }
  StreamSocket half{address};  // a length that nobody means, and then nothing
  half.sendBytes("\xff\xff\xff\xff", 4);
  Peer client = sidecar.connect();
  CHECK(has(serve(sidecar, client), "done"));
  figures = member.call("GET /ops/stats");
  CHECK(count("refused{reason=\"garbled\"}") > 0);
  CHECK(count("refused{reason=\"flood\"}") > 0);
  CHECK(count("refused{reason=\"absurd\"}") == 1);
}

TEST_CASE("a fleet that can't be is refused at the start, by its key") {
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

TEST_CASE("an old process that was killed or hangs keeps no new one away, and servers stay out") {
  const bool hangs = GENERATE(false, true);
  CAPTURE(hangs);
  Folder folder;
  Sidecar sidecar;
  Version before(sidecar, folder.path());
  CHECK(has(before.call("POST /ops/servers/down/s-1"), " 200 "));
  hangs ? before.stop(SIGSTOP) : static_cast<void>(before.end(SIGKILL));
  Version after(sidecar, folder.path());
  CHECK(has(after.call("GET /ops/stats"), "edge_lb_out_of_rotation 1\n"));
  if (hangs) before.end(SIGKILL);
  Peer client = sidecar.connect();
  std::size_t which = 9;
  serve(sidecar, client, &which);
  CHECK(which == 0);
}

TEST_CASE("what stands in the folder and can't be used is no obstacle") {
  Folder folder;
  Sidecar sidecar;
  const std::string name = folder.path() + "/rackroute-" + sidecar.address.toString();
  std::ofstream(name) << "no socket";
  std::ofstream(name + ".said") << "rackroute-said 1\nout 12";
  Version process(sidecar, folder.path());
  Peer client = sidecar.connect();
  CHECK(has(serve(sidecar, client), "done"));
  CHECK(process.end(SIGTERM) == 0);
  CHECK(has(process.log(), "servers out by hand can't be read"));
}

TEST_CASE("the record of what was said comes back as it was, or not at all") {
  handover::Said said;
  const auto at = [](int millis) { return handover::Moment(std::chrono::milliseconds(millis)); };
  said.note({7}, {true, at(1000)});
  said.note({9}, {true, at(1000)});
  said.note({9}, {false, at(2000)});
  said.note({9}, {true, at(1500)});  // an older word that comes late
  const auto read = handover::Said::read(said.text());
  REQUIRE(read);
  CHECK(read->all().at({7}).out);
  CHECK_FALSE(read->all().at({9}).out);
  said.forgetBack(at(3000));
  CHECK(said.all().size() == 1);
  const std::string text = read->text();
  for (std::size_t size = 0; size < text.size(); ++size)
    CHECK_FALSE(handover::Said::read(text.substr(0, size)));
}

TEST_CASE(
    "a successor goes on with what was learned: a cold server gets its part at once, an ejected one none") {
  fixture::FakeFleet before(fixture::config());
  before.loadServers(4);
  before.countSentTo({1}, 100);
  before.runUntilEnded({4}, Outcome::error, 5);
  auto cold = fixture::server(3);
  cold.startedAt = before.now;
  before.updateList(ServerListKind::changes, {cold});
  const BalancerSnapshot learned = before.balancer.snapshot(before.now);
  const auto read = handover::readLearned(handover::text(learned));
  REQUIRE(read);
  const bool told = GENERATE(true, false);
  fixture::FakeFleet after(fixture::config());
  cold.startedAt = after.now;
  after.updateList(ServerListKind::persisted, {cold, fixture::server(4)});
  if (told) after.balancer.restore(after.now, *read);
  after.now += 2s;
  for (int i = 0; i < 4; ++i) after.submit(fixture::kNonIdempotent);
  const auto at = [&](std::uint64_t id) {
    return std::any_of(after.sent.begin(), after.sent.end(),
                       [&](const auto& sent) { return sent.server == ServerId{id}; });
  };
  CHECK(at(3) == told);
  CHECK(at(4) != told);
}

TEST_CASE("what was learned is read whole and plausible, or not at all") {
  BalancerSnapshot learned;
  learned.servers.resize(2);
  const std::string text = handover::text(learned);
  CHECK(handover::readLearned(text));
  for (std::size_t size = 0; size < text.size(); ++size)
    CHECK_FALSE(handover::readLearned(text.substr(0, size)));
  learned.servers[1].weight = -1;
  CHECK_FALSE(handover::readLearned(handover::text(learned)));
  learned.servers[1].weight = 1;
  learned.responsesPerSecond = 1e12;
  CHECK_FALSE(handover::readLearned(handover::text(learned)));
}
