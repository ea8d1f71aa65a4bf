#pragma once

// What two data-plane processes say to each other beside a request and its answer: one header each way, of
// this one connection alone. It decides nothing.

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

#include "mesh/balancing/server_pool.hpp"
#include "mesh/configuration/route_table.hpp"
#include "mesh/names.hpp"

namespace rackroute::mesh {

inline constexpr std::string_view kForwardHeader = "Rackroute-Forward";
inline constexpr std::string_view kAttempt = "Rackroute-Attempt-Id";
inline constexpr std::string_view kDeadline = "Rackroute-Deadline-Ms";
inline constexpr std::string_view kExpect = "Rackroute-Expect-Instance";
inline constexpr std::string_view kCaller = "Rackroute-Caller-Service";
inline constexpr std::string_view kOperation = "Rackroute-Operation-Key";
inline constexpr std::string_view kNotRun = "Rackroute-Not-Run";

using AskNo = Id<struct AskTag, std::uint64_t>;  // one request that came from another process

/// One forward of a request that may run at most once, unlike any other in the mesh.
struct ForwardId {
  std::uint64_t origin = 0;  // of the sending life; drawn
  std::uint64_t number = 0;  // counts its forwards
  auto operator<=>(const ForwardId&) const = default;
};

/// How long after a forward was sent the word that it never came may be believed, by the sender's clock. The
/// receiver remembers each forward for twice as long after its end: it cannot have come and been forgotten.
inline constexpr Span kOutcomeTrust = std::chrono::seconds(10);

/// What the caller's process asks of the server's.
struct ForwardRequest {
  InstanceId instance;
  ServiceName service;
  ServiceName caller;  // what runs on the machine where the request began
  Span left{};         // until its client gives up
  Span aim{};          // left of the time within which it earns its full worth
  std::uint32_t priority = 0;
  RouteKind kind = RouteKind::effectful;
  std::string route;                // its name: work of one kind, as far as its length goes
  std::optional<LifeNo> holder;     // set: only for the answer of the operation that this life holds
  std::optional<ForwardId> id;      // set: what came of it may be asked
  std::optional<LifeNo> outcomeOf;  // set: no request, but the question what came of `id`, sent to this life
};

enum class Verdict {
  ran,          // the server's answer
  turnedAway,   // the server answered that it did not run it
  full,         // not sent to the server: no room in time
  leaving,      // not sent: it drains or is gone
  strange,      // not sent: no such server here
  unreachable,  // not sent: the server takes no connection
  voteless,     // not sent: no quorum for its key
  held,         // not sent: another claim holds its key
  atWork,       // the first of its key is still at work
  neverCame,    // it had not come when it was asked after; should it come, it is turned away
  unknown,      // it may have run, and no answer came
};
inline constexpr std::size_t kVerdicts = static_cast<std::size_t>(Verdict::unknown) + 1;
/// As the log has it.
std::string_view nameOf(Verdict verdict);

/// What the server's process tells with whatever it answers.
struct ForwardReply {
  Verdict verdict = Verdict::unknown;
  std::optional<Load> load;
  std::optional<Holder> holder;
  Span wait{};            // how long until there may be room
  bool repeated = false;  // the answer is an earlier run's
};

std::string textOf(const ForwardRequest& ask);
std::optional<ForwardRequest> askFrom(std::string_view text);
std::string textOf(const ForwardReply& told);
std::optional<ForwardReply> toldFrom(std::string_view text);

}  // namespace rackroute::mesh
