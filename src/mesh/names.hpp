#pragma once

// The mesh's kinds of id and what its parts say to each other about. It decides nothing.

#include <cstdint>
#include <string>

#include "rackroute/types.hpp"

namespace rackroute::mesh {

using NodeName = Id<struct NodeTag, std::string>;            // a machine's process, as its settings name it
using ServiceName = Id<struct ServiceTag, std::string>;      // a service, called target on the wire
using InstanceId = Id<struct InstanceTag, std::string>;      // one life of one server
using Address = Id<struct AddressTag, std::string>;          // ip:port
using LifeNo = Id<struct LifeTag, std::uint64_t>;            // one life of one process of the mesh
using Generation = Id<struct GenerationTag, std::uint64_t>;  // the version of one item
using ClaimNo = Id<struct ClaimTag, std::uint64_t>;          // counts the claims of one life

/// Who holds an operation's key: one claim of one life of one data-plane process.
struct Holder {
  Address at;  // where that process takes requests from others of the mesh
  LifeNo life;
  ClaimNo no;
  auto operator<=>(const Holder&) const = default;
};

/// One server as its own machine's process tells of it.
struct Served {
  InstanceId id;
  ServiceName service;
  Address at;  // of the process beside it, which takes requests for it
  NodeName node;
  std::string zone;
  LifeNo life;                 // of that process
  std::uint64_t seq = 0;       // rises with every word about the server within that life
  std::uint32_t capacity = 1;  // requests at once
  bool draining = false;       // it said so
  bool gone = false;           // it signed off
  bool replaced = false;       // another server is at its address: it ended without a word
  bool leaving = false;        // not the server, but that process, in that life
  Span coldLeft{};
  bool operator==(const Served&) const = default;
};

}  // namespace rackroute::mesh
