#include "mesh/sidecar/server_heartbeat.hpp"

#include <nlohmann/json.hpp>

#include "mesh/configuration/duration_text.hpp"

namespace rackroute::mesh {

Result<ServerHeartbeat> parseServerHeartbeat(std::string_view id, std::string_view body) {
  const nlohmann::json text = nlohmann::json::parse(body, nullptr, false);
  ServerHeartbeat heartbeat;
  heartbeat.id = {std::string(id)};
  try {
    const nlohmann::json& details = text.at("details");
    const nlohmann::json& observed = text.at("observed");
    heartbeat.address = {text.at("address").get<std::string>()};
    heartbeat.service = {details.at("target").get<std::string>()};
    heartbeat.zone = details.value("zone", std::string());
    heartbeat.capacity = details.value("capacity", 1U);
    heartbeat.draining = observed.at("phase") == "draining";
    heartbeat.seq = observed.at("call_seq").get<std::uint64_t>();
    heartbeat.coldLeft = parseDuration(observed.value("cold_left", std::string("0ms"))).value_or(Span{0});
  } catch (const nlohmann::json::exception& error) {
    Error invalid = failure("beat", error.what());
    invalid.peer = std::string(id);
    return invalid;
  }
  return heartbeat;
}

}  // namespace rackroute::mesh
