#pragma once

// Evaluates a drill: receives the actions on members and the views that members report, checks them against
// the expectations and collects statistics. Independent of the membership protocol. No clock and no I/O.

#include <cstdint>
#include <string>
#include <vector>

#include "lab/fleet/drill.hpp"
#include "lab/run_statistics.hpp"

namespace rackroute::lab {

class DrillChecker {
 public:
  /// Lag: maximum delay with which a member's view is reported.
  DrillChecker(const Drill& drill, const Timetable& table, Span lag);

  // ---- Actions
  void started(Span now, std::uint32_t member);
  void ended(Span now, std::uint32_t member);
  void frozen(Span now, std::uint32_t member, bool frozen);
  /// All members know each other from the start.
  void allMembersKnown();

  // ---- Observations
  void observes(Span now, std::uint32_t observer, std::uint32_t subject, fleet::State state);
  /// The observer does not know the subject.
  void unknown(std::uint32_t observer, std::uint32_t subject);
  void reports(std::uint32_t member, fleet::Connectivity hearing, std::size_t safeCount);
  void sent(Span now, std::uint32_t member, std::size_t bytes);
  void received(Span now, std::uint32_t member, std::size_t bytes);
  /// Checks the present state; to be called periodically.
  void evaluate(Span now);

  [[nodiscard]] Json finish(Span now);
  [[nodiscard]] bool kept() const { return broken_.empty(); }
  [[nodiscard]] double meanFirstSuspicion() const;
  [[nodiscard]] std::uint64_t wrongDeaths() const { return wrongDeaths_; }

 private:
  struct Member {
    bool runs = false;
    bool frozen = false;
    Span disturbedAt = Span::min() / 2;  // last start or end
    Span resumedAt = Span::min() / 2;    // last start or end of a freeze
    Span endedAt = Span::min() / 2;
    Span suspectedAt = Span::max();         // first suspicion since it ended
    Span deathCountedAt = Span::min() / 2;  // last time it was counted as a wrong death
    std::uint32_t wrong = 0;                // number of members whose state it has wrong
    Span wrongSince = Span::max();          // since its view exceeds the expected error
    fleet::Connectivity hearing = fleet::Connectivity::full;
    std::size_t safeCount = 0;
    std::vector<std::uint32_t> receivedPerSecond;  // messages per second
    std::uint64_t bytesIn = 0;
    std::uint64_t bytesOut = 0;
  };
  struct DeathReport {
    Span at;
    std::uint32_t observer;
    std::uint32_t subject;
  };
  struct Window {
    Span from;
    Span until;
  };

  void settleDeaths(Span now);
  void runs(Span now, std::uint32_t member, bool running);
  void set(std::uint32_t observer, std::uint32_t subject, std::uint8_t seen);
  [[nodiscard]] bool disturbed(Span now, Span after) const;
  [[nodiscard]] bool cut(Span now) const;
  void broken(Span now, const std::string& promise, std::uint32_t member, const std::string& what);

  const Drill& drill_;
  Span lag_;
  std::vector<Member> members_;
  std::vector<std::uint8_t> seen_;  // indexed by observer, then subject: a State or kUnknown
  std::vector<Window> disturbances_;
  std::vector<Window> partitions_;
  std::uint32_t running_ = 0;
  std::vector<Span> suspicions_;   // from the end of a member to its first suspicion
  std::vector<Span> settleTimes_;  // from a disturbance to the last wrong view after it
  Span lastDisturbance_ = Span::min() / 2;
  Span lastWrongViewAt_{};
  std::vector<DeathReport> deathReports_;  // deaths that may be wrong, not yet confirmed
  std::uint64_t wrongDeaths_ = 0;
  std::vector<Json> broken_;
  std::uint64_t brokenOverflow_ = 0;
  std::int64_t nextSecond_ = 0;
  Json seconds_ = Json::array();
};

/// SVG chart of each member's view over time, from the JSON of a run.
[[nodiscard]] std::string renderSvg(const Json& run);

}  // namespace rackroute::lab
