#pragma once

// The sidecar's sessions with control processes, on sockets: carries out what ControlClient wants done with
// them and tells what comes. It owns the connections and decides nothing.

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
  /// What is told, each in a turn of its own.
  struct Ends {
    std::function<void(const Address&)> reached;
    std::function<void(const Address&, const nlohmann::json&)> heard;
    std::function<void(const Address&)> alive;  // bytes of a message that is not whole yet
    std::function<void(const Address&)> ended;  // a session, or a dial that failed
  };
  ControlSessions(sidecar::Loop& loop, Ends ends) : loop_(loop), ends_(std::move(ends)) {}
  ControlSessions(const ControlSessions&) = delete;
  ControlSessions& operator=(const ControlSessions&) = delete;

  /// say, dial, hangUp and refused; other kinds are none of its own.
  void act(const ControlClientAction& action);

 private:
  void dial(const Address& at);
  void end(const Address& at, sidecar::Reason reason);

  sidecar::Loop& loop_;
  Ends ends_;
  Compressor compressor_;
  std::map<Address, std::shared_ptr<SessionConnection>> sessions_;
};

}  // namespace rackroute::mesh
