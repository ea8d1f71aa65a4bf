// Generates days for real processes from a seed: series of overlapping faults. Control processes are lost one
// at a time, with time to catch up in between, or all are killed at once.

#include <algorithm>

#include "lab/mesh/day.hpp"
#include "lab/random.hpp"

namespace rackroute::lab::mesh {
namespace {

constexpr double kFirstFault = 1;        // seconds
constexpr double kBeforeEnd = 4;         // seconds without further faults before the closing fault
constexpr double kWithin = 0.5;          // seconds at most between the faults of a series
constexpr double kBetweenSeries = 2;     // seconds at most
constexpr double kLongestFreeze = 2;     // seconds
constexpr double kAllKilledShare = 0.2;  // of the control plane faults
constexpr std::uint32_t kLongestSeries = 6;
constexpr std::uint64_t kCrowdEvery = 10;   // every so many seeds
constexpr double kBetweenStalledStops = 5;  // seconds on average

class SoakDrawer {
 public:
  SoakDrawer(std::uint64_t seed, const Day& size)
      : day_(size),
        chance_(makeRandomEngine(seed, Purpose::troubles)),
        stalls_(makeRandomEngine(seed, Purpose::troubles, 1)) {
    day_.name = "soak-" + std::to_string(seed);
    day_.keepConnections = true;
    if (seed % kCrowdEvery == 0) day_.sidecars = kCrowdProcesses - day_.controls;
  }

  Day draw() {
    static constexpr Closing kClosings[] = {Closing::none, Closing::killAll, Closing::wipeOne};
    day_.closing = kClosings[number(std::size(kClosings))];
    for (double at = kFirstFault; at < lastFaultAt(); at += between(0.2, kBetweenSeries)) {
      addSeries(at);
      addControlLoss(at);
    }
    addStalledStops();
    std::stable_sort(day_.faults.begin(), day_.faults.end(),
                     [](const Fault& a, const Fault& b) { return a.at < b.at; });
    return day_;
  }

 private:
  double between(double least, double most) { return least + uniform01(chance_) * (most - least); }
  std::uint32_t number(std::size_t below) {
    return static_cast<std::uint32_t>(between(0, static_cast<double>(below) - 0.001));
  }
  [[nodiscard]] double lastFaultAt() const { return day_.seconds - kBeforeEnd - kCatchUpSeconds; }

  /// Mostly faults of one machine, so that a signal arrives while an earlier one is still being handled.
  void addSeries(double& at) {
    static constexpr FaultKind kKinds[] = {
        FaultKind::termSidecar, FaultKind::killSidecar, FaultKind::freezeSidecar, FaultKind::hangUp,
        FaultKind::release,     FaultKind::serverCrash, FaultKind::serverSlow,    FaultKind::serverLoses,
        FaultKind::change,      FaultKind::race,        FaultKind::badChange,     FaultKind::release};
    const std::uint32_t first = number(1000);
    const std::uint32_t length = 1 + number(kLongestSeries);
    for (std::uint32_t i = 0; i < length; ++i) {
      Fault fault{kKinds[number(std::size(kKinds))], at, between(0.2, kLongestFreeze), first, 0.1};
      if (uniform01(chance_) < 0.3) fault.target = number(1000);
      if (fault.kind == FaultKind::serverSlow) fault.magnitude = between(2, 10);
      day_.faults.push_back(fault);
      at += between(0, kWithin);
    }
  }

  /// Stops shortly after a freeze of the same machine is over.
  void addStalledStops() {
    for (double at = kFirstFault; at < lastFaultAt(); at += 2 * kBetweenStalledStops * uniform01(stalls_)) {
      const auto who = static_cast<std::uint32_t>(uniform01(stalls_) * 1000);
      const double frozen = 0.75 + uniform01(stalls_);
      const double stopAt = at + frozen + uniform01(stalls_);
      day_.faults.push_back({FaultKind::freezeSidecar, at, frozen, who, 0});
      day_.faults.push_back({FaultKind::termSidecar, stopAt, 0, who, 0});
    }
  }

  void addControlLoss(double at) {
    if (at < nextControlFaultAt_ || uniform01(chance_) < 0.5) return;
    const bool all = uniform01(chance_) < kAllKilledShare;
    const std::uint32_t who = number(day_.controls);
    if (all) {
      for (std::uint32_t control = 0; control < day_.controls; ++control)
        day_.faults.push_back({FaultKind::killControl, at, 0, control, 0});
    } else if (uniform01(chance_) < 0.5) {
      day_.faults.push_back({FaultKind::wipeControl, at, between(0.2, kLongestFreeze), who, 0});
    } else {
      day_.faults.push_back({FaultKind::freezeControl, at, between(0.2, kLongestFreeze), who, 0});
    }
    nextControlFaultAt_ = at + kLongestFreeze + kCatchUpSeconds;
  }

  Day day_;
  RandomEngine chance_;
  RandomEngine stalls_;  // separate, so that the other faults of a seed stay the same
  double nextControlFaultAt_ = 0;
};

}  // namespace

Day drawSoak(std::uint64_t seed, const Day& size) { return SoakDrawer(seed, size).draw(); }

}  // namespace rackroute::lab::mesh
