#include "mesh/configuration/items.hpp"

#include <xxhash.h>

#include <algorithm>
#include <set>
#include <utility>

#include "mesh/configuration/duration_text.hpp"
#include "mesh/configuration/item_check.hpp"
#include "mesh/configuration/schema.hpp"

namespace rackroute::mesh {
namespace {

using nlohmann::json;
using namespace std::chrono_literals;

constexpr Span kMaxTimeout = 10min;  // of a route; fixed by the protocol

std::uint64_t hashText(std::string_view text) { return XXH3_64bits(text.data(), text.size()); }

Result<Item> itemOf(ItemKind kind, const json& value, bool dropped) {
  Item item;
  item.key = {kind, kind == ItemKind::limits ? "limits" : value["name"].get<std::string>()};
  const auto generation = parseGeneration(value["generation"].get<std::string>());
  if (!generation) return failure("change", textOf(item.key) + ".generation is not a version");
  item.generation = *generation;
  item.dropped = dropped;
  if (!dropped) item.value = value;
  return item;
}

Result<void> checkRoute(const Item& route) {
  const json& value = route.value;
  const std::string name = textOf(route.key);
  const auto span = [&](const char* field) -> std::optional<Span> {
    return value.contains(field) ? parseDuration(value[field].get<std::string>()) : std::optional<Span>(1ms);
  };
  const auto timeout = span("timeout");
  if (!timeout) return failure("change", name + ".timeout is not a duration");
  if (*timeout <= Span{0}) return failure("change", name + ".timeout is 0");
  if (*timeout > kMaxTimeout) return failure("change", name + ".timeout is over ten minutes");
  if (!span("target_time")) return failure("change", name + ".target_time is not a duration");
  if (value["path_prefix"].get<std::string>()[0] != '/')
    return failure("change", name + ".path_prefix does not begin with a slash");
  if (value.contains("target") == value.contains("weighted"))
    return failure("change", name + " needs exactly one of target and weighted");
  if (value.contains("weighted")) {
    double sum = 0;
    for (const json& entry : value["weighted"]) sum += entry["weight"].get<double>();
    if (!(sum > 0)) return failure("change", name + ".weighted has no positive weight");
  }
  return boost::outcome_v2::success();
}

}  // namespace

std::uint64_t hashOf(const Item& item) {
  return hashText(textOf(item.key) + (item.dropped ? "-" : "+") + formatGeneration(item.generation) +
                  (item.dropped ? std::string() : item.hostname + item.value.dump()));
}

std::string textOf(const ItemKey& key) {
  static constexpr const char* kKinds[] = {"route/", "service/", "limits/", "voters/"};
  return kKinds[static_cast<std::size_t>(key.kind)] + key.name;
}

std::optional<ItemKey> keyOf(std::string_view text) {
  const std::size_t slash = text.find('/');
  if (slash == std::string_view::npos) return std::nullopt;
  const std::string_view kind = text.substr(0, slash);
  const std::string name(text.substr(slash + 1));
  if (kind == "route") return ItemKey{ItemKind::route, name};
  if (kind == "service") return ItemKey{ItemKind::service, name};
  if (kind == "limits") return ItemKey{ItemKind::limits, name};
  if (kind == "voters") return ItemKey{ItemKind::voters, name};
  return std::nullopt;
}

json toJson(const Item& item) {
  json out{{"k", textOf(item.key)}, {"g", item.generation.value}};
  if (item.hash != 0) out["p"] = item.hash;
  if (item.dropped) return out;
  out["v"] = item.value;
  if (!item.hostname.empty()) out["h"] = item.hostname;
  return out;
}

Item itemFromJson(const json& from) {
  Item item;
  item.key = keyOf(from.at("k").get<std::string>()).value_or(ItemKey{});
  item.generation = {from.at("g").get<std::uint64_t>()};
  item.dropped = !from.contains("v");
  if (!item.dropped) {
    item.value = from["v"];
    item.hostname = from.value("h", std::string());
  }
  item.hash = from.value("p", std::uint64_t{0});
  return item;
}

const std::string& wireOf(const Item& item) {
  if (!item.wire) item.wire = std::make_shared<const std::string>(toJson(item).dump());
  return *item.wire;
}

std::vector<std::string> servicesOf(const Item& route) {
  std::vector<std::string> services;
  if (route.dropped || route.key.kind != ItemKind::route) return services;
  if (route.value.contains("target")) services.push_back(route.value["target"].get<std::string>());
  if (route.value.contains("weighted")) {
    for (const json& entry : route.value["weighted"]) services.push_back(entry["target"].get<std::string>());
  }
  return services;
}

Result<std::vector<Item>> parseChange(std::string_view text) {
  if (auto valid = validateJson(Schema::change, text); !valid) return std::move(valid).error();
  const json change = json::parse(text);
  std::vector<Item> items;
  std::map<ItemKey, std::size_t> indices;
  // A change may contain an item more than once; its highest version wins.
  const auto add = [&](Result<Item> read) -> Result<void> {
    if (!read) return std::move(read).error();
    Item item = std::move(read).value();
    // Rejects values that the schema allows but other processes would refuse, such as one nested too deeply.
    const std::string error = item.dropped ? std::string() : validateItem(item.key.kind, item.value);
    if (!error.empty()) return failure("change", textOf(item.key) + ' ' + error);
    const auto [entry, inserted] = indices.try_emplace(item.key, items.size());
    if (inserted) {
      items.push_back(std::move(item));
      return boost::outcome_v2::success();
    }
    Item& other = items[entry->second];
    if (item.generation == other.generation && hashOf(item) != hashOf(other))
      return failure("change",
                     textOf(item.key) + " occurs twice with the same version and different contents");
    if (item.generation > other.generation) other = std::move(item);
    return boost::outcome_v2::success();
  };
  if (const auto upsert = change.find("upsert"); upsert != change.end()) {
    for (const json& service : upsert->value("service_list", json::array())) {
      if (auto added = add(itemOf(ItemKind::service, service, false)); !added)
        return std::move(added).error();
    }
    if (const auto limits = upsert->find("limits"); limits != upsert->end()) {
      if (auto added = add(itemOf(ItemKind::limits, *limits, false)); !added) return std::move(added).error();
      for (const char* field : {"header", "idle"}) {
        if (limits->contains(field) && !parseDuration((*limits)[field].get<std::string>()))
          return failure("change", std::string("limits.") + field + " is not a duration");
      }
    }
    for (const json& host : upsert->value("host_map", json::array())) {
      for (const json& route : host["path_routes"]) {
        Result<Item> read = itemOf(ItemKind::route, route, false);
        if (!read) return std::move(read).error();
        read.value().hostname = host["hostname"].get<std::string>();
        if (auto valid = checkRoute(read.value()); !valid) return std::move(valid).error();
        if (auto added = add(std::move(read)); !added) return std::move(added).error();
      }
    }
  }
  if (const auto remove = change.find("remove"); remove != change.end()) {
    for (const auto& [list, entries] : remove->items()) {
      if (list != "route_list" && list != "service_list" && !entries.empty())
        return failure("change", "remove." + list + " is not a list of items");
      for (const json& entry : entries) {
        const ItemKind kind = list == "route_list" ? ItemKind::route : ItemKind::service;
        if (auto added = add(itemOf(kind, entry, true)); !added) return std::move(added).error();
      }
    }
  }
  return items;
}

bool Items::isNewer(const Item& item) const {
  const Item* current = find(item.key);
  return current == nullptr || current->generation < item.generation;
}

bool Items::merge(const Item& item) {
  const auto found = items_.find(item.key);
  if (found != items_.end() && found->second.generation > item.generation) return false;
  const std::uint64_t hash = item.hash != 0 ? item.hash : hashOf(item);
  if (found != items_.end()) {
    const Item& current = found->second;
    // If two operators used one version for different contents, all copies keep the one with the higher hash.
    if (current.generation == item.generation && current.hash >= hash) return false;
    digest_ ^= current.hash;
  }
  Item& stored = items_[item.key];
  stored = item;
  if (stored.hash == 0) stored.wire.reset();  // the cached text lacks the hash
  stored.hash = hash;
  digest_ ^= stored.hash;
  return true;
}

const Item* Items::find(const ItemKey& key) const {
  const auto found = items_.find(key);
  return found == items_.end() ? nullptr : &found->second;
}

json Items::versions() const {
  json versions = json::object();
  for (const auto& [key, item] : items_) versions[textOf(key)] = {item.generation.value, item.hash};
  return versions;
}

std::vector<Item> Items::newerThan(const json& versions) const {
  std::vector<Item> newer;
  for (const auto& [key, item] : items_) {
    const auto theirs = versions.find(textOf(key));
    if (theirs != versions.end()) {
      const auto generation = theirs->at(0).get<std::uint64_t>();
      if (generation > item.generation.value) continue;
      if (generation == item.generation.value && theirs->at(1).get<std::uint64_t>() >= item.hash) continue;
    }
    newer.push_back(item);
  }
  return newer;
}

json Items::activeAsJson() const {
  json services = json::array();
  json limits;
  std::map<std::string, json> hosts;
  for (const auto& [key, item] : items_) {
    if (item.dropped) continue;
    if (key.kind == ItemKind::service) services.push_back(item.value);
    if (key.kind == ItemKind::limits) limits = item.value;
    if (key.kind == ItemKind::route)
      hosts.try_emplace(item.hostname, json::array()).first->second.push_back(item.value);
  }
  json map = json::array();
  for (auto& [hostname, routes] : hosts)
    map.push_back({{"hostname", hostname}, {"path_routes", std::move(routes)}});
  json out{{"service_list", std::move(services)}, {"host_map", std::move(map)}};
  if (!limits.is_null()) out["limits"] = std::move(limits);
  return out;
}

bool Items::refersToOtherServices(const std::vector<Item>& change) {
  const auto adds = [&](const std::string& service) {
    return std::any_of(change.begin(), change.end(), [&](const Item& item) {
      return item.key == ItemKey{ItemKind::service, service} && !item.dropped;
    });
  };
  return std::any_of(change.begin(), change.end(), [&](const Item& item) {
    const std::vector<std::string> services = servicesOf(item);
    return !std::all_of(services.begin(), services.end(), adds);
  });
}

std::optional<std::string> Items::unknownService(const std::vector<Item>& change) const {
  std::set<std::string> added;
  std::set<std::string> dropped;
  for (const Item& item : change) {
    if (item.key.kind == ItemKind::service) (item.dropped ? dropped : added).insert(item.key.name);
  }
  for (const Item& route : change) {
    for (const std::string& service : servicesOf(route)) {
      if (added.count(service) > 0) continue;
      const Item* current = find({ItemKind::service, service});
      if (current == nullptr || current->dropped || dropped.count(service) > 0) return service;
    }
  }
  return std::nullopt;
}

}  // namespace rackroute::mesh
