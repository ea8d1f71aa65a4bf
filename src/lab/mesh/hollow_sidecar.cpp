#include "lab/mesh/hollow_sidecar.hpp"

#include <chrono>
#include <utility>

#include "lab/mesh/workload.hpp"

namespace rackroute::lab::mesh {
namespace {

using namespace std::chrono_literals;
using namespace rackroute::mesh;

constexpr std::size_t kMostClaims = 200'000;    // whose times one sidecar keeps
constexpr Span kDialControl = 400ms;            // for a session, as the sidecar's program has it
constexpr Span kClaimPatience = 2s;             // until a claim's client gives up
constexpr std::uint32_t kCapacity = 8;          // requests at once at a server
constexpr std::uint64_t kSidecarMemoryMb = 32;  // as the sidecars' settings would tell
constexpr std::uint64_t kKeptPart = 8;          // one part in so many of it is for kept answers, as there
constexpr std::size_t kAnswerSize = 500;        // bytes
constexpr int kServerPort = 8145;
constexpr int kInboundPort = 8146;

}  // namespace

HollowSidecar::HollowSidecar(sidecar::Loop& loop, Compressor& compressor, Board& board,
                             HollowIdentity identity)
    : loop_(loop),
      compressor_(compressor),
      board_(board),
      identity_(std::move(identity)),
      instance_{"i-h" + std::to_string(identity_.number)},
      sidecar_(built()),
      capacity_(kCapacity) {
  for (std::size_t i = 0; i < identity_.controls.size(); ++i) numbers_[identity_.controls[i]] = i;
  board_.unconnected.fetch_add(1);
}

void HollowSidecar::start() {
  tick();
  beat();
}

void HollowSidecar::end() {
  ending_ = true;
  loop_.cancel(wake_);
  const auto sessions = std::move(sessions_);
  sessions_.clear();
  for (const auto& [at, session] : sessions) session->end(sidecar::Reason::shutdown);
}

void HollowSidecar::changeServer() {
  capacity_ = capacity_ == kCapacity ? kCapacity + 1 : kCapacity;
  tellServer();
}

void HollowSidecar::claim(const std::string& key) {
  ForwardRequest request;
  request.instance = instance_;
  request.service = {identity_.service};
  request.left = kClaimPatience;
  request.aim = kClaimPatience;
  request.kind = RouteKind::keyed;
  request.route = kWatchedRoute;
  const AskNo no{++lastRequest_};
  claimedAt_[no] = loop_.now();
  act(sidecar_.forwardRequested(loop_.now(), no, request, key));
}

Sidecar::Built HollowSidecar::built() const {
  const NodeName node{"h" + std::to_string(identity_.number)};
  const Address inbound{identity_.ip + ':' + std::to_string(kInboundPort)};
  const auto wall = std::chrono::system_clock::now().time_since_epoch();
  const LifeNo life{static_cast<std::uint64_t>(std::chrono::duration_cast<Span>(wall).count())};
  Sidecar::Built built;
  built.router.node = node;
  built.router.zone = identity_.zone;
  built.router.service = {identity_.service};
  built.router.allowance = {kRetryRatio, kRetrySlack, kRetryWindow};
  built.router.seed = identity_.number;
  built.admission.node = node;
  built.admission.at = inbound;
  built.admission.zone = identity_.zone;
  built.admission.life = life;
  built.admission.service = {identity_.service};
  built.admission.server = {identity_.ip + ':' + std::to_string(kServerPort)};
  built.admission.drain = kDrain;
  built.admission.keyWindow = 60s;
  built.admission.mostKept = (kSidecarMemoryMb << 20) / kKeptPart;
  built.controlClient.node = node;
  built.controlClient.at = inbound;
  built.controlClient.zone = identity_.zone;
  built.controlClient.life = life;
  built.controlClient.seeds = identity_.controls;
  return built;
}

void HollowSidecar::beat() {
  if (ending_) return;
  loop_.in(kBeat, [this] { beat(); });
  tellServer();
}

void HollowSidecar::tellServer() {
  Beat told;
  told.id = instance_;
  told.service = {identity_.service};
  told.address = {identity_.ip + ':' + std::to_string(kServerPort)};
  told.zone = identity_.zone;
  told.capacity = capacity_;
  told.seq = ++beatSequence_;
  act(sidecar_.beat(loop_.now(), {beatSequence_}, told));
}

void HollowSidecar::act(SidecarActions actions) {
  if (ending_) return;
  for (const AdmissionAction& action : actions.admission) act(action);
  for (const ControlClientAction& action : actions.control) act(action);
  watch();
  wakeInTime();
}

void HollowSidecar::act(const AdmissionAction& action) {
  const auto found = claimedAt_.find(action.ask);
  if (found == claimedAt_.end()) return;
  if (action.kind == AdmissionAction::Kind::run) {
    if (claimMilliseconds.size() < kMostClaims)
      claimMilliseconds.push_back(milliseconds((loop_.now() - found->second).count()));
    claimedAt_.erase(found);
    loop_.soon([this, ask = action.ask] { answered(ask); });
  } else if (action.kind == AdmissionAction::Kind::answer) {
    ++claimsRefused;
    claimedAt_.erase(found);
  }
}

void HollowSidecar::answered(AskNo ask) {
  ServerAnswer answer;
  answer.status = 200;
  answer.size = kAnswerSize;
  act(sidecar_.ran(loop_.now(), ask, AtServer::answered, answer));
}

void HollowSidecar::act(const ControlClientAction& action) {
  const auto found = sessions_.find(action.at);
  switch (action.kind) {
    case ControlClientAction::Kind::say:
      if (found == sessions_.end()) break;
      ++board_.traffic[numbers_.at(action.at)].messagesToControl;
      found->second->say(action.text);
      found->second->countWritten();
      break;
    case ControlClientAction::Kind::hangUp:
      if (found != sessions_.end()) {
        const auto session = found->second;
        sessions_.erase(found);
        session->end(sidecar::Reason::silent);
      }
      break;
    case ControlClientAction::Kind::dial:
      if (found == sessions_.end()) dial(action.at);
      break;
    default:
      break;
  }
}

void HollowSidecar::dial(const Address& at) {
  const auto number = numbers_.find(at);
  if (number == numbers_.end()) return;
  SessionTraffic& traffic = board_.traffic[number->second];
  const auto session = std::make_shared<CountedSession>(loop_, compressor_, at.value, traffic);
  sessions_[at] = session;
  session->connect(at, kDialControl,
                   {[this, at, &traffic] {
                      ++traffic.sessions;
                      act(sidecar_.reached(loop_.now(), at));
                    },
                    [this, at, &traffic](const auto& message) {
                      ++traffic.messagesFromControl;
                      act(sidecar_.heard(loop_.now(), at, message));
                    },
                    [this, at] { sidecar_.alive(loop_.now(), at); },
                    [this, at, session = session.get()] {
                      const auto held = sessions_.find(at);
                      if (held == sessions_.end() || held->second.get() != session) return;
                      sessions_.erase(held);
                      act(sidecar_.ended(loop_.now(), at));
                    }});
}

void HollowSidecar::watch() {
  const std::size_t sessions = sidecar_.controlClient().sessions();
  const bool whole = sessions == identity_.controls.size() && sidecar_.ready(loop_.now());
  if (whole != whole_) board_.whole.fetch_add(whole ? 1U : -1U);
  whole_ = whole;
  const bool connected = sessions > 0;
  if (connected != connected_) board_.unconnected.fetch_add(connected ? -1U : 1U);
  connected_ = connected;
  const std::uint64_t digest = sidecar_.controlClient().items().digest();
  if (digest == digest_) return;
  digest_ = digest;
  const Item* item = sidecar_.controlClient().items().find({ItemKind::route, kWatchedRoute});
  if (item == nullptr) return;
  for (; held_ < item->generation.value; ++held_) board_.changes.held(held_ + 1);
}

void HollowSidecar::wakeInTime() {
  const Span next = sidecar_.nextTick(loop_.now());
  if (wakes_ && next >= wakeAt_) return;
  loop_.cancel(wake_);
  wakes_ = true;
  wakeAt_ = next;
  wake_ = loop_.at(next, [this] {
    wakes_ = false;
    tick();
  });
}

}  // namespace rackroute::lab::mesh
