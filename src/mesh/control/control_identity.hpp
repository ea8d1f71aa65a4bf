#pragma once

// Who this control process is, as its disk has it: the incarnation of the disk, whether it was there when the
// system was founded, and whether what it must have read as a voter has been read. It decides nothing.

#include <optional>
#include <string>

#include "mesh/configuration/error.hpp"
#include "mesh/control/effects.hpp"
#include "mesh/control/voter_set.hpp"

namespace rackroute::mesh {

/// Sorts before all other keys, so that it is read first.
inline constexpr const char* kIdentityKey = "!identity";
/// The mark of the format before epochs, which stands on disks that had lost nothing.
inline constexpr const char* kOldMarkKey = "c";

struct ControlIdentity {
  Incarnation incarnation;
  bool founder = false;     // may agree on the first set of voters
  bool holdsState = false;  // nothing that it promised is lost, and it has read what it had to as a voter
  Epoch stateEpoch;         // of the latest set for which it has
};

StoreEntry entryOf(const ControlIdentity& identity);
/// The error says what is wrong with the entry; the disk is then as good as lost.
Result<ControlIdentity> identityFrom(const std::string& value);

}  // namespace rackroute::mesh
