// A test host for the balancer, which plays a fleet of servers on a virtual clock.
#pragma once

#include <algorithm>
#include <catch2/catch.hpp>
#include <map>
#include <string>
#include <vector>

#include "rackroute/balancer.hpp"

namespace rackroute::fixture {

using namespace std::chrono_literals;

constexpr UseCaseId kIdempotent{0};
constexpr UseCaseId kDeduplicated{1};  // within one zone, for 2 s
constexpr UseCaseId kNonIdempotent{2};
constexpr UseCaseId kDeduplicatedByAll{3};

inline BalancerConfig config() {
  BalancerConfig config;
  config.seed = 7;
  config.useCases = {{RetrySafety::idempotent, DedupScope::all, 0s, 1, 0, 500ms},
                     {RetrySafety::deduplicated, DedupScope::zone, 2s, 2, 0.5, 500ms},
                     {RetrySafety::nonIdempotent, DedupScope::all, 0s, 4, 0, 500ms},
                     {RetrySafety::deduplicated, DedupScope::all, 2s, 2, 0.5, 500ms}};
  config.maxRetryAfter = 1s;
  config.maxExecutions = 5;
  config.tick = 5ms;
  config.drainGrace = 1s;
  config.coldShare = 0.2;
  config.coldTime = 20s;
  config.overloadMultiple = 2.5;
  config.overloadWindow = 3s;
  return config;
}

inline ListedServer server(std::uint64_t id, std::uint32_t zone = 0) {
  ListedServer listed;
  listed.id = {id};
  listed.zone = {zone};
  listed.cell = {zone};
  return listed;
}

/// Records the balancer's calls; tests end the executions.
class FakeFleet : public BalancerHost {
 public:
  struct Sent {
    QueryId query;
    ServerId server;
    ExecutionNo no;
  };

  explicit FakeFleet(const BalancerConfig& config) : balancer(config, *this) {}

  void execute(QueryId query, ServerId server, Span) override {
    const auto no = static_cast<std::uint32_t>(
        std::count_if(sent.begin(), sent.end(), [&](const Sent& s) { return s.query == query; }));
    sent.push_back({query, server, {no}});
    callLog += 'x';
  }
  void cancel(QueryId, ExecutionNo) override { ++cancelCalls; }
  void reject(QueryId query, Span retryAfter) override {
    finalResults[query] += "rejected";
    lastRetryAfter = retryAfter;
  }
  void abort(QueryId query) override { finalResults[query] += "aborted"; }
  void wakeAt(Span time) override { wakeTimes.push_back(time); }
  void watchServers() override { ++watchCalls; }
  void listServers() override { ++listCalls; }

  void updateList(ServerListKind listing, std::vector<ListedServer> servers) {
    balancer.serversListed(now, listing, servers);
  }
  /// Lists the servers 1 to count.
  void loadServers(std::uint64_t count) {
    std::vector<ListedServer> servers;
    for (std::uint64_t i = 1; i <= count; ++i) servers.push_back(server(i));
    updateList(ServerListKind::persisted, servers);
  }
  QueryId submit(UseCaseId useCase, Span timeLeft = 2s) {
    const QueryId id{static_cast<std::uint32_t>(handles.size())};
    Query query;
    query.id = id;
    query.useCase = useCase;
    query.timeLeft = timeLeft;
    handles.push_back(balancer.submit(now, query));
    return id;
  }
  [[nodiscard]] Sent last() const { return sent.back(); }
  void end(const Sent& execution, Outcome outcome) {
    handles[execution.query.value].executionEnded(now, execution.no, outcome, outcome == Outcome::completed);
  }
  /// Submits a query and ends its first execution. Returns the server that executed it.
  ServerId runQuery(UseCaseId useCase, Outcome outcome, Span took = 20ms) {
    submit(useCase);
    const Sent first = last();
    now += took;
    end(first, outcome);
    return first.server;
  }
  /// Runs queries until this server has ended `times` executions with this outcome. All others complete.
  void runUntilEnded(ServerId server, Outcome outcome, int times) {
    for (int tries = 0; times > 0 && tries < 2000; ++tries) {
      submit(kNonIdempotent);
      const Sent execution = last();
      now += 20ms;
      const bool matches = execution.server == server;
      end(execution, matches ? outcome : Outcome::completed);
      if (last().no != execution.no) end(last(), Outcome::completed);
      if (matches) --times;
    }
    REQUIRE(times == 0);
  }
  /// Runs queries that complete, and counts those sent to this server.
  int countSentTo(ServerId server, int queries, UseCaseId useCase = kNonIdempotent) {
    int count = 0;
    for (int i = 0; i < queries; ++i) count += runQuery(useCase, Outcome::completed) == server ? 1 : 0;
    return count;
  }
  [[nodiscard]] std::string finalResult(QueryId query) const {
    const auto at = finalResults.find(query);
    return at == finalResults.end() ? "open" : at->second;
  }
  [[nodiscard]] std::size_t executions(QueryId query) const {
    return static_cast<std::size_t>(
        std::count_if(sent.begin(), sent.end(), [&](const Sent& s) { return s.query == query; }));
  }

  Span now = 1s;
  std::vector<Sent> sent;
  std::map<QueryId, std::string> finalResults;
  std::vector<Span> wakeTimes;
  std::string callLog;
  Span lastRetryAfter{};
  int watchCalls = 0;
  int listCalls = 0;
  int cancelCalls = 0;
  std::vector<QueryHandle> handles;
  Balancer balancer;
};

}  // namespace rackroute::fixture
