// Balancers whose server lists report load, and the failure of a whole zone.
#include "balancer_fixture.hpp"
#include "terms/balancer_settings.hpp"

using namespace rackroute;
using namespace rackroute::fixture;

namespace {

ListedServer withWeight(std::uint64_t id, double weight, std::uint32_t zone = 0) {
  auto result = server(id, zone);
  result.size = weight;
  return result;
}

BalancerConfig liveWeights() {
  BalancerConfig result = config();
  result.weightsFollowLoad = true;
  return result;
}

}  // namespace

TEST_CASE(
    "live weights do not change a server's size, but without the setting weights are sizes, as with rough") {
  const auto share = [](const char* weights) {
    settings::KeyValues pairs{{"use_cases.count", "1"}, {"use_cases.0.effect", "retryable"},
                              {"peers_total", "1"},     {"my_number", "0"},
                              {"locality", "a"},        {"use_cases.0.slo_time_ms", "500"}};
    if (weights != nullptr) pairs["weights"] = weights;
    FakeFleet fleet(settings::ParsedSettings(7, pairs).config);
    fleet.updateList(ServerListKind::persisted, {withWeight(1, 1), withWeight(2, 1)});
    fleet.updateList(ServerListKind::changes, {withWeight(1, 0.1)});
    return fleet.countSentTo({1}, 400, kIdempotent);
  };
  CHECK(share(nullptr) < 60);
  CHECK(share("rough") == share(nullptr));
  CHECK(share("live") > 70);
  CHECK_THROWS_AS(share("heavy"), settings::MalformedValue);
}

TEST_CASE("a server that was disabled before it was first listed gets its listed weight") {
  FakeFleet fleet(liveWeights());
  fleet.balancer.disableServer(fleet.now, {1});
  fleet.updateList(ServerListKind::persisted, {withWeight(1, 0.1), withWeight(2, 0.1)});
  fleet.balancer.enableServer(fleet.now, {1});
  fleet.now += 1min;
  CHECK(fleet.countSentTo({1}, 400) < 260);
}

TEST_CASE("listed load of the whole pool reduces concurrency, load of a single server does not") {
  const auto sent = [](std::vector<ListedServer> changes) {
    FakeFleet fleet(liveWeights());
    fleet.updateList(ServerListKind::persisted, {withWeight(1, 1), withWeight(2, 1), withWeight(3, 1)});
    fleet.updateList(ServerListKind::changes, std::move(changes));
    for (int i = 0; i < 60; ++i) fleet.submit(kIdempotent);
    return fleet.sent.size();
  };
  CHECK(sent({withWeight(1, 0.05)}) == sent({}));
  CHECK(sent({withWeight(1, 0.05), withWeight(2, 0.05), withWeight(3, 0.05)}) < sent({}) / 2);
}

TEST_CASE("a zone whose last five executions failed gets one execution at a time until it responds") {
  FakeFleet fleet(config());
  fleet.updateList(ServerListKind::persisted,
                   {server(1), server(2), server(3, 1), server(4, 1), server(5, 1)});
  const auto far = [](const FakeFleet::Sent& sent) { return sent.server.value > 2; };
  for (int failed = 0; failed < 5; failed += far(fleet.last()) ? 1 : 0) {
    fleet.submit(kNonIdempotent);
    fleet.now += 20ms;
    fleet.end(fleet.last(), far(fleet.last()) ? Outcome::timeout : Outcome::completed);
  }
  fleet.sent.clear();
  for (int i = 0; i < 40; ++i) fleet.submit(kIdempotent);
  CHECK(std::count_if(fleet.sent.begin(), fleet.sent.end(), far) <= 1);
}

TEST_CASE("lost responses use no capacity at servers whose listed load is low") {
  const auto sentAfterLosses = [](const BalancerConfig& config) {
    FakeFleet fleet(config);
    fleet.updateList(ServerListKind::persisted, {withWeight(1, 1), withWeight(2, 1, 1)});
    for (int i = 0; i < 8; ++i) fleet.submit(kNonIdempotent, 60s);  // four at each, too few to eject
    fleet.now += 5s;
    fleet.balancer.wake(fleet.now);
    fleet.sent.clear();
    for (int i = 0; i < 10; ++i) fleet.submit(kNonIdempotent, 60s);
    return fleet.sent.size();
  };
  CHECK(sentAfterLosses(config()) == 0);
  CHECK(sentAfterLosses(liveWeights()) > 2);
}

TEST_CASE("a hung server is ejected even if its listed load is low") {
  FakeFleet fleet(liveWeights());
  fleet.updateList(ServerListKind::persisted, {withWeight(1, 1), withWeight(2, 1), withWeight(3, 1)});
  for (int i = 0; i < 2000 && fleet.balancer.poolStatus(fleet.now).ejected == 0; ++i) {
    fleet.submit(kNonIdempotent);
    const bool hangs = fleet.last().server.value == 1;
    fleet.now += hangs ? 2s : 20ms;
    fleet.balancer.wake(fleet.now);
    fleet.end(fleet.last(), hangs ? Outcome::timeout : Outcome::completed);
  }
  CHECK(fleet.balancer.poolStatus(fleet.now).ejected == 1);
}
