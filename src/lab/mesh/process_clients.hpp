#pragma once

// The clients of a mesh of real processes: Poisson arrivals, retries after failures, and repeated requests
// after successes. Every byte of a response is compared with the execution that it must come from.

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>

#include "lab/mesh/process_context.hpp"
#include "lab/mesh/process_servers.hpp"
#include "lab/random.hpp"

namespace rackroute::lab::mesh {

class ProcessClients {
 public:
  /// What was last done to the process on a machine.
  struct Interventions {
    Span disturbedAt{};  // killed, or the end of a freeze
    Span stoppedAt{};    // the first stop signal to a process
  };
  using InterventionsOf = std::function<Interventions(std::uint32_t machine)>;
  ProcessClients(ProcessContext& context, const ProcessServers& servers, RandomEngine& arrivalRng,
                 RandomEngine& rng, InterventionsOf interventionsOf)
      : context_(context),
        servers_(servers),
        arrivalRng_(arrivalRng),
        rng_(rng),
        interventionsOf_(std::move(interventionsOf)) {}

  /// Schedules the next arrival and sends one request, until the end of the run.
  void scheduleArrival();
  /// Excludes a machine whose process is shutting down from new requests.
  void excludeMachine(std::uint32_t machine) { excluded_.insert(machine); }
  void includeMachine(std::uint32_t machine) { excluded_.erase(machine); }
  /// Number of keyed requests in flight, at one machine or at all.
  [[nodiscard]] std::uint64_t keyedInFlight(std::optional<std::uint32_t> machine) const;
  /// The service on the machine to which the attempt was sent; -1 for an unknown attempt.
  [[nodiscard]] int callerOf(std::uint64_t attempt) const;

 private:
  struct InFlight {
    std::uint32_t machine = 0;
    bool keyed = false;
  };
  void sendRequest(std::uint32_t machine, const LoadRequest& wanted);
  void handleResponse(std::uint32_t machine, const LoadRequest& wanted, std::uint64_t attempt,
                      const std::shared_ptr<const http::Message>& response);
  void checkConnectionEnd(std::uint32_t machine, std::uint64_t attempt, Span sentAt,
                          rackroute::mesh::RequestOutcome outcome);
  void checkResponse(const LoadRequest& wanted, std::uint64_t attempt, const http::Message& response);
  void maybeRepeat(const LoadRequest& wanted);
  [[nodiscard]] std::uint32_t anySidecar() {
    return context_.machines.sidecarMachine(
        static_cast<std::uint32_t>(uniform01(rng_) * context_.day.sidecars));
  }

  ProcessContext& context_;
  const ProcessServers& servers_;
  RandomEngine& arrivalRng_;
  RandomEngine& rng_;
  InterventionsOf interventionsOf_;
  std::map<std::uint64_t, InFlight> inFlight_;        // by attempt
  std::map<std::uint64_t, std::uint32_t> machineOf_;  // by attempt
  std::set<std::uint32_t> excluded_;
  std::uint64_t attempts_ = 0;
  std::uint64_t keys_ = 0;
  std::uint32_t loggedRequests_ = 0;
};

}  // namespace rackroute::lab::mesh
