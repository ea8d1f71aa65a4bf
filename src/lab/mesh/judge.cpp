#include "lab/mesh/judge.hpp"

#include <algorithm>

namespace rackroute::lab::mesh {
namespace {

constexpr Span kGoneAfter = std::chrono::milliseconds(500);  // after a client left, nobody works for it
constexpr std::uint64_t kFewGone = 5;                        // requests that may begin all the same
constexpr std::uint64_t kGonePart = 4;                       // one part in so many may still be at work

}  // namespace

void Judge::left(Span now, std::uint64_t attempt) { attempts_[attempt].leftAt = now; }

void Judge::worked(Span now, std::uint64_t attempt, Span notWorked) {
  const Attempt& made = attempts_[attempt];
  if (made.sort != Sort::pure || made.leftAt == Span::max()) return;
  const Span bound = made.leftAt + kGoneAfter;
  if (now + notWorked <= bound) return;
  ++abandoned_.mayHaveBeen;
  if (now > bound) ++abandoned_.atWork;
}

void Judge::sent(Span now, std::uint64_t attempt, Sort sort, const std::string& key, int service) {
  Attempt& made = attempts_[attempt];
  made.sort = sort;
  made.key = key;
  made.service = service;
  ++asked_;
  requests_[service].push_back(now);
  if (sort == Sort::keyed) keys_.try_emplace(key, Key{now, 0});
}

void Judge::arrived(Span now, std::uint64_t attempt, int service) {
  if (++attempts_[attempt].arrivals > 1) further_[service].push_back(now);
}

void Judge::ran(Span now, std::uint64_t attempt, int service, std::uint64_t seal, Span drainAcked) {
  ++runs_;
  const auto found = attempts_.find(attempt);
  if (found == attempts_.end() || found->second.service != service)
    return failed(now, "ROUTE",
                  "attempt " + std::to_string(attempt) + " ran at service " + std::to_string(service));
  Attempt& made = found->second;
  ++made.ran;
  made.seals.insert(seal);
  if (made.sort != Sort::keyed && made.leftAt != Span::max() && now > made.leftAt + kGoneAfter)
    ++abandoned_.begun;
  if (made.sort != Sort::pure && made.ran > 1) failed(now, "TWICE", "attempt " + std::to_string(attempt));
  if (made.sort != Sort::pure && made.promised) failed(now, "REFUSED", "attempt " + std::to_string(attempt));
  if (drainAcked >= Span{0} && now > drainAcked + bounds_.drain)
    failed(now, "DRAIN", "attempt " + std::to_string(attempt));
  if (made.sort != Sort::keyed) return;
  Key& key = keys_[made.key];
  if (key.firstSeal == 0) {
    key.firstSeal = seal;
  } else if (now < key.firstSent + bounds_.keyWindow) {
    failed(now, "TWICE", "key " + made.key);
  }
}

void Judge::answered(Span now, std::uint64_t attempt, std::uint32_t status, std::uint64_t seal) {
  ++statuses_[status];
  Attempt& made = attempts_[attempt];
  const bool promise = status == 503 || status == 429 || status == 408 || status == 421;
  if (promise && made.sort != Sort::pure && made.ran > 0)
    failed(now, "REFUSED",
           "attempt " + std::to_string(attempt) + " ran and was answered " + std::to_string(status));
  made.promised = made.promised || promise;
  if (status != 200) return;
  ++served_;
  if (made.sort != Sort::keyed) {
    if (made.seals.count(seal) == 0) failed(now, "MIXED", "attempt " + std::to_string(attempt));
    return;
  }
  if (made.ran == 0) ++repeats_;
  if (keys_[made.key].firstSeal != seal) failed(now, "MIXED", "key " + made.key);
}

void Judge::used(Span now, std::uint32_t sidecar, std::uint64_t life, std::uint64_t generation,
                 std::uint64_t least) {
  auto& [heldLife, held] = inForce_[sidecar];
  if (heldLife == life && generation < held)
    failed(now, "CONFIG",
           "sidecar " + std::to_string(sidecar) + " went back from " + std::to_string(held) + " to " +
               std::to_string(generation));
  if (generation < least)
    failed(now, "CONFIG",
           "sidecar " + std::to_string(sidecar) + " uses " + std::to_string(generation) + ", " +
               std::to_string(least) + " is in force");
  heldLife = life;
  held = generation;
}

void Judge::end() {
  if (abandoned_.begun > kFewGone)
    failed({}, "GONE", std::to_string(abandoned_.begun) + " requests began after their clients had left");
  if (abandoned_.atWork * kGonePart > abandoned_.mayHaveBeen)
    failed({}, "GONE",
           "of " + std::to_string(abandoned_.mayHaveBeen) + " runs for clients that had left " +
               std::to_string(abandoned_.atWork) + " went on");
  for (const auto& [service, further] : further_) {
    const std::vector<Span>& all = requests_[service];
    const auto within = [&](const std::vector<Span>& times, Span from, Span to) {
      return std::upper_bound(times.begin(), times.end(), to) -
             std::lower_bound(times.begin(), times.end(), from);
    };
    for (const Span at : further) {
      const Span from = at - bounds_.retryWindow;
      const Span half = bounds_.retryWindow / 2;
      const auto most = std::max({within(all, from, at), within(all, from - bounds_.retryWindow, from),
                                  within(all, from - half, at - half)});
      const double may = bounds_.retryRatio * static_cast<double>(most) + bounds_.retrySlack;
      if (static_cast<double>(within(further, from, at)) <= may) continue;
      failed(at, "BUDGET", "service " + std::to_string(service));
      break;
    }
  }
}

}  // namespace rackroute::lab::mesh
