#include "mesh/control/control_node.hpp"

#include <xxhash.h>

#include <algorithm>
#include <utility>

namespace rackroute::mesh {
namespace {

using nlohmann::json;
using namespace std::chrono_literals;

constexpr Span kTickInterval = 100ms;              // the resolution of all times below
constexpr Span kControlHeartbeatInterval = 300ms;  // several fit into the lease of majority contact
constexpr Span kSidecarHeartbeatInterval = 500ms;
constexpr Span kSweepInterval = 1s;   // for expired promises and members
constexpr Span kPromiseMargin = 15s;  // beyond the keys' window, for requests that start late

}  // namespace

Span ControlNode::tickInterval() { return kTickInterval; }

ControlNode::ControlNode(Options options)
    : options_(std::move(options)),
      self_{options_.at, freshIncarnation(0)},
      keys_(options_.keyWindow + kPromiseMargin),
      membership_({self_, false, options_.founders}),
      agreement_({self_, options_.random, &items_,
                  [this](const VoterSet& set, bool mayBeDecided) {
                    return membership_.acceptable(now_, set, mayBeDecided);
                  },
                  [this](const VoterId& voter) { return membership_.isPermanentlyLost(voter); }}),
      reads_(items_, agreement_),
      recovery_(self_),
      operators_(items_, agreement_, reads_),
      sessions_(options_.at, options_.seeds) {}

Incarnation ControlNode::freshIncarnation(std::uint64_t round) const {
  const std::string seed = options_.at.value + '/' + std::to_string(options_.life.value) + '/' +
                           std::to_string(options_.random) + '/' + std::to_string(round);
  return {XXH3_64bits(seed.data(), seed.size()) | 1U};  // 0 is not a valid incarnation
}

// --- start

Result<void> ControlNode::restore(const std::string& key, const std::string& value) {
  if (key == kIdentityKey) {
    auto read = identityFrom(value);
    if (!read) {
      stateLost_ = true;
      return std::move(read).error();
    }
    identity_ = read.value();
    identityRead_ = true;
    return boost::outcome_v2::success();
  }
  if (key == kLegacyMarkKey) {
    legacyMark_ = true;
    return boost::outcome_v2::success();
  }
  if (key.starts_with(kDepartureKeyPrefix)) {
    const json status = json::parse(value, nullptr, false);
    try {
      registry_.restore(serverStatusFrom(status).served);
    } catch (const json::exception& error) {
      return failure("store", "malformed record " + key + ": " + error.what());
    }
    return boost::outcome_v2::success();
  }
  if (key.rfind(kItemKeyPrefix, 0) == 0) {
    const json item = json::parse(value, nullptr, false);
    try {
      items_.merge(itemFromJson(item));
    } catch (const json::exception& error) {
      stateLost_ = true;
      return failure("store", "malformed item " + key + ": " + error.what());
    }
    return boost::outcome_v2::success();
  }
  // A malformed record must not prevent every further start of the process.
  try {
    if (agreement_.restore(key, value)) return boost::outcome_v2::success();
  } catch (const std::exception& error) {
    stateLost_ = true;
    return failure("store", "malformed record " + key + ": " + error.what());
  }
  const Result<bool> read = keys_.restore(key, value);
  if (!read) {
    stateLost_ = true;
    return read.error();
  }
  return boost::outcome_v2::success();
}

ControlActions ControlNode::start(Span now) {
  now_ = now;
  ControlActions actions;
  keys_.resume(now);
  Effects effects;
  if (stateLost_ || !identityRead_) {
    // The disk was lost or is damaged, and promises may be missing, so the process takes a new identity as a
    // voter.
    const bool complete = !stateLost_ && (options_.firstBoot || legacyMark_);
    identity_ = {self_.incarnation, complete, complete, {}};
    if (!complete) {
      keys_.clear(effects.entries);
      agreement_.reset(self_, effects);
    }
    effects.entries.push_back(entryOf(identity_));
  }
  self_.incarnation = identity_.incarnation;
  agreement_.setSelf(self_);
  recovery_.reincarnate(self_);
  membership_ = Membership({self_, identity_.founder, options_.founders});
  membership_.setHoldsState(identity_.holdsState);
  durableDigest_ = items_.digest();
  if (const Item* item = items_.find(itemOf(VoterSet{}).key)) {
    adopt(now, voterSetFrom(item->value), effects);
  } else {
    agreement_.setVoters(membership_.set(), now, effects);
    updateVoting();
  }
  apply(now, std::move(effects), actions);
  dial(now, actions);
  finishInput(now, actions);
  return actions;
}

// --- sessions

ControlActions ControlNode::sessionAccepted(Span now, SessionNo session) {
  sessions_.accepted(now, session);
  return {};
}

ControlActions ControlNode::sessionEstablished(Span now, SessionNo no, const Address& at) {
  now_ = now;
  ControlActions actions;
  if (const auto older = sessions_.dialSucceeded(now, no, at)) closeSession(now, *older, actions);
  Hello hello;
  hello.control = true;
  hello.node = options_.node;
  hello.life = options_.life;
  hello.at = options_.at;
  hello.incarnation = self_.incarnation;
  hello.founder = identity_.founder;
  hello.holdsState = identity_.holdsState;
  send(no, hello, actions);
  return actions;
}

ControlActions ControlNode::dialFailed(Span now, const Address& at) {
  sessions_.dialFailed(now, at);
  return {};
}

ControlActions ControlNode::sessionClosed(Span now, SessionNo session) {
  now_ = now;
  ControlActions actions;
  removeSession(now, session, actions);
  finishInput(now, actions);
  return actions;
}

void ControlNode::closeSession(Span now, SessionNo session, ControlActions& actions, std::string reason) {
  ControlAction action;
  action.kind = ControlAction::Kind::close;
  action.session = session;
  action.body = std::move(reason);
  actions.push_back(std::move(action));
  removeSession(now, session, actions);
}

void ControlNode::removeSession(Span now, SessionNo no, ControlActions& actions) {
  const auto session = sessions_.remove(now, no);
  if (!session || !session->greeted) return;
  confirmed_.erase(std::remove_if(confirmed_.begin(), confirmed_.end(),
                                  [&](const ConfirmedRequest& request) { return request.session == no; }),
                   confirmed_.end());
  RegistryPublisher::Updates updates;
  if (!session->control) {
    registry_.sidecarDisconnected(now, no, session->node, updates);
  } else if (session->dialled) {
    membership_.peerDown(now, session->at);
    contact_.forget(session->at);
    snapshots_.forget(session->at);
    foundersChanged(now, actions);
  } else {
    registry_.reporterLost(now, session->at, updates);
  }
  publish(std::move(updates), actions);
}

void ControlNode::dataReceived(Span now, SessionNo session) {
  if (PeerSession* found = sessions_.find(session)) found->lastReceived = now;
}

void ControlNode::dial(Span now, ControlActions& actions) {
  for (const Address& at : sessions_.dueDials(now)) {
    ControlAction action;
    action.kind = ControlAction::Kind::dial;
    action.at = at;
    actions.push_back(std::move(action));
  }
}

Address ControlNode::addressOf(SessionNo session) const {
  if (session == SessionNo{}) return options_.at;
  const auto found = sessions_.all().find(session);
  return found == sessions_.all().end() ? Address{} : found->second.at;
}

// --- operators

ControlActions ControlNode::change(Span now, OperatorCallNo call, std::string_view body) {
  now_ = now;
  ControlActions actions;
  updateSettled(now, actions);
  Effects effects;
  operators_.change(now, call, body, settled_, membership_.set(), effects, actions);
  apply(now, std::move(effects), actions);
  finishInput(now, actions);
  return actions;
}

ControlActions ControlNode::readBack(Span now, OperatorCallNo call) {
  now_ = now;
  ControlActions actions;
  updateSettled(now, actions);
  Effects effects;
  operators_.readBack(now, call, settled_, membership_.set(), effects, actions);
  apply(now, std::move(effects), actions);
  finishInput(now, actions);
  return actions;
}

// --- time

Heartbeat ControlNode::status(Span now) const {
  Heartbeat heartbeat;
  heartbeat.epoch = membership_.set().epoch;
  heartbeat.digest = durableDigest_;
  heartbeat.holdsState = identity_.holdsState;
  heartbeat.settled = settled_;
  heartbeat.members = registry_.members(now);
  return heartbeat;
}

void ControlNode::heartbeatControls(Span now, ControlActions& actions) {
  controlHeartbeatAt_ = now + kControlHeartbeatInterval;
  std::map<Address, std::uint64_t> echoes;
  for (const auto& [no, session] : sessions_.all()) {
    if (!session.control || !session.greeted) continue;
    std::uint64_t& echo = echoes[session.at];
    echo = std::max(echo, session.lastSequence);
  }
  Heartbeat heartbeat = status(now);
  heartbeat.sequence = contact_.nextHeartbeat(now);
  for (const auto& [no, session] : sessions_.all()) {
    if (!session.control || !session.greeted) continue;
    heartbeat.echo = echoes[session.at];
    send(no, heartbeat, actions);
  }
}

void ControlNode::heartbeatSidecars(Span now, ControlActions& actions) {
  sidecarHeartbeatAt_ = now + kSidecarHeartbeatInterval;
  const auto text = std::make_shared<const std::string>(encode(status(now)));
  for (const SessionNo session : sessions_.sidecars()) sendText(session, text, actions);
}

void ControlNode::updateSettled(Span now, ControlActions& actions) {
  const VoterSet& set = membership_.set();
  const bool inContact = set.epoch.value != 0 && membership_.isVoter() && contact_.isHeld(now, set, self_);
  if (!inContact) contactRead_ = 0;
  if (inContact && contactRead_ == 0) {
    Effects effects;
    contactRead_ = reads_.request(now, set, effects);
    apply(now, std::move(effects), actions);
  }
  inContact_ = inContact;
  const bool settled = inContact && identity_.holdsState && reads_.lastCompleted() >= contactRead_;
  if (settled == settled_) return;
  settled_ = settled;
  // Sidecars choose their control process by this state, so it is sent at once.
  heartbeatNow_ = true;
  if (!settled) operators_.tick(now, false, actions);
}

void ControlNode::finishInput(Span now, ControlActions& actions) {
  do {
    while (!local_.empty()) {
      const Message message = std::move(local_.front());
      local_.pop_front();
      dispatch(now, SessionNo{}, message, actions);
    }
    answerReads(now, actions);
    Effects effects;
    reads_.advance(now, effects);
    operators_.advance(now, effects, actions);
    apply(now, std::move(effects), actions);
    updateSettled(now, actions);
    finishRecovery(actions);
  } while (!local_.empty());
  answerConfirmed(actions);
  if (std::exchange(votersChanged_, false)) sendVoters(actions);
  if (std::exchange(heartbeatNow_, false)) {
    heartbeatSidecars(now, actions);
    heartbeatControls(now, actions);
  }
  if (std::exchange(reconnectControls_, false)) {
    std::vector<SessionNo> controls;
    for (const auto& [no, session] : sessions_.all()) {
      if (session.control) controls.push_back(no);
    }
    for (const SessionNo no : controls) closeSession(now, no, actions);
  }
}

void ControlNode::sendVoters(ControlActions& actions) {
  const auto text = std::make_shared<const std::string>(encode(VotersUpdate{membership_.set()}));
  for (const SessionNo session : sessions_.sidecars()) sendText(session, text, actions);
}

ControlActions ControlNode::tick(Span now) {
  now_ = now;
  ControlActions actions;
  for (const SessionNo no : sessions_.timedOut(now)) closeSession(now, no, actions);
  dial(now, actions);
  updateSettled(now, actions);
  proposeSet(now, actions);
  Effects effects;
  agreement_.tick(now, effects);
  recovery_.tick(now, effects);
  snapshots_.tick(effects);
  apply(now, std::move(effects), actions);
  operators_.tick(now, settled_, actions);
  if (controlHeartbeatAt_ <= now) heartbeatControls(now, actions);
  if (sidecarHeartbeatAt_ <= now) heartbeatSidecars(now, actions);
  if (auto batch = writes_.retry(now)) submit(std::move(*batch), actions);
  if (sweepAt_ <= now) {
    sweepAt_ = now + kSweepInterval;
    std::vector<StoreEntry> entries;
    for (const InstanceId& id : registry_.sweep(now))
      entries.emplace_back(kDepartureKeyPrefix + id.value, std::nullopt);
    keys_.expire(now, entries);
    if (!entries.empty()) write(std::move(entries), {}, actions);
  }
  finishInput(now, actions);
  return actions;
}

}  // namespace rackroute::mesh
