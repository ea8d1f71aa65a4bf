#include "lab/mesh/process_servers.hpp"

#include <algorithm>
#include <nlohmann/json.hpp>
#include <utility>

#include "mesh/forwarding/forwarding.hpp"

namespace rackroute::lab::mesh {
namespace {

using namespace std::chrono_literals;
using namespace rackroute::mesh;
using nlohmann::json;

constexpr Span kCall = 1s;  // a server waits for its beat's answer
constexpr std::string_view kNotRunField = "Rackroute-Not-Run: 1\r\n";

constexpr std::uint64_t kUnframedEach = 12;  // each of so many answers has no length

void answerUntilClose(const std::shared_ptr<HttpServerConnection>& connection, const std::string& fields,
                      const std::string& body) {
  http::Gather pieces;
  pieces.text("HTTP/1.1 200 OK\r\n" + fields + "Connection: close\r\n\r\n" + body);
  connection->send(std::move(pieces));
  connection->finish(sidecar::Reason::done);
}

http::Gather callOf(const std::string& method, const std::string& path, const std::string& body) {
  http::Gather pieces;
  pieces.text(method + ' ' + path + " HTTP/1.1\r\nHost: control\r\nContent-Type: application/json\r\n" +
              "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body);
  return pieces;
}

}  // namespace

void ProcessServers::open(std::uint32_t machine) {
  Server& server = servers_[machine];
  server.shared = std::make_shared<HttpServerConnection::ListenerContext>();
  server.shared->onAbandoned = [](HttpServerConnection&) {};
  server.shared->onRequest = [this, machine](const ConnectionRef& connection,
                                             const std::shared_ptr<const http::Message>& request) {
    serve(machine, connection, *request);
  };
  server.listener = std::make_unique<Listener>(
      context_.loop, context_.machines.at(machine, Port::server),
      [this, shared = server.shared](Poco::Net::StreamSocket socket, std::string peer) {
        std::make_shared<HttpServerConnection>(context_.loop, shared, std::move(socket), std::move(peer))
            ->start();
      });
}

void ProcessServers::begin(std::uint32_t machine) {
  Server& server = servers_.at(machine);
  ++server.lives;
  server.id = "i-" + context_.machines.nameOf(machine) + '-' + std::to_string(server.lives);
  server.up = true;
  server.draining = false;
  server.drainAcked = Span{-1};
  server.seq = 0;
  server.busy = server.keyed = 0;
  server.queue.clear();
  beat(machine, server.lives);
}

void ProcessServers::crash(std::uint32_t machine) {
  Server& server = servers_.at(machine);
  ++server.lives;
  server.up = false;
  for (const auto& entry : std::map(server.shared->connections)) entry.second->end(sidecar::Reason::cut);
}

const ProcessServers::Run* ProcessServers::runOf(std::uint64_t seal) const {
  const auto found = runs_.find(seal);
  return found == runs_.end() ? nullptr : &found->second;
}

void ProcessServers::beat(std::uint32_t machine, std::uint64_t life) {
  Server& server = servers_.at(machine);
  if (server.lives != life || !server.up) return;
  context_.loop.in(kBeat, [this, machine, life] { beat(machine, life); });
  const json body{{"address", context_.machines.at(machine, Port::server).value},
                  {"details",
                   {{"target", serviceName(context_.machines.serviceOf(machine))},
                    {"generation", "v1"},
                    {"zone", context_.machines.zoneOf(machine)},
                    {"capacity", context_.day.slots}}},
                  {"observed",
                   {{"phase", server.draining ? "draining" : "ready"},
                    {"call_seq", ++server.seq},
                    {"cold_left", "0ms"}}}};
  const bool drains = server.draining;
  context_.httpClient.send(
      context_.machines.at(machine, Port::control),
      callOf("PUT", "/rackroute/instances/" + server.id, body.dump()), "", false, context_.loop.now() + kCall,
      [this, machine, life, drains](RequestOutcome how, const std::shared_ptr<const http::Message>& answer) {
        Server& then = servers_.at(machine);
        if (then.lives != life || !drains || then.drainAcked >= Span{0}) return;
        if (how != RequestOutcome::completed || answer->status() / 100 != 2) return;
        then.drainAcked = context_.now();
        context_.loop.in(kDrain + 500ms, [this, machine, life] { signOff(machine, life); });
      });
}

void ProcessServers::signOff(std::uint32_t machine, std::uint64_t life) {
  const Server& server = servers_.at(machine);
  if (server.lives != life) return;
  context_.httpClient.send(context_.machines.at(machine, Port::control),
                           callOf("DELETE", "/rackroute/instances/" + server.id, ""), "", false,
                           context_.loop.now() + kCall,
                           [](RequestOutcome, const std::shared_ptr<const http::Message>&) {});
  begin(machine);
}

void ProcessServers::serve(std::uint32_t machine, const ConnectionRef& connection,
                           const http::Message& request) {
  Server& server = servers_.at(machine);
  const auto attempt = numberIn(request, kAttemptIdHeader, 16);
  const auto left = numberIn(request, kDeadlineHeader, 10);
  const std::string fields(kNotRunField);
  if (!attempt) return connection->respond(400, fields, "");
  const std::string named = fields + "Rackroute-Attempt-Id: " + attemptText(*attempt) + "\r\n";
  const auto expects = request.field(kExpectInstanceHeader);
  if (!server.up) return connection->end(sidecar::Reason::cut);
  if (expects && *expects != server.id) return connection->respond(421, named, "");
  checkUnchanged(*attempt, request);
  context_.judge.arrived(context_.now(), *attempt, context_.machines.serviceOf(machine));
  const Work asked{*attempt, request.field(kOperationKeyHeader).has_value(),
                   context_.now() + std::chrono::milliseconds(left.value_or(10'000))};
  if (server.busy < context_.day.slots) {
    ++server.busy;
    return work(machine, connection, asked);
  }
  if (server.queue.size() >= 4 * context_.day.slots) return connection->respond(503, named, "");
  server.queue.push_back([this, machine, connection, asked, named] {
    if (context_.now() < asked.giveUp) return work(machine, connection, asked);
    connection->respond(503, named, "");
    --servers_.at(machine).busy;
  });
}

void ProcessServers::checkUnchanged(std::uint64_t attempt, const http::Message& request) {
  const auto broken = [&](const std::string& what) {
    context_.judge.failed(context_.now(), "UNASKED", "attempt " + std::to_string(attempt) + ": " + what);
  };
  const auto caller = request.field(kCallerServiceHeader);
  if (!caller || *caller != serviceName(callerOf_(attempt)))
    broken("its caller's service is told as " + std::string(caller.value_or("none")));
  const bool pure = request.word(0) == "GET";
  if (request.body() != (pure ? "" : "body")) broken("its body was changed");
}

void ProcessServers::work(std::uint32_t machine, const ConnectionRef& connection, const Work& asked) {
  Server& server = servers_.at(machine);
  const std::uint64_t seal = ++seals_;
  context_.judge.ran(context_.now(), asked.attempt, context_.machines.serviceOf(machine), seal,
                     server.drainAcked);
  runs_[seal] = {asked.attempt, server.id + " on " + context_.machines.nameOf(machine)};
  if (asked.keyed) ++server.keyed;
  const Distribution takes{Shape::lognormal, context_.day.work, 0.6};
  const Span wait =
      std::chrono::duration_cast<Span>(std::chrono::duration<double>(takes.draw(chance_) * server.slow));
  const Span done = context_.now() + wait;
  const double luck = uniform01(chance_);
  context_.loop.at(
      context_.zero + std::min(done, asked.giveUp),
      [this, machine, connection, asked, seal, luck, life = server.lives, inTime = done <= asked.giveUp] {
        if (servers_.at(machine).lives != life) return;
        finish(machine, connection, asked, seal, inTime, luck);
      });
}

void ProcessServers::finish(std::uint32_t machine, const ConnectionRef& connection, const Work& asked,
                            std::uint64_t seal, bool inTime, double luck) {
  Server& server = servers_.at(machine);
  if (asked.keyed) --server.keyed;
  if (server.queue.empty()) {
    --server.busy;
  } else {
    const auto next = std::move(server.queue.front());
    server.queue.pop_front();
    next();
  }
  const std::string named = "Rackroute-Attempt-Id: " + attemptText(asked.attempt) + "\r\n";
  if (!inTime) return connection->respond(504, named, "");
  if (luck < server.loses) return connection->end(sidecar::Reason::cut);
  const bool spoilt = luck < server.loses + server.spoils;
  if (spoilt && luck < server.loses + server.spoils / 2)
    return connection->respond(200, "Rackroute-Attempt-Id: 0\r\nConnection: close\r\n", "other");
  const std::string fields = named + std::string(kSeal) + ": " + std::to_string(seal) + "\r\n";
  const std::string body = bodyOf(asked.attempt, seal);
  if (seal % kUnframedEach == 0) return answerUntilClose(connection, fields, body);
  connection->respond(200, fields, body);
  if (!spoilt || connection->ended()) return;
  // A surplus answer, late, in the place of the next one.
  http::Gather surplus;
  surplus.text("HTTP/1.1 200 OK\r\n" + fields + "Content-Length: " + std::to_string(body.size()) +
               "\r\n\r\n" + body);
  connection->send(std::move(surplus));
}

}  // namespace rackroute::lab::mesh
