// The control node's messages: sending, and the handling of each kind that is received.

#include <algorithm>
#include <utility>

#include "mesh/control/control_node.hpp"

namespace rackroute::mesh {
namespace {

using nlohmann::json;
using namespace std::chrono_literals;

constexpr Span kReadWaitLimit = 350ms;         // for the decision of orders that were accepted here
constexpr Span kDigestMismatchLimit = 1000ms;  // before the items of a peer with another digest are fetched

}  // namespace

// --- messages

void ControlNode::send(SessionNo to, const Message& message, ControlActions& actions) {
  sendText(to, std::make_shared<const std::string>(encode(message)), actions);
}

void ControlNode::send(const Envelope& envelope, ControlActions& actions) {
  if (envelope.to) {
    if (*envelope.to == options_.at) {
      local_.push_back(envelope.message);
    } else if (const auto session = sessions_.sessionTo(*envelope.to)) {
      send(*session, envelope.message, actions);
    }
    return;
  }
  if (std::holds_alternative<Decided>(envelope.message)) return sendControls(envelope.message, actions);
  const auto text = std::make_shared<const std::string>(encode(envelope.message));
  for (const VoterId& voter : membership_.set().voters) {
    if (voter == self_) {
      local_.push_back(envelope.message);
    } else if (const auto session = sessions_.sessionTo(voter.at)) {
      sendText(*session, text, actions);
    }
  }
}

void ControlNode::sendControls(const Message& message, ControlActions& actions) {
  const auto text = std::make_shared<const std::string>(encode(message));
  for (const SessionNo session : sessions_.controls()) sendText(session, text, actions);
}

ControlActions ControlNode::messageReceived(Span now, SessionNo no, const json& text) {
  now_ = now;
  ControlActions actions;
  PeerSession* const session = sessions_.find(no);
  if (session == nullptr) return actions;
  session->lastReceived = now;
  Result<Message> message = decode(text);
  Result<void> accepted = message ? checkGreeting(*session, message.value()) : std::move(message).error();
  if (accepted) {
    dispatch(now, no, message.value(), actions);
  } else {
    closeSession(now, no, actions, accepted.error().line());
  }
  finishInput(now, actions);
  return actions;
}

Result<void> ControlNode::checkGreeting(const PeerSession& session, const Message& message) {
  const auto* const hello = std::get_if<Hello>(&message);
  const auto* const welcome = std::get_if<Welcome>(&message);
  std::uint32_t format = kMessageFormat;
  if (hello != nullptr) format = hello->format;
  if (welcome != nullptr) format = welcome->format;
  if (format != kMessageFormat)
    return failure("session", "unsupported message format " + std::to_string(format), session.at.value);
  const bool isGreeting = session.dialled ? welcome != nullptr : hello != nullptr;
  if (!session.greeted && !isGreeting)
    return failure("session", std::string(kindOf(message)) + " received before the greeting",
                   session.at.value);
  return boost::outcome_v2::success();
}

void ControlNode::dispatch(Span now, SessionNo from, const Message& message, ControlActions& actions) {
  std::visit([&](const auto& typed) { handle(now, from, typed, actions); }, message);
}

void ControlNode::handle(Span now, SessionNo no, const Hello& hello, ControlActions& actions) {
  // A node has one inbound session: late messages of an older one must not take effect.
  std::vector<SessionNo> older;
  for (const auto& [other, existing] : sessions_.all()) {
    if (other != no && existing.greeted && !existing.dialled && existing.node == hello.node)
      older.push_back(other);
  }
  for (const SessionNo other : older) closeSession(now, other, actions);
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
  welcome.zone = options_.zone;
  welcome.controls = sessions_.addresses();
  welcome.voters = membership_.set();
  welcome.life = options_.life;
  welcome.highestLife = hello.control ? LifeNo{} : registry_.highestLife(hello.node);
  send(no, welcome, actions);
  Heartbeat heartbeat = status(now);
  send(no, heartbeat, actions);
  if (hello.control) {
    if (sessions_.addAddresses(now, {hello.at}))
      sendControls(ControlAddresses{sessions_.addresses()}, actions);
    // A session with an earlier run of the process may not have timed out yet. Until it is closed, the
    // process cannot be replaced as a voter and its state is not considered.
    if (const auto stale = sessions_.dialledToOtherLife(hello.at, hello.life))
      closeSession(now, *stale, actions);
    // The peer is reachable, so it is dialled at once.
    sessions_.dialSoon(hello.at);
    dial(now, actions);
    return;
  }
  RegistryPublisher::Updates updates;
  registry_.sidecarConnected(now, hello.node, updates);
  // Sent by all control processes: the one that the sidecar follows may not know of a departure that an
  // earlier run of the sidecar acknowledged.
  const ServersUpdate departures = registry_.departuresOn(hello.node);
  if (!departures.servers.empty()) send(no, departures, actions);
  publish(std::move(updates), actions);
}

void ControlNode::handle(Span now, SessionNo no, const Welcome& welcome, ControlActions& actions) {
  PeerSession* const session = sessions_.find(no);
  if (session == nullptr || !session->dialled) return;
  session->greeted = true;
  session->peer = welcome.self;
  session->life = welcome.life;
  if (sessions_.addAddresses(now, welcome.controls))
    sendControls(ControlAddresses{sessions_.addresses()}, actions);
  membership_.peerUp(now, welcome.self, welcome.founder, welcome.holdsState);
  foundersChanged(now, actions);
  if (welcome.voters.epoch > membership_.set().epoch) applyItems(now, {itemOf(welcome.voters)}, actions);
  send(no, registry_.localState(), actions);
  requestItems(no, actions);
  Effects effects;
  reads_.voterReconnected(now, effects);
  apply(now, std::move(effects), actions);
}

void ControlNode::handle(Span now, SessionNo no, const Heartbeat& heartbeat, ControlActions& actions) {
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
  } else if (session->differsSince + kDigestMismatchLimit <= now) {
    session->differsSince = now;
    requestItems(no, actions);
  }
}

void ControlNode::handle(Span now, SessionNo, const ControlAddresses& addresses, ControlActions& actions) {
  if (!sessions_.addAddresses(now, addresses.list)) return;
  sendControls(ControlAddresses{sessions_.addresses()}, actions);
  dial(now, actions);
}

void ControlNode::handle(Span now, SessionNo from, const VotersUpdate& update, ControlActions& actions) {
  const PeerSession* const session = sessions_.find(from);
  if (session == nullptr || !session->control) return;
  if (update.voters.epoch > membership_.set().epoch) applyItems(now, {itemOf(update.voters)}, actions);
}

// --- agreement and reads

void ControlNode::handle(Span now, SessionNo from, const Prepare& prepare, ControlActions& actions) {
  if (!sameEpoch(from, prepare.epoch, actions)) return;
  Effects effects;
  agreement_.handle(now, addressOf(from), prepare, effects);
  apply(now, std::move(effects), actions);
}

void ControlNode::handle(Span now, SessionNo, const PrepareReply& reply, ControlActions& actions) {
  Effects effects;
  agreement_.handle(now, reply, effects);
  apply(now, std::move(effects), actions);
}

void ControlNode::handle(Span now, SessionNo from, const Accept& accept, ControlActions& actions) {
  if (!sameEpoch(from, accept.epoch, actions)) return;
  Effects effects;
  agreement_.handle(now, addressOf(from), accept, effects);
  apply(now, std::move(effects), actions);
}

void ControlNode::handle(Span now, SessionNo, const AcceptReply& reply, ControlActions& actions) {
  Effects effects;
  agreement_.handle(now, reply, effects);
  apply(now, std::move(effects), actions);
}

void ControlNode::handle(Span now, SessionNo from, const Decided& decided, ControlActions& actions) {
  // An older version may be decided after a later one was acknowledged. It must not come into force here
  // while the later one is still missing, so all items are fetched from the sender, which has both. The order
  // is not applied in part either.
  const bool lacksLater =
      std::any_of(decided.later.begin(), decided.later.end(), [this](const DecidedRegister& later) {
        const Item* const current = items_.find(later.id.item);
        return current == nullptr || current->generation < later.id.version;
      });
  if (lacksLater) return requestItems(from, actions);
  applyItems(now, decided.order->items, actions);
}

void ControlNode::handle(Span now, SessionNo from, const ReadRequest& request, ControlActions& actions) {
  if (!sameEpoch(from, request.epoch, actions) || !mayVote()) return;
  const Address reader = addressOf(from);
  waitingReads_.erase(std::remove_if(waitingReads_.begin(), waitingReads_.end(),
                                     [&](const WaitingRead& older) { return older.from == reader; }),
                      waitingReads_.end());
  waitingReads_.push_back({reader, request, agreement_.acceptedConfigurationOrders(), now + kReadWaitLimit});
  answerReads(now, actions);
}

// A read waits briefly for orders in flight, because its reader would otherwise receive them with all their
// items and complete them in competition with their proposer. Orders accepted after the read's arrival were
// not decided when it began and must not delay it while changes keep coming. The same applies to voter sets,
// which contain no configuration.
void ControlNode::answerReads(Span now, ControlActions& actions) {
  for (auto it = waitingReads_.begin(); it != waitingReads_.end();) {
    std::vector<AcceptedOrder> undecided = agreement_.stillAccepted(it->changes);
    if (!undecided.empty() && now < it->until) {
      ++it;
      continue;
    }
    ReadReply reply;
    reply.read = it->request.read;
    reply.epoch = it->request.epoch;
    reply.voter = self_;
    reply.digest = items_.digest();
    reply.accepted = std::move(undecided);
    const bool mayAnswer = mayVote() && it->request.epoch == membership_.set().epoch;
    if (mayAnswer) send(Envelope{it->from, std::move(reply)}, actions);
    it = waitingReads_.erase(it);
  }
}

void ControlNode::handle(Span now, SessionNo, const ReadReply& reply, ControlActions& actions) {
  Effects effects;
  reads_.handle(now, reply, effects);
  apply(now, std::move(effects), actions);
}

// Whether a request of that epoch may be answered. If the epochs differ, the side that is behind receives the
// newer set.
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

void ControlNode::handle(Span now, SessionNo from, const RegistryUpdate& update, ControlActions& actions) {
  const PeerSession* const session = sessions_.find(from);
  if (session == nullptr || !session->control) return;
  RegistryPublisher::Updates updates;
  registry_.registryReported(now, session->at, update, updates);
  publish(std::move(updates), actions);
  recordDepartures(update.servers, {}, nullptr, actions);
}

void ControlNode::handle(Span, SessionNo from, const ServersUpdate& update, ControlActions& actions) {
  RegistryPublisher::Updates updates;
  registry_.serversReported(update, updates);
  publish(std::move(updates), actions);
  std::shared_ptr<const std::string> recorded;
  if (update.record != 0) {
    ServersUpdate answer;
    answer.recorded = update.record;
    recorded = std::make_shared<const std::string>(encode(answer));
  }
  recordDepartures(update.servers, from, std::move(recorded), actions);
}

void ControlNode::recordDepartures(const std::vector<ServerStatus>& servers, SessionNo session,
                                   std::shared_ptr<const std::string> then, ControlActions& actions) {
  std::vector<StoreEntry> entries;
  for (const ServerStatus& status : servers) {
    if (!status.served.draining && !status.served.gone) continue;
    entries.emplace_back(kDepartureKeyPrefix + status.served.id.value, toJson(status).dump());
  }
  if (entries.empty()) {
    if (then) sendText(session, std::move(then), actions);
    return;
  }
  AfterWrite afterWrite;
  if (then) afterWrite.texts.emplace_back(session, std::move(then));
  write(std::move(entries), std::move(afterWrite), actions);
}

void ControlNode::handle(Span, SessionNo from, const Subscribe& follow, ControlActions& actions) {
  RegistryPublisher::Updates updates;
  registry_.follow(from, follow, updates);
  publish(std::move(updates), actions);
}

void ControlNode::publish(RegistryPublisher::Updates updates, ControlActions& actions) {
  for (const auto& [update, sessions] : updates.followers) {
    const auto text = std::make_shared<const std::string>(encode(update));
    for (const SessionNo session : sessions) sendText(session, text, actions);
  }
  if (!updates.controls.nodes.empty() || !updates.controls.servers.empty())
    sendControls(updates.controls, actions);
}

// --- claims on keys

void ControlNode::handle(Span now, SessionNo from, const ClaimRequest& request, ControlActions& actions) {
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
  AfterWrite afterWrite;
  afterWrite.texts.emplace_back(from, std::move(text));
  write(std::move(entries), std::move(afterWrite), actions);
}

void ControlNode::handle(Span now, SessionNo from, const ReleaseRequest& request, ControlActions& actions) {
  const PeerSession* const session = sessions_.find(from);
  if (session == nullptr || session->control) return;
  std::vector<StoreEntry> entries;
  keys_.release(now, request, session->life, entries);
  if (!entries.empty()) write(std::move(entries), {}, actions);
}

void ControlNode::handle(Span, SessionNo, const Votes&, ControlActions&) {}  // for sidecars only

}  // namespace rackroute::mesh
