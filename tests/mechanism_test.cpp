// Discovery, ejection, limits and the queue of a single balancer.
#include "balancer_fixture.hpp"

using namespace rackroute;
using namespace rackroute::fixture;

TEST_CASE("after a discovery error the current list stays in use and the call is repeated") {
  BalancerConfig onRequest = config();
  onRequest.discoveryOnRequest = true;
  FakeFleet fleet(onRequest);
  REQUIRE(fleet.watchCalls == 1);
  fleet.loadServers(3);
  fleet.balancer.discoveryFailed(fleet.now);
  CHECK(fleet.runQuery(kIdempotent, Outcome::completed).value <= 3);
  REQUIRE(!fleet.wakeTimes.empty());
  fleet.now += 1s;
  fleet.balancer.wake(fleet.now);
  CHECK(fleet.watchCalls == 2);
}

TEST_CASE(
    "an empty list or one that drops over half is confirmed before it is applied, within the drain grace") {
  const auto remaining = GENERATE(std::uint64_t{0}, std::uint64_t{1});
  FakeFleet fleet(config());
  fleet.loadServers(4);
  std::vector<ListedServer> implausible;
  for (std::uint64_t id = 1; id <= remaining; ++id) implausible.push_back(server(id));
  fleet.updateList(ServerListKind::complete, implausible);
  fleet.now += 10ms;
  fleet.balancer.wake(fleet.now);
  CHECK(fleet.listCalls == 1);
  CHECK(fleet.countSentTo({4}, 30) > 0);
  SECTION("a complete list restores the servers") {
    fleet.updateList(ServerListKind::complete, {server(1), server(2), server(3), server(4)});
    fleet.now += 2s;
    CHECK(fleet.countSentTo({4}, 60) > 0);
  }
  SECTION("without one the omitted servers get no queries after the drain grace") {
    fleet.now += 1s;
    const std::size_t before = fleet.sent.size();
    for (int i = 0; i < 20; ++i) fleet.submit(kIdempotent);
    for (std::size_t i = before; i < fleet.sent.size(); ++i) CHECK(fleet.sent[i].server.value <= remaining);
  }
}

TEST_CASE("a list that drops half or less is applied at once") {
  FakeFleet fleet(config());
  fleet.loadServers(4);
  fleet.updateList(ServerListKind::complete, {server(1), server(2)});
  CHECK(fleet.countSentTo({3}, 50) + fleet.countSentTo({4}, 50) == 0);
}

TEST_CASE("five consecutive failures eject a server, four do not, and full is not a failure") {
  const auto outcome = GENERATE(Outcome::error, Outcome::timeout, Outcome::reset, Outcome::connectFailed);
  FakeFleet fleet(config());
  fleet.loadServers(3);
  fleet.runUntilEnded({2}, outcome, 4);
  fleet.runUntilEnded({2}, Outcome::full, 3);
  fleet.runUntilEnded({2}, Outcome::completed, 1);
  fleet.runUntilEnded({2}, outcome, 5);
  CHECK(fleet.countSentTo({2}, 200) == 0);
}

TEST_CASE("after the eject time one trial execution decides") {
  FakeFleet fleet(config());
  fleet.loadServers(3);
  fleet.runUntilEnded({2}, Outcome::error, 5);
  fleet.now += 14s;
  fleet.submit(kIdempotent);
  const auto trial = fleet.last();
  REQUIRE(trial.server.value == 2);
  SECTION("a failed trial ejects the server again") {
    CHECK(fleet.countSentTo({2}, 20) == 0);  // one trial at a time
    fleet.end(trial, Outcome::error);
    fleet.now += 9s;
    CHECK(fleet.countSentTo({2}, 30, kIdempotent) == 0);
    fleet.now += 5s;
    CHECK(fleet.countSentTo({2}, 1, kIdempotent) == 1);
  }
  SECTION("a successful trial returns the server to the pool") {
    fleet.now += 20ms;
    fleet.end(trial, Outcome::completed);
    CHECK(fleet.countSentTo({2}, 200) > 0);
  }
}

TEST_CASE("ejection stops when half of the pool is ejected") {
  FakeFleet fleet(config());
  fleet.loadServers(4);
  fleet.runUntilEnded({1}, Outcome::timeout, 5);
  fleet.runUntilEnded({2}, Outcome::timeout, 5);
  fleet.runUntilEnded({3}, Outcome::timeout, 7);
  const int others = fleet.countSentTo({1}, 60) + fleet.countSentTo({2}, 60);
  CHECK(others == 0);
  CHECK(fleet.countSentTo({3}, 200) > 0);
}

TEST_CASE("a hung server is detected before the clients' deadlines") {
  FakeFleet fleet(config());
  fleet.loadServers(3);
  for (int i = 0; i < 60; ++i) fleet.runQuery(kNonIdempotent, Outcome::completed);
  for (int i = 0; i < 400; ++i) {  // server 2 never responds
    fleet.submit(kNonIdempotent, 30s);
    fleet.now += 20ms;
    if (fleet.last().server.value != 2) fleet.end(fleet.last(), Outcome::completed);
    fleet.balancer.wake(fleet.now);
  }
  const auto hung = std::count_if(fleet.sent.begin() + 60, fleet.sent.end(),
                                  [](const auto& sent) { return sent.server.value == 2; });
  CHECK(hung <= 8);
}

TEST_CASE("a restart clears a server's failures") {
  FakeFleet fleet(config());
  fleet.loadServers(3);
  fleet.runUntilEnded({2}, Outcome::error, 5);
  ListedServer restarted = server(2);
  restarted.startedAt = fleet.now;
  fleet.updateList(ServerListKind::changes, {restarted});
  fleet.now += 25s;
  CHECK(fleet.countSentTo({2}, 200) > 0);
}

TEST_CASE("with key affinity the queries of one key go to one server") {
  BalancerConfig withAffinity = config();
  withAffinity.keyAffinity = true;
  FakeFleet fleet(withAffinity);
  fleet.loadServers(8);
  std::map<ServerId, int> hits;
  for (std::uint32_t i = 0; i < 200; ++i) {
    Query query;
    query.id = {i};
    query.useCase = kIdempotent;
    query.timeLeft = 2s;
    query.key = KeyId{42};
    fleet.handles.push_back(fleet.balancer.submit(fleet.now, query));
    fleet.now += 20ms;
    fleet.end(fleet.last(), Outcome::completed);
    ++hits[fleet.last().server];
  }
  const auto most = std::max_element(hits.begin(), hits.end(),
                                     [](const auto& a, const auto& b) { return a.second < b.second; });
  CHECK(most->second > 100);
}

TEST_CASE("a server that fails one use case is excluded for that use case only") {
  FakeFleet fleet(config());
  fleet.loadServers(3);
  for (int i = 0; i < 120; ++i) {
    const UseCaseId useCase = i % 3 == 0 ? kDeduplicatedByAll : kNonIdempotent;
    fleet.submit(useCase);
    const auto execution = fleet.last();
    fleet.now += 20ms;
    const bool fails = useCase == kDeduplicatedByAll && execution.server.value == 2;
    fleet.end(execution, fails ? Outcome::error : Outcome::completed);
    if (fails) fleet.end(fleet.last(), Outcome::completed);
  }
  CHECK(fleet.countSentTo({2}, 60, kDeduplicatedByAll) == 0);
  CHECK(fleet.countSentTo({2}, 60, kNonIdempotent) > 0);
}

TEST_CASE(
    "after the loss of the near servers the limits of slower remote servers stay above their throughput") {
  FakeFleet fleet(config());
  fleet.updateList(ServerListKind::persisted, {server(1), server(2, 1), server(3, 1), server(4, 1)});
  for (int i = 0; i < 200; ++i) {
    fleet.submit(kIdempotent);
    const auto execution = fleet.last();
    fleet.now += execution.server.value == 1 ? 10ms : 400ms;
    fleet.end(execution, Outcome::completed);
  }
  auto removed = server(1);
  removed.lifecycle = Lifecycle::removed;
  fleet.updateList(ServerListKind::changes, {removed});
  std::vector<std::pair<FakeFleet::Sent, Span>> out;
  std::size_t scheduled = fleet.sent.size();
  for (int i = 0; i < 600; ++i, fleet.now += 10ms) {
    while (!out.empty() && out.front().second <= fleet.now) {
      fleet.end(out.front().first, Outcome::completed);
      out.erase(out.begin());
    }
    fleet.submit(kIdempotent);
    for (; scheduled < fleet.sent.size(); ++scheduled)
      out.emplace_back(fleet.sent[scheduled], fleet.now + 400ms);
  }
  CHECK(out.size() > 3);
}

TEST_CASE("stalled executions use no capacity at a server that answers later ones") {
  FakeFleet fleet(config());
  fleet.loadServers(1);
  fleet.countSentTo({1}, 40, kNonIdempotent);
  for (int i = 0; i < 4; ++i, fleet.now += 1ms) fleet.submit(kNonIdempotent);
  fleet.end(fleet.last(), Outcome::completed);  // the three before it are stalled
  fleet.now += 200ms;
  const std::size_t before = fleet.sent.size();
  for (int i = 0; i < 4; ++i) fleet.submit(kNonIdempotent);
  CHECK(fleet.sent.size() == before + 4);
}

TEST_CASE("a server that hangs on one use case is excluded for that use case only") {
  FakeFleet fleet(config());
  fleet.loadServers(3);
  fleet.countSentTo({2}, 60, kNonIdempotent);
  for (int i = 0; i < 40; ++i) {
    fleet.submit(kDeduplicatedByAll);
    const auto execution = fleet.last();
    const bool hangs = execution.server.value == 2;
    fleet.now += 1ms;
    std::size_t other = fleet.sent.size();
    for (int k = 0; k < 9; ++k) fleet.submit(kNonIdempotent);
    fleet.now += 20ms;
    for (; other < fleet.sent.size(); ++other) fleet.end(fleet.sent[other], Outcome::completed);
    fleet.now += hangs ? 500ms : 10ms;
    fleet.balancer.wake(fleet.now);
    fleet.end(execution, hangs ? Outcome::timeout : Outcome::completed);
    if (hangs && fleet.last().query == execution.query) fleet.end(fleet.last(), Outcome::completed);
  }
  CHECK(fleet.countSentTo({2}, 40, kDeduplicatedByAll) == 0);
  CHECK(fleet.countSentTo({2}, 60, kNonIdempotent) > 0);
}

TEST_CASE("two consecutive errors among many completed queries do not exclude a use case") {
  FakeFleet fleet(config());
  fleet.loadServers(3);
  fleet.countSentTo({2}, 60, kNonIdempotent);
  for (int errors = 0; errors < 2;) {
    fleet.submit(kNonIdempotent);
    const auto execution = fleet.last();
    fleet.now += 20ms;
    fleet.end(execution, execution.server.value == 2 ? Outcome::error : Outcome::completed);
    errors += execution.server.value == 2 ? 1 : 0;
  }
  CHECK(fleet.countSentTo({2}, 60, kNonIdempotent) > 0);
}

TEST_CASE("a use case that a server refuses as full is excluded there for a while, unlike others") {
  FakeFleet fleet(config());
  fleet.loadServers(2);
  for (int i = 0; i < 8; ++i) {
    fleet.submit(kIdempotent);
    const auto execution = fleet.last();
    fleet.end(execution, execution.server.value == 2 ? Outcome::full : Outcome::completed);
    if (execution.server.value == 2) fleet.end(fleet.last(), Outcome::completed);
  }
  const std::size_t before = fleet.sent.size();
  CHECK(fleet.runQuery(kIdempotent, Outcome::completed, 1ms).value == 1);
  CHECK(fleet.sent.size() == before + 1);
  CHECK(fleet.countSentTo({2}, 30, kNonIdempotent) > 0);
  fleet.now += 2s;
  CHECK(fleet.countSentTo({2}, 30, kIdempotent) > 0);
}

TEST_CASE("many balancers together send no more executions than one") {
  std::size_t out[2];
  for (const std::uint32_t balancers : {1U, 16U}) {
    BalancerConfig shared = config();
    shared.balancerCount = balancers;
    FakeFleet fleet(shared);
    fleet.loadServers(10);
    for (int i = 0; i < 200; ++i) fleet.submit(kIdempotent);
    out[balancers == 1 ? 0 : 1] = fleet.sent.size();
  }
  CHECK(out[1] * 16 <= out[0] + 16);
}

TEST_CASE("late responses reduce concurrency") {
  std::size_t out[2];
  for (const bool late : {false, true}) {
    FakeFleet fleet(config());
    fleet.loadServers(4);
    for (int i = 0; i < 60; ++i) fleet.runQuery(kIdempotent, Outcome::completed, late ? 400ms : 40ms);
    const std::size_t before = fleet.sent.size();
    for (int i = 0; i < 60; ++i) fleet.submit(kIdempotent);
    out[late ? 1 : 0] = fleet.sent.size() - before;
  }
  CHECK(out[1] < out[0]);
  CHECK(out[1] >= 1);
}

TEST_CASE("a failing server that the cap keeps in the pool gets one execution at a time") {
  FakeFleet fleet(config());
  fleet.loadServers(1);
  for (int i = 0; i < 6; ++i) fleet.runQuery(kNonIdempotent, Outcome::error);
  const std::size_t before = fleet.sent.size();
  for (int i = 0; i < 3; ++i) fleet.submit(kNonIdempotent);
  CHECK(fleet.sent.size() == before + 1);
}

TEST_CASE("queued queries are ordered by importance, and those of an account beyond its share come last") {
  BalancerConfig twoAccounts = config();
  twoAccounts.accountShares = {0.5, 0.5};
  twoAccounts.beyondShareImportance = 0.1;
  FakeFleet fleet(twoAccounts);
  fleet.loadServers(1);
  const auto submit = [&](UseCaseId useCase, std::uint32_t account) {
    const QueryId id{static_cast<std::uint32_t>(fleet.handles.size())};
    fleet.handles.push_back(
        fleet.balancer.submit(fleet.now, {id, useCase, 2s, std::nullopt, AccountId{account}}));
    return id;
  };
  for (int i = 0; i < 100; ++i) {  // account 0 gets four fifths of the responses
    submit(kIdempotent, i % 5 == 0 ? 1 : 0);
    fleet.now += 20ms;
    fleet.end(fleet.last(), Outcome::completed);
  }
  while (fleet.executions(submit(kNonIdempotent, 1)) == 1) continue;
  const std::size_t before = fleet.sent.size();
  const QueryId beyond = submit(kIdempotent, 0);
  const QueryId plain = submit(kIdempotent, 1);
  const QueryId important = submit(kNonIdempotent, 1);
  fleet.now += 10ms;
  for (std::size_t i = before - 3; i < before + 1; ++i) fleet.end(fleet.sent[i], Outcome::completed);
  REQUIRE(fleet.sent.size() >= before + 3);
  CHECK(fleet.executions(important) == 1);
  CHECK(fleet.executions(plain) >= fleet.executions(beyond));
}
