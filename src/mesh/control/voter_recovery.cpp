#include "mesh/control/voter_recovery.hpp"

#include <algorithm>
#include <utility>

#include "mesh/storage/promise_journal.hpp"

namespace rackroute::mesh {
namespace {

using namespace std::chrono_literals;

constexpr Span kRetryInterval = 700ms;         // after the last part received
constexpr Span kInitialRetryInterval = 150ms;  // the voter may not have stored the set yet
constexpr std::size_t kPartsPerTick = 4;       // at most 64 KB each
constexpr std::size_t kMaxReceivers = 16;      // exceeds the number of recovering voters in any set

}  // namespace

void VoterRecovery::begin(Span, const VoterSet& set, bool countSelf) {
  // If a new set arrives before recovery for the previous one is complete, the larger quorum applies.
  requiredVoters_ = std::max(running_ ? requiredVoters_ : 0, set.readQuorum());
  running_ = true;
  set_ = set;
  progress_.clear();
  completed_.clear();
  if (countSelf) completed_.insert(self_);
}

void VoterRecovery::reincarnate(const VoterId& self) {
  self_ = self;
  running_ = false;
  requiredVoters_ = 0;
  progress_.clear();
  completed_.clear();
}

void VoterRecovery::tick(Span now, Effects& effects) {
  if (!running_ || complete()) return;
  for (const VoterId& voter : set_.voters) {
    if (voter == self_ || completed_.count(voter) > 0) continue;
    Progress& progress = progress_[voter];
    const Span timeout = progress.nextPart == 0 ? progress.firstPartRetry : kRetryInterval;
    if (progress.requested && now < progress.lastProgressAt + timeout) continue;
    const Span backoff = std::min(2 * progress.firstPartRetry, kRetryInterval);
    progress = {0, now, true, progress.requested ? backoff : kInitialRetryInterval};
    effects.messages.push_back({voter.at, SnapshotRequest{set_.epoch}});
  }
}

Result<void> VoterRecovery::handle(Span now, const SnapshotPart& part, Span uptime, Promises& promises,
                                   Agreement& agreement, Effects& effects) {
  if (!running_ || part.epoch < set_.epoch || !set_.contains(part.voter) || part.voter == self_)
    return boost::outcome_v2::success();
  Progress& progress = progress_[part.voter];
  if (part.part != progress.nextPart) return boost::outcome_v2::success();  // part of an earlier transfer
  if (!part.promises.empty()) {
    auto read = readSnapshot(part.promises, uptime, promises);
    if (!read) {
      progress = {0, now, true, kRetryInterval};
      return failure("recovery", read.error().what, part.voter.at.value);
    }
  }
  ++progress.nextPart;
  progress.lastProgressAt = now;
  if (!part.last) return boost::outcome_v2::success();
  agreement.importState(now, part.accepted, part.decided, effects);
  completed_.insert(part.voter);
  return boost::outcome_v2::success();
}

void SnapshotSender::begin(const Address& to, Epoch epoch, const VoterId& self, const Promises& promises,
                           Span uptime, const Agreement& agreement) {
  if (sending_.count(to) == 0 && sending_.size() >= kMaxReceivers) return;
  Sending sending;
  for (auto& bytes : writeSnapshot(promises, uptime)) {
    SnapshotPart part;
    part.promises = std::move(bytes);
    sending.parts.push_back(std::move(part));
  }
  if (sending.parts.empty()) sending.parts.emplace_back();
  for (std::size_t i = 0; i < sending.parts.size(); ++i) {
    sending.parts[i].epoch = epoch;
    sending.parts[i].voter = self;
    sending.parts[i].part = i;
  }
  SnapshotPart& last = sending.parts.back();
  last.last = true;
  last.accepted = agreement.accepted();
  last.decided = agreement.decidedRegisters();
  sending_[to] = std::move(sending);
}

void SnapshotSender::tick(Effects& effects) {
  for (auto at = sending_.begin(); at != sending_.end();) {
    Sending& sending = at->second;
    for (std::size_t i = 0; i < kPartsPerTick && sending.next < sending.parts.size(); ++i)
      effects.messages.push_back({at->first, std::move(sending.parts[sending.next++])});
    at = sending.next >= sending.parts.size() ? sending_.erase(at) : std::next(at);
  }
}

}  // namespace rackroute::mesh
