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

using sidecar::Reason;

constexpr std::size_t kLongestWord = 16 << 20;           // bytes; the largest configuration whole
constexpr std::size_t kMostBacklog = 24 << 20;           // bytes that a peer may leave unread
constexpr int kUnread = 2500;                            // milliseconds without a word of a peer's kernel
constexpr Span kBetween = std::chrono::milliseconds(1);  // from one packed word to the next
constexpr std::string_view kPacked = "z";  // begins the line before a packed word; JSON begins with {

}  // namespace

void SessionConnection::accepted(Ends ends) {
  ends_ = std::move(ends);
  open();
  opened();
}

void SessionConnection::connect(const Address& to, Span within, Ends ends) {
  ends_ = std::move(ends);
  dialTimer_ = loop_.in(within, [this] {
    dialTimer_ = {};
    end(Reason::dialTimeout);
  });
  dial(Poco::Net::SocketAddress(to.value));
}

void SessionConnection::opened() {
  loop_.cancel(dialTimer_);
  ::setsockopt(descriptor(), IPPROTO_TCP, TCP_USER_TIMEOUT, &kUnread, sizeof(kUnread));
  if (ends_.up) ends_.up();
}

void SessionConnection::say(std::shared_ptr<const std::string> text) {
  if (ended()) return;
  // Guards against a peer that reads nothing: what waits for it must not eat the memory.
  if (backlog() > kMostBacklog) return end(Reason::stalled);
  http::GatherBuffer pieces;
  if (worthPacking(*text)) {
    if (auto packed = compressor_.packed(text)) {
      pieces.text(std::string(kPacked) + std::to_string(packed->size()) + ' ' + std::to_string(text->size()) +
                  '\n');
      pieces.view(*packed);
      pieces.keep(std::move(packed));
      return send(std::move(pieces));
    }
  }
  pieces.view(*text);
  pieces.keep(std::move(text));
  pieces.view("\n");
  send(std::move(pieces));
}

bool SessionConnection::hear(std::string_view text) {
  const nlohmann::json word = nlohmann::json::parse(text, nullptr, false);
  if (word.is_discarded() || !word.is_object()) {
    log(LogLevel::warning, "session", name_, "a word that can't be read");
    end(Reason::badMessage);
    return false;
  }
  try {
    ends_.heard(word);
  } catch (const nlohmann::json::exception& error) {
    log(LogLevel::warning, "session", name_, error.what());
    end(Reason::badMessage);
  }
  return !ended();
}

// The line with the sizes ends at line; the packed bytes follow it.
SessionConnection::Piece SessionConnection::packedWord(std::size_t& from, std::size_t line) {
  const char* const last = in_.data() + line;
  std::size_t packed = 0;
  std::size_t plain = 0;
  const auto first = std::from_chars(in_.data() + from + kPacked.size(), last, packed);
  const auto second =
      first.ec == std::errc{} && first.ptr != last ? std::from_chars(first.ptr + 1, last, plain) : first;
  if (second.ec != std::errc{} || second.ptr != last || packed > kLongestWord || plain > kLongestWord)
    return Piece::bad;
  if (in_.size() < line + 1 + packed) return Piece::none;
  const auto word = unpacked(std::string_view(in_).substr(line + 1, packed), plain);
  if (!word) return Piece::bad;
  from = line + 1 + packed;
  return hear(*word) ? Piece::word : Piece::none;
}

void SessionConnection::received() {
  std::size_t from = 0;
  for (;;) {
    const std::size_t line = in_.find('\n', std::max(from, scanned_));
    if (line == std::string::npos) {
      scanned_ = in_.size();
      break;
    }
    const bool packedNow = in_.compare(from, kPacked.size(), kPacked) == 0;
    if (packedNow) {
      const Piece piece = packedWord(from, line);
      if (piece == Piece::bad) {
        log(LogLevel::warning, "session", name_, "a packed word that can't be read");
        return end(Reason::badMessage);
      }
      if (ended()) return;
      if (piece == Piece::none) {
        scanned_ = line;  // its sizes are read anew when more has come
        break;
      }
    } else {
      const std::string_view text = std::string_view(in_).substr(from, line - from);
      from = line + 1;
      if (!hear(text)) return;
    }
    scanned_ = from;
    // Guards against a large configuration that holds up a slow machine's requests: what else has come goes
    // between two of its parts.
    if (packedNow && from < in_.size()) {
      loop_.in(kBetween, [self = std::static_pointer_cast<SessionConnection>(shared_from_this())] {
        if (!self->ended()) self->received();
      });
      break;
    }
  }
  in_.erase(0, from);
  scanned_ -= std::min(scanned_, from);
  if (from == 0 && ends_.some) ends_.some();
  if (in_.size() > kLongestWord) end(Reason::badMessage);
}

void SessionConnection::gone(Reason) {
  loop_.cancel(dialTimer_);
  if (const auto over = std::exchange(ends_.over, nullptr)) over();
}

}  // namespace rackroute::mesh
