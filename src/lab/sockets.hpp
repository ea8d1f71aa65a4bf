#pragma once

// One run on sockets: a real rackroute process for each balancer, with clients, servers and discovery as
// stand-ins on loopback in this one thread. It owns the processes and ends them by id; it binds loopback
// addresses only. The same scenario, draws, server model and judge as in virtual time.

#include <functional>
#include <string>

#include "lab/scenario.hpp"
#include "lab/tally.hpp"

namespace rackroute::lab {

struct SocketPlan {
  std::uint64_t seed = 1;
  std::string program;  // the rackroute to start
  std::function<void(double done)> progress;
};

/// Throws BadScenario on troubles that loopback can't play (machines or zones that fall silent), or on more
/// processes than one machine should hold, and std::runtime_error if the processes do not come up.
Result playSockets(const Scenario& scenario, const SocketPlan& plan);

}  // namespace rackroute::lab
