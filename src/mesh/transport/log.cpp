#include "mesh/transport/log.hpp"

#include <easylogging++.h>

#include <chrono>

#include "sidecar/log.hpp"

INITIALIZE_EASYLOGGINGPP

namespace rackroute::mesh {
namespace {

std::string programName;
LogLevel minLevel = LogLevel::warning;
const auto startTime = std::chrono::steady_clock::now();

}  // namespace

bool openLog(std::string_view program, std::string_view level) {
  programName = program;
  if (level == "info") {
    minLevel = LogLevel::info;
  } else if (level == "warning") {
    minLevel = LogLevel::warning;
  } else if (level == "error") {
    minLevel = LogLevel::error;
  } else {
    return false;
  }
  el::Configurations configuration;
  configuration.setToDefault();
  configuration.setGlobally(el::ConfigurationType::ToFile, "false");
  configuration.setGlobally(el::ConfigurationType::ToStandardOutput, "true");
  configuration.setGlobally(el::ConfigurationType::Format, "%msg");
  el::Loggers::reconfigureAllLoggers(configuration);
  // The shared connection code logs each closed connection; here only its errors are of interest.
  sidecar::setLevel("error");
  return true;
}

void log(LogLevel level, std::string_view step, std::string_view peer, std::string_view what,
         nlohmann::json fields) {
  if (level < minLevel) return;
  static constexpr const char* kNames[] = {"info", "warning", "error"};
  nlohmann::json line{
      {"level", kNames[static_cast<int>(level)]},
      {"at_s", std::chrono::duration<double>(std::chrono::steady_clock::now() - startTime).count()},
      {"program", programName},
      {"step", step},
      {"what", what}};
  if (!peer.empty()) line["peer"] = peer;
  if (!fields.is_null()) line.update(fields);
  const std::string text = line.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
  LOG(INFO) << text;
}

}  // namespace rackroute::mesh
