#include "mesh/configuration/schema.hpp"

#include <rapidjson/document.h>
#include <rapidjson/encodedstream.h>
#include <rapidjson/error/en.h>
#include <rapidjson/memorystream.h>
#include <rapidjson/reader.h>
#include <rapidjson/schema.h>
#include <rapidjson/stringbuffer.h>

#include <cstddef>
#include <cstdint>
#include <memory>
#include <stdexcept>
#include <string>

#include "mesh/configuration/item_check.hpp"

namespace rackroute::mesh {
namespace {

// Levels of arrays and objects of a change around the value of an item.
constexpr std::size_t kNestingOfItems = 5;

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

/// Passes the parser's events on to the document, and stops the parser at a value that is nested too deeply,
/// before a tree of it exists: the document and the JSON library read, copy and serialize trees recursively.
class NestingLimit {
 public:
  NestingLimit(rapidjson::Document& document, std::size_t maxLevels)
      : document_(document), maxLevels_(maxLevels) {}

  using Size = rapidjson::SizeType;
  bool Null() { return document_.Null(); }
  bool Bool(bool value) { return document_.Bool(value); }
  bool Int(int value) { return document_.Int(value); }
  bool Uint(unsigned value) { return document_.Uint(value); }
  bool Int64(std::int64_t value) { return document_.Int64(value); }
  bool Uint64(std::uint64_t value) { return document_.Uint64(value); }
  bool Double(double value) { return document_.Double(value); }
  bool RawNumber(const char* text, Size size, bool copy) { return document_.RawNumber(text, size, copy); }
  bool String(const char* text, Size size, bool copy) { return document_.String(text, size, copy); }
  bool Key(const char* text, Size size, bool copy) { return document_.Key(text, size, copy); }
  bool StartObject() { return enter() && document_.StartObject(); }
  bool EndObject(Size members) {
    --levels_;
    return document_.EndObject(members);
  }
  bool StartArray() { return enter() && document_.StartArray(); }
  bool EndArray(Size elements) {
    --levels_;
    return document_.EndArray(elements);
  }

 private:
  bool enter() { return ++levels_ <= maxLevels_; }

  rapidjson::Document& document_;
  std::size_t maxLevels_;
  std::size_t levels_ = 0;
};

/// Parses without recursion. The result and the position of an error are those of the document's own parser.
rapidjson::ParseResult parse(std::string_view text, rapidjson::Document& document) {
  rapidjson::Reader reader;
  rapidjson::MemoryStream bytes(text.data(), text.size());
  rapidjson::EncodedInputStream<rapidjson::UTF8<>, rapidjson::MemoryStream> stream(bytes);
  rapidjson::ParseResult result;
  const auto generate = [&](rapidjson::Document& target) {
    NestingLimit limit(target, kMaxNesting + kNestingOfItems);
    result = reader.Parse<rapidjson::kParseIterativeFlag>(stream, limit);
    return !result.IsError();
  };
  document.Populate(generate);
  return result;
}

std::string describe(const rapidjson::ParseResult& result) {
  const bool stopped = result.Code() == rapidjson::kParseErrorTermination;
  return std::string(stopped ? "nested too deeply" : rapidjson::GetParseError_En(result.Code())) +
         " at byte " + std::to_string(result.Offset());
}

}  // namespace

Result<void> validateJson(Schema schema, std::string_view text) {
  const std::string step = schema == Schema::settings ? "settings" : "change";
  rapidjson::Document document;
  const rapidjson::ParseResult parsed = parse(text, document);
  if (parsed.IsError()) return failure(step, describe(parsed));
  rapidjson::SchemaValidator validator(schemaOf(schema));
  if (document.Accept(validator)) return boost::outcome_v2::success();
  rapidjson::StringBuffer where;
  validator.GetInvalidDocumentPointer().StringifyUriFragment(where);
  return failure(step,
                 std::string(where.GetString()) + " violates \"" + validator.GetInvalidSchemaKeyword() + '"');
}

Result<void> validateNesting(std::string_view text) {
  rapidjson::Document document;
  const rapidjson::ParseResult parsed = parse(text, document);
  if (parsed.IsError()) return failure("change", describe(parsed));
  return boost::outcome_v2::success();
}

}  // namespace rackroute::mesh
