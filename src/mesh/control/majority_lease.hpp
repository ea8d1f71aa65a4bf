#pragma once

// Lease that shows whether this process is in contact with a majority of the voters. Each heartbeat echo
// extends the lease from the time at which the echoed heartbeat was sent, measured by this process's own
// steady clock. Other machines' clocks and wall-clock time do not matter, and a link that works in one
// direction only does not extend the lease.

#include <chrono>
#include <cstdint>
#include <deque>
#include <map>

#include "mesh/control/voter_set.hpp"

namespace rackroute::mesh {

/// Validity of an echoed heartbeat. Heartbeats are sent every 300 ms, so three may be lost or late. Sidecars
/// must leave an isolated control process within two seconds, which leaves 0.8 s to notify them and to
/// establish new sessions.
inline constexpr Span kMajorityLease = std::chrono::milliseconds(1200);

/// The lease of this process; see the file comment.
class MajorityLease {
 public:
  /// Returns the sequence number for the heartbeats sent now; it is the same for all recipients.
  std::uint64_t nextHeartbeat(Span now);
  /// Records the highest sequence number that a voter of the current epoch reports as received. Numbers that
  /// were not sent within the lease period are ignored.
  void recordEcho(const VoterId& voter, std::uint64_t sequence);
  /// Discards the voter's echoes after its incarnation or the voter set changed.
  void forget(const Address& voter);
  /// End of the lease for a process with identity `self`, which counts as one voter if it is in the set. A
  /// time in the past means that the lease is not held.
  [[nodiscard]] Span expiry(const VoterSet& set, const VoterId& self) const;
  [[nodiscard]] bool isHeld(Span now, const VoterSet& set, const VoterId& self) const {
    return now < expiry(set, self);
  }

 private:
  struct Sent {
    std::uint64_t sequence = 0;
    Span at{};
  };
  std::uint64_t lastSequence_ = 0;
  std::deque<Sent> sent_;  // within the lease period
  /// Send time of the latest heartbeat echoed by each voter, within the lease period. Keyed by incarnation,
  /// so that a late echo of an earlier incarnation does not affect the current one.
  std::map<VoterId, Span> echoes_;
};

}  // namespace rackroute::mesh
