#pragma once

// Base class of all non-blocking stream connections: socket, read buffer, write queue and registration with
// the reactor. Logs one line when the connection ends. Failures are reported in a later turn of the loop,
// never from within a call on the connection.

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

enum class CloseReason {
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
  /// `socket` is either accepted, followed by open(), or unconnected, followed by dial(). `side` and `peer`
  /// are used for logging.
  Connection(Loop& loop, std::string_view side, Poco::Net::StreamSocket socket, std::string peer);
  Connection(const Connection&) = delete;
  Connection& operator=(const Connection&) = delete;
  virtual ~Connection();

  /// Registers an accepted socket. Separate from the constructor, as event handlers need shared_from_this().
  void open();
  void dial(const Poco::Net::SocketAddress& address);
  void send(http::GatherBuffer pieces);
  /// Closes gracefully: writes all queued data, shuts down sending and lingers until the peer closes, so that
  /// no reset overtakes the last message.
  void finish(CloseReason reason);
  /// Closes immediately.
  void end(CloseReason reason);
  [[nodiscard]] bool ended() const { return ended_; }
  [[nodiscard]] bool finishing() const { return finishing_; }
  [[nodiscard]] bool allWritten() const { return out_.empty(); }
  /// Number of bytes queued for writing.
  [[nodiscard]] std::size_t unsentBytes() const { return out_.size(); }
  /// Pauses or resumes reading; TCP flow control then stops the peer.
  void pauseReading(bool pause);
  [[nodiscard]] bool dialing() const { return dialing_; }
  /// Whether the peer has closed the connection or sent unexpected bytes.
  [[nodiscard]] bool stale();

 protected:
  /// Reads available data without waiting for a reactor event.
  void readNow() { read(); }
  virtual void opened() {}
  virtual void received() = 0;
  virtual void written() {}
  virtual void closed(CloseReason reason) = 0;  // exactly once, by end() or in a later turn

  /// Bytes read and written so far; used to detect stalled peers.
  [[nodiscard]] std::uint64_t bytesTransferred() const { return bytesIn_ + bytesOut_; }
  [[nodiscard]] bool readingPaused() const { return paused_; }
  [[nodiscard]] std::uint64_t bytesWritten() const { return bytesOut_; }
  /// Limits how much input finish() discards and how long it waits for the peer to close.
  void setLingerLimits(std::size_t maxDiscarded, Span timeout) {
    maxDiscardedBytes_ = maxDiscarded;
    lingerTimeout_ = timeout;
  }
  /// Limits how long finish() waits for a peer that takes none of the queued bytes.
  void setWriteStallTimeout(Span timeout) { writeStallTimeout_ = timeout; }
  /// Closes with a TCP reset, so that the peer detects a truncated message.
  void endWithReset(CloseReason reason);
  [[nodiscard]] int descriptor() const { return socket_.impl()->sockfd(); }

  Loop& loop_;
  bool unixSocket_ = false;
  std::string in_;
  std::uint64_t messages_ = 0;  // for the log line
  std::string_view detail_;     // for the log line, in addition to the reason

 private:
  void onReadable(Poco::Net::ReadableNotification* event);
  void onWritable(Poco::Net::WritableNotification* event);
  void read();
  void write();
  void setWriteInterest(bool interested);
  void endLater(CloseReason reason);
  void startLingerTimer();

  std::string_view side_;
  std::string peer_;
  Poco::Net::StreamSocket socket_;
  http::GatherBuffer out_;
  Loop::TimerId lingerTimer_;
  std::size_t discardedBytes_ = 0;  // received while finishing
  std::uint64_t bytesIn_ = 0;
  std::uint64_t bytesOut_ = 0;
  CloseReason finishReason_ = CloseReason::done;
  std::size_t maxDiscardedBytes_ = 64 * 1024;
  Span lingerTimeout_ = std::chrono::seconds(1);
  Span writeStallTimeout_ = std::chrono::seconds(5);  // longer than a lost packet is sent again
  bool registered_ = false;
  bool paused_ = false;
  bool dialing_ = false;
  bool writeInterest_ = false;
  bool writeFailed_ = false;
  bool finishing_ = false;
  bool ended_ = false;
};

}  // namespace rackroute::sidecar
