#pragma once

// The data-plane process as one state machine: the caller's decisions, admission to the server here, and what
// is heard from the control plane, put together. It owns these three and decides nothing of its own; no I/O,
// no clock.

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

/// The answer to a call of a server.
struct ServerCallAnswer {
  ServerCallNo call;
  /// False: what it said of its leaving is not on any control process's disk yet. It is to call again.
  bool acknowledged = true;
};

/// All that the process is to do after an input, in this order.
struct SidecarActions {
  RoutingActions routing;
  AdmissionActions admission;    // run, answer and cancel only
  ControlClientActions control;  // say, dial, hangUp and refused only
  std::vector<ServerCallAnswer> answers;
  std::vector<Served> told;  // for the log: what changed about servers here
};

class Sidecar {
 public:
  struct Built {
    RequestRouter::Config router;
    Admission::Config admission;
    ControlClient::Built controlClient;
  };
  explicit Sidecar(Built built);

  SidecarActions asked(Span now, CallNo no, const ClientRequest& asked);
  SidecarActions forwarded(Span now, CallNo no, AttemptNo sent, ForwardResult how, const ForwardReply& told,
                           std::uint32_t status, std::shared_ptr<const void> bytes);
  SidecarActions forwardRequested(Span now, AskNo no, const ForwardRequest& ask,
                                  const std::optional<std::string>& key);
  SidecarActions ran(Span now, AskNo no, ExecutionResult how, const ServerAnswer& answer);
  /// The client of a request here has closed its connection.
  SidecarActions abandoned(Span now, CallNo no);
  /// The connection that another process's request came on has ended before its answer.
  SidecarActions forwardAbandoned(Span now, AskNo no);
  /// A call of the server here. It is answered at once, or later where it says that it leaves.
  SidecarActions beat(Span now, ServerCallNo call, const ServerHeartbeat& beat);
  SidecarActions reached(Span now, const Address& control);
  SidecarActions ended(Span now, const Address& control);
  /// One message of a control process; see ControlClient::heard.
  SidecarActions heard(Span now, const Address& control, const nlohmann::json& text);
  void alive(Span now, const Address& control) { controlClient_.alive(now, control); }
  SidecarActions tick(Span now);
  /// The process leaves: not ready from now on; its server gets new work for a while yet.
  SidecarActions leave(Span now);
  SidecarActions seeds(Span now, std::vector<Address> seeds);
  /// When tick() is to be called at the latest.
  [[nodiscard]] Span nextTick(Span now) const;
  /// Whether requests are taken: what is in force is known, and read as routes.
  [[nodiscard]] bool serving(Span now) const { return controlClient_.ready(now) && (served_ || !readsAt_); }
  [[nodiscard]] bool ready(Span now) const { return !leaving_ && serving(now); }
  [[nodiscard]] std::size_t atWork() const { return router_.inFlight() + admission_.inFlight(); }
  [[nodiscard]] const RequestRouter& router() const { return router_; }
  [[nodiscard]] const Admission& admission() const { return admission_; }
  [[nodiscard]] const ControlClient& controlClient() const { return controlClient_; }

 private:
  void take(Span now, AdmissionActions acts, SidecarActions& out);
  void take(Span now, ControlClientActions acts, SidecarActions& out);
  void tellServers(const Address& control, SidecarActions& out);
  void askToRecord(std::uint64_t number, const InstanceId& id, SidecarActions& out);
  void askForVotes(const VoterId& voter, SidecarActions& out);
  void configure(Span now, SidecarActions& out);
  void answer(Span now, AdmissionAction act, SidecarActions& out);

  Built built_;
  RequestRouter router_;
  Admission admission_;
  ForwardOutcomes outcomes_;
  ControlClient controlClient_;
  DepartureRecords departures_;
  Span controlClientTick_{};
  std::optional<Span> readsAt_;          // when the items in force are to be read as routes
  std::optional<Span> admissionCloses_;  // when nothing more is admitted
  bool served_ = false;                  // requests were taken before
  bool leaving_ = false;
};

}  // namespace rackroute::mesh
