#pragma once

// The voter's half of the agreement: which ballots this process has promised for which registers, and which
// orders it has accepted and does not know to be decided. It owns both. An order is accepted for all its
// registers or for none. Held orders that overlap agree on what they say of the registers they share: when
// one is accepted that disagrees with a held one, the held one can't have had a majority at its ballot (else
// the other would never have been proposed) and is dropped.
//
// It must never go below a promise: when the memory of one ends, its ballot becomes a floor for all
// registers.

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

/// Whether two orders give different values to a register that both hold.
bool disagree(const Order& left, const Order& right);

class RegisterAcceptor {
 public:
  struct Verdict {
    bool granted = false;
    Ballot promised;                       // refused: the highest that stands in the way
    std::vector<DecidedRegister> decided;  // of the registers asked for, and what has overtaken them
  };
  struct Held {
    AcceptedOrder accepted;
    Span since{};  // last proposed here; of uptime
  };

  /// The history must outlive this.
  explicit RegisterAcceptor(const DecidedHistory& history) : history_(&history) {}

  /// False: the entry is none of its own.
  bool restore(const std::string& key, const std::string& value);
  /// Forgets all promises and accepted orders, on disk too.
  void reset(Effects& effects);

  /// Nothing: there is no room for it, or the request is malformed; no reply.
  std::optional<Verdict> promise(Span now, const Ballot& ballot, const std::vector<RegisterId>& registers,
                                 Effects& effects);
  std::optional<Verdict> accept(Span now, const Ballot& ballot, const OrderPtr& order, Effects& effects);
  /// Holds what another voter has accepted as if it were accepted here, though nobody is told so.
  void hold(Span now, const AcceptedOrder& accepted, Effects& effects);
  /// Registers became decided in the history. The orders that are undecided no more are returned, and held no
  /// more.
  std::vector<OrderPtr> settle(const std::vector<RegisterId>& decided, Effects& effects);
  /// Ends promises that are old.
  void expire(Span now, Effects& effects);

  /// Held orders that have any of the registers.
  [[nodiscard]] std::vector<AcceptedOrder> holding(const std::vector<RegisterId>& registers) const;
  /// These, and held orders that have a later version of the same item.
  [[nodiscard]] std::vector<AcceptedOrder> holdingOrOvertaking(
      const std::vector<RegisterId>& registers) const;
  [[nodiscard]] const std::map<std::uint64_t, Held>& held() const { return held_; }
  /// Proposals for it begin; whoever completes silent orders waits again.
  void touch(Span now, std::uint64_t order);
  [[nodiscard]] std::size_t promisedRegisters() const { return promised_.size(); }

 private:
  /// The registers that one ballot was promised for, one entry on disk.
  struct Promise {
    std::vector<RegisterId> registers;
    std::size_t inForce = 0;  // of them, those for which it is the highest
    Span since{};
  };

  [[nodiscard]] Ballot highest(const RegisterId& id) const;
  [[nodiscard]] Verdict judge(const Ballot& ballot, const std::vector<RegisterId>& registers) const;
  void addPromise(Span now, const Ballot& ballot, const std::vector<RegisterId>& registers, Effects& effects);
  void releasePromise(const RegisterId& id, Effects& effects);
  void forgetOldestPromise(Effects& effects);
  void indexPromise(const Ballot& ballot, Promise promise, Effects& effects);
  void drop(std::uint64_t order, Effects& effects);
  void index(const AcceptedOrder& accepted, Span since);
  [[nodiscard]] std::vector<AcceptedOrder> acceptedOf(const std::set<std::uint64_t>& ids) const;

  const DecidedHistory* history_;
  std::map<Ballot, Promise> promises_;
  std::deque<Ballot> promisesByAge_;  // oldest first; some may have gone
  std::map<RegisterId, Ballot> promised_;
  Ballot floor_;  // no lower ballot is granted for any register
  std::map<std::uint64_t, Held> held_;
  std::map<RegisterId, std::vector<std::uint64_t>> holders_;  // held orders that have the register
};

}  // namespace rackroute::mesh
