// Requests whose clients have disconnected: servers stop working on them wherever they can be cancelled.

#include <catch2/catch.hpp>

#include "lab/mesh/world.hpp"
#include "mesh_fixtures.hpp"

using namespace rackroute;
using namespace rackroute::mesh;

TEST_CASE("a disconnected client's request is cancelled unless it is keyed") {
  for (const RouteKind kind : {RouteKind::pure, RouteKind::effectful}) {
    RequestRouter router = callerRouter(kind);
    const RoutingActions sent = router.handleRequest(0s, {1}, kClientRequest);
    REQUIRE(countOf(sent, RoutingAction::Kind::send) == 1);
    const RoutingActions cancelled = router.abandoned(100ms, {1});
    REQUIRE(countOf(cancelled, RoutingAction::Kind::cancel) == 1);
    CHECK(cancelled.back().attempt == sent.back().attempt);
    CHECK(router.inFlight() == 0);
    // Late results of the cancelled attempt are ignored.
    CHECK(router.forwardEnded(200ms, {1}, sent.back().attempt, ForwardResult::connectionLost, {}, 0, nullptr)
              .empty());
    CHECK(router.abandoned(200ms, {1}).empty());
  }
  RequestRouter keyed = callerRouter(RouteKind::keyed);
  keyed.handleRequest(0s, {1}, kClientRequest);
  CHECK(keyed.abandoned(100ms, {1}).empty());
  CHECK(keyed.inFlight() == 1);
}

TEST_CASE("a client's disconnect does not count against its server") {
  RequestRouter router = callerRouter(RouteKind::pure);
  for (std::uint64_t no = 1; no <= 40; ++no) {
    router.handleRequest(0s, {no}, kClientRequest);
    router.abandoned(100ms, {no});
  }
  CHECK(router.servers().countEjected(1s, {"desk"}) == 0);
}

TEST_CASE("cancelling a running pure request frees its slot for a queued one") {
  Admission admission = admissionWithVoters();
  admission.heartbeat(0s, heartbeat("i1", 1, 1));
  REQUIRE(countOf(admission.handleRequest(0s, {1}, forwardRequest(RouteKind::pure), std::nullopt),
                  AdmissionAction::Kind::run) == 1);
  REQUIRE(admission.handleRequest(0s, {2}, forwardRequest(RouteKind::effectful), std::nullopt).empty());
  // A queued request has not been sent to a server.
  const AdmissionActions waited = admission.abandoned(10ms, {2});
  REQUIRE(waited.size() == 1);
  CHECK(waited[0].reply.verdict == Verdict::overloaded);
  REQUIRE(admission.handleRequest(10ms, {3}, forwardRequest(RouteKind::effectful), std::nullopt).empty());
  const AdmissionActions stopped = admission.abandoned(20ms, {1});
  REQUIRE(countOf(stopped, AdmissionAction::Kind::cancel) == 1);
  REQUIRE(countOf(stopped, AdmissionAction::Kind::run) == 1);
  CHECK(stopped.back().request == InboundRequestId{3});
  // An effectful request is not cancelled, and its end is handled as usual.
  CHECK(admission.abandoned(30ms, {3}).empty());
  CHECK(countOf(admission.executionEnded(40ms, {3}, ExecutionResult::answered, {200, false, nullptr, 0}),
                AdmissionAction::Kind::answer) == 1);
  CHECK(admission.inFlight() == 0);
}

TEST_CASE("a keyed request continues after its caller disconnects, and a repeat gets its answer") {
  Admission admission = admissionWithVoters();
  admission.heartbeat(0s, heartbeat("i1", 1, 1));
  const AdmissionActions claiming = admission.handleRequest(0s, {1}, forwardRequest(RouteKind::keyed), "k");
  CHECK(admission.abandoned(1ms, {1}).empty());
  REQUIRE(countOf(admission.claimEnded(2ms, winClaim(admission, claiming[0].claim)),
                  AdmissionAction::Kind::run) == 1);
  CHECK(admission.abandoned(3ms, {1}).empty());
  const auto bytes = std::make_shared<int>(5);
  admission.executionEnded(9ms, {1}, ExecutionResult::answered, {200, false, bytes, 100});
  CHECK(admission.handleRequest(1s, {2}, forwardRequest(RouteKind::keyed), "k").back().bytes == bytes);
}

TEST_CASE("simulated load in which half of the clients disconnect early: no server keeps working for them") {
  const auto day = lab::mesh::readDay(std::string(RACKROUTE_LAB_MESH) + "/clients-leave.toml");
  for (std::uint64_t seed = 1; seed <= 3; ++seed) {
    const lab::mesh::DayResult played = lab::mesh::runDay(day, seed);
    for (const lab::mesh::Violation& broken : played.violations) FAIL(broken.rule + ": " + broken.detail);
    CHECK(played.figures.at("runs_that_clients_left").get<std::uint64_t>() > 50);
  }
}
