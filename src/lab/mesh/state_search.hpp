#pragma once

// Breadth-first search over the states of a model, to a stated depth: every state that is reached by at most
// so many steps is visited once. States are told apart by a 64-bit hash of their bytes in canonical form; two
// states that collide would be taken for one, which at ten million states has a chance of about 3 in a
// million.

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
  std::uint64_t states = 0;  // told apart
  unsigned depth = 0;        // all states within so many steps were visited; with a trail, its length
  bool exhausted = false;    // no state lies beyond that depth
  bool full = false;         // stopped early: there were more states than allowed
  std::optional<std::vector<std::string>> trail;  // the shortest, to a state that breaks the rule
};

/// A model has
///  - State: plain data without padding; broken(const State&): whether it breaks the rule;
///  - Step: plain data; forEachStep(state, visit): calls visit(step, nextState) for each step;
///  - canonical(state): brings a state into the form that stands for all that differ from it by names only;
///  - Names, firstNames(), describe(names, step) and renamed(names, stateBefore): for the text of trails.
template <class Model>
class StateSearch {
 public:
  using State = typename Model::State;
  using Step = typename Model::Step;

  StateSearch(const Model& model, unsigned depth, std::uint64_t mostStates)
      : model_(model), depth_(depth), mostStates_(mostStates) {}

  SearchResult run(const State& first) {
    first_ = first;
    State begin = first;
    model_.canonical(begin);
    isNew(begin);
    nodes_.push_back({0, {}});
    std::vector<std::pair<State, std::uint32_t>> frontier{{begin, 0}};
    SearchResult result;
    while (!frontier.empty() && result.depth < depth_) {
      std::vector<std::pair<State, std::uint32_t>> next;
      for (const auto& [state, node] : frontier) {
        if (!expand(state, node, next)) continue;
        result.depth += 1;
        result.states = nodes_.size();
        result.trail = trail();
        return result;
      }
      ++result.depth;
      frontier = std::move(next);
      if (nodes_.size() > mostStates_) {
        result.full = true;
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
    Step step;  // from the parent's canonical form
  };

  bool isNew(const State& state) {
    static_assert(std::has_unique_object_representations_v<State>, "a state is told apart by its bytes");
    return seen_.insert(XXH3_64bits(&state, sizeof(State))).second;
  }

  /// Whether one of the states that follow breaks the rule; it is then the last node.
  bool expand(const State& state, std::uint32_t node, std::vector<std::pair<State, std::uint32_t>>& next) {
    bool broken = false;
    model_.forEachStep(state, [&](const Step& step, State& follows) {
      if (broken) return;
      broken = model_.broken(follows);
      model_.canonical(follows);
      if (!isNew(follows) && !broken) return;
      nodes_.push_back({node, step});
      next.emplace_back(follows, static_cast<std::uint32_t>(nodes_.size() - 1));
    });
    return broken;
  }

  /// The steps to the last node, with the names that the first state has.
  std::vector<std::string> trail() const {
    std::vector<Step> steps;
    for (std::size_t at = nodes_.size() - 1; at != 0; at = nodes_[at].parent)
      steps.insert(steps.begin(), nodes_[at].step);
    std::vector<std::string> lines;
    State state = first_;
    typename Model::Names names = model_.renamed(model_.firstNames(), state);
    model_.canonical(state);
    for (const Step& wanted : steps) {
      lines.push_back(model_.describe(names, wanted, state));
      State after = state;
      model_.forEachStep(state, [&](const Step& step, State& follows) {
        if (step == wanted) after = follows;
      });
      names = model_.renamed(names, after);
      model_.canonical(after);
      state = after;
    }
    return lines;
  }

  const Model& model_;
  unsigned depth_;
  std::uint64_t mostStates_;
  State first_{};
  std::vector<Node> nodes_;
  std::unordered_set<std::uint64_t> seen_;
};

}  // namespace rackroute::lab::mesh
