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

constexpr std::string_view kItemPrefix = "i/";  // of the modelled disk: items in force

Address addressOf(std::size_t process) { return {"p" + std::to_string(process)}; }

/// The order's value for a register that it shares with the next order, and one for that with the order
/// before.
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

/// Equal for equal messages of the agreement.
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

bool tellsAccepted(const Effects& effects) {
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

/// A process as it runs, at one node.
struct AgreementHistories::Running {
  Node node;
  Items items;
  std::unique_ptr<Agreement> agreement;
  Span now{};
  std::vector<Sent> sent;              // by the input that is played
  std::vector<MessageNo> ownMessages;  // to be heard at once
  bool replays = false;                // the disk and what was sent are known already
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

NodeNo AgreementHistories::first(std::size_t process) {
  Running running;
  running.node.process = static_cast<std::uint8_t>(process);
  running.node.self = set(1).voters.at(process);
  start(running);
  return numberOf(running, 0, {});
}

/// Starts on what is on the disk.
void AgreementHistories::start(Running& running) {
  Node& node = running.node;
  node.inputs.clear();
  node.unwritten.clear();
  node.neverWritten.clear();
  node.sentAfterWrite.clear();
  node.hasProposed = false;
  node.startedOn = std::make_shared<const Node::Start>(Node::Start{node.disk, node.epoch, node.holdsState});
  running.now = {};
  running.items = {};
  running.agreement = std::make_unique<Agreement>(Agreement::Config{
      node.self, node.self.incarnation.value, &running.items, [](const VoterSet&, bool) { return true; }});
  for (const auto& [key, value] : node.disk) {
    if (key.starts_with(kItemPrefix)) {
      running.items.merge(itemFromJson(nlohmann::json::parse(value)));
    } else {
      running.agreement->restore(key, value);
    }
  }
  Effects effects;
  running.agreement->setVoters(set(node.epoch), running.now, effects);
  running.agreement->setMayVote(node.holdsState || search_.flaw == Flaw::votesBeforeReading);
  take(running, effects, {});
}

std::unique_ptr<AgreementHistories::Running> AgreementHistories::running(const Node& node) {
  auto running = std::make_unique<Running>();
  running->replays = true;
  running->node = node;
  running->node.disk = node.startedOn->disk;
  running->node.epoch = node.startedOn->epoch;
  running->node.holdsState = node.startedOn->holdsState;
  running->node.readFrom.clear();
  start(*running);
  for (const Input& input : node.inputs) play(*running, input);
  running->node = node;  // its disk and all that it sent are known
  running->sent.clear();
  running->replays = false;
  return running;
}

const Transition& AgreementHistories::after(NodeNo number, const Input& input) {
  const auto key = std::tuple(number, input.kind, input.number, input.from);
  if (const auto known = transitions_.find(key); known != transitions_.end()) return known->second;
  const auto process = running(nodes_[number]);
  play(*process, input);
  Transition transition;
  transition.node = numberOf(*process, number, input);
  transition.sent = std::move(process->sent);
  return transitions_.emplace(key, std::move(transition)).first->second;
}

void AgreementHistories::play(Running& running, const Input& input) {
  Node& node = running.node;
  Effects effects;
  const bool starts = input.kind == InputKind::restarts || input.kind == InputKind::wiped;
  if (!starts) node.inputs.push_back(input);
  switch (input.kind) {
    case InputKind::proposes:
      node.hasProposed = true;
      running.agreement->propose(running.now, input.number + 1, orders_[input.number], effects);
      break;
    case InputKind::hears:
      hear(running, input.from, Message(messages_[input.number]));
      break;
    case InputKind::timer:
      running.now = std::max(running.now, running.agreement->nextTick().value_or(running.now));
      running.agreement->tick(running.now, effects);
      break;
    case InputKind::written:
      write(running);
      break;
    case InputKind::adopts:
      node.epoch = input.number;
      if (set(node.epoch).mustRead(node.self)) node.holdsState = false;
      running.agreement->setVoters(set(node.epoch), running.now, effects);
      running.agreement->setMayVote(node.holdsState || search_.flaw == Flaw::votesBeforeReading);
      break;
    case InputKind::reads: {
      const Node other = nodes_[input.number];
      const auto read = this->running(other);
      running.agreement->importState(running.now, read->agreement->accepted(),
                                     read->agreement->decidedRegisters(), effects);
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
      start(running);
      break;
  }
  take(running, effects, {});
  hearOwn(running);
  if (input.kind == InputKind::reads && node.readFrom.size() >= set(node.epoch).readQuorum()) {
    write(running);  // its copy is on disk before it votes
    hearOwn(running);
    node.holdsState = true;
    node.readFrom.clear();
    running.agreement->setMayVote(true);
  }
  node.nextTimer = running.agreement->nextTick();
  noteForce(running);
}

void AgreementHistories::hear(Running& running, std::uint8_t from, const Message& message) {
  Effects effects;
  std::vector<Item> merged;
  Agreement& agreement = *running.agreement;
  if (const auto* it = std::get_if<Prepare>(&message))
    agreement.handle(running.now, addressOf(from), *it, effects);
  if (const auto* it = std::get_if<Accept>(&message)) {
    agreement.handle(running.now, addressOf(from), *it, effects);
    if (search_.flaw == Flaw::acceptsWhatever && !tellsAccepted(effects)) {
      AcceptReply reply;
      reply.ballot = it->ballot;
      reply.epoch = it->epoch;
      reply.voter = running.node.self;
      reply.granted = true;
      effects.messages = {{addressOf(from), reply}};
    }
  }
  if (const auto* it = std::get_if<PrepareReply>(&message)) agreement.handle(running.now, *it, effects);
  if (const auto* it = std::get_if<AcceptReply>(&message)) agreement.handle(running.now, *it, effects);
  if (const auto* it = std::get_if<Decided>(&message)) {
    for (const Item& item : it->order->items) {
      if (running.items.merge(item)) merged.push_back(item);
      if (search_.flaw == Flaw::inForceInParts) break;
    }
    agreement.recordDecided(running.now, it->order->items, effects);
  }
  take(running, effects, std::move(merged));
}

void AgreementHistories::hearOwn(Running& running) {
  while (!running.ownMessages.empty()) {
    const MessageNo message = running.ownMessages.front();
    running.ownMessages.erase(running.ownMessages.begin());
    hear(running, running.node.process, Message(messages_[message]));
  }
}

/// Whoever runs an Agreement does this with its effects.
void AgreementHistories::take(Running& running, const Effects& effects, std::vector<Item> merged) {
  Node& node = running.node;
  for (const Item& item : effects.decided) {
    if (running.items.merge(item)) merged.push_back(item);
  }
  if (search_.flaw == Flaw::pushedBeforeAgreed) {
    for (const Envelope& envelope : effects.messages) {
      if (const auto* accept = std::get_if<Accept>(&envelope.message)) {
        for (const Item& item : accept->order->items) running.items.merge(item);
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
    const bool inMemoryOnly = promise && search_.flaw == Flaw::promisesNotWritten;
    (inMemoryOnly ? node.neverWritten : node.unwritten).push_back(entry);
  }
  for (const Item& item : merged)
    node.unwritten.emplace_back(std::string(kItemPrefix) + textOf(item.key), wireOf(item));
  for (const Envelope& envelope : effects.messages) send(running, envelope, running.sent);
  std::vector<Sent>& later = search_.flaw == Flaw::toldBeforeWrite ? running.sent : node.sentAfterWrite;
  for (const Envelope& envelope : effects.afterWrite) send(running, envelope, later);
  if (!writesApart()) write(running);
}

void AgreementHistories::send(Running& running, const Envelope& envelope, std::vector<Sent>& sent) {
  const VoterSet& voters = set(running.node.epoch);
  const MessageNo number = numberOf(envelope.message);
  for (std::size_t p = 0; p < search_.voters; ++p) {
    if (envelope.to && *envelope.to != addressOf(p)) continue;
    const bool toAll = std::holds_alternative<Decided>(envelope.message);
    if (!envelope.to && !toAll && voters.find(addressOf(p)) == nullptr) continue;
    if (p == running.node.process && &sent == &running.sent) {
      running.ownMessages.push_back(number);
    } else {
      sent.push_back({static_cast<std::uint8_t>(p), number});
    }
  }
}

void AgreementHistories::write(Running& running) {
  Node& node = running.node;
  for (const auto& [key, value] : std::exchange(node.unwritten, {})) {
    if (!value) {
      node.disk.erase(key);
      continue;
    }
    node.disk[key] = *value;
    if (key.starts_with(agreement_store::kOrderPrefix)) noteAccepted(node, *value);
  }
  for (const Sent& sent : std::exchange(node.sentAfterWrite, {})) {
    if (sent.to == node.process) {
      running.ownMessages.push_back(sent.message);
    } else {
      running.sent.push_back(sent);
    }
  }
}

/// Copies of what others accepted, which a reader makes, are no acceptances: it reads before it votes.
void AgreementHistories::noteAccepted(Node& node, const std::string& text) const {
  if (!node.holdsState && search_.flaw != Flaw::votesBeforeReading) return;
  const AcceptedOrder accepted = agreement_store::parseOrder(text);
  node.accepted.insert({accepted.ballot, node.self, ordersOf(*accepted.order)});
}

unsigned AgreementHistories::ordersOf(const Order& order) const {
  unsigned orders = 0;
  for (const Item& item : order.items) orders |= 1U << item.value.at("of").get<unsigned>();
  return orders;
}

void AgreementHistories::noteForce(Running& running) const {
  Node& node = running.node;
  node.inForce = 0;
  node.partial = false;
  for (std::size_t i = 0; i < orders_.size(); ++i) {
    std::size_t items = 0;
    for (const Item& item : orders_[i]->items) {
      const Item* held = running.items.find(item.key);
      items += held != nullptr && held->hash == item.hash;
    }
    if (items > 0) node.inForce |= 1U << i;
    if (items > 0 && items < orders_[i]->items.size()) node.partial = true;
  }
}

NodeNo AgreementHistories::numberOf(const Running& running, NodeNo parent, const Input& input) {
  Node node = running.node;
  node.nextTimer = running.agreement->nextTick();
  std::ostringstream print;
  print << int(node.process) << '|' << node.epoch << node.holdsState << '|' << running.now.count() << '|'
        << node.acknowledged << ',' << node.refused << ',' << node.inForce << node.partial << '|';
  for (const std::size_t p : node.readFrom) print << p << ' ';
  for (const auto& [key, value] : node.disk) print << key << '=' << value << ';';
  print << '|';
  for (const auto& [key, value] : node.unwritten) print << key << '=' << value.value_or("-") << ';';
  print << '|';
  for (const auto& [key, value] : node.neverWritten) print << key << '=' << value.value_or("-") << ';';
  for (const Sent& sent : node.sentAfterWrite) print << int(sent.to) << ':' << sent.message << ' ';
  print << '|';
  for (const AcceptedOnDisk& one : node.accepted)
    print << textOf(one.ballot) << one.voter.incarnation.value << '.' << one.orders << ' ';
  // A process that proposes has more in memory than is told of it: there equal histories alone are equal.
  const bool proposes = node.hasProposed || running.agreement->proposalsInFlight() > 0;
  node.hasProposed = proposes;
  if (proposes) print << "|after " << parent << ' ' << textOf(input);
  if (node.nextTimer) print << "|timer " << node.nextTimer->count();
  const auto [known, added] = byPrint_.try_emplace(print.str(), static_cast<NodeNo>(nodes_.size()));
  if (added) nodes_.push_back(std::move(node));
  return known->second;
}

MessageNo AgreementHistories::numberOf(const Message& message) {
  std::string text = textOf(message);
  const auto [known, added] = byText_.try_emplace(text, static_cast<MessageNo>(messages_.size()));
  if (added) {
    messages_.push_back(message);
    texts_.push_back(std::move(text));
  }
  return known->second;
}

}  // namespace rackroute::lab::mesh
