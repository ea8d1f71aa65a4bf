#pragma once

// Which route a request takes: by host, then the longest prefix that begins its path. It owns the routes as
// read from the items in force, and nothing of a request.

#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

#include "mesh/configuration/items.hpp"

namespace rackroute::mesh {

enum class RouteKind { pure, effectful, keyed };

struct Route {
  std::string name;
  std::string prefix;
  RouteKind kind = RouteKind::effectful;
  Span timeout{};
  Span aim{};
  std::uint32_t priority = 0;                           // 0: highest
  std::uint32_t mostServers = 1;                        // to which one try may be sent
  std::vector<std::pair<ServiceName, double>> targets;  // with their weights
  double weights = 0;                                   // their sum
  Generation generation;
  /// One of the targets; number is drawn evenly from 0 up to 1.
  [[nodiscard]] const ServiceName& targetAt(double number) const;
};

/// What clients may send, and how long they may take.
struct Limits {
  std::size_t bodyBytes = 64 << 20;
  Span header = std::chrono::seconds(3);
  Span idle = std::chrono::seconds(15);
};

class RouteTable {
 public:
  void read(const Items& items);
  /// The path may carry a query, the host a port.
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
