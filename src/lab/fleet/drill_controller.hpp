#pragma once

// Runs a drill with real processes: relays their traffic, executes the schedule of faults, polls the admin
// endpoint of each member and passes the results to the checker. The caller supplies the functions that start
// and signal processes. Loopback only.

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "lab/fleet/drill_checker.hpp"
#include "lab/fleet/drill_network.hpp"
#include "lab/fleet/relay.hpp"
#include "lab/run_statistics.hpp"
#include "sidecar/loop.hpp"

namespace rackroute::lab {

class StatusConnection;

class DrillController {
 public:
  /// Operations on processes. A twin has its own place after the members.
  struct ProcessControl {
    std::function<void(std::uint32_t place)> start;
    std::function<void(std::uint32_t place, int signal)> signal;
  };

  DrillController(sidecar::Loop& loop, const Drill& drill, std::uint64_t seed, ProcessControl processControl);
  DrillController(const DrillController&) = delete;
  DrillController& operator=(const DrillController&) = delete;
  ~DrillController();

  /// The drill-specific part of a process's configuration: name, admin address and fleet.
  [[nodiscard]] Json config(std::uint32_t place) const;
  /// Relay addresses under which the member reaches discovery and a server of the zone.
  std::string discoveryFor(std::uint32_t member, const std::string& address) {
    return relay_.forward(member, address, [this, member] { return network_.reachesDiscovery(member); });
  }
  std::string serverFor(std::uint32_t member, const std::string& address, std::uint32_t zone) {
    return relay_.forward(member, address,
                          [this, member, zone] { return network_.reachesServers(member, zone); });
  }
  [[nodiscard]] Span lastLossAt(std::uint32_t member) const { return relay_.lastLossAt(member); }
  void setProcessControl(ProcessControl processControl) { processControl_ = std::move(processControl); }
  [[nodiscard]] std::string clientsAt(std::uint32_t place) const { return relay_.listenAddress(place, 8000); }
  [[nodiscard]] std::uint32_t places() const { return drill_.members + 1; }
  /// Starts the schedule. If `started`, all processes run already and the initial starts are skipped.
  void begin(bool started);
  [[nodiscard]] Json finish();
  [[nodiscard]] Span now() const { return loop_.now() - startTime_; }

 private:
  friend class StatusConnection;

  void perform(const ScheduledAction& action);
  void requestStatus(std::uint32_t member);
  void statusReceived(std::uint32_t member, const std::string& body);
  void evaluate();
  [[nodiscard]] std::string adminAddress(std::uint32_t place) const {
    return relay_.listenAddress(place, 9000);
  }

  sidecar::Loop& loop_;
  const Drill& drill_;
  std::uint64_t seed_;
  ProcessControl processControl_;
  Timetable table_;
  DrillNetwork network_;
  DrillChecker checker_;
  Span startTime_{};
  bool begun_ = false;
  Relay relay_;
  std::map<std::string, std::uint32_t> names_;
  std::map<StatusConnection*, std::shared_ptr<StatusConnection>> statusConnections_;
  std::vector<std::uint32_t> starts_;  // by member; answers of an earlier process are ignored
  std::vector<bool> runs_;
  std::vector<bool> frozen_;
  std::optional<std::uint32_t> twinOf_;
  std::uint64_t answers_ = 0;
  Span maxEvaluateDelay_{};
  Span evaluatedAt_{};
};

}  // namespace rackroute::lab
