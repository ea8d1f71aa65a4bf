#pragma once

// The operators' door: a listener of its own on the one loop, one call to a connection. It owns its listener
// and its connections, a bounded few. It must never touch a query, nor keep a caller waiting on another that
// says nothing; what a call does is decided where it is handed on to.

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
class Exchange;
class FleetSide;

/// What an operator asks for a server, and the yes or no that comes once it holds.
using Maintenance = std::function<void(ServerId server, bool out, std::function<void(bool)> said)>;

class AdminSide {
 public:
  AdminSide(Loop& loop, Exchange& exchange, const settings::ParsedSettings& told, Maintenance maintain);
  AdminSide(const AdminSide&) = delete;
  AdminSide& operator=(const AdminSide&) = delete;
  ~AdminSide();

  void listen(const Poco::Net::SocketAddress& address);
  /// Tells of the fleet too; it must outlive this.
  void show(const FleetSide& fleet) { fleet_ = &fleet; }
  /// Whether this process is ready to serve, as it tells.
  void ready(bool yes) { ready_ = yes; }

 private:
  friend class AdminConnection;

  void accept(Poco::Net::ReadableNotification* event);
  bool acceptOne();
  [[nodiscard]] std::string figures() const;

  Loop& loop_;
  Exchange& exchange_;
  const settings::ParsedSettings& told_;
  Maintenance maintain_;
  const FleetSide* fleet_ = nullptr;
  Poco::Net::ServerSocket listener_;
  std::list<std::shared_ptr<AdminConnection>> connections_;  // the oldest first
  bool ready_ = false;
};

}  // namespace rackroute::sidecar
