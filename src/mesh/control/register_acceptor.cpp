#include "mesh/control/register_acceptor.hpp"

#include <algorithm>
#include <set>
#include <tuple>
#include <utility>

namespace rackroute::mesh {
namespace {

using namespace std::chrono_literals;

constexpr Span kPromiseRetention = 10min;               // far longer than any ballot
constexpr std::size_t kMaxPromisedRegisters = 100'000;  // bounds memory
constexpr std::size_t kMaxAcceptedOrders = 4096;        // far more than proposers have in flight
constexpr std::size_t kMaxRegistersPerRequest = 100'000;

std::vector<RegisterId> registersOf(const Order& order) {
  std::vector<RegisterId> registers;
  registers.reserve(order.items.size());
  for (const Item& item : order.items) registers.push_back(registerOf(item));
  return registers;
}

}  // namespace

bool conflicts(const Order& left, const Order& right) {
  // Both are sorted by register (makeOrder).
  auto one = left.items.begin();
  auto other = right.items.begin();
  while (one != left.items.end() && other != right.items.end()) {
    const auto leftRegister = std::tie(one->key, one->generation);
    const auto rightRegister = std::tie(other->key, other->generation);
    if (leftRegister < rightRegister) {
      ++one;
    } else if (rightRegister < leftRegister) {
      ++other;
    } else {
      if (one->hash != other->hash) return true;
      ++one;
      ++other;
    }
  }
  return false;
}

bool RegisterAcceptor::restore(const std::string& key, const std::string& value) {
  if (key == agreement_store::kFloorKey) {
    floor_ = std::max(floor_, agreement_store::parseBallot(value));
    return true;
  }
  if (key.starts_with(agreement_store::kPromisePrefix)) {
    auto stored = agreement_store::parsePromise(value);
    Effects ignored;  // superseded promises stay on disk until they expire
    Promise promise;
    promise.registers = std::move(stored.registers);
    indexPromise(stored.ballot, std::move(promise), ignored);
    return true;
  }
  if (key.starts_with(agreement_store::kOrderPrefix)) {
    indexOrder(agreement_store::parseOrder(value), Span{0});
    return true;
  }
  return false;
}

void RegisterAcceptor::reset(Effects& effects) {
  for (const auto& [ballot, promise] : promises_) {
    effects.entries.emplace_back(agreement_store::promiseKey(ballot), std::nullopt);
  }
  for (const auto& [id, entry] : accepted_) {
    effects.entries.emplace_back(agreement_store::orderKey(id), std::nullopt);
  }
  effects.entries.emplace_back(agreement_store::kFloorKey, std::nullopt);
  promises_.clear();
  promisesByAge_.clear();
  promised_.clear();
  accepted_.clear();
  ordersByRegister_.clear();
  floor_ = Ballot{};
}

Ballot RegisterAcceptor::highest(const RegisterId& id) const {
  Ballot ballot = floor_;
  if (const auto found = promised_.find(id); found != promised_.end()) {
    ballot = std::max(ballot, found->second);
  }
  if (const auto found = ordersByRegister_.find(id); found != ordersByRegister_.end()) {
    for (const std::uint64_t order : found->second) {
      ballot = std::max(ballot, accepted_.at(order).accepted.ballot);
    }
  }
  return ballot;
}

RegisterAcceptor::Response RegisterAcceptor::evaluate(const Ballot& ballot,
                                                      const std::vector<RegisterId>& registers) const {
  Response response;
  for (const RegisterId& id : registers) {
    if (auto decided = history_->find(id)) response.decided.push_back(std::move(*decided));
    if (auto later = history_->laterThan(id)) response.decided.push_back(std::move(*later));
    response.promised = std::max(response.promised, highest(id));
  }
  response.granted = response.promised <= ballot;
  return response;
}

std::optional<RegisterAcceptor::Response> RegisterAcceptor::promise(Span now, const Ballot& ballot,
                                                                    const std::vector<RegisterId>& registers,
                                                                    Effects& effects) {
  if (registers.empty() || registers.size() > kMaxRegistersPerRequest) return std::nullopt;
  const auto known = promises_.find(ballot);
  if (known != promises_.end() && known->second.registers != registers) return std::nullopt;
  Response response = evaluate(ballot, registers);
  if (response.granted) addPromise(now, ballot, registers, effects);
  return response;
}

void RegisterAcceptor::addPromise(Span now, const Ballot& ballot, const std::vector<RegisterId>& registers,
                                  Effects& effects) {
  // Written again for a duplicate request: the earlier write may not be durable yet, and the reply must wait
  // for a write.
  effects.entries.emplace_back(agreement_store::promiseKey(ballot),
                               agreement_store::formatPromise({ballot, registers}));
  if (promises_.contains(ballot)) return;
  while (!promises_.empty() && promised_.size() + registers.size() > kMaxPromisedRegisters) {
    evictOldestPromise(effects);
  }
  Promise promise;
  promise.registers = registers;
  promise.since = now;
  indexPromise(ballot, std::move(promise), effects);
}

void RegisterAcceptor::indexPromise(const Ballot& ballot, Promise promise, Effects& effects) {
  for (const RegisterId& id : promise.registers) {
    const auto found = promised_.find(id);
    if (found != promised_.end() && found->second >= ballot) continue;
    if (found != promised_.end()) releasePromise(id, effects);
    promised_[id] = ballot;
    ++promise.activeRegisters;
  }
  promises_.emplace(ballot, std::move(promise));
  promisesByAge_.push_back(ballot);
}

void RegisterAcceptor::releasePromise(const RegisterId& id, Effects& effects) {
  const auto found = promised_.find(id);
  if (found == promised_.end()) return;
  const auto promise = promises_.find(found->second);
  promised_.erase(found);
  if (promise == promises_.end() || --promise->second.activeRegisters > 0) return;
  effects.entries.emplace_back(agreement_store::promiseKey(promise->first), std::nullopt);
  promises_.erase(promise);
}

void RegisterAcceptor::evictOldestPromise(Effects& effects) {
  const Ballot ballot = promisesByAge_.front();
  promisesByAge_.pop_front();
  const auto promise = promises_.find(ballot);
  if (promise == promises_.end()) return;
  for (const RegisterId& id : promise->second.registers) {
    const auto found = promised_.find(id);
    if (found != promised_.end() && found->second == ballot) promised_.erase(found);
  }
  promises_.erase(promise);
  effects.entries.emplace_back(agreement_store::promiseKey(ballot), std::nullopt);
  if (ballot <= floor_) return;
  // A delayed request with a lower ballot must still be refused after the promise is removed.
  floor_ = ballot;
  effects.entries.emplace_back(agreement_store::kFloorKey, agreement_store::formatBallot(floor_));
}

void RegisterAcceptor::expire(Span now, Effects& effects) {
  while (!promisesByAge_.empty()) {
    const auto oldest = promises_.find(promisesByAge_.front());
    if (oldest == promises_.end()) {
      promisesByAge_.pop_front();
      continue;
    }
    if (now - oldest->second.since < kPromiseRetention) return;
    evictOldestPromise(effects);
  }
}

std::optional<RegisterAcceptor::Response> RegisterAcceptor::accept(Span now, const Ballot& ballot,
                                                                   const OrderPtr& order, Effects& effects) {
  if (order->items.empty() || order->items.size() > kMaxRegistersPerRequest) return std::nullopt;
  Response response = evaluate(ballot, registersOf(*order));
  std::size_t open = 0;
  for (const Item& item : order->items) {
    switch (history_->stateOf(item)) {
      case RegisterState::open:
        ++open;
        break;
      case RegisterState::sameValue:
        break;
      case RegisterState::otherValue:
      case RegisterState::expired:
        response.granted = false;
        break;
    }
  }
  if (open == 0) response.granted = false;  // everything is decided already, which the reply reports
  if (!response.granted) return response;
  if (accepted_.size() >= kMaxAcceptedOrders && !accepted_.contains(order->id)) return std::nullopt;
  store(now, {ballot, order}, effects);
  return response;
}

void RegisterAcceptor::store(Span now, const AcceptedOrder& accepted, Effects& effects) {
  std::vector<std::uint64_t> conflicting;
  for (const AcceptedOrder& entry : acceptedFor(registersOf(*accepted.order))) {
    if (!conflicts(*entry.order, *accepted.order)) continue;
    if (entry.ballot > accepted.ballot) return;  // the new order had no majority
    conflicting.push_back(entry.order->id);
  }
  for (const std::uint64_t id : conflicting) drop(id, effects);
  const auto existing = accepted_.find(accepted.order->id);
  if (existing == accepted_.end()) {
    indexOrder(accepted, now);
  } else {
    existing->second.accepted.ballot = std::max(existing->second.accepted.ballot, accepted.ballot);
    existing->second.lastProposed = now;
  }
  // Written again for a duplicate request, because the earlier write may not be durable yet.
  effects.entries.emplace_back(agreement_store::orderKey(accepted.order->id),
                               agreement_store::formatOrder(accepted_.at(accepted.order->id).accepted));
}

void RegisterAcceptor::indexOrder(const AcceptedOrder& accepted, Span lastProposed) {
  accepted_[accepted.order->id] = {accepted, lastProposed};
  for (const Item& item : accepted.order->items) {
    ordersByRegister_[registerOf(item)].push_back(accepted.order->id);
  }
}

void RegisterAcceptor::drop(std::uint64_t order, Effects& effects) {
  const auto entry = accepted_.find(order);
  if (entry == accepted_.end()) return;
  for (const Item& item : entry->second.accepted.order->items) {
    const auto orders = ordersByRegister_.find(registerOf(item));
    std::erase(orders->second, order);
    if (orders->second.empty()) ordersByRegister_.erase(orders);
  }
  accepted_.erase(entry);
  effects.entries.emplace_back(agreement_store::orderKey(order), std::nullopt);
}

std::vector<OrderPtr> RegisterAcceptor::applyDecided(const std::vector<RegisterId>& decided,
                                                     Effects& effects) {
  std::set<std::uint64_t> affected;
  for (const RegisterId& id : decided) {
    releasePromise(id, effects);
    const auto orders = ordersByRegister_.find(id);
    if (orders != ordersByRegister_.end()) affected.insert(orders->second.begin(), orders->second.end());
  }
  std::vector<OrderPtr> resolved;
  for (const std::uint64_t id : affected) {
    const OrderPtr order = accepted_.at(id).accepted.order;
    bool open = false;
    bool other = false;
    for (const Item& item : order->items) {
      const RegisterState state = history_->stateOf(item);
      open = open || state == RegisterState::open;
      other = other || state == RegisterState::otherValue;
    }
    if (open && !other) continue;
    drop(id, effects);
    resolved.push_back(order);
  }
  return resolved;
}

std::vector<AcceptedOrder> RegisterAcceptor::acceptedFor(const std::vector<RegisterId>& registers) const {
  std::set<std::uint64_t> ids;
  for (const RegisterId& id : registers) {
    const auto orders = ordersByRegister_.find(id);
    if (orders != ordersByRegister_.end()) ids.insert(orders->second.begin(), orders->second.end());
  }
  return ordersWithIds(ids);
}

std::vector<AcceptedOrder> RegisterAcceptor::acceptedForOrLater(
    const std::vector<RegisterId>& registers) const {
  std::set<std::uint64_t> ids;
  for (const RegisterId& id : registers) {
    // Registers are sorted by item, then by version.
    for (auto orders = ordersByRegister_.lower_bound(id); orders != ordersByRegister_.end(); ++orders) {
      if (orders->first.item != id.item) break;
      ids.insert(orders->second.begin(), orders->second.end());
    }
  }
  return ordersWithIds(ids);
}

std::vector<AcceptedOrder> RegisterAcceptor::ordersWithIds(const std::set<std::uint64_t>& ids) const {
  std::vector<AcceptedOrder> orders;
  for (const std::uint64_t id : ids) orders.push_back(accepted_.at(id).accepted);
  return orders;
}

void RegisterAcceptor::touch(Span now, std::uint64_t order) {
  const auto entry = accepted_.find(order);
  if (entry != accepted_.end()) entry->second.lastProposed = now;
}

}  // namespace rackroute::mesh
