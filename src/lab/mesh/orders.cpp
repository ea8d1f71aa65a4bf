#include "lab/mesh/orders.hpp"

#include <algorithm>

namespace rackroute::lab::mesh {
namespace {

using nlohmann::json;

std::string textOf(const ItemVersion& at) { return at.key + " version " + std::to_string(at.version); }

/// "r17" as 17.
std::uint64_t versionIn(const json& value) {
  return std::stoull(value.at("generation").get<std::string>().substr(1));
}

json serviceValue(const std::string& name, std::uint64_t version) {
  return {{"name", name},
          {"health_path", "/health"},
          {"max_conns", 100},
          {"idempotent", false},
          {"generation", "r" + std::to_string(version)}};
}

json idleRoute(std::uint32_t number, std::uint64_t version) {
  json value = routeValue(kRoutes[number % kRoutes.size()], version);
  value["name"] = "idle-" + std::to_string(number);
  value["path_prefix"] = "/idle/" + std::to_string(number) + '/';
  return value;
}

/// The lowest numbers are the routes that receive requests.
json routeByNumber(std::uint32_t number, std::uint64_t version) {
  if (number < kRoutes.size()) return routeValue(kRoutes[number], version);
  return idleRoute(number - static_cast<std::uint32_t>(kRoutes.size()), version);
}

}  // namespace

OrderNo OrderLedger::add(Order order, json services, json routes) {
  order.no = orders_.size() + 1;
  for (const json& value : services)
    order.values[{"service/" + value.at("name").get<std::string>(), versionIn(value)}] = value.dump();
  for (const json& value : routes)
    order.values[{"route/" + value.at("name").get<std::string>(), versionIn(value)}] = value.dump();
  json upsert = json::object();
  if (!services.empty()) upsert["service_list"] = std::move(services);
  if (!routes.empty()) upsert["host_map"] = {{{"hostname", kHost}, {"path_routes", std::move(routes)}}};
  order.body = json{{"upsert", std::move(upsert)}}.dump();
  for (const auto& [at, value] : order.values) sent_[at][value] = order.no;
  const OrderNo no = order.no;
  orders_[no] = std::move(order);
  return no;
}

OrderNo OrderLedger::initialConfig(std::uint32_t idleRoutes) {
  routeCount_ = kRoutes.size() + idleRoutes;
  json services = json::array();
  for (const int service : {0, 1}) services.push_back(serviceValue(serviceName(service), 1));
  json routes = json::array();
  for (std::uint32_t number = 0; number < routeCount_; ++number) routes.push_back(routeByNumber(number, 1));
  return add({}, std::move(services), std::move(routes));
}

OrderNo OrderLedger::change(const std::map<std::uint32_t, std::uint64_t>& versions, bool valid) {
  json routes = json::array();
  for (const auto& [number, version] : versions) {
    json value = routeByNumber(number, version);
    value["ordered_by"] = orders_.size() + 1;  // distinguishes the values of different orders
    if (!valid) value["timeout"] = "0ms";
    routes.push_back(std::move(value));
  }
  Order order;
  order.valid = valid;
  return add(std::move(order), json::array(), std::move(routes));
}

OrderNo OrderLedger::oldChange(Span now, const std::map<std::uint32_t, std::uint64_t>& versions) {
  const OrderNo no = change(versions, true);
  Order& order = orders_.at(no);
  for (const auto& [at, value] : order.values) {
    if (newestAt(at.key, now) > at.version) order.superseded.insert(at);
  }
  return no;
}

OrderNo OrderLedger::newService(const std::string& name) {
  return add({}, json::array({serviceValue(name, nextVersion(0))}), json::array());
}

OrderNo OrderLedger::routeTo(const std::string& service) {
  json value = idleRoute(0, nextVersion(0));
  value["name"] = "to-" + service;
  value["path_prefix"] = "/to/" + service + '/';
  value["target"] = service;
  return add({}, json::array(), json::array({std::move(value)}));
}

void OrderLedger::reportOnce(Span now, const char* check, const std::string& subject,
                             const std::string& detail) {
  if (!reported_.insert(check + subject).second) return;
  judge_.reportViolation(now, std::string("CONFIG ") + check, subject + detail);
}

// Exempts versions that the control plane may have forgotten: an order with a version far below the newest
// ones is acknowledged without effect.
bool OrderLedger::isRemembered(const ItemVersion& at) const {
  const auto found = acknowledgedVersions_.find(at.key);
  if (found == acknowledgedVersions_.end()) return true;
  const auto later = std::distance(found->second.upper_bound(at.version), found->second.end());
  return static_cast<std::size_t>(later) < kRememberedVersions;
}

const Order* OrderLedger::orderOf(const ItemVersion& at, const std::string& value) const {
  const auto values = sent_.find(at);
  if (values == sent_.end()) return nullptr;
  const auto sent = values->second.find(value);
  return sent == values->second.end() ? nullptr : &orders_.at(sent->second);
}

// A value that is acknowledged, applied or read back has been decided, and each version is decided only once.
void OrderLedger::checkDecided(Span now, const ItemVersion& at, const std::string& value,
                               const std::string& where) {
  const Order* const order = orderOf(at, value);
  if (order == nullptr)
    return reportOnce(now, "unsent", textOf(at), " is " + where + " with a value that was never sent");
  if (!order->valid) reportOnce(now, "refused in force", textOf(at), ", which is invalid, is " + where);
  if (order->rejected)
    reportOnce(now, "refused in force", textOf(at),
               " of rejected order " + std::to_string(order->no) + " is " + where);
  const auto [decided, inserted] = decided_.try_emplace(at, value);
  if (inserted || decided->second == value) return;
  reportOnce(now, "two values", textOf(at),
             ": orders " + std::to_string(order->no) + " (" + where + ") and " +
                 std::to_string(sent_.at(at).at(decided->second)));
}

void OrderLedger::acknowledgedByControl(Span now, OrderNo no) {
  const Order& order = orders_.at(no);
  if (!order.valid) reportOnce(now, "invalid", "order " + std::to_string(no), " was acknowledged");
  for (const auto& [at, value] : order.values) {
    if (isRemembered(at)) checkDecided(now, at, value, "acknowledged");
  }
}

void OrderLedger::responseReceived(Span now, OrderNo no, std::uint32_t status) {
  Order& order = orders_.at(no);
  if (status == 200) {
    if (order.rejected)
      reportOnce(now, "both answers", "order " + std::to_string(no), " was rejected before");
    if (!order.acknowledged) ++acknowledged_;
    order.acknowledged = true;
    for (const auto& entry : order.values) {
      const ItemVersion& at = entry.first;
      acknowledgedVersions_[at.key].insert(at.version);
      auto& newest = acknowledgedAt_[at.key];
      if (newest.empty() || newest.back().second < at.version) newest.emplace_back(now, at.version);
    }
    return;
  }
  if (status < 400 || status >= 500) return;
  if (order.acknowledged)
    reportOnce(now, "both answers", "order " + std::to_string(no), " was acknowledged before");
  if (!order.rejected) ++rejected_;
  order.rejected = true;
  for (const auto& [at, value] : order.values) {
    const auto decided = decided_.find(at);
    if (decided != decided_.end() && decided->second == value)
      reportOnce(now, "refused in force", textOf(at), " of order " + std::to_string(no) + " was decided");
  }
}

void OrderLedger::valueApplied(Span now, std::size_t sidecar, std::uint64_t incarnation,
                               const ItemVersion& at, const std::string& value) {
  const std::pair<std::size_t, std::string> place{sidecar, at.key};
  const auto last = applied_.find(place);
  if (last != applied_.end() && last->second.first == incarnation) {
    const ItemVersion& before = last->second.second;
    if (before == at && appliedValues_[place] == value) return;
    if (before.version > at.version)
      reportOnce(now, "went back", textOf(before),
                 " was replaced by version " + std::to_string(at.version) + " at sidecar " +
                     std::to_string(sidecar));
    if (before == at) reportOnce(now, "value changed", textOf(at), " at sidecar " + std::to_string(sidecar));
  }
  applied_[place] = {incarnation, at};
  appliedValues_[place] = value;
  const Order* const order = orderOf(at, value);
  if (order != nullptr && order->superseded.contains(at))
    reportOnce(
        now, "old in force", textOf(at),
        " came into force at sidecar " + std::to_string(sidecar) + " after a later one was acknowledged");
  checkDecided(now, at, value, "in force at sidecar " + std::to_string(sidecar));
}

void OrderLedger::configRead(Span now, const json& answer, const MinVersions& minimum,
                             const std::string& rule) {
  MinVersions versions;
  const auto take = [&](const std::string& kind, const json& value) {
    const ItemVersion at{kind + value.at("name").get<std::string>(), versionIn(value)};
    versions[at.key] = at.version;
    checkDecided(now, at, value.dump(), "read back");
  };
  for (const json& service : answer.at("service_list")) take("service/", service);
  for (const json& host : answer.at("host_map")) {
    for (const json& route : host.at("path_routes")) take("route/", route);
  }
  for (const auto& [key, required] : minimum) {
    const auto found = versions.find(key);
    const std::uint64_t version = found == versions.end() ? 0 : found->second;
    if (version >= required) continue;
    judge_.reportViolation(now, rule,
                           key + " was read as version " + std::to_string(version) + ", " +
                               std::to_string(required) + " was acknowledged");
  }
}

std::uint64_t OrderLedger::newestAt(const std::string& key, Span time) const {
  const auto found = acknowledgedAt_.find(key);
  if (found == acknowledgedAt_.end()) return 0;
  const auto after = std::partition_point(found->second.begin(), found->second.end(),
                                          [&](const auto& entry) { return entry.first <= time; });
  return after == found->second.begin() ? 0 : std::prev(after)->second;
}

MinVersions OrderLedger::minVersionsAt(Span time) const {
  MinVersions versions;
  for (const auto& entry : acknowledgedAt_) {
    if (const std::uint64_t version = newestAt(entry.first, time); version > 0)
      versions[entry.first] = version;
  }
  return versions;
}

// A rejection is justified if another valid order for the same version was acknowledged, or may have been
// because its last attempt got no response.
void OrderLedger::finish(Span now) {
  for (const auto& [no, order] : orders_) {
    if (!order.rejected || !order.valid) continue;
    const bool justified = std::any_of(order.values.begin(), order.values.end(), [&](const auto& entry) {
      const auto& conflicting = sent_.at(entry.first);
      return std::any_of(conflicting.begin(), conflicting.end(), [&](const auto& candidate) {
        const Order& other = orders_.at(candidate.second);
        return other.no != order.no && other.valid && (other.acknowledged || !other.rejected);
      });
    });
    if (!justified)
      reportOnce(now, "false refusal", "order " + std::to_string(no),
                 " conflicts with no order that may have succeeded");
  }
}

}  // namespace rackroute::lab::mesh
