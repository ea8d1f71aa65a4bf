#pragma once

// What operators ordered, what they were answered, and what was seen in force or read back of it. The ledger
// judges the rules on orders: one value for each version of an item, no false refusal, nothing of a refused
// order in force, no stale read. It knows nothing of the mesh's parts.

#include <cstdint>
#include <functional>
#include <map>
#include <nlohmann/json.hpp>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "lab/mesh/judge.hpp"
#include "lab/mesh/workload.hpp"

namespace rackroute::lab::mesh {

/// Versions of one item that the control plane remembers; an order on an older one is acknowledged unseen.
inline constexpr std::size_t kRememberedVersions = 32;

/// A name and version; at most one value may ever be acknowledged or in force under it.
struct Register {
  std::string key;  // as "route/pay" or "service/desk"
  std::uint64_t version = 0;
  auto operator<=>(const Register&) const = default;
};

using OrderNo = std::uint64_t;

struct Order {
  OrderNo no = 0;
  std::string body;                        // of the PATCH
  std::map<Register, std::string> values;  // as JSON
  bool valid = true;
  std::set<Register> overtaken;  // a later version was acknowledged before it was sent: without effect
  bool acknowledged = false;
  bool refused = false;
};

/// Versions by item's key that reads and sidecars may not be older than.
using Floor = std::map<std::string, std::uint64_t>;

class OrderLedger {
 public:
  explicit OrderLedger(Judge& judge) : judge_(judge) {}

  /// All services and routes, with so many idle routes that nobody asks for.
  OrderNo first(std::uint32_t idleRoutes);
  /// New values of these routes, by their number, under these versions. Invalid: one that no process may
  /// take.
  OrderNo change(const std::map<std::uint32_t, std::uint64_t>& versions, bool valid);
  /// A valid change that is sent now; versions below acknowledged ones must never be in force.
  OrderNo oldChange(Span now, const std::map<std::uint32_t, std::uint64_t>& versions);
  OrderNo newService(const std::string& name);
  OrderNo routeTo(const std::string& service);
  /// A version above all that were given, by one to three.
  std::uint64_t nextVersion(std::uint32_t who) { return version_ += 1 + who % 3; }
  [[nodiscard]] const Order& order(OrderNo no) const { return orders_.at(no); }
  [[nodiscard]] std::uint32_t routes() const { return static_cast<std::uint32_t>(routeCount_); }

  /// A control process acknowledged it, whether or not the operator hears of that.
  void told(Span now, OrderNo no);
  /// The operator heard it.
  void answered(Span now, OrderNo no, std::uint32_t status);
  /// A sidecar's process took this into force.
  void inForce(Span now, std::size_t sidecar, std::uint64_t life, const Register& at,
               const std::string& value);
  /// The answer to a read that began when the floor was taken.
  void read(Span now, const nlohmann::json& answer, const Floor& floor, const std::string& rule);
  /// The newest version acknowledged at or before that time; 0: none.
  [[nodiscard]] std::uint64_t newestAt(const std::string& key, Span time) const;
  [[nodiscard]] Floor floorAt(Span time) const;
  /// Refusals whose reason may come to light only later.
  void end(Span now);

  [[nodiscard]] std::uint64_t sent() const { return orders_.size() - 1; }
  [[nodiscard]] std::uint64_t acknowledged() const { return acknowledged_; }
  [[nodiscard]] std::uint64_t refused() const { return refused_; }

 private:
  OrderNo add(Order order, nlohmann::json services, nlohmann::json routes);
  /// The order that gave the item that value under that version; null: none did.
  [[nodiscard]] const Order* orderOf(const Register& at, const std::string& value) const;
  void stands(Span now, const Register& at, const std::string& value, const std::string& where);
  [[nodiscard]] bool remembered(const Register& at) const;
  void failed(Span now, const char* check, const std::string& subject, const std::string& what);

  Judge& judge_;
  std::uint64_t version_ = 10;
  std::size_t routeCount_ = 0;
  std::map<OrderNo, Order> orders_;
  std::map<Register, std::map<std::string, OrderNo>> sent_;  // who ordered each value
  std::map<Register, std::string> standing_;                 // the value acknowledged, in force or read
  std::map<std::string, std::vector<std::pair<Span, std::uint64_t>>> acknowledgedAt_;  // ascending in both
  std::map<std::string, std::set<std::uint64_t>> acknowledgedVersions_;
  std::map<std::pair<std::size_t, std::string>, std::pair<std::uint64_t, Register>> held_;  // life, register
  std::map<std::pair<std::size_t, std::string>, std::string> heldValue_;
  std::set<std::string> told_;  // checks and subjects of the breaks told
  std::uint64_t acknowledged_ = 0;
  std::uint64_t refused_ = 0;
};

}  // namespace rackroute::lab::mesh
