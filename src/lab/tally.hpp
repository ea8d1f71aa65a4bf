#pragma once

// What a run came to: counts by use case, latencies from the intended send time, what each second and each
// server saw. It owns the figures and their form as JSON; it must never hold a machine's time of day or
// anything else by which two runs of one seed would differ.

#include <boost/histogram.hpp>
#include <cstdint>
#include <nlohmann/json.hpp>
#include <string>
#include <vector>

#include "lab/audit.hpp"
#include "lab/contender.hpp"
#include "lab/scenario.hpp"

namespace rackroute::lab {

using Json = nlohmann::ordered_json;

/// Latencies in seconds, in steps of 1.4%.
class Latencies {
 public:
  Latencies();
  void add(double seconds);
  /// 0 with nothing counted.
  [[nodiscard]] double quantile(double part) const;

 private:
  using Axis = boost::histogram::axis::regular<double, boost::histogram::axis::transform::log>;
  boost::histogram::histogram<std::tuple<Axis>> counts_;
};

enum class Fate { inTime, late, rejected, failed, left };

class Tally {
 public:
  explicit Tally(const Scenario& scenario);

  /// One client's query with all its tries, by when it was meant to be sent.
  void asked(Span intended, std::size_t useCase, Fate fate, Span latency);
  void sent(Span at, std::size_t server, double work);  // reached it
  void retried() { ++retries_; }
  void executed() { ++executions_; }
  void outcome(Outcome outcome) { ++outcomes_.at(static_cast<std::size_t>(outcome)); }
  void wasted(Span work) { wasted_ += work; }
  void worked(Span work) { worked_ += work; }
  void dialled() { ++connections_; }
  void crossed() { ++crossings_; }
  void ejected(Span at, double share);  // of all pools, sampled once a second
  void connections(std::size_t atOnce) { mostConnections_ = std::max(mostConnections_, atOnce); }
  void serverLoad(Span at, std::size_t server, double held, bool up);

  /// Share of the importance asked for that was answered within its SLO time, late answers by their part.
  [[nodiscard]] double goodput() const;
  [[nodiscard]] Json json() const;

 private:
  struct Use {
    std::array<std::uint64_t, 5> fates{};
    Latencies latencies;
  };
  struct Second {
    double asked = 0;
    double served = 0;
    double ejected = 0;
    std::vector<float> load;  // by server: executions held at its end; -1: down
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
  std::size_t mostConnections_ = 0;
  std::vector<double> workSent_;  // by server
  Span wasted_{};
  Span worked_{};
};

struct Result {
  Json json;
  double goodput = 0;
  std::uint64_t breaches = 0;
  std::vector<Breach> told;
  bool ranLate = false;
};

/// The whole result file of one run.
Json resultJson(const Scenario& scenario, std::string_view policy, std::string_view clock, std::uint64_t seed,
                const Tally& tally, const Audit& audit);

/// Six digits: what a reader compares, without the noise of the last bits.
double rounded(double value);

}  // namespace rackroute::lab
