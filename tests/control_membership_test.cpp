// Randomized tests of the voter set's membership and the majority lease, in virtual time.

#include <algorithm>
#include <catch2/catch.hpp>
#include <map>
#include <optional>
#include <random>
#include <set>

#include "mesh/control/majority_lease.hpp"
#include "mesh/control/membership.hpp"

using namespace rackroute;
using namespace rackroute::mesh;
using namespace std::chrono_literals;

namespace {

class Random {
 public:
  explicit Random(std::uint32_t seed) : random_(seed) {}
  std::uint64_t below(std::uint64_t end) { return random_() % end; }
  bool oneIn(std::uint64_t times) { return below(times) == 0; }
  Span upTo(Span most) { return Span(below(static_cast<std::uint64_t>(most.count()) + 1)); }

 private:
  std::mt19937_64 random_;
};

VoterId voterAt(std::size_t number, std::uint64_t incarnation = 1) {
  return {{"10.0.0." + std::to_string(100 + number) + ":7000"}, {incarnation}};
}

VoterSet setOf(std::size_t size) {
  VoterSet set;
  set.epoch = {1};
  for (std::size_t i = 0; i < size; ++i) set.voters.push_back(voterAt(i));
  return set;
}

}  // namespace

TEST_CASE("majority lease: extends from the send time of heartbeats echoed by a majority") {
  MajorityLease lease;
  const VoterSet set = setOf(5);
  const VoterId self = voterAt(0);
  REQUIRE(!lease.isHeld(0ms, set, self));
  const auto first = lease.nextHeartbeat(0ms);
  lease.recordEcho(voterAt(1), first);
  REQUIRE(!lease.isHeld(1ms, set, self));
  const auto second = lease.nextHeartbeat(300ms);
  lease.recordEcho(voterAt(2), second);
  // Two others and this process form a majority; the earlier of the two heartbeats determines the expiry,
  // however late the echoes arrive.
  REQUIRE(lease.expiry(set, self) == kMajorityLease);
  REQUIRE(lease.isHeld(kMajorityLease - 1ms, set, self));
  REQUIRE(!lease.isHeld(kMajorityLease, set, self));
  lease.recordEcho(voterAt(1), second);
  REQUIRE(lease.expiry(set, self) == 300ms + kMajorityLease);
  lease.recordEcho(voterAt(1), first);  // reordered
  REQUIRE(lease.expiry(set, self) == 300ms + kMajorityLease);
  // Numbers that were never sent, and other incarnations of a voter, are ignored.
  lease.recordEcho(voterAt(3), second + 1);
  lease.forget(voterAt(2).at);
  REQUIRE(!lease.isHeld(301ms, set, self));
  lease.recordEcho(voterAt(2, 2), second);
  REQUIRE(!lease.isHeld(301ms, set, self));
  // A voter of a different set does not count in this one.
  lease.recordEcho(voterAt(7), second);
  REQUIRE(!lease.isHeld(301ms, set, self));
  REQUIRE(lease.isHeld(301ms, withReplacement(set, voterAt(2), voterAt(7)), self));
  // A single voter always holds the lease; with founders, a majority of all of them is required.
  REQUIRE(lease.isHeld(1h, setOf(1), self));
  VoterSet founders = setOf(1);
  founders.epoch = {0};
  founders.foundingSize = 3;
  REQUIRE(!lease.isHeld(301ms, founders, self));
}

TEST_CASE("majority lease: never held without a majority under random partitions, delays and replacements") {
  std::size_t heldSteps = 0;
  for (std::uint32_t seed = 0; seed < 60; ++seed) {
    Random random(seed);
    const std::size_t size = 3 + random.below(4);
    VoterSet set = setOf(size);
    const VoterId self = voterAt(0);
    MajorityLease lease;
    struct Link {
      bool forward = true;   // link for heartbeats
      bool backward = true;  // link for echoes
      VoterId at;            // current incarnation of the voter
      std::uint64_t highest = 0;
      Span sentAt = Span::min();  // latest heartbeat echoed by that incarnation
    };
    struct InTransit {
      Span due{};
      std::size_t to = 0;
      bool echo = false;
      VoterId voter;
      std::uint64_t sequence = 0;
    };
    std::vector<Link> links(size);
    for (std::size_t i = 0; i < size; ++i) links[i].at = voterAt(i);
    std::vector<InTransit> messages;
    std::map<std::uint64_t, Span> sentAt;
    for (Span now{0}; now < 60s; now += 20ms) {
      if (now % 300ms == 0ms) {
        const std::uint64_t sequence = lease.nextHeartbeat(now);
        sentAt[sequence] = now;
        for (std::size_t i = 1; i < size; ++i) {
          if (links[i].forward)
            messages.push_back({now + random.upTo(random.oneIn(9) ? 3s : 80ms), i, false, {}, sequence});
        }
      }
      for (std::size_t next = 0; next < messages.size();) {
        if (messages[next].due > now) {
          ++next;
          continue;
        }
        const InTransit message = messages[next];
        messages.erase(messages.begin() + static_cast<std::ptrdiff_t>(next));
        Link& link = links[message.to];
        if (message.echo) {
          lease.recordEcho(message.voter, message.sequence);
          if (message.voter == link.at) link.sentAt = std::max(link.sentAt, sentAt.at(message.sequence));
        } else {
          link.highest = std::max(link.highest, message.sequence);
          if (link.backward)
            messages.push_back(
                {now + random.upTo(random.oneIn(9) ? 3s : 80ms), message.to, true, link.at, link.highest});
        }
      }
      Link& affected = links[1 + random.below(size - 1)];
      if (random.oneIn(60)) affected.forward = !affected.forward;
      if (random.oneIn(60)) affected.backward = !affected.backward;
      if (random.oneIn(400)) {
        // The voter lost its disk: another incarnation replaces it.
        const VoterId next{affected.at.at, {affected.at.incarnation.value + 1}};
        set = withReplacement(set, affected.at, next);
        lease.forget(next.at);
        affected.at = next;
        affected.sentAt = Span::min();
      }
      const auto fresh = std::count_if(links.begin() + 1, links.end(), [&](const Link& link) {
        return link.sentAt != Span::min() && link.sentAt + kMajorityLease > now;
      });
      const bool majority = static_cast<std::size_t>(fresh) + 1 >= set.quorum();
      INFO("seed " << seed << " at " << now.count());
      REQUIRE(lease.isHeld(now, set, self) == majority);
      heldSteps += majority ? 1 : 0;
    }
  }
  REQUIRE(heldSteps > 10000);
}

namespace {

constexpr Span kStep = 100ms;
constexpr Span kHeartbeats = 300ms;
/// Time in which the set converges to the running processes without faults: 60 s until a down voter may be
/// removed, 10 s until a standby may be added, and time for the steps.
constexpr Span kConvergenceTime = 90s;

/// Simulates processes with their memberships, where sets are agreed on if enough voters' acceptable()
/// allows. Checks every agreed set.
class Group {
 public:
  Group(std::uint32_t seed, std::size_t founders, std::size_t standbys) : random_(seed), founders_(founders) {
    for (std::size_t i = 0; i < founders + standbys; ++i) add(i < founders);
  }

  void run(Span time, bool faults) {
    for (const Span end = now_ + time; now_ < end; now_ += kStep) {
      if (faults && random_.oneIn(50)) fault();
      if (faults && random_.oneIn(80)) cutOrHeal();
      for (Process& process : processes_) {
        if (!process.up && process.returns && *process.returns <= now_) start(process);
      }
      updateSessions();
      deliver();
      read();
      propose();
    }
  }
  void heal() {
    cuts_.clear();
    for (Process& process : processes_) {
      if (process.returns) process.returns = now_;
    }
  }
  [[nodiscard]] std::vector<VoterId> up() const {
    std::vector<VoterId> up;
    for (const Process& process : processes_) {
      if (process.up) up.push_back(process.id);
    }
    std::sort(up.begin(), up.end());
    return up;
  }
  [[nodiscard]] bool settled() const {
    return std::all_of(processes_.begin(), processes_.end(), [&](const Process& process) {
      return !process.up || (process.member->set() == latest() && process.holds == process.member->isVoter());
    });
  }
  [[nodiscard]] const VoterSet& latest() const { return decided_.back(); }
  [[nodiscard]] std::size_t agreed() const { return decided_.size() - 1; }
  [[nodiscard]] Span now() const { return now_; }

 private:
  struct Process {
    VoterId id;
    bool founder = false;
    bool up = false;
    std::optional<Span> returns;  // while down: time of the next start; empty if it never starts again
    std::optional<Membership> member;
    std::map<Address, VoterId> sessions;  // as seen by this process
    bool holds = false;
    bool heldStateInPreviousEpoch = false;  // held state in the previous epoch and has lost nothing since
    VoterSet stored;                        // on disk
  };
  struct Delivery {
    Span due{};
    std::size_t to = 0;
    VoterId toIncarnation;
    std::optional<VoterSet> set;
    VoterId from;  // sender of a heartbeat
    Epoch epoch;
    bool holds = false;
  };

  void add(bool founder) {
    Process process;
    process.id = voterAt(processes_.size() * 37 % 89, ++lastIncarnation_);
    process.founder = founder;
    process.holds = founder;
    // Some founders start late; a standby has no state.
    process.returns = now_ + random_.upTo(founder ? 500ms : 5s);
    processes_.push_back(std::move(process));
  }
  void start(Process& process) {
    process.up = true;
    process.returns.reset();
    process.member.emplace(Membership::Config{process.id, process.founder, founders_});
    process.sessions.clear();
    if (process.stored.epoch.value > 0) process.member->adopt(now_, process.stored);
    process.member->setHoldsState(process.holds);
  }
  void stop(Process& process, std::optional<Span> back) {
    process.up = false;
    process.member.reset();
    process.returns = back ? std::optional<Span>(now_ + *back) : std::nullopt;
  }
  /// Takes a new incarnation after losing the disk or being removed from the set.
  void reincarnate(Process& process) {
    process.id.incarnation = {++lastIncarnation_};
    process.holds = process.heldStateInPreviousEpoch = false;
    process.stored = {};
  }

  [[nodiscard]] Process* find(const VoterId& id) {
    const auto found = std::find_if(processes_.begin(), processes_.end(),
                                    [&](const Process& process) { return process.id == id; });
    return found == processes_.end() ? nullptr : &*found;
  }
  [[nodiscard]] bool connected(const Process& a, const Process& b) const {
    return a.up && b.up && cuts_.count(std::minmax(a.id.at, b.id.at)) == 0;
  }
  /// Whether a majority with complete state stays up without the process, for any step that may be in
  /// progress.
  [[nodiscard]] bool canStop(const Process& process, bool permanently) {
    const VoterSet& set = latest();
    if (set.epoch.value == 0) return false;
    std::size_t available = 0;
    for (const VoterId& voter : set.voters) {
      const Process* other = find(voter);
      const bool holds = other != nullptr && other->up && other->holds && other->stored.epoch == set.epoch;
      if (holds && other != &process) ++available;
      if (permanently && other != &process && set.mustRead(voter) && !holds) return false;
    }
    return available >= std::max(set.quorum(), set.readQuorum());
  }

  void fault() {
    Process& process = processes_[random_.below(processes_.size())];
    const std::uint64_t kind = random_.below(4);
    const auto alive = static_cast<std::size_t>(
        std::count_if(processes_.begin(), processes_.end(), [](const Process& each) { return each.up; }));
    if (kind == 0 && alive < 8 && processes_.size() < 14) {
      add(false);  // planned replacement; the old process stops some time later
    } else if (process.up && kind == 1 && canStop(process, false)) {
      stop(process, random_.upTo(random_.oneIn(3) ? 100s : 3s));
    } else if (process.up && kind == 2 && canStop(process, true)) {
      stop(process, random_.upTo(20s));
      reincarnate(process);
    } else if (process.up && kind == 3 && alive > 4 && canStop(process, true)) {
      stop(process, std::nullopt);
    }
  }
  void cutOrHeal() {
    const Process& a = processes_[random_.below(processes_.size())];
    const Process& b = processes_[random_.below(processes_.size())];
    const auto link = std::minmax(a.id.at, b.id.at);
    if (cuts_.erase(link) == 0 && a.id.at != b.id.at && cuts_.size() < 2) cuts_.insert(link);
  }

  /// Each side notices the start or end of a session independently, after a delay.
  void updateSessions() {
    for (Process& process : processes_) {
      if (!process.up) continue;
      for (const Process& peer : processes_) {
        if (&peer == &process) continue;
        const auto session = process.sessions.find(peer.id.at);
        const bool isKnown = session != process.sessions.end() && session->second == peer.id;
        const bool there = connected(process, peer);
        if (there == isKnown && (there || session == process.sessions.end())) continue;
        if (!random_.oneIn(4)) continue;
        if (there) {
          process.sessions[peer.id.at] = peer.id;
          process.member->peerUp(now_, peer.id, peer.founder, peer.holds);
        } else {
          process.sessions.erase(peer.id.at);
          process.member->peerDown(now_, peer.id.at);
        }
      }
    }
  }

  void send(const Process& from, std::size_t to, const std::optional<VoterSet>& set) {
    deliveries_.push_back({now_ + random_.upTo(250ms), to, processes_[to].id, set, from.id,
                           from.member->set().epoch, from.holds});
  }
  void deliver() {
    if (now_ % kHeartbeats == 0ms) {
      for (const Process& from : processes_) {
        for (std::size_t to = 0; to < processes_.size(); ++to) {
          if (&from == &processes_[to] || !connected(from, processes_[to])) continue;
          send(from, to, std::nullopt);
          if (from.member->set().epoch.value > 0 && random_.oneIn(2)) send(from, to, from.member->set());
        }
      }
    }
    std::vector<Delivery> due;
    std::erase_if(deliveries_, [&](const Delivery& delivery) {
      if (delivery.due <= now_) due.push_back(delivery);
      return delivery.due <= now_;
    });
    for (const Delivery& delivery : due) {
      Process& to = processes_[delivery.to];
      if (!to.up || to.id != delivery.toIncarnation) continue;
      if (delivery.set) {
        adopt(to, *delivery.set);
      } else if (delivery.epoch == to.member->set().epoch) {
        to.member->peerHoldsState(now_, delivery.from, delivery.holds);
      }
    }
  }
  void adopt(Process& process, const VoterSet& set) {
    const Epoch before = process.member->set().epoch;
    if (!process.member->adopt(now_, set)) return;
    process.stored = set;
    if (process.member->wasRemoved()) {
      reincarnate(process);
      process.stored = set;
      process.member->reincarnate(process.id);
      return;
    }
    const bool nextEpoch = before.value + 1 == set.epoch.value;
    process.heldStateInPreviousEpoch = process.holds && nextEpoch;
    process.holds = process.member->holdsState();
  }

  /// A voter that must read completes once a read quorum of fenced voters with state is reachable.
  void read() {
    for (Process& process : processes_) {
      if (!process.up || process.holds || !process.member->isVoter() || !random_.oneIn(3)) continue;
      const VoterSet& set = process.member->set();
      std::size_t sources = process.heldStateInPreviousEpoch ? 1 : 0;
      for (const VoterId& voter : set.voters) {
        const Process* other = find(voter);
        if (other == nullptr || other == &process || !connected(process, *other)) continue;
        const bool fenced = other->member->set().epoch >= set.epoch;
        if (fenced && (other->holds || other->heldStateInPreviousEpoch)) ++sources;
      }
      if (sources < set.readQuorum()) continue;
      process.holds = true;
      process.member->setHoldsState(true);
    }
  }

  void propose() {
    for (Process& process : processes_) {
      if (!process.up) continue;
      const auto proposal = process.member->proposal(now_);
      if (!proposal) continue;
      const VoterSet& from = process.member->set();
      REQUIRE(process.member->isVoter());
      REQUIRE(proposal->epoch.value == from.epoch.value + 1);
      if (from.epoch.value > 0) {
        REQUIRE(isSingleStep(from, *proposal));
        // No set is proposed while a connected voter that stays must still read.
        for (const VoterId& reader : from.readers) {
          const Process* other = find(reader);
          const auto session = process.sessions.find(reader.at);
          const bool isKnown = session != process.sessions.end() && session->second == reader;
          if (!proposal->contains(reader) || !isKnown || other == nullptr || !other->up) continue;
          REQUIRE((other->holds || other->stored.epoch > from.epoch));
        }
      }
      if (accepted(process, *proposal)) agree(process, from, *proposal);
    }
  }
  [[nodiscard]] bool accepted(const Process& proposer, const VoterSet& proposed) {
    const VoterSet& set = proposer.member->set();
    if (set.epoch != latest().epoch) return false;  // another set was agreed on for the next epoch
    std::size_t votes = 0;
    for (const VoterId& voter : set.voters) {
      const Process* acceptor = find(voter);
      if (acceptor == nullptr || !acceptor->up) continue;
      if (acceptor != &proposer && !connected(*acceptor, proposer)) continue;
      const bool mayVote = acceptor->member->set().epoch == set.epoch && acceptor->holds;
      if (mayVote && acceptor->member->acceptable(now_, proposed, false)) ++votes;
    }
    return votes >= set.quorum();
  }
  void agree(Process& proposer, const VoterSet& from, const VoterSet& to) {
    checkNoConnectedVoterRemoved(from, to);
    checkMajoritiesOverlap(from, to);
    decided_.push_back(to);
    const VoterSet agreedOn = to;
    adopt(proposer, agreedOn);
  }
  /// Everything that a majority of the previous set knows must be known to each majority of the next set: it
  /// includes a voter of that majority, or a reader that has read from a majority of the previous set.
  void checkMajoritiesOverlap(const VoterSet& from, const VoterSet& to) const {
    const std::size_t size = from.epoch.value == 0 ? founders_ : from.voters.size();
    REQUIRE(to.readQuorum() == size / 2 + 1);
    for (const VoterId& voter : to.voters) REQUIRE((from.contains(voter) || to.mustRead(voter)));
    const std::size_t withoutReaders = to.voters.size() - to.readers.size();
    const bool avoidsReaders = withoutReaders >= to.quorum();
    REQUIRE((!avoidsReaders || to.quorum() + from.quorum() > size));
    // Voters of both sets, from which it may read.
    const std::size_t sources = to.readers == to.voters ? to.voters.size() : withoutReaders;
    REQUIRE((to.readers.empty() || sources >= to.readQuorum()));
  }
  void checkNoConnectedVoterRemoved(const VoterSet& from, const VoterSet& to) {
    if (from.epoch.value == 0) return;
    for (const VoterId& voter : from.voters) {
      if (to.contains(voter)) continue;
      const bool seenByAll = std::all_of(from.voters.begin(), from.voters.end(), [&](const VoterId& id) {
        const Process* other = find(id);
        if (id == voter || other == nullptr || !other->up) return true;
        const auto session = other->sessions.find(voter.at);
        return session != other->sessions.end() && session->second == voter;
      });
      const Process* self = find(voter);
      REQUIRE(!(seenByAll && self != nullptr && self->up));
    }
  }

  Random random_;
  std::size_t founders_;
  Span now_{};
  std::uint64_t lastIncarnation_ = 0;
  std::vector<Process> processes_;
  std::vector<Delivery> deliveries_;
  std::set<std::pair<Address, Address>> cuts_;
  std::vector<VoterSet> decided_{VoterSet{}};
};

}  // namespace

TEST_CASE("membership: the set converges to the running processes after random faults") {
  std::size_t agreed = 0;
  Span longest{};
  for (std::uint32_t seed = 0; seed < 40; ++seed) {
    INFO("seed " << seed);
    Random random(seed + 1000);
    const std::size_t founders = 3 + 2 * random.below(3);
    Group group(seed, founders, random.below(8 - founders));
    group.run(300s, true);
    group.heal();
    const Span healedAt = group.now();
    const auto done = [&] {
      return group.settled() && (group.latest().voters == group.up() || group.up().size() < 3);
    };
    while (!done() && group.now() < healedAt + kConvergenceTime) group.run(1s, false);
    longest = std::max(longest, group.now() - healedAt);
    CHECK(done());
    agreed += group.agreed();
  }
  CAPTURE(longest.count());
  REQUIRE(agreed > 400);
}

namespace {

/// The voter with the lowest address of three that are all up and hold state in their first set.
Membership firstOfThree() {
  Membership member({voterAt(0), true, 3});
  for (const std::size_t other : {1, 2}) member.peerUp(0ms, voterAt(other), true, true);
  member.setHoldsState(true);
  member.adopt(0ms, *member.proposal(0ms));
  return member;
}

/// Time of the first proposed set, polling every 100 ms.
Span firstProposal(Membership& member, Span from, Span until, VoterSet& proposed) {
  for (Span now = from; now <= until; now += 100ms) {
    if (const auto proposal = member.proposal(now)) {
      proposed = *proposal;
      return now;
    }
  }
  return Span::max();
}

}  // namespace

TEST_CASE("membership: founded immediately by all founders, or by a majority after two seconds") {
  Membership member({voterAt(0), true, 5});
  REQUIRE(!member.proposal(0ms));
  VoterSet first;
  member.peerUp(100ms, voterAt(1), true, true);
  member.peerUp(100ms, voterAt(5), false, true);  // not a founder
  REQUIRE(firstProposal(member, 100ms, 5s, first) == Span::max());
  member.peerUp(5s, voterAt(2), true, true);
  REQUIRE(firstProposal(member, 5s, 6s, first) == 5s);
  REQUIRE(first.voters == setOf(3).voters);
  // A majority of these three need not include any of the founders that granted a promise.
  REQUIRE(first.readers == first.voters);
  REQUIRE(member.acceptable(5s, first, false));
  VoterSet withoutReaders = first;
  withoutReaders.readers.clear();
  REQUIRE(!member.acceptable(5s, withoutReaders, false));
  for (const std::size_t other : {3, 4}) member.peerUp(5s, voterAt(other), true, true);
  REQUIRE(firstProposal(member, 5s, 6s, first) == 5s);
  REQUIRE(first.voters == setOf(5).voters);
  REQUIRE(first.readers.empty());
  Membership standby({voterAt(6), false, 5});
  for (std::size_t other = 0; other < 5; ++other) standby.peerUp(0ms, voterAt(other), true, true);
  REQUIRE(firstProposal(standby, 0ms, 5s, first) == Span::max());
}

TEST_CASE("membership: a down voter is replaced by the lowest standby, a wiped one immediately") {
  Membership member = firstOfThree();
  member.peerUp(1s, voterAt(8), false, false);
  member.peerUp(1s, voterAt(7), false, false);
  member.peerDown(2s, voterAt(1).at);
  const VoterSet before = member.set();
  VoterSet next;
  REQUIRE(firstProposal(member, 2s, 9s, next) == 3200ms);
  REQUIRE(next == withReplacement(before, voterAt(1), voterAt(7)));
  REQUIRE(member.acceptable(3200ms, next, false));
  // The same set is proposed again only after an interval, and is not accepted once the voter is back.
  REQUIRE(firstProposal(member, 3300ms, 9s, next) == 3700ms);
  member.peerUp(4s, voterAt(1), false, true);
  REQUIRE(!member.acceptable(4s, next, false));
  REQUIRE(firstProposal(member, 4s, 10s, next) == Span::max());
  // The voter lost its disk and returns with a new incarnation.
  member.peerUp(5s, voterAt(1, 2), false, false);
  REQUIRE(firstProposal(member, 5s, 9s, next) == 5s);
  REQUIRE(next == withReplacement(before, voterAt(1), voterAt(1, 2)));
  REQUIRE(member.adopt(5s, next));
  REQUIRE(!member.adopt(5s, next));
  // No further proposal while the joining voter reads, even if another voter goes down.
  member.peerDown(6s, voterAt(2).at);
  REQUIRE(firstProposal(member, 6s, 20s, next) == Span::max());
  member.peerHoldsState(20s, voterAt(1, 2), true);
  REQUIRE(firstProposal(member, 20s, 21s, next) == 20s);
  REQUIRE(next == withReplacement(member.set(), voterAt(2), voterAt(7)));
}

TEST_CASE("membership: grows after ten seconds and shrinks after sixty, but not below three voters") {
  Membership member = firstOfThree();
  VoterSet next;
  member.peerUp(1s, voterAt(7), false, false);
  REQUIRE(firstProposal(member, 1s, 20s, next) == 11s);
  REQUIRE(next == withVoter(member.set(), voterAt(7)));
  member.adopt(11s, next);
  member.peerHoldsState(12s, voterAt(7), true);
  member.peerDown(12s, voterAt(2).at);
  REQUIRE(firstProposal(member, 12s, 100s, next) == 72s);
  REQUIRE(next == withoutVoter(member.set(), voterAt(2)));
  member.adopt(72s, next);
  REQUIRE(!member.holdsState());
  member.setHoldsState(true);
  for (const std::size_t other : {1, 7}) member.peerHoldsState(72s, voterAt(other), true);
  member.peerDown(73s, voterAt(7).at);
  REQUIRE(firstProposal(member, 73s, 500s, next) == Span::max());
}

TEST_CASE("membership: a removed voter takes a new incarnation, one that missed a set reads again") {
  Membership member = firstOfThree();
  const VoterSet second = withReplacement(member.set(), voterAt(2), voterAt(7));
  VoterSet third = withReplacement(second, voterAt(1), voterAt(8));
  Membership absent = member;
  REQUIRE(absent.adopt(1s, third));
  REQUIRE((absent.isVoter() && !absent.holdsState()));
  REQUIRE(member.adopt(1s, second));
  REQUIRE(member.holdsState());
  third = withReplacement(second, voterAt(0), voterAt(8));
  REQUIRE(!member.acceptable(1s, third, false));
  REQUIRE(member.adopt(1s, third));
  REQUIRE(member.wasRemoved());
  member.reincarnate(voterAt(0, 2));
  REQUIRE((!member.wasRemoved() && !member.isVoter()));
  REQUIRE(!member.proposal(1h));
}

TEST_CASE("membership: a removed voter rejoins with a new incarnation, or if it never adopted the set") {
  Membership member = firstOfThree();
  member.peerUp(0ms, voterAt(7), false, false);
  const VoterSet joined = withReplacement(member.set(), voterAt(2), voterAt(7));
  REQUIRE(member.adopt(1s, joined));
  REQUIRE(member.adopt(2s, withReplacement(joined, voterAt(7), voterAt(8))));
  member.peerUp(2s, voterAt(8), false, false);
  member.peerHoldsState(2s, voterAt(8), true);
  // Its session may belong to the removed incarnation.
  VoterSet next;
  REQUIRE(firstProposal(member, 2s, 30s, next) == Span::max());
  Membership other = member;
  member.peerHoldsState(30s, voterAt(7), false);
  REQUIRE(firstProposal(member, 30s, 50s, next) == 30s);
  REQUIRE(next == withVoter(member.set(), voterAt(7)));
  other.peerUp(30s, voterAt(7, 2), false, false);
  REQUIRE(firstProposal(other, 30s, 50s, next) == 40s);
  REQUIRE(next == withVoter(other.set(), voterAt(7, 2)));
}

TEST_CASE("membership: tracked peers are bounded, and later peers are still admitted") {
  Membership member = firstOfThree();
  for (std::size_t i = 10; i < 1000; ++i) {
    member.peerUp(1s, voterAt(i), false, false);
    member.peerDown(1s, voterAt(i).at);
  }
  member.peerUp(30s, voterAt(1000), false, false);
  REQUIRE(member.peers().size() == 2);
  member.peerUp(61s, voterAt(1000), false, false);
  REQUIRE(member.peers().size() == 3);
}
