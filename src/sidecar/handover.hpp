#pragma once

// The change from one process to the next under load: two of them are one sidecar. It owns the Unix socket in
// the folder that both share, the channel between the two, and the file of what operators said by hand. It
// must never leave the clients' address without a process that accepts, keep a new process from starting, or
// lose a server that is out by hand; what either process decides is not its business.

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

class ClientSide;
class Discovery;
class Exchange;
class HandoverPeer;

/// What an old process gave: the clients' listening socket and its state.
struct Inherited {
  Poco::Net::ServerSocket listener;
  Poco::JSON::Object::Ptr state;
};

class Handover {
 public:
  /// No folder: there is never another process.
  Handover(Loop& loop, std::string folder, const std::string& listen);
  Handover(const Handover&) = delete;
  Handover& operator=(const Handover&) = delete;
  ~Handover();

  /// Asks an old process, before the loop runs; waits a bounded time.
  std::optional<Inherited> ask();
  /// Takes over what was said by hand, and is from here on to be asked by a new process. Calls back when this
  /// one is to be called ready, and each time that a second process comes or goes.
  void start(Exchange& exchange, ClientSide& clients, Discovery& discovery, std::function<void()> ready,
             std::function<void()> shared);
  /// What else the successor goes on with, and who is to step back for it, or go on if it ends. Before
  /// start().
  void handOn(std::function<std::string()> state, std::function<void(bool)> yield) {
    fleetState_ = std::move(state);
    fleetYields_ = std::move(yield);
  }
  /// What an operator says of a server; tells once it holds, in both processes.
  void say(ServerId server, bool out, std::function<void(bool)> said);
  void stop();
  [[nodiscard]] bool isShared() const { return !peers_.empty(); }
  /// Whether another process accepts what comes.
  [[nodiscard]] bool succeeded() const { return successor_ != nullptr; }

 private:
  friend class HandoverPeer;

  [[nodiscard]] std::optional<Poco::Net::StreamSocket> dial() const;
  void listen();
  void accept(Poco::Net::ReadableNotification* event);
  bool remember();
  void apply(ServerId server, handover::ServerOverride word);
  void inherit(HandoverPeer& peer);
  void yieldTo(HandoverPeer& peer);
  void ended(HandoverPeer& peer);
  void kept(std::uint64_t turn);
  [[nodiscard]] std::string state() const;

  struct Waiting {  // a word that not every process keeps yet
    std::size_t missing = 0;
    Loop::TimerId timer;
    std::function<void()> all;
  };

  Loop& loop_;
  Poco::Net::SocketAddress clientsAddress_;
  std::string path_;  // of the socket; the file is beside it
  Exchange* exchange_ = nullptr;
  ClientSide* clients_ = nullptr;
  Discovery* discovery_ = nullptr;
  std::function<void()> shared_;
  std::function<std::string()> fleetState_;
  std::function<void(bool)> fleetYields_;
  std::optional<Poco::Net::StreamSocket> asked_;
  std::unique_ptr<Poco::Net::ServerSocket> listener_;
  std::map<HandoverPeer*, std::shared_ptr<HandoverPeer>> peers_;
  HandoverPeer* successor_ = nullptr;  // one that said it is ready
  handover::ServerOverrides said_;
  std::map<std::uint64_t, Waiting> waiting_;
  std::uint64_t lastTurn_ = 0;
  bool stopped_ = false;
};

}  // namespace rackroute::sidecar
