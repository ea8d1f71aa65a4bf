#pragma once

// Records the configuration orders of operators, the responses to them, and the values that sidecars apply or
// that are read back. The ledger checks the rules on orders: one value per version of an item, no unjustified
// rejection, no value of a rejected order in force, no stale read. It is independent of the implementation of
// the mesh.

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

/// Versions of one item that the control plane remembers; an order with an older one is acknowledged without
/// effect.
inline constexpr std::size_t kRememberedVersions = 32;

/// An item and version; at most one value may ever be acknowledged or in force for it.
struct ItemVersion {
  std::string key;  // for example "route/pay" or "service/desk"
  std::uint64_t version = 0;
  auto operator<=>(const ItemVersion&) const = default;
};

using OrderNo = std::uint64_t;

/// A configuration change that an operator submits.
struct Order {
  OrderNo no = 0;
  std::string body;                           // of the PATCH request
  std::map<ItemVersion, std::string> values;  // as JSON
  bool valid = true;
  std::set<ItemVersion> superseded;  // a later version was acknowledged before this was sent: without effect
  bool acknowledged = false;
  bool rejected = false;
};

/// Minimum versions, by item key, that reads must return and sidecars must have applied.
using MinVersions = std::map<std::string, std::uint64_t>;

/// The record of all orders of a day. Violations are reported to the judge.
class OrderLedger {
 public:
  explicit OrderLedger(Judge& judge) : judge_(judge) {}

  /// The initial configuration: all services and routes, and additional routes without requests.
  OrderNo initialConfig(std::uint32_t idleRoutes);
  /// New values for these routes, as versions by route number. An invalid change must be rejected.
  OrderNo change(const std::map<std::uint32_t, std::uint64_t>& versions, bool valid);
  /// A valid change sent now; those of its versions that are below acknowledged ones must never be in force.
  OrderNo oldChange(Span now, const std::map<std::uint32_t, std::uint64_t>& versions);
  OrderNo newService(const std::string& name);
  OrderNo routeTo(const std::string& service);
  /// A version that is one to three above the last one.
  std::uint64_t nextVersion(std::uint32_t salt) { return version_ += 1 + salt % 3; }
  [[nodiscard]] const Order& order(OrderNo no) const { return orders_.at(no); }
  [[nodiscard]] std::uint32_t routes() const { return static_cast<std::uint32_t>(routeCount_); }

  /// A control process acknowledged the order, whether or not the response reaches the operator.
  void acknowledgedByControl(Span now, OrderNo no);
  /// The operator received this response.
  void responseReceived(Span now, OrderNo no, std::uint32_t status);
  /// A sidecar process applied the value.
  void valueApplied(Span now, std::size_t sidecar, std::uint64_t incarnation, const ItemVersion& at,
                    const std::string& value);
  /// A read returned this configuration; `minimum` was taken when the read started. Stale items break the
  /// rule.
  void configRead(Span now, const nlohmann::json& answer, const MinVersions& minimum,
                  const std::string& rule);
  /// The newest version acknowledged at or before that time; 0: none.
  [[nodiscard]] std::uint64_t newestAt(const std::string& key, Span time) const;
  [[nodiscard]] MinVersions minVersionsAt(Span time) const;
  /// Checks rejections, which a conflicting order may justify only later.
  void finish(Span now);

  [[nodiscard]] std::uint64_t sent() const { return orders_.size() - 1; }
  [[nodiscard]] std::uint64_t acknowledged() const { return acknowledged_; }
  [[nodiscard]] std::uint64_t rejected() const { return rejected_; }

 private:
  OrderNo add(Order order, nlohmann::json services, nlohmann::json routes);
  /// The order that sent this value for this version; null if there is none.
  [[nodiscard]] const Order* orderOf(const ItemVersion& at, const std::string& value) const;
  /// Checks a value that was acknowledged, applied or read back.
  void checkDecided(Span now, const ItemVersion& at, const std::string& value, const std::string& where);
  [[nodiscard]] bool isRemembered(const ItemVersion& at) const;
  /// Reports each check once per subject, as one fault shows at many sidecars.
  void reportOnce(Span now, const char* check, const std::string& subject, const std::string& detail);

  Judge& judge_;
  std::uint64_t version_ = 10;
  std::size_t routeCount_ = 0;
  std::map<OrderNo, Order> orders_;
  std::map<ItemVersion, std::map<std::string, OrderNo>> sent_;  // the order of each value
  std::map<ItemVersion, std::string> decided_;                  // the value acknowledged, applied or read
  std::map<std::string, std::vector<std::pair<Span, std::uint64_t>>> acknowledgedAt_;  // ascending in both
  std::map<std::string, std::set<std::uint64_t>> acknowledgedVersions_;
  std::map<std::pair<std::size_t, std::string>, std::pair<std::uint64_t, ItemVersion>>
      applied_;  // incarnation, version
  std::map<std::pair<std::size_t, std::string>, std::string> appliedValues_;
  std::set<std::string> reported_;  // checks and subjects of reported violations
  std::uint64_t acknowledged_ = 0;
  std::uint64_t rejected_ = 0;
};

}  // namespace rackroute::lab::mesh
