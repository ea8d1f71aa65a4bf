#include "lab/mesh/emulated.hpp"

namespace rackroute::lab::mesh::emulated {

void World::mayLeave(std::size_t machine, std::uint64_t call, Span deadline) {
  if (day_.leaving <= 0 || uniform01(clients_) >= day_.leaving) return;
  const Span patience =
      span(uniform01(clients_) * std::chrono::duration<double>(deadline - now_).count() / 2);
  atProcess(now_ + patience, machine, machines_[machine].life,
            [this, machine, call] { leave(machine, call); });
}

void World::leave(std::size_t machine, std::uint64_t call) {
  Side& here = side(machine);
  const auto found = here.attemptOf.find(call);
  if (found == here.attemptOf.end() || open_.erase(found->second) == 0) return;
  judge_.left(now_, found->second);
  act(machine, here.sidecar->requestAbandoned(now_, {call}));
}

void World::cancelForward(std::size_t machine, const RoutingAction& act) {
  Side& here = side(machine);
  const auto found = here.forwards.find(act.attempt.value);
  if (found == here.forwards.end()) return;
  const auto cancel = std::move(found->second);
  here.forwards.erase(found);
  cancel();
}

void World::cancelRun(std::size_t machine, const AdmissionAction& act) {
  Side& here = side(machine);
  const auto found = here.runs.find(act.request.value);
  if (found == here.runs.end()) return;
  const auto stop = std::move(found->second);
  here.runs.erase(found);
  stop();
}

// The next request that waits at the server begins.
void World::freeSlot(std::size_t machine, std::uint64_t serverLife) {
  Server& server = side(machine).server;
  if (server.lives != serverLife) return;
  if (server.queue.empty()) {
    --server.busy;
    return;
  }
  const auto next = std::move(server.queue.front());
  server.queue.pop_front();
  next();
}

}  // namespace rackroute::lab::mesh::emulated
