#pragma once

// Agreement on orders: for each version of each item (a register) exactly one value is ever decided, by a
// majority of the voters, in ballots (single-decree Paxos, a register each). All registers of an order are
// accepted by a voter together or not at all, so that an order comes into force whole or not at all.
//
// Safety. Whoever proposes for a register first has a majority promise its ballot, and learns from them which
// orders they accepted for it. An order found that way is completed before any other value is proposed; it is
// passed over only if another value is known to be decided for one of its registers, as it then was never
// accepted by a majority. Ballots, promises and acceptances count within one epoch of the voters only.
//
// A state machine: it takes inputs and returns effects; no I/O, no clock. It must never tell of a promise or
// an acceptance before it is on disk; whoever runs it sends Effects::afterWrite only then.

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "mesh/control/effects.hpp"
#include "mesh/control/messages.hpp"

namespace rackroute::mesh {

class Agreement {
 public:
  struct Built {
    VoterId self;
    std::uint64_t seed = 0;  // of the pauses between ballots
  };
  explicit Agreement(Built built);

  // --- state

  /// What a store holds under this part's keys; to be called before all else. False: it is none of its
  /// entries.
  bool restore(const std::string& key, const std::string& value);
  /// Another set counts from now on; proposals under way begin anew in it. Also the first set (epoch 0).
  void voters(const VoterSet& set, Span now, Effects& effects);
  /// This process votes only if it is in the set and lacks nothing that it must have read.
  void mayVote(bool may) { mayVote_ = may; }
  /// The process was voted out and has taken another incarnation: what it promised and accepted counts no
  /// more.
  void reset(const VoterId& self, Effects& effects);

  // --- as voter

  void heard(Span now, const Address& from, const Prepare& message, Effects& effects);
  void heard(Span now, const Address& from, const Accept& message, Effects& effects);
  /// Items became known as decided, from whatever source (a Decided, a copy fetched from another process).
  void decided(Span now, const std::vector<Item>& items, Effects& effects);

  // --- as proposer

  void heard(Span now, const PrepareReply& message, Effects& effects);
  void heard(Span now, const AcceptReply& message, Effects& effects);
  /// Brings an order to a decision; Effects::outcomes tells of it under that number. 0: nobody asks.
  void propose(Span now, std::uint64_t call, OrderPtr order, Effects& effects);
  /// Whoever asked has been answered; the proposal itself goes on.
  void forgetCall(std::uint64_t call);
  /// Begins refused ballots anew, gives up silent ones, and completes orders of proposers that have gone
  /// silent.
  void tick(Span now, Effects& effects);

  // --- for readers

  /// Orders that this process accepted and does not know to be decided.
  [[nodiscard]] std::vector<AcceptedOrder> accepted() const;
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
  bool mayVote_ = false;
  // (the implementer fills this in)
};

}  // namespace rackroute::mesh
