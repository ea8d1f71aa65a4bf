// Daily operation: servers out and back by hand, the operators' door, its figures.

#include <set>

#include "program.hpp"
#include "story.hpp"

using namespace rackroute;

namespace {

using story::Fleet;
using story::server;

/// One call at the door; its answer.
std::string call(const SocketAddress& door, const std::string& line) {
  rackroute::program::Peer peer{StreamSocket(door)};
  peer.say(line + " HTTP/1.1\r\nHost: door\r\n\r\n");
  return peer.message();
}

}  // namespace

TEST_CASE("a server taken out by hand gets nothing, whatever the lists say, until one call puts it back") {
  Fleet fleet(story::terms());
  fleet.hold(3);
  fleet.share({2}, 60);
  fleet.balancer.takeOut(fleet.now, {2});
  fleet.balancer.takeOut(fleet.now, {2});
  CHECK(fleet.balancer.avoids(fleet.now, {2}));
  CHECK(fleet.share({2}, 100) == 0);
  auto gone = server(2);
  gone.lifecycle = Lifecycle::gone;
  fleet.list(Listing::changes, {gone});
  fleet.now += 2s;
  auto anew = server(2);
  anew.startedAt = fleet.now;
  fleet.list(Listing::changes, {anew});
  fleet.list(Listing::complete, {server(1), anew, server(3)});
  CHECK(fleet.share({2}, 100) == 0);
  fleet.balancer.putBack(fleet.now, {2});
  CHECK_FALSE(fleet.balancer.avoids(fleet.now, {2}));
  const int first = fleet.share({2}, 100, story::kIdempotent);  // two seconds
  CHECK((first > 0 && first < 25));                             // it counts as just started
  fleet.now += 20s;
  CHECK(fleet.share({2}, 100) > 20);
}

TEST_CASE(
    "with every server out by hand queries are turned away at once, and served again after one is back") {
  Fleet fleet(story::terms());
  fleet.hold(2);
  fleet.share({1}, 60);  // what warm servers do must be known before a cold one gets anything
  fleet.balancer.takeOut(fleet.now, {1});
  fleet.balancer.takeOut(fleet.now, {2});
  const QueryId query = fleet.take(story::kNonIdempotent);
  CHECK(fleet.endOf(query) == "rejected");
  CHECK(fleet.lastAdvice > 0s);
  fleet.balancer.putBack(fleet.now, {1});
  fleet.now += 5s;
  CHECK(fleet.share({1}, 1) == 1);
}

TEST_CASE("servers out by hand do not use up the share that may be ejected") {
  Fleet fleet(story::terms());
  fleet.hold(6);
  fleet.balancer.takeOut(fleet.now, {5});
  fleet.balancer.takeOut(fleet.now, {6});
  fleet.spoil({1}, Outcome::error, 5);
  fleet.spoil({2}, Outcome::error, 5);
  CHECK(fleet.share({1}, 60) + fleet.share({2}, 60) == 0);
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
  Terms many = story::terms();
  many.discoveryOnRequest = true;
  many.balancers = 48;
  std::set<Span> moments;
  for (many.seed = 1; many.seed <= 20; ++many.seed) {
    Fleet fleet(many);
    CHECK(fleet.watches == 0);
    REQUIRE(fleet.wakes.size() == 1);
    CHECK(fleet.wakes.front() <= 5s);
    moments.insert(fleet.wakes.front());
    fleet.now = fleet.wakes.front();
    fleet.balancer.wake(fleet.now);
    CHECK(fleet.watches == 1);
    fleet.balancer.discoveryFailed(fleet.now);  // and its repeats don't fall together either
    CHECK(fleet.wakes.back() - fleet.now < 10s);
    moments.insert(fleet.wakes.back() - fleet.now);
  }
  CHECK(moments.size() > 36);
  Fleet successor(many);
  successor.hold(3);
  successor.balancer.learn(successor.now, {});
  CHECK(successor.wakes.back() <= successor.now + many.tick);
  many.balancers = 1;
  CHECK(Fleet(many).watches == 1);
}
