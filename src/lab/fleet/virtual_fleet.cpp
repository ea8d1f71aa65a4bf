#include "lab/fleet/virtual_fleet.hpp"

#include <algorithm>
#include <deque>
#include <map>
#include <memory>
#include <optional>
#include <unordered_map>
#include <utility>

#include "fleet/membership.hpp"
#include "lab/fleet/drill_checker.hpp"
#include "lab/fleet/drill_network.hpp"
#include "lab/timeline.hpp"

namespace rackroute::lab {
namespace {

using namespace std::chrono_literals;
using fleet::Membership;
using fleet::Message;

constexpr Span kEvaluateInterval = 100ms;
constexpr Span kExchangeTimeout = 1s;                // connection timeout of an exchange
constexpr std::size_t kReceiveQueueLimit = 1000;     // datagrams queued for a frozen member
constexpr std::uint64_t kEpoch = 1'700'000'000'000;  // ms; arbitrary
constexpr std::size_t kBatchSize = 64;               // queued datagrams that are processed before timers run
constexpr Span kBatchTime = 1ms;                     // duration of a batch
constexpr std::size_t kMessageOverhead = 60;         // bytes of a message without its updates

std::size_t sizeOf(const std::vector<fleet::MemberUpdate>& words) {
  std::size_t size = 0;
  for (const fleet::MemberUpdate& word : words) size += fleet::maxEncodedSize(word);
  return size;
}

std::size_t sizeOf(const fleet::BucketDigests& marks) { return marks.size() * 9; }

class VirtualFleet;

/// A simulated process with its receive queue.
struct Place : fleet::MembershipHost {
  Place(VirtualFleet& fleet, std::uint32_t number) : fleet_(fleet), number_(number) {}
  void send(const std::string& address, const Message& message) override;
  void exchange(const std::string& address) override;
  void memberChanged(const fleet::MemberRecord& member, std::optional<fleet::State> was) override;
  void nameConflict(bool, const std::string&) override { ++taken; }

  VirtualFleet& fleet_;
  std::uint32_t number_;  // index of the place; the twin follows the members
  std::unique_ptr<Membership> membership;
  std::uint32_t starts = 0;
  bool frozen = false;
  Span wakesAt = Span::max();
  std::deque<std::function<void(Membership&)>> waiting;  // events received while frozen
  std::uint64_t taken = 0;
};

class VirtualFleet {
 public:
  VirtualFleet(const Drill& drill, std::uint64_t seed)
      : drill_(drill),
        seed_(seed),
        table_(drawTimetable(drill, seed)),
        network_(drill, table_, seed),
        checker_(drill, table_, kEvaluateInterval) {
    for (std::uint32_t i = 0; i < drill.members + kTwins; ++i) {
      places_.push_back(std::make_unique<Place>(*this, i));
      names_[fleet::memberId(nameOf(i))] = i;
      addresses_[addressOf(i)] = i;
    }
  }
  Json run(const std::function<void(double)>& progress);

  void send(std::uint32_t from, const std::string& address, const Message& message);
  void exchange(std::uint32_t from, const std::string& address);
  void changed(std::uint32_t observer, const fleet::MemberRecord& member);

 private:
  static constexpr std::uint32_t kTwins = 1;

  [[nodiscard]] static std::string nameOf(std::uint32_t member) {
    return std::string("m").append(std::to_string(member));
  }
  [[nodiscard]] static std::string addressOf(std::uint32_t place) {
    return std::string("127.0.") + std::to_string(100 + place / 250) + '.' + std::to_string(1 + place % 250) +
           ":7946";
  }
  [[nodiscard]] std::uint32_t memberOf(std::uint32_t place) const {
    return std::min(place, drill_.members - 1);
  }
  void start(std::uint32_t place, const std::string& name);
  void stop(std::uint32_t place) {
    places_[place]->membership.reset();
    places_[place]->waiting.clear();
    places_[place]->frozen = false;
  }
  void perform(const ScheduledAction& action);
  /// Runs the task now, or after the member resumes; dropped if the member has ended.
  void at(std::uint32_t place, std::function<void(Membership&)> action);
  void arm(std::uint32_t place);
  void drain(std::uint32_t place);
  void evaluate();
  [[nodiscard]] Span now() const { return timeline_.now(); }

  const Drill& drill_;
  std::uint64_t seed_;
  Timetable table_;
  DrillNetwork network_;
  DrillChecker checker_;
  Timeline timeline_;
  std::vector<std::unique_ptr<Place>> places_;
  std::map<fleet::MemberId, std::uint32_t> names_;
  std::unordered_map<std::string, std::uint32_t> addresses_;
  fleet::MembershipCounters all_;
};

void Place::send(const std::string& address, const Message& message) {
  fleet_.send(number_, address, message);
}
void Place::exchange(const std::string& address) { fleet_.exchange(number_, address); }
void Place::memberChanged(const fleet::MemberRecord& member, std::optional<fleet::State>) {
  fleet_.changed(number_, member);
}

void VirtualFleet::send(std::uint32_t from, const std::string& address, const Message& message) {
  const auto to = addresses_.find(address);
  if (to == addresses_.end()) return;
  const std::uint32_t place = to->second;
  const std::size_t bytes = kMessageOverhead + fleet::maxEncodedSize(message.self) + sizeOf(message.updates);
  checker_.sent(now(), memberOf(from), bytes);
  std::shared_ptr<const Message> shared;
  for (const Delivery& delivery : network_.deliver(memberOf(from), memberOf(place))) {
    if (delivery.corrupted) continue;  // discarded by the receiver
    if (!shared) shared = std::make_shared<const Message>(message);
    timeline_.in(delivery.delay, [this, place, bytes, shared] {
      if (places_[place]->membership) checker_.received(now(), memberOf(place), bytes);
      at(place, [this, shared](Membership& member) { member.handleMessage(now(), *shared); });
    });
  }
}

// The initiator sends its digest and bucket digests; the peer answers with the differing part of its view,
// and the initiator then sends its own entries of that part.
void VirtualFleet::exchange(std::uint32_t from, const std::string& address) {
  const auto found = addresses_.find(address);
  if (found == addresses_.end() || found->second == from) return;
  const std::uint32_t to = found->second;
  const auto requestDelay = network_.connectDelay(memberOf(from), memberOf(to));
  if (!requestDelay) return;
  const fleet::ViewMessage question = places_[from]->membership->viewRequest();
  const Span until = now() + kExchangeTimeout;
  const auto sendView = [this](std::uint32_t one, std::uint32_t other, const fleet::ViewMessage& whole,
                               std::function<void(Membership&)> action) {
    const std::size_t bytes = kMessageOverhead + fleet::maxEncodedSize(whole.self) + sizeOf(whole.updates) +
                              sizeOf(whole.bucketDigests);
    checker_.sent(now(), memberOf(one), bytes);
    const auto responseDelay = network_.connectDelay(memberOf(one), memberOf(other));
    if (!responseDelay) return;
    timeline_.in(*responseDelay, [this, other, bytes, action = std::move(action)] {
      checker_.received(now(), memberOf(other), bytes);
      at(other, action);
    });
  };
  const std::size_t size =
      kMessageOverhead + fleet::maxEncodedSize(question.self) + sizeOf(question.bucketDigests);
  checker_.sent(now(), memberOf(from), size);
  timeline_.in(2 * *requestDelay, [this, from, to, question, size, until, sendView] {
    checker_.received(now(), memberOf(to), size);
    at(to, [this, from, to, question, until, sendView](Membership& peer) {
      if (now() > until || peer.displaced() || peer.digest() == question.digest) return;
      peer.merge(now(), question);
      const auto peerView =
          std::make_shared<const fleet::ViewMessage>(peer.viewFor(now(), question.bucketDigests));
      sendView(to, from, *peerView, [this, from, to, peerView, sendView](Membership& initiator) {
        const auto own =
            std::make_shared<const fleet::ViewMessage>(initiator.viewFor(now(), peerView->bucketDigests));
        const bool fresh = own->updates.empty();  // the request already contained all of it
        initiator.merge(now(), *peerView);
        if (!fresh) sendView(from, to, *own, [this, own](Membership& other) { other.merge(now(), *own); });
      });
    });
  });
}

void VirtualFleet::changed(std::uint32_t observer, const fleet::MemberRecord& member) {
  if (observer >= drill_.members) return;
  if (const auto at = names_.find(member.id); at != names_.end() && at->second < drill_.members)
    checker_.observes(now(), observer, at->second, member.state);
}

void VirtualFleet::at(std::uint32_t place, std::function<void(Membership&)> action) {
  Place& here = *places_[place];
  if (!here.membership) return;
  if (here.frozen || !here.waiting.empty()) {
    if (here.waiting.size() < kReceiveQueueLimit) here.waiting.push_back(std::move(action));
    return;
  }
  action(*here.membership);
  arm(place);
}

void VirtualFleet::arm(std::uint32_t place) {
  Place& here = *places_[place];
  const Span due = here.membership->due();
  if (due >= here.wakesAt) return;
  here.wakesAt = due;
  timeline_.at(due, [this, place, due, starts = here.starts] {
    Place& one = *places_[place];
    if (one.starts != starts || one.wakesAt != due) return;
    one.wakesAt = Span::max();
    if (!one.membership || one.frozen || !one.waiting.empty()) return;
    if (one.membership->due() <= now()) one.membership->wake(now());
    arm(place);
  });
}

// A resumed member alternates between a batch of queued datagrams and its timers, as the event loop of the
// program does: an unread datagram may be the answer to a probe that a timer considers lost.
void VirtualFleet::drain(std::uint32_t place) {
  Place& here = *places_[place];
  if (!here.membership || here.frozen) return;
  for (std::size_t i = 0; i < kBatchSize && !here.waiting.empty(); ++i) {
    const auto action = std::move(here.waiting.front());
    here.waiting.pop_front();
    action(*here.membership);
  }
  if (here.membership->due() <= now()) here.membership->wake(now());
  if (here.waiting.empty()) {
    here.wakesAt = Span::max();
    return arm(place);
  }
  timeline_.in(kBatchTime, [this, place, starts = here.starts] {
    if (places_[place]->starts == starts) drain(place);
  });
}

void VirtualFleet::start(std::uint32_t place, const std::string& name) {
  Place& here = *places_[place];
  stop(place);
  ++here.starts;
  here.wakesAt = Span::max();
  std::vector<std::string> join;
  for (std::uint32_t i = 0; i < drill_.join; ++i) join.push_back(addressOf(i));
  fleet::MembershipConfig rhythm;
  rhythm.period = drill_.period;
  rhythm.lifeguard = drill_.lifeguard;
  rhythm.maxMembers = 2 * std::max<std::size_t>(drill_.members, 1000);
  const auto start = kEpoch + static_cast<std::uint64_t>(now() / 1ms);
  const std::string zone = std::string("z").append(std::to_string(place % drill_.zones));
  RandomEngine engine = makeRandomEngine(seed_, Purpose::policy, place * 1000ULL + here.starts);
  here.membership = std::make_unique<Membership>(fleet::MemberInfo{name, addressOf(place), zone}, start, join,
                                                 rhythm, engine(), here);
}

void VirtualFleet::perform(const ScheduledAction& action) {
  if (action.kind == ScheduledAction::Kind::faultBegins) return network_.begins(action.member);
  if (action.kind == ScheduledAction::Kind::faultEnds) return network_.ends(action.member);
  Place& here = *places_[action.member];
  switch (action.kind) {
    case ScheduledAction::Kind::start:
      checker_.started(now(), action.member);
      start(action.member, nameOf(action.member));
      here.membership->start(now());
      arm(action.member);
      break;
    case ScheduledAction::Kind::leave:
      if (here.membership) here.membership->leave(now());
      [[fallthrough]];
    case ScheduledAction::Kind::kill:
      stop(action.member);
      checker_.ended(now(), action.member);
      break;
    case ScheduledAction::Kind::freeze:
      here.frozen = here.membership != nullptr;
      checker_.frozen(now(), action.member, here.frozen);
      break;
    case ScheduledAction::Kind::wake:
      here.frozen = false;
      checker_.frozen(now(), action.member, false);
      drain(action.member);
      break;
    case ScheduledAction::Kind::deaf:
    case ScheduledAction::Kind::receives:
      network_.setReceiving(action.member, action.kind == ScheduledAction::Kind::receives);
      checker_.frozen(now(), action.member, action.kind == ScheduledAction::Kind::deaf);
      break;
    case ScheduledAction::Kind::twin:
      start(drill_.members, nameOf(action.member));
      places_[drill_.members]->membership->start(now());
      arm(drill_.members);
      break;
    default:
      break;
  }
}

void VirtualFleet::evaluate() {
  for (std::uint32_t i = 0; i < drill_.members; ++i) {
    if (const auto& membership = places_[i]->membership)
      checker_.reports(i, membership->connectivity(), membership->safeCount());
  }
  checker_.evaluate(now());
  timeline_.in(kEvaluateInterval, [this] { evaluate(); });
}

Json VirtualFleet::run(const std::function<void(double)>& progress) {
  if (drill_.warm) {
    std::vector<fleet::MemberUpdate> words;
    for (std::uint32_t i = 0; i < drill_.members; ++i) {
      checker_.started({}, i);
      start(i, nameOf(i));
      words.push_back(places_[i]->membership->self());
    }
    std::ranges::sort(words, {}, &fleet::MemberUpdate::id);
    checker_.allMembersKnown();
    for (std::uint32_t i = 0; i < drill_.members; ++i) {
      places_[i]->membership->addKnownMembers({}, words);
      places_[i]->membership->start({});
      arm(i);
    }
    std::erase_if(table_.actions, [](const ScheduledAction& action) {
      return action.kind == ScheduledAction::Kind::start && action.at == Span{};
    });
  }
  for (const ScheduledAction& action : table_.actions)
    timeline_.at(action.at, [this, action] { perform(action); });
  timeline_.in(kEvaluateInterval, [this] { evaluate(); });
  for (Span next{}; timeline_.step(drill_.length);) {
    if (!progress || now() < next) continue;
    progress(seconds(now()) / seconds(drill_.length));
    next = now() + 1s;
  }
  Json run = checker_.finish(drill_.length);
  run["seed"] = seed_;
  run["clock"] = "virtual";
  std::uint64_t taken = 0;
  for (const auto& place : places_) {
    taken += place->taken;
    if (!place->membership) continue;
    const fleet::MembershipCounters& figures = place->membership->counters();
    all_.probes += figures.probes;
    all_.probesLost += figures.probesLost;
    all_.suspicions += figures.suspicions;
    all_.refuted += figures.refuted;
    all_.deaths += figures.deaths;
    all_.stalls += figures.stalls;
  }
  run["figures"]["probes"] = all_.probes;
  run["figures"]["probes_lost"] = all_.probesLost;
  run["figures"]["suspicions"] = all_.suspicions;
  run["figures"]["refuted"] = all_.refuted;
  run["figures"]["deaths_told"] = all_.deaths;
  run["figures"]["stalls"] = all_.stalls;
  run["figures"]["names_taken"] = taken;
  return run;
}

}  // namespace

Json runDrillVirtual(const Drill& drill, std::uint64_t seed,
                     const std::function<void(double done)>& progress) {
  for (const Fault& fault : drill.faults) {
    if (fault.kind == FaultKind::noDiscovery || fault.kind == FaultKind::noServers)
      throw BadScenario(drill.file + ": fault: no_discovery and no_servers require processes with queries");
  }
  return VirtualFleet(drill, seed).run(progress);
}

}  // namespace rackroute::lab
