#pragma once

// The sidecar's side of the control plane: its sessions with control processes, the configuration items and
// the voter set in force, the home of each service it follows, and whether what it holds is known to be the
// newest. A state machine without I/O or clock: it takes inputs and returns what to send. It must never go
// back on an item or a voter set, nor let go of what it holds because nobody tells it anything.

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
    say,         // send the text
    dial,        // open a session
    hangUp,      // end the session
    refused,     // end the session and log the error: the control process sent what can't be taken
    server,      // news of a server
    recorded,    // a control process has what a server said of its leaving on its disk
    configured,  // items changed
    voters,      // a newer voter set is in force; open claims are to be asked anew of all voters reached
    voterReady,  // a voter of that set can be asked for votes from now on
    vote,        // on a claim
    life,        // the highest life of this node that a control process knows
    welcomed,    // a session stands: the control process is to be told of the servers here
    members      // the number of sidecars changed
  };
  Kind kind = Kind::say;
  Address at{};  // say, dial, hangUp, refused, welcomed, recorded: the control process
  std::shared_ptr<const std::string> text{};  // say: one message; shared by all whom the same is sent to
  Error error{};                              // refused
  ServerStatus news{};                        // server
  std::uint64_t record = 0;                   // recorded: the number that was asked for
  VoterId voter{};                            // vote, voterReady
  Epoch epoch{};                              // vote: in which it was given
  ClaimNo claim{};                            // vote
  bool granted = false;                       // vote
  std::optional<Holder> holder{};             // vote
  LifeNo life{};                              // life
};
using ControlClientActions = std::vector<ControlClientAction>;

class ControlClient {
 public:
  struct Built {
    NodeName node;
    Address at;  // where others of the mesh reach this process
    std::string zone;
    LifeNo life;
    std::vector<Address> seeds;  // of the control plane's own session
  };
  explicit ControlClient(Built built);

  ControlClientActions reached(Span now, const Address& at);
  ControlClientActions ended(Span now, const Address& at);  // a session, or a dial that failed
  /// One message. What can't be decoded, or is of another message format, ends the session: `refused`, and
  /// nothing of it is taken.
  ControlClientActions heard(Span now, const Address& at, const nlohmann::json& text);
  /// Bytes of a message that is not whole yet.
  void alive(Span now, const Address& at);
  ControlClientActions tick(Span now);
  ControlClientActions seeds(Span now, std::vector<Address> seeds);
  /// The services whose servers are wanted.
  ControlClientActions follow(const std::vector<ServiceName>& services);
  [[nodiscard]] ControlClientActions sendTo(const Address& at, const Message& message) const;
  [[nodiscard]] ControlClientActions sendAll(const Message& message) const;
  /// To the voters of the set in force that are reached.
  [[nodiscard]] ControlClientActions sendToVoters(const Message& message) const;
  [[nodiscard]] static Span tickEvery();
  [[nodiscard]] const Items& items() const { return items_; }
  /// The newest that was told; epoch 0 without voters before that.
  [[nodiscard]] const VoterSet& voters() const { return voters_; }
  /// Voters of the set in force whose session stands and whose process is the one that the set names.
  [[nodiscard]] std::vector<VoterId> reachedVoters() const;
  /// Whether requests may be served with what is held. There is a configuration, whole messages of it, and
  /// either a settled control process has answered, after this process started, that a majority knows nothing
  /// newer; or no settled one has been in reach for kUnsettledFor (3 s, counted from the first session at the
  /// earliest), and what control processes that hold state told must do. So a start beside a control plane
  /// that has lost its majority is delayed by at most 3 s and the fetch. Stays so for this life.
  [[nodiscard]] bool ready(Span now) const;
  [[nodiscard]] std::size_t sessions() const;
  /// Addresses of control processes that are known, reached or not.
  [[nodiscard]] std::size_t knownControls() const { return controls_.size(); }
  [[nodiscard]] std::size_t members() const { return members_; }
  /// The services that this control process is the home of.
  [[nodiscard]] std::set<ServiceName> servicesAt(const Address& control) const;

 private:
  struct Control {
    bool up = false;
    Span next{};       // when it may be dialled
    Span downSince{};  // while it is not up
    Span lastHeard{};
    Span lastHeartbeat{};           // sent
    std::uint64_t sequence = 0;     // of the last heartbeat sent
    std::uint64_t echo = 0;         // highest sequence heard in this session
    std::optional<VoterId> self;    // once it has said welcome
    std::string zone;               // likewise
    std::optional<Heartbeat> told;  // the last one of this session
    Span differsSince = Span::max();
    std::optional<Span> confirmationAsked;  // in this session
    std::set<ServiceName> followed;

    [[nodiscard]] bool holdsState() const { return told && told->holdsState; }
    [[nodiscard]] bool settled() const { return up && holdsState() && told->settled; }
  };
  using Entry = std::pair<const Address, Control>;

  void advance(Span now);
  void take(Entry& control, const Welcome& welcome, ControlClientActions& acts);
  void take(Entry& control, const Heartbeat& heartbeat, ControlClientActions& acts);
  void take(Entry& control, const ControlAddresses& addresses, ControlClientActions& acts);
  void take(Entry& control, const VotersUpdate& update, ControlClientActions& acts);
  void take(Entry& control, const ItemsReply& reply, ControlClientActions& acts);
  void take(Entry& control, const ServersUpdate& update, ControlClientActions& acts);
  void take(Entry& control, const Votes& votes, ControlClientActions& acts);
  template <class Other>
  void take(Entry&, const Other&, ControlClientActions&) {}  // not meant for sidecars

  bool adoptVoters(const VoterSet& set, ControlClientActions& acts);
  [[nodiscard]] const VoterId* voterAt(const Entry& control) const;
  void refuse(Entry& control, Error error, ControlClientActions& acts);
  void closed(Control& control, Span redialAfter);

  [[nodiscard]] bool permanent(const Address& at) const;
  [[nodiscard]] std::size_t temporaryControls() const;
  void learn(const std::vector<Address>& addresses);
  bool forgetLongestDown();
  void trim(ControlClientActions& acts);
  void forgetUnreachable();

  void assign(ControlClientActions& acts);
  [[nodiscard]] const Address* homeOf(const ServiceName& service) const;

  void requestItems(Entry& control, bool confirmed, ControlClientActions& acts);
  void fetchDiffering(Entry& control, ControlClientActions& acts);
  void confirm(ControlClientActions& acts);
  [[nodiscard]] Entry* confirmationSource();
  [[nodiscard]] bool anySettled() const;
  [[nodiscard]] bool unsettledForLong(Span now) const;

  Built built_;
  Items items_;
  VoterSet voters_;
  std::map<Address, Control> controls_;
  std::vector<ServiceName> services_;
  std::size_t members_ = 0;
  bool complete_ = false;   // a configuration is held, and the last part of a reply has come
  bool confirmed_ = false;  // a majority's answer has come
  bool unconfirmedWillDo_ = false;
  bool toldByHolder_ = false;  // a control process that holds state has answered
  std::optional<Span> firstSession_;
  Span lastSettled_{};                 // when a settled control process was last in reach
  std::optional<Address> confirming_;  // the control process that was last asked for a confirmed reply
  Span confirmingSince_{};             // since then it has sent nothing of it
  std::optional<Span> fetchedAt_;      // when items were last asked for because digests differed
  Span now_{};
};

}  // namespace rackroute::mesh
