#include "sidecar/connection.hpp"

#include <Poco/Exception.h>
#include <Poco/NObserver.h>
#include <Poco/Net/NetException.h>
#include <Poco/Observer.h>

#include <algorithm>
#include <array>
#include <cerrno>
#include <utility>

#include "sidecar/log.hpp"

namespace rackroute::sidecar {
namespace {

using namespace std::chrono_literals;
using Poco::Net::ReadableNotification;
using Poco::Net::WritableNotification;
using Readable = Poco::Observer<Connection, ReadableNotification>;

constexpr std::size_t kMaxPiecesPerWrite = 64;

constexpr std::array<std::string_view, 19> kReasonNames = {
    "peer_closed", "peer_reset",  "refused",       "dial_timeout", "execution_timeout",
    "cancelled",   "bad_message", "unread_answer", "close_asked",  "idle",
    "stalled",     "silent",      "done",          "moved",        "descriptors",
    "crowded",     "shutdown",    "cut",           "fault"};

bool wouldBlock(const Poco::Exception& error) {
  return error.code() == EAGAIN || error.code() == EWOULDBLOCK ||
         dynamic_cast<const Poco::TimeoutException*>(&error) != nullptr;
}

}  // namespace

Connection::Connection(Loop& loop, std::string_view side, Poco::Net::StreamSocket socket, std::string peer)
    : loop_(loop), side_(side), peer_(std::move(peer)), socket_(std::move(socket)) {}

Connection::~Connection() = default;

void Connection::open() {
  socket_.setBlocking(false);
  if (!unixSocket_) socket_.setNoDelay(true);
  if (paused_) return;
  loop_.addEventHandler(socket_, Readable(*this, &Connection::onReadable));
  registered_ = true;
}

void Connection::dial(const Poco::Net::SocketAddress& address) {
  dialing_ = true;
  try {
    socket_.connectNB(address);
    socket_.setNoDelay(true);
    setWriteInterest(true);
  } catch (const Poco::Exception&) {
    endLater(CloseReason::refused);
  }
}

void Connection::send(http::GatherBuffer pieces) {
  out_.append(std::move(pieces));
  if (!dialing_ && !ended_ && !writeInterest_) write();
}

void Connection::pauseReading(bool pause) {
  if (pause == paused_ || ended_) return;
  paused_ = pause;
  if (dialing_) return;  // open() checks paused_
  if (pause) {
    loop_.removeEventHandler(socket_, Readable(*this, &Connection::onReadable));
  } else {
    loop_.addEventHandler(socket_, Readable(*this, &Connection::onReadable));
  }
  registered_ = !pause;
}

void Connection::endWithReset(CloseReason reason) {
  try {
    socket_.setLinger(true, 0);
  } catch (const Poco::Exception&) {
    // The peer has closed the connection already.
  }
  end(reason);
}

void Connection::finish(CloseReason reason) {
  if (finishing_ || ended_) return;
  pauseReading(false);
  finishing_ = true;
  finishReason_ = reason;
  startLingerTimer();
  if (out_.empty()) write();
}

// The time for the peer to close counts from the last byte written. Before, each progress of a slow peer
// restarts the timer.
void Connection::startLingerTimer() {
  loop_.cancel(lingerTimer_);
  const Span timeout = out_.empty() ? lingerTimeout_ : writeStallTimeout_;
  lingerTimer_ = loop_.after(timeout, [this] { end(finishReason_); });
}

void Connection::end(CloseReason reason) {
  if (ended_) return;
  ended_ = true;
  if (finishing_) reason = finishReason_;
  loop_.cancel(lingerTimer_);
  const auto self = shared_from_this();
  setWriteInterest(false);
  if (registered_) loop_.removeEventHandler(socket_, Readable(*this, &Connection::onReadable));
  socket_.close();
  LogLine(Level::info) << "ended side=" << side_ << " peer=" << peer_
                       << " reason=" << kReasonNames[static_cast<std::size_t>(reason)]
                       << " messages=" << messages_ << " in=" << bytesIn_ << " out=" << bytesOut_
                       << (detail_.empty() ? "" : " why=") << detail_;
  closed(reason);
  loop_.deferDestruction(self);
}

void Connection::endLater(CloseReason reason) {
  loop_.post([self = shared_from_this(), reason] { self->end(reason); });
}

bool Connection::stale() {
  std::array<char, 1> byte{};
  try {
    return socket_.receiveBytes(byte.data(), 1, MSG_PEEK) >= 0;
  } catch (const Poco::Exception& error) {
    return !wouldBlock(error);
  }
}

void Connection::onReadable(ReadableNotification* event) {
  event->release();
  const auto self = shared_from_this();
  if (!loop_.runGuarded([this] { read(); })) end(CloseReason::fault);
}

void Connection::onWritable(WritableNotification* event) {
  event->release();
  const auto self = shared_from_this();
  const auto handler = [this] {
    if (ended_) return;
    if (dialing_) {
      if (socket_.impl()->socketError() != 0) return end(CloseReason::refused);
      dialing_ = false;
      setWriteInterest(false);
      open();
      opened();
      if (ended_) return;
    }
    write();
  };
  if (!loop_.runGuarded(handler)) end(CloseReason::fault);
}

void Connection::read() {
  if (ended_ || paused_) return;
  static std::array<char, 64 * 1024> buffer;
  int size = 0;
  try {
    size = socket_.receiveBytes(buffer.data(), static_cast<int>(buffer.size()));
  } catch (const Poco::Exception& error) {
    if (!wouldBlock(error)) end(CloseReason::peerReset);
    return;
  }
  if (size < 0) return;
  if (size == 0) return end(CloseReason::peerClosed);
  bytesIn_ += static_cast<std::uint64_t>(size);
  if (finishing_) {
    // Bounds the input from a peer that keeps sending after the last message.
    discardedBytes_ += static_cast<std::size_t>(size);
    if (discardedBytes_ > maxDiscardedBytes_) end(finishReason_);
    return;
  }
  in_.append(buffer.data(), static_cast<std::size_t>(size));
  received();
}

void Connection::write() {
  if (writeFailed_) return;
  while (!out_.empty()) {
    Poco::Net::SocketBufVec buffers;
    for (const std::string_view piece : out_.pieces()) {
      if (buffers.size() == kMaxPiecesPerWrite) break;
      buffers.push_back({const_cast<char*>(piece.data()), piece.size()});
    }
    int size = 0;
    try {
      size = socket_.sendBytes(buffers);
    } catch (const Poco::Exception& error) {
      if (wouldBlock(error)) return setWriteInterest(true);
      writeFailed_ = true;  // out_ is kept: allWritten() must stay false
      setWriteInterest(false);
      return endLater(CloseReason::peerReset);
    }
    if (size < 0) return setWriteInterest(true);
    bytesOut_ += static_cast<std::uint64_t>(size);
    out_.written(static_cast<std::size_t>(size));
    if (finishing_) startLingerTimer();
  }
  setWriteInterest(false);
  written();
  if (finishing_ && !ended_) {
    try {
      socket_.shutdownSend();
    } catch (const Poco::Exception&) {
      endLater(finishReason_);
    }
  }
}

void Connection::setWriteInterest(bool interested) {
  if (interested == writeInterest_) return;
  writeInterest_ = interested;
  const Poco::Observer<Connection, WritableNotification> writable(*this, &Connection::onWritable);
  if (interested) {
    loop_.addEventHandler(socket_, writable);
  } else {
    loop_.removeEventHandler(socket_, writable);
    // The reactor keeps polling for writability while any handler of the socket is left, which would make the
    // loop spin. Re-registering the read handler resets the poll mode.
    if (!registered_) return;
    loop_.removeEventHandler(socket_, Readable(*this, &Connection::onReadable));
    if (!ended_) loop_.addEventHandler(socket_, Readable(*this, &Connection::onReadable));
  }
}

}  // namespace rackroute::sidecar
