// Public interface of the balancer: it picks the server that executes a query, and retries or rejects
// queries.
#pragma once

#include <array>
#include <cstdint>
#include <limits>
#include <memory>
#include <optional>
#include <span>
#include <vector>

#include "rackroute/types.hpp"

namespace rackroute {

enum class Lifecycle { serving, draining, removed };

/// A server as service discovery lists it.
struct ListedServer {
  ServerId id;
  Lifecycle lifecycle = Lifecycle::serving;
  ZoneId zone;
  CellId cell;
  double size = 1;                // relative capacity
  std::optional<Span> startedAt;  // unset if it started long ago
};

/// The last known list from storage, a complete list, or changes to the list before.
enum class ServerListKind { persisted, complete, changes };

struct Query {
  QueryId id;
  UseCaseId useCase;
  Span timeLeft{};  // until the client's deadline
  std::optional<KeyId> key;
  std::optional<AccountId> account;
  std::uint32_t maxExecutions = std::numeric_limits<std::uint32_t>::max();  // 1 if the body is not buffered
  bool bodyStreaming = false;  // the body is still being received and is forwarded as it arrives
};

/// How an execution ended. `full`: the server is at capacity and did not execute the query. `invalidQuery`:
/// the server found the query itself invalid, which is no evidence about the server.
enum class Outcome { completed, error, full, timeout, connectFailed, reset, cancelled, invalidQuery };

/// Callbacks through which the balancer acts.
class BalancerHost {
 public:
  BalancerHost() = default;
  BalancerHost(const BalancerHost&) = delete;
  BalancerHost& operator=(const BalancerHost&) = delete;
  virtual ~BalancerHost() = default;

  virtual void execute(QueryId query, ServerId server, Span timeout) = 0;
  virtual void cancel(QueryId query, ExecutionNo execution) = 0;
  /// Answers a query that may be sent again safely. A retryAfter of 0 means no advice.
  virtual void reject(QueryId query, Span retryAfter) = 0;
  /// Answers a query that may have taken effect, or whose deadline has passed.
  virtual void abort(QueryId query) = 0;
  /// Requests a call of Balancer::wake at this time. Earlier requests remain in force.
  virtual void wakeAt(Span time) = 0;
  /// Subscribes to service discovery: a complete list, then changes.
  virtual void watchServers() = 0;
  /// Requests a complete list once.
  virtual void listServers() = 0;
};

/// Servers in a balancer's pool, and how many of them are ejected.
struct PoolStatus {
  std::uint32_t pool = 0;
  std::uint32_t ejected = 0;
};

/// Statistics of one listed server.
struct ServerSnapshot {
  ServerId id;
  bool inSubset = false;
  bool ejected = false;
  std::uint32_t consecutiveFailures = 0;
  Span trialIn{};  // time left until the next trial execution
  double weight = 1;
  double limit = 1;  // concurrent executions
  double coldCredit = 0;
  double unitLatency = 0;  // seconds; 0 if unknown
  double serviceTime = 0;  // seconds, as reported by the server; 0 if unknown
};

/// Statistics that a balancer passes to its successor. They contain no state of queries.
struct BalancerSnapshot {
  double meanLatency = 0;  // seconds
  double responsesPerSecond = 0;
  std::array<double, 2> warmResponses{};        // of servers outside the subset, and of its members
  std::array<double, 2> warmServerSeconds{};    // likewise, weighted by server size
  std::array<double, 2> unloadedLatency{1, 1};  // seconds; of other zones, and of the own zone
  double subsetSize = 0;
  std::vector<ServerSnapshot> servers{};
};

class BalancerImpl;

/// A query that was submitted to a balancer. It must not outlive the balancer; calls on a finished query do
/// nothing.
class QueryHandle {
 public:
  /// serviceTime is the processing time that the server reported; 0 if it reported none. A terminal outcome
  /// is the query's final answer.
  void executionEnded(Span now, ExecutionNo execution, Outcome outcome, bool terminal, Span serviceTime = {});
  void responseStarted(Span now, ExecutionNo execution);
  /// The last byte of a streamed body was forwarded. Elapsed times of the query are counted from here.
  void bodyComplete(Span now);
  void clientLeft(Span now);
  [[nodiscard]] bool finished() const;

 private:
  friend class Balancer;
  QueryHandle(BalancerImpl& impl, std::uint32_t slot, std::uint32_t generation)
      : impl_(&impl), slot_(slot), generation_(generation) {}

  BalancerImpl* impl_;
  std::uint32_t slot_;
  std::uint32_t generation_;
};

/// A balancer instance; instances share no state. The host must outlive it and must not call it from within a
/// callback.
class Balancer {
 public:
  Balancer(BalancerConfig config, BalancerHost& host);
  Balancer(const Balancer&) = delete;
  Balancer& operator=(const Balancer&) = delete;
  ~Balancer();

  QueryHandle submit(Span now, const Query& query);
  void serversListed(Span now, ServerListKind listing, std::span<const ListedServer> servers);
  /// Replaces BalancerConfig::balancerCount. The count must not be lower than the number of running
  /// balancers.
  void setBalancerCount(std::uint32_t balancers);
  void discoveryFailed(Span now);
  void wake(Span now);
  /// Takes a server out of rotation for maintenance until enableServer is called, regardless of the server
  /// lists. An enabled server counts as just started. Both calls are idempotent.
  void disableServer(Span now, ServerId server);
  void enableServer(Span now, ServerId server);
  /// Whether a listed server gets no queries because it is disabled or ejected.
  [[nodiscard]] bool isExcluded(Span now, ServerId server) const;
  [[nodiscard]] BalancerSnapshot snapshot(Span now) const;
  /// Restores a predecessor's statistics. Call it right after the server list they belong to.
  void restore(Span now, const BalancerSnapshot& snapshot);
  [[nodiscard]] PoolStatus poolStatus(Span now) const;

 private:
  std::unique_ptr<BalancerImpl> impl_;
};

}  // namespace rackroute
