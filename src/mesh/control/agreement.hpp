#pragma once

// Agreement on orders: for each version of each item (a register) exactly one value is ever decided, by a
// majority of the voters, in ballots (single-decree Paxos, a register each). All registers of an order are
// accepted by a voter together or not at all, so that an order comes into force whole or not at all.
//
// Safety. Whoever proposes for a register first has a majority promise its ballot, and learns from them which
// orders they accepted for it. An order found that way is completed before any other value is proposed; it is
// passed over only if another value is known to be decided for one of its registers, as it then was never
// accepted by a majority, or if too few voters are left that may have accepted it for a majority. Ballots,
// promises and acceptances count within one epoch of the voters only; ballots of a later epoch are above all
// of an earlier one. register_acceptor.hpp has the voter's half, order_proposer.hpp the proposer's.
//
// What was decided of an order in part (an equal item came into force with another order) is left out of what
// is proposed; the rest is an order of its own.
//
// A state machine: it takes inputs and returns effects; no I/O, no clock. It must never tell of a promise or
// an acceptance before it is on disk; whoever runs it sends Effects::afterWrite only then.

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "mesh/control/decided_history.hpp"
#include "mesh/control/effects.hpp"
#include "mesh/control/messages.hpp"
#include "mesh/control/order_proposer.hpp"
#include "mesh/control/register_acceptor.hpp"

namespace rackroute::mesh {

/// The item under which a set of voters is agreed on; made one way only, as its print is compared.
Item itemOf(const VoterSet& set);

class Agreement {
 public:
  struct Built {
    VoterId self;
    std::uint64_t seed = 0;  // of the pauses between ballots
    /// The items in force here; the caller's, who merges into them. Must outlive this.
    const Items* inForce = nullptr;
    /// Whether this process may accept that set of voters as the next one. If not, it does not reply.
    /// mayBeDecided: a majority may have accepted it before, so that it can't be held up.
    std::function<bool(const VoterSet&, bool mayBeDecided)> acceptable = {};
    /// Whether that voter never votes again, as its disk is known to be lost. Without it none is.
    std::function<bool(const VoterId&)> isGone = {};
  };
  explicit Agreement(Built built);
  Agreement(const Agreement&) = delete;
  Agreement& operator=(const Agreement&) = delete;

  // --- state

  /// What a store holds under this part's keys; to be called before all else. False: it is none of its
  /// entries.
  bool restore(const std::string& key, const std::string& value);
  /// Another set counts from now on; proposals under way begin anew in it. Also the first set (epoch 0),
  /// which may come again with more voters. The set is recorded as decided; an earlier epoch's is ignored.
  void voters(const VoterSet& set, Span now, Effects& effects);
  /// This process votes only if it is in the set and lacks nothing that it must have read.
  void mayVote(bool may) { mayVote_ = may; }
  /// Who this process is, as its disk tells; before voters().
  void identify(const VoterId& self);
  /// The process was voted out and has taken another incarnation: what it promised and accepted counts no
  /// more.
  void reset(const VoterId& self, Effects& effects);

  // --- as voter

  void heard(Span now, const Address& from, const Prepare& message, Effects& effects);
  void heard(Span now, const Address& from, const Accept& message, Effects& effects);
  /// Items became known as decided, from whatever source (a Decided, a copy fetched from another process, the
  /// store of an earlier version). The caller merges them into the items in force before, and writes its own
  /// entries for them in the batch that has effects.entries. What else is decided by this comes in
  /// effects.decided, which the caller merges and writes likewise: in the same batch, after the call.
  void decided(Span now, const std::vector<Item>& items, Effects& effects);

  // --- as proposer

  void heard(Span now, const PrepareReply& message, Effects& effects);
  void heard(Span now, const AcceptReply& message, Effects& effects);
  /// Brings an order to a decision; Effects::outcomes tells of it under that number. 0: nobody asks, and it
  /// is given up if its first ballot fails before an Accept was sent. An empty order is decided.
  void propose(Span now, std::uint64_t call, OrderPtr order, Effects& effects);
  /// Whoever asked has been answered; the proposal itself goes on.
  void forgetCall(std::uint64_t call);
  /// Begins refused ballots anew, gives up silent ones, and completes orders of proposers that have gone
  /// silent.
  void tick(Span now, Effects& effects);
  /// When tick() has something to do next; it may be called at any time.
  [[nodiscard]] std::optional<Span> nextTick() const;

  /// All of its items are decided as it gives them: it was taken before. False also where that is forgotten.
  [[nodiscard]] bool isDecided(const Order& order) const;

  // --- for readers

  /// Orders that this process accepted and does not know to be decided.
  [[nodiscard]] std::vector<AcceptedOrder> accepted() const;
  /// The numbers of those with items of the configuration.
  [[nodiscard]] std::set<std::uint64_t> acceptedChanges() const;
  /// Which of them it still does not know to be decided.
  [[nodiscard]] std::vector<AcceptedOrder> stillAccepted(const std::set<std::uint64_t>& orders) const;
  /// Registers decided here, with their values' prints, as far as they are remembered.
  [[nodiscard]] std::vector<DecidedRegister> decidedRegisters() const;
  /// State of another voter, read while this one joins. Only of a fenced voter.
  void learn(Span now, const std::vector<AcceptedOrder>& accepted,
             const std::vector<DecidedRegister>& decided, Effects& effects);
  /// Orders that are accepted somewhere and decided nowhere that is known: those to be completed before a
  /// read of a majority may be answered. True: none of these is undecided here.
  [[nodiscard]] bool allDecided(const std::vector<AcceptedOrder>& accepted) const;
  /// Completes them.
  void complete(Span now, const std::vector<AcceptedOrder>& accepted, Effects& effects);
  [[nodiscard]] std::size_t proposalsUnderWay() const;

 private:
  /// Facts about registers, and what stands at their names, as far as it was told with them.
  void learnDecided(Span now, const std::vector<DecidedRegister>& decided, const std::vector<Item>& standing,
                    Effects& effects);
  void learnDecided(Span now, const std::vector<Item>& items, Effects& effects);
  /// Puts those items of decided orders into effects that are newer than what is in force.
  void bringIntoForce(const std::vector<OrderPtr>& orders, Effects& effects) const;
  void settleRestored(Span now, Effects& effects);
  void completeSilentOrders(Span now, Effects& effects);
  [[nodiscard]] Span silenceAllowed(const Order& order) const;
  [[nodiscard]] bool mayVoteOn(const Ballot& ballot, Epoch epoch) const;
  [[nodiscard]] bool acceptable(const Accept& message) const;
  [[nodiscard]] bool undecided(const Order& order) const;
  [[nodiscard]] std::vector<Item> standingAt(const std::vector<DecidedRegister>& decided) const;

  Built built_;
  VoterSet set_;
  bool mayVote_ = false;
  bool restored_ = false;  // and not yet looked through
  DecidedHistory history_;
  RegisterAcceptor acceptor_;
  OrderProposer proposer_;
};

}  // namespace rackroute::mesh
