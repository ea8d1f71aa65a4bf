#pragma once

// Whether this process is in touch with a majority of the voters: a lease that each heartbeat's echo extends,
// from the moment at which the echoed heartbeat was sent, by this process's own steady clock alone. Clocks of
// other machines and the time of day do not matter, and a way that is cut in one direction gives no lease.

#include <chrono>
#include <cstdint>
#include <deque>
#include <map>

#include "mesh/control/voter_set.hpp"

namespace rackroute::mesh {

/// How long an echoed heartbeat counts. Heartbeats go out every 300 ms, so that three may be lost or late;
/// and sidecars are to leave a control process that was cut off within two seconds, of which this leaves 0.8
/// s for telling them and for their new sessions.
inline constexpr Span kContactLease = std::chrono::milliseconds(1200);

class MajorityContact {
 public:
  /// The number of the heartbeats sent now, the same to all.
  std::uint64_t sent(Span now);
  /// A voter of the epoch in force has told the highest number that came to it. Numbers that were not sent
  /// within the lease do not count.
  void echoed(const VoterId& voter, std::uint64_t sequence);
  /// Another incarnation or set: what was echoed before counts for nothing.
  void forget(const Address& voter);
  /// Until when it is in touch, as a member of that set; itself counts as one. In the past: it is not.
  [[nodiscard]] Span until(const VoterSet& set, const VoterId& self) const;
  [[nodiscard]] bool inTouch(Span now, const VoterSet& set, const VoterId& self) const {
    return now < until(set, self);
  }

 private:
  struct Sent {
    std::uint64_t sequence = 0;
    Span at{};
  };
  std::uint64_t lastSequence_ = 0;
  std::deque<Sent> sent_;  // within the lease
  /// When the heartbeat was sent that the voter echoed last; within the lease. By incarnation, so that a late
  /// echo of an earlier one takes nothing from the present one.
  std::map<VoterId, Span> echoes_;
};

}  // namespace rackroute::mesh
