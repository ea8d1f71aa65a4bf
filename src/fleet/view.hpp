#pragma once

// All that one member holds of the others, and which word replaces which. It owns the records; whom to probe,
// whom to tell and how long to wait is not its business. No I/O, no chance.

#include <array>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <vector>

#include "fleet/member.hpp"

namespace rackroute::fleet {

struct Held {
  CardPtr card;
  MemberId id;
  Life life;
  State state = State::alive;
  Span since{};  // of the state
};

class View {
 public:
  /// Most members; further ones are not taken up. How long dead ones, and those that left, are kept.
  View(std::size_t most, Span keepDead, Span keepLeft);

  enum class Taken { nothing, fresh, changed, full };
  /// Takes a word up if it outranks what is held.
  Taken take(Span now, const Word& word);
  [[nodiscard]] const Held* find(MemberId id) const;
  /// In the order of their ids.
  [[nodiscard]] const std::vector<Held>& all() const { return held_; }
  /// Forgets those kept for long enough; dead ones only where that is asked for.
  void forget(Span now, bool dead);

  [[nodiscard]] std::size_t count(State state) const { return counts_[static_cast<std::size_t>(state)]; }
  /// Alive or suspect.
  [[nodiscard]] std::size_t living() const { return count(State::alive) + count(State::suspect); }
  /// All that may be running, whatever one hears of them; falls by a leave, or long after a death.
  [[nodiscard]] std::size_t safe() const { return living() + count(State::dead); }
  /// The same at two members that hold the same ones for living, in the same incarnations.
  [[nodiscard]] std::uint64_t digest() const { return digest_; }
  /// The same by part.
  [[nodiscard]] const std::array<std::uint64_t, kParts>& marks() const { return marks_; }
  [[nodiscard]] static std::uint64_t digestOf(MemberId id, const Life& life);

 private:
  [[nodiscard]] bool outdated(Span now, State state, Span since) const;
  void count(const Held& held, bool in);

  std::size_t most_;
  Span keepDead_;
  Span keepLeft_;
  std::vector<Held> held_;
  std::size_t counts_[4] = {};
  std::uint64_t digest_ = 0;
  std::array<std::uint64_t, kParts> marks_{};
};

}  // namespace rackroute::fleet
