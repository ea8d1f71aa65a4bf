#pragma once

// One member of a fleet that detects its membership by SWIM (Das, Gupta, Motivala, "SWIM: Scalable
// Weakly-consistent Infection-style Process Group Membership Protocol", DSN 2002) with Lifeguard's local
// health, dogpile and buddy system (Dadgar, Phillips, Currey, "Lifeguard: Local Health Awareness for More
// Accurate Failure Detection", 2017). docs/fleet-view.md describes the extensions: healing of partitions,
// connectivity, and the safe count. Owns the view and the gossip queue; does no I/O. Time, seed and transport
// are passed in.

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <random>
#include <set>
#include <string>
#include <vector>

#include "fleet/gossip_queue.hpp"
#include "fleet/member.hpp"
#include "fleet/view.hpp"

namespace rackroute::fleet {

/// Parameters of the protocol.
struct MembershipConfig {
  Span period = std::chrono::seconds(1);  // between two probes
  double suspicionMultiplier = 1;         // scales the minimum timeout, max(2, log10(members) - 1) periods
  std::size_t maxMembers = 2000;          // size limit of the view
  Span deadRetention = std::chrono::hours(24);
  bool lifeguard = true;  // off: plain SWIM, for comparison
};

/// Transport and event callbacks of a member. Implementations must not call back into it.
class MembershipHost {
 public:
  MembershipHost() = default;
  MembershipHost(const MembershipHost&) = delete;
  MembershipHost& operator=(const MembershipHost&) = delete;
  virtual ~MembershipHost() = default;

  /// Sends a datagram, which may be lost, duplicated or delayed.
  virtual void send(const std::string& address, const Message& message) = 0;
  /// Starts an exchange of views over a connection, which may fail.
  virtual void exchange(const std::string& address) = 0;
  /// Called when a member's state changed; `was` is empty for a new member.
  virtual void memberChanged(const MemberRecord& member, std::optional<State> was) = 0;
  /// Called when another process has taken this member's name (true), or this member has it back.
  virtual void nameConflict(bool taken, const std::string& by) = 0;
};

/// Event counts since the start of the process.
struct MembershipCounters {
  std::uint64_t probes = 0;
  std::uint64_t probesLost = 0;       // neither a direct nor a relayed ack came
  std::uint64_t suspicions = 0;       // raised by this member's own probes
  std::uint64_t refuted = 0;          // suspicions and deaths of this member that it refuted
  std::uint64_t deaths = 0;           // declared by this member after a suspicion timed out
  std::uint64_t stalls = 0;           // periods in which this process was suspended or got no CPU
  std::uint64_t misdirected = 0;      // probes intended for another member
  std::uint64_t rejectedFull = 0;     // members not added because the view is full
  std::uint64_t rejectedInvalid = 0;  // updates with implausible values
};

/// The protocol's state machine. `now` never decreases between calls.
class Membership {
 public:
  /// `start` is the Unix time in ms at which the process started; `join` lists addresses to contact first.
  Membership(MemberInfo self, std::uint64_t start, std::vector<std::string> join,
             const MembershipConfig& config, std::uint64_t seed, MembershipHost& host);
  Membership(const Membership&) = delete;
  Membership& operator=(const Membership&) = delete;

  /// Adds members known from elsewhere; only before start().
  void addKnownMembers(Span now, const std::vector<MemberUpdate>& updates);
  /// Continues as the member that a previous process was, with a higher incarnation; only before start().
  void resumeAs(const MemberVersion& version);
  /// Joins the fleet, or rejoins it after another process has served as this member.
  void start(Span now);
  void handleMessage(Span now, const Message& message);
  /// The steps of an exchange: the initiator sends viewRequest() with its digests, both sides send the
  /// buckets that differ by viewFor() with the other's digests, and merge() what they receive. Without
  /// digests, viewFor() returns the entire view.
  [[nodiscard]] ViewMessage viewRequest() const;
  [[nodiscard]] ViewMessage viewFor(Span now, const BucketDigests& theirs = {}) const;
  void merge(Span now, const ViewMessage& theirs);
  /// Runs the timers that are due.
  void wake(Span now);
  /// The time of the next call of wake().
  [[nodiscard]] Span due() const { return due_; }
  /// Announces that this member leaves, and stops.
  void leave(Span now);

  [[nodiscard]] const View& view() const { return view_; }
  [[nodiscard]] const MemberUpdate& self() const { return self_; }
  [[nodiscard]] std::uint64_t digest() const {
    return view_.digest() + View::digestOf(self_.id, self_.version);
  }
  [[nodiscard]] Connectivity connectivity() const { return connectivity_; }
  /// Members that may be running, including this one and those thought dead.
  [[nodiscard]] std::size_t safeCount() const { return view_.possiblyRunning() + 1; }
  /// Lifeguard's local health multiplier: 0 is healthy.
  [[nodiscard]] std::uint32_t localHealth() const { return localHealth_; }
  /// Whether another process has taken this member's name.
  [[nodiscard]] bool displaced() const { return displaced_; }
  [[nodiscard]] const MembershipCounters& counters() const { return counters_; }

 private:
  struct Probe {
    MemberId target;
    std::string address;
    std::uint32_t number = 0;
    Span indirectAt{};
    Span endsAt{};
    std::uint32_t indirectRequests = 0;
    std::uint32_t indirectReplies = 0;  // of them, answered by ack or nack
  };
  struct Suspicion {
    MemberVersion version;
    Span startedAt{};
    Span endsAt{};
    std::set<MemberId> accusers;
  };
  struct RelayedProbe {  // a probe on behalf of another member
    std::string requester;
    std::uint32_t requesterNumber = 0;
    MemberId target;
    Span nackAt{};
    Span endsAt{};
    bool nackSent = false;
  };
  enum class Source { gossip, exchange, own };

  void detectStall(Span now);
  void scheduleTimer(Span now);
  void handleNameConflict(const Message& message);
  void applyUpdate(Span now, const MemberUpdate& update, Source source);
  void applyUpdateOfSelf(Span now, const MemberUpdate& update);
  void addSuspicion(Span now, const MemberRecord& record, MemberId accuser, bool own);
  void probeSoon(Span now, MemberId id);
  void expireSuspicions(Span now);
  [[nodiscard]] Span suspicionDeadline(const Suspicion& suspicion) const;
  void reportChange(Span now, const MemberRecord& record, std::optional<State> was);
  void refute();

  void startProbe(Span now);
  [[nodiscard]] const MemberRecord* nextProbeTarget();
  void continueProbe(Span now);
  void continueRelayedProbes(Span now);
  void reconnect(Span now);
  void probeNameHolder(Span now);
  void sendGossip(Span now);
  void scheduleNotification(Span now, MemberId id);
  void notifyAccused(Span now);
  void startExchange(Span now, const std::string& address);
  void exchangeWithRandomMember(Span now);
  void compareDigests(Span now, const Message& message);
  void updateConnectivity(Span now);
  void probeAnswered(Span now, const std::string& address);

  void send(const std::string& address, Message message, std::optional<MemberUpdate> first = std::nullopt);
  [[nodiscard]] std::optional<MemberUpdate> updateUnlessAlive(MemberId id) const;
  [[nodiscard]] MemberUpdate updateOf(Span now, const MemberRecord& record) const;
  [[nodiscard]] std::vector<const MemberRecord*> drawLiveMembers(std::size_t count, MemberId excluded);
  [[nodiscard]] BucketDigests bucketDigests() const;
  [[nodiscard]] double randomFraction();
  [[nodiscard]] std::size_t randomIndex(std::size_t below);
  [[nodiscard]] std::uint32_t maxTransmissions() const;
  [[nodiscard]] bool isValid(const MemberUpdate& update) const;
  void adjustLocalHealth(int by);

  MembershipConfig config_;
  MembershipHost& host_;
  std::vector<std::string> joinAddresses_;
  std::mt19937_64 random_;
  MemberUpdate self_;
  View view_;
  GossipQueue gossip_;
  std::map<MemberId, Suspicion> suspicions_;
  std::vector<MemberId> probeOrder_;      // shuffled targets, the next one last
  std::uint32_t confirmationProbes_ = 0;  // targets at the end of probeOrder_ that confirm a suspicion
  bool lastTargetRandom_ = true;          // targets alternate between random and next by id
  std::optional<Probe> probe_;
  std::map<std::uint32_t, RelayedProbe> relayedProbes_;  // by probe number
  std::set<MemberId> toNotify_;  // members whose state is disputed, to be sent this view's
  std::uint32_t lastProbeNumber_ = 0;
  std::uint32_t localHealth_ = 0;
  Span probeAt_ = Span::max();
  Span gossipAt_ = Span::max();
  Span notifyAt_ = Span::max();
  Span exchangeAt_ = Span::max();
  Span expireAt_ = Span::max();
  Span joinAt_ = Span::max();
  Span suspicionEndsAt_ = Span::max();  // earliest end of a suspicion
  std::uint32_t matchingDigests_ = 0;   // consecutive messages with the same digest as this view's
  Span due_ = Span::max();
  Span changedAt_{};     // last change of the view
  Span exchangedAt_{};   // last exchange with any member
  Span repliedAt_{};     // last reply to a probe, direct or indirect
  Span mismatchWait_{};  // minimum interval between exchanges triggered by differing digests
  Span busyUntil_{};     // exchanges are more frequent after many changes at once
  std::vector<MemberUpdate> mergedUpdates_;  // changes from the view being merged
  std::uint32_t unansweredProbes_ = 0;       // consecutive probes without any reply
  Span stalledUntil_{};
  Span worseSince_ = Span::max();   // measured connectivity is below connectivity_
  Span betterSince_ = Span::max();  // measured connectivity is above connectivity_
  Connectivity connectivity_ = Connectivity::full;
  bool started_ = false;
  bool left_ = false;
  bool displaced_ = false;
  std::string conflictAddress_;  // of another process with this member's name
  MemberVersion conflictVersion_;
  std::uint32_t nameProbes_ = 0;  // sent to conflictAddress_ since it last answered
  std::uint32_t isolatedAttempts_ = 0;
  MembershipCounters counters_;
};

}  // namespace rackroute::fleet
