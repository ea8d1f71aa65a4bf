#pragma once

// The HTTP messages in which a request passes the sidecars: to the one beside a server, and to that server;
// and what their ends mean to the state machines. No sockets.

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

/// How long the client of a request waits, as its Rackroute-Deadline-Ms tells; none: it tells nothing
/// readable.
std::optional<Span> patienceOf(const http::Message& request);

/// A request, or a question after one, as it goes to the sidecar beside a server.
http::GatherBuffer forwardMessage(const RequestRef& request, const ForwardRequest& ask);
/// A request as the server here gets it.
http::GatherBuffer serverMessage(const RequestRef& request, const AdmissionAction& run);
/// The field in which a forward's answer tells its verdict, with the line that keeps it on this connection.
std::string replyFields(const ForwardReply& reply);

/// What came of a forward; told: the other sidecar's word, if there is one.
struct ForwardEnd {
  ForwardResult result = ForwardResult::broken;
  ForwardReply told;
  std::uint32_t status = 0;
};
ForwardEnd forwardEnd(RequestOutcome how, const http::Message* answer);

/// What came of a request at the server here.
struct ServerEnd {
  AtServer how = AtServer::broken;
  ServerAnswer answer;
};
ServerEnd serverEnd(RequestOutcome how, const RequestRef& answer);

}  // namespace rackroute::mesh
