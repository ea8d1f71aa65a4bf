#pragma once

// Every order of what may happen to the claims on one key while disks are lost and the set of voters changes:
// claims and releases that arrive early, late or never, disks that fail, sets that are agreed on and adopted
// by each process at any time, voters that read the state of others. The votes, promises and sets are counted
// by the mesh's own classes; the agreement on a set is one step here (agreement_explorer.hpp looks into it).
//
// A claim's arrival, the vote and its arrival are one step. That hides no run in which a key runs twice: a
// vote that is told late or lost does no more than a claim that arrives late. A refusal is no step either: it
// leaves the state as a claim that is still on its way does. Voters and claimers are alike, so that states
// which differ only by who is who count as one.

#include <cstdint>

#include "lab/mesh/state_search.hpp"

namespace rackroute::lab::mesh {

/// A copy of the protocol that is broken on purpose, to see that the explorer finds it.
enum class VoterSetFlaw {
  none,
  voteBeforeSync,         // a vote is told before its promise is on disk
  freedTooEarly,          // a claim is given back though its request may be on its way to the server
  incarnationsMixed,      // a voter that lost its disk reads, and votes on in the same set as who it was
  setsWithoutOverlap,     // a voter joins beside the others, and the quorum stays as it was
  firstHolderOnly,        // of the claims that hold a key, a reader keeps only the first it learns of
  releaseFreesKey,        // once one of the claims that hold a key is released, the key is free
  readsBeforeFence,       // a reader counts the state of voters that still vote in the epoch before
  epochsMixed,            // a claimer goes on counting the votes that addresses gave in an earlier epoch
  votesInPastEpochs,      // a voter that adopted a set still votes for claims of the sets before
  votesBeforeReading,     // a voter that joined votes before it has read
  readsFromUnread,        // a reader counts the state of a voter that has itself not read yet
  shrinksWithoutReading,  // after a voter was removed the others vote on at once
  skipsEpochsUnread,      // a voter that missed a set votes in the next one though it has not read
  fenceBeforeSync,        // a voter acts on a set that it adopted before it has written it
  restartForgetsReading,  // a voter that restarts while it reads votes on without
};

struct VoterSetSearch {
  VoterSetFlaw flaw = VoterSetFlaw::none;
  unsigned voters = 5;
  unsigned standbys = 0;        // control processes at further addresses that may join
  unsigned claimers = 2;        // 3 at most
  unsigned wipes = 2;           // disks that may be lost
  unsigned changes = 2;         // sets that may be agreed on after the first; 3 at most
  unsigned powerLosses = 0;     // more than 0: a promise and its write are two steps
  bool removals = false;        // sets may shrink
  bool joins = false;           // sets may grow, by standbys
  bool rejoins = false;         // whoever was put out may join again
  bool releases = false;        // claimers may give up and give back
  bool silentReplaced = false;  // a standby may take the place of a voter that is up, but slow
  bool won = false;  // it begins where the first claimer has just won, with the first voters' votes
  /// It begins where a standby has taken the place of a voter that has not heard of it, and the first claimer
  /// has won in that second epoch. Wants a standby.
  bool wonUnheard = false;
  unsigned depth = 12;      // steps
  unsigned wonInEpoch = 0;  // not 0: the trail wanted is one to a claim that is won in that epoch
  std::uint64_t mostStates = 50'000'000;
};

/// The rule that states may break: two claims of one key are won, and neither was given back. Or, to see that
/// a search reaches what it is meant to, that no claim is won in search.wonInEpoch.
SearchResult explore(const VoterSetSearch& search);

}  // namespace rackroute::lab::mesh
