#include "story.hpp"
#include "terms/told.hpp"

using namespace rackroute;
using namespace rackroute::story;

namespace {

ListedServer weighing(std::uint64_t id, double weight, std::uint32_t zone = 0) {
  auto made = server(id, zone);
  made.size = weight;
  return made;
}

Terms followed() {
  Terms made = terms();
  made.weightsFollowLoad = true;
  return made;
}

// One query a time for two servers, one of which is then listed at a tenth of its weight.
int shareWhenListedSmall(const Terms& told) {
  Fleet fleet(told);
  fleet.list(Listing::persisted, {weighing(1, 1), weighing(2, 1)});
  fleet.list(Listing::changes, {weighing(1, 0.1)});
  return fleet.share({1}, 400);
}

}  // namespace

TEST_CASE("a weight that follows load is no size: its server keeps a fair part, a small one does not") {
  CHECK(shareWhenListedSmall(followed()) > 70);
  CHECK(shareWhenListedSmall(terms()) < 60);
}

TEST_CASE("where the list says that the pool is crowded, less goes out; one crowded server changes nothing") {
  const auto outAfter = [](std::vector<ListedServer> loaded) {
    Fleet fleet(followed());
    fleet.list(Listing::persisted, {weighing(1, 1), weighing(2, 1), weighing(3, 1), weighing(4, 1)});
    fleet.list(Listing::changes, std::move(loaded));
    for (int i = 0; i < 60; ++i) fleet.take(kIdempotent);
    return fleet.sent.size();
  };
  const std::size_t usual = outAfter({});
  CHECK(outAfter({weighing(1, 0.05)}) == usual);
  CHECK(outAfter({weighing(1, 0.05), weighing(2, 0.05), weighing(3, 0.05), weighing(4, 0.05)}) < usual / 2);
}

TEST_CASE("a location whose last five executions failed gets one at a time until it answers") {
  Fleet fleet(terms());
  std::vector<ListedServer> servers;
  for (std::uint64_t i = 1; i <= 12; ++i) servers.push_back(server(i, i > 6 ? 1 : 0));
  fleet.list(Listing::persisted, servers);
  const auto far = [](const Fleet::Sent& sent) { return sent.server.value > 6; };
  for (int failed = 0; failed < 5;) {
    fleet.take(kNonIdempotent);
    const auto execution = fleet.last();
    fleet.now += 20ms;
    fleet.end(execution, far(execution) ? Outcome::timeout : Outcome::completed);
    failed += far(execution) ? 1 : 0;
  }
  const std::size_t before = fleet.sent.size();
  for (int i = 0; i < 40; ++i) fleet.take(kIdempotent);
  const auto late =
      std::count_if(fleet.sent.begin() + static_cast<std::ptrdiff_t>(before), fleet.sent.end(), far);
  CHECK(late <= 1);
}

TEST_CASE("answers lost on their way fill no room at servers that the list calls idle") {
  const auto takenAfterLosses = [](const Terms& told) {
    Fleet fleet(told);
    fleet.list(Listing::persisted, {weighing(1, 1), weighing(2, 1, 1)});
    for (int i = 0; i < 8; ++i) fleet.take(kNonIdempotent, 60s);  // four at each: no run of five
    fleet.now += 5s;
    fleet.balancer.wake(fleet.now);
    const std::size_t lost = fleet.sent.size();
    for (int i = 0; i < 10; ++i) fleet.take(kNonIdempotent, 60s);
    return fleet.sent.size() - lost;
  };
  CHECK(takenAfterLosses(terms()) == 0);
  CHECK(takenAfterLosses(followed()) > 2);
}

TEST_CASE("a server that is silent altogether is ejected, however little the list says it holds") {
  Fleet fleet(followed());
  fleet.list(Listing::persisted, {weighing(1, 1), weighing(2, 1), weighing(3, 1)});
  std::vector<std::pair<Fleet::Sent, Span>> silent;
  std::size_t seen = 0;
  for (int i = 0; i < 650; ++i, fleet.now += 20ms) {
    fleet.balancer.wake(fleet.now);
    fleet.take(kNonIdempotent);
    for (; seen < fleet.sent.size(); ++seen) {
      const auto execution = fleet.sent[seen];
      if (execution.server.value == 1)
        silent.emplace_back(execution, fleet.now + 2s);
      else
        fleet.end(execution, Outcome::completed);
    }
    for (; !silent.empty() && silent.front().second <= fleet.now; silent.erase(silent.begin()))
      fleet.end(silent.front().first, Outcome::timeout);
  }
  CHECK(fleet.balancer.standing(fleet.now).ejected == 1);
}

TEST_CASE(
    "settings that say nothing of weights, or that they are sizes, decide alike; an unknown word is "
    "refused") {
  const auto decided = [](const char* weights) {
    told::Pairs pairs{{"use_cases.count", "1"}, {"use_cases.0.effect", "retryable"},
                      {"peers_total", "1"},     {"my_number", "0"},
                      {"locality", "a"},        {"use_cases.0.slo_time_ms", "500"}};
    if (weights != nullptr) pairs["weights"] = weights;
    Fleet fleet(told::Told(7, pairs).terms);
    fleet.list(Listing::persisted, {weighing(1, 1), weighing(2, 1)});
    fleet.list(Listing::changes, {weighing(1, 0.1)});
    std::vector<std::uint64_t> sent;
    for (int i = 0; i < 100; ++i) sent.push_back(fleet.play(kIdempotent, Outcome::completed).value);
    return sent;
  };
  CHECK(decided(nullptr) == decided("rough"));
  CHECK(decided(nullptr) == decided("nominal"));
  CHECK(decided(nullptr) != decided("live"));
  CHECK_THROWS_AS(decided("heavy"), told::Malformed);
}
