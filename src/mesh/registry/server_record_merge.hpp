#pragma once

// The rule for merging two records of one server, applied wherever servers are tracked.

#include <utility>

#include "mesh/names.hpp"

namespace rackroute::mesh {

/// The record with the later (life, sequence number) wins. The server's own announcements, draining and gone,
/// are sticky whatever the order of the updates, because an instance id denotes a single run of a server.
/// `replaced` is inferred by the sidecar when another server appears at the address, and a later record
/// withdraws it.
/// Returns whether `current` has changed.
inline bool mergeServerRecord(ServerRecord& current, const ServerRecord& update) {
  const std::pair updateVersion{update.life, update.seq};
  const std::pair currentVersion{current.life, current.seq};
  const bool draining = current.draining || update.draining;
  const bool gone = current.gone || update.gone;
  const bool replaced = updateVersion == currentVersion && update.replaced && !current.replaced;
  const bool newer = updateVersion > currentVersion;
  const bool changed = newer || replaced || draining != current.draining || gone != current.gone;
  if (newer) current = update;
  current.draining = draining;
  current.gone = gone;
  current.replaced = current.replaced || replaced;
  return changed;
}

}  // namespace rackroute::mesh
