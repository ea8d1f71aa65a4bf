#pragma once

// What a control process wants done after an input: the only way in which its state machine reaches sockets,
// the disk and operators.

#include <cstdint>
#include <memory>
#include <string>
#include <vector>

#include "mesh/control/effects.hpp"
#include "mesh/names.hpp"

namespace rackroute::mesh {

using SessionNo = Id<struct SessionTag, std::uint64_t>;            // one session, whoever dialled it
using OperatorCallNo = Id<struct OperatorCallTag, std::uint64_t>;  // one call of an operator
using BatchNo = Id<struct BatchTag, std::uint64_t>;                // one write to disk

struct ControlAction {
  enum class Kind { say, dial, hangUp, write, answer };
  Kind kind = Kind::say;
  SessionNo session{};                        // say, hangUp
  std::shared_ptr<const std::string> text{};  // say: one encoded message; shared by all that get the same
  Address at{};                               // dial
  BatchNo batch{};                            // write; told of its end by written()
  std::vector<StoreEntry> entries{};          // write
  OperatorCallNo call{};                      // answer
  std::uint32_t status = 0;                   // answer
  std::string body{};                         // answer; hangUp: what is to be logged, if anything
  Span retryAfter{};                          // answer; 0: no advice
};
using ControlActions = std::vector<ControlAction>;

/// Appends an action that sends an encoded message.
inline void sendText(SessionNo to, std::shared_ptr<const std::string> text, ControlActions& actions) {
  ControlAction action;
  action.kind = ControlAction::Kind::say;
  action.session = to;
  action.text = std::move(text);
  actions.push_back(std::move(action));
}

}  // namespace rackroute::mesh
