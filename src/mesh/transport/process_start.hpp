#pragma once

// Startup code shared by the mesh programs: settings file, resource limits and error reporting.

#include <functional>
#include <string>

#include "mesh/configuration/error.hpp"
#include "mesh/configuration/settings.hpp"

namespace rackroute::mesh {

inline constexpr const char* kVersionText = "rackroute 0.2.0";

Result<Settings> readSettingsFile(const std::string& path);
/// The given path; if empty, that of RACKROUTE_CONFIG or else the default path.
std::string settingsPath(const std::string& given);
/// Sets the file descriptor limit from the settings, within the system's hard limit.
void limitDescriptors(const Settings& settings);
/// Runs `body`; reports an exception as one line on standard error and returns exit code 1.
int guardedMain(const char* program, const std::function<int()>& body);

}  // namespace rackroute::mesh
