#pragma once

// The one thread's reactor, its clock and its timers. It owns what waits for a time and what is to be freed
// after the turn in which it ended; it must never block but in the reactor's poll, and knows no protocol.

#include <Poco/Net/SocketReactor.h>

#include <chrono>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <utility>
#include <vector>

#include "rackroute/types.hpp"
#include "sidecar/counters.hpp"

namespace rackroute::sidecar {

class Loop : public Poco::Net::SocketReactor {
 public:
  using Task = std::function<void()>;
  using TimerId = std::pair<Span, std::uint64_t>;  // {0, 0}: none

  Loop();

  [[nodiscard]] Span now() const;
  /// The span since start of a time of the machines' common clock.
  [[nodiscard]] Span sinceStart(std::chrono::system_clock::time_point time) const {
    return std::chrono::duration_cast<Span>(time - startedAt_);
  }
  TimerId at(Span due, Task task);
  TimerId in(Span wait, Task task) { return at(now() + wait, std::move(task)); }
  void soon(Task task) { at(Span{0}, std::move(task)); }
  /// Does nothing for none, or for one that has run. The id is none afterwards.
  void cancel(TimerId& timer);
  /// Keeps it until the turn is over: nothing is freed while a call on it may still return into it.
  void bury(std::shared_ptr<void> dead) { dead_.push_back(std::move(dead)); }
  /// Runs one handler: what it throws is logged and told, and the poll waits no longer than the next timer.
  bool guarded(const Task& handler);

  Counters counters;

 protected:
  void onBusy() override { runDue(); }
  void onTimeout() override { runDue(); }
  void onIdle() override { runDue(); }

 private:
  void runDue();
  void rearm();

  std::chrono::steady_clock::time_point start_ = std::chrono::steady_clock::now();
  std::chrono::system_clock::time_point startedAt_ = std::chrono::system_clock::now();
  std::map<TimerId, Task> timers_;
  std::uint64_t lastTimer_ = 0;
  std::vector<std::shared_ptr<void>> dead_;
};

}  // namespace rackroute::sidecar
