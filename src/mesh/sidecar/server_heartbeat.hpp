#pragma once

// Parses the heartbeat calls of the local server.

#include <string>
#include <string_view>

#include "mesh/admission/admission.hpp"
#include "mesh/configuration/error.hpp"

namespace rackroute::mesh {

/// Parses the heartbeat body of the server with the given ID. The error describes the invalid field.
Result<ServerHeartbeat> parseServerHeartbeat(std::string_view id, std::string_view body);

}  // namespace rackroute::mesh
