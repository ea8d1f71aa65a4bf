#pragma once

// What one process may add to a service's load by further tries. The whole fleet's allowance is a ratio of
// the requests and a slack in every window; each process takes a part of both that holds whatever it hears.
// It owns its counts, and must never give out more than its part.

#include <algorithm>
#include <cstdint>

#include "mesh/names.hpp"

namespace rackroute::mesh {

struct Allowance {
  double ratio = 0;  // further arrivals for each request
  double slack = 0;  // beyond that, of the whole fleet in a window
  Span window{};
};

class RetryBudget {
 public:
  /// processes: how many share the slack.
  void share(const Allowance& all, std::size_t processes) {
    // A third of the ratio is kept back for calls that a repeated run makes again, which nobody can refuse
    // one by one, and another third for windows that slide over the edge of a count.
    ratio_ = all.ratio / 3;
    most_ = all.slack / 2 / static_cast<double>(std::max<std::size_t>(processes, 1));
    held_ = std::min(held_, most_);
    gain_ = all.window > Span{0} ? most_ / 2 / std::chrono::duration<double>(all.window).count() : 0;
  }
  void request(Span now) {
    refill(now);
    held_ = std::min(most_, held_ + ratio_);
  }
  /// Takes one, if there is one.
  bool take(Span now) {
    refill(now);
    if (held_ < 1) return false;
    held_ -= 1;
    return true;
  }
  [[nodiscard]] double held() const { return held_; }

 private:
  void refill(Span now) {
    const double seconds = std::chrono::duration<double>(now - at_).count();
    at_ = now;
    if (seconds > 0) held_ = std::min(most_, held_ + seconds * gain_);
  }
  double ratio_ = 0;
  double most_ = 0;
  double gain_ = 0;  // a second
  double held_ = 0;
  Span at_{};
};

}  // namespace rackroute::mesh
