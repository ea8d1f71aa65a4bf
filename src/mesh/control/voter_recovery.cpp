#include "mesh/control/voter_recovery.hpp"

#include <algorithm>
#include <utility>

#include "mesh/storage/promise_journal.hpp"

namespace rackroute::mesh {
namespace {

using namespace std::chrono_literals;

constexpr Span kAskAgain = 700ms;           // without a further part, a voter is asked anew
constexpr Span kAskFirst = 150ms;           // without a first one: it may not have had the set on disk yet
constexpr std::size_t kPartsATick = 4;      // each of at most 64 KB; about half of a slow machine's processor
constexpr std::size_t kMostReceivers = 16;  // more than any set has voters that recover

}  // namespace

void VoterRecovery::begin(Span, const VoterSet& set, bool ownCounts) {
  // Guards against a set that follows before the reading for the one before is over: the larger quorum
  // counts.
  needed_ = std::max(running_ ? needed_ : 0, set.readQuorum());
  running_ = true;
  set_ = set;
  progress_.clear();
  done_.clear();
  if (ownCounts) done_.insert(self_);
}

void VoterRecovery::reincarnate(const VoterId& self) {
  self_ = self;
  running_ = false;
  needed_ = 0;
  progress_.clear();
  done_.clear();
}

void VoterRecovery::tick(Span now, Effects& effects) {
  if (!running_ || complete()) return;
  for (const VoterId& voter : set_.voters) {
    if (voter == self_ || done_.count(voter) > 0) continue;
    Progress& progress = progress_[voter];
    const Span patience = progress.nextPart == 0 ? progress.firstAskAgain : kAskAgain;
    if (progress.asked && now < progress.heardAt + patience) continue;
    const Span longer = std::min(2 * progress.firstAskAgain, kAskAgain);
    progress = {0, now, true, progress.asked ? longer : kAskFirst};
    effects.messages.push_back({voter.at, SnapshotRequest{set_.epoch}});
  }
}

Result<void> VoterRecovery::heard(Span now, const SnapshotPart& part, Span uptime, Promises& promises,
                                  Agreement& agreement, Effects& effects) {
  if (!running_ || part.epoch < set_.epoch || !set_.contains(part.voter) || part.voter == self_)
    return boost::outcome_v2::success();
  Progress& progress = progress_[part.voter];
  if (part.part != progress.nextPart) return boost::outcome_v2::success();  // of a row that was begun anew
  if (!part.promises.empty()) {
    auto read = readSnapshot(part.promises, uptime, promises);
    if (!read) {
      progress = {0, now, true, kAskAgain};
      return failure("recovery", read.error().what, part.voter.at.value);
    }
  }
  ++progress.nextPart;
  progress.heardAt = now;
  if (!part.last) return boost::outcome_v2::success();
  agreement.learn(now, part.accepted, part.decided, effects);
  done_.insert(part.voter);
  return boost::outcome_v2::success();
}

void SnapshotSender::begin(const Address& to, Epoch epoch, const VoterId& self, const Promises& promises,
                           Span uptime, const Agreement& agreement) {
  if (sending_.count(to) == 0 && sending_.size() >= kMostReceivers) return;
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
    for (std::size_t i = 0; i < kPartsATick && sending.next < sending.parts.size(); ++i)
      effects.messages.push_back({at->first, std::move(sending.parts[sending.next++])});
    at = sending.next >= sending.parts.size() ? sending_.erase(at) : std::next(at);
  }
}

}  // namespace rackroute::mesh
