#pragma once

// Connects client listener, server pool and discovery to the balancer. Owns the queries in flight and the
// balancer, and implements its host interface. All decisions are the balancer's, which must not be called
// from within one of its own calls.

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
#include "sidecar/server_pool.hpp"
#include "terms/balancer_settings.hpp"

namespace rackroute::sidecar {

class ClientListener;
class Discovery;

/// A parsed server list of discovery.
struct ServerList {
  ServerListKind kind = ServerListKind::persisted;
  std::vector<ListedServer> servers;
  std::vector<std::pair<ServerId, Poco::Net::SocketAddress>> addresses;
  std::vector<Poco::JSON::Object::Ptr> entries;  // as received
};

class Dispatcher : public BalancerHost {
 public:
  explicit Dispatcher(Loop& loop) : loop_(loop) {}
  ~Dispatcher() override = default;
  Dispatcher(const Dispatcher&) = delete;
  Dispatcher& operator=(const Dispatcher&) = delete;

  /// Creates the balancer with the last known server list.
  void start(const settings::ParsedSettings& settings, ClientListener& clients, ServerPool& servers,
             Discovery& discovery, const ServerList& known);

  void submit(const std::shared_ptr<const http::Message>& message, const Query& query);
  /// Passes on a part of a query's body, for queries submitted before their body was complete.
  void bodyPart(QueryId query, std::string data, bool last);
  /// The server connection can accept more of the body.
  void resumeBody(ExecutionKey execution);
  void clientLeft(QueryId query);
  /// Starts a streamed response, which executionEnded() ends. Returns false if no client waits for it.
  bool responseStarted(ExecutionKey execution, const std::shared_ptr<const http::Message>& head);
  void responsePart(ExecutionKey execution, std::string data);
  /// The client connection can accept more of the response.
  void resumeResponse(QueryId query);
  void executionEnded(ExecutionKey execution, Outcome outcome, Span service,
                      const std::shared_ptr<const http::Message>& response);
  void serversListed(const ServerList& list);
  void discoveryFailed();
  /// Sets the number of balancers in the fleet.
  void setBalancerCount(std::uint32_t balancers) { balancer_->setBalancerCount(balancers); }
  /// Manual maintenance; idempotent.
  void disableServer(ServerId server);
  void enableServer(ServerId server, Span at);
  [[nodiscard]] bool wasEverListed(ServerId server) const { return everListed_.contains(server); }
  void recordListed(ServerId server);
  [[nodiscard]] BalancerSnapshot snapshot() const { return balancer_->snapshot(loop_.now()); }
  void restore(const BalancerSnapshot& snapshot) { balancer_->restore(loop_.now(), snapshot); }
  [[nodiscard]] const std::set<ServerId>& everListed() const { return everListed_; }
  /// Queries without a final response, servers in the current list, and those of them that receive no
  /// queries.
  [[nodiscard]] std::size_t openQueries() const { return openQueries_; }
  [[nodiscard]] std::size_t listedServers() const { return list_.size(); }
  [[nodiscard]] std::size_t excludedServers() const;
  /// Closes an idle connection, preferring server connections. Returns false if there is none.
  bool freeDescriptor();

 private:
  struct QueryState {
    std::shared_ptr<const http::Message> message;
    std::optional<QueryHandle> handle;
    std::uint32_t executions = 0;
    bool answered = false;
    UseCaseId useCase{};
    std::optional<ExecutionNo> streamingExecution;  // whose response is streamed
    std::optional<ExecutionNo> bodyExecution;       // that receives the streamed body
    bool bodyStreaming = false;
    std::string earlyBody;  // body received before an execution started
    bool earlyBodyComplete = false;
  };

  void execute(QueryId query, ServerId server, Span timeout) override;
  void cancel(QueryId query, ExecutionNo execution) override;
  void reject(QueryId query, Span retryAfter) override;
  void abort(QueryId query) override;
  void wakeAt(Span time) override;
  void watchServers() override;
  void listServers() override;
  void eraseFinished(QueryId query);
  FinalResults& recordFinalResult(QueryState& query);
  void updateServerList(const ServerList& list);

  Loop& loop_;
  ClientListener* clients_ = nullptr;
  ServerPool* servers_ = nullptr;
  Discovery* discovery_ = nullptr;
  std::map<QueryId, QueryState> queries_;
  std::vector<QueryId> answeredQueries_;
  std::size_t openQueries_ = 0;
  std::map<ServerId, Lifecycle> list_;  // current list of discovery
  std::set<ServerId> everListed_;
  std::optional<Balancer> balancer_;
};

}  // namespace rackroute::sidecar
