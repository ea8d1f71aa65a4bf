#pragma once

// Every order of what may happen to one key: words delivered or lost, disks synced, processes killed, power
// and disks lost, claims given up, for a few voters and two claimers, to a stated depth. The promises and
// claims are the mesh's own; the voters' disks and the sessions are modelled here.

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace rackroute::lab::mesh {

/// A copy of the protocol that is broken on purpose, to see that the explorer finds it.
enum class Flaw {
  none,
  voteBeforeSync,  // a vote is told before its promise is on disk
  blankVotes,      // a voter that lost its disk votes before it has caught up
  freedTooEarly,   // a claim is given back though its request may be on its way to the server
};

struct Found {
  std::uint64_t states = 0;
  std::optional<std::vector<std::string>> trail;  // the steps to a key that runs twice
};

struct Search {
  Flaw flaw = Flaw::none;
  std::size_t voters = 3;
  unsigned depth = 9;  // steps
  unsigned wipes = 1;  // disks that may be lost
  unsigned kills = 2;  // losses of power and of sessions
  bool won = false;    // it begins where the first claimer has just won, with the first voters' votes
};

Found explore(const Search& search);

}  // namespace rackroute::lab::mesh
