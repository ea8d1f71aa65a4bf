#pragma once

// The configuration: named items, each with its own version, set or dropped. Copies are merged item by item;
// the version of an item never decreases.

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

/// voters: the set of voting control processes, which they agree on themselves; operators can't change it.
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
  std::string hostname;                               // routes only
  nlohmann::json value;                               // as the operator sent it; null if dropped
  std::uint64_t hash = 0;                             // cached hashOf() of stored items; 0: not computed
  mutable std::shared_ptr<const std::string> wire{};  // see wireOf
};

nlohmann::json toJson(const Item& item);
/// Hash of the item's contents, the same in all processes.
std::uint64_t hashOf(const Item& item);
/// The text of toJson(), cached and shared by copies of the item.
const std::string& wireOf(const Item& item);
/// Throws nlohmann's exceptions for malformed input.
Item itemFromJson(const nlohmann::json& from);
std::string textOf(const ItemKey& key);
std::optional<ItemKey> keyOf(std::string_view text);

/// Parses a change and validates all that does not depend on the configuration in force. The error names the
/// item, the field and the rule.
Result<std::vector<Item>> parseChange(std::string_view text);

class Items {
 public:
  /// Stores the item if it is newer than the stored one; returns whether it did. Between different contents
  /// with one version all copies choose the same.
  bool merge(const Item& item);
  /// Whether the item's version is higher than the stored one.
  [[nodiscard]] bool isNewer(const Item& item) const;
  [[nodiscard]] const std::map<ItemKey, Item>& all() const { return items_; }
  [[nodiscard]] const Item* find(const ItemKey& key) const;
  /// Digest of all items, the same for all copies with equal items.
  [[nodiscard]] std::uint64_t digest() const { return digest_; }
  [[nodiscard]] nlohmann::json versions() const;
  /// The items that a copy with these versions lacks.
  [[nodiscard]] std::vector<Item> newerThan(const nlohmann::json& versions) const;
  /// All items that are not dropped, in the form of a change's `upsert`.
  [[nodiscard]] nlohmann::json activeAsJson() const;
  /// Whether the change's routes refer to services that it does not add itself.
  [[nodiscard]] static bool refersToOtherServices(const std::vector<Item>& change);
  /// The first service that the change's routes refer to and that would not exist after it.
  [[nodiscard]] std::optional<std::string> unknownService(const std::vector<Item>& change) const;

 private:
  std::map<ItemKey, Item> items_;
  std::uint64_t digest_ = 0;
};

/// The services that a route's item refers to.
std::vector<std::string> servicesOf(const Item& route);

}  // namespace rackroute::mesh
