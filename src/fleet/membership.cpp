#include "fleet/membership.hpp"

#include <algorithm>
#include <cmath>
#include <utility>

namespace rackroute::fleet {
namespace {

using namespace std::chrono_literals;

constexpr double kDirectAckPeriods = 0.25;       // periods until a probe is retried through other members
constexpr double kProbePeriods = 0.6;            // periods until a probe fails
constexpr double kNackFraction = 0.8;            // of a relayed probe's time, after which a nack is sent
constexpr std::size_t kIndirectProbes = 3;       // members asked to relay a probe
constexpr std::size_t kMaxRelayedProbes = 64;    // relayed at the same time
constexpr std::uint32_t kMaxLocalHealth = 8;     // probes are at most this many periods further apart
constexpr double kMinSuspicionFactor = 2;        // periods; allows a refutation to spread
constexpr double kConfirmationProbeDelay = 0.2;  // periods
constexpr double kMissedReplyPeriods = 3;        // without a reply, after which updates may have been missed
constexpr double kMaxSuspicionFactor = 3;        // times the minimum suspicion timeout, while unconfirmed
constexpr std::size_t kExpectedConfirmations = 2;  // that reduce a suspicion to its minimum
constexpr double kConfirmingMembers = 4;           // expected number of members that probe a suspect at once
constexpr double kGossipInterval = 0.2;            // periods
constexpr std::size_t kGossipFanout = 3;           // members per gossip round
constexpr double kRetransmitMultiplier = 4;        // transmissions of an update, times log10(members)
constexpr std::size_t kMessageBytes = 1100;        // for updates and the sender, without the envelope
constexpr std::size_t kGossipChanges = 16;         // larger sets of changes spread by exchanges instead
constexpr double kBusyExchangeInterval = 0.5;      // periods
constexpr double kBusyPeriods = 3;                 // after many changes at once
constexpr double kIdleExchangeInterval = 30;       // periods, on average
constexpr std::uint32_t kConvergedMessages = 4;   // consecutive equal digests that end gossip of many changes
constexpr double kMinMismatchWait = 2;            // periods between exchanges triggered by differing digests
constexpr double kMaxMismatchWait = 64;           // periods, where the views stay different
constexpr double kReconnectsPerPeriod = 4;        // attempts of the entire fleet to reach lost members
constexpr double kMaxReconnectProbability = 0.5;  // per member and period
constexpr double kJoinJitter = 2;                 // periods over which members that start together join
constexpr std::uint32_t kFastJoinAttempts = 5;    // attempts of an isolated member, one per period
constexpr double kSlowJoinProbability = 0.2;      // per period, after the fast attempts
constexpr double kNotifyingMembers = 20;  // expected number that notify an accused member after an exchange
constexpr double kNotifyInterval = 0.1;   // periods
constexpr std::size_t kNotifyBatch = 2;   // accused members notified per interval
constexpr double kNameProbes = 3;  // unanswered probes of another holder of the name, after which it is free
constexpr double kPartialBelow = 0.75;      // fraction of possibly running members that are alive
constexpr double kFullFrom = 0.9;           // hysteresis: fraction needed to return to full
constexpr double kDegradePeriods = 2;       // before lower connectivity is reported
constexpr double kRecoverPeriods = 3;       // before higher connectivity is reported
constexpr double kStallThreshold = 0.5;     // periods that a timer is late
constexpr double kStallPenaltyPeriods = 3;  // with partial connectivity after a stall
constexpr std::size_t kLeaveFanout = 10;    // members notified of a leave
constexpr Span kLeftRetention = 1h;         // exceeds the time that old messages are in flight
constexpr std::uint64_t kMaxStart = std::uint64_t{1} << 52U;  // Unix time in ms; later starts are invalid
constexpr std::uint32_t kMaxIncarnation = 0x7fffffffU;        // reaching it raises the start instead
constexpr std::size_t kMaxNameBytes = 64;                     // of names, zones and addresses

Span scaled(Span span, double by) {
  return Span{static_cast<Span::rep>(static_cast<double>(span.count()) * by)};
}

MemberUpdate initialSelf(MemberInfo info, std::uint64_t start) {
  MemberUpdate update;
  update.id = memberId(info.name);
  update.info = std::make_shared<const MemberInfo>(std::move(info));
  update.version.start = start;
  return update;
}

}  // namespace

Membership::Membership(MemberInfo self, std::uint64_t start, std::vector<std::string> join,
                       const MembershipConfig& config, std::uint64_t seed, MembershipHost& host)
    : config_(config),
      host_(host),
      joinAddresses_(std::move(join)),
      random_(seed),
      self_(initialSelf(std::move(self), start)),
      view_(config.maxMembers, config.deadRetention, kLeftRetention) {
  std::erase(joinAddresses_, self_.info->address);
}

void Membership::start(Span now) {
  if (std::exchange(started_, true)) detectStall(now);
  changedAt_ = exchangedAt_ = repliedAt_ = now;
  mismatchWait_ = scaled(config_.period, kMinMismatchWait);
  // Random phases prevent members that start together from probing in lockstep.
  probeAt_ = now + scaled(config_.period, randomFraction());
  lastTargetRandom_ = randomFraction() < 0.5;
  exchangeAt_ = now + scaled(config_.period, kIdleExchangeInterval * randomFraction());
  expireAt_ = now + 60 * config_.period;
  if (!gossip_.empty()) gossipAt_ = now;
  if (!joinAddresses_.empty() && view_.liveCount() == 0) {
    connectivity_ = Connectivity::isolated;
    joinAt_ = now + scaled(config_.period, kJoinJitter * randomFraction());
  }
  scheduleTimer(now);
}

void Membership::addKnownMembers(Span now, const std::vector<MemberUpdate>& updates) {
  for (const MemberUpdate& update : updates) {
    if (isValid(update) && update.id != self_.id) view_.apply(now, update);
  }
}

void Membership::resumeAs(const MemberVersion& version) {
  self_.version = version;
  refute();
}

void Membership::leave(Span now) {
  if (!started_ || std::exchange(left_, true) || displaced_) return;
  self_.state = State::left;
  for (const MemberRecord* member : drawLiveMembers(kLeaveFanout, self_.id)) {
    Message message;
    message.kind = MessageKind::gossip;
    send(member->info->address, std::move(message));
  }
  changedAt_ = now;
  due_ = Span::max();
}

// ---- Incoming messages

void Membership::handleMessage(Span now, const Message& message) {
  if (!started_ || left_) return;
  detectStall(now);
  if (!isValid(message.self)) {
    ++counters_.rejectedInvalid;
    return scheduleTimer(now);
  }
  if (message.self.id == self_.id) {
    handleNameConflict(message);
    return scheduleTimer(now);
  }
  if (displaced_) return;
  const std::string& address = message.self.info->address;
  applyUpdate(now, message.self, Source::gossip);
  for (const MemberUpdate& update : message.updates) applyUpdate(now, update, Source::gossip);
  Message reply;
  reply.probeNumber = message.probeNumber;
  reply.subject = message.subject;
  switch (message.kind) {
    case MessageKind::ping:
      if (message.subject.value != 0 && message.subject != self_.id) {
        ++counters_.misdirected;
        break;
      }
      reply.kind = MessageKind::ack;
      reply.subject = self_.id;
      send(address, std::move(reply), config_.lifeguard ? updateUnlessAlive(message.self.id) : std::nullopt);
      break;
    case MessageKind::ack:
      if (probe_ && probe_->number == message.probeNumber && probe_->target == message.subject) {
        probe_.reset();
        probeAnswered(now, address);
        adjustLocalHealth(-1);
      } else if (const auto at = relayedProbes_.find(message.probeNumber);
                 at != relayedProbes_.end() && at->second.target == message.subject) {
        reply.kind = MessageKind::ack;
        reply.probeNumber = at->second.requesterNumber;
        const std::string requester = at->second.requester;
        relayedProbes_.erase(at);
        send(requester, std::move(reply));
      }
      break;
    case MessageKind::pingRequest: {
      const MemberRecord* const target = view_.find(message.subject);
      if (target == nullptr || relayedProbes_.size() >= kMaxRelayedProbes) {
        reply.kind = MessageKind::nack;
        send(address, std::move(reply));
        break;
      }
      const Span window = scaled(config_.period, kProbePeriods - kDirectAckPeriods);
      RelayedProbe& relayed = relayedProbes_[++lastProbeNumber_];
      relayed = {address,         message.probeNumber,
                 message.subject, now + scaled(window, kNackFraction),
                 now + window,    false};
      Message ping;
      ping.kind = MessageKind::ping;
      ping.probeNumber = lastProbeNumber_;
      ping.subject = message.subject;
      send(target->info->address, std::move(ping),
           config_.lifeguard ? updateUnlessAlive(message.subject) : std::nullopt);
      break;
    }
    case MessageKind::nack:
      if (probe_ && probe_->number == message.probeNumber) {
        ++probe_->indirectReplies;
        probeAnswered(now, address);
      }
      break;
    case MessageKind::gossip:
      break;
  }
  compareDigests(now, message);
  scheduleTimer(now);
}

// Starts an exchange if the sender's view differs, so that views converge even where gossip was lost.
void Membership::compareDigests(Span now, const Message& message) {
  const MemberRecord* const sender = view_.find(message.self.id);
  if (sender == nullptr || sender->state == State::left) return;
  if (sender->state == State::dead) {
    // A message from a member thought dead: a network partition may have healed. The message may be old, so
    // the sender is notified and has to refute its death with a higher incarnation; the exchange recovers
    // others.
    if (sender->version != message.self.version) return;
    toNotify_.insert(sender->id);
    notifyAt_ = std::min(notifyAt_, now);
    if (now - exchangedAt_ > config_.period) startExchange(now, sender->info->address);
    return;
  }
  if (message.digest == digest()) {
    mismatchWait_ = scaled(config_.period, kMinMismatchWait);
    // Exchanges have spread the changes, so gossiping each of them is redundant.
    if (++matchingDigests_ >= kConvergedMessages && gossip_.size() > kGossipChanges) gossip_.clear();
    return;
  }
  matchingDigests_ = 0;
  if (now - changedAt_ > scaled(config_.period, kMinMismatchWait) && now - exchangedAt_ > mismatchWait_) {
    // Exponential backoff for views that can't converge, for instance because one is full.
    mismatchWait_ = std::min(2 * mismatchWait_, scaled(config_.period, kMaxMismatchWait));
    startExchange(now, sender->info->address);
  }
}

// A small view requests the entire other view, which includes dead members and costs no more than the
// digests.
BucketDigests Membership::bucketDigests() const {
  if (view_.liveCount() < kDigestBuckets) return {};
  BucketDigests digests(view_.bucketDigests().begin(), view_.bucketDigests().end());
  digests[bucketOf(self_.id)] += View::digestOf(self_.id, self_.version);
  return digests;
}

ViewMessage Membership::viewRequest() const { return {self_, digest(), {}, bucketDigests()}; }

ViewMessage Membership::viewFor(Span now, const BucketDigests& theirs) const {
  ViewMessage view = viewRequest();
  const bool all = theirs.size() != kDigestBuckets || view.bucketDigests.empty();
  view.updates.reserve(all ? view_.all().size() : 0);
  for (const MemberRecord& record : view_.all()) {
    const std::size_t bucket = bucketOf(record.id);
    if (all || view.bucketDigests[bucket] != theirs[bucket]) view.updates.push_back(updateOf(now, record));
  }
  return view;
}

void Membership::merge(Span now, const ViewMessage& theirs) {
  if (!started_ || left_ || displaced_ || !isValid(theirs.self)) return;
  detectStall(now);
  mergedUpdates_.clear();
  applyUpdate(now, theirs.self, Source::exchange);
  for (const MemberUpdate& update : theirs.updates) applyUpdate(now, update, Source::exchange);
  exchangedAt_ = now;
  if (!mergedUpdates_.empty()) mismatchWait_ = scaled(config_.period, kMinMismatchWait);
  if (mergedUpdates_.size() > kGossipChanges) {
    busyUntil_ = now + scaled(config_.period, kBusyPeriods);
    exchangeAt_ =
        std::min(exchangeAt_, now + scaled(config_.period, kBusyExchangeInterval * (0.5 + randomFraction())));
  } else {
    for (const MemberUpdate& update : mergedUpdates_) gossip_.add(update);
  }
  mergedUpdates_.clear();
  scheduleTimer(now);
}

bool Membership::isValid(const MemberUpdate& update) const {
  return update.info && !update.info->name.empty() && update.info->name.size() <= kMaxNameBytes &&
         update.info->zone.size() <= kMaxNameBytes && !update.info->address.empty() &&
         update.info->address.size() <= kMaxNameBytes && update.version.start < kMaxStart &&
         update.version.incarnation < kMaxIncarnation;
}

void Membership::applyUpdate(Span now, const MemberUpdate& update, Source source) {
  if (!isValid(update)) {
    ++counters_.rejectedInvalid;
    return;
  }
  if (update.id == self_.id) return applyUpdateOfSelf(now, update);
  const MemberRecord* const record = view_.find(update.id);
  MemberUpdate applied = update;
  if (record != nullptr) {
    const bool isLive = record->state == State::alive || record->state == State::suspect;
    if (update.state == State::suspect && record->state == State::suspect &&
        update.version == record->version)
      return addSuspicion(now, *record, update.accuser, false);
    if (!overrides(update.version, update.state, record->version, record->state)) {
      // Alive for others but dead here: notify the member, as only it can refute its death.
      if (source == Source::exchange && record->state == State::dead && update.version == record->version &&
          update.state != State::left)
        scheduleNotification(now, record->id);
      return;
    }
    // A partition may have declared all members on this side dead. A death that arrives by exchange is
    // therefore applied as a suspicion, and the suspect is notified so that it can refute it.
    if (source == Source::exchange && update.state == State::dead && isLive &&
        record->version.start == update.version.start) {
      if (record->state == State::suspect && record->version == update.version) return;
      applied.state = State::suspect;
      applied.accuser = update.accuser;
      scheduleNotification(now, update.id);
    }
  }
  const std::optional<State> was = record != nullptr ? std::optional(record->state) : std::nullopt;
  const View::ApplyResult result = view_.apply(now, applied);
  if (result == View::ApplyResult::full) ++counters_.rejectedFull;
  if (result == View::ApplyResult::ignored || result == View::ApplyResult::full) return;
  changedAt_ = now;
  matchingDigests_ = 0;
  const MemberRecord& updated = *view_.find(applied.id);
  if (result == View::ApplyResult::added) {
    // At a random position, so that new members are probed as soon as others.
    probeOrder_.insert(probeOrder_.begin() + static_cast<std::ptrdiff_t>(randomIndex(probeOrder_.size() + 1)),
                       applied.id);
  }
  suspicions_.erase(applied.id);
  if (applied.state != State::suspect) toNotify_.erase(applied.id);
  source == Source::exchange ? mergedUpdates_.push_back(applied) : gossip_.add(applied);
  if (gossip_.size() > 4 * kGossipChanges)
    exchangeAt_ =
        std::min(exchangeAt_, now + scaled(config_.period, kBusyExchangeInterval * (0.5 + randomFraction())));
  reportChange(now, updated, was);
  if (applied.state != State::suspect) return;
  addSuspicion(now, updated, applied.accuser, source == Source::own);
  // A few members probe the suspect at once, which confirms or refutes the suspicion in about one period.
  if (source != Source::own && config_.lifeguard &&
      randomFraction() * static_cast<double>(view_.liveCount()) < kConfirmingMembers)
    probeSoon(now, applied.id);
}

void Membership::probeSoon(Span now, MemberId id) {
  probeOrder_.push_back(id);
  ++confirmationProbes_;
  if (!probe_)
    probeAt_ = std::min(probeAt_, now + scaled(config_.period, kConfirmationProbeDelay * randomFraction()));
}

void Membership::reportChange(Span now, const MemberRecord& record, std::optional<State> was) {
  gossipAt_ = std::min(gossipAt_, now + scaled(config_.period, kGossipInterval * randomFraction()));
  if (was != record.state) host_.memberChanged(record, was);
}

void Membership::addSuspicion(Span now, const MemberRecord& record, MemberId accuser, bool own) {
  Suspicion& suspicion = suspicions_[record.id];
  if (suspicion.accusers.empty()) {
    suspicion.version = record.version;
    suspicion.startedAt = now;
  }
  const bool isNewAccuser = suspicion.accusers.insert(accuser).second;
  suspicion.endsAt = suspicionDeadline(suspicion);
  suspicionEndsAt_ = std::min(suspicionEndsAt_, suspicion.endsAt);
  if (!isNewAccuser || suspicion.accusers.size() == 1) return;
  // The first confirmations are gossiped, as they shorten the timeout everywhere.
  if (suspicion.accusers.size() > kExpectedConfirmations + 1 || !config_.lifeguard) return;
  MemberUpdate update = updateOf(now, record);
  update.accuser = accuser;
  gossip_.add(update);
  if (own) changedAt_ = now;
  gossipAt_ = std::min(gossipAt_, now + scaled(config_.period, kGossipInterval * randomFraction()));
}

// Lifeguard's dogpile: the timeout starts long and shrinks with each independent confirmation.
Span Membership::suspicionDeadline(const Suspicion& suspicion) const {
  const auto members = static_cast<double>(view_.liveCount() + 1);
  const Span minTimeout = scaled(
      config_.period, config_.suspicionMultiplier * std::max(kMinSuspicionFactor, std::log10(members) - 1));
  if (!config_.lifeguard) return suspicion.startedAt + minTimeout;
  const Span maxTimeout = scaled(minTimeout, kMaxSuspicionFactor);
  const double expected = std::min(static_cast<double>(kExpectedConfirmations), members - 2);
  if (expected < 1) return suspicion.startedAt + maxTimeout;
  const double confirmed = std::min(static_cast<double>(suspicion.accusers.size() - 1), expected);
  const double reduction = std::log(confirmed + 1) / std::log(expected + 1);
  return suspicion.startedAt + maxTimeout - scaled(maxTimeout - minTimeout, reduction);
}

void Membership::expireSuspicions(Span now) {
  if (now < suspicionEndsAt_) return;
  suspicionEndsAt_ = Span::max();
  std::vector<MemberId> expired;
  for (const auto& [id, suspicion] : suspicions_) {
    if (suspicion.endsAt <= now)
      expired.push_back(id);
    else
      suspicionEndsAt_ = std::min(suspicionEndsAt_, suspicion.endsAt);
  }
  for (const MemberId id : expired) {
    const MemberRecord* const record = view_.find(id);
    if (record == nullptr || record->state != State::suspect) {
      suspicions_.erase(id);
      continue;
    }
    ++counters_.deaths;
    MemberUpdate update = updateOf(now, *record);
    update.state = State::dead;
    applyUpdate(now, update, Source::own);
  }
}

// ---- Updates about this member

void Membership::refute() {
  if (++self_.version.incarnation >= kMaxIncarnation) {
    ++self_.version.start;
    self_.version.incarnation = 0;
  }
  gossip_.add(self_);
}

void Membership::applyUpdateOfSelf(Span now, const MemberUpdate& update) {
  const bool sameAddress = update.info->address == self_.info->address;
  const bool isLive = update.state == State::alive || update.state == State::suspect;
  const auto rank = [](const MemberUpdate& of) { return std::pair(of.version.start, of.info->address); };
  if (sameAddress || !isLive) {
    if (displaced_ || update.version < self_.version ||
        (sameAddress && update.version == self_.version && update.state == State::alive))
      return;
    if (update.version.start == self_.version.start && update.state != State::alive) {
      ++counters_.refuted;
      adjustLocalHealth(1);
    }
    // An earlier process may have started with a clock that was ahead; this process must rank above it.
    if (update.version.start > self_.version.start) self_.version.start = update.version.start + 1;
    self_.version.incarnation = std::max(self_.version.incarnation, update.version.incarnation);
    refute();
    gossipAt_ = std::min(gossipAt_, now);
    return;
  }
  if (rank(update) < rank(self_)) return;  // an earlier process with this name, which will yield
  // A later start at another address: another process with this name, or an earlier one whose clock was
  // ahead. It is probed first; this member doesn't yield on the report of a third party alone.
  if (conflictAddress_ != update.info->address) {
    conflictAddress_ = update.info->address;
    nameProbes_ = 0;
  }
  conflictVersion_ = std::max(conflictVersion_, update.version);
}

// Resolves a name used by two processes: the later start keeps it, the other stops participating.
void Membership::handleNameConflict(const Message& message) {
  const MemberUpdate& rival = message.self;
  if (rival.info->address == self_.info->address) return;
  if (std::pair(rival.version.start, rival.info->address) >
      std::pair(self_.version.start, self_.info->address)) {
    conflictAddress_ = rival.info->address;
    conflictVersion_ = rival.version;
    nameProbes_ = 0;
    if (!std::exchange(displaced_, true)) host_.nameConflict(true, conflictAddress_);
  } else if (!displaced_ && message.kind == MessageKind::ping) {
    Message reply;
    reply.kind = MessageKind::ack;
    reply.probeNumber = message.probeNumber;
    send(rival.info->address, std::move(reply));
  }
}

void Membership::probeNameHolder(Span now) {
  if (conflictAddress_.empty()) return;
  if (nameProbes_++ < static_cast<std::uint32_t>(kNameProbes)) {
    Message ping;
    ping.kind = MessageKind::ping;
    ping.probeNumber = ++lastProbeNumber_;
    ping.subject = self_.id;
    send(conflictAddress_, std::move(ping));
    return;
  }
  // The other process is gone: take the name with a start later than any that was reported.
  self_.version.start = std::max(self_.version.start, conflictVersion_.start + 1);
  refute();
  gossipAt_ = std::min(gossipAt_, now);
  const std::string by = std::exchange(conflictAddress_, {});
  if (std::exchange(displaced_, false)) host_.nameConflict(false, by);
}

// ---- Probes

void Membership::startProbe(Span now) {
  probeAt_ = now + scaled(config_.period, 1.0 + localHealth_);
  probeNameHolder(now);
  if (displaced_) return;
  reconnect(now);
  const MemberRecord* const target = nextProbeTarget();
  if (target == nullptr) return;
  ++counters_.probes;
  probe_ = Probe{};
  probe_->target = target->id;
  probe_->address = target->info->address;
  probe_->number = ++lastProbeNumber_;
  probe_->indirectAt = now + scaled(config_.period, kDirectAckPeriods * (1 + localHealth_));
  probe_->endsAt = now + scaled(config_.period, kProbePeriods * (1 + localHealth_));
  Message ping;
  ping.kind = MessageKind::ping;
  ping.probeNumber = probe_->number;
  ping.subject = target->id;
  send(probe_->address, std::move(ping), config_.lifeguard ? updateUnlessAlive(target->id) : std::nullopt);
}

// Every second probe goes to the next live member by id, so that each member is probed regularly by one other
// and its death is not found late by chance.
const MemberRecord* Membership::nextProbeTarget() {
  const auto isLive = [](const MemberRecord& record) {
    return record.state == State::alive || record.state == State::suspect;
  };
  const std::vector<MemberRecord>& all = view_.all();
  if (confirmationProbes_ > 0) {
    --confirmationProbes_;
  } else if (config_.lifeguard && std::exchange(lastTargetRandom_, !lastTargetRandom_)) {
    const auto from = std::ranges::upper_bound(all, self_.id, {}, &MemberRecord::id);
    auto next = std::find_if(from, all.end(), isLive);
    if (next == all.end()) next = std::find_if(all.begin(), from, isLive);
    return next == all.end() ? nullptr : &*next;
  }
  for (int round = 0; round < 2; ++round) {
    while (!probeOrder_.empty()) {
      const MemberRecord* const target = view_.find(probeOrder_.back());
      probeOrder_.pop_back();
      if (target != nullptr && isLive(*target)) return target;
    }
    for (const MemberRecord& record : all) {
      if (isLive(record)) probeOrder_.push_back(record.id);
    }
    std::shuffle(probeOrder_.begin(), probeOrder_.end(), random_);
  }
  return nullptr;
}

void Membership::continueProbe(Span now) {
  if (!probe_) return;
  if (now >= probe_->indirectAt) {
    probe_->indirectAt = Span::max();
    for (const MemberRecord* relay : drawLiveMembers(kIndirectProbes, probe_->target)) {
      Message request;
      request.kind = MessageKind::pingRequest;
      request.probeNumber = probe_->number;
      request.subject = probe_->target;
      ++probe_->indirectRequests;
      send(relay->info->address, std::move(request));
    }
  }
  if (now < probe_->endsAt) return;
  const Probe expired = *std::exchange(probe_, std::nullopt);
  ++counters_.probesLost;
  if (expired.indirectReplies == 0) ++unansweredProbes_;
  adjustLocalHealth(expired.indirectRequests > 0
                        ? static_cast<int>(expired.indirectRequests) -
                              static_cast<int>(std::min(expired.indirectReplies, expired.indirectRequests))
                        : 1);
  const MemberRecord* const record = view_.find(expired.target);
  if (record == nullptr || (record->state != State::alive && record->state != State::suspect)) return;
  ++counters_.suspicions;
  if (record->state == State::suspect) return addSuspicion(now, *record, self_.id, true);
  MemberUpdate update = updateOf(now, *record);
  update.state = State::suspect;
  update.accuser = self_.id;
  applyUpdate(now, update, Source::own);
}

void Membership::continueRelayedProbes(Span now) {
  for (auto at = relayedProbes_.begin(); at != relayedProbes_.end();) {
    RelayedProbe& relayed = at->second;
    if (!relayed.nackSent && now >= relayed.nackAt) {
      relayed.nackSent = true;
      if (config_.lifeguard) {
        Message nack;
        nack.kind = MessageKind::nack;
        nack.probeNumber = relayed.requesterNumber;
        nack.subject = relayed.target;
        send(relayed.requester, std::move(nack));
      }
    }
    at = now >= relayed.endsAt ? relayedProbes_.erase(at) : std::next(at);
  }
}

// Contacts dead members and unknown join addresses from time to time, so that healed partitions merge again
// and a member that started alone finds the fleet. The rate over the entire fleet doesn't depend on its size.
void Membership::reconnect(Span now) {
  if (joinAt_ != Span::max()) return;
  const bool isolated = view_.liveCount() == 0;
  const auto liveCount = static_cast<double>(view_.liveCount() + 1);
  if (!isolated) isolatedAttempts_ = 0;
  const double probability = isolated ? (++isolatedAttempts_ <= kFastJoinAttempts ? 1 : kSlowJoinProbability)
                                      : kReconnectsPerPeriod / liveCount;
  if (randomFraction() > (isolated ? probability : std::min(kMaxReconnectProbability, probability))) return;
  std::vector<const MemberRecord*> dead;
  for (const MemberRecord& record : view_.all()) {
    if (record.state == State::dead) dead.push_back(&record);
  }
  std::vector<std::string> addresses;
  for (const std::string& address : joinAddresses_) {
    if (std::ranges::none_of(view_.all(), [&](const MemberRecord& record) {
          return record.state != State::left && record.info->address == address;
        }))
      addresses.push_back(address);
  }
  const std::size_t all = dead.size() + addresses.size();
  if (all == 0) return;
  const std::size_t index = randomIndex(all);
  if (isolated)
    return startExchange(now,
                         index < dead.size() ? dead[index]->info->address : addresses[index - dead.size()]);
  Message ping;
  ping.kind = MessageKind::ping;
  ping.probeNumber = ++lastProbeNumber_;
  if (index >= dead.size()) return send(addresses[index - dead.size()], std::move(ping));
  ping.subject = dead[index]->id;
  send(dead[index]->info->address, std::move(ping), updateUnlessAlive(dead[index]->id));
}

// ---- Dissemination

void Membership::sendGossip(Span now) {
  if (gossip_.empty()) {
    gossipAt_ = Span::max();
    return;
  }
  gossipAt_ = now + scaled(config_.period, kGossipInterval);
  for (const MemberRecord* member : drawLiveMembers(kGossipFanout, self_.id))
    send(member->info->address, Message{});
}

// Only a random few of the members that learn of a dispute notify the accused, to bound its load.
void Membership::scheduleNotification(Span now, MemberId id) {
  if (randomFraction() * static_cast<double>(view_.liveCount()) >= kNotifyingMembers) return;
  toNotify_.insert(id);
  notifyAt_ = std::min(notifyAt_, now + scaled(config_.period, kNotifyInterval * randomFraction()));
}

void Membership::notifyAccused(Span now) {
  for (std::size_t notified = 0; notified < kNotifyBatch && !toNotify_.empty();) {
    auto at = toNotify_.begin();
    std::advance(at, static_cast<std::ptrdiff_t>(randomIndex(toNotify_.size())));
    const MemberRecord* const record = view_.find(*at);
    toNotify_.erase(at);
    if (record == nullptr) continue;
    if (const std::optional<MemberUpdate> update = updateUnlessAlive(record->id)) {
      ++notified;
      send(record->info->address, Message{}, update);
    }
  }
  notifyAt_ = toNotify_.empty() ? Span::max() : now + scaled(config_.period, kNotifyInterval);
}

void Membership::startExchange(Span now, const std::string& address) {
  exchangedAt_ = now;
  host_.exchange(address);
}

void Membership::exchangeWithRandomMember(Span now) {
  const bool busy = now < busyUntil_ || gossip_.size() > 4 * kGossipChanges;
  exchangeAt_ = now + scaled(config_.period, (busy ? kBusyExchangeInterval : kIdleExchangeInterval) *
                                                 (0.5 + randomFraction()));
  const auto one = drawLiveMembers(1, self_.id);
  if (!one.empty()) startExchange(now, one.front()->info->address);
}

void Membership::send(const std::string& address, Message message, std::optional<MemberUpdate> first) {
  message.self = self_;
  message.digest = digest();
  std::size_t available = kMessageBytes - maxEncodedSize(self_);
  if (first) {
    available -= maxEncodedSize(*first);
    message.updates.push_back(*std::move(first));
  }
  for (MemberUpdate& update : gossip_.next(available, maxTransmissions()))
    message.updates.push_back(std::move(update));
  host_.send(address, message);
}

// ---- Local health and connectivity

// Detects that this process was suspended or starved: missing replies then say nothing about other members,
// so probes in flight are dropped and suspicions extended.
void Membership::detectStall(Span now) {
  if (!config_.lifeguard || due_ == Span::max() || now - due_ < scaled(config_.period, kStallThreshold))
    return;
  const Span delay = now - due_;
  ++counters_.stalls;
  adjustLocalHealth(1);
  probe_.reset();
  relayedProbes_.clear();
  for (auto& [id, suspicion] : suspicions_) {
    suspicion.startedAt += delay;
    suspicion.endsAt += delay;
  }
  if (suspicionEndsAt_ != Span::max()) suspicionEndsAt_ += delay;
  for (Span* timer : {&probeAt_, &gossipAt_, &notifyAt_, &exchangeAt_, &expireAt_, &joinAt_})
    *timer = std::max(*timer, now);
  stalledUntil_ = now + scaled(config_.period, kStallPenaltyPeriods);
  if (connectivity_ == Connectivity::full) connectivity_ = Connectivity::partial;
  due_ = now;
}

void Membership::updateConnectivity(Span now) {
  const auto others = static_cast<double>(view_.possiblyRunning());
  Connectivity measured = Connectivity::full;
  if (displaced_ || (others == 0 && !joinAddresses_.empty()) || (others > 0 && unansweredProbes_ > 1)) {
    measured = Connectivity::isolated;
  } else if (others > 0) {
    const double share = static_cast<double>(view_.count(State::alive)) / others;
    // Dead members stay counted until they are removed, which in a small fleet could prevent the return to
    // full. Without suspects the lower threshold applies, as a partition would show as suspicions.
    const bool lowerThreshold = connectivity_ == Connectivity::full || view_.count(State::suspect) == 0;
    if (share < (lowerThreshold ? kPartialBelow : kFullFrom) || now < stalledUntil_)
      measured = Connectivity::partial;
  }
  if (measured <= connectivity_) worseSince_ = Span::max();
  if (measured >= connectivity_) betterSince_ = Span::max();
  if (measured > connectivity_) worseSince_ = std::min(worseSince_, now);
  if (measured < connectivity_) betterSince_ = std::min(betterSince_, now);
  if ((worseSince_ != Span::max() && now - worseSince_ >= scaled(config_.period, kDegradePeriods)) ||
      (betterSince_ != Span::max() && now - betterSince_ >= scaled(config_.period, kRecoverPeriods))) {
    connectivity_ = measured;
    worseSince_ = betterSince_ = Span::max();
  }
}

// A member that can't receive, or whose messages are lost, must not declare the others dead. Suspicions
// therefore expire only when a probe is answered. After a gap without replies the member first starts an
// exchange for what it missed and restarts the suspicion timeouts.
void Membership::probeAnswered(Span now, const std::string& address) {
  const bool missed = now - std::exchange(repliedAt_, now) > scaled(config_.period, kMissedReplyPeriods);
  const bool unanswered = std::exchange(unansweredProbes_, 0U) > 0;
  if (!config_.lifeguard) return;
  if (!unanswered && !missed) return expireSuspicions(now);
  // Replies again after silence: reset local health, which would otherwise slow down probing for long.
  if (unanswered) localHealth_ = 0;
  startExchange(now, address);
  suspicionEndsAt_ = Span::max();
  for (auto& [id, suspicion] : suspicions_) {
    toNotify_.insert(id);  // the suspect may not know of the suspicion
    suspicion.startedAt = now;
    suspicion.endsAt = suspicionDeadline(suspicion);
    suspicionEndsAt_ = std::min(suspicionEndsAt_, suspicion.endsAt);
  }
  if (!toNotify_.empty()) notifyAt_ = std::min(notifyAt_, now);
}

void Membership::adjustLocalHealth(int by) {
  if (!config_.lifeguard) return;
  localHealth_ = static_cast<std::uint32_t>(
      std::clamp(static_cast<int>(localHealth_) + by, 0, static_cast<int>(kMaxLocalHealth)));
}

// ---- Timers

void Membership::wake(Span now) {
  if (!started_ || left_) return;
  detectStall(now);
  continueProbe(now);
  continueRelayedProbes(now);
  if (!config_.lifeguard) expireSuspicions(now);
  if (now >= probeAt_) {
    startProbe(now);
    updateConnectivity(now);
  }
  if (now >= joinAt_) {
    joinAt_ = Span::max();
    if (view_.liveCount() == 0) startExchange(now, joinAddresses_[randomIndex(joinAddresses_.size())]);
  }
  if (!displaced_) {
    if (now >= gossipAt_) sendGossip(now);
    if (now >= notifyAt_) notifyAccused(now);
    if (now >= exchangeAt_) exchangeWithRandomMember(now);
  }
  if (now >= expireAt_) {
    // An isolated member can't tell a death from a partition, so it keeps dead members.
    view_.removeExpired(now, connectivity_ != Connectivity::isolated);
    expireAt_ = now + 60 * config_.period;
  }
  scheduleTimer(now);
}

void Membership::scheduleTimer(Span now) {
  due_ = std::min({probeAt_, expireAt_, joinAt_});
  if (!displaced_) due_ = std::min({due_, gossipAt_, notifyAt_, exchangeAt_});
  if (probe_) due_ = std::min({due_, probe_->indirectAt, probe_->endsAt});
  for (const auto& [number, relayed] : relayedProbes_)
    due_ = std::min(due_, relayed.nackSent ? relayed.endsAt : relayed.nackAt);
  if (!config_.lifeguard) due_ = std::min(due_, suspicionEndsAt_);
  due_ = std::max(due_, now);  // a timer that is already overdue must not count as a stall
}

// ---- Helpers

std::optional<MemberUpdate> Membership::updateUnlessAlive(MemberId id) const {
  const MemberRecord* const record = view_.find(id);
  if (record == nullptr || record->state == State::alive) return std::nullopt;
  return updateOf(record->since, *record);
}

MemberUpdate Membership::updateOf(Span now, const MemberRecord& record) const {
  MemberUpdate update{record.info, record.id, record.version, record.state, Span{}, MemberId{}};
  if (record.state == State::dead || record.state == State::left)
    update.age = std::max(now - record.since, Span{});
  if (record.state == State::suspect) {
    const auto at = suspicions_.find(record.id);
    update.accuser =
        at != suspicions_.end() && !at->second.accusers.empty() ? *at->second.accusers.begin() : self_.id;
  }
  return update;
}

std::vector<const MemberRecord*> Membership::drawLiveMembers(std::size_t count, MemberId excluded) {
  std::vector<const MemberRecord*> drawn;
  const auto& all = view_.all();
  const auto fits = [&](const MemberRecord& record) {
    return record.id != excluded && (record.state == State::alive || record.state == State::suspect) &&
           std::ranges::find(drawn, &record) == drawn.end();
  };
  // A few random draws suffice if most members are live; otherwise scan the view.
  for (std::size_t tries = 0; tries < 4 * count && drawn.size() < count && !all.empty(); ++tries) {
    const MemberRecord& record = all[randomIndex(all.size())];
    if (fits(record)) drawn.push_back(&record);
  }
  for (std::size_t at = 0; at < all.size() && drawn.size() < std::min(count, view_.liveCount()); ++at) {
    if (fits(all[at])) drawn.push_back(&all[at]);
  }
  return drawn;
}

double Membership::randomFraction() { return static_cast<double>(random_() >> 11U) * 0x1.0p-53; }

std::size_t Membership::randomIndex(std::size_t below) {
  return std::min(static_cast<std::size_t>(randomFraction() * static_cast<double>(below)), below - 1);
}

std::uint32_t Membership::maxTransmissions() const {
  return static_cast<std::uint32_t>(kRetransmitMultiplier *
                                    std::ceil(std::log10(static_cast<double>(view_.liveCount() + 2))));
}

}  // namespace rackroute::fleet
