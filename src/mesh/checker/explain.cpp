#include "mesh/checker/explain.hpp"

#include <algorithm>
#include <map>
#include <set>
#include <utility>

#include "mesh/configuration/duration_text.hpp"
#include "mesh/configuration/route_table.hpp"

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
  for (const json& part : route.value["weighted"]) {
    if (!text.empty()) text += ", ";
    text += part["target"].get<std::string>() + " (" + part["weight"].dump() + ')';
  }
  return text;
}

}  // namespace

Result<std::vector<Item>> readPlan(std::string_view text) {
  const json whole = json::parse(text, nullptr, false);
  const bool bare =
      whole.is_object() && !whole.contains("upsert") && !whole.contains("remove") && !whole.empty();
  return bare ? readChange(json{{"upsert", whole}}.dump()) : readChange(text);
}

std::vector<Remark> remarksOn(const Items& items) {
  std::vector<Remark> remarks;
  std::map<std::pair<std::string, std::string>, std::string> places;
  for (const auto& [key, item] : items.all()) {
    if (item.dropped || key.kind != ItemKind::route) continue;
    const auto [place, first] = places.try_emplace({item.hostname, prefixOf(item)}, key.name);
    if (!first)
      remarks.push_back(
          {Weighs::doubtful, textOf(key),
           "stands at the place of " + place->second + ": the newer version of the two is taken"});
    if (prefixOf(item).back() != '/')
      remarks.push_back(
          {Weighs::doubtful, textOf(key), "path_prefix does not end with a slash and takes nothing"});
    const auto timeout = readSpan(item.value["timeout"].get<std::string>());
    const auto aim = readSpan(item.value.value("target_time", std::string("0ms")));
    if (timeout && aim && *timeout < *aim)
      remarks.push_back({Weighs::doubtful, textOf(key),
                         "timeout " + writeSpan(*timeout) + " is shorter than target_time " +
                             writeSpan(*aim) + ": no answer can be worth its full worth late"});
    for (const std::string& service : servicesOf(item)) {
      const Item* held = items.find({ItemKind::service, service});
      if (held == nullptr || held->dropped)
        remarks.push_back({Weighs::wrong, textOf(key), "names the unknown service " + service});
    }
  }
  for (const auto& [service, routes] : routesByService(items)) {
    if (routes == 0) remarks.push_back({Weighs::doubtful, "service/" + service, "no route leads to it"});
  }
  return remarks;
}

std::vector<Remark> alterations(const Items& inForce, const std::vector<Item>& change) {
  std::vector<Remark> remarks;
  Items after = inForce;
  for (const Item& item : change) {
    const std::string name = textOf(item.key);
    const Item* held = inForce.find(item.key);
    if (held != nullptr && held->generation >= item.generation) {
      const bool same =
          held->generation == item.generation && held->value == item.value && held->dropped == item.dropped;
      remarks.push_back({same ? Weighs::plain : Weighs::doubtful, name,
                         writeGeneration(item.generation) + " has no effect: " +
                             writeGeneration(held->generation) + (same ? " is the same" : " is in force")});
      continue;
    }
    after.merge(item);
    const bool stood = held != nullptr && !held->dropped;
    if (item.dropped) {
      remarks.push_back({Weighs::plain, name, stood ? "is dropped" : "is dropped, and did not stand"});
      continue;
    }
    if (!stood) {
      remarks.push_back({Weighs::plain, name, "is new"});
      continue;
    }
    for (const auto& [field, value] : item.value.items()) {
      const json before = held->value.value(field, json());
      if (field == "generation" || before == value) continue;
      Weighs weighs = Weighs::plain;
      if (field == "timeout") {
        const auto was = before.is_string() ? readSpan(before.get<std::string>()) : std::nullopt;
        const auto is = readSpan(value.get<std::string>());
        if (was && is && *is < *was / 2) weighs = Weighs::doubtful;
      }
      if (field == "route_kind") weighs = Weighs::doubtful;
      remarks.push_back({weighs, name, field + ": " + before.dump() + " becomes " + value.dump()});
    }
    if (held->hostname != item.hostname)
      remarks.push_back(
          {Weighs::doubtful, name, "moves from host " + held->hostname + " to " + item.hostname});
  }
  const auto before = routesByService(inForce);
  const auto now = routesByService(after);
  for (const auto& [service, routes] : before) {
    const auto left = now.find(service);
    if (routes > 0 && (left == now.end() || left->second == 0))
      remarks.push_back({Weighs::doubtful, "service/" + service, "loses its last route"});
  }
  const std::vector<Remark> stood = remarksOn(inForce);
  for (Remark& remark : remarksOn(after)) {
    const bool old = std::any_of(stood.begin(), stood.end(), [&](const Remark& other) {
      return other.item == remark.item && other.what == remark.what;
    });
    if (!old) remarks.push_back(std::move(remark));
  }
  return remarks;
}

std::vector<std::string> wayOf(const Items& items, std::string_view host, std::string_view path,
                               bool& found) {
  std::vector<std::string> steps;
  RouteTable book;
  book.read(items);
  const auto route = book.find(host, path);
  found = route != nullptr;
  for (const auto& [key, item] : items.all()) {
    if (item.dropped || key.kind != ItemKind::route) continue;
    const std::string prefix = prefixOf(item);
    const std::string_view bare = path.substr(0, path.find('?'));
    if (bare.substr(0, prefix.size()) != prefix) continue;
    std::string step = key.name + " at " + item.hostname + prefix + ": the path begins so";
    if (!route || key.name != route->name) {
      const bool sameHost = book.find(item.hostname, path) == route;
      step += sameHost ? ", but a longer prefix or a newer version goes first" : ", but the host is another";
    }
    steps.push_back(std::move(step));
  }
  if (!route) {
    steps.push_back("no route: 404");
    return steps;
  }
  const Item& item = *items.find({ItemKind::route, route->name});
  steps.push_back("taken: " + route->name + " (" + writeGeneration(route->generation) + "), " +
                  item.value["route_kind"].get<std::string>() + ", to " + targetsOf(item));
  return steps;
}

}  // namespace rackroute::mesh
