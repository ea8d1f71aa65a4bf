#include "lab/fleet/rig.hpp"

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

constexpr Span kLook = 100ms;
constexpr Span kLag =
    1500ms;  // until a change in a member's view is seen here: two askings, and a slow machine
constexpr Span kDoorTime = 3s;     // for a door's answer; a frozen process gives none
constexpr Span kLateLook = 500ms;  // the machine is too slow for this run
constexpr std::size_t kLongestAnswer = 4 << 20;

// The second number of all addresses, so that two runs at a time do not meet.
std::uint32_t networkOf() { return 20 + static_cast<std::uint32_t>(::getpid()) % 200; }

}  // namespace

/// One question at a member's door.
class DoorLink : public Connection {
 public:
  DoorLink(Rig& rig, std::uint32_t member)
      : Connection(rig.loop_, "door", Poco::Net::StreamSocket(SocketAddress::IPv4), ""),
        rig_(rig),
        member_(member),
        start_(rig.starts_[member]) {}
  void ask(const std::string& address) {
    timer_ = loop_.after(kDoorTime, [this] { end(CloseReason::silent); });
    dial(SocketAddress(address));
    http::GatherBuffer pieces;
    pieces.text("GET /ops/fleet HTTP/1.1\r\nHost: door\r\n\r\n");
    send(std::move(pieces));
  }

 protected:
  void received() override {
    if (reader_.read(in_) != http::ParseStatus::done) return;
    const http::Message answer = reader_.take(in_);
    if (answer.status() == 200 && start_ == rig_.starts_[member_])
      rig_.heard(member_, std::string(answer.body()));
    end(CloseReason::done);
  }
  void closed(CloseReason) override {
    loop_.cancel(timer_);
    rig_.doors_.erase(this);
  }

 private:
  Rig& rig_;
  std::uint32_t member_;
  std::uint32_t start_;
  http::Reader reader_{http::Reader::Kind::response, kLongestAnswer};
  sidecar::Loop::TimerId timer_;
};

Rig::Rig(sidecar::Loop& loop, const Drill& drill, std::uint64_t seed, Hands hands)
    : loop_(loop),
      drill_(drill),
      seed_(seed),
      hands_(std::move(hands)),
      table_(draw(drill, seed)),
      ways_(drill, table_, seed),
      judge_(drill, table_, kLag + 2 * drill.askEvery),
      relay_(
          loop, ways_, networkOf(), drill.members, drill.members + 1,
          [this](std::uint32_t from, std::uint32_t, std::size_t bytes) {
            if (begun_) judge_.sent(now(), from, bytes);
          },
          [this](std::uint32_t, std::uint32_t to, std::size_t bytes) {
            if (begun_ && runs_[to]) judge_.got(now(), to, bytes);
          }),
      starts_(drill.members),
      runs_(drill.members),
      frozen_(drill.members) {
  for (std::uint32_t i = 0; i < drill.members; ++i) names_[std::string("m").append(std::to_string(i))] = i;
}

Rig::~Rig() {
  const auto doors = doors_;
  for (const auto& [at, link] : doors) link->end(CloseReason::shutdown);
}

Json Rig::told(std::uint32_t place) const {
  const std::uint32_t member = place < drill_.members ? place : twinOf_.value_or(0);
  Json told;
  told["name"] = std::string("m").append(std::to_string(member));
  told["admin"] = door(place);
  Json& fleet = told["fleet"];
  fleet["name"] = "drill";
  fleet["listen"] = relay_.listens(place, 7946);
  fleet["advertise"] = relay_.reached(place);
  fleet["join"] = Json::array();
  for (std::uint32_t i = 0; i < drill_.join; ++i) fleet["join"].push_back(relay_.reached(i));
  fleet["period_ms"] = std::max<std::int64_t>(100, drill_.period / 1ms);
  return told;
}

void Rig::begin(bool started) {
  zero_ = loop_.now();
  begun_ = true;
  for (const Deed& deed : table_.deeds) {
    if (started && deed.kind == Deed::Kind::start && deed.at <= drill_.startOver) {
      judge_.started({}, deed.member);
      runs_[deed.member] = true;
      continue;
    }
    loop_.at(zero_ + deed.at, [this, deed] { perform(deed); });
  }
  for (std::uint32_t i = 0; i < drill_.members; ++i)
    loop_.after(drill_.askEvery * i / drill_.members, [this, i] { ask(i); });
  lookedAt_ = now();
  loop_.after(kLook, [this] { look(); });
}

void Rig::perform(const Deed& deed) {
  const std::uint32_t member = deed.member;
  switch (deed.kind) {
    case Deed::Kind::faultBegins:
      return ways_.begins(member);
    case Deed::Kind::faultEnds:
      return ways_.ends(member);
    case Deed::Kind::start:
      ++starts_[member];
      runs_[member] = true;
      hands_.start(member);
      return judge_.started(now(), member);
    case Deed::Kind::kill:
    case Deed::Kind::leave:
      if (!runs_[member]) return;
      runs_[member] = false;
      ++starts_[member];
      frozen_[member] = false;
      hands_.signal(member, deed.kind == Deed::Kind::kill ? SIGKILL : SIGTERM);
      return judge_.ended(now(), member);
    case Deed::Kind::freeze:
    case Deed::Kind::wake:
      if (!runs_[member]) return;
      frozen_[member] = deed.kind == Deed::Kind::freeze;
      hands_.signal(member, frozen_[member] ? SIGSTOP : SIGCONT);
      return judge_.frozen(now(), member, frozen_[member]);
    case Deed::Kind::deaf:
    case Deed::Kind::hears:
      ways_.hears(member, deed.kind == Deed::Kind::hears);
      return judge_.frozen(now(), member, deed.kind == Deed::Kind::deaf);
    case Deed::Kind::twin:
      twinOf_ = member;
      return hands_.start(drill_.members);
  }
}

void Rig::ask(std::uint32_t member) {
  loop_.after(drill_.askEvery, [this, member] { ask(member); });
  if (!runs_[member] || frozen_[member]) return;
  const auto link = std::make_shared<DoorLink>(*this, member);
  doors_.emplace(link.get(), link);
  link->ask(door(member));
}

void Rig::heard(std::uint32_t member, const std::string& body) {
  const Json said = Json::parse(body, nullptr, false);
  if (said.is_discarded() || !runs_[member]) return;
  ++answers_;
  std::vector<bool> seen(drill_.members);
  for (const Json& one : said["members"]) {
    const auto at = names_.find(one["name"].get<std::string>());
    if (at == names_.end()) continue;
    seen[at->second] = true;
    const std::string state = one["state"].get<std::string>();
    for (const auto known :
         {fleet::State::alive, fleet::State::suspect, fleet::State::dead, fleet::State::left}) {
      if (nameOf(known) == state) judge_.sees(now(), member, at->second, known);
    }
  }
  for (std::uint32_t i = 0; i < drill_.members; ++i) {
    if (!seen[i]) judge_.unknown(member, i);
  }
  for (const auto hearing :
       {fleet::Connectivity::full, fleet::Connectivity::partial, fleet::Connectivity::isolated}) {
    if (nameOf(hearing) == said["hearing"].get<std::string>())
      judge_.says(member, hearing, said["size"].get<std::size_t>());
  }
}

void Rig::look() {
  latestLook_ = std::max(latestLook_, now() - lookedAt_ - kLook);
  lookedAt_ = now();
  judge_.look(now());
  if (now() < drill_.length) loop_.after(kLook, [this] { look(); });
}

Json Rig::finish() {
  Json run = judge_.finish(std::min(now(), drill_.length));
  run["seed"] = seed_;
  run["clock"] = "sockets";
  run["late"] = latestLook_ > kLateLook;
  run["figures"]["doors_answered"] = answers_;
  run["figures"]["latest_look_ms"] = static_cast<double>(latestLook_.count()) / 1000;
  return run;
}

}  // namespace rackroute::lab
