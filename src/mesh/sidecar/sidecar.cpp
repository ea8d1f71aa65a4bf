#include "mesh/sidecar/sidecar.hpp"

#include <algorithm>
#include <iterator>
#include <utility>

namespace rackroute::mesh {
namespace {

using namespace std::chrono_literals;

// The platform sends clients for two seconds more in any case. Guards against a fleet that is restarted
// machine by machine and has the servers of all that wait stand idle.
constexpr Span kServesOn = 1200ms;
// Guards against a large configuration, or a storm of changes, whose routes are all read anew for each part.
constexpr Span kGather = 60ms;
// Of the memory for answers that repeats may want, one part in so many is for those whose way back broke.
constexpr std::size_t kOutcomePart = 4;
// Control processes that have on disk what a server said of its leaving, before it is acknowledged: one disk
// may be lost.
constexpr std::size_t kRecordCopies = 2;

ForwardOutcomes::Limits outcomeLimits(const Admission::Config& built) {
  ForwardOutcomes::Limits limits;
  limits.answerBytes = built.maxCachedBytes / kOutcomePart;
  return limits;
}

void append(ControlClientActions acts, SidecarActions& out) {
  std::move(acts.begin(), acts.end(), std::back_inserter(out.control));
}

}  // namespace

Sidecar::Sidecar(Built built)
    : built_(std::move(built)),
      router_(built_.router),
      admission_(built_.admission),
      outcomes_(built_.admission.life, outcomeLimits(built_.admission)),
      controlClient_(built_.controlClient) {}

void Sidecar::take(Span now, AdmissionActions acts, SidecarActions& out) {
  ClaimRequest claims;
  claims.epoch = controlClient_.voters().epoch;
  claims.at = built_.admission.at;
  ReleaseRequest released;
  released.at = built_.admission.at;
  ServersUpdate servers;
  for (AdmissionAction& act : acts) {
    switch (act.kind) {
      case AdmissionAction::Kind::run:
      case AdmissionAction::Kind::cancel:
        out.admission.push_back(std::move(act));
        break;
      case AdmissionAction::Kind::answer:
        answer(now, std::move(act), out);
        break;
      case AdmissionAction::Kind::claim:
        claims.claims.emplace_back(act.claim, act.key);
        break;
      case AdmissionAction::Kind::releaseClaim:
        released.claims.emplace_back(act.claim, act.key);
        break;
      case AdmissionAction::Kind::announce:
        // The own caller need not wait for the way round.
        router_.updateServer(now, act.served, true);
        servers.servers.push_back({act.served, true});
        out.told.push_back(std::move(act.served));
        break;
    }
  }
  if (!servers.servers.empty()) append(controlClient_.sendAll(servers), out);
  if (!claims.claims.empty()) append(controlClient_.sendToVoters(claims), out);
  if (!released.claims.empty()) append(controlClient_.sendToVoters(released), out);
}

// The forward's answer, also for those who ask what came of it.
void Sidecar::answer(Span now, AdmissionAction act, SidecarActions& out) {
  for (const AskNo waiter : outcomes_.ended(now, act.request, act.reply, act.bytes, act.size)) {
    AdmissionAction same = act;
    same.request = waiter;
    out.admission.push_back(std::move(same));
  }
  out.admission.push_back(std::move(act));
}

void Sidecar::take(Span now, ControlClientActions acts, SidecarActions& out) {
  Claims& claims = admission_.claims();
  for (ControlClientAction& act : acts) {
    switch (act.kind) {
      case ControlClientAction::Kind::say:
      case ControlClientAction::Kind::dial:
      case ControlClientAction::Kind::hangUp:
      case ControlClientAction::Kind::refused:
        out.control.push_back(std::move(act));
        break;
      case ControlClientAction::Kind::server:
        router_.updateServer(now, act.news.served, act.news.heard);
        take(now, admission_.adopt(now, act.news.served), out);
        break;
      case ControlClientAction::Kind::recorded: {
        const std::size_t needed = std::clamp<std::size_t>(controlClient_.sessions(), 1, kRecordCopies);
        for (const ServerCallNo call : departures_.recorded(act.at, act.record, needed))
          out.answers.push_back({call, true});
        break;
      }
      case ControlClientAction::Kind::configured:
        if (router_.routes().services().empty()) {
          configure(now, out);
        } else if (!readsAt_) {
          readsAt_ = now + kGather;
        }
        break;
      case ControlClientAction::Kind::voters:
        claims.electorate(controlClient_.voters());
        for (const VoterId& voter : controlClient_.reachedVoters()) askForVotes(voter, out);
        break;
      case ControlClientAction::Kind::voterReady:
        askForVotes(act.voter, out);
        break;
      case ControlClientAction::Kind::vote:
        if (const auto ended = claims.vote(act.voter, act.epoch, act.claim, act.granted, act.holder))
          take(now, admission_.claimEnded(now, *ended), out);
        break;
      case ControlClientAction::Kind::life:
        take(now, admission_.continueAfterLife(act.life), out);
        break;
      case ControlClientAction::Kind::welcomed:
        tellServers(act.at, out);
        break;
      case ControlClientAction::Kind::members:
        if (controlClient_.members() > 0) router_.setProcessCount(controlClient_.members());
        break;
    }
  }
  claims.reach(controlClient_.reachedVoters().size());
}

void Sidecar::tellServers(const Address& control, SidecarActions& out) {
  ServersUpdate servers;
  for (const Served& served : admission_.servers()) servers.servers.push_back({served, true});
  if (!servers.servers.empty()) append(controlClient_.sendTo(control, servers), out);
}

void Sidecar::askForVotes(const VoterId& voter, SidecarActions& out) {
  ClaimRequest request;
  request.epoch = controlClient_.voters().epoch;
  request.at = built_.admission.at;
  for (const Claims::Open& open : admission_.claims().without(voter))
    request.claims.emplace_back(open.no, open.key);
  if (!request.claims.empty()) append(controlClient_.sendTo(voter.at, request), out);
}

SidecarActions Sidecar::seeds(Span now, std::vector<Address> seeds) {
  SidecarActions out;
  take(now, controlClient_.seeds(now, std::move(seeds)), out);
  return out;
}

void Sidecar::configure(Span now, SidecarActions& out) {
  readsAt_.reset();
  router_.configure(controlClient_.items());
  take(now, controlClient_.follow(router_.routes().services()), out);
}

SidecarActions Sidecar::asked(Span now, CallNo no, const ClientRequest& asked) {
  SidecarActions out;
  out.routing = router_.handleRequest(now, no, asked);
  return out;
}

SidecarActions Sidecar::forwarded(Span now, CallNo no, AttemptNo sent, ForwardResult how,
                                  const ForwardReply& told, std::uint32_t status,
                                  std::shared_ptr<const void> bytes) {
  SidecarActions out;
  out.routing = router_.forwardEnded(now, no, sent, how, told, status, std::move(bytes));
  return out;
}

SidecarActions Sidecar::forwardRequested(Span now, AskNo no, const ForwardRequest& ask,
                                         const std::optional<std::string>& key) {
  SidecarActions out;
  ForwardOutcomes::Arrival arrival = outcomes_.arrived(now, no, ask);
  switch (arrival.kind) {
    case ForwardOutcomes::Arrival::Kind::admit:
      take(now, admission_.handleRequest(now, no, ask, key), out);
      break;
    case ForwardOutcomes::Arrival::Kind::answer: {
      AdmissionAction act{AdmissionAction::Kind::answer, no};
      act.reply = std::move(arrival.reply);
      act.bytes = std::move(arrival.bytes);
      out.admission.push_back(std::move(act));
      break;
    }
    case ForwardOutcomes::Arrival::Kind::wait:
      break;
  }
  return out;
}

SidecarActions Sidecar::ran(Span now, AskNo no, ExecutionResult how, const ServerAnswer& answer) {
  SidecarActions out;
  take(now, admission_.executionEnded(now, no, how, answer), out);
  return out;
}

SidecarActions Sidecar::abandoned(Span now, CallNo no) {
  SidecarActions out;
  out.routing = router_.abandoned(now, no);
  return out;
}

SidecarActions Sidecar::forwardAbandoned(Span now, AskNo no) {
  SidecarActions out;
  take(now, admission_.abandoned(now, no), out);
  return out;
}

SidecarActions Sidecar::beat(Span now, ServerCallNo call, const ServerHeartbeat& beat) {
  SidecarActions out;
  take(now, admission_.heartbeat(now, beat), out);
  const bool leaves = beat.draining || beat.gone;
  if (!leaves || departures_.isRecorded(beat.id, beat.gone)) {
    out.answers.push_back({call, true});
  } else {
    askToRecord(departures_.wait(now, call, beat.id, beat.gone), beat.id, out);
  }
  return out;
}

// Guards against an acknowledgement that is forgotten with this process.
void Sidecar::askToRecord(std::uint64_t number, const InstanceId& id, SidecarActions& out) {
  ServersUpdate update;
  update.record = number;
  for (const Served& served : admission_.servers()) {
    if (served.id == id) update.servers.push_back({served, true});
  }
  append(controlClient_.sendAll(update), out);
}

SidecarActions Sidecar::reached(Span now, const Address& control) {
  SidecarActions out;
  take(now, controlClient_.reached(now, control), out);
  return out;
}

SidecarActions Sidecar::ended(Span now, const Address& control) {
  SidecarActions out;
  take(now, controlClient_.ended(now, control), out);
  // Claims that wait for votes which can't come any more hold room.
  take(now, admission_.tick(now), out);
  return out;
}

SidecarActions Sidecar::heard(Span now, const Address& control, const nlohmann::json& text) {
  SidecarActions out;
  served_ = served_ || serving(now);
  take(now, controlClient_.heard(now, control, text), out);
  return out;
}

SidecarActions Sidecar::tick(Span now) {
  SidecarActions out;
  out.routing = router_.tick(now);
  if (readsAt_ && *readsAt_ <= now) configure(now, out);
  if (admissionCloses_ && *admissionCloses_ <= now) {
    admissionCloses_ = Span::max();
    take(now, admission_.leave(now), out);
  }
  take(now, admission_.tick(now), out);
  outcomes_.tick(now);
  if (controlClientTick_ <= now) {
    for (const ServerCallNo call : departures_.overdue(now)) out.answers.push_back({call, false});
    for (const auto& [number, id] : departures_.repeats(now)) askToRecord(number, id, out);
    controlClientTick_ = now + ControlClient::tickEvery();
    take(now, controlClient_.tick(now), out);
  }
  return out;
}

SidecarActions Sidecar::leave(Span now) {
  leaving_ = true;
  if (!admissionCloses_) admissionCloses_ = now + kServesOn;
  return tick(now);
}

Span Sidecar::nextTick(Span now) const {
  Span next = controlClientTick_;
  if (admissionCloses_) next = std::min(next, *admissionCloses_);
  if (readsAt_) next = std::min(next, *readsAt_);
  if (const auto at = router_.nextTick()) next = std::min(next, *at);
  if (const auto at = admission_.nextTick()) next = std::min(next, *at);
  return std::max(next, now);
}

}  // namespace rackroute::mesh
