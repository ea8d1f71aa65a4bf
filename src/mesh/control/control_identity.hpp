#pragma once

// The identity of a control process as its disk records it: the incarnation of the disk, whether the process
// is one of the system's founders, and whether its state as a voter is complete.

#include <optional>
#include <string>

#include "mesh/configuration/error.hpp"
#include "mesh/control/effects.hpp"
#include "mesh/control/voter_set.hpp"

namespace rackroute::mesh {

/// Sorts before all other keys, so that it is read first.
inline constexpr const char* kIdentityKey = "!identity";
/// Present in stores of the format without epochs whose state is complete.
inline constexpr const char* kLegacyMarkKey = "c";

struct ControlIdentity {
  Incarnation incarnation;
  bool founder = false;     // may take part in agreeing on the first set of voters
  bool holdsState = false;  // has lost none of its promises, and has read the state required of a voter
  Epoch stateEpoch;         // the latest set of voters for which holdsState was true
};

StoreEntry entryOf(const ControlIdentity& identity);
/// Parses a stored identity. On an error the disk must be treated as lost.
Result<ControlIdentity> identityFrom(const std::string& value);

}  // namespace rackroute::mesh
