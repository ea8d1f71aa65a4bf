// The servers of the emulated mesh: their calls to the sidecar and their shutdown. Some sign off without
// draining, some keep serving for seconds after the drain, and some calls are delayed.

#include "lab/mesh/emulated_world.hpp"

namespace rackroute::lab::mesh::emulated {
namespace {

constexpr double kSignOffFirstShare = 0.3;      // of the servers sign off without draining
constexpr double kServesAfterDrainShare = 0.5;  // of the servers keep serving for seconds after the drain
constexpr double kMaxExtraTime = 6;             // seconds
constexpr double kLateCallShare = 0.05;         // of the calls are delayed
constexpr double kMaxCallDelay = 3;             // seconds
constexpr Span kShutdownTimeout = 9s;           // without an acknowledgement

}  // namespace

void World::sendHeartbeat(std::size_t machine, std::uint64_t serverIncarnation) {
  Server& server = sidecarOn(machine).server;
  if (server.incarnation != serverIncarnation || !server.up) return;
  runAfter(kHeartbeatInterval,
           [this, machine, serverIncarnation] { sendHeartbeat(machine, serverIncarnation); });
  if (server.draining && server.shutdownSince < Span{0}) startShutdown(machine, serverIncarnation);
  ServerHeartbeat beat;
  beat.id = {server.id};
  beat.service = {serviceName(server.service)};
  beat.address = {machines_[machine].name + ":app"};
  beat.zone = "z" + std::to_string(machines_[machine].zone);
  beat.capacity = day_.slots;
  beat.draining = server.draining && !server.signsOffFirst;
  beat.seq = ++server.seq;
  beat.coldLeft = std::max(Span{0}, server.coldUntil - now_);
  if (server.draining && server.signsOffFirst) {
    // It signs off; an earlier heartbeat may be delayed past that.
    if (server.drainAckedAt >= Span{0}) return;
    if (uniform01(clients_) < kLateCallShare) sendServerCallLate(machine, serverIncarnation, beat);
    ServerHeartbeat signOff;
    signOff.id = beat.id;
    signOff.gone = true;
    return sendServerCall(machine, serverIncarnation, signOff);
  }
  if (uniform01(clients_) < kLateCallShare) return sendServerCallLate(machine, serverIncarnation, beat);
  sendServerCall(machine, serverIncarnation, beat);
}

void World::sendServerCallLate(std::size_t machine, std::uint64_t serverIncarnation,
                               const ServerHeartbeat& beat) {
  runAfter(span(kMaxCallDelay * uniform01(clients_)),
           [this, machine, serverIncarnation, beat] { sendServerCall(machine, serverIncarnation, beat); });
}

void World::sendServerCall(std::size_t machine, std::uint64_t serverIncarnation,
                           const ServerHeartbeat& beat) {
  const Machine& m = machines_[machine];
  if (m.incarnation == 0 || m.poweredOff || m.frozenUntil > now_) return;
  SidecarHost& host = sidecarOn(machine);
  const ServerCallNo no{++host.lastServerCallId};
  host.serverCalls[no] = {serverIncarnation, beat.draining || beat.gone};
  execute(machine, host.sidecar->serverCalled(now_, no, beat));
}

void World::serverCallAnswered(std::size_t machine, const ServerCallResponse& response) {
  SidecarHost& host = sidecarOn(machine);
  const auto found = host.serverCalls.find(response.call);
  if (found == host.serverCalls.end()) return;
  const auto [serverIncarnation, shutsDown] = found->second;
  host.serverCalls.erase(found);
  Server& server = host.server;
  if (!response.acknowledged || !shutsDown || server.incarnation != serverIncarnation ||
      server.drainAckedAt >= Span{0})
    return;
  server.drainAckedAt = now_;
  const bool servesAfterDrain = uniform01(clients_) < kServesAfterDrainShare;
  const Span extra = servesAfterDrain ? span(kMaxExtraTime * uniform01(clients_)) : Span{500ms};
  runAfter(kDrainTime + extra,
           [this, machine, serverIncarnation = serverIncarnation] { endServer(machine, serverIncarnation); });
}

void World::startShutdown(std::size_t machine, std::uint64_t serverIncarnation) {
  Server& server = sidecarOn(machine).server;
  server.shutdownSince = now_;
  server.signsOffFirst = uniform01(clients_) < kSignOffFirstShare;
  runAfter(kShutdownTimeout, [this, machine, serverIncarnation] {
    const Server& current = sidecarOn(machine).server;
    if (current.incarnation == serverIncarnation && current.drainAckedAt < Span{0})
      endServer(machine, serverIncarnation);
  });
}

void World::endServer(std::size_t machine, std::uint64_t serverIncarnation) {
  if (sidecarOn(machine).server.incarnation != serverIncarnation) return;
  ServerHeartbeat signOff;
  signOff.id = {sidecarOn(machine).server.id};
  signOff.gone = true;
  sendServerCall(machine, serverIncarnation, signOff);
  startServer(machine);
}

void World::startServer(std::size_t machine) {
  Server& server = sidecarOn(machine).server;
  const int service = server.service;
  const std::uint64_t incarnation = server.incarnation + 1;
  server = Server{};
  server.service = service;
  server.incarnation = incarnation;
  server.id = "i-" + machines_[machine].name + "-" + std::to_string(incarnation);
  server.coldUntil = now_ + 2s;
  runAfter(span(0.3 * uniform01(network_)),
           [this, machine, incarnation] { sendHeartbeat(machine, incarnation); });
}

}  // namespace rackroute::lab::mesh::emulated
