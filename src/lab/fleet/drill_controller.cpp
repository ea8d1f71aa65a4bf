#include "lab/fleet/drill_controller.hpp"

#include <Poco/Net/StreamSocket.h>
#include <signal.h>
#include <unistd.h>

#include <algorithm>
#include <utility>

#include "http/message.hpp"
#include "sidecar/connection.hpp"

namespace rackroute::lab {
namespace {

using namespace std::chrono_literals;
using Poco::Net::SocketAddress;
using sidecar::CloseReason;
using sidecar::Connection;

constexpr Span kEvaluateInterval = 100ms;
constexpr Span kObservationLag = 1500ms;   // maximum delay until a change of a view is observed
constexpr Span kStatusTimeout = 3s;        // for a status response
constexpr Span kMaxEvaluateDelay = 500ms;  // a run with a longer delay has no verdict
constexpr std::size_t kMaxAnswerBytes = 4 << 20;

// Second octet of all addresses, so that concurrent runs do not interfere.
std::uint32_t networkOf() { return 20 + static_cast<std::uint32_t>(::getpid()) % 200; }

}  // namespace

/// One status request to the admin endpoint of a member.
class StatusConnection : public Connection {
 public:
  StatusConnection(DrillController& controller, std::uint32_t member)
      : Connection(controller.loop_, "door", Poco::Net::StreamSocket(SocketAddress::IPv4), ""),
        controller_(controller),
        member_(member),
        start_(controller.starts_[member]) {}
  void request(const std::string& address) {
    timer_ = loop_.after(kStatusTimeout, [this] { end(CloseReason::silent); });
    dial(SocketAddress(address));
    http::GatherBuffer pieces;
    pieces.text("GET /ops/fleet HTTP/1.1\r\nHost: door\r\n\r\n");
    send(std::move(pieces));
  }

 protected:
  void received() override {
    if (reader_.read(in_) != http::ParseStatus::done) return;
    const http::Message answer = reader_.take(in_);
    if (answer.status() == 200 && start_ == controller_.starts_[member_])
      controller_.statusReceived(member_, std::string(answer.body()));
    end(CloseReason::done);
  }
  void closed(CloseReason) override {
    loop_.cancel(timer_);
    controller_.statusConnections_.erase(this);
  }

 private:
  DrillController& controller_;
  std::uint32_t member_;
  std::uint32_t start_;
  http::Reader reader_{http::Reader::Kind::response, kMaxAnswerBytes};
  sidecar::Loop::TimerId timer_;
};

DrillController::DrillController(sidecar::Loop& loop, const Drill& drill, std::uint64_t seed,
                                 ProcessControl processControl)
    : loop_(loop),
      drill_(drill),
      seed_(seed),
      processControl_(std::move(processControl)),
      table_(drawTimetable(drill, seed)),
      network_(drill, table_, seed),
      checker_(drill, table_, kObservationLag + 2 * drill.statusInterval),
      relay_(
          loop, network_, networkOf(), drill.members, drill.members + 1,
          [this](std::uint32_t from, std::uint32_t, std::size_t bytes) {
            if (begun_) checker_.sent(now(), from, bytes);
          },
          [this](std::uint32_t, std::uint32_t to, std::size_t bytes) {
            if (begun_ && runs_[to]) checker_.received(now(), to, bytes);
          }),
      starts_(drill.members),
      runs_(drill.members),
      frozen_(drill.members) {
  for (std::uint32_t i = 0; i < drill.members; ++i) names_[std::string("m").append(std::to_string(i))] = i;
}

DrillController::~DrillController() {
  const auto connections = statusConnections_;
  for (const auto& [at, link] : connections) link->end(CloseReason::shutdown);
}

Json DrillController::config(std::uint32_t place) const {
  const std::uint32_t member = place < drill_.members ? place : twinOf_.value_or(0);
  Json config;
  config["name"] = std::string("m").append(std::to_string(member));
  config["admin"] = adminAddress(place);
  Json& fleet = config["fleet"];
  fleet["name"] = "drill";
  fleet["listen"] = relay_.listenAddress(place, 7946);
  fleet["advertise"] = relay_.advertisedAddress(place);
  fleet["join"] = Json::array();
  for (std::uint32_t i = 0; i < drill_.join; ++i) fleet["join"].push_back(relay_.advertisedAddress(i));
  fleet["period_ms"] = std::max<std::int64_t>(100, drill_.period / 1ms);
  return config;
}

void DrillController::begin(bool started) {
  startTime_ = loop_.now();
  begun_ = true;
  for (const ScheduledAction& action : table_.actions) {
    if (started && action.kind == ScheduledAction::Kind::start && action.at <= drill_.startSpread) {
      checker_.started({}, action.member);
      runs_[action.member] = true;
      continue;
    }
    loop_.at(startTime_ + action.at, [this, action] { perform(action); });
  }
  for (std::uint32_t i = 0; i < drill_.members; ++i)
    loop_.after(drill_.statusInterval * i / drill_.members, [this, i] { requestStatus(i); });
  evaluatedAt_ = now();
  loop_.after(kEvaluateInterval, [this] { evaluate(); });
}

void DrillController::perform(const ScheduledAction& action) {
  const std::uint32_t member = action.member;
  switch (action.kind) {
    case ScheduledAction::Kind::faultBegins:
      return network_.begins(member);
    case ScheduledAction::Kind::faultEnds:
      return network_.ends(member);
    case ScheduledAction::Kind::start:
      ++starts_[member];
      runs_[member] = true;
      processControl_.start(member);
      return checker_.started(now(), member);
    case ScheduledAction::Kind::kill:
    case ScheduledAction::Kind::leave:
      if (!runs_[member]) return;
      runs_[member] = false;
      ++starts_[member];
      frozen_[member] = false;
      processControl_.signal(member, action.kind == ScheduledAction::Kind::kill ? SIGKILL : SIGTERM);
      return checker_.ended(now(), member);
    case ScheduledAction::Kind::freeze:
    case ScheduledAction::Kind::wake:
      if (!runs_[member]) return;
      frozen_[member] = action.kind == ScheduledAction::Kind::freeze;
      processControl_.signal(member, frozen_[member] ? SIGSTOP : SIGCONT);
      return checker_.frozen(now(), member, frozen_[member]);
    case ScheduledAction::Kind::deaf:
    case ScheduledAction::Kind::receives:
      network_.setReceiving(member, action.kind == ScheduledAction::Kind::receives);
      return checker_.frozen(now(), member, action.kind == ScheduledAction::Kind::deaf);
    case ScheduledAction::Kind::twin:
      twinOf_ = member;
      return processControl_.start(drill_.members);
  }
}

void DrillController::requestStatus(std::uint32_t member) {
  loop_.after(drill_.statusInterval, [this, member] { requestStatus(member); });
  if (!runs_[member] || frozen_[member]) return;
  const auto link = std::make_shared<StatusConnection>(*this, member);
  statusConnections_.emplace(link.get(), link);
  link->request(adminAddress(member));
}

void DrillController::statusReceived(std::uint32_t member, const std::string& body) {
  const Json report = Json::parse(body, nullptr, false);
  if (report.is_discarded() || !runs_[member]) return;
  ++answers_;
  std::vector<bool> seen(drill_.members);
  for (const Json& one : report["members"]) {
    const auto at = names_.find(one["name"].get<std::string>());
    if (at == names_.end()) continue;
    seen[at->second] = true;
    const std::string state = one["state"].get<std::string>();
    for (const auto known :
         {fleet::State::alive, fleet::State::suspect, fleet::State::dead, fleet::State::left}) {
      if (nameOf(known) == state) checker_.observes(now(), member, at->second, known);
    }
  }
  for (std::uint32_t i = 0; i < drill_.members; ++i) {
    if (!seen[i]) checker_.unknown(member, i);
  }
  for (const auto hearing :
       {fleet::Connectivity::full, fleet::Connectivity::partial, fleet::Connectivity::isolated}) {
    if (nameOf(hearing) == report["hearing"].get<std::string>())
      checker_.reports(member, hearing, report["size"].get<std::size_t>());
  }
}

void DrillController::evaluate() {
  maxEvaluateDelay_ = std::max(maxEvaluateDelay_, now() - evaluatedAt_ - kEvaluateInterval);
  evaluatedAt_ = now();
  checker_.evaluate(now());
  if (now() < drill_.length) loop_.after(kEvaluateInterval, [this] { evaluate(); });
}

Json DrillController::finish() {
  Json run = checker_.finish(std::min(now(), drill_.length));
  run["seed"] = seed_;
  run["clock"] = "sockets";
  run["late"] = maxEvaluateDelay_ > kMaxEvaluateDelay;
  run["figures"]["doors_answered"] = answers_;
  run["figures"]["latest_look_ms"] = static_cast<double>(maxEvaluateDelay_.count()) / 1000;
  return run;
}

}  // namespace rackroute::lab
