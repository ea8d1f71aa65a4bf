#pragma once

// What a configuration means, for the person who is to send it: which route a request takes and why, and what
// a change would alter. The same schema and code as the daemons'. It owns nothing; no I/O.

#include <string>
#include <string_view>
#include <vector>

#include "mesh/configuration/error.hpp"
#include "mesh/configuration/items.hpp"

namespace rackroute::mesh {

/// A change as it is sent, or all items as they are read back.
Result<std::vector<Item>> readPlan(std::string_view text);

enum class Weighs { plain, doubtful, wrong };

struct Remark {
  Weighs weighs = Weighs::plain;
  std::string item;
  std::string what;
};

/// What stands wrong or looks it in a configuration by itself.
std::vector<Remark> remarksOn(const Items& items);
/// What the change would alter in what is in force.
std::vector<Remark> alterations(const Items& inForce, const std::vector<Item>& change);
/// The steps to the route that a request takes, the last one being it or that there is none.
std::vector<std::string> wayOf(const Items& items, std::string_view host, std::string_view path, bool& found);

}  // namespace rackroute::mesh
