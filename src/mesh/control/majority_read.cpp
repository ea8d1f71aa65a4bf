#include "mesh/control/majority_read.hpp"

namespace rackroute::mesh {
namespace {

constexpr Span kAskAgain =
    std::chrono::milliseconds(300);  // where a message may have been lost with its session

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
  accepted_.clear();
  count_.emplace(set_);
  ask(now, effects);
}

void MajorityRead::ask(Span now, Effects& effects) {
  askedAt_ = now;
  effects.messages.push_back({std::nullopt, ReadRequest{running_, set_.epoch}});
}

void MajorityRead::voters(Span now, const VoterSet& set, Effects& effects) {
  set_ = set;
  if (running_ == 0) return;
  accepted_.clear();
  count_.emplace(set_);
  ask(now, effects);
}

void MajorityRead::heard(Span now, const ReadReply& reply, Effects& effects) {
  if (reply.read != running_ || running_ == 0 || reply.epoch != set_.epoch) return;
  if (!set_.contains(reply.voter)) return;
  accepted_.insert(accepted_.end(), reply.accepted.begin(), reply.accepted.end());
  if (!reply.accepted.empty()) agreement_.complete(now, reply.accepted, effects);
  if (reply.digest == items_.digest()) {
    count_->add(reply.voter, reply.epoch);
  } else {
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
  if (askedAt_ + kAskAgain <= now) ask(now, effects);
}

}  // namespace rackroute::mesh
