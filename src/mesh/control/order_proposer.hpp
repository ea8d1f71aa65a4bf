#pragma once

// The proposer role of the agreement: brings orders to a decision in a series of ballots. Owns the proposals
// in flight and the calls that wait for them.
//
// A ballot prepares all undecided registers of the order. Once a majority has granted it, the proposer knows
// which orders may have been accepted by a majority at a lower ballot: all reported accepted orders except
// those that
//  - have a register that is known to be decided with another value,
//  - conflict with an order accepted at a higher ballot, whose proposer had read from a majority, or
//  - too few of the voters can have accepted to form a majority.
// If one of the remaining orders conflicts with the proposed order, that order is completed first. Otherwise,
// the proposer sends Accept for the undecided items of its order.

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

/// Drives the ballots of the orders that this process proposes.
class OrderProposer {
 public:
  struct Config {
    VoterId self;
    std::uint64_t seed = 0;                                      // for the random backoff
    const VoterSet* voters;                                      // current set; must outlive this object
    const DecidedHistory* decided;                               // must outlive this object
    const Items* currentItems;                                   // must outlive this object
    std::function<bool(const VoterId&)> isPermanentlyLost = {};  // see Agreement::Config
  };
  explicit OrderProposer(const Config& config) : config_(config), random_(config.seed) {}

  /// Returns false if the key does not belong to the proposer.
  bool restore(const std::string& key, const std::string& value);
  void reset(const VoterId& self) { config_.self = self; }

  /// Proposes an order that has undecided registers. Returns false if too many proposals are in flight;
  /// otherwise, the order is in flight, also on behalf of `call` if that is not 0.
  bool propose(Span now, std::uint64_t call, const OrderPtr& order, Effects& effects);
  /// Proposes an order that some voter has accepted and that has undecided registers. Ignored if too many
  /// proposals are in flight.
  void complete(Span now, const OrderPtr& order, Effects& effects);
  void forgetCall(std::uint64_t call);
  void handle(Span now, const PrepareReply& message, Effects& effects);
  /// Returns the decided order if this reply completed the majority, otherwise null.
  OrderPtr handle(Span now, const AcceptReply& message, Effects& effects);
  /// Processes registers that became decided in the history, or that a voter reports as decided and expired.
  /// Ends proposals without undecided registers and those with a conflict; returns the orders of the former.
  std::vector<OrderPtr> applyDecided(Span now, const std::vector<DecidedRegister>& decided,
                                     const std::vector<Item>& currentItems, Effects& effects);
  /// Restarts all proposals because the voter set has changed.
  void restart(Span now, Effects& effects);
  void tick(Span now, Effects& effects);
  /// Time at which tick() next has work.
  [[nodiscard]] std::optional<Span> nextTick() const;
  [[nodiscard]] std::size_t size() const { return proposals_.size(); }

 private:
  enum class Phase { preparing, accepting, waiting };
  struct ReportedOrder {  // an order reported as accepted, with the highest ballot reported for it
    AcceptedOrder accepted;
    std::size_t acceptors = 0;
  };
  struct Proposal {
    Proposal(OrderPtr proposed, const VoterSet& voters)
        : order(std::move(proposed)), granted(voters), refused(voters) {}
    OrderPtr order;
    std::map<RegisterId, const Item*> open;  // items not known to be decided
    std::set<RegisterId> expired;            // decided, but the value has expired from the history
    std::set<std::uint64_t> calls;
    Phase phase = Phase::waiting;
    Ballot ballot;
    std::uint64_t reservation = 0;  // if not 0, a reply to the ballot proves that this reservation is durable
    VoteCount granted;
    VoteCount refused;
    std::map<std::uint64_t, ReportedOrder> reported;
    OrderPtr value;                  // the order sent in Accept
    bool acceptSent = false;         // in this or an earlier ballot
    bool acceptedBefore = false;     // known to be accepted by some voter before the first ballot
    unsigned laterVersionWaits = 0;  // waits for a later version of one of the items
    unsigned failures = 0;           // consecutive failed ballots
    Span deadline{};                 // end of the ballot or of the wait
    std::uint64_t blockedBy = 0;     // while waiting: id of the order that must be completed first
  };
  using Proposals = std::map<std::uint64_t, Proposal>;  // by order id

  Proposal& addProposal(const OrderPtr& order);
  void startBallot(Span now, Proposal& proposal, Effects& effects);
  Ballot nextBallot(Proposal& proposal, Effects& effects);
  Proposal* find(const Ballot& ballot, Phase phase);
  /// Handles a failed ballot. Returns false if the proposal was abandoned because nothing depends on it.
  bool failBallot(Span now, Proposal& proposal);
  void learnRound(const Ballot& promised);
  void recordAccepted(const PrepareReply& message, Proposal& proposal);
  void evaluate(Span now, Proposal& proposal, bool timedOut, Effects& effects);
  [[nodiscard]] const ReportedOrder* findBlocking(const Proposal& proposal) const;
  [[nodiscard]] bool isRuledOut(const Proposal& proposal, const ReportedOrder& reported) const;
  [[nodiscard]] OrderPtr undecidedPart(const Proposal& proposal) const;
  [[nodiscard]] bool cannotReachMajority(const Proposal& proposal) const;
  [[nodiscard]] std::size_t voterCount() const;
  /// Whether a later version of one of the items is or may be decided and is not among the current items here
  /// yet.
  [[nodiscard]] bool mustWaitForLaterVersion(const Proposal& proposal) const;
  [[nodiscard]] bool lacksLaterVersion(const Proposal& proposal) const;
  /// Whether an accepted order that may be decided contains a later version of one of the items, while the
  /// proposed order itself has not been accepted by any voter.
  [[nodiscard]] bool mayBeSuperseded(const Proposal& proposal) const;
  void waitForLaterVersion(Span now, Proposal& proposal, Effects& effects);
  /// The reported entry of the proposed order itself, if a majority may have accepted it; otherwise null.
  [[nodiscard]] const ReportedOrder* ownReported(const Proposal& proposal) const;
  /// Whether outstanding replies could still show that no majority has accepted that order.
  [[nodiscard]] bool awaitsReplies(const Proposal& proposal, const ReportedOrder& accepted) const;
  void sendAccept(Span now, Proposal& proposal, Effects& effects);
  void reportConflict(const Proposal& proposal, const std::vector<RegisterId>& conflicting,
                      const std::vector<Item>& currentItems, Effects& effects) const;
  void finish(Span now, std::uint64_t order);
  [[nodiscard]] Span ballotTimeout(const Proposal& proposal) const;

  Config config_;
  std::mt19937_64 random_;
  Proposals proposals_;
  std::uint64_t lastCounter_ = 0;         // counter of the last round used
  std::uint64_t reservedUpTo_ = 0;        // reservation being written; counters up to it may be in use
  std::uint64_t durableReservation_ = 0;  // reservation known to be on disk
};

}  // namespace rackroute::mesh
