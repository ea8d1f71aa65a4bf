#pragma once

// The claims that one life of a data-plane process makes on operation keys. A claim asks every voter of the
// set in force to promise the key to it, and is won with the votes of a majority of that one set, so two
// claims of one key are never both won. Claims own the open claims and their votes; a state machine without
// I/O or clock. Votes of two epochs must never be counted together.

#include <cstddef>
#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <vector>

#include "mesh/claims/key_print.hpp"
#include "mesh/claims/promises.hpp"
#include "mesh/control/voter_set.hpp"
#include "mesh/names.hpp"

namespace rackroute::mesh {

class Claims {
 public:
  struct Ended {
    ClaimNo no;
    bool won = false;
    std::optional<Holder> holder;  // who holds it, if a voter said so
  };
  struct Open {
    ClaimNo no;
    KeyPrint key;
  };

  /// The set of voters in force. With a newer epoch than the one held, the votes for all open claims are
  /// dropped, and the caller must ask all voters of the set anew (openClaims()). Another one changes nothing.
  void electorate(const VoterSet& set);
  /// Of the set in force; 0: none has been told yet, and no claim can be won.
  [[nodiscard]] Epoch epoch() const { return set_->epoch; }
  /// How many voters of the set are within reach now.
  void reach(std::size_t voters) { reached_ = voters; }
  /// Whether a claim could be won now.
  [[nodiscard]] bool hopeful(Span now) const { return quorumInReach() && now >= hopelessUntil_; }
  /// When one that could not be won may be tried again: soon, while the voters may only be slow.
  [[nodiscard]] Span comeBack(Span now) const;
  ClaimNo open(Span now, const KeyPrint& key, Span until);
  /// A vote that was given in that epoch. Nothing: the claim is not decided by it, or was before, or the vote
  /// does not count (another epoch, no voter of the set, an earlier incarnation, a voter that has voted).
  std::optional<Ended> vote(const VoterId& voter, Epoch epoch, ClaimNo no, bool granted,
                            const std::optional<Holder>& holder);
  /// Claims whose time is over without a majority; all, where no majority is within reach.
  std::vector<Ended> expire(Span now);
  [[nodiscard]] std::optional<Span> nextEnd() const;
  /// Those without this voter's vote, to be told to it when its session stands anew.
  [[nodiscard]] std::vector<Open> without(const VoterId& voter) const;
  /// All of them, to be told to all voters of a newer set.
  [[nodiscard]] std::vector<Open> openClaims() const;

 private:
  struct Claim {
    KeyPrint key;
    Span until{};
    VoteCount granted;
    VoteCount refused;
    std::vector<Holder> named;  // by those that refused
  };
  [[nodiscard]] bool quorumInReach() const { return epoch().value > 0 && reached_ >= set_->quorum(); }

  // Shared, as the votes of a copy count by the set as well.
  std::shared_ptr<const VoterSet> set_ = std::make_shared<const VoterSet>();
  std::size_t reached_ = 0;
  Span hopelessUntil_{};               // after a claim that nobody decided
  Span undecidedSince_ = Span::max();  // since when none has been
  std::uint64_t last_ = 0;
  std::map<ClaimNo, Claim> open_;
};

}  // namespace rackroute::mesh
