#include "lab/mesh/hollow_site.hpp"

#include <utility>

#include "lab/mesh/workload.hpp"

namespace rackroute::lab::mesh {
namespace {

using namespace rackroute::mesh;
using nlohmann::json;

constexpr int kFirstPort = 7380;
constexpr int kLastPort = 7395;
constexpr int kControlPort = 8144;
constexpr std::uint32_t kSeeds = 3;           // control processes that settings name
constexpr std::uint32_t kSidecarsANet = 250;  // addresses taken of each 127.N.M.0/24

}  // namespace

HollowSite::HollowSite(const HollowPlan& plan, std::uint32_t network, std::string folder)
    : plan_(plan), network_(network), folder_(std::move(folder)) {}

std::string HollowSite::controlIp(std::uint32_t control) const {
  return "127." + std::to_string(network_) + ".1." + std::to_string(control + 1);
}

std::string HollowSite::sidecarIp(std::uint32_t sidecar) const {
  return "127." + std::to_string(network_) + '.' + std::to_string(2 + sidecar / kSidecarsANet) + '.' +
         std::to_string(1 + sidecar % kSidecarsANet);
}

Address HollowSite::operatorAddress(std::uint32_t control) const {
  return {controlIp(control) + ':' + std::to_string(kControlPort)};
}

std::string HollowSite::diskOf(std::uint32_t control) const {
  return folder_ + "/v" + std::to_string(control);
}

std::string HollowSite::serviceOf(std::uint32_t service) { return "service-" + std::to_string(service); }

std::string HollowSite::changeOf(std::uint64_t version) {
  const json routes = json::array({routeItem(kWatchedRoute, 0, version)});
  const json hosts = json::array({{{"hostname", kHost}, {"path_routes", routes}}});
  return json{{"upsert", {{"host_map", hosts}}}}.dump();
}

json HollowSite::routeItem(const std::string& name, std::uint32_t service, std::uint64_t version) {
  return {{"name", name},
          {"path_prefix", '/' + name + '/'},
          {"route_kind", service % 2 == 0 ? "keyed" : "pure"},
          {"timeout", std::to_string(2000 + version % 2) + "ms"},
          {"target_time", "800ms"},
          {"priority", 1},
          {"target", serviceOf(service)},
          {"max_attempts", 2},
          {"generation", 'r' + std::to_string(version)}};
}

std::string HollowSite::firstItems() const {
  json services = json::array();
  for (std::uint32_t service = 0; service < plan_.services; ++service) {
    services.push_back({{"name", serviceOf(service)},
                        {"health_path", "/health"},
                        {"max_conns", 100},
                        {"idempotent", false},
                        {"generation", "r1"}});
  }
  json routes = json::array({routeItem(kWatchedRoute, 0, 1)});
  for (std::uint32_t route = 0; route < plan_.routes; ++route)
    routes.push_back(routeItem("route-" + std::to_string(route), route % plan_.services, 1));
  const json hosts = json::array({{{"hostname", kHost}, {"path_routes", std::move(routes)}}});
  return json{{"upsert", {{"service_list", std::move(services)}, {"host_map", hosts}}}}.dump();
}

json HollowSite::settingsOf(std::uint32_t control, bool firstBoot) const {
  json zones = json::object();
  json seeds = json::array();
  for (std::uint32_t i = 0; i < plan_.controls; ++i) {
    zones["z" + std::to_string(i)] = "r";
    if (i < kSeeds) seeds.push_back(operatorAddress(i).value);
  }
  return {{"node_name", "v" + std::to_string(control)},
          {"ip", controlIp(control)},
          {"zone", "z" + std::to_string(control)},
          {"zones", zones},
          {"listen_addrs", {{"control_addr", operatorAddress(control).value}}},
          {"port_range", {kFirstPort, kLastPort}},
          {"seed_list", seeds},
          {"first_boot", firstBoot},
          {"data_dir", diskOf(control)},
          {"limits", {{"memory_mb", 1024}}},
          {"tolerance", {{"machine_losses", 1}}},
          {"bound_map", {{"drain", "2500ms"}, {"grace", "6s"}, {"apply", "2500ms"}, {"key_window", "60s"}}}};
}

std::vector<HollowIdentity> HollowSite::identities(std::uint32_t thread) const {
  std::vector<HollowIdentity> identities;
  for (std::uint32_t sidecar = thread; sidecar < plan_.sidecars; sidecar += plan_.threads) {
    HollowIdentity identity;
    identity.number = sidecar;
    identity.ip = sidecarIp(sidecar);
    identity.zone = "z" + std::to_string(sidecar % plan_.controls);
    identity.service = serviceOf(sidecar % plan_.services);
    for (std::uint32_t control = 0; control < plan_.controls; ++control)
      identity.controls.push_back({controlIp(control) + ':' + std::to_string(kFirstPort)});
    identities.push_back(std::move(identity));
  }
  return identities;
}

}  // namespace rackroute::lab::mesh
