#pragma once

// One run in virtual time: clients, balancers, network, servers and discovery on one timeline, any policy. It
// owns the state of the run; the same scenario, policy and seed give the same result to the byte. Clients,
// their queries and the troubles are drawn apart from all else, so that every policy meets the same.

#include <functional>
#include <memory>
#include <ostream>

#include "lab/audit.hpp"
#include "lab/contender.hpp"
#include "lab/scenario.hpp"
#include "lab/tally.hpp"

namespace rackroute::lab {

/// Makes what decides; tests put broken ones in.
using MakeContender =
    std::function<std::unique_ptr<Contender>(const BalancerConfig&, BalancerHost&, const TrueWait&)>;

struct RunPlan {
  std::uint64_t seed = 1;
  std::string policy = "module";
  MakeContender make;                         // by the policy's name if empty
  std::ostream* executions = nullptr;         // the execution log, a line each
  std::function<void(double done)> progress;  // now and then, with the part done
};

/// The figures that a scenario's rules go by.
Measures measuresOf(const Scenario& scenario);

Result playVirtual(const Scenario& scenario, const RunPlan& plan);

}  // namespace rackroute::lab
