#include "lab/mesh/workload.hpp"

#include <utility>

namespace rackroute::lab::mesh {
namespace {

using nlohmann::json;

std::string milliseconds(double seconds, int extra = 0) {
  return std::to_string(static_cast<int>(seconds * 1000) + extra) + "ms";
}

json hostMap(json routes) { return json::array({{{"hostname", kHost}, {"path_routes", std::move(routes)}}}); }

}  // namespace

json routeValue(const RouteSpec& route, std::uint64_t generation) {
  static constexpr const char* kKinds[] = {"pure", "effectful", "keyed"};
  return {{"name", route.name},
          {"path_prefix", route.prefix},
          {"route_kind", kKinds[static_cast<int>(route.kind)]},
          {"timeout", milliseconds(route.deadline)},
          {"target_time", milliseconds(route.targetTime)},
          {"priority", route.priority},
          {"target", serviceName(route.service)},
          {"max_attempts", 2},
          {"generation", "r" + std::to_string(generation)}};
}

std::string serviceName(int service) { return service == 0 ? "desk" : "line"; }

std::string OperatorRecord::initialConfig(std::uint32_t idle) {
  json services = json::array();
  for (int service : {0, 1}) {
    services.push_back({{"name", serviceName(service)},
                        {"health_path", "/health"},
                        {"max_conns", 100},
                        {"idempotent", false},
                        {"generation", "r1"}});
  }
  json routes = json::array();
  for (const RouteSpec& route : kRoutes) {
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

std::string OperatorRecord::change(std::uint32_t routeNo, std::uint64_t generation, int operatorNo,
                                   bool invalid) {
  const RouteSpec& route = kRoutes[routeNo % kRoutes.size()];
  json value = routeValue(route, generation);
  value["timeout"] = invalid ? "0ms" : milliseconds(route.deadline, 1 + operatorNo);
  if (!invalid) values_[route.name][generation].insert(value.dump());
  ++sent_;
  return json{{"upsert", {{"host_map", hostMap(json::array({std::move(value)}))}}}}.dump();
}

void OperatorRecord::initialConfigAcknowledged(Span now) {
  for (const RouteSpec& route : kRoutes) acknowledged_[route.name] = {1, now};
}

void OperatorRecord::changeAcknowledged(Span now, const std::string& route, std::uint64_t generation) {
  ++acknowledgedCount_;
  auto& newest = acknowledged_[route];
  if (generation > newest.first) newest = {generation, now};
}

const std::pair<std::uint64_t, Span>* OperatorRecord::newest(const std::string& route) const {
  const auto found = acknowledged_.find(route);
  return found == acknowledged_.end() ? nullptr : &found->second;
}

void OperatorRecord::checkReadBack(Span now, const json& read, Judge& judge) const {
  std::map<std::string, json> routes;
  for (const json& host : read.at("host_map")) {
    for (const json& route : host.at("path_routes")) routes[route.at("name").get<std::string>()] = route;
  }
  for (const auto& [name, newest] : acknowledged_) {
    const auto found = routes.find(name);
    if (found == routes.end()) {
      judge.reportLoss(now, "route " + name + " is missing");
      continue;
    }
    const std::string text = found->second.at("generation").get<std::string>();
    const std::uint64_t generation = std::stoull(text.substr(1));
    if (generation < newest.first)
      judge.reportLoss(
          now, "route " + name + " is " + text + ", r" + std::to_string(newest.first) + " was acknowledged");
    const auto sent = values_.find(name);
    const auto values = sent == values_.end() ? nullptr : &sent->second;
    const auto version = values == nullptr ? decltype(values->end()){} : values->find(generation);
    if (values == nullptr || version == values->end() || version->second.count(found->second.dump()) == 0)
      judge.reportViolation(now, "CONFIG",
                            "route " + name + " was read back with a value that was never sent");
  }
}

nlohmann::json finishDay(Judge& judge, const OperatorRecord& record, double minServedShare, Span now) {
  return finishDay(judge, record.sent(), record.acked(), minServedShare, now);
}

nlohmann::json finishDay(Judge& judge, std::uint64_t changes, std::uint64_t acknowledged,
                         double minServedShare, Span now) {
  judge.finish();
  const auto requests = static_cast<double>(judge.requests());
  const double share = requests == 0 ? 1 : static_cast<double>(judge.successes()) / requests;
  if (share < minServedShare)
    judge.reportViolation(now, "SERVED", std::to_string(share) + " of the attempts were successful");
  json statuses;
  for (const auto& [status, count] : judge.statuses()) statuses[std::to_string(status)] = count;
  return {{"tries", judge.requests()},   {"served", share},
          {"runs", judge.executions()},  {"repeats_answered", judge.replayedResponses()},
          {"statuses", statuses},        {"changes", changes},
          {"acknowledged", acknowledged}};
}

}  // namespace rackroute::lab::mesh
