#pragma once

// The data-plane program: a single thread that moves requests between local clients, other sidecars and the
// local server as directed by Sidecar. It must not block anywhere but in the poll.

#include <string>

#include "mesh/configuration/settings.hpp"
#include "mesh/sidecar/sidecar.hpp"

namespace rackroute::mesh {

/// Runs until a stop signal and exits the process. settingsFile: reloaded on SIGHUP.
int runSidecar(const Settings& settings, Sidecar::Config config, const std::string& settingsFile);

}  // namespace rackroute::mesh
