#pragma once

// A run on sockets: a real rackroute process per balancer; clients, servers and discovery are simulated on
// loopback in the calling thread. The run owns the processes and terminates them at its end. Scenario, random
// streams, server model and audit are the same as in virtual time.

#include <cstdint>
#include <functional>
#include <memory>
#include <string>

#include "lab/run_statistics.hpp"
#include "lab/scenario.hpp"
#include "sidecar/loop.hpp"

namespace rackroute::lab {

/// Additional activity on the processes and the event loop of a run, such as a membership drill.
class Companion {
 public:
  Companion() = default;
  Companion(const Companion&) = delete;
  Companion& operator=(const Companion&) = delete;
  virtual ~Companion() = default;

  /// Merge patch for the configuration of a process; discovery is the address it would otherwise use.
  [[nodiscard]] virtual Json configPatch(std::uint32_t balancer, const std::string& discovery) = 0;
  /// The address under which the process reaches a server: a relay or the server itself.
  [[nodiscard]] virtual std::string serverAddress(std::uint32_t balancer, const std::string& address,
                                                  std::uint32_t zone) = 0;
  /// The time, by the loop's clock, at which traffic between the process and servers was last dropped.
  [[nodiscard]] virtual Span lastLossAt(std::uint32_t balancer) const = 0;
  /// Operations on the processes of the run.
  struct ProcessControl {
    std::function<void(std::uint32_t balancer)> start;
    std::function<void(std::uint32_t balancer, int signal)> signal;
  };
  /// All processes are up; queries start now.
  virtual void begin(ProcessControl processControl) = 0;
  /// The companion's result, stored under "beside" in the result of the run.
  [[nodiscard]] virtual Json finish() = 0;
};

struct SocketPlan {
  std::uint64_t seed = 1;
  std::string program;  // path of the rackroute executable
  std::function<void(double done)> progress;
  std::function<std::unique_ptr<Companion>(sidecar::Loop&)> companion;
};

/// Throws BadScenario on troubles that loopback cannot emulate (silent machines or zones) and on too many
/// processes, and std::runtime_error if the processes do not start.
Result runSockets(const Scenario& scenario, const SocketPlan& plan);

}  // namespace rackroute::lab
