#include "mesh/control/majority_lease.hpp"

#include <algorithm>
#include <functional>
#include <vector>

namespace rackroute::mesh {
namespace {

/// Bounds memory if heartbeats are sent without pause; more than a lease period's worth.
constexpr std::size_t kMaxTracked = 64;

}  // namespace

std::uint64_t MajorityLease::nextHeartbeat(Span now) {
  const Span oldest = now - kMajorityLease;
  while (!sent_.empty() && (sent_.front().at < oldest || sent_.size() >= kMaxTracked)) sent_.pop_front();
  std::erase_if(echoes_, [&](const auto& echo) { return echo.second < oldest; });
  sent_.push_back({++lastSequence_, now});
  return lastSequence_;
}

void MajorityLease::recordEcho(const VoterId& voter, std::uint64_t sequence) {
  const auto heartbeat =
      std::find_if(sent_.begin(), sent_.end(), [&](const Sent& each) { return each.sequence == sequence; });
  if (heartbeat == sent_.end()) return;
  // A delayed echo must not shorten the lease.
  Span& latest = echoes_.try_emplace(voter, heartbeat->at).first->second;
  latest = std::max(latest, heartbeat->at);
}

void MajorityLease::forget(const Address& voter) {
  std::erase_if(echoes_, [&](const auto& echo) { return echo.first.at == voter; });
}

Span MajorityLease::expiry(const VoterSet& set, const VoterId& self) const {
  const std::size_t quorum = set.quorum();
  const std::size_t needed = set.contains(self) ? quorum - 1 : quorum;
  if (needed == 0) return Span::max();
  std::vector<Span> sendTimes;
  for (const VoterId& voter : set.voters) {
    const auto echo = echoes_.find(voter);
    if (voter != self && echo != echoes_.end()) sendTimes.push_back(echo->second);
  }
  if (sendTimes.size() < needed) return Span::min();
  // The lease starts at the send time of the `needed`-th latest echoed heartbeat.
  const auto leaseStart = sendTimes.begin() + static_cast<std::ptrdiff_t>(needed - 1);
  std::nth_element(sendTimes.begin(), leaseStart, sendTimes.end(), std::greater<>());
  return *leaseStart + kMajorityLease;
}

}  // namespace rackroute::mesh
