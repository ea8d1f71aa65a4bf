#include "lab/mesh/agreement_histories.hpp"

#include <algorithm>
#include <sstream>
#include <type_traits>

#include "mesh/control/agreement_store.hpp"
#include "mesh/control/ballot_rounds.hpp"

namespace rackroute::lab::mesh {
namespace {

using namespace rackroute::mesh;
using Flaw = AgreementFlaw;

constexpr std::string_view kItemPrefix = "i/";  // key prefix of applied items on the modelled disk

Address addressOf(std::size_t process) { return {"p" + std::to_string(process)}; }

/// An order with two items: one for the register shared with the next order, one for the register shared with
/// the previous order.
OrderPtr orderOf(std::size_t number, std::size_t orders) {
  std::vector<Item> items;
  for (const std::size_t name : {number, (number + 1) % std::max<std::size_t>(orders, 3)}) {
    Item item;
    item.key = {ItemKind::service, "s" + std::to_string(name)};
    item.generation = {1};
    item.value = {{"of", number}};
    items.push_back(std::move(item));
  }
  return makeOrder(std::move(items));
}

std::string textOf(const Ballot& ballot) {
  return std::to_string(epochOf(ballot).value) + "." + std::to_string(counterOf(ballot)) + "/" +
         std::to_string(ballot.proposer.value);
}
std::string textOf(const OrderPtr& order) {
  std::string text = "{";
  for (const Item& item : order->items) text += item.key.name + "=" + item.value.at("of").dump() + " ";
  return text + "}";
}
std::string textOf(const std::vector<DecidedRegister>& decided) {
  std::string text;
  for (const DecidedRegister& reg : decided)
    text += " " + reg.id.item.name + ":" + std::to_string(reg.hash % 1000);
  return text;
}

/// Two agreement messages are equal if their texts are equal.
std::string textOf(const Message& message) {
  std::ostringstream out;
  std::visit(
      [&](const auto& it) {
        using Kind = std::decay_t<decltype(it)>;
        if constexpr (std::is_same_v<Kind, Prepare>) {
          out << "Prepare " << textOf(it.ballot);
          for (const RegisterId& reg : it.registers) out << " " << reg.item.name;
        } else if constexpr (std::is_same_v<Kind, PrepareReply>) {
          out << (it.granted ? "granted " : "refused ") << textOf(it.ballot) << " by "
              << it.voter.incarnation.value << " promised " << textOf(it.promised) << " accepted";
          for (const AcceptedOrder& one : it.accepted) out << " " << textOf(one.ballot) << textOf(one.order);
          out << " decided" << textOf(it.decided);
        } else if constexpr (std::is_same_v<Kind, Accept>) {
          out << "Accept " << textOf(it.ballot) << textOf(it.order);
        } else if constexpr (std::is_same_v<Kind, AcceptReply>) {
          out << (it.granted ? "accepted " : "not accepted ") << textOf(it.ballot) << " by "
              << it.voter.incarnation.value << " promised " << textOf(it.promised) << " decided"
              << textOf(it.decided);
        } else if constexpr (std::is_same_v<Kind, Decided>) {
          out << "Decided " << textOf(it.order);
        }
      },
      message);
  return out.str();
}

bool reportsAccepted(const Effects& effects) {
  const auto accepts = [](const Envelope& envelope) {
    const auto* reply = std::get_if<AcceptReply>(&envelope.message);
    return reply != nullptr && reply->granted;
  };
  return std::any_of(effects.messages.begin(), effects.messages.end(), accepts) ||
         std::any_of(effects.afterWrite.begin(), effects.afterWrite.end(), accepts);
}

std::string textOf(const Input& input) {
  return std::to_string(static_cast<int>(input.kind)) + "," + std::to_string(input.number) + "," +
         std::to_string(input.from);
}

}  // namespace

/// A process that has been replayed to a node.
struct AgreementHistories::LiveProcess {
  Node node;
  Items items;
  std::unique_ptr<Agreement> agreement;
  Span now{};
  std::vector<Sent> sent;              // messages sent by the current input
  std::vector<MessageId> ownMessages;  // to itself, delivered immediately
  bool replaying = false;              // inputs are replayed; the disk and the sent messages are known
};

AgreementHistories::AgreementHistories(const AgreementSearch& search) : search_(search) {
  VoterSet set;
  set.epoch = {1};
  set.previousSize = search_.voters;
  for (std::size_t p = 0; p < search_.voters; ++p) set.voters.push_back({addressOf(p), {p + 1}});
  const VoterId last = set.voters.back();
  sets_ = {set, withReplacement(set, last, {last.at, {last.incarnation.value + 10}})};
  for (std::size_t i = 0; i < search_.proposers; ++i) orders_.push_back(orderOf(i, search_.proposers));
}

NodeId AgreementHistories::firstNode(std::size_t process) {
  LiveProcess live;
  live.node.process = static_cast<std::uint8_t>(process);
  live.node.self = set(1).voters.at(process);
  start(live);
  return internNode(live, 0, {});
}

/// Starts the process from its disk.
void AgreementHistories::start(LiveProcess& live) {
  Node& node = live.node;
  node.inputs.clear();
  node.unwritten.clear();
  node.notPersisted.clear();
  node.sendAfterWrite.clear();
  node.hasProposed = false;
  node.startState = std::make_shared<const Node::Start>(Node::Start{node.disk, node.epoch, node.holdsState});
  live.now = {};
  live.items = {};
  live.agreement = std::make_unique<Agreement>(Agreement::Config{
      node.self, node.self.incarnation.value, &live.items, [](const VoterSet&, bool) { return true; }});
  for (const auto& [key, value] : node.disk) {
    if (key.starts_with(kItemPrefix)) {
      live.items.merge(itemFromJson(nlohmann::json::parse(value)));
    } else {
      live.agreement->restore(key, value);
    }
  }
  Effects effects;
  live.agreement->setVoters(set(node.epoch), live.now, effects);
  live.agreement->setMayVote(node.holdsState || search_.flaw == Flaw::votesBeforeReading);
  handleEffects(live, effects, {});
}

std::unique_ptr<AgreementHistories::LiveProcess> AgreementHistories::replay(const Node& node) {
  auto live = std::make_unique<LiveProcess>();
  live->replaying = true;
  live->node = node;
  live->node.disk = node.startState->disk;
  live->node.epoch = node.startState->epoch;
  live->node.holdsState = node.startState->holdsState;
  live->node.readFrom.clear();
  start(*live);
  for (const Input& input : node.inputs) applyInput(*live, input);
  live->node = node;
  live->sent.clear();
  live->replaying = false;
  return live;
}

const Transition& AgreementHistories::transition(NodeId number, const Input& input) {
  const auto key = std::tuple(number, input.kind, input.number, input.from);
  if (const auto known = transitions_.find(key); known != transitions_.end()) return known->second;
  const auto process = replay(nodes_[number]);
  applyInput(*process, input);
  Transition transition;
  transition.node = internNode(*process, number, input);
  transition.sent = std::move(process->sent);
  return transitions_.emplace(key, std::move(transition)).first->second;
}

void AgreementHistories::applyInput(LiveProcess& live, const Input& input) {
  Node& node = live.node;
  Effects effects;
  const bool starts = input.kind == InputKind::restarts || input.kind == InputKind::wiped;
  if (!starts) node.inputs.push_back(input);
  switch (input.kind) {
    case InputKind::proposes:
      node.hasProposed = true;
      live.agreement->propose(live.now, input.number + 1, orders_[input.number], effects);
      break;
    case InputKind::receives:
      deliver(live, input.from, Message(messages_[input.number]));
      break;
    case InputKind::timer:
      live.now = std::max(live.now, live.agreement->nextTick().value_or(live.now));
      live.agreement->tick(live.now, effects);
      break;
    case InputKind::written:
      completeWrites(live);
      break;
    case InputKind::adopts:
      node.epoch = input.number;
      if (set(node.epoch).mustRead(node.self)) node.holdsState = false;
      live.agreement->setVoters(set(node.epoch), live.now, effects);
      live.agreement->setMayVote(node.holdsState || search_.flaw == Flaw::votesBeforeReading);
      break;
    case InputKind::reads: {
      const Node other = nodes_[input.number];
      const auto read = this->replay(other);
      live.agreement->importState(live.now, read->agreement->accepted(), read->agreement->decidedRegisters(),
                                  effects);
      node.readFrom.insert(other.process);
      break;
    }
    case InputKind::wiped:
      node.disk.clear();
      node.self = set(2).voters.at(node.process);
      node.holdsState = false;
      [[fallthrough]];
    case InputKind::restarts:
      node.readFrom.clear();
      start(live);
      break;
  }
  handleEffects(live, effects, {});
  deliverOwn(live);
  if (input.kind == InputKind::reads && node.readFrom.size() >= set(node.epoch).readQuorum()) {
    completeWrites(live);  // the copied state must be on disk before the process votes
    deliverOwn(live);
    node.holdsState = true;
    node.readFrom.clear();
    live.agreement->setMayVote(true);
  }
  node.nextTimer = live.agreement->nextTick();
  updateApplied(live);
}

void AgreementHistories::deliver(LiveProcess& live, std::uint8_t from, const Message& message) {
  Effects effects;
  std::vector<Item> merged;
  Agreement& agreement = *live.agreement;
  if (const auto* it = std::get_if<Prepare>(&message))
    agreement.handle(live.now, addressOf(from), *it, effects);
  if (const auto* it = std::get_if<Accept>(&message)) {
    agreement.handle(live.now, addressOf(from), *it, effects);
    if (search_.flaw == Flaw::acceptsUnconditionally && !reportsAccepted(effects)) {
      AcceptReply reply;
      reply.ballot = it->ballot;
      reply.epoch = it->epoch;
      reply.voter = live.node.self;
      reply.granted = true;
      effects.messages = {{addressOf(from), reply}};
    }
  }
  if (const auto* it = std::get_if<PrepareReply>(&message)) agreement.handle(live.now, *it, effects);
  if (const auto* it = std::get_if<AcceptReply>(&message)) agreement.handle(live.now, *it, effects);
  if (const auto* it = std::get_if<Decided>(&message)) {
    for (const Item& item : it->order->items) {
      if (live.items.merge(item)) merged.push_back(item);
      if (search_.flaw == Flaw::appliesPartially) break;
    }
    agreement.recordDecided(live.now, it->order->items, effects);
  }
  handleEffects(live, effects, std::move(merged));
}

void AgreementHistories::deliverOwn(LiveProcess& live) {
  while (!live.ownMessages.empty()) {
    const MessageId message = live.ownMessages.front();
    live.ownMessages.erase(live.ownMessages.begin());
    deliver(live, live.node.process, Message(messages_[message]));
  }
}

/// Handles the effects of the Agreement as a control node does.
void AgreementHistories::handleEffects(LiveProcess& live, const Effects& effects, std::vector<Item> merged) {
  Node& node = live.node;
  for (const Item& item : effects.decided) {
    if (live.items.merge(item)) merged.push_back(item);
  }
  if (search_.flaw == Flaw::appliesBeforeDecision) {
    for (const Envelope& envelope : effects.messages) {
      if (const auto* accept = std::get_if<Accept>(&envelope.message)) {
        for (const Item& item : accept->order->items) live.items.merge(item);
      }
    }
  }
  for (const OrderOutcome& outcome : effects.outcomes) {
    if (outcome.call == 0) continue;
    const unsigned order = 1U << (outcome.call - 1);
    if (outcome.result == OrderResult::decided) node.acknowledged |= order;
    if (outcome.result == OrderResult::conflict) node.refused |= order;
  }
  for (const StoreEntry& entry : effects.entries) {
    const bool promise = entry.first.starts_with(agreement_store::kPromisePrefix);
    const bool inMemoryOnly = promise && search_.flaw == Flaw::promisesNotPersisted;
    (inMemoryOnly ? node.notPersisted : node.unwritten).push_back(entry);
  }
  for (const Item& item : merged)
    node.unwritten.emplace_back(std::string(kItemPrefix) + textOf(item.key), wireOf(item));
  for (const Envelope& envelope : effects.messages) send(live, envelope, live.sent);
  std::vector<Sent>& later = search_.flaw == Flaw::repliesBeforeWrite ? live.sent : node.sendAfterWrite;
  for (const Envelope& envelope : effects.afterWrite) send(live, envelope, later);
  if (!writesAreSteps()) completeWrites(live);
}

void AgreementHistories::send(LiveProcess& live, const Envelope& envelope, std::vector<Sent>& sent) {
  const VoterSet& voters = set(live.node.epoch);
  const MessageId number = internMessage(envelope.message);
  for (std::size_t p = 0; p < search_.voters; ++p) {
    if (envelope.to && *envelope.to != addressOf(p)) continue;
    const bool toAll = std::holds_alternative<Decided>(envelope.message);
    if (!envelope.to && !toAll && voters.find(addressOf(p)) == nullptr) continue;
    if (p == live.node.process && &sent == &live.sent) {
      live.ownMessages.push_back(number);
    } else {
      sent.push_back({static_cast<std::uint8_t>(p), number});
    }
  }
}

void AgreementHistories::completeWrites(LiveProcess& live) {
  Node& node = live.node;
  for (const auto& [key, value] : std::exchange(node.unwritten, {})) {
    if (!value) {
      node.disk.erase(key);
      continue;
    }
    node.disk[key] = *value;
    if (key.starts_with(agreement_store::kOrderPrefix)) recordAccepted(node, *value);
  }
  for (const Sent& sent : std::exchange(node.sendAfterWrite, {})) {
    if (sent.to == node.process) {
      live.ownMessages.push_back(sent.message);
    } else {
      live.sent.push_back(sent);
    }
  }
}

/// Records an acceptance that reached the disk. Orders that a process copies while it reads the state of
/// others are not acceptances of its own.
void AgreementHistories::recordAccepted(Node& node, const std::string& text) const {
  if (!node.holdsState && search_.flaw != Flaw::votesBeforeReading) return;
  const AcceptedOrder accepted = agreement_store::parseOrder(text);
  node.accepted.insert({accepted.ballot, node.self, ordersOf(*accepted.order)});
}

unsigned AgreementHistories::ordersOf(const Order& order) const {
  unsigned orders = 0;
  for (const Item& item : order.items) orders |= 1U << item.value.at("of").get<unsigned>();
  return orders;
}

void AgreementHistories::updateApplied(LiveProcess& live) const {
  Node& node = live.node;
  node.applied = 0;
  node.partial = false;
  for (std::size_t i = 0; i < orders_.size(); ++i) {
    std::size_t items = 0;
    for (const Item& item : orders_[i]->items) {
      const Item* current = live.items.find(item.key);
      items += current != nullptr && current->hash == item.hash;
    }
    if (items > 0) node.applied |= 1U << i;
    if (items > 0 && items < orders_[i]->items.size()) node.partial = true;
  }
}

NodeId AgreementHistories::internNode(const LiveProcess& live, NodeId parent, const Input& input) {
  Node node = live.node;
  node.nextTimer = live.agreement->nextTick();
  std::ostringstream fingerprint;
  fingerprint << int(node.process) << '|' << node.epoch << node.holdsState << '|' << live.now.count() << '|'
              << node.acknowledged << ',' << node.refused << ',' << node.applied << node.partial << '|';
  for (const std::size_t p : node.readFrom) fingerprint << p << ' ';
  for (const auto& [key, value] : node.disk) fingerprint << key << '=' << value << ';';
  fingerprint << '|';
  for (const auto& [key, value] : node.unwritten) fingerprint << key << '=' << value.value_or("-") << ';';
  fingerprint << '|';
  for (const auto& [key, value] : node.notPersisted) fingerprint << key << '=' << value.value_or("-") << ';';
  for (const Sent& sent : node.sendAfterWrite) fingerprint << int(sent.to) << ':' << sent.message << ' ';
  fingerprint << '|';
  for (const AcceptedOnDisk& one : node.accepted)
    fingerprint << textOf(one.ballot) << one.voter.incarnation.value << '.' << one.orders << ' ';
  // A proposer has state in memory that the fingerprint doesn't cover, so its nodes are merged only if their
  // histories are equal.
  const bool proposes = node.hasProposed || live.agreement->proposalsInFlight() > 0;
  node.hasProposed = proposes;
  if (proposes) fingerprint << "|after " << parent << ' ' << textOf(input);
  if (node.nextTimer) fingerprint << "|timer " << node.nextTimer->count();
  const auto [known, added] =
      byFingerprint_.try_emplace(fingerprint.str(), static_cast<NodeId>(nodes_.size()));
  if (added) nodes_.push_back(std::move(node));
  return known->second;
}

MessageId AgreementHistories::internMessage(const Message& message) {
  std::string text = textOf(message);
  const auto [known, added] = byText_.try_emplace(text, static_cast<MessageId>(messages_.size()));
  if (added) {
    messages_.push_back(message);
    texts_.push_back(std::move(text));
  }
  return known->second;
}

}  // namespace rackroute::lab::mesh
