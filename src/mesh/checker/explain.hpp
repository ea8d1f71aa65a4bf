#pragma once

// Explains configurations to operators: issues, the effects of a change, and the route that a request takes.
// Uses the same schema and code as the daemons; no I/O.

#include <string>
#include <string_view>
#include <vector>

#include "mesh/configuration/error.hpp"
#include "mesh/configuration/items.hpp"

namespace rackroute::mesh {

/// Parses a change, or all items as GET /rackroute/config returns them.
Result<std::vector<Item>> parseConfiguration(std::string_view text);

enum class Severity { info, warning, error };

struct Finding {
  Severity severity = Severity::info;
  std::string item;
  std::string what;
};

/// Errors and questionable settings in a configuration.
std::vector<Finding> findIssues(const Items& items);
/// The effects of a change on the configuration in force.
std::vector<Finding> describeChange(const Items& inForce, const std::vector<Item>& change);
/// The routes that were considered for a request; the last line names the selected one, or states that
/// there is none.
std::vector<std::string> explainRoute(const Items& items, std::string_view host, std::string_view path,
                                      bool& found);

}  // namespace rackroute::mesh
