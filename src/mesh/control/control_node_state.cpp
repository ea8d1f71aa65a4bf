// The control node's state: the configuration, the set of voters, recovery, and the writing of effects to
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

void ControlNode::handle(Span now, SessionNo from, const ItemsRequest& request, ControlActions& actions) {
  const PeerSession* const session = sessions_.find(from);
  if (session == nullptr) return;
  if (!session->control && request.confirmed) {
    Effects effects;
    const std::uint64_t read = reads_.request(now, membership_.set(), effects);
    confirmed_.erase(std::remove_if(confirmed_.begin(), confirmed_.end(),
                                    [&](const ConfirmedRequest& older) { return older.session == from; }),
                     confirmed_.end());
    confirmed_.push_back({from, request.versions, read});
    apply(now, std::move(effects), actions);
    return;
  }
  // Sidecars are sent no items by a process that may have lost some.
  if (!identity_.holdsState && !session->control) return;
  sendItems(from, request.versions, request.read, false, actions);
}

void ControlNode::sendItems(SessionNo to, const json& versions, std::uint64_t read, bool confirmed,
                            ControlActions& actions) {
  // Many sidecars may start at once without any item; the reply to them is encoded once.
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
  for (auto it = confirmed_.begin(); it != confirmed_.end();) {
    if (it->read > reads_.lastCompleted()) {
      ++it;
      continue;
    }
    sendItems(it->session, it->versions, 0, true, actions);
    it = confirmed_.erase(it);
  }
}

void ControlNode::handle(Span now, SessionNo from, const ItemsReply& reply, ControlActions& actions) {
  const PeerSession* const session = sessions_.find(from);
  if (session == nullptr || !session->control) return;
  const Address peer = session->at;
  applyItems(now, reply.items, actions);
  if (reply.read != 0 && reply.last()) reads_.itemsMerged(peer, reply.read);
}

void ControlNode::applyItems(Span now, std::vector<Item> items, ControlActions& actions) {
  Effects effects;
  effects.decided = std::move(items);
  apply(now, std::move(effects), actions);
}

std::vector<Item> ControlNode::merge(const std::vector<Item>& items, std::vector<StoreEntry>& entries) {
  std::vector<Item> newer;
  for (const Item& item : items) {
    if (!items_.merge(item)) continue;
    const Item& merged = *items_.find(item.key);
    entries.emplace_back(kItemKeyPrefix + textOf(merged.key), wireOf(merged));
    newer.push_back(merged);
  }
  return newer;
}

void ControlNode::push(const std::vector<Item>& items, ControlActions& actions) {
  if (items.empty()) return;
  // Encoded once for all followers, because a change may have hundreds of items.
  const auto texts = itemsReplies(ItemsReply{}, items);
  for (const SessionNo session : sessions_.sidecars()) {
    if (!registry_.follows(session)) continue;
    for (const auto& text : texts) sendText(session, text, actions);
  }
}

// --- recovery

void ControlNode::handle(Span now, SessionNo from, const SnapshotRequest& request, ControlActions& actions) {
  const PeerSession* const session = sessions_.find(from);
  if (session == nullptr || !session->control) return;
  const VoterSet& set = membership_.set();
  if (request.epoch > set.epoch) return requestItems(from, actions);
  if (!maySendSnapshot()) return;
  snapshots_.begin(session->at, set.epoch, self_, keys_.promises(), keys_.uptime(now), agreement_);
}

void ControlNode::handle(Span now, SessionNo from, const SnapshotPart& part, ControlActions& actions) {
  Effects effects;
  const auto read = recovery_.handle(now, part, keys_.uptime(now), keys_.promises(), agreement_, effects);
  if (!read) closeSession(now, from, actions, read.error().line());
  apply(now, std::move(effects), actions);
  finishRecovery(actions);
}

// Writes the recovered state to disk; the process votes once that is complete.
void ControlNode::finishRecovery(ControlActions& actions) {
  if (!recovery_.complete() || recoveryBatch_) return;
  ControlIdentity recovered = identity_;
  recovered.holdsState = true;
  recovered.stateEpoch = membership_.set().epoch;
  std::vector<StoreEntry> entries;
  keys_.recordAll(now_, entries);
  for (const auto& [key, item] : items_.all())
    entries.emplace_back(kItemKeyPrefix + textOf(key), wireOf(item));
  entries.push_back(entryOf(recovered));
  AfterWrite afterWrite;
  afterWrite.recovered = recovered.stateEpoch;
  WriteBatch batch = writes_.submit(std::move(entries), std::move(afterWrite));
  recoveryBatch_ = batch.number;
  submit(std::move(batch), actions);
}

// --- voters

bool ControlNode::mayVote() const {
  if (membership_.set().epoch.value == 0) return identity_.founder;
  return membership_.isVoter() && identity_.holdsState;
}

// A voter that must read again because the set shrank still has the complete state of the previous set.
bool ControlNode::maySendSnapshot() const {
  // A power loss could revert a set that is not on disk yet, and with it the fence that the snapshot implies.
  if (writes_.isPending(kItemKeyPrefix + textOf(itemOf(VoterSet{}).key))) return false;
  return membership_.isVoter() && (identity_.holdsState || heldStateInPreviousSet_);
}

void ControlNode::updateVoting() {
  membership_.setHoldsState(identity_.holdsState);
  agreement_.setMayVote(mayVote());
}

void ControlNode::foundersChanged(Span now, ControlActions& actions) {
  if (membership_.set().epoch.value != 0) return;
  Effects effects;
  agreement_.setVoters(membership_.set(), now, effects);
  apply(now, std::move(effects), actions);
}

void ControlNode::adopt(Span now, const VoterSet& set, Effects& effects) {
  if (!membership_.adopt(now, set)) return;
  sessions_.setVoters(set);
  recoveryBatch_.reset();
  snapshots_.clear();
  const bool consecutive = identity_.stateEpoch.value + 1 == set.epoch.value;
  heldStateInPreviousSet_ = consecutive && (identity_.founder || identity_.stateEpoch.value > 0);
  if (membership_.wasRemoved()) {
    reincarnate(effects);
  } else if (set.contains(self_) && identity_.stateEpoch < set.epoch) {
    // A voter that was away during several set changes may also lack state that one of them required it to
    // read.
    const bool skipped = !consecutive;
    identity_.holdsState = identity_.holdsState && !skipped && !set.mustRead(self_);
    if (identity_.holdsState) {
      identity_.stateEpoch = set.epoch;
    } else {
      recovery_.begin(now, set, heldStateInPreviousSet_);
    }
    effects.entries.push_back(entryOf(identity_));
  }
  agreement_.setVoters(set, now, effects);
  reads_.setVoters(now, set, effects);
  updateVoting();
  votersChanged_ = true;
}

// After being voted out the process drops its promises, which no longer count, and may join as a new voter.
void ControlNode::reincarnate(Effects& effects) {
  self_.incarnation = freshIncarnation(++incarnations_);
  identity_ = {self_.incarnation, false, false, {}};
  keys_.clear(effects.entries);
  agreement_.reset(self_, effects);
  recovery_.reincarnate(self_);
  membership_.reincarnate(self_);
  effects.entries.push_back(entryOf(identity_));
  reconnectControls_ = true;
}

void ControlNode::proposeSet(Span now, ControlActions& actions) {
  if (membership_.set().epoch.value != 0 && (!inContact_ || !mayVote())) return;
  const auto set = membership_.proposal(now);
  if (!set) return;
  Effects effects;
  agreement_.propose(now, 0, makeOrder({itemOf(*set)}), effects);
  apply(now, std::move(effects), actions);
}

// --- effects

void ControlNode::apply(Span now, Effects effects, ControlActions& actions) {
  AfterWrite afterWrite;
  std::vector<Item> decided = std::exchange(effects.decided, {});
  while (!decided.empty()) {
    Effects more;
    const std::vector<Item> newer = merge(decided, effects.entries);
    agreement_.recordDecided(now, decided, more);
    for (const Item& item : newer) {
      if (item.key.kind == ItemKind::voters) adopt(now, voterSetFrom(item.value), more);
    }
    push(newer, actions);
    if (!newer.empty()) afterWrite.digest = items_.digest();
    decided = std::exchange(more.decided, {});
    append(effects, std::move(more));
  }
  for (const Envelope& envelope : effects.messages) send(envelope, actions);
  afterWrite.envelopes = std::move(effects.afterWrite);
  if (effects.entries.empty()) {
    for (const Envelope& envelope : afterWrite.envelopes) send(envelope, actions);
  } else {
    write(std::move(effects.entries), std::move(afterWrite), actions);
  }
  for (const OrderOutcome& outcome : effects.outcomes) operators_.orderEnded(outcome, actions);
}

void ControlNode::write(std::vector<StoreEntry> entries, AfterWrite afterWrite, ControlActions& actions) {
  submit(writes_.submit(std::move(entries), std::move(afterWrite)), actions);
}

void ControlNode::submit(WriteBatch batch, ControlActions& actions) {
  ControlAction action;
  action.kind = ControlAction::Kind::write;
  action.batch = {batch.number};
  action.entries = std::move(batch.entries);
  actions.push_back(std::move(action));
}

ControlActions ControlNode::writeCompleted(Span now, BatchNo batch, bool done) {
  now_ = now;
  ControlActions actions;
  for (const AfterWrite& afterWrite : writes_.completed(batch.value, done)) {
    for (const Envelope& envelope : afterWrite.envelopes) send(envelope, actions);
    for (const auto& [session, text] : afterWrite.texts) {
      if (sessions_.find(session) != nullptr) sendText(session, text, actions);
    }
    // The reported digest covers only items on disk, not those whose write failed.
    if (afterWrite.digest) durableDigest_ = *afterWrite.digest;
    if (afterWrite.recovered) recoveryWritten(*afterWrite.recovered);
  }
  if (!done && recoveryBatch_ == batch.value) recoveryBatch_.reset();  // finishRecovery() writes it again
  if (writes_.allDurable()) durableDigest_ = items_.digest();
  finishInput(now, actions);
  return actions;
}

void ControlNode::recoveryWritten(Epoch epoch) {
  recoveryBatch_.reset();
  if (epoch != membership_.set().epoch || !recovery_.running()) return;
  recovery_.stop();
  identity_.holdsState = true;
  identity_.stateEpoch = epoch;
  updateVoting();
  heartbeatNow_ = true;
}

}  // namespace rackroute::mesh
