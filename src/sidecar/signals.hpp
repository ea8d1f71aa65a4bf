#pragma once

// Delivers POSIX signals as events of the loop, by way of a socket pair. Signals that arrive before the loop
// runs stay queued. At most one instance per process.

#include <Poco/Net/SocketNotification.h>
#include <Poco/Net/StreamSocket.h>

#include <map>

#include "sidecar/loop.hpp"

namespace rackroute::sidecar {

class Signals {
 public:
  /// Throws std::runtime_error if the socket pair cannot be created. Also ignores SIGPIPE.
  explicit Signals(Loop& loop);
  void on(int number, Loop::Task task);

 private:
  void read(Poco::Net::ReadableNotification* event);

  Loop& loop_;
  std::map<int, Loop::Task> tasks_;
  Poco::Net::StreamSocket socket_;
};

}  // namespace rackroute::sidecar
