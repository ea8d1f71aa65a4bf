#include "mesh/control/order_proposer.hpp"

#include <algorithm>
#include <utility>

#include "mesh/control/ballot_rounds.hpp"
#include "mesh/control/register_acceptor.hpp"

namespace rackroute::mesh {
namespace {

using namespace std::chrono_literals;

constexpr Span kBallotLasts = 250ms;      // for two round trips with a write each
constexpr Span kBallotLastsLongest = 2s;  // after failures; large orders on slow disks
constexpr Span kPauseFirst = 20ms;        // drawn up to this, doubled with each failure
constexpr Span kPauseLongest = 640ms;
constexpr Span kWaitForOther = 500ms;        // for an order that is completed first
constexpr Span kWaitForLater = 60ms;         // for a later version's decision or items; a ballot takes less
constexpr unsigned kLaterPauses = 8;         // within the time of an operator's call
constexpr std::size_t kUnderWay = 64;        // proposals that calls may add to; bounds memory and contention
constexpr std::size_t kUnderWayInAll = 128;  // with those that complete orders of others
constexpr std::uint64_t kRoundsReserved = 1024;           // with one write
constexpr std::uint64_t kCounterSane = kCounterMask / 2;  // no process ever gets there

Span doubled(Span first, unsigned times, Span longest) {
  constexpr unsigned kTimesAtMost = 16;  // guards the shift
  return std::min(first * (1 << std::min(times, kTimesAtMost)), longest);
}

}  // namespace

bool OrderProposer::restore(const std::string& key, const std::string& value) {
  if (key != agreement_store::kReservedRoundsKey) return false;
  // A round below the reservation may have been used for another order before the restart.
  counter_ = std::stoull(value);
  reserved_ = counter_;
  reservedOnDisk_ = counter_;
  return true;
}

bool OrderProposer::propose(Span now, std::uint64_t call, const OrderPtr& order, Effects& effects) {
  auto found = proposals_.find(order->id);
  if (found == proposals_.end()) {
    if (proposals_.size() >= kUnderWay) return false;
    begin(now, start(order), effects);
    found = proposals_.find(order->id);
  }
  if (call != 0) found->second.calls.insert(call);
  return true;
}

void OrderProposer::complete(Span now, const OrderPtr& order, Effects& effects) {
  if (const auto underWay = proposals_.find(order->id); underWay != proposals_.end()) {
    underWay->second.acceptedBefore = true;
    return;
  }
  if (proposals_.size() >= kUnderWayInAll) return;
  Proposal& proposal = start(order);
  proposal.acceptedBefore = true;
  begin(now, proposal, effects);
}

OrderProposer::Proposal& OrderProposer::start(const OrderPtr& order) {
  Proposal& proposal = proposals_.try_emplace(order->id, order, *built_.voters).first->second;
  for (const Item& item : order->items) {
    const RegisterState state = built_.decided->stateOf(item);
    if (state == RegisterState::open) proposal.open.emplace(registerOf(item), &item);
    if (state == RegisterState::forgotten) proposal.forgotten.insert(registerOf(item));
  }
  return proposal;
}

void OrderProposer::forgetCall(std::uint64_t call) {
  for (auto next = proposals_.begin(); next != proposals_.end();) {
    Proposal& proposal = next->second;
    const bool asked = proposal.calls.erase(call) > 0;
    const bool needed = !proposal.calls.empty() || proposal.acceptSent;
    next = asked && !needed ? proposals_.erase(next) : std::next(next);
  }
}

// --- ballots

Ballot OrderProposer::nextBallot(Proposal& proposal, Effects& effects) {
  ++counter_;
  proposal.reservedTo = 0;
  if (counter_ > reservedOnDisk_) {
    if (counter_ > reserved_) reserved_ = counter_ + kRoundsReserved;
    proposal.reservedTo = reserved_;
    effects.entries.emplace_back(agreement_store::kReservedRoundsKey, std::to_string(reserved_));
  }
  return {roundOf(built_.voters->epoch, counter_), built_.self.incarnation};
}

void OrderProposer::begin(Span now, Proposal& proposal, Effects& effects) {
  proposal.phase = Phase::preparing;
  proposal.ballot = nextBallot(proposal, effects);
  proposal.granted = VoteCount(*built_.voters);
  proposal.refused = VoteCount(*built_.voters);
  proposal.seen.clear();
  proposal.value.reset();
  proposal.waitsFor = 0;
  proposal.until = now + ballotLasts(proposal);
  Prepare prepare{proposal.ballot, built_.voters->epoch, {}};
  for (const auto& [id, item] : proposal.open) prepare.registers.push_back(id);
  // A round must not be seen by anybody before it can't be used again after a restart.
  auto& messages = proposal.reservedTo != 0 ? effects.afterWrite : effects.messages;
  messages.push_back({std::nullopt, std::move(prepare)});
}

Span OrderProposer::ballotLasts(const Proposal& proposal) const {
  return doubled(kBallotLasts, proposal.failures, kBallotLastsLongest) + timeForSize(proposal.open.size());
}

OrderProposer::Proposal* OrderProposer::find(const Ballot& ballot, Phase phase) {
  for (auto& [id, proposal] : proposals_) {
    if (proposal.ballot == ballot && proposal.phase == phase) return &proposal;
  }
  return nullptr;
}

bool OrderProposer::fail(Span now, Proposal& proposal) {
  if (proposal.calls.empty() && !proposal.acceptSent) {
    proposals_.erase(proposal.order->id);
    return false;
  }
  const Span longest = doubled(kPauseFirst, proposal.failures, kPauseLongest);
  std::uniform_int_distribution<Span::rep> pause(0, longest.count());
  ++proposal.failures;
  proposal.phase = Phase::pausing;
  proposal.until = now + Span{pause(chance_)};
  return true;
}

void OrderProposer::learnRound(const Ballot& promised) {
  const std::uint64_t counter = counterOf(promised);
  if (epochOf(promised) != built_.voters->epoch || counter > kCounterSane) return;
  counter_ = std::max(counter_, counter);
}

std::size_t OrderProposer::voterCount() const {
  const VoterSet& set = *built_.voters;
  return set.epoch.value == 0 ? set.foundingSize : set.voters.size();
}

bool OrderProposer::majorityOutOfReach(const Proposal& proposal) const {
  return proposal.refused.count() + built_.voters->quorum() > voterCount();
}

// --- phase 1

void OrderProposer::heard(Span now, const PrepareReply& message, Effects& effects) {
  Proposal* proposal = find(message.ballot, Phase::preparing);
  if (proposal == nullptr || proposal->granted.has(message.voter)) return;
  VoteCount& votes = message.granted ? proposal->granted : proposal->refused;
  if (!votes.add(message.voter, message.epoch)) return;
  reservedOnDisk_ = std::max(reservedOnDisk_, proposal->reservedTo);
  if (!message.granted) {
    learnRound(message.promised);
    if (majorityOutOfReach(*proposal)) fail(now, *proposal);
    return;
  }
  note(message, *proposal);
  evaluate(now, *proposal, false, effects);
}

void OrderProposer::note(const PrepareReply& message, Proposal& proposal) {
  for (const AcceptedOrder& accepted : message.accepted) {
    if (accepted.order == nullptr || accepted.order->items.empty()) continue;
    Seen& seen = proposal.seen[accepted.order->id];
    if (seen.holders == 0 || seen.accepted.ballot < accepted.ballot) seen.accepted = accepted;
    ++seen.holders;
  }
}

void OrderProposer::evaluate(Span now, Proposal& proposal, bool lastChance, Effects& effects) {
  if (!proposal.granted.majority()) return;
  const Seen* first = blocking(proposal);
  // A set of voters may be wanted by none but those who accepted it. Whether it may be decided all the same,
  // the other replies tell; any other order is completed at once.
  const Seen* accepted = first != nullptr ? first : ownAccepted(proposal);
  if (!lastChance && accepted != nullptr && isVoterSet(*accepted->accepted.order) &&
      repliesMatter(proposal, *accepted))
    return;
  if (first == nullptr && accepted == nullptr && waitsForLater(proposal)) {
    pauseForLater(now, proposal, effects);
    return;
  }
  if (first == nullptr) {
    sendAccept(now, proposal, effects);
    return;
  }
  const OrderPtr other = first->accepted.order;
  proposal.phase = Phase::pausing;
  proposal.until = now + kWaitForOther;
  proposal.waitsFor = other->id;
  complete(now, other, effects);
}

// Guards against an old version that is sent after a later one was acknowledged, and comes into force at
// processes that have not heard of that one yet.
bool OrderProposer::waitsForLater(const Proposal& proposal) const {
  if (proposal.laterPauses >= kLaterPauses) return false;
  return lacksLater(proposal) || mayBeOvertaken(proposal);
}

bool OrderProposer::lacksLater(const Proposal& proposal) const {
  return std::any_of(proposal.open.begin(), proposal.open.end(), [&](const auto& open) {
    const auto later = built_.decided->laterThan(open.first);
    if (!later) return false;
    const Item* const held = built_.inForce->find(later->id.item);
    return held == nullptr || held->generation < later->id.version;
  });
}

// Whether the later one is decided is waited for, as its proposer or a voter completes it. Two orders never
// wait for each other: one of them has been accepted.
bool OrderProposer::mayBeOvertaken(const Proposal& proposal) const {
  if (proposal.acceptSent || proposal.acceptedBefore) return false;
  return std::any_of(proposal.seen.begin(), proposal.seen.end(), [&](const auto& entry) {
    const Seen& seen = entry.second;
    const std::vector<Item>& items = seen.accepted.order->items;
    const bool overtakes = std::any_of(items.begin(), items.end(), [&](const Item& later) {
      const auto open = proposal.open.lower_bound(RegisterId{later.key, {}});
      return open != proposal.open.end() && open->first.item == later.key &&
             open->first.version < later.generation;
    });
    return overtakes && !ruledOut(proposal, seen);
  });
}

// What it lacks mostly comes by itself in the first pause; after it the voters are asked.
void OrderProposer::pauseForLater(Span now, Proposal& proposal, Effects& effects) {
  proposal.phase = Phase::pausing;
  proposal.until = now + kWaitForLater;
  if (++proposal.laterPauses < 2 || !lacksLater(proposal)) return;
  ItemsRequest request;
  request.versions = built_.inForce->versions();
  effects.messages.push_back({std::nullopt, std::move(request)});
}

const OrderProposer::Seen* OrderProposer::ownAccepted(const Proposal& proposal) const {
  const auto own = proposal.seen.find(proposal.order->id);
  const bool possible = own != proposal.seen.end() && !ruledOut(proposal, own->second);
  return possible ? &own->second : nullptr;
}

// Guards against proposers that each wait for a voter that is gone for good, and in the meantime begin higher
// ballots than the others', for ever.
bool OrderProposer::repliesMatter(const Proposal& proposal, const Seen& accepted) const {
  if (accepted.holders >= built_.voters->quorum()) return false;
  const std::vector<VoterId>& voters = built_.voters->voters;
  const bool allKnown = built_.voters->epoch.value > 0;
  return !allKnown || std::any_of(voters.begin(), voters.end(), [&](const VoterId& voter) {
    const bool replied = proposal.granted.has(voter) || proposal.refused.has(voter);
    return !replied && !(built_.isGone && built_.isGone(voter));
  });
}

bool OrderProposer::ruledOut(const Proposal& proposal, const Seen& seen) const {
  // Whoever granted this ballot and does not hold it never accepts it in an earlier one any more.
  const std::size_t mayHold = seen.holders + voterCount() - proposal.granted.count();
  if (mayHold < built_.voters->quorum()) return true;
  const Order& order = *seen.accepted.order;
  for (const Item& item : order.items) {
    if (built_.decided->stateOf(item) == RegisterState::other) return true;
  }
  for (const auto& [id, above] : proposal.seen) {
    if (above.accepted.ballot > seen.accepted.ballot && disagree(*above.accepted.order, order)) return true;
  }
  return false;
}

const OrderProposer::Seen* OrderProposer::blocking(const Proposal& proposal) const {
  const OrderPtr own = openPart(proposal);
  const Seen* highest = nullptr;
  for (const auto& [id, seen] : proposal.seen) {
    if (!disagree(*seen.accepted.order, *own) || ruledOut(proposal, seen)) continue;
    if (highest == nullptr || highest->accepted.ballot < seen.accepted.ballot) highest = &seen;
  }
  return highest;
}

OrderPtr OrderProposer::openPart(const Proposal& proposal) const {
  if (proposal.open.size() == proposal.order->items.size()) return proposal.order;
  std::vector<Item> items;
  for (const auto& [id, item] : proposal.open) items.push_back(*item);
  return makeOrder(std::move(items));
}

// --- phase 2

void OrderProposer::sendAccept(Span now, Proposal& proposal, Effects& effects) {
  const bool mayBeDecided = ownAccepted(proposal) != nullptr;
  proposal.phase = Phase::accepting;
  proposal.value = openPart(proposal);
  proposal.acceptSent = true;
  proposal.granted = VoteCount(*built_.voters);
  proposal.refused = VoteCount(*built_.voters);
  proposal.until = now + ballotLasts(proposal);
  effects.messages.push_back(
      {std::nullopt, Accept{proposal.ballot, built_.voters->epoch, proposal.value, mayBeDecided}});
}

OrderPtr OrderProposer::heard(Span now, const AcceptReply& message, Effects& effects) {
  Proposal* proposal = find(message.ballot, Phase::accepting);
  if (proposal == nullptr || proposal->granted.has(message.voter)) return nullptr;
  VoteCount& votes = message.granted ? proposal->granted : proposal->refused;
  if (!votes.add(message.voter, message.epoch)) return nullptr;
  if (!message.granted) {
    learnRound(message.promised);
    if (majorityOutOfReach(*proposal)) fail(now, *proposal);
    return nullptr;
  }
  if (!proposal->granted.majority()) return nullptr;
  // All that the call's order is about, as far as it is remembered: whoever hears it applies it whole.
  std::vector<Item> items;
  for (const Item& item : proposal->order->items) {
    if (!proposal->forgotten.contains(registerOf(item))) items.push_back(item);
  }
  OrderPtr whole =
      items.size() == proposal->order->items.size() ? proposal->order : makeOrder(std::move(items));
  effects.messages.push_back({std::nullopt, Decided{whole, built_.decided->laterThan(whole->items)}});
  return whole;
}

// --- ends

std::vector<OrderPtr> OrderProposer::settle(Span now, const std::vector<DecidedRegister>& decided,
                                            const std::vector<Item>& standing, Effects& effects) {
  std::vector<OrderPtr> done;
  std::vector<std::uint64_t> endedOrders;
  for (auto& [order, proposal] : proposals_) {
    std::vector<RegisterId> conflicting;
    for (const DecidedRegister& reg : decided) {
      const auto open = proposal.open.find(reg.id);
      if (open == proposal.open.end()) continue;
      const RegisterState state = built_.decided->stateOf(*open->second);
      const bool forgotten =
          state == RegisterState::forgotten || (state == RegisterState::open && reg.print == 0);
      if (state == RegisterState::open && !forgotten) continue;
      if (state == RegisterState::other) conflicting.push_back(reg.id);
      if (forgotten) proposal.forgotten.insert(reg.id);
      proposal.open.erase(open);
    }
    if (!conflicting.empty()) {
      conflict(proposal, conflicting, standing, effects);
    } else if (proposal.open.empty()) {
      for (const std::uint64_t call : proposal.calls) {
        effects.outcomes.push_back({call, OrderResult::decided, {}});
      }
      done.push_back(proposal.order);
    } else {
      continue;
    }
    endedOrders.push_back(order);
  }
  for (const std::uint64_t order : endedOrders) ended(now, order);
  return done;
}

void OrderProposer::conflict(const Proposal& proposal, const std::vector<RegisterId>& conflicting,
                             const std::vector<Item>& standing, Effects& effects) const {
  std::map<ItemKey, Item> stands;
  const auto add = [&stands](const Item& item) {
    const auto [place, first] = stands.try_emplace(item.key, item);
    if (!first && place->second.generation < item.generation) place->second = item;
  };
  for (const RegisterId& id : conflicting) {
    if (const Item* item = built_.inForce->find(id.item)) add(*item);
    for (const Item& item : standing) {
      if (item.key == id.item) add(item);
    }
  }
  OrderOutcome outcome{0, OrderResult::conflict, {}};
  for (const auto& [key, item] : stands) outcome.standing.push_back(item);
  for (const std::uint64_t call : proposal.calls) {
    outcome.call = call;
    effects.outcomes.push_back(outcome);
  }
}

void OrderProposer::ended(Span now, std::uint64_t order) {
  proposals_.erase(order);
  for (auto& [id, proposal] : proposals_) {
    if (proposal.phase == Phase::pausing && proposal.waitsFor == order) proposal.until = now;
  }
}

// --- time

void OrderProposer::restart(Span now, Effects& effects) {
  for (auto& [id, proposal] : proposals_) begin(now, proposal, effects);
}

void OrderProposer::tick(Span now, Effects& effects) {
  std::vector<std::uint64_t> due;
  for (const auto& [id, proposal] : proposals_) {
    if (proposal.until <= now) due.push_back(id);
  }
  for (const std::uint64_t id : due) {
    const auto found = proposals_.find(id);
    if (found == proposals_.end()) continue;
    Proposal& proposal = found->second;
    if (proposal.phase == Phase::preparing) evaluate(now, proposal, true, effects);
    if (proposal.phase == Phase::pausing && proposal.until <= now) {
      begin(now, proposal, effects);
    } else if (proposal.until <= now) {
      fail(now, proposal);
    }
  }
}

std::optional<Span> OrderProposer::nextTick() const {
  std::optional<Span> next;
  for (const auto& [id, proposal] : proposals_) {
    if (!next || proposal.until < *next) next = proposal.until;
  }
  return next;
}

}  // namespace rackroute::mesh
