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

constexpr Span kCallTimeout = 1s;
constexpr std::string_view kNotRunField = "Rackroute-Not-Run: 1\r\n";

constexpr std::string_view kLongPrefix = kRoutes[kLongRoute].prefix;
constexpr std::uint64_t kUnframedInterval = 12;  // one of this many responses has no Content-Length

void respondUntilClose(const std::shared_ptr<HttpServerConnection>& connection, const std::string& fields,
                       const std::string& body) {
  http::GatherBuffer pieces;
  pieces.text("HTTP/1.1 200 OK\r\n" + fields + "Connection: close\r\n\r\n" + body);
  connection->send(std::move(pieces));
  connection->finish(sidecar::CloseReason::done);
}

http::GatherBuffer apiRequest(const std::string& method, const std::string& path, const std::string& body) {
  http::GatherBuffer pieces;
  pieces.text(method + ' ' + path + " HTTP/1.1\r\nHost: control\r\nContent-Type: application/json\r\n" +
              "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body);
  return pieces;
}

}  // namespace

void ProcessServers::listen(std::uint32_t machine) {
  Server& server = servers_[machine];
  server.listenerContext = std::make_shared<HttpServerConnection::ListenerContext>();
  server.listenerContext->onAbandoned = [](HttpServerConnection&) {};
  server.listenerContext->onRequest = [this, machine](const ConnectionRef& connection,
                                                      const std::shared_ptr<const http::Message>& request) {
    serve(machine, connection, *request);
  };
  server.listener = std::make_unique<Listener>(
      context_.loop, context_.machines.addressOf(machine, Port::server),
      [this, listenerContext = server.listenerContext](Poco::Net::StreamSocket socket, std::string peer) {
        std::make_shared<HttpServerConnection>(context_.loop, listenerContext, std::move(socket),
                                               std::move(peer))
            ->start();
      });
}

ProcessServers::~ProcessServers() {
  for (auto& [machine, server] : servers_) cutConnections(server);
}

void ProcessServers::cutConnections(Server& server) {
  for (const auto& entry : std::map(server.listenerContext->connections))
    entry.second->end(sidecar::CloseReason::cut);
}

void ProcessServers::startInstance(std::uint32_t machine) {
  Server& server = servers_.at(machine);
  ++server.instanceNo;
  server.id = "i-" + context_.machines.nameOf(machine) + '-' + std::to_string(server.instanceNo);
  server.up = true;
  server.draining = false;
  server.drainAcked = Span{-1};
  server.seq = 0;
  server.busy = server.keyed = 0;
  server.queue.clear();
  sendHeartbeat(machine, server.instanceNo);
}

void ProcessServers::crash(std::uint32_t machine) {
  Server& server = servers_.at(machine);
  ++server.instanceNo;
  server.up = false;
  cutConnections(server);
}

const ProcessServers::Run* ProcessServers::runOf(std::uint64_t seal) const {
  const auto found = runs_.find(seal);
  return found == runs_.end() ? nullptr : &found->second;
}

void ProcessServers::sendHeartbeat(std::uint32_t machine, std::uint64_t instanceNo) {
  Server& server = servers_.at(machine);
  if (server.instanceNo != instanceNo || !server.up) return;
  context_.loop.after(kHeartbeatInterval,
                      [this, machine, instanceNo] { sendHeartbeat(machine, instanceNo); });
  const json body{{"address", context_.machines.addressOf(machine, Port::server).value},
                  {"details",
                   {{"target", serviceName(context_.machines.serviceOf(machine))},
                    {"generation", "v1"},
                    {"zone", context_.machines.zoneOf(machine)},
                    {"capacity", context_.day.slots}}},
                  {"observed",
                   {{"phase", server.draining ? "draining" : "ready"},
                    {"call_seq", ++server.seq},
                    {"cold_left", "0ms"}}}};
  const bool wasDraining = server.draining;
  context_.httpClient.send(
      context_.machines.addressOf(machine, Port::control),
      apiRequest("PUT", "/rackroute/instances/" + server.id, body.dump()), "", false,
      context_.loop.now() + kCallTimeout,
      [this, machine, instanceNo, wasDraining](RequestOutcome outcome,
                                               const std::shared_ptr<const http::Message>& response) {
        Server& current = servers_.at(machine);
        if (current.instanceNo != instanceNo || !wasDraining || current.drainAcked >= Span{0}) return;
        if (outcome != RequestOutcome::completed || response->status() / 100 != 2) return;
        current.drainAcked = context_.now();
        context_.loop.after(kDrainTime + 500ms,
                            [this, machine, instanceNo] { deregister(machine, instanceNo); });
      });
}

void ProcessServers::deregister(std::uint32_t machine, std::uint64_t instanceNo) {
  const Server& server = servers_.at(machine);
  if (server.instanceNo != instanceNo) return;
  context_.httpClient.send(context_.machines.addressOf(machine, Port::control),
                           apiRequest("DELETE", "/rackroute/instances/" + server.id, ""), "", false,
                           context_.loop.now() + kCallTimeout,
                           [](RequestOutcome, const std::shared_ptr<const http::Message>&) {});
  startInstance(machine);
}

void ProcessServers::serve(std::uint32_t machine, const ConnectionRef& connection,
                           const http::Message& request) {
  Server& server = servers_.at(machine);
  const auto attempt = integerField(request, kAttemptIdHeader, 16);
  const auto remaining = integerField(request, kDeadlineHeader, 10);
  const std::string fields(kNotRunField);
  if (!attempt) return connection->respond(400, fields, "");
  const std::string fieldsWithId = fields + "Rackroute-Attempt-Id: " + attemptIdHex(*attempt) + "\r\n";
  const auto expected = request.field(kExpectInstanceHeader);
  if (!server.up) return connection->end(sidecar::CloseReason::cut);
  if (expected && *expected != server.id) return connection->respond(421, fieldsWithId, "");
  checkUnchanged(*attempt, request);
  context_.judge.requestArrived(context_.now(), *attempt, context_.machines.serviceOf(machine));
  const Work work{*attempt, request.field(kOperationKeyHeader).has_value(),
                  context_.now() + std::chrono::milliseconds(remaining.value_or(10'000)),
                  request.startLinePart(1).substr(0, kLongPrefix.size()) == kLongPrefix};
  if (server.busy < context_.day.slots) {
    ++server.busy;
    return execute(machine, connection, work);
  }
  if (server.queue.size() >= 4 * context_.day.slots) return connection->respond(503, fieldsWithId, "");
  server.queue.push_back([this, machine, connection, work, fieldsWithId] {
    if (context_.now() < work.deadline) return execute(machine, connection, work);
    connection->respond(503, fieldsWithId, "");
    --servers_.at(machine).busy;
  });
}

void ProcessServers::checkUnchanged(std::uint64_t attempt, const http::Message& request) {
  const auto fail = [&](const std::string& what) {
    context_.judge.reportViolation(context_.now(), "UNASKED",
                                   "attempt " + std::to_string(attempt) + ": " + what);
  };
  const auto caller = request.field(kCallerServiceHeader);
  if (!caller || *caller != serviceName(callerOf_(attempt)))
    fail("unexpected caller service: " + std::string(caller.value_or("none")));
  const bool pure = request.startLinePart(0) == "GET";
  if (request.body() != (pure ? "" : "body")) fail("request body was changed");
}

void ProcessServers::execute(std::uint32_t machine, const ConnectionRef& connection, const Work& work) {
  Server& server = servers_.at(machine);
  const std::uint64_t seal = ++seals_;
  context_.judge.executionStarted(context_.now(), work.attempt, context_.machines.serviceOf(machine), seal,
                                  server.drainAcked);
  runs_[seal] = {work.attempt, server.id + " on " + context_.machines.nameOf(machine)};
  executing_.insert(work.attempt);
  if (work.keyed) ++server.keyed;
  const Span wait = std::chrono::duration_cast<Span>(
      std::chrono::duration<double>(drawServiceTime(work) * server.slowdown));
  const Span done = context_.now() + wait;
  const double sample = uniform01(rng_);
  context_.loop.at(context_.startTime + std::min(done, work.deadline),
                   [this, machine, connection, work, seal, sample, instanceNo = server.instanceNo,
                    inTime = done <= work.deadline] {
                     executing_.erase(work.attempt);
                     if (servers_.at(machine).instanceNo != instanceNo) return;
                     finish(machine, connection, work, seal, inTime, sample);
                   });
}

double ProcessServers::drawServiceTime(const Work& work) {
  const Day& day = context_.day;
  if (work.onLongRoute && day.longShare > 0 && uniform01(rng_) < day.longShare) return day.longServiceTime;
  return Distribution{Shape::lognormal, day.meanServiceTime, 0.6}.draw(rng_);
}

void ProcessServers::finish(std::uint32_t machine, const ConnectionRef& connection, const Work& work,
                            std::uint64_t seal, bool inTime, double sample) {
  Server& server = servers_.at(machine);
  if (work.keyed) --server.keyed;
  if (server.queue.empty()) {
    --server.busy;
  } else {
    const auto next = std::move(server.queue.front());
    server.queue.pop_front();
    next();
  }
  const std::string fieldsWithId = "Rackroute-Attempt-Id: " + attemptIdHex(work.attempt) + "\r\n";
  if (!inTime) return connection->respond(504, fieldsWithId, "");
  if (sample < server.lossRatio) return connection->end(sidecar::CloseReason::cut);
  const bool corrupt = sample < server.lossRatio + server.corruptionRatio;
  if (corrupt && sample < server.lossRatio + server.corruptionRatio / 2)
    return connection->respond(200, "Rackroute-Attempt-Id: 0\r\nConnection: close\r\n", "other");
  const std::string fields = fieldsWithId + std::string(kSealHeader) + ": " + std::to_string(seal) + "\r\n";
  const std::string body = executionBody(work.attempt, seal);
  if (seal % kUnframedInterval == 0) return respondUntilClose(connection, fields, body);
  connection->respond(200, fields, body);
  if (!corrupt || connection->ended()) return;
  // A duplicate that takes the place of the next response on the connection.
  http::GatherBuffer duplicate;
  duplicate.text("HTTP/1.1 200 OK\r\n" + fields + "Content-Length: " + std::to_string(body.size()) +
                 "\r\n\r\n" + body);
  connection->send(std::move(duplicate));
}

}  // namespace rackroute::lab::mesh
