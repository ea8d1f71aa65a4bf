#pragma once

// When a stopping process must exit, so that it is not killed at the end of its grace period. A busy machine
// runs timers late, handles the signal late and exits late, so part of the grace period is reserved according
// to how late the event loop runs as a rule. A single stall, such as a freeze of the machine, does not count:
// it is over, and exiting early would cut off requests at work. No I/O, no clock.

#include <algorithm>
#include <array>
#include <chrono>
#include <cstddef>
#include <optional>

#include "rackroute/types.hpp"

namespace rackroute::mesh {

class ShutdownDeadline {
 public:
  /// grace: time from the stop signal until the process is killed.
  explicit ShutdownDeadline(Span grace) : grace_(grace) {}

  /// An event loop timer ran late by this much.
  void recordLateness(Span now, Span lateBy) {
    // A timer that was due before the previous one ran is late because of the same turn of the loop.
    const bool sameTurn = lastTimerAt_ && now - lateBy < *lastTimerAt_;
    if (!sameTurn) {
      newest_ = (newest_ + 1) % kTurns;
      latenessOfTurns_[newest_] = Span{0};
    }
    latenessOfTurns_[newest_] = std::max(latenessOfTurns_[newest_], lateBy);
    lastTimerAt_ = now;
    lastTimerDue_ = now - lateBy;
  }
  /// The stop signal was handled. It may have been sent earlier by as much as the loop is late.
  void start(Span now) {
    startedAt_ = now;
    requestedAt_ = now - lateness();
    // The signal would have been handled with the last timer if it had arrived before, unless it is handled
    // in the same turn.
    earliestRequestAt_ =
        std::min(requestedAt_, lastTimerAt_ == now ? lastTimerDue_ : lastTimerAt_.value_or(now));
  }
  [[nodiscard]] bool stopping() const { return startedAt_ != Span::max(); }
  /// When to exit. At least half of the grace period is used, counted from when the signal was handled.
  [[nodiscard]] Span exitAt() const { return std::max(startedAt_ + grace_ / 2, requestedAt_ + usable()); }
  /// The latest end of a request that is accepted now: its response must still be sent before this process
  /// exits, or is killed. The latter may come before exitAt() if the loop stalled while the signal arrived,
  /// so the earliest possible time of the signal counts here.
  [[nodiscard]] Span latestEnd() const { return earliestRequestAt_ + usable() - kResponseMargin; }
  /// Whether to accept a request with the given typical and maximum durations. In the first half of the grace
  /// period the typical duration must fit; going by the client's timeout would reject all requests with long
  /// timeouts. In the second half the maximum must fit, so that no accepted request is cut off.
  [[nodiscard]] bool accepts(Span now, Span typical, Span maximum) const {
    if (!stopping()) return true;
    const bool firstHalf = now < earliestRequestAt_ + grace_ / 2 - kHalfMargin;
    return now + (firstHalf ? typical : maximum) <= latestEnd();
  }
  /// How late timers run as a rule: the median of the last turns of the loop in which timers were due.
  [[nodiscard]] Span lateness() const {
    auto sorted = latenessOfTurns_;
    std::sort(sorted.begin(), sorted.end());
    return sorted[kTurns / 2];
  }

 private:
  /// The part of the grace period before the exit.
  [[nodiscard]] Span usable() const {
    return grace_ - std::max({kMinReserve, grace_ / kReserveShare, kLatenessFactor * lateness()});
  }

  static constexpr std::size_t kTurns = 5;
  static constexpr Span kMinReserve = std::chrono::milliseconds(400);      // of the grace period
  static constexpr Span kResponseMargin = std::chrono::milliseconds(150);  // for the response to be sent
  static constexpr Span kHalfMargin = std::chrono::milliseconds(400);      // maximum delay from a client
  static constexpr int kReserveShare =
      8;  // 1/n of the grace period, if that is more: a pass over many sockets
  /// Times the lateness is reserved: for the last loop iteration and the exit.
  static constexpr int kLatenessFactor = 2;

  Span grace_;
  Span startedAt_ = Span::max();
  Span requestedAt_{};        // estimated from the usual lateness
  Span earliestRequestAt_{};  // lower bound
  std::optional<Span> lastTimerAt_;
  Span lastTimerDue_{};
  std::array<Span, kTurns> latenessOfTurns_{};
  std::size_t newest_ = 0;
};

}  // namespace rackroute::mesh
