#pragma once

// A measure over time. It owns fixed buckets that are used again in a ring, reads no clock and decides
// nothing.

#include <array>
#include <cstddef>
#include <cstdint>

#include "rackroute/terms.hpp"

namespace rackroute {

/// Sums over the last buckets of time; buckets are reused in a ring.
template <Span::rep length, std::size_t kCount>
class Buckets {
 public:
  void add(Span now, double value) {
    Bucket& bucket = buckets_[static_cast<std::size_t>(turn(now)) % kCount];
    if (bucket.turn != turn(now)) bucket = Bucket{turn(now), 0, 0};
    bucket.sum += value;
    ++bucket.count;
    total_.turn = -1;
  }
  [[nodiscard]] double count(Span now) const { return total(now).count; }
  [[nodiscard]] double mean(Span now, double otherwise) const {
    const Bucket& all = total(now);
    return all.count > 0 ? all.sum / all.count : otherwise;
  }

 private:
  struct Bucket {
    std::int64_t turn = -1;
    double sum = 0;
    double count = 0;
  };
  [[nodiscard]] static std::int64_t turn(Span now) { return now / Span{length}; }
  [[nodiscard]] const Bucket& total(Span now) const {
    if (total_.turn == turn(now)) return total_;
    total_ = Bucket{turn(now), 0, 0};
    for (const Bucket& bucket : buckets_) {
      if (bucket.turn < 0 || bucket.turn + static_cast<std::int64_t>(kCount) <= turn(now)) continue;
      total_.sum += bucket.sum;
      total_.count += bucket.count;
    }
    return total_;
  }

  std::array<Bucket, kCount> buckets_{};
  mutable Bucket total_;  // of the turn it names; large fleets read far more often than they add
};

}  // namespace rackroute
