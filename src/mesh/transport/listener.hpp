#pragma once

// A listening TCP socket that passes accepted connections to a callback. Errors of single connections do not
// stop it.

#include <Poco/Net/ServerSocket.h>
#include <Poco/Net/SocketNotification.h>

#include <functional>

#include "mesh/names.hpp"
#include "sidecar/loop.hpp"

namespace rackroute::mesh {

class Listener {
 public:
  using OnAccept = std::function<void(Poco::Net::StreamSocket socket, std::string peer)>;
  /// Throws Poco exceptions if it cannot listen on the address.
  Listener(sidecar::Loop& loop, const Address& address, OnAccept onAccept);
  Listener(const Listener&) = delete;
  Listener& operator=(const Listener&) = delete;
  ~Listener();
  void close();

 private:
  void accept(Poco::Net::ReadableNotification* event);

  sidecar::Loop& loop_;
  OnAccept onAccept_;
  Poco::Net::ServerSocket socket_;
  bool open_ = false;
};

}  // namespace rackroute::mesh
