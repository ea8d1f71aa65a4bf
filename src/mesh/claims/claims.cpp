#include "mesh/claims/claims.hpp"

#include <xxhash.h>

#include <algorithm>
#include <array>
#include <charconv>
#include <utility>

namespace rackroute::mesh {
namespace {

constexpr Span kHopeless = std::chrono::milliseconds(250);  // about as long as a claim waits
constexpr Span kOnlySlow = std::chrono::milliseconds(400);  // undecided for longer, voters are taken for gone
constexpr Span kNoQuorum = std::chrono::seconds(1);  // to come back then; lost power is back in two or three
constexpr std::size_t kEndedACall = 512;  // promises; some seconds' worth, so that none holds up a vote

}  // namespace

KeyPrint printOfKey(std::string_view key) {
  const XXH128_hash_t hash = XXH3_128bits(key.data(), key.size());
  return {hash.high64, hash.low64};
}

std::string textOf(const KeyPrint& print) {
  static constexpr char kDigits[] = "0123456789abcdef";
  std::string text(32, '0');
  for (std::size_t i = 0; i < 16; ++i) {
    text[15 - i] = kDigits[(print.high >> (4 * i)) & 15];
    text[31 - i] = kDigits[(print.low >> (4 * i)) & 15];
  }
  return text;
}

std::optional<KeyPrint> printFrom(std::string_view text) {
  if (text.size() != 32) return std::nullopt;
  KeyPrint print;
  const auto high = std::from_chars(text.data(), text.data() + 16, print.high, 16);
  const auto low = std::from_chars(text.data() + 16, text.data() + 32, print.low, 16);
  if (high.ptr != text.data() + 16 || low.ptr != text.data() + 32) return std::nullopt;
  return print;
}

const Holder& Promises::claim(Span now, const KeyPrint& key, const Holder& claim) {
  const auto [found, added] = promises_.try_emplace(key, Promise{claim, now});
  if (added) order_.emplace_back(now, key);
  return found->second.holder;
}

bool Promises::giveBack(const KeyPrint& key, const Holder& holder) {
  const auto found = promises_.find(key);
  if (found == promises_.end() || found->second.holder != holder) return false;
  promises_.erase(found);
  return true;
}

void Promises::learn(Span at, const KeyPrint& key, const Holder& holder) {
  if (promises_.try_emplace(key, Promise{holder, at}).second) order_.emplace_back(at, key);
}

std::vector<KeyPrint> Promises::expire(Span now) {
  std::vector<KeyPrint> ended;
  while (first_ < order_.size() && order_[first_].first + keep_ <= now && ended.size() < kEndedACall) {
    const auto found = promises_.find(order_[first_].second);
    // Given back and promised anew since: that one has its own place in the order.
    if (found != promises_.end() && found->second.at + keep_ <= now) {
      ended.push_back(found->first);
      promises_.erase(found);
    }
    ++first_;
  }
  if (first_ > order_.size() / 2) {
    order_.erase(order_.begin(), order_.begin() + static_cast<std::ptrdiff_t>(first_));
    first_ = 0;
  }
  return ended;
}

void Claims::electorate(std::size_t voters, std::size_t quorum) {
  voters_ = voters;
  quorum_ = quorum;
}

Span Claims::comeBack(Span now) const {
  const bool there = quorum_ > 0 && reached_ >= quorum_;
  const bool slow = undecidedSince_ == Span::max() || now - undecidedSince_ < kOnlySlow;
  return there && slow ? kHopeless : kNoQuorum;
}

ClaimNo Claims::open(Span, const KeyPrint& key, Span until) {
  const ClaimNo no{++last_};
  open_[no] = Claim{key, until, {}, {}};
  return no;
}

std::optional<Claims::Ended> Claims::vote(const Address& voter, ClaimNo no, bool granted,
                                          const std::optional<Holder>& holder) {
  const auto found = open_.find(no);
  if (found == open_.end() || quorum_ == 0) return std::nullopt;
  Claim& claim = found->second;
  if (granted) {
    claim.granted.insert(voter);
  } else {
    claim.refused[voter] = holder;
  }
  const bool won = claim.granted.size() >= quorum_;
  if (!won && claim.refused.size() + quorum_ <= voters_) return std::nullopt;
  undecidedSince_ = Span::max();
  Ended ended{no, won, std::nullopt};
  // Of several holders the one that most voters name; with a tie any of them, as none can have won.
  std::map<Holder, int> named;
  for (const auto& refusal : claim.refused) {
    if (refusal.second) ++named[*refusal.second];
  }
  const auto most = std::max_element(named.begin(), named.end(),
                                     [](const auto& a, const auto& b) { return a.second < b.second; });
  if (!won && most != named.end()) ended.holder = most->first;
  open_.erase(found);
  return ended;
}

std::vector<Claims::Ended> Claims::expire(Span now) {
  std::vector<Ended> ended;
  for (auto at = open_.begin(); at != open_.end();) {
    const bool reachable = quorum_ > 0 && reached_ >= quorum_;
    if (at->second.until > now && reachable) {
      ++at;
      continue;
    }
    // Guards against requests that each wait anew for votes of a core that has gone silent: for a while they
    // are told so at once, and then one finds out.
    if (at->second.granted.size() + at->second.refused.size() < quorum_) {
      hopelessUntil_ = now + kHopeless;
      undecidedSince_ = std::min(undecidedSince_, now);
    }
    Ended end{at->first, false, std::nullopt};
    for (const auto& refusal : at->second.refused) {
      if (refusal.second) end.holder = refusal.second;
    }
    ended.push_back(std::move(end));
    at = open_.erase(at);
  }
  return ended;
}

std::optional<Span> Claims::nextEnd() const {
  std::optional<Span> next;
  for (const auto& [no, claim] : open_) next = std::min(next.value_or(claim.until), claim.until);
  return next;
}

std::vector<Claims::Open> Claims::without(const Address& voter) const {
  std::vector<Open> missing;
  for (const auto& [no, claim] : open_) {
    if (claim.granted.count(voter) == 0 && claim.refused.count(voter) == 0)
      missing.push_back({no, claim.key});
  }
  return missing;
}

}  // namespace rackroute::mesh
