#include "mesh/transport/log.hpp"

#include <easylogging++.h>

#include <chrono>

#include "sidecar/log.hpp"

INITIALIZE_EASYLOGGINGPP

namespace rackroute::mesh {
namespace {

std::string name;
LogLevel lowest = LogLevel::warning;
const auto start = std::chrono::steady_clock::now();

}  // namespace

bool openLog(std::string_view program, std::string_view level) {
  name = program;
  if (level == "info") {
    lowest = LogLevel::info;
  } else if (level == "warning") {
    lowest = LogLevel::warning;
  } else if (level == "error") {
    lowest = LogLevel::error;
  } else {
    return false;
  }
  el::Configurations shape;
  shape.setToDefault();
  shape.setGlobally(el::ConfigurationType::ToFile, "false");
  shape.setGlobally(el::ConfigurationType::ToStandardOutput, "true");
  shape.setGlobally(el::ConfigurationType::Format, "%msg");
  el::Loggers::reconfigureAllLoggers(shape);
  // The shared connections write lines of their own on each end; here the parts that use them do.
  sidecar::setLevel("error");
  return true;
}

void log(LogLevel weight, std::string_view step, std::string_view peer, std::string_view what,
         nlohmann::json more) {
  if (weight < lowest) return;
  static constexpr const char* kNames[] = {"info", "warning", "error"};
  nlohmann::json line{
      {"level", kNames[static_cast<int>(weight)]},
      {"at_s", std::chrono::duration<double>(std::chrono::steady_clock::now() - start).count()},
      {"program", name},
      {"step", step},
      {"what", what}};
  if (!peer.empty()) line["peer"] = peer;
  if (!more.is_null()) line.update(more);
  const std::string text = line.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
  LOG(INFO) << text;
}

}  // namespace rackroute::mesh
