#pragma once

// The data plane's program: one thread that carries requests between clients, other processes and the server
// here, as the Sidecar says. It owns the bytes and decides nothing; it must never block but in the poll.

#include <string>

#include "mesh/configuration/settings.hpp"
#include "mesh/sidecar/sidecar.hpp"

namespace rackroute::mesh {

/// Runs until the process is told to stop, and ends it. settingsFile: read anew at SIGHUP.
int runSidecar(const Settings& settings, Sidecar::Built built, const std::string& settingsFile);

}  // namespace rackroute::mesh
