#pragma once

// The sidecar's client of the control plane. Manages the sessions with control processes, the configuration
// items and voter set in force, the control process that each followed service is assigned to (its home), and
// whether the configuration is confirmed as current. A state machine without I/O or clock: takes inputs and
// returns actions. Invariants: items and voter sets never regress to an older version, and the last known
// state is kept while no control process is reachable.

#include <cstdint>
#include <map>
#include <memory>
#include <nlohmann/json.hpp>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "mesh/claims/claims.hpp"
#include "mesh/configuration/error.hpp"
#include "mesh/configuration/items.hpp"
#include "mesh/control/messages.hpp"
#include "mesh/control/voter_set.hpp"
#include "mesh/registry/registry_messages.hpp"

namespace rackroute::mesh {

struct ControlClientAction {
  enum class Kind {
    send,           // send `text`
    dial,           // open a session
    disconnect,     // close the session
    protocolError,  // close the session and log the error: the control process sent an invalid message
    serverUpdate,   // the state of a server changed
    recorded,       // a control process has persisted a server's departure
    itemsChanged,   // configuration items changed
    votersChanged,  // a newer voter set is in force: repeat open claims to all connected voters
    voterReady,     // a voter of the set in force accepts claim requests from now on
    vote,           // a voter's answer to a claim
    highestLife,    // the highest life number of this node that a control process knows
    sessionReady,   // the handshake is complete: send the state of the local servers
    memberCount     // the number of sidecars changed
  };
  Kind kind = Kind::send;
  /// The control process. For send, dial, disconnect, protocolError, sessionReady and recorded.
  Address at{};
  std::shared_ptr<const std::string> text{};  // send: one message; shared between recipients
  Error error{};                              // protocolError
  ServerStatus serverStatus{};                // serverUpdate
  std::uint64_t record = 0;                   // recorded: the number of the request
  VoterId voter{};                            // vote, voterReady
  Epoch epoch{};                              // vote: the epoch in which it was cast
  ClaimNo claim{};                            // vote
  bool granted = false;                       // vote
  std::optional<Holder> holder{};             // vote
  LifeNo life{};                              // highestLife
};
using ControlClientActions = std::vector<ControlClientAction>;

class ControlClient {
 public:
  struct Config {
    NodeName node;
    Address at;  // where other processes of the mesh connect to
    std::string zone;
    LifeNo life;
    std::vector<Address> seeds;  // control processes from the settings
  };
  explicit ControlClient(Config config);

  ControlClientActions sessionOpened(Span now, const Address& at);
  ControlClientActions sessionClosed(Span now, const Address& at);  // also for a failed dial
  /// Handles one message. An invalid message, or one of another format version, is discarded as a whole and
  /// closes the session (`protocolError`).
  ControlClientActions handleMessage(Span now, const Address& at, const nlohmann::json& text);
  /// Part of a message was received.
  void markAlive(Span now, const Address& at);
  ControlClientActions tick(Span now);
  ControlClientActions setSeeds(Span now, std::vector<Address> seeds);
  /// Sets the services whose servers this sidecar needs.
  ControlClientActions follow(const std::vector<ServiceName>& services);
  [[nodiscard]] ControlClientActions sendTo(const Address& at, const Message& message) const;
  [[nodiscard]] ControlClientActions sendAll(const Message& message) const;
  /// Sends to all connected voters of the set in force.
  [[nodiscard]] ControlClientActions sendToVoters(const Message& message) const;
  [[nodiscard]] static Span tickInterval();
  [[nodiscard]] const Items& items() const { return items_; }
  /// The newest known voter set; empty with epoch 0 until one is received.
  [[nodiscard]] const VoterSet& voters() const { return voters_; }
  /// Voters of the set in force that have an open session and the identity listed in the set.
  [[nodiscard]] std::vector<VoterId> connectedVoters() const;
  /// Whether requests may be served with the current configuration. Requires a completely received
  /// configuration, and either (a) a confirmation by a settled control process, since this process started,
  /// that a majority knows nothing newer; or (b) a reply from a control process that holds state, while no
  /// settled control process has been reachable for kUnsettledFor (3 s, counted from the first session at the
  /// earliest). A control plane without a majority thus delays a start by at most 3 s plus the fetch. Once
  /// true, stays true.
  [[nodiscard]] bool ready(Span now) const;
  /// Number of control processes with an open session, or whose first dial has not ended yet.
  [[nodiscard]] std::size_t reachableControls() const;
  /// Number of known control process addresses, connected or not.
  [[nodiscard]] std::size_t knownControls() const { return controls_.size(); }
  [[nodiscard]] std::size_t memberCount() const { return memberCount_; }
  /// The services whose home is this control process.
  [[nodiscard]] std::set<ServiceName> servicesAt(const Address& control) const;

 private:
  struct ControlProcess {
    bool up = false;
    bool reachable = true;  // no dial has failed, and no session was closed, since it was last up
    Span nextDial{};        // earliest time of the next dial
    Span downSince{};       // if not up
    Span receivedAt{};
    Span heartbeatSentAt{};
    std::uint64_t sequence = 0;              // of the last heartbeat sent
    std::uint64_t echo = 0;                  // highest sequence number received in this session
    std::optional<VoterId> self;             // from its welcome message
    std::string zone;                        // from its welcome message
    std::optional<Heartbeat> lastHeartbeat;  // received in this session
    Span digestDiffersSince = Span::max();
    std::optional<Span> confirmationRequestedAt;  // in this session
    std::set<ServiceName> followed;

    [[nodiscard]] bool holdsState() const { return lastHeartbeat && lastHeartbeat->holdsState; }
    [[nodiscard]] bool settled() const { return up && holdsState() && lastHeartbeat->settled; }
  };
  using Entry = std::pair<const Address, ControlProcess>;

  void advance(Span now);
  void handle(Entry& control, const Welcome& welcome, ControlClientActions& actions);
  void handle(Entry& control, const Heartbeat& heartbeat, ControlClientActions& actions);
  void handle(Entry& control, const ControlAddresses& addresses, ControlClientActions& actions);
  void handle(Entry& control, const VotersUpdate& update, ControlClientActions& actions);
  void handle(Entry& control, const ItemsReply& reply, ControlClientActions& actions);
  void handle(Entry& control, const ServersUpdate& update, ControlClientActions& actions);
  void handle(Entry& control, const Votes& votes, ControlClientActions& actions);
  template <class Other>
  void handle(Entry&, const Other&, ControlClientActions&) {}  // messages not sent to sidecars

  bool adoptVoters(const VoterSet& set, ControlClientActions& actions);
  [[nodiscard]] const VoterId* voterAt(const Entry& control) const;
  void rejectMessage(Entry& control, Error error, ControlClientActions& actions);
  void markDown(ControlProcess& control, Span redialAfter);

  [[nodiscard]] bool isPermanent(const Address& at) const;
  [[nodiscard]] std::size_t temporaryControls() const;
  void addAddresses(const std::vector<Address>& addresses);
  bool evictLongestUnreachable();
  void evictSurplus(ControlClientActions& actions);
  void removeUnreachable();

  void assignHomes(ControlClientActions& actions);
  [[nodiscard]] const Address* homeOf(const ServiceName& service) const;

  void requestItems(Entry& control, bool confirmed, ControlClientActions& actions);
  void fetchDiffering(Entry& control, ControlClientActions& actions);
  void requestConfirmation(ControlClientActions& actions);
  [[nodiscard]] Entry* confirmationSource();
  [[nodiscard]] bool anySettled() const;
  [[nodiscard]] bool unsettledForLong(Span now) const;

  Config config_;
  Items items_;
  VoterSet voters_;
  std::map<Address, ControlProcess> controls_;
  std::vector<ServiceName> services_;
  std::size_t memberCount_ = 0;
  bool complete_ = false;   // has a configuration, and received the last part of an items reply
  bool confirmed_ = false;  // received a confirmed items reply
  bool acceptUnconfirmed_ = false;
  bool receivedFromStateHolder_ = false;  // received an items reply from a control process that holds state
  std::optional<Span> firstSessionAt_;
  Span lastSettled_{};                       // when a settled control process was last connected
  std::optional<Address> confirmationPeer_;  // last asked for a confirmed reply
  Span confirmationProgressAt_{};            // when part of that reply last arrived
  std::optional<Span> lastFetch_;            // last items request due to a differing digest
  Span now_{};
};

}  // namespace rackroute::mesh
