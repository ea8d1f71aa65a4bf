#pragma once

// The effects that a component of the control process requests after an input: messages, entries for the
// disk, items that came into force and outcomes of orders.

#include <cstdint>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "mesh/control/messages.hpp"

namespace rackroute::mesh {

/// A key of the store and its new value; none: the key is removed.
using StoreEntry = std::pair<std::string, std::optional<std::string>>;

struct Envelope {
  /// The receiving control process, possibly this process itself. None: all voters of the current set.
  std::optional<Address> to;
  Message message;
};

enum class OrderResult {
  decided,   // in force, now or already before
  conflict,  // another value is decided for one of its registers; no part of the order is in force
  busy,      // too many orders are in flight here; the order was not started
};
struct OrderOutcome {
  std::uint64_t call = 0;
  OrderResult result = OrderResult::decided;
  std::vector<Item> standing;  // conflict: the items in force instead
};

struct Effects {
  std::vector<Envelope> messages;    // sent immediately
  std::vector<StoreEntry> entries;   // written in one batch
  std::vector<Envelope> afterWrite;  // sent once the entries are on disk; dropped if the write fails
  std::vector<Item> decided;         // newly in force
  std::vector<OrderOutcome> outcomes;
};

}  // namespace rackroute::mesh
