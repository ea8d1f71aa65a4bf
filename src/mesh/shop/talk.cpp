#include "mesh/shop/talk.hpp"

#include <Poco/Net/SocketAddress.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>

#include <utility>

#include "mesh/shop/log.hpp"

namespace rackroute::mesh {
namespace {

using sidecar::Reason;

constexpr std::size_t kLongestWord = 16 << 20;  // bytes; the largest configuration whole
constexpr std::size_t kMostBacklog = 24 << 20;  // bytes that a peer may leave unread
constexpr int kUnread = 2500;                   // milliseconds without a word of a peer's kernel

}  // namespace

void Talk::accepted(Ends ends) {
  ends_ = std::move(ends);
  open();
  opened();
}

void Talk::connect(const Address& to, Span within, Ends ends) {
  ends_ = std::move(ends);
  dialTimer_ = loop_.in(within, [this] {
    dialTimer_ = {};
    end(Reason::dialTimeout);
  });
  dial(Poco::Net::SocketAddress(to.value));
}

void Talk::opened() {
  loop_.cancel(dialTimer_);
  ::setsockopt(descriptor(), IPPROTO_TCP, TCP_USER_TIMEOUT, &kUnread, sizeof(kUnread));
  if (ends_.up) ends_.up();
}

void Talk::say(std::shared_ptr<const std::string> text) {
  if (ended()) return;
  // Guards against a peer that reads nothing: what waits for it must not eat the memory.
  if (backlog() > kMostBacklog) return end(Reason::stalled);
  http::Gather pieces;
  pieces.view(*text);
  pieces.keep(std::move(text));
  pieces.view("\n");
  send(std::move(pieces));
}

void Talk::received() {
  std::size_t from = 0;
  for (;;) {
    const std::size_t line = in_.find('\n', std::max(from, scanned_));
    if (line == std::string::npos) break;
    const nlohmann::json word =
        nlohmann::json::parse(in_.begin() + static_cast<std::ptrdiff_t>(from),
                              in_.begin() + static_cast<std::ptrdiff_t>(line), nullptr, false);
    from = line + 1;
    if (word.is_discarded() || !word.is_object()) {
      log(Weight::warning, "talk", name_, "a word that can't be read");
      return end(Reason::badMessage);
    }
    try {
      ends_.heard(word);
    } catch (const nlohmann::json::exception& error) {
      log(Weight::warning, "talk", name_, error.what());
      return end(Reason::badMessage);
    }
    if (ended()) return;
  }
  in_.erase(0, from);
  scanned_ = in_.size();
  if (from == 0 && ends_.some) ends_.some();
  if (in_.size() > kLongestWord) end(Reason::badMessage);
}

void Talk::gone(Reason) {
  loop_.cancel(dialTimer_);
  if (const auto over = std::exchange(ends_.over, nullptr)) over();
}

}  // namespace rackroute::mesh
