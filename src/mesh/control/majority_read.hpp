#pragma once

// Majority reads: ensure that the local items are at least as recent as everything that any majority had
// decided when the read began. Each voter reports the digest of its items and the orders that it has accepted
// and does not know to be decided. Differing items are fetched, and reported orders are brought to a decision
// first. Requests that arrive during a read share the next one. A state machine without I/O or a clock.

#include <cstdint>
#include <optional>
#include <set>
#include <vector>

#include "mesh/configuration/items.hpp"
#include "mesh/control/agreement.hpp"
#include "mesh/control/effects.hpp"
#include "mesh/control/voter_set.hpp"

namespace rackroute::mesh {

/// Runs one majority read at a time.
class MajorityRead {
 public:
  /// `items` and `agreement` must outlive this object.
  MajorityRead(const Items& items, Agreement& agreement) : items_(items), agreement_(agreement) {}

  /// Returns the number of the read that serves a request made now. The read is complete once lastCompleted()
  /// returns that number or a higher one.
  std::uint64_t request(Span now, const VoterSet& set, Effects& effects);
  /// Installs a voter set; the read in progress restarts in it.
  void setVoters(Span now, const VoterSet& set, Effects& effects);
  /// Repeats the requests after a voter's session was re-established, as messages may have been lost with the
  /// old one.
  void voterReconnected(Span now, Effects& effects);
  void handle(Span now, const ReadReply& reply, Effects& effects);
  /// All items requested from the voter for this read have been merged.
  void itemsMerged(const Address& from, std::uint64_t read);
  /// Number of the latest completed read.
  [[nodiscard]] std::uint64_t lastCompleted() const { return lastCompleted_; }
  /// Completes the read in progress if possible, starts the next one, and repeats requests that were not
  /// answered. Must be called after each relevant input and at each tick.
  void advance(Span now, Effects& effects);

 private:
  void start(Span now, Effects& effects);
  void resetProgress();
  void sendRequest(Span now, Effects& effects);

  const Items& items_;
  Agreement& agreement_;
  VoterSet set_;
  std::uint64_t lastStarted_ = 0;  // number of the last read that was started
  std::uint64_t current_ = 0;      // 0 if none is in progress
  std::uint64_t lastCompleted_ = 0;
  bool nextRequested_ = false;  // a request waits for the next read
  Span requestedAt_{};
  Span retryInterval_{};                 // time between repeated requests
  std::set<Address> fetching_;           // voters from which newer items were requested
  std::optional<VoteCount> upToDate_;    // voters whose items are known to be merged here
  std::vector<AcceptedOrder> accepted_;  // must be decided before the read completes
};

}  // namespace rackroute::mesh
