#pragma once

// The queue of updates to piggyback on messages: at most one per member, each sent a bounded number of times,
// least often sent first. No I/O and no clock.

#include <cstddef>
#include <cstdint>
#include <map>
#include <set>
#include <tuple>
#include <vector>

#include "fleet/member.hpp"

namespace rackroute::fleet {

class GossipQueue {
 public:
  /// Queues an update, replacing any queued update of the same member.
  void add(const MemberUpdate& update);
  /// Takes the next updates that fit into maxBytes; each is dropped after maxTransmissions.
  [[nodiscard]] std::vector<MemberUpdate> next(std::size_t maxBytes, std::uint32_t maxTransmissions);
  [[nodiscard]] std::size_t size() const { return entries_.size(); }
  [[nodiscard]] bool empty() const { return entries_.empty(); }
  void clear();

 private:
  struct Entry {
    MemberUpdate update;
    std::uint32_t transmissions = 0;
    std::uint64_t order = 0;  // descending, so that newer updates go first among equals
  };
  using Key = std::tuple<std::uint32_t, std::uint64_t, MemberId>;
  std::map<MemberId, Entry> entries_;
  std::set<Key> queue_;
  std::uint64_t lastOrder_ = 0;
};

}  // namespace rackroute::fleet
