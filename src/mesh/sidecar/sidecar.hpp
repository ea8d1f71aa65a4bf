#pragma once

// The data-plane process as a single state machine without I/O or clock. Connects request routing for local
// clients, admission to the local server, and the client of the control plane.

#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "mesh/admission/admission.hpp"
#include "mesh/forwarding/forward_outcomes.hpp"
#include "mesh/routing/request_router.hpp"
#include "mesh/sidecar/control_client.hpp"
#include "mesh/sidecar/departure_records.hpp"

namespace rackroute::mesh {

/// The response to a call of the local server.
struct ServerCallResponse {
  ServerCallNo call;
  /// False: the departure has not been persisted by the control plane yet; the server must retry.
  bool acknowledged = true;
  std::size_t replicas = 0;  // control processes that have persisted the departure; 0: none was required
};

/// The actions to execute after an input, in this order.
struct SidecarActions {
  RoutingActions routing;
  AdmissionActions admission;    // run, answer and cancel only
  ControlClientActions control;  // send, dial, disconnect and protocolError only
  std::vector<ServerCallResponse> callResponses;
  std::vector<ServerRecord> serverChanges;  // changed local servers, for the log
};

class Sidecar {
 public:
  struct Config {
    RequestRouter::Config router;
    Admission::Config admission;
    ControlClient::Config controlClient;
  };
  explicit Sidecar(Config config);

  SidecarActions requestReceived(Span now, CallNo call, const ClientRequest& request);
  SidecarActions forwardCompleted(Span now, CallNo call, AttemptNo attempt, ForwardResult result,
                                  const ForwardReply& reply, std::uint32_t status,
                                  std::shared_ptr<const void> bytes);
  SidecarActions forwardReceived(Span now, InboundRequestId id, const ForwardRequest& request,
                                 const std::optional<std::string>& key);
  SidecarActions executionEnded(Span now, InboundRequestId id, ExecutionResult result,
                                const ServerAnswer& answer);
  /// The client of a local request has closed its connection.
  SidecarActions requestAbandoned(Span now, CallNo call);
  /// The connection of a forward received from another process was closed before its response.
  SidecarActions forwardAbandoned(Span now, InboundRequestId id);
  /// The local server reported its state. Answered at once, or for a departure once that is recorded.
  SidecarActions serverCalled(Span now, ServerCallNo call, const ServerHeartbeat& heartbeat);
  SidecarActions sessionOpened(Span now, const Address& control);
  SidecarActions sessionClosed(Span now, const Address& control);
  /// Handles one message of a control process; see ControlClient::handleMessage.
  SidecarActions handleMessage(Span now, const Address& control, const nlohmann::json& text);
  void markAlive(Span now, const Address& control) { controlClient_.markAlive(now, control); }
  SidecarActions tick(Span now);
  /// Starts the shutdown: reports not ready from now on, and stops admitting requests after a delay. Until
  /// then only requests are admitted that end by `latestEnd`. Called again when `latestEnd` changes.
  SidecarActions startDrain(Span now, Span latestEnd);
  SidecarActions setSeeds(Span now, std::vector<Address> seeds);
  /// When tick() must be called at the latest.
  [[nodiscard]] Span nextTick(Span now) const;
  /// Whether requests are accepted: the configuration is known and has been applied to the routes.
  [[nodiscard]] bool serving(Span now) const {
    return controlClient_.ready(now) && (hasServed_ || !configureAt_);
  }
  [[nodiscard]] bool ready(Span now) const { return !draining_ && serving(now); }
  [[nodiscard]] std::size_t inFlight() const { return router_.inFlight() + admission_.inFlight(); }
  [[nodiscard]] const RequestRouter& router() const { return router_; }
  [[nodiscard]] const Admission& admission() const { return admission_; }
  [[nodiscard]] const ControlClient& controlClient() const { return controlClient_; }

 private:
  void handle(Span now, AdmissionActions actions, SidecarActions& out);
  void handle(Span now, ControlClientActions actions, SidecarActions& out);
  void sendServers(const Address& control, SidecarActions& out);
  void requestRecord(std::uint64_t number, const InstanceId& id, SidecarActions& out);
  void requestVotes(const VoterId& voter, SidecarActions& out);
  void configure(Span now, SidecarActions& out);
  void respond(Span now, AdmissionAction action, SidecarActions& out);

  Config config_;
  RequestRouter router_;
  Admission admission_;
  ForwardOutcomes outcomes_;
  ControlClient controlClient_;
  DepartureRecords departures_;
  Span nextControlClientTick_{};
  std::optional<Span> configureAt_;        // when changed items are applied to the routes
  std::optional<Span> admissionClosesAt_;  // when admission stops
  bool hasServed_ = false;                 // requests have been accepted before
  bool draining_ = false;
};

}  // namespace rackroute::mesh
