#pragma once

// The one place where the two sides meet. It owns the queries in flight and the one balancer, whose host it
// is: what the sides tell becomes a call on it, what it asks for goes to a side or to discovery. It must
// never decide anything, nor call the balancer from within a call of the balancer's.

#include <Poco/JSON/Object.h>
#include <Poco/Net/SocketAddress.h>

#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "http/message.hpp"
#include "rackroute/balancer.hpp"
#include "sidecar/loop.hpp"
#include "sidecar/server_side.hpp"
#include "terms/balancer_settings.hpp"

namespace rackroute::sidecar {

class ClientSide;
class Discovery;

/// A list as discovery told it.
struct Listed {
  Listing listing = Listing::persisted;
  std::vector<ListedServer> servers;
  std::vector<std::pair<ServerId, Poco::Net::SocketAddress>> addresses;
  std::vector<Poco::JSON::Object::Ptr> entries;  // as they came
};

class Exchange : public Host {
 public:
  explicit Exchange(Loop& loop) : loop_(loop) {}
  ~Exchange() override = default;
  Exchange(const Exchange&) = delete;
  Exchange& operator=(const Exchange&) = delete;

  /// Makes the balancer, with the list as it was last known.
  void start(const settings::ParsedSettings& told, ClientSide& clients, ServerSide& servers,
             Discovery& discovery, const Listed& known);

  void take(const std::shared_ptr<const http::Message>& message, const Query& query);
  /// A query's body as it comes, for one that was taken while it was coming.
  void bodyPart(QueryId query, std::string data, bool last);
  /// The body's way to the server is free again.
  void bodyWanted(ExecutionKey execution);
  void clientLeft(QueryId query);
  /// An answer that is passed on as it comes; executionEnded() tells its end. False: nobody waits for it.
  bool answerBegins(ExecutionKey execution, const std::shared_ptr<const http::Message>& head);
  void answerPart(ExecutionKey execution, std::string data);
  /// The answer's way to the client is free again.
  void answerWanted(QueryId query);
  void executionEnded(ExecutionKey execution, Outcome outcome, Span service,
                      const std::shared_ptr<const http::Message>& answer);
  void serversListed(const Listed& listed);
  void discoveryFailed();
  /// How many balancers there may be, as the fleet's members know it.
  void fleetOf(std::uint32_t balancers) { balancer_->fleetOf(balancers); }
  /// Maintenance by hand, to be repeated at will; whether a list ever named it tells known().
  void takeOut(ServerId server);
  void putBack(ServerId server, Span at);
  [[nodiscard]] bool known(ServerId server) const { return everListed_.contains(server); }
  void learn(ServerId server);
  [[nodiscard]] Learned learned() const { return balancer_->learned(loop_.now()); }
  void learn(const Learned& learned) { balancer_->learn(loop_.now(), learned); }
  [[nodiscard]] const std::set<ServerId>& everListed() const { return everListed_; }
  /// Taken and without a final answer; servers in discovery's list; those of them that get nothing now.
  [[nodiscard]] std::size_t open() const { return open_; }
  [[nodiscard]] std::size_t listed() const { return list_.size(); }
  [[nodiscard]] std::size_t avoided() const;
  /// Closes an idle connection, of the servers' side first. False: there is none.
  bool freeDescriptor();

 private:
  struct InFlight {
    std::shared_ptr<const http::Message> message;
    std::optional<QueryHandle> handle;
    std::uint32_t executions = 0;
    bool answered = false;
    UseCaseId useCase{};
    std::optional<ExecutionNo> streams;  // the execution whose answer is passed on as it comes
    std::optional<ExecutionNo> takes;    // the execution that gets the body as it comes
    bool coming = false;                 // its body is passed on as it comes
    std::string begun;                   // of a body, before there was an execution
    bool begunLast = false;
  };

  void execute(QueryId query, ServerId server, Span timeout) override;
  void cancel(QueryId query, ExecutionNo execution) override;
  void reject(QueryId query, Span comeBackAfter) override;
  void abort(QueryId query) override;
  void wakeAt(Span time) override;
  void watchServers() override;
  void listServers() override;
  void settle(QueryId query);
  Finals& answered(InFlight& query);
  void remember(const Listed& listed);

  Loop& loop_;
  ClientSide* clients_ = nullptr;
  ServerSide* servers_ = nullptr;
  Discovery* discovery_ = nullptr;
  std::map<QueryId, InFlight> inFlight_;
  std::vector<QueryId> answered_;
  std::size_t open_ = 0;
  std::map<ServerId, Lifecycle> list_;  // as discovery last told it
  std::set<ServerId> everListed_;
  std::optional<Balancer> balancer_;
};

}  // namespace rackroute::sidecar
