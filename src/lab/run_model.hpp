#pragma once

// The parts that virtual runs and socket runs share: simulated servers with their active troubles, the retry
// policy of clients, the effects of troubles, and the server lists that each balancer received. No clock and
// no I/O.

#include <functional>
#include <map>
#include <optional>
#include <utility>
#include <vector>

#include "lab/audit.hpp"
#include "lab/fleet.hpp"
#include "lab/registry_model.hpp"
#include "lab/run_statistics.hpp"
#include "lab/server_model.hpp"

namespace rackroute::lab {

/// Cost of a query that fails with an error, relative to its work.
inline constexpr double kErrorWorkShare = 0.05;

struct SimulatedServer {
  explicit SimulatedServer(const FleetServer& server) : spec(server), model(server.traits) {}

  FleetServer spec;
  ServerModel model;
  double errorShare = 0;  // share of queries that fail with an error
  std::optional<std::uint32_t> errorUseCase;
  double resetShare = 0;     // share of queries answered by a connection reset
  double truncateShare = 0;  // share of truncated answers
  double malformShare = 0;   // share of malformed answers
};

/// The deduplication stores of all server groups.
class DedupGroups {
 public:
  /// The job that an execution of the request at the server runs.
  Job makeJob(const Scenario& scenario, const ClientRequest& request, const FleetServer& server,
              std::uint64_t id);

 private:
  std::map<std::pair<DedupScope, std::int64_t>, DedupStore> dedupGroups_;
};

/// The next step of a client: retry after a delay, or finish with a fate.
struct ClientAction {
  std::optional<Span> retryDelay;
  Fate fate = Fate::failed;
};

/// After an answer; attemptNo includes the answered attempt.
ClientAction afterAnswer(const Scenario& scenario, const ClientRequest& request, std::uint32_t attemptNo,
                         Answer how, Span advice, Span now);
/// After an attempt timed out without an answer.
ClientAction afterTimeout(const Scenario& scenario, const ClientRequest& request, std::uint32_t attemptNo,
                          Span now);

/// Tracks the servers that each balancer knows as serving, and passes changes on to the audit.
class BalancerViews {
 public:
  BalancerViews(const Scenario& scenario, const std::vector<FleetServer>& fleet, Audit& audit)
      : scenario_(scenario), fleet_(fleet), audit_(audit) {
    serving_.assign(scenario.balancers, std::vector<bool>(fleet.size()));
  }
  void update(Span now, std::uint32_t balancer, bool snapshot, const std::vector<RegistryEntry>& entries);

 private:
  const Scenario& scenario_;
  const std::vector<FleetServer> fleet_;
  Audit& audit_;
  std::vector<std::vector<bool>> serving_;
};

/// The operations of a run that troubles use.
class FaultTarget {
 public:
  FaultTarget() = default;
  FaultTarget(const FaultTarget&) = delete;
  FaultTarget& operator=(const FaultTarget&) = delete;
  virtual ~FaultTarget() = default;

  virtual Span now() const = 0;
  virtual void runAfter(Span wait, std::function<void()> task) = 0;
  virtual SimulatedServer& simulatedServer(std::size_t server) = 0;
  virtual void reschedule(std::size_t server) = 0;  // the next completion may have changed
  virtual void stopServer(std::size_t server, bool vanish) = 0;
  virtual void startServer(std::size_t server) = 0;
  virtual void lifecycleChanged(std::size_t server,
                                Lifecycle lifecycle) = 0;  // published to discovery with its delay
  virtual void partitionZone(std::optional<std::uint32_t> zone) = 0;
  virtual void watchLost(std::uint32_t balancer) = 0;
  virtual void sendSnapshot(std::uint32_t balancer) = 0;
};

/// Starts or ends a trouble that affects the given servers.
void applyTrouble(const Trouble& trouble, bool begins, const std::vector<std::size_t>& affected,
                  std::size_t servers, RegistryModel& registry, FaultTarget& run);

}  // namespace rackroute::lab
