#include "sidecar/server_pool.hpp"

#include <Poco/Exception.h>
#include <Poco/JSON/Object.h>
#include <Poco/JSON/Parser.h>

#include <algorithm>
#include <optional>
#include <string>
#include <utility>

#include "sidecar/connection.hpp"
#include "sidecar/dispatcher.hpp"
#include "sidecar/log.hpp"

namespace rackroute::sidecar {
namespace {

using namespace std::chrono_literals;
using http::Message;
using http::ParseStatus;

constexpr std::size_t kMaxBufferedBody = 64 * 1024;  // longer responses are streamed
constexpr Span kStallTimeout = 10s;                  // without progress within a streamed body
constexpr Span kRemovedEndpointRetention = 60s;      // must exceed the drain grace period
constexpr double kIdleTimeoutFraction =
    0.75;  // of the servers' idle timeout, so that they do not close first

// Service time from the load report; zero if the report is missing or malformed.
Span reportedService(const Message& response) {
  const auto report = response.field("X-Load");
  if (!report) return Span{0};
  try {
    const auto object = Poco::JSON::Parser().parse(std::string(*report)).extract<Poco::JSON::Object::Ptr>();
    const std::string name(settings::kServiceTimeField);
    if (!object->has(name)) return Span{0};
    const double millis = object->getValue<double>(name);
    return millis > 0 && millis < 1e6 ? Span{static_cast<Span::rep>(millis * 1000)} : Span{0};
  } catch (const Poco::Exception&) {
    return Span{0};
  }
}

// Statuses by which servers refuse an invalid query: 400, and 404 if the id is missing.
bool isInvalidQueryStatus(std::uint32_t status) { return status == 400 || status == 404; }

bool isKnownStatus(std::uint32_t status) {
  return isInvalidQueryStatus(status) || status == 200 || status == 500 || status == 503 || status == 504;
}

Outcome outcomeOf(const Message& response) {
  if (response.status() == 200) return Outcome::completed;
  if (isInvalidQueryStatus(response.status())) return Outcome::invalidQuery;
  const bool notRun = response.field("X-Not-Run") == "1";
  if ((response.status() == 503 || response.status() == 504) && notRun) return Outcome::full;
  return Outcome::error;
}

}  // namespace

class ServerConnection : public Connection {
 public:
  ServerConnection(ServerPool& pool, ServerId server, Poco::Net::StreamSocket socket, std::string peer)
      : Connection(pool.loop_, "server", std::move(socket), std::move(peer)), pool_(pool), server_(server) {}

  void connect(const Poco::Net::SocketAddress& address) {
    if (pool_.dialTimeout_ > Span{0})
      dialTimer_ = loop_.after(pool_.dialTimeout_, [this] { end(CloseReason::dialTimeout); });
    address_ = address;
    dial(address);
  }
  void execute(ExecutionKey execution, std::shared_ptr<const Message> query, Span timeout,
               bool bodyStreaming) {
    loop_.cancel(idleTimer_);
    execution_ = execution;
    query_ = std::move(query);
    timeout_ = timeout;
    bodyStreaming_ = bodyStreaming;
    headSent_ = false;
    if (bodyStreaming) {
      startStallTimer();
    } else {
      startExecutionTimer();
    }
    pool_.executions_[execution] = this;
    ++messages_;
    if (!dialing()) sendQuery();
  }
  /// Returns true when the sender should pause.
  bool bodyPart(std::string data, bool last) {
    if (!execution_ || !bodyStreaming_) return false;
    http::GatherBuffer pieces;
    if (query_->chunked() && !data.empty()) {
      pieces.text(http::chunkHeader(data.size()));
      pieces.text(std::move(data));
      pieces.text("\r\n");
    } else {
      pieces.text(std::move(data));
    }
    if (last) {
      bodyStreaming_ = false;
      if (query_->chunked()) pieces.text("0\r\n\r\n");
      startExecutionTimer();  // the timeout counts from the last byte
    }
    // Until the head has been sent, the body is buffered; sendQuery() appends it.
    if (!headSent_) {
      earlyBody_.append(std::move(pieces));
    } else {
      send(std::move(pieces));
    }
    return !last && (!headSent_ || unsentBytes() > pool_.maxUnsentBytes_);
  }
  [[nodiscard]] bool bodyStreaming() const { return bodyStreaming_; }
  [[nodiscard]] ServerId server() const { return server_; }

 protected:
  void written() override {
    if (!execution_ || !headSent_) return;
    if (bodyStreaming_) return pool_.dispatcher_.resumeBody(*execution_);
    if (!std::exchange(fullyWritten_, true)) ++loop_.counters.relayed;
  }
  void opened() override {
    loop_.cancel(dialTimer_);
    if (execution_) sendQuery();
  }

  void received() override {
    while (execution_ && !ended()) {
      if (!response_) {
        const ParseStatus progress = reader_.readHead(in_);
        if (progress == ParseStatus::needMore) return;
        if (progress != ParseStatus::done) return end(CloseReason::badMessage);
        auto head = std::make_shared<Message>(reader_.takeHead(in_));
        if (head->status() < 200) continue;  // interim response; the final one follows
        body_ = http::BodyReader(*head, http::Reader::Kind::response, http::kMaxStreamedBodyBytes);
        response_ = std::move(head);
      }
      const ParseStatus progress = body_.read(in_, bufferedBody_);
      if (progress != ParseStatus::needMore && progress != ParseStatus::done)
        return end(CloseReason::badMessage);
      if (progress == ParseStatus::done) return responseComplete(false);
      if (!responseStreaming_) {
        // Streams the response once it exceeds the buffer limit, or its length tells that it will.
        if (std::max(bufferedBody_.size(), response_->length().value_or(0)) <= kMaxBufferedBody ||
            bufferedBody_.empty())
          return;
        if (response_->status() != 200) return end(CloseReason::badMessage);
        responseStreaming_ = true;
        startStallTimer();
        if (!pool_.dispatcher_.responseStarted(*execution_, response_)) return end(CloseReason::cancelled);
      }
      return pool_.dispatcher_.responsePart(*execution_, std::exchange(bufferedBody_, {}));
    }
    if (!ended()) end(CloseReason::unreadAnswer);
  }

  void closed(CloseReason reason) override {
    if (execution_ && response_ && body_.untilClose() && reason == CloseReason::peerClosed)
      responseComplete(true);
    loop_.cancel(dialTimer_);
    loop_.cancel(idleTimer_);
    pool_.idle_.remove(this);
    if (!headSent_ && (reason == CloseReason::refused || reason == CloseReason::dialTimeout))
      ++loop_.counters.dialsFailed;
    if (execution_) {
      // "Never ran" holds only until the last byte has been written.
      const bool neverRan = !headSent_ || bodyStreaming_ || !allWritten();
      Outcome outcome = neverRan ? Outcome::connectFailed : Outcome::reset;
      if (reason == CloseReason::cancelled) outcome = Outcome::cancelled;
      if (reason == CloseReason::executionTimeout && !neverRan) outcome = Outcome::timeout;
      if (reason == CloseReason::badMessage) outcome = Outcome::error;
      const ExecutionKey execution = releaseExecution();
      pool_.dispatcher_.executionEnded(execution, outcome, Span{0}, nullptr);
    }
    pool_.connections_.erase(this);
  }

 private:
  void startExecutionTimer() {
    loop_.cancel(timer_);
    deadline_ = loop_.now() + timeout_;
    timer_ = loop_.at(deadline_, [this] { end(CloseReason::executionTimeout); });
  }
  // A streamed body has no execution timeout, but must make progress. Time while reading is paused for a slow
  // client does not count.
  void startStallTimer() {
    loop_.cancel(timer_);
    timer_ = loop_.after(kStallTimeout, [this, before = bytesTransferred()] {
      if (before == bytesTransferred() && !readingPaused()) return end(CloseReason::stalled);
      startStallTimer();
    });
  }
  /// The response is complete; `closed` if the server ended it by closing the connection.
  void responseComplete(bool closed) {
    auto response = std::exchange(response_, nullptr);
    const bool streaming = std::exchange(responseStreaming_, false);
    const bool known = isKnownStatus(response->status());
    const bool reusable =
        !closed && known && response->keepsAlive() && in_.empty() && allWritten() && !bodyStreaming_;
    const ExecutionKey execution = releaseExecution();
    if (streaming) {
      if (!bufferedBody_.empty()) pool_.dispatcher_.responsePart(execution, std::exchange(bufferedBody_, {}));
    } else {
      response->setBody(std::exchange(bufferedBody_, {}));
    }
    if (reusable) {
      returnToPool();
    } else if (!closed) {
      end(!known         ? CloseReason::badMessage
          : !in_.empty() ? CloseReason::unreadAnswer
                         : CloseReason::closeAsked);
    }
    pool_.dispatcher_.executionEnded(execution, outcomeOf(*response), reportedService(*response), response);
  }
  void sendQuery() {
    headSent_ = true;
    fullyWritten_ = false;
    http::GatherBuffer pieces;
    pieces.keep(query_);
    pieces.view(query_->startLinePart(0));
    pieces.text(" ");
    pieces.view(query_->startLinePart(1));
    pieces.text(" HTTP/1.1\r\n");
    for (const std::string_view lines : query_->endToEndFields("X-Deadline-Ms")) pieces.view(lines);
    const Span left = deadline_ > Span{0} ? deadline_ - loop_.now() : timeout_;
    std::string rest = "X-Deadline-Ms: " + std::to_string(std::max<Span::rep>(left / 1ms, 1)) + "\r\n";
    const std::string_view body = query_->body();
    const bool bodySeparate = bodyStreaming_ || !earlyBody_.empty();
    if (bodySeparate) {
      rest += query_->chunked() ? "Transfer-Encoding: chunked\r\n"
                                : "Content-Length: " + std::to_string(query_->length().value_or(0)) + "\r\n";
    } else if (!body.empty() || query_->startLinePart(0) != "GET") {
      rest += "Content-Length: " + std::to_string(body.size()) + "\r\n";
    }
    pieces.text(rest + "\r\n");
    if (!bodySeparate) pieces.view(body);
    pieces.append(std::exchange(earlyBody_, {}));
    send(std::move(pieces));
  }
  ExecutionKey releaseExecution() {
    loop_.cancel(timer_);
    deadline_ = {};
    earlyBody_ = {};
    const ExecutionKey execution = *std::exchange(execution_, std::nullopt);
    pool_.executions_.erase(execution);
    query_.reset();
    return execution;
  }
  void returnToPool() {
    headSent_ = false;
    const auto endpoint = pool_.endpoints_.find(server_);
    if (endpoint == pool_.endpoints_.end() || endpoint->second.address != address_ ||
        endpoint->second.removedAt != Span::max() || pool_.disabled_.contains(server_))
      return end(CloseReason::moved);
    pool_.idle_.push_back(this);
    if (pool_.idleTimeout_ > Span{0})
      idleTimer_ = loop_.after(pool_.idleTimeout_, [this] { end(CloseReason::idle); });
  }

  ServerPool& pool_;
  ServerId server_;
  Poco::Net::SocketAddress address_;
  http::Reader reader_{http::Reader::Kind::response, http::kMaxStreamedBodyBytes};
  std::shared_ptr<Message> response_;  // its head, while the body is being received
  http::BodyReader body_;
  std::string bufferedBody_;      // of the response
  http::GatherBuffer earlyBody_;  // part of the query's body received before its head was sent
  bool responseStreaming_ = false;
  bool bodyStreaming_ = false;  // the query's body is not complete yet
  Span timeout_{};
  std::optional<ExecutionKey> execution_;
  std::shared_ptr<const Message> query_;
  Span deadline_{};
  Loop::TimerId timer_;
  Loop::TimerId dialTimer_;
  Loop::TimerId idleTimer_;
  bool headSent_ = false;
  bool fullyWritten_ = false;
};

ServerPool::ServerPool(Loop& loop, Dispatcher& dispatcher, const settings::ParsedSettings& settings)
    : loop_(loop),
      dispatcher_(dispatcher),
      dialTimeout_(settings.dialTimeout),
      idleTimeout_(static_cast<Span::rep>(static_cast<double>(settings.connectionIdle.count()) *
                                          kIdleTimeoutFraction)) {}

ServerPool::~ServerPool() = default;

// Removed servers lose their idle connections at once. Their endpoints are kept for a while, as they may
// still receive executions, and then erased.
void ServerPool::updateServers(const ServerList& list) {
  const Span now = loop_.now();
  const bool complete = list.kind != ServerListKind::changes;
  for (auto& [server, endpoint] : endpoints_) {
    if (complete) endpoint.removedAt = std::min(endpoint.removedAt, now);
  }
  for (const auto& [server, address] : list.addresses) {
    Endpoint& endpoint = endpoints_[server];
    if (endpoint.address != address) closeIdle(server);
    endpoint = {address, Span::max()};
  }
  for (const ListedServer& server : list.servers) {
    const auto endpoint = endpoints_.find(server.id);
    if (server.lifecycle != Lifecycle::removed || endpoint == endpoints_.end()) continue;
    endpoint->second.removedAt = now;
    closeIdle(server.id);
  }
  std::erase_if(endpoints_, [&](const auto& at) {
    return at.second.removedAt < now && now - at.second.removedAt > kRemovedEndpointRetention;
  });
}

void ServerPool::setDisabled(ServerId server, bool disabled) {
  if (!disabled) {
    disabled_.erase(server);
  } else if (disabled_.insert(server).second) {
    closeIdle(server);
  }
}

void ServerPool::closeIdle(ServerId server) {
  const std::list<ServerConnection*> idle = idle_;
  for (ServerConnection* connection : idle) {
    if (connection->server() == server) connection->end(CloseReason::moved);
  }
}

std::shared_ptr<ServerConnection> ServerPool::takeIdleConnection(ServerId server) {
  for (;;) {
    const auto at = std::find_if(idle_.rbegin(), idle_.rend(),
                                 [&](const ServerConnection* c) { return c->server() == server; });
    if (at == idle_.rend()) return nullptr;
    const auto connection = connections_.at(*at);
    idle_.erase(std::next(at).base());
    if (!connection->stale()) return connection;
    connection->end(CloseReason::peerClosed);
  }
}

std::shared_ptr<ServerConnection> ServerPool::dial(ServerId server) {
  const Poco::Net::SocketAddress address = endpoints_.at(server).address;
  if (connections_.size() >= maxConnections_ && !freeDescriptor()) return nullptr;
  for (;;) {
    try {
      Poco::Net::StreamSocket socket(address.family());
      auto connection = std::make_shared<ServerConnection>(*this, server, socket, address.toString());
      connections_.emplace(connection.get(), connection);
      ++loop_.counters.serverConnections;
      connection->connect(address);
      return connection;
    } catch (const Poco::Exception& error) {
      // Out of descriptors: closes an idle connection and retries; without one, the execution fails.
      ++loop_.counters.outOfDescriptors;
      LogLine(Level::warning) << "no_socket what=\"" << error.displayText() << '"';
      if (!dispatcher_.freeDescriptor()) return nullptr;
    }
  }
}

void ServerPool::execute(ExecutionKey execution, ServerId server, const std::shared_ptr<const Message>& query,
                         Span timeout, bool bodyStreaming) {
  std::shared_ptr<ServerConnection> connection = takeIdleConnection(server);
  if (connection) {
    ++loop_.counters.reused;
  } else {
    connection = dial(server);
  }
  if (connection) return connection->execute(execution, query, timeout, bodyStreaming);
  loop_.post(
      [this, execution] { dispatcher_.executionEnded(execution, Outcome::connectFailed, Span{0}, nullptr); });
}

void ServerPool::cancel(ExecutionKey execution) {
  // Deferred, as the outcome is reported to the balancer, which is making this call.
  loop_.post([this, execution] {
    const auto at = executions_.find(execution);
    if (at != executions_.end()) at->second->end(CloseReason::cancelled);
  });
}

bool ServerPool::bodyPart(ExecutionKey execution, std::string data, bool last) {
  const auto at = executions_.find(execution);
  return at != executions_.end() && at->second->bodyPart(std::move(data), last);
}

void ServerPool::pauseResponse(ExecutionKey execution, bool pause) {
  const auto at = executions_.find(execution);
  if (at != executions_.end()) at->second->pauseReading(pause);
}

void ServerPool::cancelIfBodyIncomplete(ExecutionKey execution) {
  const auto at = executions_.find(execution);
  if (at != executions_.end() && at->second->bodyStreaming()) cancel(execution);
}

bool ServerPool::freeDescriptor() {
  if (idle_.empty()) return false;
  idle_.front()->end(CloseReason::descriptors);
  return true;
}

}  // namespace rackroute::sidecar
