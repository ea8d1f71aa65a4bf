#include "mesh/control/majority_read.hpp"

#include <algorithm>

namespace rackroute::mesh {
namespace {

constexpr Span kAskAgain = std::chrono::milliseconds(400);  // a message may have been lost with its session
constexpr Span kAskAgainLongest =
    std::chrono::seconds(3);  // doubled up to that, as slow voters have more to do

}  // namespace

std::uint64_t MajorityRead::join(Span now, const VoterSet& set, Effects& effects) {
  set_ = set;
  if (running_ != 0) {
    wanted_ = true;
    return running_ + 1;
  }
  begin(now, effects);
  return running_;
}

void MajorityRead::begin(Span now, Effects& effects) {
  running_ = ++last_;
  wanted_ = false;
  beginCount();
  ask(now, effects);
}

void MajorityRead::beginCount() {
  accepted_.clear();
  fetching_.clear();
  askAgain_ = kAskAgain;
  count_.emplace(set_);
}

void MajorityRead::ask(Span now, Effects& effects) {
  askedAt_ = now;
  effects.messages.push_back({std::nullopt, ReadRequest{running_, set_.epoch}});
}

void MajorityRead::voters(Span now, const VoterSet& set, Effects& effects) {
  set_ = set;
  if (running_ == 0) return;
  beginCount();
  ask(now, effects);
}

// Guards against a process that waits out a long pause, which grew while nobody could answer, before it
// serves again.
void MajorityRead::reached(Span now, Effects& effects) {
  if (running_ == 0) return;
  askAgain_ = kAskAgain;
  fetching_.clear();
  ask(now, effects);
}

void MajorityRead::heard(Span now, const ReadReply& reply, Effects& effects) {
  if (reply.read != running_ || running_ == 0 || reply.epoch != set_.epoch) return;
  if (!set_.contains(reply.voter)) return;
  for (const AcceptedOrder& told : reply.accepted) {
    // Guards against a set of voters that nobody completes: reads of the configuration need not wait for it.
    if (isVoterSet(*told.order)) continue;
    const bool known = std::any_of(accepted_.begin(), accepted_.end(), [&](const AcceptedOrder& other) {
      return other.order->id == told.order->id;
    });
    if (!known) accepted_.push_back(told);
  }
  if (reply.digest == items_.digest()) {
    count_->add(reply.voter, reply.epoch);
  } else if (fetching_.insert(reply.voter.at).second) {
    ItemsRequest request;
    request.versions = items_.versions();
    request.read = running_;
    effects.messages.push_back({reply.voter.at, std::move(request)});
  }
  advance(now, effects);
}

void MajorityRead::fetched(const Address& from, std::uint64_t read) {
  if (read != running_ || running_ == 0) return;
  if (const VoterId* voter = set_.find(from)) count_->add(*voter, set_.epoch);
}

void MajorityRead::advance(Span now, Effects& effects) {
  if (running_ == 0) return;
  if (count_->majority() && agreement_.allDecided(accepted_)) {
    finished_ = running_;
    running_ = 0;
    if (wanted_) begin(now, effects);
    return;
  }
  if (now < askedAt_ + askAgain_) return;
  askAgain_ = std::min(2 * askAgain_, kAskAgainLongest);
  fetching_.clear();
  // Their proposers had time to bring them to a decision by themselves.
  agreement_.complete(now, accepted_, effects);
  ask(now, effects);
}

}  // namespace rackroute::mesh
