#include "mesh/control/control_node.hpp"

#include <algorithm>
#include <cassert>
#include <utility>

#include "mesh/configuration/duration_text.hpp"

namespace rackroute::mesh {
namespace {

using nlohmann::json;
using namespace std::chrono_literals;

constexpr Span kTick = 100ms;          // the finest step of all times below
constexpr Span kPulse = 500ms;         // between words on an idle session
constexpr Span kSilent = 1700ms;       // without a word, a session is over; three pulses and a delay
constexpr Span kRedial = 150ms;        // after a dial that failed or a session that ended
constexpr Span kDialTime = 450ms;      // for a dial; a hung one is given up
constexpr Span kCallTime = 850ms;      // for a call's copies; its caller waits a second
constexpr Span kItemTime = 3ms;        // more for each item; callers wait longer for large bodies
constexpr Span kDiffers = 1000ms;      // with another digest, before the items are fetched
constexpr Span kSweep = 1s;            // between sweeps over ended promises and silent members
constexpr Span kPromiseSpare = 15s;    // beyond the keys' window, for clocks and late starts
constexpr std::size_t kCoreSpare = 8;  // addresses of control processes beyond the voters, for replaced ones
constexpr std::size_t kPromisesAWord = 500;  // that one word carries to a process that lost its own
constexpr const char* kItem = "i/";
constexpr const char* kPromise = "k/";
constexpr const char* kCore = "c";

std::string promiseText(const Holder& holder, Span wall) {
  json text = toJson(holder);
  text.push_back(wall.count());
  return text.dump();
}

}  // namespace

Span ControlNode::tickEvery() { return kTick; }

ControlNode::ControlNode(Built built)
    : built_(std::move(built)), quorum_(built_.voters / 2 + 1), promises_(built_.keyWindow + kPromiseSpare) {
  core_.insert(built_.at);
  for (const Address& seed : built_.seeds) core_.insert(seed);
}

void ControlNode::seeds(std::vector<Address> seeds) {
  built_.seeds = std::move(seeds);
  for (const Address& seed : built_.seeds) {
    if (core_.size() < built_.voters + kCoreSpare) core_.insert(seed);
  }
}

void ControlNode::read(const std::map<std::string, std::string>& stored) {
  // Guards against a disk that was lost and got copies of a change before this process had caught up: they
  // say nothing of the promises that were lost with it. Only the mark is written by a process that is whole.
  whole_ = built_.firstBoot || stored.count(kCore) > 0;
  for (const auto& [key, value] : stored) {
    if (key == kCore) {
      for (const json& address : json::parse(value)) core_.insert({address.get<std::string>()});
    } else if (key.rfind(kItem, 0) == 0) {
      items_.merge(itemFrom(json::parse(value)));
    } else if (key.rfind(kPromise, 0) == 0) {
      const json promise = json::parse(value);
      const auto print = printFrom(std::string_view(key).substr(2));
      if (print)
        promises_.learn(Span(promise.at(3).get<std::int64_t>()) - built_.wallAtStart, *print,
                        holderFrom(promise));
    }
  }
}

ControlAction& ControlNode::write(ControlActions& acts) {
  ControlAction act;
  act.kind = ControlAction::Kind::write;
  act.batch = {++lastBatch_};
  batches_[act.batch];
  acts.push_back(std::move(act));
  return acts.back();
}

ControlActions ControlNode::start(Span now) {
  ControlActions acts;
  // A mark on the disk, so that a later start tells an empty one from one that was lost.
  if (whole_) write(acts).entries.emplace_back(kCore, json::array({built_.at.value}).dump());
  dialCore(now, acts);
  return acts;
}

void ControlNode::say(SessionNo to, std::shared_ptr<const std::string> text, ControlActions& acts) {
  ControlAction act;
  act.kind = ControlAction::Kind::say;
  act.session = to;
  act.text = std::move(text);
  acts.push_back(std::move(act));
}

void ControlNode::say(SessionNo to, const json& word, ControlActions& acts) {
  say(to, std::make_shared<const std::string>(word.dump()), acts);
}

void ControlNode::sayEach(SessionNo to, const Words& words, ControlActions& acts) {
  for (const auto& word : words) say(to, word, acts);
}

void ControlNode::sayCore(const json& word, ControlActions& acts) {
  const auto text = std::make_shared<const std::string>(word.dump());
  for (const auto& [at, session] : reached_) say(session, text, acts);
}

void ControlNode::dialCore(Span now, ControlActions& acts) {
  for (const Address& at : core_) {
    if (at == built_.at || reached_.count(at) > 0) continue;
    Span& next = dialling_[at];
    if (next > now) continue;
    next = now + kDialTime;
    ControlAction act;
    act.kind = ControlAction::Kind::dial;
    act.at = at;
    acts.push_back(std::move(act));
  }
}

void ControlNode::learnCore(Span now, const json& list, ControlActions& acts) {
  bool more = false;
  for (const json& address : list) {
    if (core_.size() >= built_.voters + kCoreSpare) break;
    more = core_.insert({address.get<std::string>()}).second || more;
  }
  if (!more) return;
  json all = json::array();
  for (const Address& at : core_) all.push_back(at.value);
  if (whole_) write(acts).entries.emplace_back(kCore, all.dump());
  for (const auto& [no, session] : sessions_) {
    if (session.greeted || session.mine) say(no, {{"t", "core"}, {"list", all}}, acts);
  }
  dialCore(now, acts);
}

ControlActions ControlNode::came(Span now, SessionNo session) {
  sessions_[session].lastHeard = now;
  return {};
}

ControlActions ControlNode::reached(Span now, SessionNo no, const Address& at) {
  ControlActions acts;
  if (const auto old = reached_.find(at); old != reached_.end()) drop(now, SessionNo(old->second), acts);
  Session& session = sessions_[no];
  session.mine = session.core = true;
  session.at = at;
  session.lastHeard = now;
  reached_[at] = no;
  say(no,
      {{"t", "hello"},
       {"kind", "core"},
       {"node", built_.node.value},
       {"life", built_.life.value},
       {"at", built_.at.value}},
      acts);
  // What this process hears, for one that does not hear it itself.
  json list = json::array();
  json nodes = json::array();
  for (const NodeName& node : registry_.here()) {
    nodes.push_back({node.value, true});
    for (const News& news : registry_.on(node)) list.push_back(toJson(news));
  }
  say(no, {{"t", "roster"}, {"nodes", nodes}, {"list", list}}, acts);
  say(no, {{"t", "want"}, {"versions", items_.versions()}}, acts);
  if (!whole_) say(no, {{"t", "promises"}}, acts);
  for (auto& [call, change] : changes_) {
    if (change.reading) {
      say(no, {{"t", "want"}, {"versions", items_.versions()}, {"call", call.value}}, acts);
    } else {
      change.stored.erase(at);
      sayEach(no, wordsOf({{"t", "store"}, {"call", call.value}}, change.items), acts);
    }
  }
  return acts;
}

ControlActions ControlNode::unreached(Span now, const Address& at) {
  dialling_[at] = now + kRedial;
  return {};
}

void ControlNode::drop(Span now, SessionNo no, ControlActions& acts) {
  ControlAction act;
  act.kind = ControlAction::Kind::hangUp;
  act.session = no;
  acts.push_back(std::move(act));
  const ControlActions more = ended(now, no);
  acts.insert(acts.end(), more.begin(), more.end());
}

ControlActions ControlNode::ended(Span now, SessionNo no) {
  ControlActions acts;
  const auto found = sessions_.find(no);
  if (found == sessions_.end()) return acts;
  const Session session = found->second;
  sessions_.erase(found);
  if (session.mine) {
    if (reached_[session.at] == no) reached_.erase(session.at);
    dialling_[session.at] = now + kRedial;
    return acts;
  }
  if (!session.greeted) return acts;
  if (session.core) {
    for (const NodeName& node : registry_.forgetTeller(now, session.at)) newsOf(node, acts);
    return acts;
  }
  if (registry_.heardHere(now, session.node, false)) newsOf(session.node, acts);
  sayCore({{"t", "roster"},
           {"nodes", json::array({json::array({session.node.value, false})})},
           {"list", json::array()}},
          acts);
  return acts;
}

void ControlNode::greet(Span now, SessionNo no, Session& session, const json& word, ControlActions& acts) {
  session.core = word.at("kind") == "core";
  session.node = {word.at("node").get<std::string>()};
  session.life = {word.at("life").get<std::uint64_t>()};
  if (session.core) session.at = {word.at("at").get<std::string>()};
  // Guards against two sessions of one member: words of the older one that come late must not count.
  std::vector<SessionNo> older;
  for (const auto& [other, held] : sessions_) {
    if (other != no && held.greeted && !held.mine && held.node == session.node) older.push_back(other);
  }
  for (const SessionNo other : older) drop(now, other, acts);
  Session& kept = sessions_.at(no);
  kept.greeted = true;
  json core = json::array();
  for (const Address& at : core_) core.push_back(at.value);
  say(no,
      {{"t", "welcome"},
       {"at", built_.at.value},
       {"zone", built_.zone},
       {"core", core},
       {"voters", built_.voters},
       {"quorum", quorum_}},
      acts);
  say(no, pulse(now), acts);
  if (kept.core) {
    learnCore(now, json::array({kept.at.value}), acts);
    // It hears this process, so a dial back may go at once.
    dialling_[kept.at] = Span{0};
    dialCore(now, acts);
    return;
  }
  if (registry_.heardHere(now, kept.node, true)) newsOf(kept.node, acts);
  sayCore({{"t", "roster"},
           {"nodes", json::array({json::array({kept.node.value, true})})},
           {"list", json::array()}},
          acts);
}

void ControlNode::alive(Span now, SessionNo session) {
  const auto found = sessions_.find(session);
  if (found != sessions_.end()) found->second.lastHeard = now;
}

ControlActions ControlNode::heard(Span now, SessionNo no, const json& word) {
  ControlActions acts;
  const auto found = sessions_.find(no);
  if (found == sessions_.end()) return acts;
  Session& session = found->second;
  session.lastHeard = now;
  const std::string kind = word.at("t").get<std::string>();
  if (kind == "hello") {
    greet(now, no, session, word, acts);
  } else if (!session.greeted && !session.mine) {
    drop(now, no, acts);
  } else if (kind == "beat") {
    if (!session.mine) return acts;
    session.digest = word.at("digest").get<std::uint64_t>();
    session.whole = word.at("whole").get<bool>();
    if (session.digest == items_.digest()) {
      session.differsSince = Span::max();
    } else if (session.differsSince == Span::max()) {
      session.differsSince = now;
    } else if (session.differsSince + kDiffers <= now) {
      session.differsSince = now;
      say(no, {{"t", "want"}, {"versions", items_.versions()}}, acts);
    }
  } else if (kind == "welcome" || kind == "core") {
    learnCore(now, word.at(kind == "core" ? "list" : "core"), acts);
  } else if (kind == "servers") {
    std::vector<News> fresh;
    json list = json::array();
    for (const json& entry : word.at("list")) {
      News told = newsFrom(entry);
      if (!registry_.told(told.served)) continue;
      told.heard = registry_.heard(told.served.node);
      list.push_back(toJson(told));
      fresh.push_back(std::move(told));
    }
    if (fresh.empty()) return acts;
    news(fresh, acts);
    sayCore({{"t", "roster"}, {"nodes", json::array()}, {"list", list}}, acts);
  } else if (kind == "roster") {
    std::vector<News> fresh;
    for (const json& entry : word.at("list")) {
      News told = newsFrom(entry);
      if (registry_.told(told.served)) fresh.push_back(std::move(told));
    }
    for (const json& node : word.at("nodes")) {
      const NodeName name{node.at(0).get<std::string>()};
      if (registry_.heardThere(now, session.at, name, node.at(1).get<bool>())) newsOf(name, acts);
    }
    for (News& told : fresh) told.heard = registry_.heard(told.served.node);
    news(fresh, acts);
  } else if (kind == "follow") {
    follow(no, session, word, acts);
  } else if (kind == "want") {
    // A side gets nothing from one that may know less than it once did.
    if (!whole_ && !session.core) return acts;
    // Guards against dozens of processes that start at once: what all of them lack is written out once.
    const bool all = word.at("versions").empty() && !word.contains("call");
    if (all && !allItems_.empty() && allItemsDigest_ == items_.digest() && whole_) {
      sayEach(no, allItems_, acts);
      return acts;
    }
    json head{{"t", "items"}, {"whole", whole_}};
    if (word.contains("call")) head["call"] = word["call"];
    const Words words = wordsOf(head, items_.beyond(word.at("versions")));
    if (all && whole_) {
      allItems_ = words;
      allItemsDigest_ = items_.digest();
    }
    sayEach(no, words, acts);
  } else if (kind == "items") {
    std::vector<Item> items;
    for (const json& item : word.at("list")) items.push_back(itemFrom(item));
    merge(items, acts);
    if (word.contains("call") && lastOf(word)) {
      const OperatorCallNo call{word["call"].get<std::uint64_t>()};
      const auto change = changes_.find(call);
      if (change != changes_.end() && word.at("whole").get<bool>()) {
        change->second.read.insert(session.at);
        decide(now, call, acts);
      }
    }
  } else if (kind == "store") {
    std::vector<Item> items;
    for (const json& item : word.at("list")) items.push_back(itemFrom(item));
    std::vector<Item> newer;
    ControlAction act;
    {
      ControlActions own;
      ControlAction& written = write(own);
      for (const Item& item : items) {
        const bool fresh = items_.merge(item);
        const Item& held = *items_.find(item.key);
        written.entries.emplace_back(kItem + textOf(held.key), wireOf(held));
        if (fresh) newer.push_back(held);
      }
      act = std::move(own.back());
    }
    batches_[act.batch].words.emplace_back(
        no, json{{"t", "stored"}, {"call", word.at("call")}, {"part", word.value("part", 0U)}});
    acts.push_back(std::move(act));
    pushItems(newer, acts);
  } else if (kind == "stored") {
    const OperatorCallNo call{word.at("call").get<std::uint64_t>()};
    const auto change = changes_.find(call);
    if (change != changes_.end()) {
      std::set<std::size_t>& stored = change->second.stored[session.at];
      stored.insert(word.value("part", std::size_t{0}));
      if (stored.size() < change->second.parts) return acts;
      change->second.copies.insert(session.at);
      decide(now, call, acts);
    }
  } else if (kind == "claim" || kind == "free") {
    claims(now, no, session, word, acts);
  } else if (kind == "promises") {
    // For a control process that lost its disk; in parts, so that votes go on in between.
    json list = json::array();
    for (const auto& [key, promise] : promises_.all()) {
      list.push_back({textOf(key), toJson(promise.holder), (promise.at + built_.wallAtStart).count()});
      if (list.size() < kPromisesAWord) continue;
      say(no, {{"t", "promised"}, {"list", std::move(list)}, {"last", false}, {"whole", whole_}}, acts);
      list = json::array();
    }
    say(no, {{"t", "promised"}, {"list", std::move(list)}, {"last", true}, {"whole", whole_}}, acts);
  } else if (kind == "promised") {
    for (const json& entry : word.at("list")) {
      if (const auto key = printFrom(entry.at(0).get<std::string>()))
        promises_.learn(Span(entry.at(2).get<std::int64_t>()) - built_.wallAtStart, *key,
                        holderFrom(entry.at(1)));
    }
    if (word.at("last").get<bool>()) {
      session.whole = word.at("whole").get<bool>();
      session.helped = true;
      recover(now, acts);
    }
  }
  return acts;
}

// An empty disk: this process may have promised anything that any quorum holds, so it must have read from so
// many others that one of them was in every quorum.
void ControlNode::recover(Span, ControlActions& acts) {
  if (whole_) return;
  std::size_t helped = 0;
  std::size_t blank = 0;
  for (const auto& [no, session] : sessions_) {
    if (!session.mine || !session.helped) continue;
    if (session.whole) ++helped;
    if (!session.whole) ++blank;
  }
  const bool allBlank = blank + 1 >= built_.voters;  // nobody has anything left: there is nothing to wait for
  if (helped < built_.voters - quorum_ + 1 && !allBlank) return;
  for (const auto& [no, batch] : batches_) {
    if (batch.makesWhole) return;
  }
  ControlAction& act = write(acts);
  batches_[act.batch].makesWhole = true;
  for (const auto& [key, item] : items_.all()) act.entries.emplace_back(kItem + textOf(key), wireOf(item));
  for (const auto& [key, promise] : promises_.all())
    act.entries.emplace_back(kPromise + textOf(key),
                             promiseText(promise.holder, promise.at + built_.wallAtStart));
  json all = json::array();
  for (const Address& at : core_) all.push_back(at.value);
  act.entries.emplace_back(kCore, all.dump());
}

void ControlNode::claims(Span now, SessionNo no, const Session& session, const json& word,
                         ControlActions& acts) {
  if (!whole_) return;
  const Address at{word.at("at").get<std::string>()};
  ControlAction act;
  json votes = json::array();
  std::vector<std::pair<std::string, std::optional<std::string>>> entries;
  for (const json& entry : word.at("list")) {
    const ClaimNo claim{entry.at(0).get<std::uint64_t>()};
    const auto key = printFrom(entry.at(1).get<std::string>());
    if (!key) continue;
    const Holder holder{at, session.life, claim};
    if (word.at("t") == "free") {
      if (promises_.giveBack(*key, holder)) entries.emplace_back(kPromise + textOf(*key), std::nullopt);
      continue;
    }
    const Holder& holds = promises_.claim(now, *key, holder);
    if (holds == holder) {
      entries.emplace_back(kPromise + textOf(*key), promiseText(holder, now + built_.wallAtStart));
      votes.push_back({claim.value});
    } else {
      votes.push_back({claim.value, toJson(holds)});
    }
  }
  json reply{{"t", "votes"}, {"list", votes}};
  if (entries.empty()) {
    if (!votes.empty()) say(no, std::move(reply), acts);
    return;
  }
  ControlAction& written = write(acts);
  written.entries = std::move(entries);
  if (!votes.empty()) batches_[written.batch].words.emplace_back(no, std::move(reply));
}

void ControlNode::follow(SessionNo no, Session& session, const json& word, ControlActions& acts) {
  std::set<ServiceName> services;
  json list = json::array();
  for (const json& name : word.at("services")) {
    const ServiceName service{name.get<std::string>()};
    services.insert(service);
    if (session.follows.count(service) > 0) continue;
    for (const News& news : registry_.of(service)) list.push_back(toJson(news));
  }
  session.follows = std::move(services);
  if (!list.empty()) say(no, {{"t", "servers"}, {"list", std::move(list)}}, acts);
}

void ControlNode::newsOf(const NodeName& node, ControlActions& acts) { news(registry_.on(node), acts); }

void ControlNode::news(const std::vector<News>& all, ControlActions& acts) {
  if (all.empty()) return;
  for (const auto& [no, session] : sessions_) {
    json list = json::array();
    for (const News& news : all) {
      if (session.follows.count(news.served.service) > 0) list.push_back(toJson(news));
    }
    if (!list.empty()) say(no, {{"t", "servers"}, {"list", std::move(list)}}, acts);
  }
}

bool ControlNode::merge(const std::vector<Item>& items, ControlActions& acts) {
  std::vector<Item> newer;
  for (const Item& item : items) {
    if (items_.merge(item)) newer.push_back(*items_.find(item.key));
  }
  if (newer.empty()) return false;
  if (whole_) {
    ControlAction& act = write(acts);
    for (const Item& item : newer) act.entries.emplace_back(kItem + textOf(item.key), wireOf(item));
  }
  pushItems(newer, acts);
  return true;
}

void ControlNode::pushItems(const std::vector<Item>& items, ControlActions& acts) {
  if (items.empty() || !whole_) return;
  // Written out once: hundreds of routes for dozens of followers are megabytes otherwise.
  const Words words = wordsOf({{"t", "items"}}, items);
  for (const auto& [no, session] : sessions_) {
    if (!session.follows.empty()) sayEach(no, words, acts);
  }
}

void ControlNode::answer(OperatorCallNo call, std::uint32_t status, std::string body, ControlActions& acts) {
  changes_.erase(call);
  ControlAction act;
  act.kind = ControlAction::Kind::answer;
  act.call = call;
  act.status = status;
  act.body = std::move(body);
  acts.push_back(std::move(act));
}

void ControlNode::readRound(OperatorCallNo call, ControlActions& acts) {
  sayCore({{"t", "want"}, {"versions", items_.versions()}, {"call", call.value}}, acts);
}

ControlActions ControlNode::change(Span now, OperatorCallNo call, std::string_view body) {
  ControlActions acts;
  Result<std::vector<Item>> read = readChange(body);
  if (!read) {
    answer(call, 400, json{{"error", read.error().line()}}.dump(), acts);
    return acts;
  }
  if (!whole_) {
    answer(call, 503, json{{"error", "change: this process has lost its disk and is catching up"}}.dump(),
           acts);
    return acts;
  }
  Change& change = changes_[call];
  change.items = std::move(read).value();
  change.until = now + kCallTime + kItemTime * change.items.size();
  if (items_.unknownService(change.items)) {
    // It may be only this copy that does not know the service yet.
    change.reading = true;
    readRound(call, acts);
    decide(now, call, acts);
  } else {
    spread(now, call, change, acts);
  }
  return acts;
}

ControlActions ControlNode::readBack(Span now, OperatorCallNo call) {
  ControlActions acts;
  if (!whole_) {
    answer(call, 503, json{{"error", "read: this process has lost its disk and is catching up"}}.dump(),
           acts);
    return acts;
  }
  Change& change = changes_[call];
  change.until = now + kCallTime;
  change.reading = change.asksBack = true;
  readRound(call, acts);
  decide(now, call, acts);
  return acts;
}

// To this disk and to the others; an item that is held in a newer version is acknowledged by that one.
void ControlNode::spread(Span now, OperatorCallNo call, Change& change, ControlActions& acts) {
  change.reading = false;
  std::vector<Item> newer;
  ControlActions own;
  ControlAction& act = write(own);
  for (Item& item : change.items) {
    const bool fresh = items_.newer(item);
    if (fresh) items_.merge(item);
    const Item& held = *items_.find(item.key);
    act.entries.emplace_back(kItem + textOf(item.key), wireOf(held));
    item = held;
    if (fresh) newer.push_back(item);
  }
  change.batch = act.batch;
  batches_[act.batch].call = call;
  acts.insert(acts.end(), own.begin(), own.end());
  const Words words = wordsOf({{"t", "store"}, {"call", call.value}}, change.items);
  change.parts = words.size();
  for (const auto& [at, session] : reached_) sayEach(session, words, acts);
  pushItems(newer, acts);
  decide(now, call, acts);
}

void ControlNode::decide(Span now, OperatorCallNo call, ControlActions& acts) {
  const auto found = changes_.find(call);
  if (found == changes_.end()) return;
  Change& change = found->second;
  if (change.reading) {
    if (change.read.size() + 1 < quorum_) return;
    if (change.asksBack) return answer(call, 200, items_.standing().dump(), acts);
    if (const auto unknown = items_.unknownService(change.items))
      return answer(call, 400,
                    json{{"error", "change: a route names the unknown service " + *unknown}}.dump(), acts);
    return spread(now, call, change, acts);
  }
  if (!change.own || change.copies.size() + 1 < quorum_) return;
  answer(call, 200, "{}", acts);
}

ControlActions ControlNode::written(Span now, BatchNo no, bool done) {
  ControlActions acts;
  const auto found = batches_.find(no);
  if (found == batches_.end()) return acts;
  const Batch batch = std::move(found->second);
  batches_.erase(found);
  if (!done) return acts;  // what can't be made durable is not promised; whoever waits gives up in time
  for (const auto& [session, word] : batch.words) {
    if (sessions_.count(session) > 0) say(session, word, acts);
  }
  if (batch.call) {
    const auto change = changes_.find(*batch.call);
    if (change != changes_.end()) {
      change->second.own = true;
      decide(now, *batch.call, acts);
    }
  }
  if (batch.makesWhole) {
    whole_ = true;
    for (const auto& [session, held] : sessions_) {
      if (held.greeted || held.mine) say(session, pulse(now), acts);
    }
  }
  return acts;
}

bool ControlNode::settled(Span now) const {
  std::size_t heardNow = 1;
  for (const auto& [no, session] : sessions_) {
    if (session.mine && session.lastHeard + kSilent > now) ++heardNow;
  }
  return heardNow >= quorum_;
}

json ControlNode::pulse(Span now) const {
  return {{"t", "beat"},
          {"digest", items_.digest()},
          {"whole", whole_},
          {"settled", settled(now)},
          {"members", registry_.members(now)}};
}

ControlActions ControlNode::tick(Span now) {
  ControlActions acts;
  std::vector<SessionNo> silent;
  for (const auto& [no, session] : sessions_) {
    if (session.lastHeard + kSilent <= now) silent.push_back(no);
  }
  for (const SessionNo no : silent) drop(now, no, acts);
  dialCore(now, acts);
  if (pulseAt_ <= now) {
    pulseAt_ = now + kPulse;
    const auto word = std::make_shared<const std::string>(pulse(now).dump());
    for (const auto& [no, session] : sessions_) {
      if (session.greeted || session.mine) say(no, word, acts);
    }
  }
  std::vector<OperatorCallNo> late;
  for (const auto& [call, change] : changes_) {
    if (change.until <= now) late.push_back(call);
  }
  for (const OperatorCallNo call : late)
    answer(call, 503, json{{"error", "change: no quorum of copies in time"}}.dump(), acts);
  if (sweepAt_ <= now) {
    sweepAt_ = now + kSweep;
    registry_.sweep(now);
    const std::vector<KeyPrint> over = promises_.expire(now);
    if (!over.empty()) {
      ControlAction& act = write(acts);
      for (const KeyPrint& key : over) act.entries.emplace_back(kPromise + textOf(key), std::nullopt);
    }
    if (!whole_) {
      for (const auto& [no, session] : sessions_) {
        if (session.mine) say(no, {{"t", "promises"}}, acts);
      }
    }
  }
  return acts;
}

}  // namespace rackroute::mesh
