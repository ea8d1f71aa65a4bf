#include "mesh/sidecar/control_sessions.hpp"

#include <chrono>

#include "mesh/transport/log.hpp"

namespace rackroute::mesh {
namespace {

using namespace std::chrono_literals;

constexpr Span kDialControl = 400ms;  // a hung dial is given up before the next is due

}  // namespace

void ControlSessions::act(const ControlClientAction& action) {
  switch (action.kind) {
    case ControlClientAction::Kind::say:
      if (const auto found = sessions_.find(action.at); found != sessions_.end())
        found->second->say(action.text);
      break;
    case ControlClientAction::Kind::hangUp:
      if (sessions_.count(action.at) > 0) log(LogLevel::info, "session", action.at.value, "silent");
      end(action.at, sidecar::Reason::silent);
      break;
    case ControlClientAction::Kind::refused:
      log(LogLevel::warning, action.error.step, action.error.peer, action.error.what);
      end(action.at, sidecar::Reason::badMessage);
      break;
    case ControlClientAction::Kind::dial:
      if (sessions_.count(action.at) == 0) dial(action.at);
      break;
    default:
      break;
  }
}

void ControlSessions::end(const Address& at, sidecar::Reason reason) {
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
  session->connect(at, kDialControl,
                   {[this, at] { ends_.reached(at); },
                    [this, at](const nlohmann::json& message) { ends_.heard(at, message); },
                    [this, at] { ends_.alive(at); },
                    [this, at, session = session.get()] {
                      const auto held = sessions_.find(at);
                      if (held == sessions_.end() || held->second.get() != session) return;
                      sessions_.erase(held);
                      ends_.ended(at);
                    }});
}

}  // namespace rackroute::mesh
