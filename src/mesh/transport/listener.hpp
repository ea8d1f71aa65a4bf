#pragma once

// One address that connections come to. It owns the socket and hands on what it accepts; it must never be
// stopped by a connection that fails.

#include <Poco/Net/ServerSocket.h>
#include <Poco/Net/SocketNotification.h>

#include <functional>

#include "mesh/names.hpp"
#include "sidecar/loop.hpp"

namespace rackroute::mesh {

class Listener {
 public:
  using Accepted = std::function<void(Poco::Net::StreamSocket socket, std::string peer)>;
  /// Throws Poco's exceptions where the address can't be had.
  Listener(sidecar::Loop& loop, const Address& address, Accepted accepted);
  Listener(const Listener&) = delete;
  Listener& operator=(const Listener&) = delete;
  ~Listener();
  void close();

 private:
  void accept(Poco::Net::ReadableNotification* event);

  sidecar::Loop& loop_;
  Accepted accepted_;
  Poco::Net::ServerSocket socket_;
  bool open_ = false;
};

}  // namespace rackroute::mesh
