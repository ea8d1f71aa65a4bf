#pragma once

// The calls of the server here, read: its beats.

#include <string>
#include <string_view>

#include "mesh/admission/admission.hpp"
#include "mesh/configuration/error.hpp"

namespace rackroute::mesh {

/// The body of a beat, of the server with that id. An error names what can't be read of it.
Result<ServerHeartbeat> readBeat(std::string_view id, std::string_view body);

}  // namespace rackroute::mesh
