#pragma once

// The claims on operation keys that one run of a data-plane process has open. A claim asks every voter of the
// current set to promise the key to it and is won with the votes of a majority of that set, so two claims on
// one key cannot both be won. A state machine without I/O or clock; votes of different epochs must not be
// counted together.

#include <cstddef>
#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <vector>

#include "mesh/claims/key_hash.hpp"
#include "mesh/claims/promises.hpp"
#include "mesh/control/voter_set.hpp"
#include "mesh/names.hpp"

namespace rackroute::mesh {

class Claims {
 public:
  struct Outcome {
    ClaimNo no;
    bool won = false;
    std::optional<Holder> holder;  // the current holder, if a voter named it
  };
  struct OpenClaim {
    ClaimNo no;
    KeyHash key;
  };

  /// Installs the set of voters if its epoch is newer than the current one. The votes for all open claims are
  /// then discarded, and the caller must request votes from all voters of the set again (openClaims()).
  void setVoters(const VoterSet& set);
  /// Epoch of the current set; 0: there is none yet, and no claim can be won.
  [[nodiscard]] Epoch epoch() const { return set_->epoch; }
  void setReachableVoters(std::size_t voters) { reachableVoters_ = voters; }
  /// Whether a claim could be won now.
  [[nodiscard]] bool canWin(Span now) const { return quorumReachable() && now >= suspendedUntil_; }
  /// The delay after which an undecided claim may be retried: short while the voters may merely be slow.
  [[nodiscard]] Span retryAfter(Span now) const;
  ClaimNo open(Span now, const KeyHash& key, Span until);
  /// Counts a vote that was given in that epoch. Returns the outcome if the vote decides the claim. Votes of
  /// another epoch, of non-members and earlier incarnations, repeated votes, and votes on claims that are
  /// already decided are ignored.
  std::optional<Outcome> vote(const VoterId& voter, Epoch epoch, ClaimNo no, bool granted,
                              const std::optional<Holder>& holder);
  /// Ends claims that reached their deadline without a majority, or all if no quorum is reachable.
  std::vector<Outcome> expire(Span now);
  [[nodiscard]] std::optional<Span> nextDeadline() const;
  /// Open claims that lack this voter's vote, to be requested again after a reconnect.
  [[nodiscard]] std::vector<OpenClaim> openWithoutVoteOf(const VoterId& voter) const;
  /// All open claims, to be requested from all voters of a newer set.
  [[nodiscard]] std::vector<OpenClaim> openClaims() const;

 private:
  struct Claim {
    KeyHash key;
    Span until{};
    VoteCount granted;
    VoteCount refused;
    std::vector<Holder> named;  // holders named by the voters that refused
  };
  [[nodiscard]] bool quorumReachable() const {
    return epoch().value > 0 && reachableVoters_ >= set_->quorum();
  }

  // Shared because the vote counts of copies refer to the set, too.
  std::shared_ptr<const VoterSet> set_ = std::make_shared<const VoterSet>();
  std::size_t reachableVoters_ = 0;
  Span suspendedUntil_{};              // no new claims after one stayed undecided
  Span undecidedSince_ = Span::max();  // time of the first undecided claim since the last decision
  std::uint64_t last_ = 0;
  std::map<ClaimNo, Claim> open_;
};

}  // namespace rackroute::mesh
