// The emulated mesh's servers: their calls to the process beside them, and how they leave. Some sign off
// without draining first, some serve on for seconds after that, and some calls come late.

#include "lab/mesh/emulated.hpp"

namespace rackroute::lab::mesh::emulated {
namespace {

constexpr double kSignOffFirst = 0.3;  // of the servers, without draining first
constexpr double kServesOn = 0.5;      // of the servers, for seconds and not just over the drain
constexpr double kLongestOn = 6;       // seconds
constexpr double kLate = 0.05;         // of the calls
constexpr double kLatest = 3;          // seconds
constexpr Span kEndsAnyway = 9s;       // with no acknowledgement, from the first word

}  // namespace

void World::beat(std::size_t machine, std::uint64_t serverLife) {
  Server& server = side(machine).server;
  if (server.lives != serverLife || !server.up) return;
  in(kBeat, [this, machine, serverLife] { beat(machine, serverLife); });
  if (server.draining && server.leavesSince < Span{0}) beginsToLeave(machine, serverLife);
  ServerHeartbeat told;
  told.id = {server.id};
  told.service = {serviceName(server.service)};
  told.address = {machines_[machine].name + ":app"};
  told.zone = "z" + std::to_string(machines_[machine].zone);
  told.capacity = day_.slots;
  told.draining = server.draining && !server.signsOffFirst;
  told.seq = ++server.seq;
  told.coldLeft = std::max(Span{0}, server.coldUntil - now_);
  if (server.draining && server.signsOffFirst) {
    // What it says now is its sign-off; a last beat, of before that, may still be on its way.
    if (server.drainAcked >= Span{0}) return;
    if (uniform01(clients_) < kLate) callLate(machine, serverLife, told);
    ServerHeartbeat gone;
    gone.id = told.id;
    gone.gone = true;
    return call(machine, serverLife, gone);
  }
  if (uniform01(clients_) < kLate) return callLate(machine, serverLife, told);
  call(machine, serverLife, told);
}

void World::callLate(std::size_t machine, std::uint64_t serverLife, const ServerHeartbeat& told) {
  in(span(kLatest * uniform01(clients_)),
     [this, machine, serverLife, told] { call(machine, serverLife, told); });
}

void World::call(std::size_t machine, std::uint64_t serverLife, const ServerHeartbeat& told) {
  const Machine& m = machines_[machine];
  if (m.life == 0 || m.dark || m.frozenUntil > now_) return;
  Side& here = side(machine);
  const ServerCallNo no{++here.nextServerCall};
  here.serverCalls[no] = {serverLife, told.draining || told.gone};
  act(machine, here.sidecar->serverCalled(now_, no, told));
}

void World::answered(std::size_t machine, const ServerCallResponse& answer) {
  Side& here = side(machine);
  const auto found = here.serverCalls.find(answer.call);
  if (found == here.serverCalls.end()) return;
  const auto [serverLife, leaves] = found->second;
  here.serverCalls.erase(found);
  Server& server = here.server;
  if (!answer.acknowledged || !leaves || server.lives != serverLife || server.drainAcked >= Span{0}) return;
  server.drainAcked = now_;
  const bool servesOn = uniform01(clients_) < kServesOn;
  const Span longer = servesOn ? span(kLongestOn * uniform01(clients_)) : Span{500ms};
  in(kDrain + longer, [this, machine, serverLife = serverLife] { ends(machine, serverLife); });
}

void World::beginsToLeave(std::size_t machine, std::uint64_t serverLife) {
  Server& server = side(machine).server;
  server.leavesSince = now_;
  server.signsOffFirst = uniform01(clients_) < kSignOffFirst;
  in(kEndsAnyway, [this, machine, serverLife] {
    const Server& then = side(machine).server;
    if (then.lives == serverLife && then.drainAcked < Span{0}) ends(machine, serverLife);
  });
}

void World::ends(std::size_t machine, std::uint64_t serverLife) {
  if (side(machine).server.lives != serverLife) return;
  ServerHeartbeat gone;
  gone.id = {side(machine).server.id};
  gone.gone = true;
  call(machine, serverLife, gone);
  newServer(machine);
}

void World::newServer(std::size_t machine) {
  Server& server = side(machine).server;
  const int service = server.service;
  const std::uint64_t lives = server.lives + 1;
  server = Server{};
  server.service = service;
  server.lives = lives;
  server.id = "i-" + machines_[machine].name + "-" + std::to_string(lives);
  server.coldUntil = now_ + 2s;
  in(span(0.3 * uniform01(network_)), [this, machine, lives] { beat(machine, lives); });
}

}  // namespace rackroute::lab::mesh::emulated
