#pragma once

// How two words about one server go together, wherever servers are known. It decides nothing else.

#include <utility>

#include "mesh/names.hpp"

namespace rackroute::mesh {

/// The later word of the later process counts. What the server itself said of its leaving stands, whichever
/// process tells of it and in whatever order, as an id is that of one life of one server. That another server
/// stands at its address is a guess of its sidecar, which a later word takes back.
/// Returns whether `held` has changed.
inline bool mergeNews(Served& held, const Served& told) {
  const std::pair toldAt{told.life, told.seq};
  const std::pair heldAt{held.life, held.seq};
  const bool draining = held.draining || told.draining;
  const bool gone = held.gone || told.gone;
  const bool replaced = toldAt == heldAt && told.replaced && !held.replaced;
  const bool newer = toldAt > heldAt;
  const bool changed = newer || replaced || draining != held.draining || gone != held.gone;
  if (newer) held = told;
  held.draining = draining;
  held.gone = gone;
  held.replaced = held.replaced || replaced;
  return changed;
}

}  // namespace rackroute::mesh
