#pragma once

// Every order of what may happen while a few voters agree on conflicting orders: messages that arrive late or
// never, timers, writes to disk, lost power, a lost disk and the change of the set that follows. The
// proposers and voters are the mesh's own Agreement; the disks and the sessions are modelled here, and the
// agreement on the set itself is one step.
//
// What a process does depends only on what it has met since it started, so that each such history is played
// once, whatever else happens elsewhere; a state is one history for each process and the messages on their
// way. Messages of one session arrive in order. A process hears its own messages at once.

#include <cstdint>

#include "lab/mesh/state_search.hpp"

namespace rackroute::lab::mesh {

/// A copy that is broken on purpose, to see that the explorer finds it.
enum class AgreementFlaw {
  none,
  acceptsWhatever,     // a voter answers that it accepted, whatever it holds
  pushedBeforeAgreed,  // an order comes into force at its proposer when it is sent to be accepted
  toldBeforeWrite,     // replies don't wait for the disk
  promisesNotWritten,  // promised ballots are held in memory only
  inForceInParts,      // of an order that is told to be decided, one item is taken
  votesBeforeReading,  // a voter that joined votes before it has read
};

struct AgreementSearch {
  AgreementFlaw flaw = AgreementFlaw::none;
  unsigned voters = 3;     // 5 at most
  unsigned proposers = 2;  // 3 at most; each with an order that shares a register with the next one's
  unsigned losses = 0;     // messages that may be lost
  unsigned restarts = 0;   // losses of power; more than 0: what is written and what is told are two steps
  unsigned timers = 0;     // that may fire
  bool wipe = false;       // the last voter may lose its disk, and is replaced
  unsigned depth = 12;     // steps
  std::uint64_t mostStates = 20'000'000;
  bool wantsDecision = false;  // the trail wanted is one to an order that is acknowledged
};

/// The rules that states may break: no register is decided twice; what is in force anywhere, or was
/// acknowledged, has been accepted by a majority, on disk, and is in force whole; what was refused has not.
SearchResult explore(const AgreementSearch& search);

}  // namespace rackroute::lab::mesh
