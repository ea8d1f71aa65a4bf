#pragma once

#include <algorithm>
#include <catch2/catch.hpp>
#include <map>
#include <string>
#include <vector>

#include "rackroute/balancer.hpp"

namespace rackroute::story {

using namespace std::chrono_literals;

constexpr UseCaseId kIdempotent{0};
constexpr UseCaseId kDeduplicated{1};  // repeats dropped within one zone, for 2 s
constexpr UseCaseId kNonIdempotent{2};
constexpr UseCaseId kDeduplicatedByAll{3};

inline Terms terms() {
  Terms terms;
  terms.seed = 7;
  terms.useCases = {{Repeat::idempotent, DedupGroup::all, 0s, 1, 0, 500ms},
                    {Repeat::deduplicated, DedupGroup::zone, 2s, 2, 0.5, 500ms},
                    {Repeat::nonIdempotent, DedupGroup::all, 0s, 4, 0, 500ms},
                    {Repeat::deduplicated, DedupGroup::all, 2s, 2, 0.5, 500ms}};
  terms.longestAdvice = 1s;
  terms.mostExecutions = 5;
  terms.tick = 5ms;
  terms.drainGrace = 1s;
  terms.coldShare = 0.2;
  terms.coldTime = 20s;
  terms.tipMultiple = 2.5;
  terms.tipWindow = 3s;
  return terms;
}

inline ListedServer server(std::uint64_t id, std::uint32_t zone = 0) {
  ListedServer made;
  made.id = {id};
  made.zone = {zone};
  made.cell = {zone};
  return made;
}

/// The fake host: it notes what the balancer asks for, and plays the servers' answers back.
class Fleet : public Host {
 public:
  struct Sent {
    QueryId query;
    ServerId server;
    ExecutionNo no;
  };

  explicit Fleet(const Terms& terms) : balancer(terms, *this) {}

  void execute(QueryId query, ServerId server, Span) override {
    const auto no = static_cast<std::uint32_t>(
        std::count_if(sent.begin(), sent.end(), [&](const Sent& s) { return s.query == query; }));
    sent.push_back({query, server, {no}});
    said += 'x';
  }
  void cancel(QueryId, ExecutionNo) override { ++cancels; }
  void reject(QueryId query, Span advice) override {
    ends[query] += "rejected";
    lastAdvice = advice;
  }
  void abort(QueryId query) override { ends[query] += "aborted"; }
  void wakeAt(Span time) override { wakes.push_back(time); }
  void watchServers() override { ++watches; }
  void listServers() override { ++lists; }

  void list(Listing listing, std::vector<ListedServer> servers) {
    balancer.serversListed(now, listing, servers);
  }
  void hold(std::uint64_t count) {
    std::vector<ListedServer> servers;
    for (std::uint64_t i = 1; i <= count; ++i) servers.push_back(server(i));
    list(Listing::persisted, servers);
  }
  QueryId take(UseCaseId useCase, Span timeLeft = 2s) {
    const QueryId id{static_cast<std::uint32_t>(handles.size())};
    Query query;
    query.id = id;
    query.useCase = useCase;
    query.timeLeft = timeLeft;
    handles.push_back(balancer.take(now, query));
    return id;
  }
  [[nodiscard]] Sent last() const { return sent.back(); }
  void end(const Sent& execution, Outcome outcome) {
    handles[execution.query.value].executionEnded(now, execution.no, outcome, outcome == Outcome::completed);
  }
  /// Sends one query and ends its first execution. Returns the server that got it.
  ServerId play(UseCaseId useCase, Outcome outcome, Span took = 20ms) {
    take(useCase);
    const Sent first = last();
    now += took;
    end(first, outcome);
    return first.server;
  }
  /// Plays queries until this server has ended so many executions this way; all others complete.
  void spoil(ServerId server, Outcome outcome, int times) {
    for (int tries = 0; times > 0 && tries < 2000; ++tries) {
      take(kNonIdempotent);
      const Sent execution = last();
      now += 20ms;
      const bool here = execution.server == server;
      end(execution, here ? outcome : Outcome::completed);
      if (last().no != execution.no) end(last(), Outcome::completed);
      if (here) --times;
    }
    REQUIRE(times == 0);
  }
  /// How many of so many completed queries of the kind went to this server.
  int share(ServerId server, int queries, UseCaseId useCase = kNonIdempotent) {
    int here = 0;
    for (int i = 0; i < queries; ++i) here += play(useCase, Outcome::completed) == server ? 1 : 0;
    return here;
  }
  [[nodiscard]] std::string endOf(QueryId query) const {
    const auto at = ends.find(query);
    return at == ends.end() ? "open" : at->second;
  }
  [[nodiscard]] std::size_t executions(QueryId query) const {
    return static_cast<std::size_t>(
        std::count_if(sent.begin(), sent.end(), [&](const Sent& s) { return s.query == query; }));
  }

  Span now = 1s;
  std::vector<Sent> sent;
  std::map<QueryId, std::string> ends;
  std::vector<Span> wakes;
  std::string said;
  Span lastAdvice{};
  int watches = 0;
  int lists = 0;
  int cancels = 0;
  std::vector<QueryHandle> handles;
  Balancer balancer;
};

}  // namespace rackroute::story
