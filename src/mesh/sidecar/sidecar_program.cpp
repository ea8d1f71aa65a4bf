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
#include "mesh/sidecar/server_heartbeat.hpp"
#include "mesh/transport/api_endpoints.hpp"
#include "mesh/transport/event_loop.hpp"
#include "mesh/transport/http_client.hpp"
#include "mesh/transport/http_server_connection.hpp"
#include "mesh/transport/listener.hpp"
#include "mesh/transport/log.hpp"
#include "mesh/transport/process_start.hpp"
#include "mesh/transport/shutdown_deadline.hpp"
#include "sidecar/signals.hpp"

namespace rackroute::mesh {
namespace {

using namespace std::chrono_literals;

constexpr Span kForwardDialTimeout = 300ms;  // to another sidecar; many round trips
constexpr Span kServerDialTimeout = 500ms;   // to the local server, whose accept queue may be full
constexpr Span kForwardIdleTimeout = 20s;    // shorter than the other side's kInboundIdleTimeout
constexpr Span kServerIdleTimeout = 4s;      // to the server, unless it sends Keep-Alive
constexpr Span kUserTimeout = 1500ms;        // TCP_USER_TIMEOUT to other machines
constexpr Span kServerMargin = 250ms;   // beyond the client's deadline, for the server's own timeout response
constexpr Span kForwardMargin = 300ms;  // in addition, for the sidecar of the server
constexpr std::size_t kMaxIdle = 64;    // connections per address
constexpr std::size_t kMaxBody = 64 << 20;  // bytes of a body
constexpr Span kMinDrain = 2600ms;       // after the stop signal: two readiness probe intervals and a margin
constexpr Span kIdleBeforeExit = 300ms;  // without requests, before the process exits
constexpr Span kRestartTime = 900ms;     // from the exit of a process until its successor accepts requests
constexpr Span kSendMargin = 20ms;       // before the client's deadline, when requests are no longer sent
constexpr Span kShutdownCheckInterval = 50ms;
constexpr Span kCountsInterval = 5s;             // between log lines with forward counts
constexpr std::size_t kMaxLostForwardLines = 5;  // in that interval
constexpr std::size_t kMaxLoggedWork = 8;        // requests, and executions, that an exit cuts
constexpr Span kInboundIdleTimeout = 60s;        // connections from other sidecars, which close them first

class SidecarProgram {
 public:
  SidecarProgram(const Settings& settings, Sidecar::Config config, std::string settingsFile)
      : settings_(settings),
        settingsFile_(std::move(settingsFile)),
        signals_(loop_),
        sidecar_(std::move(config)),
        controlSessions_(loop_,
                         {[this](const Address& at) { execute(sidecar_.sessionOpened(loop_.now(), at)); },
                          [this](const Address& at, const nlohmann::json& message) {
                            execute(sidecar_.handleMessage(loop_.now(), at, message));
                          },
                          [this](const Address& at) { sidecar_.markAlive(loop_.now(), at); },
                          [this](const Address& at) { execute(sidecar_.sessionClosed(loop_.now(), at)); }}),
        forwardClient_(loop_, {kForwardDialTimeout, kForwardIdleTimeout, kUserTimeout, kMaxBody, kMaxIdle}),
        serverClient_(loop_, {kServerDialTimeout, kServerIdleTimeout, Span{0}, kMaxBody, kMaxIdle}),
        deadline_(settings.grace) {}

  int run() {
    listen(settings_.outbound, clientListener_, HttpServerConnection::ListenerContext{},
           [this](const auto& connection, auto request) { requestReceived(connection, std::move(request)); });
    HttpServerConnection::ListenerContext forwards;
    forwards.idleTimeout = kInboundIdleTimeout;
    forwards.maxBodyBytes = kMaxBody;
    listen(settings_.inboundBind, forwardListener_, std::move(forwards),
           [this](const auto& connection, auto request) { forwardReceived(connection, std::move(request)); });
    listen(settings_.ready, readinessListener_, HttpServerConnection::ListenerContext{},
           [this](const auto& connection, auto request) {
             apiCalled(ApiListener::ready, connection, *request);
           });
    listen(settings_.control, serverListener_, HttpServerConnection::ListenerContext{},
           [this](const auto& connection, auto request) {
             apiCalled(ApiListener::control, connection, *request);
           });
    clientListener_->maxBodyBytes = kMaxBody;
    clientListener_->onAbandoned = [this](HttpServerConnection& connection) {
      clientDisconnected(connection);
    };
    forwardListener_->onAbandoned = [this](HttpServerConnection& connection) {
      forwardDisconnected(connection);
    };
    signals_.on(SIGTERM, [this] { stop(); });
    signals_.on(SIGINT, [this] { stop(); });
    signals_.on(SIGHUP, [this] { reloadSettings(); });
    reloadSettings();  // picks up changes made before the handler was installed
    loop_.runGuarded([this] { tick(); });
    log(LogLevel::info, "start", "", "listening", {{"life", sidecar_.admission().life().value}});
    logForwardCounts();
    loop_.run();
    return 0;
  }

 private:
  using ListenerContextPtr = std::shared_ptr<HttpServerConnection::ListenerContext>;
  struct OpenRequest {
    std::shared_ptr<HttpServerConnection> connection;
    std::shared_ptr<const http::Message> request;
  };
  struct Forward {
    HttpClient::RequestHandle handle;
    Address to;
    Span sentAt{};
    Span left{};  // when it was sent, until the client's deadline
  };

  template <class OnRequest>
  void listen(const Address& at, ListenerContextPtr& context, HttpServerConnection::ListenerContext settings,
              OnRequest onRequest) {
    context = std::make_shared<HttpServerConnection::ListenerContext>(std::move(settings));
    context->onRequest = std::move(onRequest);
    context->onAbandoned = [](HttpServerConnection&) {};
    if (at.value.empty()) return;
    listeners_.push_back(std::make_unique<Listener>(
        loop_, at, [this, context](Poco::Net::StreamSocket socket, std::string peer) {
          std::make_shared<HttpServerConnection>(loop_, context, std::move(socket), std::move(peer))->start();
        }));
  }

  // Whether a request can be completed before this process is killed. If not, the client is informed when the
  // restarted process will accept requests, so that it does not waste retries on this one.
  bool canComplete(const http::Message& request) {
    const Span now = loop_.now();
    if (now >= deadline_.exitAt()) exit("deadline");
    const auto route =
        sidecar_.router().routes().find(request.field("Host").value_or(""), request.startLinePart(1));
    if (!route) return true;
    const Span maximum = std::min(clientTimeout(request).value_or(route->timeout), route->timeout);
    return deadline_.accepts(now, route->targetTime, maximum);
  }

  // A request of a local client.
  void requestReceived(const std::shared_ptr<HttpServerConnection>& connection,
                       std::shared_ptr<const http::Message> request) {
    lastRequestAt_ = loop_.now();
    if (!sidecar_.serving(loop_.now())) return connection->respond(503, "Retry-After: 0.3\r\n", "");
    if (deadline_.stopping() && !canComplete(*request)) {
      const Span retryAfter = std::max(Span{0}, deadline_.exitAt() - loop_.now()) + kRestartTime;
      return connection->respond(503, "Retry-After: " + formatSeconds(retryAfter) + "\r\n", "");
    }
    const CallNo call{++lastCall_};
    ClientRequest summary;
    summary.host = request->field("Host").value_or("");
    summary.path = request->startLinePart(1);
    summary.timeout = clientTimeout(*request);
    calls_[call] = {connection, request};
    execute(sidecar_.requestReceived(loop_.now(), call, summary));
  }

  void clientDisconnected(const HttpServerConnection& connection) {
    for (auto& [call, open] : calls_) {
      if (open.connection.get() != &connection) continue;
      open.connection.reset();  // a request that continues has no receiver for its response
      loop_.post([this, call = call] { abandonRequest(call); });
    }
  }

  void abandonRequest(CallNo call) {
    SidecarActions actions = sidecar_.requestAbandoned(loop_.now(), call);
    const bool removed = !actions.routing.empty();
    execute(std::move(actions));
    if (removed) calls_.erase(call);
  }

  void forwardDisconnected(const HttpServerConnection& connection) {
    for (const auto& [id, open] : inbound_) {
      if (open.connection.get() != &connection) continue;
      loop_.post([this, id = id] { execute(sidecar_.forwardAbandoned(loop_.now(), id)); });
    }
  }

  // A forward from another sidecar to the local server.
  void forwardReceived(const std::shared_ptr<HttpServerConnection>& connection,
                       std::shared_ptr<const http::Message> request) {
    const auto field = request->field(kForwardHeader);
    const auto forward = field ? parseForwardRequest(*field) : std::nullopt;
    if (!forward) return connection->respond(400, "", "");
    const InboundRequestId id{++lastInbound_};
    inbound_[id] = {connection, request};
    std::optional<std::string> key;
    if (forward->kind == RouteKind::keyed) {
      if (const auto value = request->field(kOperationKeyHeader)) key = std::string(*value);
    }
    execute(sidecar_.forwardReceived(loop_.now(), id, *forward, key));
  }

  void apiCalled(ApiListener listener, const std::shared_ptr<HttpServerConnection>& connection,
                 const http::Message& request) {
    bool known = false;
    const auto match = findApiEndpoint(listener, MachineRole::auxiliary, request.startLinePart(0),
                                       request.startLinePart(1), known);
    if (!match) return connection->respond(known ? 405 : 404, "", "");
    if (match->endpoint->kind == ApiCall::readiness)
      return connection->respond(sidecar_.ready(loop_.now()) ? 200 : 503, "", "");
    ServerHeartbeat heartbeat;
    if (match->endpoint->kind == ApiCall::serverDeregistration) {
      heartbeat.id = {std::string(match->name)};
      heartbeat.gone = true;
    } else {
      Result<ServerHeartbeat> read = parseServerHeartbeat(match->name, request.body());
      if (!read) {
        log(LogLevel::warning, read.error().step, read.error().peer, read.error().what);
        return connection->respond(400, "", "");
      }
      heartbeat = std::move(read).value();
    }
    const ServerCallNo serverCall{++lastServerCall_};
    serverCalls_[serverCall] = connection;
    execute(sidecar_.serverCalled(loop_.now(), serverCall, heartbeat));
  }

  void respond(const ServerCallResponse& response) {
    const auto found = serverCalls_.find(response.call);
    if (found == serverCalls_.end()) return;
    if (response.acknowledged && response.replicas > 0)
      log(LogLevel::info, "server", "", "departure persisted", {{"replicas", response.replicas}});
    const auto connection = std::move(found->second);
    serverCalls_.erase(found);
    if (response.acknowledged) return connection->respond(200, "Content-Type: application/json\r\n", "{}");
    log(LogLevel::warning, "server", "",
        "departure not persisted by the control plane yet; the server must retry");
    connection->respond(503, "Retry-After: 0.2\r\n", "");
  }

  void execute(SidecarActions actions) {
    for (RoutingAction& action : actions.routing) this->execute(action);
    for (AdmissionAction& action : actions.admission) this->execute(action);
    for (const ControlClientAction& action : actions.control) controlSessions_.execute(action);
    for (const ServerCallResponse& response : actions.callResponses) respond(response);
    for (const ServerRecord& server : actions.serverChanges) logServer(server);
    scheduleTick();
  }

  void logServer(const ServerRecord& server) const {
    const char* const state = server.gone ? "signed off" : server.draining ? "drains" : "ready";
    log(LogLevel::info, "server", server.id.value, state,
        {{"life", server.life.value},
         {"seq", server.seq},
         {"process_leaves", server.leaving},
         {"admits", sidecar_.admission().admits(loop_.now(), server.id)}});
  }

  void logForwardCounts() {
    const nlohmann::json received = receivedCounts_.take();
    const nlohmann::json sent = sentCounts_.take();
    lostForwardLines_ = 0;
    if (!received.is_null() || !sent.is_null())
      log(LogLevel::info, "forwards", "", "counted", {{"received", received}, {"sent", sent}});
    loop_.after(kCountsInterval, [this] { logForwardCounts(); });
  }

  void execute(RoutingAction& action) {
    const auto found = calls_.find(action.call);
    if (found == calls_.end()) return;
    if (action.kind == RoutingAction::Kind::send) return forward(found->second, action);
    if (action.kind == RoutingAction::Kind::cancel) return cancelForward(action);
    const OpenRequest open = std::move(found->second);
    calls_.erase(found);
    if (!open.connection) return;
    if (action.kind == RoutingAction::Kind::pass) {
      open.connection->relay(std::static_pointer_cast<const http::Message>(action.bytes), "");
    } else {
      std::string fields;
      if (action.retryAfter > Span{0}) fields = "Retry-After: " + formatSeconds(action.retryAfter) + "\r\n";
      open.connection->respond(action.status, fields, "");
    }
  }

  void cancelForward(const RoutingAction& action) {
    const auto forward = forwards_.find(action.attempt);
    if (forward == forwards_.end()) return;
    forward->second.handle.cancel();
    forwards_.erase(forward);
  }

  void forward(const OpenRequest& open, const RoutingAction& action) {
    const Span now = loop_.now();
    Forward& sent = forwards_[action.attempt];
    sent.to = action.at;
    sent.sentAt = now;
    sent.left = action.forward.left;
    sent.handle = forwardClient_.send(
        action.at, forwardMessage(open.request, action.forward), {}, open.request->startLinePart(0) == "HEAD",
        now + action.forward.left + kServerMargin + kForwardMargin,
        [this, call = action.call, attempt = action.attempt](RequestOutcome outcome, RequestRef response) {
          forwardCompleted(call, attempt, outcome, std::move(response));
        },
        now + action.forward.left - kSendMargin);
  }

  void forwardCompleted(CallNo call, AttemptNo attempt, RequestOutcome outcome, RequestRef response) {
    const auto ended = forwards_.extract(attempt);
    const ForwardCompletion completion = forwardCompletion(outcome, response.get());
    sentCounts_.count(completion.reply.verdict);
    SidecarActions actions =
        sidecar_.forwardCompleted(loop_.now(), call, attempt, completion.result, completion.reply,
                                  completion.status, std::move(response));
    if (completion.result == ForwardResult::connectionLost && !ended.empty())
      logLostForward(ended.mapped(), actions.routing);
    execute(std::move(actions));
  }

  // Logs a forward whose connection ended without a response, and what follows from that for the client.
  void logLostForward(const Forward& lost, const RoutingActions& next) {
    if (++lostForwardLines_ > kMaxLostForwardLines) return;
    const Span age = loop_.now() - lost.sentAt;
    nlohmann::json fields{{"age_ms", age / 1ms}, {"left_ms", (lost.left - age) / 1ms}};
    for (const RoutingAction& action : next) {
      if (action.kind == RoutingAction::Kind::send) fields["sent_again_to"] = action.at.value;
      if (action.kind == RoutingAction::Kind::answer) fields["status"] = action.status;
    }
    log(LogLevel::info, "forward", lost.to.value, "lost", std::move(fields));
  }

  void execute(AdmissionAction& action) {
    const auto found = inbound_.find(action.request);
    if (found == inbound_.end()) return;
    if (action.kind == AdmissionAction::Kind::run) return runOnServer(found->second, action);
    if (action.kind == AdmissionAction::Kind::cancel) return cancelExecution(action.request);
    const OpenRequest open = std::move(found->second);
    inbound_.erase(found);
    const std::string reply = replyFields(action.reply);
    receivedCounts_.count(action.reply.verdict);
    if (!action.bytes) return open.connection->respond(503, reply, "");
    std::string fields;
    if (const auto attemptId = open.request->field(kAttemptIdHeader))
      fields = "Rackroute-Attempt-Id: " + std::string(*attemptId) + "\r\n";
    open.connection->relay(std::static_pointer_cast<const http::Message>(action.bytes), fields + reply,
                           kAttemptIdHeader);
  }

  void cancelExecution(InboundRequestId id) {
    const auto run = executions_.find(id);
    if (run == executions_.end()) return;
    run->second.cancel();
    executions_.erase(run);
  }

  void runOnServer(const OpenRequest& open, const AdmissionAction& action) {
    const std::string attemptId(open.request->field(kAttemptIdHeader).value_or(""));
    const Span now = loop_.now();
    executions_[action.request] = serverClient_.send(
        action.server, serverMessage(open.request, action), attemptId,
        open.request->startLinePart(0) == "HEAD", now + action.left + kServerMargin,
        [this, id = action.request](RequestOutcome outcome, const RequestRef& response) {
          executions_.erase(id);
          const ServerCompletion completion = serverCompletion(outcome, response);
          this->execute(sidecar_.executionEnded(loop_.now(), id, completion.result, completion.answer));
        },
        now + action.left - kSendMargin);
  }

  void scheduleTick() {
    const Span next = sidecar_.nextTick(loop_.now());
    if (tickScheduled_ && next >= nextTickAt_) return;
    loop_.cancel(tickTimer_);
    tickScheduled_ = true;
    nextTickAt_ = next;
    tickTimer_ = loop_.at(next, [this] {
      tickScheduled_ = false;
      deadline_.recordLateness(loop_.now(), loop_.now() - nextTickAt_);
      tick();
    });
  }

  void tick() {
    if (clientListener_) {
      const Limits& limits = sidecar_.router().routes().limits();
      clientListener_->headerTimeout = limits.headerTimeout;
      clientListener_->idleTimeout = limits.idleTimeout;
    }
    execute(sidecar_.tick(loop_.now()));
    if (const bool ready = sidecar_.ready(loop_.now()); ready != loggedReady_) {
      loggedReady_ = ready;
      log(LogLevel::info, "ready", "", ready ? "accepting requests" : "not accepting requests");
    }
  }

  void reloadSettings() {
    auto settings = readSettingsFile(settingsFile_);
    if (!settings)
      return log(LogLevel::error, settings.error().step, settings.error().peer, settings.error().what);
    std::vector<Address> seeds;
    for (const Address& seed : settings.value().seeds)
      seeds.push_back(meshAddress(seed, settings_.firstPort));
    execute(sidecar_.setSeeds(loop_.now(), std::move(seeds)));
  }

  void stop() {
    if (deadline_.stopping()) return;
    stopStartedAt_ = loop_.now();
    deadline_.start(stopStartedAt_);
    log(LogLevel::info, "stop", "", "leaving");
    clientListener_->draining = forwardListener_->draining = true;
    checkShutdown();
  }

  void checkShutdown() {
    const Span now = loop_.now();
    const bool idle = calls_.empty() && inbound_.empty() && lastRequestAt_ + kIdleBeforeExit <= now &&
                      clientListener_->allWritten() && forwardListener_->allWritten();
    if (idle && stopStartedAt_ + kMinDrain <= now) exit("idle");
    if (deadline_.exitAt() <= now) exit("deadline");
    execute(sidecar_.startDrain(now, deadline_.latestEnd()));
    loop_.at(now + kShutdownCheckInterval, [this, due = now + kShutdownCheckInterval] {
      deadline_.recordLateness(loop_.now(), loop_.now() - due);
      checkShutdown();
    });
  }

  // Exits without another pass over the connections and without destroying them, which can exceed the grace
  // period on a slow machine. The system delivers what has been written.
  [[noreturn]] void exit(const char* reason) {
    log(LogLevel::info, "stop", "", "stopped",
        {{"reason", reason},
         {"stopping_ms", (loop_.now() - stopStartedAt_) / 1ms},
         {"lateness_ms", deadline_.lateness() / 1ms},
         {"open_requests", calls_.size()},
         {"open_executions", executions_.size()},
         {"requests", describe(sidecar_.router().openWork(loop_.now()), kMaxLoggedWork)},
         {"executions", describe(sidecar_.admission().openWork(loop_.now()), kMaxLoggedWork)}});
    std::quick_exit(0);
  }

  EventLoop loop_;
  Settings settings_;
  std::string settingsFile_;
  sidecar::Signals signals_;
  Sidecar sidecar_;
  ControlSessions controlSessions_;
  HttpClient forwardClient_;
  HttpClient serverClient_;
  ListenerContextPtr clientListener_, forwardListener_, readinessListener_, serverListener_;
  std::vector<std::unique_ptr<Listener>> listeners_;
  std::map<CallNo, OpenRequest> calls_;
  std::map<InboundRequestId, OpenRequest> inbound_;
  std::map<ServerCallNo, std::shared_ptr<HttpServerConnection>> serverCalls_;  // not answered yet
  std::map<AttemptNo, Forward> forwards_;                                      // to other sidecars
  std::map<InboundRequestId, HttpClient::RequestHandle> executions_;           // at the local server
  sidecar::Loop::TimerId tickTimer_;
  Span nextTickAt_{};
  bool tickScheduled_ = false;
  bool loggedReady_ = false;  // the readiness that was last logged
  Span lastRequestAt_{};
  ShutdownDeadline deadline_;
  Span stopStartedAt_{};
  ForwardCounts receivedCounts_;      // from other sidecars
  ForwardCounts sentCounts_;          // to other sidecars
  std::size_t lostForwardLines_ = 0;  // since the counts were logged
  std::uint64_t lastCall_ = 0;
  std::uint64_t lastInbound_ = 0;
  std::uint64_t lastServerCall_ = 0;
};

}  // namespace

int runSidecar(const Settings& settings, Sidecar::Config config, const std::string& settingsFile) {
  return SidecarProgram(settings, std::move(config), settingsFile).run();
}

}  // namespace rackroute::mesh
