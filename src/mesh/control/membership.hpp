#pragma once

// Membership of the voter set: proposes the next set when a voter is down, was replaced or can be added, and
// adopts the sets that are agreed on. A set is decided like any item, as "voters" with its epoch as the
// version, by a majority of the previous set. A reader of the new set votes in it only after it has read from
// a majority of the fenced previous set. Holds the current set and what is known about the other control
// processes; a state machine without I/O or a clock.
//
// A proposed set must always be a single step away from the current one.

#include <cstdint>
#include <map>
#include <optional>
#include <vector>

#include "mesh/control/voter_set.hpp"
#include "mesh/names.hpp"

namespace rackroute::mesh {

/// The voter set as seen by this process.
class Membership {
 public:
  struct Config {
    VoterId self;
    bool founder = false;          // this process belongs to a new system, or its store predates epochs
    std::size_t foundingSize = 1;  // number of control processes in the initial configuration
  };
  explicit Membership(Config config);

  [[nodiscard]] const VoterSet& set() const { return set_; }
  [[nodiscard]] bool isVoter() const { return set_.contains(self_); }
  [[nodiscard]] const VoterId& self() const { return self_; }
  /// Adopts a set that was agreed on, from the store or from another process. Returns false if it is not
  /// newer than the current one. Afterwards, this process no longer holds complete state if it must read in
  /// the new set, or if it missed a set in which it may have had to read. What readers reported about their
  /// state in earlier sets is discarded.
  bool adopt(Span now, const VoterSet& set);
  /// Whether this process was a voter of an earlier set and is not in the current one; it must then take a
  /// new incarnation.
  [[nodiscard]] bool wasRemoved() const;
  /// Takes a new incarnation.
  void reincarnate(const VoterId& self);

  /// A session with another control process was established or ended. For a reader of the current set,
  /// complete state is learned from peerHoldsState() only, because the first message of a session carries no
  /// epoch.
  void peerUp(Span now, const VoterId& peer, bool founder, bool holdsState);
  void peerDown(Span now, const Address& peer);
  /// A peer reported whether it holds complete state. Must be called only for reports made in the current
  /// epoch and under this incarnation; a process that takes a new incarnation must first re-establish its
  /// sessions.
  void peerHoldsState(Span now, const VoterId& peer, bool holdsState);
  /// Whether this process holds complete state: no promise is lost, and all required reads are complete. To
  /// be called after adopt() with the stored set at startup, and after each completed recovery. A voter
  /// without complete state must read, even if the set does not list it as a reader.
  void setHoldsState(bool holds) { holdsState_ = holds; }
  [[nodiscard]] bool holdsState() const { return holdsState_; }

  /// Returns the set to propose now, if it is this process's turn. Each returned set may start a ballot.
  std::optional<VoterSet> proposal(Span now);
  /// Whether this process may accept a proposed set: it must be a single step away and must not remove a
  /// voter that is connected here. mayBeDecided: a majority may have accepted the set already. A single step
  /// is sufficient then, because the set can neither be skipped nor completed without this voter.
  [[nodiscard]] bool acceptable(Span now, const VoterSet& proposed, bool mayBeDecided) const;
  /// Whether another incarnation runs at the voter's address, so that the voter's disk is lost and it will
  /// never vote again.
  [[nodiscard]] bool isPermanentlyLost(const VoterId& voter) const;
  /// Connected control processes with their current identities.
  [[nodiscard]] std::vector<VoterId> peers() const;

 private:
  struct Peer {
    VoterId id;
    bool up = false;
    bool founder = false;
    bool holdsState = false;
    bool removed = false;  // from the set under this identity; may rejoin only under a new one
    Span since{};          // time of the last change of `up`
  };

  /// Whether the set may follow the current one.
  [[nodiscard]] bool isValidSuccessor(const VoterSet& proposed) const;
  [[nodiscard]] bool isUp(const VoterId& voter) const;
  [[nodiscard]] bool isKnownToHoldState(const VoterId& voter) const;
  /// Voters that are up and hold complete state, including this process, by address.
  [[nodiscard]] std::vector<VoterId> availableVoters() const;
  [[nodiscard]] bool isDownFor(Span now, const VoterId& voter, Span time) const;
  [[nodiscard]] bool readersComplete(Span now, const VoterId* leaving) const;
  [[nodiscard]] bool quorumAvailable(const VoterId* leaving) const;
  /// The standby with the lowest address among those that have been up for at least `minUptime`.
  [[nodiscard]] std::optional<VoterId> standby(Span now, Span minUptime) const;

  [[nodiscard]] std::optional<VoterSet> desiredSet(Span now) const;
  [[nodiscard]] std::optional<VoterSet> foundingProposal(Span now) const;
  [[nodiscard]] std::optional<VoterSet> replacementOfLost(Span now) const;
  [[nodiscard]] std::optional<VoterSet> replacementOfDown(Span now) const;
  [[nodiscard]] std::optional<VoterSet> expansion(Span now) const;
  [[nodiscard]] std::optional<VoterSet> shrinkage(Span now) const;
  [[nodiscard]] Span rankDelay() const;

  /// The first agreed set, with these founders as voters.
  [[nodiscard]] VoterSet foundingSet(std::vector<VoterId> founders) const;
  void recordStart(Span now);
  void addFounder(const VoterId& founder);
  void evictStalePeers(Span now);

  VoterId self_;
  VoterSet set_;
  bool wasVoter_ = false;  // of an agreed set, under the current incarnation
  bool holdsState_ = false;
  std::optional<Span> startedAt_;
  std::map<Address, Peer> peers_;  // all voters of the set, and other processes that are or recently were up
  std::optional<VoterSet> desired_;
  Span desiredSince_{};
  std::optional<Span> proposedAt_;  // last proposal of the desired set
};

}  // namespace rackroute::mesh
