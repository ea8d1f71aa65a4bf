#include "lab/fleet/virtual_fleet.hpp"

#include <algorithm>
#include <deque>
#include <map>
#include <memory>
#include <optional>
#include <unordered_map>
#include <utility>

#include "fleet/membership.hpp"
#include "lab/fleet/judge.hpp"
#include "lab/fleet/ways.hpp"
#include "lab/timeline.hpp"

namespace rackroute::lab {
namespace {

using namespace std::chrono_literals;
using fleet::Membership;
using fleet::Message;

constexpr Span kLook = 100ms;            // between two looks of the judge
constexpr Span kDialTime = 1s;           // an exchange that does not come up by then fails
constexpr std::size_t kBuffered = 1000;  // datagrams that wait for a frozen member; a socket's usual buffer
constexpr std::uint64_t kEpoch = 1'700'000'000'000;  // ms; any time would do
constexpr std::size_t kATurn = 64;  // of what waited, before its timers run; as the program's loop has it
constexpr Span kTurn = 1ms;         // that such a turn takes
constexpr std::size_t kHead = 60;   // bytes of a message beside its words

std::size_t sizeOf(const std::vector<fleet::MemberUpdate>& words) {
  std::size_t size = 0;
  for (const fleet::MemberUpdate& word : words) size += fleet::maxEncodedSize(word);
  return size;
}

std::size_t sizeOf(const fleet::BucketDigests& marks) { return marks.size() * 9; }

class VirtualFleet;

/// A process with its sockets.
struct Place : fleet::MembershipHost {
  Place(VirtualFleet& fleet, std::uint32_t number) : fleet_(fleet), number_(number) {}
  void send(const std::string& address, const Message& message) override;
  void exchange(const std::string& address) override;
  void memberChanged(const fleet::MemberRecord& member, std::optional<fleet::State> was) override;
  void nameConflict(bool, const std::string&) override { ++taken; }

  VirtualFleet& fleet_;
  std::uint32_t number_;  // of the place; a twin's lies beyond the members'
  std::unique_ptr<Membership> membership;
  std::uint32_t starts = 0;
  bool frozen = false;
  Span wakesAt = Span::max();
  std::deque<std::function<void(Membership&)>> waiting;  // what came while it was frozen
  std::uint64_t taken = 0;
};

class VirtualFleet {
 public:
  VirtualFleet(const Drill& drill, std::uint64_t seed)
      : drill_(drill),
        seed_(seed),
        table_(draw(drill, seed)),
        ways_(drill, table_, seed),
        judge_(drill, table_, kLook) {
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
  void perform(const Deed& deed);
  /// Does it now, or once the member is no more frozen; never if it has ended by then.
  void at(std::uint32_t place, std::function<void(Membership&)> deed);
  void arm(std::uint32_t place);
  void drain(std::uint32_t place);
  void look();
  [[nodiscard]] Span now() const { return timeline_.now(); }

  const Drill& drill_;
  std::uint64_t seed_;
  Timetable table_;
  Ways ways_;
  DrillJudge judge_;
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
  const std::size_t bytes = kHead + fleet::maxEncodedSize(message.self) + sizeOf(message.updates);
  judge_.sent(now(), memberOf(from), bytes);
  std::shared_ptr<const Message> shared;
  for (const Passage& passage : ways_.pass(memberOf(from), memberOf(place))) {
    if (passage.spoilt) continue;  // it can't be read
    if (!shared) shared = std::make_shared<const Message>(message);
    timeline_.in(passage.delay, [this, place, bytes, shared] {
      if (places_[place]->membership) judge_.got(now(), memberOf(place), bytes);
      at(place, [this, shared](Membership& member) { member.handleMessage(now(), *shared); });
    });
  }
}

// Who asks says its digest and marks; the other tells what differs of its view, and is then told the first
// one's of that.
void VirtualFleet::exchange(std::uint32_t from, const std::string& address) {
  const auto found = addresses_.find(address);
  if (found == addresses_.end() || found->second == from) return;
  const std::uint32_t to = found->second;
  const auto way = ways_.connects(memberOf(from), memberOf(to));
  if (!way) return;
  const fleet::ViewMessage question = places_[from]->membership->viewRequest();
  const Span until = now() + kDialTime;
  const auto tell = [this](std::uint32_t one, std::uint32_t other, const fleet::ViewMessage& whole,
                           std::function<void(Membership&)> deed) {
    const std::size_t bytes =
        kHead + fleet::maxEncodedSize(whole.self) + sizeOf(whole.updates) + sizeOf(whole.bucketDigests);
    judge_.sent(now(), memberOf(one), bytes);
    const auto back = ways_.connects(memberOf(one), memberOf(other));
    if (!back) return;
    timeline_.in(*back, [this, other, bytes, deed = std::move(deed)] {
      judge_.got(now(), memberOf(other), bytes);
      at(other, deed);
    });
  };
  const std::size_t size = kHead + fleet::maxEncodedSize(question.self) + sizeOf(question.bucketDigests);
  judge_.sent(now(), memberOf(from), size);
  timeline_.in(2 * *way, [this, from, to, question, size, until, tell] {
    judge_.got(now(), memberOf(to), size);
    at(to, [this, from, to, question, until, tell](Membership& asked) {
      if (now() > until || asked.displaced() || asked.digest() == question.digest) return;
      asked.merge(now(), question);
      const auto theirs =
          std::make_shared<const fleet::ViewMessage>(asked.viewFor(now(), question.bucketDigests));
      tell(to, from, *theirs, [this, from, to, theirs, tell](Membership& asker) {
        const auto own =
            std::make_shared<const fleet::ViewMessage>(asker.viewFor(now(), theirs->bucketDigests));
        const bool fresh = own->updates.empty();  // all that it can tell stood in its question
        asker.merge(now(), *theirs);
        if (!fresh) tell(from, to, *own, [this, own](Membership& other) { other.merge(now(), *own); });
      });
    });
  });
}

void VirtualFleet::changed(std::uint32_t observer, const fleet::MemberRecord& member) {
  if (observer >= drill_.members) return;
  if (const auto at = names_.find(member.id); at != names_.end() && at->second < drill_.members)
    judge_.sees(now(), observer, at->second, member.state);
}

void VirtualFleet::at(std::uint32_t place, std::function<void(Membership&)> deed) {
  Place& here = *places_[place];
  if (!here.membership) return;
  if (here.frozen || !here.waiting.empty()) {
    if (here.waiting.size() < kBuffered) here.waiting.push_back(std::move(deed));
    return;
  }
  deed(*here.membership);
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

// One that woke reads a turn's datagrams of those that waited, then its timers run, then the next: what is
// still unread then may be the answer to what a timer takes for lost.
void VirtualFleet::drain(std::uint32_t place) {
  Place& here = *places_[place];
  if (!here.membership || here.frozen) return;
  for (std::size_t i = 0; i < kATurn && !here.waiting.empty(); ++i) {
    const auto deed = std::move(here.waiting.front());
    here.waiting.pop_front();
    deed(*here.membership);
  }
  if (here.membership->due() <= now()) here.membership->wake(now());
  if (here.waiting.empty()) {
    here.wakesAt = Span::max();
    return arm(place);
  }
  timeline_.in(kTurn, [this, place, starts = here.starts] {
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
  Chance chance = chanceOf(seed_, Purpose::policy, place * 1000ULL + here.starts);
  here.membership = std::make_unique<Membership>(fleet::MemberInfo{name, addressOf(place), zone}, start, join,
                                                 rhythm, chance(), here);
}

void VirtualFleet::perform(const Deed& deed) {
  if (deed.kind == Deed::Kind::faultBegins) return ways_.begins(deed.member);
  if (deed.kind == Deed::Kind::faultEnds) return ways_.ends(deed.member);
  Place& here = *places_[deed.member];
  switch (deed.kind) {
    case Deed::Kind::start:
      judge_.started(now(), deed.member);
      start(deed.member, nameOf(deed.member));
      here.membership->start(now());
      arm(deed.member);
      break;
    case Deed::Kind::leave:
      if (here.membership) here.membership->leave(now());
      [[fallthrough]];
    case Deed::Kind::kill:
      stop(deed.member);
      judge_.ended(now(), deed.member);
      break;
    case Deed::Kind::freeze:
      here.frozen = here.membership != nullptr;
      judge_.frozen(now(), deed.member, here.frozen);
      break;
    case Deed::Kind::wake:
      here.frozen = false;
      judge_.frozen(now(), deed.member, false);
      drain(deed.member);
      break;
    case Deed::Kind::deaf:
    case Deed::Kind::hears:
      ways_.hears(deed.member, deed.kind == Deed::Kind::hears);
      judge_.frozen(now(), deed.member, deed.kind == Deed::Kind::deaf);
      break;
    case Deed::Kind::twin:
      start(drill_.members, nameOf(deed.member));
      places_[drill_.members]->membership->start(now());
      arm(drill_.members);
      break;
    default:
      break;
  }
}

void VirtualFleet::look() {
  for (std::uint32_t i = 0; i < drill_.members; ++i) {
    if (const auto& membership = places_[i]->membership)
      judge_.says(i, membership->connectivity(), membership->safeCount());
  }
  judge_.look(now());
  timeline_.in(kLook, [this] { look(); });
}

Json VirtualFleet::run(const std::function<void(double)>& progress) {
  if (drill_.warm) {
    std::vector<fleet::MemberUpdate> words;
    for (std::uint32_t i = 0; i < drill_.members; ++i) {
      judge_.started({}, i);
      start(i, nameOf(i));
      words.push_back(places_[i]->membership->self());
    }
    std::ranges::sort(words, {}, &fleet::MemberUpdate::id);
    judge_.warm();
    for (std::uint32_t i = 0; i < drill_.members; ++i) {
      places_[i]->membership->addKnownMembers({}, words);
      places_[i]->membership->start({});
      arm(i);
    }
    std::erase_if(table_.deeds,
                  [](const Deed& deed) { return deed.kind == Deed::Kind::start && deed.at == Span{}; });
  }
  for (const Deed& deed : table_.deeds) timeline_.at(deed.at, [this, deed] { perform(deed); });
  timeline_.in(kLook, [this] { look(); });
  for (Span next{}; timeline_.step(drill_.length);) {
    if (!progress || now() < next) continue;
    progress(seconds(now()) / seconds(drill_.length));
    next = now() + 1s;
  }
  Json run = judge_.finish(drill_.length);
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

Json playDrillVirtual(const Drill& drill, std::uint64_t seed,
                      const std::function<void(double done)>& progress) {
  for (const Fault& fault : drill.faults) {
    if (fault.kind == FaultKind::noDiscovery || fault.kind == FaultKind::noServers)
      throw BadScenario(drill.file + ": fault: no_discovery and no_servers go with processes beside queries");
  }
  return VirtualFleet(drill, seed).run(progress);
}

}  // namespace rackroute::lab
