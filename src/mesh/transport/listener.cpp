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

constexpr int kBacklog = 512;           // holds a burst of connections between two turns of the loop
constexpr int kMaxAcceptsPerTurn = 32;  // so that a burst of connections does not delay requests
constexpr Span kAcceptPause = 20ms;     // when no file descriptors are left

}  // namespace

Listener::Listener(sidecar::Loop& loop, const Address& address, OnAccept onAccept)
    : loop_(loop), onAccept_(std::move(onAccept)) {
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
  loop_.runGuarded([this] {
    for (int i = 0; i < kMaxAcceptsPerTurn && open_; ++i) {
      sockaddr_storage from{};
      socklen_t size = sizeof(from);
      const int descriptor = ::accept4(socket_.impl()->sockfd(), reinterpret_cast<sockaddr*>(&from), &size,
                                       SOCK_NONBLOCK | SOCK_CLOEXEC);
      if (descriptor < 0) {
        if (errno != EMFILE && errno != ENFILE) return;
        // Pauses accepting, as the pending connection would keep the socket readable and the loop spinning.
        const Poco::Observer<Listener, Poco::Net::ReadableNotification> readable(*this, &Listener::accept);
        loop_.removeEventHandler(socket_, readable);
        loop_.after(kAcceptPause, [this, readable] {
          if (open_) loop_.addEventHandler(socket_, readable);
        });
        log(LogLevel::warning, "accept", "", "out of file descriptors; accepting is paused");
        return;
      }
      const Poco::Net::SocketAddress peer(reinterpret_cast<sockaddr*>(&from), size);
      onAccept_(Poco::Net::StreamSocket(new Poco::Net::StreamSocketImpl(descriptor)), peer.toString());
    }
  });
}

}  // namespace rackroute::mesh
