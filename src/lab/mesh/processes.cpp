#include "lab/mesh/processes.hpp"

#include <signal.h>
#include <unistd.h>

#include <algorithm>
#include <charconv>
#include <cmath>
#include <cstdio>
#include <deque>
#include <filesystem>
#include <map>
#include <memory>
#include <set>
#include <utility>
#include <vector>

#include "lab/children.hpp"
#include "lab/draws.hpp"
#include "lab/mesh/workload.hpp"
#include "mesh/forwarding/forwarding.hpp"
#include "mesh/transport/http_client.hpp"
#include "mesh/transport/http_server_connection.hpp"
#include "mesh/transport/listener.hpp"
#include "sidecar/log.hpp"
#include "sidecar/loop.hpp"

namespace rackroute::lab::mesh {
namespace {

using namespace std::chrono_literals;
using namespace rackroute::mesh;
using nlohmann::json;
namespace fs = std::filesystem;

constexpr std::uint32_t kMostMachines = 100;  // processes that one machine bears
constexpr Span kLead = 4s;                    // before the first request
constexpr Span kDead = 300ms;                 // until a killed process starts again
constexpr Span kSettle = 5s;                  // after the last request, until the configuration is read back
constexpr Span kReadBacks = 20s;              // for an answer to that
constexpr Span kLook = 50ms;                  // between looks at how late the loop is, and who has ended
constexpr Span kLate = 500ms;                 // the machine is too slow for this run
constexpr Span kSpare = 400ms;                // beyond a client's deadline, for a late answer
constexpr Span kCall = 1s;                    // a server or an operator waits for an answer
constexpr Span kPause = 200ms;                // between an operator's tries
constexpr std::uint32_t kTold = 3;            // requests whose way is told
constexpr std::string_view kSeal = "Rackroute-Server-Seal";
constexpr int kInbound = 8146;
constexpr int kOutbound = 8147;
constexpr int kReady = 8141;
constexpr int kControl = 8144;
constexpr int kApp = 8145;
constexpr int kFirstPort = 7380;
constexpr int kLastPort = 7395;

/// Loopback cuts nothing off, and no process can take another's power or disk away from under it.
bool onlyVirtual(TroubleKind kind) {
  switch (kind) {
    case TroubleKind::powerControl:
    case TroubleKind::cutSidecar:
    case TroubleKind::cutControl:
    case TroubleKind::cutControlOneWay:
    case TroubleKind::diskSlow:
    case TroubleKind::diskFull:
    case TroubleKind::replaceControl:
    case TroubleKind::replaceControlPlanned:
    case TroubleKind::cutControlAsymmetric:
    case TroubleKind::cutCoreHalves:
    case TroubleKind::restartBeside:
    case TroubleKind::resetControl:
    case TroubleKind::resetSidecar:
    case TroubleKind::diskStall:
    case TroubleKind::clockStep:
    case TroubleKind::killCore:
    case TroubleKind::powerCore:
    case TroubleKind::powerCoreAtAnswer:
    case TroubleKind::rollSidecars:
    case TroubleKind::answersLost:
    case TroubleKind::storm:
    case TroubleKind::changeMany:
    case TroubleKind::raceMany:
    case TroubleKind::newService:
      return true;
    default:
      return false;
  }
}

std::string attemptText(std::uint64_t attempt) {
  char text[17];
  std::snprintf(text, sizeof(text), "%016llx", static_cast<unsigned long long>(attempt));
  return text;
}

std::optional<std::uint64_t> numberIn(const http::Message& message, std::string_view field, int base) {
  const auto text = message.field(field);
  std::uint64_t number = 0;
  if (!text) return std::nullopt;
  const auto [end, error] = std::from_chars(text->data(), text->data() + text->size(), number, base);
  if (error != std::errc{} || end != text->data() + text->size()) return std::nullopt;
  return number;
}

class ProcessMesh {
 public:
  ProcessMesh(const Day& day, const ProcessPlan& plan)
      : day_(day),
        plan_(plan),
        network_(20 + static_cast<std::uint32_t>(::getpid()) % 200),
        arrivals_(chanceOf(plan.seed, Purpose::arrivals)),
        clients_(chanceOf(plan.seed, Purpose::clients)),
        judge_({kDrain, kApply, span(day.keyWindow), kRetryWindow, kRetryRatio, kRetrySlack}),
        httpClient_(loop_, {300ms, 5s, Span{0}, 1 << 20, 64}),
        folder_((fs::temp_directory_path() / ("rackroute-mesh-" + std::to_string(::getpid()))).string()),
        children_(day.controls + day.sidecars) {}
  ProcessMesh(const ProcessMesh&) = delete;
  ProcessMesh& operator=(const ProcessMesh&) = delete;
  ~ProcessMesh() {
    std::error_code ignored;
    fs::remove_all(folder_, ignored);
  }

  PlayedProcesses run();

 private:
  struct Server {
    std::string id;
    int service = 0;
    bool up = true;
    bool draining = false;
    Span drainAcked{-1};
    std::uint64_t lives = 0;
    std::uint64_t seq = 0;
    std::uint32_t busy = 0;
    double slow = 1, loses = 0, spoils = 0;
    std::uint32_t keyed = 0;  // of what it is working on
    std::deque<std::function<void()>> queue;
    std::shared_ptr<HttpServerConnection::Shared> shared;
    std::unique_ptr<Listener> listener;
  };
  struct Open {
    std::uint32_t machine = 0;
    bool keyed = false;
  };

  [[nodiscard]] Span now() const { return loop_.now() - zero_; }
  [[nodiscard]] bool isControl(std::uint32_t machine) const { return machine < day_.controls; }
  [[nodiscard]] std::uint32_t numberOf(std::uint32_t machine) const {
    return isControl(machine) ? machine : machine - day_.controls;
  }
  [[nodiscard]] std::string nameOf(std::uint32_t machine) const {
    return (isControl(machine) ? "v" : "s") + std::to_string(numberOf(machine));
  }
  [[nodiscard]] std::string ipOf(std::uint32_t machine) const {
    return "127." + std::to_string(network_) + (isControl(machine) ? ".1." : ".2.") +
           std::to_string(numberOf(machine) + 1);
  }
  [[nodiscard]] Address at(std::uint32_t machine, int port) const {
    return {ipOf(machine) + ':' + std::to_string(port)};
  }
  [[nodiscard]] std::string zoneOf(std::uint32_t machine) const {
    return "z" + std::to_string(numberOf(machine) % day_.zones);
  }
  [[nodiscard]] std::string dataOf(std::uint32_t machine) const { return folder_ + '/' + nameOf(machine); }
  void tell(const std::string& line) const {
    if (plan_.tell) plan_.tell(line);
  }

  [[nodiscard]] json settings(std::uint32_t machine, bool firstBoot) const;
  void start(std::uint32_t machine, bool firstBoot);
  void kill(std::uint32_t machine, Span until, bool wiped);
  void freeze(std::uint32_t machine, Span until);
  void term(std::uint32_t machine);
  void strike(const Trouble& trouble);
  void look();

  void openServer(std::uint32_t machine);
  void newServer(std::uint32_t machine);
  void beat(std::uint32_t machine, std::uint64_t life);
  void signOff(std::uint32_t machine, std::uint64_t life);
  void serve(std::uint32_t machine, const std::shared_ptr<HttpServerConnection>& connection,
             const http::Message& request);
  void work(std::uint32_t machine, const std::shared_ptr<HttpServerConnection>& connection,
            std::uint64_t attempt, bool keyed, Span giveUp);

  void arrive();
  void ask(std::uint32_t machine, const Wanted& wanted);
  void answered(std::uint32_t machine, const Wanted& wanted, std::uint64_t attempt,
                const std::shared_ptr<const http::Message>& answer);
  [[nodiscard]] std::uint32_t anySidecar() {
    return day_.controls + static_cast<std::uint32_t>(fraction(clients_) * day_.sidecars);
  }

  void call(std::uint32_t machine, const std::string& method, const Address& to, const std::string& path,
            const std::string& body, HttpClient::Done done);
  void patch(std::uint32_t control, const std::string& body, std::function<void(std::uint32_t)> done);
  void change(std::uint32_t who, bool race, bool bad);
  void readBack(std::uint32_t control, Span until);

  Day day_;
  const ProcessPlan& plan_;
  std::uint32_t network_;
  Chance arrivals_, clients_;
  sidecar::Loop loop_;
  Judge judge_;
  HttpClient httpClient_;
  std::string folder_;
  Children children_;
  Span zero_{};
  Span end_{};
  OperatorBook table_;
  std::map<std::uint32_t, Server> servers_;
  std::map<std::uint64_t, Open> open_;          // attempts without an answer
  std::map<std::uint64_t, std::string> ranAt_;  // by seal
  std::set<std::uint32_t> leaving_;
  std::uint64_t attempts_ = 0;
  std::uint64_t seals_ = 0;
  std::uint64_t keys_ = 0;
  std::uint64_t kills_ = 0;
  std::uint64_t keyedAtKills_ = 0;
  std::uint32_t told_ = 0;
  Span latest_{};
  Span lookedAt_{};
};

// --- processes

json ProcessMesh::settings(std::uint32_t machine, bool firstBoot) const {
  json zones = json::object();
  for (std::uint32_t i = 0; i < day_.zones; ++i) zones["z" + std::to_string(i)] = "r";
  json seeds = json::array();
  for (std::uint32_t i = 0; i < std::min<std::uint32_t>(3, day_.controls); ++i)
    seeds.push_back(at(i, kControl).value);
  json told{{"node_name", nameOf(machine)},
            {"ip", ipOf(machine)},
            {"zone", zoneOf(machine)},
            {"zones", zones},
            {"listen_addrs", {{"control_addr", at(machine, kControl).value}}},
            {"port_range", {kFirstPort, kLastPort}},
            {"seed_list", seeds},
            {"first_boot", firstBoot},
            {"data_dir", nullptr},
            {"limits", {{"memory_mb", 256}}},
            {"tolerance", {{"machine_losses", 1}}},
            {"bound_map",
             {{"drain", "2500ms"},
              {"grace", "6s"},
              {"apply", "2500ms"},
              {"key_window", std::to_string(static_cast<int>(day_.keyWindow)) + "s"},
              {"retry_ratio", kRetryRatio},
              {"retry_slack", kRetrySlack},
              {"retry_window", "10s"}}}};
  if (isControl(machine)) {
    told["data_dir"] = dataOf(machine);
  } else {
    told["listen_addrs"]["inbound"] = at(machine, kInbound).value;
    told["listen_addrs"]["outbound"] = at(machine, kOutbound).value;
    told["listen_addrs"]["ready_addr"] = at(machine, kReady).value;
    told["target"] = serviceName(servers_.at(machine).service);
    told["app_addr"] = at(machine, kApp).value;
  }
  return told;
}

void ProcessMesh::start(std::uint32_t machine, bool firstBoot) {
  if (isControl(machine)) fs::create_directories(dataOf(machine));
  leaving_.erase(machine);
  Children::Start how;
  how.program = isControl(machine) ? plan_.control : plan_.sidecar;
  how.arguments = {"--log", "info"};
  if (isControl(machine)) {
    how.arguments.insert(how.arguments.end(),
                         {"--per-zone", std::to_string(std::max(1U, day_.controls / day_.zones))});
  }
  how.variable = "RACKROUTE_CONFIG";
  how.settings = settings(machine, firstBoot).dump();
  if (!plan_.logs.empty()) how.log = plan_.logs + '/' + nameOf(machine) + ".log";
  children_.start(machine, how);
  tell("started " + nameOf(machine) + " at " + ipOf(machine) +
       (isControl(machine) ? ", a control" : ", a sidecar"));
}

void ProcessMesh::kill(std::uint32_t machine, Span until, bool wiped) {
  ++kills_;
  for (const auto& [attempt, open] : open_) {
    if (open.keyed && (isControl(machine) || open.machine == machine)) ++keyedAtKills_;
  }
  if (!isControl(machine)) keyedAtKills_ += servers_.at(machine).keyed;
  children_.signal(machine, SIGKILL);
  tell("killed " + nameOf(machine) + (wiped ? ", and its disk is lost" : ""));
  std::error_code ignored;
  if (wiped) fs::remove_all(dataOf(machine), ignored);
  loop_.at(zero_ + until, [this, machine] {
    if (children_.gone(machine)) start(machine, false);
  });
}

void ProcessMesh::freeze(std::uint32_t machine, Span until) {
  children_.signal(machine, SIGSTOP);
  tell("froze " + nameOf(machine));
  loop_.at(zero_ + until, [this, machine] { children_.signal(machine, SIGCONT); });
}

void ProcessMesh::term(std::uint32_t machine) {
  leaving_.insert(machine);
  children_.signal(machine, SIGTERM);
  tell("told " + nameOf(machine) + " to end");
  loop_.in(kGrace, [this, machine] {
    if (!children_.gone(machine)) judge_.failed(now(), "GRACE", nameOf(machine) + " still runs");
    start(machine, false);
  });
}

void ProcessMesh::look() {
  latest_ = std::max(latest_, now() - lookedAt_ - kLook);
  lookedAt_ = now();
  for (const std::size_t place : children_.endedByThemselves())
    judge_.failed(now(), "ENDED", nameOf(static_cast<std::uint32_t>(place)) + " ended by itself");
  if (Children::brokenOff()) return loop_.stop();
  loop_.in(kLook, [this] { look(); });
}

void ProcessMesh::strike(const Trouble& trouble) {
  const std::uint32_t control = trouble.who % day_.controls;
  const std::uint32_t sidecar = day_.controls + trouble.who % day_.sidecars;
  const Span until = now() + span(trouble.lasts);
  Server& server = servers_.at(sidecar);
  const auto later = [&](std::function<void()> task) { loop_.in(span(trouble.lasts), std::move(task)); };
  switch (trouble.kind) {
    case TroubleKind::killSidecar:
      return kill(sidecar, now() + kDead, false);
    case TroubleKind::killControl:
      return kill(control, now() + kDead, false);
    case TroubleKind::wipeControl:
      return kill(control, until, true);
    case TroubleKind::freezeSidecar:
      return freeze(sidecar, until);
    case TroubleKind::freezeControl:
      return freeze(control, until);
    case TroubleKind::termSidecar:
      return term(sidecar);
    case TroubleKind::serverLoses:
      server.loses = trouble.part;
      return later([&server] { server.loses = 0; });
    case TroubleKind::serverSpoils:
      server.spoils = trouble.part;
      return later([&server] { server.spoils = 0; });
    case TroubleKind::serverSlow:
      server.slow = std::max(1.0, trouble.part);
      return later([&server] { server.slow = 1; });
    case TroubleKind::serverCrash:
      ++server.lives;
      server.up = false;
      for (const auto& entry : std::map(server.shared->connections)) entry.second->end(sidecar::Reason::cut);
      return later([this, sidecar] { newServer(sidecar); });
    case TroubleKind::release:
      server.draining = true;
      return;
    case TroubleKind::change:
    case TroubleKind::race:
    case TroubleKind::badChange:
      return change(trouble.who, trouble.kind == TroubleKind::race, trouble.kind == TroubleKind::badChange);
    default:
      return;  // refused before the day began
  }
}

// --- servers

void ProcessMesh::openServer(std::uint32_t machine) {
  Server& server = servers_[machine];
  server.service = static_cast<int>(numberOf(machine) % 2);
  server.shared = std::make_shared<HttpServerConnection::Shared>();
  server.shared->left = [](HttpServerConnection&) {};
  server.shared->asked = [this, machine](const std::shared_ptr<HttpServerConnection>& connection,
                                         const std::shared_ptr<const http::Message>& request) {
    serve(machine, connection, *request);
  };
  server.listener = std::make_unique<Listener>(
      loop_, at(machine, kApp),
      [this, shared = server.shared](Poco::Net::StreamSocket socket, std::string peer) {
        std::make_shared<HttpServerConnection>(loop_, shared, std::move(socket), std::move(peer))->start();
      });
}

void ProcessMesh::newServer(std::uint32_t machine) {
  Server& server = servers_.at(machine);
  ++server.lives;
  server.id = "i-" + nameOf(machine) + '-' + std::to_string(server.lives);
  server.up = true;
  server.draining = false;
  server.drainAcked = Span{-1};
  server.seq = 0;
  server.busy = server.keyed = 0;
  server.queue.clear();
  beat(machine, server.lives);
}

void ProcessMesh::call(std::uint32_t, const std::string& method, const Address& to, const std::string& path,
                       const std::string& body, HttpClient::Done done) {
  http::Gather pieces;
  pieces.text(method + ' ' + path + " HTTP/1.1\r\nHost: control\r\nContent-Type: application/json\r\n" +
              "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body);
  httpClient_.send(to, std::move(pieces), "", false, loop_.now() + kCall, std::move(done));
}

void ProcessMesh::beat(std::uint32_t machine, std::uint64_t life) {
  Server& server = servers_.at(machine);
  if (server.lives != life || !server.up) return;
  loop_.in(kBeat, [this, machine, life] { beat(machine, life); });
  const json body{{"address", at(machine, kApp).value},
                  {"details",
                   {{"target", serviceName(server.service)},
                    {"generation", "v1"},
                    {"zone", zoneOf(machine)},
                    {"capacity", day_.slots}}},
                  {"observed",
                   {{"phase", server.draining ? "draining" : "ready"},
                    {"call_seq", ++server.seq},
                    {"cold_left", "0ms"}}}};
  const bool drains = server.draining;
  call(machine, "PUT", at(machine, kControl), "/rackroute/instances/" + server.id, body.dump(),
       [this, machine, life, drains](RequestOutcome how, const std::shared_ptr<const http::Message>& answer) {
         Server& then = servers_.at(machine);
         if (then.lives != life || !drains || then.drainAcked >= Span{0}) return;
         if (how != RequestOutcome::answered || answer->status() / 100 != 2) return;
         then.drainAcked = now();
         loop_.in(kDrain + 500ms, [this, machine, life] { signOff(machine, life); });
       });
}

void ProcessMesh::signOff(std::uint32_t machine, std::uint64_t life) {
  const Server& server = servers_.at(machine);
  if (server.lives != life) return;
  call(machine, "DELETE", at(machine, kControl), "/rackroute/instances/" + server.id, "",
       [](RequestOutcome, const std::shared_ptr<const http::Message>&) {});
  newServer(machine);
}

void ProcessMesh::serve(std::uint32_t machine, const std::shared_ptr<HttpServerConnection>& connection,
                        const http::Message& request) {
  Server& server = servers_.at(machine);
  const auto attempt = numberIn(request, kAttempt, 16);
  const auto left = numberIn(request, kDeadline, 10);
  const std::string fields = "Rackroute-Not-Run: 1\r\n";
  if (!attempt) return connection->answer(400, fields, "");
  const std::string named = "Rackroute-Attempt-Id: " + attemptText(*attempt) + "\r\n";
  const auto expects = request.field(kExpect);
  if (!server.up) return connection->end(sidecar::Reason::cut);
  if (expects && *expects != server.id) return connection->answer(421, fields + named, "");
  judge_.arrived(now(), *attempt, server.service);
  const Span giveUp = now() + std::chrono::milliseconds(left.value_or(10'000));
  const bool keyed = request.field(kOperation).has_value();
  if (server.busy < day_.slots) {
    ++server.busy;
    return work(machine, connection, *attempt, keyed, giveUp);
  }
  if (server.queue.size() >= 4 * day_.slots) return connection->answer(503, fields + named, "");
  server.queue.push_back([this, machine, connection, attempt = *attempt, keyed, giveUp, fields, named] {
    if (now() < giveUp) return work(machine, connection, attempt, keyed, giveUp);
    connection->answer(503, fields + named, "");
    --servers_.at(machine).busy;
  });
}

void ProcessMesh::work(std::uint32_t machine, const std::shared_ptr<HttpServerConnection>& connection,
                       std::uint64_t attempt, bool keyed, Span giveUp) {
  Server& server = servers_.at(machine);
  const std::uint64_t seal = ++seals_;
  judge_.ran(now(), attempt, server.service, seal, server.drainAcked);
  ranAt_[seal] = server.id + " on " + nameOf(machine);
  if (keyed) ++server.keyed;
  const Distribution takes{Shape::lognormal, day_.work, 0.6};
  const Span done = now() + span(takes.draw(clients_) * server.slow);
  const double luck = fraction(clients_);
  loop_.at(zero_ + std::min(done, giveUp), [this, machine, connection, attempt, keyed, seal, luck,
                                            life = server.lives, inTime = done <= giveUp] {
    Server& then = servers_.at(machine);
    if (then.lives != life) return;
    if (keyed) --then.keyed;
    if (then.queue.empty()) {
      --then.busy;
    } else {
      const auto next = std::move(then.queue.front());
      then.queue.pop_front();
      next();
    }
    const std::string named = "Rackroute-Attempt-Id: " + attemptText(attempt) + "\r\n";
    if (!inTime) return connection->answer(504, named, "");
    if (luck < then.loses) return connection->end(sidecar::Reason::cut);
    if (luck < then.loses + then.spoils)
      return connection->answer(200, "Rackroute-Attempt-Id: 0\r\nConnection: close\r\n", "other");
    connection->answer(200, named + std::string(kSeal) + ": " + std::to_string(seal) + "\r\n",
                       std::string(500, 'x'));
  });
}

// --- clients

void ProcessMesh::arrive() {
  if (now() >= end_ || day_.perSecond <= 0) return;
  loop_.in(span(-std::log(1 - fraction(arrivals_)) / day_.perSecond), [this] { arrive(); });
  Wanted wanted;
  const double kind = fraction(arrivals_);
  const bool other = fraction(arrivals_) < 0.4;
  if (kind < day_.keyed) {
    wanted.route = other ? 2 : 1;
    wanted.key = "k" + std::to_string(++keys_);
  } else {
    wanted.route = kind < day_.keyed + day_.effectful ? 4 : other ? 3 : 0;
  }
  wanted.until = now() + span(kRoutes[wanted.route].deadline);
  ask(anySidecar(), wanted);
}

void ProcessMesh::ask(std::uint32_t machine, const Wanted& wanted) {
  // A client goes where its platform sends it: not to a machine whose process leaves.
  for (std::uint32_t i = 0; leaving_.count(machine) > 0 && i < day_.sidecars; ++i)
    machine = day_.controls + (numberOf(machine) + 1) % day_.sidecars;
  const RouteTold& route = kRoutes[wanted.route];
  const std::uint64_t attempt = ++attempts_;
  judge_.sent(now(), attempt, route.sort, wanted.key, route.service);
  open_[attempt] = {machine, route.sort == Sort::keyed};
  std::string text = route.sort == Sort::pure ? "GET " : "POST ";
  text += std::string(route.prefix) + "1 HTTP/1.1\r\nHost: " + kHost +
          "\r\nRackroute-Attempt-Id: " + attemptText(attempt) +
          "\r\nRackroute-Deadline-Ms: " + std::to_string((wanted.until - now()) / 1ms) + "\r\n";
  if (!wanted.key.empty()) text += "Rackroute-Operation-Key: " + wanted.key + "\r\n";
  text += route.sort == Sort::pure ? "\r\n" : "Content-Length: 4\r\n\r\nbody";
  http::Gather pieces;
  pieces.text(std::move(text));
  httpClient_.send(
      at(machine, kOutbound), std::move(pieces), "", false, zero_ + wanted.until + kSpare,
      [this, machine, wanted, attempt](RequestOutcome, const std::shared_ptr<const http::Message>& answer) {
        open_.erase(attempt);
        answered(machine, wanted, attempt, answer);
      });
}

void ProcessMesh::answered(std::uint32_t machine, const Wanted& wanted, std::uint64_t attempt,
                           const std::shared_ptr<const http::Message>& answer) {
  const RouteTold& route = kRoutes[wanted.route];
  const std::uint32_t status = answer ? answer->status() : 0;
  const std::uint64_t seal = answer ? numberIn(*answer, kSeal, 10).value_or(0) : 0;
  if (answer) judge_.answered(now(), attempt, status, seal);
  if (answer && status == 200 && numberIn(*answer, kAttempt, 16) != attempt)
    judge_.failed(now(), "MIXED", "attempt " + std::to_string(attempt) + " got another's answer");
  if (status == 200 && told_ < kTold) {
    ++told_;
    tell(std::string(route.prefix) + " asked at " + nameOf(machine) + ": 200, run by " + ranAt_[seal]);
  }
  Wanted next = wanted;
  if (status == 200) {
    if (route.sort != Sort::keyed || wanted.again || fraction(clients_) >= day_.again) return;
    next.again = true;
    next.until = now() + span(route.deadline) + 1s;
    loop_.in(span(fraction(clients_)), [this, next] { ask(anySidecar(), next); });
    return;
  }
  if (status >= 400 && status < 500 && status != 409) return;
  if (route.sort == Sort::effectful && status != 503) return;
  if (++next.tries > 2 || next.until - now() < 100ms) return;
  double comeBack = 0;
  if (const auto told = answer ? answer->field("Retry-After") : std::nullopt)
    std::from_chars(told->data(), told->data() + told->size(), comeBack);
  const std::uint32_t again = status == 0 ? anySidecar() : machine;
  loop_.in(std::min<Span>(span(comeBack), (next.until - now()) / 3) + 5ms,
           [this, again, next] { ask(again, next); });
}

// --- operators

void ProcessMesh::patch(std::uint32_t control, const std::string& body,
                        std::function<void(std::uint32_t)> done) {
  call(control, "PATCH", at(control, kControl), "/rackroute/config", body,
       [this, control, body, done](RequestOutcome, const std::shared_ptr<const http::Message>& answer) {
         if (answer && answer->status() < 500) return done(answer->status());
         loop_.in(kPause, [this, control, body, done] { patch((control + 1) % day_.controls, body, done); });
       });
}

void ProcessMesh::change(std::uint32_t who, bool race, bool bad) {
  const std::string name = kRoutes[who % kRoutes.size()].name;
  const std::uint64_t generation = table_.next(who);
  for (int operatorNo = 0; operatorNo < (race ? 2 : 1); ++operatorNo) {
    patch((who + static_cast<std::uint32_t>(operatorNo)) % day_.controls,
          table_.change(who, generation, operatorNo, bad),
          [this, name, generation, bad](std::uint32_t status) {
            if (bad && status == 200) judge_.failed(now(), "CONFIG", "an invalid change was acknowledged");
            if (status == 200 && !bad) table_.acknowledged(now(), name, generation);
          });
  }
}

void ProcessMesh::readBack(std::uint32_t control, Span until) {
  call(
      control, "GET", at(control, kControl), "/rackroute/config", "",
      [this, control, until](RequestOutcome, const std::shared_ptr<const http::Message>& answer) {
        if (answer && answer->status() == 200) {
          table_.readBack(now(), json::parse(answer->body()), judge_);
          tell("read back from " + nameOf(control) + ": " + std::to_string(answer->body().size()) + " bytes");
          return loop_.stop();
        }
        if (now() < until)
          return static_cast<void>(
              loop_.in(kPause, [this, control, until] { readBack((control + 1) % day_.controls, until); }));
        judge_.lost(now(), "no answer to the reading back");
        loop_.stop();
      });
}

PlayedProcesses ProcessMesh::run() {
  zero_ = loop_.now();
  end_ = kLead + span(day_.seconds);
  loop_.guarded([this] {
    for (std::uint32_t i = 0; i < day_.sidecars; ++i) openServer(day_.controls + i);
    for (std::uint32_t i = 0; i < day_.controls + day_.sidecars; ++i) start(i, true);
    for (std::uint32_t i = 0; i < day_.sidecars; ++i) newServer(day_.controls + i);
    loop_.in(500ms, [this] {
      patch(0, table_.firstItems(day_.idleRoutes), [this](std::uint32_t status) {
        if (status != 200) return judge_.lost(now(), "the first items were not acknowledged");
        table_.acknowledgedFirst(now());
        tell("the configuration is acknowledged");
      });
    });
    loop_.at(zero_ + kLead, [this] { arrive(); });
    for (const Trouble& trouble : day_.troubles)
      loop_.at(zero_ + kLead + span(trouble.at), [this, trouble] { strike(trouble); });
    if (day_.closing != Closing::none) {
      loop_.at(zero_ + end_ - 3s, [this] {
        const std::uint32_t wiped = static_cast<std::uint32_t>(plan_.seed) % day_.controls;
        for (std::uint32_t control = 0; control < day_.controls; ++control) {
          if (day_.closing == Closing::killAll) kill(control, now() + kDead, false);
          if (day_.closing == Closing::wipeOne && control == wiped) kill(control, now() + kDead, true);
        }
      });
    }
    loop_.at(zero_ + end_ + kSettle, [this] { readBack(0, now() + kReadBacks); });
    look();
  });
  loop_.run();
  PlayedProcesses played;
  played.figures = endOfDay(judge_, table_, day_.leastServed, now());
  played.broken = judge_.broken();
  played.late = latest_ > kLate || Children::brokenOff();
  played.figures["kills"] = kills_;
  played.figures["keyed_at_work_when_killed"] = keyedAtKills_;
  played.figures["latest_look_ms"] = seconds(latest_) * 1000;
  return played;
}

}  // namespace

Day forProcesses(Day day) {
  day.troubles.erase(std::remove_if(day.troubles.begin(), day.troubles.end(),
                                    [](const Trouble& trouble) { return onlyVirtual(trouble.kind); }),
                     day.troubles.end());
  if (day.closing == Closing::powerAll) day.closing = Closing::killAll;
  return day;
}

PlayedProcesses playProcesses(const Day& day, const ProcessPlan& plan) {
  if (day.controls + day.sidecars > kMostMachines)
    throw BadScenario(day.name + ": controls and sidecars: with processes at most " +
                      std::to_string(kMostMachines) + " together");
  if (day.controls % day.zones != 0)
    throw BadScenario(day.name + ": controls: with processes as many in each zone");
  if (day.closing == Closing::powerAll)
    throw BadScenario(day.name + ": closing: power_all goes with virtual time");
  for (const Trouble& trouble : day.troubles) {
    if (onlyVirtual(trouble.kind))
      throw BadScenario(day.name + ": trouble: " + mesh::nameOf(trouble.kind) + " goes with virtual time");
  }
  for (const std::string& program : {plan.sidecar, plan.control}) {
    if (::access(program.c_str(), X_OK) != 0) throw BadScenario(program + ": can't be run");
  }
  if (!sidecar::setLevel("error")) throw std::logic_error("no such level");
  Children::prepare();
  return ProcessMesh(day, plan).run();
}

}  // namespace rackroute::lab::mesh
