#include "mesh/control/voter_set.hpp"

#include <algorithm>

namespace rackroute::mesh {
namespace {

/// The next set, still with the same voters.
VoterSet successorOf(const VoterSet& set) {
  VoterSet next;
  next.epoch = {set.epoch.value + 1};
  next.voters = set.voters;
  next.previousSize = set.voters.size();
  return next;
}

void insert(std::vector<VoterId>& voters, const VoterId& joining) {
  voters.insert(std::upper_bound(voters.begin(), voters.end(), joining), joining);
}

std::vector<VoterId> votersNotIn(const VoterSet& set, const VoterSet& other) {
  std::vector<VoterId> found;
  for (const VoterId& voter : set.voters) {
    if (!other.contains(voter)) found.push_back(voter);
  }
  return found;
}

}  // namespace

bool VoterSet::contains(const VoterId& voter) const {
  const VoterId* existing = find(voter.at);
  return existing != nullptr && *existing == voter;
}

bool VoterSet::mustRead(const VoterId& voter) const {
  return std::find(readers.begin(), readers.end(), voter) != readers.end();
}

const VoterId* VoterSet::find(const Address& at) const {
  const auto found =
      std::find_if(voters.begin(), voters.end(), [&](const VoterId& voter) { return voter.at == at; });
  return found == voters.end() ? nullptr : &*found;
}

VoterSet withVoter(const VoterSet& set, const VoterId& joining) {
  VoterSet next = successorOf(set);
  insert(next.voters, joining);
  next.readers = {joining};
  return next;
}

VoterSet withoutVoter(const VoterSet& set, const VoterId& leaving) {
  VoterSet next = successorOf(set);
  std::erase(next.voters, leaving);
  next.readers = next.voters;
  return next;
}

VoterSet withReplacement(const VoterSet& set, const VoterId& leaving, const VoterId& joining) {
  VoterSet next = successorOf(set);
  std::erase(next.voters, leaving);
  insert(next.voters, joining);
  next.readers = {joining};
  return next;
}

bool isSingleStep(const VoterSet& from, const VoterSet& to) {
  const std::vector<VoterId> left = votersNotIn(from, to);
  const std::vector<VoterId> joined = votersNotIn(to, from);
  if (left.size() > 1 || joined.size() > 1) return false;
  // A voter must not join at the address of one that stays: addresses are unique within a set.
  if (!joined.empty()) {
    const VoterId* existing = from.find(joined.front().at);
    if (existing != nullptr && (left.empty() || *existing != left.front())) return false;
  }
  if (!left.empty() && !joined.empty()) return to == withReplacement(from, left.front(), joined.front());
  if (!joined.empty()) return to == withVoter(from, joined.front());
  // The last voter cannot be removed, as no majority would remain to agree on anything.
  if (!left.empty()) return from.voters.size() > 1 && to == withoutVoter(from, left.front());
  return false;
}

bool VoteCount::add(const VoterId& voter, Epoch epoch) {
  if (epoch != set_->epoch || !set_->contains(voter)) return false;
  counted_.insert(voter);
  return true;
}

}  // namespace rackroute::mesh
