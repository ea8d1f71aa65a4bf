#include "mesh/transport/session_connection.hpp"

#include <Poco/Net/SocketAddress.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>

#include <algorithm>
#include <charconv>
#include <string_view>
#include <utility>

#include "mesh/transport/log.hpp"

namespace rackroute::mesh {
namespace {

using sidecar::CloseReason;

constexpr std::size_t kMaxMessage = 16 << 20;                 // bytes; the largest configuration
constexpr std::size_t kMaxBacklog = 24 << 20;                 // bytes waiting to be sent to a peer
constexpr int kUserTimeoutMs = 2500;                          // TCP_USER_TIMEOUT, milliseconds
constexpr Span kMessagePause = std::chrono::milliseconds(1);  // between two compressed messages
// Starts the size line before a compressed message; JSON messages start with {.
constexpr std::string_view kCompressedMark = "z";

}  // namespace

void SessionConnection::accepted(Callbacks callbacks) {
  callbacks_ = std::move(callbacks);
  open();
  opened();
}

void SessionConnection::connect(const Address& address, Span timeout, Callbacks callbacks) {
  callbacks_ = std::move(callbacks);
  dialTimer_ = loop_.after(timeout, [this] {
    dialTimer_ = {};
    end(CloseReason::dialTimeout);
  });
  dial(Poco::Net::SocketAddress(address.value));
}

void SessionConnection::opened() {
  loop_.cancel(dialTimer_);
  ::setsockopt(descriptor(), IPPROTO_TCP, TCP_USER_TIMEOUT, &kUserTimeoutMs, sizeof(kUserTimeoutMs));
  if (callbacks_.onOpened) callbacks_.onOpened();
}

void SessionConnection::sendMessage(std::shared_ptr<const std::string> text) {
  if (ended()) return;
  // Bounds the memory for a peer that does not read.
  if (unsentBytes() > kMaxBacklog) return end(CloseReason::stalled);
  http::GatherBuffer pieces;
  if (shouldCompress(*text)) {
    if (auto compressed = compressor_.compress(text)) {
      pieces.text(std::string(kCompressedMark) + std::to_string(compressed->size()) + ' ' +
                  std::to_string(text->size()) + '\n');
      pieces.view(*compressed);
      pieces.keep(std::move(compressed));
      return send(std::move(pieces));
    }
  }
  pieces.view(*text);
  pieces.keep(std::move(text));
  pieces.view("\n");
  send(std::move(pieces));
}

bool SessionConnection::deliver(std::string_view text) {
  const nlohmann::json message = nlohmann::json::parse(text, nullptr, false);
  if (message.is_discarded() || !message.is_object()) {
    log(LogLevel::warning, "session", name_, "received a message that is not a JSON object");
    end(CloseReason::badMessage);
    return false;
  }
  try {
    callbacks_.onMessage(message);
  } catch (const nlohmann::json::exception& error) {
    log(LogLevel::warning, "session", name_, error.what());
    end(CloseReason::badMessage);
  }
  return !ended();
}

// Reads a compressed message. The size line starts at `from` and ends at `line`.
SessionConnection::ReadResult SessionConnection::readCompressed(std::size_t& from, std::size_t line) {
  const char* const last = in_.data() + line;
  std::size_t compressedSize = 0;
  std::size_t plainSize = 0;
  const auto first = std::from_chars(in_.data() + from + kCompressedMark.size(), last, compressedSize);
  const auto second =
      first.ec == std::errc{} && first.ptr != last ? std::from_chars(first.ptr + 1, last, plainSize) : first;
  if (second.ec != std::errc{} || second.ptr != last || compressedSize > kMaxMessage ||
      plainSize > kMaxMessage)
    return ReadResult::malformed;
  if (in_.size() < line + 1 + compressedSize) return ReadResult::incomplete;
  const auto message = decompress(std::string_view(in_).substr(line + 1, compressedSize), plainSize);
  if (!message) return ReadResult::malformed;
  from = line + 1 + compressedSize;
  return deliver(*message) ? ReadResult::message : ReadResult::incomplete;
}

void SessionConnection::received() {
  std::size_t from = 0;
  for (;;) {
    const std::size_t line = in_.find('\n', std::max(from, scanned_));
    if (line == std::string::npos) {
      scanned_ = in_.size();
      break;
    }
    const bool isCompressed = in_.compare(from, kCompressedMark.size(), kCompressedMark) == 0;
    if (isCompressed) {
      const ReadResult result = readCompressed(from, line);
      if (result == ReadResult::malformed) {
        log(LogLevel::warning, "session", name_, "received a malformed compressed message");
        return end(CloseReason::badMessage);
      }
      if (ended()) return;
      if (result == ReadResult::incomplete) {
        scanned_ = line;  // the size line is parsed again when more data arrives
        break;
      }
    } else {
      const std::string_view text = std::string_view(in_).substr(from, line - from);
      from = line + 1;
      if (!deliver(text)) return;
    }
    scanned_ = from;
    // Yields between the parts of a large configuration, so that other events are not delayed on a slow
    // machine.
    if (isCompressed && from < in_.size()) {
      loop_.after(kMessagePause, [self = std::static_pointer_cast<SessionConnection>(shared_from_this())] {
        if (!self->ended()) self->received();
      });
      break;
    }
  }
  in_.erase(0, from);
  scanned_ -= std::min(scanned_, from);
  if (from == 0 && callbacks_.onPartial) callbacks_.onPartial();
  if (in_.size() > kMaxMessage) end(CloseReason::badMessage);
}

void SessionConnection::closed(CloseReason) {
  loop_.cancel(dialTimer_);
  if (const auto onClosed = std::exchange(callbacks_.onClosed, nullptr)) onClosed();
}

}  // namespace rackroute::mesh
