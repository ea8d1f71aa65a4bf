#pragma once

// Bounded model checker of the agreement protocol: a few voters agree on conflicting orders under delayed and
// lost messages, timers, disk writes, power losses, and a disk loss followed by a change of the voter set.
// Proposers and voters run the production Agreement class. Disks and sessions are modelled, and the agreement
// on a new voter set is a single step.
//
// A process depends only on the inputs since its start, so each input history is executed once and shared by
// all states that contain it. A state consists of one history per process and the messages in flight.
// Messages of a session arrive in order; a process receives its own messages immediately.

#include <cstdint>

#include "lab/mesh/state_search.hpp"

namespace rackroute::lab::mesh {

/// A deliberate defect of the protocol that the checker must detect.
enum class AgreementFlaw {
  none,
  acceptsUnconditionally,  // a voter replies to every Accept that it accepted the order
  appliesBeforeDecision,   // a proposer applies an order when it sends the Accept messages
  repliesBeforeWrite,      // replies are sent before the disk write completes
  promisesNotPersisted,    // promised ballots are kept in memory only
  appliesPartially,        // only the first item of a decided order is applied
  votesBeforeReading,      // a new voter votes before it has read the state of the others
};

struct AgreementSearch {
  AgreementFlaw flaw = AgreementFlaw::none;
  unsigned voters = 3;     // at most 5
  unsigned proposers = 2;  // at most 3; the order of each shares a register with the order of the next
  unsigned losses = 0;     // maximum number of lost messages
  unsigned restarts = 0;   // maximum number of power losses; if not 0, disk writes are separate steps
  unsigned timers = 0;     // maximum number of timers that fire
  bool wipe = false;       // the last voter may lose its disk and be replaced
  unsigned depth = 12;     // maximum number of steps
  std::uint64_t maxStates = 20'000'000;
  bool targetAcknowledged = false;  // search for a state in which an order is acknowledged
};

/// Searches for a state that violates an invariant: no register is decided twice; an order that is applied or
/// acknowledged was accepted on disk by a majority and is applied completely; a refused order was not.
SearchResult explore(const AgreementSearch& search);

}  // namespace rackroute::lab::mesh
