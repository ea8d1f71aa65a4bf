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
using http::Progress;

constexpr std::size_t kLongestAnswer = 1
                                       << 20;  // bytes; four times the longest that servers were seen to give
constexpr Span kForget = 60s;  // an address after its server has gone; above any grace for sending there
constexpr double kIdleShare =
    0.75;  // of the servers' idle limit; a query on its way must not cross their end

// Guards against a malformed load report: it tells nothing, and its answer counts all the same.
Span reportedService(const Message& answer) {
  const auto report = answer.field("X-Load");
  if (!report) return Span{0};
  try {
    const auto object = Poco::JSON::Parser().parse(std::string(*report)).extract<Poco::JSON::Object::Ptr>();
    const std::string name(told::kServiceTime);
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
  void execute(ExecutionKey execution, std::shared_ptr<const Message> query, Span timeout) {
    loop_.cancel(idleTimer_);
    execution_ = execution;
    query_ = std::move(query);
    deadline_ = loop_.now() + timeout;
    timer_ = loop_.at(deadline_, [this] { end(Reason::executionTimeout); });
    side_.executions_[execution] = this;
    ++messages_;
    if (!dialing()) sendQuery();
  }
  [[nodiscard]] ServerId server() const { return server_; }

 protected:
  void written() override {
    if (execution_ && sent_ && !std::exchange(relayed_, true)) ++loop_.counters.relayed;
  }
  void opened() override {
    loop_.cancel(dialTimer_);
    if (execution_) sendQuery();
  }

  void received() override {
    while (execution_ && !ended()) {
      const Progress progress = reader_.read(in_);
      if (progress == Progress::more) return;
      if (progress != Progress::done) return end(Reason::badMessage);
      const auto answer = std::make_shared<const Message>(reader_.take(in_));
      if (answer->status() < 200) continue;  // the answer proper follows
      const bool known = knownStatus(answer->status());
      const bool reusable = known && answer->keepsOpen() && in_.empty() && allWritten();
      const ExecutionKey execution = take();
      if (reusable) {
        rest();
      } else {
        end(!known ? Reason::badMessage : !in_.empty() ? Reason::unreadAnswer : Reason::closeAsked);
      }
      side_.exchange_.executionEnded(execution, outcomeOf(*answer), reportedService(*answer), answer);
      return;
    }
    if (!ended()) end(Reason::unreadAnswer);
  }

  void gone(Reason reason) override {
    loop_.cancel(dialTimer_);
    loop_.cancel(idleTimer_);
    side_.idle_.remove(this);
    if (!sent_ && (reason == Reason::refused || reason == Reason::dialTimeout)) ++loop_.counters.dialsFailed;
    if (execution_) {
      // "Never ran" only while its last byte is not written.
      const bool never = !sent_ || !allWritten();
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
  void sendQuery() {
    sent_ = true;
    relayed_ = false;
    http::Gather pieces;
    pieces.keep(query_);
    pieces.view(query_->start());
    pieces.text(" HTTP/1.1\r\n");
    for (const std::string_view lines : query_->endToEnd("X-Deadline-Ms")) pieces.view(lines);
    const auto millis = std::max<Span::rep>((deadline_ - loop_.now()) / 1ms, 1);
    std::string rest = "X-Deadline-Ms: " + std::to_string(millis) + "\r\n";
    const std::string_view body = query_->body();
    if (!body.empty() || query_->word(0) != "GET")
      rest += "Content-Length: " + std::to_string(body.size()) + "\r\n";
    pieces.text(rest + "\r\n");
    pieces.view(body);
    send(std::move(pieces));
  }
  ExecutionKey take() {
    loop_.cancel(timer_);
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
  http::Reader reader_{http::Reader::Kind::answer, kLongestAnswer};
  std::optional<ExecutionKey> execution_;
  std::shared_ptr<const Message> query_;
  Span deadline_{};
  Loop::TimerId timer_;
  Loop::TimerId dialTimer_;
  Loop::TimerId idleTimer_;
  bool sent_ = false;     // its first byte, at least
  bool relayed_ = false;  // its last
};

ServerSide::ServerSide(Loop& loop, Exchange& exchange, const told::Told& told)
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
                         Span timeout) {
  std::shared_ptr<ServerConnection> connection = idleTo(server);
  if (connection) {
    ++loop_.counters.reused;
  } else {
    connection = dial(server);
  }
  if (connection) return connection->execute(execution, query, timeout);
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

bool ServerSide::freeDescriptor() {
  if (idle_.empty()) return false;
  idle_.front()->end(Reason::descriptors);
  return true;
}

}  // namespace rackroute::sidecar
