#include "lab/mesh/voter_set_explorer.hpp"

#include <algorithm>
#include <array>
#include <bit>
#include <cstddef>
#include <numeric>
#include <utility>

#include "mesh/claims/claims.hpp"
#include "mesh/control/voter_set.hpp"

namespace rackroute::lab::mesh {
namespace {

using namespace std::chrono_literals;
using namespace rackroute::mesh;
using Flaw = VoterSetFlaw;
using Bits = std::uint8_t;  // a set of processes, claimers or epochs, by number

constexpr std::size_t kProcesses = 8;  // voters and standbys; fits Bits
constexpr std::size_t kClaimers = 3;
constexpr std::size_t kEpochs = 5;        // 0: none is known; 1: the first set
constexpr std::size_t kFewestVoters = 3;  // a set does not shrink below
constexpr Bits kRelease = 0x80;           // in Process::inFlight, beside the epochs
constexpr Span kNow = 1s;                 // nothing here goes by time
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
  std::uint8_t epochOnDisk = 0;  // the same, of its disk; else it is not told before it is written
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

VoterId voterId(std::size_t process, std::uint8_t incarnation) {
  return {{std::string(1, static_cast<char>('0' + process))}, {incarnation + 1U}};
}
std::size_t processOf(const VoterId& voter) { return static_cast<std::size_t>(voter.at.value.front() - '0'); }

VoterSet voterSetOf(const Set& set, std::size_t epoch) {
  VoterSet result;
  result.epoch = {epoch};
  result.previousSize = set.previousSize;
  for (std::size_t p = 0; p < kProcesses; ++p) {
    if (!has(set.voters, p)) continue;
    result.voters.push_back(voterId(p, set.incarnation[p]));
    if (has(set.readers, p)) result.readers.push_back(result.voters.back());
  }
  return result;
}

Set packed(const VoterSet& set) {
  Set result;
  result.previousSize = static_cast<std::uint8_t>(set.previousSize);
  for (const VoterId& voter : set.voters) {
    const std::size_t p = processOf(voter);
    add(result.voters, bit(p));
    if (set.mustRead(voter)) add(result.readers, bit(p));
    result.incarnation[p] = static_cast<std::uint8_t>(voter.incarnation.value - 1);
  }
  return result;
}

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
  for (const Holder& holder : promises.holders(kKey)) add(bits, bit(holder.no.value - 1));
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
      state.processes[p].epoch = state.processes[p].epochOnDisk = 1;
      state.processes[p].holdsState = 1;
    }
    for (std::size_t p = 0; p < search_.voters + search_.standbys; ++p) state.processes[p].exists = 1;
    set.previousSize = static_cast<std::uint8_t>(search_.voters);
    for (std::size_t c = search_.claimers; c < kClaimers; ++c) state.claimers[c] = {Work::over, 0, 0};
    for (std::size_t c = 0; c < search_.claimers; ++c) ask(state, c);
    for (std::size_t p = 0; search_.won && p < quorum_; ++p) voteAtBeginning(state, p, 1);
    if (search_.wonUnheard) winUnheard(state);
    return state;
  }

  bool broken(const State& state) const {
    if (search_.wonInEpoch != 0) {
      return std::any_of(state.claimers.begin(), state.claimers.end(), [&](const Claimer& claimer) {
        return claimer.work == Work::won && claimer.epoch == search_.wonInEpoch;
      });
    }
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
        return process(step.a) + " votes for " + claim(step.b % kClaimers) + " in epoch " +
               std::to_string(step.b / kClaimers);
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

  void voteAtBeginning(State& state, std::size_t p, std::size_t epoch) const {
    state.processes[p].promised = state.processes[p].onDisk = bit(0);
    state.processes[p].inFlight[0] = 0;
    count(state, p, 0, epoch);
  }

  /// The first standby took the place of the first voter, which has not heard of it yet; all others have, and
  /// as many of them as make a majority gave the first claimer their votes in that epoch.
  void winUnheard(State& state) const {
    const std::size_t joiner = search_.voters;
    const VoterSet set = voterSetOf(state.sets[1], 1);
    state.sets[2] = packed(withReplacement(set, identityOf(state, 0), identityOf(state, joiner)));
    state.newest = 2;
    for (std::size_t p = 1; p <= joiner; ++p) {
      state.processes[p].epoch = state.processes[p].epochOnDisk = 2;
      state.processes[p].holdsState = 1;
    }
    learn(state, 0, 2);
    for (std::size_t p = joiner; p > joiner - quorum_; --p) voteAtBeginning(state, p, 2);
  }

  /// The set in which a claimer counts.
  VoterSet electorateOf(const State& state, std::size_t c) const {
    const Claimer& claimer = state.claimers[c];
    VoterSet set = voterSetOf(state.sets[claimer.epoch], claimer.epoch);
    if (flaw_ == Flaw::setsWithoutOverlap) {
      // Whoever votes counts towards a majority of the founders' number.
      std::stable_partition(set.voters.begin(), set.voters.end(),
                            [&](const VoterId& voter) { return has(claimer.votes, processOf(voter)); });
      set.voters.resize(search_.voters);
    }
    return set;
  }

  /// A vote of that epoch arrives; the claims' own class says whether it counts and the claim is won.
  void count(State& state, std::size_t p, std::size_t c, std::size_t epoch) const {
    Claimer& claimer = state.claimers[c];
    if (claimer.work != Work::claiming) return;
    const Bits before = claimer.votes;
    const VoterId voter = voterId(p, state.processes[p].incarnation);
    if (flaw_ == Flaw::setsWithoutOverlap) add(claimer.votes, bit(p));
    const VoterSet set = electorateOf(state, c);
    Claims claims;
    claims.electorate(set);
    const ClaimNo no = claims.open(kNow, kKey, kNow + 1s);
    for (const VoterId& earlier : set.voters) {
      if (has(before, processOf(earlier))) claims.vote(earlier, set.epoch, no, true, std::nullopt);
    }
    const auto ended = claims.vote(voter, {epoch}, no, true, std::nullopt);
    if (ended && ended->won) {
      claimer.work = Work::won;
      leaveNothingInFlight(state, c);
      if (search_.wonInEpoch != 0) claimer.epoch = static_cast<std::uint8_t>(epoch);
    } else if (claims.without(voter).empty()) {
      add(claimer.votes, bit(p));
    }
  }

  /// A claimer learns a newer set; the claims' own class says which votes it still counts.
  void learn(State& state, std::size_t c, std::size_t epoch) const {
    Claimer& claimer = state.claimers[c];
    const VoterSet before = electorateOf(state, c);
    const VoterSet after = voterSetOf(state.sets[epoch], epoch);
    Claims claims;
    claims.electorate(before);
    const ClaimNo no = claims.open(kNow, kKey, kNow + 1s);
    for (const VoterId& voter : before.voters) {
      if (has(claimer.votes, processOf(voter))) claims.vote(voter, before.epoch, no, true, std::nullopt);
    }
    claims.electorate(after);
    Bits kept = 0;
    for (const VoterId& voter : after.voters) {
      const bool mixed = flaw_ == Flaw::epochsMixed && before.find(voter.at) != nullptr;
      if (claims.without(voter).empty() || (mixed && has(claimer.votes, processOf(voter))))
        add(kept, bit(processOf(voter)));
    }
    claimer.epoch = static_cast<std::uint8_t>(epoch);
    claimer.votes = kept;
    ask(state, c);
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
          learn(next, c, e);
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
      for (std::size_t e = 1; e <= process.epoch; ++e) {
        if (!has(process.inFlight[c], e) || !mayVote(state, p, e)) continue;
        step(Kind::votes, p, c + kClaimers * e, [&](State& next) { return vote(next, p, c, e); });
      }
      if ((process.inFlight[c] & kRelease) != 0) {
        step(Kind::releases, p, c, [&](State& next) {
          Process& voter = next.processes[p];
          voter.inFlight[c] = 0;
          Promises promises = promisesOf(voter.promised);
          if (promises.giveBack(kKey, holderOf(c)))
            voter.promised = flaw_ == Flaw::releaseFreesKey ? Bits{0} : bitsOf(promises);
          if (!writesApart()) voter.onDisk = voter.promised;
          return true;
        });
      }
    }
    const bool dirty =
        process.promised != process.onDisk || process.owedVotes != 0 || process.epoch != process.epochOnDisk;
    const bool isReading = process.epoch > 0 && !process.holdsState;
    if (writesApart() && dirty) {
      step(Kind::syncs, p, 0, [&](State& next) {
        Process& voter = next.processes[p];
        voter.onDisk = voter.promised;
        voter.epochOnDisk = voter.epoch;
        const Bits owed = std::exchange(voter.owedVotes, Bits{0});
        for (std::size_t c = 0; c < kClaimers; ++c) {
          if (has(owed, c)) count(next, p, c, voter.epoch);
        }
        return true;
      });
    }
    if ((dirty || isReading) && state.powerLosses < search_.powerLosses) {
      step(Kind::losesPower, p, 0, [&](State& next) {
        Process& voter = next.processes[p];
        ++next.powerLosses;
        voter.promised = voter.onDisk;
        voter.owedVotes = 0;
        voter.epoch = voter.epochOnDisk;
        voter.readFrom = 0;  // what it had read is lost, too
        if (flaw_ == Flaw::restartForgetsReading) voter.holdsState = 1;
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

  bool mayVote(const State& state, std::size_t p, std::size_t epoch) const {
    const Process& process = state.processes[p];
    if (!isVoter(state, p, epoch)) return false;
    if (epoch != process.epoch && flaw_ != Flaw::votesInPastEpochs) return false;
    return process.holdsState || flaw_ == Flaw::votesBeforeReading;
  }

  /// A claim reaches a voter of its epoch. False: the key has another holder.
  bool vote(State& state, std::size_t p, std::size_t c, std::size_t epoch) const {
    Process& voter = state.processes[p];
    Promises promises = promisesOf(voter.promised);
    if (promises.claim(kNow, kKey, holderOf(c)) != holderOf(c)) return false;
    voter.promised = bitsOf(promises);
    remove(voter.inFlight[c], static_cast<Bits>((2U << epoch) - 1U));  // earlier ones came before it
    if (!writesApart()) voter.onDisk = voter.promised;
    if (!writesApart() || flaw_ == Flaw::voteBeforeSync) {
      count(state, p, c, epoch);
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
    if (flaw_ == Flaw::incarnationsMixed) {
      process.epoch = process.epochOnDisk = before.epoch;  // and it reads, and votes, as who it was
    } else {
      ++process.incarnation;
    }
    askAgain(state, p);
  }

  template <class Take>
  void recoverySteps(const State& state, std::size_t p, Take&& step) const {
    const Process& reader = state.processes[p];
    for (std::size_t e = reader.epoch + 1U; e <= state.newest; ++e) {
      const bool stays = isVoter(state, p, e);
      if (!stays && !(search_.rejoins && isVoter(state, p, reader.epoch))) continue;
      step(Kind::adopts, p, e, [&](State& next) {
        stays ? adopt(next, p, e) : putOut(next, p, e);
        return true;
      });
    }
    if (reader.epoch == 0 || reader.holdsState || !isVoter(state, p, reader.epoch)) return;
    for (std::size_t other = 0; other < kProcesses; ++other) {
      if (other == p || has(reader.readFrom, other) || !readable(state, p, other)) continue;
      step(Kind::reads, p, other, [&](State& next) { return read(next, p, other); });
    }
  }

  void adopt(State& state, std::size_t p, std::size_t epoch) const {
    Process& process = state.processes[p];
    const bool skips = process.epoch != 0 && process.epoch + 1U < epoch;
    const bool held = process.holdsState;
    process.epoch = static_cast<std::uint8_t>(epoch);
    if (flaw_ != Flaw::fenceBeforeSync) process.epochOnDisk = process.epoch;
    process.owedVotes = 0;  // told late they would be of an epoch in which it votes no more
    process.heldBefore = 0;
    process.readFrom = 0;
    const Set& set = state.sets[epoch];
    const bool shrank = size(set.voters) < set.previousSize;
    bool reads = has(set.readers, p);
    if (shrank && flaw_ == Flaw::shrinksWithoutReading) reads = false;
    // Guards against a process that was put out and joined again in sets that it never heard of.
    if (skips && flaw_ != Flaw::skipsEpochsUnread) reads = true;
    if (!reads) return;
    process.holdsState = 0;
    process.heldBefore = shrank && held && !skips;
  }

  /// It learns that it was put out: it forgets what it promised, and may join under another incarnation.
  void putOut(State& state, std::size_t p, std::size_t epoch) const {
    Process& process = state.processes[p];
    const std::uint8_t incarnation = process.incarnation;
    process = {};
    process.exists = 1;
    process.incarnation = static_cast<std::uint8_t>(incarnation + 1);
    process.epoch = process.epochOnDisk = static_cast<std::uint8_t>(epoch);
    askAgain(state, p);
  }

  bool readable(const State& state, std::size_t p, std::size_t other) const {
    const Process& reader = state.processes[p];
    const Process& from = state.processes[other];
    if (!isVoter(state, other, reader.epoch)) return false;
    if (from.epoch < reader.epoch && flaw_ != Flaw::readsBeforeFence) return false;
    if (flaw_ == Flaw::readsFromUnread) return true;
    return from.holdsState || from.heldBefore;
  }

  bool read(State& state, std::size_t p, std::size_t other) const {
    Process& reader = state.processes[p];
    Promises promises = promisesOf(reader.promised);
    for (std::size_t c = 0; c < kClaimers; ++c) {
      if (!has(state.processes[other].promised, c)) continue;
      if (flaw_ == Flaw::firstHolderOnly && !promises.all().empty()) continue;
      promises.learn(kNow, kKey, holderOf(c));
    }
    reader.promised = bitsOf(promises);
    add(reader.readFrom, bit(other));
    const std::size_t own = reader.heldBefore ? 1 : 0;
    const VoterSet set = voterSetOf(state.sets[reader.epoch], reader.epoch);
    if (size(reader.readFrom) + own >= set.readQuorum()) {
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
            next.processes[p].epoch = next.processes[p].epochOnDisk = 1;
            askAgain(next, p);
            return true;
          });
        }
      }
    }
    if (state.newest > search_.changes || !canDecide(state)) return;
    const VoterSet set = voterSetOf(state.sets[state.newest], state.newest);
    const auto decide = [&](Kind kind, std::size_t a, std::size_t b, const VoterSet& follows) {
      step(kind, a, b, [&](State& next) {
        if (!isSingleStep(set, follows)) return false;
        ++next.newest;
        next.sets[next.newest] = packed(follows);
        return true;
      });
    };
    for (const VoterId& voter : set.voters) {
      const std::size_t p = processOf(voter);
      const bool lost = !isVoter(state, p, state.newest);
      if (lost) decide(Kind::replaces, p, p, withReplacement(set, voter, identityOf(state, p)));
      for (std::size_t q = 0; q < kProcesses; ++q) {
        if ((lost || search_.silentReplaced) && isStandby(state, q))
          decide(Kind::replaces, q, p, withReplacement(set, voter, identityOf(state, q)));
      }
      if (search_.removals && set.voters.size() > kFewestVoters)
        decide(Kind::leaves, p, p, withoutVoter(set, voter));
    }
    for (std::size_t q = 0; q < kProcesses; ++q) {
      if (search_.joins && isStandby(state, q))
        decide(Kind::joins, q, q, withVoter(set, identityOf(state, q)));
    }
  }

  static VoterId identityOf(const State& state, std::size_t p) {
    return voterId(p, state.processes[p].incarnation);
  }

  bool isStandby(const State& state, std::size_t p) const {
    if (!state.processes[p].exists || has(state.sets[state.newest].voters, p)) return false;
    const auto was = [&](const Set& set) { return has(set.voters, p); };
    return search_.rejoins || std::none_of(state.sets.begin(), state.sets.end(), was);
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
      alone[p] = hashed(it.exists, it.incarnation, it.epoch, it.epochOnDisk, it.holdsState, it.heldBefore,
                        size(it.readFrom));
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
