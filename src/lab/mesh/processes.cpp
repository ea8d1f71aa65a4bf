#include "lab/mesh/processes.hpp"

#include <unistd.h>

#include <algorithm>
#include <map>
#include <memory>
#include <utility>

#include "lab/children.hpp"
#include "lab/mesh/forward_relay.hpp"
#include "lab/mesh/process_children.hpp"
#include "lab/mesh/process_clients.hpp"
#include "lab/mesh/process_operators.hpp"
#include "lab/mesh/process_servers.hpp"
#include "lab/random.hpp"
#include "sidecar/log.hpp"

namespace rackroute::lab::mesh {
namespace {

using namespace std::chrono_literals;
using namespace rackroute::mesh;

constexpr std::uint32_t kMaxMachines = 300;
constexpr Span kWarmUp = 4s;           // from the start of the processes to the first request
constexpr Span kRestartDelay = 300ms;  // until a killed process is restarted
constexpr Span kSettle = 5s;           // from the last request to the read-back of the configuration
constexpr Span kReadBackTimeout = 20s;
constexpr Span kCheckInterval = 50ms;    // for loop delay and exited processes
constexpr Span kLoopDelayLimit = 500ms;  // a run with a larger loop delay has no verdict

Span spanOf(double seconds) {
  return std::chrono::duration_cast<Span>(std::chrono::duration<double>(seconds));
}

double secondsOf(Span span) { return std::chrono::duration<double>(span).count(); }

/// Whether a fault, such as a partition, power loss or disk fault, can't be injected into real processes.
bool isVirtualOnly(FaultKind kind) {
  switch (kind) {
    case FaultKind::powerControl:
    case FaultKind::cutSidecar:
    case FaultKind::cutControl:
    case FaultKind::cutControlOneWay:
    case FaultKind::diskSlow:
    case FaultKind::diskFull:
    case FaultKind::replaceControl:
    case FaultKind::replaceControlPlanned:
    case FaultKind::cutControlAsymmetric:
    case FaultKind::cutCoreHalves:
    case FaultKind::restartBeside:
    case FaultKind::resetControl:
    case FaultKind::resetSidecar:
    case FaultKind::diskStall:
    case FaultKind::clockStep:
    case FaultKind::killCore:
    case FaultKind::powerCore:
    case FaultKind::powerCoreAtAnswer:
    case FaultKind::rollSidecars:
    case FaultKind::answersLost:
    case FaultKind::storm:
    case FaultKind::changeMany:
    case FaultKind::raceMany:
    case FaultKind::oldChange:
    case FaultKind::newService:
      return true;
    default:
      return false;
  }
}

bool hasResetFaults(const Day& day) {
  return std::any_of(day.faults.begin(), day.faults.end(),
                     [](const Fault& fault) { return fault.kind == FaultKind::resetForwards; });
}

/// One run: owns the parts of the mesh and injects the faults.
class ProcessMesh {
 public:
  ProcessMesh(const Day& day, const ProcessRunOptions& options)
      : day_(day),
        options_(options),
        arrivalRng_(makeRandomEngine(options.seed, Purpose::arrivals)),
        rng_(makeRandomEngine(options.seed, Purpose::clients)),
        resetRng_(makeRandomEngine(options.seed, Purpose::network)),
        judge_({kDrainTime, kApplyTime, spanOf(day.keyWindow), kRetryWindow, kRetryRatio, kRetrySlack}),
        httpClient_(loop_, {300ms, 5s, Span{0}, 1 << 20, 64}),
        machines_(day_, 20 + static_cast<std::uint32_t>(::getpid()) % 200),
        context_{day_,        loop_,     judge_,
                 httpClient_, machines_, [this](const std::string& line) { logEvent(line); }},
        servers_(context_, rng_, [this](std::uint64_t attempt) { return clients_.callerOf(attempt); }),
        clients_(context_, servers_, arrivalRng_, rng_,
                 [this](std::uint32_t machine) {
                   return ProcessClients::Interventions{children_.disturbedAt(machine),
                                                        children_.stoppedAt(machine)};
                 }),
        operators_(context_, [this](std::uint32_t control) { return children_.disturbedAt(control); }),
        children_(context_, options, hasResetFaults(day)) {}

  ProcessRunResult run();

 private:
  void logEvent(const std::string& line) const {
    if (options_.onEvent) options_.onEvent(line);
  }
  void begin();
  void injectFault(const Fault& fault);
  void resetForwards(const Fault& fault, std::uint32_t sidecar);
  void kill(std::uint32_t machine, Span until, bool wiped);
  void terminate(std::uint32_t machine);
  void applyClosing();
  void checkProgress();

  Day day_;
  const ProcessRunOptions& options_;
  RandomEngine arrivalRng_, rng_, resetRng_;
  sidecar::Loop loop_;
  Judge judge_;
  HttpClient httpClient_;
  MachineMap machines_;
  ProcessContext context_;
  ProcessServers servers_;
  ProcessClients clients_;
  ProcessOperators operators_;
  ProcessChildren children_;
  std::map<std::uint32_t, std::unique_ptr<ForwardRelay>> relays_;  // by machine; empty without reset faults
  std::uint64_t kills_ = 0;
  std::uint64_t keyedInFlightAtKills_ = 0;
  Span maxLoopDelay_{};
  Span lastCheckAt_{};
};

void ProcessMesh::checkProgress() {
  maxLoopDelay_ = std::max(maxLoopDelay_, context_.now() - lastCheckAt_ - kCheckInterval);
  lastCheckAt_ = context_.now();
  children_.checkExits();
  if (Children::interrupted()) return loop_.stop();
  loop_.after(kCheckInterval, [this] { checkProgress(); });
}

void ProcessMesh::kill(std::uint32_t machine, Span until, bool wiped) {
  ++kills_;
  const bool control = machines_.isControl(machine);
  keyedInFlightAtKills_ += clients_.keyedInFlight(control ? std::nullopt : std::optional(machine));
  if (!control) keyedInFlightAtKills_ += servers_.keyedInExecution(machine);
  children_.kill(machine, until, wiped);
}

void ProcessMesh::terminate(std::uint32_t machine) {
  if (!day_.keepConnections) clients_.excludeMachine(machine);
  children_.terminate(machine);
  loop_.after(kGracePeriod, [this, machine, process = children_.idAt(machine), signalledAt = context_.now()] {
    clients_.includeMachine(machine);
    const bool exited = children_.hasExited(machine);
    // Another fault has restarted the process in the meantime.
    if (!exited && children_.idAt(machine) != process) return;
    // A process that was frozen after the signal has not had its full grace period.
    if (!exited && children_.disturbedAt(machine) < signalledAt)
      judge_.reportViolation(context_.now(), "GRACE",
                             machines_.nameOf(machine) + " still runs after its grace period");
    if (exited || children_.disturbedAt(machine) < context_.now()) children_.start(machine, false);
  });
}

void ProcessMesh::resetForwards(const Fault& fault, std::uint32_t sidecar) {
  ForwardRelay& relay = *relays_.at(sidecar);
  relay.setResetRatio(fault.magnitude);
  logEvent("resetting a ratio of the connections to " + machines_.nameOf(sidecar));
  loop_.after(spanOf(fault.duration), [&relay] { relay.setResetRatio(0); });
}

void ProcessMesh::injectFault(const Fault& fault) {
  const std::uint32_t control = fault.target % day_.controls;
  const std::uint32_t sidecar = machines_.sidecarMachine(fault.target);
  const Span until = context_.now() + spanOf(fault.duration);
  const auto afterFault = [&](std::function<void()> task) {
    loop_.after(spanOf(fault.duration), std::move(task));
  };
  switch (fault.kind) {
    case FaultKind::killSidecar:
      return kill(sidecar, context_.now() + kRestartDelay, false);
    case FaultKind::killControl:
      return kill(control, context_.now() + kRestartDelay, false);
    case FaultKind::wipeControl:
      return kill(control, until, true);
    case FaultKind::freezeSidecar:
      return children_.freeze(sidecar, until);
    case FaultKind::freezeControl:
      return children_.freeze(control, until);
    case FaultKind::termSidecar:
      return terminate(sidecar);
    case FaultKind::termControl:
      return terminate(control);
    case FaultKind::hangUp:
      return children_.reload(fault.target % (day_.controls + day_.sidecars));
    case FaultKind::resetForwards:
      return resetForwards(fault, sidecar);
    case FaultKind::serverLoses:
      servers_.setResponseLoss(sidecar, fault.magnitude);
      return afterFault([this, sidecar] { servers_.setResponseLoss(sidecar, 0); });
    case FaultKind::serverSpoils:
      servers_.setResponseCorruption(sidecar, fault.magnitude);
      return afterFault([this, sidecar] { servers_.setResponseCorruption(sidecar, 0); });
    case FaultKind::serverSlow:
      servers_.setSlowdown(sidecar, std::max(1.0, fault.magnitude));
      return afterFault([this, sidecar] { servers_.setSlowdown(sidecar, 1); });
    case FaultKind::serverCrash:
      servers_.crash(sidecar);
      return afterFault([this, sidecar] { servers_.startInstance(sidecar); });
    case FaultKind::release:
      return servers_.drainAndRestart(sidecar);
    case FaultKind::change:
    case FaultKind::race:
    case FaultKind::badChange:
      return operators_.change(fault.target, fault.kind == FaultKind::race,
                               fault.kind == FaultKind::badChange);
    default:
      return;  // rejected before the run
  }
}

void ProcessMesh::applyClosing() {
  const std::uint32_t wiped = static_cast<std::uint32_t>(options_.seed) % day_.controls;
  for (std::uint32_t control = 0; control < day_.controls; ++control) {
    if (day_.closing == Closing::killAll) kill(control, context_.now() + kRestartDelay, false);
    if (day_.closing == Closing::wipeOne && control == wiped)
      kill(control, context_.now() + kRestartDelay, true);
  }
}

void ProcessMesh::begin() {
  const auto relayed = hasResetFaults(day_);
  for (std::uint32_t i = 0; i < day_.sidecars; ++i) {
    const std::uint32_t machine = machines_.sidecarMachine(i);
    servers_.listen(machine);
    if (relayed) {
      relays_[machine] =
          std::make_unique<ForwardRelay>(loop_, machines_.addressOf(machine, Port::inbound),
                                         machines_.addressOf(machine, Port::behindRelay), resetRng_);
    }
  }
  for (std::uint32_t i = 0; i < day_.controls + day_.sidecars; ++i) children_.start(i, true);
  for (std::uint32_t i = 0; i < day_.sidecars; ++i) servers_.startInstance(machines_.sidecarMachine(i));
  loop_.after(500ms, [this] { operators_.applyInitialConfig(); });
  loop_.at(context_.startTime + kWarmUp, [this] { clients_.scheduleArrival(); });
  for (const Fault& fault : day_.faults) {
    loop_.at(context_.startTime + kWarmUp + spanOf(fault.at), [this, fault] { injectFault(fault); });
  }
  if (day_.closing != Closing::none)
    loop_.at(context_.startTime + context_.loadEnd - 3s, [this] { applyClosing(); });
  loop_.at(context_.startTime + context_.loadEnd + kSettle,
           [this] { operators_.readBack(0, context_.now() + kReadBackTimeout, [this] { loop_.stop(); }); });
  checkProgress();
}

ProcessRunResult ProcessMesh::run() {
  context_.startTime = loop_.now();
  context_.loadEnd = kWarmUp + spanOf(day_.seconds);
  loop_.runGuarded([this] { begin(); });
  loop_.run();
  children_.checkStops();
  ProcessRunResult result;
  result.figures = finishDay(judge_, operators_.table(), day_.minServedShare, context_.now());
  result.violations = judge_.violations();
  result.late = maxLoopDelay_ > kLoopDelayLimit || Children::interrupted();
  result.figures["kills"] = kills_;
  result.figures["keyed_at_work_when_killed"] = keyedInFlightAtKills_;
  result.figures["latest_look_ms"] = secondsOf(maxLoopDelay_) * 1000;
  std::uint64_t resets = 0;
  for (const auto& entry : relays_) resets += entry.second->resets();
  if (!relays_.empty()) result.figures["resets"] = resets;
  return result;
}

}  // namespace

Day restrictToProcesses(Day day) {
  day.faults.erase(std::remove_if(day.faults.begin(), day.faults.end(),
                                  [](const Fault& fault) { return isVirtualOnly(fault.kind); }),
                   day.faults.end());
  if (day.closing == Closing::powerAll) day.closing = Closing::killAll;
  return day;
}

ProcessRunResult runWithProcesses(const Day& day, const ProcessRunOptions& options) {
  if (day.controls + day.sidecars > kMaxMachines)
    throw BadScenario(day.name + ": controls and sidecars: at most " + std::to_string(kMaxMachines) +
                      " in total with real processes");
  if (day.controls % day.zones != 0)
    throw BadScenario(day.name + ": controls: must be a multiple of the zones with real processes");
  if (day.closing == Closing::powerAll)
    throw BadScenario(day.name + ": closing: power_all requires virtual time");
  for (const Fault& fault : day.faults) {
    if (isVirtualOnly(fault.kind))
      throw BadScenario(day.name + ": trouble: " + mesh::nameOf(fault.kind) + " requires virtual time");
  }
  for (const std::string& program : {options.sidecar, options.control}) {
    if (::access(program.c_str(), X_OK) != 0) throw BadScenario(program + ": not an executable file");
  }
  if (!sidecar::setLevel("error")) throw std::logic_error("unknown log level");
  Children::prepare();
  return ProcessMesh(day, options).run();
}

}  // namespace rackroute::lab::mesh
