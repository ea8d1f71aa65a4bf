#pragma once

// Statistics of a run and their JSON form: counts by use case, latencies from the intended send time, and
// figures per second and per server. They contain no wall-clock time or other data that differs between runs
// of one seed.

#include <boost/histogram.hpp>
#include <cstdint>
#include <nlohmann/json.hpp>
#include <string>
#include <vector>

#include "lab/audit.hpp"
#include "lab/balancing_policy.hpp"
#include "lab/scenario.hpp"

namespace rackroute::lab {

using Json = nlohmann::ordered_json;

/// Latency histogram in seconds, with a resolution of 1.4%.
class Latencies {
 public:
  Latencies();
  void add(double seconds);
  /// 0 if empty.
  [[nodiscard]] double quantile(double part) const;

 private:
  using Axis = boost::histogram::axis::regular<double, boost::histogram::axis::transform::log>;
  boost::histogram::histogram<std::tuple<Axis>> counts_;
};

enum class Fate { inTime, late, rejected, failed, left };

class RunStatistics {
 public:
  explicit RunStatistics(const Scenario& scenario);

  /// Records a finished client request with all its attempts, by its intended send time.
  void requestFinished(Span intended, std::size_t useCase, Fate fate, Span latency);
  void sent(Span at, std::size_t server, double work);  // arrived at the server
  void retried() { ++retries_; }
  void executed() { ++executions_; }
  void outcome(Outcome outcome) { ++outcomes_.at(static_cast<std::size_t>(outcome)); }
  void wasted(Span work) { wasted_ += work; }
  void worked(Span work) { worked_ += work; }
  void dialled() { ++connections_; }
  void crossed() { ++crossings_; }
  void ejected(Span at, double share);  // relative to all pools, sampled once per second
  void connections(std::size_t atOnce) { maxConnections_ = std::max(maxConnections_, atOnce); }
  void serverLoad(Span at, std::size_t server, double inFlight, bool up);

  /// Share of the requested importance that was answered within the SLO time; late answers count partially.
  [[nodiscard]] double goodput() const;
  [[nodiscard]] Json json() const;

 private:
  struct Use {
    std::array<std::uint64_t, 5> fates{};
    Latencies latencies;
  };
  struct Second {
    double requested = 0;
    double served = 0;
    double ejected = 0;
    std::vector<float> load;  // by server: executions in flight at the end of the second; -1: down
  };
  Second& second(Span at);

  const Scenario& scenario_;
  std::vector<Use> uses_;
  std::vector<Second> seconds_;
  std::array<std::uint64_t, 8> outcomes_{};
  std::uint64_t executions_ = 0;
  std::uint64_t retries_ = 0;
  std::uint64_t connections_ = 0;
  std::uint64_t crossings_ = 0;
  std::size_t maxConnections_ = 0;
  std::vector<double> workSent_;  // by server
  Span wasted_{};
  Span worked_{};
};

struct Result {
  Json json;
  double goodput = 0;
  std::uint64_t breaches = 0;
  std::vector<Breach> breachDetails;
  bool ranLate = false;
};

/// Contents of the result file of one run.
Json resultJson(const Scenario& scenario, std::string_view policy, std::string_view clock, std::uint64_t seed,
                const RunStatistics& tally, const Audit& audit);

/// Rounds to six significant digits.
double rounded(double value);

}  // namespace rackroute::lab
