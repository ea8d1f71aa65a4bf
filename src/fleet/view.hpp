#pragma once

// One member's records of the others. Decides which update replaces a record; probing, gossip and timeouts
// are left to Membership. No I/O and no randomness.

#include <array>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <vector>

#include "fleet/member.hpp"

namespace rackroute::fleet {

/// What is known of another member.
struct MemberRecord {
  MemberInfoPtr info;
  MemberId id;
  MemberVersion version;
  State state = State::alive;
  Span since{};  // time of the last change of state
};

class View {
 public:
  /// Members beyond maxMembers are not added. The retentions bound how long dead members and members that
  /// left are kept.
  View(std::size_t maxMembers, Span deadRetention, Span leftRetention);

  /// added: new, or alive again after it was dead or had left; full: not added for lack of space.
  enum class ApplyResult { ignored, added, changed, full };
  /// Applies an update if it overrides the current record.
  ApplyResult apply(Span now, const MemberUpdate& update);
  [[nodiscard]] const MemberRecord* find(MemberId id) const;
  /// Ordered by id.
  [[nodiscard]] const std::vector<MemberRecord>& all() const { return members_; }
  /// Removes members whose retention has passed; dead ones only if includeDead is set.
  void removeExpired(Span now, bool includeDead);

  [[nodiscard]] std::size_t count(State state) const { return counts_[static_cast<std::size_t>(state)]; }
  /// Alive or suspect.
  [[nodiscard]] std::size_t liveCount() const { return count(State::alive) + count(State::suspect); }
  /// Members that may be running, including those thought dead: decreases when a member leaves, or when a
  /// dead one is removed.
  [[nodiscard]] std::size_t possiblyRunning() const { return liveCount() + count(State::dead); }
  /// Equal at two members that consider the same members alive or suspect, with the same versions.
  [[nodiscard]] std::uint64_t digest() const { return digest_; }
  /// The digest of each bucket.
  [[nodiscard]] const std::array<std::uint64_t, kDigestBuckets>& bucketDigests() const {
    return bucketDigests_;
  }
  [[nodiscard]] static std::uint64_t digestOf(MemberId id, const MemberVersion& version);

 private:
  [[nodiscard]] bool expired(Span now, State state, Span since) const;
  void count(const MemberRecord& member, bool added);

  std::size_t maxMembers_;
  Span deadRetention_;
  Span leftRetention_;
  std::vector<MemberRecord> members_;
  std::size_t counts_[4] = {};
  std::uint64_t digest_ = 0;
  std::array<std::uint64_t, kDigestBuckets> bucketDigests_{};
};

}  // namespace rackroute::fleet
