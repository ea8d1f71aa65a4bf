#pragma once

// Parses and validates the "fleet" section of the configuration. No I/O.

#include <Poco/Dynamic/Var.h>

#include <cstddef>
#include <cstdint>
#include <string>
#include <vector>

#include "fleet/membership.hpp"

namespace rackroute::sidecar {

struct FleetConfig {
  std::string name;               // messages of other fleets are rejected
  fleet::MemberInfo self;         // this member, with its advertised address
  std::string listen;             // local address for listening and sending
  std::vector<std::string> join;  // initial contacts
  fleet::MembershipConfig membership;
  std::size_t maxBytesPerSecond = 0;  // mean send rate

  bool operator==(const FleetConfig& other) const;
};

/// Throws std::runtime_error naming the key that is missing, unknown or out of range.
[[nodiscard]] FleetConfig readFleetConfig(const Poco::Dynamic::Var& json, const std::string& member,
                                          const std::string& zone);

}  // namespace rackroute::sidecar
