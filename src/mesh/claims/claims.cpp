#include "mesh/claims/claims.hpp"

#include <algorithm>
#include <utility>

namespace rackroute::mesh {
namespace {

constexpr Span kHopeless = std::chrono::milliseconds(250);  // about as long as a claim waits
constexpr Span kOnlySlow = std::chrono::milliseconds(400);  // undecided for longer, voters are taken for gone
constexpr Span kNoQuorum = std::chrono::seconds(1);  // to come back then; lost power is back in two or three

/// Of several holders the one that most voters name; with a tie any of them, as none can have won.
std::optional<Holder> mostNamed(const std::vector<Holder>& named) {
  std::map<Holder, int> counts;
  for (const Holder& holder : named) ++counts[holder];
  const auto most = std::max_element(counts.begin(), counts.end(),
                                     [](const auto& a, const auto& b) { return a.second < b.second; });
  if (most == counts.end()) return std::nullopt;
  return most->first;
}

}  // namespace

void Claims::electorate(const VoterSet& set) {
  if (set.epoch <= epoch()) return;
  set_ = std::make_shared<const VoterSet>(set);
  // Guards against a majority made up of votes of two sets, which two claims could both have.
  for (auto& [no, claim] : open_) {
    claim.granted = VoteCount(*set_);
    claim.refused = VoteCount(*set_);
    claim.named.clear();
  }
}

Span Claims::comeBack(Span now) const {
  const bool slow = undecidedSince_ == Span::max() || now - undecidedSince_ < kOnlySlow;
  return quorumInReach() && slow ? kHopeless : kNoQuorum;
}

ClaimNo Claims::open(Span, const KeyPrint& key, Span until) {
  const ClaimNo no{++last_};
  open_.emplace(no, Claim{key, until, VoteCount(*set_), VoteCount(*set_), {}});
  return no;
}

std::optional<Claims::Ended> Claims::vote(const VoterId& voter, Epoch epoch, ClaimNo no, bool granted,
                                          const std::optional<Holder>& holder) {
  const auto found = open_.find(no);
  if (found == open_.end() || set_->epoch.value == 0) return std::nullopt;
  Claim& claim = found->second;
  if (claim.granted.has(voter) || claim.refused.has(voter)) return std::nullopt;
  if (!(granted ? claim.granted : claim.refused).add(voter, epoch)) return std::nullopt;
  if (!granted && holder) claim.named.push_back(*holder);
  const bool won = claim.granted.majority();
  const bool lost = claim.refused.count() + set_->quorum() > set_->voters.size();
  if (!won && !lost) return std::nullopt;
  undecidedSince_ = Span::max();
  Ended ended{no, won, won ? std::nullopt : mostNamed(claim.named)};
  open_.erase(found);
  return ended;
}

std::vector<Claims::Ended> Claims::expire(Span now) {
  std::vector<Ended> ended;
  for (auto at = open_.begin(); at != open_.end();) {
    const Claim& claim = at->second;
    if (claim.until > now && quorumInReach()) {
      ++at;
      continue;
    }
    // Guards against requests that each wait anew for votes of voters that have gone silent: for a while they
    // are told so at once, and then one finds out.
    if (claim.granted.count() + claim.refused.count() < set_->quorum()) {
      hopelessUntil_ = now + kHopeless;
      undecidedSince_ = std::min(undecidedSince_, now);
    }
    ended.push_back({at->first, false, mostNamed(claim.named)});
    at = open_.erase(at);
  }
  return ended;
}

std::optional<Span> Claims::nextEnd() const {
  std::optional<Span> next;
  for (const auto& [no, claim] : open_) next = std::min(next.value_or(claim.until), claim.until);
  return next;
}

std::vector<Claims::Open> Claims::without(const VoterId& voter) const {
  std::vector<Open> missing;
  for (const auto& [no, claim] : open_) {
    if (!claim.granted.has(voter) && !claim.refused.has(voter)) missing.push_back({no, claim.key});
  }
  return missing;
}

std::vector<Claims::Open> Claims::openClaims() const {
  std::vector<Open> all;
  for (const auto& [no, claim] : open_) all.push_back({no, claim.key});
  return all;
}

}  // namespace rackroute::mesh
