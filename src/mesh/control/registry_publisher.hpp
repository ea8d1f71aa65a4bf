#pragma once

// Keeps the registry of servers and sidecars and determines who is notified of its changes: sidecars that
// follow a service, and the other control processes. Takes inputs and returns the updates to send; performs
// no I/O and reads no clock.

#include <map>
#include <set>
#include <vector>

#include "mesh/control/control_action.hpp"
#include "mesh/registry/registry.hpp"

namespace rackroute::mesh {

class RegistryPublisher {
 public:
  /// The updates to send after an input.
  struct Updates {
    /// Each update with all its recipients, so that it is encoded once.
    std::vector<std::pair<ServersUpdate, std::vector<SessionNo>>> followers;
    RegistryUpdate controls;  // for all other control processes; nothing is sent if it is empty
  };

  void sidecarConnected(Span now, const NodeName& node, Updates& updates);
  void sidecarDisconnected(Span now, SessionNo session, const NodeName& node, Updates& updates);
  /// Applies a sidecar's update of its servers.
  void serversReported(const ServersUpdate& update, Updates& updates);
  /// Replaces the set of services that the session follows.
  void follow(SessionNo session, const Subscribe& follow, Updates& updates);
  /// Applies another control process's update of its sidecars and their servers.
  void registryReported(Span now, const Address& reporter, const RegistryUpdate& update, Updates& updates);
  void reporterLost(Span now, const Address& reporter, Updates& updates);
  /// The sidecars connected to this process and their servers, for a control process that has just connected.
  [[nodiscard]] RegistryUpdate localState() const;
  /// The servers on that node that drain or have signed off.
  [[nodiscard]] ServersUpdate departuresOn(const NodeName& node) const;
  /// Restores a server whose departure is recorded on disk.
  void restore(const ServerRecord& served) { registry_.update(served); }
  /// Removes expired entries. Returns the removed servers that had announced their departure.
  std::vector<InstanceId> sweep(Span now) { return registry_.sweep(now); }
  [[nodiscard]] std::size_t members(Span now) const { return registry_.members(now); }
  [[nodiscard]] LifeNo highestLife(const NodeName& node) const { return registry_.highestLife(node); }
  [[nodiscard]] bool follows(SessionNo session) const { return follows_.count(session) > 0; }

 private:
  void notifyFollowers(const std::vector<ServerStatus>& changed, Updates& updates) const;

  Registry registry_;
  std::map<SessionNo, std::set<ServiceName>> follows_;
};

}  // namespace rackroute::mesh
