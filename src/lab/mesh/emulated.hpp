#pragma once

// The parts of an emulated mesh: machines, disks, links, servers and the queue of events that moves them. It
// owns all of them. Its members stand in a file for each concern: the session between processes, the
// processes, their disks, requests, operators, what is watched all day, troubles of sidecars and servers, and
// troubles of control machines.

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

inline constexpr Span kContact = 3s;       // without trouble before rules with a time bound hold
inline constexpr Span kOpenPause = 300ms;  // between tries to open a store on a disk that refuses
inline constexpr Span kDead = 300ms;       // until a killed process starts again
inline constexpr Span kUnread = 1500ms;    // after which a way that is cut or dark breaks
inline constexpr Span kDialHung = 900ms;   // after which a dial into the dark fails
inline constexpr Span kSpare = 250ms;      // beyond a deadline, as the program waits
inline constexpr Span kSettle = 20s;       // after the last request, until the configuration is read back
inline constexpr Span kCallHeard = 1s;     // an operator waits for an answer
inline constexpr Span kLead = 4s;          // before the first request
inline constexpr Span kListLag = 3s;       // until a replaced control machine's address is known to all
inline constexpr Span kPlannedStop = 1s;   // from a planned successor's start to the old process's end
inline constexpr Span kLease = 1500ms;     // for which contact with a majority may be believed without proof
inline constexpr Span kProbe = 700ms;      // between reads of an operator
inline constexpr Span kSweep = 500ms;      // between looks at what every sidecar has in force
inline constexpr Span kStarved = 10s;  // for which a fit server may get no request while its service has many
inline constexpr int kTries = 60;      // of an operator, for one order
inline constexpr Span kWallBase = std::chrono::hours(24 * 365 * 50);  // the time of day at the world's start

class World {
 public:
  World(const Day& day, std::uint64_t seed)
      : day_(day),
        seed_(seed),
        network_(makeRandomEngine(seed, Purpose::network)),
        arrivals_(makeRandomEngine(seed, Purpose::arrivals)),
        clients_(makeRandomEngine(seed, Purpose::clients)),
        operators_(makeRandomEngine(seed, Purpose::policy)),
        judge_({kDrain, kApply, span(day.keyWindow), 10s, kRetryRatio, kRetrySlack}),
        ledger_(judge_) {}

  Played run();

 private:
  // --- time
  struct Event {
    Span at;
    std::uint64_t no;
    std::function<void()> task;
    bool operator>(const Event& other) const { return std::pair(at, no) > std::pair(other.at, other.no); }
  };
  void at(Span when, std::function<void()> task) {
    events_.push({std::max(when, now_), ++eventNo_, std::move(task)});
  }
  void in(Span wait, std::function<void()> task) { at(now_ + wait, std::move(task)); }

  // --- machines
  struct Machine {
    bool core = false;
    std::uint32_t number = 0;  // of its kind
    std::uint32_t zone = 0;
    std::string name;
    std::uint64_t life = 0;  // 0: no process
    std::uint64_t lives = 0;
    Span started{};     // this life
    bool dark = false;  // without power: silent, not refusing
    bool gone = false;  // for good
    Span frozenUntil{};
    bool leaving = false;
    Span lastAsked{};       // by a client
    Span disturbedUntil{};  // a sidecar: out of touch until then
    Span wallStep{};        // by which its time of day is wrong
    std::string firstSeed;  // a sidecar: to dial first; empty: as listed
  };
  struct Disk {
    std::unique_ptr<EmulatedFiles> files = std::make_unique<EmulatedFiles>("/data");
    std::unique_ptr<Database> database;  // of the process that runs
    std::deque<std::pair<std::uint64_t, Entries>> waiting;
    std::size_t syncing = 0;
    double slow = 1;
    Span stalledUntil{};
    bool full = false;
    bool used = false;
  };
  struct Server {
    std::string id;
    int service = 0;
    bool up = true;
    bool draining = false;
    bool signsOffFirst = false;  // once it leaves: without draining first
    Span leavesSince{-1};        // its first word of it
    Span drainAcked{-1};         // of its drain or sign-off
    std::uint64_t seq = 0;
    std::uint32_t busy = 0;
    double slow = 1;
    double loses = 0;
    double spoils = 0;
    Span coldUntil{};
    std::uint64_t lives = 0;
    std::deque<std::function<void()>> queue;
  };
  struct Side {
    std::unique_ptr<Sidecar> sidecar;
    Server server;
    Span wakes = Span::max();
    std::uint64_t nextCall = 0;
    std::uint64_t nextAsk = 0;
    std::uint64_t nextServerCall = 0;
    /// Without an answer yet: of which life of the server, and whether it says that it leaves.
    std::map<ServerCallNo, std::pair<std::uint64_t, bool>> serverCalls;
    std::map<std::uint64_t, std::uint64_t> attemptOf;  // by call
    struct Inside {
      std::uint64_t attempt;
      std::function<void(ForwardReply, std::uint32_t, std::uint64_t, std::shared_ptr<const void>)> reply;
    };
    std::map<std::uint64_t, Inside> asks;
    std::map<std::uint64_t, std::function<void()>> forwards;  // by try: cancels it
    std::map<std::uint64_t, std::function<void()>> runs;      // by ask: the server here is told to stop
    Span fitSince{};  // its server could be given work all the time since
    Span lastRun{};   // a request was at work there
  };
  struct Core {
    std::unique_ptr<ControlNode> control;
    Disk disk;
    std::map<std::uint64_t, std::function<void(std::uint32_t, std::string)>> calls;
    std::uint64_t nextCall = 0;
    Span cutOffFrom = Span::max();  // from a majority, by cuts alone
  };
  // A session between two lives of two processes; each way in order.
  struct Link {
    std::size_t a, b;  // machines; a dialled
    std::uint64_t lifeA, lifeB;
    bool open = true;
    Span last[2]{};  // delivery, each way
    std::vector<std::string> held[2];
    std::uint64_t noA = 0, noB = 0;  // session numbers at controls
  };
  using LinkPtr = std::shared_ptr<Link>;

  /// The machine that stands now for the control of that number.
  [[nodiscard]] std::size_t coreAt(std::uint32_t number) const { return slots_[number % slots_.size()]; }
  [[nodiscard]] std::size_t sideAt(std::uint32_t number) const { return day_.controls + number; }
  [[nodiscard]] Side& side(std::size_t machine) { return sides_[machines_[machine].number]; }
  [[nodiscard]] Core& core(std::size_t machine) { return cores_[machines_[machine].number]; }
  [[nodiscard]] std::size_t majority() const { return day_.controls / 2 + 1; }
  [[nodiscard]] Span wall(std::size_t machine) const {
    return kWallBase + now_ + machines_[machine].wallStep;
  }
  [[nodiscard]] std::string address(std::size_t machine) const { return machines_[machine].name + ":1"; }
  [[nodiscard]] std::optional<std::size_t> machineAt(const std::string& address) const {
    const auto found = byAddress_.find(address);
    return found == byAddress_.end() ? std::nullopt : std::optional(found->second);
  }
  [[nodiscard]] Span delay(std::size_t a, std::size_t b) {
    const double base = machines_[a].zone == machines_[b].zone ? day_.across / 4 : day_.across;
    return span(base * (1 + 0.5 * uniform01(network_)) + 0.00002);
  }
  [[nodiscard]] bool isCut(std::size_t from, std::size_t to) const { return cuts_.count({from, to}) > 0; }

  /// Runs it at the process if that life still stands, once it is awake.
  void atProcess(Span when, std::size_t machine, std::uint64_t life, std::function<void()> task) {
    at(when, [this, machine, life, task = std::move(task)] {
      const Machine& m = machines_[machine];
      if (m.life != life || m.dark) return;
      if (m.frozenUntil > now_) return atProcess(m.frozenUntil, machine, life, task);
      task();
    });
  }

  // --- sessions
  void dial(std::size_t from, const Address& to);
  void send(const LinkPtr& link, bool fromA, std::string text);
  void deliver(const LinkPtr& link, bool fromA, Span when, std::string text);
  void close(const LinkPtr& link, std::optional<std::size_t> by);
  void sessionEnded(std::size_t machine, const LinkPtr& link);
  void heard(std::size_t machine, const LinkPtr& link, const std::string& text);

  // --- processes
  std::size_t addMachine(bool core, std::uint32_t number, std::uint32_t zone);
  void startControl(std::size_t machine);
  void startSidecar(std::size_t machine);
  /// Starts its process after that time, if none runs there then.
  void restart(std::size_t machine, Span wait);
  void kill(std::size_t machine, bool dark);
  [[nodiscard]] std::vector<Address> seedsNow(const std::string& first) const;
  void act(std::size_t machine, const ControlActions& acts);
  void act(std::size_t machine, const SidecarActions& acts);
  void tickControl(std::size_t machine, std::uint64_t life);
  void wake(std::size_t machine);

  // --- disks
  void sync(std::size_t machine);
  void synced(std::size_t machine);
  void synced(std::size_t machine, bool done);
  static bool writeInFlight(Disk& disk);
  /// Opens the machine's store, and begins its process with what it holds. False: the disk refuses.
  bool openDisk(std::size_t machine, const ControlNode::Options& built);
  /// The machine's process ends, or its power does.
  void endDisk(std::size_t machine, bool power);
  void wipeDisk(std::size_t machine);

  // --- requests
  void arrive();
  void ask(std::size_t machine, const Wanted& wanted);
  void answered(std::size_t machine, const Wanted& wanted, std::uint64_t attempt, std::uint32_t status,
                std::uint64_t seal, Span comeBack);
  void forward(std::size_t machine, const RoutingAction& act);
  void serve(std::size_t machine, const AdmissionAction& act);
  /// The client of a request that this machine's process has just taken leaves early, as the day has it.
  void mayLeave(std::size_t machine, std::uint64_t call, Span deadline);
  void leave(std::size_t machine, std::uint64_t call);
  void cancelForward(std::size_t machine, const RoutingAction& act);
  void cancelRun(std::size_t machine, const AdmissionAction& act);
  void freeSlot(std::size_t machine, std::uint64_t serverLife);
  // --- servers
  void beat(std::size_t machine, std::uint64_t serverLife);
  void call(std::size_t machine, std::uint64_t serverLife, const ServerHeartbeat& told);
  void callLate(std::size_t machine, std::uint64_t serverLife, const ServerHeartbeat& told);
  void answered(std::size_t machine, const ServerCallResponse& answer);
  void beginsToLeave(std::size_t machine, std::uint64_t serverLife);
  void ends(std::size_t machine, std::uint64_t serverLife);
  void newServer(std::size_t machine);

  // --- operators
  using Status = std::uint32_t;
  struct Call {  // an order under way, or a read
    OrderNo order = 0;
    int tries = kTries;
    std::function<void(Status)> done;
  };
  void firstOrder();
  /// At the control of that number first, then at those listed after it, until an answer below 500.
  void patch(std::uint32_t control, const Call& call);
  void patchAt(std::size_t machine, std::uint32_t control, const Call& call);
  void order(
      std::uint32_t control, OrderNo no, std::function<void(Status)> done = [](Status) {});
  void change(std::uint32_t who, bool race, bool valid);
  void changeMany(std::uint32_t who, bool race);
  void oldChange(std::uint32_t who);
  void newService(std::uint32_t who);
  void storm(const Trouble& trouble);
  void stormOrder(Span pace, const std::shared_ptr<std::uint32_t>& left);
  [[nodiscard]] std::map<std::uint32_t, std::uint64_t> someRoutes(std::uint32_t least, std::uint32_t most);
  [[nodiscard]] bool answerLost() { return now_ < answersLostUntil_ && uniform01(operators_) < answersLost_; }
  void readBack(std::uint32_t control, int tries);
  [[nodiscard]] std::size_t listed(std::uint32_t number) const { return listed_[number % listed_.size()]; }

  // --- what is watched all day
  void probe();
  void sweep();
  void sweep(std::size_t machine, const Floor& floor);
  void sweepWork(std::size_t machine);
  void took(std::size_t machine, const json& word);
  void judgeAnswer(std::size_t machine, const Order& order, Span asked, Status status);

  // --- troubles
  void strike(const Trouble& trouble);
  void strikeSidecar(const Trouble& trouble, std::size_t sidecar);
  void strikeServer(const Trouble& trouble, Server& server);
  void strikeControl(const Trouble& trouble, std::size_t control);
  void strikeOrders(const Trouble& trouble);
  using Ways = std::vector<std::pair<std::size_t, std::size_t>>;
  void cut(const Ways& ways, Span lasts);
  void heal(const Ways& ways);
  [[nodiscard]] Ways waysFromCore(TroubleKind kind, std::size_t control) const;
  [[nodiscard]] Ways waysBetweenHalves() const;
  void noteCuts();
  void replace(std::uint32_t slot, Span gap);
  void replacePlanned(std::uint32_t slot);
  std::size_t addSuccessor(std::uint32_t slot);
  void startSuccessor(std::uint32_t slot, std::size_t successor);
  void strikeCore(bool dark, Span lasts);
  void resetSessions(std::size_t machine, double share);
  void stepClocks(const Trouble& trouble, std::size_t control);
  void stop(std::size_t sidecar, std::function<void()> then);
  void stopped(std::size_t sidecar, std::uint64_t life, Span since, const std::function<void()>& then);
  void roll(std::size_t sidecar, std::uint32_t left);
  /// The closing fault, in the moment in which a last change is acknowledged.
  void closeDay();
  void strikeClosing();
  void fillDisk(Disk& disk, Span lasts);
  /// The core is shaken from now on, and once more when that is over.
  void disturbCore(Span lasts);
  void disturbSidecar(std::size_t sidecar, Span lasts);
  /// A majority of the control processes is at work, in touch with each other, and has been for a while.
  [[nodiscard]] bool calm() const { return now_ >= calmFrom_ + kContact && coreWorks(); }
  [[nodiscard]] bool inTouch(std::size_t sidecar) const {
    const Machine& m = machines_[sidecar];
    return m.life != 0 && !m.dark && m.frozenUntil <= now_ && m.disturbedUntil + kContact <= now_;
  }
  [[nodiscard]] bool coreWorks() const;
  [[nodiscard]] bool works(std::size_t control) const;

  Day day_;
  std::uint64_t seed_;
  RandomEngine network_, arrivals_, clients_, operators_;
  Judge judge_;
  OrderLedger ledger_;
  Span now_{};
  std::uint64_t eventNo_ = 0;
  std::priority_queue<Event, std::vector<Event>, std::greater<>> events_;
  std::deque<Machine> machines_;  // control machines, sidecars' machines, successors of control machines
  std::vector<Side> sides_;
  std::deque<Core> cores_;
  std::vector<std::size_t> slots_;   // by control's number
  std::vector<std::size_t> listed_;  // the control machines that operators and new processes know of
  std::map<std::string, std::size_t> byAddress_;
  std::multiset<std::pair<std::size_t, std::size_t>> cuts_;  // one for each trouble that cuts the way
  std::vector<LinkPtr> links_;
  std::map<std::size_t, std::map<std::string, LinkPtr>> dialled_;     // by sidecar, then address
  std::map<std::size_t, std::map<std::uint64_t, LinkPtr>> sessions_;  // by control, then number
  std::uint64_t sessionNo_ = 0;
  std::uint64_t attemptNo_ = 0;
  std::uint64_t sealNo_ = 0;
  std::uint64_t keyNo_ = 0;
  std::map<std::uint64_t, std::string> keyOf_;                    // by attempt
  std::map<std::uint64_t, std::pair<std::size_t, Wanted>> open_;  // attempts without an answer
  Span calmFrom_{};
  Span end_{};
  std::map<std::string, std::uint64_t> struck_;  // by kind
  Span answersLostUntil_{};
  double answersLost_ = 0;
  std::function<void()> atAnswer_;  // what happens in the moment of the next acknowledgement
  std::map<std::uint32_t, std::uint64_t> stormRace_;  // routes and versions that a second operator may take
  std::map<std::string, std::pair<std::uint64_t, std::uint64_t>> talk_;  // words and bytes by kind
  std::uint64_t syncs_ = 0;
  std::size_t lateTold_ = 0;  // of what was not in force in time
  bool readBackDone_ = false;
};

}  // namespace rackroute::lab::mesh::emulated
