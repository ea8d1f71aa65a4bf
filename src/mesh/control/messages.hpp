#pragma once

// The messages between control processes and between control processes and sidecars. Each message type has
// exactly one encoding. A message that cannot be decoded is rejected as a whole, with an error that names the
// failed step.

#include <cstdint>
#include <memory>
#include <nlohmann/json.hpp>
#include <optional>
#include <string>
#include <utility>
#include <variant>
#include <vector>

#include "mesh/claims/claims.hpp"
#include "mesh/configuration/error.hpp"
#include "mesh/configuration/items.hpp"
#include "mesh/control/voter_set.hpp"
#include "mesh/registry/registry_messages.hpp"

namespace rackroute::mesh {

/// Version of the message format. Processes with different versions do not communicate.
inline constexpr std::uint32_t kMessageFormat = 2;

// --- agreement on orders (see agreement.hpp)

/// Ballot number of an agreement attempt. Ballots of different proposers are never equal. The high bits of
/// the round contain the epoch (ballot_rounds.hpp), so every ballot of an epoch is higher than those of
/// earlier epochs.
struct Ballot {
  std::uint64_t round = 0;
  Incarnation proposer;
  auto operator<=>(const Ballot&) const = default;
};

/// One version of one item. At most one value is decided per register.
struct RegisterId {
  ItemKey item;
  Generation version;
  auto operator<=>(const RegisterId&) const = default;
};
/// The register for which the item is a value.
RegisterId registerOf(const Item& item);

/// A set of items proposed by one operator call, which take effect together or not at all. Calls with equal
/// items result in equal orders, regardless of the process that received them.
struct Order {
  std::uint64_t id = 0;  // computed from the hashes of the items
  std::vector<Item> items;
};
using OrderPtr = std::shared_ptr<const Order>;
/// Creates an order: computes missing item hashes and the id.
OrderPtr makeOrder(std::vector<Item> items);
/// Whether the order contains a voter set; such an order contains no configuration items.
bool isVoterSetOrder(const Order& order);
/// Extra time per agreement step for large orders: roughly the time in which a slow process reads, writes and
/// sends that many items. Prevents a ballot from being retried, and all items from being sent again, while
/// the previous one is still being processed.
Span extraTimeFor(std::size_t items);

/// An order with the ballot at which it was accepted.
struct AcceptedOrder {
  Ballot ballot;
  OrderPtr order;
};
/// A decided register and the hash of its value. Hash 0 means that the decision has expired
/// from the history; proposing a value for the register has no effect.
struct DecidedRegister {
  RegisterId id;
  std::uint64_t hash = 0;
};

/// Phase 1 of a ballot: requests promises for the registers.
struct Prepare {
  Ballot ballot;
  Epoch epoch;
  std::vector<RegisterId> registers;
};
/// A voter's promise or refusal.
struct PrepareReply {
  Ballot ballot;  // ballot of the request
  Epoch epoch;
  VoterId voter;
  bool granted = false;
  Ballot promised;  // if refused: the highest ballot promised or accepted
  /// Undecided orders that contain any of the registers or a later version of their items.
  std::vector<AcceptedOrder> accepted;
  /// Decisions for the registers, and later decided versions of their items.
  std::vector<DecidedRegister> decided;
  std::vector<Item> currentItems;  // current items with the names of the decided registers
};
/// Phase 2 of a ballot: asks to accept the order.
struct Accept {
  Ballot ballot;
  Epoch epoch;
  OrderPtr order;
  /// Some voters accepted the order before and it may be decided, so voters must not refuse it for reasons of
  /// their own. Earlier versions do not send this field.
  bool mayBeDecided = false;
};
/// A voter's acceptance or refusal; fields as in PrepareReply.
struct AcceptReply {
  Ballot ballot;
  Epoch epoch;
  VoterId voter;
  bool granted = false;
  Ballot promised;
  std::vector<DecidedRegister> decided;
  std::vector<Item> currentItems;
};
/// Announces that a majority has accepted the order and it is therefore decided.
struct Decided {
  OrderPtr order;
  /// Later decided versions of the order's items, which supersede those items. A receiver that lacks one of
  /// the later versions must not apply them. Earlier versions do not send this field.
  std::vector<DecidedRegister> later = {};
};

// --- sessions

/// First message of a session, from the process that opened it.
struct Hello {
  std::uint32_t format = kMessageFormat;
  bool control = false;  // true for a control process, false for a sidecar
  NodeName node;
  LifeNo life;
  Address at;
  Incarnation incarnation;  // control only
  bool founder = false;     // control only: may take part in agreeing on the first set
  bool holdsState = false;  // control only: none of its promises is lost
};
/// A control process's reply to Hello.
struct Welcome {
  std::uint32_t format = kMessageFormat;
  VoterId self;
  bool founder = false;
  bool holdsState = false;
  std::string zone;
  std::vector<Address> controls;  // all known control processes
  VoterSet voters;
  LifeNo highestLife;  // highest life known for the greeted node, by that node's clock
  LifeNo life = {};    // life of the responder; not sent by earlier versions
};
/// Sent periodically in each session, in both directions.
struct Heartbeat {
  std::uint64_t sequence = 0;  // per sender and receiving process
  std::uint64_t echo = 0;      // highest sequence received from the receiver
  Epoch epoch;                 // control only, like all fields below
  std::uint64_t digest = 0;    // digest of the items on the sender's disk
  bool holdsState = false;     // it may vote: no promise is lost and all required reads are complete
  bool settled = false;        // it holds the majority lease and has completed a majority read since
  std::size_t members = 0;     // sidecars that are or recently were connected to any control process
};
/// Addresses of all known control processes.
struct ControlAddresses {
  std::vector<Address> list;
};
/// Announces a voter set.
struct VotersUpdate {
  VoterSet voters;
};

// --- the configuration

/// Requests the items that are newer than the given versions.
struct ItemsRequest {
  nlohmann::json versions;  // in the format of Items::versions()
  std::uint64_t read = 0;   // not 0: request belongs to that majority read
  bool confirmed = false;   // sidecar only: reply after a majority has confirmed that there is nothing newer
};
/// One part of the requested items.
struct ItemsReply {
  std::size_t part = 0;
  std::size_t parts = 1;
  std::uint64_t read = 0;
  bool holdsState = true;
  bool confirmed = false;  // a majority has confirmed that the items are current
  std::vector<Item> items;
  [[nodiscard]] bool last() const { return part + 1 >= parts; }
};
/// Request of a majority read. The reply also reports orders that the voter has accepted and does not know to
/// be decided.
struct ReadRequest {
  std::uint64_t read = 0;
  Epoch epoch;
};
struct ReadReply {
  std::uint64_t read = 0;
  Epoch epoch;
  VoterId voter;
  std::uint64_t digest = 0;
  std::vector<AcceptedOrder> accepted;
};

// --- servers

struct RegistryUpdate {  // exchanged between control processes
  /// Sidecars known to the sender, and whether their sessions are up.
  std::vector<std::pair<NodeName, bool>> nodes;
  std::vector<ServerStatus> servers;
  std::vector<InstanceId> replaced = {};  // used by the codec only: replaced ones among `servers`
};
struct ServersUpdate {  // exchanged between a control process and a sidecar in both directions
  std::vector<ServerStatus> servers;
  std::vector<InstanceId> replaced = {};  // used by the codec only: replaced ones among `servers`
  /// Sent by a sidecar if not 0: the number is returned as `recorded` once the departures reported for these
  /// servers are on disk. Earlier versions send neither field.
  std::uint64_t record = 0;
  std::uint64_t recorded = 0;
};
/// Sent by a sidecar: the services whose servers it wants to receive.
struct Subscribe {
  std::vector<ServiceName> services;
};

// --- claims on keys

/// Asks the voters to grant claims on operation keys.
struct ClaimRequest {
  Epoch epoch;  // current epoch of the claimer; a voter in another epoch does not vote
  Address at;   // address of the claimer
  std::vector<std::pair<ClaimNo, KeyHash>> claims;
};
struct ReleaseRequest {  // the claimed operations never ran and never will
  Address at;
  std::vector<std::pair<ClaimNo, KeyHash>> claims;
};
/// A voter's answer to one claim.
struct Vote {
  ClaimNo claim;
  std::optional<Holder> holder;  // empty if the claim was granted
};
/// A voter's answers to a ClaimRequest.
struct Votes {
  Epoch epoch;
  VoterId voter;
  std::vector<Vote> votes;
};

// --- recovery of a voter

/// Sent by a voter that must read before it votes in this epoch.
struct SnapshotRequest {
  Epoch epoch;
};
/// One part of a voter's state, in reply to SnapshotRequest.
struct SnapshotPart {
  Epoch epoch;  // epoch of the sender, which no longer votes in earlier ones
  VoterId voter;
  std::uint64_t part = 0;
  bool last = false;
  std::vector<std::uint8_t> promises;    // binary, as written by writeSnapshot()
  std::vector<AcceptedOrder> accepted;   // in the last part only
  std::vector<DecidedRegister> decided;  // in the last part only
};

using Message = std::variant<Hello, Welcome, Heartbeat, ControlAddresses, VotersUpdate, Prepare, PrepareReply,
                             Accept, AcceptReply, Decided, ItemsRequest, ItemsReply, ReadRequest, ReadReply,
                             RegistryUpdate, ServersUpdate, Subscribe, ClaimRequest, ReleaseRequest, Votes,
                             SnapshotRequest, SnapshotPart>;

/// Encodes a message as a single line without a line break. Use itemsReplies() for ItemsReply, as it shares
/// the serialized items.
std::string encode(const Message& message);
/// Decodes a message. The error names the message kind, if it is known.
Result<Message> decode(const nlohmann::json& text);
/// Returns the encoded replies for these items, with a bounded number of items each; a single empty reply if
/// there are none.
std::vector<std::shared_ptr<const std::string>> itemsReplies(const ItemsReply& head,
                                                             const std::vector<Item>& items);
/// Name of the message kind, for logs and counters.
std::string_view kindOf(const Message& message);

nlohmann::json toJson(const VoterSet& set);
/// Throws a nlohmann::json exception if the input is not a valid voter set.
VoterSet voterSetFrom(const nlohmann::json& from);

}  // namespace rackroute::mesh
