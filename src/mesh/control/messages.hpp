#pragma once

// The messages of the control plane, between control processes and with sidecars: typed, each with one
// encoding. They are contracts between the parts and decide nothing. A message that can't be decoded is
// refused whole, with an error that names the step; nothing of it is taken.

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

/// Of the messages below; processes with another one do not talk to each other.
inline constexpr std::uint32_t kMessageFormat = 2;

// --- agreement on orders (agreement.hpp says how)

/// Orders the attempts to have something agreed on. Attempts of two proposers never compare equal. The
/// round's high bits are the epoch (ballot_rounds.hpp), so that every ballot of an epoch is above those of
/// the epochs before.
struct Ballot {
  std::uint64_t round = 0;
  Incarnation proposer;
  auto operator<=>(const Ballot&) const = default;
};

/// One version of one item: what exactly one value is ever agreed on for.
struct RegisterId {
  ItemKey item;
  Generation version;
  auto operator<=>(const RegisterId&) const = default;
};
/// The register that an item is a value for.
RegisterId registerOf(const Item& item);

/// One call of an operator: its items come into force together or not at all. Equal calls are equal orders,
/// whichever process took them.
struct Order {
  std::uint64_t id = 0;  // hash of the items
  std::vector<Item> items;
};
using OrderPtr = std::shared_ptr<const Order>;
/// Computes the prints of the items, where they lack one, and the id.
OrderPtr makeOrder(std::vector<Item> items);
/// Whether it is about the set of voters, and so holds nothing of the configuration.
bool isVoterSet(const Order& order);
/// More time for a step of an order's agreement than a small one needs: a slow process reads, writes and
/// sends that many items in about that time. Guards against ballots that are begun anew, with all items sent
/// again, while the one before is still at work.
Span timeForSize(std::size_t items);

struct AcceptedOrder {
  Ballot ballot;
  OrderPtr order;
};
/// A register that is decided, with the print of its value. Print 0: it is so old that the print is
/// forgotten; whatever is proposed for it has no effect.
struct DecidedRegister {
  RegisterId id;
  std::uint64_t print = 0;
};

struct Prepare {
  Ballot ballot;
  Epoch epoch;
  std::vector<RegisterId> registers;
};
struct PrepareReply {
  Ballot ballot;  // of the request
  Epoch epoch;
  VoterId voter;
  bool granted = false;
  Ballot promised;                       // refused: the highest that was promised
  std::vector<AcceptedOrder> accepted;   // undecided orders that hold any of the registers, or a later one
  std::vector<DecidedRegister> decided;  // of the registers, and the latest version of each that is overtaken
  std::vector<Item> standing;            // items in force at the names of decided registers
};
struct Accept {
  Ballot ballot;
  Epoch epoch;
  OrderPtr order;
  /// Voters have accepted it before, and it may be decided: no voter may hold it up for what it would rather
  /// have. Processes that came before this field leave it out.
  bool mayBeDecided = false;
};
struct AcceptReply {
  Ballot ballot;
  Epoch epoch;
  VoterId voter;
  bool granted = false;
  Ballot promised;
  std::vector<DecidedRegister> decided;
  std::vector<Item> standing;
};
/// A majority has accepted the order: it is in force.
struct Decided {
  OrderPtr order;
  /// Later versions of its items that are decided: these items have no effect, and whoever lacks a later one
  /// must not bring them into force. Earlier processes leave it out.
  std::vector<DecidedRegister> later = {};
};

// --- sessions

struct Hello {
  std::uint32_t format = kMessageFormat;
  bool control = false;  // a control process; else a sidecar
  NodeName node;
  LifeNo life;
  Address at;
  Incarnation incarnation;  // control only
  bool founder = false;     // control only: may agree on the first set
  bool holdsState = false;  // control only: it has lost nothing that it promised
};
struct Welcome {
  std::uint32_t format = kMessageFormat;
  VoterId self;
  bool founder = false;
  bool holdsState = false;
  std::string zone;
  std::vector<Address> controls;  // all known control processes
  VoterSet voters;
  LifeNo highestLife;  // known of the node that said hello; a life below it is older by its clock only
  LifeNo life = {};    // of who answers; earlier processes leave it out
};
struct Heartbeat {
  std::uint64_t sequence = 0;  // of this sender to this receiver's process
  std::uint64_t echo = 0;      // the highest sequence that came from the receiver
  Epoch epoch;                 // control only, as all below
  std::uint64_t digest = 0;    // of the items that are on the sender's disk
  bool holdsState = false;     // it may vote: it lacks nothing that it promised or had to read
  bool settled = false;        // in touch with a majority, and has read from one since
  std::size_t members = 0;     // sidecars that are heard anywhere, or were a short while ago
};
struct ControlAddresses {
  std::vector<Address> list;
};
struct VotersUpdate {
  VoterSet voters;
};

// --- the configuration

struct ItemsRequest {
  nlohmann::json versions;  // as Items::versions() gives them
  std::uint64_t read = 0;   // not 0: part of that read of a majority
  bool confirmed = false;   // of a sidecar: answer once a majority has confirmed that nothing newer stands
};
struct ItemsReply {
  std::size_t part = 0;
  std::size_t parts = 1;
  std::uint64_t read = 0;
  bool holdsState = true;
  bool confirmed = false;  // a majority has confirmed it
  std::vector<Item> items;
  [[nodiscard]] bool last() const { return part + 1 >= parts; }
};
/// A read of a majority: who answers tells what it has accepted and not seen decided, too.
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

struct RegistryUpdate {  // between control processes
  std::vector<std::pair<NodeName, bool>>
      nodes;  // sessions of the sender with sidecars, and whether they stand
  std::vector<ServerStatus> servers;
  std::vector<InstanceId> replaced = {};  // the codec's: those of `servers` that are
};
struct ServersUpdate {  // between a control process and a sidecar, both ways
  std::vector<ServerStatus> servers;
  std::vector<InstanceId> replaced = {};  // the codec's: those of `servers` that are
  /// Of a sidecar, not 0: the same number is to come back as `recorded` once what these servers said of their
  /// leaving is on disk. Earlier processes leave both out.
  std::uint64_t record = 0;
  std::uint64_t recorded = 0;
};
struct Follow {
  std::vector<ServiceName> services;
};

// --- claims on keys

struct ClaimRequest {
  Epoch epoch;  // in which the claimer counts; a voter of another one does not vote
  Address at;   // of the claimer
  std::vector<std::pair<ClaimNo, KeyHash>> claims;
};
struct ReleaseRequest {  // the claims never ran and never will
  Address at;
  std::vector<std::pair<ClaimNo, KeyHash>> claims;
};
struct Vote {
  ClaimNo claim;
  std::optional<Holder> holder;  // none: granted
};
struct Votes {
  Epoch epoch;
  VoterId voter;
  std::vector<Vote> votes;
};

// --- recovery of a voter

/// Of a voter that must read before it votes in this epoch.
struct SnapshotRequest {
  Epoch epoch;
};
struct SnapshotPart {
  Epoch epoch;  // of the sender, which votes in no earlier one any more
  VoterId voter;
  std::uint64_t part = 0;
  bool last = false;
  std::vector<std::uint8_t> promises;    // as promise_snapshot.hpp has it; compact and binary
  std::vector<AcceptedOrder> accepted;   // in the last part
  std::vector<DecidedRegister> decided;  // in the last part
};

using Message =
    std::variant<Hello, Welcome, Heartbeat, ControlAddresses, VotersUpdate, Prepare, PrepareReply, Accept,
                 AcceptReply, Decided, ItemsRequest, ItemsReply, ReadRequest, ReadReply, RegistryUpdate,
                 ServersUpdate, Follow, ClaimRequest, ReleaseRequest, Votes, SnapshotRequest, SnapshotPart>;

/// One line of text, without its end. ItemsReply goes through itemsReplies() instead, which shares its text.
std::string encode(const Message& message);
/// The error names the kind of message, or that it is of none.
Result<Message> decode(const nlohmann::json& text);
/// The replies that carry these items, a bounded number each; one without items, if there are none.
std::vector<std::shared_ptr<const std::string>> itemsReplies(const ItemsReply& head,
                                                             const std::vector<Item>& items);
/// The name of a message's kind, for logs and counts.
std::string_view kindOf(const Message& message);

nlohmann::json toJson(const VoterSet& set);
/// Throws nlohmann's exceptions for what no process of the mesh sends.
VoterSet voterSetFrom(const nlohmann::json& from);

}  // namespace rackroute::mesh
