#pragma once

// What a part of the control process wants done after an input: messages, entries for the disk, what came
// into force, what became of orders. It decides nothing.

#include <cstdint>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "mesh/control/messages.hpp"

namespace rackroute::mesh {

/// A key of the store and its value; none: removed.
using StoreEntry = std::pair<std::string, std::optional<std::string>>;

struct Envelope {
  /// The control process that it goes to; this process itself included. None: all voters of the set in force.
  std::optional<Address> to;
  Message message;
};

enum class OrderResult {
  decided,   // in force, or was already
  conflict,  // another value is decided for one of its registers; nothing of it is in force
  busy,      // too many orders are under way here; nothing of it was begun
};
struct OrderOutcome {
  std::uint64_t call = 0;
  OrderResult result = OrderResult::decided;
  std::vector<Item> standing;  // conflict: what stands in its place
};

struct Effects {
  std::vector<Envelope> messages;    // to be sent at once
  std::vector<StoreEntry> entries;   // to be written, all of them in one batch
  std::vector<Envelope> afterWrite;  // to be sent once the entries are on disk; never, if the write fails
  std::vector<Item> decided;         // came into force; not known here before
  std::vector<OrderOutcome> outcomes;
};

}  // namespace rackroute::mesh
