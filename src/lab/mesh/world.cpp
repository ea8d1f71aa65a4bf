#include "lab/mesh/world.hpp"

#include <algorithm>
#include <cmath>
#include <deque>
#include <functional>
#include <map>
#include <optional>
#include <queue>
#include <set>
#include <utility>

#include "lab/draws.hpp"
#include "mesh/shuttle/shuttle.hpp"
#include "mesh/vise/vise.hpp"

namespace rackroute::lab::mesh {
namespace {

using namespace std::chrono_literals;
using namespace rackroute::mesh;
using nlohmann::json;

constexpr Span kDrain = 2500ms;
constexpr Span kApply = 2500ms;
constexpr Span kGrace = 6s;
constexpr Span kContact = 3s;      // without trouble before rules with a time bound hold
constexpr Span kBeat = 1300ms;     // of servers
constexpr Span kDead = 300ms;      // until a killed process starts again
constexpr Span kUnread = 1500ms;   // after which a way that is cut or dark breaks
constexpr Span kDialHung = 900ms;  // after which a dial into the dark fails
constexpr Span kSpare = 250ms;     // beyond a deadline, as the program waits
constexpr Span kSettle = 20s;      // after the last request, until the configuration is read back
constexpr Span kCallHeard = 1s;    // an operator waits for an answer
constexpr Span kLead = 4s;         // before the first request
constexpr double kRetryRatio = 0.2;
constexpr double kRetrySlack = 60;
constexpr const char* kHost = "lab.example";

struct RouteTold {
  const char* name;
  const char* prefix;
  Sort sort;
  int service;
  double aim;
  double deadline;
  int priority;
};
constexpr RouteTold kRoutes[] = {{"look", "/look/", Sort::pure, 0, 0.6, 1.5, 2},
                                 {"order", "/order/", Sort::keyed, 0, 0.8, 2.0, 1},
                                 {"pay", "/pay/", Sort::keyed, 1, 0.4, 1.0, 0},
                                 {"list", "/list/", Sort::pure, 1, 2.0, 5.0, 2},
                                 {"note", "/note/", Sort::effectful, 1, 0.6, 1.5, 1}};
constexpr std::size_t kRouteCount = std::size(kRoutes);

std::string serviceName(int service) { return service == 0 ? "desk" : "line"; }

class World {
 public:
  World(const Day& day, std::uint64_t seed)
      : day_(day),
        seed_(seed),
        network_(chanceOf(seed, Purpose::network)),
        arrivals_(chanceOf(seed, Purpose::arrivals)),
        clients_(chanceOf(seed, Purpose::clients)),
        judge_({kDrain, kApply, span(day.keyWindow), 10s, kRetryRatio, kRetrySlack}) {}

  Played run();

 private:
  // --- time
  // -------------------------------------------------------------------------------------------------
  struct Event {
    Span at;
    std::uint64_t no;
    std::function<void()> task;
    bool operator>(const Event& other) const { return std::pair(at, no) > std::pair(other.at, other.no); }
  };
  void at(Span when, std::function<void()> task) {
    events_.push({std::max(when, now_), ++eventNo_, std::move(task)});
  }
  void in(Span wait, std::function<void()> task) { at(now_ + wait, std::move(task)); }

  // --- machines
  // ---------------------------------------------------------------------------------------------
  struct Machine {
    bool core = false;
    std::uint32_t number = 0;  // of its kind
    std::uint32_t zone = 0;
    std::string name;
    std::uint64_t life = 0;  // 0: no process
    std::uint64_t lives = 0;
    bool dark = false;  // without power: silent, not refusing
    Span frozenUntil{};
    bool leaving = false;
  };
  struct Disk {
    std::map<std::string, std::string> synced;
    std::deque<std::pair<std::uint64_t, std::vector<std::pair<std::string, std::optional<std::string>>>>>
        waiting;
    std::size_t syncing = 0;
    double slow = 1;
    bool full = false;
    bool lost = false;
    bool used = false;
  };
  struct Server {
    std::string id;
    int service = 0;
    bool up = true;
    bool draining = false;
    Span drainAcked{-1};
    std::uint64_t seq = 0;
    std::uint32_t busy = 0;
    double slow = 1;
    double loses = 0;
    double spoils = 0;
    Span coldUntil{};
    std::uint64_t lives = 0;
    std::deque<std::function<void()>> queue;
  };
  struct Side {
    std::unique_ptr<Shuttle> shuttle;
    Server server;
    Span wakes = Span::max();
    std::uint64_t nextCall = 0;
    std::uint64_t nextAsk = 0;
    std::map<std::uint64_t, std::uint64_t> attemptOf;  // by call
    struct Inside {
      std::uint64_t attempt;
      std::function<void(HopTold, std::uint32_t, std::uint64_t, std::shared_ptr<const void>)> reply;
    };
    std::map<std::uint64_t, Inside> asks;
  };
  struct Core {
    std::unique_ptr<Vise> vise;
    Disk disk;
    std::map<std::uint64_t, std::function<void(std::uint32_t, std::string)>> calls;
    std::uint64_t nextCall = 0;
  };
  // A session between two lives of two processes; each way in order.
  struct Link {
    std::size_t a, b;  // machines; a dialled
    std::uint64_t lifeA, lifeB;
    bool open = true;
    Span last[2]{};  // delivery, each way
    std::vector<std::string> held[2];
    std::uint64_t noA = 0, noB = 0;  // session numbers at vises
  };
  using LinkPtr = std::shared_ptr<Link>;

  [[nodiscard]] std::size_t coreAt(std::uint32_t number) const { return number; }
  [[nodiscard]] std::size_t sideAt(std::uint32_t number) const { return day_.vises + number; }
  [[nodiscard]] Side& side(std::size_t machine) { return sides_[machine - day_.vises]; }
  [[nodiscard]] Core& core(std::size_t machine) { return cores_[machine]; }
  [[nodiscard]] std::string address(std::size_t machine) const { return machines_[machine].name + ":1"; }
  [[nodiscard]] std::optional<std::size_t> machineAt(const std::string& address) const {
    const auto found = byAddress_.find(address);
    return found == byAddress_.end() ? std::nullopt : std::optional(found->second);
  }
  [[nodiscard]] Span delay(std::size_t a, std::size_t b) {
    const double base = machines_[a].zone == machines_[b].zone ? day_.across / 4 : day_.across;
    return span(base * (1 + 0.5 * fraction(network_)) + 0.00002);
  }
  [[nodiscard]] bool isCut(std::size_t from, std::size_t to) const { return cuts_.count({from, to}) > 0; }

  /// Runs it at the process if that life still stands, once it is awake.
  void atProcess(Span when, std::size_t machine, std::uint64_t life, std::function<void()> task) {
    at(when, [this, machine, life, task = std::move(task)] {
      const Machine& m = machines_[machine];
      if (m.life != life || m.dark) return;
      if (m.frozenUntil > now_) return atProcess(m.frozenUntil, machine, life, task);
      task();
    });
  }

  // --- sessions
  // ---------------------------------------------------------------------------------------------
  void dial(std::size_t from, const Address& to);
  void send(const LinkPtr& link, bool fromA, std::string text);
  void deliver(const LinkPtr& link, bool fromA, Span when, std::string text);
  void close(const LinkPtr& link, std::optional<std::size_t> by);
  void sessionEnded(std::size_t machine, const LinkPtr& link);
  void heard(std::size_t machine, const LinkPtr& link, const std::string& text);

  // --- processes
  // --------------------------------------------------------------------------------------------
  void startVise(std::size_t machine);
  void startShuttle(std::size_t machine);
  void kill(std::size_t machine, bool dark);
  void act(std::size_t machine, const ViseActs& acts);
  void act(std::size_t machine, const ShuttleActs& acts);
  void tickVise(std::size_t machine, std::uint64_t life);
  void wake(std::size_t machine);
  void sync(std::size_t machine);
  void loseDiskTail(std::size_t machine);

  // --- requests
  // ---------------------------------------------------------------------------------------------
  struct Wanted {  // one request of a client, over all its tries
    std::size_t route = 0;
    std::string key;
    Span until{};
    int tries = 0;
    bool again = false;
  };
  void arrive();
  void ask(std::size_t machine, const Wanted& wanted);
  void answered(std::size_t machine, const Wanted& wanted, std::uint64_t attempt, std::uint32_t status,
                std::uint64_t seal, Span comeBack);
  void hop(std::size_t machine, const CallAct& act);
  void serve(std::size_t machine, const DoorAct& act);
  void beat(std::size_t machine, std::uint64_t serverLife);
  void newServer(std::size_t machine);

  // --- operators
  // --------------------------------------------------------------------------------------------
  void change(std::uint32_t who, bool race, bool bad);
  void patch(std::size_t machine, const std::string& body, int tries,
             std::function<void(std::uint32_t)> done);
  void readBack(std::size_t machine, int tries);
  std::string firstItems();

  void strike(const Trouble& trouble);
  void closeDay();
  void disturb(Span until) { calmFrom_ = std::max(calmFrom_, until); }
  [[nodiscard]] bool calm() const { return now_ >= calmFrom_ + kContact; }

  Day day_;
  std::uint64_t seed_;
  Chance network_, arrivals_, clients_;
  Judge judge_;
  Span now_{};
  std::uint64_t eventNo_ = 0;
  std::priority_queue<Event, std::vector<Event>, std::greater<>> events_;
  std::vector<Machine> machines_;
  std::vector<Side> sides_;
  std::vector<Core> cores_;
  std::map<std::string, std::size_t> byAddress_;
  std::set<std::pair<std::size_t, std::size_t>> cuts_;
  std::vector<LinkPtr> links_;
  std::map<std::size_t, std::map<std::string, LinkPtr>> dialled_;     // by shuttle, then address
  std::map<std::size_t, std::map<std::uint64_t, LinkPtr>> sessions_;  // by vise, then number
  std::uint64_t sessionNo_ = 0;
  std::uint64_t attemptNo_ = 0;
  std::uint64_t sealNo_ = 0;
  std::uint64_t keyNo_ = 0;
  std::map<std::uint64_t, std::string> keyOf_;                    // by attempt
  std::map<std::uint64_t, std::pair<std::size_t, Wanted>> open_;  // attempts without an answer
  Span calmFrom_{};
  Span end_{};
  std::uint64_t generation_ = 10;
  std::map<std::string, std::pair<std::uint64_t, Span>> acked_;  // newest acknowledged generation by route
  std::map<std::string, std::map<std::uint64_t, std::set<std::string>>>
      sentValues_;  // by route and generation
  std::uint64_t changesAcked_ = 0;
  std::uint64_t changesSent_ = 0;
  std::map<std::string, std::pair<std::uint64_t, std::uint64_t>> talk_;  // words and bytes by kind
  std::uint64_t syncs_ = 0;
  bool readBackDone_ = false;
};

// --- sessions
// -------------------------------------------------------------------------------------------------

void World::dial(std::size_t from, const Address& to) {
  const auto target = machineAt(to.value);
  const std::uint64_t lifeA = machines_[from].life;
  const auto failed = [this, from, lifeA, to] {
    if (machines_[from].core) {
      act(from, core(from).vise->unreached(now_, to));
    } else {
      act(from, side(from).shuttle->ended(now_, to));
    }
    static_cast<void>(lifeA);
  };
  if (!target || machines_[*target].dark || isCut(from, *target) || isCut(*target, from))
    return atProcess(now_ + kDialHung, from, lifeA, failed);
  const Span trip = delay(from, *target);
  at(now_ + trip, [this, from, to, lifeA, failed, target = *target, trip] {
    if (machines_[target].life == 0) return atProcess(now_ + trip, from, lifeA, failed);
    const auto link = std::make_shared<Link>();
    link->a = from;
    link->b = target;
    link->lifeA = lifeA;
    link->lifeB = machines_[target].life;
    links_.push_back(link);
    link->noB = ++sessionNo_;
    link->noA = ++sessionNo_;
    atProcess(now_, target, link->lifeB, [this, link, target] {
      sessions_[target][link->noB] = link;
      act(target, core(target).vise->came(now_, {link->noB}));
    });
    atProcess(now_ + trip, from, lifeA, [this, link, from, to] {
      if (!link->open) return;
      if (machines_[from].core) {
        sessions_[from][link->noA] = link;
        act(from, core(from).vise->reached(now_, {link->noA}, to));
      } else {
        dialled_[from][to.value] = link;
        act(from, side(from).shuttle->reached(now_, to));
      }
    });
  });
}

void World::send(const LinkPtr& link, bool fromA, std::string text) {
  if (!link->open) return;
  const std::size_t from = fromA ? link->a : link->b;
  const std::size_t to = fromA ? link->b : link->a;
  if (isCut(from, to) || !link->held[fromA].empty()) {
    link->held[fromA].push_back(std::move(text));
    return;
  }
  deliver(link, fromA, now_ + delay(from, to), std::move(text));
}

void World::deliver(const LinkPtr& link, bool fromA, Span when, std::string text) {
  Span& last = link->last[fromA];
  last = std::max(last + 1us, when);
  const std::size_t to = fromA ? link->b : link->a;
  atProcess(last, to, fromA ? link->lifeB : link->lifeA, [this, link, to, text = std::move(text)] {
    if (link->open) heard(to, link, text);
  });
}

void World::heard(std::size_t machine, const LinkPtr& link, const std::string& text) {
  const json word = json::parse(text);
  auto& [words, bytes] = talk_[word.at("t").get<std::string>()];
  ++words;
  bytes += text.size();
  if (machines_[machine].core) {
    act(machine, core(machine).vise->heard(now_, {link->a == machine ? link->noA : link->noB}, word));
  } else {
    act(machine, side(machine).shuttle->heard(now_, {address(link->b)}, word));
  }
}

// An end by one process reaches the other, unless the way is cut; a dark machine says nothing.
void World::close(const LinkPtr& link, std::optional<std::size_t> by) {
  if (!link->open) return;
  link->open = false;
  for (const bool atA : {true, false}) {
    const std::size_t machine = atA ? link->a : link->b;
    if (by == machine) continue;
    const std::size_t other = atA ? link->b : link->a;
    const bool silent = machines_[other].dark || isCut(other, machine);
    atProcess(now_ + (silent ? Span(2500ms) : delay(link->a, link->b)), machine,
              atA ? link->lifeA : link->lifeB, [this, machine, link] { sessionEnded(machine, link); });
  }
}

void World::sessionEnded(std::size_t machine, const LinkPtr& link) {
  if (machines_[machine].core) {
    const std::uint64_t no = link->a == machine ? link->noA : link->noB;
    if (sessions_[machine].erase(no) == 0) return;
    act(machine, core(machine).vise->ended(now_, {no}));
  } else {
    auto& all = dialled_[machine];
    const auto found = all.find(address(link->b));
    if (found == all.end() || found->second != link) return;
    all.erase(found);
    act(machine, side(machine).shuttle->ended(now_, {address(link->b)}));
  }
}

// --- processes
// ------------------------------------------------------------------------------------------------

void World::startVise(std::size_t machine) {
  Machine& m = machines_[machine];
  m.life = ++m.lives;
  m.dark = false;
  Core& here = core(machine);
  here.calls.clear();
  here.disk.waiting.clear();
  here.disk.syncing = 0;
  Vise::Built built;
  built.node = {m.name};
  built.at = {address(machine)};
  built.zone = "z" + std::to_string(m.zone);
  built.life = {m.life};
  for (std::size_t i = 0; i < std::min<std::size_t>(3, day_.vises); ++i)
    built.seeds.push_back({address(coreAt(static_cast<std::uint32_t>(i)))});
  built.voters = day_.vises;
  built.losses = 1;
  built.firstBoot = !here.disk.used;
  built.keyWindow = span(day_.keyWindow);
  built.wallAtStart = Span{0};  // spans here are the world's, whatever process counts them
  here.disk.used = true;
  here.vise = std::make_unique<Vise>(std::move(built));
  here.vise->read(here.disk.synced);
  act(machine, here.vise->start(now_));
  tickVise(machine, m.life);
}

void World::tickVise(std::size_t machine, std::uint64_t life) {
  act(machine, core(machine).vise->tick(now_));
  atProcess(now_ + Vise::tickEvery(), machine, life, [this, machine, life] { tickVise(machine, life); });
}

void World::startShuttle(std::size_t machine) {
  Machine& m = machines_[machine];
  m.life = ++m.lives;
  m.dark = m.leaving = false;
  Side& here = side(machine);
  Shuttle::Built built;
  built.caller.node = {m.name};
  built.caller.zone = "z" + std::to_string(m.zone);
  built.caller.service = {serviceName(here.server.service)};
  built.caller.allowance = {kRetryRatio, kRetrySlack, 10s};
  built.caller.seed = seed_ * 1000 + machine * 31 + m.life;
  built.door = {{m.name}, {address(machine)},   built.caller.zone, {m.life}, built.caller.service,
                kDrain,   span(day_.keyWindow), 32 << 20};
  built.feed = {{m.name}, {address(machine)}, built.caller.zone, {m.life}, {}};
  for (std::size_t i = 0; i < std::min<std::size_t>(3, day_.vises); ++i)
    built.feed.seeds.push_back({address(coreAt(static_cast<std::uint32_t>(i)))});
  here.shuttle = std::make_unique<Shuttle>(std::move(built));
  here.asks.clear();
  here.attemptOf.clear();
  here.wakes = Span::max();
  act(machine, here.shuttle->tick(now_));
}

void World::kill(std::size_t machine, bool dark) {
  Machine& m = machines_[machine];
  if (m.life == 0) return;
  m.life = 0;
  m.dark = dark;
  if (m.core) loseDiskTail(machine);
  for (const LinkPtr& link : links_) {
    if (link->open && (link->a == machine || link->b == machine)) close(link, machine);
  }
  links_.erase(std::remove_if(links_.begin(), links_.end(), [](const LinkPtr& link) { return !link->open; }),
               links_.end());
  sessions_[machine].clear();
  dialled_[machine].clear();
  if (!m.core) {
    // Its clients' connections close; they try again elsewhere, as their requests allow.
    std::vector<std::uint64_t> cut;
    for (const auto& [attempt, held] : open_) {
      if (held.first == machine) cut.push_back(attempt);
    }
    for (const std::uint64_t attempt : cut) {
      const Wanted wanted = open_.at(attempt).second;
      answered(machine, wanted, attempt, 0, 0, Span{0});
    }
  }
}

// What was written and not yet synced: each later batch is there or not, and nothing after a missing one.
void World::loseDiskTail(std::size_t machine) {
  Disk& disk = core(machine).disk;
  std::size_t stays = 0;
  while (stays < disk.waiting.size() && fraction(network_) < 0.5) ++stays;
  for (std::size_t i = 0; i < stays; ++i) {
    for (const auto& [key, value] : disk.waiting[i].second) {
      if (value) {
        disk.synced[key] = *value;
      } else {
        disk.synced.erase(key);
      }
    }
  }
  disk.waiting.clear();
  disk.syncing = 0;
}

void World::sync(std::size_t machine) {
  Disk& disk = core(machine).disk;
  if (disk.syncing > 0 || disk.waiting.empty()) return;
  disk.syncing = disk.waiting.size();
  ++syncs_;
  const std::uint64_t life = machines_[machine].life;
  atProcess(now_ + span(day_.sync * disk.slow), machine, life, [this, machine] {
    Disk& there = core(machine).disk;
    std::vector<std::uint64_t> done;
    const bool full = there.full;
    for (; there.syncing > 0; --there.syncing) {
      if (!full) {
        for (const auto& [key, value] : there.waiting.front().second) {
          if (value) {
            there.synced[key] = *value;
          } else {
            there.synced.erase(key);
          }
        }
      }
      done.push_back(there.waiting.front().first);
      there.waiting.pop_front();
    }
    sync(machine);
    for (const std::uint64_t batch : done) act(machine, core(machine).vise->written(now_, {batch}, !full));
  });
}

void World::act(std::size_t machine, const ViseActs& acts) {
  Core& here = core(machine);
  for (const ViseAct& act : acts) {
    switch (act.kind) {
      case ViseAct::Kind::say: {
        const auto link = sessions_[machine].find(act.session.value);
        if (link != sessions_[machine].end()) send(link->second, link->second->a == machine, *act.text);
        break;
      }
      case ViseAct::Kind::dial:
        dial(machine, act.at);
        break;
      case ViseAct::Kind::hangUp: {
        const auto link = sessions_[machine].find(act.session.value);
        if (link == sessions_[machine].end()) break;
        const LinkPtr held = link->second;
        sessions_[machine].erase(link);
        close(held, machine);
        break;
      }
      case ViseAct::Kind::write:
        here.disk.waiting.emplace_back(act.batch.value, act.entries);
        sync(machine);
        break;
      case ViseAct::Kind::answer:
        if (const auto call = here.calls.find(act.call.value); call != here.calls.end()) {
          const auto done = std::move(call->second);
          here.calls.erase(call);
          in(span(day_.across), [done, status = act.status, body = act.body] { done(status, body); });
        }
        break;
    }
  }
}

void World::wake(std::size_t machine) {
  Side& here = side(machine);
  const Span next = here.shuttle->nextTick(now_);
  if (next >= here.wakes) return;
  here.wakes = next;
  atProcess(next, machine, machines_[machine].life, [this, machine, next] {
    Side& there = side(machine);
    if (there.wakes != next) return;
    there.wakes = Span::max();
    act(machine, there.shuttle->tick(now_));
  });
}

void World::act(std::size_t machine, const ShuttleActs& acts) {
  Side& here = side(machine);
  for (const CallAct& act : acts.calls) {
    const auto found = here.attemptOf.find(act.call.value);
    if (found == here.attemptOf.end()) continue;
    if (act.kind == CallAct::Kind::send) {
      hop(machine, act);
      continue;
    }
    const std::uint64_t attempt = found->second;
    here.attemptOf.erase(found);
    const auto open = open_.find(attempt);
    if (open == open_.end()) continue;
    std::uint32_t status = act.status;
    std::uint64_t seal = 0;
    if (act.kind == CallAct::Kind::pass) {
      const auto answer = std::static_pointer_cast<const std::pair<std::uint32_t, std::uint64_t>>(act.bytes);
      status = answer->first;
      seal = answer->second;
    }
    const Wanted wanted = open->second.second;
    answered(machine, wanted, attempt, status, seal, act.comeBack);
  }
  for (const DoorAct& act : acts.door) {
    const auto found = here.asks.find(act.ask.value);
    if (found == here.asks.end()) continue;
    if (act.kind == DoorAct::Kind::run) {
      serve(machine, act);
      continue;
    }
    const auto reply = found->second.reply;
    here.asks.erase(found);
    std::uint32_t status = 503;
    std::uint64_t seal = 0;
    if (act.bytes) {
      const auto answer = std::static_pointer_cast<const std::pair<std::uint32_t, std::uint64_t>>(act.bytes);
      status = answer->first;
      seal = answer->second;
    }
    reply(act.told, status, seal, act.bytes);
  }
  for (const FeedAct& act : acts.feed) {
    auto& all = dialled_[machine];
    const auto link = all.find(act.at.value);
    if (act.kind == FeedAct::Kind::say) {
      if (link != all.end()) send(link->second, true, *act.text);
    } else if (act.kind == FeedAct::Kind::dial) {
      dial(machine, act.at);
    } else if (link != all.end()) {
      const LinkPtr held = link->second;
      all.erase(link);
      close(held, machine);
    }
  }
  wake(machine);
}

// --- requests
// -------------------------------------------------------------------------------------------------

void World::arrive() {
  if (now_ >= end_) return;
  in(span(-std::log(1 - fraction(arrivals_)) / std::max(day_.perSecond, 0.001)), [this] { arrive(); });
  Wanted wanted;
  const double kind = fraction(arrivals_);
  const bool other = fraction(arrivals_) < 0.4;
  if (kind < day_.keyed) {
    wanted.route = other ? 2 : 1;
    wanted.key = "k" + std::to_string(++keyNo_);
  } else if (kind < day_.keyed + day_.effectful) {
    wanted.route = 4;
  } else {
    wanted.route = other ? 3 : 0;
  }
  wanted.until = now_ + span(kRoutes[wanted.route].deadline);
  const auto machine = sideAt(static_cast<std::uint32_t>(fraction(arrivals_) * day_.shuttles));
  ask(machine, wanted);
}

void World::ask(std::size_t machine, const Wanted& wanted) {
  Machine& m = machines_[machine];
  if (m.life == 0 || m.leaving) {
    // A client goes where its platform sends it: to a machine whose process is ready.
    for (std::uint32_t i = 0; i < day_.shuttles; ++i) {
      const std::size_t next = sideAt((static_cast<std::uint32_t>(machine) + i) % day_.shuttles);
      if (machines_[next].life != 0 && !machines_[next].leaving) {
        machine = next;
        break;
      }
    }
    if (machines_[machine].life == 0) return;
  }
  const RouteTold& route = kRoutes[wanted.route];
  const std::uint64_t attempt = ++attemptNo_;
  judge_.sent(now_, attempt, route.sort, wanted.key, route.service);
  open_[attempt] = {machine, wanted};
  if (!wanted.key.empty()) keyOf_[attempt] = wanted.key;
  const Span deadline = wanted.until;
  // A client that gets no answer until its deadline is gone.
  at(deadline + 50ms, [this, attempt] { open_.erase(attempt); });
  atProcess(now_ + 1ms, machine, machines_[machine].life, [this, machine, wanted, attempt, deadline] {
    Side& here = side(machine);
    const RouteTold& asked = kRoutes[wanted.route];
    if (!here.shuttle->feed().ready(now_)) return answered(machine, wanted, attempt, 503, 0, 300ms);
    const auto known = here.shuttle->caller().book().find(kHost, asked.prefix);
    const auto acked = acked_.find(asked.name);
    const std::uint64_t least =
        acked != acked_.end() && calm() && now_ > acked->second.second + kApply ? acked->second.first : 0;
    judge_.used(now_, static_cast<std::uint32_t>(machine * 100 + wanted.route), machines_[machine].life,
                known ? known->generation.value : 0, least);
    const std::uint64_t call = ++here.nextCall;
    here.attemptOf[call] = attempt;
    Asked told;
    told.host = kHost;
    told.path = asked.prefix;
    told.patience = deadline - now_;
    act(machine, here.shuttle->asked(now_, {call}, told));
  });
}

void World::answered(std::size_t machine, const Wanted& wanted, std::uint64_t attempt, std::uint32_t status,
                     std::uint64_t seal, Span comeBack) {
  if (open_.erase(attempt) == 0) return;
  if (status > 0) judge_.answered(now_, attempt, status, seal);
  const RouteTold& route = kRoutes[wanted.route];
  Wanted next = wanted;
  if (status == 200) {
    if (route.sort == Sort::keyed && !wanted.again && fraction(clients_) < day_.again) {
      next.again = true;
      next.until = now_ + span(route.deadline) + 1s;
      const auto elsewhere = sideAt(static_cast<std::uint32_t>(fraction(clients_) * day_.shuttles));
      in(span(fraction(clients_)), [this, elsewhere, next] { ask(elsewhere, next); });
    }
    return;
  }
  const bool promise = status == 503;
  if (status >= 400 && status < 500 && status != 409) return;
  if (route.sort == Sort::effectful && !promise) return;
  if (++next.tries > 2 || next.until - now_ < 100ms) return;
  const Span wait = std::min<Span>(comeBack, (next.until - now_) / 3) + 5ms;
  const std::size_t again =
      status == 0 ? sideAt(static_cast<std::uint32_t>(fraction(clients_) * day_.shuttles)) : machine;
  in(wait, [this, again, next] { ask(again, next); });
}

// A request from one process to the one beside a server, and the answer back.
void World::hop(std::size_t machine, const CallAct& act) {
  const std::uint64_t lifeA = machines_[machine].life;
  const std::uint64_t attempt = side(machine).attemptOf.at(act.call.value);
  const auto ended = [this, machine, call = act.call, sent = act.sent](Hopped how, const HopTold& told,
                                                                       std::uint32_t status,
                                                                       std::shared_ptr<const void> bytes) {
    this->act(machine, side(machine).shuttle->hopped(now_, call, sent, how, told, status, std::move(bytes)));
  };
  const auto target = machineAt(act.at.value);
  const Span until = now_ + act.ask.left + 2 * kSpare;
  const auto fails = [=, this](Span when, Hopped how) {
    atProcess(when, machine, lifeA, [=] { ended(how, {}, 0, nullptr); });
  };
  if (!target || machines_[*target].dark || isCut(machine, *target))
    return fails(now_ + 300ms, Hopped::notSent);
  if (machines_[*target].life == 0) return fails(now_ + delay(machine, *target), Hopped::notSent);
  const std::size_t to = *target;
  const std::uint64_t lifeB = machines_[to].life;
  const auto over = std::make_shared<bool>(false);
  const auto finish = [=, this](Span when, Hopped how, const HopTold& told, std::uint32_t status,
                                const std::shared_ptr<const void>& bytes) {
    atProcess(when, machine, lifeA, [=] {
      if (std::exchange(*over, true)) return;
      ended(how, told, status, bytes);
    });
  };
  // Word of the other's end, of silence in the dark, and of the time that is over.
  const auto watch = std::make_shared<std::function<void()>>();
  *watch = [=, this, weak = std::weak_ptr(watch)] {
    if (*over) return;
    if (machines_[to].life != lifeB)
      return finish(now_ + (machines_[to].dark ? kUnread : delay(machine, to)), Hopped::broken, {}, 0,
                    nullptr);
    if (now_ >= until) return finish(now_, Hopped::silent, {}, 0, nullptr);
    if (const auto self = weak.lock()) in(20ms, [self] { (*self)(); });
  };
  in(20ms, [watch] { (*watch)(); });
  atProcess(now_ + delay(machine, to), to, lifeB, [=, this, act = act] {
    Side& there = side(to);
    const std::uint64_t no = ++there.nextAsk;
    there.asks[no] = {attempt, [=, this](const HopTold& told, std::uint32_t status, std::uint64_t,
                                         const std::shared_ptr<const void>& bytes) {
                        if (isCut(to, machine)) return finish(now_ + kUnread, Hopped::broken, {}, 0, nullptr);
                        // As bytes: what the header can't carry must not be known at the other end.
                        const auto read = toldFrom(rackroute::mesh::textOf(told));
                        finish(now_ + delay(to, machine), read ? Hopped::told : Hopped::broken,
                               read.value_or(HopTold{}), status, bytes);
                      }};
    const auto heardAsk = askFrom(rackroute::mesh::textOf(act.ask));
    std::optional<std::string> key;
    if (act.ask.kind == RouteKind::keyed) {
      const auto open = keyOf_.find(attempt);
      if (open != keyOf_.end()) key = open->second;
    }
    this->act(to, there.shuttle->hopAsked(now_, {no}, *heardAsk, key));
  });
}

void World::serve(std::size_t machine, const DoorAct& act) {
  Side& here = side(machine);
  Server& server = here.server;
  const std::uint64_t life = machines_[machine].life;
  const std::uint64_t attempt = here.asks.at(act.ask.value).attempt;
  const auto ends = [this, machine, life, ask = act.ask](Span when, AtServer how, ServerAnswer answer) {
    atProcess(when, machine, life,
              [=, this] { this->act(machine, side(machine).shuttle->ran(now_, ask, how, answer)); });
  };
  if (!server.up) return ends(now_ + 100us, AtServer::notSent, {});
  const Span until = now_ + act.left + kSpare;
  const auto bytesOf = [](std::uint32_t status, std::uint64_t seal) {
    return std::make_shared<const std::pair<std::uint32_t, std::uint64_t>>(status, seal);
  };
  judge_.arrived(now_, attempt, server.service);
  if (server.id != act.instance.value)
    return ends(now_ + 200us, AtServer::answered, {421, true, bytesOf(421, 0), 0});
  const std::uint64_t serverLife = server.lives;
  const Span giveUp = now_ + act.left;
  auto run = [=, this, left = act.left] {
    Server& there = side(machine).server;
    if (there.lives != serverLife) return;
    if (now_ >= giveUp) {
      --there.busy;
      return ends(now_, AtServer::answered, {503, true, bytesOf(503, 0), 0});
    }
    const std::uint64_t seal = ++sealNo_;
    judge_.ran(now_, attempt, there.service, seal, there.drainAcked);
    Distribution work{Shape::lognormal, day_.work, 0.6};
    double takes = work.draw(clients_) * there.slow;
    if (there.coldUntil > now_) takes *= 2;
    const double luck = fraction(clients_);
    const double loses = there.loses;
    const double spoils = there.spoils;
    const Span done = now_ + span(takes);
    at(done, [this, machine, serverLife] {
      Server& then = side(machine).server;
      if (then.lives != serverLife) return;
      if (then.queue.empty()) {
        --then.busy;
      } else {
        const auto nextRun = std::move(then.queue.front());
        then.queue.pop_front();
        nextRun();
      }
    });
    at(std::min(done, until), [=, this] {
      if (side(machine).server.lives != serverLife) return ends(now_, AtServer::broken, {});
      if (done > until) return ends(now_, AtServer::timedOut, {});
      if (luck < loses)
        return ends(luck < loses / 2 ? now_ : until, luck < loses / 2 ? AtServer::broken : AtServer::timedOut,
                    {});
      if (luck < loses + spoils) return ends(now_, AtServer::spoilt, {});
      ends(now_, AtServer::answered, {200, false, bytesOf(200, seal), 5000});
    });
  };
  if (server.busy < day_.slots) {
    ++server.busy;
    in(100us, run);
  } else if (server.queue.size() < 4 * day_.slots) {
    server.queue.push_back(run);
  } else {
    ends(now_ + 200us, AtServer::answered, {503, true, bytesOf(503, 0), 0});
  }
}

void World::beat(std::size_t machine, std::uint64_t serverLife) {
  Side& here = side(machine);
  Server& server = here.server;
  if (server.lives != serverLife || !server.up) return;
  in(kBeat, [this, machine, serverLife] { beat(machine, serverLife); });
  const Machine& m = machines_[machine];
  if (m.life == 0 || m.dark || m.frozenUntil > now_) return;
  Beat told;
  told.id = {server.id};
  told.service = {serviceName(server.service)};
  told.address = {server.id};
  told.zone = "z" + std::to_string(m.zone);
  told.capacity = day_.slots;
  told.draining = server.draining;
  told.seq = ++server.seq;
  told.coldLeft = std::max(Span{0}, server.coldUntil - now_);
  act(machine, here.shuttle->beat(now_, told));
  if (server.draining && server.drainAcked < Span{0}) {
    server.drainAcked = now_;
    in(kDrain + 500ms, [this, machine, serverLife] {
      Side& then = side(machine);
      if (then.server.lives != serverLife) return;
      if (machines_[machine].life != 0 && machines_[machine].frozenUntil <= now_) {
        Beat gone;
        gone.id = {then.server.id};
        gone.gone = true;
        act(machine, then.shuttle->beat(now_, gone));
      }
      newServer(machine);
    });
  }
}

void World::newServer(std::size_t machine) {
  Server& server = side(machine).server;
  const int service = server.service;
  const std::uint64_t lives = server.lives + 1;
  server = Server{};
  server.service = service;
  server.lives = lives;
  server.id = "i-" + machines_[machine].name + "-" + std::to_string(lives);
  server.coldUntil = now_ + 2s;
  in(span(0.3 * fraction(network_)), [this, machine, lives] { beat(machine, lives); });
}

// --- operators
// ------------------------------------------------------------------------------------------------

std::string World::firstItems() {
  json services = json::array();
  for (int service : {0, 1}) {
    services.push_back({{"name", serviceName(service)},
                        {"health_path", "/health"},
                        {"max_conns", 100},
                        {"idempotent", false},
                        {"generation", "r1"}});
  }
  json routes = json::array();
  for (const RouteTold& route : kRoutes) {
    static constexpr const char* kKinds[] = {"pure", "effectful", "keyed"};
    routes.push_back({{"name", route.name},
                      {"path_prefix", route.prefix},
                      {"route_kind", kKinds[static_cast<int>(route.sort)]},
                      {"timeout", std::to_string(static_cast<int>(route.deadline * 1000)) + "ms"},
                      {"target_time", std::to_string(static_cast<int>(route.aim * 1000)) + "ms"},
                      {"priority", route.priority},
                      {"target", serviceName(route.service)},
                      {"max_attempts", 2},
                      {"generation", "r1"}});
    sentValues_[route.name][1].insert(routes.back().dump());
  }
  return json{{"upsert",
               {{"service_list", services}, {"host_map", {{{"hostname", kHost}, {"path_routes", routes}}}}}}}
      .dump();
}

void World::patch(std::size_t machine, const std::string& body, int tries,
                  std::function<void(std::uint32_t)> done) {
  if (tries <= 0) return done(0);
  const std::size_t next = (machine + 1) % day_.vises;
  Machine& m = machines_[machine];
  const auto over = std::make_shared<bool>(false);
  const auto again = [=, this] {
    if (!std::exchange(*over, true)) in(200ms, [=, this] { patch(next, body, tries - 1, done); });
  };
  if (m.life == 0 || m.dark) return again();
  in(kCallHeard, again);
  atProcess(now_ + span(day_.across), machine, m.life, [=, this] {
    Core& here = core(machine);
    const std::uint64_t call = ++here.nextCall;
    here.calls[call] = [=](std::uint32_t status, const std::string&) {
      if (*over) return;
      if (status >= 500) return again();
      *over = true;
      done(status);
    };
    act(machine, here.vise->change(now_, {call}, body));
  });
}

void World::change(std::uint32_t who, bool race, bool bad) {
  const RouteTold& route = kRoutes[who % kRouteCount];
  generation_ += 1 + who % 3;
  const std::uint64_t generation = generation_;
  for (int operatorNo = 0; operatorNo < (race ? 2 : 1); ++operatorNo) {
    json value{
        {"name", route.name},
        {"path_prefix", route.prefix},
        {"route_kind", route.sort == Sort::pure    ? "pure"
                       : route.sort == Sort::keyed ? "keyed"
                                                   : "effectful"},
        {"timeout",
         bad ? "0ms" : std::to_string(static_cast<int>(route.deadline * 1000) + 1 + operatorNo) + "ms"},
        {"target_time", std::to_string(static_cast<int>(route.aim * 1000)) + "ms"},
        {"priority", route.priority},
        {"target", serviceName(route.service)},
        {"max_attempts", 2},
        {"generation", "r" + std::to_string(generation)}};
    if (!bad) sentValues_[route.name][generation].insert(value.dump());
    ++changesSent_;
    const std::string body =
        json{{"upsert", {{"host_map", {{{"hostname", kHost}, {"path_routes", json::array({value})}}}}}}}
            .dump();
    patch((who + static_cast<std::uint32_t>(operatorNo)) % day_.vises, body, bad ? 1 : 60,
          [this, name = std::string(route.name), generation, bad](std::uint32_t status) {
            if (bad && status == 200) judge_.failed(now_, "CONFIG", "an invalid change was acknowledged");
            if (status != 200 || bad) return;
            ++changesAcked_;
            auto& newest = acked_[name];
            if (generation > newest.first) newest = {generation, now_};
          });
  }
}

void World::readBack(std::size_t machine, int tries) {
  if (tries <= 0) return judge_.lost(now_, "no answer to the reading back");
  const std::size_t next = (machine + 1) % day_.vises;
  Machine& m = machines_[machine];
  const auto over = std::make_shared<bool>(false);
  const auto again = [=, this] {
    if (!std::exchange(*over, true)) in(300ms, [=, this] { readBack(next, tries - 1); });
  };
  if (m.life == 0 || m.dark) return again();
  in(kCallHeard, again);
  atProcess(now_ + span(day_.across), machine, m.life, [=, this] {
    Core& here = core(machine);
    const std::uint64_t call = ++here.nextCall;
    here.calls[call] = [=, this](std::uint32_t status, const std::string& body) {
      if (*over) return;
      if (status != 200) return again();
      *over = readBackDone_ = true;
      std::map<std::string, json> routes;
      const json read = json::parse(body);
      for (const json& host : read.at("host_map")) {
        for (const json& route : host.at("path_routes")) routes[route.at("name").get<std::string>()] = route;
      }
      for (const auto& [name, newest] : acked_) {
        const auto found = routes.find(name);
        if (found == routes.end()) {
          judge_.lost(now_, "route " + name + " is missing");
          continue;
        }
        const std::string text = found->second.at("generation").get<std::string>();
        const std::uint64_t generation = std::stoull(text.substr(1));
        if (generation < newest.first)
          judge_.lost(now_, "route " + name + " is " + text + ", r" + std::to_string(newest.first) +
                                " was acknowledged");
        if (sentValues_[name][generation].count(found->second.dump()) == 0)
          judge_.failed(now_, "CONFIG", "route " + name + " was never sent as it is read back");
      }
    };
    act(machine, here.vise->readBack(now_, {call}));
  });
}

// --- troubles
// -------------------------------------------------------------------------------------------------

void World::strike(const Trouble& trouble) {
  const Span lasts = span(trouble.lasts);
  const std::size_t vise = coreAt(trouble.who % day_.vises);
  const std::size_t shuttle = sideAt(trouble.who % day_.shuttles);
  const auto cut = [&](std::size_t a, std::size_t b, bool both) {
    cuts_.insert({a, b});
    if (both) cuts_.insert({b, a});
  };
  const auto heal = [this](std::vector<std::pair<std::size_t, std::size_t>> ways) {
    for (const auto& way : ways) cuts_.erase(way);
    for (const LinkPtr& link : links_) {
      for (const bool fromA : {true, false}) {
        const std::size_t from = fromA ? link->a : link->b;
        const std::size_t to = fromA ? link->b : link->a;
        if (isCut(from, to) || link->held[fromA].empty()) continue;
        for (std::string& text : std::exchange(link->held[fromA], {}))
          deliver(link, fromA, now_ + delay(from, to), std::move(text));
      }
    }
  };
  disturb(now_ + lasts + 1s);
  switch (trouble.ill) {
    case Ill::killShuttle:
      kill(shuttle, false);
      in(kDead, [this, shuttle] { startShuttle(shuttle); });
      break;
    case Ill::killVise:
      kill(vise, false);
      in(kDead, [this, vise] { startVise(vise); });
      break;
    case Ill::powerVise:
    case Ill::wipeVise:
      kill(vise, true);
      if (trouble.ill == Ill::wipeVise) core(vise).disk.synced.clear();
      in(lasts, [this, vise] { startVise(vise); });
      break;
    case Ill::freezeShuttle:
      machines_[shuttle].frozenUntil = now_ + lasts;
      break;
    case Ill::freezeVise:
      machines_[vise].frozenUntil = now_ + lasts;
      break;
    case Ill::cutShuttle: {
      std::vector<std::pair<std::size_t, std::size_t>> ways;
      for (std::uint32_t i = 0; i < day_.vises; ++i) {
        cut(shuttle, coreAt(i), true);
        ways.insert(ways.end(), {{shuttle, coreAt(i)}, {coreAt(i), shuttle}});
      }
      in(lasts, [heal, ways] { heal(ways); });
      break;
    }
    case Ill::cutVise:
    case Ill::cutViseOneWay: {
      std::vector<std::pair<std::size_t, std::size_t>> ways;
      for (std::uint32_t i = 0; i < day_.vises; ++i) {
        if (coreAt(i) == vise) continue;
        cut(vise, coreAt(i), trouble.ill == Ill::cutVise);
        ways.insert(ways.end(), {{vise, coreAt(i)}, {coreAt(i), vise}});
      }
      in(lasts, [heal, ways] { heal(ways); });
      break;
    }
    case Ill::diskSlow:
      core(vise).disk.slow = std::max(1.0, trouble.part);
      in(lasts, [this, vise] { core(vise).disk.slow = 1; });
      break;
    case Ill::diskFull:
      core(vise).disk.full = true;
      in(lasts, [this, vise] { core(vise).disk.full = false; });
      break;
    case Ill::serverLoses:
      side(shuttle).server.loses = trouble.part;
      in(lasts, [this, shuttle] { side(shuttle).server.loses = 0; });
      break;
    case Ill::serverSpoils:
      side(shuttle).server.spoils = trouble.part;
      in(lasts, [this, shuttle] { side(shuttle).server.spoils = 0; });
      break;
    case Ill::serverSlow:
      side(shuttle).server.slow = std::max(1.0, trouble.part);
      in(lasts, [this, shuttle] { side(shuttle).server.slow = 1; });
      break;
    case Ill::serverCrash:
      ++side(shuttle).server.lives;
      side(shuttle).server.up = false;
      in(lasts, [this, shuttle] { newServer(shuttle); });
      break;
    case Ill::release:
      side(shuttle).server.draining = true;
      break;
    case Ill::termShuttle:
      if (machines_[shuttle].life == 0) break;
      machines_[shuttle].leaving = true;
      act(shuttle, side(shuttle).shuttle->leave(now_));
      in(kGrace - 500ms, [this, shuttle, life = machines_[shuttle].life] {
        if (machines_[shuttle].life != life) return;
        kill(shuttle, false);
        in(kDead, [this, shuttle] { startShuttle(shuttle); });
      });
      disturb(now_ + kGrace + 1s);
      break;
    case Ill::change:
      change(trouble.who, false, false);
      break;
    case Ill::race:
      change(trouble.who, true, false);
      break;
    case Ill::badChange:
      change(trouble.who, false, true);
      break;
  }
}

void World::closeDay() {
  disturb(now_ + 5s);
  for (std::uint32_t i = 0; i < day_.vises; ++i) {
    if (day_.closing == Closing::none) break;
    const std::size_t vise = coreAt(i);
    const bool wiped = day_.closing == Closing::wipeOne && i == seed_ % day_.vises;
    if (day_.closing == Closing::wipeOne && !wiped && seed_ % 2 == 0) continue;
    kill(vise, day_.closing != Closing::killAll);
    if (wiped) core(vise).disk.synced.clear();
    in(900ms, [this, vise] {
      if (machines_[vise].life == 0) startVise(vise);
    });
  }
}

Played World::run() {
  for (std::uint32_t i = 0; i < day_.vises + day_.shuttles; ++i) {
    Machine m;
    m.core = i < day_.vises;
    m.number = m.core ? i : i - day_.vises;
    m.zone = m.number % day_.zones;
    m.name = (m.core ? "v" : "s") + std::to_string(m.number);
    byAddress_[m.name + ":1"] = i;
    machines_.push_back(m);
  }
  cores_.resize(day_.vises);
  sides_.resize(day_.shuttles);
  for (std::uint32_t i = 0; i < day_.vises; ++i) startVise(coreAt(i));
  for (std::uint32_t i = 0; i < day_.shuttles; ++i) {
    sides_[i].server.service = static_cast<int>(i % 2);
    startShuttle(sideAt(i));
    newServer(sideAt(i));
    sides_[i].server.coldUntil = Span{0};
  }
  at(1s, [this] {
    patch(coreAt(0), firstItems(), 60, [this](std::uint32_t status) {
      if (status != 200) return judge_.lost(now_, "the first items were not acknowledged");
      for (const RouteTold& route : kRoutes) acked_[route.name] = {1, now_};
    });
  });
  end_ = kLead + span(day_.seconds);
  at(kLead, [this] { arrive(); });
  for (const Trouble& trouble : day_.troubles)
    at(kLead + span(trouble.at), [this, trouble] { strike(trouble); });
  at(end_ - 6s, [this] { closeDay(); });
  at(end_ + kSettle, [this] { readBack(coreAt(0), 20); });
  const Span last = end_ + kSettle + 30s;
  while (!events_.empty() && events_.top().at <= last && !readBackDone_) {
    const Event event = events_.top();
    events_.pop();
    now_ = event.at;
    event.task();
  }
  judge_.end();
  const double share = judge_.asked() == 0
                           ? 1
                           : static_cast<double>(judge_.servedWhole()) / static_cast<double>(judge_.asked());
  if (share < day_.leastServed) judge_.failed(now_, "SERVED", std::to_string(share) + " of the tries");
  Played played;
  played.broken = judge_.broken();
  json talk;
  for (const auto& [kind, sums] : talk_) talk[kind] = {{"words", sums.first}, {"bytes", sums.second}};
  json statuses;
  for (const auto& [status, count] : judge_.statuses()) statuses[std::to_string(status)] = count;
  played.figures = {{"tries", judge_.asked()},
                    {"served", share},
                    {"runs", judge_.runs()},
                    {"repeats_answered", judge_.repeatsAnswered()},
                    {"statuses", statuses},
                    {"changes", changesSent_},
                    {"acknowledged", changesAcked_},
                    {"syncs", syncs_},
                    {"events", eventNo_},
                    {"talk", talk}};
  return played;
}

}  // namespace

Played play(const Day& day, std::uint64_t seed) { return World(day, seed).run(); }

Day shrunk(const Day& day, std::uint64_t seed, const std::string& rule) {
  Day least = day;
  const auto breaks = [&](const Day& tried) {
    const Played played = play(tried, seed);
    return std::any_of(played.broken.begin(), played.broken.end(),
                       [&](const Broken& b) { return b.rule == rule; });
  };
  for (std::size_t i = least.troubles.size(); i-- > 0;) {
    Day tried = least;
    tried.troubles.erase(tried.troubles.begin() + static_cast<std::ptrdiff_t>(i));
    if (breaks(tried)) least = std::move(tried);
  }
  return least;
}

}  // namespace rackroute::lab::mesh
