#pragma once

// When a stopping process must exit, so that it is not killed at the end of its grace period. A busy machine
// runs timers late, handles the signal late and exits late, so part of the grace period is reserved according
// to the observed timer lateness. No I/O, no clock.

#include <algorithm>
#include <chrono>

#include "rackroute/types.hpp"

namespace rackroute::mesh {

class ShutdownDeadline {
 public:
  /// grace: time from the stop signal until the process is killed.
  explicit ShutdownDeadline(Span grace) : grace_(grace) {}

  /// An event loop timer ran late by this much.
  void recordLateness(Span now, Span lateBy) {
    if (now - windowStart_ >= kWindow) {
      previousMax_ = now - windowStart_ < 2 * kWindow ? currentMax_ : Span{0};
      currentMax_ = Span{0};
      windowStart_ = now;
    }
    currentMax_ = std::max(currentMax_, lateBy);
  }
  /// The stop signal was handled. It may have been sent earlier by as much as the loop is late.
  void start(Span now) {
    startedAt_ = now;
    requestedAt_ = now - lateness();
  }
  [[nodiscard]] bool stopping() const { return startedAt_ != Span::max(); }
  /// When to exit. At least half of the grace period is used, counted from when the signal was handled.
  [[nodiscard]] Span exitAt() const {
    const Span reserve = std::max({kMinReserve, grace_ / kReserveShare, kLatenessFactor * lateness()});
    return std::max(startedAt_ + grace_ / 2, requestedAt_ + grace_ - reserve);
  }
  /// Whether to accept a request with the given typical and maximum durations. In the first half of the grace
  /// period the typical duration must fit; going by the client's timeout would reject all requests with long
  /// timeouts. In the second half the maximum must fit, so that no accepted request is cut off.
  [[nodiscard]] bool accepts(Span now, Span typical, Span maximum) const {
    if (!stopping()) return true;
    const bool firstHalf = now < requestedAt_ + grace_ / 2 - kHalfMargin;
    return now + (firstHalf ? typical : maximum) + kResponseMargin <= exitAt();
  }
  /// The maximum timer lateness in the last one to two windows.
  [[nodiscard]] Span lateness() const { return std::max(currentMax_, previousMax_); }

 private:
  static constexpr Span kWindow = std::chrono::seconds(2);
  static constexpr Span kMinReserve = std::chrono::milliseconds(400);      // of the grace period
  static constexpr Span kResponseMargin = std::chrono::milliseconds(150);  // for the response to be sent
  static constexpr Span kHalfMargin = std::chrono::milliseconds(400);      // maximum delay from a client
  static constexpr int kReserveShare = 8;  // 1/n of the grace period is reserved, if that is more
  /// Times the lateness is reserved: for the current and the last loop iteration, and the exit.
  static constexpr int kLatenessFactor = 3;

  Span grace_;
  Span startedAt_ = Span::max();
  Span requestedAt_{};
  Span windowStart_{};
  Span currentMax_{};
  Span previousMax_{};  // of the previous window
};

}  // namespace rackroute::mesh
