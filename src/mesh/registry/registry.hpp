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
  /// Takes it if it is newer than what is known of that server.
  bool told(const Served& served);
  [[nodiscard]] bool heard(const NodeName& node) const;
  [[nodiscard]] std::vector<NodeName> here() const;
  /// Of all servers known on that node, the highest life of the process that told of them; 0: none is known.
  [[nodiscard]] LifeNo highestLife(const NodeName& node) const;
  [[nodiscard]] std::vector<News> of(const ServiceName& service) const;
  [[nodiscard]] std::vector<News> on(const NodeName& node) const;
  /// Members that are heard, or were a short while ago.
  [[nodiscard]] std::size_t members(Span now) const;
  /// Forgets servers that signed off and members long silent.
  void sweep(Span now);

 private:
  struct Member {
    bool here = false;
    std::set<Address> tellers;
    Span lastHeard{};
  };
  [[nodiscard]] bool isHeard(const Member& member) const { return member.here || !member.tellers.empty(); }
  std::map<NodeName, Member> members_;
  std::map<InstanceId, Served> servers_;
  std::map<InstanceId, Span> goneSince_;
};

}  // namespace rackroute::mesh
