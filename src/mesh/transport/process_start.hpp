#pragma once

// What both programs do at their start: read the command line and the settings file, tell what is wrong in
// one line. It owns nothing.

#include <functional>
#include <string>

#include "mesh/configuration/error.hpp"
#include "mesh/configuration/settings.hpp"

namespace rackroute::mesh {

inline constexpr const char* kVersionText = "rackroute 0.2.0";

/// The file that RACKROUTE_CONFIG names, or the one given.
Result<Settings> readSettingsFile(const std::string& path);
std::string settingsPath(const std::string& given);
/// No more descriptors than the settings tells, as far as the machine lets.
void limitDescriptors(const Settings& settings);
/// Runs it; what it throws becomes one line on standard error and exit code 1.
int guardedMain(const char* program, const std::function<int()>& body);

}  // namespace rackroute::mesh
