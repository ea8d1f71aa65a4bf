#pragma once

// Renders result files as one self-contained HTML page: tables and SVG charts, without scripts or external
// resources.

#include <string>
#include <vector>

#include "lab/run_statistics.hpp"

namespace rackroute::lab {

/// Accepts results of runs, comparisons and sweeps, in the given order. Throws std::runtime_error on anything
/// else.
std::string reportHtml(const std::vector<Json>& results);

}  // namespace rackroute::lab
