#include "mesh/control/agreement.hpp"

#include <algorithm>
#include <set>
#include <utility>

#include "mesh/control/ballot_rounds.hpp"

namespace rackroute::mesh {
namespace {

using namespace std::chrono_literals;

constexpr Span kStallTimeout = 400ms;         // no proposal seen for an accepted order
constexpr Span kStallTimeoutPerRank = 100ms;  // so that the voters do not all act at once

/// A reply reports durable state, so it is sent only after the entries it depends on are written.
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

Agreement::Agreement(Config config)
    : config_(std::move(config)),
      acceptor_(history_),
      proposer_(
          {config_.self, config_.seed, &set_, &history_, config_.currentItems, config_.isPermanentlyLost}) {}

// --- state

bool Agreement::restore(const std::string& key, const std::string& value) {
  restorePending_ = true;
  return history_.restore(key, value) || proposer_.restore(key, value) || acceptor_.restore(key, value);
}

void Agreement::setVoters(const VoterSet& set, Span now, Effects& effects) {
  if (set.epoch < set_.epoch) return;
  const bool newEpoch = set_.epoch < set.epoch;
  set_ = set;
  if (!newEpoch) return;
  history_.setVotersDecidedUpTo(set.epoch);
  std::vector<DecidedRegister> decided = registersOf({itemOf(set)});
  // Earlier sets that this process never received are decided too, with unknown values.
  for (const auto& [id, entry] : acceptor_.acceptedOrders()) {
    for (const Item& item : entry.accepted.order->items) {
      if (history_.stateOf(item) == RegisterState::expired) decided.push_back({registerOf(item), 0});
    }
  }
  applyDecided(now, decided, {}, effects);
  proposer_.restart(now, effects);
}

void Agreement::setSelf(const VoterId& self) {
  config_.self = self;
  proposer_.reset(self);
}

void Agreement::reset(const VoterId& self, Effects& effects) {
  config_.self = self;
  mayVote_ = false;
  acceptor_.reset(effects);
  proposer_.reset(self);
}

// --- as voter

bool Agreement::mayVoteOn(const Ballot& ballot, Epoch epoch) const {
  return mayVote_ && epoch == set_.epoch && epochOf(ballot) == epoch && set_.contains(config_.self);
}

void Agreement::handle(Span now, const Address& from, const Prepare& message, Effects& effects) {
  if (!mayVoteOn(message.ballot, message.epoch)) return;
  auto response = acceptor_.promise(now, message.ballot, message.registers, effects);
  if (!response) return;
  PrepareReply answer{message.ballot,     set_.epoch, config_.self, response->granted,
                      response->promised, {},         {},           {}};
  if (response->granted) answer.accepted = acceptor_.acceptedForOrLater(message.registers);
  answer.currentItems = currentItemsOf(response->decided);
  answer.decided = std::move(response->decided);
  reply(from, std::move(answer), effects);
}

void Agreement::handle(Span now, const Address& from, const Accept& message, Effects& effects) {
  if (message.order == nullptr || !mayVoteOn(message.ballot, message.epoch)) return;
  if (!acceptable(message)) return;
  auto response = acceptor_.accept(now, message.ballot, message.order, effects);
  if (!response) return;
  AcceptReply answer{message.ballot, set_.epoch, config_.self, response->granted, response->promised, {}, {}};
  answer.currentItems = currentItemsOf(response->decided);
  answer.decided = std::move(response->decided);
  reply(from, std::move(answer), effects);
}

bool Agreement::acceptable(const Accept& message) const {
  for (const Item& item : message.order->items) {
    if (item.key.kind != ItemKind::voters) continue;
    try {
      if (!config_.acceptable) return false;
      if (!config_.acceptable(voterSetFrom(item.value), message.mayBeDecided)) return false;
    } catch (const nlohmann::json::exception&) {
      return false;  // not a valid voter set
    }
  }
  return true;
}

std::vector<Item> Agreement::currentItemsOf(const std::vector<DecidedRegister>& decided) const {
  std::set<ItemKey> names;
  for (const DecidedRegister& reg : decided) names.insert(reg.id.item);
  std::vector<Item> currentItems;
  for (const ItemKey& name : names) {
    if (const Item* item = config_.currentItems->find(name)) currentItems.push_back(*item);
  }
  return currentItems;
}

void Agreement::recordDecided(Span now, const std::vector<Item>& items, Effects& effects) {
  applyDecided(now, items, effects);
}

void Agreement::applyDecided(Span now, const std::vector<Item>& items, Effects& effects) {
  applyDecided(now, registersOf(items), {}, effects);
}

void Agreement::applyDecided(Span now, const std::vector<DecidedRegister>& decided,
                             const std::vector<Item>& currentItems, Effects& effects) {
  if (decided.empty()) return;
  std::vector<RegisterId> ids;
  for (const DecidedRegister& reg : decided) {
    if (reg.hash != 0) history_.record(reg.id, reg.hash);
    if (history_.find(reg.id)) ids.push_back(reg.id);
  }
  history_.writeChanges(effects);
  std::vector<OrderPtr> resolved = acceptor_.applyDecided(ids, effects);
  const std::vector<OrderPtr> finished = proposer_.applyDecided(now, decided, currentItems, effects);
  resolved.insert(resolved.end(), finished.begin(), finished.end());
  collectNewlyDecided(resolved, effects);
}

void Agreement::collectNewlyDecided(const std::vector<OrderPtr>& orders, Effects& effects) const {
  std::map<RegisterId, const Item*> items;
  for (const OrderPtr& order : orders) {
    for (const Item& item : order->items) {
      if (history_.stateOf(item) == RegisterState::sameValue && config_.currentItems->isNewer(item)) {
        items.emplace(registerOf(item), &item);
      }
    }
  }
  for (const auto& [id, item] : items) effects.decided.push_back(*item);
}

// --- as proposer

void Agreement::handle(Span now, const PrepareReply& message, Effects& effects) {
  applyDecided(now, message.decided, message.currentItems, effects);
  proposer_.handle(now, message, effects);
}

void Agreement::handle(Span now, const AcceptReply& message, Effects& effects) {
  applyDecided(now, message.decided, message.currentItems, effects);
  const OrderPtr order = proposer_.handle(now, message, effects);
  if (order != nullptr) applyDecided(now, order->items, effects);
}

void Agreement::propose(Span now, std::uint64_t call, OrderPtr order, Effects& effects) {
  OrderOutcome outcome{call, OrderResult::decided, {}};
  std::vector<DecidedRegister> conflicting;
  for (const Item& item : order->items) {
    if (history_.stateOf(item) == RegisterState::otherValue) conflicting.push_back({registerOf(item), 0});
  }
  if (!conflicting.empty()) {
    outcome.result = OrderResult::conflict;
    outcome.standing = currentItemsOf(conflicting);
  } else if (undecided(*order)) {
    if (proposer_.propose(now, call, order, effects)) return;
    outcome.result = OrderResult::busy;
  }
  if (call != 0) effects.outcomes.push_back(std::move(outcome));
}

void Agreement::forgetCall(std::uint64_t call) { proposer_.forgetCall(call); }

void Agreement::tick(Span now, Effects& effects) {
  resolveRestored(now, effects);
  proposer_.tick(now, effects);
  completeStalledOrders(now, effects);
  acceptor_.expire(now, effects);
}

void Agreement::resolveRestored(Span now, Effects& effects) {
  if (!std::exchange(restorePending_, false)) return;
  applyDecided(now, history_.all(), {}, effects);
}

Span Agreement::stallTimeout(const Order& order) const {
  const auto self = std::find(set_.voters.begin(), set_.voters.end(), config_.self);
  return kStallTimeout + kStallTimeoutPerRank * (self - set_.voters.begin()) +
         2 * extraTimeFor(order.items.size());
}

void Agreement::completeStalledOrders(Span now, Effects& effects) {
  if (!mayVote_ || !set_.contains(config_.self)) return;
  std::vector<OrderPtr> stalled;
  for (const auto& [id, entry] : acceptor_.acceptedOrders()) {
    if (now - entry.lastProposed >= stallTimeout(*entry.accepted.order))
      stalled.push_back(entry.accepted.order);
  }
  for (const OrderPtr& order : stalled) {
    acceptor_.touch(now, order->id);
    proposer_.complete(now, order, effects);
  }
}

std::optional<Span> Agreement::nextTick() const {
  std::optional<Span> next = proposer_.nextTick();
  if (!mayVote_ || !set_.contains(config_.self)) return next;
  for (const auto& [id, entry] : acceptor_.acceptedOrders()) {
    const Span stalled = entry.lastProposed + stallTimeout(*entry.accepted.order);
    if (!next || stalled < *next) next = stalled;
  }
  return next;
}

// --- for readers

std::vector<AcceptedOrder> Agreement::accepted() const {
  std::vector<AcceptedOrder> orders;
  for (const auto& [id, entry] : acceptor_.acceptedOrders()) orders.push_back(entry.accepted);
  return orders;
}

std::set<std::uint64_t> Agreement::acceptedConfigurationOrders() const {
  std::set<std::uint64_t> ids;
  for (const auto& [id, entry] : acceptor_.acceptedOrders()) {
    if (!isVoterSetOrder(*entry.accepted.order)) ids.insert(id);
  }
  return ids;
}

std::vector<AcceptedOrder> Agreement::stillAccepted(const std::set<std::uint64_t>& orders) const {
  std::vector<AcceptedOrder> result;
  for (const std::uint64_t order : orders) {
    const auto entry = acceptor_.acceptedOrders().find(order);
    if (entry != acceptor_.acceptedOrders().end()) result.push_back(entry->second.accepted);
  }
  return result;
}

std::vector<DecidedRegister> Agreement::decidedRegisters() const { return history_.all(); }

void Agreement::importState(Span now, const std::vector<AcceptedOrder>& accepted,
                            const std::vector<DecidedRegister>& decided, Effects& effects) {
  applyDecided(now, decided, {}, effects);
  for (const AcceptedOrder& order : accepted) {
    if (undecided(*order.order)) acceptor_.store(now, order, effects);
  }
}

bool Agreement::isDecided(const Order& order) const {
  return std::all_of(order.items.begin(), order.items.end(),
                     [this](const Item& item) { return history_.stateOf(item) == RegisterState::sameValue; });
}

bool Agreement::undecided(const Order& order) const {
  bool open = false;
  for (const Item& item : order.items) {
    const RegisterState state = history_.stateOf(item);
    if (state == RegisterState::otherValue) return false;  // cannot be decided any more
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

std::size_t Agreement::proposalsInFlight() const { return proposer_.size(); }

}  // namespace rackroute::mesh
