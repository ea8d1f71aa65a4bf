#pragma once

// Requests under way, for the log lines of a process that exits.

#include <chrono>
#include <cstddef>
#include <nlohmann/json.hpp>
#include <string>
#include <vector>

#include "rackroute/types.hpp"

namespace rackroute::mesh {

/// A client's request, or an execution at the local server.
struct OpenWork {
  std::string route;
  std::string at;  // the process or server that works on it; empty: none yet
  Span age{};      // since it was received (a request) or started (an execution)
  Span left{};     // until its deadline
};

/// Describes the first `most` entries as a JSON array.
inline nlohmann::json describe(const std::vector<OpenWork>& open, std::size_t most) {
  using std::chrono::milliseconds;
  nlohmann::json described = nlohmann::json::array();
  for (const OpenWork& work : open) {
    if (described.size() == most) break;
    described.push_back({{"route", work.route},
                         {"at", work.at},
                         {"age_ms", work.age / milliseconds(1)},
                         {"left_ms", work.left / milliseconds(1)}});
  }
  return described;
}

}  // namespace rackroute::mesh
