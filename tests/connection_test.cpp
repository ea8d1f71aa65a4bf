// Connections that close gracefully: all queued bytes are written first, however slowly the peer reads.

#include "sidecar/connection.hpp"

#include <Poco/Net/ServerSocket.h>
#include <sys/socket.h>

#include <catch2/catch.hpp>
#include <memory>
#include <optional>
#include <string>
#include <vector>

using namespace rackroute;
using namespace rackroute::sidecar;
using namespace std::chrono_literals;

namespace {

constexpr Span kLinger = 100ms;
constexpr Span kWriteStall = 300ms;
constexpr Span kReadInterval = 20ms;
constexpr Span kTestLimit = 20s;
constexpr std::size_t kMessageBytes = 1 << 20;
constexpr int kBufferBytes = 16 * 1024;  // of the sockets, so that the peer's reading sets the pace

/// The writing side. Ends the loop once it is closed.
class Writer : public Connection {
 public:
  Writer(Loop& loop, Poco::Net::StreamSocket socket) : Connection(loop, "test", std::move(socket), "peer") {
    setLingerLimits(0, kLinger);
    setWriteStallTimeout(kWriteStall);
    ::setsockopt(descriptor(), SOL_SOCKET, SO_SNDBUF, &kBufferBytes, sizeof(kBufferBytes));
  }

  std::optional<Span> closedAt;

 protected:
  void received() override {}
  void closed(CloseReason) override {
    closedAt = loop_.now();
    loop_.stop();
  }
};

/// A connection that sends one message and then closes, to a peer that reads it in small pieces.
class ClosingConnection {
 public:
  ClosingConnection() {
    Poco::Net::ServerSocket listener;
    listener.bind(Poco::Net::SocketAddress("127.0.0.1:0"));
    listener.listen(1);
    peer_.connect(listener.address());
    peer_.setReceiveBufferSize(kBufferBytes);
    peer_.setBlocking(false);
    writer_ = std::make_shared<Writer>(loop_, listener.acceptConnection());
  }

  /// Returns the bytes that the peer has received once the connection is closed. peerReads: whether it reads.
  std::size_t run(bool peerReads) {
    writer_->open();
    http::GatherBuffer message;
    message.text(std::string(kMessageBytes, 'x'));
    writer_->send(std::move(message));
    writer_->finish(CloseReason::done);
    if (peerReads) read();
    loop_.after(kTestLimit, [this] { loop_.stop(); });
    loop_.runGuarded([] {});  // sets the poll timeout for the first timer
    loop_.run();
    return received_;
  }
  [[nodiscard]] std::optional<Span> closedAt() const { return writer_->closedAt; }

 private:
  void read() {
    std::vector<char> piece(kBufferBytes);
    const auto size = ::recv(peer_.impl()->sockfd(), piece.data(), piece.size(), 0);
    if (size == 0) return peer_.close();  // the whole message has arrived
    if (size > 0) received_ += static_cast<std::size_t>(size);
    loop_.after(kReadInterval, [this] { read(); });
  }

  Loop loop_;
  Poco::Net::StreamSocket peer_;
  std::shared_ptr<Writer> writer_;
  std::size_t received_ = 0;
};

}  // namespace

TEST_CASE("a connection that closes after a large message is not cut while its peer still reads") {
  ClosingConnection connection;
  CHECK(connection.run(true) == kMessageBytes);
  REQUIRE(connection.closedAt());
  CHECK(*connection.closedAt() > 2 * kLinger);
}

TEST_CASE("a connection that closes does not wait without bound for a peer that reads nothing") {
  ClosingConnection connection;
  CHECK(connection.run(false) == 0);
  REQUIRE(connection.closedAt());
  CHECK(*connection.closedAt() < 2 * kWriteStall);
}
