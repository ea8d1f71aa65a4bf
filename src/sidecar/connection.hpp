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

#include "http/gather_buffer.hpp"
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
  cut,
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
  void send(http::GatherBuffer pieces);
  /// Ends it once all is written and the peer has seen it: no reset overtakes the last answer.
  void finish(Reason reason);
  void end(Reason reason);
  [[nodiscard]] bool ended() const { return ended_; }
  [[nodiscard]] bool finishing() const { return finishing_; }
  [[nodiscard]] bool allWritten() const { return out_.empty(); }
  /// Bytes that wait to be written.
  [[nodiscard]] std::size_t backlog() const { return out_.size(); }
  /// Reads nothing more until it is to again: the peer then waits, and nobody else.
  void pauseReading(bool pause);
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

  /// Bytes moved so far, either way: what tells a slow peer from a stalled one.
  [[nodiscard]] std::uint64_t moved() const { return bytesIn_ + bytesOut_; }
  [[nodiscard]] bool pausedReading() const { return paused_; }
  [[nodiscard]] std::uint64_t bytesWritten() const { return bytesOut_; }
  /// While it finishes: how much is still read and thrown away, and for how long.
  void lingerFor(std::size_t unread, Span time) {
    mostUnread_ = unread;
    linger_ = time;
  }
  /// Ends with a reset, so that the peer knows that something is missing.
  void endCut(Reason reason);
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
  http::GatherBuffer out_;
  Loop::TimerId lingering_;
  std::size_t unread_ = 0;  // bytes that came after the last answer
  std::uint64_t bytesIn_ = 0;
  std::uint64_t bytesOut_ = 0;
  Reason finishReason_ = Reason::done;
  std::size_t mostUnread_ = 64 * 1024;     // bytes after a last answer; the rest of a query that is too long
  Span linger_ = std::chrono::seconds(1);  // for the peer to see a last answer; far above any round trip
  bool registered_ = false;
  bool paused_ = false;
  bool dialing_ = false;
  bool wantsWrite_ = false;
  bool broken_ = false;
  bool finishing_ = false;
  bool ended_ = false;
};

}  // namespace rackroute::sidecar
