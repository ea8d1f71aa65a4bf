#include "lab/fleet.hpp"

#include <algorithm>
#include <array>
#include <cmath>
#include <cstdio>
#include <numeric>

#include "terms/balancer_settings.hpp"

namespace rackroute::lab {
namespace {

constexpr std::uint32_t kCell = 4;  // servers of a zone that share what they know of keys

std::size_t placeIn(const std::vector<double>& sums, Chance& chance) {
  const double at = fraction(chance) * sums.back();
  return static_cast<std::size_t>(std::upper_bound(sums.begin(), sums.end() - 1, at) - sums.begin());
}

}  // namespace

std::vector<FleetServer> drawFleet(const Scenario& scenario, std::uint64_t seed) {
  Chance chance = chanceOf(seed, Purpose::fleet);
  std::vector<double> shares;
  double sum = 0;
  for (const ServerKind& kind : scenario.kinds) shares.push_back(sum += kind.share);
  std::vector<FleetServer> fleet;
  for (std::uint32_t i = 0; i < scenario.servers; ++i) {
    // Kinds by their shares, not by chance: small fleets would differ too much.
    const double at = (i + 0.5) / scenario.servers * sum;
    const auto kindAt = std::upper_bound(shares.begin(), shares.end() - 1, at) - shares.begin();
    const ServerKind& kind = scenario.kinds[static_cast<std::size_t>(kindAt)];
    FleetServer server;
    std::array<char, 24> name{};
    std::snprintf(name.data(), name.size(), "s-%08x", static_cast<unsigned>(chance() & 0xffffffffU));
    server.name = name.data();
    server.id = settings::serverId(server.name);
    server.zone = {i % scenario.zones};
    server.cell = {static_cast<std::int64_t>(i % scenario.zones) * 1000 + i / scenario.zones / kCell};
    server.size = kind.cores;
    server.traits = scenario.traits;
    server.traits.cores = kind.cores;
    server.traits.speed = kind.speed * (1 + kind.speedSpread * (2 * fraction(chance) - 1));
    server.traits.queue = static_cast<std::size_t>(kind.queuePerCore * kind.cores);
    fleet.push_back(server);
  }
  for (std::size_t no = 0; no < scenario.troubles.size(); ++no) {
    if (scenario.troubles[no].kind != TroubleKind::join) continue;
    for (const std::size_t hit : hitBy(scenario, no, fleet, seed)) fleet[hit].atStart = false;
  }
  return fleet;
}

std::vector<std::size_t> hitBy(const Scenario& scenario, std::size_t no,
                               const std::vector<FleetServer>& fleet, std::uint64_t seed) {
  const Trouble& trouble = scenario.troubles[no];
  std::vector<std::size_t> places;
  for (std::size_t i = 0; i < fleet.size(); ++i) {
    if (trouble.kind != TroubleKind::zoneLost || fleet[i].zone.value == trouble.zone) places.push_back(i);
  }
  if (trouble.kind == TroubleKind::zoneLost) return places;
  Chance chance = chanceOf(seed, Purpose::troubles, no);
  const auto count = static_cast<std::size_t>(std::llround(trouble.part * static_cast<double>(fleet.size())));
  for (std::size_t i = 0; i < std::min(count, places.size()); ++i) {
    std::uniform_int_distribution<std::size_t> rest(i, places.size() - 1);
    std::swap(places[i], places[rest(chance)]);
  }
  places.resize(std::min(std::max<std::size_t>(count, 1), places.size()));
  std::sort(places.begin(), places.end());
  return places;
}

Clients::Clients(const Scenario& scenario, std::uint64_t seed)
    : scenario_(scenario),
      arrivals_(chanceOf(seed, Purpose::arrivals)),
      clients_(chanceOf(seed, Purpose::clients)),
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

std::optional<Ask> Clients::next() {
  const double now = std::max(rate(at_), 1e-3);
  const double gap = scenario_.arrivals == Arrivals::steady
                         ? 1 / now
                         : std::exponential_distribution<double>(now)(arrivals_);
  // Guards against a burst that begins within a long gap of a quiet fleet: no step is longer than a tenth.
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
  Ask ask;
  ask.number = ++number_;
  ask.at = at_;
  ask.useCase = static_cast<std::uint32_t>(placeIn(useCases_, arrivals_));
  ask.balancer = static_cast<std::uint32_t>(placeIn(balancers_, arrivals_));
  ask.work = scenario_.useCases[ask.useCase].work.draw(arrivals_);
  if (keys_) ask.key = keys_->draw(arrivals_);
  ask.obeys = fraction(clients_) < scenario_.obeysAdvice;
  if (fraction(clients_) < scenario_.leaves) ask.leavesAfter = fraction(clients_);
  ask.spread = 0.5 + fraction(clients_);
  return ask;
}

}  // namespace rackroute::lab
