#pragma once

// Configuration of an experiment, read from a TOML file: fleet, network, discovery, load, clients, troubles
// and the expected result of the module. Keys carry their unit in their name. Unknown keys, wrong types and
// values out of range are reported with file, line and key.

#include <cstdint>
#include <optional>
#include <stdexcept>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "lab/random.hpp"
#include "lab/server_model.hpp"
#include "rackroute/types.hpp"

namespace rackroute::lab {

/// Invalid scenario file; the message has the form "file:line: key: reason".
struct BadScenario : std::runtime_error {
  using std::runtime_error::runtime_error;
};

struct ServerKind {
  std::string name;
  double share = 1;
  double cores = 1;
  double speed = 1;
  double speedSpread = 0;  // relative, uniformly distributed in both directions
  double queuePerCore = 30;
};

struct UseCasePlan {
  std::string name;
  UseCase useCase;
  double share = 1;
  Distribution work{Shape::lognormal, 0.02, 0.5};  // seconds of a standard core
  Span timeout{};                                  // client-side statement timeout
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

/// A fault injected during the run ([[trouble]] in the file).
struct Trouble {
  TroubleKind kind = TroubleKind::slow;
  Span at{};
  Span length{};
  double part = 0.2;                     // share of the servers
  double size = 1;                       // meaning depends on the kind; see docs/lab.md
  std::uint32_t zone = 0;                // for troubles of one zone
  std::optional<std::uint32_t> useCase;  // errors only: limited to this use case
};

struct Expected {
  double goodput = 0;  // minimum for the module, as a share of the requested importance
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
  ServerTraits traits;   // common to all kinds
  Span sameZoneDelay{};  // one-way delay, as the two below
  Span crossZoneDelay{};
  Span clientDelay{};
  double jitter = 0.2;        // relative, uniformly distributed in both directions
  double connectionWork = 0;  // per new connection, in seconds of a standard core
  Span connectionIdle{};
  Span dialTimeout{};
  bool onRequest = true;  // discovery sends lists only on request
  Span discoveryDelay{};
  Span discoveryCall{};     // service time of a call; calls are served one at a time
  Span discoveryMaxWait{};  // calls that wait longer fail
  Span drainGrace{};
  Span answerSlack{};
  Span tick{};
  std::uint32_t maxExecutions = 5;
  Span maxRetryAfter{};
  double load = 0.6;  // relative to the servers' capacity; used if rate is 0
  double rate = 0;    // queries per second of all clients; 0: derived from load
  Arrivals arrivals = Arrivals::poisson;
  double burstSize = 3;  // relative to the mean rate, during bursts and at the end of a ramp
  Span burstEvery{};
  Span burstLength{};
  double skew = 0;  // weight of balancer n is 1 / (n + 1)^skew
  std::size_t keys = 0;
  double keySkew = 0.8;
  std::vector<UseCasePlan> useCases;
  std::uint32_t retries = 1;
  Span backoff{};
  double honorsRetryAfter = 0.8;  // share of clients
  double disconnects = 0;         // share of queries whose client disconnects early
  double tryShare = 1;            // timeout of one attempt, relative to the statement timeout
  std::vector<Trouble> troubles;
  Expected expected;

  /// Mean work per query, in seconds of a standard core.
  [[nodiscard]] double meanWork() const;
  /// Mean queries per second of all clients, without bursts.
  [[nodiscard]] double queriesPerSecond() const;
  /// Configuration of one balancer.
  [[nodiscard]] BalancerConfig balancerConfig(std::uint64_t seed, std::uint32_t balancer) const;
};

/// A value that replaces one of the file: dotted path (load.share, trouble.0.size) and value.
using Override = std::pair<std::string, std::string>;

Scenario readScenario(const std::string& file, const std::vector<Override>& overrides = {});
Scenario readScenarioText(std::string_view text, const std::string& file,
                          const std::vector<Override>& overrides = {});

}  // namespace rackroute::lab
