#include "sidecar/loop.hpp"

#include <algorithm>
#include <exception>

#include "sidecar/log.hpp"

namespace rackroute::sidecar {
namespace {

using namespace std::chrono_literals;

constexpr Span kMaxPollTimeout = 1s;

}  // namespace

Loop::Loop() { setTimeout(Poco::Timespan(kMaxPollTimeout.count())); }

Span Loop::now() const {
  return std::chrono::duration_cast<Span>(std::chrono::steady_clock::now() - startedSteady_);
}

Loop::TimerId Loop::at(Span due, Task task) {
  const TimerId id{due, ++lastTimer_};
  timers_.emplace(id, std::move(task));
  return id;
}

void Loop::cancel(TimerId& timer) {
  timers_.erase(timer);
  timer = {};
}

bool Loop::runGuarded(const Task& handler) {
  bool succeeded = true;
  try {
    handler();
  } catch (const std::exception& error) {
    ++counters.faults;
    LogLine(Level::error) << "fault what=\"" << error.what() << '"';
    succeeded = false;
  }
  updatePollTimeout();
  return succeeded;
}

void Loop::runDue() {
  pendingDestruction_.clear();
  ++counters.turns;
  const Span now = this->now();
  while (!timers_.empty() && timers_.begin()->first.first <= now) {
    const Task task = std::move(timers_.begin()->second);
    const Span due = timers_.begin()->first.first;
    if (due > Span{0}) {  // posted tasks do not count
      ++counters.timers;
      counters.maxTimerDelay =
          std::max(counters.maxTimerDelay, static_cast<std::uint64_t>((now - due).count()));
    }
    timers_.erase(timers_.begin());
    runGuarded(task);
  }
  updatePollTimeout();
}

// The reactor polls with the timeout set last, truncated to milliseconds, starting when its handlers are
// done. So that timers run on time, each handler updates the timeout as its last action, rounded up.
void Loop::updatePollTimeout() {
  Span wait = kMaxPollTimeout;
  if (!timers_.empty()) wait = std::clamp(timers_.begin()->first.first - now(), Span{0}, kMaxPollTimeout);
  wait = (wait + 999us) / 1ms * 1ms;
  setTimeout(Poco::Timespan(wait.count()));
}

}  // namespace rackroute::sidecar
