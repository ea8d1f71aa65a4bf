#include "mesh/claims/promises.hpp"

#include <algorithm>

namespace rackroute::mesh {
namespace {

constexpr std::size_t kMaxExpiredPerCall = 512;  // bounds the time that votes are delayed
// Limit for one key. Each further holder is a losing claim that is not released yet; the number of voters
// bounds how many there can be.
constexpr std::size_t kMaxFurtherHolders = 15;

}  // namespace

const Holder& Promises::claim(Span now, const KeyHash& key, const Holder& claim) {
  const auto [found, added] = promises_.try_emplace(key, Promise{claim, now});
  const Holder& first = found->second.holder;
  if (added) order_.emplace_back(now, key);
  if (first != claim) return first;
  const auto further = further_.find(key);
  return further == further_.end() ? first : further->second.holders.front();
}

bool Promises::release(const KeyHash& key, const Holder& holder) {
  const auto found = promises_.find(key);
  if (found == promises_.end()) return false;
  const auto further = further_.find(key);
  if (further == further_.end()) {
    if (found->second.holder != holder) return false;
    promises_.erase(found);
    return true;
  }
  // A holder that exceeded the limit is not stored, so its release cannot be observed.
  if (further->second.overflowed) return false;
  std::vector<Holder>& others = further->second.holders;
  if (found->second.holder == holder) {
    found->second.holder = others.front();
    others.erase(others.begin());
  } else {
    const auto position = std::find(others.begin(), others.end(), holder);
    if (position == others.end()) return false;
    others.erase(position);
  }
  if (others.empty()) further_.erase(further);
  return true;
}

void Promises::learn(Span at, const KeyHash& key, const Holder& holder) {
  const auto [found, added] = promises_.try_emplace(key, Promise{holder, at});
  if (added) {
    order_.emplace_back(at, key);
    return;
  }
  if (found->second.at < at) {
    // All holders of a key expire with the latest promise, so that none expires early.
    found->second.at = at;
    order_.emplace_back(at, key);
  }
  if (found->second.holder != holder) learnFurther(key, holder);
}

// The promise of a losing claim may be read before the winner's and then be released; the winner's promise
// must survive that.
void Promises::learnFurther(const KeyHash& key, const Holder& holder) {
  FurtherHolders& further = further_[key];
  const auto known = std::find(further.holders.begin(), further.holders.end(), holder);
  if (known != further.holders.end()) return;
  if (further.holders.size() < kMaxFurtherHolders) {
    further.holders.push_back(holder);
  } else {
    further.overflowed = true;
  }
}

std::vector<KeyHash> Promises::expire(Span now) {
  std::vector<KeyHash> expired;
  while (first_ < order_.size() && order_[first_].first + keep_ <= now &&
         expired.size() < kMaxExpiredPerCall) {
    const KeyHash key = order_[first_].second;
    ++first_;
    const auto found = promises_.find(key);
    // Outdated entry: the key was promised again, or learned with a later time, and has a later entry.
    if (found == promises_.end() || found->second.at + keep_ > now) continue;
    expired.push_back(key);
    promises_.erase(found);
    further_.erase(key);
  }
  if (first_ > order_.size() / 2) {
    order_.erase(order_.begin(), order_.begin() + static_cast<std::ptrdiff_t>(first_));
    first_ = 0;
  }
  return expired;
}

std::vector<Holder> Promises::holders(const KeyHash& key) const {
  const auto found = promises_.find(key);
  if (found == promises_.end()) return {};
  std::vector<Holder> all{found->second.holder};
  const auto further = further_.find(key);
  if (further != further_.end())
    all.insert(all.end(), further->second.holders.begin(), further->second.holders.end());
  return all;
}

void Promises::forEach(const std::function<void(const KeyHash&, const Holder&, Span at)>& visit) const {
  for (const auto& [key, promise] : promises_) visit(key, promise.holder, promise.at);
  for (const auto& [key, further] : further_) {
    const Span at = promises_.at(key).at;
    for (const Holder& holder : further.holders) visit(key, holder, at);
  }
}

}  // namespace rackroute::mesh
