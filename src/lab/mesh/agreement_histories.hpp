#pragma once

// Input histories of processes that run an Agreement. A node is the state of one process after a sequence of
// inputs, including its disk and its pending writes; equivalent nodes are merged. Transitions are computed on
// first use and cached.

#include <cstddef>
#include <cstdint>
#include <deque>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <tuple>
#include <unordered_map>
#include <utility>
#include <vector>

#include "lab/mesh/agreement_explorer.hpp"
#include "mesh/control/agreement.hpp"

namespace rackroute::lab::mesh {

using rackroute::mesh::Ballot;
using rackroute::mesh::Item;
using rackroute::mesh::Message;
using rackroute::mesh::OrderPtr;
using rackroute::mesh::StoreEntry;
using rackroute::mesh::VoterId;
using rackroute::mesh::VoterSet;

using NodeId = std::uint32_t;
using MessageId = std::uint16_t;

enum class InputKind : std::uint8_t {
  proposes,  // number: order
  receives,  // number: message; from: sending process
  timer,     // the next timer fires
  written,   // all pending writes complete
  adopts,    // number: epoch
  reads,     // number: node of the process whose state is read
  restarts,  // pending writes are lost
  wiped,     // pending writes and the disk are lost; the process gets a new incarnation
};

struct Input {
  InputKind kind = InputKind::written;
  std::uint32_t number = 0;
  std::uint8_t from = 0;
  bool operator==(const Input&) const = default;
};

struct Sent {
  std::uint8_t to = 0;
  MessageId message = 0;
};

struct AcceptedOnDisk {
  Ballot ballot;
  VoterId voter;
  unsigned orders = 0;  // bit mask of the orders that have an item in the accepted order
  auto operator<=>(const AcceptedOnDisk&) const = default;
};

struct Node {
  struct Start {
    std::map<std::string, std::string> disk;
    std::uint64_t epoch = 1;
    bool holdsState = true;
  };
  std::uint8_t process = 0;
  VoterId self;
  std::uint64_t epoch = 1;
  bool holdsState = true;
  std::set<std::size_t> readFrom;  // processes whose state has been read
  std::vector<Input> inputs;       // since the start
  std::shared_ptr<const Start> startState;
  std::map<std::string, std::string> disk;
  std::vector<StoreEntry> unwritten;
  std::vector<StoreEntry> notPersisted;  // only with AgreementFlaw::promisesNotPersisted
  std::vector<Sent> sendAfterWrite;
  std::set<AcceptedOnDisk> accepted;  // by all incarnations
  unsigned applied = 0;               // bit mask of the orders with an applied item
  bool partial = false;               // an order is applied incompletely
  unsigned acknowledged = 0;          // bit mask of the orders reported as decided
  unsigned refused = 0;               // bit mask of the orders reported as conflicting
  bool hasProposed = false;           // since the start
  std::optional<Span> nextTimer;
};

struct Transition {
  NodeId node = 0;
  std::vector<Sent> sent;
};

class AgreementHistories {
 public:
  explicit AgreementHistories(const AgreementSearch& search);

  /// The node of a process on first start: empty disk, voter of the first set.
  NodeId firstNode(std::size_t process);
  /// The cached result of an input at a node.
  const Transition& transition(NodeId node, const Input& input);
  [[nodiscard]] const Node& node(NodeId number) const { return nodes_[number]; }
  [[nodiscard]] const VoterSet& set(std::uint64_t epoch) const { return sets_[epoch - 1]; }
  [[nodiscard]] std::size_t size() const { return nodes_.size(); }
  [[nodiscard]] std::string describe(MessageId message) const { return texts_[message]; }

 private:
  struct LiveProcess;
  void applyInput(LiveProcess& live, const Input& input);
  void handleEffects(LiveProcess& live, const rackroute::mesh::Effects& effects, std::vector<Item> merged);
  void send(LiveProcess& live, const rackroute::mesh::Envelope& envelope, std::vector<Sent>& sent);
  void deliver(LiveProcess& live, std::uint8_t from, const Message& message);
  void deliverOwn(LiveProcess& live);
  void start(LiveProcess& live);
  void completeWrites(LiveProcess& live);
  void recordAccepted(Node& node, const std::string& text) const;
  void updateApplied(LiveProcess& live) const;
  [[nodiscard]] std::unique_ptr<LiveProcess> replay(const Node& node);
  [[nodiscard]] NodeId internNode(const LiveProcess& live, NodeId parent, const Input& input);
  MessageId internMessage(const Message& message);
  [[nodiscard]] unsigned ordersOf(const rackroute::mesh::Order& order) const;
  [[nodiscard]] bool writesAreSteps() const { return search_.restarts > 0; }

  AgreementSearch search_;
  std::vector<VoterSet> sets_;
  std::vector<OrderPtr> orders_;
  std::deque<Node> nodes_;
  std::unordered_map<std::string, NodeId> byFingerprint_;
  std::map<std::tuple<NodeId, InputKind, std::uint32_t, std::uint8_t>, Transition> transitions_;
  std::vector<Message> messages_;
  std::vector<std::string> texts_;
  std::unordered_map<std::string, MessageId> byText_;
};

}  // namespace rackroute::lab::mesh
