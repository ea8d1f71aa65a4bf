#pragma once

// The set of voters of one epoch. Every vote, promise, copy and acknowledgement of the control plane carries
// the epoch and the identity of the voter that gave it, and counts only towards a majority of that epoch's
// set.

#include <cstddef>
#include <cstdint>
#include <set>
#include <string>
#include <vector>

#include "mesh/names.hpp"

namespace rackroute::mesh {

/// One life of one disk. A control process that loses its disk, or is voted out of the set, comes back under
/// another incarnation, so that what the earlier one promised is never counted for the later one.
using Incarnation = Id<struct IncarnationTag, std::uint64_t>;
/// Counts the voter sets that were agreed on, from 1. 0: none has been yet.
using Epoch = Id<struct EpochTag, std::uint64_t>;

struct VoterId {
  Address at;  // of the mesh's sessions
  Incarnation incarnation;
  auto operator<=>(const VoterId&) const = default;
};

struct VoterSet {
  Epoch epoch;
  std::vector<VoterId> voters;  // by address; one for each address
  /// Voters that must read the state of a read quorum of the set before, after that set was fenced, before
  /// they vote in this one: those that joined, and all of them where the set shrank.
  std::vector<VoterId> readers;
  std::size_t previousSize = 0;  // voters of the set before
  /// Only at epoch 0, where the voters are the founders known so far: how many founders there are in all.
  std::size_t foundingSize = 0;

  /// Voters that make a majority of this set.
  [[nodiscard]] std::size_t quorum() const {
    return (epoch.value == 0 ? foundingSize : voters.size()) / 2 + 1;
  }
  /// Voters that a reader must have read from: a majority of the set before.
  [[nodiscard]] std::size_t readQuorum() const { return previousSize / 2 + 1; }
  [[nodiscard]] bool contains(const VoterId& voter) const;
  [[nodiscard]] bool mustRead(const VoterId& voter) const;
  /// The voter with that address; none: null.
  [[nodiscard]] const VoterId* find(const Address& at) const;
  bool operator==(const VoterSet&) const = default;
};

/// The set that follows when one voter joins, one leaves, or one takes the place of another. What a majority
/// of the set before knows is then known to each majority of the next: it shares a voter with that majority,
/// or includes a reader, who has read from a majority of the set before. (Where one replaces another in a set
/// of odd size, majorities without a common voter exist; the reader is what joins them.)
VoterSet withVoter(const VoterSet& set, const VoterId& joins);
VoterSet withoutVoter(const VoterSet& set, const VoterId& leaves);
VoterSet withReplacement(const VoterSet& set, const VoterId& leaves, const VoterId& joins);
/// Whether `to` is one of the above for `from`: the only sets that a voter may accept.
bool isSingleStep(const VoterSet& from, const VoterSet& to);

/// Counts votes towards a majority of one set. Votes of another epoch, of no voter of the set, or of an
/// earlier incarnation of one, are not counted.
class VoteCount {
 public:
  explicit VoteCount(const VoterSet& set) : set_(&set) {}
  /// Whether the vote counts (again, if that voter had voted).
  bool add(const VoterId& voter, Epoch epoch);
  [[nodiscard]] std::size_t count() const { return counted_.size(); }
  [[nodiscard]] bool majority() const { return counted_.size() >= set_->quorum(); }
  [[nodiscard]] bool has(const VoterId& voter) const { return counted_.count(voter) > 0; }

 private:
  const VoterSet* set_;  // must outlive the count
  std::set<VoterId> counted_;
};

}  // namespace rackroute::mesh
