#include "sidecar/client_listener.hpp"

#include <Poco/Exception.h>
#include <Poco/Observer.h>

#include <algorithm>
#include <charconv>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "sidecar/connection.hpp"
#include "sidecar/dispatcher.hpp"

namespace rackroute::sidecar {
namespace {

using namespace std::chrono_literals;
using http::Message;
using http::ParseStatus;

constexpr Span kIdleTimeout = 2100ms;                // between queries; exceeds what clients are promised
constexpr Span kReadStallTimeout = 10s;              // without progress while writing a response
constexpr Span kHeadTimeout = 2500ms;                // from the first byte of a query
constexpr Span kBodyIdleTimeout = 1500ms;            // between two pieces of a body
constexpr double kMinBodyBytesPerSecond = 16e3;      // mean rate
constexpr Span kBodyRateGrace = 3s;                  // before the mean rate is enforced
constexpr Span kDiscardBodyTimeout = 10s;            // rest of a body that was answered early
constexpr std::size_t kMaxBufferedBody = 64 * 1024;  // longer bodies are streamed and never retried
constexpr Span kFirstQueryGrace = 100ms;             // a new connection's first query may be in transit
constexpr int kMaxAcceptsPerTurn = 32;               // so that a burst does not delay queries
constexpr std::size_t kDescriptorShareDivisor = 2;   // clients may use half of the descriptors
constexpr std::size_t kCrowdedDivisor = 4;  // above a quarter of that share, one-off clients are closed
constexpr int kSteadyQueries = 2;           // a connection with this many queries counts as reused
constexpr Span kMaxTimeLeft = 60s;          // upper bound of a query's deadline
constexpr Span kAcceptPause = 20ms;         // after running out of descriptors
constexpr Span kStopAcceptDelay = 600ms;    // after stop()
constexpr Span kStopGrace = 1s;             // after closing the listener, for queries that have begun
constexpr int kListenBacklog = 512;

std::string_view statusText(int status) {
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
  ClientConnection(ClientListener& owner, Poco::Net::StreamSocket socket, std::string peer)
      : Connection(owner.loop_, "client", std::move(socket), std::move(peer)), owner_(owner) {}

  void start() {
    idleSince_ = loop_.now();
    startQueryTimer();
    open();
    readNow();  // the query has usually arrived already
  }
  void respond(http::GatherBuffer head, const std::shared_ptr<const Message>& body = nullptr) {
    std::string rest = "Content-Length: " + std::to_string(body ? body->body().size() : 0) + "\r\n";
    const CloseReason reason = closeReason();
    rest += reason != CloseReason::done ? "Connection: close\r\n\r\n" : "\r\n";
    head.text(std::move(rest));
    if (body) {
      head.keep(body);
      head.view(body->body());
    }
    send(std::move(head));
    responseSent(reason);
  }
  /// Starts a streamed response.
  void beginResponse(const Message& response) {
    std::string rest;
    chunkedResponse_ = !response.length() && !http10_;
    // HTTP/1.0 has no chunked encoding; without a length the end of the connection ends the response.
    closeAfterResponse_ = closeAfterResponse_ || (!response.length() && http10_);
    if (response.length()) rest = "Content-Length: " + std::to_string(*response.length()) + "\r\n";
    if (chunkedResponse_) rest = "Transfer-Encoding: chunked\r\n";
    responseCloseReason_ = closeReason();
    responseStreaming_ = true;
    http::GatherBuffer head;
    head.text("HTTP/1.1 200 OK\r\n");
    for (const std::string_view lines : response.endToEndFields("X-Load")) head.text(std::string(lines));
    head.text(rest + (responseCloseReason_ != CloseReason::done ? "Connection: close\r\n\r\n" : "\r\n"));
    send(std::move(head));
    watchResponse();
  }
  bool responsePart(std::string data) {
    http::GatherBuffer pieces;
    if (chunkedResponse_) pieces.text(http::chunkHeader(data.size()));
    pieces.text(std::move(data));
    if (chunkedResponse_) pieces.text("\r\n");
    send(std::move(pieces));
    return unsentBytes() > owner_.maxUnsentBytes_;
  }
  void endResponse() {
    http::GatherBuffer pieces;
    if (chunkedResponse_) pieces.text("0\r\n\r\n");
    responseStreaming_ = false;
    send(std::move(pieces));
    responseSent(responseCloseReason_);
  }
  // Resets the connection so that the client cannot take a truncated response for a complete one.
  void truncateResponse() {
    clearQuery();
    endWithReset(CloseReason::cut);
  }
  void respond(int status, const std::string& fields = {}) {
    http::GatherBuffer head;
    head.text("HTTP/1.1 " + std::string(statusText(status)) + "\r\n" + fields);
    respond(std::move(head));
  }
  void rejectQuery(int status, std::string_view why) {
    ++loop_.counters.badQueries;
    detail_ = why;
    closeAfterResponse_ = true;
    bodyStreaming_ = false;
    head_.reset();
    in_.clear();
    respond(status);
  }
  /// Closes the connection if it is between queries and no part of the next one has arrived.
  bool endIfIdle(CloseReason reason) {
    if (query_ || head_ || messages_ == 0 || reader_.hasInput(in_) || !allWritten() || stale()) return false;
    end(reason);
    return true;
  }
  /// Eviction order when descriptors run out, lowest first: lingering after the last response, never sent a
  /// complete query, idle between queries; within a class the oldest. Nullopt while a query is in flight.
  [[nodiscard]] std::optional<std::pair<int, Span>> evictionPriority() const {
    if (query_ || head_ || ended()) return std::nullopt;
    if (finishing()) return std::pair(0, idleSince_);
    if (!allWritten()) return std::nullopt;
    if (messages_ == 0) return std::pair(loop_.now() - idleSince_ > kFirstQueryGrace ? 1 : 3, idleSince_);
    return std::pair(reader_.hasInput(in_) ? 3 : 2, idleSince_);
  }
  /// Closes the connection unless it has a query in flight.
  void endUnlessBusy() {
    if (!query_) end(CloseReason::shutdown);
  }

 protected:
  void received() override { processInput(); }
  void written() override {
    if (responseStreaming_ && query_) owner_.dispatcher_.resumeResponse(*query_);
  }
  void closed(CloseReason) override {
    loop_.cancel(timer_);
    const auto query = query_;
    clearQuery();
    owner_.connectionEnded(*this);
    if (!query) return;
    owner_.waiting_.erase(*query);
    ++loop_.counters.clientsLeft;
    owner_.dispatcher_.clientLeft(*query);
  }

 private:
  void processInput() {
    if (ended() || finishing()) return;
    if (!head_) {
      if (closeAfterResponse_) return;
      // Pipelining is not allowed by the protocol; message boundaries cannot be relied on any more.
      if (query_) return endInvalid("not_one_at_a_time");
      const ParseStatus progress = reader_.readHead(in_);
      if (progress == ParseStatus::needMore) return startHeadTimer();
      if (progress == ParseStatus::headTooLong) return rejectQuery(431, "head_too_long");
      if (progress == ParseStatus::bodyTooLong) return rejectQuery(413, "body_too_long");
      if (progress == ParseStatus::malformed) return rejectQuery(400, "malformed");
      takeHead();
      // Rejects an invalid query before reading its body.
      Query query;
      if (const std::string_view problem = parseQuery(*head_, query);
          !problem.empty() && !isHealthCheck(*head_))
        return rejectQuery(400, problem);
    }
    const ParseStatus progress = body_.read(in_, bufferedBody_);
    if (progress == ParseStatus::bodyTooLong) return rejectBody(413, "body_too_long");
    if (progress == ParseStatus::malformed) return rejectBody(400, "malformed");
    const bool complete = progress == ParseStatus::done;
    if (complete && !in_.empty()) return rejectBody(400, "not_one_at_a_time");
    if (!bodyStreaming_ && !complete && bufferedBody_.size() <= kMaxBufferedBody) return;
    if (!bodyStreaming_) submitQuery(complete);
    if (!bodyStreaming_) return;
    // The query may have been answered already; responseSent() then arranges to discard the rest.
    if (complete) bodyComplete();
    if (query_ && (complete || !bufferedBody_.empty()))
      owner_.dispatcher_.bodyPart(*query_, std::exchange(bufferedBody_, {}), complete);
  }

  // A body became malformed after its query was submitted: drops the query before answering the client.
  void rejectBody(int status, std::string_view why) {
    const auto query = query_;
    clearQuery();
    if (query) {
      owner_.waiting_.erase(*query);
      owner_.dispatcher_.clientLeft(*query);
    }
    rejectQuery(status, why);
  }
  void takeHead() {
    ++messages_;
    head_ = std::make_shared<Message>(reader_.takeHead(in_));
    body_ = http::BodyReader(*head_, http::Reader::Kind::request, http::kMaxStreamedBodyBytes);
    headStarted_ = false;
    http10_ = head_->startLinePart(2) == "HTTP/1.0";
    closeAfterResponse_ = !head_->keepsAlive();
    bodyStartedAt_ = loop_.now();
    bytesAtBodyStart_ = bytesTransferred();
    startBodyTimer();
    if (in_.empty() && !http10_ &&
        http::equalsIgnoreCase(head_->field("Expect").value_or(""), "100-continue")) {
      http::GatherBuffer interim;
      interim.text("HTTP/1.1 100 Continue\r\n\r\n");
      send(std::move(interim));
    }
  }
  void bodyComplete() {
    bodyStreaming_ = false;
    head_.reset();
    loop_.cancel(timer_);
  }
  static bool isHealthCheck(const Message& message) {
    return message.startLinePart(0) == "GET" && message.startLinePart(1) == "/up";
  }
  /// Submits the query, either complete or with its body still being received.
  void submitQuery(bool complete) {
    const auto message = head_;
    if (complete) {
      message->setBody(std::exchange(bufferedBody_, {}));
      bodyComplete();
    }
    if (isHealthCheck(*message) && complete) return respond(200);
    Query query;
    if (std::string_view problem = parseQuery(*message, query); !problem.empty())
      return rejectQuery(400, problem);
    if (!complete && message->startLinePart(0) == "GET") return rejectQuery(400, "body");
    query.bodyStreaming = bodyStreaming_ = !complete;
    if (bodyStreaming_) query.maxExecutions = 1;  // a streamed body cannot be sent again
    query_ = query.id;
    ++queryCount_;
    requestId_ = *message->field("X-Request-Id");
    owner_.requestIdsInFlight_.insert(requestId_);
    owner_.waiting_[query.id] = this;
    owner_.dispatcher_.submit(message, query);
  }

  /// Why the connection closes after this response; `done` keeps it open.
  CloseReason closeReason() {
    // Closes one-off connections, such as health checks, when many are open. Clients limit their number of
    // connections, and idle ones would otherwise leave none for their queries.
    const bool crowded = queryCount_ < kSteadyQueries && owner_.crowded();
    if (!detail_.empty()) return CloseReason::badMessage;
    if (closeAfterResponse_ || bodyStreaming_) return CloseReason::closeAsked;
    return crowded                                 ? CloseReason::crowded
           : owner_.onStopped_ || owner_.yielding_ ? CloseReason::shutdown
                                                   : CloseReason::done;
  }
  void responseSent(CloseReason reason) {
    clearQuery();
    idleSince_ = loop_.now();
    if (reason != CloseReason::done) {
      // Keeps reading the body; closing now would send a reset that can overtake the response.
      if (bodyStreaming_) setLingerLimits(http::kMaxStreamedBodyBytes, kDiscardBodyTimeout);
      loop_.cancel(timer_);
      if (!allWritten()) watchResponse();
      return finish(reason);
    }
    startQueryTimer();
    // Deferred, as the response may be sent from within a call to the balancer.
    if (!in_.empty()) loop_.post([self = shared_from_this(), this] { processInput(); });
  }

  // Closes connections that hold a descriptor without sending a complete query. The idle timeout counts from
  // the last response, the head has a timeout of its own, and the body needs a minimum rate.
  void startQueryTimer() {
    loop_.cancel(timer_);
    timer_ = loop_.after(kIdleTimeout, [this] { allWritten() ? end(CloseReason::idle) : watchResponse(); });
  }
  void startHeadTimer() {
    if (in_.empty() || std::exchange(headStarted_, true)) return;
    loop_.cancel(timer_);
    timer_ = loop_.after(kHeadTimeout, [this] { rejectQuery(408, "stalled"); });
  }
  void startBodyTimer() {
    loop_.cancel(timer_);
    timer_ = loop_.after(kBodyIdleTimeout, [this, before = bytesTransferred(), paused = readingPaused()] {
      if (paused || readingPaused()) bodyStartedAt_ = std::max(bodyStartedAt_, loop_.now() - kBodyRateGrace);
      const double received = static_cast<double>(bytesTransferred() - bytesAtBodyStart_);
      const Span maxDuration{static_cast<Span::rep>(received / kMinBodyBytesPerSecond * 1e6)};
      const bool silent = before == bytesTransferred() && !paused && !readingPaused();
      if (silent || loop_.now() > bodyStartedAt_ + kBodyRateGrace + maxDuration) return stalled();
      startBodyTimer();
    });
  }
  void stalled() {
    if (!query_) return rejectQuery(408, "stalled");
    detail_ = "stalled";
    end(CloseReason::stalled);
  }
  // Closes the connection if the client stops reading its response; a slow reader is served to the end.
  void watchResponse() {
    loop_.cancel(timer_);
    timer_ = loop_.after(kReadStallTimeout, [this, before = bytesTransferred()] {
      if (responseStreaming_ || !allWritten())
        return before == bytesTransferred() && !allWritten() ? end(CloseReason::stalled) : watchResponse();
      if (!finishing()) startQueryTimer();
    });
  }

  void clearQuery() {
    if (query_) owner_.requestIdsInFlight_.erase(requestId_);
    query_.reset();
  }

  void endInvalid(std::string_view why) {
    ++loop_.counters.badQueries;
    detail_ = why;
    end(CloseReason::badMessage);
  }

  /// Parses and validates the query. Returns the reason for its rejection, empty if valid.
  std::string_view parseQuery(const Message& message, Query& query) {
    for (const std::string_view name : {"X-Request-Id", "X-Class", "X-Deadline-Ms", "Idempotency-Key"}) {
      if (message.count(name) > 1) return "doubled_field";
    }
    const auto id = message.field("X-Request-Id");
    const auto useCase = message.field("X-Class");
    const auto time = message.field("X-Deadline-Ms");
    if (!id || id->empty()) return "no_id";
    if (!useCase) return "no_class";
    if (!time) return "no_deadline";
    // Servers cannot tell apart two queries in flight under one id.
    if (owner_.requestIdsInFlight_.contains(*id)) return "id_in_flight";
    try {
      query.useCase = {owner_.settings_.useCases.idOf(*useCase, "class")};
    } catch (const settings::MalformedValue&) {
      return "unknown_class";
    }
    std::string_view path = message.startLinePart(1);
    path = path.substr(1, path.find('?') - 1);
    if (path.substr(0, path.find('/')) != *useCase) return "path_of_another_class";
    std::uint32_t millis = 0;
    const auto end = std::from_chars(time->data(), time->data() + time->size(), millis);
    if (end.ec != std::errc{} || end.ptr != time->data() + time->size() || millis == 0)
      return "deadline_not_whole_milliseconds";
    query.timeLeft = std::min<Span>(std::chrono::milliseconds(millis), kMaxTimeLeft);
    const RetrySafety retrySafety = owner_.settings_.config.useCases[query.useCase.value].retrySafety;
    if (message.startLinePart(0) != (retrySafety == RetrySafety::idempotent ? "GET" : "POST"))
      return "method";
    if (retrySafety == RetrySafety::idempotent && !message.body().empty()) return "body";
    if (retrySafety == RetrySafety::deduplicated && message.field("Idempotency-Key").value_or("").empty())
      return "no_mark_against_repeats";
    // The key is the last path segment after the first: a hexadecimal number, or hashed otherwise.
    const std::size_t slash = path.rfind('/');
    const std::string_view last = slash == std::string_view::npos ? "" : path.substr(slash + 1);
    std::uint64_t key{};
    const auto read = std::from_chars(last.data(), last.data() + last.size(), key, 16);
    if (!last.empty())
      query.key = read.ec == std::errc{} && read.ptr == last.data() + last.size()
                      ? KeyId{key}
                      : KeyId{settings::serverId(last).value};
    query.id = {++owner_.lastQuery_};
    return {};
  }

  ClientListener& owner_;
  http::Reader reader_{http::Reader::Kind::request, http::kMaxStreamedBodyBytes};
  std::optional<QueryId> query_;   // submitted and not yet answered
  std::string requestId_;          // X-Request-Id of that query
  std::shared_ptr<Message> head_;  // of a query whose body is being received
  http::BodyReader body_;
  std::string bufferedBody_;
  Span bodyStartedAt_{};
  std::uint64_t bytesAtBodyStart_ = 0;                   // value of bytesTransferred()
  CloseReason responseCloseReason_ = CloseReason::done;  // after a streamed response
  bool bodyStreaming_ = false;  // the query was submitted before its body was complete
  bool headStarted_ = false;    // a head has been received in part
  bool http10_ = false;
  bool responseStreaming_ = false;
  bool chunkedResponse_ = false;
  Loop::TimerId timer_;
  Span idleSince_{};
  int queryCount_ = 0;
  bool closeAfterResponse_ = false;
};

ClientListener::ClientListener(Loop& loop, Dispatcher& dispatcher, const settings::ParsedSettings& settings)
    : loop_(loop), dispatcher_(dispatcher), settings_(settings) {}

ClientListener::~ClientListener() = default;

void ClientListener::listen(const Poco::Net::SocketAddress& address, bool shared) {
  listener_.bind(address, true, shared);  // unless shared, binding an address in use fails
  listener_.listen(kListenBacklog);
  listener_.setBlocking(false);
  setAccepting(true);
}

void ClientListener::adopt(const Poco::Net::ServerSocket& listener) {
  listener_ = listener;
  listener_.setBlocking(false);
  setAccepting(true);
}

void ClientListener::setYielding(bool yielding) {
  yielding_ = yielding;
  setAccepting(!yielding);
}

void ClientListener::setAccepting(bool on) {
  if (on == accepting_ || closed_) return;
  accepting_ = on;
  const Poco::Observer<ClientListener, Poco::Net::ReadableNotification> readable(*this,
                                                                                 &ClientListener::accept);
  if (on) {
    loop_.addEventHandler(listener_, readable);
  } else {
    loop_.removeEventHandler(listener_, readable);
  }
}

void ClientListener::accept(Poco::Net::ReadableNotification* event) {
  event->release();
  loop_.runGuarded([this] {
    for (int i = 0; i < kMaxAcceptsPerTurn && acceptOne(); ++i) continue;
  });
}

bool ClientListener::acceptOne() {
  if (!accepting_) return false;
  try {
    Poco::Net::SocketAddress peer;
    const Poco::Net::StreamSocket socket = listener_.acceptConnection(peer);
    auto connection = std::make_shared<ClientConnection>(*this, socket, peer.toString());
    connections_.emplace(connection.get(), connection);
    ++loop_.counters.clientConnections;
    connection->start();
    // Client connections are limited to their share of descriptors, so that some remain for executions. At
    // the limit, each new connection evicts another.
    if (connections_.size() < maxConnections_ || freeDescriptor()) return true;
  } catch (const Poco::Exception& error) {
    // The queue is empty, or the peer closed the connection before it was accepted.
    if (error.code() != EMFILE && error.code() != ENFILE) return false;
    ++loop_.counters.outOfDescriptors;
    if (dispatcher_.freeDescriptor()) return true;
  }
  // Pauses accepting: the listener stays readable and would keep the loop spinning.
  setAccepting(false);
  loop_.after(kAcceptPause, [this] { setAccepting(!yielding_); });
  return false;
}

void ClientListener::limitDescriptors(std::size_t all) {
  maxConnections_ = std::max<std::size_t>(all / kDescriptorShareDivisor, 1);
}

bool ClientListener::crowded() const { return connections_.size() * kCrowdedDivisor > maxConnections_; }

ClientConnection* ClientListener::takeWaiting(QueryId query) {
  const auto at = waiting_.find(query);
  if (at == waiting_.end()) return nullptr;
  ClientConnection* const connection = at->second;
  waiting_.erase(at);
  return connection;
}

void ClientListener::respond(QueryId query, http::GatherBuffer pieces) {
  if (ClientConnection* const connection = takeWaiting(query)) connection->respond(std::move(pieces));
}

void ClientListener::complete(QueryId query, const std::shared_ptr<const Message>& response) {
  ClientConnection* const connection = takeWaiting(query);
  if (connection == nullptr) return;
  http::GatherBuffer head;
  head.text("HTTP/1.1 200 OK\r\n");
  for (const std::string_view lines : response->endToEndFields("X-Load")) head.view(lines);
  connection->respond(std::move(head), response);
}

void ClientListener::beginResponse(QueryId query, const std::shared_ptr<const Message>& head) {
  const auto at = waiting_.find(query);
  if (at != waiting_.end()) at->second->beginResponse(*head);
}

bool ClientListener::responsePart(QueryId query, std::string data) {
  const auto at = waiting_.find(query);
  return at != waiting_.end() && at->second->responsePart(std::move(data));
}

void ClientListener::endResponse(QueryId query) {
  if (ClientConnection* const connection = takeWaiting(query)) connection->endResponse();
}

void ClientListener::truncateResponse(QueryId query) {
  if (ClientConnection* const connection = takeWaiting(query)) connection->truncateResponse();
}

void ClientListener::pauseBody(QueryId query, bool pause) {
  const auto at = waiting_.find(query);
  if (at != waiting_.end()) at->second->pauseReading(pause);
}

void ClientListener::reject(QueryId query, Span retryAfter) {
  http::GatherBuffer head;
  head.text("HTTP/1.1 503 Service Unavailable\r\n");
  if (retryAfter > Span{0}) {
    const std::string millis = std::to_string(retryAfter / 1ms % 1000);
    head.text("Retry-After: " + std::to_string(retryAfter / 1s) + '.' + std::string(3 - millis.size(), '0') +
              millis + "\r\n");
  }
  respond(query, std::move(head));
}

void ClientListener::abort(QueryId query) {
  http::GatherBuffer head;
  head.text("HTTP/1.1 502 Bad Gateway\r\n");
  respond(query, std::move(head));
}

void ClientListener::stop(std::function<void()> stopped) {
  if (onStopped_) return;
  onStopped_ = std::move(stopped);
  // With a successor, connections close after their next response instead; closing idle ones here could race
  // with a query in transit.
  if (!yielding_) {
    for (const auto& connection : openConnections()) connection->endIfIdle(CloseReason::shutdown);
  }
  loop_.after(kStopAcceptDelay, [this] { closeListener(); });
}

void ClientListener::rejectInvalid(QueryId query) {
  if (ClientConnection* const connection = takeWaiting(query))
    connection->rejectQuery(400, "refused_by_server");
}

std::vector<std::shared_ptr<ClientConnection>> ClientListener::openConnections() const {
  std::vector<std::shared_ptr<ClientConnection>> copy;
  for (const auto& [at, connection] : connections_) copy.push_back(connection);
  return copy;
}

bool ClientListener::freeDescriptor() {
  std::shared_ptr<ClientConnection> victim;
  for (const auto& [at, connection] : connections_) {
    const auto priority = connection->evictionPriority();
    if (!priority || (victim && victim->evictionPriority() <= priority)) continue;
    if (connection->finishing() || !connection->stale()) victim = connection;
  }
  if (victim) victim->end(CloseReason::descriptors);
  return victim != nullptr;
}

// Accepts the connections still queued by the kernel before closing the listener.
void ClientListener::closeListener() {
  while (!yielding_ && acceptOne()) continue;
  setAccepting(false);
  closed_ = true;
  listener_.close();
  for (const auto& connection : openConnections()) connection->endIfIdle(CloseReason::shutdown);
  if (connections_.empty()) return onStopped_();
  // Bounds the wait for queries that are never completed.
  loop_.after(kStopGrace, [this] {
    for (const auto& connection : openConnections()) connection->endUnlessBusy();
  });
}

void ClientListener::connectionEnded(ClientConnection& connection) {
  connections_.erase(&connection);
  if (closed_ && connections_.empty()) loop_.post(onStopped_);
}

}  // namespace rackroute::sidecar
