#pragma once

// Bounded model checker of the claims on one key, for a few voters with a fixed voter set and two claimers:
// message delivery and loss, disk syncs, power and disk losses, and abandoned claims. Promises and claims are
// the production classes; disks and sessions are modelled.

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace rackroute::lab::mesh {

/// A deliberate defect of the protocol that the checker must detect.
enum class ClaimFlaw {
  none,
  voteBeforeSync,    // a vote is sent before its promise is on disk
  wipedVoterVotes,   // a voter that lost its disk votes before it has caught up
  releasedTooEarly,  // a claim is released while its request may still reach the server
};

struct ClaimSearchResult {
  std::uint64_t states = 0;
  std::optional<std::vector<std::string>> trace;  // the steps to a state in which the key has run twice
};

struct ClaimSearch {
  ClaimFlaw flaw = ClaimFlaw::none;
  std::size_t voters = 3;
  unsigned depth = 9;  // maximum number of steps
  unsigned wipes = 1;  // maximum number of disk losses
  unsigned kills = 2;  // maximum number of power and session losses
  bool won = false;    // start with a claim of the first claimer that the first voters have granted
};

/// Searches for a state in which the key has run twice.
ClaimSearchResult explore(const ClaimSearch& search);

}  // namespace rackroute::lab::mesh
