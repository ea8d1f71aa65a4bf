#pragma once

// Event queue and clock of a virtual run. Events run in order of their time; events of the same time run in
// the order in which they were scheduled. Never reads the system clock.

#include <algorithm>
#include <cstdint>
#include <functional>
#include <utility>
#include <vector>

#include "rackroute/types.hpp"

namespace rackroute::lab {

class Timeline {
 public:
  using Task = std::function<void()>;

  [[nodiscard]] Span now() const { return now_; }
  /// Schedules a task; a time in the past means as soon as possible.
  void at(Span time, Task task) {
    heap_.push_back({std::max(time, now_), next_++, std::move(task)});
    std::push_heap(heap_.begin(), heap_.end(), later);
  }
  void in(Span wait, Task task) { at(now_ + wait, std::move(task)); }
  /// Runs the next task if it is due by then; false if there is none.
  bool step(Span until) {
    if (heap_.empty() || heap_.front().time > until) return false;
    std::pop_heap(heap_.begin(), heap_.end(), later);
    const Entry entry = std::move(heap_.back());
    heap_.pop_back();
    now_ = entry.time;
    ++done_;
    entry.task();
    return true;
  }
  [[nodiscard]] std::uint64_t done() const { return done_; }

 private:
  struct Entry {
    Span time;
    std::uint64_t order;
    Task task;
  };
  static bool later(const Entry& a, const Entry& b) {
    return a.time != b.time ? a.time > b.time : a.order > b.order;
  }
  std::vector<Entry> heap_;
  Span now_{};
  std::uint64_t next_ = 0;
  std::uint64_t done_ = 0;
};

}  // namespace rackroute::lab
