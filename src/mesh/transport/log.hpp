#pragma once

// The log of the mesh's programs: JSON lines on standard error, each with its step, its peer and what
// happened. It owns nothing but the level and must never decide anything.

#include <nlohmann/json.hpp>
#include <string>
#include <string_view>

namespace rackroute::mesh {

enum class LogLevel { info, warning, error };

/// program: shown in every line. level: info, warning or error; false: no such level.
bool openLog(std::string_view program, std::string_view level);
void log(LogLevel weight, std::string_view step, std::string_view peer, std::string_view what,
         nlohmann::json more = nullptr);

}  // namespace rackroute::mesh
