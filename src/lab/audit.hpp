#pragma once

// Checks a run against the four rules and three further invariants: a final answer is sent promptly once the
// query is given up, a good server list is not discarded, and no more than the capped share of servers is
// ejected. The audit only observes the messages between clients, balancers, servers and discovery; it does
// not depend on the module's code and does not influence the run.

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

#include "lab/server_model.hpp"
#include "rackroute/balancer.hpp"

namespace rackroute::lab {

enum class Rule { oneAnswer, noEffectTwice, drainKept, coldStart, answeredAtOnce, listKept, capKept };

std::string_view nameOf(Rule rule);

enum class Answer { completed, rejected, aborted };

struct Breach {
  Rule rule = Rule::oneAnswer;
  std::string subject;  // the query or server
  Span at{};
  std::vector<std::string> timeline;  // the events that lead to it
};

/// Parameters of the rules, and the timing tolerance of the clock in use.
struct AuditLimits {
  std::vector<UseCase> useCases;
  Span answerSlack{};
  Span drainGrace{};
  double coldShare = 1;
  Span coldTime{};
  double overloadMultiple = 0;
  Span overloadWindow{};
  double maxEjectedShare = 0.5;  // relative to the pool
  Span lag{};                    // added to each time limit; 0 in virtual time
};

/// Peak work that a cold server received in a window, relative to its overload limit.
struct ColdPeak {
  ServerId server;
  Span startedAt{};
  double share = 0;
};

using BalancerIndex = std::uint32_t;
/// Identifies a query at a balancer; unique in the run.
using QueryNumber = std::uint64_t;

class Audit {
 public:
  explicit Audit(AuditLimits limits) : limits_(std::move(limits)) {}

  // ---- Queries
  void queryReceived(Span now, QueryNumber query, BalancerIndex at, UseCaseId useCase, Span deadline,
                     std::uint64_t dedupKey);
  void sent(Span now, QueryNumber query, std::uint32_t no, ServerId server, ZoneId zone, CellId cell);
  void ended(Span now, QueryNumber query, std::uint32_t no, Outcome outcome);
  /// The balancer gave the query up and has to answer promptly.
  void gaveUp(Span now, QueryNumber query);
  void answered(Span now, QueryNumber query, Answer answer);
  void clientLeft(Span now, QueryNumber query);
  /// An execution took effect at a server, even if nobody waits for it any more.
  void effect(Span now, QueryNumber query, std::uint64_t dedupKey, RetrySafety repeat, ServerId server);

  // ---- Servers and lists
  void started(Span now, ServerId server, double fullCapacity);
  void stopped(Span now, ServerId server);
  /// Work arrived at a server, in seconds of a standard core.
  void workReceived(Span now, ServerId server, BalancerIndex from, double work);
  /// A balancer received a list entry; started is the entry's start time, if present.
  void serverListed(Span now, BalancerIndex at, ServerId server, Lifecycle lifecycle,
                    std::optional<Span> started);
  /// A balancer's discovery failed, or a new list dropped more than half of the serving servers at once.
  void listUnreliable(Span now, BalancerIndex at, Span until);
  void ejected(Span now, BalancerIndex at, PoolStatus before, PoolStatus after);

  /// Ends the audit; queries without an answer are breaches.
  void close(Span now);
  [[nodiscard]] const std::vector<Breach>& breaches() const { return breaches_; }
  [[nodiscard]] std::uint64_t count() const { return count_; }
  [[nodiscard]] std::uint64_t judged() const { return judged_; }
  [[nodiscard]] const std::vector<ColdPeak>& coldPeaks() const { return coldPeaks_; }
  /// By drained or removed server: the longest time after the notice at which a balancer still sent to it.
  [[nodiscard]] const std::map<ServerId, Span>& drains() const { return drains_; }

 private:
  struct Sent {
    ServerId server;
    ZoneId zone;
    CellId cell;
    Span at{};
    bool inFlight = true;
    bool mayHaveRun = true;
  };
  struct OpenQuery {
    BalancerIndex at = 0;
    UseCaseId useCase;
    Span receivedAt{};
    Span deadline{};
    std::vector<Sent> sent;
    std::vector<std::pair<Span, std::string>> timeline;
    std::optional<Span> gaveUp;
    Span lastEnd{};            // of the last execution that ended
    std::optional<Span> over;  // answered, or the client left
    bool answered = false;
  };
  struct ServerWatch {
    Span startedAt{};
    double capacity = 0;
    bool cold = false;
    double peak = 0;
    struct Arrival {
      Span at;
      double work;
      bool fromInformed;
    };
    std::deque<Arrival> arrivals;
    std::map<BalancerIndex, Span> startKnownAt;
  };
  struct ListWatch {  // state of one balancer while its list is unreliable
    Span until = Span::min();
    std::uint32_t rejectedUnsent = 0;
    bool sentSince = false;
    bool broken = false;
  };

  void breach(Rule rule, Span now, std::string subject, std::vector<std::string> timeline);
  void breach(Rule rule, Span now, QueryNumber query, const std::string& why);
  void record(OpenQuery& open, Span now, std::string what) const;
  void eraseIfDone(QueryNumber query);
  [[nodiscard]] double coldLimit(const ServerWatch& watch, Span now) const;

  AuditLimits limits_;
  std::unordered_map<QueryNumber, OpenQuery> open_;
  std::unordered_map<std::uint64_t, std::pair<std::uint32_t, std::vector<std::string>>>
      effects_;  // by deduplication key
  std::deque<std::pair<Span, std::uint64_t>> effectOrder_;
  std::unordered_map<std::uint64_t, ServerWatch> servers_;
  std::unordered_map<BalancerIndex, std::map<ServerId, Span>>
      notServingSince_;  // time of the notice, by server
  std::unordered_map<BalancerIndex, ListWatch> lists_;
  void endColdStart(ServerId server, ServerWatch& watch);

  std::vector<ColdPeak> coldPeaks_;
  std::map<ServerId, Span> drains_;
  std::vector<Breach> breaches_;
  std::uint64_t count_ = 0;
  std::uint64_t judged_ = 0;
};

}  // namespace rackroute::lab
