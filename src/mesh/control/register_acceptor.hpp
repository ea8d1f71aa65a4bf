#pragma once

// The acceptor role of the agreement: stores the ballots that this process has promised per register, and the
// orders that it has accepted and does not know to be decided. An order is accepted for all of its registers
// or for none. Accepted orders that share registers have equal values for them: if an order is accepted that
// conflicts with an earlier accepted one, the earlier one cannot have had a majority at its ballot, because
// otherwise the new one would not have been proposed, and it is dropped.
//
// A promise must never be violated: when one is evicted, its ballot becomes a lower bound for all registers.

#include <deque>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "mesh/control/decided_history.hpp"
#include "mesh/control/effects.hpp"
#include "mesh/control/messages.hpp"

namespace rackroute::mesh {

/// Whether two orders have different values for a register that both contain.
bool conflicts(const Order& left, const Order& right);

/// Promises and accepted orders of this process.
class RegisterAcceptor {
 public:
  struct Response {
    bool granted = false;
    Ballot promised;                       // highest ballot promised or accepted for any of the registers
    std::vector<DecidedRegister> decided;  // of the registers, and later versions that supersede them
  };
  struct AcceptedEntry {
    AcceptedOrder accepted;
    Span lastProposed{};  // uptime at which it was last proposed or accepted here
  };

  /// `history` must outlive this object.
  explicit RegisterAcceptor(const DecidedHistory& history) : history_(&history) {}

  /// Returns false if the key does not belong to the acceptor.
  bool restore(const std::string& key, const std::string& value);
  /// Discards all promises and accepted orders, also on disk.
  void reset(Effects& effects);

  /// Handles a Prepare or an Accept. Returns nothing, and sends no reply, if the request is malformed or
  /// capacity is exhausted.
  std::optional<Response> promise(Span now, const Ballot& ballot, const std::vector<RegisterId>& registers,
                                  Effects& effects);
  std::optional<Response> accept(Span now, const Ballot& ballot, const OrderPtr& order, Effects& effects);
  /// Stores an order that another voter has accepted as if it had been accepted here. No reply is sent for
  /// it.
  void store(Span now, const AcceptedOrder& accepted, Effects& effects);
  /// Releases promises for registers that became decided in the history. Removes and returns the accepted
  /// orders that are no longer undecided.
  std::vector<OrderPtr> applyDecided(const std::vector<RegisterId>& decided, Effects& effects);
  /// Evicts old promises.
  void expire(Span now, Effects& effects);

  /// Accepted orders that contain any of the registers.
  [[nodiscard]] std::vector<AcceptedOrder> acceptedFor(const std::vector<RegisterId>& registers) const;
  /// As acceptedFor(), and also accepted orders that contain a later version of one of the items.
  [[nodiscard]] std::vector<AcceptedOrder> acceptedForOrLater(const std::vector<RegisterId>& registers) const;
  [[nodiscard]] const std::map<std::uint64_t, AcceptedEntry>& acceptedOrders() const { return accepted_; }
  /// Restarts the stall timer of an order because it is being proposed.
  void touch(Span now, std::uint64_t order);
  [[nodiscard]] std::size_t promisedRegisters() const { return promised_.size(); }

 private:
  /// The registers for which one ballot was promised; stored as one entry.
  struct Promise {
    std::vector<RegisterId> registers;
    std::size_t activeRegisters = 0;  // registers for which this is the highest promise
    Span since{};
  };

  [[nodiscard]] Ballot highest(const RegisterId& id) const;
  [[nodiscard]] Response evaluate(const Ballot& ballot, const std::vector<RegisterId>& registers) const;
  void addPromise(Span now, const Ballot& ballot, const std::vector<RegisterId>& registers, Effects& effects);
  void releasePromise(const RegisterId& id, Effects& effects);
  void evictOldestPromise(Effects& effects);
  void indexPromise(const Ballot& ballot, Promise promise, Effects& effects);
  void drop(std::uint64_t order, Effects& effects);
  void indexOrder(const AcceptedOrder& accepted, Span lastProposed);
  [[nodiscard]] std::vector<AcceptedOrder> ordersWithIds(const std::set<std::uint64_t>& ids) const;

  const DecidedHistory* history_;
  std::map<Ballot, Promise> promises_;
  std::deque<Ballot> promisesByAge_;  // oldest first; may contain ballots without a promise
  std::map<RegisterId, Ballot> promised_;
  Ballot floor_;  // lower ballots are refused for all registers
  std::map<std::uint64_t, AcceptedEntry> accepted_;
  std::map<RegisterId, std::vector<std::uint64_t>> ordersByRegister_;  // ids of accepted orders
};

}  // namespace rackroute::mesh
