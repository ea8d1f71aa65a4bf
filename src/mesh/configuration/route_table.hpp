#pragma once

// The routing table: selects a route by host, then by the longest matching path prefix.

#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

#include "mesh/configuration/items.hpp"

namespace rackroute::mesh {

/// pure: may run any number of times; effectful: at most once; keyed: once for each operation key.
enum class RouteKind { pure, effectful, keyed };

struct Route {
  std::string name;
  std::string prefix;
  RouteKind kind = RouteKind::effectful;
  Span timeout{};
  Span targetTime{};
  std::uint32_t priority = 0;                           // 0: highest
  std::uint32_t maxAttempts = 1;                        // servers that one request may reach
  std::vector<std::pair<ServiceName, double>> targets;  // with their weights
  double totalWeight = 0;
  Generation generation;
  /// Picks a target by weight; number is uniformly distributed in [0, 1).
  [[nodiscard]] const ServiceName& pickTarget(double number) const;
};

/// Limits on clients' requests and connections.
struct Limits {
  std::size_t bodyBytes = 64 << 20;
  Span headerTimeout = std::chrono::seconds(3);
  Span idleTimeout = std::chrono::seconds(15);
};

class RouteTable {
 public:
  /// Rebuilds the table from the items in force.
  void load(const Items& items);
  /// The path may include a query, the host a port.
  [[nodiscard]] std::shared_ptr<const Route> find(std::string_view host, std::string_view path) const;
  [[nodiscard]] const Limits& limits() const { return limits_; }
  [[nodiscard]] const std::vector<ServiceName>& services() const { return services_; }
  [[nodiscard]] bool empty() const { return hosts_.empty(); }

 private:
  using ByPrefix = std::unordered_map<std::string, std::shared_ptr<const Route>>;
  std::unordered_map<std::string, ByPrefix> hosts_;
  std::vector<ServiceName> services_;
  Limits limits_;
};

}  // namespace rackroute::mesh
