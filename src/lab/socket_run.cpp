#include "lab/socket_run.hpp"

#include <Poco/Exception.h>
#include <Poco/Net/ServerSocket.h>
#include <Poco/Observer.h>
#include <Poco/Process.h>
#include <Poco/TemporaryFile.h>
#include <signal.h>
#include <sys/wait.h>

#include <algorithm>
#include <charconv>
#include <csignal>
#include <deque>
#include <fstream>
#include <map>
#include <memory>
#include <set>
#include <sstream>
#include <thread>
#include <unordered_map>
#include <utility>

#include "http/message.hpp"
#include "lab/fleet.hpp"
#include "lab/registry_model.hpp"
#include "lab/run_model.hpp"
#include "lab/virtual_run.hpp"
#include "sidecar/connection.hpp"
#include "sidecar/log.hpp"
#include "sidecar/loop.hpp"

namespace rackroute::lab {
namespace {

using namespace std::chrono_literals;
using http::Message;
using http::ParseStatus;
using Poco::Net::ReadableNotification;
using Poco::Net::ServerSocket;
using Poco::Net::SocketAddress;
using Poco::Net::StreamSocket;
using sidecar::CloseReason;
using sidecar::Connection;
using sidecar::Loop;

constexpr std::uint32_t kMaxProcesses = 32;
constexpr Span kTimingTolerance = 50ms;  // added to each time limit of the audit
constexpr Span kMaxSendDelay = 10ms;     // sends and loop ticks beyond this count as late
constexpr double kMaxLateShare = 0.01;   // of sends or of lag checks; a run with more has no verdict
constexpr Span kLagCheckInterval = 5ms;
constexpr Span kStartupTimeout = 10s;  // until all processes answer /up
constexpr Span kProbeInterval = 20ms;
constexpr Span kKeepAliveInterval = 2s;             // empty line on idle watches
constexpr Span kDrainPeriod = 1s;                   // after the last query's timeout
constexpr Span kShutdownTimeout = 5s;               // from SIGTERM to SIGKILL
constexpr std::size_t kMaxClientConnections = 250;  // per process; further queries wait for a free connection
constexpr int kBacklog = 512;
constexpr std::size_t kMaxAnswerBytes = 1 << 20;

/// A loopback listener that passes accepted connections to a callback.
class Listener {
 public:
  using Accept = std::function<void(StreamSocket)>;
  Listener(Loop& loop, Accept accept) : loop_(loop), accept_(std::move(accept)) {}
  Listener(const Listener&) = delete;
  Listener& operator=(const Listener&) = delete;
  ~Listener() { close(); }

  void open() {
    socket_ = ServerSocket();
    socket_.bind(address_, true, false);
    socket_.listen(kBacklog);
    socket_.setBlocking(false);
    address_ = socket_.address();
    loop_.addEventHandler(socket_, Readable(*this, &Listener::ready));
    listening_ = true;
  }
  void close() {
    if (!std::exchange(listening_, false)) return;
    loop_.removeEventHandler(socket_, Readable(*this, &Listener::ready));
    socket_.close();
  }
  [[nodiscard]] std::string address() const { return address_.toString(); }

 private:
  using Readable = Poco::Observer<Listener, ReadableNotification>;
  void ready(ReadableNotification* event) {
    event->release();
    loop_.runGuarded([this] {
      try {
        accept_(socket_.acceptConnection());
      } catch (const Poco::Exception&) {
        return;  // the peer closed the connection before it was accepted
      }
    });
  }
  Loop& loop_;
  Accept accept_;
  SocketAddress address_{"127.0.0.1", 0};
  ServerSocket socket_;
  bool listening_ = false;
};

class SocketRun;

class ServerLink : public Connection {  // a connection of a balancer to a simulated server
 public:
  ServerLink(SocketRun& run, Loop& loop, std::size_t server, const StreamSocket& socket)
      : Connection(loop, "server", socket, ""), run_(run), server_(server) {}
  void start();
  void reply(const std::string& bytes, bool thenEnd);
  [[nodiscard]] std::size_t server() const { return server_; }

  std::optional<std::uint64_t> job_;  // the execution it waits for
 private:
  void received() override;
  void closed(CloseReason reason) override;
  void idle();
  SocketRun& run_;
  std::size_t server_;
  http::Reader reader_{http::Reader::Kind::request};
  Loop::TimerId idle_;
};

class ClientLink : public Connection {  // a client connection to a balancer
 public:
  ClientLink(SocketRun& run, Loop& loop, std::uint32_t balancer)
      : Connection(loop, "client", StreamSocket(SocketAddress::IPv4), ""), run_(run), balancer_(balancer) {}
  void sendRequest(std::uint32_t query, const std::string& bytes) {
    query_ = query;
    ++requestCount_;
    http::GatherBuffer pieces;
    pieces.text(bytes);
    send(std::move(pieces));
  }
  std::optional<std::uint32_t> query_;
  std::uint32_t requestCount_ = 0;  // 0: used only for /up

 private:
  void received() override;
  void closed(CloseReason reason) override;
  SocketRun& run_;
  std::uint32_t balancer_;
  http::Reader reader_{http::Reader::Kind::response, kMaxAnswerBytes};
};

class DiscoveryLink : public Connection {
 public:
  DiscoveryLink(SocketRun& run, Loop& loop, std::uint32_t balancer, const StreamSocket& socket)
      : Connection(loop, "discovery", socket, ""), run_(run), balancer_(balancer) {}
  void sendLine(const std::string& line);
  bool watches_ = false;

 private:
  void received() override;
  void closed(CloseReason reason) override;
  void scheduleKeepAlive();
  SocketRun& run_;
  std::uint32_t balancer_;
  http::Reader reader_{http::Reader::Kind::request};
  Loop::TimerId keepAliveTimer_;
};

struct Execution {
  std::size_t server = 0;
  std::weak_ptr<ServerLink> link;
  bool error = false;
  bool over = false;
};

struct Attempt {
  ClientRequest request;
  std::uint32_t attemptNo = 0;
  Span deadline{};
  bool answered = false;
  bool abandoned = false;
  bool resent = false;
  Span sentAt{};  // by the clock of the loop
  std::weak_ptr<ClientLink> link;
  std::vector<Execution> executions;
};

struct Machine : SimulatedServer {
  using SimulatedServer::SimulatedServer;
  std::unique_ptr<Listener> listener;
  std::map<ServerLink*, std::shared_ptr<ServerLink>> links;
  Loop::TimerId completionTimer;
};

struct Node {  // one rackroute process with its discovery service
  std::string address;
  std::unique_ptr<Listener> discovery;
  std::map<DiscoveryLink*, std::shared_ptr<DiscoveryLink>> calls;
  std::map<ClientLink*, std::shared_ptr<ClientLink>> clients;
  std::vector<std::shared_ptr<ClientLink>> idle;
  std::deque<std::uint32_t> waiting;  // queries that wait for a connection
  std::unique_ptr<Poco::TemporaryFile> file;
  std::optional<Poco::ProcessHandle> process;
  std::uint64_t index = 1;
  bool up = false;
  bool probing = false;  // a /up probe is in flight
};

class SocketRun : public FaultTarget {
 public:
  SocketRun(const Scenario& scenario, const SocketPlan& plan);
  ~SocketRun() override;
  Result run();

  // ---- Events of connections
  void executionReceived(ServerLink& link, const Message& message);
  void executionClosed(ServerLink& link);
  void answerReceived(std::uint32_t balancer, ClientLink& link, const Message& message);
  void clientConnectionClosed(std::uint32_t balancer, ClientLink& link);
  void discoveryRequestReceived(std::uint32_t balancer, DiscoveryLink& link, const Message& message);
  void discoveryConnectionClosed(std::uint32_t balancer, DiscoveryLink& link);
  void serverLinkClosed(ServerLink& link) { servers_[link.server()].links.erase(&link); }
  [[nodiscard]] Span idleTime() const { return scenario_.connectionIdle; }

 private:
  void in(Span wait, Loop::Task task) { loop_.after(wait, std::move(task)); }
  void launch(std::uint32_t balancer);
  void startProcess(std::uint32_t balancer);
  void restartProcess(std::uint32_t balancer);
  void signal(std::uint32_t balancer, int number);
  void probeUp(std::uint32_t balancer);
  void begin();

  void arrive();
  void sendAttempt(const ClientRequest& request, std::uint32_t attemptNo);
  void sendQuery(std::uint32_t query);
  void serveWaiting(std::uint32_t balancer);
  void clientGivesUp(std::uint32_t query, bool disconnects);
  void retryOrSettle(std::uint32_t query, const ClientAction& next);
  void settle(std::uint32_t query, Fate fate);

  void offer(std::uint32_t query, std::uint32_t no);
  void schedule(std::size_t server);
  void finish(std::size_t server, const Finished& finished);
  void reply(std::uint32_t query, std::uint32_t no, Outcome outcome);
  Span networkDelay(const ClientRequest& request, std::size_t server);

  [[nodiscard]] Span now() const override { return loop_.now() - startTime_; }
  void runAfter(Span wait, std::function<void()> task) override { in(wait, std::move(task)); }
  SimulatedServer& simulatedServer(std::size_t server) override { return servers_[server]; }
  void reschedule(std::size_t server) override { schedule(server); }
  void stopServer(std::size_t server, bool vanish) override;
  void startServer(std::size_t server) override;
  void lifecycleChanged(std::size_t server, Lifecycle lifecycle) override;
  void partitionZone(std::optional<std::uint32_t>) override {}  // rejected by runSockets()
  void watchLost(std::uint32_t balancer) override;
  void sendSnapshot(std::uint32_t balancer) override;
  void sendChanges(std::uint32_t balancer);
  std::string encodeList(std::uint32_t balancer, bool snapshot, const std::vector<RegistryEntry>& entries);
  void checkLag(Span due);
  void sample();

  const Scenario& scenario_;
  const SocketPlan& plan_;
  Loop loop_;
  Span startTime_{};
  std::chrono::system_clock::time_point startWallTime_;
  RunStatistics statistics_;
  Audit audit_;
  Clients clients_;
  RandomEngine network_;
  RandomEngine random_;
  RegistryModel registry_;
  BalancerViews views_;
  std::vector<Machine> servers_;
  std::vector<Node> nodes_;
  std::unique_ptr<Companion> companion_;
  std::unordered_map<std::uint32_t, Attempt> attempts_;
  DedupGroups dedupGroups_;
  std::vector<std::vector<std::size_t>> affected_;
  std::optional<ClientRequest> next_;
  std::uint32_t lastQueryId_ = 0;
  std::uint64_t sends_ = 0;
  std::uint64_t lateSends_ = 0;
  std::uint64_t lagChecks_ = 0;
  std::uint64_t lateLagChecks_ = 0;
  Span latest_{};
  bool begun_ = false;
};

std::string answerBytes(const std::string& head, const std::string& body) {
  return "HTTP/1.1 " + head + "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}

// ---- Connections

void ServerLink::start() {
  open();
  idle();
  readNow();
}

void ServerLink::idle() {
  loop_.cancel(idle_);
  idle_ = loop_.after(run_.idleTime(), [this] { end(CloseReason::idle); });
}

void ServerLink::received() {
  if (job_) return end(CloseReason::badMessage);
  if (reader_.read(in_) == ParseStatus::needMore) return;
  loop_.cancel(idle_);
  run_.executionReceived(*this, reader_.take(in_));
}

void ServerLink::reply(const std::string& bytes, bool thenEnd) {
  if (ended()) return;
  job_.reset();
  http::GatherBuffer pieces;
  pieces.text(bytes);
  send(std::move(pieces));
  if (thenEnd) return finish(CloseReason::done);
  idle();
}

void ServerLink::closed(CloseReason) {
  loop_.cancel(idle_);
  run_.executionClosed(*this);
  run_.serverLinkClosed(*this);
}

void ClientLink::received() {
  if (reader_.read(in_) != ParseStatus::done) return;
  run_.answerReceived(balancer_, *this, reader_.take(in_));
}

void ClientLink::closed(CloseReason) { run_.clientConnectionClosed(balancer_, *this); }

void DiscoveryLink::received() {
  if (watches_ || reader_.read(in_) != ParseStatus::done) return;
  run_.discoveryRequestReceived(balancer_, *this, reader_.take(in_));
}

void DiscoveryLink::sendLine(const std::string& line) {
  if (ended()) return;
  std::ostringstream size;
  size << std::hex << line.size() + 1;
  http::GatherBuffer pieces;
  pieces.text(size.str() + "\r\n" + line + "\n\r\n");
  send(std::move(pieces));
  scheduleKeepAlive();
}

void DiscoveryLink::scheduleKeepAlive() {
  loop_.cancel(keepAliveTimer_);
  keepAliveTimer_ = loop_.after(kKeepAliveInterval, [this] { sendLine(""); });
}

void DiscoveryLink::closed(CloseReason) {
  loop_.cancel(keepAliveTimer_);
  run_.discoveryConnectionClosed(balancer_, *this);
}

// ---- The run

AuditLimits socketAuditLimits(const Scenario& scenario) {
  AuditLimits limits = auditLimitsOf(scenario);
  limits.lag = kTimingTolerance;
  return limits;
}

SocketRun::SocketRun(const Scenario& scenario, const SocketPlan& plan)
    : scenario_(scenario),
      plan_(plan),
      statistics_(scenario),
      audit_(socketAuditLimits(scenario)),
      clients_(scenario, plan.seed),
      network_(makeRandomEngine(plan.seed, Purpose::network)),
      random_(makeRandomEngine(plan.seed, Purpose::troubles, scenario.troubles.size())),
      registry_(scenario),
      views_(scenario, drawFleet(scenario, plan.seed), audit_) {
  const std::vector<FleetServer> fleet = drawFleet(scenario, plan.seed);
  for (const FleetServer& spec : fleet) {
    const std::size_t index = servers_.size();
    servers_.emplace_back(spec);
    Machine& server = servers_.back();
    server.listener = std::make_unique<Listener>(loop_, [this, index](const StreamSocket& socket) {
      Machine& machine = servers_[index];
      // Connections beyond the limit of the server are closed.
      if (machine.links.size() >= machine.spec.traits.connections) return;
      auto link = std::make_shared<ServerLink>(*this, loop_, index, socket);
      machine.links.emplace(link.get(), link);
      statistics_.dialled();
      statistics_.connections(machine.links.size());
      link->start();
    });
    server.listener->open();
    if (!spec.atStart) {
      server.listener->close();
      static_cast<void>(server.model.stop(Span{}));
    }
    registry_.add({spec.id, index, spec.zone, spec.cell, spec.size}, spec.atStart);
  }
  for (std::size_t no = 0; no < scenario.troubles.size(); ++no)
    affected_.push_back(affectedServers(scenario, no, fleet, plan.seed));
  nodes_.resize(scenario.balancers);
  if (plan.companion) companion_ = plan.companion(loop_);
  for (std::uint32_t i = 0; i < scenario.balancers; ++i) launch(i);
}

// No process outlives the run, also when it ends by an exception.
SocketRun::~SocketRun() {
  for (Node& node : nodes_) {
    if (node.process) ::kill(node.process->id(), SIGTERM);
  }
  const auto last = std::chrono::steady_clock::now() + kShutdownTimeout;
  for (Node& node : nodes_) {
    if (!node.process) continue;
    int status = 0;
    while (::waitpid(node.process->id(), &status, WNOHANG) == 0) {
      if (std::chrono::steady_clock::now() > last) ::kill(node.process->id(), SIGKILL);
      std::this_thread::sleep_for(10ms);
    }
  }
}

void SocketRun::launch(std::uint32_t balancer) {
  Node& node = nodes_[balancer];
  node.address = ServerSocket(SocketAddress("127.0.0.1", 0)).address().toString();
  node.discovery = std::make_unique<Listener>(loop_, [this, balancer](const StreamSocket& socket) {
    if (registry_.inOutage()) return;
    auto link = std::make_shared<DiscoveryLink>(*this, loop_, balancer, socket);
    nodes_[balancer].calls.emplace(link.get(), link);
    link->open();
  });
  node.discovery->open();
  const auto millis = [](Span span) { return static_cast<double>(span.count()) / 1000; };
  const BalancerConfig balancerConfig = scenario_.balancerConfig(plan_.seed, balancer);
  Json settings;
  settings["locality"] = std::string("z").append(std::to_string(balancerConfig.zone.value));
  settings["granularity_ms"] = millis(scenario_.tick);
  settings["registry_mode"] = "on_request";
  settings["peers_total"] = scenario_.balancers;
  settings["my_number"] = balancer;
  settings["family_info"]["warm_keys"] = balancerConfig.keyAffinity;
  for (const UseCasePlan& plan : scenario_.useCases) {
    static constexpr std::array<const char*, 3> effects = {"retryable", "dedup", "fragile"};
    static constexpr std::array<const char*, 3> groups = {"all", "zone", "cell"};
    settings["use_cases"].push_back(
        {{"name", plan.name},
         {"effect", effects.at(static_cast<std::size_t>(plan.useCase.retrySafety))},
         {"group", groups.at(static_cast<std::size_t>(plan.useCase.dedupScope))},
         {"window_ms", millis(plan.useCase.dedupWindow)},
         {"importance", plan.useCase.importance},
         {"late_importance", plan.useCase.lateImportance},
         {"slo_time_ms", millis(plan.useCase.sloTime)}});
  }
  settings["bounds"] = {{"max_executions", scenario_.maxExecutions},
                        {"dial_timeout_ms", millis(scenario_.dialTimeout)},
                        {"conn_idle_ms", millis(scenario_.connectionIdle)},
                        {"retry_after", scenario_.maxRetryAfter > Span{0}},
                        {"max_retry_after_ms", millis(scenario_.maxRetryAfter)}};
  settings["rules"] = {{"drain_grace_ms", millis(scenario_.drainGrace)},
                       {"cold_share", scenario_.traits.coldShare},
                       {"cold_ms", millis(scenario_.traits.coldTime)},
                       {"tip_multiple", scenario_.traits.overloadMultiple},
                       {"overload_for_ms", millis(scenario_.traits.overloadWindow)}};
  std::ostringstream seed;
  seed << std::hex << balancerConfig.seed;
  Json config;
  config["name"] = std::string("n").append(std::to_string(balancer));
  config["listen"] = node.address;
  config["discovery"] = node.discovery->address();
  config["seed"] = seed.str();
  config["limits"]["sockets"] = 1024;
  config["known"] = Json::parse(encodeList(balancer, true, registry_.snapshot()));
  config["settings"] = settings;
  if (companion_) config.merge_patch(companion_->configPatch(balancer, node.discovery->address()));
  node.file = std::make_unique<Poco::TemporaryFile>();
  std::ofstream(node.file->path()) << config.dump();
  startProcess(balancer);
}

void SocketRun::startProcess(std::uint32_t balancer) {
  Node& node = nodes_[balancer];
  node.process = Poco::Process::launch(plan_.program, {}, nullptr, nullptr, nullptr,
                                       {{"LB_CONFIG", node.file->path()}, {"RACKROUTE_LOG", "error"}});
  probeUp(balancer);
}

// Queries in flight at a killed or stopped process are not breaches: their clients give up, and new queries
// fail until the process is up again.
void SocketRun::signal(std::uint32_t balancer, int number) {
  Node& node = nodes_[balancer];
  if (!node.process) return;
  ::kill(node.process->id(), number);
  if (number == SIGCONT) return probeUp(balancer);
  node.up = false;
  if (number == SIGTERM) return;  // answers in flight are still expected
  std::vector<std::uint32_t> pending;
  for (const auto& [query, attempt] : attempts_) {
    if (attempt.request.balancer == balancer && !attempt.answered && !attempt.abandoned)
      pending.push_back(query);
  }
  std::ranges::sort(pending);
  for (const std::uint32_t query : pending) clientGivesUp(query, false);
  node.waiting.clear();
  node.idle.clear();
  const auto clients = node.clients;
  for (const auto& [at, link] : clients) link->end(CloseReason::done);
  if (number != SIGKILL) return;
  int status = 0;
  ::waitpid(node.process->id(), &status, 0);
  node.process.reset();
}

// A process that is still shutting down would keep the address in use.
void SocketRun::restartProcess(std::uint32_t balancer) {
  Node& node = nodes_[balancer];
  if (node.process) {
    int status = 0;
    ::kill(node.process->id(), SIGKILL);
    ::waitpid(node.process->id(), &status, 0);
  }
  startProcess(balancer);
}

void SocketRun::probeUp(std::uint32_t balancer) {
  Node& node = nodes_[balancer];
  if (node.up || std::exchange(node.probing, true)) return;
  auto link = std::make_shared<ClientLink>(*this, loop_, balancer);
  node.clients.emplace(link.get(), link);
  link->dial(SocketAddress(node.address));
  http::GatherBuffer pieces;
  pieces.text("GET /up HTTP/1.1\r\nHost: b\r\n\r\n");
  link->send(std::move(pieces));
}

Result SocketRun::run() {
  loop_.after(kStartupTimeout, [this] {
    if (!begun_) loop_.stop();
  });
  loop_.run();
  if (!begun_) throw std::runtime_error("processes did not start within 10 s: " + plan_.program);
  audit_.close(now());
  Result result;
  result.goodput = statistics_.goodput();
  result.breaches = audit_.count();
  result.breachDetails = audit_.breaches();
  const auto tooMany = [](std::uint64_t late, std::uint64_t all) {
    return static_cast<double>(late) > kMaxLateShare * static_cast<double>(all);
  };
  result.ranLate = tooMany(lateSends_, sends_) || tooMany(lateLagChecks_, lagChecks_);
  result.json = resultJson(scenario_, "module", "sockets", plan_.seed, statistics_, audit_);
  result.json["lab_late"] = {{"sends", sends_},
                             {"late", lateSends_},
                             {"beats", lagChecks_},
                             {"late_beats", lateLagChecks_},
                             {"latest_ms", static_cast<double>(latest_.count()) / 1000},
                             {"verdict", result.ranLate ? "the lab ran late: no verdict" : "in time"}};
  if (companion_) result.json["beside"] = companion_->finish();
  return result;
}

void SocketRun::begin() {
  begun_ = true;
  startTime_ = loop_.now();
  startWallTime_ = std::chrono::system_clock::now();
  for (std::size_t no = 0; no < scenario_.troubles.size(); ++no) {
    const Trouble& planned = scenario_.troubles[no];
    const auto apply = [this, no](bool begins) {
      applyTrouble(scenario_.troubles[no], begins, affected_[no], servers_.size(), registry_, *this);
    };
    in(planned.at, [apply] { apply(true); });
    in(planned.at + planned.length, [apply] { apply(false); });
  }
  next_ = clients_.next();
  if (next_) in(next_->at, [this] { arrive(); });
  Span longest{};
  for (const UseCasePlan& plan : scenario_.useCases) longest = std::max(longest, plan.timeout);
  in(scenario_.length + longest + kDrainPeriod, [this] { loop_.stop(); });
  checkLag(now());
  sample();
  if (companion_)
    companion_->begin({[this](std::uint32_t balancer) { restartProcess(balancer); },
                       [this](std::uint32_t balancer, int number) { signal(balancer, number); }});
}

// ---- Clients

void SocketRun::arrive() {
  while (next_ && next_->at <= now()) {
    const ClientRequest request = *next_;
    const Span late = now() - request.at;
    ++sends_;
    lateSends_ += late > kMaxSendDelay ? 1 : 0;
    latest_ = std::max(latest_, late);
    next_ = clients_.next();
    sendAttempt(request, 1);
  }
  if (next_) in(next_->at - now(), [this] { arrive(); });
}

void SocketRun::sendAttempt(const ClientRequest& request, std::uint32_t attemptNo) {
  const std::uint32_t query = ++lastQueryId_;
  const Span timeout = scenario_.useCases[request.useCase].timeout;
  Attempt& attempt = attempts_[query];
  attempt.request = request;
  attempt.attemptNo = attemptNo;
  attempt.deadline = std::min(now() + span(scenario_.tryShare * seconds(timeout)), request.at + timeout);
  const Span left = attempt.deadline - now();
  sendQuery(query);
  in(left + scenario_.answerSlack + kTimingTolerance + 1ms, [this, query] { clientGivesUp(query, false); });
  if (request.disconnectsAfter <= 1)
    in(span(request.disconnectsAfter * seconds(left)), [this, query] { clientGivesUp(query, true); });
}

void SocketRun::sendQuery(std::uint32_t query) {
  Attempt& attempt = attempts_.at(query);
  Node& node = nodes_[attempt.request.balancer];
  if (!node.up) {  // the process is down
    attempt.abandoned = true;
    return retryOrSettle(query, afterTimeout(scenario_, attempt.request, attempt.attemptNo, now()));
  }
  const UseCasePlan& plan = scenario_.useCases[attempt.request.useCase];
  const auto left = std::max<std::int64_t>((attempt.deadline - now()) / 1ms, 1);
  std::ostringstream text;
  const bool idempotent = plan.useCase.retrySafety == RetrySafety::idempotent;
  text << (idempotent ? "GET /" : "POST /") << plan.name;
  if (attempt.request.key) text << '/' << std::hex << *attempt.request.key << std::dec;
  text << " HTTP/1.1\r\nHost: b\r\nX-Request-Id: " << query << "\r\nX-Class: " << plan.name
       << "\r\nX-Deadline-Ms: " << left << "\r\n";
  if (plan.useCase.retrySafety == RetrySafety::deduplicated)
    text << "Idempotency-Key: " << attempt.request.number << "\r\n";
  text << (idempotent ? "\r\n" : "Content-Length: 2\r\n\r\n{}");
  std::shared_ptr<ClientLink> link;
  while (!node.idle.empty() && !link) {
    link = node.idle.back();
    node.idle.pop_back();
    if (link->ended() || link->stale()) link.reset();
  }
  // Bounds the descriptors that clients use when the program is slow.
  if (!link && node.clients.size() >= kMaxClientConnections) return node.waiting.push_back(query);
  if (!link) {
    link = std::make_shared<ClientLink>(*this, loop_, attempt.request.balancer);
    node.clients.emplace(link.get(), link);
    link->dial(SocketAddress(node.address));
  }
  attempt.link = link;
  attempt.sentAt = loop_.now();
  if (!attempt.resent)
    audit_.queryReceived(now(), query, attempt.request.balancer, {attempt.request.useCase}, attempt.deadline,
                         attempt.request.number);
  link->sendRequest(query, text.str());
}

void SocketRun::serveWaiting(std::uint32_t balancer) {
  std::deque<std::uint32_t>& waiting = nodes_[balancer].waiting;
  while (!waiting.empty()) {
    const std::uint32_t query = waiting.front();
    waiting.pop_front();
    if (!attempts_.at(query).abandoned) return sendQuery(query);
  }
}

void SocketRun::clientGivesUp(std::uint32_t query, bool disconnects) {
  const auto at = attempts_.find(query);
  if (at == attempts_.end() || at->second.answered || at->second.abandoned) return;
  at->second.abandoned = true;
  audit_.clientLeft(now(), query);
  if (const auto link = at->second.link.lock()) {
    link->query_.reset();
    link->end(CloseReason::done);
  }
  if (disconnects) return settle(query, Fate::left);
  retryOrSettle(query, afterTimeout(scenario_, at->second.request, at->second.attemptNo, now()));
}

void SocketRun::answerReceived(std::uint32_t balancer, ClientLink& link, const Message& message) {
  Node& node = nodes_[balancer];
  const auto query = std::exchange(link.query_, std::nullopt);
  in(Span{}, [this, balancer] { serveWaiting(balancer); });
  if (message.keepsAlive())
    node.idle.push_back(node.clients.at(&link));
  else
    link.end(CloseReason::closeAsked);
  if (!query) {  // response to a /up probe
    node.up = true;
    node.probing = false;
    if (!begun_ && std::all_of(nodes_.begin(), nodes_.end(), [](const Node& n) { return n.up; })) begin();
    return;
  }
  const auto at = attempts_.find(*query);
  if (at == attempts_.end()) return;
  Attempt& attempt = at->second;
  attempt.answered = true;
  const bool rejected = message.status() == 503 || message.status() == 429;
  const Answer how = message.status() == 200 ? Answer::completed
                     : rejected              ? Answer::rejected
                                             : Answer::aborted;
  // If traffic was dropped meanwhile, it is unknown whether the balancer gave up in time: the query is not
  // audited.
  const bool inconclusive =
      how != Answer::completed && companion_ && companion_->lastLossAt(balancer) > attempt.sentAt;
  if (inconclusive) audit_.clientLeft(now(), *query);
  if (!inconclusive && how != Answer::completed) audit_.gaveUp(now(), *query);
  if (!inconclusive) audit_.answered(now(), *query, how);
  Span advice{};
  if (const auto field = message.field("Retry-After")) {
    double value = 0;
    std::from_chars(field->data(), field->data() + field->size(), value);
    advice = span(value);
  }
  retryOrSettle(*query, afterAnswer(scenario_, attempt.request, attempt.attemptNo, how, advice, now()));
}

void SocketRun::retryOrSettle(std::uint32_t query, const ClientAction& next) {
  if (!next.retryDelay) return settle(query, next.fate);
  statistics_.retried();
  const ClientRequest request = attempts_.at(query).request;
  const std::uint32_t attemptNo = attempts_.at(query).attemptNo + 1;
  in(*next.retryDelay, [this, request, attemptNo] { sendAttempt(request, attemptNo); });
}

void SocketRun::settle(std::uint32_t query, Fate fate) {
  const Attempt& ended = attempts_.at(query);
  statistics_.requestFinished(ended.request.at, ended.request.useCase, fate, now() - ended.request.at);
}

// A balancer may close an idle connection while a query is being sent; such a query is resent once on a new
// one.
void SocketRun::clientConnectionClosed(std::uint32_t balancer, ClientLink& link) {
  Node& node = nodes_[balancer];
  const auto query = std::exchange(link.query_, std::nullopt);
  const bool reused = link.requestCount_ > 1;
  const auto found = node.clients.find(&link);
  if (found != node.clients.end()) {
    std::erase(node.idle, found->second);
    loop_.deferDestruction(found->second);
    node.clients.erase(found);
  }
  in(Span{}, [this, balancer] { serveWaiting(balancer); });
  if (!query) {
    if (link.requestCount_ > 0) return;  // not a /up probe
    node.probing = false;
    in(kProbeInterval, [this, balancer] { probeUp(balancer); });
    return;
  }
  const auto at = attempts_.find(*query);
  if (at == attempts_.end()) return;
  if (reused && !std::exchange(at->second.resent, true)) return sendQuery(*query);
  // The query was accepted and lost: the audit reports it at its deadline.
}

// ---- Servers

Span SocketRun::networkDelay(const ClientRequest& request, std::size_t server) {
  const bool near = servers_[server].spec.zone.value == request.balancer % scenario_.zones;
  return span(seconds(near ? scenario_.sameZoneDelay : scenario_.crossZoneDelay) *
              (1 + scenario_.jitter * (2 * uniform01(network_) - 1)));
}

void SocketRun::executionReceived(ServerLink& link, const Message& message) {
  std::uint32_t query = 0;
  const std::string_view id = message.field("X-Request-Id").value_or("");
  std::from_chars(id.data(), id.data() + id.size(), query);
  const auto at = attempts_.find(query);
  if (at == attempts_.end()) return link.reply(answerBytes("400 Bad Request\r\n", ""), true);
  Attempt& attempt = at->second;
  const Machine& server = servers_[link.server()];
  const auto no = static_cast<std::uint32_t>(attempt.executions.size());
  attempt.executions.push_back(
      {link.server(), std::static_pointer_cast<ServerLink>(link.shared_from_this()), false, false});
  link.job_ = std::uint64_t{query} << 8U | no;
  audit_.sent(now(), query, no, server.spec.id, server.spec.zone, server.spec.cell);
  statistics_.executed();
  if (server.spec.zone.value != attempt.request.balancer % scenario_.zones) statistics_.crossed();
  in(networkDelay(attempt.request, link.server()), [this, query, no] { offer(query, no); });
}

void SocketRun::offer(std::uint32_t query, std::uint32_t no) {
  Attempt& attempt = attempts_.at(query);
  Execution& execution = attempt.executions[no];
  Machine& server = servers_[execution.server];
  if (execution.over || !server.model.up()) return;
  Job job = dedupGroups_.makeJob(scenario_, attempt.request, server.spec, std::uint64_t{query} << 8U | no);
  if (server.resetShare > 0 && uniform01(random_) < server.resetShare)
    return reply(query, no, Outcome::reset);
  const bool matches = !server.errorUseCase || *server.errorUseCase == attempt.request.useCase;
  if (matches && server.errorShare > 0 && uniform01(random_) < server.errorShare) {
    execution.error = true;
    job.work *= kErrorWorkShare;
    job.dedup = nullptr;
  }
  statistics_.sent(now(), execution.server, job.work);
  audit_.workReceived(now(), server.spec.id, attempt.request.balancer, job.work);
  const bool accepted = server.model.offer(now(), job);
  if (server.model.overloaded()) return stopServer(execution.server, false);
  if (!accepted) return reply(query, no, Outcome::full);
  schedule(execution.server);
}

void SocketRun::schedule(std::size_t server) {
  Machine& machine = servers_[server];
  loop_.cancel(machine.completionTimer);
  if (const std::optional<Span> next = machine.model.next()) {
    machine.completionTimer = loop_.at(startTime_ + *next, [this, server] {
      for (const Finished& finished : servers_[server].model.advance(now())) finish(server, finished);
      schedule(server);
    });
  }
}

void SocketRun::finish(std::size_t server, const Finished& finished) {
  const auto query = static_cast<std::uint32_t>(finished.job.id >> 8U);
  const auto no = static_cast<std::uint32_t>(finished.job.id & 0xffU);
  Attempt& attempt = attempts_.at(query);
  const Execution& execution = attempt.executions[no];
  statistics_.worked(finished.worked);
  if (finished.effect && !execution.error) {
    const UseCase& use = scenario_.useCases[attempt.request.useCase].useCase;
    audit_.effect(now(), query, attempt.request.number, use.retrySafety, servers_[server].spec.id);
  }
  if (execution.over || execution.error || attempt.answered || attempt.abandoned)
    statistics_.wasted(finished.worked);
  if (execution.over) return;
  if (execution.error) return reply(query, no, Outcome::error);
  const Machine& machine = servers_[server];
  if (machine.truncateShare > 0 && uniform01(random_) < machine.truncateShare)
    return reply(query, no, Outcome::reset);
  const bool malformed = machine.malformShare > 0 && uniform01(random_) < machine.malformShare;
  reply(query, no, malformed ? Outcome::cancelled : Outcome::completed);
}

void SocketRun::reply(std::uint32_t query, std::uint32_t no, Outcome outcome) {
  const Attempt& attempt = attempts_.at(query);
  const std::size_t server = attempt.executions[no].server;
  in(networkDelay(attempt.request, server), [this, query, no, server, outcome] {
    Execution& execution = attempts_.at(query).executions[no];
    const auto link = execution.link.lock();
    if (execution.over || !link || link->ended()) return;
    execution.over = true;
    statistics_.outcome(outcome);
    audit_.ended(now(), query, no, outcome);
    std::string report;
    if (scenario_.traits.reportEvery > Span{0})
      report = "X-Load: {\"lat_ms\":" + std::to_string(1000 * seconds(servers_[server].model.reported())) +
               "}\r\n";
    switch (outcome) {
      case Outcome::completed:
        return link->reply(answerBytes("200 OK\r\n" + report, "{\"ok\":true}"), false);
      case Outcome::full:
        return link->reply(answerBytes("503 Service Unavailable\r\nX-Not-Run: 1\r\n" + report, ""), false);
      case Outcome::error:
        return link->reply(answerBytes("500 Internal Server Error\r\n" + report, ""), false);
      case Outcome::cancelled:  // malformed answer
        return link->reply("HTTP/1.1 2x0 \\x01 OK\r\nContent-Length: -7\r\n\r\n", false);
      default:  // truncated answer
        return link->reply("HTTP/1.1 200 OK\r\nContent-Length: 100\r\n\r\nhalf", true);
    }
  });
}

void SocketRun::executionClosed(ServerLink& link) {
  const auto job = std::exchange(link.job_, std::nullopt);
  if (!job) return;
  const auto query = static_cast<std::uint32_t>(*job >> 8U);
  const auto no = static_cast<std::uint32_t>(*job & 0xffU);
  Execution& execution = attempts_.at(query).executions[no];
  if (std::exchange(execution.over, true)) return;
  const Outcome outcome = servers_[link.server()].model.up() ? Outcome::cancelled : Outcome::reset;
  statistics_.outcome(outcome);
  audit_.ended(now(), query, no, outcome);
  if (const auto worked = servers_[link.server()].model.cancel(now(), *job)) {
    statistics_.worked(*worked);
    statistics_.wasted(*worked);
  }
  schedule(link.server());
}

// ---- Troubles

void SocketRun::stopServer(std::size_t server, bool) {
  Machine& machine = servers_[server];
  if (!machine.model.up()) return;
  audit_.stopped(now(), machine.spec.id);
  machine.listener->close();
  for (const Finished& lost : machine.model.stop(now())) {
    statistics_.worked(lost.worked);
    statistics_.wasted(lost.worked);
  }
  std::vector<std::shared_ptr<ServerLink>> links;
  for (const auto& [at, link] : machine.links) links.push_back(link);
  for (const auto& link : links) {
    loop_.deferDestruction(link);
    link->end(CloseReason::shutdown);
  }
}

void SocketRun::startServer(std::size_t server) {
  Machine& machine = servers_[server];
  if (machine.model.up()) return;
  machine.model.start(now(), true);
  machine.listener->open();
  audit_.started(now(), machine.spec.id, machine.spec.traits.cores * machine.spec.traits.speed);
  lifecycleChanged(server, Lifecycle::serving);
}

void SocketRun::watchLost(std::uint32_t balancer) {
  audit_.listUnreliable(now(), balancer, now() + scenario_.drainGrace);
  std::vector<std::shared_ptr<DiscoveryLink>> calls;
  for (const auto& [at, link] : nodes_[balancer].calls) calls.push_back(link);
  for (const auto& link : calls) link->end(CloseReason::shutdown);
}

void SocketRun::sendSnapshot(std::uint32_t balancer) {
  static_cast<void>(registry_.takeChanges(balancer));
  const std::string snapshot = encodeList(balancer, true, registry_.snapshot());
  for (const auto& [at, link] : nodes_[balancer].calls) {
    if (link->watches_) link->sendLine(snapshot);
  }
}

// ---- Discovery

void SocketRun::lifecycleChanged(std::size_t server, Lifecycle lifecycle) {
  std::optional<Span> started;
  if (servers_[server].model.startedAt() != Span::min()) started = servers_[server].model.startedAt();
  in(scenario_.discoveryDelay + registry_.delay(), [this, server, lifecycle, started] {
    registry_.change(servers_[server].spec.id, lifecycle, started);
    for (const std::uint32_t balancer : registry_.watching()) sendChanges(balancer);
  });
}

void SocketRun::sendChanges(std::uint32_t balancer) {
  for (const auto& [at, link] : nodes_[balancer].calls) {
    if (!link->watches_) continue;
    if (registry_.hasPendingChanges(balancer))
      link->sendLine(encodeList(balancer, false, registry_.takeChanges(balancer)));
    return;
  }
}

/// Encodes a list in the discovery protocol and records it in the audit.
std::string SocketRun::encodeList(std::uint32_t balancer, bool snapshot,
                                  const std::vector<RegistryEntry>& entries) {
  Node& node = nodes_[balancer];
  Json all;
  all["index"] = ++node.index;
  all["snapshot"] = snapshot;
  Json& endpoints = all["endpoints"] = Json::array();
  views_.update(now(), balancer, snapshot, entries);
  for (const RegistryEntry& entry : entries) {
    static constexpr std::array<const char*, 3> states = {"up", "draining", "removed"};
    const Machine& server = servers_[entry.server.index];
    std::int64_t since = 0;
    if (entry.startedAt) {
      const auto at = startWallTime_ + *entry.startedAt;
      since = std::chrono::duration_cast<std::chrono::milliseconds>(at.time_since_epoch()).count();
    }
    endpoints.push_back(
        {{"name", server.spec.name},
         {"address",
          companion_ ? companion_->serverAddress(balancer, server.listener->address(), server.spec.zone.value)
                     : server.listener->address()},
         {"zone", std::string("z").append(std::to_string(server.spec.zone.value))},
         {"type", "m"},
         {"group", server.spec.cell.value},
         {"status", states.at(static_cast<std::size_t>(entry.lifecycle))},
         {"weight", server.spec.size},
         {"since_ms", since}});
  }
  return all.dump();
}

void SocketRun::discoveryRequestReceived(std::uint32_t balancer, DiscoveryLink& link,
                                         const Message& message) {
  const std::optional<Span> done = registry_.admitCall(now());
  const bool watch = message.startLinePart(1).find("watch=1") != std::string_view::npos;
  const std::weak_ptr<Connection> weak = link.weak_from_this();
  const auto answer = [this, balancer, watch, weak, fails = !done] {
    const auto found = std::static_pointer_cast<DiscoveryLink>(weak.lock());
    if (!found || found->ended()) return;
    http::GatherBuffer pieces;
    if (fails || registry_.inOutage()) {
      pieces.text(answerBytes("503 Service Unavailable\r\nConnection: close\r\n", ""));
      found->send(std::move(pieces));
      return found->finish(CloseReason::done);
    }
    if (!watch) {
      static_cast<void>(registry_.takeChanges(balancer));
      pieces.text(
          answerBytes("200 OK\r\nConnection: close\r\n", encodeList(balancer, true, registry_.snapshot())));
      found->send(std::move(pieces));
      return found->finish(CloseReason::done);
    }
    pieces.text("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n");
    found->send(std::move(pieces));
    found->watches_ = true;
    registry_.subscribe(balancer, true);
    found->sendLine(encodeList(balancer, false, registry_.takeChanges(balancer)));
  };
  in(done ? std::max(*done - now(), Span{}) : scenario_.discoveryMaxWait, answer);
}

void SocketRun::discoveryConnectionClosed(std::uint32_t balancer, DiscoveryLink& link) {
  Node& node = nodes_[balancer];
  const auto found = node.calls.find(&link);
  if (found == node.calls.end()) return;
  loop_.deferDestruction(found->second);
  node.calls.erase(found);
}

// Measures how late the loop runs: late reads of answers must not be attributed to the program.
void SocketRun::checkLag(Span due) {
  const Span late = now() - due;
  ++lagChecks_;
  lateLagChecks_ += late > kMaxSendDelay ? 1 : 0;
  latest_ = std::max(latest_, late);
  const Span next = now() + kLagCheckInterval;
  in(kLagCheckInterval, [this, next] { checkLag(next); });
}

void SocketRun::sample() {
  for (std::size_t i = 0; i < servers_.size(); ++i)
    statistics_.serverLoad(now(), i, static_cast<double>(servers_[i].model.inFlight()),
                           servers_[i].model.up());
  if (plan_.progress) plan_.progress(std::min(1.0, seconds(now()) / seconds(scenario_.length)));
  if (now() + 1s < scenario_.length) in(1s, [this] { sample(); });
}

}  // namespace

Result runSockets(const Scenario& scenario, const SocketPlan& plan) {
  if (scenario.balancers > kMaxProcesses)
    throw BadScenario(scenario.file + ": fleet.balancers: maximum on sockets is " +
                      std::to_string(kMaxProcesses));
  for (const Trouble& trouble : scenario.troubles) {
    const bool silent =
        trouble.kind == TroubleKind::zoneCut || (trouble.kind == TroubleKind::zoneLost && trouble.size > 0.5);
    if (silent)
      throw BadScenario(scenario.file + ": trouble: silent machines and zones require the virtual clock");
  }
  if (!sidecar::setLevel("error")) throw std::logic_error("no such level");
  std::signal(SIGPIPE, SIG_IGN);
  return SocketRun(scenario, plan).run();
}

}  // namespace rackroute::lab
