#pragma once

// Limits the retries and hedged requests that one process adds to a service's load. The fleet-wide allowance
// is a ratio of the requests plus a fixed number per window; every process enforces its own share of both
// locally, so the limit holds without coordination.

#include <algorithm>
#include <cstdint>

#include "mesh/names.hpp"

namespace rackroute::mesh {

struct RetryAllowance {
  double ratio = 0;  // retries per request
  double slack = 0;  // additional retries per window for the whole fleet
  Span window{};
};

/// A token bucket that is filled by requests and by elapsed time.
class RetryBudget {
 public:
  /// processes: number of processes that share the slack.
  void configure(const RetryAllowance& all, std::size_t processes) {
    // One third of the ratio is reserved for re-execution of repeated calls, which cannot be refused one by
    // one, and another third for sliding windows that span two counting periods.
    ratio_ = all.ratio / 3;
    capacity_ = all.slack / 2 / static_cast<double>(std::max<std::size_t>(processes, 1));
    tokens_ = std::min(tokens_, capacity_);
    refillRate_ =
        all.window > Span{0} ? capacity_ / 2 / std::chrono::duration<double>(all.window).count() : 0;
  }
  void onRequest(Span now) {
    refill(now);
    tokens_ = std::min(capacity_, tokens_ + ratio_);
  }
  /// Takes one token. False: none is available.
  bool tryTake(Span now) {
    refill(now);
    if (tokens_ < 1) return false;
    tokens_ -= 1;
    return true;
  }
  [[nodiscard]] double available() const { return tokens_; }

 private:
  void refill(Span now) {
    const double seconds = std::chrono::duration<double>(now - refilledAt_).count();
    refilledAt_ = now;
    if (seconds > 0) tokens_ = std::min(capacity_, tokens_ + seconds * refillRate_);
  }
  double ratio_ = 0;
  double capacity_ = 0;
  double refillRate_ = 0;  // tokens per second
  double tokens_ = 0;
  Span refilledAt_{};
};

}  // namespace rackroute::mesh
