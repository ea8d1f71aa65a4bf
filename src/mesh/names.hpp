#pragma once

// Identifier types and the records that the mesh processes exchange. Contains no logic.

#include <cstdint>
#include <string>

#include "rackroute/types.hpp"

namespace rackroute::mesh {

using NodeName = Id<struct NodeTag, std::string>;            // a machine's sidecar, named in its settings
using ServiceName = Id<struct ServiceTag, std::string>;      // a service, called target on the wire
using InstanceId = Id<struct InstanceTag, std::string>;      // one run of one server, from start to exit
using Address = Id<struct AddressTag, std::string>;          // ip:port
using LifeNo = Id<struct LifeTag, std::uint64_t>;            // a run of a mesh process; later runs are higher
using Generation = Id<struct GenerationTag, std::uint64_t>;  // the version of one configuration item
using ClaimNo = Id<struct ClaimTag, std::uint64_t>;          // numbers the claims of one run

/// The owner of an operation's key: one claim by one run of a sidecar.
struct Holder {
  Address at;  // where that sidecar accepts requests from other mesh processes
  LifeNo life;
  ClaimNo no;
  auto operator<=>(const Holder&) const = default;
};

/// The state of one server as reported by the sidecar on its machine.
struct ServerRecord {
  InstanceId id;
  ServiceName service;
  Address at;  // of the sidecar, which accepts requests for the server
  NodeName node;
  std::string zone;
  LifeNo life;                 // the run of the sidecar
  std::uint64_t seq = 0;       // increases with each change to the record within that run
  std::uint32_t capacity = 1;  // concurrent requests
  bool draining = false;       // the server announced that it drains
  bool gone = false;           // the server deregistered
  bool replaced = false;       // superseded by another server of the sidecar, without having deregistered
  bool leaving = false;        // the sidecar, in that run, is shutting down
  Span coldLeft{};             // remaining warm-up time
  bool operator==(const ServerRecord&) const = default;
};

}  // namespace rackroute::mesh
