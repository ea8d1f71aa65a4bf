#include "sidecar/server_side.hpp"

#include <Poco/Exception.h>
#include <Poco/JSON/Object.h>
#include <Poco/JSON/Parser.h>

#include <algorithm>
#include <optional>
#include <string>
#include <utility>

#include "sidecar/connection.hpp"
#include "sidecar/exchange.hpp"
#include "sidecar/log.hpp"

namespace rackroute::sidecar {
namespace {

using namespace std::chrono_literals;
using http::Message;
using http::ParseStatus;

constexpr std::size_t kHeldWhole = 64 * 1024;  // bytes; longer answers are passed on as they come
constexpr Span kStalled = 10s;  // without a byte of an answer that has begun; five times what is owed
constexpr Span kForget = 60s;   // an address after its server has gone; above any grace for sending there
constexpr double kIdleShare =
    0.75;  // of the servers' idle limit; a query on its way must not cross their end

// Guards against a malformed load report: it tells nothing, and its answer counts all the same.
Span reportedService(const Message& answer) {
  const auto report = answer.field("X-Load");
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

// The protocol's words for a query that no client may send: 400, and 404 for one without an id.
bool refusesQuery(std::uint32_t status) { return status == 400 || status == 404; }

bool knownStatus(std::uint32_t status) {
  return refusesQuery(status) || status == 200 || status == 500 || status == 503 || status == 504;
}

Outcome outcomeOf(const Message& answer) {
  if (answer.status() == 200) return Outcome::completed;
  if (refusesQuery(answer.status())) return Outcome::moot;
  const bool notRun = answer.field("X-Not-Run") == "1";
  if ((answer.status() == 503 || answer.status() == 504) && notRun) return Outcome::full;
  return Outcome::error;
}

}  // namespace

class ServerConnection : public Connection {
 public:
  ServerConnection(ServerSide& side, ServerId server, Poco::Net::StreamSocket socket, std::string peer)
      : Connection(side.loop_, "server", std::move(socket), std::move(peer)), side_(side), server_(server) {}

  void dialUp(const Poco::Net::SocketAddress& address) {
    if (side_.dialTimeout_ > Span{0})
      dialTimer_ = loop_.in(side_.dialTimeout_, [this] { end(Reason::dialTimeout); });
    address_ = address;
    dial(address);
  }
  void execute(ExecutionKey execution, std::shared_ptr<const Message> query, Span timeout, bool coming) {
    loop_.cancel(idleTimer_);
    execution_ = execution;
    query_ = std::move(query);
    timeout_ = timeout;
    coming_ = coming;
    sent_ = false;
    if (coming) {
      watchProgress();
    } else {
      limitTime();
    }
    side_.executions_[execution] = this;
    ++messages_;
    if (!dialing()) sendQuery();
  }
  /// True: enough waits to be written.
  bool bodyPart(std::string data, bool last) {
    if (!execution_ || !coming_) return false;
    http::GatherBuffer pieces;
    if (query_->chunked() && !data.empty()) {
      pieces.text(http::chunkHeader(data.size()));
      pieces.text(std::move(data));
      pieces.text("\r\n");
    } else {
      pieces.text(std::move(data));
    }
    if (last) {
      coming_ = false;
      if (query_->chunked()) pieces.text("0\r\n\r\n");
      limitTime();  // the time counts from the last byte
    }
    // Before its head it waits here; sendQuery() appends it.
    if (!sent_) {
      first_.append(std::move(pieces));
    } else {
      send(std::move(pieces));
    }
    return !last && (!sent_ || backlog() > side_.mostBacklog_);
  }
  [[nodiscard]] bool coming() const { return coming_; }
  [[nodiscard]] ServerId server() const { return server_; }

 protected:
  void written() override {
    if (!execution_ || !sent_) return;
    if (coming_) return side_.exchange_.bodyWanted(*execution_);
    if (!std::exchange(relayed_, true)) ++loop_.counters.relayed;
  }
  void opened() override {
    loop_.cancel(dialTimer_);
    if (execution_) sendQuery();
  }

  void received() override {
    while (execution_ && !ended()) {
      if (!answer_) {
        const ParseStatus progress = reader_.readHead(in_);
        if (progress == ParseStatus::needMore) return;
        if (progress != ParseStatus::done) return end(Reason::badMessage);
        auto head = std::make_shared<Message>(reader_.takeHead(in_));
        if (head->status() < 200) continue;  // the answer proper follows
        body_ = http::BodyReader(*head, http::Reader::Kind::response, http::kMaxStreamedBodyBytes);
        answer_ = std::move(head);
      }
      const ParseStatus progress = body_.read(in_, held_);
      if (progress != ParseStatus::needMore && progress != ParseStatus::done) return end(Reason::badMessage);
      if (progress == ParseStatus::done) return whole(false);
      if (!streams_) {
        // Over the bound, or sure to be: passed on from the first byte.
        if (std::max(held_.size(), answer_->length().value_or(0)) <= kHeldWhole || held_.empty()) return;
        if (answer_->status() != 200) return end(Reason::badMessage);
        streams_ = true;
        watchProgress();
        if (!side_.exchange_.answerBegins(*execution_, answer_)) return end(Reason::cancelled);
      }
      return side_.exchange_.answerPart(*execution_, std::exchange(held_, {}));
    }
    if (!ended()) end(Reason::unreadAnswer);
  }

  void gone(Reason reason) override {
    if (execution_ && answer_ && body_.untilClose() && reason == Reason::peerClosed) whole(true);
    loop_.cancel(dialTimer_);
    loop_.cancel(idleTimer_);
    side_.idle_.remove(this);
    if (!sent_ && (reason == Reason::refused || reason == Reason::dialTimeout)) ++loop_.counters.dialsFailed;
    if (execution_) {
      // "Never ran" only while its last byte is not written.
      const bool never = !sent_ || coming_ || !allWritten();
      Outcome outcome = never ? Outcome::connectFailed : Outcome::reset;
      if (reason == Reason::cancelled) outcome = Outcome::cancelled;
      if (reason == Reason::executionTimeout && !never) outcome = Outcome::timeout;
      if (reason == Reason::badMessage) outcome = Outcome::error;
      const ExecutionKey execution = take();
      side_.exchange_.executionEnded(execution, outcome, Span{0}, nullptr);
    }
    side_.connections_.erase(this);
  }

 private:
  void limitTime() {
    loop_.cancel(timer_);
    deadline_ = loop_.now() + timeout_;
    timer_ = loop_.at(deadline_, [this] { end(Reason::executionTimeout); });
  }
  // Guards against a peer that stalls within a body: its time is not limited, but something must move. What
  // waits for a slow client does not count.
  void watchProgress() {
    loop_.cancel(timer_);
    timer_ = loop_.in(kStalled, [this, before = moved()] {
      if (before == moved() && !pausedReading()) return end(Reason::stalled);
      watchProgress();
    });
  }
  /// The answer has come to its end; until it closed: the connection with it.
  void whole(bool closed) {
    auto answer = std::exchange(answer_, nullptr);
    const bool streams = std::exchange(streams_, false);
    const bool known = knownStatus(answer->status());
    const bool reusable = !closed && known && answer->keepsAlive() && in_.empty() && allWritten() && !coming_;
    const ExecutionKey execution = take();
    if (streams) {
      if (!held_.empty()) side_.exchange_.answerPart(execution, std::exchange(held_, {}));
    } else {
      answer->setBody(std::exchange(held_, {}));
    }
    if (reusable) {
      rest();
    } else if (!closed) {
      end(!known ? Reason::badMessage : !in_.empty() ? Reason::unreadAnswer : Reason::closeAsked);
    }
    side_.exchange_.executionEnded(execution, outcomeOf(*answer), reportedService(*answer), answer);
  }
  void sendQuery() {
    sent_ = true;
    relayed_ = false;
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
    const bool apart = coming_ || !first_.empty();
    if (apart) {
      rest += query_->chunked() ? "Transfer-Encoding: chunked\r\n"
                                : "Content-Length: " + std::to_string(query_->length().value_or(0)) + "\r\n";
    } else if (!body.empty() || query_->startLinePart(0) != "GET") {
      rest += "Content-Length: " + std::to_string(body.size()) + "\r\n";
    }
    pieces.text(rest + "\r\n");
    if (!apart) pieces.view(body);
    pieces.append(std::exchange(first_, {}));
    send(std::move(pieces));
  }
  ExecutionKey take() {
    loop_.cancel(timer_);
    deadline_ = {};
    first_ = {};
    const ExecutionKey execution = *std::exchange(execution_, std::nullopt);
    side_.executions_.erase(execution);
    query_.reset();
    return execution;
  }
  void rest() {
    sent_ = false;
    const auto place = side_.places_.find(server_);
    if (place == side_.places_.end() || place->second.address != address_ ||
        place->second.goneAt != Span::max() || side_.out_.contains(server_))
      return end(Reason::moved);
    side_.idle_.push_back(this);
    if (side_.idleLimit_ > Span{0}) idleTimer_ = loop_.in(side_.idleLimit_, [this] { end(Reason::idle); });
  }

  ServerSide& side_;
  ServerId server_;
  Poco::Net::SocketAddress address_;
  // Guards against losing good answers to a bound: they may be longer than queries.
  http::Reader reader_{http::Reader::Kind::response, http::kMaxStreamedBodyBytes};
  std::shared_ptr<Message> answer_;  // its head; the body is still coming
  http::BodyReader body_;
  std::string held_;          // of the body
  http::GatherBuffer first_;  // of the query's body, before its head was written
  bool streams_ = false;      // the answer is passed on as it comes
  bool coming_ = false;       // the query's body is
  Span timeout_{};
  std::optional<ExecutionKey> execution_;
  std::shared_ptr<const Message> query_;
  Span deadline_{};
  Loop::TimerId timer_;
  Loop::TimerId dialTimer_;
  Loop::TimerId idleTimer_;
  bool sent_ = false;     // its first byte, at least
  bool relayed_ = false;  // its last
};

ServerSide::ServerSide(Loop& loop, Exchange& exchange, const settings::ParsedSettings& told)
    : loop_(loop),
      exchange_(exchange),
      dialTimeout_(told.dialTimeout),
      idleLimit_(static_cast<Span::rep>(static_cast<double>(told.connectionIdle.count()) * kIdleShare)) {}

ServerSide::~ServerSide() = default;

// Guards against a fleet whose servers are ever new: one that has gone keeps no connection, and its address
// only for as long as it might still get an execution.
void ServerSide::listed(const Listed& listed) {
  const Span now = loop_.now();
  const bool whole = listed.listing != Listing::changes;
  for (auto& [server, place] : places_) {
    if (whole) place.goneAt = std::min(place.goneAt, now);
  }
  for (const auto& [server, address] : listed.addresses) {
    Place& place = places_[server];
    if (place.address != address) closeIdle(server);
    place = {address, Span::max()};
  }
  for (const ListedServer& server : listed.servers) {
    const auto place = places_.find(server.id);
    if (server.lifecycle != Lifecycle::gone || place == places_.end()) continue;
    place->second.goneAt = now;
    closeIdle(server.id);
  }
  std::erase_if(places_,
                [&](const auto& at) { return at.second.goneAt < now && now - at.second.goneAt > kForget; });
}

void ServerSide::takenOut(ServerId server, bool out) {
  if (!out) {
    out_.erase(server);
  } else if (out_.insert(server).second) {
    closeIdle(server);
  }
}

void ServerSide::closeIdle(ServerId server) {
  const std::list<ServerConnection*> idle = idle_;
  for (ServerConnection* connection : idle) {
    if (connection->server() == server) connection->end(Reason::moved);
  }
}

std::shared_ptr<ServerConnection> ServerSide::idleTo(ServerId server) {
  for (;;) {
    const auto at = std::find_if(idle_.rbegin(), idle_.rend(),
                                 [&](const ServerConnection* c) { return c->server() == server; });
    if (at == idle_.rend()) return nullptr;
    const auto connection = connections_.at(*at);
    idle_.erase(std::next(at).base());
    if (!connection->stale()) return connection;
    connection->end(Reason::peerClosed);
  }
}

std::shared_ptr<ServerConnection> ServerSide::dial(ServerId server) {
  const Poco::Net::SocketAddress address = places_.at(server).address;
  // Guards against executions that leave no descriptor for the operators' door.
  if (connections_.size() >= most_ && !freeDescriptor()) return nullptr;
  for (;;) {
    try {
      Poco::Net::StreamSocket socket(address.family());
      auto made = std::make_shared<ServerConnection>(*this, server, socket, address.toString());
      connections_.emplace(made.get(), made);
      ++loop_.counters.serverConnections;
      made->dialUp(address);
      return made;
    } catch (const Poco::Exception& error) {
      // Guards against running out of descriptors: idle connections go first; without one it never ran.
      ++loop_.counters.outOfDescriptors;
      Line(Level::warning) << "no_socket what=\"" << error.displayText() << '"';
      if (!exchange_.freeDescriptor()) return nullptr;
    }
  }
}

void ServerSide::execute(ExecutionKey execution, ServerId server, const std::shared_ptr<const Message>& query,
                         Span timeout, bool coming) {
  std::shared_ptr<ServerConnection> connection = idleTo(server);
  if (connection) {
    ++loop_.counters.reused;
  } else {
    connection = dial(server);
  }
  if (connection) return connection->execute(execution, query, timeout, coming);
  loop_.soon(
      [this, execution] { exchange_.executionEnded(execution, Outcome::connectFailed, Span{0}, nullptr); });
}

void ServerSide::cancel(ExecutionKey execution) {
  // In a turn of its own, as its outcome is a call on the balancer that is asking.
  loop_.soon([this, execution] {
    const auto at = executions_.find(execution);
    if (at != executions_.end()) at->second->end(Reason::cancelled);
  });
}

bool ServerSide::bodyPart(ExecutionKey execution, std::string data, bool last) {
  const auto at = executions_.find(execution);
  return at != executions_.end() && at->second->bodyPart(std::move(data), last);
}

void ServerSide::pauseAnswer(ExecutionKey execution, bool pause) {
  const auto at = executions_.find(execution);
  if (at != executions_.end()) at->second->pauseReading(pause);
}

void ServerSide::cancelComing(ExecutionKey execution) {
  const auto at = executions_.find(execution);
  if (at != executions_.end() && at->second->coming()) cancel(execution);
}

bool ServerSide::freeDescriptor() {
  if (idle_.empty()) return false;
  idle_.front()->end(Reason::descriptors);
  return true;
}

}  // namespace rackroute::sidecar
