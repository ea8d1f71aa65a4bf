#pragma once

// Breadth-first search over the states of a model up to a maximum depth. States are identified by a 64-bit
// hash of the bytes of their canonical form. Colliding states would be treated as one; with ten million
// states, the probability of a collision is about 3 in a million.

#include <xxhash.h>

#include <cstdint>
#include <optional>
#include <string>
#include <type_traits>
#include <unordered_set>
#include <utility>
#include <vector>

namespace rackroute::lab::mesh {

struct SearchResult {
  std::uint64_t states = 0;        // distinct states
  unsigned depth = 0;              // all states within this depth were visited; with a trace, its length
  bool exhausted = false;          // all reachable states were visited
  bool stateLimitReached = false;  // stopped at the maximum number of states
  std::optional<std::vector<std::string>> trace;  // shortest path to a state that violates an invariant
};

/// A model has
///  - State: plain data without padding; violates(const State&): whether it violates an invariant;
///  - Step: plain data; forEachStep(state, visit): calls visit(step, nextState) for each enabled step;
///  - canonicalize(state): replaces a state by the representative of all states that are equal up to names;
///  - Names, initialNames(), describe(names, step, stateBefore) and renamed(names, stateBefore): for traces.
template <class Model>
class StateSearch {
 public:
  using State = typename Model::State;
  using Step = typename Model::Step;

  StateSearch(const Model& model, unsigned depth, std::uint64_t maxStates)
      : model_(model), depth_(depth), maxStates_(maxStates) {}

  SearchResult run(const State& first) {
    initial_ = first;
    State initial = first;
    model_.canonicalize(initial);
    markVisited(initial);
    nodes_.push_back({0, {}});
    std::vector<std::pair<State, std::uint32_t>> frontier{{initial, 0}};
    SearchResult result;
    while (!frontier.empty() && result.depth < depth_) {
      std::vector<std::pair<State, std::uint32_t>> next;
      for (const auto& [state, node] : frontier) {
        if (!expand(state, node, next)) continue;
        result.depth += 1;
        result.states = nodes_.size();
        result.trace = trace();
        return result;
      }
      ++result.depth;
      frontier = std::move(next);
      if (nodes_.size() > maxStates_) {
        result.stateLimitReached = true;
        break;
      }
    }
    result.exhausted = frontier.empty();
    result.states = nodes_.size();
    return result;
  }

 private:
  struct Node {
    std::uint32_t parent;
    Step step;  // relative to the parent's canonical form
  };

  bool markVisited(const State& state) {
    static_assert(std::has_unique_object_representations_v<State>, "states are hashed by their bytes");
    return visited_.insert(XXH3_64bits(&state, sizeof(State))).second;
  }

  /// Adds the unvisited successors of a state. Returns true if the last one added violates an invariant.
  bool expand(const State& state, std::uint32_t node, std::vector<std::pair<State, std::uint32_t>>& next) {
    bool violation = false;
    model_.forEachStep(state, [&](const Step& step, State& successor) {
      if (violation) return;
      violation = model_.violates(successor);
      model_.canonicalize(successor);
      if (!markVisited(successor) && !violation) return;
      nodes_.push_back({node, step});
      next.emplace_back(successor, static_cast<std::uint32_t>(nodes_.size() - 1));
    });
    return violation;
  }

  /// Describes the steps to the last node with the names of the initial state.
  std::vector<std::string> trace() const {
    std::vector<Step> steps;
    for (std::size_t at = nodes_.size() - 1; at != 0; at = nodes_[at].parent)
      steps.insert(steps.begin(), nodes_[at].step);
    std::vector<std::string> lines;
    State state = initial_;
    typename Model::Names names = model_.renamed(model_.initialNames(), state);
    model_.canonicalize(state);
    for (const Step& chosen : steps) {
      lines.push_back(model_.describe(names, chosen, state));
      State after = state;
      model_.forEachStep(state, [&](const Step& step, State& successor) {
        if (step == chosen) after = successor;
      });
      names = model_.renamed(names, after);
      model_.canonicalize(after);
      state = after;
    }
    return lines;
  }

  const Model& model_;
  unsigned depth_;
  std::uint64_t maxStates_;
  State initial_{};
  std::vector<Node> nodes_;
  std::unordered_set<std::uint64_t> visited_;
};

}  // namespace rackroute::lab::mesh
