#include "lab/mesh/agreement_explorer.hpp"

#include <algorithm>
#include <array>
#include <bit>
#include <cstddef>
#include <map>

#include "lab/mesh/agreement_histories.hpp"
#include "mesh/control/ballot_rounds.hpp"

namespace rackroute::lab::mesh {
namespace {

using rackroute::mesh::epochOf;

constexpr std::size_t kProcesses = 5;
constexpr std::size_t kQueueCapacity = 6;  // messages in flight per session; further ones are lost
constexpr MessageId kNoMessage = 0xffff;

using Queue = std::array<MessageId, kQueueCapacity>;  // in order of arrival, padded with kNoMessage

struct ModelState {
  std::array<NodeId, kProcesses> nodes{};
  std::array<std::array<Queue, kProcesses>, kProcesses> queues{};  // by sender and receiver
  std::uint8_t losses = 0;
  std::uint8_t restarts = 0;
  std::uint8_t timers = 0;
  std::uint8_t wiped = 0;
};

enum class Kind : std::uint8_t { receives, loses, writes, restarts, timer, wiped, adopts, reads };

struct ModelStep {
  Kind kind = Kind::receives;
  std::uint8_t process = 0;
  std::uint8_t other = 0;
  bool operator==(const ModelStep&) const = default;
};

class Model {
 public:
  using State = ModelState;
  using Step = ModelStep;
  struct Names {};

  explicit Model(const AgreementSearch& search) : search_(search), histories_(search) {}

  State initialState() {
    State state;
    for (auto& from : state.queues) {
      for (Queue& queue : from) queue.fill(kNoMessage);
    }
    for (std::size_t p = 0; p < search_.voters; ++p) state.nodes[p] = histories_.firstNode(p);
    for (std::size_t p = 0; p < search_.proposers; ++p)
      apply(state, p, {InputKind::proposes, static_cast<std::uint32_t>(p), 0});
    return state;
  }

  bool violates(const State& state) const {
    unsigned chosen = 0;
    if (!checkDecisions(state, chosen)) return true;
    unsigned acknowledged = 0;
    for (std::size_t p = 0; p < search_.voters; ++p) {
      const Node& node = histories_.node(state.nodes[p]);
      if (node.partial || (node.applied & ~chosen) != 0 || (node.acknowledged & ~chosen) != 0) return true;
      if ((node.refused & chosen) != 0) return true;
      acknowledged |= node.acknowledged;
    }
    return search_.targetAcknowledged && acknowledged != 0;
  }

  template <class Visit>
  void forEachStep(const State& state, Visit&& visit) const {
    const auto step = [&](Kind kind, std::size_t p, std::size_t other, auto&& change) {
      State next = state;
      change(next);
      visit(Step{kind, static_cast<std::uint8_t>(p), static_cast<std::uint8_t>(other)}, next);
    };
    for (std::size_t to = 0; to < search_.voters; ++to) {
      for (std::size_t from = 0; from < search_.voters; ++from) {
        if (state.queues[from][to].front() == kNoMessage) continue;
        step(Kind::receives, to, from, [&](State& next) {
          const MessageId message = popFront(next.queues[from][to]);
          apply(next, to, {InputKind::receives, message, static_cast<std::uint8_t>(from)});
        });
        if (state.losses < search_.losses) {
          step(Kind::loses, to, from, [&](State& next) {
            ++next.losses;
            popFront(next.queues[from][to]);
          });
        }
      }
      processSteps(state, to, step);
    }
  }

  static void canonicalize(State& /*state*/) {}
  static Names initialNames() { return {}; }
  static Names renamed(const Names& names, const State& /*before*/) { return names; }

  std::string describe(const Names& /*names*/, const Step& step, const State& before) const {
    const std::string process = "process " + std::to_string(step.process);
    const std::string other = std::to_string(step.other);
    const MessageId next = before.queues[step.other][step.process].front();
    const std::string message = next == kNoMessage ? std::string() : histories_.describe(next);
    switch (step.kind) {
      case Kind::receives:
        return process + " receives from " + other + ": " + message;
      case Kind::loses:
        return "message lost from " + other + " to " + process + ": " + message;
      case Kind::writes:
        return process + " completes its disk writes";
      case Kind::restarts:
        return process + " loses power";
      case Kind::timer:
        return process + "'s timer fires";
      case Kind::wiped:
        return process + " loses its disk, and a new voter set is agreed on";
      case Kind::adopts:
        return process + " adopts the new voter set";
      case Kind::reads:
        return process + " reads the state of " + other;
    }
    return {};
  }

 private:
  static MessageId popFront(Queue& queue) {
    const MessageId first = queue.front();
    std::rotate(queue.begin(), queue.begin() + 1, queue.end());
    queue.back() = kNoMessage;
    return first;
  }

  void apply(State& state, std::size_t p, const Input& input) const {
    const Transition& transition = histories_.transition(state.nodes[p], input);
    state.nodes[p] = transition.node;
    for (const Sent& sent : transition.sent) {
      Queue& queue = state.queues[p][sent.to];
      const auto place = std::find(queue.begin(), queue.end(), kNoMessage);
      if (place != queue.end()) *place = sent.message;
    }
  }

  /// Drops the messages in flight to a process that stops; those that it sent may still arrive.
  static void dropInFlightTo(State& state, std::size_t p) {
    for (auto& from : state.queues) from[p].fill(kNoMessage);
  }

  template <class AddStep>
  void processSteps(const State& state, std::size_t p, AddStep&& step) const {
    const Node& node = histories_.node(state.nodes[p]);
    if (!node.unwritten.empty() || !node.sendAfterWrite.empty()) {
      step(Kind::writes, p, p, [&](State& next) { apply(next, p, {InputKind::written, 0, 0}); });
    }
    // A process without inputs since its start has no state to lose.
    if (state.restarts < search_.restarts && !node.inputs.empty()) {
      step(Kind::restarts, p, p, [&](State& next) {
        ++next.restarts;
        dropInFlightTo(next, p);
        apply(next, p, {InputKind::restarts, 0, 0});
      });
    }
    if (state.timers < search_.timers && node.nextTimer) {
      step(Kind::timer, p, p, [&](State& next) {
        ++next.timers;
        apply(next, p, {InputKind::timer, 0, 0});
      });
    }
    if (search_.wipe && state.wiped == 0 && p + 1 == search_.voters) {
      step(Kind::wiped, p, p, [&](State& next) {
        next.wiped = 1;
        dropInFlightTo(next, p);
        apply(next, p, {InputKind::wiped, 0, 0});
      });
    }
    if (state.wiped == 0) return;
    if (node.epoch == 1) {
      step(Kind::adopts, p, p, [&](State& next) { apply(next, p, {InputKind::adopts, 2, 0}); });
    } else if (!node.holdsState) {
      for (std::size_t other = 0; other < search_.voters; ++other) {
        const Node& from = histories_.node(state.nodes[other]);
        if (other == p || from.epoch == 1 || node.readFrom.count(other) > 0) continue;
        step(Kind::reads, p, other, [&](State& next) {
          apply(next, p, {InputKind::reads, state.nodes[other], 0});
        });
      }
    }
  }

  /// Returns whether no register has two values accepted by a majority; `chosen` is the orders accepted by
  /// one.
  bool checkDecisions(const State& state, unsigned& chosen) const {
    std::map<Ballot, std::pair<std::size_t, unsigned>> counts;
    for (std::size_t p = 0; p < search_.voters; ++p) {
      for (const AcceptedOnDisk& one : histories_.node(state.nodes[p]).accepted) {
        const auto epoch = epochOf(one.ballot).value;
        if (!histories_.set(epoch).contains(one.voter)) continue;
        auto& [voters, orders] = counts[one.ballot];
        ++voters;
        orders |= one.orders;
        if (voters >= histories_.set(epoch).quorum()) chosen |= orders;
      }
    }
    // With up to three orders, any two share a register.
    return std::popcount(chosen) <= 1;
  }

  AgreementSearch search_;
  mutable AgreementHistories histories_;  // a cache
};

}  // namespace

SearchResult explore(const AgreementSearch& search) {
  Model model(search);
  const ModelState first = model.initialState();
  return StateSearch<Model>(model, search.depth, search.maxStates).run(first);
}

}  // namespace rackroute::lab::mesh
