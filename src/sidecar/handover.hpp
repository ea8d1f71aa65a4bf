#pragma once

// Handover from a running process to its successor without interrupting service. Owns the Unix socket in the
// shared folder, the channel between both processes, and the file with the servers that operators have
// disabled. At any time at least one process accepts clients, and no failure of the handover keeps a new
// process from starting.

#include <Poco/JSON/Object.h>
#include <Poco/Net/ServerSocket.h>
#include <Poco/Net/SocketAddress.h>
#include <Poco/Net/SocketNotification.h>
#include <Poco/Net/StreamSocket.h>

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <string_view>

#include "handover/server_overrides.hpp"
#include "sidecar/loop.hpp"

namespace rackroute::sidecar {

class ClientListener;
class Discovery;
class Dispatcher;
class HandoverPeer;

/// Received from the old process: the client listening socket and its state.
struct Inherited {
  Poco::Net::ServerSocket listener;
  Poco::JSON::Object::Ptr state;
};

class Handover {
 public:
  /// An empty folder disables handover.
  Handover(Loop& loop, std::string folder, const std::string& listen);
  Handover(const Handover&) = delete;
  Handover& operator=(const Handover&) = delete;
  ~Handover();

  /// Requests socket and state from an old process. Blocks for a bounded time; called before the loop runs.
  std::optional<Inherited> requestState();
  /// Applies the stored server overrides and starts listening for a successor. Calls `ready` when this
  /// process may report readiness, and `sharedChanged` whenever another process connects or disconnects.
  void start(Dispatcher& dispatcher, ClientListener& clients, Discovery& discovery,
             std::function<void()> ready, std::function<void()> sharedChanged);
  /// Sets how to export the fleet state, and how to yield the fleet membership to a successor or take it
  /// back. To be called before start().
  void setFleetHooks(std::function<std::string()> state, std::function<void(bool)> yield) {
    fleetState_ = std::move(state);
    yieldFleet_ = std::move(yield);
  }
  /// Disables or enables a server on an operator's request. Calls `done` once both processes have applied it,
  /// or with false if it could not be stored.
  void setServerDisabled(ServerId server, bool disabled, std::function<void(bool)> done);
  void stop();
  [[nodiscard]] bool isShared() const { return !peers_.empty(); }
  /// Whether a successor has taken over accepting clients.
  [[nodiscard]] bool hasSuccessor() const { return successor_ != nullptr; }

 private:
  friend class HandoverPeer;

  [[nodiscard]] std::optional<Poco::Net::StreamSocket> dial() const;
  void listen();
  void accept(Poco::Net::ReadableNotification* event);
  bool saveOverrides();
  void apply(ServerId server, handover::ServerOverride entry);
  void sendState(HandoverPeer& peer);
  void yieldTo(HandoverPeer& peer);
  void peerEnded(HandoverPeer& peer);
  void acknowledged(std::uint64_t sequence);
  [[nodiscard]] std::string state() const;

  struct PendingChange {  // not yet acknowledged by every process
    std::size_t acksMissing = 0;
    Loop::TimerId timer;
    std::function<void()> onComplete;
  };

  Loop& loop_;
  Poco::Net::SocketAddress clientAddress_;
  std::string socketPath_;  // also the prefix of the overrides file
  Dispatcher* dispatcher_ = nullptr;
  ClientListener* clients_ = nullptr;
  Discovery* discovery_ = nullptr;
  std::function<void()> sharedChanged_;
  std::function<std::string()> fleetState_;
  std::function<void(bool)> yieldFleet_;
  std::optional<Poco::Net::StreamSocket> oldProcess_;
  std::unique_ptr<Poco::Net::ServerSocket> listener_;
  std::map<HandoverPeer*, std::shared_ptr<HandoverPeer>> peers_;
  HandoverPeer* successor_ = nullptr;  // the peer that has reported ready
  handover::ServerOverrides overrides_;
  std::map<std::uint64_t, PendingChange> pendingChanges_;
  std::uint64_t lastSequence_ = 0;
  bool stopped_ = false;
};

}  // namespace rackroute::sidecar
