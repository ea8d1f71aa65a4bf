#pragma once

// Builds the JSON of a route, as an operator sends it.

#include <cstdint>
#include <nlohmann/json.hpp>
#include <string>

namespace rackroute::mesh::test {

inline nlohmann::json routeValue(const std::string& name, std::uint64_t version, const std::string& timeout) {
  return {{"name", name},
          {"path_prefix", "/" + name + "/"},
          {"route_kind", "pure"},
          {"timeout", timeout},
          {"target_time", "200ms"},
          {"priority", 1},
          {"target", "desk"},
          {"max_attempts", 2},
          {"generation", "r" + std::to_string(version)}};
}

}  // namespace rackroute::mesh::test
