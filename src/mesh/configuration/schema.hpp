#pragma once

// Checks a text against one of the schemas. It owns the compiled schemas and must never let through what the
// schema forbids, nor stop at anything that it does not name.

#include <string_view>

#include "mesh/configuration/error.hpp"

namespace rackroute::mesh {

enum class Shape { settings, change };

/// Nothing, or the first place where the text leaves its shape. A text that ends early is no JSON.
Result<void> checkShape(Shape shape, std::string_view text);

}  // namespace rackroute::mesh
