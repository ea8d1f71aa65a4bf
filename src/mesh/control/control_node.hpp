#pragma once

// The control process: holds the configuration, the registry of servers and promises on keys, and brings news
// to sidecars. It puts the parts together: sessions, membership, agreement, reads, recovery, votes on keys,
// servers, operators' calls; it takes inputs and returns what to send, write and answer, with no I/O and no
// clock.
//
// It must never acknowledge an order, nor push an item to a sidecar, before a majority of the voters has it
// on disk; never vote while it may lack promises that it made or had to read; never answer an operator when
// it is not in touch with a majority; and never tell of anything as held that is not on its disk.

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
#include "mesh/control/server_news.hpp"
#include "mesh/control/voter_recovery.hpp"

namespace rackroute::mesh {

/// The store's key of items.
inline constexpr const char* kItemKey = "i/";
/// The store's key of what servers said of their leaving.
inline constexpr const char* kDepartureKey = "left/";

class ControlNode {
 public:
  struct Built {
    NodeName node;
    Address at;  // of the mesh's sessions here
    std::string zone;
    LifeNo life;
    std::vector<Address> seeds;  // of the mesh's sessions
    std::size_t founders = 1;    // control processes that the system's first start has
    bool firstBoot = false;
    Span keyWindow{};
    std::uint64_t random = 0;  // drawn by whoever starts the process; for a fresh disk's incarnation
  };
  explicit ControlNode(Built built);

  /// One entry of what the disk holds; to be called for each, before start(). An error: the entry can't be
  /// read; the process goes on without what it promised, as if the disk was lost.
  Result<void> restore(const std::string& key, const std::string& value);
  ControlActions start(Span now);
  ControlActions came(Span now, SessionNo session);                        // somebody dialled
  ControlActions reached(Span now, SessionNo session, const Address& at);  // a dial came up
  ControlActions unreached(Span now, const Address& at);                   // it did not
  ControlActions ended(Span now, SessionNo session);
  /// A message that is refused ends its session, with the reason to be logged; nothing of it is taken.
  ControlActions heard(Span now, SessionNo session, const nlohmann::json& text);
  /// Bytes of a message that is not whole yet.
  void alive(Span now, SessionNo session);
  ControlActions written(Span now, BatchNo batch, bool done);
  ControlActions change(Span now, OperatorCallNo call, std::string_view body);
  ControlActions readBack(Span now, OperatorCallNo call);
  ControlActions tick(Span now);
  void seeds(const std::vector<Address>& seeds) { sessions_.seeds(seeds); }
  [[nodiscard]] static Span tickEvery();

  [[nodiscard]] const Items& items() const { return items_; }
  [[nodiscard]] const KeyVoter& keys() const { return keys_; }
  [[nodiscard]] const Membership& membership() const { return membership_; }
  /// It may vote: it lost nothing that it promised, and has read what it must.
  [[nodiscard]] bool holdsState() const { return identity_.holdsState; }
  /// In touch with a majority, and has read from one since.
  [[nodiscard]] bool settled() const { return settled_; }

 private:
  struct Waiting {  // for a write
    std::vector<Envelope> envelopes;
    std::vector<std::pair<SessionNo, std::shared_ptr<const std::string>>> texts;
    std::optional<std::uint64_t> digest;  // of the items that are on disk then
    std::optional<Epoch> recovered;       // the state that was read for that set is on disk then
  };
  struct WaitingRead {  // of a reader that is answered once what was accepted here when it asked is decided
    Address from;
    ReadRequest request;
    std::set<std::uint64_t> changes;  // orders with items, accepted and undecided then
    Span until{};
  };
  struct ConfirmedRequest {  // of a sidecar that starts
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
  void take(Span now, SessionNo from, const Hello& hello, ControlActions& actions);
  void take(Span now, SessionNo from, const Welcome& welcome, ControlActions& actions);
  void take(Span now, SessionNo from, const Heartbeat& heartbeat, ControlActions& actions);
  void take(Span now, SessionNo from, const ControlAddresses& addresses, ControlActions& actions);
  void take(Span now, SessionNo from, const VotersUpdate& update, ControlActions& actions);
  void take(Span now, SessionNo from, const Prepare& prepare, ControlActions& actions);
  void take(Span now, SessionNo from, const PrepareReply& reply, ControlActions& actions);
  void take(Span now, SessionNo from, const Accept& accept, ControlActions& actions);
  void take(Span now, SessionNo from, const AcceptReply& reply, ControlActions& actions);
  void take(Span now, SessionNo from, const Decided& decided, ControlActions& actions);
  void take(Span now, SessionNo from, const ItemsRequest& request, ControlActions& actions);
  void take(Span now, SessionNo from, const ItemsReply& reply, ControlActions& actions);
  void take(Span now, SessionNo from, const ReadRequest& request, ControlActions& actions);
  void take(Span now, SessionNo from, const ReadReply& reply, ControlActions& actions);
  void take(Span now, SessionNo from, const RegistryUpdate& update, ControlActions& actions);
  void take(Span now, SessionNo from, const ServersUpdate& update, ControlActions& actions);
  void take(Span now, SessionNo from, const Subscribe& follow, ControlActions& actions);
  void take(Span now, SessionNo from, const ClaimRequest& request, ControlActions& actions);
  void take(Span now, SessionNo from, const ReleaseRequest& request, ControlActions& actions);
  void take(Span now, SessionNo from, const Votes& votes, ControlActions& actions);
  void take(Span now, SessionNo from, const SnapshotRequest& request, ControlActions& actions);
  void take(Span now, SessionNo from, const SnapshotPart& part, ControlActions& actions);

  // --- what the parts want done
  void apply(Span now, Effects effects, ControlActions& actions);
  void write(std::vector<StoreEntry> entries, Waiting waiting, ControlActions& actions);
  static void submit(WriteBatch batch, ControlActions& actions);
  void publish(ServerNews::Out out, ControlActions& actions);
  /// Writes what these servers said of their leaving; `then` is sent to the session once it is on disk.
  void recordDepartures(const std::vector<News>& servers, SessionNo session,
                        std::shared_ptr<const std::string> then, ControlActions& actions);
  void push(const std::vector<Item>& items, ControlActions& actions);

  // --- the configuration
  std::vector<Item> merge(const std::vector<Item>& items, std::vector<StoreEntry>& entries);
  void takeItems(Span now, std::vector<Item> items, ControlActions& actions);
  void sendItems(SessionNo to, const nlohmann::json& versions, std::uint64_t read, bool confirmed,
                 ControlActions& actions);
  void requestItems(SessionNo from, ControlActions& actions);
  void answerConfirmed(ControlActions& actions);
  void answerReads(Span now, ControlActions& actions);

  // --- voters
  void adopt(Span now, const VoterSet& set, Effects& effects);
  void reincarnate(Effects& effects);
  void recovered(Epoch epoch);
  [[nodiscard]] Incarnation freshIncarnation(std::uint64_t round) const;
  void tellVoters(ControlActions& actions);
  void foundersChanged(Span now, ControlActions& actions);
  void proposeSet(Span now, ControlActions& actions);
  void finishRecovery(ControlActions& actions);
  void updateVoting();
  [[nodiscard]] bool mayVote() const;
  [[nodiscard]] bool mayTellState() const;
  bool sameEpoch(SessionNo from, Epoch epoch, ControlActions& actions);
  [[nodiscard]] Address addressOf(SessionNo session) const;

  void hangUp(Span now, SessionNo session, ControlActions& actions, std::string reason = {});
  void lose(Span now, SessionNo session, ControlActions& actions);
  void dial(Span now, ControlActions& actions);
  void heartbeatControls(Span now, ControlActions& actions);
  void heartbeatSidecars(Span now, ControlActions& actions);
  void settle(Span now, ControlActions& actions);
  /// What follows from an input: local messages, reads that are over, whether the process is settled.
  void conclude(Span now, ControlActions& actions);
  [[nodiscard]] Heartbeat status(Span now) const;

  Built built_;
  VoterId self_;
  ControlIdentity identity_;
  bool identityRead_ = false;
  bool oldMark_ = false;        // the store is of before epochs, and had lost nothing
  bool stateLost_ = false;      // an entry of the store could not be read
  bool heldBeforeSet_ = false;  // it held state in the epoch just before the one in force
  bool greetAnew_ = false;      // another identity: the sessions with control processes begin anew
  Items items_;
  KeyVoter keys_;
  Membership membership_;
  MajorityLease contact_;
  Agreement agreement_;
  MajorityRead reads_;
  VoterRecovery recovery_;
  SnapshotSender snapshots_;
  OperatorCalls operators_;
  ServerNews news_;
  PeerSessions sessions_;
  DurableWrites<Waiting> writes_;
  std::deque<Message> local_;  // to this process itself
  std::vector<ConfirmedRequest> confirmed_;
  std::vector<WaitingRead> waitingReads_;
  std::uint64_t durableDigest_ = 0;                           // of the items on disk
  std::vector<std::shared_ptr<const std::string>> allItems_;  // encoded, for those that start with nothing
  std::uint64_t allItemsDigest_ = 0;
  bool settled_ = false;
  bool inTouch_ = false;
  std::uint64_t contactRead_ = 0;  // the read that began when contact was regained
  Span controlHeartbeatAt_{};
  Span sidecarHeartbeatAt_{};
  Span sweepAt_{};
  bool votersChanged_ = false;      // sidecars are to be told
  bool heartbeatNow_ = false;       // what heartbeats tell has changed
  std::uint64_t incarnations_ = 0;  // taken in this life of the process
  Span now_{};
  std::optional<std::uint64_t> recording_{};  // the batch that has what recovery read
};

}  // namespace rackroute::mesh
