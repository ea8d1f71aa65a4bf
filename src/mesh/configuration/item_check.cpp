#include "mesh/configuration/item_check.hpp"

#include <algorithm>
#include <utility>
#include <vector>

namespace rackroute::mesh {
namespace {

using nlohmann::json;

/// Of arrays and objects in one value. The JSON library copies and writes them recursively, so that a deeper
/// one could exhaust the stack.
constexpr std::size_t kDeepestNesting = 256;

enum class Type { text, number, list };

bool isOf(Type type, const json& value) {
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

std::string faultOfTargets(const json& route) {
  if (route.contains("target") == route.contains("weighted")) return "needs either target or weighted";
  if (route.contains("target")) return {};
  bool anyWeight = false;
  for (const json& part : route["weighted"]) {
    if (!part.is_object() || !part.contains("target") || !part["target"].is_string())
      return "weighted lacks a target";
    if (!part.contains("weight") || !part["weight"].is_number()) return "weighted lacks a weight";
    const double weight = part["weight"].get<double>();
    if (!(weight >= 0)) return "weighted has a weight below 0";
    anyWeight = anyWeight || weight > 0;
  }
  return anyWeight ? "" : "weighted has no weight";
}

bool nestedTooDeep(const json& value) {
  std::vector<std::pair<const json*, std::size_t>> open{{&value, 1}};
  while (!open.empty()) {
    const auto [outer, depth] = open.back();
    open.pop_back();
    if (!outer->is_structured()) continue;
    if (depth > kDeepestNesting) return true;
    for (const json& inner : *outer) open.emplace_back(&inner, depth + 1);
  }
  return false;
}

}  // namespace

std::string faultOf(ItemKind kind, const json& value) {
  if (!value.is_object()) return "is no object";
  if (nestedTooDeep(value)) return "is nested too deep";
  for (const FieldRule& rule : rulesOf(kind)) {
    const auto field = value.find(rule.name);
    if (field == value.end() && rule.required) return std::string("lacks ") + rule.name;
    if (field != value.end() && !isOf(rule.type, *field))
      return std::string(rule.name) + " is of another type";
  }
  if (kind != ItemKind::route) return {};
  return faultOfTargets(value);
}

}  // namespace rackroute::mesh
