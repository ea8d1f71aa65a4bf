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

constexpr Span kTickInterval = 150ms;  // resolution of the other times
constexpr Span kHeartbeatInterval = 500ms;
constexpr Span kSessionTimeout = 1700ms;  // without a received message; three heartbeats and a margin
constexpr Span kDialTimeout = 450ms;
constexpr Span kRedialDelay = 150ms;         // after a failed dial or a closed session
constexpr Span kRedialDelayAfterError = 2s;  // after an invalid message; limits log lines
constexpr Span kDigestGrace = 200ms;  // a home's digest may differ for this long before items are requested
constexpr Span kDigestGraceOther = 1000ms;    // other control processes' digests
constexpr Span kItemsRequestTimeout = 700ms;  // before an items request is repeated
/// How long no settled control process is reachable before unconfirmed items are accepted. Longer than
/// control processes take to settle after one of them restarts.
constexpr Span kUnsettledFor = 3s;
/// Maximum number of known addresses that are neither seeds nor voters.
constexpr std::size_t kMaxTemporary = 32;
constexpr Span kForgetAfter = 30s;  // unreachable addresses that are neither seeds nor voters

ControlClientAction actionAt(Kind kind, const Address& at) {
  ControlClientAction action;
  action.kind = kind;
  action.at = at;
  return action;
}

ControlClientAction action(Kind kind) { return actionAt(kind, {}); }

ControlClientAction sendAction(const Address& at, std::shared_ptr<const std::string> text) {
  ControlClientAction send = actionAt(Kind::send, at);
  send.text = std::move(text);
  return send;
}

ControlClientAction sendAction(const Address& at, const Message& message) {
  return sendAction(at, std::make_shared<const std::string>(encode(message)));
}

bool hasConfiguration(const Items& items) {
  const auto& all = items.all();
  return std::any_of(all.begin(), all.end(),
                     [](const auto& entry) { return entry.first.kind != ItemKind::voters; });
}

}  // namespace

Span ControlClient::tickInterval() { return kTickInterval; }

ControlClient::ControlClient(Config config) : config_(std::move(config)) {
  for (const Address& seed : config_.seeds) controls_[seed];
}

void ControlClient::advance(Span now) {
  now_ = now;
  if (anySettled()) lastSettled_ = now;
  acceptUnconfirmed_ = acceptUnconfirmed_ || unsettledForLong(now);
}

// --- known control processes

bool ControlClient::isPermanent(const Address& at) const {
  const std::vector<Address>& seeds = config_.seeds;
  return voters_.find(at) != nullptr || std::find(seeds.begin(), seeds.end(), at) != seeds.end();
}

std::size_t ControlClient::temporaryControls() const {
  return static_cast<std::size_t>(std::count_if(
      controls_.begin(), controls_.end(), [this](const auto& entry) { return !isPermanent(entry.first); }));
}

// Evicts the temporary address that has been unreachable for the longest, so that replaced control processes
// with new addresses do not fill the table.
bool ControlClient::evictLongestUnreachable() {
  auto longest = controls_.end();
  for (auto at = controls_.begin(); at != controls_.end(); ++at) {
    if (at->second.up || isPermanent(at->first)) continue;
    if (longest == controls_.end() || at->second.downSince < longest->second.downSince) longest = at;
  }
  if (longest == controls_.end()) return false;
  controls_.erase(longest);
  return true;
}

void ControlClient::addAddresses(const std::vector<Address>& addresses) {
  std::set<Address> unique(addresses.begin(), addresses.end());
  std::size_t added = 0;
  for (const Address& at : unique) {
    if (at.value.empty() || controls_.count(at) > 0) continue;
    if (!isPermanent(at)) {
      // A long list must not evict addresses that it has just added.
      if (added == kMaxTemporary) continue;
      if (temporaryControls() >= kMaxTemporary && !evictLongestUnreachable()) continue;
      ++added;
    }
    controls_[at].downSince = now_;
  }
}

// Enforces the limit after addresses stopped being voters or seeds.
void ControlClient::evictSurplus(ControlClientActions& actions) {
  for (std::size_t surplus = temporaryControls(); surplus > kMaxTemporary; --surplus) {
    if (evictLongestUnreachable()) continue;
    const auto last = std::find_if(controls_.rbegin(), controls_.rend(),
                                   [this](const auto& entry) { return !isPermanent(entry.first); });
    actions.push_back(actionAt(Kind::disconnect, last->first));
    controls_.erase(last->first);
  }
}

void ControlClient::removeUnreachable() {
  std::erase_if(controls_, [this](const auto& entry) {
    return !entry.second.up && !isPermanent(entry.first) && entry.second.downSince + kForgetAfter <= now_;
  });
}

ControlClientActions ControlClient::setSeeds(Span now, std::vector<Address> seeds) {
  advance(now);
  ControlClientActions actions;
  config_.seeds = std::move(seeds);
  for (const Address& seed : config_.seeds) {
    if (controls_.count(seed) == 0) controls_[seed].downSince = now;
  }
  evictSurplus(actions);
  assignHomes(actions);
  return actions;
}

// --- sessions

ControlClientActions ControlClient::sendTo(const Address& at, const Message& message) const {
  ControlClientActions actions;
  actions.push_back(sendAction(at, message));
  return actions;
}

ControlClientActions ControlClient::sendAll(const Message& message) const {
  const auto text = std::make_shared<const std::string>(encode(message));
  ControlClientActions actions;
  for (const auto& [at, control] : controls_) {
    if (control.up) actions.push_back(sendAction(at, text));
  }
  return actions;
}

ControlClientActions ControlClient::sendToVoters(const Message& message) const {
  const auto text = std::make_shared<const std::string>(encode(message));
  ControlClientActions actions;
  for (const VoterId& voter : connectedVoters()) actions.push_back(sendAction(voter.at, text));
  return actions;
}

ControlClientActions ControlClient::sessionOpened(Span now, const Address& at) {
  advance(now);
  ControlClientActions actions;
  const auto found = controls_.find(at);
  if (found == controls_.end()) {
    // The address was removed while the dial was in progress.
    actions.push_back(actionAt(Kind::disconnect, at));
    return actions;
  }
  ControlProcess& control = found->second;
  const std::uint64_t sequence = control.sequence;
  control = ControlProcess{};
  control.up = true;
  control.receivedAt = control.heartbeatSentAt = now;
  control.sequence = sequence;
  if (!firstSessionAt_) firstSessionAt_ = now;
  Hello hello;
  hello.node = config_.node;
  hello.life = config_.life;
  hello.at = config_.at;
  actions.push_back(sendAction(at, hello));
  requestConfirmation(actions);
  return actions;
}

void ControlClient::markDown(ControlProcess& control, Span redialAfter) {
  if (control.up) control.downSince = now_;
  control.up = false;
  control.reachable = false;
  control.nextDial = now_ + redialAfter;
  control.followed.clear();
}

ControlClientActions ControlClient::sessionClosed(Span now, const Address& at) {
  advance(now);
  ControlClientActions actions;
  const auto found = controls_.find(at);
  if (found == controls_.end()) return actions;
  const bool wasUp = found->second.up;
  markDown(found->second, kRedialDelay);
  if (!wasUp) return actions;
  if (confirmationPeer_ == at) confirmationPeer_.reset();
  assignHomes(actions);
  requestConfirmation(actions);
  return actions;
}

void ControlClient::markAlive(Span now, const Address& at) {
  const auto found = controls_.find(at);
  if (found == controls_.end()) return;
  found->second.receivedAt = now;
  if (confirmationPeer_ == at) confirmationProgressAt_ = now;
}

void ControlClient::rejectMessage(Entry& control, Error error, ControlClientActions& actions) {
  ControlClientAction refused = actionAt(Kind::protocolError, control.first);
  refused.error = std::move(error);
  refused.error.peer = control.first.value;
  actions.push_back(std::move(refused));
  markDown(control.second, kRedialDelayAfterError);
  if (confirmationPeer_ == control.first) confirmationPeer_.reset();
  assignHomes(actions);
  requestConfirmation(actions);
}

ControlClientActions ControlClient::handleMessage(Span now, const Address& at, const nlohmann::json& text) {
  advance(now);
  ControlClientActions actions;
  const auto found = controls_.find(at);
  if (found == controls_.end() || !found->second.up) return actions;
  found->second.receivedAt = now;
  const Result<Message> message = decode(text);
  if (!message) {
    rejectMessage(*found, message.error(), actions);
    return actions;
  }
  std::visit([&](const auto& known) { handle(*found, known, actions); }, message.value());
  return actions;
}

void ControlClient::handle(Entry& control, const Welcome& welcome, ControlClientActions& actions) {
  if (welcome.format != kMessageFormat) {
    const std::string what = "unsupported message format " + std::to_string(welcome.format) + ", expected " +
                             std::to_string(kMessageFormat);
    return rejectMessage(control, failure("welcome", what), actions);
  }
  control.second.self = welcome.self;
  control.second.zone = welcome.zone;
  const bool newer = adoptVoters(welcome.voters, actions);
  addAddresses(welcome.controls);
  ControlClientAction life = actionAt(Kind::highestLife, control.first);
  life.life = welcome.highestLife;
  actions.push_back(std::move(life));
  actions.push_back(actionAt(Kind::sessionReady, control.first));
  const VoterId* voter = voterAt(control);
  if (voter != nullptr && !newer) {
    ControlClientAction ready = actionAt(Kind::voterReady, control.first);
    ready.voter = *voter;
    actions.push_back(std::move(ready));
  }
  assignHomes(actions);
}

void ControlClient::handle(Entry& entry, const Heartbeat& heartbeat, ControlClientActions& actions) {
  ControlProcess& control = entry.second;
  const bool wasSettled = control.settled();
  const auto canVote = [this](const std::optional<Heartbeat>& last) {
    return last && last->epoch == voters_.epoch && last->holdsState;
  };
  const bool couldVote = canVote(control.lastHeartbeat);
  const bool wasUnsettled = control.lastHeartbeat && !wasSettled;
  control.lastHeartbeat = heartbeat;
  control.echo = std::max(control.echo, heartbeat.sequence);
  if (heartbeat.members != memberCount_) {
    // Uses the largest reported count: more processes mean a smaller share of the retry allowance for each.
    memberCount_ = std::max(heartbeat.members, controls_.size() > 1 ? memberCount_ : 0);
    actions.push_back(action(Kind::memberCount));
  }
  if (wasSettled != control.settled()) assignHomes(actions);
  // The voter may have ignored claims while it knew another set or was still loading its state.
  const VoterId* voter = voterAt(entry);
  if (voter != nullptr && !couldVote && canVote(control.lastHeartbeat)) {
    ControlClientAction ready = actionAt(Kind::voterReady, entry.first);
    ready.voter = *voter;
    actions.push_back(std::move(ready));
  }
  // It may have ignored a request that it received before it was settled.
  if (wasUnsettled && control.settled() && confirmationPeer_ == entry.first) confirmationPeer_.reset();
  requestConfirmation(actions);
  fetchDiffering(entry, actions);
}

void ControlClient::handle(Entry&, const ControlAddresses& addresses, ControlClientActions&) {
  addAddresses(addresses.list);
}

void ControlClient::handle(Entry& control, const ServersUpdate& update, ControlClientActions& actions) {
  if (update.recorded != 0) {
    ControlClientAction recorded = actionAt(Kind::recorded, control.first);
    recorded.record = update.recorded;
    actions.push_back(std::move(recorded));
  }
  for (const ServerStatus& status : update.servers) {
    ControlClientAction server = action(Kind::serverUpdate);
    server.serverStatus = status;
    actions.push_back(std::move(server));
  }
}

// --- voters and claims

const VoterId* ControlClient::voterAt(const Entry& control) const {
  if (!control.second.up || !control.second.self) return nullptr;
  const VoterId* voter = voters_.find(control.first);
  // A voter that lost its disk and restarted at the same address is not the one in the set.
  if (voter == nullptr || !(*control.second.self == *voter)) return nullptr;
  return voter;
}

std::vector<VoterId> ControlClient::connectedVoters() const {
  std::vector<VoterId> connected;
  for (const Entry& control : controls_) {
    if (const VoterId* voter = voterAt(control)) connected.push_back(*voter);
  }
  return connected;
}

bool ControlClient::adoptVoters(const VoterSet& set, ControlClientActions& actions) {
  if (set.epoch <= voters_.epoch) return false;
  voters_ = set;
  for (const VoterId& voter : voters_.voters) {
    if (controls_.count(voter.at) == 0) controls_[voter.at].downSince = now_;
  }
  actions.push_back(action(Kind::votersChanged));
  return true;
}

void ControlClient::handle(Entry&, const VotersUpdate& update, ControlClientActions& actions) {
  adoptVoters(update.voters, actions);
}

void ControlClient::handle(Entry& control, const Votes& votes, ControlClientActions& actions) {
  for (const Vote& vote : votes.votes) {
    ControlClientAction counted = actionAt(Kind::vote, control.first);
    counted.voter = votes.voter;
    counted.epoch = votes.epoch;
    counted.claim = vote.claim;
    counted.granted = !vote.holder;
    counted.holder = vote.holder;
    actions.push_back(std::move(counted));
  }
}

// --- the configuration

void ControlClient::requestItems(Entry& control, bool confirmed, ControlClientActions& actions) {
  ItemsRequest request;
  request.versions = items_.versions();
  request.confirmed = confirmed;
  actions.push_back(sendAction(control.first, request));
}

void ControlClient::handle(Entry& control, const ItemsReply& reply, ControlClientActions& actions) {
  bool changed = false;
  for (const Item& item : reply.items) {
    if (!items_.merge(item)) continue;
    if (item.key.kind != ItemKind::voters) {
      changed = true;
    } else if (!item.dropped) {
      adoptVoters(voterSetFrom(item.value), actions);
    }
  }
  if (reply.last()) {
    complete_ = complete_ || hasConfiguration(items_);
    receivedFromStateHolder_ = receivedFromStateHolder_ || reply.holdsState;
    confirmed_ = confirmed_ || reply.confirmed;
  } else {
    // Parts are still arriving: do not request a large configuration again over a slow link.
    lastFetch_ = now_;
    if (confirmationPeer_ == control.first) confirmationProgressAt_ = now_;
  }
  if (changed) actions.push_back(action(Kind::itemsChanged));
}

// Requests items from a control process whose digest differs for a while. A short difference is normal:
// updates are pushed by the homes. One request at a time, as a large configuration takes long over a slow
// link.
void ControlClient::fetchDiffering(Entry& entry, ControlClientActions& actions) {
  ControlProcess& control = entry.second;
  if (control.lastHeartbeat->digest == items_.digest()) {
    control.digestDiffersSince = Span::max();
    return;
  }
  if (control.digestDiffersSince == Span::max()) {
    control.digestDiffersSince = now_;
    return;
  }
  if (!control.holdsState()) return;
  // A confirmed reply has been requested and is still to come.
  if (!confirmed_ && anySettled()) return;
  const bool urgent = !control.followed.empty() || !hasConfiguration(items_);
  const Span grace = urgent ? kDigestGrace : kDigestGraceOther;
  const bool mayRequest = !lastFetch_ || *lastFetch_ + kItemsRequestTimeout <= now_;
  if (control.digestDiffersSince + grace > now_ || !mayRequest) return;
  control.digestDiffersSince = now_;
  lastFetch_ = now_;
  requestItems(entry, false, actions);
}

bool ControlClient::anySettled() const {
  return std::any_of(controls_.begin(), controls_.end(),
                     [](const auto& entry) { return entry.second.settled(); });
}

// Prefers settled control processes, then the least recently asked, then those in the own zone.
ControlClient::Entry* ControlClient::confirmationSource() {
  Entry* best = nullptr;
  const auto rank = [this](const Entry& entry) {
    const ControlProcess& control = entry.second;
    const Span asked = control.confirmationRequestedAt.value_or(Span::min());
    return std::tuple(!control.settled(), asked, control.zone != config_.zone);
  };
  for (Entry& entry : controls_) {
    if (!entry.second.up) continue;
    if (best == nullptr || rank(entry) < rank(*best)) best = &entry;
  }
  return best;
}

// Requests items that are confirmed by a majority. The items of a single control process may be outdated if
// it is partitioned from the majority.
void ControlClient::requestConfirmation(ControlClientActions& actions) {
  if (confirmed_) return;
  Entry* source = confirmationSource();
  if (source == nullptr) return;
  if (confirmationPeer_) {
    const bool late = confirmationProgressAt_ + kItemsRequestTimeout <= now_;
    const bool better = source->second.settled() && !controls_.at(*confirmationPeer_).settled();
    if (!late && !better) return;
  }
  confirmationPeer_ = source->first;
  confirmationProgressAt_ = now_;
  source->second.confirmationRequestedAt = now_;
  requestItems(*source, true, actions);
}

bool ControlClient::unsettledForLong(Span now) const {
  if (!firstSessionAt_ || !complete_ || !receivedFromStateHolder_ || anySettled()) return false;
  return std::max(*firstSessionAt_, lastSettled_) + kUnsettledFor <= now;
}

bool ControlClient::ready(Span now) const {
  return complete_ && (confirmed_ || acceptUnconfirmed_ || unsettledForLong(now));
}

// --- homes

ControlClientActions ControlClient::follow(const std::vector<ServiceName>& services) {
  services_ = services;
  ControlClientActions actions;
  assignHomes(actions);
  return actions;
}

std::set<ServiceName> ControlClient::servicesAt(const Address& control) const {
  const auto found = controls_.find(control);
  return found == controls_.end() ? std::set<ServiceName>{} : found->second.followed;
}

// Prefers settled control processes, then those in the own zone. Rendezvous hashing makes all sidecars of a
// zone choose the same one, so updates cross between zones once.
const Address* ControlClient::homeOf(const ServiceName& service) const {
  const Address* best = nullptr;
  std::tuple<bool, bool, std::uint64_t> highest;
  for (const auto& [at, control] : controls_) {
    if (!control.up) continue;
    const std::string pair = service.value + '/' + at.value;
    const std::tuple rank{control.settled(), control.zone == config_.zone,
                          std::uint64_t{XXH3_64bits(pair.data(), pair.size())}};
    if (best != nullptr && rank <= highest) continue;
    best = &at;
    highest = rank;
  }
  return best;
}

void ControlClient::assignHomes(ControlClientActions& actions) {
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
    actions.push_back(sendAction(at, follow));
    control.followed = std::move(wanted);
  }
}

// --- time

ControlClientActions ControlClient::tick(Span now) {
  advance(now);
  ControlClientActions actions;
  std::vector<Address> timedOut;
  removeUnreachable();
  evictSurplus(actions);
  for (auto& [at, control] : controls_) {
    if (control.up && control.receivedAt + kSessionTimeout <= now) {
      timedOut.push_back(at);
    } else if (control.up && control.heartbeatSentAt + kHeartbeatInterval <= now) {
      control.heartbeatSentAt = now;
      Heartbeat heartbeat;
      heartbeat.sequence = ++control.sequence;
      heartbeat.echo = control.echo;
      actions.push_back(sendAction(at, heartbeat));
    } else if (!control.up && control.nextDial <= now) {
      control.nextDial = now + kDialTimeout;
      actions.push_back(actionAt(Kind::dial, at));
    }
  }
  for (const Address& at : timedOut) {
    actions.push_back(actionAt(Kind::disconnect, at));
    ControlClientActions more = sessionClosed(now, at);
    std::move(more.begin(), more.end(), std::back_inserter(actions));
  }
  requestConfirmation(actions);
  return actions;
}

std::size_t ControlClient::reachableControls() const {
  return static_cast<std::size_t>(std::count_if(controls_.begin(), controls_.end(),
                                                [](const auto& entry) { return entry.second.reachable; }));
}

}  // namespace rackroute::mesh
