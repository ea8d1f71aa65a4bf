#pragma once

// One self-contained HTML page of result files: tables and pictures as SVG, no script, nothing loaded. It
// owns the form only; the figures are the files'.

#include <string>
#include <vector>

#include "lab/tally.hpp"

namespace rackroute::lab {

/// Of runs, comparisons and sweeps, in the order given. Throws std::runtime_error on what is none of them.
std::string reportHtml(const std::vector<Json>& results);

}  // namespace rackroute::lab
