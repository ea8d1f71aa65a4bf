#pragma once

// A discrete-event simulation of one scenario in virtual time: clients, balancers, network, servers and
// discovery, with any policy. The same scenario, policy and seed give a byte-identical result. Client
// requests and troubles have their own random streams, so that every policy faces the same ones.

#include <functional>
#include <memory>
#include <ostream>

#include "lab/audit.hpp"
#include "lab/balancing_policy.hpp"
#include "lab/run_statistics.hpp"
#include "lab/scenario.hpp"

namespace rackroute::lab {

/// Creates the policy of one balancer; tests inject faulty ones.
using PolicyFactory =
    std::function<std::unique_ptr<BalancingPolicy>(const BalancerConfig&, BalancerHost&, const WaitOracle&)>;

struct RunPlan {
  std::uint64_t seed = 1;
  std::string policy = "module";
  PolicyFactory make;                         // empty: looked up by the policy's name
  std::ostream* executions = nullptr;         // execution log, one JSON line each; may be null
  std::function<void(double done)> progress;  // called once per virtual second with the completed fraction
};

/// The limits that the audit applies to a scenario.
AuditLimits auditLimitsOf(const Scenario& scenario);

Result runVirtual(const Scenario& scenario, const RunPlan& plan);

}  // namespace rackroute::lab
