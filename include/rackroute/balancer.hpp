#pragma once

#include <array>
#include <cstdint>
#include <limits>
#include <memory>
#include <optional>
#include <span>
#include <vector>

#include "rackroute/terms.hpp"

namespace rackroute {

enum class Lifecycle { serving, draining, gone };

struct ListedServer {
  ServerId id;
  Lifecycle lifecycle = Lifecycle::serving;
  ZoneId zone;
  CellId cell;
  double size = 1;
  std::optional<Span> startedAt;  // absent: long ago
};

enum class Listing { persisted, complete, changes };

struct Query {
  QueryId id;
  UseCaseId useCase;
  Span timeLeft{};  // until its client gives up
  std::optional<KeyId> key;
  std::optional<AccountId> account;
  std::uint32_t mostExecutions = std::numeric_limits<std::uint32_t>::max();  // one if its body is not kept
  bool coming = false;  // its body is still on its way and is passed on as it comes
};

enum class Outcome { completed, error, full, timeout, connectFailed, reset, cancelled, moot };

/// What the balancer asks of its surroundings.
class Host {
 public:
  Host() = default;
  Host(const Host&) = delete;
  Host& operator=(const Host&) = delete;
  virtual ~Host() = default;

  virtual void execute(QueryId query, ServerId server, Span timeout) = 0;
  virtual void cancel(QueryId query, ExecutionNo execution) = 0;
  virtual void reject(QueryId query, Span comeBackAfter) = 0;  // 0: no advice
  virtual void abort(QueryId query) = 0;
  virtual void wakeAt(Span time) = 0;
  virtual void watchServers() = 0;
  virtual void listServers() = 0;
};

/// What an observer may see of a balancer: servers in its pool, and how many of them are ejected.
struct Standing {
  std::uint32_t pool = 0;
  std::uint32_t ejected = 0;
};

/// What a balancer learned of one listed server.
struct LearnedServer {
  ServerId id;
  bool used = false;
  bool ejected = false;
  std::uint32_t run = 0;
  Span trialIn{};  // from now
  double weight = 1;
  double limit = 1;
  double coldCredit = 0;
  double pace = 0;  // seconds; 0: not known
  double service = 0;
};

/// What it learned, for one that takes its place: measures, nothing of any query.
struct Learned {
  double answerTime = 0;  // seconds
  double answersPerSecond = 0;
  std::array<double, 2> warmAnswers{};
  std::array<double, 2> warmTime{};
  std::array<double, 2> unloaded{1, 1};
  double setSize = 0;
  std::vector<LearnedServer> servers{};
};

class Decider;

/// A query that a balancer has taken. It must not outlive the balancer; calls on one that is over do nothing.
class QueryHandle {
 public:
  /// The service time is what the server reported with the answer for one query's work; 0 if it reports none.
  void executionEnded(Span now, ExecutionNo execution, Outcome outcome, bool terminal, Span serviceTime = {});
  void answerStarted(Span now, ExecutionNo execution);
  /// The last byte of a query that was still coming: its time counts from now.
  void bodyWhole(Span now);
  void clientLeft(Span now);
  [[nodiscard]] bool over() const;

 private:
  friend class Balancer;
  QueryHandle(Decider& decider, std::uint32_t slot, std::uint32_t turn)
      : decider_(&decider), slot_(slot), turn_(turn) {}

  Decider* decider_;
  std::uint32_t slot_;
  std::uint32_t turn_;
};

/// One instance, sharing nothing with others. The host must outlive it and must not call back into it.
class Balancer {
 public:
  Balancer(Terms terms, Host& host);
  Balancer(const Balancer&) = delete;
  Balancer& operator=(const Balancer&) = delete;
  ~Balancer();

  QueryHandle take(Span now, const Query& query);
  void serversListed(Span now, Listing listing, std::span<const ListedServer> servers);
  /// How many balancers there may be, in place of Terms::balancers; never fewer than may be running.
  void fleetOf(std::uint32_t balancers);
  void discoveryFailed(Span now);
  void wake(Span now);
  /// Maintenance by hand: it gets nothing new until it is put back, whatever the lists say; then it counts as
  /// just started. Either call may be repeated.
  void takeOut(Span now, ServerId server);
  void putBack(Span now, ServerId server);
  /// Whether a listed server gets nothing now, by hand or as it is ejected.
  [[nodiscard]] bool avoids(Span now, ServerId server) const;
  /// To be learned right after the list that it belongs to.
  [[nodiscard]] Learned learned(Span now) const;
  void learn(Span now, const Learned& learned);
  [[nodiscard]] Standing standing(Span now) const;

 private:
  std::unique_ptr<Decider> decider_;
};

}  // namespace rackroute
