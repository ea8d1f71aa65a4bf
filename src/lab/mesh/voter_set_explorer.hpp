#pragma once

// Bounded model checker of the claims on one key while disks are lost and the voter set changes: claims and
// releases arrive at any time or never, disks fail, each process adopts an agreed voter set at any time, and
// voters read the state of other voters. Votes, promises and voter sets are the production classes. The
// agreement on a voter set is a single step; agreement_explorer.hpp covers that protocol.
//
// The delivery of a claim, the vote and its delivery are one step. This hides no violation: a late or lost
// vote has the same effect as a late claim. A refusal is no step, as it changes no state. Voters and claimers
// are symmetric: states that differ only in their numbering are treated as one.

#include <cstdint>

#include "lab/mesh/state_search.hpp"

namespace rackroute::lab::mesh {

/// A deliberate defect of the protocol that the checker must detect.
enum class VoterSetFlaw {
  none,
  voteBeforeSync,            // a vote is sent before its promise is on disk
  releasedTooEarly,          // a claim is released while its request may still reach the server
  reusesIncarnation,         // a voter that lost its disk keeps its incarnation and votes on after reading
  setsWithoutOverlap,        // a voter joins the set without a change of epoch or quorum
  firstHolderOnly,           // a reader keeps only the first of several claims that hold the key
  releaseDropsAllHolders,    // the release of one holder drops the other holders of the key too
  readsBeforeFence,          // a reader counts the state of voters that still vote in the previous epoch
  mixesEpochs,               // a claimer keeps counting votes that an address gave in an earlier epoch
  votesInPastEpochs,         // a voter that adopted a set still votes for claims of earlier sets
  votesBeforeReading,        // a new voter votes before it has read the state of the others
  readsFromIncompleteVoter,  // a reader counts the state of a voter that has not completed its own reads
  removalSkipsReading,       // after the removal of a voter the others vote without reading
  skippedEpochsSkipReading,  // a voter that missed a set votes in the next one without reading
  fenceBeforeSync,           // a voter acts on an adopted set before it is on disk
  restartSkipsReading,       // a voter that restarts while it reads votes without completing the reads
};

struct VoterSetSearch {
  VoterSetFlaw flaw = VoterSetFlaw::none;
  unsigned voters = 5;
  unsigned standbys = 0;        // control processes outside the first set
  unsigned claimers = 2;        // at most 3
  unsigned wipes = 2;           // maximum number of disk losses
  unsigned changes = 2;         // maximum number of set changes; at most 3
  unsigned powerLosses = 0;     // maximum number; if not 0, a promise and its disk write are separate steps
  bool removals = false;        // voters may be removed
  bool joins = false;           // standbys may be added as voters
  bool rejoins = false;         // removed voters may join again
  bool releases = false;        // claimers may abandon and release claims
  bool silentReplaced = false;  // a standby may replace a voter that is up but unresponsive
  bool won = false;             // start with a claim of the first claimer that the first voters have granted
  /// Start in the second epoch, in which a standby has replaced a voter that has not yet learned of it, and
  /// the first claimer has won. Requires a standby.
  bool wonWithStaleVoter = false;
  unsigned depth = 12;            // maximum number of steps
  unsigned targetWonInEpoch = 0;  // not 0: search for a state in which a claim is won in this epoch
  std::uint64_t maxStates = 50'000'000;
};

/// Searches for a state in which two claims on the key are won and neither is released, or, for coverage
/// checks, one in which a claim is won in the epoch search.targetWonInEpoch.
SearchResult explore(const VoterSetSearch& search);

}  // namespace rackroute::lab::mesh
