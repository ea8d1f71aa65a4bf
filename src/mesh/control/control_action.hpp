#pragma once

// The actions that a control process's state machine requests after an input: the only way in which it
// reaches sockets, the disk and operators.

#include <cstdint>
#include <memory>
#include <string>
#include <vector>

#include "mesh/control/effects.hpp"
#include "mesh/names.hpp"

namespace rackroute::mesh {

using SessionNo = Id<struct SessionTag, std::uint64_t>;            // a session, inbound or outbound
using OperatorCallNo = Id<struct OperatorCallTag, std::uint64_t>;  // a pending call of an operator
using BatchNo = Id<struct BatchTag, std::uint64_t>;                // a write to disk

struct ControlAction {
  enum class Kind { send, dial, close, write, answer };
  Kind kind = Kind::send;
  SessionNo session{};                        // send, close
  std::shared_ptr<const std::string> text{};  // send: an encoded message, shared by its recipients
  Address at{};                               // dial
  BatchNo batch{};                            // write; its completion is reported by writeCompleted()
  std::vector<StoreEntry> entries{};          // write
  OperatorCallNo call{};                      // answer
  std::uint32_t status = 0;                   // answer
  std::string body{};                         // answer; close: the reason to log, empty if there is none
  Span retryAfter{};                          // answer; 0: none
};
using ControlActions = std::vector<ControlAction>;

/// Appends an action that sends an encoded message.
inline void sendText(SessionNo to, std::shared_ptr<const std::string> text, ControlActions& actions) {
  ControlAction action;
  action.kind = ControlAction::Kind::send;
  action.session = to;
  action.text = std::move(text);
  actions.push_back(std::move(action));
}

}  // namespace rackroute::mesh
