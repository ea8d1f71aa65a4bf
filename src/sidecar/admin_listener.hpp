#pragma once

// HTTP listener for operators: readiness, metrics, fleet state and server maintenance. One request per
// connection, with a bounded number of connections, so that idle callers cannot block others.

#include <Poco/Net/ServerSocket.h>
#include <Poco/Net/SocketAddress.h>
#include <Poco/Net/SocketNotification.h>

#include <cstddef>
#include <functional>
#include <list>
#include <memory>
#include <string>

#include "rackroute/balancer.hpp"
#include "sidecar/loop.hpp"
#include "terms/balancer_settings.hpp"

namespace rackroute::sidecar {

class AdminConnection;
class Dispatcher;
class FleetTransport;

/// Disables or re-enables a server; `done` reports whether the change has been stored.
using Maintenance = std::function<void(ServerId server, bool disabled, std::function<void(bool)> done)>;

class AdminListener {
 public:
  AdminListener(Loop& loop, Dispatcher& dispatcher, const settings::ParsedSettings& settings,
                Maintenance maintain);
  AdminListener(const AdminListener&) = delete;
  AdminListener& operator=(const AdminListener&) = delete;
  ~AdminListener();

  void listen(const Poco::Net::SocketAddress& address);
  /// Adds the fleet's state and metrics to the responses. `fleet` must outlive this object.
  void showFleet(const FleetTransport& fleet) { fleet_ = &fleet; }
  /// Sets the state reported by /ops/readiness.
  void setReady(bool ready) { ready_ = ready; }

 private:
  friend class AdminConnection;

  void accept(Poco::Net::ReadableNotification* event);
  bool acceptOne();
  [[nodiscard]] std::string metrics() const;

  Loop& loop_;
  Dispatcher& dispatcher_;
  const settings::ParsedSettings& settings_;
  Maintenance maintain_;
  const FleetTransport* fleet_ = nullptr;
  Poco::Net::ServerSocket listener_;
  std::list<std::shared_ptr<AdminConnection>> connections_;  // oldest first
  bool ready_ = false;
};

}  // namespace rackroute::sidecar
