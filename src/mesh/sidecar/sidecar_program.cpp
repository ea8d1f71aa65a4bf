#include "mesh/sidecar/sidecar_program.hpp"

#include <algorithm>
#include <chrono>
#include <csignal>
#include <cstdlib>
#include <map>
#include <memory>
#include <optional>
#include <utility>
#include <vector>

#include "mesh/configuration/duration_text.hpp"
#include "mesh/forwarding/forward_counts.hpp"
#include "mesh/sidecar/control_sessions.hpp"
#include "mesh/sidecar/request_messages.hpp"
#include "mesh/sidecar/server_calls.hpp"
#include "mesh/sidecar/shutdown_deadline.hpp"
#include "mesh/transport/calls.hpp"
#include "mesh/transport/event_loop.hpp"
#include "mesh/transport/http_client.hpp"
#include "mesh/transport/http_server_connection.hpp"
#include "mesh/transport/listener.hpp"
#include "mesh/transport/log.hpp"
#include "mesh/transport/process_start.hpp"
#include "sidecar/signals.hpp"

namespace rackroute::mesh {
namespace {

using namespace std::chrono_literals;

constexpr Span kDialForward = 300ms;  // to another process; some hundred trips
constexpr Span kDialServer = 500ms;   // to the server here; its queue of connections may be full for a while
constexpr Span kIdleForward =
    20s;                          // a connection between processes is kept unused; the other keeps it longer
constexpr Span kIdleServer = 4s;  // to the server, where it announces nothing
constexpr Span kUnread = 1500ms;  // without word of another machine's kernel, it is gone
constexpr Span kSpare = 250ms;    // beyond the client's deadline, for a server's own word that it is over
constexpr Span kForwardSpare = 300ms;          // beyond that, for the process beside it
constexpr std::size_t kMostIdle = 64;          // connections for one address
constexpr std::size_t kMostAnswer = 64 << 20;  // bytes of a body
constexpr Span kStillComing =
    2600ms;                         // after the call to stop: two missed looks at the readiness, and a margin
constexpr Span kQuiet = 300ms;      // without work before it ends
constexpr Span kNextLife = 900ms;   // from the end of a process until the next one takes requests
constexpr Span kUnsent = 20ms;      // before its client's time is over, a request is not sent any more
constexpr Span kLook = 50ms;        // between looks while it ends
constexpr Span kCountsEvery = 5s;   // between lines of the log on how forwards ended
constexpr Span kForwardIdle = 60s;  // a connection from another process; that one ends it first

class SidecarProgram {
 public:
  SidecarProgram(const Settings& settings, Sidecar::Built built, std::string settingsFile)
      : settings_(settings),
        settingsFile_(std::move(settingsFile)),
        signals_(loop_),
        sidecar_(std::move(built)),
        sessions_(loop_, {[this](const Address& at) { act(sidecar_.reached(loop_.now(), at)); },
                          [this](const Address& at, const nlohmann::json& message) {
                            act(sidecar_.heard(loop_.now(), at, message));
                          },
                          [this](const Address& at) { sidecar_.alive(loop_.now(), at); },
                          [this](const Address& at) { act(sidecar_.ended(loop_.now(), at)); }}),
        forwardClient_(loop_, {kDialForward, kIdleForward, kUnread, kMostAnswer, kMostIdle}),
        servers_(loop_, {kDialServer, kIdleServer, Span{0}, kMostAnswer, kMostIdle}),
        deadline_(settings.grace) {}

  int run() {
    listen(settings_.outbound, clients_, HttpServerConnection::Shared{},
           [this](const auto& connection, auto request) { asked(connection, std::move(request)); });
    HttpServerConnection::Shared forwards;
    forwards.idle = kForwardIdle;
    forwards.mostBody = kMostAnswer;
    listen(
        settings_.inboundBind, forwardListener_, std::move(forwards),
        [this](const auto& connection, auto request) { forwardRequested(connection, std::move(request)); });
    listen(settings_.ready, looks_, HttpServerConnection::Shared{},
           [this](const auto& connection, auto request) { called(CallSocket::ready, connection, *request); });
    listen(
        settings_.control, beats_, HttpServerConnection::Shared{},
        [this](const auto& connection, auto request) { called(CallSocket::control, connection, *request); });
    clients_->mostBody = kMostAnswer;
    clients_->left = [this](HttpServerConnection& connection) { clientLeft(connection); };
    forwardListener_->left = [this](HttpServerConnection& connection) { forwarderLeft(connection); };
    signals_.on(SIGTERM, [this] { stop(); });
    signals_.on(SIGINT, [this] { stop(); });
    signals_.on(SIGHUP, [this] { tellAnew(); });
    tellAnew();  // what changed before the handler was there
    loop_.guarded([this] { tick(); });
    log(LogLevel::info, "start", "", "listening", {{"life", sidecar_.admission().life().value}});
    logCounts();
    loop_.run();
    return 0;
  }

 private:
  using Shared = std::shared_ptr<HttpServerConnection::Shared>;
  struct Inside {  // a client's request
    std::shared_ptr<HttpServerConnection> connection;
    std::shared_ptr<const http::Message> request;
  };

  template <class Asked>
  void listen(const Address& at, Shared& shared, HttpServerConnection::Shared made, Asked asked) {
    shared = std::make_shared<HttpServerConnection::Shared>(std::move(made));
    shared->asked = std::move(asked);
    shared->left = [](HttpServerConnection&) {};
    if (at.value.empty()) return;
    listeners_.push_back(std::make_unique<Listener>(
        loop_, at, [this, shared](Poco::Net::StreamSocket socket, std::string peer) {
          std::make_shared<HttpServerConnection>(loop_, shared, std::move(socket), std::move(peer))->start();
        }));
  }

  // Guards against a request that this process can't see to its end before it is killed. Its client is told
  // when the next life takes requests, not to use up its tries on this one.
  bool seesToEnd(const http::Message& request) {
    const Span now = loop_.now();
    if (now >= deadline_.endAt()) end();
    const auto route =
        sidecar_.router().routes().find(request.field("Host").value_or(""), request.startLinePart(1));
    if (!route) return true;
    const Span longest = std::min(patienceOf(request).value_or(route->timeout), route->timeout);
    return deadline_.takes(now, route->aim, longest);
  }

  // A request of a client here.
  void asked(const std::shared_ptr<HttpServerConnection>& connection,
             std::shared_ptr<const http::Message> request) {
    lastAsked_ = loop_.now();
    if (!sidecar_.serving(loop_.now())) return connection->answer(503, "Retry-After: 0.3\r\n", "");
    if (deadline_.stopping() && !seesToEnd(*request)) {
      const Span back = std::max(Span{0}, deadline_.endAt() - loop_.now()) + kNextLife;
      return connection->answer(503, "Retry-After: " + writeSeconds(back) + "\r\n", "");
    }
    const CallNo no{++lastCall_};
    Asked asked;
    asked.host = request->field("Host").value_or("");
    asked.path = request->startLinePart(1);
    asked.patience = patienceOf(*request);
    calls_[no] = {connection, request};
    act(sidecar_.asked(loop_.now(), no, asked));
  }

  void clientLeft(const HttpServerConnection& connection) {
    for (auto& [no, inside] : calls_) {
      if (inside.connection.get() != &connection) continue;
      inside.connection.reset();  // what goes on has nowhere to send its answer
      loop_.soon([this, call = no] { abandon(call); });
    }
  }

  void abandon(CallNo call) {
    SidecarActions acts = sidecar_.abandoned(loop_.now(), call);
    const bool over = !acts.routing.empty();
    act(std::move(acts));
    if (over) calls_.erase(call);
  }

  void forwarderLeft(const HttpServerConnection& connection) {
    for (const auto& [no, inside] : asks_) {
      if (inside.connection.get() != &connection) continue;
      loop_.soon([this, ask = no] { act(sidecar_.forwardAbandoned(loop_.now(), ask)); });
    }
  }

  // A request of another process for the server here.
  void forwardRequested(const std::shared_ptr<HttpServerConnection>& connection,
                        std::shared_ptr<const http::Message> request) {
    const auto field = request->field(kForwardHeader);
    const auto ask = field ? askFrom(*field) : std::nullopt;
    if (!ask) return connection->answer(400, "", "");
    const AskNo no{++lastAsk_};
    asks_[no] = {connection, request};
    std::optional<std::string> key;
    if (ask->kind == RouteKind::keyed) {
      if (const auto given = request->field(kOperation)) key = std::string(*given);
    }
    act(sidecar_.forwardRequested(loop_.now(), no, *ask, key));
  }

  void called(CallSocket socket, const std::shared_ptr<HttpServerConnection>& connection,
              const http::Message& request) {
    bool known = false;
    const auto call =
        findCall(socket, CallBy::auxiliary, request.startLinePart(0), request.startLinePart(1), known);
    if (!call) return connection->answer(known ? 405 : 404, "", "");
    if (call->row->kind == CallKind::readiness)
      return connection->answer(sidecar_.ready(loop_.now()) ? 200 : 503, "", "");
    Beat beat;
    if (call->row->kind == CallKind::signOff) {
      beat.id = {std::string(call->name)};
      beat.gone = true;
    } else {
      Result<Beat> read = readBeat(call->name, request.body());
      if (!read) {
        log(LogLevel::warning, read.error().step, read.error().peer, read.error().what);
        return connection->answer(400, "", "");
      }
      beat = std::move(read).value();
    }
    const ServerCallNo no{++lastServerCall_};
    serverCalls_[no] = connection;
    act(sidecar_.beat(loop_.now(), no, beat));
  }

  void answer(const ServerCallAnswer& answer) {
    const auto found = serverCalls_.find(answer.call);
    if (found == serverCalls_.end()) return;
    const auto connection = std::move(found->second);
    serverCalls_.erase(found);
    if (answer.acknowledged) return connection->answer(200, "Content-Type: application/json\r\n", "{}");
    log(LogLevel::warning, "server", "", "its leaving is on no disk yet: it is to call again");
    connection->answer(503, "Retry-After: 0.2\r\n", "");
  }

  void act(SidecarActions acts) {
    for (RoutingAction& act : acts.routing) this->act(act);
    for (AdmissionAction& act : acts.admission) this->act(act);
    for (const ControlClientAction& action : acts.control) sessions_.act(action);
    for (const ServerCallAnswer& each : acts.answers) answer(each);
    for (const Served& server : acts.told) logServer(server);
    wakeInTime();
  }

  static void logServer(const Served& server) {
    const char* const state = server.gone ? "signed off" : server.draining ? "drains" : "ready";
    log(LogLevel::info, "server", server.id.value, state,
        {{"life", server.life.value}, {"seq", server.seq}, {"process_leaves", server.leaving}});
  }

  void logCounts() {
    const nlohmann::json received = received_.take();
    const nlohmann::json sent = sent_.take();
    if (!received.is_null() || !sent.is_null())
      log(LogLevel::info, "forwards", "", "counted", {{"received", received}, {"sent", sent}});
    loop_.in(kCountsEvery, [this] { logCounts(); });
  }

  void act(RoutingAction& act) {
    const auto found = calls_.find(act.call);
    if (found == calls_.end()) return;
    if (act.kind == RoutingAction::Kind::send) return forward(found->second, act);
    if (act.kind == RoutingAction::Kind::cancel) return cancelForward(act);
    const Inside inside = std::move(found->second);
    calls_.erase(found);
    if (!inside.connection) return;
    if (act.kind == RoutingAction::Kind::pass) {
      inside.connection->pass(std::static_pointer_cast<const http::Message>(act.bytes), "");
    } else {
      std::string fields;
      if (act.comeBack > Span{0}) fields = "Retry-After: " + writeSeconds(act.comeBack) + "\r\n";
      inside.connection->answer(act.status, fields, "");
    }
  }

  void cancelForward(const RoutingAction& act) {
    const auto forward = forwards_.find(act.sent);
    if (forward == forwards_.end()) return;
    forward->second.cancel();
    forwards_.erase(forward);
  }

  void forward(const Inside& inside, const RoutingAction& act) {
    const Span now = loop_.now();
    forwards_[act.sent] = forwardClient_.send(
        act.at, forwardMessage(inside.request, act.ask), {}, inside.request->startLinePart(0) == "HEAD",
        now + act.ask.left + kSpare + kForwardSpare,
        [this, call = act.call, sent = act.sent](RequestOutcome how, RequestRef answer) {
          forwarded(call, sent, how, std::move(answer));
        },
        now + act.ask.left - kUnsent);
  }

  void forwarded(CallNo call, TryNo sent, RequestOutcome how, RequestRef answer) {
    forwards_.erase(sent);
    const ForwardEnd end = forwardEnd(how, answer.get());
    sent_.count(end.told.verdict);
    act(sidecar_.forwarded(loop_.now(), call, sent, end.result, end.told, end.status, std::move(answer)));
  }

  void act(AdmissionAction& act) {
    const auto found = asks_.find(act.ask);
    if (found == asks_.end()) return;
    if (act.kind == AdmissionAction::Kind::run) return serve(found->second, act);
    if (act.kind == AdmissionAction::Kind::cancel) return cancelRun(act.ask);
    const Inside inside = std::move(found->second);
    asks_.erase(found);
    const std::string told = replyFields(act.told);
    received_.count(act.told.verdict);
    if (!act.bytes) return inside.connection->answer(503, told, "");
    std::string fields;
    if (const auto attempt = inside.request->field(kAttempt))
      fields = "Rackroute-Attempt-Id: " + std::string(*attempt) + "\r\n";
    inside.connection->pass(std::static_pointer_cast<const http::Message>(act.bytes), fields + told,
                            kAttempt);
  }

  void cancelRun(AskNo ask) {
    const auto run = runs_.find(ask);
    if (run == runs_.end()) return;
    run->second.cancel();
    runs_.erase(run);
  }

  void serve(const Inside& inside, const AdmissionAction& act) {
    const std::string attempt(inside.request->field(kAttempt).value_or(""));
    const Span now = loop_.now();
    runs_[act.ask] = servers_.send(
        act.server, serverMessage(inside.request, act), attempt, inside.request->startLinePart(0) == "HEAD",
        now + act.left + kSpare,
        [this, ask = act.ask](RequestOutcome how, const RequestRef& answer) {
          runs_.erase(ask);
          const ServerEnd end = serverEnd(how, answer);
          this->act(sidecar_.ran(loop_.now(), ask, end.how, end.answer));
        },
        now + act.left - kUnsent);
  }

  void wakeInTime() {
    const Span next = sidecar_.nextTick(loop_.now());
    if (wakes_ && next >= wakeAt_) return;
    loop_.cancel(wake_);
    wakes_ = true;
    wakeAt_ = next;
    wake_ = loop_.at(next, [this] {
      wakes_ = false;
      deadline_.ranLate(loop_.now(), loop_.now() - wakeAt_);
      tick();
    });
  }

  void tick() {
    if (clients_) {
      const Limits& limits = sidecar_.router().routes().limits();
      clients_->header = limits.header;
      clients_->idle = limits.idle;
    }
    act(sidecar_.tick(loop_.now()));
    if (const bool ready = sidecar_.ready(loop_.now()); ready != told_) {
      told_ = ready;
      log(LogLevel::info, "ready", "", ready ? "requests are taken" : "clients are to go elsewhere");
    }
  }

  void tellAnew() {
    auto settings = readSettingsFile(settingsFile_);
    if (!settings)
      return log(LogLevel::error, settings.error().step, settings.error().peer, settings.error().what);
    std::vector<Address> seeds;
    for (const Address& seed : settings.value().seeds)
      seeds.push_back(meshAddress(seed, settings_.firstPort));
    act(sidecar_.seeds(loop_.now(), std::move(seeds)));
  }

  void stop() {
    if (deadline_.stopping()) return;
    stoppedAt_ = loop_.now();
    deadline_.stop(stoppedAt_);
    log(LogLevel::info, "stop", "", "leaving");
    clients_->closing = forwardListener_->closing = true;
    act(sidecar_.leave(loop_.now()));
    look();
  }

  void look() {
    const Span now = loop_.now();
    const bool quiet = calls_.empty() && asks_.empty() && lastAsked_ + kQuiet <= now;
    if ((quiet && stoppedAt_ + kStillComing <= now) || deadline_.endAt() <= now) end();
    loop_.at(now + kLook, [this, due = now + kLook] {
      deadline_.ranLate(loop_.now(), loop_.now() - due);
      look();
    });
  }

  // Guards against a slow machine that goes through all ready connections once more, or takes hundreds of
  // them apart one by one, past the grace. All answers are written; the kernel sees them off.
  [[noreturn]] static void end() {
    log(LogLevel::info, "stop", "", "stopped");
    std::quick_exit(0);
  }

  EventLoop loop_;
  Settings settings_;
  std::string settingsFile_;
  sidecar::Signals signals_;
  Sidecar sidecar_;
  ControlSessions sessions_;
  HttpClient forwardClient_;
  HttpClient servers_;
  Shared clients_, forwardListener_, looks_, beats_;
  std::vector<std::unique_ptr<Listener>> listeners_;
  std::map<CallNo, Inside> calls_;
  std::map<AskNo, Inside> asks_;
  std::map<ServerCallNo, std::shared_ptr<HttpServerConnection>> serverCalls_;  // without an answer yet
  std::map<TryNo, HttpClient::InFlight> forwards_;  // to other processes, without an answer yet
  std::map<AskNo, HttpClient::InFlight> runs_;      // at the server here, without an answer yet
  sidecar::Loop::TimerId wake_;
  Span wakeAt_{};
  bool wakes_ = false;
  bool told_ = false;  // whether the log's last word is that it is ready
  Span lastAsked_{};
  ShutdownDeadline deadline_;
  Span stoppedAt_{};
  ForwardCounts received_;  // from other processes
  ForwardCounts sent_;      // to them
  std::uint64_t lastCall_ = 0;
  std::uint64_t lastAsk_ = 0;
  std::uint64_t lastServerCall_ = 0;
};

}  // namespace

int runSidecar(const Settings& settings, Sidecar::Built built, const std::string& settingsFile) {
  return SidecarProgram(settings, std::move(built), settingsFile).run();
}

}  // namespace rackroute::mesh
