// What passes between two sidecars: who gets which answer, and what is promised about a request, under resets,
// silences, restarts and freezes.

#include <catch2/catch.hpp>

#include "mesh/forwarding/forwarding.hpp"

using namespace rackroute;
using namespace rackroute::mesh;

TEST_CASE("the fields that servers and clients read have the names of the protocol") {
  // Guards against a rename of identifiers that takes a name on the wire along.
  CHECK(kAttempt == "Rackroute-Attempt-Id");
  CHECK(kDeadline == "Rackroute-Deadline-Ms");
  CHECK(kExpect == "Rackroute-Expect-Instance");
  CHECK(kCaller == "Rackroute-Caller-Service");
  CHECK(kOperation == "Rackroute-Operation-Key");
  CHECK(kNotRun == "Rackroute-Not-Run");
}
