#pragma once

// Recovery of a voter that must read before it votes: it asks the other voters of the set for all promises on
// keys and all that they accepted, and is done once as many as readQuorum() have told everything while in
// that epoch. They vote in no earlier epoch by then, so nothing that an earlier majority granted can be
// missing. It owns what has come so far of each; a state machine without I/O or clock.

#include <cstdint>
#include <map>
#include <set>

#include "mesh/configuration/error.hpp"
#include "mesh/control/agreement.hpp"
#include "mesh/control/effects.hpp"
#include "mesh/control/voter_set.hpp"

namespace rackroute::mesh {

class VoterRecovery {
 public:
  explicit VoterRecovery(const VoterId& self) : self_(self) {}

  /// Begins (anew) for that set; a quorum of an earlier unfinished recovery still counts.
  /// ownCounts: this process held state in the epoch just before, so that it is one of those that are read.
  void begin(Span now, const VoterSet& set, bool ownCounts);
  void stop() { running_ = false; }
  [[nodiscard]] bool running() const { return running_; }
  /// What is to be asked of whom.
  void tick(Span now, Effects& effects);
  /// A part of a voter's state. The error names the peer; what came of it counts for nothing then.
  Result<void> heard(Span now, const SnapshotPart& part, Span uptime, Promises& promises,
                     Agreement& agreement, Effects& effects);
  /// As many as are needed have told everything.
  [[nodiscard]] bool complete() const { return running_ && done_.size() >= needed_; }
  void reincarnate(const VoterId& self);

 private:
  struct Progress {
    std::uint64_t nextPart = 0;
    Span heardAt{};
    bool asked = false;
    Span firstAskAgain{};  // until it is asked again for the first part
  };
  VoterId self_;
  bool running_ = false;
  VoterSet set_;
  std::size_t needed_ = 0;
  std::map<VoterId, Progress> progress_;
  std::set<VoterId> done_;
};

/// The other side: parts of this process's state for a voter that recovers, a bounded number at a time, so
/// that votes go on between them.
class SnapshotSender {
 public:
  /// Makes the snapshot for that peer now; an older one for it is dropped.
  void begin(const Address& to, Epoch epoch, const VoterId& self, const Promises& promises, Span uptime,
             const Agreement& agreement);
  /// The next parts for everyone.
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
