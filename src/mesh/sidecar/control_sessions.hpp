#pragma once

// The TCP sessions of a sidecar with control processes. Executes the actions of ControlClient and reports
// events through callbacks. Owns the connections.

#include <functional>
#include <map>
#include <memory>
#include <nlohmann/json.hpp>

#include "mesh/names.hpp"
#include "mesh/sidecar/control_client.hpp"
#include "mesh/transport/compression.hpp"
#include "mesh/transport/session_connection.hpp"

namespace rackroute::mesh {

class ControlSessions {
 public:
  /// Each is called in its own turn of the event loop.
  struct Callbacks {
    std::function<void(const Address&)> onOpened;
    std::function<void(const Address&, const nlohmann::json&)> onMessage;
    std::function<void(const Address&)> onPartial;  // part of a message was received
    std::function<void(const Address&)> onClosed;   // also for a failed dial
  };
  ControlSessions(sidecar::Loop& loop, Callbacks callbacks) : loop_(loop), callbacks_(std::move(callbacks)) {}
  ControlSessions(const ControlSessions&) = delete;
  ControlSessions& operator=(const ControlSessions&) = delete;

  /// Handles send, dial, disconnect and protocolError; ignores other kinds.
  void execute(const ControlClientAction& action);

 private:
  void dial(const Address& at);
  void close(const Address& at, sidecar::CloseReason reason);

  sidecar::Loop& loop_;
  Callbacks callbacks_;
  Compressor compressor_;
  std::map<Address, std::shared_ptr<SessionConnection>> sessions_;
};

}  // namespace rackroute::mesh
