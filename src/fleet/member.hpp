#pragma once

// Data types of the fleet membership protocol, and the precedence between two states of a member. No I/O and
// no clock.

#include <compare>
#include <cstdint>
#include <memory>
#include <string>
#include <string_view>
#include <tuple>
#include <vector>

#include "rackroute/types.hpp"

namespace rackroute::fleet {

/// Identifies a member by its name, equally at every other member; 0 means none.
using MemberId = Id<struct MemberTag, std::uint64_t>;

/// The 64-bit FNV-1a hash of the name.
[[nodiscard]] constexpr MemberId memberId(std::string_view name) {
  std::uint64_t value = 0xcbf29ce484222325U;
  for (const char c : name) value = (value ^ static_cast<unsigned char>(c)) * 0x100000001b3U;
  return {value == 0 ? 1 : value};
}

/// Whether names, zones and addresses may contain the character: printable ASCII other than spaces and the
/// characters that JSON or a log line escapes.
[[nodiscard]] constexpr bool isPlain(char c) { return c > ' ' && c <= '~' && c != '"' && c != '\\'; }

/// Properties of a member that stay the same while its process runs.
struct MemberInfo {
  std::string name;
  std::string address;  // where other members reach it, such as "127.0.0.1:7946"
  std::string zone;
};
using MemberInfoPtr = std::shared_ptr<const MemberInfo>;

/// Orders the states of one name: the start of its process, then how often that process has refuted a
/// suspicion or a death.
struct MemberVersion {
  std::uint64_t start = 0;  // Unix time in ms by its own clock, raised above any start known to others
  std::uint32_t incarnation = 0;
  auto operator<=>(const MemberVersion&) const = default;
};

/// Ordered by precedence within one start and incarnation: a later state overrides an earlier one.
enum class State : std::uint8_t { alive, suspect, dead, left };
[[nodiscard]] std::string_view nameOf(State state);

/// One member's state as reported by some member.
struct MemberUpdate {
  MemberInfoPtr info;
  MemberId id;
  MemberVersion version;
  State state = State::alive;
  Span age{};        // for dead and left: time since then
  MemberId accuser;  // for suspect: the member that reported it
};

/// Whether the first state takes precedence over the second. The order is total, so views converge however
/// updates are reordered, duplicated or lost.
[[nodiscard]] inline bool overrides(const MemberVersion& version, State state, const MemberVersion& current,
                                    State currentState) {
  return std::tie(version, state) > std::tie(current, currentState);
}

/// Upper bound on the bytes that the update takes in a message.
[[nodiscard]] inline std::size_t maxEncodedSize(const MemberUpdate& update) {
  constexpr std::size_t kFieldOverhead = 48;  // the largest encoding of numbers, keys and lengths
  return update.info->name.size() + update.info->address.size() + update.info->zone.size() + kFieldOverhead;
}

/// How much of the fleet a member can reach: all of it, part of it, or none.
enum class Connectivity : std::uint8_t { full, partial, isolated };
[[nodiscard]] std::string_view nameOf(Connectivity connectivity);

/// SWIM's message types; gossip only carries updates.
enum class MessageKind : std::uint8_t { ping, ack, pingRequest, nack, gossip };

/// One datagram between members.
struct Message {
  MessageKind kind = MessageKind::gossip;
  std::uint32_t probeNumber = 0;  // echoed in replies, to match them to the probe
  MemberId subject;               // ping: the intended receiver, if any; otherwise: the member that is probed
  MemberUpdate self;              // the sender
  std::uint64_t digest = 0;       // of the sender's view
  std::vector<MemberUpdate> updates;
};

/// Members are hashed into buckets by id; an exchange transfers only the buckets whose digests differ.
inline constexpr std::size_t kDigestBuckets = 64;
[[nodiscard]] constexpr std::size_t bucketOf(MemberId id) { return id.value >> 58U; }
/// One digest for each bucket. Empty if unknown, which requests the entire view.
using BucketDigests = std::vector<std::uint64_t>;

/// A view, or the buckets of it that differ, as sent over a connection during an exchange.
struct ViewMessage {
  MemberUpdate self;
  std::uint64_t digest = 0;
  std::vector<MemberUpdate> updates;
  BucketDigests bucketDigests;  // of the sender's entire view
};

}  // namespace rackroute::fleet
