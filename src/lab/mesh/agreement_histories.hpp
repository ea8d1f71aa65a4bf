#pragma once

// What processes that run an Agreement do, as a tree of histories: each node stands for one process after one
// sequence of inputs, with its disk and what is still to be written. Nodes that can't be told apart are one.
// Nodes are played on first use and remembered, so that a search over many processes plays few inputs.

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

using NodeNo = std::uint32_t;
using MessageNo = std::uint16_t;

enum class InputKind : std::uint8_t {
  proposes,  // number: of the order
  hears,     // number: of the message; from: process
  timer,     // its next one fires
  written,   // all that was to be written is on disk
  adopts,    // number: epoch
  reads,     // number: node of the process whose state it reads
  restarts,  // what was not written is lost
  wiped,     // so is the disk; it starts under another incarnation
};

struct Input {
  InputKind kind = InputKind::written;
  std::uint32_t number = 0;
  std::uint8_t from = 0;
  bool operator==(const Input&) const = default;
};

struct Sent {
  std::uint8_t to = 0;
  MessageNo message = 0;
};

struct AcceptedOnDisk {
  Ballot ballot;
  VoterId voter;
  unsigned orders = 0;  // those that it has an item of, as bits
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
  std::set<std::size_t> readFrom;  // processes
  std::vector<Input> inputs;       // since it started, on what was on its disk then
  std::shared_ptr<const Start> startedOn;
  std::map<std::string, std::string> disk;
  std::vector<StoreEntry> unwritten;
  std::vector<StoreEntry> neverWritten;  // of a flaw
  std::vector<Sent> sentAfterWrite;
  std::set<AcceptedOnDisk> accepted;  // ever, also by earlier incarnations
  unsigned inForce = 0;               // orders whose item is in force here, as bits
  bool partial = false;               // one of them is not in force whole
  unsigned acknowledged = 0;          // orders told to be decided, as bits
  unsigned refused = 0;               // orders told to be in conflict
  bool hasProposed = false;           // since it started
  std::optional<Span> nextTimer;
};

struct Transition {
  NodeNo node = 0;
  std::vector<Sent> sent;
};

class AgreementHistories {
 public:
  explicit AgreementHistories(const AgreementSearch& search);

  /// Of a process that starts for the first time, with an empty disk, as a voter of the first set.
  NodeNo first(std::size_t process);
  const Transition& after(NodeNo node, const Input& input);
  [[nodiscard]] const Node& node(NodeNo number) const { return nodes_[number]; }
  [[nodiscard]] const VoterSet& set(std::uint64_t epoch) const { return sets_[epoch - 1]; }
  [[nodiscard]] std::size_t size() const { return nodes_.size(); }
  [[nodiscard]] std::string describe(MessageNo message) const { return texts_[message]; }

 private:
  struct Running;
  void play(Running& running, const Input& input);
  void take(Running& running, const rackroute::mesh::Effects& effects, std::vector<Item> merged);
  void send(Running& running, const rackroute::mesh::Envelope& envelope, std::vector<Sent>& sent);
  void hear(Running& running, std::uint8_t from, const Message& message);
  void hearOwn(Running& running);
  void start(Running& running);
  void write(Running& running);
  void noteAccepted(Node& node, const std::string& text) const;
  void noteForce(Running& running) const;
  [[nodiscard]] std::unique_ptr<Running> running(const Node& node);
  [[nodiscard]] NodeNo numberOf(const Running& running, NodeNo parent, const Input& input);
  MessageNo numberOf(const Message& message);
  [[nodiscard]] unsigned ordersOf(const rackroute::mesh::Order& order) const;
  [[nodiscard]] bool writesApart() const { return search_.restarts > 0; }

  AgreementSearch search_;
  std::vector<VoterSet> sets_;
  std::vector<OrderPtr> orders_;
  std::deque<Node> nodes_;
  std::unordered_map<std::string, NodeNo> byPrint_;
  std::map<std::tuple<NodeNo, InputKind, std::uint32_t, std::uint8_t>, Transition> transitions_;
  std::vector<Message> messages_;
  std::vector<std::string> texts_;
  std::unordered_map<std::string, MessageNo> byText_;
};

}  // namespace rackroute::lab::mesh
