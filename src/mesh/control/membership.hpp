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
  /// held. Afterwards this process no longer holds state if it must read in that set, or if it missed a set
  /// between, in which it may have had to read; what was told of readers holding state counts no more either.
  bool adopt(Span now, const VoterSet& set);
  /// This process was a voter of an earlier set and is none of this one: it must take another incarnation.
  [[nodiscard]] bool votedOut() const;
  /// It takes that one.
  void reincarnate(const VoterId& self);

  /// A session with another control process stands, or no longer does. Whether a reader of the set in force
  /// holds state is learned from peerHoldsState() only, as a session's first message tells no epoch.
  void peerUp(Span now, const VoterId& peer, bool founder, bool holdsState);
  void peerDown(Span now, const Address& peer);
  /// To be passed on only if the peer told it in the epoch in force here and under this incarnation: a
  /// process that takes another one must begin its sessions anew before it tells anything.
  void peerHoldsState(Span now, const VoterId& peer, bool holdsState);
  /// Of this process: nothing it promised is lost, and it has read what it must. To be called after adopt()
  /// with the stored set at the start, and whenever a read is done. A voter that does not hold state must
  /// read, whether the set names it as a reader or not.
  void holdsState(bool holds) { holdsState_ = holds; }
  [[nodiscard]] bool holdsState() const { return holdsState_; }

  /// The set to be proposed now, if this process is the one to propose; each call may start one more ballot.
  std::optional<VoterSet> proposal(Span now);
  /// Whether a proposed set may be accepted here: one step away, and nobody who is heard here is put out.
  /// mayBeDecided: a majority may have accepted it before. Then one step away is enough, as it can neither be
  /// passed over nor be completed without this voter.
  [[nodiscard]] bool acceptable(Span now, const VoterSet& proposed, bool mayBeDecided) const;
  /// Whether another process stands at that voter's address: its disk is lost, and it never votes again.
  [[nodiscard]] bool isGone(const VoterId& voter) const;
  /// Control processes that stand with this one, by their present identity.
  [[nodiscard]] std::vector<VoterId> peers() const;

 private:
  struct Peer {
    VoterId id;
    bool up = false;
    bool founder = false;
    bool holdsState = false;
    bool putOut = false;  // of the set in force, under this identity; it joins under another one only
    Span since{};         // that it is up, or down
  };

  /// A set that may follow the one in force.
  [[nodiscard]] bool isNext(const VoterSet& proposed) const;
  [[nodiscard]] bool isUp(const VoterId& voter) const;
  [[nodiscard]] bool knownToHoldState(const VoterId& voter) const;
  /// Voters that are up and hold state, this process among them, by address.
  [[nodiscard]] std::vector<VoterId> ableVoters() const;
  [[nodiscard]] bool silentFor(Span now, const VoterId& voter, Span time) const;
  [[nodiscard]] bool readersDone(Span now, const VoterId* leaves) const;
  [[nodiscard]] bool enoughAble(const VoterId* leaves) const;
  /// The standby with the lowest address that has been up for so long.
  [[nodiscard]] std::optional<VoterId> standby(Span now, Span upFor) const;

  [[nodiscard]] std::optional<VoterSet> wanted(Span now) const;
  [[nodiscard]] std::optional<VoterSet> founding(Span now) const;
  [[nodiscard]] std::optional<VoterSet> replacementOfWiped(Span now) const;
  [[nodiscard]] std::optional<VoterSet> replacementOfSilent(Span now) const;
  [[nodiscard]] std::optional<VoterSet> growth(Span now) const;
  [[nodiscard]] std::optional<VoterSet> shrinkage(Span now) const;
  [[nodiscard]] Span rankDelay() const;

  /// The first set, with these founders.
  [[nodiscard]] VoterSet foundedWith(std::vector<VoterId> founders) const;
  void began(Span now);
  void knowFounder(const VoterId& founder);
  void forgetGone(Span now);

  VoterId self_;
  VoterSet set_;
  bool wasVoter_ = false;  // of a set that was agreed on, under this incarnation
  bool holdsState_ = false;
  std::optional<Span> start_;
  std::map<Address, Peer> peers_;  // voters of the set, whether they were ever up or not, and who else is up
  std::optional<VoterSet> wanted_;
  Span wantedSince_{};
  std::optional<Span> proposedAt_;  // what is wanted now
};

}  // namespace rackroute::mesh
