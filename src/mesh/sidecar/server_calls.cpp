#include "mesh/sidecar/server_calls.hpp"

#include <nlohmann/json.hpp>

#include "mesh/configuration/duration_text.hpp"

namespace rackroute::mesh {

Result<ServerHeartbeat> readBeat(std::string_view id, std::string_view body) {
  const nlohmann::json text = nlohmann::json::parse(body, nullptr, false);
  ServerHeartbeat beat;
  beat.id = {std::string(id)};
  try {
    const nlohmann::json& details = text.at("details");
    const nlohmann::json& observed = text.at("observed");
    beat.address = {text.at("address").get<std::string>()};
    beat.service = {details.at("target").get<std::string>()};
    beat.zone = details.value("zone", std::string());
    beat.capacity = details.value("capacity", 1U);
    beat.draining = observed.at("phase") == "draining";
    beat.seq = observed.at("call_seq").get<std::uint64_t>();
    beat.coldLeft = parseDuration(observed.value("cold_left", std::string("0ms"))).value_or(Span{0});
  } catch (const nlohmann::json::exception& error) {
    Error refused = failure("beat", error.what());
    refused.peer = std::string(id);
    return refused;
  }
  return beat;
}

}  // namespace rackroute::mesh
