#pragma once

// Reads of a majority: makes sure that the items held here are no older than what any majority had decided
// when the read began. Each voter that answers tells the digest of its items, and the orders that it accepted
// and does not know to be decided; items that differ are fetched, and such orders are brought to a decision
// first. Reads asked for while one is under way share the next one. A state machine without I/O or clock.

#include <cstdint>
#include <optional>
#include <set>
#include <vector>

#include "mesh/configuration/items.hpp"
#include "mesh/control/agreement.hpp"
#include "mesh/control/effects.hpp"
#include "mesh/control/voter_set.hpp"

namespace rackroute::mesh {

class MajorityRead {
 public:
  /// Both must outlive it.
  MajorityRead(const Items& items, Agreement& agreement) : items_(items), agreement_(agreement) {}

  /// The read that will answer who asks now; it is over once `finished` tells its number or a higher one.
  std::uint64_t join(Span now, const VoterSet& set, Effects& effects);
  /// Another set: the read under way begins anew in it.
  void voters(Span now, const VoterSet& set, Effects& effects);
  /// A voter is reached again: what was asked of it, or what it answered, may have been lost with its
  /// session.
  void reached(Span now, Effects& effects);
  void heard(Span now, const ReadReply& reply, Effects& effects);
  /// The last of the items that were asked of it have been merged.
  void fetched(const Address& from, std::uint64_t read);
  /// The highest read that is over.
  [[nodiscard]] std::uint64_t finished() const { return finished_; }
  /// Looks whether the read under way is over, begins the next one, asks again where nobody answered. To be
  /// called after each input that may matter, and at each tick.
  void advance(Span now, Effects& effects);

 private:
  void begin(Span now, Effects& effects);
  void beginCount();
  void ask(Span now, Effects& effects);

  const Items& items_;
  Agreement& agreement_;
  VoterSet set_;
  std::uint64_t last_ = 0;     // handed out
  std::uint64_t running_ = 0;  // 0: none
  std::uint64_t finished_ = 0;
  bool wanted_ = false;  // somebody waits for the next one
  Span askedAt_{};
  Span askAgain_{};                      // from one time that all are asked to the next
  std::set<Address> fetching_;           // voters that were asked for what is newer there
  std::optional<VoteCount> count_;       // voters whose items are held here
  std::vector<AcceptedOrder> accepted_;  // to be decided before the read is over
};

}  // namespace rackroute::mesh
