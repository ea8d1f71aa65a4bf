#include "mesh/configuration/route_table.hpp"

#include <algorithm>
#include <set>
#include <utility>

#include "mesh/configuration/duration_text.hpp"

namespace rackroute::mesh {
namespace {

using nlohmann::json;

std::string toLower(std::string_view text) {
  std::string out(text);
  std::transform(out.begin(), out.end(), out.begin(),
                 [](char c) { return c >= 'A' && c <= 'Z' ? static_cast<char>(c - 'A' + 'a') : c; });
  return out;
}

Route routeOf(const Item& item) {
  const json& value = item.value;
  Route route;
  route.name = item.key.name;
  route.prefix = value["path_prefix"].get<std::string>();
  const std::string kind = value["route_kind"].get<std::string>();
  route.kind = kind == "pure" ? RouteKind::pure : kind == "keyed" ? RouteKind::keyed : RouteKind::effectful;
  route.timeout = parseDuration(value["timeout"].get<std::string>()).value_or(Span{});
  route.targetTime =
      parseDuration(value.value("target_time", value["timeout"].get<std::string>())).value_or(route.timeout);
  route.priority = value.value("priority", 0U);
  route.maxAttempts = value.value("max_attempts", 1U);
  if (value.contains("target")) {
    route.targets.emplace_back(ServiceName{value["target"].get<std::string>()}, 1);
  } else {
    for (const json& entry : value["weighted"])
      route.targets.emplace_back(ServiceName{entry["target"].get<std::string>()},
                                 entry["weight"].get<double>());
  }
  for (const auto& target : route.targets) route.totalWeight += target.second;
  route.generation = item.generation;
  return route;
}

}  // namespace

const ServiceName& Route::pickTarget(double number) const {
  double left = number * totalWeight;
  for (const auto& [service, weight] : targets) {
    if (weight > 0 && left < weight) return service;
    left -= weight;
  }
  return std::find_if(targets.rbegin(), targets.rend(), [](const auto& t) { return t.second > 0; })->first;
}

void RouteTable::load(const Items& items) {
  hosts_.clear();
  limits_ = {};
  std::set<ServiceName> services;
  for (const auto& [key, item] : items.all()) {
    if (item.dropped) continue;
    if (key.kind == ItemKind::limits) {
      limits_.bodyBytes = item.value.value("body_bytes", limits_.bodyBytes);
      limits_.headerTimeout = parseDuration(item.value.value("header", "")).value_or(limits_.headerTimeout);
      limits_.idleTimeout = parseDuration(item.value.value("idle", "")).value_or(limits_.idleTimeout);
    } else if (key.kind == ItemKind::route) {
      auto route = std::make_shared<const Route>(routeOf(item));
      for (const auto& target : route->targets) services.insert(target.first);
      auto& slot = hosts_[toLower(item.hostname)][route->prefix];
      // Two routes may share a host and prefix while one replaces the other; the newer one wins.
      if (!slot || slot->generation < route->generation) slot = std::move(route);
    }
  }
  services_.assign(services.begin(), services.end());
}

std::shared_ptr<const Route> RouteTable::find(std::string_view host, std::string_view path) const {
  if (const std::size_t colon = host.rfind(':'); colon != host.npos && host.find(']', colon) == host.npos)
    host = host.substr(0, colon);
  const auto found = hosts_.find(toLower(host));
  if (found == hosts_.end()) return nullptr;
  path = path.substr(0, path.find('?'));
  for (std::size_t end = path.rfind('/'); end != path.npos;
       end = end == 0 ? path.npos : path.rfind('/', end - 1)) {
    const auto route = found->second.find(std::string(path.substr(0, end + 1)));
    if (route != found->second.end()) return route->second;
  }
  return nullptr;
}

}  // namespace rackroute::mesh
