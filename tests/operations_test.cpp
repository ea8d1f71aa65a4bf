// Daily operation: servers out and back by hand, the operators' door, its figures.

#include <set>

#include "balancer_fixture.hpp"
#include "program.hpp"

using namespace rackroute;

namespace {

using fixture::FakeFleet;
using fixture::server;

/// One call at the door; its answer.
std::string call(const SocketAddress& door, const std::string& line) {
  rackroute::program::Peer peer{StreamSocket(door)};
  peer.say(line + " HTTP/1.1\r\nHost: door\r\n\r\n");
  return peer.message();
}

}  // namespace

TEST_CASE("a server taken out by hand gets nothing, whatever the lists say, until one call puts it back") {
  FakeFleet fleet(fixture::config());
  fleet.loadServers(3);
  fleet.countSentTo({2}, 60);
  fleet.balancer.disableServer(fleet.now, {2});
  fleet.balancer.disableServer(fleet.now, {2});
  CHECK(fleet.balancer.isExcluded(fleet.now, {2}));
  CHECK(fleet.countSentTo({2}, 100) == 0);
  auto gone = server(2);
  gone.lifecycle = Lifecycle::removed;
  fleet.updateList(ServerListKind::changes, {gone});
  fleet.now += 2s;
  auto anew = server(2);
  anew.startedAt = fleet.now;
  fleet.updateList(ServerListKind::changes, {anew});
  fleet.updateList(ServerListKind::complete, {server(1), anew, server(3)});
  CHECK(fleet.countSentTo({2}, 100) == 0);
  fleet.balancer.enableServer(fleet.now, {2});
  CHECK_FALSE(fleet.balancer.isExcluded(fleet.now, {2}));
  const int first = fleet.countSentTo({2}, 100, fixture::kIdempotent);  // two seconds
  CHECK((first > 0 && first < 25));                                     // it counts as just started
  fleet.now += 20s;
  CHECK(fleet.countSentTo({2}, 100) > 20);
}

TEST_CASE(
    "with every server out by hand queries are turned away at once, and served again after one is back") {
  FakeFleet fleet(fixture::config());
  fleet.loadServers(2);
  fleet.countSentTo({1}, 60);  // what warm servers do must be known before a cold one gets anything
  fleet.balancer.disableServer(fleet.now, {1});
  fleet.balancer.disableServer(fleet.now, {2});
  const QueryId query = fleet.submit(fixture::kNonIdempotent);
  CHECK(fleet.finalResult(query) == "rejected");
  CHECK(fleet.lastRetryAfter > 0s);
  fleet.balancer.enableServer(fleet.now, {1});
  fleet.now += 5s;
  CHECK(fleet.countSentTo({1}, 1) == 1);
}

TEST_CASE("servers out by hand do not use up the share that may be ejected") {
  FakeFleet fleet(fixture::config());
  fleet.loadServers(6);
  fleet.balancer.disableServer(fleet.now, {5});
  fleet.balancer.disableServer(fleet.now, {6});
  fleet.runUntilEnded({1}, Outcome::error, 5);
  fleet.runUntilEnded({2}, Outcome::error, 5);
  CHECK(fleet.countSentTo({1}, 60) + fleet.countSentTo({2}, 60) == 0);
}

TEST_CASE("the door tells readiness and true figures, and takes a server out and back") {
  using namespace rackroute::program;
  Sidecar sidecar;
  const SocketAddress door = unusedAddress();
  sidecar.also["LB_ADMIN"] = door.toString();
  sidecar.start();
  CHECK(has(call(door, "GET /ops/readiness"), "HTTP/1.1 200 "));
  std::string figures = call(door, "GET /ops/stats");
  CHECK(has(figures, "edge_lb_operations{priority=\"book\",status=\"throttled\"} 0\n"));
  CHECK(has(figures, "edge_lb_registry_entries 2\n"));

  CHECK(has(call(door, "POST /ops/servers/down/s%2D0"), "HTTP/1.1 200 "));
  CHECK(has(call(door, "POST /ops/servers/down/s-9"), "HTTP/1.1 404 "));
  CHECK(has(call(door, "POST /ops/servers/up/s-9"), "HTTP/1.1 404 "));
  CHECK(has(call(door, "GET /ops/servers/up/s-0"), "HTTP/1.1 405 "));
  CHECK(has(call(door, "POST /ops/stats"), "HTTP/1.1 405 "));
  CHECK(has(call(door, "GET /ops"), "HTTP/1.1 404 "));
  CHECK(has(call(door, "nonsense"), "HTTP/1.1 400 "));

  Peer client = sidecar.connect();
  std::size_t which = 9;
  client.say(query("read"));
  Peer server = sidecar.server(&which);
  CHECK(which == 1);
  server.message();
  CHECK(has(call(door, "GET /ops/stats"), "edge_lb_open_requests 1\n"));
  server.say(served("done"));
  client.message();
  client.say(query("pay"));
  server.message();
  server.say("HTTP/1.1 500 x\r\nContent-Length: 0\r\n\r\n");
  CHECK(has(client.message(), "HTTP/1.1 502 "));
  CHECK(has(call(door, "POST /ops/servers/down/s-1"), "HTTP/1.1 200 "));
  client.say(query("pay"));
  CHECK(has(client.message(), "HTTP/1.1 503 "));
  client.say("GET /else HTTP/1.1\r\n\r\n");  // never a query
  CHECK(has(client.message(), "HTTP/1.1 400 "));

  figures = call(door, "GET /ops/stats");
  CHECK(has(figures, "edge_lb_operations{priority=\"read\",status=\"fulfilled\"} 1\n"));
  CHECK(has(figures, "edge_lb_operations{priority=\"pay\",status=\"faulted\"} 1\n"));
  CHECK(has(figures, "edge_lb_operations{priority=\"pay\",status=\"throttled\"} 1\n"));
  CHECK(has(figures, "edge_lb_relayed 2\n"));
  CHECK(has(figures, "edge_lb_open_requests 0\n"));
  CHECK(has(figures, "edge_lb_out_of_rotation 2\n"));
  CHECK(has(call(door, "POST /ops/servers/up/s-0"), "HTTP/1.1 200 "));
  CHECK(has(call(door, "POST /ops/servers/up/s-0"), "HTTP/1.1 200 "));
  CHECK(has(call(door, "GET /ops/stats"), "edge_lb_out_of_rotation 1\n"));
}

TEST_CASE("callers that say nothing do not keep others from the door") {
  using namespace rackroute::program;
  Sidecar sidecar;
  sidecar.sockets = "128";
  const SocketAddress door = unusedAddress();
  sidecar.more = R"(,"admin":")" + door.toString() + '"';
  sidecar.start();
  std::vector<Peer> silent;
  for (int i = 0; i < 200; ++i) silent.emplace_back(StreamSocket(i % 2 == 0 ? door : sidecar.address));
  CHECK(has(call(door, "GET /ops/readiness"), "HTTP/1.1 200 "));
  CHECK(silent.front().ends());
}

TEST_CASE("a fleet that starts together asks discovery one after the other; alone, or taking over, at once") {
  BalancerConfig many = fixture::config();
  many.discoveryOnRequest = true;
  many.balancerCount = 48;
  std::set<Span> moments;
  for (many.seed = 1; many.seed <= 20; ++many.seed) {
    FakeFleet fleet(many);
    CHECK(fleet.watchCalls == 0);
    REQUIRE(fleet.wakeTimes.size() == 1);
    CHECK(fleet.wakeTimes.front() <= 5s);
    moments.insert(fleet.wakeTimes.front());
    fleet.now = fleet.wakeTimes.front();
    fleet.balancer.wake(fleet.now);
    CHECK(fleet.watchCalls == 1);
    fleet.balancer.discoveryFailed(fleet.now);  // and its repeats don't fall together either
    CHECK(fleet.wakeTimes.back() - fleet.now < 10s);
    moments.insert(fleet.wakeTimes.back() - fleet.now);
  }
  CHECK(moments.size() > 36);
  FakeFleet successor(many);
  successor.loadServers(3);
  successor.balancer.restore(successor.now, {});
  CHECK(successor.wakeTimes.back() <= successor.now + many.tick);
  many.balancerCount = 1;
  CHECK(FakeFleet(many).watchCalls == 1);
}
