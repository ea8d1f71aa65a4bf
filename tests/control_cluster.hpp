#pragma once

// A cluster of real control nodes in virtual time for directed tests: sessions between them that can be
// disconnected, disks that can refuse writes, stall or be wiped, and operators' calls with their answers. The
// cluster is deterministic.

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

  /// Starts a process at that address with the current contents of its disk.
  void start(const std::string& at, bool firstBoot = false) {
    Machine& machine = machines_[at];
    machine.life = ++lastLife_;
    machine.syncing = 0;
    machine.waiting.clear();
    ControlNode::Options options;
    options.node = {at};
    options.at = {at};
    options.zone = "z";
    options.life = {machine.life};
    options.random = lastLife_;
    options.seeds = seeds(firstBoot);
    options.founders = founders_;
    options.firstBoot = firstBoot;
    options.keyWindow = 60s;
    machine.node = std::make_unique<ControlNode>(std::move(options));
    for (const auto& [key, value] : machine.disk) {
      if (const auto read = machine.node->restore(key, value); !read)
        refusals_.push_back(read.error().line());
    }
    perform(at, machine.node->start(now_));
    tick(at, machine.life);
  }
  /// Kills the process; writes that are not synced are lost.
  void kill(const std::string& at) {
    Machine& machine = machines_.at(at);
    machine.life = 0;
    machine.node.reset();
    std::vector<std::uint64_t> ended;
    for (const auto& [no, link] : links_) {
      if (link.from == at || link.to == at) ended.push_back(no);
    }
    for (const std::uint64_t no : ended) closeLink(no, at);
  }
  void wipe(const std::string& at) { machines_.at(at).disk.clear(); }
  /// Drops all messages between two processes; their session breaks after kBreakTimeout.
  void disconnect(const std::string& one, const std::string& other) {
    disconnected_.insert({one, other});
    disconnected_.insert({other, one});
  }
  void reconnect(const std::string& one, const std::string& other) {
    disconnected_.erase({one, other});
    disconnected_.erase({other, one});
  }
  /// Disconnects the process from all others, or reconnects it.
  void isolate(const std::string& at, bool isolated = true) {
    for (const auto& [other, machine] : machines_) {
      if (other != at) isolated ? disconnect(at, other) : reconnect(at, other);
    }
  }
  void refuseWrites(const std::string& at, bool refuses) { machines_.at(at).refusesWrites = refuses; }
  /// Sets the duration of the disk's syncs, from the next one on.
  void setSyncTime(const std::string& at, Span time) { machines_.at(at).syncTime = time; }
  std::map<std::string, std::string>& disk(const std::string& at) { return machines_.at(at).disk; }
  ControlNode& node(const std::string& at) { return *machines_.at(at).node; }
  [[nodiscard]] bool running(const std::string& at) const { return machines_.at(at).life != 0; }

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

  /// These return the number of the call, for answer().
  std::uint64_t change(const std::string& at, const std::string& body) {
    const std::uint64_t call = ++calls_;
    perform(at, node(at).change(now_, {call}, body));
    return call;
  }
  std::uint64_t readBack(const std::string& at) {
    const std::uint64_t call = ++calls_;
    perform(at, node(at).readBack(now_, {call}));
    return call;
  }
  [[nodiscard]] std::optional<Answer> answer(std::uint64_t call) const {
    const auto found = answers_.find(call);
    return found == answers_.end() ? std::nullopt : std::optional(found->second);
  }

  /// Opens a session of a simulated sidecar with that control process.
  std::uint64_t connectSidecar(const std::string& at, const std::string& sidecarName) {
    const std::uint64_t no = ++sessions_;
    links_[no] = {sidecarName, at};
    perform(at, node(at).sessionAccepted(now_, {no}));
    Hello hello;
    hello.node = {sidecarName};
    hello.life = {1};
    hello.at = {sidecarName};
    sendMessage(no, hello);
    return no;
  }
  void sendMessage(std::uint64_t session, const Message& message) {
    const std::string at = links_.at(session).to;
    perform(at, node(at).messageReceived(now_, {session}, nlohmann::json::parse(encode(message))));
  }
  void sendText(std::uint64_t session, const std::string& text) {
    const std::string at = links_.at(session).to;
    perform(at, node(at).messageReceived(now_, {session}, nlohmann::json::parse(text, nullptr, false)));
  }
  [[nodiscard]] bool isOpen(std::uint64_t session) const { return links_.count(session) > 0; }
  /// The messages that a sidecar's session has received, in order.
  std::vector<Message>& received(std::uint64_t session) { return received_[session]; }
  template <class Kind>
  const Kind* last(std::uint64_t session) {
    const Kind* found = nullptr;
    for (const Message& message : received_[session]) {
      if (const auto* typed = std::get_if<Kind>(&message)) found = typed;
    }
    return found;
  }
  /// Reasons of refused store entries and messages.
  [[nodiscard]] const std::vector<std::string>& refusals() const { return refusals_; }
  /// Bytes of messages sent between control processes.
  [[nodiscard]] std::size_t bytes() const { return bytes_; }

 private:
  static constexpr Span kLatency = 1ms;
  static constexpr Span kSyncTime = 5ms;
  static constexpr Span kBreakTimeout = 2500ms;  // until the session of disconnected processes breaks

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
    Span syncTime = kSyncTime;
    bool refusesWrites = false;
  };
  struct Link {
    std::string from, to;
    std::uint64_t fromNo = 0;  // the session's number at the dialling process; 0: a simulated sidecar
  };
  /// The founders at the first start, later the running processes, as in an operator's configuration.
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
    perform(machine, node(machine).tick(now_));
    atProcess(now_ + ControlNode::tickInterval(), machine, [this, machine, life] { tick(machine, life); });
  }
  [[nodiscard]] bool isDisconnected(const std::string& from, const std::string& to) const {
    return disconnected_.count({from, to}) > 0;
  }

  void dial(const std::string& from, const std::string& to) {
    const auto target = machines_.find(to);
    const bool reachable = target != machines_.end() && target->second.life != 0 && !isDisconnected(from, to);
    atProcess(now_ + (reachable ? 2 * kLatency : 300ms), from, [this, from, to, reachable] {
      if (!reachable || machines_.at(to).life == 0) return perform(from, node(from).dialFailed(now_, {to}));
      const std::uint64_t no = ++sessions_;
      const std::uint64_t fromNo = ++sessions_;
      links_[no] = {from, to, fromNo};
      byDialler_[fromNo] = no;
      perform(to, node(to).sessionAccepted(now_, {no}));
      perform(from, node(from).sessionEstablished(now_, {fromNo}, {to}));
    });
  }
  void deliver(const std::string& from, std::uint64_t session, const std::string& text) {
    const bool dialler = byDialler_.count(session) > 0;
    const std::uint64_t no = dialler ? byDialler_.at(session) : session;
    const auto link = links_.find(no);
    if (link == links_.end()) return;
    if (link->second.fromNo == 0) {
      auto read = decode(nlohmann::json::parse(text));
      if (read) received_[no].push_back(std::move(read).value());
      return;
    }
    bytes_ += text.size();
    const std::string to = dialler ? link->second.to : link->second.from;
    const std::uint64_t there = dialler ? no : link->second.fromNo;
    if (isDisconnected(from, to)) {
      if (broken_.insert(no).second) at(now_ + kBreakTimeout, [this, no] { closeLink(no, ""); });
      return;
    }
    if (broken_.count(no) > 0) return;
    atProcess(now_ + kLatency, to, [this, to, there, no, text] {
      if (links_.count(no) > 0)
        perform(to, node(to).messageReceived(now_, {there}, nlohmann::json::parse(text)));
    });
  }
  void closeLink(std::uint64_t no, const std::string& by) {
    const auto found = links_.find(no);
    if (found == links_.end()) return;
    const Link link = found->second;
    links_.erase(found);
    if (link.to != by && machines_.count(link.to) > 0)
      atProcess(now_ + kLatency, link.to,
                [this, link, no] { perform(link.to, node(link.to).sessionClosed(now_, {no})); });
    if (link.fromNo == 0) return;
    byDialler_.erase(link.fromNo);
    if (link.from != by)
      atProcess(now_ + kLatency, link.from,
                [this, link] { perform(link.from, node(link.from).sessionClosed(now_, {link.fromNo})); });
  }
  void sync(const std::string& at) {
    Machine& machine = machines_.at(at);
    if (machine.syncing > 0 || machine.waiting.empty()) return;
    machine.syncing = machine.waiting.size();
    atProcess(now_ + machine.syncTime, at, [this, at] {
      Machine& there = machines_.at(at);
      std::vector<BatchNo> done;
      const bool refused = there.refusesWrites;
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
      for (const BatchNo batch : done) perform(at, node(at).writeCompleted(now_, batch, !refused));
    });
  }
  void perform(const std::string& machine, const ControlActions& actions) {
    for (const ControlAction& action : actions) {
      switch (action.kind) {
        case ControlAction::Kind::send:
          deliver(machine, action.session.value, *action.text);
          break;
        case ControlAction::Kind::dial:
          dial(machine, action.at.value);
          break;
        case ControlAction::Kind::close: {
          if (!action.body.empty()) refusals_.push_back(action.body);
          const auto dialled = byDialler_.find(action.session.value);
          closeLink(dialled == byDialler_.end() ? action.session.value : dialled->second, machine);
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
  std::uint64_t lastLife_ = 0;
  std::uint64_t sessions_ = 0;
  std::uint64_t calls_ = 0;
  std::size_t bytes_ = 0;
  std::priority_queue<Event, std::vector<Event>, std::greater<>> events_;
  std::map<std::string, Machine> machines_;
  std::map<std::uint64_t, Link> links_;
  std::map<std::uint64_t, std::uint64_t> byDialler_;
  std::set<std::uint64_t> broken_;
  std::set<std::pair<std::string, std::string>> disconnected_;
  std::map<std::uint64_t, Answer> answers_;
  std::map<std::uint64_t, std::vector<Message>> received_;
  std::vector<std::string> refusals_;
};

}  // namespace rackroute::mesh::test
