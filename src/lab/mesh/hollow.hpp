#pragma once

/// Measures what the control plane costs at a size that one machine could not bear with whole processes:
/// one process holds hundreds or thousands of sidecars' state machines (mesh::Sidecar) with their real
/// sessions, against real control processes on loopback. There are no application servers and no clients.
/// It judges nothing; it returns figures. Source of the method: Kubernetes' kubemark ("hollow nodes").

#include <cstdint>
#include <functional>
#include <nlohmann/json.hpp>
#include <string>

namespace rackroute::lab::mesh {

struct HollowPlan {
  std::string control;           // the control process's program
  std::uint32_t sidecars = 100;  // 1 to 3,700
  std::uint32_t controls = 4;    // 3 to 12
  std::uint32_t services = 0;    // 0: 220 for 3,700 sidecars, in proportion, at least 2
  std::uint32_t routes = 0;      // 0: two a service
  std::uint32_t threads = 0;     // that the sidecars share; 0: one for each 250 begun, at most 8
  double startOver = 0;          // seconds in which the sidecars start; 0: so long that their threads keep up
  double seconds = 20;           // of the measurement
  double changesEvery = 2;       // seconds from one operator's change to the next
  double newsPerSecond = 0.5;    // servers whose capacity changes, in all
  double claimsPerSecond = 20;   // claims of keys, in all
  bool killAll = true;           // after the measurement: kill all control processes and start them again
  std::uint64_t seed = 1;
  std::string logs{};  // a folder for what the control processes log; empty: nothing is kept
  std::function<void(const std::string&)> tell{};  // progress, a line each
};

/// Blocks until the run is over (at most about 3 minutes beyond plan.startOver and
/// plan.seconds). The result has "ended":
/// "whole", or the reason why the run broke off; figures that were not reached by then are missing. Throws
/// BadScenario for a plan outside its bounds or a program that can't be run.
nlohmann::json playHollow(const HollowPlan& plan);

}  // namespace rackroute::lab::mesh
