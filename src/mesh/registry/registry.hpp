#pragma once

// Who is a member and which servers there are, as one control process knows it: from sessions that stand with
// it and from what other control processes tell of theirs. It owns that knowledge and decides nothing else.

#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <vector>

#include "mesh/registry/registry_messages.hpp"

namespace rackroute::mesh {

class Registry {
 public:
  /// A member's session with this process stands, or no longer does. True if whether it is heard at all
  /// changed.
  bool heardHere(Span now, const NodeName& node, bool heard);
  /// Another control process tells of one of its sessions.
  bool heardThere(Span now, const Address& teller, const NodeName& node, bool heard);
  /// That one is itself no longer heard: what it told of its sessions no longer counts.
  std::vector<NodeName> forgetTeller(Span now, const Address& teller);
  /// Takes what is new of it. Returns all servers of which something else is known now: that one, and those
  /// that an earlier life of its sidecar told of. A machine has one server at a time, so they have ended.
  std::vector<Served> told(const Served& served);
  [[nodiscard]] bool heard(const NodeName& node) const;
  [[nodiscard]] std::vector<NodeName> here() const;
  /// Of all servers known on that node, the highest life of the process that told of them; 0: none is known.
  [[nodiscard]] LifeNo highestLife(const NodeName& node) const;
  [[nodiscard]] std::vector<News> of(const ServiceName& service) const;
  [[nodiscard]] std::vector<News> on(const NodeName& node) const;
  /// Members that are heard, or were a short while ago.
  [[nodiscard]] std::size_t members(Span now) const;
  /// Forgets servers that leave or have ended, after a while, and members long silent. Returns those of them
  /// that had said that they leave.
  std::vector<InstanceId> sweep(Span now);

 private:
  struct Member {
    bool here = false;
    std::set<Address> tellers;
    Span lastHeard{};
  };
  void replaceEarlier(const Served& served, std::vector<Served>& changed);
  [[nodiscard]] bool isHeard(const Member& member) const { return member.here || !member.tellers.empty(); }
  std::map<NodeName, Member> members_;
  std::map<InstanceId, Served> servers_;
  std::map<InstanceId, Span> departedSince_;  // servers that drain, signed off or were replaced
};

}  // namespace rackroute::mesh
