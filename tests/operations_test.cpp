// Operations: disabling and enabling servers, the admin listener and its metrics.

#include <set>

#include "balancer_fixture.hpp"
#include "sidecar_process.hpp"

using namespace rackroute;

namespace {

using fixture::FakeFleet;
using fixture::server;

/// Sends one request to the admin listener and returns the response.
std::string call(const SocketAddress& admin, const std::string& line) {
  rackroute::program::Peer peer{StreamSocket(admin)};
  peer.send(line + " HTTP/1.1\r\nHost: admin\r\n\r\n");
  return peer.readMessage();
}

}  // namespace

TEST_CASE("a disabled server receives nothing, whatever the lists say, until it is enabled") {
  FakeFleet fleet(fixture::config());
  fleet.loadServers(3);
  fleet.countSentTo({2}, 60);
  fleet.balancer.disableServer(fleet.now, {2});
  fleet.balancer.disableServer(fleet.now, {2});
  CHECK(fleet.balancer.isExcluded(fleet.now, {2}));
  CHECK(fleet.countSentTo({2}, 100) == 0);
  auto removed = server(2);
  removed.lifecycle = Lifecycle::removed;
  fleet.updateList(ServerListKind::changes, {removed});
  fleet.now += 2s;
  auto restarted = server(2);
  restarted.startedAt = fleet.now;
  fleet.updateList(ServerListKind::changes, {restarted});
  fleet.updateList(ServerListKind::complete, {server(1), restarted, server(3)});
  CHECK(fleet.countSentTo({2}, 100) == 0);
  fleet.balancer.enableServer(fleet.now, {2});
  CHECK_FALSE(fleet.balancer.isExcluded(fleet.now, {2}));
  const int received = fleet.countSentTo({2}, 100, fixture::kIdempotent);
  CHECK((received > 0 && received < 25));  // treated as just started
  fleet.now += 20s;
  CHECK(fleet.countSentTo({2}, 100) > 20);
}

TEST_CASE("with every server disabled queries are rejected at once, and served after one is enabled") {
  FakeFleet fleet(fixture::config());
  fleet.loadServers(2);
  fleet.countSentTo({1}, 60);  // a cold server needs measurements of warm ones to receive queries
  fleet.balancer.disableServer(fleet.now, {1});
  fleet.balancer.disableServer(fleet.now, {2});
  const QueryId query = fleet.submit(fixture::kNonIdempotent);
  CHECK(fleet.finalResult(query) == "rejected");
  CHECK(fleet.lastRetryAfter > 0s);
  fleet.balancer.enableServer(fleet.now, {1});
  fleet.now += 5s;
  CHECK(fleet.countSentTo({1}, 1) == 1);
}

TEST_CASE("disabled servers do not count toward the share that may be ejected") {
  FakeFleet fleet(fixture::config());
  fleet.loadServers(6);
  fleet.balancer.disableServer(fleet.now, {5});
  fleet.balancer.disableServer(fleet.now, {6});
  fleet.runUntilEnded({1}, Outcome::error, 5);
  fleet.runUntilEnded({2}, Outcome::error, 5);
  CHECK(fleet.countSentTo({1}, 60) + fleet.countSentTo({2}, 60) == 0);
}

TEST_CASE("the admin listener reports readiness and metrics, and disables and enables servers") {
  using namespace rackroute::program;
  Sidecar sidecar;
  const SocketAddress admin = unusedAddress();
  sidecar.environment["LB_ADMIN"] = admin.toString();
  sidecar.start();
  CHECK(has(call(admin, "GET /ops/readiness"), "HTTP/1.1 200 "));
  std::string metrics = call(admin, "GET /ops/stats");
  CHECK(has(metrics, "edge_lb_operations{priority=\"book\",status=\"throttled\"} 0\n"));
  CHECK(has(metrics, "edge_lb_registry_entries 2\n"));

  CHECK(has(call(admin, "POST /ops/servers/down/s%2D0"), "HTTP/1.1 200 "));
  CHECK(has(call(admin, "POST /ops/servers/down/s-9"), "HTTP/1.1 404 "));
  CHECK(has(call(admin, "POST /ops/servers/up/s-9"), "HTTP/1.1 404 "));
  CHECK(has(call(admin, "GET /ops/servers/up/s-0"), "HTTP/1.1 405 "));
  CHECK(has(call(admin, "POST /ops/stats"), "HTTP/1.1 405 "));
  CHECK(has(call(admin, "GET /ops"), "HTTP/1.1 404 "));
  CHECK(has(call(admin, "nonsense"), "HTTP/1.1 400 "));

  Peer client = sidecar.connect();
  std::size_t index = 9;
  client.send(query("read"));
  Peer server = sidecar.acceptServer(&index);
  CHECK(index == 1);
  server.readMessage();
  CHECK(has(call(admin, "GET /ops/stats"), "edge_lb_open_requests 1\n"));
  server.send(okResponse("done"));
  client.readMessage();
  client.send(query("pay"));
  server.readMessage();
  server.send("HTTP/1.1 500 x\r\nContent-Length: 0\r\n\r\n");
  CHECK(has(client.readMessage(), "HTTP/1.1 502 "));
  CHECK(has(call(admin, "POST /ops/servers/down/s-1"), "HTTP/1.1 200 "));
  client.send(query("pay"));
  CHECK(has(client.readMessage(), "HTTP/1.1 503 "));
  client.send("GET /else HTTP/1.1\r\n\r\n");  // not a valid query
  CHECK(has(client.readMessage(), "HTTP/1.1 400 "));

  metrics = call(admin, "GET /ops/stats");
  CHECK(has(metrics, "edge_lb_operations{priority=\"read\",status=\"fulfilled\"} 1\n"));
  CHECK(has(metrics, "edge_lb_operations{priority=\"pay\",status=\"faulted\"} 1\n"));
  CHECK(has(metrics, "edge_lb_operations{priority=\"pay\",status=\"throttled\"} 1\n"));
  CHECK(has(metrics, "edge_lb_relayed 2\n"));
  CHECK(has(metrics, "edge_lb_open_requests 0\n"));
  CHECK(has(metrics, "edge_lb_out_of_rotation 2\n"));
  CHECK(has(call(admin, "POST /ops/servers/up/s-0"), "HTTP/1.1 200 "));
  CHECK(has(call(admin, "POST /ops/servers/up/s-0"), "HTTP/1.1 200 "));
  CHECK(has(call(admin, "GET /ops/stats"), "edge_lb_out_of_rotation 1\n"));
}

TEST_CASE("idle connections do not block others from the admin listener") {
  using namespace rackroute::program;
  Sidecar sidecar;
  sidecar.descriptorLimit = "128";
  const SocketAddress admin = unusedAddress();
  sidecar.extraConfig = R"(,"admin":")" + admin.toString() + '"';
  sidecar.start();
  std::vector<Peer> silent;
  for (int i = 0; i < 200; ++i) silent.emplace_back(StreamSocket(i % 2 == 0 ? admin : sidecar.address));
  CHECK(has(call(admin, "GET /ops/readiness"), "HTTP/1.1 200 "));
  CHECK(silent.front().closedByPeer());
}

TEST_CASE(
    "balancers that start together stagger their discovery calls, but a single one or a successor calls at "
    "once") {
  BalancerConfig config = fixture::config();
  config.discoveryOnRequest = true;
  config.balancerCount = 48;
  std::set<Span> delays;
  for (config.seed = 1; config.seed <= 20; ++config.seed) {
    FakeFleet fleet(config);
    CHECK(fleet.watchCalls == 0);
    REQUIRE(fleet.wakeTimes.size() == 1);
    CHECK(fleet.wakeTimes.front() <= 5s);
    delays.insert(fleet.wakeTimes.front());
    fleet.now = fleet.wakeTimes.front();
    fleet.balancer.wake(fleet.now);
    CHECK(fleet.watchCalls == 1);
    fleet.balancer.discoveryFailed(fleet.now);  // retries are staggered too
    CHECK(fleet.wakeTimes.back() - fleet.now < 10s);
    delays.insert(fleet.wakeTimes.back() - fleet.now);
  }
  CHECK(delays.size() > 36);
  FakeFleet successor(config);
  successor.loadServers(3);
  successor.balancer.restore(successor.now, {});
  CHECK(successor.wakeTimes.back() <= successor.now + config.tick);
  config.balancerCount = 1;
  CHECK(FakeFleet(config).watchCalls == 1);
}
