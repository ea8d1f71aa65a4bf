#include "mesh/claims/claims.hpp"

#include <algorithm>
#include <utility>

namespace rackroute::mesh {
namespace {

constexpr Span kUndecidedBackoff = std::chrono::milliseconds(250);  // about the time limit of a claim
constexpr Span kSlowVoterLimit = std::chrono::milliseconds(400);  // voters undecided for longer count as down
constexpr Span kNoQuorumBackoff = std::chrono::seconds(1);  // machines that lost power are back in 2 to 3 s

/// The holder that most voters named. In a tie any of them, because none of them can have won.
std::optional<Holder> mostNamedHolder(const std::vector<Holder>& named) {
  std::map<Holder, int> counts;
  for (const Holder& holder : named) ++counts[holder];
  const auto most = std::max_element(counts.begin(), counts.end(),
                                     [](const auto& a, const auto& b) { return a.second < b.second; });
  if (most == counts.end()) return std::nullopt;
  return most->first;
}

}  // namespace

void Claims::setVoters(const VoterSet& set) {
  if (set.epoch <= epoch()) return;
  set_ = std::make_shared<const VoterSet>(set);
  // Votes of two sets must not be combined: two claims could both obtain such a majority.
  for (auto& [no, claim] : open_) {
    claim.granted = VoteCount(*set_);
    claim.refused = VoteCount(*set_);
    claim.named.clear();
  }
}

Span Claims::retryAfter(Span now) const {
  const bool slow = undecidedSince_ == Span::max() || now - undecidedSince_ < kSlowVoterLimit;
  return quorumReachable() && slow ? kUndecidedBackoff : kNoQuorumBackoff;
}

ClaimNo Claims::open(Span, const KeyHash& key, Span until) {
  const ClaimNo no{++last_};
  open_.emplace(no, Claim{key, until, VoteCount(*set_), VoteCount(*set_), {}});
  return no;
}

std::optional<Claims::Outcome> Claims::vote(const VoterId& voter, Epoch epoch, ClaimNo no, bool granted,
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
  Outcome outcome{no, won, won ? std::nullopt : mostNamedHolder(claim.named)};
  open_.erase(found);
  return outcome;
}

std::vector<Claims::Outcome> Claims::expire(Span now) {
  std::vector<Outcome> ended;
  for (auto it = open_.begin(); it != open_.end();) {
    const Claim& claim = it->second;
    if (claim.until > now && quorumReachable()) {
      ++it;
      continue;
    }
    // New requests fail fast for a while instead of each waiting for votes of unresponsive voters.
    if (claim.granted.count() + claim.refused.count() < set_->quorum()) {
      suspendedUntil_ = now + kUndecidedBackoff;
      undecidedSince_ = std::min(undecidedSince_, now);
    }
    ended.push_back({it->first, false, mostNamedHolder(claim.named)});
    it = open_.erase(it);
  }
  return ended;
}

std::optional<Span> Claims::nextDeadline() const {
  std::optional<Span> next;
  for (const auto& [no, claim] : open_) next = std::min(next.value_or(claim.until), claim.until);
  return next;
}

std::vector<Claims::OpenClaim> Claims::openWithoutVoteOf(const VoterId& voter) const {
  std::vector<OpenClaim> missing;
  for (const auto& [no, claim] : open_) {
    if (!claim.granted.has(voter) && !claim.refused.has(voter)) missing.push_back({no, claim.key});
  }
  return missing;
}

std::vector<Claims::OpenClaim> Claims::openClaims() const {
  std::vector<OpenClaim> all;
  for (const auto& [no, claim] : open_) all.push_back({no, claim.key});
  return all;
}

}  // namespace rackroute::mesh
