#pragma once

// Chance for the lab: one stream for each purpose, so that what one part draws never shifts another's draws
// and every policy meets the same queries. Distributions are the standard library's.

#include <cstdint>
#include <random>
#include <string_view>
#include <vector>

#include "rackroute/types.hpp"

namespace rackroute::lab {

using Chance = std::mt19937_64;

enum class Purpose : std::uint32_t { arrivals, fleet, network, troubles, clients, policy };

/// The stream of one purpose, and of one holder of it.
Chance chanceOf(std::uint64_t seed, Purpose purpose, std::uint64_t holder = 0);

/// Of 1.
double fraction(Chance& chance);

enum class Shape { fixed, uniform, exponential, lognormal, pareto };

/// A distribution by name, with its mean; the spread counts for lognormal and uniform only.
struct Distribution {
  Shape shape = Shape::exponential;
  double mean = 1;
  double spread = 1;  // coefficient of variation
  double draw(Chance& chance) const;
};

/// Keys 0 to count - 1, the first the most popular: key k with weight 1 / (k + 1)^skew.
class SkewedKeys {
 public:
  SkewedKeys(std::size_t count, double skew);
  std::size_t draw(Chance& chance) const;

 private:
  std::vector<double> sums_;
};

inline double seconds(Span span) { return std::chrono::duration<double>(span).count(); }
inline Span span(double seconds) { return Span{static_cast<Span::rep>(seconds * 1e6 + 0.5)}; }

}  // namespace rackroute::lab
