#pragma once

// Whether this process is in touch with a majority of the voters: a lease that each heartbeat's echo extends,
// from the moment at which the echoed heartbeat was sent, by this process's own steady clock alone. Clocks of
// other machines and the time of day do not matter, and a way that is cut in one direction gives no lease.

#include <cstdint>
#include <deque>
#include <map>

#include "mesh/control/voter_set.hpp"

namespace rackroute::mesh {

class MajorityContact {
 public:
  /// The number of the heartbeats sent now, the same to all.
  std::uint64_t sent(Span now);
  /// A voter has told the highest number that came to it.
  void echoed(const VoterId& voter, std::uint64_t sequence);
  /// Another incarnation or set: what was echoed before counts for nothing.
  void forget(const Address& voter);
  /// Until when it is in touch, as a member of that set; itself counts as one. In the past: it is not.
  [[nodiscard]] Span until(const VoterSet& set, const VoterId& self) const;
  [[nodiscard]] bool inTouch(Span now, const VoterSet& set, const VoterId& self) const {
    return now < until(set, self);
  }

 private:
  // (the implementer fills this in)
};

}  // namespace rackroute::mesh
