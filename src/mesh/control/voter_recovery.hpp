#pragma once

// Recovery of a voter that must read the state of other voters before it votes. It requests all promises on
// keys and all accepted orders from the other voters of the set, and is complete once readQuorum() voters
// have sent their full state while in that epoch. These voters no longer vote in earlier epochs, so the state
// includes everything that an earlier majority granted. Tracks the progress per voter; a state machine
// without I/O or a clock.

#include <cstdint>
#include <map>
#include <set>

#include "mesh/configuration/error.hpp"
#include "mesh/control/agreement.hpp"
#include "mesh/control/effects.hpp"
#include "mesh/control/voter_set.hpp"

namespace rackroute::mesh {

/// Reads the state of other voters into this process.
class VoterRecovery {
 public:
  explicit VoterRecovery(const VoterId& self) : self_(self) {}

  /// Starts or restarts recovery for the set. A larger read quorum of an earlier unfinished recovery still
  /// applies. countSelf: this process had complete state in the previous epoch, so it counts as one of the
  /// voters read.
  void begin(Span now, const VoterSet& set, bool countSelf);
  void stop() { running_ = false; }
  [[nodiscard]] bool running() const { return running_; }
  /// Requests state from voters that have not answered.
  void tick(Span now, Effects& effects);
  /// Handles a part of a voter's state. On an error, which names the peer, that voter's transfer starts over.
  Result<void> handle(Span now, const SnapshotPart& part, Span uptime, Promises& promises,
                      Agreement& agreement, Effects& effects);
  /// Whether enough voters have sent their full state.
  [[nodiscard]] bool complete() const { return running_ && completed_.size() >= requiredVoters_; }
  void reincarnate(const VoterId& self);

 private:
  struct Progress {
    std::uint64_t nextPart = 0;
    Span lastProgressAt{};
    bool requested = false;
    Span firstPartRetry{};  // retry interval for the first part
  };
  VoterId self_;
  bool running_ = false;
  VoterSet set_;
  std::size_t requiredVoters_ = 0;
  std::map<VoterId, Progress> progress_;
  std::set<VoterId> completed_;
};

/// Sends this process's state to recovering voters in parts, a bounded number per tick, so that voting
/// continues in between.
class SnapshotSender {
 public:
  /// Takes a snapshot for the peer; replaces an unfinished one.
  void begin(const Address& to, Epoch epoch, const VoterId& self, const Promises& promises, Span uptime,
             const Agreement& agreement);
  /// Sends the next parts to all receivers.
  void tick(Effects& effects);
  void forget(const Address& to) { sending_.erase(to); }
  void clear() { sending_.clear(); }

 private:
  struct Sending {
    std::vector<SnapshotPart> parts;
    std::size_t next = 0;
  };
  std::map<Address, Sending> sending_;
};

}  // namespace rackroute::mesh
