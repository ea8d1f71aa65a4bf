#include "mesh/control/order_proposer.hpp"

#include <algorithm>
#include <utility>

#include "mesh/control/ballot_rounds.hpp"
#include "mesh/control/register_acceptor.hpp"

namespace rackroute::mesh {
namespace {

using namespace std::chrono_literals;

constexpr Span kBallotTimeout = 250ms;  // two round trips with a disk write each
constexpr Span kMaxBallotTimeout = 2s;  // after failures, for large orders on slow disks
constexpr Span kInitialBackoff = 20ms;  // upper bound of the random delay; doubles with each failure
constexpr Span kMaxBackoff = 640ms;
constexpr Span kBlockedTimeout = 500ms;        // for an accepted order that is completed first
constexpr Span kLaterVersionWait = 60ms;       // for the decision or the items of a later version
constexpr unsigned kMaxLaterVersionWaits = 8;  // within the time of an operator's call
constexpr std::size_t kMaxCallProposals = 64;  // proposals started by calls; bounds memory and contention
constexpr std::size_t kMaxProposals = 128;     // including those that complete accepted orders
constexpr std::uint64_t kRoundsPerReservation = 1024;             // with one disk write
constexpr std::uint64_t kMaxPlausibleCounter = kCounterMask / 2;  // no process reaches it

Span doubled(Span first, unsigned times, Span limit) {
  constexpr unsigned kMaxDoublings = 16;  // prevents overflow of the shift
  return std::min(first * (1 << std::min(times, kMaxDoublings)), limit);
}

}  // namespace

bool OrderProposer::restore(const std::string& key, const std::string& value) {
  if (key != agreement_store::kReservedRoundsKey) return false;
  // Rounds up to the reservation may have been used before the restart.
  lastCounter_ = std::stoull(value);
  reservedUpTo_ = lastCounter_;
  durableReservation_ = lastCounter_;
  return true;
}

bool OrderProposer::propose(Span now, std::uint64_t call, const OrderPtr& order, Effects& effects) {
  auto found = proposals_.find(order->id);
  if (found == proposals_.end()) {
    if (proposals_.size() >= kMaxCallProposals) return false;
    startBallot(now, addProposal(order), effects);
    found = proposals_.find(order->id);
  }
  if (call != 0) found->second.calls.insert(call);
  return true;
}

void OrderProposer::complete(Span now, const OrderPtr& order, Effects& effects) {
  if (const auto existing = proposals_.find(order->id); existing != proposals_.end()) {
    existing->second.acceptedBefore = true;
    return;
  }
  if (proposals_.size() >= kMaxProposals) return;
  Proposal& proposal = addProposal(order);
  proposal.acceptedBefore = true;
  startBallot(now, proposal, effects);
}

OrderProposer::Proposal& OrderProposer::addProposal(const OrderPtr& order) {
  Proposal& proposal = proposals_.try_emplace(order->id, order, *config_.voters).first->second;
  for (const Item& item : order->items) {
    const RegisterState state = config_.decided->stateOf(item);
    if (state == RegisterState::open) proposal.open.emplace(registerOf(item), &item);
    if (state == RegisterState::expired) proposal.expired.insert(registerOf(item));
  }
  return proposal;
}

void OrderProposer::forgetCall(std::uint64_t call) {
  for (auto next = proposals_.begin(); next != proposals_.end();) {
    Proposal& proposal = next->second;
    const bool wasWaiting = proposal.calls.erase(call) > 0;
    const bool needed = !proposal.calls.empty() || proposal.acceptSent;
    next = wasWaiting && !needed ? proposals_.erase(next) : std::next(next);
  }
}

// --- ballots

Ballot OrderProposer::nextBallot(Proposal& proposal, Effects& effects) {
  ++lastCounter_;
  proposal.reservation = 0;
  if (lastCounter_ > durableReservation_) {
    if (lastCounter_ > reservedUpTo_) reservedUpTo_ = lastCounter_ + kRoundsPerReservation;
    proposal.reservation = reservedUpTo_;
    effects.entries.emplace_back(agreement_store::kReservedRoundsKey, std::to_string(reservedUpTo_));
  }
  return {makeRound(config_.voters->epoch, lastCounter_), config_.self.incarnation};
}

void OrderProposer::startBallot(Span now, Proposal& proposal, Effects& effects) {
  proposal.phase = Phase::preparing;
  proposal.ballot = nextBallot(proposal, effects);
  proposal.granted = VoteCount(*config_.voters);
  proposal.refused = VoteCount(*config_.voters);
  proposal.reported.clear();
  proposal.value.reset();
  proposal.blockedBy = 0;
  proposal.deadline = now + ballotTimeout(proposal);
  Prepare prepare{proposal.ballot, config_.voters->epoch, {}};
  for (const auto& [id, item] : proposal.open) prepare.registers.push_back(id);
  // A round may be sent only after the reservation that prevents its reuse after a restart is on disk.
  auto& messages = proposal.reservation != 0 ? effects.afterWrite : effects.messages;
  messages.push_back({std::nullopt, std::move(prepare)});
}

Span OrderProposer::ballotTimeout(const Proposal& proposal) const {
  return doubled(kBallotTimeout, proposal.failures, kMaxBallotTimeout) + extraTimeFor(proposal.open.size());
}

OrderProposer::Proposal* OrderProposer::find(const Ballot& ballot, Phase phase) {
  for (auto& [id, proposal] : proposals_) {
    if (proposal.ballot == ballot && proposal.phase == phase) return &proposal;
  }
  return nullptr;
}

bool OrderProposer::failBallot(Span now, Proposal& proposal) {
  if (proposal.calls.empty() && !proposal.acceptSent) {
    proposals_.erase(proposal.order->id);
    return false;
  }
  const Span limit = doubled(kInitialBackoff, proposal.failures, kMaxBackoff);
  std::uniform_int_distribution<Span::rep> delay(0, limit.count());
  ++proposal.failures;
  proposal.phase = Phase::waiting;
  proposal.deadline = now + Span{delay(random_)};
  return true;
}

void OrderProposer::learnRound(const Ballot& promised) {
  const std::uint64_t counter = counterOf(promised);
  if (epochOf(promised) != config_.voters->epoch || counter > kMaxPlausibleCounter) return;
  lastCounter_ = std::max(lastCounter_, counter);
}

std::size_t OrderProposer::voterCount() const {
  const VoterSet& set = *config_.voters;
  return set.epoch.value == 0 ? set.foundingSize : set.voters.size();
}

bool OrderProposer::cannotReachMajority(const Proposal& proposal) const {
  return proposal.refused.count() + config_.voters->quorum() > voterCount();
}

// --- phase 1

void OrderProposer::handle(Span now, const PrepareReply& message, Effects& effects) {
  Proposal* proposal = find(message.ballot, Phase::preparing);
  if (proposal == nullptr || proposal->granted.has(message.voter)) return;
  VoteCount& votes = message.granted ? proposal->granted : proposal->refused;
  if (!votes.add(message.voter, message.epoch)) return;
  durableReservation_ = std::max(durableReservation_, proposal->reservation);
  if (!message.granted) {
    learnRound(message.promised);
    if (cannotReachMajority(*proposal)) failBallot(now, *proposal);
    return;
  }
  recordAccepted(message, *proposal);
  evaluate(now, *proposal, false, effects);
}

void OrderProposer::recordAccepted(const PrepareReply& message, Proposal& proposal) {
  for (const AcceptedOrder& accepted : message.accepted) {
    if (accepted.order == nullptr || accepted.order->items.empty()) continue;
    ReportedOrder& reported = proposal.reported[accepted.order->id];
    if (reported.acceptors == 0 || reported.accepted.ballot < accepted.ballot) reported.accepted = accepted;
    ++reported.acceptors;
  }
}

void OrderProposer::evaluate(Span now, Proposal& proposal, bool timedOut, Effects& effects) {
  if (!proposal.granted.majority()) return;
  const ReportedOrder* first = findBlocking(proposal);
  // A voter set may be obsolete for all processes but the voters that accepted it. The outstanding replies
  // show whether it may be decided nevertheless. Any other order is completed at once.
  const ReportedOrder* accepted = first != nullptr ? first : ownReported(proposal);
  if (!timedOut && accepted != nullptr && isVoterSetOrder(*accepted->accepted.order) &&
      awaitsReplies(proposal, *accepted))
    return;
  if (first == nullptr && accepted == nullptr && mustWaitForLaterVersion(proposal)) {
    waitForLaterVersion(now, proposal, effects);
    return;
  }
  if (first == nullptr) {
    sendAccept(now, proposal, effects);
    return;
  }
  const OrderPtr other = first->accepted.order;
  proposal.phase = Phase::waiting;
  proposal.deadline = now + kBlockedTimeout;
  proposal.blockedBy = other->id;
  complete(now, other, effects);
}

// Prevents an old version from being proposed after a later one was acknowledged and then becoming current at
// processes that have not received the later one yet.
bool OrderProposer::mustWaitForLaterVersion(const Proposal& proposal) const {
  if (proposal.laterVersionWaits >= kMaxLaterVersionWaits) return false;
  return lacksLaterVersion(proposal) || mayBeSuperseded(proposal);
}

bool OrderProposer::lacksLaterVersion(const Proposal& proposal) const {
  return std::any_of(proposal.open.begin(), proposal.open.end(), [&](const auto& open) {
    const auto later = config_.decided->laterThan(open.first);
    if (!later) return false;
    const Item* const current = config_.currentItems->find(later->id.item);
    return current == nullptr || current->generation < later->id.version;
  });
}

// The later version is completed by its proposer or by a voter. Two orders never wait for each other, because
// one of them has been accepted.
bool OrderProposer::mayBeSuperseded(const Proposal& proposal) const {
  if (proposal.acceptSent || proposal.acceptedBefore) return false;
  return std::any_of(proposal.reported.begin(), proposal.reported.end(), [&](const auto& entry) {
    const ReportedOrder& reported = entry.second;
    const std::vector<Item>& items = reported.accepted.order->items;
    const bool supersedes = std::any_of(items.begin(), items.end(), [&](const Item& later) {
      const auto open = proposal.open.lower_bound(RegisterId{later.key, {}});
      return open != proposal.open.end() && open->first.item == later.key &&
             open->first.version < later.generation;
    });
    return supersedes && !isRuledOut(proposal, reported);
  });
}

// The missing items usually arrive during the first wait; after that they are requested from the voters.
void OrderProposer::waitForLaterVersion(Span now, Proposal& proposal, Effects& effects) {
  proposal.phase = Phase::waiting;
  proposal.deadline = now + kLaterVersionWait;
  if (++proposal.laterVersionWaits < 2 || !lacksLaterVersion(proposal)) return;
  ItemsRequest request;
  request.versions = config_.currentItems->versions();
  effects.messages.push_back({std::nullopt, std::move(request)});
}

const OrderProposer::ReportedOrder* OrderProposer::ownReported(const Proposal& proposal) const {
  const auto own = proposal.reported.find(proposal.order->id);
  const bool possible = own != proposal.reported.end() && !isRuledOut(proposal, own->second);
  return possible ? &own->second : nullptr;
}

// Prevents proposers from waiting for a permanently lost voter while they repeatedly preempt each other with
// higher ballots.
bool OrderProposer::awaitsReplies(const Proposal& proposal, const ReportedOrder& accepted) const {
  if (accepted.acceptors >= config_.voters->quorum()) return false;
  const std::vector<VoterId>& voters = config_.voters->voters;
  const bool allKnown = config_.voters->epoch.value > 0;
  return !allKnown || std::any_of(voters.begin(), voters.end(), [&](const VoterId& voter) {
    const bool replied = proposal.granted.has(voter) || proposal.refused.has(voter);
    return !replied && !(config_.isPermanentlyLost && config_.isPermanentlyLost(voter));
  });
}

bool OrderProposer::isRuledOut(const Proposal& proposal, const ReportedOrder& reported) const {
  // A voter that granted this ballot without having accepted the order can no longer accept it at a lower
  // ballot.
  const std::size_t possibleAcceptors = reported.acceptors + voterCount() - proposal.granted.count();
  if (possibleAcceptors < config_.voters->quorum()) return true;
  const Order& order = *reported.accepted.order;
  for (const Item& item : order.items) {
    if (config_.decided->stateOf(item) == RegisterState::otherValue) return true;
  }
  for (const auto& [id, other] : proposal.reported) {
    if (other.accepted.ballot > reported.accepted.ballot && conflicts(*other.accepted.order, order))
      return true;
  }
  return false;
}

const OrderProposer::ReportedOrder* OrderProposer::findBlocking(const Proposal& proposal) const {
  const OrderPtr own = undecidedPart(proposal);
  const ReportedOrder* highest = nullptr;
  for (const auto& [id, reported] : proposal.reported) {
    if (!conflicts(*reported.accepted.order, *own) || isRuledOut(proposal, reported)) continue;
    if (highest == nullptr || highest->accepted.ballot < reported.accepted.ballot) highest = &reported;
  }
  return highest;
}

OrderPtr OrderProposer::undecidedPart(const Proposal& proposal) const {
  if (proposal.open.size() == proposal.order->items.size()) return proposal.order;
  std::vector<Item> items;
  for (const auto& [id, item] : proposal.open) items.push_back(*item);
  return makeOrder(std::move(items));
}

// --- phase 2

void OrderProposer::sendAccept(Span now, Proposal& proposal, Effects& effects) {
  const bool mayBeDecided = ownReported(proposal) != nullptr;
  proposal.phase = Phase::accepting;
  proposal.value = undecidedPart(proposal);
  proposal.acceptSent = true;
  proposal.granted = VoteCount(*config_.voters);
  proposal.refused = VoteCount(*config_.voters);
  proposal.deadline = now + ballotTimeout(proposal);
  effects.messages.push_back(
      {std::nullopt, Accept{proposal.ballot, config_.voters->epoch, proposal.value, mayBeDecided}});
}

OrderPtr OrderProposer::handle(Span now, const AcceptReply& message, Effects& effects) {
  Proposal* proposal = find(message.ballot, Phase::accepting);
  if (proposal == nullptr || proposal->granted.has(message.voter)) return nullptr;
  VoteCount& votes = message.granted ? proposal->granted : proposal->refused;
  if (!votes.add(message.voter, message.epoch)) return nullptr;
  if (!message.granted) {
    learnRound(message.promised);
    if (cannotReachMajority(*proposal)) failBallot(now, *proposal);
    return nullptr;
  }
  if (!proposal->granted.majority()) return nullptr;
  // The complete order except items whose decision has expired, so that receivers can apply it atomically.
  std::vector<Item> items;
  for (const Item& item : proposal->order->items) {
    if (!proposal->expired.contains(registerOf(item))) items.push_back(item);
  }
  OrderPtr decided =
      items.size() == proposal->order->items.size() ? proposal->order : makeOrder(std::move(items));
  effects.messages.push_back({std::nullopt, Decided{decided, config_.decided->laterThan(decided->items)}});
  return decided;
}

// --- completion

std::vector<OrderPtr> OrderProposer::applyDecided(Span now, const std::vector<DecidedRegister>& decided,
                                                  const std::vector<Item>& currentItems, Effects& effects) {
  std::vector<OrderPtr> done;
  std::vector<std::uint64_t> finished;
  for (auto& [order, proposal] : proposals_) {
    std::vector<RegisterId> conflicting;
    for (const DecidedRegister& reg : decided) {
      const auto open = proposal.open.find(reg.id);
      if (open == proposal.open.end()) continue;
      const RegisterState state = config_.decided->stateOf(*open->second);
      const bool expired = state == RegisterState::expired || (state == RegisterState::open && reg.hash == 0);
      if (state == RegisterState::open && !expired) continue;
      if (state == RegisterState::otherValue) conflicting.push_back(reg.id);
      if (expired) proposal.expired.insert(reg.id);
      proposal.open.erase(open);
    }
    if (!conflicting.empty()) {
      reportConflict(proposal, conflicting, currentItems, effects);
    } else if (proposal.open.empty()) {
      for (const std::uint64_t call : proposal.calls) {
        effects.outcomes.push_back({call, OrderResult::decided, {}});
      }
      done.push_back(proposal.order);
    } else {
      continue;
    }
    finished.push_back(order);
  }
  for (const std::uint64_t order : finished) finish(now, order);
  return done;
}

void OrderProposer::reportConflict(const Proposal& proposal, const std::vector<RegisterId>& conflicting,
                                   const std::vector<Item>& currentItems, Effects& effects) const {
  std::map<ItemKey, Item> newest;
  const auto add = [&newest](const Item& item) {
    const auto [place, first] = newest.try_emplace(item.key, item);
    if (!first && place->second.generation < item.generation) place->second = item;
  };
  for (const RegisterId& id : conflicting) {
    if (const Item* item = config_.currentItems->find(id.item)) add(*item);
    for (const Item& item : currentItems) {
      if (item.key == id.item) add(item);
    }
  }
  OrderOutcome outcome{0, OrderResult::conflict, {}};
  for (const auto& [key, item] : newest) outcome.standing.push_back(item);
  for (const std::uint64_t call : proposal.calls) {
    outcome.call = call;
    effects.outcomes.push_back(outcome);
  }
}

void OrderProposer::finish(Span now, std::uint64_t order) {
  proposals_.erase(order);
  for (auto& [id, proposal] : proposals_) {
    if (proposal.phase == Phase::waiting && proposal.blockedBy == order) proposal.deadline = now;
  }
}

// --- time

void OrderProposer::restart(Span now, Effects& effects) {
  for (auto& [id, proposal] : proposals_) startBallot(now, proposal, effects);
}

void OrderProposer::tick(Span now, Effects& effects) {
  std::vector<std::uint64_t> due;
  for (const auto& [id, proposal] : proposals_) {
    if (proposal.deadline <= now) due.push_back(id);
  }
  for (const std::uint64_t id : due) {
    const auto found = proposals_.find(id);
    if (found == proposals_.end()) continue;
    Proposal& proposal = found->second;
    if (proposal.phase == Phase::preparing) evaluate(now, proposal, true, effects);
    if (proposal.phase == Phase::waiting && proposal.deadline <= now) {
      startBallot(now, proposal, effects);
    } else if (proposal.deadline <= now) {
      failBallot(now, proposal);
    }
  }
}

std::optional<Span> OrderProposer::nextTick() const {
  std::optional<Span> next;
  for (const auto& [id, proposal] : proposals_) {
    if (!next || proposal.deadline < *next) next = proposal.deadline;
  }
  return next;
}

}  // namespace rackroute::mesh
