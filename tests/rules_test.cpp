// Retries, final answers, draining and slow start of a single balancer.
#define CATCH_CONFIG_MAIN
#include "balancer_fixture.hpp"

using namespace rackroute;
using namespace rackroute::fixture;

TEST_CASE("retries and final answers follow the use case's retry safety") {
  struct Row {
    Outcome outcome;
    std::size_t executions[4];  // idempotent, deduplicated by zone, non-idempotent, deduplicated by all
  };
  const auto row =
      GENERATE(Row{Outcome::error, {2, 2, 1, 2}}, Row{Outcome::timeout, {2, 2, 1, 2}},
               Row{Outcome::reset, {2, 2, 1, 2}}, Row{Outcome::full, {2, 2, 2, 2}},
               Row{Outcome::connectFailed, {2, 2, 2, 2}}, Row{Outcome::invalidQuery, {2, 2, 2, 2}});
  for (std::uint32_t kind = 0; kind < 4; ++kind) {
    FakeFleet fleet(config());
    fleet.loadServers(6);
    const QueryId query = fleet.submit({kind});
    fleet.now += 30ms;
    fleet.end(fleet.last(), row.outcome);
    CAPTURE(kind, static_cast<int>(row.outcome));
    CHECK(fleet.executions(query) == row.executions[kind]);
    CHECK(fleet.finalResult(query) == (row.executions[kind] == 1 ? "aborted" : "open"));
  }
}

TEST_CASE("a deduplicated query is retried only in its first zone and within the deduplication window") {
  for (std::uint64_t seed = 0; seed < 20; ++seed) {
    BalancerConfig seeded = config();
    seeded.seed = seed;
    FakeFleet fleet(seeded);
    fleet.updateList(ServerListKind::persisted, {server(1, 0), server(2, 0), server(3, 1), server(4, 1)});
    const QueryId query = fleet.submit(kDeduplicated);
    const auto first = fleet.last();
    fleet.now += 30ms;
    fleet.end(first, Outcome::reset);
    REQUIRE(fleet.executions(query) == 2);
    CHECK((first.server.value <= 2) == (fleet.last().server.value <= 2));
    fleet.end(fleet.last(), Outcome::completed);
  }
  FakeFleet fleet(config());
  fleet.loadServers(4);
  const QueryId late = fleet.submit(kDeduplicated, 5s);
  fleet.now += 2s;
  fleet.end(fleet.last(), Outcome::error);
  CHECK(fleet.executions(late) == 1);
  CHECK(fleet.finalResult(late) == "aborted");
}

TEST_CASE(
    "executions stop at the limit, and a query that was never executed is rejected with retry-after advice") {
  BalancerConfig few = config();
  few.maxExecutions = 2;
  FakeFleet fleet(few);
  fleet.loadServers(6);
  const QueryId query = fleet.submit(kNonIdempotent);
  fleet.end(fleet.last(), Outcome::full);
  fleet.end(fleet.last(), Outcome::full);
  CHECK(fleet.executions(query) == 2);
  CHECK(fleet.finalResult(query) == "rejected");
  CHECK(fleet.lastRetryAfter > 0s);
}

TEST_CASE("a query without any server is answered at once and only once") {
  FakeFleet fleet(config());
  const QueryId query = fleet.submit(kIdempotent);
  CHECK(fleet.finalResult(query) == "rejected");
  fleet.handles[query.value].clientLeft(fleet.now);
  CHECK(fleet.finalResult(query) == "rejected");
  CHECK(fleet.handles[query.value].finished());
}

TEST_CASE("a timeout at the deadline is answered at once, without a retry") {
  FakeFleet fleet(config());
  fleet.loadServers(4);
  const QueryId query = fleet.submit(kIdempotent, 400ms);
  fleet.now += 400ms;
  fleet.end(fleet.last(), Outcome::timeout);
  CHECK(fleet.finalResult(query) == "aborted");
  CHECK(fleet.executions(query) == 1);
}

TEST_CASE("a failed execution is not retried after the client disconnected") {
  FakeFleet fleet(config());
  fleet.loadServers(4);
  const QueryId query = fleet.submit(kIdempotent);
  fleet.handles[query.value].clientLeft(fleet.now);
  fleet.end(fleet.last(), Outcome::error);
  CHECK(fleet.executions(query) == 1);
  CHECK(fleet.finalResult(query) == "open");
}

TEST_CASE("a draining or removed server gets no queries") {
  const auto lifecycle = GENERATE(Lifecycle::draining, Lifecycle::removed);
  FakeFleet fleet(config());
  fleet.loadServers(3);
  ListedServer leaving = server(2);
  leaving.lifecycle = lifecycle;
  fleet.updateList(ServerListKind::changes, {leaving});
  CHECK(fleet.countSentTo({2}, 200) == 0);
}

TEST_CASE("queries wait for capacity and are rejected in time") {
  FakeFleet fleet(config());
  fleet.loadServers(2);
  for (int i = 0; i < 40; ++i) fleet.runQuery(kIdempotent, Outcome::completed);
  std::vector<QueryId> queries;
  for (int i = 0; i < 60; ++i) queries.push_back(fleet.submit(kIdempotent));
  fleet.now += 500ms;
  fleet.balancer.wake(fleet.now);
  int open = 0;
  for (const QueryId query : queries) {
    CHECK(fleet.executions(query) + (fleet.finalResult(query) == "rejected" ? 1 : 0) == 1);
    open += fleet.finalResult(query) == "open" ? 1 : 0;
  }
  CHECK(open < 20);
}

TEST_CASE("a cold server gets a limited rate even if it is the only one left") {
  FakeFleet fleet(config());
  fleet.loadServers(4);
  for (int i = 0; i < 400; ++i) fleet.runQuery(kNonIdempotent, Outcome::completed);
  ListedServer fresh = server(9);
  fresh.startedAt = fleet.now;
  fleet.updateList(ServerListKind::complete, {server(1), server(2), server(3), server(4), fresh});
  for (std::uint64_t id = 1; id <= 4; ++id) {
    ListedServer removed = server(id);
    removed.lifecycle = Lifecycle::removed;
    fleet.updateList(ServerListKind::changes, {removed});
  }
  std::size_t sent = 0;
  for (int i = 0; i < 100; ++i) {  // 2 s at 50 per second; a warm server got 12.5 per second
    const std::size_t before = fleet.sent.size();
    fleet.submit(kNonIdempotent);
    fleet.now += 20ms;
    if (fleet.sent.size() > before) fleet.end(fleet.last(), Outcome::completed);
    sent += fleet.sent.size() - before;
  }
  CHECK(sent >= 1);
  CHECK(static_cast<double>(sent) <= 2.5 * 3 * 12.5 * (0.2 + 0.8 * 2 / 20));
}

TEST_CASE("the same seed and calls give the same decisions") {
  std::vector<std::uint64_t> runs[2];
  for (auto& run : runs) {
    FakeFleet fleet(config());
    fleet.loadServers(5);
    for (int i = 0; i < 100; ++i) {
      run.push_back(fleet.runQuery(kIdempotent, i % 7 == 0 ? Outcome::error : Outcome::completed).value);
    }
  }
  CHECK(runs[0] == runs[1]);
}
