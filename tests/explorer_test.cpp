// The bounded model checkers of the protocols: the sound protocol keeps its rules in every order of events to
// the stated depth, and each copy that is broken on purpose is found by the same search.

#include "lab/mesh/explorer.hpp"

#include <catch2/catch.hpp>

#include "lab/mesh/voter_set_explorer.hpp"

using namespace rackroute;

TEST_CASE("no order of words and losses runs a key twice, and broken copies of the protocol do") {
  using lab::mesh::explore;
  using lab::mesh::Flaw;
  const auto sound = explore({Flaw::none, 3, 8, 1, 2});
  CHECK(sound.states > 10'000);
  CHECK_FALSE(sound.trail);
  CHECK_FALSE(explore({Flaw::none, 3, 8, 1, 1, true}).trail);
  // Each broken copy is found, where the sound one with the same search is not.
  CHECK(explore({Flaw::voteBeforeSync, 3, 10, 0, 1, true}).trail);
  CHECK_FALSE(explore({Flaw::none, 3, 10, 0, 1, true}).trail);
  CHECK(explore({Flaw::blankVotes, 3, 11, 1, 0, true}).trail);
  CHECK_FALSE(explore({Flaw::none, 3, 11, 1, 0, true}).trail);
  CHECK(explore({Flaw::freedTooEarly, 3, 13, 0, 0, true}).trail);
  CHECK_FALSE(explore({Flaw::none, 3, 13, 0, 0, true}).trail);
}

// The protocol without epochs and incarnations.

TEST_CASE("a voter that loses its disk and catches up as who it was lets a key run twice") {
  using namespace lab::mesh;
  VoterSetSearch search;
  search.flaw = VoterSetFlaw::catchesUpInPlace;
  search.wipes = 1;
  // It reads from a majority before a claim that has its earlier vote reaches one of these.
  const auto found = explore(search);
  REQUIRE(found.trail);
  CHECK(found.trail->size() == 10);
}

TEST_CASE("a voter that keeps only the first holder of a key it reads lets the key run twice") {
  using namespace lab::mesh;
  VoterSetSearch search;
  search.flaw = VoterSetFlaw::catchesUpInPlace;
  search.voters = 3;
  search.claimers = 3;
  search.wipes = 1;
  search.won = true;  // so that no earlier vote counts beside a later one
  search.releases = true;
  const auto found = explore(search);
  REQUIRE(found.trail);
  CHECK(found.trail->size() == 5);
}

TEST_CASE("a voter that joins beside the others under the same quorum lets a key run twice") {
  using namespace lab::mesh;
  VoterSetSearch search;
  search.flaw = VoterSetFlaw::setsWithoutOverlap;
  search.standbys = 1;
  search.wipes = 0;
  const auto found = explore(search);
  REQUIRE(found.trail);
  CHECK(found.trail->size() == 10);
}
