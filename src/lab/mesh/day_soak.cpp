// Days for real processes, drawn from a seed: troubles that come in series and overlap. Of the control
// processes one at a time is lost, with the time to catch up in between, or all of them are killed at once.

#include <algorithm>

#include "lab/mesh/day.hpp"
#include "lab/random.hpp"

namespace rackroute::lab::mesh {
namespace {

constexpr double kFirst = 1;             // seconds
constexpr double kBeforeEnd = 4;         // seconds without a further trouble, before the closing fault
constexpr double kWithin = 0.5;          // seconds at most between the troubles of a series
constexpr double kBetweenSeries = 2;     // seconds at most
constexpr double kLongestFreeze = 2;     // seconds
constexpr double kAllKilledShare = 0.2;  // of the losses in the control plane
constexpr std::uint32_t kLongestSeries = 6;
constexpr std::uint64_t kCrowdEvery = 10;  // seeds

class SoakDrawer {
 public:
  SoakDrawer(std::uint64_t seed, const Day& size)
      : day_(size), chance_(makeRandomEngine(seed, Purpose::troubles)) {
    day_.name = "soak-" + std::to_string(seed);
    day_.clientsStay = true;
    if (seed % kCrowdEvery == 0) day_.sidecars = kCrowd - day_.controls;
  }

  Day draw() {
    static constexpr Closing kClosings[] = {Closing::none, Closing::killAll, Closing::wipeOne};
    day_.closing = kClosings[number(std::size(kClosings))];
    for (double at = kFirst; at < lastAt(); at += between(0.2, kBetweenSeries)) {
      addSeries(at);
      addControlLoss(at);
    }
    std::stable_sort(day_.troubles.begin(), day_.troubles.end(),
                     [](const Trouble& a, const Trouble& b) { return a.at < b.at; });
    return day_;
  }

 private:
  double between(double least, double most) { return least + uniform01(chance_) * (most - least); }
  std::uint32_t number(std::size_t below) {
    return static_cast<std::uint32_t>(between(0, static_cast<double>(below) - 0.001));
  }
  [[nodiscard]] double lastAt() const { return day_.seconds - kBeforeEnd - kCatchUpSeconds; }

  /// Mostly on one machine: what a second signal meets that the first one began.
  void addSeries(double& at) {
    static constexpr TroubleKind kKinds[] = {
        TroubleKind::termSidecar, TroubleKind::killSidecar, TroubleKind::freezeSidecar,
        TroubleKind::hangUp,      TroubleKind::release,     TroubleKind::serverCrash,
        TroubleKind::serverSlow,  TroubleKind::serverLoses, TroubleKind::change,
        TroubleKind::race,        TroubleKind::badChange,   TroubleKind::release};
    const std::uint32_t first = number(1000);
    const std::uint32_t length = 1 + number(kLongestSeries);
    for (std::uint32_t i = 0; i < length; ++i) {
      Trouble trouble{kKinds[number(std::size(kKinds))], at, between(0.2, kLongestFreeze), first, 0.1};
      if (uniform01(chance_) < 0.3) trouble.who = number(1000);
      if (trouble.kind == TroubleKind::serverSlow) trouble.part = between(2, 10);
      day_.troubles.push_back(trouble);
      at += between(0, kWithin);
    }
  }

  void addControlLoss(double at) {
    if (at < controlsFreeAt_ || uniform01(chance_) < 0.5) return;
    const bool all = uniform01(chance_) < kAllKilledShare;
    const std::uint32_t who = number(day_.controls);
    if (all) {
      for (std::uint32_t control = 0; control < day_.controls; ++control)
        day_.troubles.push_back({TroubleKind::killControl, at, 0, control, 0});
    } else if (uniform01(chance_) < 0.5) {
      day_.troubles.push_back({TroubleKind::wipeControl, at, between(0.2, kLongestFreeze), who, 0});
    } else {
      day_.troubles.push_back({TroubleKind::freezeControl, at, between(0.2, kLongestFreeze), who, 0});
    }
    controlsFreeAt_ = at + kLongestFreeze + kCatchUpSeconds;
  }

  Day day_;
  RandomEngine chance_;
  double controlsFreeAt_ = 0;
};

}  // namespace

Day drawSoak(std::uint64_t seed, const Day& size) { return SoakDrawer(seed, size).draw(); }

}  // namespace rackroute::lab::mesh
