#pragma once

// Checks the log of a sidecar for stops that cut off requests which the process should have completed.

#include <istream>
#include <string>
#include <vector>

#include "rackroute/types.hpp"

namespace rackroute::lab::mesh {

/// Describes each request and execution that an exit cut off although the process had accepted it after its
/// stop signal, or exited earlier than its grace period requires. log: JSON lines of one sidecar.
std::vector<std::string> findRequestsCutByStops(std::istream& log, Span grace);

}  // namespace rackroute::lab::mesh
