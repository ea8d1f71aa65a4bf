#pragma once

// The servers that one process may send requests to, and the choice of the next one: outlier ejection with
// probes, a cap on the ejected share, in-flight limits and weighted random selection. Performs no I/O and
// reads no clock; randomness comes from a seed. A server that drains, has signed off or is ejected must not
// be picked, and a server is not removed merely because an update does not list it.

#include <cstdint>
#include <map>
#include <optional>
#include <random>
#include <set>
#include <vector>

#include "mesh/names.hpp"

namespace rackroute::mesh {

/// Result of a request execution as far as its server's health is concerned.
enum class ServerOutcome {
  succeeded,      // the server answered successfully
  serverError,    // the server answered with an error
  failed,         // connection reset, timeout or malformed response at the server, as its sidecar reports
  unreachable,    // the server's sidecar could not be reached, or the connection broke
  atCapacity,     // rejected for lack of a free slot; no evidence about the server's health
  draining,       // rejected because the server drains
  unknownServer,  // the sidecar knows no such server
  noQuorum,       // the sidecar reaches no quorum of voters and cannot run keyed requests
};

/// A server's load as its sidecar reports it with a response.
struct Load {
  std::uint32_t busy = 0;
  std::uint32_t queued = 0;
};

struct PickedServer {
  InstanceId id;
  Address at;
  LifeNo life;  // of the sidecar at that address
};

class ServerPool {
 public:
  ServerPool(std::string ownZone, NodeName self, std::uint64_t seed);

  /// Adds or updates a server. connected: whether its sidecar has a session with the control plane.
  void update(Span now, const ServerRecord& server, bool connected);
  /// Picks one of the service's servers that is not excluded. None: no server is eligible.
  std::optional<PickedServer> pick(Span now, const ServiceName& service, bool keyed,
                                   const std::set<InstanceId>& excluded);
  void recordOutcome(Span now, const InstanceId& id, ServerOutcome outcome, const std::optional<Load>& load);
  /// Number of the service's servers that neither drain nor have ended, including ejected ones.
  [[nodiscard]] std::size_t countUsable(const ServiceName& service) const;
  /// Number of the service's servers that are ejected and whose probe is not due.
  [[nodiscard]] std::size_t countEjected(Span now, const ServiceName& service) const;
  /// Removes servers that signed off or were replaced, and those disconnected for too long.
  void sweep(Span now);

 private:
  struct Server {
    ServerRecord record;
    bool connected = true;
    Span connectionChangedAt{};
    Span coldUntil{};
    double weight = 1;
    std::uint32_t failuresInRow = 0;
    bool ejected = false;  // until a probe succeeds
    Span probeAt{};
    bool probing = false;
    Span noQuorumUntil{};
    Span unknownUntil{};         // its sidecar reported that it does not know the server
    std::uint32_t inFlight = 0;  // requests from this process
    Load load{};
    std::uint32_t inFlightAtLoad = 0;  // inFlight when the load was reported
    bool reportedDraining = false;     // its sidecar rejected a request because the server drains
  };
  using Group = std::map<InstanceId, Server>;
  [[nodiscard]] static bool usable(const Server& server) {
    const ServerRecord& record = server.record;
    return !record.draining && !record.gone && !record.replaced && !record.leaving &&
           !server.reportedDraining;
  }
  /// Usable, and not recently reported as unknown by its sidecar.
  [[nodiscard]] static bool known(Span now, const Server& server) {
    return usable(server) && server.unknownUntil <= now;
  }
  [[nodiscard]] static double slotsOf(const Server& server);
  [[nodiscard]] static double freeSlotsOf(const Server& server);
  [[nodiscard]] double otherZoneFactor(Span now, const Group& group) const;
  [[nodiscard]] double selectionWeight(Span now, const Server& server, double otherZones) const;
  void recordFailure(Span now, Server& server, Group& group);
  Server* find(const InstanceId& id, Group** group);
  void checkInvariants(const Group& group) const;

  std::string ownZone_;
  NodeName self_;
  std::mt19937_64 random_;
  std::map<ServiceName, Group> groups_;
  std::map<InstanceId, ServiceName> serviceOf_;
};

}  // namespace rackroute::mesh
