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

constexpr std::uint32_t kMostMachines = 300;  // processes that one machine bears
constexpr Span kLead = 4s;                    // before the first request
constexpr Span kDead = 300ms;                 // until a killed process starts again
constexpr Span kSettle = 5s;                  // after the last request, until the configuration is read back
constexpr Span kReadBacks = 20s;              // for an answer to that
constexpr Span kLook = 50ms;                  // between looks at how late the loop is, and who has ended
constexpr Span kLate = 500ms;                 // the machine is too slow for this run

Span spanOf(double seconds) {
  return std::chrono::duration_cast<Span>(std::chrono::duration<double>(seconds));
}

double secondsOf(Span span) { return std::chrono::duration<double>(span).count(); }

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
    case TroubleKind::oldChange:
    case TroubleKind::newService:
      return true;
    default:
      return false;
  }
}

bool hasResets(const Day& day) {
  return std::any_of(day.troubles.begin(), day.troubles.end(),
                     [](const Trouble& trouble) { return trouble.kind == TroubleKind::resetForwards; });
}

/// One run: the parts, and the troubles done to them.
class ProcessMesh {
 public:
  ProcessMesh(const Day& day, const ProcessPlan& plan)
      : day_(day),
        plan_(plan),
        arrivals_(makeRandomEngine(plan.seed, Purpose::arrivals)),
        chance_(makeRandomEngine(plan.seed, Purpose::clients)),
        resets_(makeRandomEngine(plan.seed, Purpose::network)),
        judge_({kDrain, kApply, spanOf(day.keyWindow), kRetryWindow, kRetryRatio, kRetrySlack}),
        httpClient_(loop_, {300ms, 5s, Span{0}, 1 << 20, 64}),
        machines_(day_, 20 + static_cast<std::uint32_t>(::getpid()) % 200),
        context_{day_,        loop_,     judge_,
                 httpClient_, machines_, [this](const std::string& line) { tell(line); }},
        servers_(context_, chance_, [this](std::uint64_t attempt) { return clients_.callerOf(attempt); }),
        clients_(context_, servers_, arrivals_, chance_,
                 [this](std::uint32_t machine) { return children_.disturbedAt(machine); }),
        operators_(context_),
        children_(context_, plan, hasResets(day)) {}

  PlayedProcesses run();

 private:
  void tell(const std::string& line) const {
    if (plan_.tell) plan_.tell(line);
  }
  void begin();
  void strike(const Trouble& trouble);
  void resetForwards(const Trouble& trouble, std::uint32_t sidecar);
  void kill(std::uint32_t machine, Span until, bool wiped);
  void term(std::uint32_t machine);
  void close();
  void look();

  Day day_;
  const ProcessPlan& plan_;
  RandomEngine arrivals_, chance_, resets_;
  sidecar::Loop loop_;
  Judge judge_;
  HttpClient httpClient_;
  MachineMap machines_;
  ProcessContext context_;
  ProcessServers servers_;
  ProcessClients clients_;
  ProcessOperators operators_;
  ProcessChildren children_;
  std::map<std::uint32_t, std::unique_ptr<ForwardRelay>> relays_;  // by machine; none without resets
  std::uint64_t kills_ = 0;
  std::uint64_t keyedAtKills_ = 0;
  Span latest_{};
  Span lookedAt_{};
};

void ProcessMesh::look() {
  latest_ = std::max(latest_, context_.now() - lookedAt_ - kLook);
  lookedAt_ = context_.now();
  children_.look();
  if (Children::interrupted()) return loop_.stop();
  loop_.in(kLook, [this] { look(); });
}

void ProcessMesh::kill(std::uint32_t machine, Span until, bool wiped) {
  ++kills_;
  const bool control = machines_.isControl(machine);
  keyedAtKills_ += clients_.keyedOpen(control ? std::nullopt : std::optional(machine));
  if (!control) keyedAtKills_ += servers_.keyedAtWork(machine);
  children_.kill(machine, until, wiped);
}

void ProcessMesh::term(std::uint32_t machine) {
  if (!day_.clientsStay) clients_.avoid(machine);
  children_.term(machine);
  loop_.in(kGrace, [this, machine, process = children_.idAt(machine), told = context_.now()] {
    clients_.use(machine);
    const bool gone = children_.gone(machine);
    // Another trouble has started another process meanwhile.
    if (!gone && children_.idAt(machine) != process) return;
    // One that was frozen has had less than its grace.
    if (!gone && children_.disturbedAt(machine) < told)
      judge_.failed(context_.now(), "GRACE", machines_.nameOf(machine) + " still runs");
    if (gone || children_.disturbedAt(machine) < context_.now()) children_.start(machine, false);
  });
}

void ProcessMesh::resetForwards(const Trouble& trouble, std::uint32_t sidecar) {
  ForwardRelay& relay = *relays_.at(sidecar);
  relay.reset(trouble.part);
  tell("resets a part of the forwards to " + machines_.nameOf(sidecar));
  loop_.in(spanOf(trouble.lasts), [&relay] { relay.reset(0); });
}

void ProcessMesh::strike(const Trouble& trouble) {
  const std::uint32_t control = trouble.who % day_.controls;
  const std::uint32_t sidecar = machines_.sidecar(trouble.who);
  const Span until = context_.now() + spanOf(trouble.lasts);
  const auto later = [&](std::function<void()> task) { loop_.in(spanOf(trouble.lasts), std::move(task)); };
  switch (trouble.kind) {
    case TroubleKind::killSidecar:
      return kill(sidecar, context_.now() + kDead, false);
    case TroubleKind::killControl:
      return kill(control, context_.now() + kDead, false);
    case TroubleKind::wipeControl:
      return kill(control, until, true);
    case TroubleKind::freezeSidecar:
      return children_.freeze(sidecar, until);
    case TroubleKind::freezeControl:
      return children_.freeze(control, until);
    case TroubleKind::termSidecar:
      return term(sidecar);
    case TroubleKind::hangUp:
      return children_.hangUp(trouble.who % (day_.controls + day_.sidecars));
    case TroubleKind::resetForwards:
      return resetForwards(trouble, sidecar);
    case TroubleKind::serverLoses:
      servers_.losesAnswers(sidecar, trouble.part);
      return later([this, sidecar] { servers_.losesAnswers(sidecar, 0); });
    case TroubleKind::serverSpoils:
      servers_.spoilsAnswers(sidecar, trouble.part);
      return later([this, sidecar] { servers_.spoilsAnswers(sidecar, 0); });
    case TroubleKind::serverSlow:
      servers_.slows(sidecar, std::max(1.0, trouble.part));
      return later([this, sidecar] { servers_.slows(sidecar, 1); });
    case TroubleKind::serverCrash:
      servers_.crash(sidecar);
      return later([this, sidecar] { servers_.begin(sidecar); });
    case TroubleKind::release:
      return servers_.release(sidecar);
    case TroubleKind::change:
    case TroubleKind::race:
    case TroubleKind::badChange:
      return operators_.change(trouble.who, trouble.kind == TroubleKind::race,
                               trouble.kind == TroubleKind::badChange);
    default:
      return;  // refused before the day began
  }
}

void ProcessMesh::close() {
  const std::uint32_t wiped = static_cast<std::uint32_t>(plan_.seed) % day_.controls;
  for (std::uint32_t control = 0; control < day_.controls; ++control) {
    if (day_.closing == Closing::killAll) kill(control, context_.now() + kDead, false);
    if (day_.closing == Closing::wipeOne && control == wiped) kill(control, context_.now() + kDead, true);
  }
}

void ProcessMesh::begin() {
  const auto relayed = hasResets(day_);
  for (std::uint32_t i = 0; i < day_.sidecars; ++i) {
    const std::uint32_t machine = machines_.sidecar(i);
    servers_.open(machine);
    if (relayed) {
      relays_[machine] = std::make_unique<ForwardRelay>(loop_, machines_.at(machine, Port::inbound),
                                                        machines_.at(machine, Port::behindRelay), resets_);
    }
  }
  for (std::uint32_t i = 0; i < day_.controls + day_.sidecars; ++i) children_.start(i, true);
  for (std::uint32_t i = 0; i < day_.sidecars; ++i) servers_.begin(machines_.sidecar(i));
  loop_.in(500ms, [this] { operators_.begin(); });
  loop_.at(context_.zero + kLead, [this] { clients_.arrive(); });
  for (const Trouble& trouble : day_.troubles) {
    loop_.at(context_.zero + kLead + spanOf(trouble.at), [this, trouble] { strike(trouble); });
  }
  if (day_.closing != Closing::none) loop_.at(context_.zero + context_.end - 3s, [this] { close(); });
  loop_.at(context_.zero + context_.end + kSettle,
           [this] { operators_.readBack(0, context_.now() + kReadBacks, [this] { loop_.stop(); }); });
  look();
}

PlayedProcesses ProcessMesh::run() {
  context_.zero = loop_.now();
  context_.end = kLead + spanOf(day_.seconds);
  loop_.guarded([this] { begin(); });
  loop_.run();
  PlayedProcesses played;
  played.figures = endOfDay(judge_, operators_.table(), day_.leastServed, context_.now());
  played.broken = judge_.broken();
  played.late = latest_ > kLate || Children::interrupted();
  played.figures["kills"] = kills_;
  played.figures["keyed_at_work_when_killed"] = keyedAtKills_;
  played.figures["latest_look_ms"] = secondsOf(latest_) * 1000;
  std::uint64_t resets = 0;
  for (const auto& entry : relays_) resets += entry.second->resets();
  if (!relays_.empty()) played.figures["resets"] = resets;
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
