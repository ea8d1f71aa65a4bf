#pragma once

// Single-threaded event loop: the socket reactor, a clock, timers, and objects whose destruction is deferred
// to the end of the current turn.

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
  /// Converts a system time to a time of this loop.
  [[nodiscard]] Span sinceStart(std::chrono::system_clock::time_point time) const {
    return std::chrono::duration_cast<Span>(time - startedSystem_);
  }
  TimerId at(Span due, Task task);
  TimerId after(Span wait, Task task) { return at(now() + wait, std::move(task)); }
  void post(Task task) { at(Span{0}, std::move(task)); }
  /// Cancels a timer and resets its id. Does nothing for {0, 0} or a timer that has run.
  void cancel(TimerId& timer);
  /// Keeps the object alive until the end of the turn, as calls on it may still be on the stack.
  void deferDestruction(std::shared_ptr<void> object) { pendingDestruction_.push_back(std::move(object)); }
  /// Runs a handler, logs its exception if any (returning false), and updates the poll timeout.
  bool runGuarded(const Task& handler);

  Counters counters;

 protected:
  void onBusy() override { runDue(); }
  void onTimeout() override { runDue(); }
  void onIdle() override { runDue(); }

 private:
  void runDue();
  void updatePollTimeout();

  std::chrono::steady_clock::time_point startedSteady_ = std::chrono::steady_clock::now();
  std::chrono::system_clock::time_point startedSystem_ = std::chrono::system_clock::now();
  std::map<TimerId, Task> timers_;
  std::uint64_t lastTimer_ = 0;
  std::vector<std::shared_ptr<void>> pendingDestruction_;
};

}  // namespace rackroute::sidecar
