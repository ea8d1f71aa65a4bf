#include "mesh/transport/listener.hpp"

#include <Poco/Exception.h>
#include <Poco/Net/StreamSocketImpl.h>
#include <Poco/Observer.h>
#include <sys/socket.h>

#include <cerrno>
#include <utility>

#include "mesh/transport/log.hpp"

namespace rackroute::mesh {
namespace {

using namespace std::chrono_literals;

constexpr int kBacklog = 512;        // connections; a burst of new ones between two turns
constexpr int kAccepted = 32;        // connections a turn; a storm of them must not hold up requests
constexpr Span kAcceptPause = 20ms;  // without descriptors; a few requests' time, and no spinning

}  // namespace

Listener::Listener(sidecar::Loop& loop, const Address& address, Accepted accepted)
    : loop_(loop), accepted_(std::move(accepted)) {
  socket_.bind(Poco::Net::SocketAddress(address.value), true, false);
  socket_.listen(kBacklog);
  socket_.setBlocking(false);
  loop_.addEventHandler(socket_,
                        Poco::Observer<Listener, Poco::Net::ReadableNotification>(*this, &Listener::accept));
  open_ = true;
}

Listener::~Listener() { close(); }

void Listener::close() {
  if (!open_) return;
  open_ = false;
  loop_.removeEventHandler(
      socket_, Poco::Observer<Listener, Poco::Net::ReadableNotification>(*this, &Listener::accept));
  socket_.close();
}

void Listener::accept(Poco::Net::ReadableNotification* event) {
  event->release();
  loop_.guarded([this] {
    for (int i = 0; i < kAccepted && open_; ++i) {
      sockaddr_storage from{};
      socklen_t size = sizeof(from);
      const int descriptor = ::accept4(socket_.impl()->sockfd(), reinterpret_cast<sockaddr*>(&from), &size,
                                       SOCK_NONBLOCK | SOCK_CLOEXEC);
      if (descriptor < 0) {
        if (errno != EMFILE && errno != ENFILE) return;
        // Guards against a loop that spins on a connection for which there is no descriptor.
        const Poco::Observer<Listener, Poco::Net::ReadableNotification> readable(*this, &Listener::accept);
        loop_.removeEventHandler(socket_, readable);
        loop_.in(kAcceptPause, [this, readable] {
          if (open_) loop_.addEventHandler(socket_, readable);
        });
        log(LogLevel::warning, "accept", "", "no descriptor left");
        return;
      }
      const Poco::Net::SocketAddress peer(reinterpret_cast<sockaddr*>(&from), size);
      accepted_(Poco::Net::StreamSocket(new Poco::Net::StreamSocketImpl(descriptor)), peer.toString());
    }
  });
}

}  // namespace rackroute::mesh
