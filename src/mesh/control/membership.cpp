#include "mesh/control/membership.hpp"

#include <algorithm>
#include <chrono>
#include <utility>

namespace rackroute::mesh {
namespace {

using namespace std::chrono_literals;

constexpr Span kFoundersWait = 2s;       // for the last founders, as all processes start at about one time
constexpr Span kSilentTooLong = 1200ms;  // a voter without a session; four heartbeats' time
constexpr Span kSettledStandby = 10s;    // up, before it is added to a set that lacks nobody
constexpr Span kGone = 60s;              // silent, with nobody to take its place
constexpr Span kProposalPause =
    500ms;  // before the same set is proposed again; a ballot takes a few round trips
/// Between the processes that would propose the same, so that the first one's ballot is not disturbed.
constexpr Span kRankStep = 600ms;
constexpr std::size_t kMostVoters = 12;   // more cost time in every vote and bear no more losses that matter
constexpr std::size_t kFewestVoters = 3;  // that a set shrinks to: two bear no loss
constexpr std::size_t kMostPeers = 64;    // besides the set's voters
constexpr Span kForgetPeer = 60s;         // down, and in no set

}  // namespace

Membership::Membership(Built built) : self_(std::move(built.self)) {
  set_.foundingSize = std::max<std::size_t>(1, built.foundingSize);
  if (built.founder) knowFounder(self_);
}

void Membership::began(Span now) {
  if (!start_) start_ = now;
}

// --- what happens

bool Membership::adopt(Span now, const VoterSet& set) {
  began(now);
  if (set.epoch <= set_.epoch) return false;
  for (auto& [at, peer] : peers_)
    peer.putOut = (peer.putOut || set_.contains(peer.id)) && !set.contains(peer.id);
  const bool missedOne = set.epoch.value > set_.epoch.value + 1;
  set_ = set;
  wanted_.reset();
  for (const VoterId& voter : set_.voters) {
    if (voter == self_) continue;
    // One that was never heard of counts as silent since now, at the start of this process if that is when
    // its set is read.
    Peer& peer = peers_.try_emplace(voter.at, Peer{voter, false, false, false, false, now}).first->second;
    if (set_.mustRead(voter)) peer.holdsState = false;
  }
  if (isVoter()) wasVoter_ = true;
  // Guards against a voter that was away while all had to read: later sets don't name it as a reader again.
  if (missedOne || set_.mustRead(self_)) holdsState_ = false;
  return true;
}

bool Membership::votedOut() const { return wasVoter_ && !isVoter(); }

void Membership::reincarnate(const VoterId& self) {
  self_ = self;
  wasVoter_ = false;
  holdsState_ = false;
  wanted_.reset();
}

void Membership::peerUp(Span now, const VoterId& peer, bool founder, bool holdsState) {
  began(now);
  if (peer.at == self_.at) return;
  forgetGone(now);
  auto known = peers_.find(peer.at);
  if (known == peers_.end()) {
    // Guards against peers without number: this one waits until another is forgotten.
    if (peers_.size() >= kMostPeers) return;
    known = peers_.try_emplace(peer.at, Peer{peer, false, founder, false, false, now}).first;
  }
  Peer& held = known->second;
  const bool sameLife = held.id == peer;
  const bool holds = holdsState && (!set_.mustRead(peer) || (sameLife && held.holdsState));
  const Span since = sameLife && held.up ? held.since : now;
  held = {peer, true, founder, holds, sameLife && held.putOut, since};
  if (founder) knowFounder(peer);
}

void Membership::knowFounder(const VoterId& founder) {
  if (set_.epoch.value != 0) return;
  std::vector<VoterId>& founders = set_.voters;
  std::erase_if(founders, [&](const VoterId& known) { return known.at == founder.at; });
  // Guards against more founders than settings tell of: a majority is counted of that many.
  if (founders.size() >= set_.foundingSize) return;
  founders.insert(std::upper_bound(founders.begin(), founders.end(), founder), founder);
}

void Membership::peerDown(Span now, const Address& at) {
  began(now);
  const auto peer = peers_.find(at);
  if (peer == peers_.end() || !peer->second.up) return;
  peer->second.up = false;
  peer->second.since = now;
}

void Membership::peerHoldsState(Span, const VoterId& id, bool holdsState) {
  const auto known = peers_.find(id.at);
  if (known == peers_.end() || known->second.id != id) return;
  Peer& peer = known->second;
  peer.holdsState = holdsState;
  // It has the set in force and keeps its incarnation, so it never knew of the set that it was put out of and
  // never voted in it: it may join as it is. Guards against a standby that nobody ever takes in again.
  peer.putOut = false;
}

void Membership::forgetGone(Span now) {
  std::erase_if(peers_, [&](const auto& known) {
    const Peer& peer = known.second;
    return !peer.up && set_.find(peer.id.at) == nullptr && peer.since + kForgetPeer <= now;
  });
}

// --- what is known

std::vector<VoterId> Membership::peers() const {
  std::vector<VoterId> up;
  for (const auto& [at, peer] : peers_) {
    if (peer.up) up.push_back(peer.id);
  }
  return up;
}

bool Membership::isUp(const VoterId& voter) const {
  if (voter == self_) return true;
  const auto peer = peers_.find(voter.at);
  return peer != peers_.end() && peer->second.up && peer->second.id == voter;
}

bool Membership::knownToHoldState(const VoterId& voter) const {
  if (voter == self_) return holdsState_;
  const auto peer = peers_.find(voter.at);
  return peer != peers_.end() && peer->second.id == voter && peer->second.holdsState;
}

std::vector<VoterId> Membership::ableVoters() const {
  std::vector<VoterId> able;
  for (const VoterId& voter : set_.voters) {
    if (isUp(voter) && knownToHoldState(voter)) able.push_back(voter);
  }
  return able;
}

bool Membership::silentFor(Span now, const VoterId& voter, Span time) const {
  if (isUp(voter)) return false;
  const auto peer = peers_.find(voter.at);
  const Span since = peer == peers_.end() ? *start_ : peer->second.since;
  return since + time <= now;
}

/// Readers that stay have read. One that is silent is not waited for, as it may never come back; when it
/// does, it reads in the set then in force.
bool Membership::readersDone(Span now, const VoterId* leaves) const {
  return std::all_of(set_.readers.begin(), set_.readers.end(), [&](const VoterId& reader) {
    const bool isLeaving = leaves != nullptr && reader == *leaves;
    return isLeaving || knownToHoldState(reader) || silentFor(now, reader, kSilentTooLong);
  });
}

/// A majority of the set in force is there without the one that leaves: it agrees on the next set, and who
/// joins reads from it.
bool Membership::enoughAble(const VoterId* leaves) const {
  const std::vector<VoterId> able = ableVoters();
  const auto staying = std::count_if(
      able.begin(), able.end(), [&](const VoterId& voter) { return leaves == nullptr || voter != *leaves; });
  return static_cast<std::size_t>(staying) >= set_.quorum();
}

std::optional<VoterId> Membership::standby(Span now, Span upFor) const {
  for (const auto& [at, peer] : peers_) {
    if (peer.up && !peer.putOut && set_.find(at) == nullptr && peer.since + upFor <= now) return peer.id;
  }
  return std::nullopt;
}

// --- what is proposed

std::optional<VoterSet> Membership::proposal(Span now) {
  began(now);
  forgetGone(now);
  std::optional<VoterSet> wants = wanted(now);
  if (wants != wanted_) {
    wanted_ = std::move(wants);
    wantedSince_ = now;
    proposedAt_.reset();
  }
  if (!wanted_ || now < wantedSince_ + rankDelay()) return std::nullopt;
  if (proposedAt_ && now < *proposedAt_ + kProposalPause) return std::nullopt;
  proposedAt_ = now;
  return wanted_;
}

/// By the place of this process among those that may propose.
Span Membership::rankDelay() const {
  std::int64_t rank = 0;
  for (const VoterId& voter : set_.voters) {
    const bool able = isUp(voter) && (set_.epoch.value == 0 || knownToHoldState(voter));
    if (able && voter.at < self_.at) ++rank;
  }
  return rank * kRankStep;
}

std::optional<VoterSet> Membership::wanted(Span now) const {
  if (!isVoter()) return std::nullopt;
  if (set_.epoch.value == 0) return founding(now);
  if (!holdsState_) return std::nullopt;
  if (auto next = replacementOfWiped(now)) return next;
  if (auto next = replacementOfSilent(now)) return next;
  if (auto next = growth(now)) return next;
  return shrinkage(now);
}

std::optional<VoterSet> Membership::founding(Span now) const {
  std::vector<VoterId> up;
  for (const VoterId& founder : set_.voters) {
    if (isUp(founder)) up.push_back(founder);
  }
  const bool all = up.size() == set_.foundingSize;
  if (!all && (now < *start_ + kFoundersWait || up.size() < set_.quorum())) return std::nullopt;
  return foundedWith(std::move(up));
}

VoterSet Membership::foundedWith(std::vector<VoterId> founders) const {
  VoterSet founded;
  founded.epoch = {1};
  founded.voters = std::move(founders);
  founded.previousSize = set_.foundingSize;
  // Stores of the format before epochs hold promises that any majority of all founders made. Where a majority
  // of fewer founders might know none of those who made one, they read from each other first.
  const bool overlaps = founded.quorum() + founded.readQuorum() > set_.foundingSize;
  if (!overlaps) founded.readers = founded.voters;
  return founded;
}

/// A process has a voter's address and another incarnation: that voter's disk is lost, and it won't come
/// back.
std::optional<VoterSet> Membership::replacementOfWiped(Span now) const {
  for (const VoterId& voter : set_.voters) {
    if (!isGone(voter)) continue;
    const auto peer = peers_.find(voter.at);
    if (peer->second.putOut) continue;
    if (!readersDone(now, &voter) || !enoughAble(&voter)) continue;
    return withReplacement(set_, voter, peer->second.id);
  }
  return std::nullopt;
}

std::optional<VoterSet> Membership::replacementOfSilent(Span now) const {
  const auto joins = standby(now, Span{0});
  if (!joins) return std::nullopt;
  for (const VoterId& voter : set_.voters) {
    if (!silentFor(now, voter, kSilentTooLong)) continue;
    if (!readersDone(now, &voter) || !enoughAble(&voter)) continue;
    return withReplacement(set_, voter, *joins);
  }
  return std::nullopt;
}

std::optional<VoterSet> Membership::growth(Span now) const {
  const bool allUp =
      std::all_of(set_.voters.begin(), set_.voters.end(), [&](const VoterId& voter) { return isUp(voter); });
  if (!allUp || set_.voters.size() >= kMostVoters || !readersDone(now, nullptr)) return std::nullopt;
  const auto joins = standby(now, kSettledStandby);
  if (!joins || !enoughAble(nullptr)) return std::nullopt;
  return withVoter(set_, *joins);
}

std::optional<VoterSet> Membership::shrinkage(Span now) const {
  if (set_.voters.size() <= kFewestVoters || standby(now, Span{0})) return std::nullopt;
  for (const VoterId& voter : set_.voters) {
    if (!silentFor(now, voter, kGone)) continue;
    if (!readersDone(now, &voter) || !enoughAble(&voter)) continue;
    return withoutVoter(set_, voter);
  }
  return std::nullopt;
}

// --- what is accepted

bool Membership::isNext(const VoterSet& proposed) const {
  if (set_.epoch.value > 0) return isSingleStep(set_, proposed);
  const std::size_t size = proposed.voters.size();
  return size >= set_.quorum() && size <= set_.foundingSize && proposed == foundedWith(proposed.voters);
}

bool Membership::isGone(const VoterId& voter) const {
  const auto peer = peers_.find(voter.at);
  return peer != peers_.end() && peer->second.up && peer->second.id != voter;
}

bool Membership::acceptable(Span, const VoterSet& proposed, bool mayBeDecided) const {
  if (!isNext(proposed)) return false;
  // Guards against a set that some have accepted for a process which is another by now, as its disk was lost
  // again: refused for good by the others, it would keep every later set from being agreed on.
  if (mayBeDecided) return true;
  // Guards against a proposer that reaches the earlier life of a process only.
  for (const VoterId& voter : proposed.voters) {
    if (isGone(voter) && !set_.contains(voter)) return false;
  }
  if (set_.epoch.value == 0) return true;
  for (const VoterId& voter : set_.voters) {
    const bool stays = proposed.contains(voter);
    // Guards against a proposer that alone does not hear a voter.
    if (!stays && isUp(voter)) return false;
    // Guards against a set whose readers could no longer find a majority to read from.
    if (stays && set_.mustRead(voter) && isUp(voter) && !knownToHoldState(voter)) return false;
  }
  return true;
}

}  // namespace rackroute::mesh
