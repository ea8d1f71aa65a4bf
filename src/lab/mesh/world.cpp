#include "lab/mesh/emulated_world.hpp"

namespace rackroute::lab::mesh {

namespace emulated {

DayResult World::run() {
  for (std::uint32_t i = 0; i < day_.controls; ++i)
    controlSlots_.push_back(addMachine(true, i, i % day_.zones));
  for (std::uint32_t i = 0; i < day_.sidecars; ++i) addMachine(false, i, i % day_.zones);
  knownControls_ = controlSlots_;
  controlHosts_.resize(day_.controls);
  sidecarHosts_.resize(day_.sidecars);
  for (std::uint32_t i = 0; i < day_.controls; ++i) startControl(controlMachine(i));
  for (std::uint32_t i = 0; i < day_.sidecars; ++i) {
    sidecarHosts_[i].server.service = static_cast<int>(i % 2);
    startSidecar(sidecarMachine(i));
    startServer(sidecarMachine(i));
    sidecarHosts_[i].server.coldUntil = Span{0};
  }
  runAt(1s, [this] { submitInitialConfig(); });
  end_ = kWarmup + span(day_.seconds);
  runAt(kWarmup, [this] { generateRequests(); });
  runAt(kWarmup, [this] { probeReads(); });
  runAt(kWarmup, [this] { checkAppliedVersions(); });
  for (const Fault& fault : day_.faults)
    runAt(kWarmup + span(fault.at), [this, fault] { injectFault(fault); });
  runAt(end_ - 6s, [this] { scheduleClosingFault(); });
  runAt(end_ + kSettleTime, [this] { readBack(0, 20); });
  const Span last = end_ + kSettleTime + 30s;
  while (!events_.empty() && events_.top().at <= last && !readBackDone_) {
    const Event event = events_.top();
    events_.pop();
    now_ = event.at;
    try {
      event.task();
    } catch (const std::exception& error) {
      // An exception would end the real process, so nothing after it is checked.
      judge_.reportViolation(now_, "CRASH", error.what());
      break;
    }
  }
  ledger_.finish(now_);
  DayResult result;
  result.figures = finishDay(judge_, ledger_.sent(), ledger_.acknowledged(), day_.minServedShare, now_);
  result.violations = judge_.violations();
  json session;
  for (const auto& [kind, counts] : messageStats_)
    session[kind] = {{"words", counts.first}, {"bytes", counts.second}};
  result.figures["refused"] = ledger_.rejected();
  result.figures["struck"] = injectedFaults_;
  result.figures["virtual_s"] = seconds(now_);
  result.figures["syncs"] = syncs_;
  result.figures["events"] = eventNo_;
  result.figures["session"] = session;
  result.figures["runs_that_clients_left"] = judge_.abandonedTotal();
  result.figures["of_these_still_at_work"] = judge_.abandonedStillRunning();
  return result;
}

}  // namespace emulated

DayResult runDay(const Day& day, std::uint64_t seed) { return emulated::World(day, seed).run(); }

Day minimized(const Day& day, std::uint64_t seed, const std::string& rule) {
  Day reduced = day;
  const auto breaksRule = [&](const Day& candidate) {
    const DayResult result = runDay(candidate, seed);
    return std::any_of(result.violations.begin(), result.violations.end(),
                       [&](const Violation& b) { return b.rule == rule; });
  };
  for (std::size_t i = reduced.faults.size(); i-- > 0;) {
    Day candidate = reduced;
    candidate.faults.erase(candidate.faults.begin() + static_cast<std::ptrdiff_t>(i));
    if (breaksRule(candidate)) reduced = std::move(candidate);
  }
  return reduced;
}

}  // namespace rackroute::lab::mesh
