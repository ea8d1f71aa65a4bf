#include "mesh/sidecar/control_client.hpp"

#include <xxhash.h>

#include <algorithm>
#include <utility>

namespace rackroute::mesh {
namespace {

using nlohmann::json;
using namespace std::chrono_literals;

constexpr Span kTick = 150ms;               // the finest step of all times below
constexpr Span kPulse = 500ms;              // between words on an idle session
constexpr Span kSilent = 1700ms;            // without a word, a session is over; three pulses and a delay
constexpr Span kDialTime = 450ms;           // for a dial; a hung one is given up
constexpr Span kRedial = 150ms;             // after a dial that failed or a session that ended
constexpr Span kDiffers = 200ms;            // with another digest than a home's, before items are fetched
constexpr Span kDiffersElsewhere = 1000ms;  // than another control process's
constexpr Span kWantAgain = 700ms;          // between two such requests
constexpr Span kFewest = 1500ms;  // then what few control processes told must do; the others are down
constexpr std::size_t kMostControls = 32;  // addresses; far above any core

}  // namespace

Span ControlClient::tickEvery() { return kTick; }

ControlClient::ControlClient(Built built) : built_(std::move(built)) {
  for (const Address& seed : built_.seeds) controls_[seed];
}

void ControlClient::seeds(std::vector<Address> seeds) {
  built_.seeds = std::move(seeds);
  for (const Address& seed : built_.seeds) {
    if (controls_.size() < kMostControls) controls_[seed];
  }
}

void ControlClient::learn(const json& list) {
  for (const json& address : list) {
    if (controls_.size() < kMostControls) controls_[{address.get<std::string>()}];
  }
}

void ControlClient::say(const Address& to, std::shared_ptr<const std::string> text,
                        ControlClientActions& acts) {
  controls_.at(to).lastSaid = now_;
  ControlClientAction act;
  act.kind = ControlClientAction::Kind::say;
  act.at = to;
  act.text = std::move(text);
  acts.push_back(std::move(act));
}

void ControlClient::say(const Address& to, const json& word, ControlClientActions& acts) {
  say(to, std::make_shared<const std::string>(word.dump()), acts);
}

ControlClientActions ControlClient::sayAll(const json& word) {
  const auto text = std::make_shared<const std::string>(word.dump());
  ControlClientActions acts;
  for (const auto& [at, control] : controls_) {
    if (control.up) say(at, text, acts);
  }
  return acts;
}

ControlClientActions ControlClient::reached(Span now, const Address& at) {
  now_ = now;
  ControlClientActions acts;
  Control& control = controls_[at];
  control = Control{};
  control.up = true;
  control.lastHeard = now;
  say(at,
      {{"t", "hello"},
       {"kind", "side"},
       {"node", built_.node.value},
       {"life", built_.life.value},
       {"at", built_.at.value}},
      acts);
  // Guards against a start that fetches a large configuration from every control process at once over a thin
  // link: the first gives it, the others' digests tell whether they have more.
  if (wantedAt_ == Span{0} || wantedAt_ + kWantAgain <= now) {
    wantedAt_ = now;
    say(at, {{"t", "want"}, {"versions", items_.versions()}}, acts);
  }
  ControlClientAction act;
  act.kind = ControlClientAction::Kind::standing;
  act.at = at;
  acts.push_back(std::move(act));
  return acts;
}

ControlClientActions ControlClient::ended(Span now, const Address& at) {
  now_ = now;
  ControlClientActions acts;
  Control& control = controls_[at];
  const bool was = control.up;
  control.up = false;
  control.next = now + kRedial;
  control.followed.clear();
  if (was) assign(acts);
  return acts;
}

void ControlClient::alive(Span now, const Address& at) {
  const auto found = controls_.find(at);
  if (found != controls_.end()) found->second.lastHeard = now;
}

ControlClientActions ControlClient::heard(Span now, const Address& at, const json& word) {
  now_ = now;
  ControlClientActions acts;
  const auto found = controls_.find(at);
  if (found == controls_.end() || !found->second.up) return acts;
  Control& control = found->second;
  control.lastHeard = now;
  const std::string kind = word.at("t").get<std::string>();
  if (kind == "welcome") {
    control.zone = word.at("zone").get<std::string>();
    voters_ = word.at("voters").get<std::size_t>();
    quorum_ = word.at("quorum").get<std::size_t>();
    learn(word.at("core"));
    ControlClientAction act;
    act.kind = ControlClientAction::Kind::told;
    acts.push_back(std::move(act));
  } else if (kind == "core") {
    learn(word.at("list"));
  } else if (kind == "beat") {
    const bool before = control.whole && control.settled;
    control.whole = word.at("whole").get<bool>();
    control.settled = word.at("settled").get<bool>();
    const auto members = word.at("members").get<std::size_t>();
    if (members != members_) {
      // The largest of what is told is the careful one: more processes, a smaller part for each.
      members_ = std::max(members, controls_.size() > 1 ? members_ : 0);
      ControlClientAction act;
      act.kind = ControlClientAction::Kind::told;
      acts.push_back(std::move(act));
    }
    if (before != (control.whole && control.settled)) assign(acts);
    control.digest = word.at("digest").get<std::uint64_t>();
    compare(control);
    if (control.digest == items_.digest()) {
      control.differsSince = Span::max();
    } else if (control.differsSince == Span::max()) {
      control.differsSince = now;
    } else if (control.whole) {
      // A home's news comes ahead of its digest; what the others hold is on its way from the home. One at a
      // time, as a large configuration takes a while on a thin link.
      const bool early = !control.followed.empty() || items_.all().empty();
      const Span patience = early ? kDiffers : kDiffersElsewhere;
      if (control.differsSince + patience <= now && wantedAt_ + kWantAgain <= now) {
        control.differsSince = wantedAt_ = now;
        say(at, {{"t", "want"}, {"versions", items_.versions()}}, acts);
      }
    }
  } else if (kind == "items") {
    if (word.contains("whole") && lastOf(word))
      control.answered = control.answered || word["whole"].get<bool>();
    bool changed = false;
    for (const json& item : word.at("list")) changed = items_.merge(itemFrom(item)) || changed;
    if (!items_.all().empty() && lastOf(word) && !firstItems_) firstItems_ = now;
    // Others may have told already that they hold just this; their next word of it is half a second away.
    for (auto& entry : controls_) compare(entry.second);
    if (changed) {
      ControlClientAction act;
      act.kind = ControlClientAction::Kind::configured;
      acts.push_back(std::move(act));
    }
  } else if (kind == "servers") {
    for (const json& entry : word.at("list")) {
      ControlClientAction act;
      act.kind = ControlClientAction::Kind::server;
      act.news = newsFrom(entry);
      acts.push_back(std::move(act));
    }
  } else if (kind == "votes") {
    for (const json& vote : word.at("list")) {
      ControlClientAction act;
      act.kind = ControlClientAction::Kind::vote;
      act.at = at;
      act.claim = {vote.at(0).get<std::uint64_t>()};
      act.granted = vote.size() == 1;
      if (vote.size() > 1) act.holder = holderFrom(vote[1]);
      acts.push_back(std::move(act));
    }
  }
  return acts;
}

// What it told of its items is what is held here: it has nothing more to give.
void ControlClient::compare(Control& control) {
  if (!control.up || !control.whole || control.digest != items_.digest()) return;
  control.answered = true;
  if (!items_.all().empty() && !firstItems_) firstItems_ = now_;
}

ControlClientActions ControlClient::follow(const std::vector<ServiceName>& services) {
  services_ = services;
  ControlClientActions acts;
  assign(acts);
  return acts;
}

// Each service has a home in the zone, a control process there that stands; where there is none, one further
// away. All in the zone choose alike, so news crosses between zones once.
void ControlClient::assign(ControlClientActions& acts) {
  std::map<Address, std::set<ServiceName>> homes;
  for (const ServiceName& service : services_) {
    const Address* best = nullptr;
    std::pair<int, std::uint64_t> rank{-1, 0};
    for (const auto& [at, control] : controls_) {
      if (!control.up) continue;
      const std::string pair = service.value + '/' + at.value;
      const int fitness = (control.whole && control.settled ? 2 : 0) + (control.zone == built_.zone ? 1 : 0);
      const std::pair<int, std::uint64_t> mine{fitness, XXH3_64bits(pair.data(), pair.size())};
      if (best == nullptr || mine > rank) {
        best = &at;
        rank = mine;
      }
    }
    if (best != nullptr) homes[*best].insert(service);
  }
  for (auto& [at, control] : controls_) {
    if (!control.up) continue;
    const std::set<ServiceName>& wanted = homes[at];
    if (wanted == control.followed) continue;
    control.followed = wanted;
    json names = json::array();
    for (const ServiceName& service : wanted) names.push_back(service.value);
    say(at, {{"t", "follow"}, {"services", std::move(names)}}, acts);
  }
}

bool ControlClient::ready(Span now) const {
  if (!firstItems_) return false;
  const auto answered = static_cast<std::size_t>(std::count_if(
      controls_.begin(), controls_.end(), [](const auto& entry) { return entry.second.answered; }));
  return (quorum_ > 0 && answered >= quorum_) || *firstItems_ + kFewest <= now;
}

std::size_t ControlClient::sessions() const {
  return static_cast<std::size_t>(
      std::count_if(controls_.begin(), controls_.end(), [](const auto& entry) { return entry.second.up; }));
}

ControlClientActions ControlClient::tick(Span now) {
  now_ = now;
  ControlClientActions acts;
  std::vector<Address> silent;
  for (auto& [at, control] : controls_) {
    if (control.up) {
      if (control.lastHeard + kSilent <= now) {
        silent.push_back(at);
      } else if (control.lastSaid + kPulse <= now) {
        say(at, {{"t", "beat"}}, acts);
      }
    } else if (control.next <= now) {
      control.next = now + kDialTime;
      ControlClientAction act;
      act.kind = ControlClientAction::Kind::dial;
      act.at = at;
      acts.push_back(std::move(act));
    }
  }
  for (const Address& at : silent) {
    ControlClientAction act;
    act.kind = ControlClientAction::Kind::hangUp;
    act.at = at;
    acts.push_back(std::move(act));
    const ControlClientActions more = ended(now, at);
    acts.insert(acts.end(), more.begin(), more.end());
  }
  return acts;
}

}  // namespace rackroute::mesh
