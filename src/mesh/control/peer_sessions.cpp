#include "mesh/control/peer_sessions.hpp"

#include <algorithm>
#include <utility>

namespace rackroute::mesh {
namespace {

using namespace std::chrono_literals;

constexpr Span kSilent = 1700ms;    // without a message, a session is over; several heartbeats and a delay
constexpr Span kRedial = 150ms;     // after a dial that failed or a session that ended
constexpr Span kDialTime = 450ms;   // for a dial; a hung one is given up
constexpr Span kForgetAfter = 30s;  // an address that neither the voters nor the seeds name, unreached
constexpr std::size_t kMostOthers = 32;  // addresses beyond the voters and the seeds

}  // namespace

PeerSessions::PeerSessions(Address self, const std::vector<Address>& seeds) : self_(std::move(self)) {
  this->seeds(seeds);
}

void PeerSessions::seeds(const std::vector<Address>& seeds) {
  seeds_ = std::set<Address>(seeds.begin(), seeds.end());
  for (const Address& at : seeds_) {
    if (at != self_) known_.try_emplace(at);
  }
}

void PeerSessions::voters(const VoterSet& set) {
  voters_.clear();
  for (const VoterId& voter : set.voters) voters_.insert(voter.at);
  for (const Address& at : voters_) {
    if (at != self_) known_.try_emplace(at);
  }
}

bool PeerSessions::permanent(const Address& at) const {
  return seeds_.count(at) > 0 || voters_.count(at) > 0;
}

bool PeerSessions::learn(Span now, const std::vector<Address>& addresses) {
  auto others = static_cast<std::size_t>(std::count_if(
      known_.begin(), known_.end(), [this](const auto& entry) { return !permanent(entry.first); }));
  bool more = false;
  for (const Address& at : addresses) {
    if (at == self_ || known_.count(at) > 0) continue;
    if (others >= kMostOthers) break;
    known_[at].unreachedSince = now;
    ++others;
    more = true;
  }
  return more;
}

std::vector<Address> PeerSessions::known() const {
  std::vector<Address> all{self_};
  for (const auto& [at, known] : known_) all.push_back(at);
  return all;
}

PeerSession& PeerSessions::accepted(Span now, SessionNo no) {
  PeerSession& session = sessions_[no];
  session.lastHeard = now;
  return session;
}

std::optional<SessionNo> PeerSessions::reached(Span now, SessionNo no, const Address& at) {
  std::optional<SessionNo> older;
  if (const auto found = dialled_.find(at); found != dialled_.end()) older = found->second;
  PeerSession& session = sessions_[no];
  session.dialled = session.control = true;
  session.at = at;
  session.lastHeard = now;
  dialled_[at] = no;
  if (const auto known = known_.find(at); known != known_.end()) known->second.dialling = false;
  return older;
}

void PeerSessions::unreached(Span now, const Address& at) {
  const auto found = known_.find(at);
  if (found == known_.end()) return;
  found->second.dialling = false;
  found->second.nextDial = now + kRedial;
}

std::optional<PeerSession> PeerSessions::ended(Span now, SessionNo no) {
  const auto found = sessions_.find(no);
  if (found == sessions_.end()) return std::nullopt;
  PeerSession session = std::move(found->second);
  sessions_.erase(found);
  if (!session.dialled) return session;
  const auto dialled = dialled_.find(session.at);
  if (dialled != dialled_.end() && dialled->second == no) dialled_.erase(dialled);
  if (const auto known = known_.find(session.at); known != known_.end()) {
    known->second.nextDial = now + kRedial;
    known->second.unreachedSince = now;
  }
  return session;
}

void PeerSessions::dialSoon(const Address& at) {
  const auto found = known_.find(at);
  // Guards against a second dial beside one that is on its way: its session would end the first one's.
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

std::optional<SessionNo> PeerSessions::to(const Address& control) const {
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

std::vector<SessionNo> PeerSessions::silent(Span now) const {
  std::vector<SessionNo> all;
  for (const auto& [no, session] : sessions_) {
    if (session.lastHeard + kSilent <= now) all.push_back(no);
  }
  return all;
}

std::vector<Address> PeerSessions::dials(Span now) {
  std::vector<Address> due;
  for (auto at = known_.begin(); at != known_.end();) {
    const bool up = dialled_.count(at->first) > 0;
    if (!up && !permanent(at->first) && at->second.unreachedSince + kForgetAfter <= now) {
      at = known_.erase(at);
      continue;
    }
    if (!up && at->second.nextDial <= now) {
      at->second.nextDial = now + kDialTime;
      at->second.dialling = true;
      due.push_back(at->first);
    }
    ++at;
  }
  return due;
}

}  // namespace rackroute::mesh
