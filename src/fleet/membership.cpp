#include "fleet/membership.hpp"

#include <algorithm>
#include <cmath>
#include <utility>

namespace rackroute::fleet {
namespace {

using namespace std::chrono_literals;

constexpr double kAnswer =
    0.25;                        // of a period, for a direct answer; a way across zones takes a tenth of that
constexpr double kJudged = 0.6;  // of a period, for an answer through others too
constexpr double kNack = 0.8;    // of the time that a helper has; it says by then that it hears nothing
constexpr std::size_t kHelpers = 3;       // the paper's figure; each reaches the target by another way
constexpr std::size_t kMostFavours = 64;  // at a time; far above what a healthy fleet asks of one member
constexpr std::uint32_t kMostIll = 8;     // Lifeguard's figure: a probe every ninth period
constexpr double kLeastSuspicion = 2;  // periods; a word there and its answer back, in a fleet of a thousand
constexpr double kCheckSoon = 0.2;     // of a period, until those who check a suspicion probe
constexpr double kUnanswered = 3;      // periods; one in doubt of itself asks less often still
constexpr double kUnconfirmed = 3;     // times the shortest suspicion, while nobody else confirms it
constexpr std::size_t kConfirmed = 2;  // others' probes that end a suspicion soonest
constexpr double kChecks = 4;          // members of all that check a suspicion they hear of
constexpr double kSpreadEvery = 0.2;   // of a period
constexpr std::size_t kFanout = 3;     // members told at a time
constexpr double kRetell = 4;          // times a word is told, for each tenfold of members
constexpr std::size_t kRoom = 1100;    // bytes of a datagram, less what the encoding adds around
constexpr std::size_t kFewChanges = 16;      // more at once go round by exchanges, which are cheaper for many
constexpr double kExchangeSoon = 0.5;        // of a period, while much changes
constexpr double kUnsettled = 3;             // periods after much has changed at once
constexpr double kExchangeSeldom = 30;       // periods, by chance; equal views cost a few bytes
constexpr std::uint32_t kAgreed = 4;         // views in a row like one's own; then much that changed is known
constexpr double kExchangeWait = 2;          // periods between two because of views that differ
constexpr double kLongestExchangeWait = 64;  // periods, where exchanges leave the views different
constexpr double kReach = 4;                 // a period: tries of the whole fleet to find those it lost
constexpr double kMostReach = 0.5;           // of a member's periods
constexpr double kJoinOver = 2;              // periods over which those who start together ask
constexpr std::uint32_t kAloneQuick = 5;     // tries, one a period, of one that knows nobody
constexpr double kAloneSlow = 0.2;           // of its periods from then on; a thousand of them ask too
constexpr double kAccusers = 20;      // members of all that tell one that it is thought dead, an exchange
constexpr double kTellAccused = 0.1;  // of a period
constexpr std::size_t kAccusedAtOnce = 2;  // told in that time; the fleet's others tell the rest
constexpr double kNameAsked = 3;           // periods without an answer; then a name is free
constexpr double kPartialBelow = 0.75;     // of those that may be running, alive; a quarter out is a cut
constexpr double kWholeFrom = 0.9;         // of them; well apart from the other
constexpr double kFalls = 2;               // periods of hearing less, before it says so
constexpr double kRises = 3;               // periods of hearing more
constexpr double kStall = 0.5;             // of a period late; no timer of a healthy process is
constexpr double kDoubtsItself = 3;        // periods after a stall
constexpr std::size_t kFarewells = 10;     // members told of a leave; one lost in ten leaves nine
constexpr Span kKeepLeft = 1h;             // above any time that old messages are under way
constexpr std::uint64_t kLatestStart = std::uint64_t{1} << 52U;  // ms; no clock is there for ages
constexpr std::uint32_t kLastIncarnation = 0x7fffffffU;          // then a new start; never met in practice
constexpr std::size_t kLongestName = 64;                         // bytes; of names and zones

Span scaled(Span span, double by) {
  return Span{static_cast<Span::rep>(static_cast<double>(span.count()) * by)};
}

Word wordOfSelf(Card card, std::uint64_t start) {
  Word word;
  word.id = memberId(card.name);
  word.card = std::make_shared<const Card>(std::move(card));
  word.life.start = start;
  return word;
}

}  // namespace

Membership::Membership(Card self, std::uint64_t start, std::vector<std::string> join, const Rhythm& rhythm,
                       std::uint64_t seed, Surroundings& surroundings)
    : rhythm_(rhythm),
      surroundings_(surroundings),
      join_(std::move(join)),
      chance_(seed),
      self_(wordOfSelf(std::move(self), start)),
      view_(rhythm.most, rhythm.keepDead, kKeepLeft) {
  std::erase(join_, self_.card->address);
}

void Membership::begin(Span now) {
  if (std::exchange(begun_, true)) notice(now);  // it stepped back for another process that has ended
  changedAt_ = exchangedAt_ = answeredAt_ = now;
  exchangeWait_ = scaled(rhythm_.period, kExchangeWait);
  // Guards against a fleet that starts together and probes together from then on.
  probeAt_ = now + scaled(rhythm_.period, draw());
  byChance_ = draw() < 0.5;
  exchangeAt_ = now + scaled(rhythm_.period, kExchangeSeldom * draw());
  forgetAt_ = now + 60 * rhythm_.period;
  if (!rumours_.empty()) spreadAt_ = now;
  if (!join_.empty() && view_.living() == 0) {
    hearing_ = Hearing::alone;
    joinAt_ = now + scaled(rhythm_.period, kJoinOver * draw());
  }
  plan(now);
}

void Membership::know(Span now, const std::vector<Word>& words) {
  for (const Word& word : words) {
    if (plausible(word) && word.id != self_.id) view_.take(now, word);
  }
}

void Membership::goOn(const Life& life) {
  self_.life = life;
  raise();
}

void Membership::leave(Span now) {
  if (!begun_ || std::exchange(left_, true) || displaced_) return;
  self_.state = State::left;
  for (const Held* member : drawLiving(kFarewells, self_.id)) {
    Message message;
    message.kind = Kind::news;
    send(member->card->address, std::move(message));
  }
  changedAt_ = now;
  due_ = Span::max();
}

// ---- What comes

void Membership::heard(Span now, const Message& message) {
  if (!begun_ || left_) return;
  notice(now);
  if (!plausible(message.self)) {
    ++figures_.refusedAbsurd;
    return plan(now);
  }
  if (message.self.id == self_.id) {
    rivalSpeaks(message);
    return plan(now);
  }
  if (displaced_) return;
  const std::string& address = message.self.card->address;
  learn(now, message.self, Source::gossip);
  for (const Word& word : message.words) learn(now, word, Source::gossip);
  Message answer;
  answer.number = message.number;
  answer.about = message.about;
  switch (message.kind) {
    case Kind::ping:
      if (message.about.value != 0 && message.about != self_.id) {
        ++figures_.misdirected;
        break;
      }
      answer.kind = Kind::ack;
      answer.about = self_.id;
      send(address, std::move(answer), rhythm_.lifeguard ? wordFor(message.self.id) : std::nullopt);
      break;
    case Kind::ack:
      if (probe_ && probe_->number == message.number && probe_->target == message.about) {
        probe_.reset();
        answered(now, address);
        feel(-1);
      } else if (const auto at = favours_.find(message.number);
                 at != favours_.end() && at->second.target == message.about) {
        answer.kind = Kind::ack;
        answer.number = at->second.theirs;
        const std::string asker = at->second.asker;
        favours_.erase(at);
        send(asker, std::move(answer));
      }
      break;
    case Kind::ask: {
      const Held* const target = view_.find(message.about);
      if (target == nullptr || favours_.size() >= kMostFavours) {
        answer.kind = Kind::nack;
        send(address, std::move(answer));
        break;
      }
      const Span window = scaled(rhythm_.period, kJudged - kAnswer);
      Favour& favour = favours_[++lastNumber_];
      favour = {address, message.number, message.about, now + scaled(window, kNack), now + window, false};
      Message ping;
      ping.kind = Kind::ping;
      ping.number = lastNumber_;
      ping.about = message.about;
      send(target->card->address, std::move(ping), rhythm_.lifeguard ? wordFor(message.about) : std::nullopt);
      break;
    }
    case Kind::nack:
      if (probe_ && probe_->number == message.number) {
        ++probe_->heardOf;
        answered(now, address);
      }
      break;
    case Kind::news:
      break;
  }
  compare(now, message);
  plan(now);
}

// Guards against views that stay apart, whatever was lost on the way: those who talk see that they differ.
void Membership::compare(Span now, const Message& message) {
  const Held* const sender = view_.find(message.self.id);
  if (sender == nullptr || sender->state == State::left) return;
  if (sender->state == State::dead) {
    // One that was thought dead talks: this heals a fleet that was cut in two. It must say so itself, with a
    // higher incarnation, as the message may be an old one; and it may know of many more.
    if (sender->life != message.self.life) return;
    accused_.insert(sender->id);
    accuseAt_ = std::min(accuseAt_, now);
    if (now - exchangedAt_ > rhythm_.period) exchangeNow(now, sender->card->address);
    return;
  }
  if (message.digest == digest()) {
    exchangeWait_ = scaled(rhythm_.period, kExchangeWait);
    // What exchanges have brought to all need not be told on, word by word.
    if (++agreed_ >= kAgreed && rumours_.size() > kFewChanges) rumours_.clear();
    return;
  }
  agreed_ = 0;
  if (now - changedAt_ > scaled(rhythm_.period, kExchangeWait) && now - exchangedAt_ > exchangeWait_) {
    // Doubled each time, so that views that can't agree, as one is full, do not cost an exchange a second.
    exchangeWait_ = std::min(2 * exchangeWait_, scaled(rhythm_.period, kLongestExchangeWait));
    exchangeNow(now, sender->card->address);
  }
}

// One that knows few asks for all, which then costs no more than the marks; the dead are told to it as well.
Marks Membership::marks() const {
  if (view_.living() < kParts) return {};
  Marks made(view_.marks().begin(), view_.marks().end());
  made[partOf(self_.id)] += View::digestOf(self_.id, self_.life);
  return made;
}

Whole Membership::question() const { return {self_, digest(), {}, marks()}; }

Whole Membership::whole(Span now, const Marks& theirs) const {
  Whole made = question();
  const bool all = theirs.size() != kParts || made.marks.empty();
  made.words.reserve(all ? view_.all().size() : 0);
  for (const Held& held : view_.all()) {
    const std::size_t part = partOf(held.id);
    if (all || made.marks[part] != theirs[part]) made.words.push_back(wordOf(now, held));
  }
  return made;
}

void Membership::merge(Span now, const Whole& theirs) {
  if (!begun_ || left_ || displaced_ || !plausible(theirs.self)) return;
  notice(now);
  merged_.clear();
  learn(now, theirs.self, Source::exchange);
  for (const Word& word : theirs.words) learn(now, word, Source::exchange);
  exchangedAt_ = now;
  if (!merged_.empty()) exchangeWait_ = scaled(rhythm_.period, kExchangeWait);
  if (merged_.size() > kFewChanges) {
    unsettledUntil_ = now + scaled(rhythm_.period, kUnsettled);
    exchangeAt_ = std::min(exchangeAt_, now + scaled(rhythm_.period, kExchangeSoon * (0.5 + draw())));
  } else {
    for (const Word& word : merged_) rumours_.add(word);
  }
  merged_.clear();
  plan(now);
}

bool Membership::plausible(const Word& word) const {
  return word.card && !word.card->name.empty() && word.card->name.size() <= kLongestName &&
         word.card->zone.size() <= kLongestName && !word.card->address.empty() &&
         word.card->address.size() <= kLongestName && word.life.start < kLatestStart &&
         word.life.incarnation < kLastIncarnation;
}

void Membership::learn(Span now, const Word& word, Source source) {
  if (!plausible(word)) {
    ++figures_.refusedAbsurd;
    return;
  }
  if (word.id == self_.id) return learnOfSelf(now, word);
  const Held* const held = view_.find(word.id);
  Word taken = word;
  if (held != nullptr) {
    const bool living = held->state == State::alive || held->state == State::suspect;
    if (word.state == State::suspect && held->state == State::suspect && word.life == held->life)
      return suspect(now, *held, word.from, false);
    if (!outranks(word.life, word.state, held->life, held->state)) {
      // It lives for others and is dead here: it is to hear of that, as only it can end that.
      if (source == Source::exchange && held->state == State::dead && word.life == held->life &&
          word.state != State::left)
        accuse(now, held->id);
      return;
    }
    // Guards against a part of the fleet that was cut off and has buried all of this one: in an exchange a
    // death is a suspicion, and the suspect is told, so that it can speak up.
    if (source == Source::exchange && word.state == State::dead && living &&
        held->life.start == word.life.start) {
      if (held->state == State::suspect && held->life == word.life) return;
      taken.state = State::suspect;
      taken.from = word.from;
      accuse(now, word.id);
    }
  }
  const std::optional<State> was = held != nullptr ? std::optional(held->state) : std::nullopt;
  const View::Taken how = view_.take(now, taken);
  if (how == View::Taken::full) ++figures_.refusedFull;
  if (how == View::Taken::nothing || how == View::Taken::full) return;
  changedAt_ = now;
  agreed_ = 0;
  const Held& made = *view_.find(taken.id);
  if (how == View::Taken::fresh) {
    // At a random place, so that those who are new are probed as soon as others.
    order_.insert(order_.begin() + static_cast<std::ptrdiff_t>(pick(order_.size() + 1)), taken.id);
  }
  suspicions_.erase(taken.id);
  if (taken.state != State::suspect) accused_.erase(taken.id);
  source == Source::exchange ? merged_.push_back(taken) : rumours_.add(taken);
  if (rumours_.size() > 4 * kFewChanges)
    exchangeAt_ = std::min(exchangeAt_, now + scaled(rhythm_.period, kExchangeSoon * (0.5 + draw())));
  announce(now, made, was);
  if (taken.state != State::suspect) return;
  suspect(now, made, taken.from, source == Source::own);
  // A few of all look for themselves at once: they confirm it, or have it refuted, in little more than a
  // period.
  if (source != Source::own && rhythm_.lifeguard && draw() * static_cast<double>(view_.living()) < kChecks)
    checkSoon(now, taken.id);
}

void Membership::checkSoon(Span now, MemberId id) {
  order_.push_back(id);
  ++checks_;
  if (!probe_) probeAt_ = std::min(probeAt_, now + scaled(rhythm_.period, kCheckSoon * draw()));
}

void Membership::announce(Span now, const Held& held, std::optional<State> was) {
  spreadAt_ = std::min(spreadAt_, now + scaled(rhythm_.period, kSpreadEvery * draw()));
  if (was != held.state) surroundings_.changed(held, was);
}

void Membership::suspect(Span now, const Held& held, MemberId by, bool own) {
  Suspicion& suspicion = suspicions_[held.id];
  if (suspicion.by.empty()) {
    suspicion.life = held.life;
    suspicion.begun = now;
  }
  const bool confirms = suspicion.by.insert(by).second;
  suspicion.ends = deadline(suspicion);
  ripeAt_ = std::min(ripeAt_, suspicion.ends);
  if (!confirms || suspicion.by.size() == 1) return;
  // The first few that confirm it are told on, as they shorten it everywhere.
  if (suspicion.by.size() > kConfirmed + 1 || !rhythm_.lifeguard) return;
  Word word = wordOf(now, held);
  word.from = by;
  rumours_.add(word);
  if (own) changedAt_ = now;
  spreadAt_ = std::min(spreadAt_, now + scaled(rhythm_.period, kSpreadEvery * draw()));
}

// Lifeguard's dogpile: long while one member alone says so, shorter with each that confirms it.
Span Membership::deadline(const Suspicion& suspicion) const {
  const auto members = static_cast<double>(view_.living() + 1);
  const Span least =
      scaled(rhythm_.period, rhythm_.suspicion * std::max(kLeastSuspicion, std::log10(members) - 1));
  if (!rhythm_.lifeguard) return suspicion.begun + least;
  const Span most = scaled(least, kUnconfirmed);
  const double wanted = std::min(static_cast<double>(kConfirmed), members - 2);
  if (wanted < 1) return suspicion.begun + most;
  const double confirmed = std::min(static_cast<double>(suspicion.by.size() - 1), wanted);
  const double part = std::log(confirmed + 1) / std::log(wanted + 1);
  return suspicion.begun + most - scaled(most - least, part);
}

void Membership::settleSuspicions(Span now) {
  if (now < ripeAt_) return;
  ripeAt_ = Span::max();
  std::vector<MemberId> over;
  for (const auto& [id, suspicion] : suspicions_) {
    if (suspicion.ends <= now)
      over.push_back(id);
    else
      ripeAt_ = std::min(ripeAt_, suspicion.ends);
  }
  for (const MemberId id : over) {
    const Held* const held = view_.find(id);
    if (held == nullptr || held->state != State::suspect) {
      suspicions_.erase(id);
      continue;
    }
    ++figures_.deaths;
    Word word = wordOf(now, *held);
    word.state = State::dead;
    learn(now, word, Source::own);
  }
}

// ---- Talk of itself

void Membership::raise() {
  if (++self_.life.incarnation >= kLastIncarnation) {
    ++self_.life.start;
    self_.life.incarnation = 0;
  }
  rumours_.add(self_);
}

void Membership::learnOfSelf(Span now, const Word& word) {
  const bool here = word.card->address == self_.card->address;
  const bool living = word.state == State::alive || word.state == State::suspect;
  const auto rank = [](const Word& of) { return std::pair(of.life.start, of.card->address); };
  if (here || !living) {
    if (displaced_ || word.life < self_.life ||
        (here && word.life == self_.life && word.state == State::alive))
      return;
    if (word.life.start == self_.life.start && word.state != State::alive) {
      ++figures_.refuted;
      feel(1);
    }
    // Also a start of before with a clock that was ahead: this one is the later, whatever the clock says.
    if (word.life.start > self_.life.start) self_.life.start = word.life.start + 1;
    self_.life.incarnation = std::max(self_.life.incarnation, word.life.incarnation);
    raise();
    spreadAt_ = std::min(spreadAt_, now);
    return;
  }
  if (rank(word) < rank(self_)) return;  // another process with this name, an earlier one: it will give way
  // A later start elsewhere: another process with this name, or one that ran there before, with a clock that
  // was ahead. It is asked; words of others alone do not make this one give way.
  if (rival_ != word.card->address) {
    rival_ = word.card->address;
    unanswered_ = 0;
  }
  rivalLife_ = std::max(rivalLife_, word.life);
}

// Guards against two processes that each think the name theirs: the later start has it, and the other is
// quiet.
void Membership::rivalSpeaks(const Message& message) {
  const Word& rival = message.self;
  if (rival.card->address == self_.card->address) return;
  if (std::pair(rival.life.start, rival.card->address) > std::pair(self_.life.start, self_.card->address)) {
    rival_ = rival.card->address;
    rivalLife_ = rival.life;
    unanswered_ = 0;
    if (!std::exchange(displaced_, true)) surroundings_.nameTaken(true, rival_);
  } else if (!displaced_ && message.kind == Kind::ping) {
    Message answer;
    answer.kind = Kind::ack;
    answer.number = message.number;
    send(rival.card->address, std::move(answer));
  }
}

void Membership::askForName(Span now) {
  if (rival_.empty()) return;
  if (unanswered_++ < static_cast<std::uint32_t>(kNameAsked)) {
    Message ping;
    ping.kind = Kind::ping;
    ping.number = ++lastNumber_;
    ping.about = self_.id;
    send(rival_, std::move(ping));
    return;
  }
  // Nobody is there any more: the name is this one's, with a start later than any that is told of.
  self_.life.start = std::max(self_.life.start, rivalLife_.start + 1);
  raise();
  spreadAt_ = std::min(spreadAt_, now);
  const std::string by = std::exchange(rival_, {});
  if (std::exchange(displaced_, false)) surroundings_.nameTaken(false, by);
}

// ---- Probes

void Membership::probeNext(Span now) {
  probeAt_ = now + scaled(rhythm_.period, 1.0 + ill_);
  askForName(now);
  if (displaced_) return;
  reachOut(now);
  const Held* const target = nextTarget();
  if (target == nullptr) return;
  ++figures_.probes;
  probe_ = Probe{};
  probe_->target = target->id;
  probe_->address = target->card->address;
  probe_->number = ++lastNumber_;
  probe_->askOthersAt = now + scaled(rhythm_.period, kAnswer * (1 + ill_));
  probe_->endsAt = now + scaled(rhythm_.period, kJudged * (1 + ill_));
  Message ping;
  ping.kind = Kind::ping;
  ping.number = probe_->number;
  ping.about = target->id;
  send(probe_->address, std::move(ping), rhythm_.lifeguard ? wordFor(target->id) : std::nullopt);
}

// Guards against a death that chance finds late, as nobody happens to probe that one: every second probe goes
// to the next member by id, so that each has one other that comes back to it.
const Held* Membership::nextTarget() {
  const auto lives = [](const Held& held) {
    return held.state == State::alive || held.state == State::suspect;
  };
  const std::vector<Held>& all = view_.all();
  if (checks_ > 0) {
    --checks_;
  } else if (rhythm_.lifeguard && std::exchange(byChance_, !byChance_)) {
    const auto from = std::ranges::upper_bound(all, self_.id, {}, &Held::id);
    auto next = std::find_if(from, all.end(), lives);
    if (next == all.end()) next = std::find_if(all.begin(), from, lives);
    return next == all.end() ? nullptr : &*next;
  }
  for (int round = 0; round < 2; ++round) {
    while (!order_.empty()) {
      const Held* const target = view_.find(order_.back());
      order_.pop_back();
      if (target != nullptr && lives(*target)) return target;
    }
    for (const Held& held : all) {
      if (lives(held)) order_.push_back(held.id);
    }
    std::shuffle(order_.begin(), order_.end(), chance_);
  }
  return nullptr;
}

void Membership::followProbe(Span now) {
  if (!probe_) return;
  if (now >= probe_->askOthersAt) {
    probe_->askOthersAt = Span::max();
    for (const Held* helper : drawLiving(kHelpers, probe_->target)) {
      Message ask;
      ask.kind = Kind::ask;
      ask.number = probe_->number;
      ask.about = probe_->target;
      ++probe_->asked;
      send(helper->card->address, std::move(ask));
    }
  }
  if (now < probe_->endsAt) return;
  const Probe over = *std::exchange(probe_, std::nullopt);
  ++figures_.probesLost;
  if (over.heardOf == 0) ++unheard_;
  feel(over.asked > 0 ? static_cast<int>(over.asked) - static_cast<int>(std::min(over.heardOf, over.asked))
                      : 1);
  const Held* const held = view_.find(over.target);
  if (held == nullptr || (held->state != State::alive && held->state != State::suspect)) return;
  ++figures_.suspicions;
  if (held->state == State::suspect) return suspect(now, *held, self_.id, true);
  Word word = wordOf(now, *held);
  word.state = State::suspect;
  word.from = self_.id;
  learn(now, word, Source::own);
}

void Membership::settleFavours(Span now) {
  for (auto at = favours_.begin(); at != favours_.end();) {
    Favour& favour = at->second;
    if (!favour.told && now >= favour.nackAt) {
      favour.told = true;
      if (rhythm_.lifeguard) {
        Message nack;
        nack.kind = Kind::nack;
        nack.number = favour.theirs;
        nack.about = favour.target;
        send(favour.asker, std::move(nack));
      }
    }
    at = now >= favour.endsAt ? favours_.erase(at) : std::next(at);
  }
}

// Guards against two parts of a fleet that have each buried the other, and against one that started while all
// whom it could ask were away: those thought dead, and the addresses of the start, are tried now and then.
// The whole fleet together does so a few times a period, however large it is.
void Membership::reachOut(Span now) {
  if (joinAt_ != Span::max()) return;
  const bool alone = view_.living() == 0;
  const auto living = static_cast<double>(view_.living() + 1);
  if (!alone) aloneTries_ = 0;
  const double often = alone ? (++aloneTries_ <= kAloneQuick ? 1 : kAloneSlow) : kReach / living;
  if (draw() > (alone ? often : std::min(kMostReach, often))) return;
  std::vector<const Held*> dead;
  for (const Held& held : view_.all()) {
    if (held.state == State::dead) dead.push_back(&held);
  }
  std::vector<std::string> addresses;
  for (const std::string& address : join_) {
    if (std::ranges::none_of(view_.all(), [&](const Held& held) {
          return held.state != State::left && held.card->address == address;
        }))
      addresses.push_back(address);
  }
  const std::size_t all = dead.size() + addresses.size();
  if (all == 0) return;
  const std::size_t place = pick(all);
  if (alone)
    return exchangeNow(now,
                       place < dead.size() ? dead[place]->card->address : addresses[place - dead.size()]);
  Message ping;
  ping.kind = Kind::ping;
  ping.number = ++lastNumber_;
  if (place >= dead.size()) return send(addresses[place - dead.size()], std::move(ping));
  ping.about = dead[place]->id;
  send(dead[place]->card->address, std::move(ping), wordFor(dead[place]->id));
}

// ---- Telling on

void Membership::spread(Span now) {
  if (rumours_.empty()) {
    spreadAt_ = Span::max();
    return;
  }
  spreadAt_ = now + scaled(rhythm_.period, kSpreadEvery);
  for (const Held* member : drawLiving(kFanout, self_.id)) send(member->card->address, Message{});
}

// A few of all who learn of it tell it, or a thousand would.
void Membership::accuse(Span now, MemberId id) {
  if (draw() * static_cast<double>(view_.living()) >= kAccusers) return;
  accused_.insert(id);
  accuseAt_ = std::min(accuseAt_, now + scaled(rhythm_.period, kTellAccused * draw()));
}

void Membership::tellAccused(Span now) {
  for (std::size_t told = 0; told < kAccusedAtOnce && !accused_.empty();) {
    auto at = accused_.begin();
    std::advance(at, static_cast<std::ptrdiff_t>(pick(accused_.size())));
    const Held* const held = view_.find(*at);
    accused_.erase(at);
    if (held == nullptr) continue;
    if (const std::optional<Word> word = wordFor(held->id)) {
      ++told;
      send(held->card->address, Message{}, word);
    }
  }
  accuseAt_ = accused_.empty() ? Span::max() : now + scaled(rhythm_.period, kTellAccused);
}

void Membership::exchangeNow(Span now, const std::string& address) {
  exchangedAt_ = now;
  surroundings_.exchange(address);
}

void Membership::exchangeByChance(Span now) {
  const bool soon = now < unsettledUntil_ || rumours_.size() > 4 * kFewChanges;
  exchangeAt_ = now + scaled(rhythm_.period, (soon ? kExchangeSoon : kExchangeSeldom) * (0.5 + draw()));
  const auto one = drawLiving(1, self_.id);
  if (!one.empty()) exchangeNow(now, one.front()->card->address);
}

void Membership::send(const std::string& address, Message message, std::optional<Word> first) {
  message.self = self_;
  message.digest = digest();
  std::size_t room = kRoom - sizeOf(self_);
  if (first) {
    room -= sizeOf(*first);
    message.words.push_back(*std::move(first));
  }
  for (Word& word : rumours_.next(room, times())) message.words.push_back(std::move(word));
  surroundings_.send(address, message);
}

// ---- How well it hears

// Guards against one that was frozen, or had no processor for long: what it did not hear says nothing of
// others.
void Membership::notice(Span now) {
  if (!rhythm_.lifeguard || due_ == Span::max() || now - due_ < scaled(rhythm_.period, kStall)) return;
  const Span late = now - due_;
  ++figures_.stalls;
  feel(1);
  probe_.reset();
  favours_.clear();
  for (auto& [id, suspicion] : suspicions_) {
    suspicion.begun += late;
    suspicion.ends += late;
  }
  if (ripeAt_ != Span::max()) ripeAt_ += late;
  for (Span* timer : {&probeAt_, &spreadAt_, &accuseAt_, &exchangeAt_, &forgetAt_, &joinAt_})
    *timer = std::max(*timer, now);
  stalledUntil_ = now + scaled(rhythm_.period, kDoubtsItself);
  if (hearing_ == Hearing::whole) hearing_ = Hearing::partial;
  due_ = now;
}

void Membership::listen(Span now) {
  const auto others = static_cast<double>(view_.safe());
  Hearing heard = Hearing::whole;
  if (displaced_ || (others == 0 && !join_.empty()) || (others > 0 && unheard_ > 1)) {
    heard = Hearing::alone;
  } else if (others > 0) {
    const double share = static_cast<double>(view_.count(State::alive)) / others;
    // Guards against a member that has said `partial` once and can't say `whole` again for as long as the
    // dead are kept, which may be more than a tenth of a small fleet: who is suspected tells a cut, not who
    // died.
    const bool clear = hearing_ == Hearing::whole || view_.count(State::suspect) == 0;
    if (share < (clear ? kPartialBelow : kWholeFrom) || now < stalledUntil_) heard = Hearing::partial;
  }
  if (heard <= hearing_) worseSince_ = Span::max();
  if (heard >= hearing_) betterSince_ = Span::max();
  if (heard > hearing_) worseSince_ = std::min(worseSince_, now);
  if (heard < hearing_) betterSince_ = std::min(betterSince_, now);
  if ((worseSince_ != Span::max() && now - worseSince_ >= scaled(rhythm_.period, kFalls)) ||
      (betterSince_ != Span::max() && now - betterSince_ >= scaled(rhythm_.period, kRises))) {
    hearing_ = heard;
    worseSince_ = betterSince_ = Span::max();
  }
}

// Guards against a member that hears but is not heard, or hears nobody: it would bury all the others, or one
// whose answer to a suspicion it missed. So deaths are told in the moment of an answer alone, and one that
// was not answered for a while asks what it missed, and gives those it suspects their time anew.
void Membership::answered(Span now, const std::string& address) {
  const bool missed = now - std::exchange(answeredAt_, now) > scaled(rhythm_.period, kUnanswered);
  const bool silent = std::exchange(unheard_, 0U) > 0;
  if (!rhythm_.lifeguard) return;
  if (!silent && !missed) return settleSuspicions(now);
  // After silence the trouble is over, whatever it was; else it would ask seldom for most of a minute.
  if (silent) ill_ = 0;
  exchangeNow(now, address);
  ripeAt_ = Span::max();
  for (auto& [id, suspicion] : suspicions_) {
    accused_.insert(id);  // it may never have heard of it
    suspicion.begun = now;
    suspicion.ends = deadline(suspicion);
    ripeAt_ = std::min(ripeAt_, suspicion.ends);
  }
  if (!accused_.empty()) accuseAt_ = std::min(accuseAt_, now);
}

void Membership::feel(int by) {
  if (!rhythm_.lifeguard) return;
  ill_ = static_cast<std::uint32_t>(std::clamp(static_cast<int>(ill_) + by, 0, static_cast<int>(kMostIll)));
}

// ---- Time

void Membership::wake(Span now) {
  if (!begun_ || left_) return;
  notice(now);
  followProbe(now);
  settleFavours(now);
  if (!rhythm_.lifeguard) settleSuspicions(now);
  if (now >= probeAt_) {
    probeNext(now);
    listen(now);
  }
  if (now >= joinAt_) {
    joinAt_ = Span::max();
    if (view_.living() == 0) exchangeNow(now, join_[pick(join_.size())]);
  }
  if (!displaced_) {
    if (now >= spreadAt_) spread(now);
    if (now >= accuseAt_) tellAccused(now);
    if (now >= exchangeAt_) exchangeByChance(now);
  }
  if (now >= forgetAt_) {
    // Alone it can't tell a death from a cut: nobody's is long ago then.
    view_.forget(now, hearing_ != Hearing::alone);
    forgetAt_ = now + 60 * rhythm_.period;
  }
  plan(now);
}

void Membership::plan(Span now) {
  due_ = std::min({probeAt_, forgetAt_, joinAt_});
  if (!displaced_) due_ = std::min({due_, spreadAt_, accuseAt_, exchangeAt_});
  if (probe_) due_ = std::min({due_, probe_->askOthersAt, probe_->endsAt});
  for (const auto& [number, favour] : favours_)
    due_ = std::min(due_, favour.told ? favour.endsAt : favour.nackAt);
  if (!rhythm_.lifeguard) due_ = std::min(due_, ripeAt_);
  due_ = std::max(due_, now);  // what is overdue now is no stall
}

// ---- Help

std::optional<Word> Membership::wordFor(MemberId id) const {
  const Held* const held = view_.find(id);
  if (held == nullptr || held->state == State::alive) return std::nullopt;
  return wordOf(held->since, *held);
}

Word Membership::wordOf(Span now, const Held& held) const {
  Word word{held.card, held.id, held.life, held.state, Span{}, MemberId{}};
  if (held.state == State::dead || held.state == State::left) word.age = std::max(now - held.since, Span{});
  if (held.state == State::suspect) {
    const auto at = suspicions_.find(held.id);
    word.from = at != suspicions_.end() && !at->second.by.empty() ? *at->second.by.begin() : self_.id;
  }
  return word;
}

std::vector<const Held*> Membership::drawLiving(std::size_t count, MemberId but) {
  std::vector<const Held*> drawn;
  const auto& all = view_.all();
  const auto fits = [&](const Held& held) {
    return held.id != but && (held.state == State::alive || held.state == State::suspect) &&
           std::ranges::find(drawn, &held) == drawn.end();
  };
  // A few draws find them where most live; else all are looked through.
  for (std::size_t tries = 0; tries < 4 * count && drawn.size() < count && !all.empty(); ++tries) {
    const Held& held = all[pick(all.size())];
    if (fits(held)) drawn.push_back(&held);
  }
  for (std::size_t at = 0; at < all.size() && drawn.size() < std::min(count, view_.living()); ++at) {
    if (fits(all[at])) drawn.push_back(&all[at]);
  }
  return drawn;
}

double Membership::draw() { return static_cast<double>(chance_() >> 11U) * 0x1.0p-53; }

std::size_t Membership::pick(std::size_t below) {
  return std::min(static_cast<std::size_t>(draw() * static_cast<double>(below)), below - 1);
}

std::uint32_t Membership::times() const {
  return static_cast<std::uint32_t>(kRetell * std::ceil(std::log10(static_cast<double>(view_.living() + 2))));
}

}  // namespace rackroute::fleet
