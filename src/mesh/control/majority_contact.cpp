#include "mesh/control/majority_contact.hpp"

#include <algorithm>
#include <functional>
#include <vector>

namespace rackroute::mesh {
namespace {

/// Guards against a caller that sends without pause: more than a lease's heartbeats, with a spare.
constexpr std::size_t kMostSent = 64;

}  // namespace

std::uint64_t MajorityContact::sent(Span now) {
  const Span oldest = now - kContactLease;
  while (!sent_.empty() && (sent_.front().at < oldest || sent_.size() >= kMostSent)) sent_.pop_front();
  std::erase_if(echoes_, [&](const auto& echo) { return echo.second < oldest; });
  sent_.push_back({++lastSequence_, now});
  return lastSequence_;
}

void MajorityContact::echoed(const VoterId& voter, std::uint64_t sequence) {
  const auto heartbeat =
      std::find_if(sent_.begin(), sent_.end(), [&](const Sent& each) { return each.sequence == sequence; });
  if (heartbeat == sent_.end()) return;
  // Guards against an echo that was overtaken: it takes nothing back.
  Span& latest = echoes_.try_emplace(voter, heartbeat->at).first->second;
  latest = std::max(latest, heartbeat->at);
}

void MajorityContact::forget(const Address& voter) {
  std::erase_if(echoes_, [&](const auto& echo) { return echo.first.at == voter; });
}

Span MajorityContact::until(const VoterSet& set, const VoterId& self) const {
  const std::size_t quorum = set.quorum();
  const std::size_t needed = set.contains(self) ? quorum - 1 : quorum;
  if (needed == 0) return Span::max();
  std::vector<Span> sentTimes;
  for (const VoterId& voter : set.voters) {
    const auto echo = echoes_.find(voter);
    if (voter != self && echo != echoes_.end()) sentTimes.push_back(echo->second);
  }
  if (sentTimes.size() < needed) return Span::min();
  // The latest moment at which all of a majority had still to answer.
  const auto decisive = sentTimes.begin() + static_cast<std::ptrdiff_t>(needed - 1);
  std::nth_element(sentTimes.begin(), decisive, sentTimes.end(), std::greater<>());
  return *decisive + kContactLease;
}

}  // namespace rackroute::mesh
