#include "mesh/control/majority_read.hpp"

#include <algorithm>

namespace rackroute::mesh {
namespace {

constexpr Span kRetryInterval = std::chrono::milliseconds(400);  // messages can be lost with their session
constexpr Span kMaxRetryInterval = std::chrono::seconds(3);      // upper bound of the doubling interval

}  // namespace

std::uint64_t MajorityRead::request(Span now, const VoterSet& set, Effects& effects) {
  set_ = set;
  if (current_ != 0) {
    nextRequested_ = true;
    return current_ + 1;
  }
  start(now, effects);
  return current_;
}

void MajorityRead::start(Span now, Effects& effects) {
  current_ = ++lastStarted_;
  nextRequested_ = false;
  resetProgress();
  sendRequest(now, effects);
}

void MajorityRead::resetProgress() {
  accepted_.clear();
  fetching_.clear();
  retryInterval_ = kRetryInterval;
  upToDate_.emplace(set_);
}

void MajorityRead::sendRequest(Span now, Effects& effects) {
  requestedAt_ = now;
  effects.messages.push_back({std::nullopt, ReadRequest{current_, set_.epoch}});
}

void MajorityRead::setVoters(Span now, const VoterSet& set, Effects& effects) {
  set_ = set;
  if (current_ == 0) return;
  resetProgress();
  sendRequest(now, effects);
}

// Resets the retry interval, which may have grown while no voter was reachable, so that service resumes
// quickly.
void MajorityRead::voterReconnected(Span now, Effects& effects) {
  if (current_ == 0) return;
  retryInterval_ = kRetryInterval;
  fetching_.clear();
  sendRequest(now, effects);
}

void MajorityRead::handle(Span now, const ReadReply& reply, Effects& effects) {
  if (reply.read != current_ || current_ == 0 || reply.epoch != set_.epoch) return;
  if (!set_.contains(reply.voter)) return;
  for (const AcceptedOrder& reported : reply.accepted) {
    // Reads of the configuration do not wait for voter sets, which may remain undecided.
    if (isVoterSetOrder(*reported.order)) continue;
    const bool known = std::any_of(accepted_.begin(), accepted_.end(), [&](const AcceptedOrder& other) {
      return other.order->id == reported.order->id;
    });
    if (!known) accepted_.push_back(reported);
  }
  if (reply.digest == items_.digest()) {
    upToDate_->add(reply.voter, reply.epoch);
  } else if (fetching_.insert(reply.voter.at).second) {
    ItemsRequest request;
    request.versions = items_.versions();
    request.read = current_;
    effects.messages.push_back({reply.voter.at, std::move(request)});
  }
  advance(now, effects);
}

void MajorityRead::itemsMerged(const Address& from, std::uint64_t read) {
  if (read != current_ || current_ == 0) return;
  if (const VoterId* voter = set_.find(from)) upToDate_->add(*voter, set_.epoch);
}

void MajorityRead::advance(Span now, Effects& effects) {
  if (current_ == 0) return;
  if (upToDate_->majority() && agreement_.allDecided(accepted_)) {
    lastCompleted_ = current_;
    current_ = 0;
    if (nextRequested_) start(now, effects);
    return;
  }
  if (now < requestedAt_ + retryInterval_) return;
  retryInterval_ = std::min(2 * retryInterval_, kMaxRetryInterval);
  fetching_.clear();
  // The proposers had time to decide these orders themselves.
  agreement_.complete(now, accepted_, effects);
  sendRequest(now, effects);
}

}  // namespace rackroute::mesh
