#pragma once

// A rolling time window of a measured value: a ring of fixed-length buckets that hold sums and counts.

#include <array>
#include <cstddef>
#include <cstdint>

#include "rackroute/types.hpp"

namespace rackroute {

/// Count and mean of the values added during the last kCount buckets of `length` microseconds each.
template <Span::rep length, std::size_t kCount>
class RollingWindow {
 public:
  void add(Span now, double value) {
    Bucket& bucket = buckets_[static_cast<std::size_t>(period(now)) % kCount];
    if (bucket.period != period(now)) bucket = Bucket{period(now), 0, 0};
    bucket.sum += value;
    ++bucket.count;
    total_.period = -1;
  }
  [[nodiscard]] double count(Span now) const { return total(now).count; }
  [[nodiscard]] double mean(Span now, double fallback) const {
    const Bucket& all = total(now);
    return all.count > 0 ? all.sum / all.count : fallback;
  }

 private:
  struct Bucket {
    std::int64_t period = -1;
    double sum = 0;
    double count = 0;
  };
  [[nodiscard]] static std::int64_t period(Span now) { return now / Span{length}; }
  [[nodiscard]] const Bucket& total(Span now) const {
    if (total_.period == period(now)) return total_;
    total_ = Bucket{period(now), 0, 0};
    for (const Bucket& bucket : buckets_) {
      if (bucket.period < 0 || bucket.period + static_cast<std::int64_t>(kCount) <= period(now)) continue;
      total_.sum += bucket.sum;
      total_.count += bucket.count;
    }
    return total_;
  }

  std::array<Bucket, kCount> buckets_{};
  mutable Bucket total_;  // cached until the period ends or a value is added
};

}  // namespace rackroute
