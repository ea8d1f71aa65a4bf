// Continuous checks of a day: reads by operators, applied versions, server starvation, and when the mesh
// counts as stable.

#include "lab/mesh/emulated_world.hpp"

namespace rackroute::lab::mesh::emulated {
namespace {

constexpr double kBusyRequestRate = 2;       // requests per second and sidecar
constexpr std::size_t kMaxLateReports = 40;  // reported violations of the applied version check

}  // namespace

// Reads the configuration from a random control node, including partitioned ones.
void World::probeReads() {
  if (now_ >= end_) return;
  runAfter(kProbeInterval, [this] { probeReads(); });
  const std::size_t machine =
      controlMachine(static_cast<std::uint32_t>(uniform01(operators_) * day_.controls));
  const Machine& m = machines_[machine];
  if (m.incarnation == 0 || m.poweredOff) return;
  const MinVersions minimum = ledger_.minVersionsAt(now_);
  runOnProcess(now_ + span(day_.crossZoneDelay), machine, m.incarnation, [this, machine, minimum] {
    ControlHost& host = controlOn(machine);
    const std::uint64_t callId = ++host.lastCallId;
    host.calls[callId] = [this, minimum](Status status, const std::string& body) {
      if (status == 200) ledger_.configRead(now_, json::parse(body), minimum, "CONFIG stale read");
    };
    execute(machine, host.control->readBack(now_, {callId}));
  });
}

// An acknowledgement by a control node counts even if its response is lost. A partitioned node must not
// decide.
void World::checkResponse(std::size_t machine, const Order& order, Span askedAt, Status status) {
  if (status == 200) ledger_.acknowledgedByControl(now_, order.no);
  const bool partitioned = controlOn(machine).partitionedSince != Span::max() &&
                           controlOn(machine).partitionedSince + kLeaseBound < askedAt;
  const bool isDecision = status == 200 || (order.valid && status >= 400 && status < 500);
  if (partitioned && isDecision)
    judge_.reportViolation(now_, "CONFIG cut off",
                           machines_[machine].name + " answered order " + std::to_string(order.no) +
                               " with " + std::to_string(status));
}

// Records the items that a sidecar applied from this message.
void World::recordAppliedItems(std::size_t machine, const json& message) {
  const auto list = message.find("list");
  if (list == message.end() || message.at("t") != "items") return;
  const Items& items = sidecarOn(machine).sidecar->controlClient().items();
  for (const json& entry : *list) {
    const auto key = keyOf(entry.at("k").get<std::string>());
    if (!key || key->kind == ItemKind::voters) continue;
    const Item* item = items.find(*key);
    if (item != nullptr)
      ledger_.valueApplied(now_, machine, machines_[machine].incarnation,
                           {rackroute::mesh::textOf(item->key), item->generation.value}, item->value.dump());
  }
}

// Runs until the configuration is read back; starvation is checked only while requests arrive.
void World::checkAppliedVersions() {
  if (now_ >= end_ + kSettleTime) return;
  runAfter(kSweepInterval, [this] { checkAppliedVersions(); });
  for (std::uint32_t i = 0; now_ < end_ && i < day_.sidecars; ++i) checkStarvation(sidecarMachine(i));
  if (!controlsStable()) return;
  const MinVersions minimum = ledger_.minVersionsAt(now_ - kApplyTime);
  for (std::uint32_t i = 0; i < day_.sidecars; ++i) checkAppliedVersions(sidecarMachine(i), minimum);
}

// A recently started process may still be unready, but one that serves must have applied the required
// versions.
void World::checkAppliedVersions(std::size_t machine, const MinVersions& minimum) {
  if (!sidecarStable(machine)) return;
  const Sidecar& sidecar = *sidecarOn(machine).sidecar;
  const bool recentlyStarted = now_ < machines_[machine].startedAt + kStablePeriod + kApplyTime;
  if (recentlyStarted && !sidecar.serving(now_)) return;
  for (const auto& [key, required] : minimum) {
    const Item* item = sidecar.controlClient().items().find(*keyOf(key));
    if (item != nullptr && item->generation.value >= required) continue;
    if (++lateReports_ > kMaxLateReports) return;
    judge_.reportViolation(now_, "CONFIG not in force",
                           "sidecar " + machines_[machine].name + " holds " + key + " version " +
                               std::to_string(item == nullptr ? 0 : item->generation.value) + ", " +
                               std::to_string(required) + " was acknowledged");
  }
}

// Detects a healthy server that gets no requests, for example because a restart lowered its incarnation
// number.
void World::checkStarvation(std::size_t machine) {
  SidecarHost& host = sidecarOn(machine);
  const Server& server = host.server;
  const bool healthy = server.up && !server.draining && server.slowdown <= 1 && server.lossShare <= 0 &&
                       server.malformedShare <= 0;
  if (!healthy || !controlsStable() || !sidecarStable(machine) || machines_[machine].stopping) {
    host.healthySince = now_;
    return;
  }
  const bool busy = day_.requestRate >= kBusyRequestRate * day_.sidecars;
  if (!busy || now_ < std::max(host.healthySince, host.lastExecutionAt) + kStarvationTime) return;
  host.healthySince = now_;
  judge_.reportViolation(now_, "STARVED", "the server " + server.id + " got no request");
}

// Checks all subsets of the working control nodes, of which there are at most a dozen.
bool World::hasConnectedMajority() const {
  std::vector<std::size_t> working;
  for (std::size_t machine = 0; machine < machines_.size(); ++machine) {
    if (machines_[machine].isControl && isWorking(machine)) working.push_back(machine);
  }
  for (std::uint32_t set = 0; set < (1U << working.size()); ++set) {
    if (static_cast<std::size_t>(__builtin_popcount(set)) < majority()) continue;
    bool connected = true;
    for (std::size_t a = 0; a < working.size() && connected; ++a) {
      for (std::size_t b = 0; b < working.size() && connected; ++b)
        connected = (set >> a & 1U) == 0 || (set >> b & 1U) == 0 || !isCut(working[a], working[b]);
    }
    if (connected) return true;
  }
  return false;
}

bool World::isWorking(std::size_t control) const {
  const Machine& m = machines_[control];
  const Disk& disk = controlHosts_[m.number].disk;
  return m.incarnation != 0 && !m.poweredOff && m.frozenUntil <= now_ && !disk.full &&
         disk.stalledUntil <= now_;
}

void World::disturbControls(Span lasts) {
  controlsStableFrom_ = std::max(controlsStableFrom_, now_ + 1s);
  runAfter(lasts, [this] { controlsStableFrom_ = std::max(controlsStableFrom_, now_ + 1s); });
}

void World::disturbSidecar(std::size_t sidecar, Span lasts) {
  Span& until = machines_[sidecar].disturbedUntil;
  until = std::max(until, now_ + lasts + 1s);
}

}  // namespace rackroute::lab::mesh::emulated
