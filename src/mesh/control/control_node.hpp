#pragma once

// The control process: holds the configuration, the registry of servers and the promises on operation keys,
// and pushes changes to sidecars. Combines the components for sessions, membership, agreement, majority
// reads, recovery, votes on keys, the registry and operators' calls. Takes inputs and returns what to send,
// write and answer; performs no I/O and reads no clock.
//
// Invariants: an order is not acknowledged, and an item is not pushed to a sidecar, before a majority of the
// voters has it on disk. The process does not vote while it may lack promises that it made or had to read,
// does not answer operators without contact with a majority, and reports only items that are on its disk.

#include <cstdint>
#include <deque>
#include <map>
#include <memory>
#include <nlohmann/json.hpp>
#include <set>
#include <string>
#include <string_view>
#include <vector>

#include "mesh/configuration/items.hpp"
#include "mesh/control/agreement.hpp"
#include "mesh/control/control_action.hpp"
#include "mesh/control/control_identity.hpp"
#include "mesh/control/durable_writes.hpp"
#include "mesh/control/key_voter.hpp"
#include "mesh/control/majority_lease.hpp"
#include "mesh/control/majority_read.hpp"
#include "mesh/control/membership.hpp"
#include "mesh/control/operator_calls.hpp"
#include "mesh/control/peer_sessions.hpp"
#include "mesh/control/registry_publisher.hpp"
#include "mesh/control/voter_recovery.hpp"

namespace rackroute::mesh {

/// Prefix of the store's keys of items.
inline constexpr const char* kItemKeyPrefix = "i/";
/// Prefix of the store's keys of servers that announced their departure.
inline constexpr const char* kDepartureKeyPrefix = "left/";

class ControlNode {
 public:
  struct Options {
    NodeName node;
    Address at;  // of this process's session listener
    std::string zone;
    LifeNo life;
    std::vector<Address> seeds;  // session addresses of control processes
    std::size_t founders = 1;    // number of control processes at the system's first start
    bool firstBoot = false;
    Span keyWindow{};
    std::uint64_t random = 0;  // entropy for the incarnation of a fresh disk
  };
  explicit ControlNode(Options options);

  /// Restores one entry of the store; to be called for each entry before start(). An error: the entry is
  /// unreadable. The process continues without its promises, as if the disk was lost.
  Result<void> restore(const std::string& key, const std::string& value);
  ControlActions start(Span now);
  ControlActions sessionAccepted(Span now, SessionNo session);
  /// A dial succeeded.
  ControlActions sessionEstablished(Span now, SessionNo session, const Address& at);
  ControlActions dialFailed(Span now, const Address& at);
  ControlActions sessionClosed(Span now, SessionNo session);
  /// Processes a message. A message that is refused has no effect and closes its session with a reason to
  /// log.
  ControlActions messageReceived(Span now, SessionNo session, const nlohmann::json& text);
  /// Part of a message was received, which keeps the session from timing out.
  void dataReceived(Span now, SessionNo session);
  ControlActions writeCompleted(Span now, BatchNo batch, bool done);
  ControlActions change(Span now, OperatorCallNo call, std::string_view body);
  ControlActions readBack(Span now, OperatorCallNo call);
  ControlActions tick(Span now);
  void setSeeds(const std::vector<Address>& seeds) { sessions_.setSeeds(seeds); }
  [[nodiscard]] static Span tickInterval();

  [[nodiscard]] const Items& items() const { return items_; }
  [[nodiscard]] const KeyVoter& keys() const { return keys_; }
  [[nodiscard]] const Membership& membership() const { return membership_; }
  /// Whether the state required of a voter is complete: no promise was lost, and recovery has finished.
  [[nodiscard]] bool holdsState() const { return identity_.holdsState; }
  /// Whether the process is in contact with a majority and has read from one since.
  [[nodiscard]] bool settled() const { return settled_; }

 private:
  /// Work that continues once a write is on disk.
  struct AfterWrite {
    std::vector<Envelope> envelopes;
    std::vector<std::pair<SessionNo, std::shared_ptr<const std::string>>> texts;
    std::optional<std::uint64_t> digest;  // of the items that are on disk after the write
    std::optional<Epoch> recovered;       // the set for which the write completes recovery
  };
  /// A read that is answered once the orders accepted here at its arrival are decided.
  struct WaitingRead {
    Address from;
    ReadRequest request;
    std::set<std::uint64_t> changes;  // orders with items that were accepted and undecided at its arrival
    Span until{};
  };
  /// A starting sidecar's request for items confirmed by a majority.
  struct ConfirmedRequest {
    SessionNo session;
    nlohmann::json versions;
    std::uint64_t read = 0;
  };

  // --- messages
  void send(SessionNo to, const Message& message, ControlActions& actions);
  void send(const Envelope& envelope, ControlActions& actions);
  void sendControls(const Message& message, ControlActions& actions);
  static Result<void> checkGreeting(const PeerSession& session, const Message& message);
  void dispatch(Span now, SessionNo from, const Message& message, ControlActions& actions);
  void handle(Span now, SessionNo from, const Hello& hello, ControlActions& actions);
  void handle(Span now, SessionNo from, const Welcome& welcome, ControlActions& actions);
  void handle(Span now, SessionNo from, const Heartbeat& heartbeat, ControlActions& actions);
  void handle(Span now, SessionNo from, const ControlAddresses& addresses, ControlActions& actions);
  void handle(Span now, SessionNo from, const VotersUpdate& update, ControlActions& actions);
  void handle(Span now, SessionNo from, const Prepare& prepare, ControlActions& actions);
  void handle(Span now, SessionNo from, const PrepareReply& reply, ControlActions& actions);
  void handle(Span now, SessionNo from, const Accept& accept, ControlActions& actions);
  void handle(Span now, SessionNo from, const AcceptReply& reply, ControlActions& actions);
  void handle(Span now, SessionNo from, const Decided& decided, ControlActions& actions);
  void handle(Span now, SessionNo from, const ItemsRequest& request, ControlActions& actions);
  void handle(Span now, SessionNo from, const ItemsReply& reply, ControlActions& actions);
  void handle(Span now, SessionNo from, const ReadRequest& request, ControlActions& actions);
  void handle(Span now, SessionNo from, const ReadReply& reply, ControlActions& actions);
  void handle(Span now, SessionNo from, const RegistryUpdate& update, ControlActions& actions);
  void handle(Span now, SessionNo from, const ServersUpdate& update, ControlActions& actions);
  void handle(Span now, SessionNo from, const Subscribe& follow, ControlActions& actions);
  void handle(Span now, SessionNo from, const ClaimRequest& request, ControlActions& actions);
  void handle(Span now, SessionNo from, const ReleaseRequest& request, ControlActions& actions);
  void handle(Span now, SessionNo from, const Votes& votes, ControlActions& actions);
  void handle(Span now, SessionNo from, const SnapshotRequest& request, ControlActions& actions);
  void handle(Span now, SessionNo from, const SnapshotPart& part, ControlActions& actions);

  // --- effects of the components
  void apply(Span now, Effects effects, ControlActions& actions);
  void write(std::vector<StoreEntry> entries, AfterWrite afterWrite, ControlActions& actions);
  static void submit(WriteBatch batch, ControlActions& actions);
  void publish(RegistryPublisher::Updates updates, ControlActions& actions);
  /// Records the announced departures among these servers; `then` is sent to the session once they are on
  /// disk.
  void recordDepartures(const std::vector<ServerStatus>& servers, SessionNo session,
                        std::shared_ptr<const std::string> then, ControlActions& actions);
  void push(const std::vector<Item>& items, ControlActions& actions);

  // --- the configuration
  std::vector<Item> merge(const std::vector<Item>& items, std::vector<StoreEntry>& entries);
  void applyItems(Span now, std::vector<Item> items, ControlActions& actions);
  void sendItems(SessionNo to, const nlohmann::json& versions, std::uint64_t read, bool confirmed,
                 ControlActions& actions);
  void requestItems(SessionNo from, ControlActions& actions);
  void answerConfirmed(ControlActions& actions);
  void answerReads(Span now, ControlActions& actions);

  // --- voters
  void adopt(Span now, const VoterSet& set, Effects& effects);
  void reincarnate(Effects& effects);
  void recoveryWritten(Epoch epoch);
  [[nodiscard]] Incarnation freshIncarnation(std::uint64_t round) const;
  void sendVoters(ControlActions& actions);
  void foundersChanged(Span now, ControlActions& actions);
  void proposeSet(Span now, ControlActions& actions);
  void finishRecovery(ControlActions& actions);
  void updateVoting();
  [[nodiscard]] bool mayVote() const;
  [[nodiscard]] bool maySendSnapshot() const;
  bool sameEpoch(SessionNo from, Epoch epoch, ControlActions& actions);
  [[nodiscard]] Address addressOf(SessionNo session) const;

  void closeSession(Span now, SessionNo session, ControlActions& actions, std::string reason = {});
  void removeSession(Span now, SessionNo session, ControlActions& actions);
  void dial(Span now, ControlActions& actions);
  void heartbeatControls(Span now, ControlActions& actions);
  void heartbeatSidecars(Span now, ControlActions& actions);
  void updateSettled(Span now, ControlActions& actions);
  /// Completes an input: delivers local messages, answers finished reads and updates the settled state.
  void finishInput(Span now, ControlActions& actions);
  [[nodiscard]] Heartbeat status(Span now) const;

  Options options_;
  VoterId self_;
  ControlIdentity identity_;
  bool identityRead_ = false;
  bool legacyMark_ = false;              // the store has the format without epochs, and its state is complete
  bool stateLost_ = false;               // an entry of the store could not be read
  bool heldStateInPreviousSet_ = false;  // its state was complete in the epoch before the current one
  bool reconnectControls_ = false;       // the identity changed: sessions with control processes must restart
  Items items_;
  KeyVoter keys_;
  Membership membership_;
  MajorityLease contact_;
  Agreement agreement_;
  MajorityRead reads_;
  VoterRecovery recovery_;
  SnapshotSender snapshots_;
  OperatorCalls operators_;
  RegistryPublisher registry_;
  PeerSessions sessions_;
  DurableWrites<AfterWrite> writes_;
  std::deque<Message> local_;  // messages to this process itself
  std::vector<ConfirmedRequest> confirmed_;
  std::vector<WaitingRead> waitingReads_;
  std::uint64_t durableDigest_ = 0;  // of the items on disk
  /// All items, encoded for sidecars that start without any.
  std::vector<std::shared_ptr<const std::string>> allItems_;
  std::uint64_t allItemsDigest_ = 0;
  bool settled_ = false;
  bool inContact_ = false;
  std::uint64_t contactRead_ = 0;  // the read that began when contact with a majority was regained
  Span controlHeartbeatAt_{};
  Span sidecarHeartbeatAt_{};
  Span sweepAt_{};
  bool votersChanged_ = false;      // the new set is to be sent to sidecars
  bool heartbeatNow_ = false;       // the contents of heartbeats have changed
  std::uint64_t incarnations_ = 0;  // incarnations taken in this run of the process
  Span now_{};
  std::optional<std::uint64_t> recoveryBatch_{};  // the write of the state that recovery has read
};

}  // namespace rackroute::mesh
