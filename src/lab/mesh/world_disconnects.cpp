// Clients of the emulated mesh that disconnect early, and the cancellation of their requests.

#include "lab/mesh/emulated_world.hpp"

namespace rackroute::lab::mesh::emulated {

void World::maybeDisconnect(std::size_t machine, std::uint64_t call, Span deadline) {
  if (day_.disconnectShare <= 0 || uniform01(clients_) >= day_.disconnectShare) return;
  const Span wait = span(uniform01(clients_) * std::chrono::duration<double>(deadline - now_).count() / 2);
  runOnProcess(now_ + wait, machine, machines_[machine].incarnation,
               [this, machine, call] { disconnectClient(machine, call); });
}

void World::disconnectClient(std::size_t machine, std::uint64_t call) {
  SidecarHost& host = sidecarOn(machine);
  const auto found = host.attemptOf.find(call);
  if (found == host.attemptOf.end() || openAttempts_.erase(found->second) == 0) return;
  judge_.clientDisconnected(now_, found->second);
  execute(machine, host.sidecar->requestAbandoned(now_, {call}));
}

void World::cancelForward(std::size_t machine, const RoutingAction& action) {
  SidecarHost& host = sidecarOn(machine);
  const auto found = host.forwards.find(action.attempt.value);
  if (found == host.forwards.end()) return;
  const auto cancel = std::move(found->second);
  host.forwards.erase(found);
  cancel();
}

void World::cancelExecution(std::size_t machine, const AdmissionAction& action) {
  SidecarHost& host = sidecarOn(machine);
  const auto found = host.executions.find(action.request.value);
  if (found == host.executions.end()) return;
  const auto stop = std::move(found->second);
  host.executions.erase(found);
  stop();
}

// Starts the next queued request of the server, if any.
void World::freeSlot(std::size_t machine, std::uint64_t serverIncarnation) {
  Server& server = sidecarOn(machine).server;
  if (server.incarnation != serverIncarnation) return;
  if (server.queue.empty()) {
    --server.busy;
    return;
  }
  const auto next = std::move(server.queue.front());
  server.queue.pop_front();
  next();
}

}  // namespace rackroute::lab::mesh::emulated
