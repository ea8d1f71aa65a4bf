#pragma once

// When a process that was told to stop must have ended by itself. A busy or slowed machine runs its loop's
// timers late, reads the signal late and ends late by as much again; what was measured of that is kept back
// from the grace. No I/O, no clock.

#include <algorithm>
#include <chrono>

#include "rackroute/types.hpp"

namespace rackroute::mesh {

class ShutdownDeadline {
 public:
  /// grace: from the call to stop until the process is killed.
  explicit ShutdownDeadline(Span grace) : grace_(grace) {}

  /// A timer of the loop ran this much after it was due.
  void ranLate(Span now, Span late) {
    if (now - begun_ >= kWindow) {
      before_ = now - begun_ < 2 * kWindow ? latest_ : Span{0};
      latest_ = Span{0};
      begun_ = now;
    }
    latest_ = std::max(latest_, late);
  }
  /// The call to stop was read; it may have come as long ago as the loop is late.
  void stop(Span now) {
    readAt_ = now;
    calledAt_ = now - lateness();
  }
  [[nodiscard]] bool stopping() const { return readAt_ != Span::max(); }
  /// Half of the grace is served out in any case, from when the call was read.
  [[nodiscard]] Span endAt() const {
    const Span kept = std::max({kLeastKept, grace_ / kKeptPart, kLatenessKept * lateness()});
    return std::max(readAt_ + grace_ / 2, calledAt_ + grace_ - kept);
  }
  /// Whether a request may be taken that usually lasts so long, and at the most so long. In the first half of
  /// the grace what is usual counts, not how long its client would wait: that would turn away a machine's
  /// long look-ups for as long as it was sent any; what takes longer has been at work for half of the grace
  /// by then. Later only what surely ends in time may be taken.
  [[nodiscard]] bool takes(Span now, Span usual, Span longest) const {
    if (!stopping()) return true;
    const bool firstHalf = now < calledAt_ + grace_ / 2 - kHalfMargin;
    return now + (firstHalf ? usual : longest) + kLastAnswer <= endAt();
  }
  /// The most that a timer was late in the last one to two windows.
  [[nodiscard]] Span lateness() const { return std::max(latest_, before_); }

 private:
  static constexpr Span kWindow = std::chrono::seconds(2);
  static constexpr Span kLeastKept = std::chrono::milliseconds(400);  // of the grace, to end by itself
  static constexpr Span kLastAnswer =
      std::chrono::milliseconds(150);  // for an answer to leave, before the end
  static constexpr Span kHalfMargin = std::chrono::milliseconds(400);  // a client's way to here, at its worst
  static constexpr int kKeptPart = 8;  // one part in so many, where that is more: a pass over many sockets
  static constexpr int kLatenessKept = 3;  // times the lateness: for a pass under way, the last, and the exit

  Span grace_;
  Span readAt_ = Span::max();
  Span calledAt_{};
  Span begun_{};  // of the window
  Span latest_{};
  Span before_{};  // in the window before it
};

}  // namespace rackroute::mesh
