#include <algorithm>
#include <catch2/catch.hpp>
#include <functional>
#include <memory>
#include <queue>
#include <random>

#include "mesh/control/agreement.hpp"
#include "mesh/control/agreement_store.hpp"
#include "mesh/control/ballot_rounds.hpp"

using namespace rackroute::mesh;
using namespace std::chrono_literals;
using rackroute::Span;

namespace {

Item itemAt(int name, std::uint64_t version, std::uint64_t value) {
  Item item;
  item.key = {ItemKind::service, "s" + std::to_string(name)};
  item.generation = {version};
  item.value = {{"value", value}};
  item.hash = hashOf(item);
  return item;
}

Span millis(std::uint64_t count) { return std::chrono::milliseconds(count); }

struct Faults {
  double lost = 0.1;
  double twice = 0.1;
  bool restarts = true;
  bool setChanges = true;
  bool equalItems = false;  // of different orders
  // What the checks must find: each breaks a rule that whoever runs an Agreement must keep.
  bool tellsBeforeWrite = false;
  bool joinsWithoutReading = false;
  bool wipedKeepsIncarnation = false;
};

struct Process {
  VoterId id;
  std::unique_ptr<Agreement> agreement;
  Items items;
  std::map<std::string, std::string> disk;
  std::uint64_t life = 0;  // what was meant for an earlier one is lost
  Span lastWrite{};
  VoterSet set;            // adopted, and on disk at once
  bool holdsState = true;  // likewise
  std::set<Address> read;
};

/// Processes on a network and disks of drawn delays; it keeps the books of what was accepted durably where.
class Cluster {
 public:
  Cluster(std::uint64_t seed, Faults faults, std::size_t voters = 3)
      : faults_(faults), chance_(seed), processes_(voters + 1) {
    set_.epoch = {1};
    for (std::size_t i = 0; i < processes_.size(); ++i) {
      processes_[i].id = {{"10.0.0." + std::to_string(i) + ":1"}, {++lastIncarnation_}};
      if (i < voters) set_.voters.push_back(processes_[i].id);
    }
    set_.previousSize = voters;
    sets_[1] = set_;
    for (Process& process : processes_) {
      process.set = set_;
      boot(process);
    }
  }

  void propose(std::size_t at, const OrderPtr& order) {
    const std::uint64_t call = ++lastCall_;
    calls_[call] = {at, processes_[at].life, order, std::nullopt};
    Effects effects;
    processes_[at].agreement->propose(now_, call, order, effects);
    take(processes_[at], effects);
  }

  void run(Span until) {
    while (now_ < until) {
      while (!events_.empty() && events_.top().at <= now_) {
        const auto what = events_.top().what;
        events_.pop();
        what();
      }
      if (now_ % Span(20ms) == Span{0}) everyTick();
      now_ += Span(1ms);
    }
  }

  void restart(Process& process) { boot(process); }

  /// The disk is lost; another incarnation takes its place in the set.
  void wipe(std::size_t at) {
    Process& process = processes_[at];
    const VoterId old = process.id;
    process.disk.clear();
    process.items = {};
    if (!faults_.wipedKeepsIncarnation) {
      process.id.incarnation = {++lastIncarnation_};
      process.holdsState = faults_.joinsWithoutReading;
      process.read.clear();
    }
    boot(process);
    if (process.id == old || !set_.contains(old)) return;
    next([&](VoterSet& set) {
      *std::find(set.voters.begin(), set.voters.end(), old) = process.id;
      set.readers = {process.id};
    });
  }
  void addOrRemoveLast() {
    Process& last = processes_.back();
    const bool removes = set_.contains(last.id);
    next([&](VoterSet& set) {
      set.readers = {last.id};
      if (removes) std::erase(set.voters, last.id);
      if (removes) set.readers = set.voters;
      if (!removes) set.voters.push_back(last.id);
    });
    for (Process& process : processes_) {
      if (!set_.mustRead(process.id)) continue;
      process.holdsState = faults_.joinsWithoutReading;
      process.read.clear();
      if (removes) process.read.insert(process.id.at);  // its own state is that of a voter of the set before
    }
  }
  /// The next set may follow only when all that must read have read.
  [[nodiscard]] bool stable() const {
    return std::all_of(processes_.begin(), processes_.end(), [this](const Process& process) {
      return !set_.contains(process.id) || (process.holdsState && process.set.epoch == set_.epoch);
    });
  }

  /// One day of drawn load and trouble, then calm.
  void day() {
    for (std::uint64_t i = 0; i < 40; ++i) {
      run(now_ + millis(draw(60)));
      if (draw(8) == 0 && faults_.restarts) restart(processes_[draw(processes_.size())]);
      if (draw(14) == 0 && faults_.setChanges && stable()) {
        draw(3) == 0 ? addOrRemoveLast() : wipe(draw(processes_.size()));
      }
      if (!orders_.empty() && draw(6) == 0) {
        propose(draw(processes_.size()), orders_[draw(orders_.size())]);  // the same again, anywhere
        continue;
      }
      std::map<ItemKey, Item> items;
      for (std::size_t count = 1 + draw(4); count > 0; --count) {
        const Item item = itemAt(int(draw(5)), 1 + draw(4) + i / 10, faults_.equalItems ? draw(2) : 100 + i);
        items.emplace(item.key, item);
      }
      std::vector<Item> list;
      for (auto& [key, item] : items) list.push_back(item);
      orders_.push_back(makeOrder(std::move(list)));
      for (const Item& item : orders_.back()->items) orderOf_[item.hash] = orders_.back();
      propose(draw(processes_.size()), orders_.back());
      if (draw(3) == 0) propose(draw(processes_.size()), orders_.back());
    }
    faults_.lost = faults_.twice = 0;
    run(now_ + Span(12s));
    judgeCalls();
  }

  void judgeCalls() {
    for (const auto& [number, call] : calls_) {
      if (call.life != processes_[call.at].life) continue;  // whoever asked is gone
      if (!call.result) {
        fault("a call has no end");
        continue;
      }
      std::size_t same = 0;
      std::size_t other = 0;
      for (const Item& item : call.order->items) {
        const auto found = chosen_.find(registerOf(item));
        if (found != chosen_.end()) ++(found->second == item.hash ? same : other);
      }
      if (*call.result == OrderResult::decided && same != call.order->items.size())
        fault("an acknowledged order is not in force whole");
      if (*call.result == OrderResult::conflict && other == 0) fault("a conflict without another value");
    }
  }

  [[nodiscard]] const std::vector<std::string>& faults() const { return found_; }
  [[nodiscard]] std::optional<OrderResult> resultOf(std::uint64_t call) const {
    return calls_.at(call).result;
  }
  [[nodiscard]] std::vector<Process>& processes() { return processes_; }
  [[nodiscard]] std::size_t chosen() const { return chosen_.size(); }
  [[nodiscard]] std::uint64_t draw(std::uint64_t below) {
    return std::uniform_int_distribution<std::uint64_t>(0, below - 1)(chance_);
  }

 private:
  struct Call {
    std::size_t at;
    std::uint64_t life;
    OrderPtr order;
    std::optional<OrderResult> result;
  };
  struct Event {
    Span at;
    std::uint64_t number;
    std::function<void()> what;
    bool operator<(const Event& other) const {
      return std::tie(at, number) > std::tie(other.at, other.number);
    }
  };

  void fault(const std::string& what) { found_.push_back(what); }
  bool chance(double share) { return std::uniform_real_distribution<double>(0, 1)(chance_) < share; }
  void at(Span when, std::function<void()> what) { events_.push({when, ++lastEvent_, std::move(what)}); }

  void boot(Process& process) {
    ++process.life;
    process.lastWrite = now_;
    process.items = {};
    process.agreement = std::make_unique<Agreement>(Agreement::Built{
        process.id, draw(1'000'000'000), &process.items, [](const VoterSet&, bool) { return true; }});
    for (const auto& [key, value] : process.disk) {
      if (!process.agreement->restore(key, value))
        process.items.merge(itemFromJson(nlohmann::json::parse(value)));
    }
    Effects effects;
    process.agreement->voters(process.set, now_, effects);
    process.agreement->mayVote(process.holdsState);
    take(process, effects);
  }

  template <class Change>
  void next(Change change) {
    set_.previousSize = set_.voters.size();
    ++set_.epoch.value;
    change(set_);
    sets_[set_.epoch.value] = set_;
  }

  /// Whoever runs an Agreement does this with its effects. Entries that only copy acceptances of others don't
  /// count as such.
  void take(Process& process, const Effects& effects, std::vector<Item> merged = {}, bool copies = false) {
    for (const Item& item : effects.decided) process.items.merge(item);
    merged.insert(merged.end(), effects.decided.begin(), effects.decided.end());
    judgeForce(process, merged);
    std::vector<StoreEntry> entries = effects.entries;
    for (const Item& item : merged) entries.emplace_back("i/" + textOf(item.key), wireOf(item));
    for (const Envelope& envelope : effects.messages) send(process, envelope);
    for (const OrderOutcome& outcome : effects.outcomes) calls_.at(outcome.call).result = outcome.result;
    if (faults_.tellsBeforeWrite) {
      for (const Envelope& envelope : effects.afterWrite) send(process, envelope);
    }
    if (entries.empty()) return;
    process.lastWrite = std::max(process.lastWrite, now_) + millis(draw(6));
    at(process.lastWrite, [this, &process, life = process.life, entries, copies, later = effects.afterWrite] {
      if (life != process.life) return;
      for (const auto& [key, value] : entries) write(process, key, value, copies);
      if (faults_.tellsBeforeWrite) return;
      for (const Envelope& envelope : later) send(process, envelope);
    });
  }

  void write(Process& process, const std::string& key, const std::optional<std::string>& value, bool copies) {
    if (!value) {
      process.disk.erase(key);
      return;
    }
    process.disk[key] = *value;
    if (copies || !key.starts_with(agreement_store::kOrderPrefix)) return;
    const AcceptedOrder accepted = agreement_store::readOrder(*value);
    const VoterSet& set = sets_.at(epochOf(accepted.ballot).value);
    if (!set.contains(process.id)) return;
    auto& voters = acceptedBy_[accepted.ballot];
    voters.insert(process.id);
    if (voters.size() < set.quorum()) return;
    for (const Item& item : accepted.order->items) {
      if (chosen_.emplace(registerOf(item), item.hash).first->second != item.hash)
        fault("two values have had a majority");
    }
  }

  void judgeForce(const Process& process, const std::vector<Item>& items) {
    for (const Item& item : items) {
      const auto found = chosen_.find(registerOf(item));
      if (found == chosen_.end()) fault("in force before a majority accepted it durably");
      if (found != chosen_.end() && found->second != item.hash) fault("another value is in force");
    }
    if (faults_.equalItems) return;  // an order's item may be in force with another order before it
    for (const Item& item : items) {
      const OrderPtr& order = orderOf_.at(item.hash);
      const bool whole = std::all_of(order->items.begin(), order->items.end(),
                                     [&](const Item& one) { return !process.items.isNewer(one); });
      if (!whole) fault("an order is in force in part");
    }
  }

  void send(Process& from, const Envelope& envelope) {
    const bool decided = std::holds_alternative<Decided>(envelope.message);
    for (Process& to : processes_) {
      if (envelope.to && *envelope.to != to.id.at) continue;
      if (!envelope.to && !decided && from.set.find(to.id.at) == nullptr) continue;
      const bool self = &to == &from;
      for (int copies = self ? 1 : int(!chance(faults_.lost)) + int(chance(faults_.twice)); copies > 0;
           --copies) {
        const Span delay = self ? Span{0} : millis(1 + draw(draw(10) == 0 ? 300 : 15));
        at(now_ + delay,
           [this, &to, sender = from.id.at, message = envelope.message] { hear(to, sender, message); });
      }
    }
  }

  void hear(Process& to, const Address& from, const Message& message) {
    Effects effects;
    std::vector<Item> merged;
    if (const auto* word = std::get_if<Prepare>(&message)) to.agreement->heard(now_, from, *word, effects);
    if (const auto* word = std::get_if<Accept>(&message)) to.agreement->heard(now_, from, *word, effects);
    if (const auto* word = std::get_if<PrepareReply>(&message)) to.agreement->heard(now_, *word, effects);
    if (const auto* word = std::get_if<AcceptReply>(&message)) to.agreement->heard(now_, *word, effects);
    if (const auto* word = std::get_if<Decided>(&message)) {
      for (const Item& item : word->order->items) {
        if (to.items.merge(item)) merged.push_back(item);
      }
      to.agreement->decided(now_, word->order->items, effects);
    }
    take(to, effects, merged);
  }

  void everyTick() {
    for (Process& process : processes_) {
      if (process.set.epoch < set_.epoch && draw(4) == 0) {  // it hears of the set in force
        process.set = set_;
        Effects effects;
        process.agreement->voters(set_, now_, effects);
        take(process, effects);
      }
      if (!process.holdsState) readOne(process);
      process.agreement->mayVote(process.holdsState);
      if (now_ % Span(100ms) == Span{0} || process.agreement->nextTick().value_or(Span::max()) <= now_) {
        Effects effects;
        process.agreement->tick(now_, effects);
        take(process, effects);
      }
    }
  }

  void readOne(Process& reader) {
    const Process& other = processes_[draw(processes_.size())];
    const bool hadState = set_.mustRead(reader.id) && set_.readers.size() > 1 ? true : other.holdsState;
    if (&other == &reader || reader.set.epoch < set_.epoch || other.set.epoch < set_.epoch) return;
    if (!set_.contains(reader.id) || !set_.contains(other.id) || !hadState) return;
    Effects effects;
    reader.agreement->learn(now_, other.agreement->accepted(), other.agreement->decidedRegisters(), effects);
    take(reader, effects, {}, true);
    reader.read.insert(other.id.at);
    if (reader.read.size() < set_.readQuorum()) return;
    // Its copy is on disk before it is known to hold it.
    at(std::max(reader.lastWrite, now_), [&reader, life = reader.life, epoch = set_.epoch] {
      if (life == reader.life && epoch == reader.set.epoch) reader.holdsState = true;
    });
  }

  Faults faults_;
  std::mt19937_64 chance_;
  Span now_{};
  VoterSet set_;
  std::map<std::uint64_t, VoterSet> sets_;
  std::vector<Process> processes_;
  std::priority_queue<Event> events_;
  std::map<std::uint64_t, Call> calls_;
  std::vector<OrderPtr> orders_;
  std::map<std::uint64_t, OrderPtr> orderOf_;       // by the prints of its items
  std::map<Ballot, std::set<VoterId>> acceptedBy_;  // durably
  std::map<RegisterId, std::uint64_t> chosen_;      // by a majority of these
  std::vector<std::string> found_;
  std::uint64_t lastIncarnation_ = 0;
  std::uint64_t lastCall_ = 0;
  std::uint64_t lastEvent_ = 0;
};

/// How often a check finds this in some runs.
std::size_t found(const std::string& what, const Faults& faults, std::uint64_t seeds = 60) {
  std::size_t times = 0;
  for (std::uint64_t seed = 1; seed <= seeds; ++seed) {
    Cluster cluster(seed, faults);
    cluster.day();
    times += std::size_t(std::count(cluster.faults().begin(), cluster.faults().end(), what));
  }
  return times;
}

}  // namespace

TEST_CASE("agreement: one value a register through losses, restarts and changes of the set") {
  for (std::uint64_t seed = 1; seed <= 200; ++seed) {
    Cluster cluster(seed, {.equalItems = seed % 2 == 0}, 3 + seed % 3);
    cluster.day();
    INFO("seed " << seed);
    CHECK(cluster.chosen() > 5);
    REQUIRE(cluster.faults() == std::vector<std::string>{});
  }
}

TEST_CASE("agreement: the checks find what breaks a rule") {
  CHECK(found("in force before a majority accepted it durably", {.tellsBeforeWrite = true}) > 0);
  CHECK(found("two values have had a majority", {.joinsWithoutReading = true}) > 0);
  CHECK(found("two values have had a majority", {.wipedKeepsIncarnation = true}) > 0);
}

namespace {

/// One process, a voter of three, whose entries are on disk as soon as they are given.
struct Single {
  explicit Single(std::uint64_t epoch = 1) {
    set.epoch = {epoch};
    for (std::uint64_t i = 0; i < 3; ++i)
      set.voters.push_back({{"10.0.0." + std::to_string(i) + ":1"}, {i + 1}});
    boot();
  }
  void boot() {
    agreement = std::make_unique<Agreement>(
        Agreement::Built{set.voters[0], 1, &items, [this](const VoterSet&, bool) { return acceptsSets; }});
    for (const auto& [key, value] : disk) agreement->restore(key, value);
    agreement->voters(set, now, effects);
    agreement->mayVote(true);
    done();
  }
  Effects done() {
    for (const auto& [key, value] : effects.entries) value ? void(disk[key] = *value) : void(disk.erase(key));
    for (const Item& item : effects.decided) items.merge(item);
    return std::exchange(effects, {});
  }
  template <class Request>
  Effects hear(const Request& request) {
    agreement->heard(now, set.voters[1].at, request, effects);
    return done();
  }
  Effects propose(std::uint64_t call, const OrderPtr& order) {
    agreement->propose(now, call, order, effects);
    return done();
  }
  Effects tick(Span at) {
    now = at;
    agreement->tick(now, effects);
    return done();
  }
  [[nodiscard]] Ballot ballot(std::uint64_t counter) const { return {roundOf(set.epoch, counter), {2}}; }
  Effects prepare(std::uint64_t counter, const OrderPtr& order) {
    Prepare request{ballot(counter), set.epoch, {}};
    for (const Item& item : order->items) request.registers.push_back(registerOf(item));
    return hear(request);
  }
  Effects accept(std::uint64_t counter, const OrderPtr& order) {
    return hear(Accept{ballot(counter), set.epoch, order});
  }

  VoterSet set;
  Items items;
  std::map<std::string, std::string> disk;
  bool acceptsSets = true;
  Span now{};
  Effects effects;
  std::unique_ptr<Agreement> agreement;
};

template <class Kind>
const Kind& only(const std::vector<Envelope>& messages) {
  REQUIRE(messages.size() == 1);
  REQUIRE(std::holds_alternative<Kind>(messages.front().message));
  return std::get<Kind>(messages.front().message);
}

OrderPtr orderOf(std::vector<Item> items) { return makeOrder(std::move(items)); }

}  // namespace

TEST_CASE("agreement: a voter's replies wait for their write, also those to duplicates") {
  Single voter;
  const OrderPtr order = orderOf({itemAt(1, 1, 1)});
  for (int times = 0; times < 2; ++times) {
    const Effects promised = voter.prepare(5, order);
    CHECK(only<PrepareReply>(promised.afterWrite).granted);
    CHECK(promised.messages.empty());
  }
  for (int times = 0; times < 2; ++times) CHECK(only<AcceptReply>(voter.accept(5, order).afterWrite).granted);
  voter.boot();
  CHECK(voter.agreement->accepted().size() == 1);
  CHECK_FALSE(only<PrepareReply>(voter.prepare(4, order).messages).granted);
}

TEST_CASE("agreement: a voter answers in its own epoch only, and only while it may vote") {
  Single voter(2);
  const OrderPtr order = orderOf({itemAt(1, 1, 1)});
  for (const std::uint64_t epoch : {1U, 3U}) {
    const Ballot ballot{roundOf({epoch}, 9), {2}};
    CHECK(voter.hear(Accept{ballot, {epoch}, order}).afterWrite.empty());
    CHECK(voter.hear(Accept{ballot, {2}, order}).afterWrite.empty());
    CHECK(voter.hear(Accept{voter.ballot(9), {epoch}, order}).afterWrite.empty());
  }
  voter.agreement->mayVote(false);
  CHECK(voter.accept(9, order).afterWrite.empty());
  voter.agreement->mayVote(true);
  CHECK(voter.accept(9, order).afterWrite.size() == 1);
}

TEST_CASE(
    "agreement: a voter drops an order that a higher ballot's disagrees with, and keeps one that agrees") {
  Single voter;
  voter.accept(1, orderOf({itemAt(1, 1, 1), itemAt(2, 1, 1)}));
  voter.accept(2, orderOf({itemAt(2, 1, 1), itemAt(3, 1, 1)}));
  CHECK(voter.agreement->accepted().size() == 2);
  voter.accept(3, orderOf({itemAt(1, 1, 7)}));
  CHECK(voter.agreement->accepted().size() == 2);
  voter.boot();
  CHECK(voter.agreement->accepted().size() == 2);
}

TEST_CASE("agreement: forgetting a promise never lets a lower ballot in") {
  Single voter;
  const OrderPtr order = orderOf({itemAt(1, 1, 1)});
  voter.prepare(5, order);
  voter.tick(11min);
  CHECK(std::none_of(voter.disk.begin(), voter.disk.end(), [&](const auto& entry) {
    return entry.first == agreement_store::promiseKey(voter.ballot(5));
  }));
  CHECK_FALSE(only<AcceptReply>(voter.accept(4, order).messages).granted);
  voter.boot();
  CHECK_FALSE(only<AcceptReply>(voter.accept(4, order).messages).granted);
}

TEST_CASE("agreement: a set of voters that may not be accepted gets no reply") {
  Single voter;
  VoterSet next = voter.set;
  next.epoch = {2};
  voter.acceptsSets = false;
  CHECK(voter.accept(1, orderOf({itemOf(next)})).afterWrite.empty());
  voter.acceptsSets = true;
  CHECK(only<AcceptReply>(voter.accept(1, orderOf({itemOf(next)})).afterWrite).granted);
  voter.agreement->voters(next, 0s, voter.effects);
  CHECK(voter.agreement->accepted().empty());
}

TEST_CASE("agreement: no round is used again after a restart, nor told before it is reserved") {
  Single proposer;
  const Ballot before = only<Prepare>(proposer.propose(1, orderOf({itemAt(1, 1, 1)})).afterWrite).ballot;
  proposer.boot();
  CHECK(only<Prepare>(proposer.propose(1, orderOf({itemAt(1, 1, 2)})).afterWrite).ballot > before);
}

TEST_CASE("agreement: proposals begin anew with another set of voters") {
  Single proposer;
  proposer.propose(1, orderOf({itemAt(1, 1, 1)}));
  VoterSet next = proposer.set;
  next.epoch = {2};
  proposer.agreement->voters(next, 0s, proposer.effects);
  CHECK(only<Prepare>(proposer.done().afterWrite).epoch == next.epoch);
}

TEST_CASE("agreement: an accepted order whose proposer is silent is completed") {
  Single voter;
  voter.accept(1, orderOf({itemAt(1, 1, 1)}));
  CHECK(voter.tick(300ms).afterWrite.empty());
  CHECK(only<Prepare>(voter.tick(400ms).afterWrite).registers.size() == 1);
}

TEST_CASE("agreement: what a joiner learns it holds, and reports") {
  Single voter;
  const OrderPtr order = orderOf({itemAt(1, 1, 1)});
  voter.agreement->learn(0s, {{voter.ballot(3), order}}, {}, voter.effects);
  voter.done();
  voter.boot();
  CHECK(only<PrepareReply>(voter.prepare(4, order).afterWrite).accepted.size() == 1);
}

TEST_CASE("agreement: what is decided of an order already is not proposed again") {
  Single proposer;
  proposer.set.voters.resize(1);  // itself
  proposer.boot();
  const Item first = itemAt(1, 1, 1);
  proposer.agreement->decided(0s, {first}, proposer.effects);
  proposer.done();
  const Prepare prepare = only<Prepare>(proposer.propose(1, orderOf({first, itemAt(2, 1, 1)})).afterWrite);
  CHECK(prepare.registers == std::vector<RegisterId>{registerOf(itemAt(2, 1, 1))});
  const Effects promised = proposer.hear(prepare);
  proposer.agreement->heard(0s, only<PrepareReply>(promised.afterWrite), proposer.effects);
  const Effects accepting = proposer.done();
  CHECK(only<Accept>(accepting.messages).order->items.size() == 1);
  const Effects accepted = proposer.hear(only<Accept>(accepting.messages));
  proposer.agreement->heard(0s, only<AcceptReply>(accepted.afterWrite), proposer.effects);
  const Effects decided = proposer.done();
  CHECK(only<Decided>(decided.messages).order->items.size() == 2);
  REQUIRE(decided.outcomes.size() == 1);
  CHECK(decided.outcomes[0].result == OrderResult::decided);
  CHECK(proposer.agreement->accepted().empty());
  const Effects conflict = proposer.propose(2, orderOf({itemAt(1, 1, 9), itemAt(3, 1, 1)}));
  REQUIRE(conflict.outcomes.size() == 1);
  CHECK(conflict.outcomes[0].result == OrderResult::conflict);
  CHECK(conflict.outcomes[0].standing.size() == 1);
}

TEST_CASE("agreement: proposals and remembered versions are bounded") {
  Single proposer;
  for (int i = 0; i < 64; ++i) proposer.propose(std::uint64_t(i) + 1, orderOf({itemAt(i, 1, 1)}));
  const Effects over = proposer.propose(65, orderOf({itemAt(64, 1, 1)}));
  REQUIRE(over.outcomes.size() == 1);
  CHECK(over.outcomes[0].result == OrderResult::busy);
  proposer.agreement->forgetCall(1);
  CHECK(proposer.agreement->proposalsUnderWay() == 63);
  for (std::uint64_t version = 1; version <= 40; ++version) {
    proposer.agreement->decided(0s, {itemAt(99, version, 1)}, proposer.effects);
  }
  CHECK(proposer.agreement->decidedRegisters().size() == 33);  // with that of the set
  const Effects old = proposer.propose(66, orderOf({itemAt(99, 3, 7)}));
  REQUIRE(old.outcomes.size() == 1);
  CHECK(old.outcomes[0].result == OrderResult::decided);
}
