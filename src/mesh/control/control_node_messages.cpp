// Messages of a control node: what goes out, and what each that comes in does.

#include <algorithm>
#include <utility>

#include "mesh/control/control_node.hpp"

namespace rackroute::mesh {
namespace {

using nlohmann::json;
using namespace std::chrono_literals;

constexpr Span kOrdersInFlight = 350ms;  // that a read waits for the decision of orders accepted here
constexpr Span kDiffers = 1000ms;        // with another digest than a peer's, before its items are fetched

}  // namespace

// --- messages

void ControlNode::send(SessionNo to, const Message& message, ControlActions& actions) {
  sendText(to, std::make_shared<const std::string>(encode(message)), actions);
}

void ControlNode::send(const Envelope& envelope, ControlActions& actions) {
  if (envelope.to) {
    if (*envelope.to == built_.at) {
      local_.push_back(envelope.message);
    } else if (const auto session = sessions_.to(*envelope.to)) {
      send(*session, envelope.message, actions);
    }
    return;
  }
  if (std::holds_alternative<Decided>(envelope.message)) return sendControls(envelope.message, actions);
  const auto text = std::make_shared<const std::string>(encode(envelope.message));
  for (const VoterId& voter : membership_.set().voters) {
    if (voter == self_) {
      local_.push_back(envelope.message);
    } else if (const auto session = sessions_.to(voter.at)) {
      sendText(*session, text, actions);
    }
  }
}

void ControlNode::sendControls(const Message& message, ControlActions& actions) {
  const auto text = std::make_shared<const std::string>(encode(message));
  for (const SessionNo session : sessions_.controls()) sendText(session, text, actions);
}

ControlActions ControlNode::heard(Span now, SessionNo no, const json& text) {
  now_ = now;
  ControlActions actions;
  PeerSession* const session = sessions_.find(no);
  if (session == nullptr) return actions;
  session->lastHeard = now;
  Result<Message> message = decode(text);
  Result<void> fits = message ? checkGreeting(*session, message.value()) : std::move(message).error();
  if (fits) {
    dispatch(now, no, message.value(), actions);
  } else {
    hangUp(now, no, actions, fits.error().line());
  }
  conclude(now, actions);
  return actions;
}

Result<void> ControlNode::checkGreeting(const PeerSession& session, const Message& message) {
  const auto* const hello = std::get_if<Hello>(&message);
  const auto* const welcome = std::get_if<Welcome>(&message);
  std::uint32_t format = kMessageFormat;
  if (hello != nullptr) format = hello->format;
  if (welcome != nullptr) format = welcome->format;
  if (format != kMessageFormat)
    return failure("session", "the peer's messages have format " + std::to_string(format), session.at.value);
  const bool opens = session.dialled ? welcome != nullptr : hello != nullptr;
  if (!session.greeted && !opens)
    return failure("session", std::string(kindOf(message)) + " came before the greeting", session.at.value);
  return boost::outcome_v2::success();
}

void ControlNode::dispatch(Span now, SessionNo from, const Message& message, ControlActions& actions) {
  std::visit([&](const auto& typed) { take(now, from, typed, actions); }, message);
}

void ControlNode::take(Span now, SessionNo no, const Hello& hello, ControlActions& actions) {
  // Guards against two sessions of one member: messages of the older one that come late must not count.
  std::vector<SessionNo> older;
  for (const auto& [other, held] : sessions_.all()) {
    if (other != no && held.greeted && !held.dialled && held.node == hello.node) older.push_back(other);
  }
  for (const SessionNo other : older) hangUp(now, other, actions);
  PeerSession* const session = sessions_.find(no);
  if (session == nullptr || session->dialled) return;
  session->greeted = true;
  session->control = hello.control;
  session->node = hello.node;
  session->life = hello.life;
  if (hello.control) {
    session->at = hello.at;
    session->peer = {hello.at, hello.incarnation};
  }
  Welcome welcome;
  welcome.self = self_;
  welcome.founder = identity_.founder;
  welcome.holdsState = identity_.holdsState;
  welcome.zone = built_.zone;
  welcome.controls = sessions_.known();
  welcome.voters = membership_.set();
  welcome.life = built_.life;
  welcome.highestLife = hello.control ? LifeNo{} : news_.highestLife(hello.node);
  send(no, welcome, actions);
  Heartbeat heartbeat = status(now);
  send(no, heartbeat, actions);
  if (hello.control) {
    if (sessions_.learn(now, {hello.at})) sendControls(ControlAddresses{sessions_.known()}, actions);
    // Guards against a session with an earlier life, which ended without a word: until its silence is
    // noticed, that process can't be replaced, nor does what it holds count.
    if (const auto stale = sessions_.dialledToOtherLife(hello.at, hello.life)) hangUp(now, *stale, actions);
    // It hears this process, so a dial back may go at once.
    sessions_.dialSoon(hello.at);
    dial(now, actions);
    return;
  }
  ServerNews::Out out;
  news_.sidecarCame(now, hello.node, out);
  publish(std::move(out), actions);
}

void ControlNode::take(Span now, SessionNo no, const Welcome& welcome, ControlActions& actions) {
  PeerSession* const session = sessions_.find(no);
  if (session == nullptr || !session->dialled) return;
  session->greeted = true;
  session->peer = welcome.self;
  session->life = welcome.life;
  if (sessions_.learn(now, welcome.controls)) sendControls(ControlAddresses{sessions_.known()}, actions);
  membership_.peerUp(now, welcome.self, welcome.founder, welcome.holdsState);
  foundersChanged(now, actions);
  if (welcome.voters.epoch > membership_.set().epoch) takeItems(now, {itemOf(welcome.voters)}, actions);
  send(no, news_.all(), actions);
  requestItems(no, actions);
  Effects effects;
  reads_.voterReconnected(now, effects);
  apply(now, std::move(effects), actions);
}

void ControlNode::take(Span now, SessionNo no, const Heartbeat& heartbeat, ControlActions& actions) {
  PeerSession* const session = sessions_.find(no);
  if (session == nullptr || !session->control) return;
  session->lastSequence = std::max(session->lastSequence, heartbeat.sequence);
  const bool sameEpoch = heartbeat.epoch == membership_.set().epoch;
  if (sameEpoch) contact_.recordEcho(session->peer, heartbeat.echo);
  if (!session->dialled) return;
  if (sameEpoch) membership_.peerHoldsState(now, session->peer, heartbeat.holdsState);
  session->digest = heartbeat.digest;
  if (heartbeat.epoch > membership_.set().epoch) {
    requestItems(no, actions);
  } else if (heartbeat.digest == items_.digest()) {
    session->differsSince = Span::max();
  } else if (session->differsSince == Span::max()) {
    session->differsSince = now;
  } else if (session->differsSince + kDiffers <= now) {
    session->differsSince = now;
    requestItems(no, actions);
  }
}

void ControlNode::take(Span now, SessionNo, const ControlAddresses& addresses, ControlActions& actions) {
  if (!sessions_.learn(now, addresses.list)) return;
  sendControls(ControlAddresses{sessions_.known()}, actions);
  dial(now, actions);
}

void ControlNode::take(Span now, SessionNo from, const VotersUpdate& update, ControlActions& actions) {
  const PeerSession* const session = sessions_.find(from);
  if (session == nullptr || !session->control) return;
  if (update.voters.epoch > membership_.set().epoch) takeItems(now, {itemOf(update.voters)}, actions);
}

// --- agreement and reads

void ControlNode::take(Span now, SessionNo from, const Prepare& prepare, ControlActions& actions) {
  if (!sameEpoch(from, prepare.epoch, actions)) return;
  Effects effects;
  agreement_.handle(now, addressOf(from), prepare, effects);
  apply(now, std::move(effects), actions);
}

void ControlNode::take(Span now, SessionNo, const PrepareReply& reply, ControlActions& actions) {
  Effects effects;
  agreement_.handle(now, reply, effects);
  apply(now, std::move(effects), actions);
}

void ControlNode::take(Span now, SessionNo from, const Accept& accept, ControlActions& actions) {
  if (!sameEpoch(from, accept.epoch, actions)) return;
  Effects effects;
  agreement_.handle(now, addressOf(from), accept, effects);
  apply(now, std::move(effects), actions);
}

void ControlNode::take(Span now, SessionNo, const AcceptReply& reply, ControlActions& actions) {
  Effects effects;
  agreement_.handle(now, reply, effects);
  apply(now, std::move(effects), actions);
}

void ControlNode::take(Span now, SessionNo from, const Decided& decided, ControlActions& actions) {
  // Guards against an old version that is decided late and comes into force where the later one, acknowledged
  // before, has not been heard of: the sender has both. The order is not taken in part either.
  const bool lacksLater =
      std::any_of(decided.later.begin(), decided.later.end(), [this](const DecidedRegister& later) {
        const Item* const held = items_.find(later.id.item);
        return held == nullptr || held->generation < later.id.version;
      });
  if (lacksLater) return requestItems(from, actions);
  takeItems(now, decided.order->items, actions);
}

void ControlNode::take(Span now, SessionNo from, const ReadRequest& request, ControlActions& actions) {
  if (!sameEpoch(from, request.epoch, actions) || !mayVote()) return;
  const Address reader = addressOf(from);
  waitingReads_.erase(std::remove_if(waitingReads_.begin(), waitingReads_.end(),
                                     [&](const WaitingRead& older) { return older.from == reader; }),
                      waitingReads_.end());
  waitingReads_.push_back({reader, request, agreement_.acceptedConfigurationOrders(), now + kOrdersInFlight});
  answerReads(now, actions);
}

// Guards against readers that are told of an order in flight, with all its items, and complete it beside its
// proposer: most are decided a moment later. Orders that are accepted after the reader asked were not decided
// when its read began, and must not hold it up while changes keep coming; nor must sets of voters, which hold
// nothing of the configuration.
void ControlNode::answerReads(Span now, ControlActions& actions) {
  for (auto at = waitingReads_.begin(); at != waitingReads_.end();) {
    std::vector<AcceptedOrder> undecided = agreement_.stillAccepted(at->changes);
    if (!undecided.empty() && now < at->until) {
      ++at;
      continue;
    }
    ReadReply reply;
    reply.read = at->request.read;
    reply.epoch = at->request.epoch;
    reply.voter = self_;
    reply.digest = items_.digest();
    reply.accepted = std::move(undecided);
    const bool stillVotes = mayVote() && at->request.epoch == membership_.set().epoch;
    if (stillVotes) send(Envelope{at->from, std::move(reply)}, actions);
    at = waitingReads_.erase(at);
  }
}

void ControlNode::take(Span now, SessionNo, const ReadReply& reply, ControlActions& actions) {
  Effects effects;
  reads_.handle(now, reply, effects);
  apply(now, std::move(effects), actions);
}

// Whether a request of that epoch may be answered; whoever is behind is told of the newer set.
bool ControlNode::sameEpoch(SessionNo from, Epoch epoch, ControlActions& actions) {
  const VoterSet& set = membership_.set();
  if (epoch == set.epoch) return true;
  if (from == SessionNo{}) return false;
  if (epoch < set.epoch) {
    send(from, VotersUpdate{set}, actions);
  } else if (const PeerSession* session = sessions_.find(from); session != nullptr && session->control) {
    requestItems(from, actions);
  }
  return false;
}

// --- servers

void ControlNode::take(Span now, SessionNo from, const RegistryUpdate& update, ControlActions& actions) {
  const PeerSession* const session = sessions_.find(from);
  if (session == nullptr || !session->control) return;
  ServerNews::Out out;
  news_.told(now, session->at, update, out);
  publish(std::move(out), actions);
  recordDepartures(update.servers, {}, nullptr, actions);
}

void ControlNode::take(Span, SessionNo from, const ServersUpdate& update, ControlActions& actions) {
  ServerNews::Out out;
  news_.told(update, out);
  publish(std::move(out), actions);
  std::shared_ptr<const std::string> recorded;
  if (update.record != 0) {
    ServersUpdate answer;
    answer.recorded = update.record;
    recorded = std::make_shared<const std::string>(encode(answer));
  }
  recordDepartures(update.servers, from, std::move(recorded), actions);
}

void ControlNode::recordDepartures(const std::vector<News>& servers, SessionNo session,
                                   std::shared_ptr<const std::string> then, ControlActions& actions) {
  std::vector<StoreEntry> entries;
  for (const News& news : servers) {
    if (!news.served.draining && !news.served.gone) continue;
    entries.emplace_back(kDepartureKey + news.served.id.value, toJson(news).dump());
  }
  if (entries.empty()) {
    if (then) sendText(session, std::move(then), actions);
    return;
  }
  Waiting waiting;
  if (then) waiting.texts.emplace_back(session, std::move(then));
  write(std::move(entries), std::move(waiting), actions);
}

void ControlNode::take(Span, SessionNo from, const Subscribe& follow, ControlActions& actions) {
  ServerNews::Out out;
  news_.follow(from, follow, out);
  publish(std::move(out), actions);
}

void ControlNode::publish(ServerNews::Out out, ControlActions& actions) {
  for (const auto& [update, sessions] : out.followers) {
    const auto text = std::make_shared<const std::string>(encode(update));
    for (const SessionNo session : sessions) sendText(session, text, actions);
  }
  if (!out.controls.nodes.empty() || !out.controls.servers.empty()) sendControls(out.controls, actions);
}

// --- claims on keys

void ControlNode::take(Span now, SessionNo from, const ClaimRequest& request, ControlActions& actions) {
  const PeerSession* const session = sessions_.find(from);
  if (session == nullptr || session->control) return;
  const LifeNo life = session->life;
  if (!sameEpoch(from, request.epoch, actions) || !mayVote() || request.epoch.value == 0) return;
  Votes votes;
  votes.epoch = request.epoch;
  votes.voter = self_;
  std::vector<StoreEntry> entries;
  votes.votes = keys_.vote(now, request, life, entries);
  if (votes.votes.empty()) return;
  auto text = std::make_shared<const std::string>(encode(votes));
  if (entries.empty()) return sendText(from, std::move(text), actions);
  Waiting waiting;
  waiting.texts.emplace_back(from, std::move(text));
  write(std::move(entries), std::move(waiting), actions);
}

void ControlNode::take(Span now, SessionNo from, const ReleaseRequest& request, ControlActions& actions) {
  const PeerSession* const session = sessions_.find(from);
  if (session == nullptr || session->control) return;
  std::vector<StoreEntry> entries;
  keys_.release(now, request, session->life, entries);
  if (!entries.empty()) write(std::move(entries), {}, actions);
}

void ControlNode::take(Span, SessionNo, const Votes&, ControlActions&) {}  // for sidecars only

}  // namespace rackroute::mesh
