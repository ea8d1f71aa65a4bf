#pragma once

// The stand-in for discovery as a model: a list that lags the truth, watches that are told of changes, calls
// that are worked off in turn and fail when they wait too long, and the faults it can have: out, late, empty
// or half lists. It reads no clock and does no I/O.

#include <cstdint>
#include <optional>
#include <set>
#include <vector>

#include "lab/scenario.hpp"
#include "rackroute/balancer.hpp"

namespace rackroute::lab {

struct RegisteredServer {
  ServerId id;
  std::size_t place = 0;  // in the fleet
  ZoneId zone;
  CellId cell;
  double size = 1;
};

struct RegistryEntry {
  RegisteredServer server;
  Lifecycle lifecycle = Lifecycle::serving;
  std::optional<Span> startedAt;
};

class RegistryModel {
 public:
  explicit RegistryModel(const Scenario& scenario)
      : callWork_(scenario.discoveryCall),
        patience_(scenario.discoveryPatience),
        asked_(scenario.onRequest),
        told_(scenario.balancers) {}

  void add(const RegisteredServer& server, bool there);
  void change(ServerId server, Lifecycle lifecycle, std::optional<Span> startedAt);
  /// Servers that whole lists leave out though they are there.
  void hide(std::vector<ServerId> servers) { hidden_ = std::move(servers); }
  void late(Span by) { late_ = by; }
  [[nodiscard]] Span lateBy() const { return late_; }
  /// Ends, or begins again; those whose watches break.
  std::vector<std::uint32_t> out(bool isOut);
  [[nodiscard]] bool isOut() const { return out_; }
  /// When a call that comes then is worked off; nothing: it fails.
  std::optional<Span> call(Span at);

  /// A balancer holds the list as it is now, and is told of changes or not.
  void joined(std::uint32_t balancer, bool watches);
  [[nodiscard]] std::vector<std::uint32_t> watching() const { return {watching_.begin(), watching_.end()}; }
  [[nodiscard]] bool behind(std::uint32_t balancer) const { return told_[balancer] < log_.size(); }
  /// What changed since it was last told, each server once.
  std::vector<RegistryEntry> changesFor(std::uint32_t balancer);
  [[nodiscard]] std::vector<RegistryEntry> whole() const;

 private:
  Span callWork_;
  Span patience_;
  bool asked_;                          // told of changes only while watching; else always
  std::vector<RegistryEntry> entries_;  // by place
  std::vector<std::size_t> log_;        // places, as they changed
  std::vector<std::size_t> told_;       // by balancer: how much of the log
  std::set<std::uint32_t> watching_;
  std::vector<ServerId> hidden_;
  Span late_{};
  Span free_{};
  bool out_ = false;
};

}  // namespace rackroute::lab
