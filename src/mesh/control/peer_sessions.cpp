#include "mesh/control/peer_sessions.hpp"

#include <algorithm>
#include <utility>

namespace rackroute::mesh {
namespace {

using namespace std::chrono_literals;

constexpr Span kSessionTimeout = 1700ms;        // several heartbeat intervals
constexpr Span kRedialDelay = 150ms;            // after a failed dial or a closed session
constexpr Span kDialTimeout = 450ms;            // a hanging dial is given up
constexpr Span kForgetAfter = 30s;              // for unreachable addresses of neither voters nor seeds
constexpr std::size_t kMaxOtherAddresses = 32;  // besides the voters and the seeds

}  // namespace

PeerSessions::PeerSessions(Address self, const std::vector<Address>& seeds) : self_(std::move(self)) {
  setSeeds(seeds);
}

void PeerSessions::setSeeds(const std::vector<Address>& seeds) {
  seeds_ = std::set<Address>(seeds.begin(), seeds.end());
  for (const Address& at : seeds_) {
    if (at != self_) known_.try_emplace(at);
  }
}

void PeerSessions::setVoters(const VoterSet& set) {
  voters_.clear();
  for (const VoterId& voter : set.voters) voters_.insert(voter.at);
  for (const Address& at : voters_) {
    if (at != self_) known_.try_emplace(at);
  }
}

bool PeerSessions::permanent(const Address& at) const {
  return seeds_.count(at) > 0 || voters_.count(at) > 0;
}

bool PeerSessions::addAddresses(Span now, const std::vector<Address>& addresses) {
  auto others = static_cast<std::size_t>(std::count_if(
      known_.begin(), known_.end(), [this](const auto& entry) { return !permanent(entry.first); }));
  bool added = false;
  for (const Address& at : addresses) {
    if (at == self_ || known_.count(at) > 0) continue;
    if (others >= kMaxOtherAddresses) break;
    known_[at].unreachedSince = now;
    ++others;
    added = true;
  }
  return added;
}

std::vector<Address> PeerSessions::addresses() const {
  std::vector<Address> all{self_};
  for (const auto& [at, known] : known_) all.push_back(at);
  return all;
}

PeerSession& PeerSessions::accepted(Span now, SessionNo no) {
  PeerSession& session = sessions_[no];
  session.lastReceived = now;
  return session;
}

std::optional<SessionNo> PeerSessions::dialSucceeded(Span now, SessionNo no, const Address& at) {
  std::optional<SessionNo> older;
  if (const auto found = dialled_.find(at); found != dialled_.end()) older = found->second;
  PeerSession& session = sessions_[no];
  session.dialled = session.control = true;
  session.at = at;
  session.lastReceived = now;
  dialled_[at] = no;
  if (const auto known = known_.find(at); known != known_.end()) known->second.dialling = false;
  return older;
}

void PeerSessions::dialFailed(Span now, const Address& at) {
  const auto found = known_.find(at);
  if (found == known_.end()) return;
  found->second.dialling = false;
  found->second.nextDial = now + kRedialDelay;
}

std::optional<PeerSession> PeerSessions::remove(Span now, SessionNo no) {
  const auto found = sessions_.find(no);
  if (found == sessions_.end()) return std::nullopt;
  PeerSession session = std::move(found->second);
  sessions_.erase(found);
  if (!session.dialled) return session;
  const auto dialled = dialled_.find(session.at);
  if (dialled != dialled_.end() && dialled->second == no) dialled_.erase(dialled);
  if (const auto known = known_.find(session.at); known != known_.end()) {
    known->second.nextDial = now + kRedialDelay;
    known->second.unreachedSince = now;
  }
  return session;
}

void PeerSessions::dialSoon(const Address& at) {
  const auto found = known_.find(at);
  // Avoids a second dial while one is in progress: its session would replace the first one.
  if (found != known_.end() && !found->second.dialling) found->second.nextDial = Span{0};
}

std::optional<SessionNo> PeerSessions::dialledToOtherLife(const Address& at, LifeNo life) const {
  const auto dialled = dialled_.find(at);
  if (dialled == dialled_.end()) return std::nullopt;
  const PeerSession& session = sessions_.at(dialled->second);
  const bool other = session.greeted && session.life.value != 0 && session.life != life;
  return other ? std::optional(dialled->second) : std::nullopt;
}

PeerSession* PeerSessions::find(SessionNo no) {
  const auto found = sessions_.find(no);
  return found == sessions_.end() ? nullptr : &found->second;
}

std::optional<SessionNo> PeerSessions::sessionTo(const Address& control) const {
  const auto dialled = dialled_.find(control);
  if (dialled != dialled_.end()) return dialled->second;
  for (const auto& [no, session] : sessions_) {
    if (session.control && session.greeted && session.at == control) return no;
  }
  return std::nullopt;
}

std::vector<SessionNo> PeerSessions::controls() const {
  std::vector<SessionNo> all;
  for (const auto& [at, no] : dialled_) {
    if (sessions_.at(no).greeted) all.push_back(no);
  }
  return all;
}

std::vector<SessionNo> PeerSessions::sidecars() const {
  std::vector<SessionNo> all;
  for (const auto& [no, session] : sessions_) {
    if (session.greeted && !session.control) all.push_back(no);
  }
  return all;
}

std::vector<SessionNo> PeerSessions::timedOut(Span now) const {
  std::vector<SessionNo> all;
  for (const auto& [no, session] : sessions_) {
    if (session.lastReceived + kSessionTimeout <= now) all.push_back(no);
  }
  return all;
}

std::vector<Address> PeerSessions::dueDials(Span now) {
  std::vector<Address> due;
  for (auto it = known_.begin(); it != known_.end();) {
    const bool up = dialled_.count(it->first) > 0;
    if (!up && !permanent(it->first) && it->second.unreachedSince + kForgetAfter <= now) {
      it = known_.erase(it);
      continue;
    }
    if (!up && it->second.nextDial <= now) {
      it->second.nextDial = now + kDialTimeout;
      it->second.dialling = true;
      due.push_back(it->first);
    }
    ++it;
  }
  return due;
}

}  // namespace rackroute::mesh
