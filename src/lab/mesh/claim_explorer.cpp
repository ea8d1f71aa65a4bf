#include "lab/mesh/claim_explorer.hpp"

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
constexpr Span kNow = 1s;  // the model has no time
const KeyHash kKey = hashOfKey("the key");

struct Message {
  enum class Kind { claim, release, vote } kind = Kind::claim;
  ClaimNo no;
  bool granted = false;
  std::optional<Holder> holder{};
};

struct Voter {
  std::optional<Holder> memory;
  std::optional<Holder> disk;
  std::vector<std::pair<std::size_t, Message>> unsynced;  // claimers and the votes that wait for the sync
  bool dirty = false;
  bool wiped = false;
  std::uint32_t readFrom = 0;  // bit mask of the voters whose state was read
};

enum class ClaimState { idle, claiming, won, ran, ended };

struct Claimer {
  ClaimState state = ClaimState::idle;
  Claims claims;
  ClaimNo no;
  bool mayStillRun = false;  // released with the request in flight; only with ClaimFlaw::releasedTooEarly
};

struct State {
  std::vector<Voter> voters;
  std::array<Claimer, kClaimers> claimers;
  std::vector<std::array<std::deque<Message>, kClaimers>> toVoters;  // by voter and claimer
  std::vector<std::array<std::deque<Message>, kClaimers>> fromVoters;
  unsigned wipes = 0;
  unsigned kills = 0;
  int runs = 0;
};

VoterId voterId(std::size_t voter) { return {{"v" + std::to_string(voter)}, {1}}; }

/// The voter set of the only epoch.
VoterSet voterSetOf(std::size_t voters) {
  VoterSet set;
  set.epoch = {1};
  for (std::size_t v = 0; v < voters; ++v) set.voters.push_back(voterId(v));
  return set;
}

Holder holderOf(std::size_t claimer, ClaimNo no) { return {{"c" + std::to_string(claimer)}, {1}, no}; }

class Explorer {
 public:
  explicit Explorer(const ClaimSearch& search)
      : flaw_(search.flaw),
        voters_(search.voters),
        quorum_(search.voters / 2 + 1),
        wipes_(search.wipes),
        kills_(search.kills),
        startsWon_(search.won) {}

  ClaimSearchResult run(unsigned depth) {
    State state;
    state.voters.resize(voters_);
    state.toVoters.resize(voters_);
    state.fromVoters.resize(voters_);
    for (Claimer& claimer : state.claimers) {
      claimer.claims.setVoters(voterSetOf(voters_));
      claimer.claims.setReachableVoters(voters_);
    }
    if (startsWon_) grantFirstClaim(state);
    visit(state, depth);
    return std::move(result_);
  }

 private:
  static void append(std::string& text, const std::optional<Holder>& holder) {
    text += holder ? holder->at.value + std::to_string(holder->no.value) : "-";
  }
  std::string fingerprint(const State& state) const {
    std::string text;
    for (const Voter& voter : state.voters) {
      append(text, voter.memory);
      append(text, voter.disk);
      text += voter.dirty ? 'd' : '.';
      text += voter.wiped ? 'b' : '.';
      text += std::to_string(voter.readFrom);
      for (const auto& [to, message] : voter.unsynced)
        text += std::to_string(to) + std::to_string(message.no.value) + (message.granted ? 'g' : 'r');
      text += '|';
    }
    for (std::size_t v = 0; v < voters_; ++v) {
      for (std::size_t c = 0; c < kClaimers; ++c) {
        for (const Message& message : state.toVoters[v][c])
          text += std::to_string(static_cast<int>(message.kind)) + std::to_string(message.no.value);
        text += '>';
        for (const Message& message : state.fromVoters[v][c])
          text += std::to_string(message.no.value) + (message.granted ? 'g' : 'r');
        text += '|';
      }
    }
    for (const Claimer& claimer : state.claimers) {
      text += std::to_string(static_cast<int>(claimer.state)) + std::to_string(claimer.no.value) +
              (claimer.mayStillRun ? 'm' : '.');
      for (std::size_t v = 0; v < voters_; ++v) {
        const auto open = claimer.claims.openWithoutVoteOf(voterId(v));
        text += open.empty() ? '1' : '0';
      }
    }
    return text + std::to_string(state.wipes) + std::to_string(state.kills) + std::to_string(state.runs);
  }

  template <class Step>
  void tryStep(const State& state, unsigned depth, std::string description, Step change) {
    if (result_.trace) return;
    State next = state;
    change(next);
    trace_.push_back(std::move(description));
    if (next.runs > 1) {
      result_.trace = trace_;
    } else {
      visit(next, depth - 1);
    }
    trace_.pop_back();
  }

  void broadcast(State& state, std::size_t c, const Message& message) const {
    for (std::size_t v = 0; v < voters_; ++v) state.toVoters[v][c].push_back(message);
  }

  void closeClaim(State& state, std::size_t c, const Claims::Outcome& outcome) const {
    Claimer& claimer = state.claimers[c];
    if (outcome.won) {
      claimer.state = ClaimState::won;
      return;
    }
    claimer.state = ClaimState::ended;
    broadcast(state, c, {Message::Kind::release, claimer.no});
  }

  void deliverToVoter(State& state, std::size_t v, std::size_t c, const Message& message) const {
    Voter& voter = state.voters[v];
    if (voter.wiped && flaw_ != ClaimFlaw::wipedVoterVotes) return;
    const Holder holder = holderOf(c, message.no);
    Promises promises(60s);
    if (voter.memory) promises.learn(kNow, kKey, *voter.memory);
    if (message.kind == Message::Kind::release) {
      if (promises.release(kKey, holder)) {
        voter.memory.reset();
        voter.dirty = true;
      }
      return;
    }
    const Holder holds = promises.claim(kNow, kKey, holder);
    voter.memory = holds;
    Message vote{Message::Kind::vote, message.no, holds == holder, holds};
    if (!vote.granted || flaw_ == ClaimFlaw::voteBeforeSync) {
      state.fromVoters[v][c].push_back(vote);
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
    for (std::size_t c = 0; c < kClaimers; ++c) endSession(state, v, c);
  }
  // Ends a session: messages in flight are lost, and open claims are sent again.
  void endSession(State& state, std::size_t v, std::size_t c) const {
    state.toVoters[v][c].clear();
    state.fromVoters[v][c].clear();
    auto& unsynced = state.voters[v].unsynced;
    unsynced.erase(
        std::remove_if(unsynced.begin(), unsynced.end(), [&](const auto& u) { return u.first == c; }),
        unsynced.end());
    for (const Claims::OpenClaim& open : state.claimers[c].claims.openWithoutVoteOf(voterId(v)))
      state.toVoters[v][c].push_back({Message::Kind::claim, open.no});
  }

  // Lets a quorum of voters receive and grant the claim of the first claimer.
  void grantFirstClaim(State& state) const {
    Claimer& first = state.claimers[0];
    first.state = ClaimState::claiming;
    first.no = first.claims.open(kNow, kKey, kNow + 1s);
    broadcast(state, 0, {Message::Kind::claim, first.no});
    for (std::size_t v = 0; v < quorum_; ++v) {
      const Message message = state.toVoters[v][0].front();
      state.toVoters[v][0].pop_front();
      deliverToVoter(state, v, 0, message);
      Voter& voter = state.voters[v];
      if (flaw_ != ClaimFlaw::voteBeforeSync) {
        voter.disk = voter.memory;
        voter.dirty = false;
        voter.unsynced.clear();
      }
      state.fromVoters[v][0].clear();
      if (const auto end = first.claims.vote(voterId(v), {1}, first.no, true, std::nullopt))
        closeClaim(state, 0, *end);
    }
  }

  void visit(const State& state, unsigned depth) {
    if (result_.trace || depth == 0) return;
    // Skip states that were expanded with at least the remaining depth.
    auto& seen = visited_[fingerprint(state)];
    if (seen >= depth) return;
    if (seen == 0) ++result_.states;
    seen = depth;
    for (std::size_t c = 0; c < kClaimers; ++c) {
      const std::string name = "claimer " + std::to_string(c);
      const Claimer& claimer = state.claimers[c];
      if (claimer.state == ClaimState::idle) {
        tryStep(state, depth, name + " claims", [&, c](State& next) {
          Claimer& it = next.claimers[c];
          it.state = ClaimState::claiming;
          it.no = it.claims.open(kNow, kKey, kNow + 1s);
          broadcast(next, c, {Message::Kind::claim, it.no});
        });
      }
      if (claimer.state == ClaimState::claiming) {
        tryStep(state, depth, name + " abandons its claim", [&, c](State& next) {
          for (const auto& end : next.claimers[c].claims.expire(kNow + 2s)) closeClaim(next, c, end);
        });
      }
      if (claimer.state == ClaimState::won) {
        tryStep(state, depth, name + " runs", [c](State& next) {
          next.claimers[c].state = ClaimState::ran;
          ++next.runs;
        });
        tryStep(state, depth, name + " releases its claim", [&, c](State& next) {
          next.claimers[c].state = ClaimState::ended;
          next.claimers[c].mayStillRun = flaw_ == ClaimFlaw::releasedTooEarly;
          broadcast(next, c, {Message::Kind::release, next.claimers[c].no});
        });
      }
      if (claimer.mayStillRun) {
        tryStep(state, depth, name + "'s delayed request runs", [c](State& next) {
          next.claimers[c].mayStillRun = false;
          ++next.runs;
        });
      }
    }
    for (std::size_t v = 0; v < voters_; ++v) {
      const std::string name = "voter " + std::to_string(v);
      for (std::size_t c = 0; c < kClaimers; ++c) {
        if (!state.toVoters[v][c].empty()) {
          tryStep(state, depth, name + " receives from claimer " + std::to_string(c), [&, v, c](State& next) {
            const Message message = next.toVoters[v][c].front();
            next.toVoters[v][c].pop_front();
            deliverToVoter(next, v, c, message);
          });
        }
        if (!state.fromVoters[v][c].empty()) {
          tryStep(state, depth, "claimer " + std::to_string(c) + " receives from voter " + std::to_string(v),
                  [&, v, c](State& next) {
                    const Message message = next.fromVoters[v][c].front();
                    next.fromVoters[v][c].pop_front();
                    const auto end = next.claimers[c].claims.vote(voterId(v), {1}, message.no,
                                                                  message.granted, message.holder);
                    if (end) closeClaim(next, c, *end);
                  });
        }
        if ((!state.toVoters[v][c].empty() || !state.fromVoters[v][c].empty()) && state.kills < kills_) {
          tryStep(
              state, depth,
              "the session of claimer " + std::to_string(c) + " with voter " + std::to_string(v) + " ends",
              [&, v, c](State& next) {
                ++next.kills;
                endSession(next, v, c);
              });
        }
      }
      if (state.voters[v].dirty) {
        tryStep(state, depth, name + " syncs", [v](State& next) {
          Voter& voter = next.voters[v];
          voter.disk = voter.memory;
          voter.dirty = false;
          for (const auto& [to, message] : std::exchange(voter.unsynced, {}))
            next.fromVoters[v][to].push_back(message);
        });
        if (state.kills < kills_) {
          tryStep(state, depth, name + " loses power", [&, v](State& next) {
            ++next.kills;
            restart(next, v);
          });
          tryStep(state, depth, name + " loses power after its disk write", [&, v](State& next) {
            ++next.kills;
            next.voters[v].disk = next.voters[v].memory;
            restart(next, v);
          });
        }
      }
      if (state.wipes < wipes_ && (state.voters[v].memory || state.voters[v].disk)) {
        tryStep(state, depth, name + " loses its disk", [&, v](State& next) {
          ++next.wipes;
          next.voters[v].disk.reset();
          next.voters[v].wiped = true;
          next.voters[v].readFrom = 0;
          restart(next, v);
        });
      }
      if (!state.voters[v].wiped) continue;
      for (std::size_t other = 0; other < voters_; ++other) {
        if (other == v || state.voters[other].wiped || (state.voters[v].readFrom >> other & 1U) != 0)
          continue;
        tryStep(state, depth, name + " reads the state of voter " + std::to_string(other),
                [&, v, other](State& next) {
                  Voter& voter = next.voters[v];
                  if (!voter.memory) voter.memory = next.voters[other].memory;
                  voter.readFrom |= 1U << other;
                  if (static_cast<std::size_t>(__builtin_popcount(voter.readFrom)) < voters_ - quorum_ + 1)
                    return;
                  voter.wiped = false;
                  voter.disk = voter.memory;
                });
      }
    }
  }

  ClaimFlaw flaw_;
  std::size_t voters_;
  std::size_t quorum_;
  unsigned wipes_;
  unsigned kills_;
  bool startsWon_;
  ClaimSearchResult result_;
  std::vector<std::string> trace_;
  std::unordered_map<std::string, unsigned> visited_;
};

}  // namespace

ClaimSearchResult explore(const ClaimSearch& search) { return Explorer(search).run(search.depth); }

}  // namespace rackroute::lab::mesh
