#include "mesh/control/agreement.hpp"

#include <algorithm>
#include <set>
#include <utility>

#include "mesh/control/ballot_rounds.hpp"

namespace rackroute::mesh {
namespace {

using namespace std::chrono_literals;

constexpr Span kSilenceAllowed = 400ms;  // of the proposer of an accepted order; more than a ballot lasts
constexpr Span kSilenceAllowedPerRank = 100ms;  // so that voters don't all complete it at once

/// A reply tells of durable state: it waits for the entries that came with it.
void reply(const Address& to, Message message, Effects& effects) {
  auto& messages = effects.entries.empty() ? effects.messages : effects.afterWrite;
  messages.push_back({to, std::move(message)});
}

std::vector<DecidedRegister> registersOf(const std::vector<Item>& items) {
  std::vector<DecidedRegister> registers;
  registers.reserve(items.size());
  for (const Item& item : items) {
    registers.push_back({registerOf(item), item.hash != 0 ? item.hash : hashOf(item)});
  }
  return registers;
}

}  // namespace

Item itemOf(const VoterSet& set) {
  Item item;
  item.key = {ItemKind::voters, "voters"};
  item.generation = {set.epoch.value};
  item.value = toJson(set);
  return item;
}

Agreement::Agreement(Built built)
    : built_(std::move(built)),
      acceptor_(history_),
      proposer_({built_.self, built_.seed, &set_, &history_, built_.inForce, built_.isGone}) {}

// --- state

bool Agreement::restore(const std::string& key, const std::string& value) {
  restored_ = true;
  return history_.restore(key, value) || proposer_.restore(key, value) || acceptor_.restore(key, value);
}

void Agreement::voters(const VoterSet& set, Span now, Effects& effects) {
  if (set.epoch < set_.epoch) return;
  const bool anotherEpoch = set_.epoch < set.epoch;
  set_ = set;
  if (!anotherEpoch) return;
  history_.votersDecidedTo(set.epoch);
  std::vector<DecidedRegister> decided = registersOf({itemOf(set)});
  // Earlier sets that were never heard of here: decided too, though not known how.
  for (const auto& [id, held] : acceptor_.held()) {
    for (const Item& item : held.accepted.order->items) {
      if (history_.stateOf(item) == RegisterState::forgotten) decided.push_back({registerOf(item), 0});
    }
  }
  learnDecided(now, decided, {}, effects);
  proposer_.restart(now, effects);
}

void Agreement::identify(const VoterId& self) {
  built_.self = self;
  proposer_.reset(self);
}

void Agreement::reset(const VoterId& self, Effects& effects) {
  built_.self = self;
  mayVote_ = false;
  acceptor_.reset(effects);
  proposer_.reset(self);
}

// --- as voter

bool Agreement::mayVoteOn(const Ballot& ballot, Epoch epoch) const {
  return mayVote_ && epoch == set_.epoch && epochOf(ballot) == epoch && set_.contains(built_.self);
}

void Agreement::heard(Span now, const Address& from, const Prepare& message, Effects& effects) {
  if (!mayVoteOn(message.ballot, message.epoch)) return;
  auto verdict = acceptor_.promise(now, message.ballot, message.registers, effects);
  if (!verdict) return;
  PrepareReply answer{message.ballot,    set_.epoch, built_.self, verdict->granted,
                      verdict->promised, {},         {},          {}};
  if (verdict->granted) answer.accepted = acceptor_.holdingOrOvertaking(message.registers);
  answer.standing = standingAt(verdict->decided);
  answer.decided = std::move(verdict->decided);
  reply(from, std::move(answer), effects);
}

void Agreement::heard(Span now, const Address& from, const Accept& message, Effects& effects) {
  if (message.order == nullptr || !mayVoteOn(message.ballot, message.epoch)) return;
  if (!acceptable(message)) return;
  auto verdict = acceptor_.accept(now, message.ballot, message.order, effects);
  if (!verdict) return;
  AcceptReply answer{message.ballot, set_.epoch, built_.self, verdict->granted, verdict->promised, {}, {}};
  answer.standing = standingAt(verdict->decided);
  answer.decided = std::move(verdict->decided);
  reply(from, std::move(answer), effects);
}

bool Agreement::acceptable(const Accept& message) const {
  for (const Item& item : message.order->items) {
    if (item.key.kind != ItemKind::voters) continue;
    try {
      if (!built_.acceptable) return false;
      if (!built_.acceptable(voterSetFrom(item.value), message.mayBeDecided)) return false;
    } catch (const nlohmann::json::exception&) {
      return false;  // guards against a peer that sends what no process of the mesh does
    }
  }
  return true;
}

std::vector<Item> Agreement::standingAt(const std::vector<DecidedRegister>& decided) const {
  std::set<ItemKey> names;
  for (const DecidedRegister& reg : decided) names.insert(reg.id.item);
  std::vector<Item> standing;
  for (const ItemKey& name : names) {
    if (const Item* item = built_.inForce->find(name)) standing.push_back(*item);
  }
  return standing;
}

void Agreement::decided(Span now, const std::vector<Item>& items, Effects& effects) {
  learnDecided(now, items, effects);
}

void Agreement::learnDecided(Span now, const std::vector<Item>& items, Effects& effects) {
  learnDecided(now, registersOf(items), {}, effects);
}

void Agreement::learnDecided(Span now, const std::vector<DecidedRegister>& decided,
                             const std::vector<Item>& standing, Effects& effects) {
  if (decided.empty()) return;
  std::vector<RegisterId> ids;
  for (const DecidedRegister& reg : decided) {
    if (reg.print != 0) history_.record(reg.id, reg.print);
    if (history_.find(reg.id)) ids.push_back(reg.id);
  }
  history_.writeChanges(effects);
  std::vector<OrderPtr> settled = acceptor_.settle(ids, effects);
  const std::vector<OrderPtr> brought = proposer_.settle(now, decided, standing, effects);
  settled.insert(settled.end(), brought.begin(), brought.end());
  bringIntoForce(settled, effects);
}

void Agreement::bringIntoForce(const std::vector<OrderPtr>& orders, Effects& effects) const {
  std::map<RegisterId, const Item*> items;
  for (const OrderPtr& order : orders) {
    for (const Item& item : order->items) {
      if (history_.stateOf(item) == RegisterState::same && built_.inForce->isNewer(item)) {
        items.emplace(registerOf(item), &item);
      }
    }
  }
  for (const auto& [id, item] : items) effects.decided.push_back(*item);
}

// --- as proposer

void Agreement::heard(Span now, const PrepareReply& message, Effects& effects) {
  learnDecided(now, message.decided, message.standing, effects);
  proposer_.heard(now, message, effects);
}

void Agreement::heard(Span now, const AcceptReply& message, Effects& effects) {
  learnDecided(now, message.decided, message.standing, effects);
  const OrderPtr order = proposer_.heard(now, message, effects);
  if (order != nullptr) learnDecided(now, order->items, effects);
}

void Agreement::propose(Span now, std::uint64_t call, OrderPtr order, Effects& effects) {
  OrderOutcome outcome{call, OrderResult::decided, {}};
  std::vector<DecidedRegister> conflicting;
  for (const Item& item : order->items) {
    if (history_.stateOf(item) == RegisterState::other) conflicting.push_back({registerOf(item), 0});
  }
  if (!conflicting.empty()) {
    outcome.result = OrderResult::conflict;
    outcome.standing = standingAt(conflicting);
  } else if (undecided(*order)) {
    if (proposer_.propose(now, call, order, effects)) return;
    outcome.result = OrderResult::busy;
  }
  if (call != 0) effects.outcomes.push_back(std::move(outcome));
}

void Agreement::forgetCall(std::uint64_t call) { proposer_.forgetCall(call); }

void Agreement::tick(Span now, Effects& effects) {
  settleRestored(now, effects);
  proposer_.tick(now, effects);
  completeSilentOrders(now, effects);
  acceptor_.expire(now, effects);
}

void Agreement::settleRestored(Span now, Effects& effects) {
  if (!std::exchange(restored_, false)) return;
  learnDecided(now, history_.all(), {}, effects);
}

Span Agreement::silenceAllowed(const Order& order) const {
  const auto self = std::find(set_.voters.begin(), set_.voters.end(), built_.self);
  return kSilenceAllowed + kSilenceAllowedPerRank * (self - set_.voters.begin()) +
         2 * timeForSize(order.items.size());
}

void Agreement::completeSilentOrders(Span now, Effects& effects) {
  if (!mayVote_ || !set_.contains(built_.self)) return;
  std::vector<OrderPtr> silent;
  for (const auto& [id, held] : acceptor_.held()) {
    if (now - held.since >= silenceAllowed(*held.accepted.order)) silent.push_back(held.accepted.order);
  }
  for (const OrderPtr& order : silent) {
    acceptor_.touch(now, order->id);
    proposer_.complete(now, order, effects);
  }
}

std::optional<Span> Agreement::nextTick() const {
  std::optional<Span> next = proposer_.nextTick();
  if (!mayVote_ || !set_.contains(built_.self)) return next;
  for (const auto& [id, held] : acceptor_.held()) {
    const Span silent = held.since + silenceAllowed(*held.accepted.order);
    if (!next || silent < *next) next = silent;
  }
  return next;
}

// --- for readers

std::vector<AcceptedOrder> Agreement::accepted() const {
  std::vector<AcceptedOrder> orders;
  for (const auto& [id, held] : acceptor_.held()) orders.push_back(held.accepted);
  return orders;
}

std::set<std::uint64_t> Agreement::acceptedChanges() const {
  std::set<std::uint64_t> changes;
  for (const auto& [id, held] : acceptor_.held()) {
    if (!isVoterSet(*held.accepted.order)) changes.insert(id);
  }
  return changes;
}

std::vector<AcceptedOrder> Agreement::stillAccepted(const std::set<std::uint64_t>& orders) const {
  std::vector<AcceptedOrder> still;
  for (const std::uint64_t order : orders) {
    const auto held = acceptor_.held().find(order);
    if (held != acceptor_.held().end()) still.push_back(held->second.accepted);
  }
  return still;
}

std::vector<DecidedRegister> Agreement::decidedRegisters() const { return history_.all(); }

void Agreement::learn(Span now, const std::vector<AcceptedOrder>& accepted,
                      const std::vector<DecidedRegister>& decided, Effects& effects) {
  learnDecided(now, decided, {}, effects);
  for (const AcceptedOrder& order : accepted) {
    if (undecided(*order.order)) acceptor_.hold(now, order, effects);
  }
}

bool Agreement::isDecided(const Order& order) const {
  return std::all_of(order.items.begin(), order.items.end(),
                     [this](const Item& item) { return history_.stateOf(item) == RegisterState::same; });
}

bool Agreement::undecided(const Order& order) const {
  bool open = false;
  for (const Item& item : order.items) {
    const RegisterState state = history_.stateOf(item);
    if (state == RegisterState::other) return false;  // void
    open = open || state == RegisterState::open;
  }
  return open;
}

bool Agreement::allDecided(const std::vector<AcceptedOrder>& accepted) const {
  return std::none_of(accepted.begin(), accepted.end(),
                      [this](const AcceptedOrder& order) { return undecided(*order.order); });
}

void Agreement::complete(Span now, const std::vector<AcceptedOrder>& accepted, Effects& effects) {
  for (const AcceptedOrder& order : accepted) {
    if (undecided(*order.order)) proposer_.complete(now, order.order, effects);
  }
}

std::size_t Agreement::proposalsUnderWay() const { return proposer_.underWay(); }

}  // namespace rackroute::mesh
