// The state of a control node: the configuration, the set of voters, recovery, and how effects reach the
// disk.

#include <xxhash.h>

#include <algorithm>
#include <utility>

#include "mesh/control/control_node.hpp"

namespace rackroute::mesh {
namespace {

using nlohmann::json;

void append(Effects& to, Effects&& from) {
  const auto move = [](auto& target, auto& source) {
    target.insert(target.end(), std::make_move_iterator(source.begin()),
                  std::make_move_iterator(source.end()));
  };
  move(to.messages, from.messages);
  move(to.entries, from.entries);
  move(to.afterWrite, from.afterWrite);
  move(to.outcomes, from.outcomes);
}

}  // namespace

// --- the configuration

void ControlNode::take(Span now, SessionNo from, const ItemsRequest& request, ControlActions& actions) {
  const PeerSession* const session = sessions_.find(from);
  if (session == nullptr) return;
  if (!session->control && request.confirmed) {
    Effects effects;
    const std::uint64_t read = reads_.join(now, membership_.set(), effects);
    confirmed_.erase(std::remove_if(confirmed_.begin(), confirmed_.end(),
                                    [&](const ConfirmedRequest& older) { return older.session == from; }),
                     confirmed_.end());
    confirmed_.push_back({from, request.versions, read});
    apply(now, std::move(effects), actions);
    return;
  }
  // A sidecar gets nothing from a process that may know less than it once did.
  if (!identity_.holdsState && !session->control) return;
  sendItems(from, request.versions, request.read, false, actions);
}

void ControlNode::sendItems(SessionNo to, const json& versions, std::uint64_t read, bool confirmed,
                            ControlActions& actions) {
  // Guards against dozens of processes that start at once: what all of them lack is encoded once.
  const bool all = versions.empty() && read == 0 && confirmed;
  if (!all || allItems_.empty() || allItemsDigest_ != items_.digest()) {
    ItemsReply head;
    head.read = read;
    head.holdsState = identity_.holdsState;
    head.confirmed = confirmed;
    auto texts = itemsReplies(head, items_.newerThan(versions));
    if (!all) {
      for (const auto& text : texts) sendText(to, text, actions);
      return;
    }
    allItems_ = std::move(texts);
    allItemsDigest_ = items_.digest();
  }
  for (const auto& text : allItems_) sendText(to, text, actions);
}

void ControlNode::requestItems(SessionNo from, ControlActions& actions) {
  ItemsRequest request;
  request.versions = items_.versions();
  send(from, request, actions);
}

void ControlNode::answerConfirmed(ControlActions& actions) {
  for (auto at = confirmed_.begin(); at != confirmed_.end();) {
    if (at->read > reads_.finished()) {
      ++at;
      continue;
    }
    sendItems(at->session, at->versions, 0, true, actions);
    at = confirmed_.erase(at);
  }
}

void ControlNode::take(Span now, SessionNo from, const ItemsReply& reply, ControlActions& actions) {
  const PeerSession* const session = sessions_.find(from);
  if (session == nullptr || !session->control) return;
  const Address peer = session->at;
  takeItems(now, reply.items, actions);
  if (reply.read != 0 && reply.last()) reads_.fetched(peer, reply.read);
}

void ControlNode::takeItems(Span now, std::vector<Item> items, ControlActions& actions) {
  Effects effects;
  effects.decided = std::move(items);
  apply(now, std::move(effects), actions);
}

std::vector<Item> ControlNode::merge(const std::vector<Item>& items, std::vector<StoreEntry>& entries) {
  std::vector<Item> newer;
  for (const Item& item : items) {
    if (!items_.merge(item)) continue;
    const Item& held = *items_.find(item.key);
    entries.emplace_back(kItemKey + textOf(held.key), wireOf(held));
    newer.push_back(held);
  }
  return newer;
}

void ControlNode::push(const std::vector<Item>& items, ControlActions& actions) {
  if (items.empty()) return;
  // Encoded once: hundreds of routes for dozens of followers are megabytes otherwise.
  const auto texts = itemsReplies(ItemsReply{}, items);
  for (const SessionNo session : sessions_.sidecars()) {
    if (!news_.follows(session)) continue;
    for (const auto& text : texts) sendText(session, text, actions);
  }
}

// --- recovery

void ControlNode::take(Span now, SessionNo from, const SnapshotRequest& request, ControlActions& actions) {
  const PeerSession* const session = sessions_.find(from);
  if (session == nullptr || !session->control) return;
  const VoterSet& set = membership_.set();
  if (request.epoch > set.epoch) return requestItems(from, actions);
  if (!mayTellState()) return;
  snapshots_.begin(session->at, set.epoch, self_, keys_.promises(), keys_.uptime(now), agreement_);
}

void ControlNode::take(Span now, SessionNo from, const SnapshotPart& part, ControlActions& actions) {
  Effects effects;
  const auto read = recovery_.heard(now, part, keys_.uptime(now), keys_.promises(), agreement_, effects);
  if (!read) hangUp(now, from, actions, read.error().line());
  apply(now, std::move(effects), actions);
  finishRecovery(actions);
}

// All of it goes to disk before this process votes.
void ControlNode::finishRecovery(ControlActions& actions) {
  if (!recovery_.complete() || recording_) return;
  ControlIdentity whole = identity_;
  whole.holdsState = true;
  whole.stateEpoch = membership_.set().epoch;
  std::vector<StoreEntry> entries;
  keys_.recordAll(now_, entries);
  for (const auto& [key, item] : items_.all()) entries.emplace_back(kItemKey + textOf(key), wireOf(item));
  entries.push_back(entryOf(whole));
  Waiting waiting;
  waiting.recovered = whole.stateEpoch;
  WriteBatch batch = writes_.begin(std::move(entries), std::move(waiting));
  recording_ = batch.number;
  submit(std::move(batch), actions);
}

// --- voters

bool ControlNode::mayVote() const {
  if (membership_.set().epoch.value == 0) return identity_.founder;
  return membership_.isVoter() && identity_.holdsState;
}

// A voter that has to read again, as the set shrank, has lost nothing of what it held in the set before.
bool ControlNode::mayTellState() const {
  // Guards against a loss of power that takes back the set, and with it the fence that the snapshot tells of.
  if (writes_.isPending(kItemKey + textOf(itemOf(VoterSet{}).key))) return false;
  return membership_.isVoter() && (identity_.holdsState || heldBeforeSet_);
}

void ControlNode::updateVoting() {
  membership_.holdsState(identity_.holdsState);
  agreement_.mayVote(mayVote());
}

void ControlNode::foundersChanged(Span now, ControlActions& actions) {
  if (membership_.set().epoch.value != 0) return;
  Effects effects;
  agreement_.voters(membership_.set(), now, effects);
  apply(now, std::move(effects), actions);
}

void ControlNode::adopt(Span now, const VoterSet& set, Effects& effects) {
  if (!membership_.adopt(now, set)) return;
  sessions_.voters(set);
  recording_.reset();
  snapshots_.clear();
  const bool next = identity_.stateEpoch.value + 1 == set.epoch.value;
  heldBeforeSet_ = next && (identity_.founder || identity_.stateEpoch.value > 0);
  if (membership_.votedOut()) {
    reincarnate(effects);
  } else if (set.contains(self_) && identity_.stateEpoch < set.epoch) {
    // Guards also against a voter that was away while sets followed each other: it may lack what one of them
    // had it read.
    const bool skipped = !next;
    identity_.holdsState = identity_.holdsState && !skipped && !set.mustRead(self_);
    if (identity_.holdsState) {
      identity_.stateEpoch = set.epoch;
    } else {
      recovery_.begin(now, set, heldBeforeSet_);
    }
    effects.entries.push_back(entryOf(identity_));
  }
  agreement_.voters(set, now, effects);
  reads_.voters(now, set, effects);
  updateVoting();
  votersChanged_ = true;
}

// It was voted out: nothing that it promised counts any more, and it may join again as another voter.
void ControlNode::reincarnate(Effects& effects) {
  self_.incarnation = freshIncarnation(++incarnations_);
  identity_ = {self_.incarnation, false, false, {}};
  keys_.clear(effects.entries);
  agreement_.reset(self_, effects);
  recovery_.reincarnate(self_);
  membership_.reincarnate(self_);
  effects.entries.push_back(entryOf(identity_));
  greetAnew_ = true;
}

void ControlNode::proposeSet(Span now, ControlActions& actions) {
  if (membership_.set().epoch.value != 0 && (!inTouch_ || !mayVote())) return;
  const auto set = membership_.proposal(now);
  if (!set) return;
  Effects effects;
  agreement_.propose(now, 0, makeOrder({itemOf(*set)}), effects);
  apply(now, std::move(effects), actions);
}

// --- effects

void ControlNode::apply(Span now, Effects effects, ControlActions& actions) {
  Waiting waiting;
  std::vector<Item> decided = std::exchange(effects.decided, {});
  while (!decided.empty()) {
    Effects more;
    const std::vector<Item> newer = merge(decided, effects.entries);
    agreement_.decided(now, decided, more);
    for (const Item& item : newer) {
      if (item.key.kind == ItemKind::voters) adopt(now, voterSetFrom(item.value), more);
    }
    push(newer, actions);
    if (!newer.empty()) waiting.digest = items_.digest();
    decided = std::exchange(more.decided, {});
    append(effects, std::move(more));
  }
  for (const Envelope& envelope : effects.messages) send(envelope, actions);
  waiting.envelopes = std::move(effects.afterWrite);
  if (effects.entries.empty()) {
    for (const Envelope& envelope : waiting.envelopes) send(envelope, actions);
  } else {
    write(std::move(effects.entries), std::move(waiting), actions);
  }
  for (const OrderOutcome& outcome : effects.outcomes) operators_.ended(outcome, actions);
}

void ControlNode::write(std::vector<StoreEntry> entries, Waiting waiting, ControlActions& actions) {
  submit(writes_.begin(std::move(entries), std::move(waiting)), actions);
}

void ControlNode::submit(WriteBatch batch, ControlActions& actions) {
  ControlAction action;
  action.kind = ControlAction::Kind::write;
  action.batch = {batch.number};
  action.entries = std::move(batch.entries);
  actions.push_back(std::move(action));
}

ControlActions ControlNode::written(Span now, BatchNo batch, bool done) {
  now_ = now;
  ControlActions actions;
  for (const Waiting& waiting : writes_.written(batch.value, done)) {
    for (const Envelope& envelope : waiting.envelopes) send(envelope, actions);
    for (const auto& [session, text] : waiting.texts) {
      if (sessions_.find(session) != nullptr) sendText(session, text, actions);
    }
    // Guards against a digest that tells of items which only memory holds, as the disk refused them.
    if (waiting.digest) durableDigest_ = *waiting.digest;
    if (waiting.recovered) recovered(*waiting.recovered);
  }
  if (!done && recording_ == batch.value) recording_.reset();  // made anew with the next look
  if (writes_.clean()) durableDigest_ = items_.digest();
  conclude(now, actions);
  return actions;
}

void ControlNode::recovered(Epoch epoch) {
  recording_.reset();
  if (epoch != membership_.set().epoch || !recovery_.running()) return;
  recovery_.stop();
  identity_.holdsState = true;
  identity_.stateEpoch = epoch;
  updateVoting();
  heartbeatNow_ = true;
}

}  // namespace rackroute::mesh
