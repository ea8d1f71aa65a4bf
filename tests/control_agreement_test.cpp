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
  item.print = printOf(item);
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
      for (const Item& item : orders_.back()->items) orderOf_[item.print] = orders_.back();
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
        if (found != chosen_.end()) ++(found->second == item.print ? same : other);
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
        process.id, draw(1'000'000'000), &process.items, [](const VoterSet&) { return true; }});
    for (const auto& [key, value] : process.disk) {
      if (!process.agreement->restore(key, value))
        process.items.merge(itemFrom(nlohmann::json::parse(value)));
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
      if (chosen_.emplace(registerOf(item), item.print).first->second != item.print)
        fault("two values have had a majority");
    }
  }

  void judgeForce(const Process& process, const std::vector<Item>& items) {
    for (const Item& item : items) {
      const auto found = chosen_.find(registerOf(item));
      if (found == chosen_.end()) fault("in force before a majority accepted it durably");
      if (found != chosen_.end() && found->second != item.print) fault("another value is in force");
    }
    if (faults_.equalItems) return;  // an order's item may be in force with another order before it
    for (const Item& item : items) {
      const OrderPtr& order = orderOf_.at(item.print);
      const bool whole = std::all_of(order->items.begin(), order->items.end(),
                                     [&](const Item& one) { return !process.items.newer(one); });
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
