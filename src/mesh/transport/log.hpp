#pragma once

// Logging of the mesh programs: one JSON object per line, with the step, the peer and a message.

#include <nlohmann/json.hpp>
#include <string>
#include <string_view>

namespace rackroute::mesh {

enum class LogLevel { info, warning, error };

/// program: written in every line. level: info, warning or error; returns false for other values.
bool openLog(std::string_view program, std::string_view level);
/// fields: an object whose members are added to the line.
void log(LogLevel level, std::string_view step, std::string_view peer, std::string_view what,
         nlohmann::json fields = nullptr);

}  // namespace rackroute::mesh
