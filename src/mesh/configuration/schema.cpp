#include "mesh/configuration/schema.hpp"

#include <rapidjson/document.h>
#include <rapidjson/error/en.h>
#include <rapidjson/schema.h>
#include <rapidjson/stringbuffer.h>

#include <memory>
#include <stdexcept>
#include <string>

namespace rackroute::mesh {
namespace {

constexpr std::string_view kSettings = R"({
  "type": "object",
  "required": ["node_name", "ip", "zone", "zones", "listen_addrs", "port_range", "seed_list", "bound_map"],
  "properties": {
    "node_name": {"type": "string", "minLength": 1},
    "ip": {"type": "string", "minLength": 1},
    "zone": {"type": "string", "minLength": 1},
    "zones": {"type": "object", "minProperties": 1},
    "listen_addrs": {"type": "object", "additionalProperties": {"type": "string"}},
    "port_range": {"type": "array", "minItems": 2, "maxItems": 2,
      "items": {"type": "integer", "minimum": 1, "maximum": 65535}},
    "seed_list": {"type": "array", "items": {"type": "string"}},
    "first_boot": {"type": "boolean"},
    "data_dir": {"type": ["string", "null"]},
    "limits": {"type": "object"},
    "target": {"type": "string"},
    "tolerance": {"type": "object", "properties": {"machine_losses": {"type": "integer", "minimum": 0}}},
    "bound_map": {"type": "object"}
  }
})";

constexpr std::string_view kChange = R"({
  "type": "object",
  "additionalProperties": false,
  "properties": {
    "upsert": {
      "type": "object",
      "additionalProperties": false,
      "properties": {
        "service_list": {"type": "array", "items": {
          "type": "object",
          "required": ["name", "generation"],
          "properties": {"name": {"type": "string", "minLength": 1}, "generation": {"type": "string"},
            "health_path": {"type": "string"}, "max_conns": {"type": "integer", "minimum": 1},
            "idempotent": {"type": "boolean"}}}},
        "limits": {
          "type": "object",
          "required": ["generation"],
          "properties": {"generation": {"type": "string"},
            "header_bytes": {"type": "integer", "minimum": 1}, "body_bytes": {"type": "integer", "minimum": 0},
            "header": {"type": "string"}, "idle": {"type": "string"}}},
        "host_map": {"type": "array", "items": {
          "type": "object",
          "required": ["hostname", "path_routes"],
          "properties": {
            "hostname": {"type": "string", "minLength": 1},
            "path_routes": {"type": "array", "items": {
              "type": "object",
              "required": ["name", "path_prefix", "route_kind", "timeout", "generation"],
              "properties": {
                "name": {"type": "string", "minLength": 1}, "generation": {"type": "string"},
                "path_prefix": {"type": "string", "minLength": 1},
                "route_kind": {"enum": ["pure", "effectful", "keyed"]},
                "timeout": {"type": "string"}, "target_time": {"type": "string"},
                "priority": {"type": "integer", "minimum": 0},
                "max_attempts": {"type": "integer", "minimum": 1},
                "target": {"type": "string", "minLength": 1},
                "weighted": {"type": "array", "minItems": 1, "items": {
                  "type": "object", "required": ["target", "weight"],
                  "properties": {"target": {"type": "string", "minLength": 1},
                    "weight": {"type": "number", "minimum": 0}}}}}}}}}}
      }
    },
    "remove": {
      "type": "object",
      "additionalProperties": {"type": "array", "items": {
        "type": "object", "required": ["name", "generation"],
        "properties": {"name": {"type": "string", "minLength": 1}, "generation": {"type": "string"}}}}
    }
  }
})";

const rapidjson::SchemaDocument& schemaOf(Schema schema) {
  const auto compile = [](std::string_view text) {
    rapidjson::Document parsed;
    parsed.Parse(text.data(), text.size());
    if (parsed.HasParseError()) throw std::logic_error("built-in schema is not valid JSON");
    return std::make_unique<rapidjson::SchemaDocument>(parsed);
  };
  static const auto settings = compile(kSettings);
  static const auto change = compile(kChange);
  return schema == Schema::settings ? *settings : *change;
}

}  // namespace

Result<void> validateJson(Schema schema, std::string_view text) {
  const std::string step = schema == Schema::settings ? "settings" : "change";
  rapidjson::Document document;
  document.Parse(text.data(), text.size());
  if (document.HasParseError()) {
    return failure(step, std::string(rapidjson::GetParseError_En(document.GetParseError())) + " at byte " +
                             std::to_string(document.GetErrorOffset()));
  }
  rapidjson::SchemaValidator validator(schemaOf(schema));
  if (document.Accept(validator)) return boost::outcome_v2::success();
  rapidjson::StringBuffer where;
  validator.GetInvalidDocumentPointer().StringifyUriFragment(where);
  return failure(step,
                 std::string(where.GetString()) + " violates \"" + validator.GetInvalidSchemaKeyword() + '"');
}

}  // namespace rackroute::mesh
