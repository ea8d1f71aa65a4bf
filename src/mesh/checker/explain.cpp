#include "mesh/checker/explain.hpp"

#include <algorithm>
#include <map>
#include <set>
#include <utility>

#include "mesh/configuration/duration_text.hpp"
#include "mesh/configuration/route_table.hpp"
#include "mesh/configuration/schema.hpp"

namespace rackroute::mesh {
namespace {

using nlohmann::json;

std::string prefixOf(const Item& item) { return item.value.value("path_prefix", std::string()); }

std::map<std::string, std::size_t> routesByService(const Items& items) {
  std::map<std::string, std::size_t> count;
  for (const auto& [key, item] : items.all()) {
    if (key.kind == ItemKind::service && !item.dropped) count.try_emplace(key.name, 0);
    for (const std::string& service : servicesOf(item)) ++count[service];
  }
  return count;
}

std::string targetsOf(const Item& route) {
  if (route.value.contains("target")) return route.value["target"].get<std::string>();
  std::string text;
  for (const json& entry : route.value["weighted"]) {
    if (!text.empty()) text += ", ";
    text += entry["target"].get<std::string>() + " (" + entry["weight"].dump() + ')';
  }
  return text;
}

}  // namespace

Result<std::vector<Item>> parseConfiguration(std::string_view text) {
  if (auto valid = validateNesting(text); !valid) return std::move(valid).error();
  const json parsed = json::parse(text, nullptr, false);
  const bool isItems =
      parsed.is_object() && !parsed.contains("upsert") && !parsed.contains("remove") && !parsed.empty();
  return isItems ? parseChange(json{{"upsert", parsed}}.dump()) : parseChange(text);
}

std::vector<Finding> findIssues(const Items& items) {
  std::vector<Finding> findings;
  std::map<std::pair<std::string, std::string>, std::string> paths;
  for (const auto& [key, item] : items.all()) {
    if (item.dropped || key.kind != ItemKind::route) continue;
    const auto [path, inserted] = paths.try_emplace({item.hostname, prefixOf(item)}, key.name);
    if (!inserted)
      findings.push_back(
          {Severity::warning, textOf(key),
           "has the same host and path_prefix as " + path->second + ": the newer version is used"});
    if (prefixOf(item).back() != '/')
      findings.push_back(
          {Severity::warning, textOf(key), "path_prefix does not end with a slash and matches nothing"});
    const auto timeout = parseDuration(item.value["timeout"].get<std::string>());
    const auto targetTime = parseDuration(item.value.value("target_time", std::string("0ms")));
    if (timeout && targetTime && *timeout < *targetTime)
      findings.push_back({Severity::warning, textOf(key),
                          "timeout " + formatDuration(*timeout) + " is shorter than target_time " +
                              formatDuration(*targetTime) + ": requests time out before their target time"});
    for (const std::string& service : servicesOf(item)) {
      const Item* current = items.find({ItemKind::service, service});
      if (current == nullptr || current->dropped)
        findings.push_back({Severity::error, textOf(key), "refers to the unknown service " + service});
    }
  }
  for (const auto& [service, routes] : routesByService(items)) {
    if (routes == 0) findings.push_back({Severity::warning, "service/" + service, "no route refers to it"});
  }
  return findings;
}

std::vector<Finding> describeChange(const Items& inForce, const std::vector<Item>& change) {
  std::vector<Finding> findings;
  Items after = inForce;
  for (const Item& item : change) {
    const std::string name = textOf(item.key);
    const Item* current = inForce.find(item.key);
    if (current != nullptr && current->generation >= item.generation) {
      const bool same = current->generation == item.generation && current->value == item.value &&
                        current->dropped == item.dropped;
      findings.push_back({same ? Severity::info : Severity::warning, name,
                          formatGeneration(item.generation) +
                              " has no effect: " + formatGeneration(current->generation) +
                              (same ? " has the same contents" : " is in force")});
      continue;
    }
    after.merge(item);
    const bool wasActive = current != nullptr && !current->dropped;
    if (item.dropped) {
      findings.push_back({Severity::info, name, wasActive ? "is dropped" : "is dropped, but did not exist"});
      continue;
    }
    if (!wasActive) {
      findings.push_back({Severity::info, name, "is new"});
      continue;
    }
    for (const auto& [field, value] : item.value.items()) {
      const json before = current->value.value(field, json());
      if (field == "generation" || before == value) continue;
      Severity severity = Severity::info;
      if (field == "timeout") {
        const auto was = before.is_string() ? parseDuration(before.get<std::string>()) : std::nullopt;
        const auto is = parseDuration(value.get<std::string>());
        if (was && is && *is < *was / 2) severity = Severity::warning;
      }
      if (field == "route_kind") severity = Severity::warning;
      findings.push_back({severity, name, field + ": " + before.dump() + " becomes " + value.dump()});
    }
    if (current->hostname != item.hostname)
      findings.push_back(
          {Severity::warning, name, "moves from host " + current->hostname + " to " + item.hostname});
  }
  const auto before = routesByService(inForce);
  const auto now = routesByService(after);
  for (const auto& [service, routes] : before) {
    const auto left = now.find(service);
    if (routes > 0 && (left == now.end() || left->second == 0))
      findings.push_back({Severity::warning, "service/" + service, "loses its last route"});
  }
  const std::vector<Finding> oldFindings = findIssues(inForce);
  for (Finding& finding : findIssues(after)) {
    const bool known = std::any_of(oldFindings.begin(), oldFindings.end(), [&](const Finding& other) {
      return other.item == finding.item && other.what == finding.what;
    });
    if (!known) findings.push_back(std::move(finding));
  }
  return findings;
}

std::vector<std::string> explainRoute(const Items& items, std::string_view host, std::string_view path,
                                      bool& found) {
  std::vector<std::string> steps;
  RouteTable table;
  table.load(items);
  const auto route = table.find(host, path);
  found = route != nullptr;
  for (const auto& [key, item] : items.all()) {
    if (item.dropped || key.kind != ItemKind::route) continue;
    const std::string prefix = prefixOf(item);
    const std::string_view pathOnly = path.substr(0, path.find('?'));
    if (pathOnly.substr(0, prefix.size()) != prefix) continue;
    std::string step = key.name + " at " + item.hostname + prefix + ": the path matches";
    if (!route || key.name != route->name) {
      const bool sameHost = table.find(item.hostname, path) == route;
      step +=
          sameHost ? ", but a longer prefix or a newer version takes precedence" : ", but the host differs";
    }
    steps.push_back(std::move(step));
  }
  if (!route) {
    steps.push_back("no route: 404");
    return steps;
  }
  const Item& item = *items.find({ItemKind::route, route->name});
  steps.push_back("taken: " + route->name + " (" + formatGeneration(route->generation) + "), " +
                  item.value["route_kind"].get<std::string>() + ", to " + targetsOf(item));
  return steps;
}

}  // namespace rackroute::mesh
