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
using http::ParseStatus;

constexpr Span kIdle = 2100ms;      // without a query; what clients are promised and a margin
constexpr Span kLongestRead = 10s;  // without a byte read of an answer; a slow reader takes some all the time
constexpr Span kWholeHead =
    2500ms;  // from its first byte; slow clients take 2 s, and bad ones end within 3 s
constexpr Span kBodySilence = 1500ms;  // within a body; slow ones bring pieces far more often
constexpr double kSlowestBody = 16e3;  // bytes a second in the mean; a quarter of what slow clients bring
constexpr Span kBodyGrace = 3s;        // before the mean tells
constexpr Span kReadOn = 10s;          // for the rest of a body whose answer was given before it was whole
constexpr std::size_t kHeldWhole = 64 * 1024;  // bytes; a longer body is passed on as it comes, and only once
constexpr Span kFresh = 100ms;     // a connection's first query may still be on its way; some hundred trips
constexpr int kAccepted = 32;      // connections a turn; a storm of them must not hold up queries
constexpr std::size_t kShare = 2;  // of the descriptors, one in so many is the application's; they ask for 3
constexpr std::size_t kCrowded = 4;   // one part in so many of that share in use: single askers are not kept
constexpr int kSteady = 2;            // queries on one connection; it came back, so it is worth keeping
constexpr Span kLongestTime = 60s;    // of a query; keeps its descriptor no longer, whatever it says
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

  void start() {
    idleFrom_ = loop_.now();
    awaitQuery();
    open();
    readNow();  // most often the query is there already
  }
  void answer(http::GatherBuffer head, const std::shared_ptr<const Message>& body = nullptr) {
    std::string rest = "Content-Length: " + std::to_string(body ? body->body().size() : 0) + "\r\n";
    const Reason reason = why();
    rest += reason != Reason::done ? "Connection: close\r\n\r\n" : "\r\n";
    head.text(std::move(rest));
    if (body) {
      head.keep(body);
      head.view(body->body());
    }
    send(std::move(head));
    answered(reason);
  }
  /// The parts of an answer that is passed on as it comes.
  void begin(const Message& answer) {
    std::string rest;
    chunks_ = !answer.length() && !old_;
    // Guards against a client that knows no chunks: its answer ends with its connection.
    closes_ = closes_ || (!answer.length() && old_);
    if (answer.length()) rest = "Content-Length: " + std::to_string(*answer.length()) + "\r\n";
    if (chunks_) rest = "Transfer-Encoding: chunked\r\n";
    ends_ = why();
    streams_ = true;
    http::GatherBuffer head;
    head.text("HTTP/1.1 200 OK\r\n");
    for (const std::string_view lines : answer.endToEndFields("X-Load")) head.text(std::string(lines));
    head.text(rest + (ends_ != Reason::done ? "Connection: close\r\n\r\n" : "\r\n"));
    send(std::move(head));
    awaitRead();
  }
  bool part(std::string data) {
    http::GatherBuffer pieces;
    if (chunks_) pieces.text(http::chunkHeader(data.size()));
    pieces.text(std::move(data));
    if (chunks_) pieces.text("\r\n");
    send(std::move(pieces));
    return backlog() > side_.mostBacklog_;
  }
  void last() {
    http::GatherBuffer pieces;
    if (chunks_) pieces.text("0\r\n\r\n");
    streams_ = false;
    send(std::move(pieces));
    answered(ends_);
  }
  // Guards against a torn answer that looks whole: the connection ends short of what its head told.
  void cut() {
    forgetQuery();
    endCut(Reason::cut);
  }
  void answer(int status, const std::string& fields = {}) {
    http::GatherBuffer head;
    head.text("HTTP/1.1 " + std::string(phrase(status)) + "\r\n" + fields);
    answer(std::move(head));
  }
  void refuse(int status, std::string_view why) {
    ++loop_.counters.badQueries;
    why_ = why;
    closes_ = true;
    coming_ = false;
    head_.reset();
    in_.clear();
    answer(status);
  }
  /// Closes it if it is between queries, with nothing of the next in sight.
  bool endIfIdle(Reason reason) {
    if (query_ || head_ || messages_ == 0 || reader_.hasInput(in_) || !allWritten() || stale()) return false;
    end(reason);
    return true;
  }
  /// Which connection goes first when descriptors run out, the least of these: one that only waits for its
  /// last answer to be seen, one that never sent a whole query, one between queries; the oldest of its kind.
  [[nodiscard]] std::optional<std::pair<int, Span>> priority() const {
    if (query_ || head_ || ended()) return std::nullopt;
    if (finishing()) return std::pair(0, idleFrom_);
    if (!allWritten()) return std::nullopt;
    if (messages_ == 0) return std::pair(loop_.now() - idleFrom_ > kFresh ? 1 : 3, idleFrom_);
    return std::pair(reader_.hasInput(in_) ? 3 : 2, idleFrom_);
  }
  /// Closes it unless a query of it is in flight.
  void endUnlessBusy() {
    if (!query_) end(Reason::shutdown);
  }

 protected:
  void received() override { next(); }
  void written() override {
    if (streams_ && query_) side_.exchange_.answerWanted(*query_);
  }
  void gone(Reason) override {
    loop_.cancel(timer_);
    const auto query = query_;
    forgetQuery();
    side_.ended(*this);
    if (!query) return;
    side_.waiting_.erase(*query);
    ++loop_.counters.clientsLeft;
    side_.exchange_.clientLeft(*query);
  }

 private:
  void next() {
    if (ended() || finishing()) return;
    if (!head_) {
      if (closes_) return;
      // Guards against a client that sends on without waiting for its answer, which no client is allowed to:
      // how its messages are to be told apart is not to be relied on.
      if (query_) return leave("not_one_at_a_time");
      const ParseStatus progress = reader_.readHead(in_);
      if (progress == ParseStatus::needMore) return begun();
      if (progress == ParseStatus::headTooLong) return refuse(431, "head_too_long");
      if (progress == ParseStatus::bodyTooLong) return refuse(413, "body_too_long");
      if (progress == ParseStatus::malformed) return refuse(400, "malformed");
      takeHead();
      // Guards against a long body that is read in vain.
      Query query;
      if (const std::string_view lack = read(*head_, query); !lack.empty() && !isUp(*head_))
        return refuse(400, lack);
    }
    const ParseStatus progress = body_.read(in_, held_);
    if (progress == ParseStatus::bodyTooLong) return spoilt(413, "body_too_long");
    if (progress == ParseStatus::malformed) return spoilt(400, "malformed");
    const bool whole = progress == ParseStatus::done;
    if (whole && !in_.empty()) return spoilt(400, "not_one_at_a_time");
    if (!coming_ && !whole && held_.size() <= kHeldWhole) return;
    if (!coming_) take(whole);
    if (!coming_) return;
    // Passed on as it comes. Its query may be over by now; answered() then reads the rest away.
    if (whole) bodyEnded();
    if (query_ && (whole || !held_.empty()))
      side_.exchange_.bodyPart(*query_, std::exchange(held_, {}), whole);
  }

  // Guards against a body that goes bad after its query was taken: nobody may answer that one any more.
  void spoilt(int status, std::string_view why) {
    const auto query = query_;
    forgetQuery();
    if (query) {
      side_.waiting_.erase(*query);
      side_.exchange_.clientLeft(*query);
    }
    refuse(status, why);
  }
  void takeHead() {
    ++messages_;
    head_ = std::make_shared<Message>(reader_.takeHead(in_));
    body_ = http::BodyReader(*head_, http::Reader::Kind::request, http::kMaxStreamedBodyBytes);
    begins_ = false;
    old_ = head_->startLinePart(2) == "HTTP/1.0";
    closes_ = !head_->keepsAlive();
    bodyFrom_ = loop_.now();
    bodyAt_ = moved();
    watchBody();
    if (in_.empty() && !old_ && http::equalsIgnoreCase(head_->field("Expect").value_or(""), "100-continue")) {
      http::GatherBuffer go;
      go.text("HTTP/1.1 100 Continue\r\n\r\n");
      send(std::move(go));
    }
  }
  void bodyEnded() {
    coming_ = false;
    head_.reset();
    loop_.cancel(timer_);
  }
  static bool isUp(const Message& message) {
    return message.startLinePart(0) == "GET" && message.startLinePart(1) == "/up";
  }
  /// Hands the query on, whole or with its body still coming.
  void take(bool whole) {
    const auto message = head_;
    if (whole) {
      message->setBody(std::exchange(held_, {}));
      bodyEnded();
    }
    if (isUp(*message) && whole) return answer(200);
    Query query;
    if (std::string_view lack = read(*message, query); !lack.empty()) return refuse(400, lack);
    if (!whole && message->startLinePart(0) == "GET") return refuse(400, "body");
    query.coming = coming_ = !whole;
    if (coming_) query.mostExecutions = 1;  // what was passed on is not kept
    query_ = query.id;
    ++queries_;
    openId_ = *message->field("X-Request-Id");
    side_.openIds_.insert(openId_);
    side_.waiting_[query.id] = this;
    side_.exchange_.take(message, query);
  }

  /// Why the connection ends with this answer; done: it stays.
  Reason why() {
    // Guards against connections that ask once, or only /up, and then stay open: an application may hold only
    // so many itself, and those fill its bound until the idle limit, so that its queries can't connect at
    // all.
    const bool crowded = queries_ < kSteady && side_.crowded();
    if (!why_.empty()) return Reason::badMessage;
    if (closes_ || coming_) return Reason::closeAsked;
    return crowded ? Reason::crowded : side_.stopped_ || side_.yields_ ? Reason::shutdown : Reason::done;
  }
  void answered(Reason reason) {
    forgetQuery();
    idleFrom_ = loop_.now();
    if (reason != Reason::done) {
      // Guards against an answer that a reset overtakes while its query's body is still coming.
      if (coming_) lingerFor(http::kMaxStreamedBodyBytes, kReadOn);
      loop_.cancel(timer_);
      if (!allWritten()) awaitRead();
      return finish(reason);
    }
    awaitQuery();
    // In a turn of its own: the answer may come from within a call on the balancer.
    if (!in_.empty()) loop_.soon([self = shared_from_this(), this] { next(); });
  }

  // Guards against connections that hold a descriptor and ask nothing, or never all of it. The time for a
  // query to begin counts from the last answer; its head has a time, its body must move.
  void awaitQuery() {
    loop_.cancel(timer_);
    timer_ = loop_.in(kIdle, [this] { allWritten() ? end(Reason::idle) : awaitRead(); });
  }
  void begun() {
    if (in_.empty() || std::exchange(begins_, true)) return;
    loop_.cancel(timer_);
    timer_ = loop_.in(kWholeHead, [this] { refuse(408, "stalled"); });
  }
  void watchBody() {
    loop_.cancel(timer_);
    timer_ = loop_.in(kBodySilence, [this, before = moved(), paused = pausedReading()] {
      if (paused || pausedReading()) bodyFrom_ = std::max(bodyFrom_, loop_.now() - kBodyGrace);
      const double mean = static_cast<double>(moved() - bodyAt_);
      const Span slowest{static_cast<Span::rep>(mean / kSlowestBody * 1e6)};
      const bool silent = before == moved() && !paused && !pausedReading();
      if (silent || loop_.now() > bodyFrom_ + kBodyGrace + slowest) return stalled();
      watchBody();
    });
  }
  void stalled() {
    if (!query_) return refuse(408, "stalled");
    why_ = "stalled";
    end(Reason::stalled);
  }
  // Guards against a reader that has stopped; a slow one is served to the end.
  void awaitRead() {
    loop_.cancel(timer_);
    timer_ = loop_.in(kLongestRead, [this, before = moved()] {
      if (streams_ || !allWritten())
        return before == moved() && !allWritten() ? end(Reason::stalled) : awaitRead();
      if (!finishing()) awaitQuery();
    });
  }

  void forgetQuery() {
    if (query_) side_.openIds_.erase(openId_);
    query_.reset();
  }

  void leave(std::string_view why) {
    ++loop_.counters.badQueries;
    why_ = why;
    end(Reason::badMessage);
  }

  /// Decodes it; what is wrong with it, or nothing.
  std::string_view read(const Message& message, Query& query) {
    for (const std::string_view once : {"X-Request-Id", "X-Class", "X-Deadline-Ms", "Idempotency-Key"}) {
      if (message.count(once) > 1) return "doubled_field";
    }
    const auto id = message.field("X-Request-Id");
    const auto useCase = message.field("X-Class");
    const auto time = message.field("X-Deadline-Ms");
    if (!id || id->empty()) return "no_id";
    if (!useCase) return "no_class";
    if (!time) return "no_deadline";
    // Guards against a second query under the id of one in flight: servers could not tell them apart.
    if (side_.openIds_.contains(*id)) return "id_in_flight";
    try {
      query.useCase = {side_.told_.useCases.idOf(*useCase, "class")};
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
    query.timeLeft = std::min<Span>(std::chrono::milliseconds(millis), kLongestTime);
    const Repeat repeat = side_.told_.config.useCases[query.useCase.value].repeat;
    if (message.startLinePart(0) != (repeat == Repeat::idempotent ? "GET" : "POST")) return "method";
    if (repeat == Repeat::idempotent && !message.body().empty()) return "body";
    if (repeat == Repeat::deduplicated && message.field("Idempotency-Key").value_or("").empty())
      return "no_mark_against_repeats";
    // The last part of the path, beside the first: a number in hexadecimal digits.
    const std::size_t slash = path.rfind('/');
    const std::string_view last = slash == std::string_view::npos ? "" : path.substr(slash + 1);
    std::uint64_t key{};
    const auto read = std::from_chars(last.data(), last.data() + last.size(), key, 16);
    if (!last.empty())
      query.key = read.ec == std::errc{} && read.ptr == last.data() + last.size()
                      ? KeyId{key}
                      : KeyId{settings::serverId(last).value};
    query.id = {++side_.lastQuery_};
    return {};
  }

  ClientSide& side_;
  http::Reader reader_{http::Reader::Kind::request, http::kMaxStreamedBodyBytes};
  std::optional<QueryId> query_;   // read, and not yet answered
  std::string openId_;             // the id it came with
  std::shared_ptr<Message> head_;  // of a query whose body is still coming
  http::BodyReader body_;
  std::string held_;  // of that body
  Span bodyFrom_{};   // when it began, and the bytes moved until then
  std::uint64_t bodyAt_ = 0;
  Reason ends_ = Reason::done;  // with a streamed answer
  bool coming_ = false;         // the query was taken before its body was whole
  bool begins_ = false;         // a head has begun and is not whole
  bool old_ = false;            // HTTP/1.0
  bool streams_ = false;        // its answer is passed on as it comes
  bool chunks_ = false;         // in chunks
  Loop::TimerId timer_;         // until the next query must be there
  Span idleFrom_{};
  int queries_ = 0;
  bool closes_ = false;
};

ClientSide::ClientSide(Loop& loop, Exchange& exchange, const settings::ParsedSettings& told)
    : loop_(loop), exchange_(exchange), told_(told) {}

ClientSide::~ClientSide() = default;

void ClientSide::listen(const Poco::Net::SocketAddress& address, bool shared) {
  listener_.bind(address, true, shared);  // not shared: an address in use must fail
  listener_.listen(kBacklog);
  listener_.setBlocking(false);
  listening(true);
}

void ClientSide::adopt(const Poco::Net::ServerSocket& listener) {
  listener_ = listener;
  listener_.setBlocking(false);
  listening(true);
}

void ClientSide::yield(bool to) {
  yields_ = to;
  listening(!to);
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
  loop_.guarded([this] {
    for (int i = 0; i < kAccepted && acceptOne(); ++i) continue;
  });
}

bool ClientSide::acceptOne() {
  if (!listening_) return false;
  try {
    Poco::Net::SocketAddress peer;
    const Poco::Net::StreamSocket socket = listener_.acceptConnection(peer);
    auto made = std::make_shared<ClientConnection>(*this, socket, peer.toString());
    connections_.emplace(made.get(), made);
    ++loop_.counters.clientConnections;
    made->start();
    // Guards against connections by the hundred that leave no descriptor for executions: the application has
    // its share, and with that used up one that is not needed goes for each that comes.
    if (connections_.size() < most_ || freeDescriptor()) return true;
  } catch (const Poco::Exception& error) {
    // Nothing is left to accept, or it left before it was.
    if (error.code() != EMFILE && error.code() != ENFILE) return false;
    ++loop_.counters.outOfDescriptors;
    if (exchange_.freeDescriptor()) return true;
  }
  // The listener rests, as it would stay readable and keep the loop spinning.
  listening(false);
  loop_.in(kAcceptPause, [this] { listening(!yields_); });
  return false;
}

void ClientSide::limitDescriptors(std::size_t all) { most_ = std::max<std::size_t>(all / kShare, 1); }

bool ClientSide::crowded() const { return connections_.size() * kCrowded > most_; }

ClientConnection* ClientSide::release(QueryId query) {
  const auto at = waiting_.find(query);
  if (at == waiting_.end()) return nullptr;
  ClientConnection* const connection = at->second;
  waiting_.erase(at);
  return connection;
}

void ClientSide::answer(QueryId query, http::GatherBuffer pieces) {
  if (ClientConnection* const connection = release(query)) connection->answer(std::move(pieces));
}

void ClientSide::complete(QueryId query, const std::shared_ptr<const Message>& answer) {
  ClientConnection* const connection = release(query);
  if (connection == nullptr) return;
  http::GatherBuffer head;
  head.text("HTTP/1.1 200 OK\r\n");
  for (const std::string_view lines : answer->endToEndFields("X-Load")) head.view(lines);
  connection->answer(std::move(head), answer);
}

void ClientSide::begin(QueryId query, const std::shared_ptr<const Message>& head) {
  const auto at = waiting_.find(query);
  if (at != waiting_.end()) at->second->begin(*head);
}

bool ClientSide::part(QueryId query, std::string data) {
  const auto at = waiting_.find(query);
  return at != waiting_.end() && at->second->part(std::move(data));
}

void ClientSide::last(QueryId query) {
  if (ClientConnection* const connection = release(query)) connection->last();
}

void ClientSide::cut(QueryId query) {
  if (ClientConnection* const connection = release(query)) connection->cut();
}

void ClientSide::pauseBody(QueryId query, bool pause) {
  const auto at = waiting_.find(query);
  if (at != waiting_.end()) at->second->pauseReading(pause);
}

void ClientSide::reject(QueryId query, Span comeBackAfter) {
  http::GatherBuffer head;
  head.text("HTTP/1.1 503 Service Unavailable\r\n");
  if (comeBackAfter > Span{0}) {
    const std::string millis = std::to_string(comeBackAfter / 1ms % 1000);
    head.text("Retry-After: " + std::to_string(comeBackAfter / 1s) + '.' +
              std::string(3 - millis.size(), '0') + millis + "\r\n");
  }
  answer(query, std::move(head));
}

void ClientSide::abort(QueryId query) {
  http::GatherBuffer head;
  head.text("HTTP/1.1 502 Bad Gateway\r\n");
  answer(query, std::move(head));
}

void ClientSide::stop(std::function<void()> stopped) {
  if (stopped_) return;
  stopped_ = std::move(stopped);
  // Guards against queries that cross the close of their connection: with another process to go to, those
  // that are used end with their answers first.
  if (!yields_) {
    for (const auto& connection : all()) connection->endIfIdle(Reason::shutdown);
  }
  loop_.in(kStillComing, [this] { closeListener(); });
}

void ClientSide::turnAway(QueryId query) {
  if (ClientConnection* const connection = release(query)) connection->refuse(400, "refused_by_server");
}

std::vector<std::shared_ptr<ClientConnection>> ClientSide::all() const {
  std::vector<std::shared_ptr<ClientConnection>> all;
  for (const auto& [at, connection] : connections_) all.push_back(connection);
  return all;
}

bool ClientSide::freeDescriptor() {
  std::shared_ptr<ClientConnection> first;
  for (const auto& [at, connection] : connections_) {
    const auto priority = connection->priority();
    if (!priority || (first && first->priority() <= priority)) continue;
    if (connection->finishing() || !connection->stale()) first = connection;
  }
  if (first) first->end(Reason::descriptors);
  return first != nullptr;
}

// What the machine accepted is taken in before the listener goes.
void ClientSide::closeListener() {
  while (!yields_ && acceptOne()) continue;
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
