#pragma once

// Builds the HTTP messages that carry a request from sidecar to sidecar and from a sidecar to its server, and
// translates the results of these exchanges for the state machines. No sockets.

#include <memory>
#include <optional>
#include <string>

#include "http/gather_buffer.hpp"
#include "http/message.hpp"
#include "mesh/admission/admission.hpp"
#include "mesh/forwarding/forwarding.hpp"
#include "mesh/routing/request_router.hpp"
#include "mesh/transport/http_client.hpp"

namespace rackroute::mesh {

using RequestRef = std::shared_ptr<const http::Message>;

/// The client's timeout from Rackroute-Deadline-Ms; nullopt if it is missing or invalid.
std::optional<Span> clientTimeout(const http::Message& request);

/// A request, or an outcome query, to the sidecar of a server.
http::GatherBuffer forwardMessage(const RequestRef& request, const ForwardRequest& forward);
/// A request to the local server.
http::GatherBuffer serverMessage(const RequestRef& request, const AdmissionAction& execution);
/// The header lines that carry the reply to a forward, marked as hop-by-hop.
std::string replyFields(const ForwardReply& reply);

/// The result of a forward. `reply` and `status` are set if the other sidecar responded.
struct ForwardCompletion {
  ForwardResult result = ForwardResult::connectionLost;
  ForwardReply reply;
  std::uint32_t status = 0;
};
ForwardCompletion forwardCompletion(RequestOutcome outcome, const http::Message* response);

/// The result of a request to the local server.
struct ServerCompletion {
  ExecutionResult result = ExecutionResult::connectionLost;
  ServerAnswer answer;
};
ServerCompletion serverCompletion(RequestOutcome outcome, const RequestRef& response);

}  // namespace rackroute::mesh
