// Requests whose clients have left: no server works for them, but for what can't be cancelled.

#include <catch2/catch.hpp>

#include "lab/mesh/world.hpp"
#include "mesh_fixtures.hpp"

using namespace rackroute;
using namespace rackroute::mesh;

TEST_CASE("a request whose client left is cancelled wherever it is, but for one with a key") {
  for (const RouteKind kind : {RouteKind::pure, RouteKind::effectful}) {
    RequestRouter router = caller(kind);
    const RoutingActions sent = router.asked(0s, {1}, kAsked);
    REQUIRE(countOf(sent, RoutingAction::Kind::send) == 1);
    const RoutingActions over = router.abandoned(100ms, {1});
    REQUIRE(countOf(over, RoutingAction::Kind::cancel) == 1);
    CHECK(over.back().sent == sent.back().sent);
    CHECK(router.atWork() == 0);
    // Word of it that comes all the same finds nothing to do.
    CHECK(router.forwarded(200ms, {1}, sent.back().sent, ForwardResult::broken, {}, 0, nullptr).empty());
    CHECK(router.abandoned(200ms, {1}).empty());
  }
  RequestRouter keyed = caller(RouteKind::keyed);
  keyed.asked(0s, {1}, kAsked);
  CHECK(keyed.abandoned(100ms, {1}).empty());
  CHECK(keyed.atWork() == 1);
}

TEST_CASE("a client that leaves counts for nothing against the server it was sent to") {
  RequestRouter router = caller(RouteKind::pure);
  for (std::uint64_t no = 1; no <= 40; ++no) {
    router.asked(0s, {no}, kAsked);
    router.abandoned(100ms, {no});
  }
  CHECK(router.servers().countEjected(1s, {"desk"}) == 0);
}

TEST_CASE("a server is told to stop what may be repeated, and what waits takes its place") {
  Admission here = admissionWithVoters();
  here.beat(0s, beat("i1", 1, 1));
  REQUIRE(countOf(here.asked(0s, {1}, ask(RouteKind::pure), std::nullopt), AdmissionAction::Kind::run) == 1);
  REQUIRE(here.asked(0s, {2}, ask(RouteKind::effectful), std::nullopt).empty());
  // One that waits was never at a server.
  const AdmissionActions waited = here.abandoned(10ms, {2});
  REQUIRE(waited.size() == 1);
  CHECK(waited[0].told.verdict == Verdict::overloaded);
  REQUIRE(here.asked(10ms, {3}, ask(RouteKind::effectful), std::nullopt).empty());
  const AdmissionActions stopped = here.abandoned(20ms, {1});
  REQUIRE(countOf(stopped, AdmissionAction::Kind::cancel) == 1);
  REQUIRE(countOf(stopped, AdmissionAction::Kind::run) == 1);
  CHECK(stopped.back().ask == InboundRequestId{3});
  // It may not be repeated: the server goes on, and its end is taken as ever.
  CHECK(here.abandoned(30ms, {3}).empty());
  CHECK(countOf(here.ran(40ms, {3}, AtServer::answered, {200, false, nullptr, 0}),
                AdmissionAction::Kind::answer) == 1);
  CHECK(here.atWork() == 0);
}

TEST_CASE("a keyed request goes on when its caller has left, and its repeat gets the answer") {
  Admission here = admissionWithVoters();
  here.beat(0s, beat("i1", 1, 1));
  const AdmissionActions claiming = here.asked(0s, {1}, ask(RouteKind::keyed), "k");
  CHECK(here.abandoned(1ms, {1}).empty());
  REQUIRE(countOf(here.claimEnded(2ms, winClaim(here, claiming[0].claim)), AdmissionAction::Kind::run) == 1);
  CHECK(here.abandoned(3ms, {1}).empty());
  const auto bytes = std::make_shared<int>(5);
  here.ran(9ms, {1}, AtServer::answered, {200, false, bytes, 100});
  CHECK(here.asked(1s, {2}, ask(RouteKind::keyed), "k").back().bytes == bytes);
}

TEST_CASE("on a day on which half of the clients leave early no server works on for them") {
  const auto day = lab::mesh::readDay(std::string(RACKROUTE_LAB_MESH) + "/clients-leave.toml");
  for (std::uint64_t seed = 1; seed <= 3; ++seed) {
    const lab::mesh::DayResult played = lab::mesh::runDay(day, seed);
    for (const lab::mesh::Violation& broken : played.violations) FAIL(broken.rule + ": " + broken.detail);
    CHECK(played.figures.at("runs_that_clients_left").get<std::uint64_t>() > 50);
  }
}
