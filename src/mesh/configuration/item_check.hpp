#pragma once

// Whether an item that came from another process or from the disk may be put into force: what the parts that
// use its value rely on. Changes of operators are checked more strictly, with the rule that is broken; see
// readChange.

#include <nlohmann/json.hpp>
#include <string>

#include "mesh/configuration/items.hpp"

namespace rackroute::mesh {

/// What is wrong with the value of an item that stands; empty: nothing.
std::string faultOf(ItemKind kind, const nlohmann::json& value);

}  // namespace rackroute::mesh
