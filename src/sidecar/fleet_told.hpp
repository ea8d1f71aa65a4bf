#pragma once

// What the configuration's "fleet" tells, checked as a whole. No I/O.

#include <Poco/Dynamic/Var.h>

#include <cstddef>
#include <cstdint>
#include <string>
#include <vector>

#include "fleet/membership.hpp"

namespace rackroute::sidecar {

struct FleetTold {
  std::string fleet;              // members of another fleet are not listened to
  fleet::MemberInfo self;         // the member, with the address at which others reach it
  std::string listen;             // where it binds, and leaves from
  std::vector<std::string> join;  // whom to ask first
  fleet::MembershipConfig rhythm;
  std::size_t bytesASecond = 0;  // that it sends at most, in the mean

  bool operator==(const FleetTold& other) const;
};

/// Throws std::runtime_error naming the key that is missing, unknown or out of its bounds.
[[nodiscard]] FleetTold readFleet(const Poco::Dynamic::Var& json, const std::string& member,
                                  const std::string& zone);

}  // namespace rackroute::sidecar
