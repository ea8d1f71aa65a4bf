// The control plane's program: a single-threaded event loop that connects the ControlNode to sockets and to
// the store. The loop must not block except in poll.

#include <Poco/Exception.h>

#include <CLI/CLI.hpp>
#include <algorithm>
#include <chrono>
#include <csignal>
#include <cstdlib>
#include <map>
#include <memory>
#include <random>
#include <thread>
#include <utility>

#include "mesh/configuration/duration_text.hpp"
#include "mesh/control/control_node.hpp"
#include "mesh/storage/store.hpp"
#include "mesh/transport/api_endpoints.hpp"
#include "mesh/transport/event_loop.hpp"
#include "mesh/transport/http_server_connection.hpp"
#include "mesh/transport/listener.hpp"
#include "mesh/transport/log.hpp"
#include "mesh/transport/process_start.hpp"
#include "mesh/transport/session_connection.hpp"
#include "mesh/transport/shutdown_deadline.hpp"
#include "sidecar/signals.hpp"

namespace rackroute::mesh {
namespace {

using namespace std::chrono_literals;
using nlohmann::json;

constexpr Span kDialTimeout = 400ms;        // shorter than the interval between dials
constexpr auto kOpenRetryDelay = 300ms;     // after the store could not be opened
constexpr Span kUnsettledLogInterval = 2s;  // between log lines without contact with a majority
constexpr Span kShutdownCheckInterval = 20ms;
constexpr Span kMinShutdownTime = 50ms;  // for calls whose bytes have arrived but are not read yet

class ControlProgram {
 public:
  ControlProgram(const Settings& settings, ControlNode::Options options, std::string settingsFile)
      : settingsFile_(std::move(settingsFile)),
        port_(settings.firstPort),
        signals_(loop_),
        options_(std::move(options)),
        deadline_(settings.grace),
        store_(settings.dataFolder) {}

  int run(const Settings& settings) {
    openStore();
    store_.start([this](std::uint64_t batch, bool done) {
      loop_.post([this, batch, done] {
        if (!done) log(LogLevel::warning, "store", "", "a write to the store failed");
        perform(node_->writeCompleted(loop_.now(), {batch}, done));
      });
    });
    sessionListener_.emplace(loop_, meshAddress({settings.ip + ":0"}, settings.firstPort),
                             [this](Poco::Net::StreamSocket socket, std::string peer) {
                               acceptSession(std::move(socket), std::move(peer));
                             });
    if (!settings.control.value.empty()) listenToOperators(settings.control);
    signals_.on(SIGTERM, [this] { stop(); });
    signals_.on(SIGINT, [this] { stop(); });
    signals_.on(SIGHUP, [this] { reloadSeeds(); });
    reloadSeeds();  // covers changes made before the handler was installed
    loop_.runGuarded([this] {
      perform(node_->start(loop_.now()));
      tick();
    });
    log(LogLevel::info, "start", "", "listening", {{"holds_state", node_->holdsState()}});
    loop_.run();
    log(LogLevel::info, "stop", "", "stopped", {{"open_calls", calls_.size()}});
    // Does not join the store's thread, which may be blocked by a hanging disk. Nothing is lost, because
    // nothing is acknowledged before its sync.
    std::quick_exit(0);
  }

 private:
  void openStore() {
    const auto entry = [this](const std::string& key, const std::string& value) {
      const Result<void> read = node_->restore(key, value);
      if (!read) log(LogLevel::error, read.error().step, read.error().peer, read.error().what);
    };
    for (bool logged = false;; logged = true) {
      node_.emplace(options_);  // discards entries that an earlier attempt restored
      const OpenOutcome outcome = store_.open(entry);
      if (outcome.state == OpenState::opened) return;
      if (outcome.state == OpenState::unrecognized) throw std::runtime_error(outcome.error.line());
      if (!logged) log(LogLevel::error, outcome.error.step, outcome.error.peer, outcome.error.what);
      if (outcome.state == OpenState::corrupt && setStoreAside()) continue;
      std::this_thread::sleep_for(kOpenRetryDelay);
    }
  }

  // Moves a damaged store aside so that the process can serve again. Its promises are lost, so it rejoins as
  // a new voter.
  bool setStoreAside() {
    const Result<void> moved = store_.setAside();
    if (!moved) {
      log(LogLevel::error, moved.error().step, moved.error().peer, moved.error().what);
      return false;
    }
    options_.firstBoot = false;
    log(LogLevel::error, "store", "",
        "the store was unreadable and has been set aside; rejoining as a new voter");
    return true;
  }

  void listenToOperators(const Address& at) {
    shared_ = std::make_shared<HttpServerConnection::ListenerContext>();
    for (const ApiEndpoint& row : kApiEndpoints) {
      if (row.role == MachineRole::core)
        shared_->maxBodyBytes = std::max(shared_->maxBodyBytes, row.maxBodyBytes);
    }
    shared_->onRequest = [this](const std::shared_ptr<HttpServerConnection>& connection,
                                std::shared_ptr<const http::Message> request) {
      bool known = false;
      const auto called = findApiEndpoint(ApiListener::control, MachineRole::core, request->startLinePart(0),
                                          request->startLinePart(1), known);
      if (!called) return connection->respond(known ? 405 : 404, "", "");
      if (deadline_.stopping()) return connection->respond(503, "Retry-After: 0.1\r\n", "");
      const OperatorCallNo no{++lastCall_};
      calls_[no] = connection;
      perform(called->endpoint->kind == ApiCall::changeItems ? node_->change(loop_.now(), no, request->body())
                                                             : node_->readBack(loop_.now(), no));
    };
    shared_->onAbandoned = [](HttpServerConnection&) {};
    operatorListener_.emplace(loop_, at, [this](Poco::Net::StreamSocket socket, std::string peer) {
      std::make_shared<HttpServerConnection>(loop_, shared_, std::move(socket), std::move(peer))->start();
    });
  }

  void acceptSession(Poco::Net::StreamSocket socket, std::string peer) {
    const SessionNo no{++lastSession_};
    const auto session =
        std::make_shared<SessionConnection>(loop_, compressor_, std::move(socket), std::move(peer));
    sessions_[no] = session;
    session->accepted(callbacksFor(no, [this, no] { perform(node_->sessionAccepted(loop_.now(), no)); }));
  }

  SessionConnection::Callbacks callbacksFor(SessionNo no, std::function<void()> up) {
    return {std::move(up),
            [this, no](const json& message) { perform(node_->messageReceived(loop_.now(), no, message)); },
            [this, no] { node_->dataReceived(loop_.now(), no); },
            [this, no] {
              sessions_.erase(no);
              perform(node_->sessionClosed(loop_.now(), no));
            }};
  }

  void dial(const Address& at) {
    const SessionNo no{++lastSession_};
    const auto session =
        std::make_shared<SessionConnection>(loop_, compressor_, Poco::Net::StreamSocket(), at.value);
    sessions_[no] = session;
    const auto up = std::make_shared<bool>(false);
    SessionConnection::Callbacks callbacks = callbacksFor(no, [this, no, at, up] {
      *up = true;
      perform(node_->sessionEstablished(loop_.now(), no, at));
    });
    callbacks.onClosed = [this, no, at, up] {
      sessions_.erase(no);
      perform(*up ? node_->sessionClosed(loop_.now(), no) : node_->dialFailed(loop_.now(), at));
    };
    session->connect(at, kDialTimeout, std::move(callbacks));
  }

  void perform(const ControlActions& actions) {
    for (const ControlAction& action : actions) {
      switch (action.kind) {
        case ControlAction::Kind::send:
          if (const auto found = sessions_.find(action.session); found != sessions_.end())
            found->second->sendMessage(action.text);
          break;
        case ControlAction::Kind::dial:
          dial(action.at);
          break;
        case ControlAction::Kind::close:
          if (const auto found = sessions_.find(action.session); found != sessions_.end()) {
            const auto session = found->second;
            const bool refused = !action.body.empty();
            log(refused ? LogLevel::warning : LogLevel::info, "session", session->name(),
                refused ? action.body : "session closed");
            session->end(sidecar::CloseReason::silent);
          }
          break;
        case ControlAction::Kind::write:
          store_.write(action.batch.value, action.entries);
          break;
        case ControlAction::Kind::answer:
          if (const auto found = calls_.find(action.call); found != calls_.end()) {
            if (action.status >= 400)
              log(LogLevel::info, "change", "", action.body, {{"status", action.status}});
            std::string fields = "Content-Type: application/json\r\n";
            if (action.retryAfter > Span{0})
              fields += "Retry-After: " + formatSeconds(action.retryAfter) + "\r\n";
            found->second->respond(action.status, fields, action.body);
            calls_.erase(found);
          }
          break;
      }
    }
  }

  // Logs the voters and peers, which distinguishes a missing majority from one that cannot agree.
  void logStatus() {
    const Membership& membership = node_->membership();
    const VoterSet& set = membership.set();
    const json status{{"epoch", set.epoch.value},
                      {"voter", membership.isVoter()},
                      {"holds_state", node_->holdsState()},
                      {"settled", node_->settled()}};
    const bool due = !node_->settled() && unsettledLoggedAt_ + kUnsettledLogInterval <= loop_.now();
    if (status == loggedStatus_ && !due) return;
    loggedStatus_ = status;
    unsettledLoggedAt_ = loop_.now();
    json details = status;
    for (const VoterId& voter : set.voters) {
      const std::string name = voter.at.value + '/' + std::to_string(voter.incarnation.value);
      details["voters"].push_back(set.mustRead(voter) ? name + " reads" : name);
    }
    for (const VoterId& peer : membership.peers())
      details["peers"].push_back(peer.at.value + '/' + std::to_string(peer.incarnation.value));
    log(LogLevel::info, "voters", "",
        node_->settled() ? "in contact with a majority" : "no contact with a majority", details);
  }

  void tick() {
    perform(node_->tick(loop_.now()));
    logStatus();
    loop_.after(ControlNode::tickInterval(), [this] { tick(); });
  }

  void reloadSeeds() {
    auto settings = readSettingsFile(settingsFile_);
    if (!settings)
      return log(LogLevel::error, settings.error().step, settings.error().peer, settings.error().what);
    std::vector<Address> seeds;
    for (const Address& seed : settings.value().seeds) seeds.push_back(meshAddress(seed, port_));
    node_->setSeeds(seeds);
  }

  void stop() {
    if (deadline_.stopping()) return;
    stopStartedAt_ = loop_.now();
    deadline_.start(stopStartedAt_);
    log(LogLevel::info, "stop", "", "leaving", {{"open_calls", calls_.size()}});
    if (shared_) shared_->draining = true;
    checkShutdown();
  }

  // Takes part in agreements until the operators' calls that are open have been answered.
  void checkShutdown() {
    const Span now = loop_.now();
    const bool answered = calls_.empty() && (!shared_ || shared_->allWritten());
    if ((answered && stopStartedAt_ + kMinShutdownTime <= now) || deadline_.exitAt() <= now)
      return loop_.stop();
    loop_.after(kShutdownCheckInterval, [this] { checkShutdown(); });
  }

  EventLoop loop_;
  Compressor compressor_;
  std::string settingsFile_;
  std::uint16_t port_;
  sidecar::Signals signals_;
  ControlNode::Options options_;
  std::optional<ControlNode> node_;
  std::optional<Listener> sessionListener_;
  std::optional<Listener> operatorListener_;
  std::shared_ptr<HttpServerConnection::ListenerContext> shared_;
  std::map<SessionNo, std::shared_ptr<SessionConnection>> sessions_;
  std::map<OperatorCallNo, std::shared_ptr<HttpServerConnection>> calls_;
  ShutdownDeadline deadline_;
  Span stopStartedAt_{};
  json loggedStatus_;  // as last logged
  Span unsettledLoggedAt_{};
  std::uint64_t lastSession_ = 0;
  std::uint64_t lastCall_ = 0;
  Store store_;  // last, so that its thread ends before the members that its callback uses
};

int run(int argc, char** argv) {
  CLI::App app(
      "Control plane of a rackroute mesh: holds the configuration, the registry of servers and the promises "
      "on keys.",
      "rackroute-control");
  std::string file;
  std::string level = "warning";
  std::size_t perZone = 1;
  app.add_option("--settings", file, "Settings file; default: the one that RACKROUTE_CONFIG names");
  app.add_option("--log", level, "Lowest level that is logged")
      ->check(CLI::IsMember({"info", "warning", "error"}));
  app.add_option("--per-zone", perZone, "Number of control processes per zone")->check(CLI::Range(1, 9));
  app.set_version_flag("--version", kVersionText);
  CLI11_PARSE(app, argc, argv);
  openLog("control", level);
  const std::string path = settingsPath(file);
  auto read = readSettingsFile(path);
  if (!read) throw std::runtime_error(read.error().line());
  const Settings settings = std::move(read).value();
  if (settings.dataFolder.empty()) throw std::runtime_error("settings (" + path + "): data_dir is missing");
  limitDescriptors(settings);
  ControlNode::Options options;
  options.node = settings.node;
  options.at = meshAddress({settings.ip + ":0"}, settings.firstPort);
  options.zone = settings.zone;
  const auto wall = std::chrono::system_clock::now().time_since_epoch();
  options.life = {static_cast<std::uint64_t>(std::chrono::duration_cast<Span>(wall).count())};
  for (const Address& seed : settings.seeds) options.seeds.push_back(meshAddress(seed, settings.firstPort));
  options.founders = perZone * settings.zones;
  options.firstBoot = settings.firstBoot;
  options.keyWindow = settings.keyWindow;
  options.random = std::random_device{}();
  // Reported at startup rather than when the processes are lost.
  if (const std::size_t tolerated = (options.founders - 1) / 2; tolerated < settings.toleratedMachineLosses) {
    log(LogLevel::error, "settings", path,
        "too few control processes to tolerate the configured number of losses",
        {{"voters", options.founders}, {"borne", tolerated}, {"asked", settings.toleratedMachineLosses}});
  }
  return ControlProgram(settings, std::move(options), path).run(settings);
}

}  // namespace
}  // namespace rackroute::mesh

int main(int argc, char** argv) {
  return rackroute::mesh::guardedMain("rackroute-control", [&] { return rackroute::mesh::run(argc, argv); });
}
