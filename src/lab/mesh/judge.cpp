#include "lab/mesh/judge.hpp"

#include <algorithm>

namespace rackroute::lab::mesh {

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
