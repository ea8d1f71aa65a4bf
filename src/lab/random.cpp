#include "lab/random.hpp"

#include <algorithm>
#include <cmath>

namespace rackroute::lab {
namespace {

constexpr double kParetoTail = 2.2;  // exponent; heavy-tailed with finite variance

}  // namespace

RandomEngine makeRandomEngine(std::uint64_t seed, Purpose purpose, std::uint64_t holder) {
  const auto low = [](std::uint64_t value) { return static_cast<std::uint32_t>(value); };
  std::seed_seq seeds{low(seed), low(seed >> 32U), static_cast<std::uint32_t>(purpose), low(holder),
                      low(holder >> 32U)};
  return RandomEngine(seeds);
}

double uniform01(RandomEngine& engine) { return std::generate_canonical<double, 53>(engine); }

double Distribution::draw(RandomEngine& engine) const {
  switch (shape) {
    case Shape::fixed:
      return mean;
    case Shape::uniform: {
      const double half = mean * std::min(spread * std::sqrt(3.0), 1.0);
      return std::uniform_real_distribution<double>(mean - half, mean + half)(engine);
    }
    case Shape::exponential:
      return std::exponential_distribution<double>(1 / mean)(engine);
    case Shape::lognormal: {
      const double variance = std::log(1 + spread * spread);
      return std::lognormal_distribution<double>(std::log(mean) - variance / 2, std::sqrt(variance))(engine);
    }
    case Shape::pareto:
      return mean * (kParetoTail - 1) / kParetoTail * std::pow(1 - uniform01(engine), -1 / kParetoTail);
  }
  return mean;
}

SkewedKeys::SkewedKeys(std::size_t count, double skew) {
  double sum = 0;
  for (std::size_t k = 0; k < count; ++k) sums_.push_back(sum += std::pow(static_cast<double>(k + 1), -skew));
}

std::size_t SkewedKeys::draw(RandomEngine& engine) const {
  const double at = uniform01(engine) * sums_.back();
  return static_cast<std::size_t>(std::upper_bound(sums_.begin(), sums_.end() - 1, at) - sums_.begin());
}

}  // namespace rackroute::lab
