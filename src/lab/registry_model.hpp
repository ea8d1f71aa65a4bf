#pragma once

// Model of the discovery service: a server list that lags behind reality, watches that receive changes, calls
// that are served one at a time and fail after a maximum wait, and its faults: outages, delays, empty and
// partial lists. No clock and no I/O.

#include <cstdint>
#include <optional>
#include <set>
#include <vector>

#include "lab/scenario.hpp"
#include "rackroute/balancer.hpp"

namespace rackroute::lab {

struct RegisteredServer {
  ServerId id;
  std::size_t index = 0;  // index in the fleet
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
        maxWait_(scenario.discoveryMaxWait),
        onRequest_(scenario.onRequest),
        sentUpTo_(scenario.balancers) {}

  void add(const RegisteredServer& server, bool listed);
  void change(ServerId server, Lifecycle lifecycle, std::optional<Span> startedAt);
  /// Servers to omit from complete lists although they are registered.
  void hide(std::vector<ServerId> servers) { hidden_ = std::move(servers); }
  void setDelay(Span by) { delay_ = by; }
  [[nodiscard]] Span delay() const { return delay_; }
  /// Starts or ends an outage; returns the balancers whose watches break.
  std::vector<std::uint32_t> setOutage(bool inOutage);
  [[nodiscard]] bool inOutage() const { return out_; }
  /// Completion time of a call that arrives at the given time; nullopt if it fails.
  std::optional<Span> admitCall(Span at);

  /// Registers the balancer for changes if it watches.
  void subscribe(std::uint32_t balancer, bool watches);
  [[nodiscard]] std::vector<std::uint32_t> watching() const { return {watching_.begin(), watching_.end()}; }
  [[nodiscard]] bool hasPendingChanges(std::uint32_t balancer) const {
    return sentUpTo_[balancer] < log_.size();
  }
  /// Entries that changed since the last call for this balancer, one per server.
  std::vector<RegistryEntry> takeChanges(std::uint32_t balancer);
  [[nodiscard]] std::vector<RegistryEntry> snapshot() const;

 private:
  Span callWork_;
  Span maxWait_;
  bool onRequest_;  // balancers have to request a watch; otherwise all of them always receive changes
  std::vector<RegistryEntry> entries_;  // by fleet index
  std::vector<std::size_t> log_;        // fleet indexes in order of change
  std::vector<std::size_t> sentUpTo_;   // by balancer: length of the log already sent
  std::set<std::uint32_t> watching_;
  std::vector<ServerId> hidden_;
  Span delay_{};
  Span idleAt_{};
  bool out_ = false;
};

}  // namespace rackroute::lab
