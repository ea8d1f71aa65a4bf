#pragma once

// One TCP connection of any side: its socket, the bytes read and not yet used, the pieces not yet written.
// It owns its registration at the reactor and writes the one log line of its end. It must never call out
// from within a call on it (failures come in a later turn), never block, and knows no HTTP.

#include <Poco/Net/SocketAddress.h>
#include <Poco/Net/SocketNotification.h>
#include <Poco/Net/StreamSocket.h>

#include <cstdint>
#include <memory>
#include <string>
#include <string_view>

#include "http/gather.hpp"
#include "sidecar/loop.hpp"

namespace rackroute::sidecar {

enum class Reason {
  peerClosed,
  peerReset,
  refused,
  dialTimeout,
  executionTimeout,
  cancelled,
  badMessage,
  unreadAnswer,
  closeAsked,
  idle,
  stalled,
  silent,
  done,
  moved,
  descriptors,
  crowded,
  shutdown,
  fault
};

class Connection : public std::enable_shared_from_this<Connection> {
 public:
  /// An accepted socket, or one to dial with.
  Connection(Loop& loop, std::string_view side, Poco::Net::StreamSocket socket, std::string peer);
  Connection(const Connection&) = delete;
  Connection& operator=(const Connection&) = delete;
  virtual ~Connection();

  /// Registers an accepted socket. Apart from the constructor, as events need a shared owner.
  void open();
  void dial(const Poco::Net::SocketAddress& address);
  void send(http::Gather pieces);
  /// Ends it once all is written and the peer has seen it: no reset overtakes the last answer.
  void finish(Reason reason);
  void end(Reason reason);
  [[nodiscard]] bool ended() const { return ended_; }
  [[nodiscard]] bool finishing() const { return finishing_; }
  [[nodiscard]] bool allWritten() const { return out_.empty(); }
  [[nodiscard]] bool dialing() const { return dialing_; }
  /// Whether the peer has closed it or sent bytes that nobody asked for.
  [[nodiscard]] bool stale();

 protected:
  /// Takes what has come already, without waiting for the reactor to tell.
  void readNow() { read(); }
  virtual void opened() {}
  virtual void received() = 0;
  virtual void written() {}
  virtual void gone(Reason reason) = 0;  // exactly once, in a turn of its own or as the caller's end()

  [[nodiscard]] int descriptor() const { return socket_.impl()->sockfd(); }

  Loop& loop_;
  bool local_ = false;  // within the machine, not TCP
  std::string in_;
  std::uint64_t messages_ = 0;  // for the log line
  std::string_view why_;        // for the log line, where the reason alone says too little

 private:
  void onReadable(Poco::Net::ReadableNotification* event);
  void onWritable(Poco::Net::WritableNotification* event);
  void read();
  void write();
  void wantWrite(bool want);
  void endSoon(Reason reason);

  std::string_view side_;
  std::string peer_;
  Poco::Net::StreamSocket socket_;
  http::Gather out_;
  Loop::TimerId lingering_;
  std::size_t unread_ = 0;  // bytes that came after the last answer
  std::uint64_t bytesIn_ = 0;
  std::uint64_t bytesOut_ = 0;
  Reason finishReason_ = Reason::done;
  bool registered_ = false;
  bool dialing_ = false;
  bool wantsWrite_ = false;
  bool broken_ = false;
  bool finishing_ = false;
  bool ended_ = false;
};

}  // namespace rackroute::sidecar
