#pragma once

// The configuration: named items, each with its own version, set or dropped. It owns them, merges copies item
// by item, and must never go back on an item, whatever is offered.

#include <cstdint>
#include <map>
#include <memory>
#include <nlohmann/json.hpp>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "mesh/configuration/error.hpp"
#include "mesh/names.hpp"

namespace rackroute::mesh {

/// voters: the set of control processes that vote; agreed on among them, no operator's.
enum class ItemKind { route, service, limits, voters };

struct ItemKey {
  ItemKind kind = ItemKind::route;
  std::string name;
  auto operator<=>(const ItemKey&) const = default;
};

struct Item {
  ItemKey key;
  Generation generation;
  bool dropped = false;
  std::string hostname;     // of a route
  nlohmann::json value;     // as the operator sent it; null if dropped
  std::uint64_t print = 0;  // of all the above, where it is held; large configurations are compared often
  mutable std::shared_ptr<const std::string> wire{};  // see wireOf
};

nlohmann::json toJson(const Item& item);
/// Hash of all that the item says; equal wherever equal items are held. Item::print, where that is set.
std::uint64_t printOf(const Item& item);
/// As toJson, in text; written out once, whatever it goes into, and shared by copies of the item.
const std::string& wireOf(const Item& item);
/// Throws nlohmann's exceptions for what no process of the mesh sends.
Item itemFrom(const nlohmann::json& from);
std::string textOf(const ItemKey& key);
std::optional<ItemKey> keyOf(std::string_view text);

/// All items of a change, checked for all that can be told without knowing what is in force. The failure
/// names item, field and rule.
Result<std::vector<Item>> readChange(std::string_view text);

class Items {
 public:
  /// Takes it if it is newer than what is held; among equal versions of two operators the copies agree on
  /// one.
  bool merge(const Item& item);
  /// As merge, for a call: a version that is held already has no effect, whatever it says.
  [[nodiscard]] bool newer(const Item& item) const;
  [[nodiscard]] const std::map<ItemKey, Item>& all() const { return items_; }
  [[nodiscard]] const Item* find(const ItemKey& key) const;
  /// Equal wherever equal items are held.
  [[nodiscard]] std::uint64_t digest() const { return digest_; }
  [[nodiscard]] nlohmann::json versions() const;
  /// What another with these versions lacks.
  [[nodiscard]] std::vector<Item> beyond(const nlohmann::json& versions) const;
  /// All that stands, laid out as a change's set.
  [[nodiscard]] nlohmann::json standing() const;
  /// The first service that the change's routes name and that would not stand after it.
  [[nodiscard]] std::optional<std::string> unknownService(const std::vector<Item>& change) const;

 private:
  std::map<ItemKey, Item> items_;
  std::uint64_t digest_ = 0;
};

/// The services that a route's item names.
std::vector<std::string> servicesOf(const Item& route);

}  // namespace rackroute::mesh
