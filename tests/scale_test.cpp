// A single balancer configured as one of many: subsets, shares of the limits, and key affinity.
#include <functional>
#include <set>

#include "balancer_fixture.hpp"

using namespace rackroute;
using namespace rackroute::fixture;

namespace {

BalancerConfig oneOfMany(std::uint32_t balancers, std::uint32_t index = 0) {
  BalancerConfig result = config();
  result.balancerCount = balancers;
  result.balancerIndex = index;
  return result;
}

std::vector<ListedServer> serversInZones(std::uint64_t from, std::uint64_t to) {
  std::vector<ListedServer> servers;
  for (std::uint64_t i = from; i <= to; ++i) servers.push_back(server(i, static_cast<std::uint32_t>(i % 3)));
  return servers;
}

std::set<std::uint64_t> serversUsed(FakeFleet& fleet, int queries) {
  std::set<std::uint64_t> used;
  for (int i = 0; i < queries; ++i) {
    used.insert(fleet.runQuery(kIdempotent, Outcome::completed).value);
    fleet.now += 500ms;
  }
  return used;
}

QueryId submitKey(FakeFleet& fleet, std::uint64_t key) {
  Query query;
  query.id = {static_cast<std::uint32_t>(fleet.handles.size())};
  query.useCase = kIdempotent;
  query.timeLeft = 2s;
  query.key = KeyId{key};
  fleet.handles.push_back(fleet.balancer.submit(fleet.now, query));
  return query.id;
}

}  // namespace

TEST_CASE("one of a thousand balancers uses a few servers from every zone") {
  FakeFleet fleet(oneOfMany(1000, 7));
  fleet.updateList(ServerListKind::persisted, serversInZones(1, 120));
  const std::set<std::uint64_t> used = serversUsed(fleet, 80);
  CHECK(used.size() <= 6);
  std::set<std::uint64_t> zones;
  for (const std::uint64_t id : used) zones.insert(id % 3);
  CHECK(zones.size() == 3);
}

TEST_CASE("the subsets of many balancers cover the servers evenly") {
  std::map<std::uint64_t, int> subsets;
  for (std::uint32_t index = 0; index < 300; ++index) {
    FakeFleet fleet(oneOfMany(300, index));
    fleet.updateList(ServerListKind::persisted, serversInZones(1, 30));
    for (const std::uint64_t id : serversUsed(fleet, 25)) ++subsets[id];
  }
  CHECK(subsets.size() == 30);
  for (const auto& [id, count] : subsets) {  // 30 of 300 balancers each
    CAPTURE(id);
    CHECK(count >= 20);
    CHECK(count <= 40);
  }
}

TEST_CASE("an ejected member is replaced, and the rest of the subset stays the same") {
  FakeFleet fleet(oneOfMany(1000, 3));
  fleet.updateList(ServerListKind::persisted, serversInZones(1, 60));
  const std::set<std::uint64_t> before = serversUsed(fleet, 40);
  const std::uint64_t failing = *before.begin();
  fleet.runUntilEnded({failing}, Outcome::timeout, 5);
  std::set<std::uint64_t> after;
  for (int i = 0; i < 200; ++i) after.insert(fleet.runQuery(kIdempotent, Outcome::completed).value);
  CHECK(after.count(failing) == 0);
  CHECK(after.size() >= 3);
  for (const std::uint64_t id : before) {
    CAPTURE(id);
    if (id != failing) CHECK(after.count(id) == 1);
  }
}

TEST_CASE("added servers join some balancers' subsets") {
  int added = 0;
  for (std::uint32_t index = 0; index < 60; ++index) {
    FakeFleet fleet(oneOfMany(300, index));
    fleet.updateList(ServerListKind::persisted, serversInZones(1, 30));
    serversUsed(fleet, 5);
    fleet.updateList(ServerListKind::changes, serversInZones(31, 60));
    for (const std::uint64_t id : serversUsed(fleet, 40)) added += id > 30 ? 1 : 0;
  }
  CHECK(added > 30);
}

TEST_CASE("many balancers together keep a cold server below its overload budget") {
  // 200 balancers with two queries per second each; the warm servers are lost and a cold one is left.
  std::size_t sent = 0;
  for (std::uint32_t index = 0; index < 200; ++index) {
    BalancerConfig seeded = oneOfMany(200, index);
    seeded.seed = index;
    FakeFleet fleet(seeded);
    fleet.loadServers(4);
    serversUsed(fleet, 30);
    ListedServer cold = server(9);
    cold.startedAt = fleet.now;
    fleet.updateList(ServerListKind::complete, {server(1), server(2), server(3), cold});
    for (std::uint64_t id = 1; id <= 3; ++id) {
      ListedServer removed = server(id);
      removed.lifecycle = Lifecycle::removed;
      fleet.updateList(ServerListKind::changes, {removed});
    }
    for (int i = 0; i < 6; ++i) {  // the overload window of 3 s
      const std::size_t before = fleet.sent.size();
      fleet.submit(kNonIdempotent);
      fleet.now += 500ms;
      if (fleet.sent.size() > before) fleet.end(fleet.last(), Outcome::completed);
      sent += fleet.sent.size() - before;
    }
  }
  const double warmRate = 200 * 2 / 4.0;  // queries per second at each warm server
  CHECK(sent > 0);
  CHECK(static_cast<double>(sent) <= 2.5 * 3 * warmRate * (0.2 + 0.8 * 3 / 20));
}

TEST_CASE("one of a thousand balancers does not always have an execution in flight when responses are late") {
  FakeFleet fleet(oneOfMany(1000, 5));
  fleet.updateList(ServerListKind::persisted, serversInZones(1, 60));
  for (int i = 0; i < 120; ++i) {
    const std::size_t before = fleet.sent.size();
    fleet.submit(kIdempotent);
    fleet.now += i < 10 ? 40ms : 450ms;
    if (fleet.sent.size() > before) fleet.end(fleet.last(), Outcome::completed);
    fleet.balancer.wake(fleet.now);
  }
  CHECK(fleet.sent.size() > 40);
  CHECK(fleet.sent.size() < 100);
}

TEST_CASE("the first query in the queue waits if capacity is expected in time, even with few samples") {
  FakeFleet fleet(oneOfMany(1000, 5));
  fleet.updateList(ServerListKind::persisted, serversInZones(1, 60));
  std::vector<QueryId> queries;
  while (fleet.sent.size() == queries.size() && queries.size() < 20)
    queries.push_back(fleet.submit(kIdempotent));
  REQUIRE(fleet.sent.size() < queries.size());
  CHECK(fleet.finalResult(queries.back()) == "open");
  fleet.now += 50ms;
  const auto sent = fleet.sent;
  for (const auto& execution : sent) fleet.end(execution, Outcome::completed);
  CHECK(fleet.executions(queries.back()) == 1);
}

TEST_CASE("a key keeps its home among two hundred servers until the home fails") {
  BalancerConfig withAffinity = oneOfMany(1000, 9);
  withAffinity.keyAffinity = true;
  FakeFleet fleet(withAffinity);
  fleet.updateList(ServerListKind::persisted, serversInZones(1, 200));
  std::map<ServerId, int> hits;
  const auto run = [&](ServerId failing, int times) {
    hits.clear();
    for (int i = 0; i < times; ++i) {
      submitKey(fleet, 42);
      const auto execution = fleet.last();
      fleet.now += 40ms;
      ++hits[execution.server];
      fleet.end(execution, execution.server == failing ? Outcome::error : Outcome::completed);
      if (fleet.last().no != execution.no) fleet.end(fleet.last(), Outcome::completed);
      fleet.now += 400ms;
    }
  };
  run({0}, 100);
  const auto most = std::max_element(hits.begin(), hits.end(),
                                     [](const auto& a, const auto& b) { return a.second < b.second; });
  const ServerId home = most->first;
  CHECK(most->second > 75);
  CHECK(home.value % 3 == 0);  // the balancer's own zone
  run(home, 60);
  CHECK(hits[home] < 10);
}

TEST_CASE("a server that reports long service times gets fewer queries") {
  FakeFleet fleet(config());
  fleet.loadServers(4);
  int slow = 0;
  for (int i = 0; i < 400; ++i) {
    const QueryId query = fleet.submit(kNonIdempotent);
    const auto execution = fleet.last();
    fleet.now += 20ms;
    slow += execution.server.value == 2 ? 1 : 0;
    fleet.handles[query.value].executionEnded(fleet.now, execution.no, Outcome::completed, true,
                                              execution.server.value == 2 ? 60ms : 15ms);
  }
  CHECK(slow < 75);  // an even share is 100
  CHECK(slow > 10);
}

TEST_CASE("an outage without responses does not shrink a cold server's budget") {
  FakeFleet fleet(config());
  fleet.loadServers(3);
  for (int i = 0; i < 300; ++i) fleet.runQuery(kNonIdempotent, Outcome::completed);
  fleet.now += 12s;
  fleet.runQuery(kIdempotent, Outcome::timeout);
  ListedServer cold = server(9);
  cold.startedAt = fleet.now;
  fleet.updateList(ServerListKind::changes, {cold});
  for (std::uint64_t id = 1; id <= 3; ++id) {
    ListedServer removed = server(id);
    removed.lifecycle = Lifecycle::removed;
    fleet.updateList(ServerListKind::changes, {removed});
  }
  const std::size_t before = fleet.sent.size();
  for (int i = 0; i < 30; ++i) {
    const std::size_t at = fleet.sent.size();
    fleet.submit(kIdempotent);
    fleet.now += 100ms;
    if (fleet.sent.size() > at) fleet.end(fleet.last(), Outcome::completed);
  }
  CHECK(fleet.sent.size() > before + 3);
}

namespace {

/// One of ten balancers, with key affinity and nine servers in three zones; its own zone is 0.
struct AffinityFleet : FakeFleet {
  static BalancerConfig withAffinity() {
    BalancerConfig result = oneOfMany(10);
    result.keyAffinity = true;
    return result;
  }
  AffinityFleet() : FakeFleet(withAffinity()) { updateList(ServerListKind::persisted, serversInZones(1, 9)); }
  /// Runs one query for each key, and counts those first sent to the zone.
  int countSentToZone(std::uint64_t zone, std::uint64_t keys,
                      const std::function<Outcome(ServerId)>& outcomeAt) {
    int count = 0;
    for (std::uint64_t key = 1; key <= keys; ++key) {
      submitKey(*this, key);
      now += 20ms;
      if (last().server.value % 3 == zone) ++count;
      for (int no = 0; no < 3 && finalResult(last().query) == "open"; ++no) {
        const Sent execution = last();
        const Outcome outcome = outcomeAt(execution.server);
        end(execution, outcome);
        if (outcome == Outcome::completed) break;
      }
    }
    return count;
  }
};

Outcome alwaysCompletes(ServerId) { return Outcome::completed; }

}  // namespace

TEST_CASE("a failed zone loses its keys after five consecutive failures and regains them when it responds") {
  AffinityFleet fleet;
  CHECK(fleet.countSentToZone(0, 60, alwaysCompletes) > 50);
  const auto zoneFails = [](ServerId id) {
    return id.value % 3 == 0 ? Outcome::connectFailed : Outcome::completed;
  };
  fleet.countSentToZone(0, 10, zoneFails);
  CHECK(fleet.countSentToZone(0, 40, zoneFails) < 10);
  fleet.now += 15s;
  CHECK(fleet.countSentToZone(0, 60, alwaysCompletes) > 0);
  fleet.now += 15s;
  fleet.countSentToZone(0, 30, alwaysCompletes);
  CHECK(fleet.countSentToZone(0, 60, alwaysCompletes) > 40);
}

TEST_CASE("a home that failed once gets no keys until it responds or the eject time ends") {
  AffinityFleet fleet;
  std::vector<std::uint64_t> keys;
  const ServerId failing{3};
  for (std::uint64_t key = 1; key <= 120; ++key) {
    submitKey(fleet, key);
    if (fleet.last().server == failing) keys.push_back(key);
    fleet.end(fleet.last(), Outcome::completed);
    fleet.now += 20ms;
  }
  REQUIRE(keys.size() > 20);
  int hits = 0;
  const auto runAll = [&](Outcome outcome) {
    for (const std::uint64_t key : keys) {
      submitKey(fleet, key);
      const bool here = fleet.last().server == failing;
      hits += here ? 1 : 0;
      fleet.end(fleet.last(), here ? outcome : Outcome::completed);
      fleet.end(fleet.last(), Outcome::completed);
      fleet.now += 5ms;
    }
  };
  runAll(Outcome::error);
  CHECK(hits >= 1);
  CHECK(hits <= 2);  // the failure itself, and an ordinary pick
  fleet.now += 20s;
  hits = 0;
  runAll(Outcome::completed);
  CHECK(hits > 5);
}

TEST_CASE("balancers with different measurements choose the same home for a key") {
  BalancerConfig withAffinity = oneOfMany(10);
  withAffinity.keyAffinity = true;
  std::vector<std::vector<ServerId>> homes;
  for (const std::uint64_t slow : {1U, 2U}) {
    FakeFleet fleet(withAffinity);
    fleet.loadServers(9);
    std::vector<ServerId> chosen;
    for (std::uint64_t i = 0; i < 400; ++i) {
      const QueryId query = submitKey(fleet, i);
      const auto execution = fleet.last();
      fleet.now += 20ms;
      const Span service = execution.server.value % 3 == slow ? 60ms : 15ms;
      fleet.handles[query.value].executionEnded(fleet.now, execution.no, Outcome::completed, true, service);
      if (i >= 300) chosen.push_back(execution.server);
    }
    homes.push_back(chosen);
  }
  CHECK(homes[0] == homes[1]);
}

TEST_CASE("a key whose home is at capacity goes to one fixed other server") {
  BalancerConfig withAffinity = oneOfMany(10);
  withAffinity.keyAffinity = true;
  std::set<ServerId> chosen;
  for (std::uint64_t seed = 1; seed <= 20; ++seed) {
    withAffinity.seed = seed;
    FakeFleet fleet(withAffinity);
    fleet.loadServers(9);
    submitKey(fleet, 42);
    submitKey(fleet, 42);
    for (const auto& execution : fleet.sent) chosen.insert(execution.server);
  }
  CHECK(chosen.size() == 2);
}

TEST_CASE("one of a hundred balancers handles its usual traffic right after its start") {
  FakeFleet fleet(oneOfMany(100, 9));
  fleet.updateList(ServerListKind::persisted, serversInZones(1, 60));
  std::size_t ended = 0;
  for (int i = 0; i < 40; ++i) {
    fleet.submit(kIdempotent);
    fleet.now += 50ms;
    while (ended + 1 < fleet.sent.size()) fleet.end(fleet.sent[ended++], Outcome::completed);
  }
  CHECK(fleet.sent.size() >= 38);  // its share of the limits allows two at a time
}
