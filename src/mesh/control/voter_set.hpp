#pragma once

// The set of voters of one epoch. Every vote, promise, snapshot and acknowledgement of the control plane
// carries the epoch and the identity of the voter that sent it, and counts only towards a majority of that
// epoch's set.

#include <cstddef>
#include <cstdint>
#include <set>
#include <string>
#include <vector>

#include "mesh/names.hpp"

namespace rackroute::mesh {

/// Identifies one generation of a control process's state. A process that loses its disk or is removed from
/// the voter set returns with a new incarnation, so that earlier promises are never attributed to it.
using Incarnation = Id<struct IncarnationTag, std::uint64_t>;
/// Number of an agreed voter set, starting at 1. 0 means that no set has been agreed on yet.
using Epoch = Id<struct EpochTag, std::uint64_t>;

/// Identity of a voter: its address and incarnation.
struct VoterId {
  Address at;  // for mesh sessions
  Incarnation incarnation;
  auto operator<=>(const VoterId&) const = default;
};

/// The voters of one epoch.
struct VoterSet {
  Epoch epoch;
  std::vector<VoterId> voters;  // sorted by address; at most one per address
  /// Voters that must read the state of a read quorum of the previous set, after that set was fenced, before
  /// they vote in this one: joining voters, or all voters if the set shrank.
  std::vector<VoterId> readers;
  std::size_t previousSize = 0;  // number of voters in the previous set
  /// Only in epoch 0, where `voters` are the founders known so far: total number of founders.
  std::size_t foundingSize = 0;

  /// Number of voters that form a majority of this set.
  [[nodiscard]] std::size_t quorum() const {
    return (epoch.value == 0 ? foundingSize : voters.size()) / 2 + 1;
  }
  /// Number of voters that a reader must have read from: a majority of the previous set.
  [[nodiscard]] std::size_t readQuorum() const { return previousSize / 2 + 1; }
  [[nodiscard]] bool contains(const VoterId& voter) const;
  [[nodiscard]] bool mustRead(const VoterId& voter) const;
  /// Returns the voter with that address, or null.
  [[nodiscard]] const VoterId* find(const Address& at) const;
  bool operator==(const VoterSet&) const = default;
};

/// Next voter set after one voter joins, leaves or is replaced. Everything a majority of the previous set
/// knows remains known to each majority of the next set: the two share a voter, or the new majority includes
/// a reader, which has read from a majority of the previous set. (When a voter is replaced in a set of odd
/// size, majorities without a common voter exist; the reader connects them.)
VoterSet withVoter(const VoterSet& set, const VoterId& joining);
VoterSet withoutVoter(const VoterSet& set, const VoterId& leaving);
VoterSet withReplacement(const VoterSet& set, const VoterId& leaving, const VoterId& joining);
/// Whether `to` follows from `from` by one of these steps. A voter accepts no other sets.
bool isSingleStep(const VoterSet& from, const VoterSet& to);

/// Counts votes towards a majority of one set. Ignores votes from other epochs, from processes that are not
/// in the set, and from earlier incarnations of voters.
class VoteCount {
 public:
  explicit VoteCount(const VoterSet& set) : set_(&set) {}
  /// Returns whether the vote is valid; a repeated vote of the same voter counts once.
  bool add(const VoterId& voter, Epoch epoch);
  [[nodiscard]] std::size_t count() const { return counted_.size(); }
  [[nodiscard]] bool majority() const { return counted_.size() >= set_->quorum(); }
  [[nodiscard]] bool has(const VoterId& voter) const { return counted_.count(voter) > 0; }

 private:
  const VoterSet* set_;  // must outlive this object
  std::set<VoterId> counted_;
};

}  // namespace rackroute::mesh
