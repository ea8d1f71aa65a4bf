// One balancer that is told it is one of a thousand shows its share.
#include <functional>
#include <set>

#include "story.hpp"

using namespace rackroute;
using namespace rackroute::story;

namespace {

Terms oneOf(std::uint32_t balancers, std::uint32_t number = 0) {
  Terms made = terms();
  made.balancers = balancers;
  made.number = number;
  return made;
}

std::vector<ListedServer> zones(std::uint64_t from, std::uint64_t to) {
  std::vector<ListedServer> servers;
  for (std::uint64_t i = from; i <= to; ++i) servers.push_back(server(i, static_cast<std::uint32_t>(i % 3)));
  return servers;
}

std::set<std::uint64_t> usedBy(Fleet& fleet, int queries) {
  std::set<std::uint64_t> used;
  for (int i = 0; i < queries; ++i) {
    used.insert(fleet.play(kIdempotent, Outcome::completed).value);
    fleet.now += 500ms;
  }
  return used;
}

QueryId takeKey(Fleet& fleet, std::uint64_t key) {
  Query query;
  query.id = {static_cast<std::uint32_t>(fleet.handles.size())};
  query.useCase = kIdempotent;
  query.timeLeft = 2s;
  query.key = KeyId{key};
  fleet.handles.push_back(fleet.balancer.take(fleet.now, query));
  return query.id;
}

}  // namespace

TEST_CASE("one of a thousand uses a few servers, from every location") {
  Fleet fleet(oneOf(1000, 7));
  fleet.list(Listing::persisted, zones(1, 120));
  const std::set<std::uint64_t> used = usedBy(fleet, 80);
  CHECK(used.size() <= 6);
  std::set<std::uint64_t> locations;
  for (const std::uint64_t id : used) locations.insert(id % 3);
  CHECK(locations.size() == 3);
}

TEST_CASE("the sets of many balancers cover the servers evenly") {
  std::map<std::uint64_t, int> sets;
  for (std::uint32_t number = 0; number < 300; ++number) {
    Fleet fleet(oneOf(300, number));
    fleet.list(Listing::persisted, zones(1, 30));
    for (const std::uint64_t id : usedBy(fleet, 25)) ++sets[id];
  }
  CHECK(sets.size() == 30);
  for (const auto& [id, count] : sets) {  // 30 of 300 balancers each; places by chance stray further
    CAPTURE(id);
    CHECK(count >= 20);
    CHECK(count <= 40);
  }
}

TEST_CASE("a member that is ejected is replaced, and the set stays as it is otherwise") {
  Fleet fleet(oneOf(1000, 3));
  fleet.list(Listing::persisted, zones(1, 60));
  const std::set<std::uint64_t> before = usedBy(fleet, 40);
  const std::uint64_t bad = *before.begin();
  fleet.spoil({bad}, Outcome::timeout, 5);
  std::set<std::uint64_t> after;
  for (int i = 0; i < 200; ++i) after.insert(fleet.play(kIdempotent, Outcome::completed).value);
  CHECK(after.count(bad) == 0);
  CHECK(after.size() >= 3);
  for (const std::uint64_t id : before) {
    CAPTURE(id);
    if (id != bad) CHECK(after.count(id) == 1);
  }
}

TEST_CASE("a grown fleet's new servers come into some balancers' sets") {
  int fresh = 0;
  for (std::uint32_t number = 0; number < 60; ++number) {
    Fleet fleet(oneOf(300, number));
    fleet.list(Listing::persisted, zones(1, 30));
    usedBy(fleet, 5);
    fleet.list(Listing::changes, zones(31, 60));
    for (const std::uint64_t id : usedBy(fleet, 40)) fresh += id > 30 ? 1 : 0;
  }
  CHECK(fresh > 30);
}

TEST_CASE("a thousand balancers together send a cold server no more than its part") {
  // 200 balancers with two queries a second each; four warm servers are lost and a cold one is left.
  std::size_t sent = 0;
  for (std::uint32_t number = 0; number < 200; ++number) {
    Terms seeded = oneOf(200, number);
    seeded.seed = number;
    Fleet fleet(seeded);
    fleet.hold(4);
    usedBy(fleet, 30);
    ListedServer cold = server(9);
    cold.startedAt = fleet.now;
    fleet.list(Listing::complete, {server(1), server(2), server(3), cold});
    for (std::uint64_t id = 1; id <= 3; ++id) {
      ListedServer gone = server(id);
      gone.lifecycle = Lifecycle::gone;
      fleet.list(Listing::changes, {gone});
    }
    for (int i = 0; i < 6; ++i) {  // the tipping window of 3 s
      const std::size_t before = fleet.sent.size();
      fleet.take(kNonIdempotent);
      fleet.now += 500ms;
      if (fleet.sent.size() > before) fleet.end(fleet.last(), Outcome::completed);
      sent += fleet.sent.size() - before;
    }
  }
  const double warmRate = 200 * 2 / 4.0;  // a second, at each warm server
  CHECK(sent > 0);
  CHECK(static_cast<double>(sent) <= 2.5 * 3 * warmRate * (0.2 + 0.8 * 3 / 20));
}

TEST_CASE("one of a thousand does not keep an execution out all the time when answers come late") {
  Fleet fleet(oneOf(1000, 5));
  fleet.list(Listing::persisted, zones(1, 60));
  for (int i = 0; i < 120; ++i) {
    const std::size_t before = fleet.sent.size();
    fleet.take(kIdempotent);
    fleet.now += i < 10 ? 40ms : 450ms;
    if (fleet.sent.size() > before) fleet.end(fleet.last(), Outcome::completed);
    fleet.balancer.wake(fleet.now);
  }
  CHECK(fleet.sent.size() > 40);
  CHECK(fleet.sent.size() < 100);
}

TEST_CASE("the first in line waits where room comes in time, however few answers there are") {
  Fleet fleet(oneOf(1000, 5));
  fleet.list(Listing::persisted, zones(1, 60));
  std::vector<QueryId> queries;
  while (fleet.sent.size() == queries.size() && queries.size() < 20)
    queries.push_back(fleet.take(kIdempotent));
  REQUIRE(fleet.sent.size() < queries.size());
  CHECK(fleet.endOf(queries.back()) == "open");
  fleet.now += 50ms;
  const auto sent = fleet.sent;
  for (const auto& execution : sent) fleet.end(execution, Outcome::completed);
  CHECK(fleet.executions(queries.back()) == 1);
}

TEST_CASE("a key keeps its home among two hundred servers, until the home fails") {
  Terms warm = oneOf(1000, 9);
  warm.warmKeys = true;
  Fleet fleet(warm);
  fleet.list(Listing::persisted, zones(1, 200));
  std::map<ServerId, int> hits;
  const auto play = [&](ServerId failing, int times) {
    hits.clear();
    for (int i = 0; i < times; ++i) {
      takeKey(fleet, 42);
      const auto execution = fleet.last();
      fleet.now += 40ms;
      ++hits[execution.server];
      fleet.end(execution, execution.server == failing ? Outcome::error : Outcome::completed);
      if (fleet.last().no != execution.no) fleet.end(fleet.last(), Outcome::completed);
      fleet.now += 400ms;
    }
  };
  play({0}, 100);
  const auto most = std::max_element(hits.begin(), hits.end(),
                                     [](const auto& a, const auto& b) { return a.second < b.second; });
  const ServerId home = most->first;
  CHECK(most->second > 75);
  CHECK(home.value % 3 == 0);  // in the balancer's own zone
  play(home, 60);
  CHECK(hits[home] < 10);
}

TEST_CASE("a server that reports slow service counts for less") {
  Fleet fleet(terms());
  fleet.hold(4);
  int slow = 0;
  for (int i = 0; i < 400; ++i) {
    const QueryId query = fleet.take(kNonIdempotent);
    const auto execution = fleet.last();
    fleet.now += 20ms;
    slow += execution.server.value == 2 ? 1 : 0;
    fleet.handles[query.value].executionEnded(fleet.now, execution.no, Outcome::completed, true,
                                              execution.server.value == 2 ? 60ms : 15ms);
  }
  CHECK(slow < 75);  // an even part is 100
  CHECK(slow > 10);
}

TEST_CASE("a fleet that lately answered nothing does not shrink what a cold server may get") {
  Fleet fleet(terms());
  fleet.hold(3);
  for (int i = 0; i < 300; ++i) fleet.play(kNonIdempotent, Outcome::completed);
  fleet.now += 12s;
  fleet.play(kIdempotent, Outcome::timeout);
  ListedServer cold = server(9);
  cold.startedAt = fleet.now;
  fleet.list(Listing::changes, {cold});
  for (std::uint64_t id = 1; id <= 3; ++id) {
    ListedServer gone = server(id);
    gone.lifecycle = Lifecycle::gone;
    fleet.list(Listing::changes, {gone});
  }
  const std::size_t before = fleet.sent.size();
  for (int i = 0; i < 30; ++i) {
    const std::size_t at = fleet.sent.size();
    fleet.take(kIdempotent);
    fleet.now += 100ms;
    if (fleet.sent.size() > at) fleet.end(fleet.last(), Outcome::completed);
  }
  CHECK(fleet.sent.size() > before + 3);
}

namespace {

/// Ten balancers' one, with homes among nine servers in three zones; its own is zone 0.
struct Homes : Fleet {
  static Terms warm() {
    Terms made = oneOf(10);
    made.warmKeys = true;
    return made;
  }
  Homes() : Fleet(warm()) { list(Listing::persisted, zones(1, 9)); }
  /// Plays one query of each of so many keys; how many first went to the zone.
  int toZone(std::uint64_t zone, std::uint64_t keys, const std::function<Outcome(ServerId)>& plays) {
    int here = 0;
    for (std::uint64_t key = 1; key <= keys; ++key) {
      takeKey(*this, key);
      now += 20ms;
      if (last().server.value % 3 == zone) ++here;
      for (int no = 0; no < 3 && endOf(last().query) == "open"; ++no) {
        const Sent execution = last();
        const Outcome outcome = plays(execution.server);
        end(execution, outcome);
        if (outcome == Outcome::completed) break;
      }
    }
    return here;
  }
};

Outcome completes(ServerId) { return Outcome::completed; }

}  // namespace

TEST_CASE("a lost zone keeps no keys after five failures in a row, and gets them back when it answers") {
  Homes fleet;
  CHECK(fleet.toZone(0, 60, completes) > 50);
  const auto lost = [](ServerId id) {
    return id.value % 3 == 0 ? Outcome::connectFailed : Outcome::completed;
  };
  fleet.toZone(0, 10, lost);
  CHECK(fleet.toZone(0, 40, lost) < 10);
  fleet.now += 15s;
  CHECK(fleet.toZone(0, 60, completes) > 0);
  fleet.now += 15s;
  fleet.toZone(0, 30, completes);
  CHECK(fleet.toZone(0, 60, completes) > 40);
}

TEST_CASE("a home that failed once keeps no keys, until it answers or the eject time is over") {
  Homes fleet;
  std::vector<std::uint64_t> keys;
  const ServerId bad{3};
  for (std::uint64_t key = 1; key <= 120; ++key) {
    takeKey(fleet, key);
    if (fleet.last().server == bad) keys.push_back(key);
    fleet.end(fleet.last(), Outcome::completed);
    fleet.now += 20ms;
  }
  REQUIRE(keys.size() > 20);
  int met = 0;
  const auto playAll = [&](Outcome outcome) {
    for (const std::uint64_t key : keys) {
      takeKey(fleet, key);
      const bool here = fleet.last().server == bad;
      met += here ? 1 : 0;
      fleet.end(fleet.last(), here ? outcome : Outcome::completed);
      fleet.end(fleet.last(), Outcome::completed);
      fleet.now += 5ms;
    }
  };
  playAll(Outcome::error);
  CHECK(met >= 1);
  CHECK(met <= 2);  // the one, and an ordinary pick
  fleet.now += 20s;
  met = 0;
  playAll(Outcome::completed);
  CHECK(met > 5);
}

TEST_CASE("balancers that measured servers differently meet a key at the same home") {
  Terms warm = oneOf(10);
  warm.warmKeys = true;
  std::vector<std::vector<ServerId>> homes;
  for (const std::uint64_t slow : {1U, 2U}) {
    Fleet fleet(warm);
    fleet.hold(9);
    std::vector<ServerId> met;
    for (std::uint64_t i = 0; i < 400; ++i) {
      const QueryId query = takeKey(fleet, i);
      const auto execution = fleet.last();
      fleet.now += 20ms;
      const Span service = execution.server.value % 3 == slow ? 60ms : 15ms;
      fleet.handles[query.value].executionEnded(fleet.now, execution.no, Outcome::completed, true, service);
      if (i >= 300) met.push_back(execution.server);
    }
    homes.push_back(met);
  }
  CHECK(homes[0] == homes[1]);
}

TEST_CASE("a key whose home is full goes to one other server, not to any") {
  Terms warm = oneOf(10);
  warm.warmKeys = true;
  std::set<ServerId> met;
  for (std::uint64_t seed = 1; seed <= 20; ++seed) {
    warm.seed = seed;
    Fleet fleet(warm);
    fleet.hold(9);
    takeKey(fleet, 42);
    takeKey(fleet, 42);
    for (const auto& execution : fleet.sent) met.insert(execution.server);
  }
  CHECK(met.size() == 2);
}

TEST_CASE("one of a hundred that just started bears its ordinary traffic") {
  Fleet fleet(oneOf(100, 9));
  fleet.list(Listing::persisted, zones(1, 60));
  std::size_t ended = 0;
  for (int i = 0; i < 40; ++i) {
    fleet.take(kIdempotent);
    fleet.now += 50ms;
    while (ended + 1 < fleet.sent.size()) fleet.end(fleet.sent[ended++], Outcome::completed);
  }
  CHECK(fleet.sent.size() >= 38);  // its part of four at each server is two at a time
}
