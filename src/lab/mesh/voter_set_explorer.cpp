#include "lab/mesh/voter_set_explorer.hpp"

#include <algorithm>
#include <array>
#include <bit>
#include <cstddef>
#include <numeric>
#include <utility>

#include "mesh/claims/claims.hpp"

namespace rackroute::lab::mesh {
namespace {

using namespace std::chrono_literals;
using namespace rackroute::mesh;
using Flaw = VoterSetFlaw;
using Bits = std::uint8_t;  // a set of processes, claimers or epochs, by number

constexpr std::size_t kProcesses = 8;  // voters and standbys; fits Bits
constexpr std::size_t kClaimers = 3;
constexpr std::size_t kEpochs = 5;  // 0: none is known; 1: the first set
constexpr Bits kRelease = 0x80;     // in Process::inFlight, beside the epochs
constexpr Span kNow = 1s;           // nothing here goes by time
const KeyPrint kKey = printOfKey("the key");

constexpr Bits bit(std::size_t number) { return static_cast<Bits>(1U << number); }
constexpr bool has(Bits bits, std::size_t number) { return (bits >> number & 1U) != 0; }
void add(Bits& bits, Bits more) { bits = static_cast<Bits>(bits | more); }
void remove(Bits& bits, Bits fewer) { bits = static_cast<Bits>(bits & ~fewer); }
std::size_t size(Bits bits) { return static_cast<std::size_t>(std::popcount(bits)); }

/// A control process at one address.
struct Process {
  std::uint8_t exists = 0;
  std::uint8_t incarnation = 0;  // disks that were lost here before, and times it was put out of the set
  std::uint8_t epoch = 0;        // of the set that it adopted
  std::uint8_t holdsState = 0;   // it may vote
  std::uint8_t heldBefore = 0;   // it held state in the set before, so that others may read from it
  Bits promised = 0;             // the claims that hold the key, as far as it knows
  Bits onDisk = 0;               // the same, of its disk
  Bits owedVotes = 0;            // claims whose votes wait for the disk
  Bits readFrom = 0;             // processes whose state it has read
  std::array<Bits, kClaimers> inFlight{};  // claims by their epoch, and kRelease, on their way to it
};

enum class Work : std::uint8_t { claiming, won, freedButMayRun, over };

struct Claimer {
  Work work = Work::claiming;
  std::uint8_t epoch = 1;  // of the set in which it counts
  Bits votes = 0;          // processes whose votes it has counted
};

struct Set {
  Bits voters = 0;
  Bits readers = 0;
  std::uint8_t previousSize = 0;
  std::array<std::uint8_t, kProcesses> incarnation{};  // of its voters
};

struct ModelState {
  std::array<Process, kProcesses> processes{};
  std::array<Claimer, kClaimers> claimers{};
  std::array<Set, kEpochs> sets{};
  std::uint8_t newest = 1;  // epoch that was agreed on last
  std::uint8_t wipes = 0;
  std::uint8_t powerLosses = 0;
};

enum class Kind : std::uint8_t {
  votes,        // process a grants the claim of b
  syncs,        // process a
  releases,     // process a hears that b has given up
  givesUp,      // claimer a
  givesBack,    // claimer a
  lateRun,      // claimer a
  wiped,        // process a
  losesPower,   // process a
  joinsBeside,  // process a; only of a flaw
  replaces,     // process a takes the place of b
  joins,        // process a
  leaves,       // process a
  adopts,       // process a adopts the set of epoch b
  learns,       // claimer a learns the set of epoch b
  reads,        // process a reads the state of b
};

struct ModelStep {
  Kind kind = Kind::votes;
  std::uint8_t a = 0;
  std::uint8_t b = 0;
  bool operator==(const ModelStep&) const = default;
};

std::uint64_t mixed(std::uint64_t value) {  // splitmix64
  value += 0x9e3779b97f4a7c15U;
  value = (value ^ (value >> 30U)) * 0xbf58476d1ce4e5b9U;
  value = (value ^ (value >> 27U)) * 0x94d049bb133111ebU;
  return value ^ (value >> 31U);
}

template <class... Parts>
std::uint64_t hashed(Parts... parts) {
  std::uint64_t hash = 0;
  ((hash = mixed(hash + static_cast<std::uint64_t>(parts))), ...);
  return hash;
}

/// Who stands where: the old number at each new one.
struct Order {
  std::array<std::uint8_t, kProcesses> processes{};
  std::array<std::uint8_t, kClaimers> claimers{};
};

template <std::size_t N>
Bits reordered(Bits bits, const std::array<std::uint8_t, N>& order) {
  Bits result = 0;
  for (std::size_t i = 0; i < N; ++i) {
    if (has(bits, order[i])) add(result, bit(i));
  }
  return result;
}

Holder holderOf(std::size_t claimer) { return {{"c" + std::to_string(claimer)}, {1}, {claimer + 1}}; }

Address addressOf(std::size_t process) { return {"p" + std::to_string(process)}; }

/// What a voter has promised of the key, in the mesh's own class.
Promises promisesOf(Bits promised) {
  Promises promises(60s);
  for (std::size_t c = 0; c < kClaimers; ++c) {
    if (has(promised, c)) promises.learn(kNow, kKey, holderOf(c));
  }
  return promises;
}

Bits bitsOf(const Promises& promises) {
  Bits bits = 0;
  for (const auto& [key, promise] : promises.all()) add(bits, bit(promise.holder.no.value - 1));
  return bits;
}

class Model {
 public:
  using State = ModelState;
  using Step = ModelStep;
  using Names = Order;

  explicit Model(const VoterSetSearch& search)
      : search_(search), flaw_(search.flaw), quorum_(search.voters / 2 + 1) {}

  State first() const {
    State state;
    Set& set = state.sets[1];
    for (std::size_t p = 0; p < search_.voters; ++p) {
      add(set.voters, bit(p));
      state.processes[p].epoch = 1;
      state.processes[p].holdsState = 1;
    }
    for (std::size_t p = 0; p < search_.voters + search_.standbys; ++p) state.processes[p].exists = 1;
    set.previousSize = static_cast<std::uint8_t>(search_.voters);
    for (std::size_t c = search_.claimers; c < kClaimers; ++c) state.claimers[c] = {Work::over, 0, 0};
    for (std::size_t c = 0; c < search_.claimers; ++c) ask(state, c);
    for (std::size_t p = 0; search_.won && p < quorum_; ++p) {
      Process& voter = state.processes[p];
      voter.promised = voter.onDisk = bit(0);
      voter.inFlight[0] = 0;
      count(state, p, 0, 1);
    }
    return state;
  }

  static bool broken(const State& state) {
    std::size_t running = 0;
    for (const Claimer& claimer : state.claimers)
      running += claimer.work == Work::won || claimer.work == Work::freedButMayRun;
    return running > 1;
  }

  template <class Visit>
  void forEachStep(const State& state, Visit&& visit) const {
    const auto step = [&](Kind kind, std::size_t a, std::size_t b, auto&& change) {
      State next = state;
      if (!change(next)) return;
      visit(Step{kind, static_cast<std::uint8_t>(a), static_cast<std::uint8_t>(b)}, next);
    };
    for (std::size_t c = 0; c < kClaimers; ++c) claimerSteps(state, c, step);
    for (std::size_t p = 0; p < kProcesses; ++p) {
      if (!state.processes[p].exists) continue;
      processSteps(state, p, step);
      recoverySteps(state, p, step);
    }
    changeSteps(state, step);
  }

  static void canonical(State& state) {
    const Order order = orderOf(state);
    State result = state;
    for (std::size_t p = 0; p < kProcesses; ++p) {
      const Process& from = state.processes[order.processes[p]];
      Process& to = result.processes[p];
      to = from;
      to.promised = reordered(from.promised, order.claimers);
      to.onDisk = reordered(from.onDisk, order.claimers);
      to.owedVotes = reordered(from.owedVotes, order.claimers);
      to.readFrom = reordered(from.readFrom, order.processes);
      for (std::size_t c = 0; c < kClaimers; ++c) to.inFlight[c] = from.inFlight[order.claimers[c]];
    }
    for (std::size_t c = 0; c < kClaimers; ++c) {
      result.claimers[c] = state.claimers[order.claimers[c]];
      result.claimers[c].votes = reordered(result.claimers[c].votes, order.processes);
    }
    for (std::size_t e = 0; e < kEpochs; ++e) {
      Set& to = result.sets[e];
      to.voters = reordered(to.voters, order.processes);
      to.readers = reordered(to.readers, order.processes);
      for (std::size_t p = 0; p < kProcesses; ++p)
        to.incarnation[p] = state.sets[e].incarnation[order.processes[p]];
    }
    state = result;
  }

  static Names firstNames() {
    Names names;
    std::iota(names.processes.begin(), names.processes.end(), std::uint8_t{0});
    std::iota(names.claimers.begin(), names.claimers.end(), std::uint8_t{0});
    return names;
  }

  static Names renamed(const Names& names, const State& before) {
    const Order order = orderOf(before);
    Names result;
    for (std::size_t p = 0; p < kProcesses; ++p) result.processes[p] = names.processes[order.processes[p]];
    for (std::size_t c = 0; c < kClaimers; ++c) result.claimers[c] = names.claimers[order.claimers[c]];
    return result;
  }

  static std::string describe(const Names& names, const Step& step, const State& before) {
    const auto process = [&](std::size_t p) {
      return std::string(1, static_cast<char>('A' + names.processes[p]));
    };
    const auto claim = [&](std::size_t c) { return "claim " + std::to_string(names.claimers[c] + 1); };
    const auto epoch = [](std::size_t e) { return "the set of epoch " + std::to_string(e); };
    switch (step.kind) {
      case Kind::votes:
        return process(step.a) + " votes for " + claim(step.b) + " in epoch " +
               std::to_string(before.processes[step.a].epoch);
      case Kind::syncs:
        return process(step.a) + " writes, and tells its votes";
      case Kind::releases:
        return process(step.a) + " releases " + claim(step.b);
      case Kind::givesUp:
        return claim(step.a) + " is given up";
      case Kind::givesBack:
        return claim(step.a) + " is given back after it was won";
      case Kind::lateRun:
        return claim(step.a) + " runs late";
      case Kind::wiped:
        return process(step.a) + " loses its disk";
      case Kind::losesPower:
        return process(step.a) + " loses power";
      case Kind::joinsBeside:
        return process(step.a) + " joins beside the others";
      case Kind::replaces:
        return process(step.a) + " takes the place of " + process(step.b) + " as of epoch " +
               std::to_string(before.newest + 1);
      case Kind::joins:
        return process(step.a) + " joins as of epoch " + std::to_string(before.newest + 1);
      case Kind::leaves:
        return process(step.a) + " leaves as of epoch " + std::to_string(before.newest + 1);
      case Kind::adopts:
        return process(step.a) + " adopts " + epoch(step.b);
      case Kind::learns:
        return claim(step.a) + " learns " + epoch(step.b) + " and asks anew";
      case Kind::reads:
        return process(step.a) + " reads the state of " + process(step.b);
    }
    return {};
  }

 private:
  bool writesApart() const { return search_.powerLosses > 0; }

  static bool isVoter(const State& state, std::size_t p, std::size_t epoch) {
    const Set& set = state.sets[epoch];
    return has(set.voters, p) && set.incarnation[p] == state.processes[p].incarnation;
  }

  /// Its claim is on its way to all voters of the set that it counts in.
  void ask(State& state, std::size_t c) const {
    const Claimer& claimer = state.claimers[c];
    for (std::size_t p = 0; p < kProcesses; ++p) {
      if (has(state.sets[claimer.epoch].voters, p)) add(state.processes[p].inFlight[c], bit(claimer.epoch));
    }
  }

  /// A session ended: what was on its way is lost, and open claims without this one's vote are told anew.
  static void askAgain(State& state, std::size_t p) {
    for (std::size_t c = 0; c < kClaimers; ++c) {
      const Claimer& claimer = state.claimers[c];
      const bool asks = claimer.work == Work::claiming && !has(claimer.votes, p) &&
                        has(state.sets[claimer.epoch].voters, p);
      state.processes[p].inFlight[c] = asks ? bit(claimer.epoch) : Bits{0};
    }
  }

  /// A vote of that epoch arrives; the claims' own class says whether the claim is won.
  void count(State& state, std::size_t p, std::size_t c, std::size_t /*epoch*/) const {
    Claimer& claimer = state.claimers[c];
    if (claimer.work != Work::claiming) return;
    Claims claims;
    claims.electorate(search_.voters, quorum_);
    claims.reach(search_.voters);
    const ClaimNo no = claims.open(kNow, kKey, kNow + 1s);
    for (std::size_t other = 0; other < kProcesses; ++other) {
      if (has(claimer.votes, other)) claims.vote(addressOf(other), no, true, std::nullopt);
    }
    add(claimer.votes, bit(p));
    const auto ended = claims.vote(addressOf(p), no, true, std::nullopt);
    if (!ended) return;
    claimer.work = Work::won;
    leaveNothingInFlight(state, c);
  }

  /// Of a claim that has ended nothing is told but its release. Claims that are still on their way could only
  /// add promises to those that stand.
  static void leaveNothingInFlight(State& state, std::size_t c) {
    state.claimers[c].epoch = 0;
    state.claimers[c].votes = 0;
    for (Process& process : state.processes) {
      process.inFlight[c] = 0;
      remove(process.owedVotes, bit(c));
    }
  }

  void release(State& state, std::size_t c) const {
    leaveNothingInFlight(state, c);
    // Whoever neither holds the promise nor will read it has nothing to release.
    for (Process& process : state.processes) {
      if (has(process.promised, c) || has(process.onDisk, c) || (process.epoch > 0 && !process.holdsState))
        process.inFlight[c] = kRelease;
    }
  }

  template <class Take>
  void claimerSteps(const State& state, std::size_t c, Take&& step) const {
    const Claimer& claimer = state.claimers[c];
    if (claimer.work == Work::claiming) {
      for (std::size_t e = claimer.epoch + 1U; e <= state.newest; ++e) {
        step(Kind::learns, c, e, [&](State& next) {
          next.claimers[c].epoch = static_cast<std::uint8_t>(e);
          next.claimers[c].votes = 0;
          ask(next, c);
          return true;
        });
      }
    }
    if (claimer.work == Work::claiming && search_.releases) {
      step(Kind::givesUp, c, 0, [&](State& next) {
        next.claimers[c].work = Work::over;
        release(next, c);
        return true;
      });
    }
    if (claimer.work == Work::won && (search_.releases || flaw_ == Flaw::freedTooEarly)) {
      step(Kind::givesBack, c, 0, [&](State& next) {
        next.claimers[c].work = flaw_ == Flaw::freedTooEarly ? Work::freedButMayRun : Work::over;
        release(next, c);
        return true;
      });
    }
  }

  template <class Take>
  void processSteps(const State& state, std::size_t p, Take&& step) const {
    const Process& process = state.processes[p];
    for (std::size_t c = 0; c < kClaimers; ++c) {
      if (has(process.inFlight[c], process.epoch) && mayVote(state, p)) {
        step(Kind::votes, p, c, [&](State& next) { return vote(next, p, c); });
      }
      if ((process.inFlight[c] & kRelease) != 0) {
        step(Kind::releases, p, c, [&](State& next) {
          Process& voter = next.processes[p];
          voter.inFlight[c] = 0;
          Promises promises = promisesOf(voter.promised);
          if (promises.giveBack(kKey, holderOf(c))) voter.promised = bitsOf(promises);
          if (!writesApart()) voter.onDisk = voter.promised;
          return true;
        });
      }
    }
    const bool dirty = process.promised != process.onDisk || process.owedVotes != 0;
    if (writesApart() && dirty) {
      step(Kind::syncs, p, 0, [&](State& next) {
        Process& voter = next.processes[p];
        voter.onDisk = voter.promised;
        const Bits owed = std::exchange(voter.owedVotes, Bits{0});
        for (std::size_t c = 0; c < kClaimers; ++c) {
          if (has(owed, c)) count(next, p, c, voter.epoch);
        }
        return true;
      });
    }
    if (dirty && state.powerLosses < search_.powerLosses) {
      step(Kind::losesPower, p, 0, [&](State& next) {
        Process& voter = next.processes[p];
        ++next.powerLosses;
        voter.promised = voter.onDisk;
        voter.owedVotes = 0;
        askAgain(next, p);
        return true;
      });
    }
    if (state.wipes < search_.wipes && process.epoch > 0 && isVoter(state, p, state.newest)) {
      step(Kind::wiped, p, 0, [&](State& next) {
        ++next.wipes;
        wipe(next, p);
        return true;
      });
    }
  }

  bool mayVote(const State& state, std::size_t p) const {
    const Process& process = state.processes[p];
    if (process.epoch == 0 || !isVoter(state, p, process.epoch)) return false;
    return process.holdsState || flaw_ == Flaw::votesBeforeReading;
  }

  /// A claim reaches a voter of its epoch. False: the key has another holder.
  bool vote(State& state, std::size_t p, std::size_t c) const {
    Process& voter = state.processes[p];
    Promises promises = promisesOf(voter.promised);
    if (promises.claim(kNow, kKey, holderOf(c)) != holderOf(c)) return false;
    voter.promised = bitsOf(promises);
    voter.inFlight[c] = 0;
    if (!writesApart()) voter.onDisk = voter.promised;
    if (!writesApart() || flaw_ == Flaw::voteBeforeSync) {
      count(state, p, c, voter.epoch);
    } else {
      add(voter.owedVotes, bit(c));
    }
    return true;
  }

  void wipe(State& state, std::size_t p) const {
    Process& process = state.processes[p];
    const Process before = process;
    process = {};
    process.exists = 1;
    process.incarnation = before.incarnation;
    if (flaw_ == Flaw::catchesUpInPlace) {
      process.epoch = before.epoch;
    } else {
      ++process.incarnation;
    }
    askAgain(state, p);
  }

  template <class Take>
  void recoverySteps(const State& state, std::size_t p, Take&& step) const {
    const Process& reader = state.processes[p];
    for (std::size_t e = reader.epoch + 1U; e <= state.newest; ++e) {
      if (isVoter(state, p, e)) step(Kind::adopts, p, e, [&](State& next) { return adopt(next, p, e); });
    }
    if (reader.epoch == 0 || reader.holdsState || !isVoter(state, p, reader.epoch)) return;
    for (std::size_t other = 0; other < kProcesses; ++other) {
      if (other == p || has(reader.readFrom, other) || !readable(state, p, other)) continue;
      step(Kind::reads, p, other, [&](State& next) { return read(next, p, other); });
    }
  }

  bool adopt(State& state, std::size_t p, std::size_t epoch) const {
    Process& process = state.processes[p];
    process.epoch = static_cast<std::uint8_t>(epoch);
    process.owedVotes = 0;
    process.heldBefore = process.holdsState;
    process.readFrom = 0;
    if (has(state.sets[epoch].readers, p)) process.holdsState = 0;
    return true;
  }

  bool readable(const State& state, std::size_t p, std::size_t other) const {
    const Process& reader = state.processes[p];
    const Process& from = state.processes[other];
    if (!isVoter(state, other, reader.epoch)) return false;
    if (from.epoch < reader.epoch && flaw_ != Flaw::readsBeforeFence) return false;
    return from.holdsState || from.heldBefore || flaw_ == Flaw::readsFromUnread;
  }

  bool read(State& state, std::size_t p, std::size_t other) const {
    Process& reader = state.processes[p];
    Promises promises = promisesOf(reader.promised);
    for (std::size_t c = 0; c < kClaimers; ++c) {
      if (has(state.processes[other].promised, c)) promises.learn(kNow, kKey, holderOf(c));
    }
    reader.promised = bitsOf(promises);
    add(reader.readFrom, bit(other));
    const std::size_t own = reader.heldBefore ? 1 : 0;
    const std::size_t enough = state.sets[reader.epoch].previousSize / 2U + 1U;
    if (size(reader.readFrom) + own >= enough) {
      reader.holdsState = 1;
      reader.heldBefore = 0;
      reader.readFrom = 0;
      reader.onDisk = reader.promised;
    }
    return true;
  }

  template <class Take>
  void changeSteps(const State& state, Take&& step) const {
    if (flaw_ == Flaw::setsWithoutOverlap) {
      for (std::size_t p = 0; p < kProcesses; ++p) {
        if (state.processes[p].exists && !has(state.sets[1].voters, p)) {
          step(Kind::joinsBeside, p, 0, [&](State& next) {
            add(next.sets[1].voters, bit(p));
            next.processes[p].epoch = 1;
            askAgain(next, p);
            return true;
          });
        }
      }
    }
    if (flaw_ == Flaw::catchesUpInPlace || flaw_ == Flaw::setsWithoutOverlap) return;
    if (state.newest > search_.changes || !canDecide(state)) return;
    // Sets that follow come with the model of the changes.
  }

  bool canDecide(const State& state) const {
    std::size_t able = 0;
    for (std::size_t p = 0; p < kProcesses; ++p) {
      const Process& process = state.processes[p];
      able += process.epoch == state.newest && isVoter(state, p, state.newest) && process.holdsState;
    }
    return able > size(state.sets[state.newest].voters) / 2;
  }

  /// An order that depends on what the processes and claimers are, not on their numbers, as far as cheap
  /// hashes tell.
  static Order orderOf(const State& state) {
    std::array<std::uint64_t, kProcesses> alone{};
    for (std::size_t p = 0; p < kProcesses; ++p) {
      const Process& it = state.processes[p];
      alone[p] = hashed(it.exists, it.incarnation, it.epoch, it.holdsState, it.heldBefore, size(it.readFrom));
      for (const Set& set : state.sets)
        alone[p] = hashed(alone[p], has(set.voters, p), has(set.readers, p), set.incarnation[p]);
    }
    const auto relation = [&](std::size_t p, std::size_t c) {
      const Process& it = state.processes[p];
      return hashed(has(it.promised, c), has(it.onDisk, c), has(it.owedVotes, c), it.inFlight[c],
                    has(state.claimers[c].votes, p));
    };
    std::array<std::uint64_t, kClaimers> claimers{};
    for (std::size_t c = 0; c < kClaimers; ++c) {
      for (std::size_t p = 0; p < kProcesses; ++p) claimers[c] += mixed(alone[p] ^ relation(p, c));
      claimers[c] = hashed(claimers[c], state.claimers[c].work, state.claimers[c].epoch);
    }
    std::array<std::uint64_t, kProcesses> related = alone;
    for (std::size_t p = 0; p < kProcesses; ++p) {
      for (std::size_t c = 0; c < kClaimers; ++c) related[p] += mixed(claimers[c] ^ relation(p, c));
    }
    std::array<std::uint64_t, kProcesses> whole = related;
    for (std::size_t p = 0; p < kProcesses; ++p) {
      for (std::size_t other = 0; other < kProcesses; ++other) {
        if (!has(state.processes[p].readFrom, other)) continue;
        whole[p] += mixed(related[other] + 1);
        whole[other] += mixed(related[p] + 2);
      }
    }
    Order order = firstNames();
    std::sort(order.processes.begin(), order.processes.end(),
              [&](auto a, auto b) { return whole[a] != whole[b] ? whole[a] < whole[b] : a < b; });
    std::sort(order.claimers.begin(), order.claimers.end(),
              [&](auto a, auto b) { return claimers[a] != claimers[b] ? claimers[a] < claimers[b] : a < b; });
    return order;
  }

  VoterSetSearch search_;
  Flaw flaw_;
  std::size_t quorum_;
};

}  // namespace

SearchResult explore(const VoterSetSearch& search) {
  const Model model(search);
  return StateSearch<Model>(model, search.depth, search.mostStates).run(model.first());
}

}  // namespace rackroute::lab::mesh
