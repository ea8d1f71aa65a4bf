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
  double lossRate = 0.1;
  double duplicationRate = 0.1;
  bool restarts = true;
  bool setChanges = true;
  bool equalItems = false;  // different orders may contain equal items
  // Protocol violations that the checks must detect.
  bool repliesBeforeWrite = false;
  bool votesWithoutReading = false;
  bool keepsIncarnationAfterWipe = false;
};

struct Process {
  VoterId id;
  std::unique_ptr<Agreement> agreement;
  Items items;
  std::map<std::string, std::string> disk;
  std::uint64_t startCount = 0;  // messages and writes from before a restart are lost
  Span lastWrite{};
  VoterSet set;            // adopted and stored immediately
  bool holdsState = true;  // stored immediately
  std::set<Address> read;
};

/// Simulates processes with random network and disk delays, and tracks which process has durably accepted
/// what.
class Cluster {
 public:
  Cluster(std::uint64_t seed, Faults faults, std::size_t voters = 3)
      : faults_(faults), random_(seed), processes_(voters + 1) {
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
    calls_[call] = {at, processes_[at].startCount, order, std::nullopt};
    Effects effects;
    processes_[at].agreement->propose(now_, call, order, effects);
    apply(processes_[at], effects);
  }

  void run(Span until) {
    while (now_ < until) {
      while (!events_.empty() && events_.top().at <= now_) {
        const auto action = events_.top().action;
        events_.pop();
        action();
      }
      if (now_ % Span(20ms) == Span{0}) tickAll();
      now_ += Span(1ms);
    }
  }

  void restart(Process& process) { boot(process); }

  /// Erases the disk; the process rejoins the set with a new incarnation.
  void wipe(std::size_t at) {
    Process& process = processes_[at];
    const VoterId old = process.id;
    process.disk.clear();
    process.items = {};
    if (!faults_.keepsIncarnationAfterWipe) {
      process.id.incarnation = {++lastIncarnation_};
      process.holdsState = faults_.votesWithoutReading;
      process.read.clear();
    }
    boot(process);
    if (process.id == old || !set_.contains(old)) return;
    installNext([&](VoterSet& set) {
      *std::find(set.voters.begin(), set.voters.end(), old) = process.id;
      set.readers = {process.id};
    });
  }
  void addOrRemoveLast() {
    Process& last = processes_.back();
    const bool removes = set_.contains(last.id);
    installNext([&](VoterSet& set) {
      set.readers = {last.id};
      if (removes) std::erase(set.voters, last.id);
      if (removes) set.readers = set.voters;
      if (!removes) set.voters.push_back(last.id);
    });
    for (Process& process : processes_) {
      if (!set_.mustRead(process.id)) continue;
      process.holdsState = faults_.votesWithoutReading;
      process.read.clear();
      // Its own state counts: it was a voter of the previous set.
      if (removes) process.read.insert(process.id.at);
    }
  }
  /// A further set may be installed only when all readers of the current one have read.
  [[nodiscard]] bool stable() const {
    return std::all_of(processes_.begin(), processes_.end(), [this](const Process& process) {
      return !set_.contains(process.id) || (process.holdsState && process.set.epoch == set_.epoch);
    });
  }

  /// Runs a phase of random load and faults, followed by a phase without faults.
  void runScenario() {
    for (std::uint64_t i = 0; i < 40; ++i) {
      run(now_ + millis(randomBelow(60)));
      if (randomBelow(8) == 0 && faults_.restarts) restart(processes_[randomBelow(processes_.size())]);
      if (randomBelow(14) == 0 && faults_.setChanges && stable()) {
        randomBelow(3) == 0 ? addOrRemoveLast() : wipe(randomBelow(processes_.size()));
      }
      if (!orders_.empty() && randomBelow(6) == 0) {
        propose(randomBelow(processes_.size()),
                orders_[randomBelow(orders_.size())]);  // a repeated call, at any process
        continue;
      }
      std::map<ItemKey, Item> items;
      for (std::size_t count = 1 + randomBelow(4); count > 0; --count) {
        const Item item = itemAt(int(randomBelow(5)), 1 + randomBelow(4) + i / 10,
                                 faults_.equalItems ? randomBelow(2) : 100 + i);
        items.emplace(item.key, item);
      }
      std::vector<Item> list;
      for (auto& [key, item] : items) list.push_back(item);
      orders_.push_back(makeOrder(std::move(list)));
      for (const Item& item : orders_.back()->items) orderOf_[item.hash] = orders_.back();
      propose(randomBelow(processes_.size()), orders_.back());
      if (randomBelow(3) == 0) propose(randomBelow(processes_.size()), orders_.back());
    }
    faults_.lossRate = faults_.duplicationRate = 0;
    run(now_ + Span(12s));
    checkCalls();
  }

  void checkCalls() {
    for (const auto& [number, call] : calls_) {
      if (call.startCount != processes_[call.at].startCount)
        continue;  // the process has restarted since the call
      if (!call.result) {
        reportViolation("call without an outcome");
        continue;
      }
      std::size_t same = 0;
      std::size_t other = 0;
      for (const Item& item : call.order->items) {
        const auto found = chosen_.find(registerOf(item));
        if (found != chosen_.end()) ++(found->second == item.hash ? same : other);
      }
      if (*call.result == OrderResult::decided && same != call.order->items.size())
        reportViolation("acknowledged order not fully decided");
      if (*call.result == OrderResult::conflict && other == 0)
        reportViolation("conflict reported without a conflicting decision");
    }
  }

  [[nodiscard]] const std::vector<std::string>& violations() const { return violations_; }
  [[nodiscard]] std::optional<OrderResult> resultOf(std::uint64_t call) const {
    return calls_.at(call).result;
  }
  [[nodiscard]] std::vector<Process>& processes() { return processes_; }
  [[nodiscard]] std::size_t chosen() const { return chosen_.size(); }
  [[nodiscard]] std::uint64_t randomBelow(std::uint64_t below) {
    return std::uniform_int_distribution<std::uint64_t>(0, below - 1)(random_);
  }

 private:
  struct Call {
    std::size_t at;
    std::uint64_t startCount;
    OrderPtr order;
    std::optional<OrderResult> result;
  };
  struct Event {
    Span at;
    std::uint64_t number;
    std::function<void()> action;
    bool operator<(const Event& other) const {
      return std::tie(at, number) > std::tie(other.at, other.number);
    }
  };

  void reportViolation(const std::string& violation) { violations_.push_back(violation); }
  bool chance(double probability) {
    return std::uniform_real_distribution<double>(0, 1)(random_) < probability;
  }
  void at(Span when, std::function<void()> action) { events_.push({when, ++lastEvent_, std::move(action)}); }

  void boot(Process& process) {
    ++process.startCount;
    process.lastWrite = now_;
    process.items = {};
    process.agreement = std::make_unique<Agreement>(Agreement::Config{
        process.id, randomBelow(1'000'000'000), &process.items, [](const VoterSet&, bool) { return true; }});
    for (const auto& [key, value] : process.disk) {
      if (!process.agreement->restore(key, value))
        process.items.merge(itemFromJson(nlohmann::json::parse(value)));
    }
    Effects effects;
    process.agreement->setVoters(process.set, now_, effects);
    process.agreement->setMayVote(process.holdsState);
    apply(process, effects);
  }

  template <class Change>
  void installNext(Change change) {
    set_.previousSize = set_.voters.size();
    ++set_.epoch.value;
    change(set_);
    sets_[set_.epoch.value] = set_;
  }

  /// Carries out the effects as a control process does. Entries that only import other voters' acceptances do
  /// not count as acceptances of this process.
  void apply(Process& process, const Effects& effects, std::vector<Item> merged = {}, bool imported = false) {
    for (const Item& item : effects.decided) process.items.merge(item);
    merged.insert(merged.end(), effects.decided.begin(), effects.decided.end());
    checkApplied(process, merged);
    std::vector<StoreEntry> entries = effects.entries;
    for (const Item& item : merged) entries.emplace_back("i/" + textOf(item.key), wireOf(item));
    for (const Envelope& envelope : effects.messages) send(process, envelope);
    for (const OrderOutcome& outcome : effects.outcomes) calls_.at(outcome.call).result = outcome.result;
    if (faults_.repliesBeforeWrite) {
      for (const Envelope& envelope : effects.afterWrite) send(process, envelope);
    }
    if (entries.empty()) return;
    process.lastWrite = std::max(process.lastWrite, now_) + millis(randomBelow(6));
    at(process.lastWrite,
       [this, &process, startCount = process.startCount, entries, imported, later = effects.afterWrite] {
         if (startCount != process.startCount) return;
         for (const auto& [key, value] : entries) write(process, key, value, imported);
         if (faults_.repliesBeforeWrite) return;
         for (const Envelope& envelope : later) send(process, envelope);
       });
  }

  void write(Process& process, const std::string& key, const std::optional<std::string>& value,
             bool imported) {
    if (!value) {
      process.disk.erase(key);
      return;
    }
    process.disk[key] = *value;
    if (imported || !key.starts_with(agreement_store::kOrderPrefix)) return;
    const AcceptedOrder accepted = agreement_store::parseOrder(*value);
    const VoterSet& set = sets_.at(epochOf(accepted.ballot).value);
    if (!set.contains(process.id)) return;
    auto& voters = acceptedBy_[accepted.ballot];
    voters.insert(process.id);
    if (voters.size() < set.quorum()) return;
    for (const Item& item : accepted.order->items) {
      if (chosen_.emplace(registerOf(item), item.hash).first->second != item.hash)
        reportViolation("two values accepted by a majority");
    }
  }

  void checkApplied(const Process& process, const std::vector<Item>& items) {
    for (const Item& item : items) {
      const auto found = chosen_.find(registerOf(item));
      if (found == chosen_.end()) reportViolation("item applied before a majority durably accepted it");
      if (found != chosen_.end() && found->second != item.hash)
        reportViolation("item applied with a value that was not chosen");
    }
    if (faults_.equalItems) return;  // another order with an equal item may have been applied before
    for (const Item& item : items) {
      const OrderPtr& order = orderOf_.at(item.hash);
      const bool complete = std::all_of(order->items.begin(), order->items.end(),
                                        [&](const Item& one) { return !process.items.isNewer(one); });
      if (!complete) reportViolation("order applied partially");
    }
  }

  void send(Process& from, const Envelope& envelope) {
    const bool decided = std::holds_alternative<Decided>(envelope.message);
    for (Process& to : processes_) {
      if (envelope.to && *envelope.to != to.id.at) continue;
      if (!envelope.to && !decided && from.set.find(to.id.at) == nullptr) continue;
      const bool toSelf = &to == &from;
      for (int copies = toSelf ? 1 : int(!chance(faults_.lossRate)) + int(chance(faults_.duplicationRate));
           copies > 0; --copies) {
        const Span delay = toSelf ? Span{0} : millis(1 + randomBelow(randomBelow(10) == 0 ? 300 : 15));
        at(now_ + delay,
           [this, &to, sender = from.id.at, message = envelope.message] { deliver(to, sender, message); });
      }
    }
  }

  void deliver(Process& to, const Address& from, const Message& message) {
    Effects effects;
    std::vector<Item> merged;
    if (const auto* typed = std::get_if<Prepare>(&message)) to.agreement->handle(now_, from, *typed, effects);
    if (const auto* typed = std::get_if<Accept>(&message)) to.agreement->handle(now_, from, *typed, effects);
    if (const auto* typed = std::get_if<PrepareReply>(&message)) to.agreement->handle(now_, *typed, effects);
    if (const auto* typed = std::get_if<AcceptReply>(&message)) to.agreement->handle(now_, *typed, effects);
    if (const auto* typed = std::get_if<Decided>(&message)) {
      for (const Item& item : typed->order->items) {
        if (to.items.merge(item)) merged.push_back(item);
      }
      to.agreement->recordDecided(now_, typed->order->items, effects);
    }
    apply(to, effects, merged);
  }

  void tickAll() {
    for (Process& process : processes_) {
      if (process.set.epoch < set_.epoch && randomBelow(4) == 0) {  // it learns of the current set
        process.set = set_;
        Effects effects;
        process.agreement->setVoters(set_, now_, effects);
        apply(process, effects);
      }
      if (!process.holdsState) readFromOne(process);
      process.agreement->setMayVote(process.holdsState);
      if (now_ % Span(100ms) == Span{0} || process.agreement->nextTick().value_or(Span::max()) <= now_) {
        Effects effects;
        process.agreement->tick(now_, effects);
        apply(process, effects);
      }
    }
  }

  void readFromOne(Process& reader) {
    const Process& other = processes_[randomBelow(processes_.size())];
    const bool isSource = set_.mustRead(reader.id) && set_.readers.size() > 1 ? true : other.holdsState;
    if (&other == &reader || reader.set.epoch < set_.epoch || other.set.epoch < set_.epoch) return;
    if (!set_.contains(reader.id) || !set_.contains(other.id) || !isSource) return;
    Effects effects;
    reader.agreement->importState(now_, other.agreement->accepted(), other.agreement->decidedRegisters(),
                                  effects);
    apply(reader, effects, {}, true);
    reader.read.insert(other.id.at);
    if (reader.read.size() < set_.readQuorum()) return;
    // The imported state must be on disk before the process holds state.
    at(std::max(reader.lastWrite, now_), [&reader, startCount = reader.startCount, epoch = set_.epoch] {
      if (startCount == reader.startCount && epoch == reader.set.epoch) reader.holdsState = true;
    });
  }

  Faults faults_;
  std::mt19937_64 random_;
  Span now_{};
  VoterSet set_;
  std::map<std::uint64_t, VoterSet> sets_;
  std::vector<Process> processes_;
  std::priority_queue<Event> events_;
  std::map<std::uint64_t, Call> calls_;
  std::vector<OrderPtr> orders_;
  std::map<std::uint64_t, OrderPtr> orderOf_;       // by the hashes of its items
  std::map<Ballot, std::set<VoterId>> acceptedBy_;  // voters that durably accepted the ballot
  std::map<RegisterId, std::uint64_t> chosen_;      // values durably accepted by a majority
  std::vector<std::string> violations_;
  std::uint64_t lastIncarnation_ = 0;
  std::uint64_t lastCall_ = 0;
  std::uint64_t lastEvent_ = 0;
};

/// Number of times the violation is detected over a range of seeds.
std::size_t countViolations(const std::string& violation, const Faults& faults, std::uint64_t seeds = 60) {
  std::size_t times = 0;
  for (std::uint64_t seed = 1; seed <= seeds; ++seed) {
    Cluster cluster(seed, faults);
    cluster.runScenario();
    times += std::size_t(std::count(cluster.violations().begin(), cluster.violations().end(), violation));
  }
  return times;
}

}  // namespace

TEST_CASE("agreement: at most one value per register despite losses, restarts and voter set changes") {
  for (std::uint64_t seed = 1; seed <= 200; ++seed) {
    Cluster cluster(seed, {.equalItems = seed % 2 == 0}, 3 + seed % 3);
    cluster.runScenario();
    INFO("seed " << seed);
    CHECK(cluster.chosen() > 5);
    REQUIRE(cluster.violations() == std::vector<std::string>{});
  }
}

TEST_CASE("agreement: the checks detect protocol violations") {
  CHECK(countViolations("item applied before a majority durably accepted it", {.repliesBeforeWrite = true}) >
        0);
  CHECK(countViolations("two values accepted by a majority", {.votesWithoutReading = true}) > 0);
  CHECK(countViolations("two values accepted by a majority", {.keepsIncarnationAfterWipe = true}) > 0);
}

namespace {

/// One voter of three whose entries are on disk immediately.
struct Single {
  explicit Single(std::uint64_t epoch = 1) {
    set.epoch = {epoch};
    for (std::uint64_t i = 0; i < 3; ++i)
      set.voters.push_back({{"10.0.0." + std::to_string(i) + ":1"}, {i + 1}});
    boot();
  }
  void boot() {
    agreement = std::make_unique<Agreement>(
        Agreement::Config{set.voters[0], 1, &items, [this](const VoterSet&, bool) { return acceptsSets; }});
    for (const auto& [key, value] : disk) agreement->restore(key, value);
    agreement->setVoters(set, now, effects);
    agreement->setMayVote(true);
    flush();
  }
  Effects flush() {
    for (const auto& [key, value] : effects.entries) value ? void(disk[key] = *value) : void(disk.erase(key));
    for (const Item& item : effects.decided) items.merge(item);
    return std::exchange(effects, {});
  }
  template <class Request>
  Effects handle(const Request& request) {
    agreement->handle(now, set.voters[1].at, request, effects);
    return flush();
  }
  Effects propose(std::uint64_t call, const OrderPtr& order) {
    agreement->propose(now, call, order, effects);
    return flush();
  }
  Effects tick(Span at) {
    now = at;
    agreement->tick(now, effects);
    return flush();
  }
  [[nodiscard]] Ballot ballot(std::uint64_t counter) const { return {makeRound(set.epoch, counter), {2}}; }
  Effects prepare(std::uint64_t counter, const OrderPtr& order) {
    Prepare request{ballot(counter), set.epoch, {}};
    for (const Item& item : order->items) request.registers.push_back(registerOf(item));
    return handle(request);
  }
  Effects accept(std::uint64_t counter, const OrderPtr& order) {
    return handle(Accept{ballot(counter), set.epoch, order});
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

TEST_CASE("agreement: replies to requests and duplicates wait for the disk write") {
  Single voter;
  const OrderPtr order = orderOf({itemAt(1, 1, 1)});
  for (int attempt = 0; attempt < 2; ++attempt) {
    const Effects promised = voter.prepare(5, order);
    CHECK(only<PrepareReply>(promised.afterWrite).granted);
    CHECK(promised.messages.empty());
  }
  for (int attempt = 0; attempt < 2; ++attempt)
    CHECK(only<AcceptReply>(voter.accept(5, order).afterWrite).granted);
  voter.boot();
  CHECK(voter.agreement->accepted().size() == 1);
  CHECK_FALSE(only<PrepareReply>(voter.prepare(4, order).messages).granted);
}

TEST_CASE("agreement: a voter replies only in its own epoch and while it may vote") {
  Single voter(2);
  const OrderPtr order = orderOf({itemAt(1, 1, 1)});
  for (const std::uint64_t epoch : {1U, 3U}) {
    const Ballot ballot{makeRound({epoch}, 9), {2}};
    CHECK(voter.handle(Accept{ballot, {epoch}, order}).afterWrite.empty());
    CHECK(voter.handle(Accept{ballot, {2}, order}).afterWrite.empty());
    CHECK(voter.handle(Accept{voter.ballot(9), {epoch}, order}).afterWrite.empty());
  }
  voter.agreement->setMayVote(false);
  CHECK(voter.accept(9, order).afterWrite.empty());
  voter.agreement->setMayVote(true);
  CHECK(voter.accept(9, order).afterWrite.size() == 1);
}

TEST_CASE(
    "agreement: an accepted order is dropped for a conflicting one at a higher ballot, and kept otherwise") {
  Single voter;
  voter.accept(1, orderOf({itemAt(1, 1, 1), itemAt(2, 1, 1)}));
  voter.accept(2, orderOf({itemAt(2, 1, 1), itemAt(3, 1, 1)}));
  CHECK(voter.agreement->accepted().size() == 2);
  voter.accept(3, orderOf({itemAt(1, 1, 7)}));
  CHECK(voter.agreement->accepted().size() == 2);
  voter.boot();
  CHECK(voter.agreement->accepted().size() == 2);
}

TEST_CASE("agreement: lower ballots are refused after a promise expired") {
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

TEST_CASE("agreement: an unacceptable voter set gets no reply") {
  Single voter;
  VoterSet next = voter.set;
  next.epoch = {2};
  voter.acceptsSets = false;
  CHECK(voter.accept(1, orderOf({itemOf(next)})).afterWrite.empty());
  voter.acceptsSets = true;
  CHECK(only<AcceptReply>(voter.accept(1, orderOf({itemOf(next)})).afterWrite).granted);
  voter.agreement->setVoters(next, 0s, voter.effects);
  CHECK(voter.agreement->accepted().empty());
}

TEST_CASE("agreement: rounds are reserved before use and not reused after a restart") {
  Single proposer;
  const Ballot before = only<Prepare>(proposer.propose(1, orderOf({itemAt(1, 1, 1)})).afterWrite).ballot;
  proposer.boot();
  CHECK(only<Prepare>(proposer.propose(1, orderOf({itemAt(1, 1, 2)})).afterWrite).ballot > before);
}

TEST_CASE("agreement: proposals restart when the voter set changes") {
  Single proposer;
  proposer.propose(1, orderOf({itemAt(1, 1, 1)}));
  VoterSet next = proposer.set;
  next.epoch = {2};
  proposer.agreement->setVoters(next, 0s, proposer.effects);
  CHECK(only<Prepare>(proposer.flush().afterWrite).epoch == next.epoch);
}

TEST_CASE("agreement: an accepted order is completed when its proposer stalls") {
  Single voter;
  voter.accept(1, orderOf({itemAt(1, 1, 1)}));
  CHECK(voter.tick(300ms).afterWrite.empty());
  CHECK(only<Prepare>(voter.tick(400ms).afterWrite).registers.size() == 1);
}

TEST_CASE("agreement: imported orders are stored and reported") {
  Single voter;
  const OrderPtr order = orderOf({itemAt(1, 1, 1)});
  voter.agreement->importState(0s, {{voter.ballot(3), order}}, {}, voter.effects);
  voter.flush();
  voter.boot();
  CHECK(only<PrepareReply>(voter.prepare(4, order).afterWrite).accepted.size() == 1);
}

TEST_CASE("agreement: items that are already decided are not proposed again") {
  Single proposer;
  proposer.set.voters.resize(1);  // this process only
  proposer.boot();
  const Item first = itemAt(1, 1, 1);
  proposer.agreement->recordDecided(0s, {first}, proposer.effects);
  proposer.flush();
  const Prepare prepare = only<Prepare>(proposer.propose(1, orderOf({first, itemAt(2, 1, 1)})).afterWrite);
  CHECK(prepare.registers == std::vector<RegisterId>{registerOf(itemAt(2, 1, 1))});
  const Effects promised = proposer.handle(prepare);
  proposer.agreement->handle(0s, only<PrepareReply>(promised.afterWrite), proposer.effects);
  const Effects accepting = proposer.flush();
  CHECK(only<Accept>(accepting.messages).order->items.size() == 1);
  const Effects accepted = proposer.handle(only<Accept>(accepting.messages));
  proposer.agreement->handle(0s, only<AcceptReply>(accepted.afterWrite), proposer.effects);
  const Effects decided = proposer.flush();
  CHECK(only<Decided>(decided.messages).order->items.size() == 2);
  REQUIRE(decided.outcomes.size() == 1);
  CHECK(decided.outcomes[0].result == OrderResult::decided);
  CHECK(proposer.agreement->accepted().empty());
  const Effects conflict = proposer.propose(2, orderOf({itemAt(1, 1, 9), itemAt(3, 1, 1)}));
  REQUIRE(conflict.outcomes.size() == 1);
  CHECK(conflict.outcomes[0].result == OrderResult::conflict);
  CHECK(conflict.outcomes[0].standing.size() == 1);
}

TEST_CASE("agreement: proposals in flight and the decision history are bounded") {
  Single proposer;
  for (int i = 0; i < 64; ++i) proposer.propose(std::uint64_t(i) + 1, orderOf({itemAt(i, 1, 1)}));
  const Effects over = proposer.propose(65, orderOf({itemAt(64, 1, 1)}));
  REQUIRE(over.outcomes.size() == 1);
  CHECK(over.outcomes[0].result == OrderResult::busy);
  proposer.agreement->forgetCall(1);
  CHECK(proposer.agreement->proposalsInFlight() == 63);
  for (std::uint64_t version = 1; version <= 40; ++version) {
    proposer.agreement->recordDecided(0s, {itemAt(99, version, 1)}, proposer.effects);
  }
  CHECK(proposer.agreement->decidedRegisters().size() == 33);  // 32 versions of the item and the voter set
  const Effects old = proposer.propose(66, orderOf({itemAt(99, 3, 7)}));
  REQUIRE(old.outcomes.size() == 1);
  CHECK(old.outcomes[0].result == OrderResult::decided);
}
