#include "fleet/view.hpp"

#include <algorithm>

namespace rackroute::fleet {
namespace {

std::uint64_t mix(std::uint64_t value) {  // the finalizer of splitmix64
  value = (value ^ (value >> 30U)) * 0xbf58476d1ce4e5b9U;
  value = (value ^ (value >> 27U)) * 0x94d049bb133111ebU;
  return value ^ (value >> 31U);
}

bool isLive(State state) { return state == State::alive || state == State::suspect; }

}  // namespace

std::string_view nameOf(State state) {
  constexpr std::string_view kNames[] = {"alive", "suspect", "dead", "left"};
  return kNames[static_cast<std::size_t>(state)];
}

std::string_view nameOf(Connectivity connectivity) {
  constexpr std::string_view kNames[] = {"whole", "partial", "alone"};
  return kNames[static_cast<std::size_t>(connectivity)];
}

View::View(std::size_t maxMembers, Span deadRetention, Span leftRetention)
    : maxMembers_(maxMembers), deadRetention_(deadRetention), leftRetention_(leftRetention) {}

std::uint64_t View::digestOf(MemberId id, const MemberVersion& version) {
  return mix(mix(id.value + 0x9e3779b97f4a7c15U * version.start) + version.incarnation);
}

// Suspects count as live, so that a suspicion in flight doesn't make two views differ.
void View::count(const MemberRecord& member, bool added) {
  counts_[static_cast<std::size_t>(member.state)] += added ? 1U : std::size_t(-1);
  if (!isLive(member.state)) return;
  const std::uint64_t digest = digestOf(member.id, member.version);
  digest_ += added ? digest : ~digest + 1;
  bucketDigests_[bucketOf(member.id)] += added ? digest : ~digest + 1;
}

bool View::expired(Span now, State state, Span since) const {
  return !isLive(state) && now - since > (state == State::left ? leftRetention_ : deadRetention_);
}

const MemberRecord* View::find(MemberId id) const {
  const auto at = std::ranges::lower_bound(members_, id, {}, &MemberRecord::id);
  return at != members_.end() && at->id == id ? &*at : nullptr;
}

View::ApplyResult View::apply(Span now, const MemberUpdate& update) {
  const auto at = std::ranges::lower_bound(members_, update.id, {}, &MemberRecord::id);
  const Span since = isLive(update.state) ? now : now - update.age;
  if (at != members_.end() && at->id == update.id) {
    if (!overrides(update.version, update.state, at->version, at->state)) return ApplyResult::ignored;
    count(*at, false);
    const bool returns = !isLive(at->state) && isLive(update.state);
    if (at->version != update.version) at->info = update.info;  // a new process may have another address
    at->version = update.version;
    at->since = at->state == update.state ? at->since : since;
    at->state = update.state;
    count(*at, true);
    return returns ? ApplyResult::added : ApplyResult::changed;
  }
  // A dead member that some have removed already must not be added again by gossip, or it would circulate
  // forever.
  if (expired(now, update.state, since)) return ApplyResult::ignored;
  if (members_.size() >= maxMembers_) {
    // Only a member that has left may be evicted; any other may still be running.
    const auto oldest = std::ranges::min_element(members_, [](const MemberRecord& a, const MemberRecord& b) {
      return std::pair(a.state != State::left, a.since) < std::pair(b.state != State::left, b.since);
    });
    if (oldest == members_.end() || oldest->state != State::left) return ApplyResult::full;
    count(*oldest, false);
    members_.erase(oldest);
    return apply(now, update);
  }
  const auto inserted =
      members_.insert(at, MemberRecord{update.info, update.id, update.version, update.state, since});
  count(*inserted, true);
  return isLive(update.state) ? ApplyResult::added : ApplyResult::changed;
}

void View::removeExpired(Span now, bool includeDead) {
  std::erase_if(members_, [&](const MemberRecord& member) {
    if (!expired(now, member.state, member.since) || (member.state == State::dead && !includeDead))
      return false;
    count(member, false);
    return true;
  });
}

}  // namespace rackroute::fleet
