#include "lab/mesh/hollow.hpp"

#include <signal.h>
#include <unistd.h>

#include <algorithm>
#include <array>
#include <chrono>
#include <filesystem>
#include <memory>
#include <utility>
#include <vector>

#include "lab/children.hpp"
#include "lab/mesh/hollow_board.hpp"
#include "lab/mesh/hollow_site.hpp"
#include "lab/mesh/hollow_thread.hpp"
#include "lab/mesh/process_use.hpp"
#include "lab/scenario.hpp"
#include "mesh/transport/event_loop.hpp"
#include "mesh/transport/http_client.hpp"
#include "mesh/transport/listener.hpp"
#include "mesh/transport/log.hpp"

namespace rackroute::lab::mesh {
namespace {

using namespace std::chrono_literals;
using namespace rackroute::mesh;
using nlohmann::json;
namespace fs = std::filesystem;

// Runs side by side take different networks of loopback, 127.N.0.0/16.
constexpr std::uint32_t kFirstNetwork = 20;
constexpr std::uint32_t kNetworks = 200;
constexpr std::uint32_t kMostSidecars = 3'700;
constexpr std::uint32_t kFewestControls = 3;
constexpr std::uint32_t kMostThreads = 8;
constexpr std::uint32_t kSidecarsAThread = 250;  // whose heartbeats one thread carries with room to spare
constexpr std::uint32_t kFullSidecars = 3'700;   // the size that the number of services is scaled from
constexpr std::uint32_t kFullServices = 220;
constexpr double kMostSeconds = 600;  // of a measurement
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

class HollowRun {
 public:
  explicit HollowRun(const HollowPlan& plan)
      : plan_(plan),
        folder_((fs::temp_directory_path() / ("rackroute-hollow-" + std::to_string(::getpid()))).string()),
        site_(plan, kFirstNetwork + static_cast<std::uint32_t>(::getpid()) % kNetworks, folder_),
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

  void tell(const std::string& line) const {
    if (plan_.tell) plan_.tell(line);
  }

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
  std::string folder_;
  HollowSite site_;
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

void HollowRun::startControl(std::uint32_t control, bool firstBoot) {
  fs::create_directories(site_.diskOf(control));
  Children::Start how;
  how.program = plan_.control;
  how.arguments = {"--log", "info", "--per-zone", "1"};
  how.variable = "RACKROUTE_CONFIG";
  how.settings = site_.settingsOf(control, firstBoot).dump();
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
  operators_.send(site_.operatorAddress(control), std::move(pieces), "", false, loop_.now() + kOperatorCall,
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
  patch(static_cast<std::uint32_t>(sent.version) % plan_.controls, site_.changeOf(sent.version),
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
    patch(0, site_.firstItems(), [this, over] {
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
    threads_.push_back(std::make_unique<HollowThread>(*board_, i, plan_.seed, site_.identities(i)));
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
  require(plan.controls >= kFewestControls && plan.controls <= kMostControls, "3 to 12 control processes");
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
