#include "sidecar/client_side.hpp"

#include <Poco/Exception.h>
#include <Poco/Observer.h>

#include <algorithm>
#include <charconv>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "sidecar/connection.hpp"
#include "sidecar/exchange.hpp"

namespace rackroute::sidecar {
namespace {

using namespace std::chrono_literals;
using http::Message;
using http::Progress;

constexpr Span kStall = 10s;          // for the rest of a query; above every statement timeout
constexpr Span kAcceptPause = 20ms;   // without descriptors; a few queries' time, and no spinning
constexpr Span kStillComing = 600ms;  // after the call to stop; half again what the protocol names
constexpr Span kLastBytes = 1s;       // more, for a query that had begun; ends well before the kill
constexpr int kBacklog = 512;         // connections; all that a descriptor limit lets in at once

std::string_view phrase(int status) {
  switch (status) {
    case 200:
      return "200 OK";
    case 400:
      return "400 Bad Request";
    case 408:
      return "408 Request Timeout";
    case 413:
      return "413 Content Too Large";
    case 431:
      return "431 Request Header Fields Too Large";
    case 503:
      return "503 Service Unavailable";
    default:
      return "502 Bad Gateway";
  }
}

}  // namespace

class ClientConnection : public Connection {
 public:
  ClientConnection(ClientSide& side, Poco::Net::StreamSocket socket, std::string peer)
      : Connection(side.loop_, "client", std::move(socket), std::move(peer)), side_(side) {}

  void answer(http::Gather head, const std::shared_ptr<const Message>& body = nullptr) {
    query_.reset();
    answeredAt_ = loop_.now();
    const bool close = closes_ || side_.stopped_;
    std::string rest = "Content-Length: " + std::to_string(body ? body->body().size() : 0) + "\r\n";
    rest += close ? "Connection: close\r\n\r\n" : "\r\n";
    head.text(std::move(rest));
    if (body) {
      head.keep(body);
      head.view(body->body());
    }
    send(std::move(head));
    if (close) return finish(why_.empty() ? Reason::closeAsked : Reason::badMessage);
    // In a turn of its own: the answer may come from within a call on the balancer.
    if (!in_.empty()) loop_.soon([self = shared_from_this(), this] { next(); });
  }
  void answer(int status, const std::string& fields = {}) {
    http::Gather head;
    head.text("HTTP/1.1 " + std::string(phrase(status)) + "\r\n" + fields);
    answer(std::move(head));
  }
  /// Closes it if it is between queries, with nothing of the next in sight.
  bool endIfIdle(Reason reason) {
    if (query_ || messages_ == 0 || reader_.begun(in_) || !allWritten() || stale()) return false;
    end(reason);
    return true;
  }
  [[nodiscard]] Span answeredAt() const { return answeredAt_; }
  /// Closes it unless a query of it is in flight.
  void endUnlessBusy() {
    if (!query_) end(Reason::shutdown);
  }

 protected:
  void received() override { next(); }
  void gone(Reason) override {
    loop_.cancel(stall_);
    const auto query = std::exchange(query_, std::nullopt);
    side_.ended(*this);
    if (!query) return;
    side_.waiting_.erase(*query);
    ++loop_.counters.clientsLeft;
    side_.exchange_.clientLeft(*query);
  }

 private:
  void next() {
    if (ended() || closes_) return;
    if (query_) {
      // Guards against a client that sends on and on without waiting for its answer.
      if (in_.size() > http::kLongestHead + http::kLongestBody) end(Reason::badMessage);
      return;
    }
    const Progress progress = reader_.read(in_);
    loop_.cancel(stall_);
    if (progress == Progress::more) {
      // Guards against a client that stalls in the middle of a query and would keep its descriptor for ever.
      if (reader_.begun(in_)) stall_ = loop_.in(kStall, [this] { refuse(408, "stalled"); });
      return;
    }
    if (progress == Progress::headTooLong) return refuse(431, "head_too_long");
    if (progress == Progress::bodyTooLong) return refuse(413, "body_too_long");
    if (progress == Progress::malformed) return refuse(400, "malformed");
    ++messages_;
    const auto message = std::make_shared<const Message>(reader_.take(in_));
    closes_ = !message->keepsOpen();
    if (message->word(0) == "GET" && message->word(1) == "/up") return answer(200);
    std::string_view lack;
    const std::optional<Query> query = read(*message, lack);
    if (!query) return refuse(400, lack);
    query_ = query->id;
    side_.waiting_[query->id] = this;
    side_.exchange_.take(message, *query);
  }

  std::optional<Query> read(const Message& message, std::string_view& lack) {
    const auto useCase = message.field("X-Class");
    const auto time = message.field("X-Deadline-Ms");
    lack = message.word(0) != "GET" && message.word(0) != "POST" ? "method"
           : !message.field("X-Request-Id")                      ? "no_id"
           : !useCase                                            ? "no_class"
           : !time                                               ? "no_deadline"
                                                                 : "";
    if (!lack.empty()) return std::nullopt;
    Query query;
    try {
      query.useCase = {side_.told_.useCases.known(*useCase, "class")};
    } catch (const told::Malformed&) {
      lack = "unknown_class";
      return std::nullopt;
    }
    std::uint32_t millis = 0;
    const auto end = std::from_chars(time->data(), time->data() + time->size(), millis);
    if (end.ec != std::errc{} || end.ptr != time->data() + time->size()) {
      lack = "deadline_not_whole_milliseconds";
      return std::nullopt;
    }
    query.timeLeft = std::chrono::milliseconds(millis);
    if (side_.told_.terms.useCases[query.useCase.value].repeat == Repeat::deduplicated &&
        !message.field("Idempotency-Key")) {
      lack = "no_mark_against_repeats";
      return std::nullopt;
    }
    // The last part of the path, beside the first: a number in hexadecimal digits.
    std::string_view path = message.word(1);
    path = path.substr(0, path.find('?'));
    const std::string_view last = path.substr(path.rfind('/') + 1);
    std::uint64_t key{};
    const auto read = std::from_chars(last.data(), last.data() + last.size(), key, 16);
    if (path.rfind('/') > 0 && !last.empty())
      query.key = read.ec == std::errc{} && read.ptr == last.data() + last.size()
                      ? KeyId{key}
                      : KeyId{told::serverId(last).value};
    query.id = {++side_.lastQuery_};
    return query;
  }

  void refuse(int status, std::string_view why) {
    ++loop_.counters.badQueries;
    why_ = why;
    closes_ = true;
    in_.clear();
    answer(status);
  }

  ClientSide& side_;
  http::Reader reader_{http::Reader::Kind::query};
  std::optional<QueryId> query_;  // read, and not yet answered
  Loop::TimerId stall_;
  Span answeredAt_{};
  bool closes_ = false;
};

ClientSide::ClientSide(Loop& loop, Exchange& exchange, const told::Told& told)
    : loop_(loop), exchange_(exchange), told_(told) {}

ClientSide::~ClientSide() = default;

void ClientSide::listen(const Poco::Net::SocketAddress& address) {
  listener_.bind(address, true, false);  // not shared: an address in use must fail
  listener_.listen(kBacklog);
  listener_.setBlocking(false);
  listening(true);
}

void ClientSide::listening(bool on) {
  if (on == listening_ || closed_) return;
  listening_ = on;
  const Poco::Observer<ClientSide, Poco::Net::ReadableNotification> readable(*this, &ClientSide::accept);
  if (on) {
    loop_.addEventHandler(listener_, readable);
  } else {
    loop_.removeEventHandler(listener_, readable);
  }
}

void ClientSide::accept(Poco::Net::ReadableNotification* event) {
  event->release();
  loop_.guarded([this] { acceptOne(); });
}

void ClientSide::acceptOne() {
  if (!listening_) return;
  try {
    Poco::Net::SocketAddress peer;
    const Poco::Net::StreamSocket socket = listener_.acceptConnection(peer);
    auto made = std::make_shared<ClientConnection>(*this, socket, peer.toString());
    connections_.emplace(made.get(), made);
    ++loop_.counters.clientConnections;
    made->open();
  } catch (const Poco::Exception& error) {
    if (error.code() != EMFILE && error.code() != ENFILE) return;  // it left before it was accepted
    // Guards against running out of descriptors: an idle server connection goes first; without one the
    // listener rests, as it would stay readable and keep the loop spinning.
    ++loop_.counters.outOfDescriptors;
    if (exchange_.freeDescriptor()) return;
    listening(false);
    loop_.in(kAcceptPause, [this] { listening(true); });
  }
}

void ClientSide::answer(QueryId query, http::Gather pieces) {
  const auto at = waiting_.find(query);
  if (at == waiting_.end()) return;
  ClientConnection& connection = *at->second;
  waiting_.erase(at);
  connection.answer(std::move(pieces));
}

void ClientSide::complete(QueryId query, const std::shared_ptr<const Message>& answer) {
  const auto at = waiting_.find(query);
  if (at == waiting_.end()) return;
  ClientConnection& connection = *at->second;
  waiting_.erase(at);
  http::Gather head;
  head.text("HTTP/1.1 200 OK\r\n");
  for (const std::string_view lines : answer->endToEnd("X-Load")) head.view(lines);
  connection.answer(std::move(head), answer);
}

void ClientSide::reject(QueryId query, Span comeBackAfter) {
  http::Gather head;
  head.text("HTTP/1.1 503 Service Unavailable\r\n");
  if (comeBackAfter > Span{0}) {
    const std::string millis = std::to_string(comeBackAfter / 1ms % 1000);
    head.text("Retry-After: " + std::to_string(comeBackAfter / 1s) + '.' +
              std::string(3 - millis.size(), '0') + millis + "\r\n");
  }
  answer(query, std::move(head));
}

void ClientSide::abort(QueryId query) {
  http::Gather head;
  head.text("HTTP/1.1 502 Bad Gateway\r\n");
  answer(query, std::move(head));
}

void ClientSide::stop(std::function<void()> stopped) {
  if (stopped_) return;
  stopped_ = std::move(stopped);
  for (const auto& connection : all()) connection->endIfIdle(Reason::shutdown);
  loop_.in(kStillComing, [this] { closeListener(); });
}

std::vector<std::shared_ptr<ClientConnection>> ClientSide::all() const {
  std::vector<std::shared_ptr<ClientConnection>> all;
  for (const auto& [at, connection] : connections_) all.push_back(connection);
  return all;
}

bool ClientSide::freeDescriptor() {
  auto connections = all();
  std::sort(connections.begin(), connections.end(),
            [](const auto& a, const auto& b) { return a->answeredAt() < b->answeredAt(); });
  return std::any_of(connections.begin(), connections.end(),
                     [](const auto& connection) { return connection->endIfIdle(Reason::descriptors); });
}

// What the machine accepted is taken in before the listener goes.
void ClientSide::closeListener() {
  for (std::size_t before = connections_.size() + 1; listening_ && before != connections_.size();) {
    before = connections_.size();
    acceptOne();
  }
  listening(false);
  closed_ = true;
  listener_.close();
  for (const auto& connection : all()) connection->endIfIdle(Reason::shutdown);
  if (connections_.empty()) return stopped_();
  // Guards against a query that never comes whole and would keep the program up until it is killed.
  loop_.in(kLastBytes, [this] {
    for (const auto& connection : all()) connection->endUnlessBusy();
  });
}

void ClientSide::ended(ClientConnection& connection) {
  connections_.erase(&connection);
  if (closed_ && connections_.empty()) loop_.soon(stopped_);
}

}  // namespace rackroute::sidecar
