#include "mesh/control/control_node.hpp"

#include <xxhash.h>

#include <algorithm>
#include <utility>

namespace rackroute::mesh {
namespace {

using nlohmann::json;
using namespace std::chrono_literals;

constexpr Span kTick = 100ms;              // the finest step of all times below
constexpr Span kControlHeartbeat = 300ms;  // to control processes; a few fit into the lease of contact
constexpr Span kSidecarHeartbeat = 500ms;
constexpr Span kSweep = 1s;          // between sweeps over ended promises and silent members
constexpr Span kPromiseSpare = 15s;  // beyond the keys' window, for late starts

}  // namespace

Span ControlNode::tickEvery() { return kTick; }

ControlNode::ControlNode(Built built)
    : built_(std::move(built)),
      self_{built_.at, freshIncarnation(0)},
      keys_(built_.keyWindow + kPromiseSpare),
      membership_({self_, false, built_.founders}),
      agreement_({self_, built_.random, &items_,
                  [this](const VoterSet& set, bool mayBeDecided) {
                    return membership_.acceptable(now_, set, mayBeDecided);
                  },
                  [this](const VoterId& voter) { return membership_.isGone(voter); }}),
      reads_(items_, agreement_),
      recovery_(self_),
      operators_(items_, agreement_, reads_),
      sessions_(built_.at, built_.seeds) {}

Incarnation ControlNode::freshIncarnation(std::uint64_t round) const {
  const std::string seed = built_.at.value + '/' + std::to_string(built_.life.value) + '/' +
                           std::to_string(built_.random) + '/' + std::to_string(round);
  return {XXH3_64bits(seed.data(), seed.size()) | 1U};  // never 0
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
  if (key == kOldMarkKey) {
    oldMark_ = true;
    return boost::outcome_v2::success();
  }
  if (key.starts_with(kDepartureKey)) {
    const json news = json::parse(value, nullptr, false);
    try {
      news_.restore(newsFrom(news).served);
    } catch (const json::exception& error) {
      return failure("store", "record " + key + " can't be read: " + error.what());
    }
    return boost::outcome_v2::success();
  }
  if (key.rfind(kItemKey, 0) == 0) {
    const json item = json::parse(value, nullptr, false);
    try {
      items_.merge(itemFromJson(item));
    } catch (const json::exception& error) {
      stateLost_ = true;
      return failure("store", "item " + key + " can't be read: " + error.what());
    }
    return boost::outcome_v2::success();
  }
  // Guards against a process that ends at each start at a record which can't be read.
  try {
    if (agreement_.restore(key, value)) return boost::outcome_v2::success();
  } catch (const std::exception& error) {
    stateLost_ = true;
    return failure("store", "record " + key + " can't be read: " + error.what());
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
    // Guards against a disk that was lost, or lost a part: what it promised may be gone, so it is another
    // voter.
    const bool sound = !stateLost_ && (built_.firstBoot || oldMark_);
    identity_ = {self_.incarnation, sound, sound, {}};
    if (!sound) {
      keys_.clear(effects.entries);
      agreement_.reset(self_, effects);
    }
    effects.entries.push_back(entryOf(identity_));
  }
  self_.incarnation = identity_.incarnation;
  agreement_.identify(self_);
  recovery_.reincarnate(self_);
  membership_ = Membership({self_, identity_.founder, built_.founders});
  membership_.holdsState(identity_.holdsState);
  durableDigest_ = items_.digest();
  if (const Item* item = items_.find(itemOf(VoterSet{}).key)) {
    adopt(now, voterSetFrom(item->value), effects);
  } else {
    agreement_.voters(membership_.set(), now, effects);
    updateVoting();
  }
  apply(now, std::move(effects), actions);
  dial(now, actions);
  conclude(now, actions);
  return actions;
}

// --- sessions

ControlActions ControlNode::came(Span now, SessionNo session) {
  sessions_.accepted(now, session);
  return {};
}

ControlActions ControlNode::reached(Span now, SessionNo no, const Address& at) {
  now_ = now;
  ControlActions actions;
  if (const auto older = sessions_.reached(now, no, at)) hangUp(now, *older, actions);
  Hello hello;
  hello.control = true;
  hello.node = built_.node;
  hello.life = built_.life;
  hello.at = built_.at;
  hello.incarnation = self_.incarnation;
  hello.founder = identity_.founder;
  hello.holdsState = identity_.holdsState;
  send(no, hello, actions);
  return actions;
}

ControlActions ControlNode::unreached(Span now, const Address& at) {
  sessions_.unreached(now, at);
  return {};
}

ControlActions ControlNode::ended(Span now, SessionNo session) {
  now_ = now;
  ControlActions actions;
  lose(now, session, actions);
  conclude(now, actions);
  return actions;
}

void ControlNode::hangUp(Span now, SessionNo session, ControlActions& actions, std::string reason) {
  ControlAction action;
  action.kind = ControlAction::Kind::hangUp;
  action.session = session;
  action.body = std::move(reason);
  actions.push_back(std::move(action));
  lose(now, session, actions);
}

void ControlNode::lose(Span now, SessionNo no, ControlActions& actions) {
  const auto session = sessions_.ended(now, no);
  if (!session || !session->greeted) return;
  confirmed_.erase(std::remove_if(confirmed_.begin(), confirmed_.end(),
                                  [&](const ConfirmedRequest& request) { return request.session == no; }),
                   confirmed_.end());
  ServerNews::Out out;
  if (!session->control) {
    news_.sidecarLeft(now, no, session->node, out);
  } else if (session->dialled) {
    membership_.peerDown(now, session->at);
    contact_.forget(session->at);
    snapshots_.forget(session->at);
    foundersChanged(now, actions);
  } else {
    news_.tellerLost(now, session->at, out);
  }
  publish(std::move(out), actions);
}

void ControlNode::alive(Span now, SessionNo session) {
  if (PeerSession* found = sessions_.find(session)) found->lastHeard = now;
}

void ControlNode::dial(Span now, ControlActions& actions) {
  for (const Address& at : sessions_.dials(now)) {
    ControlAction action;
    action.kind = ControlAction::Kind::dial;
    action.at = at;
    actions.push_back(std::move(action));
  }
}

Address ControlNode::addressOf(SessionNo session) const {
  if (session == SessionNo{}) return built_.at;
  const auto found = sessions_.all().find(session);
  return found == sessions_.all().end() ? Address{} : found->second.at;
}

// --- operators

ControlActions ControlNode::change(Span now, OperatorCallNo call, std::string_view body) {
  now_ = now;
  ControlActions actions;
  settle(now, actions);
  Effects effects;
  operators_.change(now, call, body, settled_, membership_.set(), effects, actions);
  apply(now, std::move(effects), actions);
  conclude(now, actions);
  return actions;
}

ControlActions ControlNode::readBack(Span now, OperatorCallNo call) {
  now_ = now;
  ControlActions actions;
  settle(now, actions);
  Effects effects;
  operators_.readBack(now, call, settled_, membership_.set(), effects, actions);
  apply(now, std::move(effects), actions);
  conclude(now, actions);
  return actions;
}

// --- time

Heartbeat ControlNode::status(Span now) const {
  Heartbeat heartbeat;
  heartbeat.epoch = membership_.set().epoch;
  heartbeat.digest = durableDigest_;
  heartbeat.holdsState = identity_.holdsState;
  heartbeat.settled = settled_;
  heartbeat.members = news_.members(now);
  return heartbeat;
}

void ControlNode::heartbeatControls(Span now, ControlActions& actions) {
  controlHeartbeatAt_ = now + kControlHeartbeat;
  std::map<Address, std::uint64_t> echoes;
  for (const auto& [no, session] : sessions_.all()) {
    if (!session.control || !session.greeted) continue;
    std::uint64_t& echo = echoes[session.at];
    echo = std::max(echo, session.lastSequence);
  }
  Heartbeat heartbeat = status(now);
  heartbeat.sequence = contact_.sent(now);
  for (const auto& [no, session] : sessions_.all()) {
    if (!session.control || !session.greeted) continue;
    heartbeat.echo = echoes[session.at];
    send(no, heartbeat, actions);
  }
}

void ControlNode::heartbeatSidecars(Span now, ControlActions& actions) {
  sidecarHeartbeatAt_ = now + kSidecarHeartbeat;
  const auto text = std::make_shared<const std::string>(encode(status(now)));
  for (const SessionNo session : sessions_.sidecars()) sendText(session, text, actions);
}

void ControlNode::settle(Span now, ControlActions& actions) {
  const VoterSet& set = membership_.set();
  const bool inTouch = set.epoch.value != 0 && membership_.isVoter() && contact_.inTouch(now, set, self_);
  if (!inTouch) contactRead_ = 0;
  if (inTouch && contactRead_ == 0) {
    Effects effects;
    contactRead_ = reads_.join(now, set, effects);
    apply(now, std::move(effects), actions);
  }
  inTouch_ = inTouch;
  const bool settled = inTouch && identity_.holdsState && reads_.finished() >= contactRead_;
  if (settled == settled_) return;
  settled_ = settled;
  // Sidecars choose their homes by it: they are told at once.
  heartbeatNow_ = true;
  if (!settled) operators_.tick(now, false, actions);
}

void ControlNode::conclude(Span now, ControlActions& actions) {
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
    settle(now, actions);
    finishRecovery(actions);
  } while (!local_.empty());
  answerConfirmed(actions);
  if (std::exchange(votersChanged_, false)) tellVoters(actions);
  if (std::exchange(heartbeatNow_, false)) {
    heartbeatSidecars(now, actions);
    heartbeatControls(now, actions);
  }
  if (std::exchange(greetAnew_, false)) {
    std::vector<SessionNo> controls;
    for (const auto& [no, session] : sessions_.all()) {
      if (session.control) controls.push_back(no);
    }
    for (const SessionNo no : controls) hangUp(now, no, actions);
  }
}

void ControlNode::tellVoters(ControlActions& actions) {
  const auto text = std::make_shared<const std::string>(encode(VotersUpdate{membership_.set()}));
  for (const SessionNo session : sessions_.sidecars()) sendText(session, text, actions);
}

ControlActions ControlNode::tick(Span now) {
  now_ = now;
  ControlActions actions;
  for (const SessionNo no : sessions_.silent(now)) hangUp(now, no, actions);
  dial(now, actions);
  settle(now, actions);
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
    sweepAt_ = now + kSweep;
    std::vector<StoreEntry> entries;
    for (const InstanceId& id : news_.sweep(now))
      entries.emplace_back(kDepartureKey + id.value, std::nullopt);
    keys_.expire(now, entries);
    if (!entries.empty()) write(std::move(entries), {}, actions);
  }
  conclude(now, actions);
  return actions;
}

}  // namespace rackroute::mesh
