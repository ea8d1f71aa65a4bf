// The control plane's program: one thread that carries the ControlNode's words to sockets and its entries to
// the store. It decides nothing; it must never block but in the poll.

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
#include "mesh/transport/calls.hpp"
#include "mesh/transport/event_loop.hpp"
#include "mesh/transport/http_server_connection.hpp"
#include "mesh/transport/listener.hpp"
#include "mesh/transport/log.hpp"
#include "mesh/transport/process_start.hpp"
#include "mesh/transport/session_connection.hpp"
#include "sidecar/signals.hpp"

namespace rackroute::mesh {
namespace {

using namespace std::chrono_literals;
using nlohmann::json;

constexpr Span kDialTime = 400ms;     // for a session; a hung dial is given up before the next is due
constexpr auto kOpenPause = 300ms;    // between tries to open a store on a disk that refuses
constexpr Span kUnsettledLines = 2s;  // between lines of the log while no majority is in touch
constexpr Span kLastWords = 50ms;     // after the call to stop, for what was just acknowledged to leave

class ControlProgram {
 public:
  ControlProgram(const Settings& settings, ControlNode::Built built, std::string settingsFile)
      : settingsFile_(std::move(settingsFile)),
        port_(settings.firstPort),
        signals_(loop_),
        built_(std::move(built)),
        store_(settings.dataFolder) {}

  int run(const Settings& settings) {
    openStore();
    store_.start([this](std::uint64_t batch, bool done) {
      loop_.post([this, batch, done] {
        if (!done) log(LogLevel::warning, "store", "", "a write was refused");
        act(node_->written(loop_.now(), {batch}, done));
      });
    });
    sessionConnections_.emplace(loop_, meshAddress({settings.ip + ":0"}, settings.firstPort),
                                [this](Poco::Net::StreamSocket socket, std::string peer) {
                                  came(std::move(socket), std::move(peer));
                                });
    if (!settings.control.value.empty()) listenToOperators(settings.control);
    signals_.on(SIGTERM, [this] { stop(); });
    signals_.on(SIGINT, [this] { stop(); });
    signals_.on(SIGHUP, [this] { tellAnew(); });
    tellAnew();  // what changed before the handler was there
    loop_.guarded([this] {
      act(node_->start(loop_.now()));
      tick();
    });
    log(LogLevel::info, "start", "", "listening", {{"holds_state", node_->holdsState()}});
    loop_.run();
    log(LogLevel::info, "stop", "", "stopped");
    // Guards against a disk that hangs: the store's thread would be waited for past the grace. Nothing is
    // lost, as nothing is acknowledged before its sync.
    std::quick_exit(0);
  }

 private:
  void openStore() {
    const auto entry = [this](const std::string& key, const std::string& value) {
      const Result<void> read = node_->restore(key, value);
      if (!read) log(LogLevel::error, read.error().step, read.error().peer, read.error().what);
    };
    for (bool told = false;; told = true) {
      node_.emplace(built_);  // without what an earlier try may have restored in part
      const OpenOutcome outcome = store_.open(entry);
      if (outcome.state == OpenState::opened) return;
      if (outcome.state == OpenState::foreign) throw std::runtime_error(outcome.error.line());
      if (!told) log(LogLevel::error, outcome.error.step, outcome.error.peer, outcome.error.what);
      if (outcome.state == OpenState::unreadable && setStoreAside()) continue;
      std::this_thread::sleep_for(kOpenPause);
    }
  }

  // Guards against a process that never serves again as its store is damaged: what it promised is lost, so it
  // joins anew, as another voter.
  bool setStoreAside() {
    const Result<void> moved = store_.setAside();
    if (!moved) {
      log(LogLevel::error, moved.error().step, moved.error().peer, moved.error().what);
      return false;
    }
    built_.firstBoot = false;
    log(LogLevel::error, "store", "", "it was unreadable and is set aside; this process joins anew");
    return true;
  }

  void listenToOperators(const Address& at) {
    shared_ = std::make_shared<HttpServerConnection::Shared>();
    for (const CallRow& row : kCalls) {
      if (row.by == CallBy::core) shared_->mostBody = std::max(shared_->mostBody, row.mostBytes);
    }
    shared_->asked = [this](const std::shared_ptr<HttpServerConnection>& connection,
                            std::shared_ptr<const http::Message> request) {
      bool known = false;
      const auto called = findCall(CallSocket::control, CallBy::core, request->startLinePart(0),
                                   request->startLinePart(1), known);
      if (!called) return connection->answer(known ? 405 : 404, "", "");
      const OperatorCallNo no{++lastCall_};
      calls_[no] = connection;
      act(called->row->kind == CallKind::changeItems ? node_->change(loop_.now(), no, request->body())
                                                     : node_->readBack(loop_.now(), no));
    };
    shared_->left = [](HttpServerConnection&) {};
    operators_.emplace(loop_, at, [this](Poco::Net::StreamSocket socket, std::string peer) {
      std::make_shared<HttpServerConnection>(loop_, shared_, std::move(socket), std::move(peer))->start();
    });
  }

  void came(Poco::Net::StreamSocket socket, std::string peer) {
    const SessionNo no{++lastSession_};
    const auto session =
        std::make_shared<SessionConnection>(loop_, compressor_, std::move(socket), std::move(peer));
    sessions_[no] = session;
    session->accepted(endsOf(no, [this, no] { act(node_->came(loop_.now(), no)); }));
  }

  SessionConnection::Ends endsOf(SessionNo no, std::function<void()> up) {
    return {std::move(up), [this, no](const json& word) { act(node_->heard(loop_.now(), no, word)); },
            [this, no] { node_->alive(loop_.now(), no); },
            [this, no] {
              sessions_.erase(no);
              act(node_->ended(loop_.now(), no));
            }};
  }

  void dial(const Address& at) {
    const SessionNo no{++lastSession_};
    const auto session =
        std::make_shared<SessionConnection>(loop_, compressor_, Poco::Net::StreamSocket(), at.value);
    sessions_[no] = session;
    const auto up = std::make_shared<bool>(false);
    SessionConnection::Ends ends = endsOf(no, [this, no, at, up] {
      *up = true;
      act(node_->reached(loop_.now(), no, at));
    });
    ends.over = [this, no, at, up] {
      sessions_.erase(no);
      act(*up ? node_->ended(loop_.now(), no) : node_->unreached(loop_.now(), at));
    };
    session->connect(at, kDialTime, std::move(ends));
  }

  void act(const ControlActions& acts) {
    for (const ControlAction& act : acts) {
      switch (act.kind) {
        case ControlAction::Kind::say:
          if (const auto found = sessions_.find(act.session); found != sessions_.end())
            found->second->say(act.text);
          break;
        case ControlAction::Kind::dial:
          dial(act.at);
          break;
        case ControlAction::Kind::hangUp:
          if (const auto found = sessions_.find(act.session); found != sessions_.end()) {
            const auto session = found->second;
            const bool refused = !act.body.empty();
            log(refused ? LogLevel::warning : LogLevel::info, "session", session->name(),
                refused ? act.body : "hung up");
            session->end(sidecar::Reason::silent);
          }
          break;
        case ControlAction::Kind::write:
          store_.write(act.batch.value, act.entries);
          break;
        case ControlAction::Kind::answer:
          if (const auto found = calls_.find(act.call); found != calls_.end()) {
            if (act.status >= 400) log(LogLevel::info, "change", "", act.body, {{"status", act.status}});
            std::string fields = "Content-Type: application/json\r\n";
            if (act.retryAfter > Span{0}) fields += "Retry-After: " + writeSeconds(act.retryAfter) + "\r\n";
            found->second->answer(act.status, fields, act.body);
            calls_.erase(found);
          }
          break;
      }
    }
  }

  // What tells a majority that is missing from one that can't agree.
  void logStanding() {
    const Membership& membership = node_->membership();
    const VoterSet& set = membership.set();
    const json standing{{"epoch", set.epoch.value},
                        {"voter", membership.isVoter()},
                        {"holds_state", node_->holdsState()},
                        {"settled", node_->settled()}};
    const bool due = !node_->settled() && unsettledLoggedAt_ + kUnsettledLines <= loop_.now();
    if (standing == loggedStanding_ && !due) return;
    loggedStanding_ = standing;
    unsettledLoggedAt_ = loop_.now();
    json more = standing;
    for (const VoterId& voter : set.voters) {
      const std::string name = voter.at.value + '/' + std::to_string(voter.incarnation.value);
      more["voters"].push_back(set.mustRead(voter) ? name + " reads" : name);
    }
    for (const VoterId& peer : membership.peers())
      more["peers"].push_back(peer.at.value + '/' + std::to_string(peer.incarnation.value));
    log(LogLevel::info, "voters", "", node_->settled() ? "in touch with a majority" : "not in touch", more);
  }

  void tick() {
    act(node_->tick(loop_.now()));
    logStanding();
    loop_.in(ControlNode::tickEvery(), [this] { tick(); });
  }

  void tellAnew() {
    auto settings = readSettingsFile(settingsFile_);
    if (!settings)
      return log(LogLevel::error, settings.error().step, settings.error().peer, settings.error().what);
    std::vector<Address> seeds;
    for (const Address& seed : settings.value().seeds) seeds.push_back(meshAddress(seed, port_));
    node_->seeds(seeds);
  }

  void stop() {
    if (shared_) shared_->closing = true;
    loop_.in(kLastWords, [this] { loop_.stop(); });
  }

  EventLoop loop_;
  Compressor compressor_;
  std::string settingsFile_;
  std::uint16_t port_;
  sidecar::Signals signals_;
  ControlNode::Built built_;
  std::optional<ControlNode> node_;
  std::optional<Listener> sessionConnections_;
  std::optional<Listener> operators_;
  std::shared_ptr<HttpServerConnection::Shared> shared_;
  std::map<SessionNo, std::shared_ptr<SessionConnection>> sessions_;
  std::map<OperatorCallNo, std::shared_ptr<HttpServerConnection>> calls_;
  json loggedStanding_;  // as the log has it last
  Span unsettledLoggedAt_{};
  std::uint64_t lastSession_ = 0;
  std::uint64_t lastCall_ = 0;
  Store store_;  // last, so that its thread ends before what it tells
};

int run(int count, char** words) {
  CLI::App app(
      "The control plane of a rackroute mesh: holds the configuration, the servers and the promises on keys.",
      "rackroute-control");
  std::string file;
  std::string level = "warning";
  std::size_t perZone = 1;
  app.add_option("--settings", file, "The settings file; otherwise the one that RACKROUTE_CONFIG names");
  app.add_option("--log", level, "The least that is logged")
      ->check(CLI::IsMember({"info", "warning", "error"}));
  app.add_option("--per-zone", perZone, "How many control processes each zone has")->check(CLI::Range(1, 9));
  app.set_version_flag("--version", kVersionText);
  CLI11_PARSE(app, count, words);
  openLog("control", level);
  const std::string path = settingsPath(file);
  auto read = readSettingsFile(path);
  if (!read) throw std::runtime_error(read.error().line());
  const Settings settings = std::move(read).value();
  if (settings.dataFolder.empty())
    throw std::runtime_error("settings (" + path + "): data_dir names no folder");
  limitDescriptors(settings);
  ControlNode::Built built;
  built.node = settings.node;
  built.at = meshAddress({settings.ip + ":0"}, settings.firstPort);
  built.zone = settings.zone;
  const auto wall = std::chrono::system_clock::now().time_since_epoch();
  built.life = {static_cast<std::uint64_t>(std::chrono::duration_cast<Span>(wall).count())};
  for (const Address& seed : settings.seeds) built.seeds.push_back(meshAddress(seed, settings.firstPort));
  built.founders = perZone * settings.zones;
  built.firstBoot = settings.firstBoot;
  built.keyWindow = settings.keyWindow;
  built.random = std::random_device{}();
  // Of the voters less a quorum any number may be lost; more is to be known before it happens.
  if (const std::size_t borne = (built.founders - 1) / 2; borne < settings.bearableLosses) {
    log(LogLevel::error, "settings", path, "too few control processes for the losses that are to be borne",
        {{"voters", built.founders}, {"borne", borne}, {"asked", settings.bearableLosses}});
  }
  return ControlProgram(settings, std::move(built), path).run(settings);
}

}  // namespace
}  // namespace rackroute::mesh

int main(int count, char** words) {
  return rackroute::mesh::guardedMain("rackroute-control",
                                      [&] { return rackroute::mesh::run(count, words); });
}
