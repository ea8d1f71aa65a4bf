#pragma once

// Signals as bytes on a socket, so that they come in a turn of the loop like all else; what comes before the
// loop runs waits there. It owns that socket and the process's handlers: one a process.

#include <Poco/Net/SocketNotification.h>
#include <Poco/Net/StreamSocket.h>

#include <map>

#include "sidecar/loop.hpp"

namespace rackroute::sidecar {

class Signals {
 public:
  /// Throws std::runtime_error without a socket. A closed peer is told by the write, not by a signal, from
  /// here on.
  explicit Signals(Loop& loop);
  void on(int number, Loop::Task task);

 private:
  void read(Poco::Net::ReadableNotification* event);

  Loop& loop_;
  std::map<int, Loop::Task> tasks_;
  Poco::Net::StreamSocket socket_;
};

}  // namespace rackroute::sidecar
