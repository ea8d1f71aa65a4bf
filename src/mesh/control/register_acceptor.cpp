#include "mesh/control/register_acceptor.hpp"

#include <algorithm>
#include <set>
#include <tuple>
#include <utility>

namespace rackroute::mesh {
namespace {

using namespace std::chrono_literals;

constexpr Span kPromiseKept = 10min;               // far longer than any ballot lasts
constexpr std::size_t kPromisedAtMost = 100'000;   // registers; bounds memory
constexpr std::size_t kHeldAtMost = 4096;          // orders; far more than proposers have under way
constexpr std::size_t kRegistersAtMost = 100'000;  // of one request

std::vector<RegisterId> registersOf(const Order& order) {
  std::vector<RegisterId> registers;
  registers.reserve(order.items.size());
  for (const Item& item : order.items) registers.push_back(registerOf(item));
  return registers;
}

}  // namespace

bool disagree(const Order& left, const Order& right) {
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
    floor_ = std::max(floor_, agreement_store::readBallot(value));
    return true;
  }
  if (key.starts_with(agreement_store::kPromisePrefix)) {
    auto stored = agreement_store::readPromise(value);
    Effects none;  // what is superseded here is removed from disk when its time ends
    Promise promise;
    promise.registers = std::move(stored.registers);
    indexPromise(stored.ballot, std::move(promise), none);
    return true;
  }
  if (key.starts_with(agreement_store::kOrderPrefix)) {
    index(agreement_store::readOrder(value), Span{0});
    return true;
  }
  return false;
}

void RegisterAcceptor::reset(Effects& effects) {
  for (const auto& [ballot, promise] : promises_) {
    effects.entries.emplace_back(agreement_store::promiseKey(ballot), std::nullopt);
  }
  for (const auto& [id, held] : held_) {
    effects.entries.emplace_back(agreement_store::orderKey(id), std::nullopt);
  }
  effects.entries.emplace_back(agreement_store::kFloorKey, std::nullopt);
  promises_.clear();
  promisesByAge_.clear();
  promised_.clear();
  held_.clear();
  holders_.clear();
  floor_ = Ballot{};
}

Ballot RegisterAcceptor::highest(const RegisterId& id) const {
  Ballot ballot = floor_;
  if (const auto found = promised_.find(id); found != promised_.end()) {
    ballot = std::max(ballot, found->second);
  }
  if (const auto found = holders_.find(id); found != holders_.end()) {
    for (const std::uint64_t order : found->second) {
      ballot = std::max(ballot, held_.at(order).accepted.ballot);
    }
  }
  return ballot;
}

RegisterAcceptor::Verdict RegisterAcceptor::judge(const Ballot& ballot,
                                                  const std::vector<RegisterId>& registers) const {
  Verdict verdict;
  for (const RegisterId& id : registers) {
    if (auto decided = history_->find(id)) verdict.decided.push_back(std::move(*decided));
    if (auto later = history_->laterThan(id)) verdict.decided.push_back(std::move(*later));
    verdict.promised = std::max(verdict.promised, highest(id));
  }
  verdict.granted = verdict.promised <= ballot;
  return verdict;
}

std::optional<RegisterAcceptor::Verdict> RegisterAcceptor::promise(Span now, const Ballot& ballot,
                                                                   const std::vector<RegisterId>& registers,
                                                                   Effects& effects) {
  if (registers.empty() || registers.size() > kRegistersAtMost) return std::nullopt;
  const auto known = promises_.find(ballot);
  if (known != promises_.end() && known->second.registers != registers) return std::nullopt;
  Verdict verdict = judge(ballot, registers);
  if (verdict.granted) addPromise(now, ballot, registers, effects);
  return verdict;
}

void RegisterAcceptor::addPromise(Span now, const Ballot& ballot, const std::vector<RegisterId>& registers,
                                  Effects& effects) {
  // Also if it stands already: the write before may not be on disk yet, and the reply must wait for one.
  effects.entries.emplace_back(agreement_store::promiseKey(ballot),
                               agreement_store::promiseText({ballot, registers}));
  if (promises_.contains(ballot)) return;
  while (!promises_.empty() && promised_.size() + registers.size() > kPromisedAtMost) {
    forgetOldestPromise(effects);
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
    ++promise.inForce;
  }
  promises_.emplace(ballot, std::move(promise));
  promisesByAge_.push_back(ballot);
}

void RegisterAcceptor::releasePromise(const RegisterId& id, Effects& effects) {
  const auto found = promised_.find(id);
  if (found == promised_.end()) return;
  const auto promise = promises_.find(found->second);
  promised_.erase(found);
  if (promise == promises_.end() || --promise->second.inForce > 0) return;
  effects.entries.emplace_back(agreement_store::promiseKey(promise->first), std::nullopt);
  promises_.erase(promise);
}

void RegisterAcceptor::forgetOldestPromise(Effects& effects) {
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
  // Guards against a request of before that promise, which comes after the memory of it ended.
  floor_ = ballot;
  effects.entries.emplace_back(agreement_store::kFloorKey, agreement_store::ballotText(floor_));
}

void RegisterAcceptor::expire(Span now, Effects& effects) {
  while (!promisesByAge_.empty()) {
    const auto oldest = promises_.find(promisesByAge_.front());
    if (oldest == promises_.end()) {
      promisesByAge_.pop_front();
      continue;
    }
    if (now - oldest->second.since < kPromiseKept) return;
    forgetOldestPromise(effects);
  }
}

std::optional<RegisterAcceptor::Verdict> RegisterAcceptor::accept(Span now, const Ballot& ballot,
                                                                  const OrderPtr& order, Effects& effects) {
  if (order->items.empty() || order->items.size() > kRegistersAtMost) return std::nullopt;
  Verdict verdict = judge(ballot, registersOf(*order));
  std::size_t open = 0;
  for (const Item& item : order->items) {
    switch (history_->stateOf(item)) {
      case RegisterState::open:
        ++open;
        break;
      case RegisterState::same:
        break;
      case RegisterState::other:
      case RegisterState::forgotten:
        verdict.granted = false;
        break;
    }
  }
  if (open == 0) verdict.granted = false;  // all is decided already, as the reply tells
  if (!verdict.granted) return verdict;
  if (held_.size() >= kHeldAtMost && !held_.contains(order->id)) return std::nullopt;
  hold(now, {ballot, order}, effects);
  return verdict;
}

void RegisterAcceptor::hold(Span now, const AcceptedOrder& accepted, Effects& effects) {
  std::vector<std::uint64_t> disagreeing;
  for (const AcceptedOrder& held : holding(registersOf(*accepted.order))) {
    if (!disagree(*held.order, *accepted.order)) continue;
    if (held.ballot > accepted.ballot) return;  // what is new had no majority
    disagreeing.push_back(held.order->id);
  }
  for (const std::uint64_t id : disagreeing) drop(id, effects);
  const auto same = held_.find(accepted.order->id);
  if (same == held_.end()) {
    index(accepted, now);
  } else {
    same->second.accepted.ballot = std::max(same->second.accepted.ballot, accepted.ballot);
    same->second.since = now;
  }
  // Also if it stands already: the write before may not be on disk yet, and the reply must wait for one.
  effects.entries.emplace_back(agreement_store::orderKey(accepted.order->id),
                               agreement_store::orderText(held_.at(accepted.order->id).accepted));
}

void RegisterAcceptor::index(const AcceptedOrder& accepted, Span since) {
  held_[accepted.order->id] = {accepted, since};
  for (const Item& item : accepted.order->items) {
    holders_[registerOf(item)].push_back(accepted.order->id);
  }
}

void RegisterAcceptor::drop(std::uint64_t order, Effects& effects) {
  const auto held = held_.find(order);
  if (held == held_.end()) return;
  for (const Item& item : held->second.accepted.order->items) {
    const auto holders = holders_.find(registerOf(item));
    std::erase(holders->second, order);
    if (holders->second.empty()) holders_.erase(holders);
  }
  held_.erase(held);
  effects.entries.emplace_back(agreement_store::orderKey(order), std::nullopt);
}

std::vector<OrderPtr> RegisterAcceptor::settle(const std::vector<RegisterId>& decided, Effects& effects) {
  std::set<std::uint64_t> touched;
  for (const RegisterId& id : decided) {
    releasePromise(id, effects);
    const auto holders = holders_.find(id);
    if (holders != holders_.end()) touched.insert(holders->second.begin(), holders->second.end());
  }
  std::vector<OrderPtr> settled;
  for (const std::uint64_t id : touched) {
    const OrderPtr order = held_.at(id).accepted.order;
    bool open = false;
    bool other = false;
    for (const Item& item : order->items) {
      const RegisterState state = history_->stateOf(item);
      open = open || state == RegisterState::open;
      other = other || state == RegisterState::other;
    }
    if (open && !other) continue;
    drop(id, effects);
    settled.push_back(order);
  }
  return settled;
}

std::vector<AcceptedOrder> RegisterAcceptor::holding(const std::vector<RegisterId>& registers) const {
  std::set<std::uint64_t> ids;
  for (const RegisterId& id : registers) {
    const auto holders = holders_.find(id);
    if (holders != holders_.end()) ids.insert(holders->second.begin(), holders->second.end());
  }
  return acceptedOf(ids);
}

std::vector<AcceptedOrder> RegisterAcceptor::holdingOrOvertaking(
    const std::vector<RegisterId>& registers) const {
  std::set<std::uint64_t> ids;
  for (const RegisterId& id : registers) {
    // Registers are sorted by item, then by version.
    for (auto holders = holders_.lower_bound(id); holders != holders_.end(); ++holders) {
      if (holders->first.item != id.item) break;
      ids.insert(holders->second.begin(), holders->second.end());
    }
  }
  return acceptedOf(ids);
}

std::vector<AcceptedOrder> RegisterAcceptor::acceptedOf(const std::set<std::uint64_t>& ids) const {
  std::vector<AcceptedOrder> orders;
  for (const std::uint64_t id : ids) orders.push_back(held_.at(id).accepted);
  return orders;
}

void RegisterAcceptor::touch(Span now, std::uint64_t order) {
  const auto held = held_.find(order);
  if (held != held_.end()) held->second.since = now;
}

}  // namespace rackroute::mesh
