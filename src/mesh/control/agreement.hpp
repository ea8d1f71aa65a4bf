#pragma once

// Agreement on orders. Each version of each item is a register for which at most one value is ever decided,
// by a majority of the voters (single-decree Paxos per register). A voter accepts all registers of an order
// or none of them, so an order takes effect atomically.
//
// Safety: a proposer first obtains promises for its ballot from a majority and learns which orders those
// voters have accepted for its registers. It completes such an order before it proposes another value. It
// skips an accepted order only if a different value is known to be decided for one of the order's registers,
// so a majority never accepted it, or if too few of the remaining voters can have accepted it to form a
// majority. Ballots, promises and acceptances are valid within one epoch of the voter set only; ballots of a
// later epoch are higher than all ballots of earlier epochs. register_acceptor.hpp implements the acceptor,
// order_proposer.hpp the proposer.
//
// If some registers of an order are already decided with the proposed values, because another order contained
// equal items, only the remaining items are proposed.
//
// This is a state machine without I/O or a clock: it takes inputs and returns effects. Promises and
// acceptances must be durable before a reply reports them, so the caller sends Effects::afterWrite only after
// the entries of the same Effects are on disk.

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

/// The item that represents a voter set in the agreement. All processes must build it identically because its
/// hash is compared.
Item itemOf(const VoterSet& set);

/// The agreement of one control process, as acceptor and proposer.
class Agreement {
 public:
  struct Config {
    VoterId self;
    std::uint64_t seed = 0;  // for the random backoff between ballots
    /// Current items of this process. Owned and updated by the caller; must outlive this object.
    const Items* currentItems = nullptr;
    /// Whether this process may accept the set as the next voter set. If not, the Accept gets no reply.
    /// mayBeDecided: a majority may have accepted the set already, so it must not be blocked.
    std::function<bool(const VoterSet&, bool mayBeDecided)> acceptable = {};
    /// Whether the voter will never vote again because its disk is known to be lost. If unset, no voter is
    /// considered lost.
    std::function<bool(const VoterId&)> isPermanentlyLost = {};
  };
  explicit Agreement(Config config);
  Agreement(const Agreement&) = delete;
  Agreement& operator=(const Agreement&) = delete;

  // --- state

  /// Restores one stored entry. Must be called for all entries before any other input. Returns false if the
  /// key does not belong to the agreement.
  bool restore(const std::string& key, const std::string& value);
  /// Installs a voter set and records it as decided; proposals in flight restart in its epoch. The initial
  /// set (epoch 0) may be installed again with more voters. Sets of an earlier epoch are ignored.
  void setVoters(const VoterSet& set, Span now, Effects& effects);
  /// Set if this process is in the voter set and its state is complete. Without it, the process does not
  /// vote.
  void setMayVote(bool may) { mayVote_ = may; }
  /// Sets the identity read from disk. Must be called before setVoters().
  void setSelf(const VoterId& self);
  /// Discards all promises and accepted orders, after the process was removed from the voter set and took a
  /// new incarnation.
  void reset(const VoterId& self, Effects& effects);

  // --- as voter

  void handle(Span now, const Address& from, const Prepare& message, Effects& effects);
  void handle(Span now, const Address& from, const Accept& message, Effects& effects);
  /// Records items as decided, whatever the source: a Decided message, items fetched from another process, or
  /// a store written by an earlier version. Before the call, the caller merges the items into the current
  /// items; it writes its own entries for them in the same batch as effects.entries. Further items that
  /// become decided as a result are returned in effects.decided; the caller merges and writes them in that
  /// batch as well.
  void recordDecided(Span now, const std::vector<Item>& items, Effects& effects);

  // --- as proposer

  void handle(Span now, const PrepareReply& message, Effects& effects);
  void handle(Span now, const AcceptReply& message, Effects& effects);
  /// Starts to bring an order to a decision. The outcome is reported in Effects::outcomes under the call
  /// number. With call 0 no outcome is reported, and the proposal is abandoned if its first ballot fails
  /// before an Accept was sent. An empty order counts as decided.
  void propose(Span now, std::uint64_t call, OrderPtr order, Effects& effects);
  /// Drops the call because it has been answered. The proposal continues if it may already be accepted
  /// somewhere or other calls wait for it.
  void forgetCall(std::uint64_t call);
  /// Retries failed ballots, times out unanswered ones, and completes accepted orders whose proposers have
  /// stopped making progress.
  void tick(Span now, Effects& effects);
  /// Time at which tick() next has work; tick() may be called at any time.
  [[nodiscard]] std::optional<Span> nextTick() const;

  /// Whether every item of the order is decided with the value given there. Also false if an item's decision
  /// has expired from the history.
  [[nodiscard]] bool isDecided(const Order& order) const;

  // --- for readers

  /// Orders that this process has accepted and does not know to be decided.
  [[nodiscard]] std::vector<AcceptedOrder> accepted() const;
  /// Ids of those accepted orders that contain configuration items.
  [[nodiscard]] std::set<std::uint64_t> acceptedConfigurationOrders() const;
  /// Those of the given orders that are still accepted and not known to be decided.
  [[nodiscard]] std::vector<AcceptedOrder> stillAccepted(const std::set<std::uint64_t>& orders) const;
  /// Decided registers with the hashes of their values, as far as the history reaches.
  [[nodiscard]] std::vector<DecidedRegister> decidedRegisters() const;
  /// Imports the state of another voter while this process joins. That voter must be fenced: it no longer
  /// votes in earlier epochs.
  void importState(Span now, const std::vector<AcceptedOrder>& accepted,
                   const std::vector<DecidedRegister>& decided, Effects& effects);
  /// Whether none of these orders, accepted by some voter, is still undecided here. A majority read completes
  /// the undecided ones before it returns.
  [[nodiscard]] bool allDecided(const std::vector<AcceptedOrder>& accepted) const;
  /// Proposes those of these orders that are undecided.
  void complete(Span now, const std::vector<AcceptedOrder>& accepted, Effects& effects);
  [[nodiscard]] std::size_t proposalsInFlight() const;

 private:
  /// Records decided registers, with the current items of the same names as far as the sender included them.
  void applyDecided(Span now, const std::vector<DecidedRegister>& decided,
                    const std::vector<Item>& currentItems, Effects& effects);
  void applyDecided(Span now, const std::vector<Item>& items, Effects& effects);
  /// Adds the decided items of these orders that are newer than the current items to effects.decided.
  void collectNewlyDecided(const std::vector<OrderPtr>& orders, Effects& effects) const;
  void resolveRestored(Span now, Effects& effects);
  void completeStalledOrders(Span now, Effects& effects);
  [[nodiscard]] Span stallTimeout(const Order& order) const;
  [[nodiscard]] bool mayVoteOn(const Ballot& ballot, Epoch epoch) const;
  [[nodiscard]] bool acceptable(const Accept& message) const;
  [[nodiscard]] bool undecided(const Order& order) const;
  [[nodiscard]] std::vector<Item> currentItemsOf(const std::vector<DecidedRegister>& decided) const;

  Config config_;
  VoterSet set_;
  bool mayVote_ = false;
  bool restorePending_ = false;  // entries were restored and resolveRestored() has not run
  DecidedHistory history_;
  RegisterAcceptor acceptor_;
  OrderProposer proposer_;
};

}  // namespace rackroute::mesh
