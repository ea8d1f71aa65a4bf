#pragma once

// Virtual time: what is to happen, in the order of its time and, at the same time, in the order it was asked
// for. It owns the clock of a virtual run and nothing else; it must never look at the machine's.

#include <algorithm>
#include <cstdint>
#include <functional>
#include <utility>
#include <vector>

#include "rackroute/types.hpp"

namespace rackroute::lab {

class Timeline {
 public:
  using Deed = std::function<void()>;

  [[nodiscard]] Span now() const { return now_; }
  /// What lies in the past happens next.
  void at(Span time, Deed deed) {
    heap_.push_back({std::max(time, now_), next_++, std::move(deed)});
    std::push_heap(heap_.begin(), heap_.end(), later);
  }
  void in(Span wait, Deed deed) { at(now_ + wait, std::move(deed)); }
  /// Does the next thing, if there is one up to then.
  bool step(Span until) {
    if (heap_.empty() || heap_.front().time > until) return false;
    std::pop_heap(heap_.begin(), heap_.end(), later);
    const Entry entry = std::move(heap_.back());
    heap_.pop_back();
    now_ = entry.time;
    ++done_;
    entry.deed();
    return true;
  }
  [[nodiscard]] std::uint64_t done() const { return done_; }

 private:
  struct Entry {
    Span time;
    std::uint64_t order;
    Deed deed;
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
