#include "sidecar/loop.hpp"

#include <algorithm>
#include <exception>

#include "sidecar/log.hpp"

namespace rackroute::sidecar {
namespace {

using namespace std::chrono_literals;

constexpr Span kLongestPoll = 1s;  // with no timer set; any length would do

}  // namespace

Loop::Loop() { setTimeout(Poco::Timespan(kLongestPoll.count())); }

Span Loop::now() const { return std::chrono::duration_cast<Span>(std::chrono::steady_clock::now() - start_); }

Loop::TimerId Loop::at(Span due, Task task) {
  const TimerId id{due, ++lastTimer_};
  timers_.emplace(id, std::move(task));
  return id;
}

void Loop::cancel(TimerId& timer) {
  timers_.erase(timer);
  timer = {};
}

bool Loop::guarded(const Task& handler) {
  bool whole = true;
  try {
    handler();
  } catch (const std::exception& error) {
    ++counters.faults;
    Line(Level::error) << "fault what=\"" << error.what() << '"';
    whole = false;
  }
  rearm();
  return whole;
}

void Loop::runDue() {
  dead_.clear();
  ++counters.turns;
  const Span now = this->now();
  while (!timers_.empty() && timers_.begin()->first.first <= now) {
    const Task task = std::move(timers_.begin()->second);
    const Span due = timers_.begin()->first.first;
    if (due > Span{0}) {  // not one that is only to run soon
      ++counters.timers;
      counters.latestTimer = std::max(counters.latestTimer, static_cast<std::uint64_t>((now - due).count()));
    }
    timers_.erase(timers_.begin());
    guarded(task);
  }
  rearm();
}

// Guards against late timers: the reactor polls with the time-out set last, in whole milliseconds rounded
// down, calls nothing while sockets stay readable but onBusy, and measures from when its handlers are done.
// So every handler sets the time-out anew as its last act, rounded up.
void Loop::rearm() {
  Span wait = kLongestPoll;
  if (!timers_.empty()) wait = std::clamp(timers_.begin()->first.first - now(), Span{0}, kLongestPoll);
  wait = (wait + 999us) / 1ms * 1ms;
  setTimeout(Poco::Timespan(wait.count()));
}

}  // namespace rackroute::sidecar
