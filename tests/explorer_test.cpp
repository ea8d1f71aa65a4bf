// Bounded model checkers: the protocols keep their invariants up to the given depth, and a search with the
// same bounds detects each deliberate defect.

#include <catch2/catch.hpp>

#include "lab/mesh/agreement_explorer.hpp"
#include "lab/mesh/claim_explorer.hpp"
#include "lab/mesh/voter_set_explorer.hpp"

using namespace rackroute;

TEST_CASE("the claim checker finds no key that runs twice and detects each defect") {
  using lab::mesh::ClaimFlaw;
  using lab::mesh::explore;
  const auto correct = explore({ClaimFlaw::none, 3, 8, 1, 2});
  CHECK(correct.states > 10'000);
  CHECK_FALSE(correct.trace);
  CHECK_FALSE(explore({ClaimFlaw::none, 3, 8, 1, 1, true}).trace);
  // Each defect is detected by a search that passes without it.
  CHECK(explore({ClaimFlaw::voteBeforeSync, 3, 10, 0, 1, true}).trace);
  CHECK_FALSE(explore({ClaimFlaw::none, 3, 10, 0, 1, true}).trace);
  CHECK(explore({ClaimFlaw::wipedVoterVotes, 3, 11, 1, 0, true}).trace);
  CHECK_FALSE(explore({ClaimFlaw::none, 3, 11, 1, 0, true}).trace);
  CHECK(explore({ClaimFlaw::releasedTooEarly, 3, 13, 0, 0, true}).trace);
  CHECK_FALSE(explore({ClaimFlaw::none, 3, 13, 0, 0, true}).trace);
}

namespace {

using lab::mesh::VoterSetFlaw;
using lab::mesh::VoterSetSearch;

/// Five voters, one disk loss, one change of the set; covers all reachable states of the correct protocol.
VoterSetSearch oneReplacement() {
  VoterSetSearch search;
  search.wipes = 1;
  search.changes = 1;
  search.depth = 30;
  return search;
}

/// Three voters, two of which have voted for the first of three claimers; claims are abandoned and released.
VoterSetSearch abandonedClaims() {
  VoterSetSearch search = oneReplacement();
  search.voters = 3;
  search.claimers = 3;
  search.releases = true;
  search.won = true;
  return search;
}

/// Three voters and one power loss.
VoterSetSearch onePowerLoss() {
  VoterSetSearch search = oneReplacement();
  search.voters = 3;
  search.powerLosses = 1;
  return search;
}

VoterSetSearch oneJoin() {
  VoterSetSearch search = oneReplacement();
  search.wipes = 0;
  search.standbys = 1;
  search.joins = true;
  return search;
}

VoterSetSearch releasedClaims() {
  VoterSetSearch search = oneReplacement();
  search.voters = 3;
  search.releases = true;
  return search;
}

/// Two disk losses after a claim was won.
VoterSetSearch twoReplacements() {
  VoterSetSearch search;
  search.won = true;
  search.depth = 18;
  return search;
}

VoterSetSearch twoRemovals() {
  VoterSetSearch search = twoReplacements();
  search.wipes = 0;
  search.removals = true;
  search.depth = 14;
  return search;
}

/// A replaced voter that has not learned of its removal joins again in a later set.
VoterSetSearch staleVoterRejoins() {
  VoterSetSearch search;
  search.voters = 3;
  search.standbys = 1;
  search.wipes = 0;
  search.changes = 3;
  search.silentReplaced = true;
  search.rejoins = true;
  search.wonWithStaleVoter = true;
  search.depth = 9;
  return search;
}

/// Checks that the search finds a violation with the flaw, after that many steps, and none without it.
void checkDetected(VoterSetSearch search, VoterSetFlaw flaw, std::size_t steps) {
  CHECK_FALSE(explore(search).trace);
  search.flaw = flaw;
  const auto flawed = explore(search);
  REQUIRE(flawed.trace);
  CHECK(flawed.trace->size() == steps);
}

using lab::mesh::AgreementFlaw;
using lab::mesh::AgreementSearch;

AgreementSearch orders(unsigned depth) {
  AgreementSearch search;
  search.depth = depth;
  return search;
}

AgreementSearch ordersWithPowerLoss(unsigned depth) {
  AgreementSearch search = orders(depth);
  search.restarts = 1;
  return search;
}

AgreementSearch ordersWithDiskLoss(unsigned depth) {
  AgreementSearch search = orders(depth);
  search.wipe = true;
  return search;
}

/// Checks that the search finds a violation with the flaw, after that many steps, and none without it.
void checkDetected(AgreementSearch search, AgreementFlaw flaw, std::size_t steps) {
  CHECK_FALSE(explore(search).trace);
  search.flaw = flaw;
  const auto flawed = explore(search);
  REQUIRE(flawed.trace);
  CHECK(flawed.trace->size() == steps);
}

}  // namespace

TEST_CASE("claims and set changes with five voters never run a key twice") {
  const auto all = explore(oneReplacement());
  CHECK_FALSE(all.trace);
  CHECK(all.exhausted);
  CHECK(all.states > 5'000);
  VoterSetSearch two;
  two.depth = 14;
  const auto deep = explore(two);
  CHECK_FALSE(deep.trace);
  CHECK(deep.states > 50'000);
  // Coverage: the search reaches claims that are won after two replacements.
  two.targetWonInEpoch = 3;
  CHECK(explore(two).trace);
}

TEST_CASE("a voter that keeps its incarnation after a disk loss lets a key run twice") {
  // It reads from a majority before a claim that already has its earlier vote reaches any of these voters.
  checkDetected(oneReplacement(), VoterSetFlaw::reusesIncarnation, 10);
}

TEST_CASE("a voter that joins without a change of quorum lets a key run twice") {
  checkDetected(oneJoin(), VoterSetFlaw::setsWithoutOverlap, 10);
}

TEST_CASE("a voter that drops one of a key's holders lets the key run twice") {
  checkDetected(abandonedClaims(), VoterSetFlaw::firstHolderOnly, 10);
  checkDetected(abandonedClaims(), VoterSetFlaw::releaseDropsAllHolders, 14);
}

TEST_CASE("votes counted outside their epoch let a key run twice") {
  checkDetected(oneReplacement(), VoterSetFlaw::mixesEpochs, 17);
  checkDetected(oneReplacement(), VoterSetFlaw::votesInPastEpochs, 16);
}

TEST_CASE("a voter that votes without the required reads lets a key run twice") {
  checkDetected(oneReplacement(), VoterSetFlaw::readsBeforeFence, 15);
  checkDetected(oneReplacement(), VoterSetFlaw::votesBeforeReading, 12);
  checkDetected(twoReplacements(), VoterSetFlaw::readsFromIncompleteVoter, 18);
  checkDetected(twoRemovals(), VoterSetFlaw::removalSkipsReading, 10);
  checkDetected(staleVoterRejoins(), VoterSetFlaw::skippedEpochsSkipReading, 9);
}

TEST_CASE("acting on state that is not yet on disk lets a key run twice") {
  checkDetected(onePowerLoss(), VoterSetFlaw::voteBeforeSync, 5);
  checkDetected(onePowerLoss(), VoterSetFlaw::fenceBeforeSync, 17);
  checkDetected(onePowerLoss(), VoterSetFlaw::restartSkipsReading, 14);
}

TEST_CASE("a claim released while it may still run lets a key run twice") {
  checkDetected(releasedClaims(), VoterSetFlaw::releasedTooEarly, 6);
}

TEST_CASE("agreement decides no register twice and no order partially") {
  AgreementSearch lossy = orders(11);
  lossy.losses = 1;
  lossy.timers = 1;
  const auto found = explore(lossy);
  CHECK_FALSE(found.trace);
  CHECK(found.states > 50'000);
  AgreementSearch restarting = ordersWithPowerLoss(11);
  restarting.timers = 1;
  CHECK_FALSE(explore(restarting).trace);
  CHECK_FALSE(explore(ordersWithDiskLoss(12)).trace);
  AgreementSearch five = orders(8);
  five.voters = 5;
  five.proposers = 3;
  CHECK_FALSE(explore(five).trace);
  // Coverage: the search reaches an acknowledged order.
  five.targetAcknowledged = true;
  CHECK(explore(five).trace);
}

TEST_CASE("the agreement checker detects each defect") {
  checkDetected(orders(6), AgreementFlaw::acceptsUnconditionally, 5);
  checkDetected(orders(6), AgreementFlaw::appliesBeforeDecision, 2);
  checkDetected(orders(7), AgreementFlaw::appliesPartially, 7);
  checkDetected(ordersWithPowerLoss(6), AgreementFlaw::repliesBeforeWrite, 4);
  checkDetected(ordersWithPowerLoss(15), AgreementFlaw::promisesNotPersisted, 15);
  checkDetected(ordersWithDiskLoss(9), AgreementFlaw::votesBeforeReading, 9);
}
