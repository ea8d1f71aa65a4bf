#include "mesh/configuration/item_check.hpp"

#include <algorithm>
#include <utility>
#include <vector>

namespace rackroute::mesh {
namespace {

using nlohmann::json;

enum class Type { text, number, list };

bool hasType(Type type, const json& value) {
  switch (type) {
    case Type::text:
      return value.is_string();
    case Type::number:
      return value.is_number_integer();
    case Type::list:
      return value.is_array();
  }
  return false;
}

struct FieldRule {
  const char* name;
  Type type;
  bool required;
};

const std::vector<FieldRule>& rulesOf(ItemKind kind) {
  static const std::vector<FieldRule> route{
      {"path_prefix", Type::text, true},     {"route_kind", Type::text, true},  {"timeout", Type::text, true},
      {"target_time", Type::text, false},    {"priority", Type::number, false}, {"target", Type::text, false},
      {"max_attempts", Type::number, false}, {"weighted", Type::list, false}};
  static const std::vector<FieldRule> service{{"name", Type::text, true}};
  static const std::vector<FieldRule> limits{{"body_bytes", Type::number, false},
                                             {"header_bytes", Type::number, false},
                                             {"header", Type::text, false},
                                             {"idle", Type::text, false}};
  static const std::vector<FieldRule> none;
  switch (kind) {
    case ItemKind::route:
      return route;
    case ItemKind::service:
      return service;
    case ItemKind::limits:
      return limits;
    case ItemKind::voters:
      return none;
  }
  return none;
}

std::string validateTargets(const json& route) {
  if (route.contains("target") == route.contains("weighted"))
    return "needs exactly one of target and weighted";
  if (route.contains("target")) return {};
  bool anyWeight = false;
  for (const json& entry : route["weighted"]) {
    if (!entry.is_object() || !entry.contains("target") || !entry["target"].is_string())
      return "has an entry without a target in weighted";
    if (!entry.contains("weight") || !entry["weight"].is_number())
      return "has an entry without a weight in weighted";
    const double weight = entry["weight"].get<double>();
    if (!(weight >= 0)) return "has a negative weight in weighted";
    anyWeight = anyWeight || weight > 0;
  }
  return anyWeight ? "" : "has no positive weight in weighted";
}

bool nestedTooDeep(const json& value) {
  std::vector<std::pair<const json*, std::size_t>> pending{{&value, 1}};
  while (!pending.empty()) {
    const auto [outer, depth] = pending.back();
    pending.pop_back();
    if (!outer->is_structured()) continue;
    if (depth > kMaxNesting) return true;
    for (const json& inner : *outer) pending.emplace_back(&inner, depth + 1);
  }
  return false;
}

}  // namespace

std::string validateItem(ItemKind kind, const json& value) {
  if (!value.is_object()) return "is not an object";
  if (nestedTooDeep(value)) return "is nested too deeply";
  for (const FieldRule& rule : rulesOf(kind)) {
    const auto field = value.find(rule.name);
    if (field == value.end() && rule.required) return std::string("lacks ") + rule.name;
    if (field != value.end() && !hasType(rule.type, *field))
      return std::string(rule.name) + " has the wrong type";
  }
  if (kind != ItemKind::route) return {};
  return validateTargets(value);
}

}  // namespace rackroute::mesh
