#include "lab/mesh/judge.hpp"

#include <algorithm>

namespace rackroute::lab::mesh {
namespace {

constexpr Span kCancelTime =
    std::chrono::milliseconds(500);                   // from a disconnect until its request must be cancelled
constexpr std::uint64_t kMaxLateStarts = 5;           // starts tolerated after that time
constexpr std::uint64_t kMaxStillRunningDivisor = 4;  // one in so many may still be running

}  // namespace

void Judge::clientDisconnected(Span now, std::uint64_t attempt) { attempts_[attempt].disconnectedAt = now; }

void Judge::executionFinished(Span now, std::uint64_t attempt, Span remaining) {
  const Attempt& record = attempts_[attempt];
  if (record.kind != RequestKind::pure || record.disconnectedAt == Span::max()) return;
  const Span bound = record.disconnectedAt + kCancelTime;
  if (now + remaining <= bound) return;
  ++abandoned_.total;
  if (now > bound) ++abandoned_.stillRunning;
}

void Judge::requestSent(Span now, std::uint64_t attempt, RequestKind kind, const std::string& key,
                        int service) {
  Attempt& record = attempts_[attempt];
  record.kind = kind;
  record.key = key;
  record.service = service;
  ++requestCount_;
  requests_[service].push_back(now);
  if (kind == RequestKind::keyed) keys_.try_emplace(key, Key{now, 0});
}

void Judge::requestArrived(Span now, std::uint64_t attempt, int service) {
  if (++attempts_[attempt].arrivals > 1) retries_[service].push_back(now);
}

void Judge::executionStarted(Span now, std::uint64_t attempt, int service, std::uint64_t seal,
                             Span drainAckedAt) {
  ++executions_;
  const auto found = attempts_.find(attempt);
  if (found == attempts_.end() || found->second.service != service)
    return reportViolation(
        now, "ROUTE",
        "attempt " + std::to_string(attempt) + " was executed at service " + std::to_string(service));
  Attempt& record = found->second;
  ++record.executions;
  record.seals.insert(seal);
  if (record.kind != RequestKind::keyed && record.disconnectedAt != Span::max() &&
      now > record.disconnectedAt + kCancelTime)
    ++abandoned_.started;
  if (record.kind != RequestKind::pure && record.executions > 1)
    reportViolation(now, "TWICE", "attempt " + std::to_string(attempt));
  if (record.kind != RequestKind::pure && record.refused)
    reportViolation(now, "REFUSED", "attempt " + std::to_string(attempt));
  if (drainAckedAt >= Span{0} && now > drainAckedAt + bounds_.drain)
    reportViolation(now, "DRAIN", "attempt " + std::to_string(attempt));
  if (record.kind != RequestKind::keyed) return;
  Key& key = keys_[record.key];
  if (key.firstSeal == 0) {
    key.firstSeal = seal;
  } else if (now < key.firstSent + bounds_.keyWindow) {
    reportViolation(now, "TWICE", "key " + record.key);
  }
}

void Judge::responseReceived(Span now, std::uint64_t attempt, std::uint32_t status, std::uint64_t seal) {
  ++statuses_[status];
  Attempt& record = attempts_[attempt];
  const bool guaranteesNotExecuted = status == 503 || status == 429 || status == 408 || status == 421;
  if (guaranteesNotExecuted && record.kind != RequestKind::pure && record.executions > 0)
    reportViolation(
        now, "REFUSED",
        "attempt " + std::to_string(attempt) + " was executed and answered " + std::to_string(status));
  record.refused = record.refused || guaranteesNotExecuted;
  if (status != 200) return;
  ++successes_;
  if (record.kind != RequestKind::keyed) {
    if (record.seals.count(seal) == 0) reportViolation(now, "MIXED", "attempt " + std::to_string(attempt));
    return;
  }
  if (record.executions == 0) ++replayedResponses_;
  if (keys_[record.key].firstSeal != seal) reportViolation(now, "MIXED", "key " + record.key);
}

void Judge::routeVersionUsed(Span now, std::uint32_t sidecar, std::uint64_t incarnation,
                             std::uint64_t generation, std::uint64_t minimum) {
  auto& [lastIncarnation, lastGeneration] = routeVersions_[sidecar];
  if (lastIncarnation == incarnation && generation < lastGeneration)
    reportViolation(now, "CONFIG",
                    "sidecar " + std::to_string(sidecar) + " reverted from version " +
                        std::to_string(lastGeneration) + " to " + std::to_string(generation));
  if (generation < minimum)
    reportViolation(now, "CONFIG",
                    "sidecar " + std::to_string(sidecar) + " uses version " + std::to_string(generation) +
                        ", " + std::to_string(minimum) + " or later is required");
  lastIncarnation = incarnation;
  lastGeneration = generation;
}

void Judge::finish() {
  if (abandoned_.started > kMaxLateStarts)
    reportViolation(
        {}, "GONE",
        std::to_string(abandoned_.started) + " requests were started after their clients had disconnected");
  if (abandoned_.stillRunning * kMaxStillRunningDivisor > abandoned_.total)
    reportViolation({}, "GONE",
                    "of " + std::to_string(abandoned_.total) +
                        " executions whose clients had disconnected, " +
                        std::to_string(abandoned_.stillRunning) + " kept running");
  // In each retry window the retries must not exceed the allowed ratio of the requests in a recent window.
  for (const auto& [service, retries] : retries_) {
    const std::vector<Span>& all = requests_[service];
    const auto countBetween = [&](const std::vector<Span>& times, Span from, Span to) {
      return std::upper_bound(times.begin(), times.end(), to) -
             std::lower_bound(times.begin(), times.end(), from);
    };
    for (const Span at : retries) {
      const Span from = at - bounds_.retryWindow;
      const Span half = bounds_.retryWindow / 2;
      const auto peakRequests =
          std::max({countBetween(all, from, at), countBetween(all, from - bounds_.retryWindow, from),
                    countBetween(all, from - half, at - half)});
      const double allowed = bounds_.retryRatio * static_cast<double>(peakRequests) + bounds_.retrySlack;
      if (static_cast<double>(countBetween(retries, from, at)) <= allowed) continue;
      reportViolation(at, "BUDGET", "service " + std::to_string(service));
      break;
    }
  }
}

}  // namespace rackroute::lab::mesh
