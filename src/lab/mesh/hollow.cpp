#include "lab/mesh/hollow.hpp"

#include <signal.h>
#include <sys/resource.h>
#include <unistd.h>

#include <algorithm>
#include <array>
#include <atomic>
#include <chrono>
#include <cmath>
#include <deque>
#include <filesystem>
#include <fstream>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <sstream>
#include <thread>
#include <utility>
#include <vector>

#include "lab/children.hpp"
#include "lab/draws.hpp"
#include "lab/mesh/workload.hpp"
#include "lab/scenario.hpp"
#include "mesh/sidecar/sidecar.hpp"
#include "mesh/transport/compression.hpp"
#include "mesh/transport/event_loop.hpp"
#include "mesh/transport/http_client.hpp"
#include "mesh/transport/listener.hpp"
#include "mesh/transport/log.hpp"
#include "mesh/transport/session_connection.hpp"
#include "sidecar/log.hpp"

namespace rackroute::lab::mesh {
namespace {

using namespace std::chrono_literals;
using namespace rackroute::mesh;
using nlohmann::json;
using SteadyClock = std::chrono::steady_clock;
namespace fs = std::filesystem;

constexpr std::uint32_t kMostSidecars = 3'700;
constexpr std::uint32_t kFewestControls = 3;
constexpr std::uint32_t kMostControls = 5;
constexpr std::uint32_t kMostThreads = 8;
constexpr std::uint32_t kSidecarsAThread = 250;  // whose heartbeats one thread carries with room to spare
constexpr std::uint32_t kFullSidecars = 3'700;   // the size that the number of services is scaled from
constexpr std::uint32_t kFullServices = 220;
constexpr double kMostSeconds = 600;           // of a measurement
constexpr std::uint32_t kMostChanges = 4'096;  // of one run
constexpr std::size_t kMostClaims = 200'000;   // whose times one thread keeps
// While all start, each sidecar hears of each other's server once. One thread must take that news for
// hundreds of them and still answer heartbeats in time, or sessions end as silent and all is told again.
constexpr double kNewsSeconds =
    100e-6;  // of one thread for one sidecar to take news of one server, with room to spare
constexpr double kLeastStartOver = 1;   // seconds
constexpr double kMostStartOver = 300;  // seconds
constexpr Span kStartLimit = 60s;       // until all sidecars are connected and confirmed
constexpr Span kRecoverLimit = 60s;     // the same, after all control processes were killed
constexpr Span kFirstItems = 500ms;     // from the start of the control processes to the first change
constexpr Span kSettle = 3s;            // from confirmation to the measurement
constexpr Span kDead = 300ms;           // until a killed control process is started again
constexpr Span kWatch = 10ms;           // between looks at who is connected: the resolution of these times
constexpr Span kLook = 500ms;           // between looks at memory and at processes that ended
constexpr Span kOperatorCall = 1s;      // an operator waits for an answer
constexpr Span kOperatorPause = 50ms;   // between an operator's tries
constexpr Span kDialControl = 400ms;    // for a session, as the sidecar's program has it
constexpr Span kClaimPatience = 2s;     // until a claim's client gives up
constexpr Span kLastTurn = 100ms;       // for sessions to close at the end
constexpr std::uint32_t kCapacity = 8;  // requests at once at a server
constexpr std::uint64_t kSidecarMemoryMb = 32;  // as the sidecars' settings would tell
constexpr int kFirstPort = 7380;
constexpr int kLastPort = 7395;
constexpr int kControlPort = 8144;
constexpr int kServerPort = 8145;
constexpr int kInboundPort = 8146;
constexpr const char* kWatchedRoute = "watched";

std::int64_t steadyMicroseconds() {
  return std::chrono::duration_cast<std::chrono::microseconds>(SteadyClock::now().time_since_epoch()).count();
}

double milliseconds(std::int64_t microseconds) { return static_cast<double>(microseconds) / 1000; }

/// Of 1, as a pause of a Poisson process; rate in events a second, above 0.
Span nextArrival(Chance& chance, double rate) {
  const double seconds = -std::log(1 - fraction(chance)) / rate;
  return std::chrono::duration_cast<Span>(std::chrono::duration<double>(seconds));
}

json distribution(std::vector<double> values) {
  if (values.empty()) return nullptr;
  std::sort(values.begin(), values.end());
  const auto at = [&](double share) {
    return values[static_cast<std::size_t>(share * static_cast<double>(values.size() - 1))];
  };
  return {{"count", values.size()},
          {"p50", at(0.5)},
          {"p90", at(0.9)},
          {"p99", at(0.99)},
          {"max", values.back()}};
}

// --- what all threads write and the main thread reads

/// Traffic between the sidecars and one control process, counted at the sidecars.
struct SessionTraffic {
  std::atomic<std::uint64_t> messagesToControl{0};
  std::atomic<std::uint64_t> messagesFromControl{0};
  std::atomic<std::uint64_t> bytesToControl{0};
  std::atomic<std::uint64_t> bytesFromControl{0};
  std::atomic<std::uint64_t> sessions{0};
};

struct TrafficCopy {
  std::uint64_t messagesToControl = 0;
  std::uint64_t messagesFromControl = 0;
  std::uint64_t bytesToControl = 0;
  std::uint64_t bytesFromControl = 0;
};

/// How many sidecars hold each version of the watched route, and since when the last of them.
class ChangeBoard {
 public:
  void held(std::uint64_t version) {
    if (version >= kMostChanges) return;
    Entry& entry = entries_[version];
    const std::int64_t now = steadyMicroseconds();
    std::int64_t last = entry.last.load();
    while (last < now && !entry.last.compare_exchange_weak(last, now)) {
    }
    entry.holders.fetch_add(1);
  }
  [[nodiscard]] std::uint32_t holders(std::uint64_t version) const {
    return entries_[version].holders.load();
  }
  [[nodiscard]] std::int64_t last(std::uint64_t version) const { return entries_[version].last.load(); }

 private:
  struct Entry {
    std::atomic<std::uint32_t> holders{0};
    std::atomic<std::int64_t> last{0};  // microseconds of the steady clock
  };
  std::array<Entry, kMostChanges> entries_;
};

struct Board {
  std::array<SessionTraffic, kMostControls> traffic;
  ChangeBoard changes;
  std::atomic<std::uint32_t> whole{0};  // sidecars that are connected to every control process and ready
  std::atomic<std::uint32_t> unconnected{0};  // sidecars without any session
  std::atomic<bool> measuring{false};         // claims and news are drawn
};

/// A session that counts its bytes.
class CountedSession : public SessionConnection {
 public:
  CountedSession(sidecar::Loop& loop, Compressor& compressor, std::string peer, SessionTraffic& traffic)
      : SessionConnection(loop, compressor, Poco::Net::StreamSocket(), std::move(peer)), traffic_(traffic) {}

  /// Takes what was written since the last call into account.
  void countWritten() {
    const std::uint64_t written = moved() - read_;
    traffic_.bytesToControl += written - countedWritten_;
    countedWritten_ = written;
  }

 protected:
  void received() override {
    const std::uint64_t fresh = in_.size() - std::min(in_.size(), unused_);
    read_ += fresh;
    traffic_.bytesFromControl += fresh;
    SessionConnection::received();
    unused_ = in_.size();
    if (!ended()) countWritten();
  }

 private:
  SessionTraffic& traffic_;
  std::size_t unused_ = 0;  // bytes of in_ that were counted already
  std::uint64_t read_ = 0;
  std::uint64_t countedWritten_ = 0;
};

// --- one sidecar

struct HollowIdentity {
  std::uint32_t number = 0;
  std::string ip;
  std::string zone;
  std::string service;
  std::vector<Address> controls;  // of their sessions
};

/// A sidecar as its program runs it, without the sockets of clients and servers.
class HollowSidecar {
 public:
  HollowSidecar(sidecar::Loop& loop, Compressor& compressor, Board& board, HollowIdentity identity)
      : loop_(loop),
        compressor_(compressor),
        board_(board),
        identity_(std::move(identity)),
        instance_{"i-h" + std::to_string(identity_.number)},
        sidecar_(built()) {
    for (std::size_t i = 0; i < identity_.controls.size(); ++i) numbers_[identity_.controls[i]] = i;
    board_.unconnected.fetch_add(1);
  }
  HollowSidecar(const HollowSidecar&) = delete;
  HollowSidecar& operator=(const HollowSidecar&) = delete;

  void start() {
    tick();
    beat();
  }

  void end() {
    ending_ = true;
    loop_.cancel(wake_);
    const auto sessions = std::move(sessions_);
    sessions_.clear();
    for (const auto& [at, session] : sessions) session->end(sidecar::Reason::shutdown);
  }

  /// The server here changes what others act on.
  void changeServer() {
    capacity_ = capacity_ == kCapacity ? kCapacity + 1 : kCapacity;
    tellServer();
  }

  void claim(const std::string& key) {
    ForwardRequest request;
    request.instance = instance_;
    request.service = {identity_.service};
    request.left = kClaimPatience;
    request.aim = kClaimPatience;
    request.kind = RouteKind::keyed;
    request.route = kWatchedRoute;
    const AskNo no{++lastRequest_};
    claimedAt_[no] = loop_.now();
    act(sidecar_.forwardRequested(loop_.now(), no, request, key));
  }

  std::vector<double> claimMilliseconds;  // of those won
  std::uint64_t claimsRefused = 0;

 private:
  [[nodiscard]] Sidecar::Built built() const {
    const NodeName node{"h" + std::to_string(identity_.number)};
    const Address inbound{identity_.ip + ':' + std::to_string(kInboundPort)};
    const auto wall = std::chrono::system_clock::now().time_since_epoch();
    const LifeNo life{static_cast<std::uint64_t>(std::chrono::duration_cast<Span>(wall).count())};
    Sidecar::Built built;
    built.caller.node = node;
    built.caller.zone = identity_.zone;
    built.caller.service = {identity_.service};
    built.caller.allowance = {kRetryRatio, kRetrySlack, kRetryWindow};
    built.caller.seed = identity_.number;
    built.door.node = node;
    built.door.at = inbound;
    built.door.zone = identity_.zone;
    built.door.life = life;
    built.door.service = {identity_.service};
    built.door.server = {identity_.ip + ':' + std::to_string(kServerPort)};
    built.door.drain = kDrain;
    built.door.keyWindow = 60s;
    built.door.mostKept = (kSidecarMemoryMb << 20) / 8;
    built.feed.node = node;
    built.feed.at = inbound;
    built.feed.zone = identity_.zone;
    built.feed.life = life;
    built.feed.seeds = identity_.controls;
    return built;
  }

  void beat() {
    if (ending_) return;
    loop_.in(kBeat, [this] { beat(); });
    tellServer();
  }

  void tellServer() {
    Beat told;
    told.id = instance_;
    told.service = {identity_.service};
    told.address = {identity_.ip + ':' + std::to_string(kServerPort)};
    told.zone = identity_.zone;
    told.capacity = capacity_;
    told.seq = ++beatSequence_;
    act(sidecar_.beat(loop_.now(), told));
  }

  void tick() { act(sidecar_.tick(loop_.now())); }

  void act(SidecarActions actions) {
    if (ending_) return;
    for (const AdmissionAction& action : actions.door) act(action);
    for (const ControlClientAction& action : actions.feed) act(action);
    watch();
    wakeInTime();
  }

  void act(const AdmissionAction& action) {
    const auto found = claimedAt_.find(action.ask);
    if (found == claimedAt_.end()) return;
    if (action.kind == AdmissionAction::Kind::run) {
      if (claimMilliseconds.size() < kMostClaims)
        claimMilliseconds.push_back(milliseconds((loop_.now() - found->second).count()));
      claimedAt_.erase(found);
      loop_.soon([this, ask = action.ask] { answered(ask); });
    } else if (action.kind == AdmissionAction::Kind::answer) {
      ++claimsRefused;
      claimedAt_.erase(found);
    }
  }

  void answered(AskNo ask) {
    ServerAnswer answer;
    answer.status = 200;
    answer.size = 500;
    act(sidecar_.ran(loop_.now(), ask, AtServer::answered, answer));
  }

  void act(const ControlClientAction& action) {
    const auto found = sessions_.find(action.at);
    switch (action.kind) {
      case ControlClientAction::Kind::say:
        if (found == sessions_.end()) break;
        ++board_.traffic[numbers_.at(action.at)].messagesToControl;
        found->second->say(action.text);
        found->second->countWritten();
        break;
      case ControlClientAction::Kind::hangUp:
        if (found != sessions_.end()) {
          const auto session = found->second;
          sessions_.erase(found);
          session->end(sidecar::Reason::silent);
        }
        break;
      case ControlClientAction::Kind::dial:
        if (found == sessions_.end()) dial(action.at);
        break;
      default:
        break;
    }
  }

  void dial(const Address& at) {
    const auto number = numbers_.find(at);
    if (number == numbers_.end()) return;
    SessionTraffic& traffic = board_.traffic[number->second];
    const auto session = std::make_shared<CountedSession>(loop_, compressor_, at.value, traffic);
    sessions_[at] = session;
    session->connect(at, kDialControl,
                     {[this, at, &traffic] {
                        ++traffic.sessions;
                        act(sidecar_.reached(loop_.now(), at));
                      },
                      [this, at, &traffic](const auto& message) {
                        ++traffic.messagesFromControl;
                        act(sidecar_.heard(loop_.now(), at, message));
                      },
                      [this, at] { sidecar_.alive(loop_.now(), at); },
                      [this, at, session = session.get()] {
                        const auto held = sessions_.find(at);
                        if (held == sessions_.end() || held->second.get() != session) return;
                        sessions_.erase(held);
                        act(sidecar_.ended(loop_.now(), at));
                      }});
  }

  /// Tells the board what changed here.
  void watch() {
    const std::size_t sessions = sidecar_.feed().sessions();
    const bool whole = sessions == identity_.controls.size() && sidecar_.ready(loop_.now());
    if (whole != whole_) board_.whole.fetch_add(whole ? 1U : -1U);
    whole_ = whole;
    const bool connected = sessions > 0;
    if (connected != connected_) board_.unconnected.fetch_add(connected ? -1U : 1U);
    connected_ = connected;
    const std::uint64_t digest = sidecar_.feed().items().digest();
    if (digest == digest_) return;
    digest_ = digest;
    const Item* item = sidecar_.feed().items().find({ItemKind::route, kWatchedRoute});
    if (item == nullptr) return;
    for (; held_ < item->generation.value; ++held_) board_.changes.held(held_ + 1);
  }

  void wakeInTime() {
    const Span next = sidecar_.nextTick(loop_.now());
    if (wakes_ && next >= wakeAt_) return;
    loop_.cancel(wake_);
    wakes_ = true;
    wakeAt_ = next;
    wake_ = loop_.at(next, [this] {
      wakes_ = false;
      tick();
    });
  }

  sidecar::Loop& loop_;
  Compressor& compressor_;
  Board& board_;
  HollowIdentity identity_;
  InstanceId instance_;
  Sidecar sidecar_;
  std::map<Address, std::size_t> numbers_;  // of control processes
  std::map<Address, std::shared_ptr<CountedSession>> sessions_;
  std::map<AskNo, Span> claimedAt_;
  sidecar::Loop::TimerId wake_;
  Span wakeAt_{};
  bool wakes_ = false;
  bool ending_ = false;
  bool whole_ = false;
  bool connected_ = false;
  std::uint64_t digest_ = 0;
  std::uint64_t held_ = 0;  // version of the watched route
  std::uint64_t lastRequest_ = 0;
  std::uint64_t beatSequence_ = 0;
  std::uint32_t capacity_ = kCapacity;
};

// --- one thread of sidecars

class HollowThread {
 public:
  HollowThread(Board& board, std::uint32_t number, std::uint64_t seed, std::vector<HollowIdentity> identities)
      : board_(board), number_(number), chance_(chanceOf(seed, Purpose::clients, number)) {
    for (HollowIdentity& identity : identities)
      sidecars_.push_back(std::make_unique<HollowSidecar>(loop_, compressor_, board_, std::move(identity)));
  }
  HollowThread(const HollowThread&) = delete;
  HollowThread& operator=(const HollowThread&) = delete;
  ~HollowThread() { join(); }

  /// The sidecars start one after the other; rates of this thread's share, in events a second.
  void start(Span over, double news, double claims) {
    for (std::size_t i = 0; i < sidecars_.size(); ++i) {
      const Span at = over * static_cast<Span::rep>(i) / static_cast<Span::rep>(sidecars_.size());
      loop_.in(at, [sidecar = sidecars_[i].get()] { sidecar->start(); });
    }
    if (news > 0) drawNews(news);
    if (claims > 0) drawClaims(claims);
    thread_ = std::thread([this] { loop_.run(); });
  }

  void join() {
    if (!thread_.joinable()) return;
    loop_.post([this] {
      for (const auto& sidecar : sidecars_) sidecar->end();
      loop_.in(kLastTurn, [this] { loop_.stop(); });
    });
    thread_.join();
  }

  /// After join() only.
  void collectClaims(std::vector<double>& won, std::uint64_t& refused) const {
    for (const auto& sidecar : sidecars_) {
      won.insert(won.end(), sidecar->claimMilliseconds.begin(), sidecar->claimMilliseconds.end());
      refused += sidecar->claimsRefused;
    }
  }
  /// After join() only: how late this thread's latest timer was.
  [[nodiscard]] double latestTimerMilliseconds() const {
    return milliseconds(static_cast<std::int64_t>(loop_.counters.latestTimer));
  }

 private:
  HollowSidecar& any() {
    const auto place = static_cast<std::size_t>(fraction(chance_) * static_cast<double>(sidecars_.size()));
    return *sidecars_[place];
  }

  void drawNews(double rate) {
    loop_.in(nextArrival(chance_, rate), [this, rate] {
      if (board_.measuring) any().changeServer();
      drawNews(rate);
    });
  }

  void drawClaims(double rate) {
    loop_.in(nextArrival(chance_, rate), [this, rate] {
      if (board_.measuring) any().claim("k" + std::to_string(number_) + '-' + std::to_string(++keys_));
      drawClaims(rate);
    });
  }

  Board& board_;
  std::uint32_t number_;
  Chance chance_;
  EventLoop loop_;
  Compressor compressor_;
  std::vector<std::unique_ptr<HollowSidecar>> sidecars_;
  std::uint64_t keys_ = 0;
  std::thread thread_;
};

// --- what the kernel tells of a process

struct ProcessUse {
  double cpuSeconds = 0;
  double rssMb = 0;
  double peakMb = 0;
  std::size_t descriptors = 0;
};

ProcessUse useOf(pid_t id) {
  ProcessUse use;
  const std::string folder = "/proc/" + std::to_string(id);
  std::ifstream stat(folder + "/stat");
  std::string line;
  std::getline(stat, line);
  const std::size_t name = line.rfind(')');
  if (name == std::string::npos) return use;
  std::istringstream fields(line.substr(name + 1));
  std::string field;
  for (int i = 0; i < 11; ++i) fields >> field;  // state to cmajflt
  double user = 0;
  double system = 0;
  fields >> user >> system;
  use.cpuSeconds = (user + system) / static_cast<double>(::sysconf(_SC_CLK_TCK));
  std::ifstream status(folder + "/status");
  while (std::getline(status, line)) {
    if (line.rfind("VmRSS:", 0) == 0) use.rssMb = std::stod(line.substr(6)) / 1024;
    if (line.rfind("VmHWM:", 0) == 0) use.peakMb = std::stod(line.substr(6)) / 1024;
  }
  std::error_code failed;
  for (auto it = fs::directory_iterator(folder + "/fd", failed); !failed && it != fs::directory_iterator();
       it.increment(failed))
    ++use.descriptors;
  return use;
}

double machineMemoryMb() {
  return static_cast<double>(::sysconf(_SC_PHYS_PAGES)) * static_cast<double>(::sysconf(_SC_PAGESIZE)) / 1e6;
}

/// Returns the limit that is in force then.
std::uint64_t raiseDescriptorLimit() {
  rlimit limit{};
  ::getrlimit(RLIMIT_NOFILE, &limit);
  limit.rlim_cur = limit.rlim_max;
  ::setrlimit(RLIMIT_NOFILE, &limit);
  ::getrlimit(RLIMIT_NOFILE, &limit);
  return limit.rlim_cur;
}

// --- the whole run

class HollowRun {
 public:
  explicit HollowRun(const HollowPlan& plan)
      : plan_(plan),
        network_(20 + static_cast<std::uint32_t>(::getpid()) % 200),
        folder_((fs::temp_directory_path() / ("rackroute-hollow-" + std::to_string(::getpid()))).string()),
        keepsLoopWaiting_(loop_, {"127.0.0.1:0"}, [](Poco::Net::StreamSocket, const std::string&) {}),
        board_(std::make_unique<Board>()),
        operators_(loop_, {300ms, 5s, Span{0}, 16 << 20, 8}),
        children_(plan.controls) {}
  HollowRun(const HollowRun&) = delete;
  HollowRun& operator=(const HollowRun&) = delete;
  ~HollowRun() {
    std::error_code ignored;
    fs::remove_all(folder_, ignored);
  }

  json run();

 private:
  struct Snapshot {
    std::int64_t at = 0;
    std::array<TrafficCopy, kMostControls> traffic;
    std::vector<ProcessUse> controls;
    ProcessUse own;
  };
  struct SentChange {
    std::uint64_t version = 0;
    std::int64_t sentAt = 0;
    std::int64_t answeredAt = 0;  // 0: not acknowledged
  };

  [[nodiscard]] std::string controlIp(std::uint32_t control) const {
    return "127." + std::to_string(network_) + ".1." + std::to_string(control + 1);
  }
  [[nodiscard]] std::string sidecarIp(std::uint32_t sidecar) const {
    return "127." + std::to_string(network_) + '.' + std::to_string(2 + sidecar / 250) + '.' +
           std::to_string(1 + sidecar % 250);
  }
  [[nodiscard]] Address operatorAddress(std::uint32_t control) const {
    return {controlIp(control) + ':' + std::to_string(kControlPort)};
  }
  void tell(const std::string& line) const {
    if (plan_.tell) plan_.tell(line);
  }
  [[nodiscard]] std::string serviceOf(std::uint32_t service) const {
    return "service-" + std::to_string(service);
  }
  [[nodiscard]] json routeItem(const std::string& name, std::uint32_t service, std::uint64_t version) const;
  [[nodiscard]] std::string firstItems() const;
  [[nodiscard]] json settingsOf(std::uint32_t control, bool firstBoot) const;
  [[nodiscard]] std::vector<HollowIdentity> identities(std::uint32_t thread) const;

  void startControl(std::uint32_t control, bool firstBoot);
  void patch(std::uint32_t control, const std::string& body, std::function<void()> acknowledged);
  void change(std::function<void(const SentChange&)> acknowledged);
  void waitUntil(Span limit, const std::string& what, std::function<bool()> reached,
                 std::function<void()> next);
  void look();
  void stop(const std::string& why);

  void begin();
  void connected();
  void measure();
  void changeAgain(std::int64_t until);
  void measured();
  void kill();
  void killed(std::uint64_t version);
  [[nodiscard]] Snapshot snapshot() const;
  [[nodiscard]] json changeFigures() const;

  HollowPlan plan_;
  std::uint32_t network_;
  std::string folder_;
  EventLoop loop_;
  /// Guards against Poco's reactor without any socket: it does not wait for the next timer then but turns at
  /// full speed.
  Listener keepsLoopWaiting_;
  std::unique_ptr<Board> board_;
  HttpClient operators_;
  Children children_;
  std::vector<std::unique_ptr<HollowThread>> threads_;
  std::vector<SentChange> changes_;  // of the measurement
  std::uint64_t lastVersion_ = 0;
  std::uint64_t refusedCalls_ = 0;     // operators' calls that got another answer than 200
  std::uint64_t unansweredCalls_ = 0;  // within kOperatorCall, or whose connection failed
  double memoryBeforeMb_ = 0;
  std::int64_t startedAt_ = 0;
  std::int64_t killedAt_ = 0;
  Snapshot before_;
  std::string ended_ = "broken off";
  json result_;
  bool over_ = false;
};

json HollowRun::routeItem(const std::string& name, std::uint32_t service, std::uint64_t version) const {
  return {{"name", name},
          {"path_prefix", '/' + name + '/'},
          {"route_kind", service % 2 == 0 ? "keyed" : "pure"},
          {"timeout", std::to_string(2000 + version % 2) + "ms"},
          {"target_time", "800ms"},
          {"priority", 1},
          {"target", serviceOf(service)},
          {"max_attempts", 2},
          {"generation", 'r' + std::to_string(version)}};
}

std::string HollowRun::firstItems() const {
  json services = json::array();
  for (std::uint32_t service = 0; service < plan_.services; ++service) {
    services.push_back({{"name", serviceOf(service)},
                        {"health_path", "/health"},
                        {"max_conns", 100},
                        {"idempotent", false},
                        {"generation", "r1"}});
  }
  json routes = json::array({routeItem(kWatchedRoute, 0, 1)});
  for (std::uint32_t route = 0; route < plan_.routes; ++route)
    routes.push_back(routeItem("route-" + std::to_string(route), route % plan_.services, 1));
  const json hosts = json::array({{{"hostname", kHost}, {"path_routes", std::move(routes)}}});
  return json{{"upsert", {{"service_list", std::move(services)}, {"host_map", hosts}}}}.dump();
}

json HollowRun::settingsOf(std::uint32_t control, bool firstBoot) const {
  json zones = json::object();
  json seeds = json::array();
  for (std::uint32_t i = 0; i < plan_.controls; ++i) {
    zones["z" + std::to_string(i)] = "r";
    if (i < 3) seeds.push_back(operatorAddress(i).value);
  }
  return {{"node_name", "v" + std::to_string(control)},
          {"ip", controlIp(control)},
          {"zone", "z" + std::to_string(control)},
          {"zones", zones},
          {"listen_addrs", {{"control_addr", operatorAddress(control).value}}},
          {"port_range", {kFirstPort, kLastPort}},
          {"seed_list", seeds},
          {"first_boot", firstBoot},
          {"data_dir", folder_ + "/v" + std::to_string(control)},
          {"limits", {{"memory_mb", 1024}}},
          {"tolerance", {{"machine_losses", 1}}},
          {"bound_map", {{"drain", "2500ms"}, {"grace", "6s"}, {"apply", "2500ms"}, {"key_window", "60s"}}}};
}

std::vector<HollowIdentity> HollowRun::identities(std::uint32_t thread) const {
  std::vector<HollowIdentity> identities;
  for (std::uint32_t sidecar = thread; sidecar < plan_.sidecars; sidecar += plan_.threads) {
    HollowIdentity identity;
    identity.number = sidecar;
    identity.ip = sidecarIp(sidecar);
    identity.zone = "z" + std::to_string(sidecar % plan_.controls);
    identity.service = serviceOf(sidecar % plan_.services);
    for (std::uint32_t control = 0; control < plan_.controls; ++control)
      identity.controls.push_back({controlIp(control) + ':' + std::to_string(kFirstPort)});
    identities.push_back(std::move(identity));
  }
  return identities;
}

void HollowRun::startControl(std::uint32_t control, bool firstBoot) {
  fs::create_directories(folder_ + "/v" + std::to_string(control));
  Children::Start how;
  how.program = plan_.control;
  how.arguments = {"--log", "info", "--per-zone", "1"};
  how.variable = "RACKROUTE_CONFIG";
  how.settings = settingsOf(control, firstBoot).dump();
  if (!plan_.logs.empty()) how.log = plan_.logs + "/v" + std::to_string(control) + ".log";
  children_.start(control, how);
}

// --- operators

void HollowRun::patch(std::uint32_t control, const std::string& body, std::function<void()> acknowledged) {
  if (over_) return;
  http::Gather pieces;
  pieces.text(
      "PATCH /rackroute/config HTTP/1.1\r\nHost: control\r\nContent-Type: application/json\r\n"
      "Content-Length: " +
      std::to_string(body.size()) + "\r\n\r\n" + body);
  operators_.send(operatorAddress(control), std::move(pieces), "", false, loop_.now() + kOperatorCall,
                  [this, control, body, acknowledged = std::move(acknowledged)](
                      RequestOutcome, const std::shared_ptr<const http::Message>& answer) {
                    if (answer && answer->status() == 200) return acknowledged();
                    ++(answer ? refusedCalls_ : unansweredCalls_);
                    if (answer && answer->status() < 500)
                      return stop("a change was refused: " + std::string(answer->body()));
                    loop_.in(kOperatorPause, [this, control, body, acknowledged] {
                      patch((control + 1) % plan_.controls, body, acknowledged);
                    });
                  });
}

void HollowRun::change(std::function<void(const SentChange&)> acknowledged) {
  SentChange sent;
  sent.version = ++lastVersion_;
  sent.sentAt = steadyMicroseconds();
  const json routes = json::array({routeItem(kWatchedRoute, 0, sent.version)});
  const json hosts = json::array({{{"hostname", kHost}, {"path_routes", routes}}});
  patch(static_cast<std::uint32_t>(sent.version) % plan_.controls,
        json{{"upsert", {{"host_map", hosts}}}}.dump(),
        [sent, acknowledged = std::move(acknowledged)]() mutable {
          sent.answeredAt = steadyMicroseconds();
          acknowledged(sent);
        });
}

// --- the run's steps

void HollowRun::stop(const std::string& why) {
  if (over_) return;
  over_ = true;
  ended_ = why;
  loop_.stop();
}

void HollowRun::waitUntil(Span limit, const std::string& what, std::function<bool()> reached,
                          std::function<void()> next) {
  if (over_) return;
  if (reached()) return next();
  if (limit <= Span{0}) return stop("not in time: " + what);
  loop_.in(kWatch, [this, limit, what, reached = std::move(reached), next = std::move(next)] {
    waitUntil(limit - kWatch, what, reached, next);
  });
}

// Guards against a run that takes the machine down, and against one that goes on without its processes.
void HollowRun::look() {
  if (over_) return;
  if (Children::brokenOff()) return stop("told to stop");
  if (!children_.endedByThemselves().empty()) return stop("a control process ended by itself");
  double used = useOf(::getpid()).rssMb;
  for (std::uint32_t i = 0; i < plan_.controls; ++i) used += useOf(children_.idAt(i)).rssMb;
  if (used > machineMemoryMb() / 2) return stop("half of the machine's memory is used");
  loop_.in(kLook, [this] { look(); });
}

void HollowRun::begin() {
  startedAt_ = steadyMicroseconds();
  for (std::uint32_t control = 0; control < plan_.controls; ++control) startControl(control, true);
  const double share = 1.0 / plan_.threads;
  const auto over = std::chrono::duration_cast<Span>(std::chrono::duration<double>(plan_.startOver));
  for (const auto& thread : threads_)
    thread->start(over, plan_.newsPerSecond * share, plan_.claimsPerSecond * share);
  look();
  loop_.in(kFirstItems, [this, over] {
    lastVersion_ = 1;
    patch(0, firstItems(), [this, over] {
      result_["first_configuration_acknowledged_ms"] = milliseconds(steadyMicroseconds() - startedAt_);
      tell("the first configuration is acknowledged");
      waitUntil(
          kStartLimit + over, "all sidecars connected and confirmed",
          [this] { return board_->whole == plan_.sidecars && board_->changes.holders(1) == plan_.sidecars; },
          [this] { connected(); });
    });
  });
}

void HollowRun::connected() {
  result_["all_connected_and_confirmed_ms"] = milliseconds(steadyMicroseconds() - startedAt_);
  tell("all sidecars are connected and confirmed");
  loop_.in(kSettle, [this] { measure(); });
}

void HollowRun::measure() {
  before_ = snapshot();
  board_->measuring = true;
  changeAgain(before_.at + static_cast<std::int64_t>(plan_.seconds * 1e6));
}

void HollowRun::changeAgain(std::int64_t until) {
  if (steadyMicroseconds() >= until) return measured();
  const auto pause = std::chrono::duration_cast<Span>(std::chrono::duration<double>(plan_.changesEvery));
  loop_.in(std::min(pause, Span(until - steadyMicroseconds())), [this, until] { changeAgain(until); });
  if (lastVersion_ + 2 >= kMostChanges) return;
  change([this](const SentChange& sent) { changes_.push_back(sent); });
}

HollowRun::Snapshot HollowRun::snapshot() const {
  Snapshot taken;
  taken.at = steadyMicroseconds();
  for (std::uint32_t i = 0; i < plan_.controls; ++i) {
    const SessionTraffic& traffic = board_->traffic[i];
    taken.traffic[i] = {traffic.messagesToControl, traffic.messagesFromControl, traffic.bytesToControl,
                        traffic.bytesFromControl};
    taken.controls.push_back(useOf(children_.idAt(i)));
  }
  taken.own = useOf(::getpid());
  return taken;
}

void HollowRun::measured() {
  const Snapshot after = snapshot();
  board_->measuring = false;
  const double seconds = static_cast<double>(after.at - before_.at) / 1e6;
  const auto rate = [&](std::uint64_t from, std::uint64_t to) {
    return static_cast<double>(to - from) / seconds;
  };
  result_["measured_s"] = seconds;
  json controls = json::array();
  double allBytes = 0;
  double allMessages = 0;
  for (std::uint32_t i = 0; i < plan_.controls; ++i) {
    const TrafficCopy& from = before_.traffic[i];
    const TrafficCopy& to = after.traffic[i];
    const double bytesIn = rate(from.bytesToControl, to.bytesToControl);
    const double bytesOut = rate(from.bytesFromControl, to.bytesFromControl);
    const double messagesIn = rate(from.messagesToControl, to.messagesToControl);
    const double messagesOut = rate(from.messagesFromControl, to.messagesFromControl);
    allBytes += bytesIn + bytesOut;
    allMessages += messagesIn + messagesOut;
    controls.push_back(
        {{"core_percent", (after.controls[i].cpuSeconds - before_.controls[i].cpuSeconds) / seconds * 100},
         {"rss_mb", after.controls[i].rssMb},
         {"peak_mb", after.controls[i].peakMb},
         {"descriptors", after.controls[i].descriptors},
         {"kb_in_per_s", bytesIn / 1000},
         {"kb_out_per_s", bytesOut / 1000},
         {"messages_in_per_s", messagesIn},
         {"messages_out_per_s", messagesOut}});
  }
  result_["control"] = controls;
  const double count = plan_.sidecars;
  const double ownCpu = (after.own.cpuSeconds - before_.own.cpuSeconds) / seconds * 100;
  result_["sidecar"] = {{"core_percent", ownCpu / count},
                        {"rss_mb", (after.own.rssMb - memoryBeforeMb_) / count},
                        {"kb_per_s", allBytes / 1000 / count},
                        {"messages_per_s", allMessages / count}};
  result_["hollow_process"] = {{"core_percent", ownCpu}, {"rss_mb", after.own.rssMb}};
  tell("measured");
  if (plan_.killAll) return kill();
  // The last change's way to the sidecars is still awaited.
  loop_.in(kSettle, [this] { stop("whole"); });
}

void HollowRun::kill() {
  killedAt_ = steadyMicroseconds();
  for (std::uint32_t control = 0; control < plan_.controls; ++control) children_.signal(control, SIGKILL);
  tell("killed all control processes");
  loop_.in(kDead, [this] {
    for (std::uint32_t control = 0; control < plan_.controls; ++control) startControl(control, false);
    result_["after_kill"]["processes_started_ms"] = milliseconds(steadyMicroseconds() - killedAt_);
  });
  // At once: how long an operator waits for the next acknowledgement.
  change([this](const SentChange& sent) {
    result_["after_kill"]["next_acknowledgement_ms"] = milliseconds(sent.answeredAt - killedAt_);
    tell("a change is acknowledged again");
    waitUntil(
        kRecoverLimit, "all sidecars connected and confirmed after the kill",
        [this] { return board_->whole == plan_.sidecars; },
        [this, version = sent.version] { killed(version); });
  });
}

void HollowRun::killed(std::uint64_t version) {
  result_["after_kill"]["all_connected_ms"] = milliseconds(steadyMicroseconds() - killedAt_);
  waitUntil(
      kRecoverLimit, "the change after the kill at all sidecars",
      [this, version] { return board_->changes.holders(version) == plan_.sidecars; },
      [this, version] {
        result_["after_kill"]["change_at_all_ms"] = milliseconds(board_->changes.last(version) - killedAt_);
        tell("all sidecars have the change made after the kill");
        stop("whole");
      });
}

json HollowRun::changeFigures() const {
  std::vector<double> acknowledged;
  std::vector<double> atAll;
  std::uint32_t missing = 0;
  for (const SentChange& change : changes_) {
    acknowledged.push_back(milliseconds(change.answeredAt - change.sentAt));
    if (board_->changes.holders(change.version) < plan_.sidecars) {
      ++missing;
      continue;
    }
    const std::int64_t after = board_->changes.last(change.version) - change.answeredAt;
    atAll.push_back(milliseconds(std::max<std::int64_t>(after, 0)));
  }
  return {{"acknowledged_ms", distribution(acknowledged)},
          {"from_acknowledgement_to_last_sidecar_ms", distribution(atAll)},
          {"not_at_all_sidecars", missing},
          {"calls_refused", refusedCalls_},
          {"calls_unanswered", unansweredCalls_}};
}

json HollowRun::run() {
  memoryBeforeMb_ = useOf(::getpid()).rssMb;
  for (std::uint32_t i = 0; i < plan_.threads; ++i)
    threads_.push_back(std::make_unique<HollowThread>(*board_, i, plan_.seed, identities(i)));
  loop_.guarded([this] { begin(); });
  loop_.run();
  for (const auto& thread : threads_) thread->join();
  std::vector<double> won;
  std::uint64_t refused = 0;
  double latest = 0;
  for (const auto& thread : threads_) {
    thread->collectClaims(won, refused);
    latest = std::max(latest, thread->latestTimerMilliseconds());
  }
  result_["changes"] = changeFigures();
  result_["claims"] = {{"won_ms", distribution(std::move(won))}, {"not_won", refused}};
  result_["latest_timer_ms"] = latest;
  result_["ended"] = ended_;
  return std::move(result_);
}

void checkPlan(const HollowPlan& plan) {
  const auto require = [](bool kept, const std::string& what) {
    if (!kept) throw BadScenario("hollow: " + what);
  };
  require(plan.sidecars >= 1 && plan.sidecars <= kMostSidecars, "1 to 3,700 sidecars");
  require(plan.controls >= kFewestControls && plan.controls <= kMostControls, "3 to 5 control processes");
  require(plan.threads <= kMostThreads, "at most 8 threads");
  require(plan.startOver > 0 && plan.startOver <= kMostStartOver, "starts over up to 300 seconds");
  require(plan.seconds > 0 && plan.seconds <= kMostSeconds, "up to 600 seconds");
  require(plan.changesEvery >= 0.1, "changes at least 0.1 s apart");
  require(plan.newsPerSecond >= 0 && plan.newsPerSecond <= 1000, "at most 1,000 news a second");
  require(plan.claimsPerSecond >= 0 && plan.claimsPerSecond <= 10'000, "at most 10,000 claims a second");
  require(::access(plan.control.c_str(), X_OK) == 0, plan.control + " can't be run");
}

}  // namespace

json playHollow(const HollowPlan& given) {
  HollowPlan plan = given;
  if (plan.services == 0)
    plan.services = std::max<std::uint32_t>(2, plan.sidecars * kFullServices / kFullSidecars);
  if (plan.routes == 0) plan.routes = 2 * plan.services;
  if (plan.threads == 0) plan.threads = std::min(kMostThreads, 1 + (plan.sidecars - 1) / kSidecarsAThread);
  if (plan.startOver == 0) {
    const double news = static_cast<double>(plan.sidecars) * plan.sidecars;
    plan.startOver = std::clamp(news * kNewsSeconds / plan.threads, kLeastStartOver, kMostStartOver);
  }
  checkPlan(plan);
  openLog("hollow", "error");
  Children::prepare();
  const std::uint64_t descriptors = raiseDescriptorLimit();
  const std::uint64_t wanted = std::uint64_t{plan.sidecars} * plan.controls + 200;
  if (descriptors < wanted)
    throw BadScenario("hollow: needs " + std::to_string(wanted) + " descriptors, allowed are " +
                      std::to_string(descriptors));
  json figures = HollowRun(plan).run();
  figures["plan"] = {{"sidecars", plan.sidecars},
                     {"controls", plan.controls},
                     {"services", plan.services},
                     {"routes", plan.routes},
                     {"threads", plan.threads},
                     {"start_over_s", plan.startOver},
                     {"seconds", plan.seconds},
                     {"changes_every_s", plan.changesEvery},
                     {"news_per_s", plan.newsPerSecond},
                     {"claims_per_s", plan.claimsPerSecond},
                     {"seed", plan.seed}};
  figures["descriptor_limit"] = descriptors;
  return figures;
}

}  // namespace rackroute::lab::mesh
