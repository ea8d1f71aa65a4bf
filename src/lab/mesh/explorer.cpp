#include "lab/mesh/explorer.hpp"

#include <algorithm>
#include <array>
#include <deque>
#include <unordered_map>
#include <utility>

#include "mesh/claims/claims.hpp"

namespace rackroute::lab::mesh {
namespace {

using namespace std::chrono_literals;
using namespace rackroute::mesh;

constexpr std::size_t kClaimers = 2;
constexpr Span kNow = 1s;  // nothing here goes by time
const KeyHash kKey = hashOfKey("the key");

struct Word {
  enum class Kind { claim, free, vote } kind = Kind::claim;
  ClaimNo no;
  bool granted = false;
  std::optional<Holder> holder{};
};

struct Voter {
  std::optional<Holder> memory;
  std::optional<Holder> disk;
  std::vector<std::pair<std::size_t, Word>> unsynced;  // to whom, and the vote
  bool dirty = false;
  bool blank = false;
  std::uint32_t helped = 0;  // voters that gave it what they hold, as bits
};

enum class Work { idle, claiming, won, ran, over };

struct Claimer {
  Work work = Work::idle;
  Claims claims;
  ClaimNo no;
  bool mayStillRun = false;  // only of the flaw: given back while on its way
};

struct State {
  std::vector<Voter> voters;
  std::array<Claimer, kClaimers> claimers;
  std::vector<std::array<std::deque<Word>, kClaimers>> to;    // from claimers, by voter
  std::vector<std::array<std::deque<Word>, kClaimers>> from;  // back
  unsigned wipes = 0;
  unsigned kills = 0;
  int runs = 0;
};

VoterId voterId(std::size_t voter) { return {{"v" + std::to_string(voter)}, {1}}; }

/// All of them vote, in the only epoch.
VoterSet setOf(std::size_t voters) {
  VoterSet set;
  set.epoch = {1};
  for (std::size_t v = 0; v < voters; ++v) set.voters.push_back(voterId(v));
  return set;
}

Holder holderOf(std::size_t claimer, ClaimNo no) { return {{"c" + std::to_string(claimer)}, {1}, no}; }

class Explorer {
 public:
  explicit Explorer(const Search& search)
      : flaw_(search.flaw),
        voters_(search.voters),
        quorum_(search.voters / 2 + 1),
        wipes_(search.wipes),
        kills_(search.kills),
        won_(search.won) {}

  Found run(unsigned depth) {
    State state;
    state.voters.resize(voters_);
    state.to.resize(voters_);
    state.from.resize(voters_);
    for (Claimer& claimer : state.claimers) {
      claimer.claims.setVoters(setOf(voters_));
      claimer.claims.setReachableVoters(voters_);
    }
    if (won_) winFirst(state);
    walk(state, depth);
    return std::move(found_);
  }

 private:
  static void put(std::string& text, const std::optional<Holder>& holder) {
    text += holder ? holder->at.value + std::to_string(holder->no.value) : "-";
  }
  std::string print(const State& state) const {
    std::string text;
    for (const Voter& voter : state.voters) {
      put(text, voter.memory);
      put(text, voter.disk);
      text += voter.dirty ? 'd' : '.';
      text += voter.blank ? 'b' : '.';
      text += std::to_string(voter.helped);
      for (const auto& [to, word] : voter.unsynced)
        text += std::to_string(to) + std::to_string(word.no.value) + (word.granted ? 'g' : 'r');
      text += '|';
    }
    for (std::size_t v = 0; v < voters_; ++v) {
      for (std::size_t c = 0; c < kClaimers; ++c) {
        for (const Word& word : state.to[v][c])
          text += std::to_string(static_cast<int>(word.kind)) + std::to_string(word.no.value);
        text += '>';
        for (const Word& word : state.from[v][c])
          text += std::to_string(word.no.value) + (word.granted ? 'g' : 'r');
        text += '|';
      }
    }
    for (const Claimer& claimer : state.claimers) {
      text += std::to_string(static_cast<int>(claimer.work)) + std::to_string(claimer.no.value) +
              (claimer.mayStillRun ? 'm' : '.');
      for (std::size_t v = 0; v < voters_; ++v) {
        const auto open = claimer.claims.openWithoutVoteOf(voterId(v));
        text += open.empty() ? '1' : '0';
      }
    }
    return text + std::to_string(state.wipes) + std::to_string(state.kills) + std::to_string(state.runs);
  }

  template <class Step>
  void step(const State& state, unsigned depth, std::string what, Step change) {
    if (found_.trail) return;
    State next = state;
    change(next);
    trail_.push_back(std::move(what));
    if (next.runs > 1) {
      found_.trail = trail_;
    } else {
      walk(next, depth - 1);
    }
    trail_.pop_back();
  }

  void sayAll(State& state, std::size_t c, const Word& word) const {
    for (std::size_t v = 0; v < voters_; ++v) state.to[v][c].push_back(word);
  }

  void ended(State& state, std::size_t c, const Claims::Outcome& ended) const {
    Claimer& claimer = state.claimers[c];
    if (ended.won) {
      claimer.work = Work::won;
      return;
    }
    claimer.work = Work::over;
    sayAll(state, c, {Word::Kind::free, claimer.no});
  }

  void heard(State& state, std::size_t v, std::size_t c, const Word& word) const {
    Voter& voter = state.voters[v];
    if (voter.blank && flaw_ != Flaw::blankVotes) return;
    const Holder holder = holderOf(c, word.no);
    Promises promises(60s);
    if (voter.memory) promises.learn(kNow, kKey, *voter.memory);
    if (word.kind == Word::Kind::free) {
      if (promises.release(kKey, holder)) {
        voter.memory.reset();
        voter.dirty = true;
      }
      return;
    }
    const Holder holds = promises.claim(kNow, kKey, holder);
    voter.memory = holds;
    Word vote{Word::Kind::vote, word.no, holds == holder, holds};
    if (!vote.granted || flaw_ == Flaw::voteBeforeSync) {
      state.from[v][c].push_back(vote);
      voter.dirty = voter.dirty || vote.granted;
      return;
    }
    voter.dirty = true;
    voter.unsynced.emplace_back(c, vote);
  }

  void restart(State& state, std::size_t v) const {
    Voter& voter = state.voters[v];
    voter.memory = voter.disk;
    voter.dirty = false;
    voter.unsynced.clear();
    for (std::size_t c = 0; c < kClaimers; ++c) cut(state, v, c);
  }
  // A session ends: what is on its way is lost, and open claims are told anew.
  void cut(State& state, std::size_t v, std::size_t c) const {
    state.to[v][c].clear();
    state.from[v][c].clear();
    auto& unsynced = state.voters[v].unsynced;
    unsynced.erase(
        std::remove_if(unsynced.begin(), unsynced.end(), [&](const auto& u) { return u.first == c; }),
        unsynced.end());
    for (const Claims::OpenClaim& open : state.claimers[c].claims.openWithoutVoteOf(voterId(v)))
      state.to[v][c].push_back({Word::Kind::claim, open.no});
  }

  // The first claimer's words reach the first voters, each syncs where the protocol waits for it, and votes.
  void winFirst(State& state) const {
    Claimer& first = state.claimers[0];
    first.work = Work::claiming;
    first.no = first.claims.open(kNow, kKey, kNow + 1s);
    sayAll(state, 0, {Word::Kind::claim, first.no});
    for (std::size_t v = 0; v < quorum_; ++v) {
      const Word word = state.to[v][0].front();
      state.to[v][0].pop_front();
      heard(state, v, 0, word);
      Voter& voter = state.voters[v];
      if (flaw_ != Flaw::voteBeforeSync) {
        voter.disk = voter.memory;
        voter.dirty = false;
        voter.unsynced.clear();
      }
      state.from[v][0].clear();
      if (const auto end = first.claims.vote(voterId(v), {1}, first.no, true, std::nullopt))
        ended(state, 0, *end);
    }
  }

  void walk(const State& state, unsigned depth) {
    if (found_.trail || depth == 0) return;
    // Seen with as much depth left: nothing new lies beyond it.
    auto& seen = seen_[print(state)];
    if (seen >= depth) return;
    if (seen == 0) ++found_.states;
    seen = depth;
    for (std::size_t c = 0; c < kClaimers; ++c) {
      const std::string name = "claimer " + std::to_string(c);
      const Claimer& claimer = state.claimers[c];
      if (claimer.work == Work::idle) {
        step(state, depth, name + " claims", [&, c](State& next) {
          Claimer& it = next.claimers[c];
          it.work = Work::claiming;
          it.no = it.claims.open(kNow, kKey, kNow + 1s);
          sayAll(next, c, {Word::Kind::claim, it.no});
        });
      }
      if (claimer.work == Work::claiming) {
        step(state, depth, name + " gives up", [&, c](State& next) {
          for (const auto& end : next.claimers[c].claims.expire(kNow + 2s)) ended(next, c, end);
        });
      }
      if (claimer.work == Work::won) {
        step(state, depth, name + " runs", [c](State& next) {
          next.claimers[c].work = Work::ran;
          ++next.runs;
        });
        step(state, depth, name + " gives it back", [&, c](State& next) {
          next.claimers[c].work = Work::over;
          next.claimers[c].mayStillRun = flaw_ == Flaw::freedTooEarly;
          sayAll(next, c, {Word::Kind::free, next.claimers[c].no});
        });
      }
      if (claimer.mayStillRun) {
        step(state, depth, name + "'s late copy runs", [c](State& next) {
          next.claimers[c].mayStillRun = false;
          ++next.runs;
        });
      }
    }
    for (std::size_t v = 0; v < voters_; ++v) {
      const std::string name = "voter " + std::to_string(v);
      for (std::size_t c = 0; c < kClaimers; ++c) {
        if (!state.to[v][c].empty()) {
          step(state, depth, name + " hears claimer " + std::to_string(c), [&, v, c](State& next) {
            const Word word = next.to[v][c].front();
            next.to[v][c].pop_front();
            heard(next, v, c, word);
          });
        }
        if (!state.from[v][c].empty()) {
          step(state, depth, "claimer " + std::to_string(c) + " hears voter " + std::to_string(v),
               [&, v, c](State& next) {
                 const Word word = next.from[v][c].front();
                 next.from[v][c].pop_front();
                 const auto end =
                     next.claimers[c].claims.vote(voterId(v), {1}, word.no, word.granted, word.holder);
                 if (end) ended(next, c, *end);
               });
        }
        if ((!state.to[v][c].empty() || !state.from[v][c].empty()) && state.kills < kills_) {
          step(state, depth,
               "the session of claimer " + std::to_string(c) + " with voter " + std::to_string(v) + " ends",
               [&, v, c](State& next) {
                 ++next.kills;
                 cut(next, v, c);
               });
        }
      }
      if (state.voters[v].dirty) {
        step(state, depth, name + " syncs", [v](State& next) {
          Voter& voter = next.voters[v];
          voter.disk = voter.memory;
          voter.dirty = false;
          for (const auto& [to, word] : std::exchange(voter.unsynced, {})) next.from[v][to].push_back(word);
        });
        if (state.kills < kills_) {
          step(state, depth, name + " loses power", [&, v](State& next) {
            ++next.kills;
            restart(next, v);
          });
          step(state, depth, name + " loses power, its write is there", [&, v](State& next) {
            ++next.kills;
            next.voters[v].disk = next.voters[v].memory;
            restart(next, v);
          });
        }
      }
      if (state.wipes < wipes_ && (state.voters[v].memory || state.voters[v].disk)) {
        step(state, depth, name + " loses its disk", [&, v](State& next) {
          ++next.wipes;
          next.voters[v].disk.reset();
          next.voters[v].blank = true;
          next.voters[v].helped = 0;
          restart(next, v);
        });
      }
      if (!state.voters[v].blank) continue;
      for (std::size_t other = 0; other < voters_; ++other) {
        if (other == v || state.voters[other].blank || (state.voters[v].helped >> other & 1U) != 0) continue;
        step(state, depth, name + " learns from voter " + std::to_string(other), [&, v, other](State& next) {
          Voter& voter = next.voters[v];
          if (!voter.memory) voter.memory = next.voters[other].memory;
          voter.helped |= 1U << other;
          if (static_cast<std::size_t>(__builtin_popcount(voter.helped)) < voters_ - quorum_ + 1) return;
          voter.blank = false;
          voter.disk = voter.memory;
        });
      }
    }
  }

  Flaw flaw_;
  std::size_t voters_;
  std::size_t quorum_;
  unsigned wipes_;
  unsigned kills_;
  bool won_;
  Found found_;
  std::vector<std::string> trail_;
  std::unordered_map<std::string, unsigned> seen_;
};

}  // namespace

Found explore(const Search& search) { return Explorer(search).run(search.depth); }

}  // namespace rackroute::lab::mesh
