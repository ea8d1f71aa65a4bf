// Orders and the registers of their items; declared in messages.hpp.

#include <xxhash.h>

#include <algorithm>
#include <tuple>

#include "mesh/control/messages.hpp"

namespace rackroute::mesh {

Span extraTimeFor(std::size_t items) {
  constexpr std::size_t kSmallOrder = 20;  // orders up to this size need no extra time
  constexpr Span kTimePerItem = std::chrono::milliseconds(2);
  return kTimePerItem * (items - std::min(items, kSmallOrder));
}

RegisterId registerOf(const Item& item) { return {item.key, item.generation}; }

bool isVoterSetOrder(const Order& order) {
  return !order.items.empty() && order.items.front().key.kind == ItemKind::voters;
}

OrderPtr makeOrder(std::vector<Item> items) {
  std::vector<std::uint64_t> prints;
  for (Item& item : items) {
    if (item.hash != 0) continue;
    item.hash = hashOf(item);
    item.wire.reset();  // the serialized form lacks the hash
  }
  // Makes the id independent of the order in which the items were listed.
  std::sort(items.begin(), items.end(), [](const Item& left, const Item& right) {
    return std::tie(left.key, left.generation, left.hash) < std::tie(right.key, right.generation, right.hash);
  });
  for (const Item& item : items) prints.push_back(item.hash);
  Order order;
  order.id = XXH3_64bits(prints.data(), prints.size() * sizeof(std::uint64_t));
  order.items = std::move(items);
  return std::make_shared<const Order>(std::move(order));
}

}  // namespace rackroute::mesh
