#pragma once

// A discrete-event emulation of a mesh: machines, disks, sessions, servers, clients and operators, driven by
// one event queue. The member functions of World are defined in one file per concern: network, processes,
// disks, requests and client disconnects, servers, operators, continuous checks, faults of sidecars and
// servers, and faults of control nodes.

#include <algorithm>
#include <cmath>
#include <deque>
#include <functional>
#include <map>
#include <optional>
#include <queue>
#include <set>
#include <utility>

#include "lab/mesh/emulated_files.hpp"
#include "lab/mesh/orders.hpp"
#include "lab/mesh/workload.hpp"
#include "lab/mesh/world.hpp"
#include "lab/random.hpp"
#include "mesh/control/control_node.hpp"
#include "mesh/sidecar/sidecar.hpp"
#include "mesh/storage/database.hpp"

namespace rackroute::lab::mesh::emulated {

using namespace std::chrono_literals;
using namespace rackroute::mesh;
using nlohmann::json;

inline constexpr Span kStablePeriod = 3s;            // without faults before rules with a time bound apply
inline constexpr Span kOpenRetryInterval = 300ms;    // between attempts to open a store on a failing disk
inline constexpr Span kRestartDelay = 300ms;         // from the kill of a process to its restart
inline constexpr Span kBreakDetectionTime = 1500ms;  // until a broken connection is noticed
inline constexpr Span kDialTimeout = 900ms;          // of a dial to an unreachable machine
inline constexpr Span kTimeoutMargin = 250ms;        // that the program waits beyond a deadline
inline constexpr Span kSettleTime = 20s;       // from the last request until the configuration is read back
inline constexpr Span kCallTimeout = 1s;       // of an operator's request
inline constexpr Span kWarmup = 4s;            // before the first request
inline constexpr Span kDiscoveryDelay = 3s;    // until a successor's address is known everywhere
inline constexpr Span kPlannedStopDelay = 1s;  // from a successor's start to the old process's end
inline constexpr Span kLeaseBound = 1500ms;    // maximum use of the last contact with a majority
inline constexpr Span kProbeInterval = 700ms;  // between reads of an operator
inline constexpr Span kSweepInterval = 500ms;  // between checks of the versions that sidecars have applied
inline constexpr Span kStarvationTime = 10s;   // a healthy server may go without requests
inline constexpr int kMaxTries = 60;           // of an operator for one order
inline constexpr Span kWallClockStart = std::chrono::hours(24 * 365 * 50);  // at the start

/// One run of a day. Events are executed in the order of their time, then of their submission.
class World {
 public:
  World(const Day& day, std::uint64_t seed)
      : day_(day),
        seed_(seed),
        network_(makeRandomEngine(seed, Purpose::network)),
        arrivals_(makeRandomEngine(seed, Purpose::arrivals)),
        clients_(makeRandomEngine(seed, Purpose::clients)),
        operators_(makeRandomEngine(seed, Purpose::policy)),
        judge_({kDrainTime, kApplyTime, span(day.keyWindow), 10s, kRetryRatio, kRetrySlack}),
        ledger_(judge_) {}

  DayResult run();

 private:
  // --- time
  struct Event {
    Span at;
    std::uint64_t no;
    std::function<void()> task;
    bool operator>(const Event& other) const { return std::pair(at, no) > std::pair(other.at, other.no); }
  };
  void runAt(Span when, std::function<void()> task) {
    events_.push({std::max(when, now_), ++eventNo_, std::move(task)});
  }
  void runAfter(Span wait, std::function<void()> task) { runAt(now_ + wait, std::move(task)); }

  // --- machines
  struct Machine {
    bool isControl = false;
    std::uint32_t number = 0;  // among the machines of its kind
    std::uint32_t zone = 0;
    std::string name;
    std::uint64_t incarnation = 0;  // of its process; 0 while none runs
    std::uint64_t lastIncarnation = 0;
    Span startedAt{};         // of the current incarnation
    bool poweredOff = false;  // unreachable: drops packets instead of refusing connections
    bool retired = false;     // replaced; never started again
    Span frozenUntil{};
    bool stopping = false;
    Span lastRequestAt{};   // by a client
    Span disturbedUntil{};  // sidecars only: affected by a fault until then
    Span clockOffset{};     // error of the wall clock
    std::string firstSeed;  // sidecars only: the first address to dial; empty for the listed order
  };
  struct Disk {
    std::unique_ptr<EmulatedFiles> files = std::make_unique<EmulatedFiles>("/data");
    std::unique_ptr<Database> database;                     // of the running process
    std::deque<std::pair<std::uint64_t, Entries>> pending;  // batches, including those being synced
    std::size_t syncing = 0;                                // number of pending batches that are being synced
    double slowdown = 1;
    Span stalledUntil{};
    bool full = false;
    bool initialized = false;
  };
  struct Server {
    std::string id;
    int service = 0;
    bool up = true;
    bool draining = false;
    bool signsOffFirst = false;  // shuts down by signing off without a drain
    Span shutdownSince{-1};      // negative while it is not shutting down
    Span drainAckedAt{-1};       // acknowledgement of the drain or sign-off; negative before
    std::uint64_t seq = 0;
    std::uint32_t busy = 0;
    double slowdown = 1;
    double lossShare = 0;
    double malformedShare = 0;
    Span coldUntil{};
    std::uint64_t incarnation = 0;
    std::deque<std::function<void()>> queue;
  };
  struct SidecarHost {
    std::unique_ptr<Sidecar> sidecar;
    Server server;
    Span nextWakeAt = Span::max();
    std::uint64_t lastCallId = 0;
    std::uint64_t lastInboundId = 0;
    std::uint64_t lastServerCallId = 0;
    /// Pending calls of the server: its incarnation, and whether the call announces a drain or signs off.
    std::map<ServerCallNo, std::pair<std::uint64_t, bool>> serverCalls;
    std::map<std::uint64_t, std::uint64_t> attemptOf;  // by call
    struct InboundRequest {
      std::uint64_t attempt;
      std::function<void(ForwardReply, std::uint32_t, std::uint64_t, std::shared_ptr<const void>)> reply;
    };
    std::map<std::uint64_t, InboundRequest> inbound;
    std::map<std::uint64_t, std::function<void()>> forwards;    // cancels a forward, by number sent
    std::map<std::uint64_t, std::function<void()>> executions;  // cancels an execution, by inbound request
    Span healthySince{};  // start of the time in which its server was continuously able to serve
    Span lastExecutionAt{};
  };
  struct ControlHost {
    std::unique_ptr<ControlNode> control;
    Disk disk;
    std::map<std::uint64_t, std::function<void(std::uint32_t, std::string)>> calls;
    std::uint64_t lastCallId = 0;
    Span partitionedSince = Span::max();  // from a majority of the control nodes, by network cuts
  };
  // A session between one incarnation each of two processes. Messages of one direction arrive in order.
  struct Link {
    std::size_t a, b;  // machines; a dialled b
    std::uint64_t incarnationA, incarnationB;
    bool open = true;
    Span lastDelivery[2]{};                    // last delivery per direction
    std::vector<std::string> queued[2];        // messages delayed by a cut, per direction
    std::uint64_t sessionA = 0, sessionB = 0;  // session numbers at control nodes
  };
  using LinkPtr = std::shared_ptr<Link>;

  /// The machine that currently hosts the control node of this number.
  [[nodiscard]] std::size_t controlMachine(std::uint32_t number) const {
    return controlSlots_[number % controlSlots_.size()];
  }
  [[nodiscard]] std::size_t sidecarMachine(std::uint32_t number) const { return day_.controls + number; }
  [[nodiscard]] SidecarHost& sidecarOn(std::size_t machine) {
    return sidecarHosts_[machines_[machine].number];
  }
  [[nodiscard]] ControlHost& controlOn(std::size_t machine) {
    return controlHosts_[machines_[machine].number];
  }
  [[nodiscard]] std::size_t majority() const { return day_.controls / 2 + 1; }
  [[nodiscard]] Span wallClock(std::size_t machine) const {
    return kWallClockStart + now_ + machines_[machine].clockOffset;
  }
  [[nodiscard]] std::string address(std::size_t machine) const { return machines_[machine].name + ":1"; }
  [[nodiscard]] std::optional<std::size_t> findMachine(const std::string& address) const {
    const auto found = byAddress_.find(address);
    return found == byAddress_.end() ? std::nullopt : std::optional(found->second);
  }
  [[nodiscard]] Span delay(std::size_t a, std::size_t b) {
    const double base =
        machines_[a].zone == machines_[b].zone ? day_.crossZoneDelay / 4 : day_.crossZoneDelay;
    return span(base * (1 + 0.5 * uniform01(network_)) + 0.00002);
  }
  [[nodiscard]] bool isCut(std::size_t from, std::size_t to) const { return cuts_.count({from, to}) > 0; }

  /// Runs the task when the process is not frozen, unless it has ended by then.
  void runOnProcess(Span when, std::size_t machine, std::uint64_t incarnation, std::function<void()> task) {
    runAt(when, [this, machine, incarnation, task = std::move(task)] {
      const Machine& m = machines_[machine];
      if (m.incarnation != incarnation || m.poweredOff) return;
      if (m.frozenUntil > now_) return runOnProcess(m.frozenUntil, machine, incarnation, task);
      task();
    });
  }

  // --- sessions
  void dial(std::size_t from, const Address& to);
  void send(const LinkPtr& link, bool fromA, std::string text);
  void deliver(const LinkPtr& link, bool fromA, Span when, std::string text);
  void close(const LinkPtr& link, std::optional<std::size_t> by);
  void sessionEnded(std::size_t machine, const LinkPtr& link);
  void receive(std::size_t machine, const LinkPtr& link, const std::string& text);

  // --- processes
  std::size_t addMachine(bool isControl, std::uint32_t number, std::uint32_t zone);
  void startControl(std::size_t machine);
  void startSidecar(std::size_t machine);
  /// Starts the process after this delay unless one is running by then.
  void restart(std::size_t machine, Span wait);
  void kill(std::size_t machine, bool powerLoss);
  [[nodiscard]] std::vector<Address> currentSeeds(const std::string& first) const;
  void execute(std::size_t machine, const ControlActions& actions);
  void execute(std::size_t machine, const SidecarActions& actions);
  void tickControl(std::size_t machine, std::uint64_t incarnation);
  void scheduleWake(std::size_t machine);

  // --- disks
  void startSync(std::size_t machine);
  void syncCompleted(std::size_t machine);
  void syncCompleted(std::size_t machine, bool written);
  static bool writePending(Disk& disk);
  /// Creates the control node and restores it from the store of its disk. Returns false if opening fails.
  bool openDisk(std::size_t machine, const ControlNode::Options& initial);
  /// Ends the use of the disk by a process that was killed or lost power.
  void closeDisk(std::size_t machine, bool powerLoss);
  void wipeDisk(std::size_t machine);

  // --- requests
  void generateRequests();
  void sendRequest(std::size_t machine, const LoadRequest& request);
  void responseReceived(std::size_t machine, const LoadRequest& request, std::uint64_t attempt,
                        std::uint32_t status, std::uint64_t seal, Span retryAfter);
  void forward(std::size_t machine, const RoutingAction& action);
  void serve(std::size_t machine, const AdmissionAction& action);
  /// Lets the client of a newly received request disconnect early with the probability of the day.
  void maybeDisconnect(std::size_t machine, std::uint64_t call, Span deadline);
  void disconnectClient(std::size_t machine, std::uint64_t call);
  void cancelForward(std::size_t machine, const RoutingAction& action);
  void cancelExecution(std::size_t machine, const AdmissionAction& action);
  void freeSlot(std::size_t machine, std::uint64_t serverIncarnation);

  // --- servers
  void sendHeartbeat(std::size_t machine, std::uint64_t serverIncarnation);
  void sendServerCall(std::size_t machine, std::uint64_t serverIncarnation, const ServerHeartbeat& beat);
  void sendServerCallLate(std::size_t machine, std::uint64_t serverIncarnation, const ServerHeartbeat& beat);
  void serverCallAnswered(std::size_t machine, const ServerCallResponse& response);
  void startShutdown(std::size_t machine, std::uint64_t serverIncarnation);
  void endServer(std::size_t machine, std::uint64_t serverIncarnation);
  void startServer(std::size_t machine);

  // --- operators
  using Status = std::uint32_t;
  struct Call {  // an order or a read in progress
    OrderNo order = 0;
    int tries = kMaxTries;
    std::function<void(Status)> done;
  };
  void submitInitialConfig();
  /// Sends the order to this control node and then to the following ones until a status below 500.
  void sendOrder(std::uint32_t control, const Call& call);
  void sendOrderTo(std::size_t machine, std::uint32_t control, const Call& call);
  void submitOrder(
      std::uint32_t control, OrderNo no, std::function<void(Status)> done = [](Status) {});
  void submitChange(std::uint32_t routeNo, bool race, bool valid);
  void submitMultiChange(std::uint32_t routeNo, bool race);
  void submitOldChange(std::uint32_t routeNo);
  void submitNewService(std::uint32_t routeNo);
  void startStorm(const Fault& fault);
  void submitStormOrder(Span interval, const std::shared_ptr<std::uint32_t>& remaining);
  [[nodiscard]] std::map<std::uint32_t, std::uint64_t> pickRoutes(std::uint32_t minCount,
                                                                  std::uint32_t maxCount);
  [[nodiscard]] bool dropsResponse() {
    return now_ < answersLostUntil_ && uniform01(operators_) < lostAnswerShare_;
  }
  void readBack(std::uint32_t control, int tries);
  [[nodiscard]] std::size_t knownControl(std::uint32_t number) const {
    return knownControls_[number % knownControls_.size()];
  }

  // --- continuous checks
  void probeReads();
  void checkAppliedVersions();
  void checkAppliedVersions(std::size_t machine, const MinVersions& minimum);
  void checkStarvation(std::size_t machine);
  void recordAppliedItems(std::size_t machine, const json& message);
  void checkResponse(std::size_t machine, const Order& order, Span askedAt, Status status);

  // --- faults
  void injectFault(const Fault& fault);
  void injectSidecarFault(const Fault& fault, std::size_t sidecar);
  void injectServerFault(const Fault& fault, Server& server);
  void injectControlFault(const Fault& fault, std::size_t control);
  void injectOperatorFault(const Fault& fault);
  using Paths = std::vector<std::pair<std::size_t, std::size_t>>;
  void cut(const Paths& paths, Span duration);
  void heal(const Paths& paths);
  [[nodiscard]] Paths pathsFromControl(FaultKind kind, std::size_t control) const;
  [[nodiscard]] Paths pathsBetweenHalves() const;
  void updatePartitions();
  void replaceControl(std::uint32_t slot, Span gap);
  void replaceControlPlanned(std::uint32_t slot);
  std::size_t addSuccessor(std::uint32_t slot);
  void startSuccessor(std::uint32_t slot, std::size_t successor);
  void restartAllControls(bool powerLoss, Span duration);
  void resetSessions(std::size_t machine, double share);
  void stepClocks(const Fault& fault, std::size_t control);
  void drainSidecar(std::size_t sidecar, std::function<void()> then);
  void finishDrain(std::size_t sidecar, std::uint64_t incarnation, Span since,
                   const std::function<void()>& then);
  void rollSidecars(std::size_t sidecar, std::uint32_t remaining);
  /// Injects the closing fault when a last change is acknowledged.
  void scheduleClosingFault();
  void injectClosingFault();
  void fillDisk(Disk& disk, Span duration);
  /// Marks the control plane as unstable now and again when the fault ends.
  void disturbControls(Span duration);
  void disturbSidecar(std::size_t sidecar, Span duration);
  /// A connected majority of the control nodes is working and has been without faults for kStablePeriod.
  [[nodiscard]] bool controlsStable() const {
    return now_ >= controlsStableFrom_ + kStablePeriod && hasConnectedMajority();
  }
  [[nodiscard]] bool sidecarStable(std::size_t sidecar) const {
    const Machine& m = machines_[sidecar];
    return m.incarnation != 0 && !m.poweredOff && m.frozenUntil <= now_ &&
           m.disturbedUntil + kStablePeriod <= now_;
  }
  [[nodiscard]] bool hasConnectedMajority() const;
  [[nodiscard]] bool isWorking(std::size_t control) const;

  Day day_;
  std::uint64_t seed_;
  RandomEngine network_, arrivals_, clients_, operators_;
  Judge judge_;
  OrderLedger ledger_;
  Span now_{};
  std::uint64_t eventNo_ = 0;
  std::priority_queue<Event, std::vector<Event>, std::greater<>> events_;
  std::deque<Machine> machines_;  // control nodes, sidecars, then successors of control nodes
  std::vector<SidecarHost> sidecarHosts_;
  std::deque<ControlHost> controlHosts_;
  std::vector<std::size_t> controlSlots_;   // machine by control node number
  std::vector<std::size_t> knownControls_;  // the control nodes known to operators and new processes
  std::map<std::string, std::size_t> byAddress_;
  std::multiset<std::pair<std::size_t, std::size_t>> cuts_;  // (from, to), once per cut
  std::vector<LinkPtr> links_;
  std::map<std::size_t, std::map<std::string, LinkPtr>> sidecarSessions_;    // by sidecar, then address
  std::map<std::size_t, std::map<std::uint64_t, LinkPtr>> controlSessions_;  // by control node, then number
  std::uint64_t sessionNo_ = 0;
  std::uint64_t attemptNo_ = 0;
  std::uint64_t sealNo_ = 0;
  std::uint64_t keyNo_ = 0;
  std::map<std::uint64_t, std::string> attemptKeys_;                           // by attempt
  std::map<std::uint64_t, std::pair<std::size_t, LoadRequest>> openAttempts_;  // attempts without a response
  Span controlsStableFrom_{};
  Span end_{};
  std::map<std::string, std::uint64_t> injectedFaults_;  // by kind
  Span answersLostUntil_{};
  double lostAnswerShare_ = 0;
  std::function<void()> onNextAcknowledgement_;
  std::map<std::uint32_t, std::uint64_t> stormRace_;                             // route versions to reuse
  std::map<std::string, std::pair<std::uint64_t, std::uint64_t>> messageStats_;  // messages and bytes by type
  std::uint64_t syncs_ = 0;
  std::size_t lateReports_ = 0;  // reported sidecars that had not applied a version in time
  bool readBackDone_ = false;
};

}  // namespace rackroute::lab::mesh::emulated
