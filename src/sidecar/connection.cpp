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

constexpr std::size_t kMostPieces = 64;  // pieces a write; a head and a body need about five

constexpr std::array<std::string_view, 19> kReasons = {
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
  if (!local_) socket_.setNoDelay(true);
  if (paused_) return;
  loop_.addEventHandler(socket_, Readable(*this, &Connection::onReadable));
  registered_ = true;
}

void Connection::dial(const Poco::Net::SocketAddress& address) {
  dialing_ = true;
  try {
    socket_.connectNB(address);
    socket_.setNoDelay(true);
    wantWrite(true);
  } catch (const Poco::Exception&) {
    endSoon(Reason::refused);
  }
}

void Connection::send(http::GatherBuffer pieces) {
  out_.append(std::move(pieces));
  if (!dialing_ && !ended_ && !wantsWrite_) write();
}

void Connection::pauseReading(bool pause) {
  if (pause == paused_ || ended_) return;
  paused_ = pause;
  if (dialing_) return;  // open() comes later and looks
  if (pause) {
    loop_.removeEventHandler(socket_, Readable(*this, &Connection::onReadable));
  } else {
    loop_.addEventHandler(socket_, Readable(*this, &Connection::onReadable));
  }
  registered_ = !pause;
}

void Connection::endCut(Reason reason) {
  try {
    socket_.setLinger(true, 0);
  } catch (const Poco::Exception&) {
    // It is gone already, and the peer knows.
  }
  end(reason);
}

void Connection::finish(Reason reason) {
  if (finishing_ || ended_) return;
  pauseReading(false);
  finishing_ = true;
  finishReason_ = reason;
  lingering_ = loop_.in(linger_, [this] { end(finishReason_); });
  if (out_.empty()) write();
}

void Connection::end(Reason reason) {
  if (ended_) return;
  ended_ = true;
  if (finishing_) reason = finishReason_;
  loop_.cancel(lingering_);
  const auto self = shared_from_this();
  wantWrite(false);
  if (registered_) loop_.removeEventHandler(socket_, Readable(*this, &Connection::onReadable));
  socket_.close();
  Line(Level::info) << "ended side=" << side_ << " peer=" << peer_
                    << " reason=" << kReasons[static_cast<std::size_t>(reason)] << " messages=" << messages_
                    << " in=" << bytesIn_ << " out=" << bytesOut_ << (why_.empty() ? "" : " why=") << why_;
  gone(reason);
  loop_.bury(self);
}

void Connection::endSoon(Reason reason) {
  loop_.soon([self = shared_from_this(), reason] { self->end(reason); });
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
  if (!loop_.guarded([this] { read(); })) end(Reason::fault);
}

void Connection::onWritable(WritableNotification* event) {
  event->release();
  const auto self = shared_from_this();
  const auto handler = [this] {
    if (ended_) return;
    if (dialing_) {
      if (socket_.impl()->socketError() != 0) return end(Reason::refused);
      dialing_ = false;
      wantWrite(false);
      open();
      opened();
      if (ended_) return;
    }
    write();
  };
  if (!loop_.guarded(handler)) end(Reason::fault);
}

void Connection::read() {
  if (ended_ || paused_) return;
  static std::array<char, 64 * 1024> buffer;
  int size = 0;
  try {
    size = socket_.receiveBytes(buffer.data(), static_cast<int>(buffer.size()));
  } catch (const Poco::Exception& error) {
    if (!wouldBlock(error)) end(Reason::peerReset);
    return;
  }
  if (size < 0) return;
  if (size == 0) return end(Reason::peerClosed);
  bytesIn_ += static_cast<std::uint64_t>(size);
  if (finishing_) {
    // Guards against a peer that sends on at full speed: the last answer has been there for that long.
    unread_ += static_cast<std::size_t>(size);
    if (unread_ > mostUnread_) end(finishReason_);
    return;
  }
  in_.append(buffer.data(), static_cast<std::size_t>(size));
  received();
}

void Connection::write() {
  if (broken_) return;
  while (!out_.empty()) {
    Poco::Net::SocketBufVec buffers;
    for (const std::string_view piece : out_.pieces()) {
      if (buffers.size() == kMostPieces) break;
      buffers.push_back({const_cast<char*>(piece.data()), piece.size()});
    }
    int size = 0;
    try {
      size = socket_.sendBytes(buffers);
    } catch (const Poco::Exception& error) {
      if (wouldBlock(error)) return wantWrite(true);
      broken_ = true;  // what is left stays: its last byte was not written
      wantWrite(false);
      return endSoon(Reason::peerReset);
    }
    if (size < 0) return wantWrite(true);
    bytesOut_ += static_cast<std::uint64_t>(size);
    out_.written(static_cast<std::size_t>(size));
  }
  wantWrite(false);
  written();
  if (finishing_ && !ended_) {
    try {
      socket_.shutdownSend();
    } catch (const Poco::Exception&) {
      endSoon(finishReason_);
    }
  }
}

void Connection::wantWrite(bool want) {
  if (want == wantsWrite_) return;
  wantsWrite_ = want;
  const Poco::Observer<Connection, WritableNotification> writable(*this, &Connection::onWritable);
  if (want) {
    loop_.addEventHandler(socket_, writable);
  } else {
    loop_.removeEventHandler(socket_, writable);
    // Guards against a loop that spins: the reactor polls for writing on while another handler is left, so
    // that one goes too, and comes back.
    if (!registered_) return;
    loop_.removeEventHandler(socket_, Readable(*this, &Connection::onReadable));
    if (!ended_) loop_.addEventHandler(socket_, Readable(*this, &Connection::onReadable));
  }
}

}  // namespace rackroute::sidecar
