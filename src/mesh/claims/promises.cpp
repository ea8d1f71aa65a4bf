#include "mesh/claims/promises.hpp"

#include <algorithm>

namespace rackroute::mesh {
namespace {

constexpr std::size_t kEndedACall = 512;  // promises; some seconds' worth, so that none holds up a vote
// Of one key, beyond the first; each is a claim that lost and was not released yet, and there are few voters
// that can have promised to different ones.
constexpr std::size_t kMostFurther = 15;

}  // namespace

const Holder& Promises::claim(Span now, const KeyPrint& key, const Holder& claim) {
  const auto [found, added] = promises_.try_emplace(key, Promise{claim, now});
  const Holder& first = found->second.holder;
  if (added) order_.emplace_back(now, key);
  if (first != claim) return first;
  const auto further = further_.find(key);
  return further == further_.end() ? first : further->second.holders.front();
}

bool Promises::giveBack(const KeyPrint& key, const Holder& holder) {
  const auto found = promises_.find(key);
  if (found == promises_.end()) return false;
  const auto further = further_.find(key);
  if (further == further_.end()) {
    if (found->second.holder != holder) return false;
    promises_.erase(found);
    return true;
  }
  // Guards against a holder that is not kept for want of room: nobody knows when it is released.
  if (further->second.overflowed) return false;
  std::vector<Holder>& others = further->second.holders;
  if (found->second.holder == holder) {
    found->second.holder = others.front();
    others.erase(others.begin());
  } else {
    const auto place = std::find(others.begin(), others.end(), holder);
    if (place == others.end()) return false;
    others.erase(place);
  }
  if (others.empty()) further_.erase(further);
  return true;
}

void Promises::learn(Span at, const KeyPrint& key, const Holder& holder) {
  const auto [found, added] = promises_.try_emplace(key, Promise{holder, at});
  if (added) {
    order_.emplace_back(at, key);
    return;
  }
  if (found->second.at < at) {
    // All holders end with the one that was promised last, so that none ends early.
    found->second.at = at;
    order_.emplace_back(at, key);
  }
  if (found->second.holder != holder) learnFurther(key, holder);
}

// Guards against the promise of a claim that lost being read before the winner's, and then being released:
// the winner's must still stand.
void Promises::learnFurther(const KeyPrint& key, const Holder& holder) {
  Further& further = further_[key];
  const auto known = std::find(further.holders.begin(), further.holders.end(), holder);
  if (known != further.holders.end()) return;
  if (further.holders.size() < kMostFurther) {
    further.holders.push_back(holder);
  } else {
    further.overflowed = true;
  }
}

std::vector<KeyPrint> Promises::expire(Span now) {
  std::vector<KeyPrint> ended;
  while (first_ < order_.size() && order_[first_].first + keep_ <= now && ended.size() < kEndedACall) {
    const KeyPrint key = order_[first_].second;
    ++first_;
    const auto found = promises_.find(key);
    // Released and promised anew since, or learned with a later time: that has its own place in the order.
    if (found == promises_.end() || found->second.at + keep_ > now) continue;
    ended.push_back(key);
    promises_.erase(found);
    further_.erase(key);
  }
  if (first_ > order_.size() / 2) {
    order_.erase(order_.begin(), order_.begin() + static_cast<std::ptrdiff_t>(first_));
    first_ = 0;
  }
  return ended;
}

std::vector<Holder> Promises::holders(const KeyPrint& key) const {
  const auto found = promises_.find(key);
  if (found == promises_.end()) return {};
  std::vector<Holder> all{found->second.holder};
  const auto further = further_.find(key);
  if (further != further_.end())
    all.insert(all.end(), further->second.holders.begin(), further->second.holders.end());
  return all;
}

void Promises::each(const std::function<void(const KeyPrint&, const Holder&, Span at)>& visit) const {
  for (const auto& [key, promise] : promises_) visit(key, promise.holder, promise.at);
  for (const auto& [key, further] : further_) {
    const Span at = promises_.at(key).at;
    for (const Holder& holder : further.holders) visit(key, holder, at);
  }
}

}  // namespace rackroute::mesh
