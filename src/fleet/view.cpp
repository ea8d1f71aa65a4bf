#include "fleet/view.hpp"

#include <algorithm>

namespace rackroute::fleet {
namespace {

std::uint64_t mixed(std::uint64_t value) {  // splitmix64's finish
  value = (value ^ (value >> 30U)) * 0xbf58476d1ce4e5b9U;
  value = (value ^ (value >> 27U)) * 0x94d049bb133111ebU;
  return value ^ (value >> 31U);
}

bool lives(State state) { return state == State::alive || state == State::suspect; }

}  // namespace

std::string_view nameOf(State state) {
  constexpr std::string_view kNames[] = {"alive", "suspect", "dead", "left"};
  return kNames[static_cast<std::size_t>(state)];
}

std::string_view nameOf(Hearing hearing) {
  constexpr std::string_view kNames[] = {"whole", "partial", "alone"};
  return kNames[static_cast<std::size_t>(hearing)];
}

View::View(std::size_t most, Span keepDead, Span keepLeft)
    : most_(most), keepDead_(keepDead), keepLeft_(keepLeft) {}

std::uint64_t View::digestOf(MemberId id, const Life& life) {
  return mixed(mixed(id.value + 0x9e3779b97f4a7c15U * life.start) + life.incarnation);
}

// Suspects count as living, so that a suspicion on its way makes no two views differ.
void View::count(const Held& held, bool in) {
  counts_[static_cast<std::size_t>(held.state)] += in ? 1U : std::size_t(-1);
  if (!lives(held.state)) return;
  const std::uint64_t own = digestOf(held.id, held.life);
  digest_ += in ? own : ~own + 1;
  marks_[partOf(held.id)] += in ? own : ~own + 1;
}

bool View::outdated(Span now, State state, Span since) const {
  return !lives(state) && now - since > (state == State::left ? keepLeft_ : keepDead_);
}

const Held* View::find(MemberId id) const {
  const auto at = std::ranges::lower_bound(held_, id, {}, &Held::id);
  return at != held_.end() && at->id == id ? &*at : nullptr;
}

View::Taken View::take(Span now, const Word& word) {
  const auto at = std::ranges::lower_bound(held_, word.id, {}, &Held::id);
  const Span since = lives(word.state) ? now : now - word.age;
  if (at != held_.end() && at->id == word.id) {
    if (!outranks(word.life, word.state, at->life, at->state)) return Taken::nothing;
    count(*at, false);
    const bool comes = !lives(at->state) && lives(word.state);
    if (at->life != word.life) at->card = word.card;  // an upgrade may have moved it
    at->life = word.life;
    at->since = at->state == word.state ? at->since : since;
    at->state = word.state;
    count(*at, true);
    return comes ? Taken::fresh : Taken::changed;
  }
  // Guards against the dead that some have forgotten and others still tell of: they would go round for ever.
  if (outdated(now, word.state, since)) return Taken::nothing;
  if (held_.size() >= most_) {
    // One that is gone makes room; nothing that may still run does.
    const auto oldest = std::ranges::min_element(held_, [](const Held& a, const Held& b) {
      return std::pair(a.state != State::left, a.since) < std::pair(b.state != State::left, b.since);
    });
    if (oldest == held_.end() || oldest->state != State::left) return Taken::full;
    count(*oldest, false);
    held_.erase(oldest);
    return take(now, word);
  }
  const auto made = held_.insert(at, Held{word.card, word.id, word.life, word.state, since});
  count(*made, true);
  return lives(word.state) ? Taken::fresh : Taken::changed;
}

void View::forget(Span now, bool dead) {
  std::erase_if(held_, [&](const Held& held) {
    if (!outdated(now, held.state, held.since) || (held.state == State::dead && !dead)) return false;
    count(held, false);
    return true;
  });
}

}  // namespace rackroute::fleet
