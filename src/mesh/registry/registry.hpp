#pragma once

// Membership and servers as one control process knows them, from its own sessions with sidecars and from the
// reports of other control processes. Holds this state only; performs no I/O.

#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <vector>

#include "mesh/registry/registry_messages.hpp"

namespace rackroute::mesh {

class Registry {
 public:
  /// Records whether the node's sidecar has a session with this process. True if the node's overall
  /// connectedness changed.
  bool setLocalSession(Span now, const NodeName& node, bool open);
  /// Records whether the node's sidecar has a session with another control process, as that one reports.
  bool setReportedSession(Span now, const Address& reporter, const NodeName& node, bool open);
  /// Drops all sessions that this control process reported, after the connection to it was lost. Returns the
  /// nodes that are no longer connected.
  std::vector<NodeName> removeReporter(Span now, const Address& reporter);
  /// Merges a server's record. Returns all servers whose records changed: this one, and those reported by an
  /// earlier run of the same sidecar. A machine runs one server at a time, so these have ended.
  std::vector<ServerRecord> update(const ServerRecord& served);
  /// Whether the node's sidecar has a session with any control process.
  [[nodiscard]] bool connected(const NodeName& node) const;
  /// Nodes whose sidecars have a session with this process.
  [[nodiscard]] std::vector<NodeName> localNodes() const;
  /// The highest life number among the sidecars that reported the node's known servers; 0: none is known.
  [[nodiscard]] LifeNo highestLife(const NodeName& node) const;
  [[nodiscard]] std::vector<ServerStatus> serversOf(const ServiceName& service) const;
  [[nodiscard]] std::vector<ServerStatus> serversOn(const NodeName& node) const;
  /// Number of nodes that are connected or were until recently.
  [[nodiscard]] std::size_t members(Span now) const;
  /// Removes servers that drain or have ended, and long-disconnected nodes, after their retention periods.
  /// Returns the removed servers that had announced their departure.
  std::vector<InstanceId> sweep(Span now);

 private:
  struct Member {
    bool local = false;
    std::set<Address> reporters;
    Span lastChanged{};
  };
  void replaceEarlier(const ServerRecord& served, std::vector<ServerRecord>& changed);
  [[nodiscard]] bool isConnected(const Member& member) const {
    return member.local || !member.reporters.empty();
  }
  std::map<NodeName, Member> members_;
  std::map<InstanceId, ServerRecord> servers_;
  std::map<InstanceId, Span> departedSince_;  // servers that drain, signed off or were replaced
};

}  // namespace rackroute::mesh
