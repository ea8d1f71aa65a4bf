#include "mesh/control/membership.hpp"

#include <algorithm>
#include <chrono>
#include <utility>

namespace rackroute::mesh {
namespace {

using namespace std::chrono_literals;

constexpr Span kFounderTimeout = 2s;            // time to wait for missing founders at the first start
constexpr Span kVoterTimeout = 1200ms;          // four heartbeats without a session
constexpr Span kStandbyStablePeriod = 10s;      // uptime before a standby is added to a complete set
constexpr Span kRemovalTimeout = 60s;           // before a voter is removed without a replacement
constexpr Span kProposalRetryInterval = 500ms;  // a ballot takes a few round trips
/// Delay per rank between processes that would propose the same set, so that they do not disrupt each other's
/// ballots.
constexpr Span kProposalStagger = 600ms;
constexpr std::size_t kMaxVoters = 12;  // limits the cost of a vote
constexpr std::size_t kMinVoters = 3;   // a set of two tolerates no failure
constexpr std::size_t kMaxPeers = 64;   // in addition to the voters
constexpr Span kPeerRetention = 60s;    // for peers that are down and not in the set

}  // namespace

Membership::Membership(Config config) : self_(std::move(config.self)) {
  set_.foundingSize = std::max<std::size_t>(1, config.foundingSize);
  if (config.founder) addFounder(self_);
}

void Membership::recordStart(Span now) {
  if (!startedAt_) startedAt_ = now;
}

// --- events

bool Membership::adopt(Span now, const VoterSet& set) {
  recordStart(now);
  if (set.epoch <= set_.epoch) return false;
  for (auto& [at, peer] : peers_)
    peer.removed = (peer.removed || set_.contains(peer.id)) && !set.contains(peer.id);
  const bool missedEpoch = set.epoch.value > set_.epoch.value + 1;
  set_ = set;
  desired_.reset();
  for (const VoterId& voter : set_.voters) {
    if (voter == self_) continue;
    // A voter that has never connected counts as down since now, which is the start of this process if the
    // set is read from the store.
    Peer& peer = peers_.try_emplace(voter.at, Peer{voter, false, false, false, false, now}).first->second;
    if (set_.mustRead(voter)) peer.holdsState = false;
  }
  if (isVoter()) wasVoter_ = true;
  // A voter that missed an epoch in which all voters had to read is not listed as a reader again in later
  // sets, so it must read now.
  if (missedEpoch || set_.mustRead(self_)) holdsState_ = false;
  return true;
}

bool Membership::wasRemoved() const { return wasVoter_ && !isVoter(); }

void Membership::reincarnate(const VoterId& self) {
  self_ = self;
  wasVoter_ = false;
  holdsState_ = false;
  desired_.reset();
}

void Membership::peerUp(Span now, const VoterId& peer, bool founder, bool holdsState) {
  recordStart(now);
  if (peer.at == self_.at) return;
  evictStalePeers(now);
  auto known = peers_.find(peer.at);
  if (known == peers_.end()) {
    // Bounds memory: further peers are ignored until one is evicted.
    if (peers_.size() >= kMaxPeers) return;
    known = peers_.try_emplace(peer.at, Peer{peer, false, founder, false, false, now}).first;
  }
  Peer& entry = known->second;
  const bool sameIncarnation = entry.id == peer;
  const bool holds = holdsState && (!set_.mustRead(peer) || (sameIncarnation && entry.holdsState));
  const Span since = sameIncarnation && entry.up ? entry.since : now;
  entry = {peer, true, founder, holds, sameIncarnation && entry.removed, since};
  if (founder) addFounder(peer);
}

void Membership::addFounder(const VoterId& founder) {
  if (set_.epoch.value != 0) return;
  std::vector<VoterId>& founders = set_.voters;
  std::erase_if(founders, [&](const VoterId& known) { return known.at == founder.at; });
  // The majority is computed from foundingSize, so no more founders are accepted.
  if (founders.size() >= set_.foundingSize) return;
  founders.insert(std::upper_bound(founders.begin(), founders.end(), founder), founder);
}

void Membership::peerDown(Span now, const Address& at) {
  recordStart(now);
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
  // The peer has the current set and kept its incarnation, so it never learned of the set that removed it and
  // never voted in it; it may rejoin under its identity.
  peer.removed = false;
}

void Membership::evictStalePeers(Span now) {
  std::erase_if(peers_, [&](const auto& known) {
    const Peer& peer = known.second;
    return !peer.up && set_.find(peer.id.at) == nullptr && peer.since + kPeerRetention <= now;
  });
}

// --- queries

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

bool Membership::isKnownToHoldState(const VoterId& voter) const {
  if (voter == self_) return holdsState_;
  const auto peer = peers_.find(voter.at);
  return peer != peers_.end() && peer->second.id == voter && peer->second.holdsState;
}

std::vector<VoterId> Membership::availableVoters() const {
  std::vector<VoterId> available;
  for (const VoterId& voter : set_.voters) {
    if (isUp(voter) && isKnownToHoldState(voter)) available.push_back(voter);
  }
  return available;
}

bool Membership::isDownFor(Span now, const VoterId& voter, Span time) const {
  if (isUp(voter)) return false;
  const auto peer = peers_.find(voter.at);
  const Span since = peer == peers_.end() ? *startedAt_ : peer->second.since;
  return since + time <= now;
}

/// Whether all readers that stay have completed reading. Readers that are down are not waited for, as they
/// may never return; a returning one reads in the set that is current by then.
bool Membership::readersComplete(Span now, const VoterId* leaving) const {
  return std::all_of(set_.readers.begin(), set_.readers.end(), [&](const VoterId& reader) {
    const bool excluded = leaving != nullptr && reader == *leaving;
    return excluded || isKnownToHoldState(reader) || isDownFor(now, reader, kVoterTimeout);
  });
}

/// Whether a majority of the current set is available without the leaving voter: it has to agree on the next
/// set, and a joining voter reads from it.
bool Membership::quorumAvailable(const VoterId* leaving) const {
  const std::vector<VoterId> available = availableVoters();
  const auto staying = std::count_if(available.begin(), available.end(), [&](const VoterId& voter) {
    return leaving == nullptr || voter != *leaving;
  });
  return static_cast<std::size_t>(staying) >= set_.quorum();
}

std::optional<VoterId> Membership::standby(Span now, Span minUptime) const {
  for (const auto& [at, peer] : peers_) {
    if (peer.up && !peer.removed && set_.find(at) == nullptr && peer.since + minUptime <= now) return peer.id;
  }
  return std::nullopt;
}

// --- proposals

std::optional<VoterSet> Membership::proposal(Span now) {
  recordStart(now);
  evictStalePeers(now);
  std::optional<VoterSet> desired = desiredSet(now);
  if (desired != desired_) {
    desired_ = std::move(desired);
    desiredSince_ = now;
    proposedAt_.reset();
  }
  if (!desired_ || now < desiredSince_ + rankDelay()) return std::nullopt;
  if (proposedAt_ && now < *proposedAt_ + kProposalRetryInterval) return std::nullopt;
  proposedAt_ = now;
  return desired_;
}

/// Delay by the rank of this process among those that may propose.
Span Membership::rankDelay() const {
  std::int64_t rank = 0;
  for (const VoterId& voter : set_.voters) {
    const bool available = isUp(voter) && (set_.epoch.value == 0 || isKnownToHoldState(voter));
    if (available && voter.at < self_.at) ++rank;
  }
  return rank * kProposalStagger;
}

std::optional<VoterSet> Membership::desiredSet(Span now) const {
  if (!isVoter()) return std::nullopt;
  if (set_.epoch.value == 0) return foundingProposal(now);
  if (!holdsState_) return std::nullopt;
  if (auto next = replacementOfLost(now)) return next;
  if (auto next = replacementOfDown(now)) return next;
  if (auto next = expansion(now)) return next;
  return shrinkage(now);
}

std::optional<VoterSet> Membership::foundingProposal(Span now) const {
  std::vector<VoterId> up;
  for (const VoterId& founder : set_.voters) {
    if (isUp(founder)) up.push_back(founder);
  }
  const bool all = up.size() == set_.foundingSize;
  if (!all && (now < *startedAt_ + kFounderTimeout || up.size() < set_.quorum())) return std::nullopt;
  return foundingSet(std::move(up));
}

VoterSet Membership::foundingSet(std::vector<VoterId> founders) const {
  VoterSet first;
  first.epoch = {1};
  first.voters = std::move(founders);
  first.previousSize = set_.foundingSize;
  // Stores written before epochs existed hold promises granted by any majority of all founders. If a majority
  // of fewer founders need not include any of those that granted a promise, the founders must first read from
  // each other.
  const bool overlaps = first.quorum() + first.readQuorum() > set_.foundingSize;
  if (!overlaps) first.readers = first.voters;
  return first;
}

/// Replaces a voter whose address is used by another incarnation: its disk is lost, and it will not return.
std::optional<VoterSet> Membership::replacementOfLost(Span now) const {
  for (const VoterId& voter : set_.voters) {
    if (!isPermanentlyLost(voter)) continue;
    const auto peer = peers_.find(voter.at);
    if (peer->second.removed) continue;
    if (!readersComplete(now, &voter) || !quorumAvailable(&voter)) continue;
    return withReplacement(set_, voter, peer->second.id);
  }
  return std::nullopt;
}

std::optional<VoterSet> Membership::replacementOfDown(Span now) const {
  const auto joining = standby(now, Span{0});
  if (!joining) return std::nullopt;
  for (const VoterId& voter : set_.voters) {
    if (!isDownFor(now, voter, kVoterTimeout)) continue;
    if (!readersComplete(now, &voter) || !quorumAvailable(&voter)) continue;
    return withReplacement(set_, voter, *joining);
  }
  return std::nullopt;
}

std::optional<VoterSet> Membership::expansion(Span now) const {
  const bool allUp =
      std::all_of(set_.voters.begin(), set_.voters.end(), [&](const VoterId& voter) { return isUp(voter); });
  if (!allUp || set_.voters.size() >= kMaxVoters || !readersComplete(now, nullptr)) return std::nullopt;
  const auto joining = standby(now, kStandbyStablePeriod);
  if (!joining || !quorumAvailable(nullptr)) return std::nullopt;
  return withVoter(set_, *joining);
}

std::optional<VoterSet> Membership::shrinkage(Span now) const {
  if (set_.voters.size() <= kMinVoters || standby(now, Span{0})) return std::nullopt;
  for (const VoterId& voter : set_.voters) {
    if (!isDownFor(now, voter, kRemovalTimeout)) continue;
    if (!readersComplete(now, &voter) || !quorumAvailable(&voter)) continue;
    return withoutVoter(set_, voter);
  }
  return std::nullopt;
}

// --- acceptance

bool Membership::isValidSuccessor(const VoterSet& proposed) const {
  if (set_.epoch.value > 0) return isSingleStep(set_, proposed);
  const std::size_t size = proposed.voters.size();
  return size >= set_.quorum() && size <= set_.foundingSize && proposed == foundingSet(proposed.voters);
}

bool Membership::isPermanentlyLost(const VoterId& voter) const {
  const auto peer = peers_.find(voter.at);
  return peer != peers_.end() && peer->second.up && peer->second.id != voter;
}

bool Membership::acceptable(Span, const VoterSet& proposed, bool mayBeDecided) const {
  if (!isValidSuccessor(proposed)) return false;
  // If some voters accepted this set and the joining process has since lost its disk and changed its
  // incarnation, a refusal by the others would block every later set.
  if (mayBeDecided) return true;
  // The proposer may have a connection only to an earlier incarnation of a process.
  for (const VoterId& voter : proposed.voters) {
    if (isPermanentlyLost(voter) && !set_.contains(voter)) return false;
  }
  if (set_.epoch.value == 0) return true;
  for (const VoterId& voter : set_.voters) {
    const bool stays = proposed.contains(voter);
    // The proposer may be the only process that has lost the connection to a voter.
    if (!stays && isUp(voter)) return false;
    // Otherwise the readers of the current set could lose the majority they have to read from.
    if (stays && set_.mustRead(voter) && isUp(voter) && !isKnownToHoldState(voter)) return false;
  }
  return true;
}

}  // namespace rackroute::mesh
