#include "story.hpp"
#include "terms/balancer_settings.hpp"

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

}  // namespace

TEST_CASE("a weight that follows load is no size; settings without a word on it, or of sizes, decide alike") {
  const auto share = [](const char* weights) {
    settings::KeyValues pairs{{"use_cases.count", "1"}, {"use_cases.0.effect", "retryable"},
                              {"peers_total", "1"},     {"my_number", "0"},
                              {"locality", "a"},        {"use_cases.0.slo_time_ms", "500"}};
    if (weights != nullptr) pairs["weights"] = weights;
    Fleet fleet(settings::ParsedSettings(7, pairs).config);
    fleet.list(Listing::persisted, {weighing(1, 1), weighing(2, 1)});
    fleet.list(Listing::changes, {weighing(1, 0.1)});
    return fleet.share({1}, 400, kIdempotent);
  };
  CHECK(share(nullptr) < 60);
  CHECK(share("rough") == share(nullptr));
  CHECK(share("live") > 70);
  CHECK_THROWS_AS(share("heavy"), settings::MalformedValue);
}

TEST_CASE("a server that was named by hand before any list told its weight gets the one that is listed") {
  Fleet fleet(followed());
  fleet.balancer.takeOut(fleet.now, {1});
  fleet.list(Listing::persisted, {weighing(1, 0.1), weighing(2, 0.1)});
  fleet.balancer.putBack(fleet.now, {1});
  fleet.now += 1min;
  CHECK(fleet.share({1}, 400) < 260);
}

TEST_CASE("where the list says that the pool is crowded, less goes out; one crowded server changes nothing") {
  const auto sent = [](std::vector<ListedServer> loaded) {
    Fleet fleet(followed());
    fleet.list(Listing::persisted, {weighing(1, 1), weighing(2, 1), weighing(3, 1)});
    fleet.list(Listing::changes, std::move(loaded));
    for (int i = 0; i < 60; ++i) fleet.take(kIdempotent);
    return fleet.sent.size();
  };
  CHECK(sent({weighing(1, 0.05)}) == sent({}));
  CHECK(sent({weighing(1, 0.05), weighing(2, 0.05), weighing(3, 0.05)}) < sent({}) / 2);
}

TEST_CASE("a location whose last five executions failed gets one at a time until it answers") {
  Fleet fleet(terms());
  fleet.list(Listing::persisted, {server(1), server(2), server(3, 1), server(4, 1), server(5, 1)});
  const auto far = [](const Fleet::Sent& sent) { return sent.server.value > 2; };
  for (int failed = 0; failed < 5; failed += far(fleet.last()) ? 1 : 0) {
    fleet.take(kNonIdempotent);
    fleet.now += 20ms;
    fleet.end(fleet.last(), far(fleet.last()) ? Outcome::timeout : Outcome::completed);
  }
  fleet.sent.clear();
  for (int i = 0; i < 40; ++i) fleet.take(kIdempotent);
  CHECK(std::count_if(fleet.sent.begin(), fleet.sent.end(), far) <= 1);
}

TEST_CASE("answers lost on their way fill no room at servers that the list calls idle") {
  const auto sentAfterLosses = [](const Terms& told) {
    Fleet fleet(told);
    fleet.list(Listing::persisted, {weighing(1, 1), weighing(2, 1, 1)});
    for (int i = 0; i < 8; ++i) fleet.take(kNonIdempotent, 60s);  // four at each: no run of five
    fleet.now += 5s;
    fleet.balancer.wake(fleet.now);
    fleet.sent.clear();
    for (int i = 0; i < 10; ++i) fleet.take(kNonIdempotent, 60s);
    return fleet.sent.size();
  };
  CHECK(sentAfterLosses(terms()) == 0);
  CHECK(sentAfterLosses(followed()) > 2);
}

TEST_CASE("a server that is silent altogether is ejected, however little the list says it holds") {
  Fleet fleet(followed());
  fleet.list(Listing::persisted, {weighing(1, 1), weighing(2, 1), weighing(3, 1)});
  for (int i = 0; i < 2000 && fleet.balancer.standing(fleet.now).ejected == 0; ++i) {
    fleet.take(kNonIdempotent);
    const bool silent = fleet.last().server.value == 1;
    fleet.now += silent ? 2s : 20ms;
    fleet.balancer.wake(fleet.now);
    fleet.end(fleet.last(), silent ? Outcome::timeout : Outcome::completed);
  }
  CHECK(fleet.balancer.standing(fleet.now).ejected == 1);
}
