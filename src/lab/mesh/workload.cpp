#include "lab/mesh/workload.hpp"

#include <utility>

namespace rackroute::lab::mesh {
namespace {

using nlohmann::json;

std::string milliseconds(double seconds, int more = 0) {
  return std::to_string(static_cast<int>(seconds * 1000) + more) + "ms";
}

json hostMap(json routes) { return json::array({{{"hostname", kHost}, {"path_routes", std::move(routes)}}}); }

}  // namespace

json routeValue(const RouteTold& route, std::uint64_t generation) {
  static constexpr const char* kKinds[] = {"pure", "effectful", "keyed"};
  return {{"name", route.name},
          {"path_prefix", route.prefix},
          {"route_kind", kKinds[static_cast<int>(route.sort)]},
          {"timeout", milliseconds(route.deadline)},
          {"target_time", milliseconds(route.aim)},
          {"priority", route.priority},
          {"target", serviceName(route.service)},
          {"max_attempts", 2},
          {"generation", "r" + std::to_string(generation)}};
}

std::string serviceName(int service) { return service == 0 ? "desk" : "line"; }

std::string OperatorBook::firstItems(std::uint32_t idle) {
  json services = json::array();
  for (int service : {0, 1}) {
    services.push_back({{"name", serviceName(service)},
                        {"health_path", "/health"},
                        {"max_conns", 100},
                        {"idempotent", false},
                        {"generation", "r1"}});
  }
  json routes = json::array();
  for (const RouteTold& route : kRoutes) {
    routes.push_back(routeValue(route, 1));
    values_[route.name][1].insert(routes.back().dump());
  }
  for (std::uint32_t i = 0; i < idle; ++i) {
    json value = routeValue(kRoutes[i % kRoutes.size()], 1);
    value["name"] = "idle-" + std::to_string(i);
    value["path_prefix"] = "/idle/" + std::to_string(i) + '/';
    routes.push_back(std::move(value));
  }
  return json{{"upsert", {{"service_list", services}, {"host_map", hostMap(std::move(routes))}}}}.dump();
}

std::string OperatorBook::change(std::uint32_t who, std::uint64_t generation, int operatorNo, bool bad) {
  const RouteTold& route = kRoutes[who % kRoutes.size()];
  json value = routeValue(route, generation);
  value["timeout"] = bad ? "0ms" : milliseconds(route.deadline, 1 + operatorNo);
  if (!bad) values_[route.name][generation].insert(value.dump());
  ++sent_;
  return json{{"upsert", {{"host_map", hostMap(json::array({std::move(value)}))}}}}.dump();
}

void OperatorBook::acknowledgedFirst(Span now) {
  for (const RouteTold& route : kRoutes) acked_[route.name] = {1, now};
}

void OperatorBook::acknowledged(Span now, const std::string& route, std::uint64_t generation) {
  ++ackedCount_;
  auto& newest = acked_[route];
  if (generation > newest.first) newest = {generation, now};
}

const std::pair<std::uint64_t, Span>* OperatorBook::newest(const std::string& route) const {
  const auto found = acked_.find(route);
  return found == acked_.end() ? nullptr : &found->second;
}

void OperatorBook::readBack(Span now, const json& read, Judge& judge) const {
  std::map<std::string, json> routes;
  for (const json& host : read.at("host_map")) {
    for (const json& route : host.at("path_routes")) routes[route.at("name").get<std::string>()] = route;
  }
  for (const auto& [name, newest] : acked_) {
    const auto found = routes.find(name);
    if (found == routes.end()) {
      judge.lost(now, "route " + name + " is missing");
      continue;
    }
    const std::string text = found->second.at("generation").get<std::string>();
    const std::uint64_t generation = std::stoull(text.substr(1));
    if (generation < newest.first)
      judge.lost(
          now, "route " + name + " is " + text + ", r" + std::to_string(newest.first) + " was acknowledged");
    const auto sent = values_.find(name);
    const auto same = sent == values_.end() ? nullptr : &sent->second;
    const auto version = same == nullptr ? decltype(same->end()){} : same->find(generation);
    if (same == nullptr || version == same->end() || version->second.count(found->second.dump()) == 0)
      judge.failed(now, "CONFIG", "route " + name + " was never sent as it is read back");
  }
}

nlohmann::json endOfDay(Judge& judge, const OperatorBook& book, double leastServed, Span now) {
  return endOfDay(judge, book.sent(), book.acked(), leastServed, now);
}

nlohmann::json endOfDay(Judge& judge, std::uint64_t changes, std::uint64_t acknowledged, double leastServed,
                        Span now) {
  judge.end();
  const auto asked = static_cast<double>(judge.asked());
  const double share = asked == 0 ? 1 : static_cast<double>(judge.servedWhole()) / asked;
  if (share < leastServed) judge.failed(now, "SERVED", std::to_string(share) + " of the tries");
  json statuses;
  for (const auto& [status, count] : judge.statuses()) statuses[std::to_string(status)] = count;
  return {{"tries", judge.asked()},      {"served", share},
          {"runs", judge.runs()},        {"repeats_answered", judge.repeatsAnswered()},
          {"statuses", statuses},        {"changes", changes},
          {"acknowledged", acknowledged}};
}

}  // namespace rackroute::lab::mesh
