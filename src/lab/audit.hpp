#pragma once

// The judge of a run: the four rules, and three promises of the design (a final answer is not held once the
// query is given up, no good list is thrown away, no more than the capped share is ejected). It is told what
// crossed between client, balancer, servers and discovery, and knows nothing of the module's code. It never
// takes part in a run: the same run with and without it is the same.

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
  std::string subject;  // the query or the server
  Span at{};
  std::vector<std::string> timeline;  // what proves it
};

/// The figures that the rules go by, and how much later than them a thing may come on this clock.
struct Measures {
  std::vector<UseCase> useCases;
  Span answerSlack{};
  Span drainGrace{};
  double coldShare = 1;
  Span coldTime{};
  double overloadMultiple = 0;
  Span overloadWindow{};
  double mostEjected = 0.5;  // of the pool; the design page's
  Span lag{};                // more for each time limit; 0 in virtual time
};

/// How much of its tipping budget a cold server was sent at most, in any one window.
struct ColdPeak {
  ServerId server;
  Span startedAt{};
  double share = 0;
};

using BalancerNo = std::uint32_t;
/// One query at one balancer; unique in the run.
using QueryNo = std::uint64_t;

class Audit {
 public:
  explicit Audit(Measures measures) : measures_(std::move(measures)) {}

  // ---- A query
  void taken(Span now, QueryNo query, BalancerNo at, UseCaseId useCase, Span deadline, std::uint64_t mark);
  void sent(Span now, QueryNo query, std::uint32_t no, ServerId server, ZoneId zone, CellId cell);
  void ended(Span now, QueryNo query, std::uint32_t no, Outcome outcome);
  /// The balancer gave it up; its answer is due at once.
  void gaveUp(Span now, QueryNo query);
  void answered(Span now, QueryNo query, Answer answer);
  void clientLeft(Span now, QueryNo query);
  /// An execution took effect at a server, whoever still waits for it.
  void effect(Span now, QueryNo query, std::uint64_t mark, RetrySafety repeat, ServerId server);

  // ---- Servers and lists
  void started(Span now, ServerId server, double fullCapacity);
  void stopped(Span now, ServerId server);
  /// Work reached a server, in seconds of a standard core.
  void pressed(Span now, ServerId server, BalancerNo from, double work);
  /// A balancer was told of a server; started: when, if that was told.
  void told(Span now, BalancerNo at, ServerId server, Lifecycle lifecycle, std::optional<Span> started);
  /// A balancer's discovery failed, or told a list that lost over half of it at once while the servers serve.
  void doubtful(Span now, BalancerNo at, Span until);
  void ejected(Span now, BalancerNo at, PoolStatus before, PoolStatus after);

  /// The run is over; what is still owed is a breach.
  void close(Span now);
  [[nodiscard]] const std::vector<Breach>& breaches() const { return breaches_; }
  [[nodiscard]] std::uint64_t count() const { return count_; }
  [[nodiscard]] std::uint64_t judged() const { return judged_; }
  [[nodiscard]] const std::vector<ColdPeak>& coldPeaks() const { return coldPeaks_; }
  /// By server that drained or went: how long after they were told a balancer still sent to it, at most.
  [[nodiscard]] const std::map<ServerId, Span>& drains() const { return drains_; }

 private:
  struct Sent {
    ServerId server;
    ZoneId zone;
    CellId cell;
    Span at{};
    bool out = true;
    bool mayHaveRun = true;
  };
  struct Open {
    BalancerNo at = 0;
    UseCaseId useCase;
    Span taken{};
    Span deadline{};
    std::vector<Sent> sent;
    std::vector<std::pair<Span, std::string>> story;
    std::optional<Span> gaveUp;
    Span lastEnd{};            // of an execution
    std::optional<Span> over;  // answered, or its client left
    bool answered = false;
  };
  struct ServerWatch {
    Span startedAt{};
    double capacity = 0;
    bool cold = false;
    double peak = 0;
    struct Press {
      Span at;
      double work;
      bool byTold;
    };
    std::deque<Press> pressed;
    std::map<BalancerNo, Span> toldStart;
  };
  struct ListWatch {  // of one balancer, while its list may be doubted
    Span until = Span::min();
    std::uint32_t givenUpUnsent = 0;
    bool sentSince = false;
    bool broken = false;
  };

  void breach(Rule rule, Span now, std::string subject, std::vector<std::string> timeline);
  void breach(Rule rule, Span now, QueryNo query, const std::string& why);
  void say(Open& open, Span now, std::string what) const;
  void settle(QueryNo query);
  [[nodiscard]] double allowed(const ServerWatch& watch, Span now) const;

  Measures measures_;
  std::unordered_map<QueryNo, Open> open_;
  std::unordered_map<std::uint64_t, std::pair<std::uint32_t, std::vector<std::string>>> effects_;  // by mark
  std::deque<std::pair<Span, std::uint64_t>> effectOrder_;
  std::unordered_map<std::uint64_t, ServerWatch> servers_;
  std::unordered_map<BalancerNo, std::map<ServerId, Span>> closed_;  // told draining or gone, since when
  std::unordered_map<BalancerNo, ListWatch> lists_;
  void warm(ServerId server, ServerWatch& watch);

  std::vector<ColdPeak> coldPeaks_;
  std::map<ServerId, Span> drains_;
  std::vector<Breach> breaches_;
  std::uint64_t count_ = 0;
  std::uint64_t judged_ = 0;
};

}  // namespace rackroute::lab
