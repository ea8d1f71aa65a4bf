#pragma once

// Validates items from other processes and from disk before they take effect: everything that the users of an
// item's value rely on. Changes from operators are checked more strictly; see parseChange.

#include <cstddef>
#include <nlohmann/json.hpp>
#include <string>

#include "mesh/configuration/items.hpp"

namespace rackroute::mesh {

/// Maximum depth of arrays and objects in the value of an item. The JSON library copies and serializes
/// recursively, so a deeper value could exhaust the stack.
inline constexpr std::size_t kMaxNesting = 256;

/// Describes the first error in the value of an item that is not dropped; empty if the value is valid.
std::string validateItem(ItemKind kind, const nlohmann::json& value);

}  // namespace rackroute::mesh
