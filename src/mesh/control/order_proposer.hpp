#pragma once

// The proposer's half of the agreement: brings orders to a decision, one ballot after another. It owns the
// proposals under way and the calls that wait for them.
//
// A ballot asks all voters about the order's open registers. With a majority of grants it knows the orders
// that may have had a majority at a lower ballot: those that were accepted, except those that are
//  - void: another value is known to be decided for one of their registers;
//  - ruled out by a disagreeing order that was accepted at a higher ballot, as whoever proposed that one had
//    read from a majority; or
//  - ruled out by a majority that granted without having accepted them.
// If its own order disagrees with one that is left, that one is completed first. Else it sends Accept for the
// items of its order that are not decided yet.

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <random>
#include <set>
#include <string>
#include <vector>

#include "mesh/control/decided_history.hpp"
#include "mesh/control/effects.hpp"
#include "mesh/control/messages.hpp"

namespace rackroute::mesh {

class OrderProposer {
 public:
  struct Built {
    VoterId self;
    std::uint64_t seed = 0;                           // of the pauses between ballots
    const VoterSet* voters;                           // in force; must outlive this
    const DecidedHistory* decided;                    // must outlive this
    const Items* inForce;                             // must outlive this
    std::function<bool(const VoterId&)> isGone = {};  // see Agreement::Built
  };
  explicit OrderProposer(const Built& built) : built_(built), chance_(built.seed) {}

  /// False: the entry is none of its own.
  bool restore(const std::string& key, const std::string& value);
  void reset(const VoterId& self) { built_.self = self; }

  /// The order has open registers. True: it is under way (for that call too, if it is not 0); false: too many
  /// are.
  bool propose(Span now, std::uint64_t call, const OrderPtr& order, Effects& effects);
  /// An order that is accepted somewhere and has open registers; dropped, if there are too many.
  void complete(Span now, const OrderPtr& order, Effects& effects);
  void forgetCall(std::uint64_t call);
  void heard(Span now, const PrepareReply& message, Effects& effects);
  /// The items that are decided now, if this reply made the majority.
  OrderPtr heard(Span now, const AcceptReply& message, Effects& effects);
  /// Registers became decided in the history, or a voter says that they are and have been forgotten. Ends the
  /// proposals that have no open register or conflict; the orders of the first are returned.
  std::vector<OrderPtr> settle(Span now, const std::vector<DecidedRegister>& decided,
                               const std::vector<Item>& standing, Effects& effects);
  /// All proposals begin anew: another set of voters is in force.
  void restart(Span now, Effects& effects);
  void tick(Span now, Effects& effects);
  /// When tick() has something to do.
  [[nodiscard]] std::optional<Span> nextTick() const;
  [[nodiscard]] std::size_t underWay() const { return proposals_.size(); }

 private:
  enum class Phase { preparing, accepting, pausing };
  struct Seen {  // an order that voters have accepted, at the highest of their ballots
    AcceptedOrder accepted;
    std::size_t holders = 0;
  };
  struct Proposal {
    Proposal(OrderPtr proposed, const VoterSet& voters)
        : order(std::move(proposed)), granted(voters), refused(voters) {}
    OrderPtr order;
    std::map<RegisterId, const Item*> open;  // items of the order that are not known to be decided
    std::set<RegisterId> forgotten;          // decided, though nobody remembers how
    std::set<std::uint64_t> calls;
    Phase phase = Phase::pausing;
    Ballot ballot;
    std::uint64_t reservedTo = 0;  // not 0: a reply to the ballot proves that this reservation is on disk
    VoteCount granted;
    VoteCount refused;
    std::map<std::uint64_t, Seen> seen;
    OrderPtr value;               // what Accept was sent for
    bool acceptSent = false;      // in any ballot
    bool acceptedBefore = false;  // by some voter, as far as is known before the first ballot
    unsigned laterPauses = 0;     // for later versions of its items
    unsigned failures = 0;        // ballots in a row without a majority
    Span until{};                 // end of the ballot, or of the pause
    std::uint64_t waitsFor = 0;   // pausing: the order that is completed first
  };
  using Proposals = std::map<std::uint64_t, Proposal>;  // by the order's id

  Proposal& start(const OrderPtr& order);
  void begin(Span now, Proposal& proposal, Effects& effects);
  Ballot nextBallot(Proposal& proposal, Effects& effects);
  Proposal* find(const Ballot& ballot, Phase phase);
  /// A ballot came to nothing. False: nobody needs the proposal, and it is gone.
  bool fail(Span now, Proposal& proposal);
  void learnRound(const Ballot& promised);
  void note(const PrepareReply& message, Proposal& proposal);
  void evaluate(Span now, Proposal& proposal, bool lastChance, Effects& effects);
  [[nodiscard]] const Seen* blocking(const Proposal& proposal) const;
  [[nodiscard]] bool ruledOut(const Proposal& proposal, const Seen& seen) const;
  [[nodiscard]] OrderPtr openPart(const Proposal& proposal) const;
  [[nodiscard]] bool majorityOutOfReach(const Proposal& proposal) const;
  [[nodiscard]] std::size_t voterCount() const;
  /// A later version of one of its items is, or may be, decided and has not come into force here yet.
  [[nodiscard]] bool waitsForLater(const Proposal& proposal) const;
  [[nodiscard]] bool lacksLater(const Proposal& proposal) const;
  /// An order with a later version of one of its items is accepted and may be decided; its own is accepted
  /// nowhere.
  [[nodiscard]] bool mayBeOvertaken(const Proposal& proposal) const;
  void pauseForLater(Span now, Proposal& proposal, Effects& effects);
  /// What it proposes, if voters have accepted it and a majority may have; else null.
  [[nodiscard]] const Seen* ownAccepted(const Proposal& proposal) const;
  /// Whether replies that may still come can tell that no majority has accepted that order.
  [[nodiscard]] bool repliesMatter(const Proposal& proposal, const Seen& accepted) const;
  void sendAccept(Span now, Proposal& proposal, Effects& effects);
  void conflict(const Proposal& proposal, const std::vector<RegisterId>& conflicting,
                const std::vector<Item>& standing, Effects& effects) const;
  void ended(Span now, std::uint64_t order);
  [[nodiscard]] Span ballotLasts(const Proposal& proposal) const;

  Built built_;
  std::mt19937_64 chance_;
  Proposals proposals_;
  std::uint64_t counter_ = 0;         // of the rounds; the last that was used
  std::uint64_t reserved_ = 0;        // on its way to disk: counters up to it may be in use
  std::uint64_t reservedOnDisk_ = 0;  // proven
};

}  // namespace rackroute::mesh
