#pragma once

// Metadata exchanged between two data-plane processes alongside a forwarded request and its response: one
// hop-by-hop header in each direction, with its encoding.

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
inline constexpr std::string_view kAttemptIdHeader = "Rackroute-Attempt-Id";
inline constexpr std::string_view kDeadlineHeader = "Rackroute-Deadline-Ms";
inline constexpr std::string_view kExpectInstanceHeader = "Rackroute-Expect-Instance";
inline constexpr std::string_view kCallerServiceHeader = "Rackroute-Caller-Service";
inline constexpr std::string_view kOperationKeyHeader = "Rackroute-Operation-Key";
inline constexpr std::string_view kNotRunHeader = "Rackroute-Not-Run";

/// A forward received from another process.
using InboundRequestId = Id<struct InboundRequestTag, std::uint64_t>;

/// Mesh-wide unique ID of one forward of a request that may be executed at most once.
struct ForwardId {
  std::uint64_t origin = 0;  // random, per sending process
  std::uint64_t number = 0;  // sequence number within the origin
  auto operator<=>(const ForwardId&) const = default;
};

/// How long after sending a forward, by the sender's clock, a `notReceived` reply to an outcome query may be
/// trusted. The receiver keeps each forward's record for twice as long after completion, so a forward that it
/// received cannot have been forgotten within this time.
inline constexpr Span kOutcomeQueryWindow = std::chrono::seconds(10);

/// Sent by the caller's sidecar to the server's sidecar.
struct ForwardRequest {
  InstanceId instance;
  ServiceName service;
  ServiceName caller;  // service on the machine where the request originated
  Span left{};         // time left until the client's deadline
  Span targetLeft{};   // time left of the route's target response time
  std::uint32_t priority = 0;
  RouteKind kind = RouteKind::effectful;
  std::string route;             // route name; groups requests of similar duration
  std::optional<LifeNo> holder;  // set: only fetch the result of the operation claimed by this run
  std::optional<ForwardId> id;   // set: the outcome can be queried later
  /// Set: not a request but a query for the outcome of `id`, which was sent to this process run.
  std::optional<LifeNo> outcomeQuery;
};

enum class Verdict {
  executed,          // the server's response follows
  rejectedByServer,  // the server reported that it did not execute it
  overloaded,        // not sent to the server: no capacity before the deadline
  draining,          // not sent: the server is draining or has left
  unknownServer,     // not sent: no such server on this machine
  unreachable,       // not sent: the server does not accept connections
  noQuorum,          // not sent: no quorum of voters for its key
  keyClaimed,        // not sent: another claim holds its key
  inProgress,        // an earlier request with the same key is still being executed
  notReceived,       // outcome query: the forward has not arrived and will be rejected if it still does
  unknown,           // it may have been executed; there is no response
};
inline constexpr std::size_t kVerdictCount = static_cast<std::size_t>(Verdict::unknown) + 1;
/// Name used in the log.
std::string_view nameOf(Verdict verdict);

/// Sent by the server's sidecar along with every response.
struct ForwardReply {
  Verdict verdict = Verdict::unknown;
  std::optional<Load> load;
  std::optional<Holder> holder;
  Span wait{};            // estimated time until capacity is available
  bool replayed = false;  // the response is from an earlier execution
};

/// Header values; parsing returns nullopt for malformed input.
std::string textOf(const ForwardRequest& request);
std::optional<ForwardRequest> parseForwardRequest(std::string_view text);
std::string textOf(const ForwardReply& reply);
std::optional<ForwardReply> parseForwardReply(std::string_view text);

}  // namespace rackroute::mesh
