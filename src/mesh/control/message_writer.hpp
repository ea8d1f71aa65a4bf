#pragma once

// Encodes messages and their parts as JSON text. Values are not validated, as they originate from this
// process.

#include <span>
#include <string>
#include <string_view>
#include <tuple>

#include "mesh/control/base64.hpp"
#include "mesh/control/message_layout.hpp"

namespace rackroute::mesh::codec {

using nlohmann::json;

/// Appends values as JSON text. Writes text instead of building json objects, so that an item is serialized
/// once and its text shared by all messages that carry it.
class Writer {
 public:
  void put(bool value) { text_ += value ? "true" : "false"; }
  void put(std::uint32_t value) { text_ += std::to_string(value); }
  void put(std::uint64_t value) { text_ += std::to_string(value); }
  void put(const std::string& value) { put(json(value)); }
  /// Invalid UTF-8 in names is replaced, as the receiver could not parse it.
  void put(const json& value) { text_ += value.dump(-1, ' ', false, json::error_handler_t::replace); }
  void put(const std::vector<std::uint8_t>& bytes) { text_ += '"' + toBase64(bytes) + '"'; }
  void put(const KeyHash& hash) { text_ += '"' + textOf(hash) + '"'; }
  void put(const ItemKey& key) { put(textOf(key)); }
  void put(const Item& item) { text_ += wireOf(item); }
  void put(const ServerStatus& status) { put(toJson(status)); }
  void put(const OrderPtr& order) { put(order->items); }
  template <class Tag, class Value>
  void put(const Id<Tag, Value>& id) {
    put(id.value);
  }
  template <class T>
  void put(const std::optional<T>& value) {
    if (value)
      put(*value);
    else
      text_ += "null";
  }
  template <class First, class Second>
  void put(const std::pair<First, Second>& pair) {
    text_ += '[';
    put(pair.first);
    text_ += ',';
    put(pair.second);
    text_ += ']';
  }
  template <class T>
  void put(const std::vector<T>& list) {
    putList(std::span<const T>(list));
  }
  template <class T>
  void putList(std::span<const T> list) {
    text_ += '[';
    for (const T& entry : list) {
      put(entry);
      text_ += ',';
    }
    close(']');
  }
  template <ArrayLayout T>
  void put(const T& value) {
    text_ += '[';
    std::apply([&](auto... member) { ((put(value.*member), text_ += ','), ...); }, Layout<T>::elements);
    close(']');
  }
  template <ObjectLayout T>
  void put(const T& value) {
    text_ += '{';
    if constexpr (requires { Layout<T>::kind; }) text_ += std::string("\"t\":\"") + Layout<T>::kind + "\",";
    const auto putEach = [&](auto each) {
      // A missing optional field is read as its default value.
      if (each.required || !isDefault(value.*each.member)) putField(each.name, value.*each.member);
    };
    std::apply([&](auto... each) { (putEach(each), ...); }, Layout<T>::fields);
    close('}');
  }
  template <class T>
  void putField(const char* name, const T& value) {
    text_ += std::string("\"") + name + "\":";
    put(value);
    text_ += ',';
  }
  /// Removes the suffix if the text ends with it.
  void removeSuffix(std::string_view end) {
    if (std::string_view(text_).ends_with(end)) text_.resize(text_.size() - end.size());
  }
  void append(std::string_view text) { text_ += text; }
  std::string take() { return std::move(text_); }

 private:
  template <class T>
  static bool isDefault(const T& value) {
    if constexpr (requires { value.empty(); }) {
      return value.empty();
    } else {
      return value == T{};
    }
  }
  void close(char end) {
    removeSuffix(",");
    text_ += end;
  }

  std::string text_;
};

}  // namespace rackroute::mesh::codec
