#pragma once

// What an experiment plays: fleet, network, discovery, load, clients, troubles and the verdict expected of
// the module, read from a TOML file. Every key has its unit in its name; what is unknown, of the wrong kind
// or impossible is named with file, line and key. It owns no state of a run.

#include <cstdint>
#include <optional>
#include <stdexcept>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "lab/draws.hpp"
#include "lab/server_model.hpp"
#include "rackroute/types.hpp"

namespace rackroute::lab {

/// What is wrong with a file, in one line: file:line: key: what.
struct BadScenario : std::runtime_error {
  using std::runtime_error::runtime_error;
};

struct ServerKind {
  std::string name;
  double share = 1;
  double cores = 1;
  double speed = 1;
  double speedSpread = 0;  // of 1, drawn evenly to both sides
  double queuePerCore = 30;
};

struct UseCasePlan {
  std::string name;
  UseCase terms;
  double share = 1;
  Distribution work{Shape::lognormal, 0.02, 0.5};  // seconds of a standard core
  Span timeout{};                                  // statement timeout
};

enum class Arrivals { steady, poisson, bursts, ramp };

enum class TroubleKind {
  slow,
  silent,
  errors,
  crash,
  drain,
  join,
  zoneLost,
  zoneCut,
  resets,
  cutAnswers,
  spoiltAnswers,
  discoveryOut,
  discoveryStale,
  emptyList,
  halfList,
  flapping,
  burst
};

struct Trouble {
  TroubleKind kind = TroubleKind::slow;
  Span at{};
  Span length{};
  double part = 0.2;                     // of the servers
  double size = 1;                       // what it is of depends on the kind; see docs/lab.md
  std::uint32_t zone = 0;                // where one zone is meant
  std::optional<std::uint32_t> useCase;  // errors only: of this use case alone
};

struct Expected {
  double goodput = 0;  // of the module, at least; share of the importance asked for
  bool rulesKept = true;
};

struct Scenario {
  std::string file;
  std::string name;
  std::string about;
  Span length{};
  std::uint32_t balancers = 5;
  std::uint32_t servers = 10;
  std::uint32_t zones = 3;
  std::vector<ServerKind> kinds;
  ServerTraits traits;  // what all kinds share
  Span sameZone{};      // one way, as all below
  Span crossZone{};
  Span clientWay{};
  double jitter = 0.2;        // of a way, drawn evenly to both sides
  double connectionWork = 0;  // seconds of a standard core, for a new connection
  Span connectionIdle{};
  Span dialTimeout{};
  bool onRequest = true;  // discovery answers only when asked
  Span discoveryDelay{};
  Span discoveryCall{};      // work of one call; it takes them in turn
  Span discoveryPatience{};  // a call that waited longer fails
  Span drainGrace{};
  Span answerSlack{};
  Span tick{};
  std::uint32_t maxExecutions = 5;
  Span maxRetryAfter{};
  double load = 0.6;  // of the servers' capacity, where no rate is given
  double rate = 0;    // queries a second of all clients together; 0: by load
  Arrivals arrivals = Arrivals::poisson;
  double burstSize = 3;  // of the mean rate, while a burst lasts; ramps end there
  Span burstEvery{};
  Span burstLength{};
  double skew = 0;  // balancer n gets 1 / (n + 1)^skew
  std::size_t keys = 0;
  double keySkew = 0.8;
  std::vector<UseCasePlan> useCases;
  std::uint32_t retries = 1;
  Span backoff{};
  double obeysAdvice = 0.8;  // share of clients
  double leaves = 0;         // share of queries whose client leaves early
  double tryShare = 1;       // of the statement timeout, after which a try is given up
  std::vector<Trouble> troubles;
  Expected expected;

  /// Mean work of one query, in seconds of a standard core.
  [[nodiscard]] double meanWork() const;
  /// Queries a second of all clients, in the mean of a steady stretch.
  [[nodiscard]] double queriesPerSecond() const;
  /// What a balancer is told at its start.
  [[nodiscard]] BalancerConfig terms(std::uint64_t seed, std::uint32_t balancer) const;
};

/// One value changed before the file is read: a dotted path, such as load.share or trouble.0.size.
using Override = std::pair<std::string, std::string>;

Scenario readScenario(const std::string& file, const std::vector<Override>& overrides = {});
Scenario readScenarioText(std::string_view text, const std::string& file,
                          const std::vector<Override>& overrides = {});

}  // namespace rackroute::lab
