#include "mesh/sidecar/sidecar.hpp"

#include <algorithm>
#include <iterator>
#include <utility>

namespace rackroute::mesh {
namespace {

using nlohmann::json;
using namespace std::chrono_literals;

// The platform sends clients for two seconds more in any case. Guards against a fleet that is restarted
// machine by machine and has the servers of all that wait stand idle.
constexpr Span kServesOn = 1200ms;
// Guards against a large configuration, or a storm of changes, whose routes are all read anew for each part.
constexpr Span kGather = 60ms;

}  // namespace

Sidecar::Sidecar(Built built)
    : built_(std::move(built)),
      router_(built_.caller),
      admission_(built_.door),
      controlClient_(built_.feed) {}

void Sidecar::take(Span now, AdmissionActions acts, SidecarActions& out) {
  json claims = json::array();
  json freed = json::array();
  for (AdmissionAction& act : acts) {
    switch (act.kind) {
      case AdmissionAction::Kind::run:
      case AdmissionAction::Kind::answer:
        out.door.push_back(std::move(act));
        break;
      case AdmissionAction::Kind::claim:
        claims.push_back({act.claim.value, textOf(act.key)});
        break;
      case AdmissionAction::Kind::giveBack:
        freed.push_back({act.claim.value, textOf(act.key)});
        break;
      case AdmissionAction::Kind::tell:
        // The own caller need not wait for the way round.
        router_.told(now, act.served, true);
        take(now,
             controlClient_.sayAll(
                 {{"t", "servers"}, {"list", json::array({toJson(News{act.served, true})})}}),
             out);
        break;
    }
  }
  const std::string& at = built_.door.at.value;
  if (!claims.empty())
    take(now, controlClient_.sayAll({{"t", "claim"}, {"at", at}, {"list", std::move(claims)}}), out);
  if (!freed.empty())
    take(now, controlClient_.sayAll({{"t", "free"}, {"at", at}, {"list", std::move(freed)}}), out);
}

// Interim: the set of voters is made up of the control processes that were reached, the newest first, and of
// places for those that were not, as many as there are in all.
void Sidecar::updateVoters(Span now, SidecarActions& out) {
  const std::size_t all = controlClient_.voters();
  if (all == 0) return;
  std::vector<VoterId>& reached = voters_.voters;
  if (reached.size() > all) reached.erase(reached.begin(), reached.end() - static_cast<std::ptrdiff_t>(all));
  VoterSet set = voters_;
  while (set.voters.size() < all)
    set.voters.push_back({{"unreached " + std::to_string(set.voters.size())}, {}});
  if (set.voters == lastVoters_) return;
  lastVoters_ = set.voters;
  set.epoch = {admission_.claims().epoch().value + 1};
  admission_.claims().electorate(set);
  json claims = json::array();
  for (const Claims::Open& open : admission_.claims().openClaims())
    claims.push_back({open.no.value, textOf(open.key)});
  if (claims.empty()) return;
  const std::string& at = built_.door.at.value;
  take(now, controlClient_.sayAll({{"t", "claim"}, {"at", at}, {"list", std::move(claims)}}), out);
}

void Sidecar::take(Span now, ControlClientActions acts, SidecarActions& out) {
  for (ControlClientAction& act : acts) {
    switch (act.kind) {
      case ControlClientAction::Kind::say:
      case ControlClientAction::Kind::dial:
      case ControlClientAction::Kind::hangUp:
        out.feed.push_back(std::move(act));
        break;
      case ControlClientAction::Kind::server:
        router_.told(now, act.news.served, act.news.heard);
        take(now, admission_.adopt(now, act.news.served), out);
        break;
      case ControlClientAction::Kind::configured:
        if (router_.book().services().empty()) {
          configure(now, out);
        } else if (!readsAt_) {
          readsAt_ = now + kGather;
        }
        break;
      case ControlClientAction::Kind::vote:
        // Interim: votes carry no epoch yet.
        if (const auto ended = admission_.claims().vote({act.at, {}}, admission_.claims().epoch(), act.claim,
                                                        act.granted, act.holder))
          take(now, admission_.claimEnded(now, *ended), out);
        break;
      case ControlClientAction::Kind::standing: {
        if (!voters_.contains({act.at, {}})) {
          voters_.voters.push_back({act.at, {}});
          updateVoters(now, out);
        }
        json servers = json::array();
        for (const Served& served : admission_.servers()) servers.push_back(toJson(News{served, true}));
        ControlClientActions more;
        ControlClientAction said;
        said.at = act.at;
        if (!servers.empty()) {
          said.text = std::make_shared<const std::string>(
              json{{"t", "servers"}, {"list", std::move(servers)}}.dump());
          more.push_back(said);
        }
        json claims = json::array();
        for (const Claims::Open& open : admission_.claims().without({act.at, {}}))
          claims.push_back({open.no.value, textOf(open.key)});
        if (!claims.empty()) {
          said.text = std::make_shared<const std::string>(
              json{{"t", "claim"}, {"at", built_.door.at.value}, {"list", std::move(claims)}}.dump());
          more.push_back(said);
        }
        take(now, std::move(more), out);
        break;
      }
      case ControlClientAction::Kind::told:
        updateVoters(now, out);
        if (controlClient_.members() > 0) router_.processes(controlClient_.members());
        break;
    }
  }
}

void Sidecar::configure(Span now, SidecarActions& out) {
  readsAt_.reset();
  router_.configured(controlClient_.items());
  take(now, controlClient_.follow(router_.book().services()), out);
}

SidecarActions Sidecar::asked(Span now, CallNo no, const Asked& asked) {
  SidecarActions out;
  out.calls = router_.asked(now, no, asked);
  return out;
}

SidecarActions Sidecar::forwarded(Span now, CallNo no, TryNo sent, ForwardResult how,
                                  const ForwardReply& told, std::uint32_t status,
                                  std::shared_ptr<const void> bytes) {
  SidecarActions out;
  out.calls = router_.forwarded(now, no, sent, how, told, status, std::move(bytes));
  return out;
}

SidecarActions Sidecar::forwardRequested(Span now, AskNo no, const ForwardRequest& ask,
                                         const std::optional<std::string>& key) {
  SidecarActions out;
  take(now, admission_.asked(now, no, ask, key), out);
  return out;
}

SidecarActions Sidecar::ran(Span now, AskNo no, AtServer how, const ServerAnswer& answer) {
  SidecarActions out;
  take(now, admission_.ran(now, no, how, answer), out);
  return out;
}

SidecarActions Sidecar::beat(Span now, const Beat& beat) {
  SidecarActions out;
  take(now, admission_.beat(now, beat), out);
  return out;
}

SidecarActions Sidecar::reached(Span now, const Address& control) {
  SidecarActions out;
  ControlClientActions acts = controlClient_.reached(now, control);
  admission_.claims().reach(controlClient_.sessions());
  take(now, std::move(acts), out);
  return out;
}

SidecarActions Sidecar::ended(Span now, const Address& control) {
  SidecarActions out;
  ControlClientActions acts = controlClient_.ended(now, control);
  admission_.claims().reach(controlClient_.sessions());
  take(now, std::move(acts), out);
  // Claims that wait for votes which can't come any more hold room at the door.
  take(now, admission_.tick(now), out);
  return out;
}

SidecarActions Sidecar::heard(Span now, const Address& control, const json& word) {
  SidecarActions out;
  served_ = served_ || serving(now);
  take(now, controlClient_.heard(now, control, word), out);
  return out;
}

SidecarActions Sidecar::tick(Span now) {
  SidecarActions out;
  out.calls = router_.tick(now);
  if (readsAt_ && *readsAt_ <= now) configure(now, out);
  if (admissionCloses_ && *admissionCloses_ <= now) {
    admissionCloses_ = Span::max();
    take(now, admission_.leave(now), out);
  }
  take(now, admission_.tick(now), out);
  if (controlClientTick_ <= now) {
    controlClientTick_ = now + ControlClient::tickEvery();
    ControlClientActions acts = controlClient_.tick(now);
    admission_.claims().reach(controlClient_.sessions());
    take(now, std::move(acts), out);
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
