#pragma once

// Random numbers for the lab. Each purpose has its own stream, so that draws of one component do not affect
// another and every policy faces the same queries.

#include <cstdint>
#include <random>
#include <string_view>
#include <vector>

#include "rackroute/types.hpp"

namespace rackroute::lab {

using RandomEngine = std::mt19937_64;

enum class Purpose : std::uint32_t { arrivals, fleet, network, troubles, clients, policy };

/// The stream of a purpose and, where several objects need their own, of one holder.
RandomEngine makeRandomEngine(std::uint64_t seed, Purpose purpose, std::uint64_t holder = 0);

/// Uniform in [0, 1).
double uniform01(RandomEngine& engine);

enum class Shape { fixed, uniform, exponential, lognormal, pareto };

/// A distribution with a given mean; spread applies to lognormal and uniform only.
struct Distribution {
  Shape shape = Shape::exponential;
  double mean = 1;
  double spread = 1;  // coefficient of variation
  double draw(RandomEngine& engine) const;
};

/// Zipf-distributed keys 0 to count - 1: key k has weight 1 / (k + 1)^skew.
class SkewedKeys {
 public:
  SkewedKeys(std::size_t count, double skew);
  std::size_t draw(RandomEngine& engine) const;

 private:
  std::vector<double> sums_;
};

inline double seconds(Span span) { return std::chrono::duration<double>(span).count(); }
inline Span span(double seconds) { return Span{static_cast<Span::rep>(seconds * 1e6 + 0.5)}; }

}  // namespace rackroute::lab
