#include "mesh/sidecar/control_sessions.hpp"

#include <chrono>

#include "mesh/transport/log.hpp"

namespace rackroute::mesh {
namespace {

using namespace std::chrono_literals;

constexpr Span kDialTimeout = 400ms;  // shorter than the interval between dials

}  // namespace

void ControlSessions::execute(const ControlClientAction& action) {
  switch (action.kind) {
    case ControlClientAction::Kind::send:
      if (const auto found = sessions_.find(action.at); found != sessions_.end())
        found->second->sendMessage(action.text);
      break;
    case ControlClientAction::Kind::disconnect:
      if (sessions_.count(action.at) > 0) log(LogLevel::info, "session", action.at.value, "silent");
      close(action.at, sidecar::CloseReason::silent);
      break;
    case ControlClientAction::Kind::protocolError:
      log(LogLevel::warning, action.error.step, action.error.peer, action.error.what);
      close(action.at, sidecar::CloseReason::badMessage);
      break;
    case ControlClientAction::Kind::dial:
      if (sessions_.count(action.at) == 0) dial(action.at);
      break;
    default:
      break;
  }
}

void ControlSessions::close(const Address& at, sidecar::CloseReason reason) {
  const auto found = sessions_.find(at);
  if (found == sessions_.end()) return;
  const auto session = found->second;
  sessions_.erase(found);
  session->end(reason);
}

void ControlSessions::dial(const Address& at) {
  const auto session =
      std::make_shared<SessionConnection>(loop_, compressor_, Poco::Net::StreamSocket(), at.value);
  sessions_[at] = session;
  session->connect(at, kDialTimeout,
                   {[this, at] { callbacks_.onOpened(at); },
                    [this, at](const nlohmann::json& message) { callbacks_.onMessage(at, message); },
                    [this, at] { callbacks_.onPartial(at); },
                    [this, at, session = session.get()] {
                      const auto current = sessions_.find(at);
                      if (current == sessions_.end() || current->second.get() != session) return;
                      sessions_.erase(current);
                      callbacks_.onClosed(at);
                    }});
}

}  // namespace rackroute::mesh
