#pragma once

// Validates JSON texts against the built-in schemas. Fields that a schema doesn't restrict are accepted.

#include <string_view>

#include "mesh/configuration/error.hpp"

namespace rackroute::mesh {

enum class Schema { settings, change };

/// Success, or the position of the first syntax error, of a value that is nested too deeply, or of a schema
/// violation.
Result<void> validateJson(Schema schema, std::string_view text);
/// The same without a schema: whether the text is JSON whose values are not nested too deeply.
Result<void> validateNesting(std::string_view text);

}  // namespace rackroute::mesh
