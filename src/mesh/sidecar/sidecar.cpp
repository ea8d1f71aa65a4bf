#include "mesh/sidecar/sidecar.hpp"

#include <algorithm>
#include <iterator>
#include <utility>

namespace rackroute::mesh {
namespace {

using namespace std::chrono_literals;

// How long requests are still admitted after the start of the drain. Clients keep sending requests for about
// two seconds, and without the delay a rolling restart would leave servers idle.
constexpr Span kAdmissionDrainDelay = 1200ms;
// Delay before changed items are applied, so that the parts of a large configuration and bursts of changes
// are applied together.
constexpr Span kConfigureDelay = 60ms;
// The responses kept for outcome queries may use this fraction (1/n) of the memory for kept responses.
constexpr std::size_t kOutcomeShare = 4;
// Control processes that must persist a server's departure before it is acknowledged; one disk may be lost.
constexpr std::size_t kRecordReplicas = 2;

ForwardOutcomes::Limits outcomeLimits(const Admission::Config& admission) {
  ForwardOutcomes::Limits limits;
  limits.maxResponseBytes = admission.maxCachedBytes / kOutcomeShare;
  return limits;
}

void append(ControlClientActions actions, SidecarActions& out) {
  std::move(actions.begin(), actions.end(), std::back_inserter(out.control));
}

}  // namespace

Sidecar::Sidecar(Config config)
    : config_(std::move(config)),
      router_(config_.router),
      admission_(config_.admission),
      outcomes_(config_.admission.life, outcomeLimits(config_.admission)),
      controlClient_(config_.controlClient) {}

void Sidecar::handle(Span now, AdmissionActions actions, SidecarActions& out) {
  ClaimRequest claims;
  claims.epoch = controlClient_.voters().epoch;
  claims.at = config_.admission.at;
  ReleaseRequest released;
  released.at = config_.admission.at;
  ServersUpdate servers;
  for (AdmissionAction& action : actions) {
    switch (action.kind) {
      case AdmissionAction::Kind::run:
      case AdmissionAction::Kind::cancel:
        out.admission.push_back(std::move(action));
        break;
      case AdmissionAction::Kind::answer:
        respond(now, std::move(action), out);
        break;
      case AdmissionAction::Kind::claim:
        claims.claims.emplace_back(action.claim, action.key);
        break;
      case AdmissionAction::Kind::releaseClaim:
        released.claims.emplace_back(action.claim, action.key);
        break;
      case AdmissionAction::Kind::announce:
        // The local router need not wait for the update to come back from the control plane.
        router_.updateServer(now, action.served, true);
        servers.servers.push_back({action.served, true});
        out.serverChanges.push_back(std::move(action.served));
        break;
    }
  }
  if (!servers.servers.empty()) append(controlClient_.sendAll(servers), out);
  if (!claims.claims.empty()) append(controlClient_.sendToVoters(claims), out);
  if (!released.claims.empty()) append(controlClient_.sendToVoters(released), out);
}

// Sends the response to a forward, and to the outcome queries that wait for it.
void Sidecar::respond(Span now, AdmissionAction action, SidecarActions& out) {
  for (const InboundRequestId waiter :
       outcomes_.complete(now, action.request, action.reply, action.bytes, action.size)) {
    AdmissionAction same = action;
    same.request = waiter;
    out.admission.push_back(std::move(same));
  }
  out.admission.push_back(std::move(action));
}

void Sidecar::handle(Span now, ControlClientActions actions, SidecarActions& out) {
  Claims& claims = admission_.claims();
  for (ControlClientAction& action : actions) {
    switch (action.kind) {
      case ControlClientAction::Kind::send:
      case ControlClientAction::Kind::dial:
      case ControlClientAction::Kind::disconnect:
      case ControlClientAction::Kind::protocolError:
        out.control.push_back(std::move(action));
        break;
      case ControlClientAction::Kind::serverUpdate:
        router_.updateServer(now, action.serverStatus.served, action.serverStatus.connected);
        handle(now, admission_.adopt(now, action.serverStatus.served), out);
        break;
      case ControlClientAction::Kind::recorded: {
        const std::size_t needed =
            std::clamp<std::size_t>(controlClient_.reachableControls(), 1, kRecordReplicas);
        for (const ServerCallNo call : departures_.recorded(action.at, action.record, needed))
          out.callResponses.push_back({call, true, needed});
        break;
      }
      case ControlClientAction::Kind::itemsChanged:
        if (router_.routes().services().empty()) {
          configure(now, out);
        } else if (!configureAt_) {
          configureAt_ = now + kConfigureDelay;
        }
        break;
      case ControlClientAction::Kind::votersChanged:
        claims.setVoters(controlClient_.voters());
        for (const VoterId& voter : controlClient_.connectedVoters()) requestVotes(voter, out);
        break;
      case ControlClientAction::Kind::voterReady:
        requestVotes(action.voter, out);
        break;
      case ControlClientAction::Kind::vote:
        if (const auto ended =
                claims.vote(action.voter, action.epoch, action.claim, action.granted, action.holder))
          handle(now, admission_.claimEnded(now, *ended), out);
        break;
      case ControlClientAction::Kind::highestLife:
        handle(now, admission_.continueAfterLife(action.life), out);
        break;
      case ControlClientAction::Kind::sessionReady:
        sendServers(action.at, out);
        break;
      case ControlClientAction::Kind::memberCount:
        if (controlClient_.memberCount() > 0) router_.setProcessCount(controlClient_.memberCount());
        break;
    }
  }
  claims.setReachableVoters(controlClient_.connectedVoters().size());
}

void Sidecar::sendServers(const Address& control, SidecarActions& out) {
  ServersUpdate servers;
  for (const ServerRecord& served : admission_.servers()) servers.servers.push_back({served, true});
  if (!servers.servers.empty()) append(controlClient_.sendTo(control, servers), out);
}

void Sidecar::requestVotes(const VoterId& voter, SidecarActions& out) {
  ClaimRequest request;
  request.epoch = controlClient_.voters().epoch;
  request.at = config_.admission.at;
  for (const Claims::OpenClaim& open : admission_.claims().openWithoutVoteOf(voter))
    request.claims.emplace_back(open.no, open.key);
  if (!request.claims.empty()) append(controlClient_.sendTo(voter.at, request), out);
}

SidecarActions Sidecar::setSeeds(Span now, std::vector<Address> seeds) {
  SidecarActions out;
  handle(now, controlClient_.setSeeds(now, std::move(seeds)), out);
  return out;
}

void Sidecar::configure(Span now, SidecarActions& out) {
  configureAt_.reset();
  router_.configure(controlClient_.items());
  handle(now, controlClient_.follow(router_.routes().services()), out);
}

SidecarActions Sidecar::requestReceived(Span now, CallNo call, const ClientRequest& request) {
  SidecarActions out;
  out.routing = router_.handleRequest(now, call, request);
  return out;
}

SidecarActions Sidecar::forwardCompleted(Span now, CallNo call, AttemptNo attempt, ForwardResult result,
                                         const ForwardReply& reply, std::uint32_t status,
                                         std::shared_ptr<const void> bytes) {
  SidecarActions out;
  out.routing = router_.forwardEnded(now, call, attempt, result, reply, status, std::move(bytes));
  return out;
}

SidecarActions Sidecar::forwardReceived(Span now, InboundRequestId id, const ForwardRequest& request,
                                        const std::optional<std::string>& key) {
  SidecarActions out;
  ForwardOutcomes::Arrival arrival = outcomes_.receive(now, id, request);
  switch (arrival.kind) {
    case ForwardOutcomes::Arrival::Kind::admit:
      handle(now, admission_.handleRequest(now, id, request, key), out);
      break;
    case ForwardOutcomes::Arrival::Kind::respond: {
      AdmissionAction action{AdmissionAction::Kind::answer, id};
      action.reply = std::move(arrival.reply);
      action.bytes = std::move(arrival.bytes);
      out.admission.push_back(std::move(action));
      break;
    }
    case ForwardOutcomes::Arrival::Kind::wait:
      break;
  }
  return out;
}

SidecarActions Sidecar::executionEnded(Span now, InboundRequestId id, ExecutionResult result,
                                       const ServerAnswer& answer) {
  SidecarActions out;
  handle(now, admission_.executionEnded(now, id, result, answer), out);
  return out;
}

SidecarActions Sidecar::requestAbandoned(Span now, CallNo call) {
  SidecarActions out;
  out.routing = router_.abandoned(now, call);
  return out;
}

SidecarActions Sidecar::forwardAbandoned(Span now, InboundRequestId id) {
  SidecarActions out;
  handle(now, admission_.abandoned(now, id), out);
  return out;
}

SidecarActions Sidecar::serverCalled(Span now, ServerCallNo call, const ServerHeartbeat& heartbeat) {
  SidecarActions out;
  handle(now, admission_.heartbeat(now, heartbeat), out);
  const bool departs = heartbeat.draining || heartbeat.gone;
  if (!departs || departures_.isRecorded(heartbeat.id, heartbeat.gone)) {
    out.callResponses.push_back({call, true});
  } else {
    requestRecord(departures_.addCall(now, call, heartbeat.id, heartbeat.gone), heartbeat.id, out);
  }
  return out;
}

// Asks all control processes to persist the state of a server, so that it survives the end of this process.
void Sidecar::requestRecord(std::uint64_t number, const InstanceId& id, SidecarActions& out) {
  ServersUpdate update;
  update.record = number;
  for (const ServerRecord& served : admission_.servers()) {
    if (served.id == id) update.servers.push_back({served, true});
  }
  append(controlClient_.sendAll(update), out);
}

SidecarActions Sidecar::sessionOpened(Span now, const Address& control) {
  SidecarActions out;
  handle(now, controlClient_.sessionOpened(now, control), out);
  return out;
}

SidecarActions Sidecar::sessionClosed(Span now, const Address& control) {
  SidecarActions out;
  handle(now, controlClient_.sessionClosed(now, control), out);
  // Fails claims that can no longer get enough votes, which releases their capacity.
  handle(now, admission_.tick(now), out);
  return out;
}

SidecarActions Sidecar::handleMessage(Span now, const Address& control, const nlohmann::json& text) {
  SidecarActions out;
  hasServed_ = hasServed_ || serving(now);
  handle(now, controlClient_.handleMessage(now, control, text), out);
  return out;
}

SidecarActions Sidecar::tick(Span now) {
  SidecarActions out;
  out.routing = router_.tick(now);
  if (configureAt_ && *configureAt_ <= now) configure(now, out);
  if (admissionClosesAt_ && *admissionClosesAt_ <= now) {
    admissionClosesAt_ = Span::max();
    handle(now, admission_.leave(now), out);
  }
  handle(now, admission_.tick(now), out);
  outcomes_.tick(now);
  if (nextControlClientTick_ <= now) {
    for (const ServerCallNo call : departures_.expired(now)) out.callResponses.push_back({call, false});
    for (const auto& [number, id] : departures_.retries(now)) requestRecord(number, id, out);
    nextControlClientTick_ = now + ControlClient::tickInterval();
    handle(now, controlClient_.tick(now), out);
  }
  return out;
}

SidecarActions Sidecar::startDrain(Span now, Span latestEnd) {
  SidecarActions out;
  draining_ = true;
  if (!admissionClosesAt_) admissionClosesAt_ = now + kAdmissionDrainDelay;
  handle(now, admission_.completeBy(now, latestEnd), out);
  return out;
}

Span Sidecar::nextTick(Span now) const {
  Span next = nextControlClientTick_;
  if (admissionClosesAt_) next = std::min(next, *admissionClosesAt_);
  if (configureAt_) next = std::min(next, *configureAt_);
  if (const auto at = router_.nextTick()) next = std::min(next, *at);
  if (const auto at = admission_.nextTick()) next = std::min(next, *at);
  return std::max(next, now);
}

}  // namespace rackroute::mesh
