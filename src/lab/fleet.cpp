#include "lab/fleet.hpp"

#include <algorithm>
#include <array>
#include <cmath>
#include <cstdio>
#include <numeric>

#include "terms/balancer_settings.hpp"

namespace rackroute::lab {
namespace {

constexpr std::uint32_t kServersPerCell = 4;  // servers of a zone that form a cell

std::size_t indexBySum(const std::vector<double>& sums, RandomEngine& engine) {
  const double at = uniform01(engine) * sums.back();
  return static_cast<std::size_t>(std::upper_bound(sums.begin(), sums.end() - 1, at) - sums.begin());
}

}  // namespace

std::vector<FleetServer> drawFleet(const Scenario& scenario, std::uint64_t seed) {
  RandomEngine engine = makeRandomEngine(seed, Purpose::fleet);
  std::vector<double> shares;
  double sum = 0;
  for (const ServerKind& kind : scenario.kinds) shares.push_back(sum += kind.share);
  std::vector<FleetServer> fleet;
  for (std::uint32_t i = 0; i < scenario.servers; ++i) {
    // Kinds are assigned by share and not at random, because small fleets would vary too much.
    const double at = (i + 0.5) / scenario.servers * sum;
    const auto kindAt = std::upper_bound(shares.begin(), shares.end() - 1, at) - shares.begin();
    const ServerKind& kind = scenario.kinds[static_cast<std::size_t>(kindAt)];
    FleetServer server;
    std::array<char, 24> name{};
    std::snprintf(name.data(), name.size(), "s-%08x", static_cast<unsigned>(engine() & 0xffffffffU));
    server.name = name.data();
    server.id = settings::serverId(server.name);
    server.zone = {i % scenario.zones};
    server.cell = {static_cast<std::int64_t>(i % scenario.zones) * 1000 +
                   i / scenario.zones / kServersPerCell};
    server.size = kind.cores;
    server.traits = scenario.traits;
    server.traits.cores = kind.cores;
    server.traits.speed = kind.speed * (1 + kind.speedSpread * (2 * uniform01(engine) - 1));
    server.traits.queue = static_cast<std::size_t>(kind.queuePerCore * kind.cores);
    fleet.push_back(server);
  }
  for (std::size_t no = 0; no < scenario.troubles.size(); ++no) {
    if (scenario.troubles[no].kind != TroubleKind::join) continue;
    for (const std::size_t affected : affectedServers(scenario, no, fleet, seed))
      fleet[affected].atStart = false;
  }
  return fleet;
}

std::vector<std::size_t> affectedServers(const Scenario& scenario, std::size_t no,
                                         const std::vector<FleetServer>& fleet, std::uint64_t seed) {
  const Trouble& trouble = scenario.troubles[no];
  std::vector<std::size_t> indexes;
  for (std::size_t i = 0; i < fleet.size(); ++i) {
    if (trouble.kind != TroubleKind::zoneLost || fleet[i].zone.value == trouble.zone) indexes.push_back(i);
  }
  if (trouble.kind == TroubleKind::zoneLost) return indexes;
  RandomEngine engine = makeRandomEngine(seed, Purpose::troubles, no);
  const auto count = static_cast<std::size_t>(std::llround(trouble.part * static_cast<double>(fleet.size())));
  for (std::size_t i = 0; i < std::min(count, indexes.size()); ++i) {
    std::uniform_int_distribution<std::size_t> rest(i, indexes.size() - 1);
    std::swap(indexes[i], indexes[rest(engine)]);
  }
  indexes.resize(std::min(std::max<std::size_t>(count, 1), indexes.size()));
  std::sort(indexes.begin(), indexes.end());
  return indexes;
}

Clients::Clients(const Scenario& scenario, std::uint64_t seed)
    : scenario_(scenario),
      arrivals_(makeRandomEngine(seed, Purpose::arrivals)),
      clients_(makeRandomEngine(seed, Purpose::clients)),
      mean_(scenario.queriesPerSecond()) {
  double sum = 0;
  for (const UseCasePlan& plan : scenario.useCases) useCases_.push_back(sum += plan.share);
  sum = 0;
  for (std::uint32_t i = 0; i < scenario.balancers; ++i)
    balancers_.push_back(sum += std::pow(i + 1.0, -scenario.skew));
  if (scenario.keys > 0) keys_.emplace(scenario.keys, scenario.keySkew);
}

double Clients::rate(Span at) const {
  double rate = mean_;
  if (scenario_.arrivals == Arrivals::bursts && at % scenario_.burstEvery < scenario_.burstLength)
    rate *= scenario_.burstSize;
  if (scenario_.arrivals == Arrivals::ramp)
    rate *= 1 + (scenario_.burstSize - 1) * seconds(at) / seconds(scenario_.length);
  for (const Trouble& trouble : scenario_.troubles) {
    if (trouble.kind == TroubleKind::burst && at >= trouble.at && at < trouble.at + trouble.length)
      rate *= trouble.size;
  }
  return rate;
}

std::optional<ClientRequest> Clients::next() {
  const double now = std::max(rate(at_), 1e-3);
  const double gap = scenario_.arrivals == Arrivals::steady
                         ? 1 / now
                         : std::exponential_distribution<double>(now)(arrivals_);
  // Advances in steps of at most 100 ms, so that a burst that begins within a long gap is not missed.
  constexpr Span step = std::chrono::milliseconds(100);
  Span left = span(gap);
  while (left > step) {
    const double before = rate(at_);
    at_ += step;
    left = span(seconds(left - step) * before / std::max(rate(at_), 1e-3));
    if (at_ >= scenario_.length) return std::nullopt;
  }
  at_ += left;
  if (at_ >= scenario_.length) return std::nullopt;
  ClientRequest request;
  request.number = ++number_;
  request.at = at_;
  request.useCase = static_cast<std::uint32_t>(indexBySum(useCases_, arrivals_));
  request.balancer = static_cast<std::uint32_t>(indexBySum(balancers_, arrivals_));
  request.work = scenario_.useCases[request.useCase].work.draw(arrivals_);
  if (keys_) request.key = keys_->draw(arrivals_);
  request.honorsRetryAfter = uniform01(clients_) < scenario_.honorsRetryAfter;
  if (uniform01(clients_) < scenario_.disconnects) request.disconnectsAfter = uniform01(clients_);
  request.spread = 0.5 + uniform01(clients_);
  return request;
}

}  // namespace rackroute::lab
