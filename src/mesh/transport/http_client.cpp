#include "mesh/transport/http_client.hpp"

#include <Poco/Exception.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>

#include <algorithm>
#include <charconv>
#include <utility>

#include "mesh/forwarding/forwarding.hpp"

namespace rackroute::mesh {
namespace {

using namespace std::chrono_literals;
using http::ParseStatus;
using sidecar::CloseReason;

constexpr Span kKeepAliveMargin = 700ms;  // before the idle timeout that a peer announced: its clock, a trip
constexpr int kKeepAliveSeconds = 1;      // idle time before, and interval between, TCP keepalive probes

/// The timeout of a Keep-Alive header, either timeout=N or a bare number of seconds.
std::optional<Span> announcedIdleTimeout(const http::Message& response) {
  const auto field = response.field("Keep-Alive");
  if (!field) return std::nullopt;
  std::string_view text = *field;
  if (const std::size_t at = text.find("timeout="); at != text.npos) text.remove_prefix(at + 8);
  int seconds = 0;
  const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), seconds);
  if (error != std::errc{}) return std::nullopt;
  return std::chrono::seconds(seconds);
}

}  // namespace

class HttpClient::ClientConnection : public sidecar::Connection {
 public:
  ClientConnection(HttpClient& httpClient, Address to)
      : Connection(httpClient.loop_, "http client", Poco::Net::StreamSocket(), to.value),
        httpClient_(httpClient),
        to_(std::move(to)) {}

  void connect(Span sendBy) {
    sendBy_ = sendBy;
    timer_ = loop_.at(std::min(loop_.now() + httpClient_.options_.dialTimeout, sendBy), [this] {
      timer_ = {};
      end(CloseReason::dialTimeout);
    });
    dial(Poco::Net::SocketAddress(to_.value));
  }
  void request(std::uint64_t number, http::GatherBuffer pieces, std::string attempt, bool isHead,
               Span deadline, Callback done) {
    number_ = number;
    attempt_ = std::move(attempt);
    isHead_ = isHead;
    done_ = std::move(done);
    deadline_ = deadline;
    skippedResponse_ = false;
    reusable_ = true;
    writtenBefore_ = bytesWritten();
    reader_ = http::Reader(http::Reader::Kind::response, httpClient_.options_.maxBodyBytes);
    head_.reset();
    bodyBytes_.clear();
    send(std::move(pieces));
    if (!dialing() && !ended()) startDeadlineTimer();
  }
  void startIdle(Span idle) {
    loop_.cancel(timer_);
    timer_ = loop_.after(idle, [this] {
      timer_ = {};
      end(CloseReason::idle);
    });
  }
  void cancel(std::uint64_t number) {
    if (number != number_ || !done_ || ended()) return;
    done_ = nullptr;
    end(CloseReason::cancelled);
  }
  [[nodiscard]] const Address& to() const { return to_; }
  [[nodiscard]] Span idle() const { return idle_; }

 protected:
  void opened() override {
    // If this turn is late, the request must not be sent after `sendBy`.
    if (loop_.now() >= sendBy_) return end(CloseReason::dialTimeout);
    connected_ = true;
    loop_.cancel(timer_);
    if (httpClient_.options_.userTimeout > Span{0}) {
      const int milliseconds = static_cast<int>(httpClient_.options_.userTimeout / 1ms);
      const int one = 1;
      const int seconds = kKeepAliveSeconds;
      ::setsockopt(descriptor(), IPPROTO_TCP, TCP_USER_TIMEOUT, &milliseconds, sizeof(milliseconds));
      ::setsockopt(descriptor(), SOL_SOCKET, SO_KEEPALIVE, &one, sizeof(one));
      ::setsockopt(descriptor(), IPPROTO_TCP, TCP_KEEPIDLE, &seconds, sizeof(seconds));
      ::setsockopt(descriptor(), IPPROTO_TCP, TCP_KEEPINTVL, &seconds, sizeof(seconds));
    }
    if (done_) startDeadlineTimer();
  }
  void received() override {
    if (!done_) return end(CloseReason::unreadAnswer);  // no request is pending
    for (;;) {
      const ParseStatus progress = readResponse();
      if (progress == ParseStatus::needMore) return;
      if (progress != ParseStatus::done) return failMalformed();
      auto response = takeResponse();
      // Skips late responses to earlier requests.
      if (!matchesAttempt(*response)) {
        skippedResponse_ = true;
        if (!response->keepsAlive()) return failMalformed();
        continue;
      }
      ++messages_;
      // Not reusable if the server responded before it received the whole request: it would take the next
      // request for the rest of this one.
      reusable_ = response->keepsAlive() && in_.empty() && !skippedResponse_ && allWritten();
      idle_ = httpClient_.options_.idleTimeout;
      if (const auto announced = announcedIdleTimeout(*response))
        idle_ = std::min(idle_, *announced - kKeepAliveMargin);
      if (idle_ <= Span{0}) reusable_ = false;
      loop_.cancel(timer_);
      complete(RequestOutcome::completed, std::move(response));
      if (reusable_)
        return httpClient_.release(std::static_pointer_cast<ClientConnection>(shared_from_this()));
      return end(CloseReason::closeAsked);
    }
  }
  void closed(CloseReason reason) override {
    loop_.cancel(timer_);
    // A response without a length ends when the peer closes the connection, but not with a reset.
    const bool untilClose = reason == CloseReason::peerClosed && head_ && body_.untilClose();
    if (done_ && untilClose && matchesAttempt(*head_)) complete(RequestOutcome::completed, takeResponse());
    if (done_) complete(outcome(reason), nullptr);
    httpClient_.remove(this);
  }

 private:
  /// Reads the final response's head, then its body. done: the response can be taken by takeResponse().
  ParseStatus readResponse() {
    while (!head_) {
      const ParseStatus progress = reader_.readHead(in_);
      if (progress != ParseStatus::done) return progress;
      auto head = std::make_shared<http::Message>(reader_.takeHead(in_));
      if (head->status() < 200) continue;  // interim response
      if (!isHead_ && lacksLength(*head)) return ParseStatus::malformed;
      body_ = isHead_
                  ? http::BodyReader()
                  : http::BodyReader(*head, http::Reader::Kind::response, httpClient_.options_.maxBodyBytes);
      head_ = std::move(head);
    }
    return body_.read(in_, bodyBytes_);
  }
  std::shared_ptr<const http::Message> takeResponse() {
    const auto response = std::exchange(head_, nullptr);
    if (!isHead_) response->setBody(std::exchange(bodyBytes_, {}));
    return response;
  }
  /// A success response without a length, other than 200: http::Body reads only 200 until the connection
  /// closes.
  static bool lacksLength(const http::Message& head) {
    const bool success = head.status() > 200 && head.status() < 300 && head.status() != 204;
    return success && !head.length() && !head.chunked();
  }
  [[nodiscard]] bool matchesAttempt(const http::Message& response) const {
    return attempt_.empty() || response.field(kAttemptIdHeader) == std::string_view(attempt_);
  }
  void failMalformed() {
    detail_ = "answer";
    malformed_ = true;
    end(CloseReason::badMessage);
  }
  [[nodiscard]] RequestOutcome outcome(CloseReason reason) const {
    if (malformed_) return RequestOutcome::malformedResponse;
    if (!connected_ || bytesWritten() == writtenBefore_) return RequestOutcome::notSent;
    if (!allWritten()) return RequestOutcome::partiallySent;
    return reason == CloseReason::executionTimeout ? RequestOutcome::timedOut
                                                   : RequestOutcome::connectionLost;
  }
  void startDeadlineTimer() {
    loop_.cancel(timer_);
    timer_ = loop_.at(std::max(deadline_, loop_.now()), [this] {
      timer_ = {};
      end(CloseReason::executionTimeout);
    });
  }
  void complete(RequestOutcome result, std::shared_ptr<const http::Message> response) {
    loop_.post([done = std::exchange(done_, nullptr), result, response = std::move(response)] {
      done(result, response);
    });
  }

  HttpClient& httpClient_;
  Address to_;
  http::Reader reader_{http::Reader::Kind::response};
  std::shared_ptr<http::Message> head_;  // of the response being read
  http::BodyReader body_;                // of the response being read
  std::string bodyBytes_;                // received so far
  Callback done_;
  std::string attempt_;
  sidecar::Loop::TimerId timer_;
  Span deadline_{};
  Span sendBy_ = Span::max();
  Span idle_{};
  std::uint64_t number_ = 0;         // of the current request
  std::uint64_t writtenBefore_ = 0;  // bytes written for earlier requests
  bool connected_ = false;
  bool isHead_ = false;
  bool skippedResponse_ = false;
  bool malformed_ = false;
  bool reusable_ = true;
};

HttpClient::~HttpClient() = default;

void HttpClient::RequestHandle::cancel() {
  if (const auto connection = connection_.lock()) connection->cancel(number_);
}

HttpClient::RequestHandle HttpClient::send(const Address& to, http::GatherBuffer request, std::string attempt,
                                           bool isHead, Span deadline, Callback done, Span sendBy) {
  const std::uint64_t number = ++lastNumber_;
  for (;;) {
    const auto idle = idle_.find(to);
    if (idle == idle_.end() || idle->second.empty()) break;
    const std::shared_ptr<ClientConnection> connection =
        idle->second.back();  // most recently used; the others may close when idle
    idle->second.pop_back();
    if (connection->ended()) continue;
    busy_[connection.get()] = connection;
    if (connection->stale()) {
      connection->end(CloseReason::idle);
      continue;
    }
    connection->request(number, std::move(request), std::move(attempt), isHead, deadline, std::move(done));
    return {connection, number};
  }
  ++dialCount_;
  const auto connection = std::make_shared<ClientConnection>(*this, to);
  busy_[connection.get()] = connection;
  connection->connect(std::max(sendBy, loop_.now()));
  connection->request(number, std::move(request), std::move(attempt), isHead, deadline, std::move(done));
  return {connection, number};
}

void HttpClient::release(const std::shared_ptr<ClientConnection>& connection) {
  auto& idle = idle_[connection->to()];
  if (idle.size() >= options_.maxIdlePerAddress) return connection->end(CloseReason::crowded);
  busy_.erase(connection.get());
  idle.push_back(connection);
  connection->startIdle(connection->idle());
}

void HttpClient::remove(const ClientConnection* connection) {
  const auto idle = idle_.find(connection->to());
  if (idle != idle_.end()) {
    auto& connections = idle->second;
    connections.erase(std::remove_if(connections.begin(), connections.end(),
                                     [&](const auto& other) { return other.get() == connection; }),
                      connections.end());
    if (connections.empty()) idle_.erase(idle);
  }
  busy_.erase(connection);
}

}  // namespace rackroute::mesh
