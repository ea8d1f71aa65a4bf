#include "lab/mesh/voter_set_explorer.hpp"

#include <algorithm>
#include <cstddef>
#include <utility>

#include "lab/mesh/voter_set_state.hpp"
#include "mesh/claims/claims.hpp"
#include "mesh/control/voter_set.hpp"

namespace rackroute::lab::mesh {
namespace {

using namespace std::chrono_literals;
using namespace rackroute::mesh;
using namespace voter_set_model;
using Flaw = VoterSetFlaw;

class Model {
 public:
  using State = ModelState;
  using Step = ModelStep;
  using Names = Renumbering;

  explicit Model(const VoterSetSearch& search)
      : search_(search), flaw_(search.flaw), quorum_(search.voters / 2 + 1) {}

  State initialState() const {
    State state;
    Set& set = state.sets[1];
    for (std::size_t p = 0; p < search_.voters; ++p) {
      add(set.voters, bit(p));
      state.processes[p].epoch = state.processes[p].epochOnDisk = 1;
      state.processes[p].holdsState = 1;
    }
    for (std::size_t p = 0; p < search_.voters + search_.standbys; ++p) state.processes[p].exists = 1;
    set.previousSize = static_cast<std::uint8_t>(search_.voters);
    for (std::size_t c = search_.claimers; c < kClaimers; ++c) state.claimers[c] = {ClaimState::ended, 0, 0};
    for (std::size_t c = 0; c < search_.claimers; ++c) sendClaim(state, c);
    for (std::size_t p = 0; search_.won && p < quorum_; ++p) grantInitialVote(state, p, 1);
    if (search_.wonWithStaleVoter) grantFirstClaimInSecondEpoch(state);
    return state;
  }

  bool violates(const State& state) const {
    if (search_.targetWonInEpoch != 0) {
      return std::any_of(state.claimers.begin(), state.claimers.end(), [&](const Claimer& claimer) {
        return claimer.state == ClaimState::won && claimer.epoch == search_.targetWonInEpoch;
      });
    }
    std::size_t running = 0;
    for (const Claimer& claimer : state.claimers)
      running += claimer.state == ClaimState::won || claimer.state == ClaimState::releasedMayStillRun;
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

  static void canonicalize(State& state) { voter_set_model::canonicalize(state); }
  static Names initialNames() { return voter_set_model::initialNames(); }
  static Names renamed(const Names& names, const State& before) {
    return voter_set_model::renamed(names, before);
  }
  static std::string describe(const Names& names, const Step& step, const State& before) {
    return voter_set_model::describe(names, step, before);
  }

 private:
  bool writesAreSteps() const { return search_.powerLosses > 0; }

  static bool isVoter(const State& state, std::size_t p, std::size_t epoch) {
    const Set& set = state.sets[epoch];
    return has(set.voters, p) && set.incarnation[p] == state.processes[p].incarnation;
  }

  /// Sends the claim to all voters of the claimer's set.
  void sendClaim(State& state, std::size_t c) const {
    const Claimer& claimer = state.claimers[c];
    for (std::size_t p = 0; p < kProcesses; ++p) {
      if (has(state.sets[claimer.epoch].voters, p)) add(state.processes[p].inFlight[c], bit(claimer.epoch));
    }
  }

  /// Ends the sessions of a process: messages in flight to it are lost; claims without its vote are resent.
  static void resendClaims(State& state, std::size_t p) {
    for (std::size_t c = 0; c < kClaimers; ++c) {
      const Claimer& claimer = state.claimers[c];
      const bool resend = claimer.state == ClaimState::claiming && !has(claimer.votes, p) &&
                          has(state.sets[claimer.epoch].voters, p);
      state.processes[p].inFlight[c] = resend ? bit(claimer.epoch) : Bits{0};
    }
  }

  void grantInitialVote(State& state, std::size_t p, std::size_t epoch) const {
    state.processes[p].promised = state.processes[p].onDisk = bit(0);
    state.processes[p].inFlight[0] = 0;
    count(state, p, 0, epoch);
  }

  /// The first standby has replaced the first voter, which has not learned of it. All others have adopted the
  /// new set, and a majority of them have voted for the first claimer in that epoch.
  void grantFirstClaimInSecondEpoch(State& state) const {
    const std::size_t joiner = search_.voters;
    const VoterSet set = voterSetOf(state.sets[1], 1);
    state.sets[2] = packed(withReplacement(set, identityOf(state, 0), identityOf(state, joiner)));
    state.newest = 2;
    for (std::size_t p = 1; p <= joiner; ++p) {
      state.processes[p].epoch = state.processes[p].epochOnDisk = 2;
      state.processes[p].holdsState = 1;
    }
    learn(state, 0, 2);
    for (std::size_t p = joiner; p > joiner - quorum_; --p) grantInitialVote(state, p, 2);
  }

  /// The set whose votes a claimer counts.
  VoterSet countingSetOf(const State& state, std::size_t c) const {
    const Claimer& claimer = state.claimers[c];
    VoterSet set = voterSetOf(state.sets[claimer.epoch], claimer.epoch);
    if (flaw_ == Flaw::setsWithoutOverlap) {
      // Any votes count towards a majority of the size of the first set.
      std::stable_partition(set.voters.begin(), set.voters.end(),
                            [&](const VoterId& voter) { return has(claimer.votes, processOf(voter)); });
      set.voters.resize(search_.voters);
    }
    return set;
  }

  /// Delivers a vote of an epoch to a claimer; Claims decides whether it counts and wins the claim.
  void count(State& state, std::size_t p, std::size_t c, std::size_t epoch) const {
    Claimer& claimer = state.claimers[c];
    if (claimer.state != ClaimState::claiming) return;
    const Bits before = claimer.votes;
    const VoterId voter = voterId(p, state.processes[p].incarnation);
    if (flaw_ == Flaw::setsWithoutOverlap) add(claimer.votes, bit(p));
    const VoterSet set = countingSetOf(state, c);
    Claims claims;
    claims.setVoters(set);
    const ClaimNo no = claims.open(kNow, claimedKey(), kNow + 1s);
    for (const VoterId& earlier : set.voters) {
      if (has(before, processOf(earlier))) claims.vote(earlier, set.epoch, no, true, std::nullopt);
    }
    const auto ended = claims.vote(voter, {epoch}, no, true, std::nullopt);
    if (ended && ended->won) {
      claimer.state = ClaimState::won;
      clearInFlight(state, c);
      if (search_.targetWonInEpoch != 0) claimer.epoch = static_cast<std::uint8_t>(epoch);
    } else if (claims.openWithoutVoteOf(voter).empty()) {
      add(claimer.votes, bit(p));
    }
  }

  /// Delivers a newer set to a claimer; Claims decides which votes it still counts.
  void learn(State& state, std::size_t c, std::size_t epoch) const {
    Claimer& claimer = state.claimers[c];
    const VoterSet before = countingSetOf(state, c);
    const VoterSet after = voterSetOf(state.sets[epoch], epoch);
    Claims claims;
    claims.setVoters(before);
    const ClaimNo no = claims.open(kNow, claimedKey(), kNow + 1s);
    for (const VoterId& voter : before.voters) {
      if (has(claimer.votes, processOf(voter))) claims.vote(voter, before.epoch, no, true, std::nullopt);
    }
    claims.setVoters(after);
    Bits counted = 0;
    for (const VoterId& voter : after.voters) {
      const bool reuses = flaw_ == Flaw::mixesEpochs && before.find(voter.at) != nullptr;
      if (claims.openWithoutVoteOf(voter).empty() || (reuses && has(claimer.votes, processOf(voter))))
        add(counted, bit(processOf(voter)));
    }
    claimer.epoch = static_cast<std::uint8_t>(epoch);
    claimer.votes = counted;
    sendClaim(state, c);
  }

  /// Drops the claims in flight and the pending votes of a claim that has ended. Delivering them could only
  /// add promises to the existing ones.
  static void clearInFlight(State& state, std::size_t c) {
    state.claimers[c].epoch = 0;
    state.claimers[c].votes = 0;
    for (Process& process : state.processes) {
      process.inFlight[c] = 0;
      remove(process.pendingVotes, bit(c));
    }
  }

  void release(State& state, std::size_t c) const {
    clearInFlight(state, c);
    // Processes that neither hold the promise nor may read it have nothing to release.
    for (Process& process : state.processes) {
      if (has(process.promised, c) || has(process.onDisk, c) || (process.epoch > 0 && !process.holdsState))
        process.inFlight[c] = kRelease;
    }
  }

  template <class AddStep>
  void claimerSteps(const State& state, std::size_t c, AddStep&& step) const {
    const Claimer& claimer = state.claimers[c];
    if (claimer.state == ClaimState::claiming) {
      for (std::size_t e = claimer.epoch + 1U; e <= state.newest; ++e) {
        step(Kind::learns, c, e, [&](State& next) {
          learn(next, c, e);
          return true;
        });
      }
    }
    if (claimer.state == ClaimState::claiming && search_.releases) {
      step(Kind::abandons, c, 0, [&](State& next) {
        next.claimers[c].state = ClaimState::ended;
        release(next, c);
        return true;
      });
    }
    if (claimer.state == ClaimState::won && (search_.releases || flaw_ == Flaw::releasedTooEarly)) {
      step(Kind::releasesWon, c, 0, [&](State& next) {
        next.claimers[c].state =
            flaw_ == Flaw::releasedTooEarly ? ClaimState::releasedMayStillRun : ClaimState::ended;
        release(next, c);
        return true;
      });
    }
  }

  template <class AddStep>
  void processSteps(const State& state, std::size_t p, AddStep&& step) const {
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
          if (promises.release(claimedKey(), holderOf(c)))
            voter.promised = flaw_ == Flaw::releaseDropsAllHolders ? Bits{0} : bitsOf(promises);
          if (!writesAreSteps()) voter.onDisk = voter.promised;
          return true;
        });
      }
    }
    const bool dirty = process.promised != process.onDisk || process.pendingVotes != 0 ||
                       process.epoch != process.epochOnDisk;
    const bool isReading = process.epoch > 0 && !process.holdsState;
    if (writesAreSteps() && dirty) {
      step(Kind::syncs, p, 0, [&](State& next) {
        Process& voter = next.processes[p];
        voter.onDisk = voter.promised;
        voter.epochOnDisk = voter.epoch;
        const Bits pending = std::exchange(voter.pendingVotes, Bits{0});
        for (std::size_t c = 0; c < kClaimers; ++c) {
          if (has(pending, c)) count(next, p, c, voter.epoch);
        }
        return true;
      });
    }
    if ((dirty || isReading) && state.powerLosses < search_.powerLosses) {
      step(Kind::losesPower, p, 0, [&](State& next) {
        Process& voter = next.processes[p];
        ++next.powerLosses;
        voter.promised = voter.onDisk;
        voter.pendingVotes = 0;
        voter.epoch = voter.epochOnDisk;
        voter.readFrom = 0;  // state that was read is kept in memory only
        if (flaw_ == Flaw::restartSkipsReading) voter.holdsState = 1;
        resendClaims(next, p);
        return true;
      });
    }
    if (state.wipes < search_.wipes && process.epoch > 0 && isVoter(state, p, state.newest)) {
      step(Kind::wiped, p, 0, [&](State& next) {
        ++next.wipes;
        loseDisk(next, p);
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

  /// Delivers a claim to a voter. Returns false if the key has another holder.
  bool vote(State& state, std::size_t p, std::size_t c, std::size_t epoch) const {
    Process& voter = state.processes[p];
    Promises promises = promisesOf(voter.promised);
    if (promises.claim(kNow, claimedKey(), holderOf(c)) != holderOf(c)) return false;
    voter.promised = bitsOf(promises);
    // Claims of earlier epochs precede this one in the session.
    remove(voter.inFlight[c], static_cast<Bits>((2U << epoch) - 1U));
    if (!writesAreSteps()) voter.onDisk = voter.promised;
    if (!writesAreSteps() || flaw_ == Flaw::voteBeforeSync) {
      count(state, p, c, epoch);
    } else {
      add(voter.pendingVotes, bit(c));
    }
    return true;
  }

  void loseDisk(State& state, std::size_t p) const {
    Process& process = state.processes[p];
    const Process before = process;
    process = {};
    process.exists = 1;
    process.incarnation = before.incarnation;
    if (flaw_ == Flaw::reusesIncarnation) {
      process.epoch = process.epochOnDisk = before.epoch;
    } else {
      ++process.incarnation;
    }
    resendClaims(state, p);
  }

  template <class AddStep>
  void recoverySteps(const State& state, std::size_t p, AddStep&& step) const {
    const Process& reader = state.processes[p];
    for (std::size_t e = reader.epoch + 1U; e <= state.newest; ++e) {
      const bool stays = isVoter(state, p, e);
      if (!stays && !(search_.rejoins && isVoter(state, p, reader.epoch))) continue;
      step(Kind::adopts, p, e, [&](State& next) {
        stays ? adopt(next, p, e) : removeFromSet(next, p, e);
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
    const bool heldState = process.holdsState;
    process.epoch = static_cast<std::uint8_t>(epoch);
    if (flaw_ != Flaw::fenceBeforeSync) process.epochOnDisk = process.epoch;
    process.pendingVotes = 0;  // they belong to an earlier epoch
    process.heldStateBefore = 0;
    process.readFrom = 0;
    const Set& set = state.sets[epoch];
    const bool shrank = size(set.voters) < set.previousSize;
    bool reads = has(set.readers, p);
    if (shrank && flaw_ == Flaw::removalSkipsReading) reads = false;
    // The process may have been removed and added again in the sets that it skipped.
    if (skips && flaw_ != Flaw::skippedEpochsSkipReading) reads = true;
    if (!reads) return;
    process.holdsState = 0;
    process.heldStateBefore = shrank && heldState && !skips;
  }

  /// The process learns that it was removed: it drops its promises and gets a new incarnation.
  void removeFromSet(State& state, std::size_t p, std::size_t epoch) const {
    Process& process = state.processes[p];
    const std::uint8_t incarnation = process.incarnation;
    process = {};
    process.exists = 1;
    process.incarnation = static_cast<std::uint8_t>(incarnation + 1);
    process.epoch = process.epochOnDisk = static_cast<std::uint8_t>(epoch);
    resendClaims(state, p);
  }

  bool readable(const State& state, std::size_t p, std::size_t other) const {
    const Process& reader = state.processes[p];
    const Process& from = state.processes[other];
    if (!isVoter(state, other, reader.epoch)) return false;
    if (from.epoch < reader.epoch && flaw_ != Flaw::readsBeforeFence) return false;
    if (flaw_ == Flaw::readsFromIncompleteVoter) return true;
    return from.holdsState || from.heldStateBefore;
  }

  bool read(State& state, std::size_t p, std::size_t other) const {
    Process& reader = state.processes[p];
    Promises promises = promisesOf(reader.promised);
    for (std::size_t c = 0; c < kClaimers; ++c) {
      if (!has(state.processes[other].promised, c)) continue;
      if (flaw_ == Flaw::firstHolderOnly && !promises.all().empty()) continue;
      promises.learn(kNow, claimedKey(), holderOf(c));
    }
    reader.promised = bitsOf(promises);
    add(reader.readFrom, bit(other));
    const std::size_t own = reader.heldStateBefore ? 1 : 0;
    const VoterSet set = voterSetOf(state.sets[reader.epoch], reader.epoch);
    if (size(reader.readFrom) + own >= set.readQuorum()) {
      reader.holdsState = 1;
      reader.heldStateBefore = 0;
      reader.readFrom = 0;
      reader.onDisk = reader.promised;
    }
    return true;
  }

  template <class AddStep>
  void changeSteps(const State& state, AddStep&& step) const {
    if (flaw_ == Flaw::setsWithoutOverlap) {
      for (std::size_t p = 0; p < kProcesses; ++p) {
        if (state.processes[p].exists && !has(state.sets[1].voters, p)) {
          step(Kind::joinsWithoutEpoch, p, 0, [&](State& next) {
            add(next.sets[1].voters, bit(p));
            next.processes[p].epoch = next.processes[p].epochOnDisk = 1;
            resendClaims(next, p);
            return true;
          });
        }
      }
    }
    if (state.newest > search_.changes || !canDecide(state)) return;
    const VoterSet set = voterSetOf(state.sets[state.newest], state.newest);
    const auto decide = [&](Kind kind, std::size_t a, std::size_t b, const VoterSet& successor) {
      step(kind, a, b, [&](State& next) {
        if (!isSingleStep(set, successor)) return false;
        ++next.newest;
        next.sets[next.newest] = packed(successor);
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
      if (search_.removals && set.voters.size() > kMinVoters)
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
    const auto wasVoter = [&](const Set& set) { return has(set.voters, p); };
    return search_.rejoins || std::none_of(state.sets.begin(), state.sets.end(), wasVoter);
  }

  bool canDecide(const State& state) const {
    std::size_t voting = 0;
    for (std::size_t p = 0; p < kProcesses; ++p) {
      const Process& process = state.processes[p];
      voting += process.epoch == state.newest && isVoter(state, p, state.newest) && process.holdsState;
    }
    return voting > size(state.sets[state.newest].voters) / 2;
  }

  VoterSetSearch search_;
  Flaw flaw_;
  std::size_t quorum_;
};

}  // namespace

SearchResult explore(const VoterSetSearch& search) {
  const Model model(search);
  return StateSearch<Model>(model, search.depth, search.maxStates).run(model.initialState());
}

}  // namespace rackroute::lab::mesh
