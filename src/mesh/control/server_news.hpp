#pragma once

// What this process knows of servers and sidecars, and who is told of changes: sidecars that follow a
// service, and the other control processes, which hear of sessions here. It owns that knowledge and the
// subscriptions; it takes inputs and returns what to send, with no I/O and no clock.

#include <map>
#include <set>
#include <vector>

#include "mesh/control/control_action.hpp"
#include "mesh/registry/registry.hpp"

namespace rackroute::mesh {

class ServerNews {
 public:
  /// What is to be sent after an input.
  struct Out {
    /// Each update with all that get it, so that it is encoded once.
    std::vector<std::pair<ServersUpdate, std::vector<SessionNo>>> followers;
    RegistryUpdate controls;  // to all other control processes; empty: nothing
  };

  void sidecarCame(Span now, const NodeName& node, Out& out);
  void sidecarLeft(Span now, SessionNo session, const NodeName& node, Out& out);
  /// A sidecar tells of its server.
  void told(const ServersUpdate& update, Out& out);
  void follow(SessionNo session, const Subscribe& follow, Out& out);
  /// Another control process tells of its sidecars and of servers.
  void told(Span now, const Address& teller, const RegistryUpdate& update, Out& out);
  void tellerLost(Span now, const Address& teller, Out& out);
  /// All that is heard here, for a control process that has just come up.
  [[nodiscard]] RegistryUpdate all() const;
  /// A server whose leaving the disk tells of.
  void restore(const Served& served) { registry_.told(served); }
  /// Forgets what is old. Returns servers whose leaving was known.
  std::vector<InstanceId> sweep(Span now) { return registry_.sweep(now); }
  [[nodiscard]] std::size_t members(Span now) const { return registry_.members(now); }
  [[nodiscard]] LifeNo highestLife(const NodeName& node) const { return registry_.highestLife(node); }
  [[nodiscard]] bool follows(SessionNo session) const { return follows_.count(session) > 0; }

 private:
  void tellFollowers(const std::vector<News>& news, Out& out) const;

  Registry registry_;
  std::map<SessionNo, std::set<ServiceName>> follows_;
};

}  // namespace rackroute::mesh
