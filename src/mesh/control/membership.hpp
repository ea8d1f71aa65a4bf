#pragma once

// Who votes: proposes the next set of voters when one is missing, was replaced, or may be added, and follows
// the sets that are agreed on. A set is agreed on like any item, as "voters" with the epoch as its version,
// so by a majority of the set before; and it becomes effective for a reader of it only once that one has read
// from a majority of the fenced set before. It owns the set in force and what is known of the other control
// processes; a state machine without I/O or clock. It must never propose a set that is not one step from the
// one in force.

#include <cstdint>
#include <map>
#include <optional>
#include <vector>

#include "mesh/control/voter_set.hpp"
#include "mesh/names.hpp"

namespace rackroute::mesh {

class Membership {
 public:
  struct Built {
    VoterId self;
    bool founder = false;  // of a system that starts for the first time, or whose store is of before epochs
    std::size_t foundingSize = 1;  // control processes that the first start has, as settings tell
  };
  explicit Membership(Built built);

  [[nodiscard]] const VoterSet& set() const { return set_; }
  [[nodiscard]] bool isVoter() const { return set_.contains(self_); }
  [[nodiscard]] const VoterId& self() const { return self_; }
  /// A set that was agreed on, from the store or from whoever told it. False: it is not newer than the one
  /// held.
  bool adopt(Span now, const VoterSet& set);
  /// This process was a voter of an earlier set and is none of this one: it must take another incarnation.
  [[nodiscard]] bool votedOut() const;
  /// It takes that one.
  void reincarnate(const VoterId& self);

  /// A session with another control process stands, or no longer does.
  void peerUp(Span now, const VoterId& peer, bool founder, bool holdsState);
  void peerDown(Span now, const Address& peer);
  void peerHoldsState(Span now, const VoterId& peer, bool holdsState);
  /// Of this process: nothing it promised is lost, and it has read what it must.
  void holdsState(bool holds) { holdsState_ = holds; }

  /// The set to be proposed now, if this process is the one to propose; each call may start one more ballot.
  std::optional<VoterSet> proposal(Span now);
  /// Whether a proposed set may be accepted here: one step away, and nobody who is heard here is put out.
  [[nodiscard]] bool acceptable(Span now, const VoterSet& proposed) const;
  /// Control processes that stand with this one, by their present identity.
  [[nodiscard]] std::vector<VoterId> peers() const;

 private:
  struct Peer {
    VoterId id;
    bool up = false;
    bool founder = false;
    bool holdsState = false;
    Span since{};  // that it is up, or down
  };
  VoterId self_;
  // (the implementer fills this in)
  VoterSet set_;
  bool holdsState_ = false;
  std::map<Address, Peer> peers_;
};

}  // namespace rackroute::mesh
