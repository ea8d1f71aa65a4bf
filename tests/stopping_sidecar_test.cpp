// A sidecar that was told to stop: it completes whatever it accepts, and leaves the rest to other sidecars.

#include <catch2/catch.hpp>
#include <cstdint>
#include <memory>
#include <optional>
#include <sstream>
#include <string>

#include "lab/mesh/stop_log.hpp"
#include "mesh/admission/admission.hpp"
#include "mesh_fixtures.hpp"

using namespace rackroute;
using namespace rackroute::mesh;
using rackroute::lab::mesh::findRequestsCutByStops;
using namespace std::chrono_literals;

namespace {

constexpr Span kSignal = 10s;
constexpr Span kLastResponse = kSignal + 5100ms;

/// Admission for the server "i1", at the moment of the stop signal.
Admission stoppingAdmission(std::uint32_t capacity = 100) {
  Admission made = admissionWithVoters();
  made.heartbeat(kSignal - 1s, heartbeat("i1", 1, capacity));
  return made;
}

ForwardRequest requestWithTimeLeft(Span left, RouteKind kind = RouteKind::pure) {
  ForwardRequest made = forwardRequest(kind);
  made.left = left;
  made.targetLeft = left;
  return made;
}

/// The verdict of the first answer, if there is one.
std::optional<Verdict> verdictOf(const AdmissionActions& actions) {
  for (const AdmissionAction& action : actions) {
    if (action.kind == AdmissionAction::Kind::answer) return action.reply.verdict;
  }
  return std::nullopt;
}

}  // namespace

TEST_CASE("the exit of a stopping sidecar cuts off no request that it accepted after the stop signal") {
  Admission admission = stoppingAdmission();
  admission.completeBy(kSignal, kLastResponse);
  std::uint64_t number = 0;
  for (Span now = kSignal; now < kSignal + 1200ms; now += 40ms) {
    for (const Span left : {500ms, 1500ms, 3800ms, 4500ms, 5000ms, 10000ms}) {
      INFO((now - kSignal) / 1ms << " ms after the signal, with " << left / 1ms << " ms left");
      const AdmissionActions actions =
          admission.handleRequest(now, {++number}, requestWithTimeLeft(left), std::nullopt);
      const bool fits = now + left <= kLastResponse;
      CHECK(countOf(actions, AdmissionAction::Kind::run) == (fits ? 1U : 0U));
      // The caller tries another sidecar, and this one again for shorter requests.
      if (!fits) CHECK(verdictOf(actions) == Verdict::overloaded);
      if (fits) admission.executionEnded(now, {number}, ExecutionResult::answered, {200, false, {}, 0});
    }
  }
}

TEST_CASE("a stop refuses queued requests that the exit would cut off, and runs the others") {
  Admission admission = stoppingAdmission(1);
  admission.handleRequest(kSignal - 1s, {1}, requestWithTimeLeft(3s), std::nullopt);
  admission.handleRequest(kSignal, {2}, requestWithTimeLeft(6s), std::nullopt);
  admission.handleRequest(kSignal, {3}, requestWithTimeLeft(4s), std::nullopt);
  const AdmissionActions stopped = admission.completeBy(kSignal, kLastResponse);
  REQUIRE(countOf(stopped, AdmissionAction::Kind::answer) == 1);
  CHECK(stopped[0].request.value == 2);
  CHECK(stopped[0].reply.verdict == Verdict::overloaded);
  const AdmissionActions next =
      admission.executionEnded(kSignal + 100ms, {1}, ExecutionResult::answered, {200, false, {}, 0});
  REQUIRE(countOf(next, AdmissionAction::Kind::run) == 1);
}

TEST_CASE("a keyed request that the exit would cut off releases its claim instead of running") {
  Admission admission = stoppingAdmission();
  const AdmissionActions opened =
      admission.handleRequest(kSignal, {1}, requestWithTimeLeft(6s, RouteKind::keyed), "key");
  REQUIRE(countOf(opened, AdmissionAction::Kind::claim) == 1);
  admission.completeBy(kSignal, kLastResponse);
  const AdmissionActions won = admission.claimEnded(kSignal + 10ms, winClaim(admission, opened[0].claim));
  CHECK(countOf(won, AdmissionAction::Kind::run) == 0);
  CHECK(countOf(won, AdmissionAction::Kind::releaseClaim) == 1);
  CHECK(verdictOf(won) == Verdict::overloaded);
}

TEST_CASE("a stopping sidecar still answers repeats of operations that it ran") {
  Admission admission = stoppingAdmission();
  const AdmissionActions opened =
      admission.handleRequest(kSignal - 1s, {1}, requestWithTimeLeft(2s, RouteKind::keyed), "key");
  admission.claimEnded(kSignal - 900ms, winClaim(admission, opened[0].claim));
  admission.executionEnded(kSignal - 500ms, {1}, ExecutionResult::answered,
                           {200, false, std::make_shared<const int>(1), 1});
  admission.completeBy(kSignal, kLastResponse);
  const AdmissionActions repeat =
      admission.handleRequest(kSignal + 1s, {2}, requestWithTimeLeft(10s, RouteKind::keyed), "key");
  CHECK(verdictOf(repeat) == Verdict::executed);
}

TEST_CASE("a log of a stop that cut off a request accepted after the signal is recognized") {
  const auto findings = [](const std::string& fields) {
    std::istringstream log("not JSON\n{\"what\":\"leaving\"}\n{\"what\":\"stopped\"," + fields + "}\n");
    return findRequestsCutByStops(log, 6s).size();
  };
  const std::string late = R"("stopping_ms":5250,)";
  CHECK(findings(late + R"("executions":[{"route":"r","age_ms":4770,"left_ms":230}])") == 1);
  CHECK(findings(late + R"("requests":[{"route":"r","age_ms":2000,"left_ms":230}])") == 1);
  const std::string early = R"("stopping_ms":3000,)";
  CHECK(findings(early + R"("executions":[{"route":"r","age_ms":4770,"left_ms":230}])") == 1);
  SECTION("work from before the signal, and requests of the first seconds, may outlast the process") {
    CHECK(findings(late + R"("executions":[{"route":"r","age_ms":5770,"left_ms":230}])") == 0);
    CHECK(findings(late + R"("requests":[{"route":"r","age_ms":4770,"left_ms":230}])") == 0);
  }
  SECTION("work whose deadline has passed may be cut off") {
    CHECK(findings(late + R"("executions":[{"route":"r","age_ms":4770,"left_ms":-10}])") == 0);
  }
  SECTION("an early exit without work cuts off nothing") {
    CHECK(findings(early + R"("executions":[])") == 0);
  }
}
