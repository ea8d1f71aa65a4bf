#include "mesh/sidecar/control_client.hpp"

#include <xxhash.h>

#include <algorithm>
#include <iterator>
#include <tuple>
#include <variant>

namespace rackroute::mesh {
namespace {

using namespace std::chrono_literals;
using Kind = ControlClientAction::Kind;

constexpr Span kTick = 150ms;        // the finest step of all times below
constexpr Span kHeartbeat = 500ms;   // between heartbeats
constexpr Span kSilent = 1700ms;     // without a message, a session is over; three heartbeats and a delay
constexpr Span kDialTime = 450ms;    // for a dial; a hung one is given up
constexpr Span kRedial = 150ms;      // after a dial that failed or a session that ended
constexpr Span kRedialRefused = 2s;  // after a message that could not be decoded: one log line each
constexpr Span kDiffers = 200ms;     // with another digest than a home's, before items are fetched
constexpr Span kDiffersElsewhere = 1000ms;  // than another control process's
constexpr Span kRequestAgain = 700ms;       // between two requests for items
/// Without a settled control process in reach, before items that no majority confirmed must do: longer than
/// a control process takes to be settled again after one of them restarted.
constexpr Span kUnsettledFor = 3s;
/// Addresses that are neither seeds nor voters: more than stand by in any mesh.
constexpr std::size_t kMostTemporary = 32;
constexpr Span kForgetAfter = 30s;  // unreachable, one of them is forgotten

ControlClientAction actionAt(Kind kind, const Address& at) {
  ControlClientAction action;
  action.kind = kind;
  action.at = at;
  return action;
}

ControlClientAction action(Kind kind) { return actionAt(kind, {}); }

ControlClientAction sending(const Address& at, std::shared_ptr<const std::string> text) {
  ControlClientAction send = actionAt(Kind::say, at);
  send.text = std::move(text);
  return send;
}

ControlClientAction sending(const Address& at, const Message& message) {
  return sending(at, std::make_shared<const std::string>(encode(message)));
}

bool holdsConfiguration(const Items& items) {
  const auto& all = items.all();
  return std::any_of(all.begin(), all.end(),
                     [](const auto& entry) { return entry.first.kind != ItemKind::voters; });
}

}  // namespace

Span ControlClient::tickEvery() { return kTick; }

ControlClient::ControlClient(Built built) : built_(std::move(built)) {
  for (const Address& seed : built_.seeds) controls_[seed];
}

void ControlClient::advance(Span now) {
  now_ = now;
  if (anySettled()) lastSettled_ = now;
  unconfirmedWillDo_ = unconfirmedWillDo_ || unsettledForLong(now);
}

// --- known control processes

bool ControlClient::permanent(const Address& at) const {
  const std::vector<Address>& seeds = built_.seeds;
  return voters_.find(at) != nullptr || std::find(seeds.begin(), seeds.end(), at) != seeds.end();
}

std::size_t ControlClient::temporaryControls() const {
  return static_cast<std::size_t>(std::count_if(
      controls_.begin(), controls_.end(), [this](const auto& entry) { return !permanent(entry.first); }));
}

// Guards against replaced control processes, each at a new address, that fill the table: the one that has
// been unreachable for the longest makes room.
bool ControlClient::forgetLongestDown() {
  auto longest = controls_.end();
  for (auto at = controls_.begin(); at != controls_.end(); ++at) {
    if (at->second.up || permanent(at->first)) continue;
    if (longest == controls_.end() || at->second.downSince < longest->second.downSince) longest = at;
  }
  if (longest == controls_.end()) return false;
  controls_.erase(longest);
  return true;
}

void ControlClient::learn(const std::vector<Address>& addresses) {
  std::set<Address> told(addresses.begin(), addresses.end());
  std::size_t learned = 0;
  for (const Address& at : told) {
    if (at.value.empty() || controls_.count(at) > 0) continue;
    if (!permanent(at)) {
      // Guards against a list of any length that puts out by itself what it has just brought.
      if (learned == kMostTemporary) continue;
      if (temporaryControls() >= kMostTemporary && !forgetLongestDown()) continue;
      ++learned;
    }
    controls_[at].downSince = now_;
  }
}

// Voters and seeds that are so no longer count as the others do.
void ControlClient::trim(ControlClientActions& acts) {
  for (std::size_t surplus = temporaryControls(); surplus > kMostTemporary; --surplus) {
    if (forgetLongestDown()) continue;
    const auto last = std::find_if(controls_.rbegin(), controls_.rend(),
                                   [this](const auto& entry) { return !permanent(entry.first); });
    acts.push_back(actionAt(Kind::hangUp, last->first));
    controls_.erase(last->first);
  }
}

void ControlClient::forgetUnreachable() {
  std::erase_if(controls_, [this](const auto& entry) {
    return !entry.second.up && !permanent(entry.first) && entry.second.downSince + kForgetAfter <= now_;
  });
}

ControlClientActions ControlClient::seeds(Span now, std::vector<Address> seeds) {
  advance(now);
  ControlClientActions acts;
  built_.seeds = std::move(seeds);
  for (const Address& seed : built_.seeds) {
    if (controls_.count(seed) == 0) controls_[seed].downSince = now;
  }
  trim(acts);
  assign(acts);
  return acts;
}

// --- sessions

ControlClientActions ControlClient::sendTo(const Address& at, const Message& message) const {
  ControlClientActions acts;
  acts.push_back(sending(at, message));
  return acts;
}

ControlClientActions ControlClient::sendAll(const Message& message) const {
  const auto text = std::make_shared<const std::string>(encode(message));
  ControlClientActions acts;
  for (const auto& [at, control] : controls_) {
    if (control.up) acts.push_back(sending(at, text));
  }
  return acts;
}

ControlClientActions ControlClient::sendToVoters(const Message& message) const {
  const auto text = std::make_shared<const std::string>(encode(message));
  ControlClientActions acts;
  for (const VoterId& voter : reachedVoters()) acts.push_back(sending(voter.at, text));
  return acts;
}

ControlClientActions ControlClient::reached(Span now, const Address& at) {
  advance(now);
  ControlClientActions acts;
  const auto found = controls_.find(at);
  if (found == controls_.end()) {
    // Forgotten while it was dialled.
    acts.push_back(actionAt(Kind::hangUp, at));
    return acts;
  }
  Control& control = found->second;
  const std::uint64_t sequence = control.sequence;
  control = Control{};
  control.up = true;
  control.lastHeard = control.lastHeartbeat = now;
  control.sequence = sequence;
  if (!firstSession_) firstSession_ = now;
  Hello hello;
  hello.node = built_.node;
  hello.life = built_.life;
  hello.at = built_.at;
  acts.push_back(sending(at, hello));
  confirm(acts);
  return acts;
}

void ControlClient::closed(Control& control, Span redialAfter) {
  if (control.up) control.downSince = now_;
  control.up = false;
  control.next = now_ + redialAfter;
  control.followed.clear();
}

ControlClientActions ControlClient::ended(Span now, const Address& at) {
  advance(now);
  ControlClientActions acts;
  const auto found = controls_.find(at);
  if (found == controls_.end()) return acts;
  const bool was = found->second.up;
  closed(found->second, kRedial);
  if (!was) return acts;
  if (confirming_ == at) confirming_.reset();
  assign(acts);
  confirm(acts);
  return acts;
}

void ControlClient::alive(Span now, const Address& at) {
  const auto found = controls_.find(at);
  if (found == controls_.end()) return;
  found->second.lastHeard = now;
  if (confirming_ == at) confirmingSince_ = now;
}

void ControlClient::refuse(Entry& control, Error error, ControlClientActions& acts) {
  ControlClientAction refused = actionAt(Kind::refused, control.first);
  refused.error = std::move(error);
  refused.error.peer = control.first.value;
  acts.push_back(std::move(refused));
  closed(control.second, kRedialRefused);
  if (confirming_ == control.first) confirming_.reset();
  assign(acts);
  confirm(acts);
}

ControlClientActions ControlClient::heard(Span now, const Address& at, const nlohmann::json& text) {
  advance(now);
  ControlClientActions acts;
  const auto found = controls_.find(at);
  if (found == controls_.end() || !found->second.up) return acts;
  found->second.lastHeard = now;
  const Result<Message> message = decode(text);
  if (!message) {
    refuse(*found, message.error(), acts);
    return acts;
  }
  std::visit([&](const auto& known) { take(*found, known, acts); }, message.value());
  return acts;
}

void ControlClient::take(Entry& control, const Welcome& welcome, ControlClientActions& acts) {
  if (welcome.format != kMessageFormat) {
    const std::string what =
        "message format " + std::to_string(welcome.format) + " in place of " + std::to_string(kMessageFormat);
    return refuse(control, failure("welcome", what), acts);
  }
  control.second.self = welcome.self;
  control.second.zone = welcome.zone;
  const bool newer = adoptVoters(welcome.voters, acts);
  learn(welcome.controls);
  ControlClientAction life = actionAt(Kind::life, control.first);
  life.life = welcome.highestLife;
  acts.push_back(std::move(life));
  acts.push_back(actionAt(Kind::welcomed, control.first));
  const VoterId* voter = voterAt(control);
  if (voter != nullptr && !newer) {
    ControlClientAction ready = actionAt(Kind::voterReady, control.first);
    ready.voter = *voter;
    acts.push_back(std::move(ready));
  }
  assign(acts);
}

void ControlClient::take(Entry& entry, const Heartbeat& heartbeat, ControlClientActions& acts) {
  Control& control = entry.second;
  const bool wasSettled = control.settled();
  const auto votes = [this](const std::optional<Heartbeat>& told) {
    return told && told->epoch == voters_.epoch && told->holdsState;
  };
  const bool couldVote = votes(control.told);
  const bool toldUnsettled = control.told && !wasSettled;
  control.told = heartbeat;
  control.echo = std::max(control.echo, heartbeat.sequence);
  if (heartbeat.members != members_) {
    // The largest of what is told is the careful one: more processes, a smaller part for each.
    members_ = std::max(heartbeat.members, controls_.size() > 1 ? members_ : 0);
    acts.push_back(action(Kind::members));
  }
  if (wasSettled != control.settled()) assign(acts);
  // Guards against claims that a voter passed over while it knew another set or had to read state first.
  const VoterId* voter = voterAt(entry);
  if (voter != nullptr && !couldVote && votes(control.told)) {
    ControlClientAction ready = actionAt(Kind::voterReady, entry.first);
    ready.voter = *voter;
    acts.push_back(std::move(ready));
  }
  // What it was asked while it was not settled it may have passed over.
  if (toldUnsettled && control.settled() && confirming_ == entry.first) confirming_.reset();
  confirm(acts);
  fetchDiffering(entry, acts);
}

void ControlClient::take(Entry&, const ControlAddresses& addresses, ControlClientActions&) {
  learn(addresses.list);
}

void ControlClient::take(Entry& control, const ServersUpdate& update, ControlClientActions& acts) {
  if (update.recorded != 0) {
    ControlClientAction recorded = actionAt(Kind::recorded, control.first);
    recorded.record = update.recorded;
    acts.push_back(std::move(recorded));
  }
  for (const ServerStatus& news : update.servers) {
    ControlClientAction server = action(Kind::server);
    server.news = news;
    acts.push_back(std::move(server));
  }
}

// --- voters and claims

const VoterId* ControlClient::voterAt(const Entry& control) const {
  if (!control.second.up || !control.second.self) return nullptr;
  const VoterId* voter = voters_.find(control.first);
  // Guards against a voter that lost its disk and came back at its address: it is not the one in the set.
  if (voter == nullptr || !(*control.second.self == *voter)) return nullptr;
  return voter;
}

std::vector<VoterId> ControlClient::reachedVoters() const {
  std::vector<VoterId> reached;
  for (const Entry& control : controls_) {
    if (const VoterId* voter = voterAt(control)) reached.push_back(*voter);
  }
  return reached;
}

bool ControlClient::adoptVoters(const VoterSet& set, ControlClientActions& acts) {
  if (set.epoch <= voters_.epoch) return false;
  voters_ = set;
  for (const VoterId& voter : voters_.voters) {
    if (controls_.count(voter.at) == 0) controls_[voter.at].downSince = now_;
  }
  acts.push_back(action(Kind::voters));
  return true;
}

void ControlClient::take(Entry&, const VotersUpdate& update, ControlClientActions& acts) {
  adoptVoters(update.voters, acts);
}

void ControlClient::take(Entry& control, const Votes& votes, ControlClientActions& acts) {
  for (const Vote& vote : votes.votes) {
    ControlClientAction counted = actionAt(Kind::vote, control.first);
    counted.voter = votes.voter;
    counted.epoch = votes.epoch;
    counted.claim = vote.claim;
    counted.granted = !vote.holder;
    counted.holder = vote.holder;
    acts.push_back(std::move(counted));
  }
}

// --- the configuration

void ControlClient::requestItems(Entry& control, bool confirmed, ControlClientActions& acts) {
  ItemsRequest request;
  request.versions = items_.versions();
  request.confirmed = confirmed;
  acts.push_back(sending(control.first, request));
}

void ControlClient::take(Entry& control, const ItemsReply& reply, ControlClientActions& acts) {
  bool changed = false;
  for (const Item& item : reply.items) {
    if (!items_.merge(item)) continue;
    if (item.key.kind != ItemKind::voters) {
      changed = true;
    } else if (!item.dropped) {
      adoptVoters(voterSetFrom(item.value), acts);
    }
  }
  if (reply.last()) {
    complete_ = complete_ || holdsConfiguration(items_);
    toldByHolder_ = toldByHolder_ || reply.holdsState;
    confirmed_ = confirmed_ || reply.confirmed;
  } else {
    // Guards against a large configuration that is fetched twice over a thin link: its parts keep coming.
    fetchedAt_ = now_;
    if (confirming_ == control.first) confirmingSince_ = now_;
  }
  if (changed) acts.push_back(action(Kind::configured));
}

// A home's pushes come ahead of its digest; what the others hold is on its way from the home. One at a time,
// as a large configuration takes a while on a thin link.
void ControlClient::fetchDiffering(Entry& entry, ControlClientActions& acts) {
  Control& control = entry.second;
  if (control.told->digest == items_.digest()) {
    control.differsSince = Span::max();
    return;
  }
  if (control.differsSince == Span::max()) {
    control.differsSince = now_;
    return;
  }
  if (!control.holdsState()) return;
  // Before the first answer of a settled one, that answer is on its way.
  if (!confirmed_ && anySettled()) return;
  const bool early = !control.followed.empty() || !holdsConfiguration(items_);
  const Span patience = early ? kDiffers : kDiffersElsewhere;
  const bool paced = !fetchedAt_ || *fetchedAt_ + kRequestAgain <= now_;
  if (control.differsSince + patience > now_ || !paced) return;
  control.differsSince = now_;
  fetchedAt_ = now_;
  requestItems(entry, false, acts);
}

bool ControlClient::anySettled() const {
  return std::any_of(controls_.begin(), controls_.end(),
                     [](const auto& entry) { return entry.second.settled(); });
}

// A settled one before any other; then whoever was not asked for the longest, the own zone's first.
ControlClient::Entry* ControlClient::confirmationSource() {
  Entry* best = nullptr;
  const auto rank = [this](const Entry& entry) {
    const Control& control = entry.second;
    const Span asked = control.confirmationAsked.value_or(Span::min());
    return std::tuple(!control.settled(), asked, control.zone != built_.zone);
  };
  for (Entry& entry : controls_) {
    if (!entry.second.up) continue;
    if (best == nullptr || rank(entry) < rank(*best)) best = &entry;
  }
  return best;
}

// Guards against a start with what one control process holds that was cut off from the majority: the items in
// force may be newer.
void ControlClient::confirm(ControlClientActions& acts) {
  if (confirmed_) return;
  Entry* source = confirmationSource();
  if (source == nullptr) return;
  if (confirming_) {
    const bool late = confirmingSince_ + kRequestAgain <= now_;
    const bool better = source->second.settled() && !controls_.at(*confirming_).settled();
    if (!late && !better) return;
  }
  confirming_ = source->first;
  confirmingSince_ = now_;
  source->second.confirmationAsked = now_;
  requestItems(*source, true, acts);
}

bool ControlClient::unsettledForLong(Span now) const {
  if (!firstSession_ || !complete_ || !toldByHolder_ || anySettled()) return false;
  return std::max(*firstSession_, lastSettled_) + kUnsettledFor <= now;
}

bool ControlClient::ready(Span now) const {
  return complete_ && (confirmed_ || unconfirmedWillDo_ || unsettledForLong(now));
}

// --- homes

ControlClientActions ControlClient::follow(const std::vector<ServiceName>& services) {
  services_ = services;
  ControlClientActions acts;
  assign(acts);
  return acts;
}

std::set<ServiceName> ControlClient::servicesAt(const Address& control) const {
  const auto found = controls_.find(control);
  return found == controls_.end() ? std::set<ServiceName>{} : found->second.followed;
}

// A control process in the zone that is settled; where there is none, one further away. All in the zone
// choose alike, so news crosses between zones once (rendezvous hashing).
const Address* ControlClient::homeOf(const ServiceName& service) const {
  const Address* best = nullptr;
  std::tuple<bool, bool, std::uint64_t> highest;
  for (const auto& [at, control] : controls_) {
    if (!control.up) continue;
    const std::string pair = service.value + '/' + at.value;
    const std::tuple rank{control.settled(), control.zone == built_.zone,
                          std::uint64_t{XXH3_64bits(pair.data(), pair.size())}};
    if (best != nullptr && rank <= highest) continue;
    best = &at;
    highest = rank;
  }
  return best;
}

void ControlClient::assign(ControlClientActions& acts) {
  std::map<Address, std::set<ServiceName>> homes;
  for (const ServiceName& service : services_) {
    if (const Address* home = homeOf(service)) homes[*home].insert(service);
  }
  for (auto& [at, control] : controls_) {
    if (!control.up) continue;
    std::set<ServiceName>& wanted = homes[at];
    if (wanted == control.followed) continue;
    Subscribe follow;
    follow.services.assign(wanted.begin(), wanted.end());
    acts.push_back(sending(at, follow));
    control.followed = std::move(wanted);
  }
}

// --- time

ControlClientActions ControlClient::tick(Span now) {
  advance(now);
  ControlClientActions acts;
  std::vector<Address> silent;
  forgetUnreachable();
  trim(acts);
  for (auto& [at, control] : controls_) {
    if (control.up && control.lastHeard + kSilent <= now) {
      silent.push_back(at);
    } else if (control.up && control.lastHeartbeat + kHeartbeat <= now) {
      control.lastHeartbeat = now;
      Heartbeat heartbeat;
      heartbeat.sequence = ++control.sequence;
      heartbeat.echo = control.echo;
      acts.push_back(sending(at, heartbeat));
    } else if (!control.up && control.next <= now) {
      control.next = now + kDialTime;
      acts.push_back(actionAt(Kind::dial, at));
    }
  }
  for (const Address& at : silent) {
    acts.push_back(actionAt(Kind::hangUp, at));
    ControlClientActions more = ended(now, at);
    std::move(more.begin(), more.end(), std::back_inserter(acts));
  }
  confirm(acts);
  return acts;
}

std::size_t ControlClient::sessions() const {
  return static_cast<std::size_t>(
      std::count_if(controls_.begin(), controls_.end(), [](const auto& entry) { return entry.second.up; }));
}

}  // namespace rackroute::mesh
