#pragma once

// A few real control nodes in virtual time, for directed tests: sessions between them that can be cut, disks
// that can refuse, stall or be lost, and operators' calls with their answers. Nothing is drawn here.

#include <deque>
#include <functional>
#include <map>
#include <optional>
#include <queue>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "mesh/control/control_node.hpp"

namespace rackroute::mesh::test {

using namespace std::chrono_literals;

class ControlCluster {
 public:
  struct Answer {
    std::uint32_t status = 0;
    std::string body;
    Span at{};
  };

  explicit ControlCluster(std::size_t founders) : founders_(founders) {
    for (std::size_t i = 0; i < founders; ++i) start(name(i), true);
  }

  static std::string name(std::size_t number) { return "c" + std::to_string(number) + ":1"; }

  /// Starts a process at that address on the disk that is there.
  void start(const std::string& at, bool firstBoot = false) {
    Machine& machine = machines_[at];
    machine.life = ++lives_;
    machine.syncing = 0;
    machine.waiting.clear();
    ControlNode::Built built;
    built.node = {at};
    built.at = {at};
    built.zone = "z";
    built.life = {machine.life};
    built.random = lives_;
    built.seeds = seeds(firstBoot);
    built.founders = founders_;
    built.firstBoot = firstBoot;
    built.keyWindow = 60s;
    machine.node = std::make_unique<ControlNode>(std::move(built));
    for (const auto& [key, value] : machine.disk) {
      if (const auto read = machine.node->restore(key, value); !read) refused_.push_back(read.error().line());
    }
    act(at, machine.node->start(now_));
    tick(at, machine.life);
  }
  /// The process ends; what it had not synced is lost.
  void kill(const std::string& at) {
    Machine& machine = machines_.at(at);
    machine.life = 0;
    machine.node.reset();
    std::vector<std::uint64_t> ended;
    for (const auto& [no, link] : links_) {
      if (link.from == at || link.to == at) ended.push_back(no);
    }
    for (const std::uint64_t no : ended) endLink(no, at);
  }
  void wipe(const std::string& at) { machines_.at(at).disk.clear(); }
  void cut(const std::string& one, const std::string& other) {
    cuts_.insert({one, other});
    cuts_.insert({other, one});
  }
  void join(const std::string& one, const std::string& other) {
    cuts_.erase({one, other});
    cuts_.erase({other, one});
  }
  void cutOff(const std::string& at, bool cutNow = true) {
    for (const auto& [other, machine] : machines_) {
      if (other != at) cutNow ? cut(at, other) : join(at, other);
    }
  }
  void refuseWrites(const std::string& at, bool refuses) { machines_.at(at).refuses = refuses; }
  /// How long a sync of that disk takes, from the next one on.
  void syncTime(const std::string& at, Span time) { machines_.at(at).syncTime = time; }
  std::map<std::string, std::string>& disk(const std::string& at) { return machines_.at(at).disk; }
  ControlNode& node(const std::string& at) { return *machines_.at(at).node; }
  [[nodiscard]] bool up(const std::string& at) const { return machines_.at(at).life != 0; }

  void run(Span forSpan) {
    const Span until = now_ + forSpan;
    while (!events_.empty() && events_.top().at <= until) {
      const Event event = events_.top();
      events_.pop();
      now_ = event.at;
      event.task();
    }
    now_ = until;
  }
  [[nodiscard]] Span now() const { return now_; }

  /// Numbers of calls; answers() tells of them.
  std::uint64_t change(const std::string& at, const std::string& body) {
    const std::uint64_t call = ++calls_;
    act(at, node(at).change(now_, {call}, body));
    return call;
  }
  std::uint64_t readBack(const std::string& at) {
    const std::uint64_t call = ++calls_;
    act(at, node(at).readBack(now_, {call}));
    return call;
  }
  [[nodiscard]] std::optional<Answer> answer(std::uint64_t call) const {
    const auto found = answers_.find(call);
    return found == answers_.end() ? std::nullopt : std::optional(found->second);
  }

  /// A sidecar's session with that control process, played by the test: messages in and out.
  std::uint64_t sidecar(const std::string& at, const std::string& sidecarName) {
    const std::uint64_t no = ++sessions_;
    links_[no] = {sidecarName, at};
    act(at, node(at).came(now_, {no}));
    Hello hello;
    hello.node = {sidecarName};
    hello.life = {1};
    hello.at = {sidecarName};
    say(no, hello);
    return no;
  }
  void say(std::uint64_t session, const Message& message) {
    const std::string at = links_.at(session).to;
    act(at, node(at).heard(now_, {session}, nlohmann::json::parse(encode(message))));
  }
  void sayText(std::uint64_t session, const std::string& text) {
    const std::string at = links_.at(session).to;
    act(at, node(at).heard(now_, {session}, nlohmann::json::parse(text, nullptr, false)));
  }
  [[nodiscard]] bool open(std::uint64_t session) const { return links_.count(session) > 0; }
  /// What came to a sidecar's session, in order.
  std::vector<Message>& heard(std::uint64_t session) { return heard_[session]; }
  template <class Kind>
  const Kind* last(std::uint64_t session) {
    const Kind* found = nullptr;
    for (const Message& message : heard_[session]) {
      if (const auto* typed = std::get_if<Kind>(&message)) found = typed;
    }
    return found;
  }
  [[nodiscard]] const std::vector<std::string>& refused() const { return refused_; }
  /// Bytes of messages between control processes so far.
  [[nodiscard]] std::size_t bytes() const { return bytes_; }

 private:
  static constexpr Span kTrip = 1ms;
  static constexpr Span kSync = 5ms;
  static constexpr Span kUnread = 2500ms;  // until a cut way breaks

  struct Event {
    Span at;
    std::uint64_t no;
    std::function<void()> task;
    bool operator>(const Event& other) const { return std::pair(at, no) > std::pair(other.at, other.no); }
  };
  struct Machine {
    std::unique_ptr<ControlNode> node;
    std::uint64_t life = 0;
    std::map<std::string, std::string> disk;
    std::deque<std::pair<BatchNo, std::vector<StoreEntry>>> waiting;
    std::uint64_t syncing = 0;
    Span syncTime = kSync;
    bool refuses = false;
  };
  struct Link {
    std::string from, to;
    std::uint64_t fromNo = 0;  // the session's number at the one that dialled; 0: a sidecar of the test
  };
  /// At the first start the founders, later those that run: as an operator's list has them.
  [[nodiscard]] std::vector<Address> seeds(bool firstBoot) const {
    constexpr std::size_t kSeeds = 3;
    std::vector<Address> all;
    for (std::size_t i = 0; firstBoot && i < std::min(kSeeds, founders_); ++i) all.push_back({name(i)});
    for (const auto& [at, machine] : machines_) {
      if (!firstBoot && machine.life != 0 && machine.node && all.size() < kSeeds) all.push_back({at});
    }
    return all;
  }
  void at(Span when, std::function<void()> task) { events_.push({when, ++eventNo_, std::move(task)}); }
  void atProcess(Span when, const std::string& machine, std::function<void()> task) {
    at(when, [this, machine, life = machines_.at(machine).life, task = std::move(task)] {
      if (life != 0 && machines_.at(machine).life == life) task();
    });
  }
  void tick(const std::string& machine, std::uint64_t life) {
    act(machine, node(machine).tick(now_));
    atProcess(now_ + ControlNode::tickEvery(), machine, [this, machine, life] { tick(machine, life); });
  }
  [[nodiscard]] bool isCut(const std::string& from, const std::string& to) const {
    return cuts_.count({from, to}) > 0;
  }

  void dial(const std::string& from, const std::string& to) {
    const auto target = machines_.find(to);
    const bool reachable = target != machines_.end() && target->second.life != 0 && !isCut(from, to);
    atProcess(now_ + (reachable ? 2 * kTrip : 300ms), from, [this, from, to, reachable] {
      if (!reachable || machines_.at(to).life == 0) return act(from, node(from).unreached(now_, {to}));
      const std::uint64_t no = ++sessions_;
      const std::uint64_t fromNo = ++sessions_;
      links_[no] = {from, to, fromNo};
      byDialler_[fromNo] = no;
      act(to, node(to).came(now_, {no}));
      act(from, node(from).reached(now_, {fromNo}, {to}));
    });
  }
  void deliver(const std::string& from, std::uint64_t session, const std::string& text) {
    const bool dialler = byDialler_.count(session) > 0;
    const std::uint64_t no = dialler ? byDialler_.at(session) : session;
    const auto link = links_.find(no);
    if (link == links_.end()) return;
    if (link->second.fromNo == 0) {
      auto read = decode(nlohmann::json::parse(text));
      if (read) heard_[no].push_back(std::move(read).value());
      return;
    }
    bytes_ += text.size();
    const std::string to = dialler ? link->second.to : link->second.from;
    const std::uint64_t there = dialler ? no : link->second.fromNo;
    if (isCut(from, to)) {
      if (broken_.insert(no).second) at(now_ + kUnread, [this, no] { endLink(no, ""); });
      return;
    }
    if (broken_.count(no) > 0) return;
    atProcess(now_ + kTrip, to, [this, to, there, no, text] {
      if (links_.count(no) > 0) act(to, node(to).heard(now_, {there}, nlohmann::json::parse(text)));
    });
  }
  void endLink(std::uint64_t no, const std::string& by) {
    const auto found = links_.find(no);
    if (found == links_.end()) return;
    const Link link = found->second;
    links_.erase(found);
    if (link.to != by && machines_.count(link.to) > 0)
      atProcess(now_ + kTrip, link.to, [this, link, no] { act(link.to, node(link.to).ended(now_, {no})); });
    if (link.fromNo == 0) return;
    byDialler_.erase(link.fromNo);
    if (link.from != by)
      atProcess(now_ + kTrip, link.from,
                [this, link] { act(link.from, node(link.from).ended(now_, {link.fromNo})); });
  }
  void sync(const std::string& at) {
    Machine& machine = machines_.at(at);
    if (machine.syncing > 0 || machine.waiting.empty()) return;
    machine.syncing = machine.waiting.size();
    atProcess(now_ + machine.syncTime, at, [this, at] {
      Machine& there = machines_.at(at);
      std::vector<BatchNo> done;
      const bool refused = there.refuses;
      for (; there.syncing > 0; --there.syncing) {
        if (!refused) {
          for (const auto& [key, value] : there.waiting.front().second) {
            if (value) {
              there.disk[key] = *value;
            } else {
              there.disk.erase(key);
            }
          }
        }
        done.push_back(there.waiting.front().first);
        there.waiting.pop_front();
      }
      sync(at);
      for (const BatchNo batch : done) act(at, node(at).written(now_, batch, !refused));
    });
  }
  void act(const std::string& machine, const ControlActions& actions) {
    for (const ControlAction& action : actions) {
      switch (action.kind) {
        case ControlAction::Kind::say:
          deliver(machine, action.session.value, *action.text);
          break;
        case ControlAction::Kind::dial:
          dial(machine, action.at.value);
          break;
        case ControlAction::Kind::hangUp: {
          if (!action.body.empty()) refused_.push_back(action.body);
          const auto mine = byDialler_.find(action.session.value);
          endLink(mine == byDialler_.end() ? action.session.value : mine->second, machine);
          break;
        }
        case ControlAction::Kind::write:
          machines_.at(machine).waiting.emplace_back(action.batch, action.entries);
          sync(machine);
          break;
        case ControlAction::Kind::answer:
          answers_[action.call.value] = {action.status, action.body, now_};
          break;
      }
    }
  }

  std::size_t founders_;
  Span now_{};
  std::uint64_t eventNo_ = 0;
  std::uint64_t lives_ = 0;
  std::uint64_t sessions_ = 0;
  std::uint64_t calls_ = 0;
  std::size_t bytes_ = 0;
  std::priority_queue<Event, std::vector<Event>, std::greater<>> events_;
  std::map<std::string, Machine> machines_;
  std::map<std::uint64_t, Link> links_;
  std::map<std::uint64_t, std::uint64_t> byDialler_;
  std::set<std::uint64_t> broken_;
  std::set<std::pair<std::string, std::string>> cuts_;
  std::map<std::uint64_t, Answer> answers_;
  std::map<std::uint64_t, std::vector<Message>> heard_;
  std::vector<std::string> refused_;
};

}  // namespace rackroute::mesh::test
