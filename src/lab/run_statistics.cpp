#include "lab/run_statistics.hpp"

#include <algorithm>
#include <array>
#include <cmath>

namespace rackroute::lab {
namespace {

constexpr unsigned kBins = 1000;
constexpr double kMinLatency = 1e-4;  // seconds
constexpr double kMaxLatency = 100;   // seconds

constexpr std::array<const char*, 5> kFateNames = {"in_time", "late", "rejected", "failed", "left"};
constexpr std::array<const char*, 8> kOutcomeNames = {"completed",      "error", "full",      "timeout",
                                                      "connect_failed", "reset", "cancelled", "moot"};

}  // namespace

double rounded(double value) {
  if (value == 0 || !std::isfinite(value)) return 0;
  const double scale = std::pow(10, 5 - std::floor(std::log10(std::abs(value))));
  return std::round(value * scale) / scale;
}

Latencies::Latencies() : counts_(boost::histogram::make_histogram(Axis(kBins, kMinLatency, kMaxLatency))) {}

void Latencies::add(double seconds) { counts_(std::clamp(seconds, kMinLatency, 0.999 * kMaxLatency)); }

double Latencies::quantile(double part) const {
  double all = 0;
  for (const double count : counts_) all += count;
  if (all <= 0) return 0;
  double below = 0;
  for (int bin = 0; bin < counts_.axis().size(); ++bin) {
    const double count = counts_.at(bin);
    if (below + count >= part * all && count > 0) {
      const double inside = std::clamp((part * all - below) / count, 0.0, 1.0);
      return counts_.axis().value(bin + inside);
    }
    below += count;
  }
  return kMaxLatency;
}

RunStatistics::RunStatistics(const Scenario& scenario)
    : scenario_(scenario), uses_(scenario.useCases.size()), workSent_(scenario.servers) {}

RunStatistics::Second& RunStatistics::second(Span at) {
  const auto index = static_cast<std::size_t>(std::max<Span::rep>(0, at / std::chrono::seconds(1)));
  if (index >= seconds_.size()) seconds_.resize(index + 1);
  return seconds_[index];
}

void RunStatistics::requestFinished(Span intended, std::size_t useCase, Fate fate, Span latency) {
  Use& use = uses_.at(useCase);
  ++use.fates.at(static_cast<std::size_t>(fate));
  const UseCase& terms = scenario_.useCases[useCase].useCase;
  Second& at = second(intended);
  if (fate == Fate::left) return;  // abandoned requests do not count toward goodput
  at.requested += terms.importance;
  if (fate == Fate::inTime) at.served += terms.importance;
  if (fate == Fate::late) at.served += terms.importance * terms.lateImportance;
  if (fate == Fate::inTime || fate == Fate::late) use.latencies.add(seconds(latency));
}

void RunStatistics::sent(Span, std::size_t server, double work) { workSent_.at(server) += work; }

void RunStatistics::ejected(Span at, double share) { second(at).ejected = share; }

void RunStatistics::serverLoad(Span at, std::size_t server, double inFlight, bool up) {
  std::vector<float>& load = second(at).load;
  load.resize(scenario_.servers);
  load.at(server) = up ? static_cast<float>(inFlight) : -1.0F;
}

double RunStatistics::goodput() const {
  double requested = 0;
  double served = 0;
  for (const Second& second : seconds_) {
    requested += second.requested;
    served += second.served;
  }
  return requested > 0 ? served / requested : 1;
}

Json RunStatistics::json() const {
  Json all;
  all["goodput"] = rounded(goodput());
  double worst = 1;
  constexpr std::size_t window = 10;
  for (std::size_t from = 0; from + window <= seconds_.size(); ++from) {
    double requested = 0;
    double served = 0;
    for (std::size_t at = from; at < from + window; ++at) {
      requested += seconds_[at].requested;
      served += seconds_[at].served;
    }
    if (requested > 0) worst = std::min(worst, served / requested);
  }
  all["worst_10_s"] = rounded(worst);
  for (std::size_t i = 0; i < uses_.size(); ++i) {
    Json& use = all["use_cases"].emplace_back();
    use["name"] = scenario_.useCases[i].name;
    use["importance"] = scenario_.useCases[i].useCase.importance;
    for (std::size_t fate = 0; fate < kFateNames.size(); ++fate)
      use[kFateNames.at(fate)] = uses_[i].fates.at(fate);
    for (const auto& [name, part] : {std::pair("p50_ms", 0.5), {"p90_ms", 0.9}, {"p99_ms", 0.99}})
      use[name] = rounded(1000 * uses_[i].latencies.quantile(part));
  }
  all["executions"] = executions_;
  all["client_retries"] = retries_;
  for (std::size_t i = 0; i < kOutcomeNames.size(); ++i)
    all["outcomes"][kOutcomeNames.at(i)] = outcomes_.at(i);
  all["worked_ms"] = worked_.count() / 1000;
  all["wasted_ms"] = wasted_.count() / 1000;
  all["connections_opened"] = connections_;
  all["most_connections_at_a_server"] = maxConnections_;
  all["zone_crossings"] = crossings_;
  Json& work = all["work_sent_s"] = Json::array();
  for (const double sum : workSent_) work.push_back(rounded(sum));
  Json& over = all["seconds"] = Json::object();
  for (const char* name : {"asked", "served", "ejected", "held"}) over[name] = Json::array();
  for (const Second& second : seconds_) {
    over["asked"].push_back(rounded(second.requested));
    over["served"].push_back(rounded(second.served));
    over["ejected"].push_back(rounded(second.ejected));
    Json inFlight = Json::array();
    for (const float load : second.load) inFlight.push_back(rounded(static_cast<double>(load)));
    over["held"].push_back(std::move(inFlight));
  }
  return all;
}

Json resultJson(const Scenario& scenario, std::string_view policy, std::string_view clock, std::uint64_t seed,
                const RunStatistics& tally, const Audit& audit) {
  Json all;
  all["format"] = 1;
  all["scenario"] = scenario.name;
  all["about"] = scenario.about;
  all["policy"] = policy;
  all["clock"] = clock;
  all["seed"] = seed;
  all["balancers"] = scenario.balancers;
  all["servers"] = scenario.servers;
  all["length_s"] = seconds(scenario.length);
  all["queries_per_s"] = rounded(scenario.queriesPerSecond());
  all["expected_goodput"] = scenario.expected.goodput;
  all["figures"] = tally.json();
  all["judged"] = audit.judged();
  all["broken"] = audit.count();
  Json& breaches = all["breaches"] = Json::array();
  for (const Breach& breach : audit.breaches()) {
    Json& one = breaches.emplace_back();
    one["rule"] = nameOf(breach.rule);
    one["subject"] = breach.subject;
    one["at_s"] = seconds(breach.at);
    one["timeline"] = breach.timeline;
  }
  Json& cold = all["cold_starts"] = Json::array();
  for (const ColdPeak& peak : audit.coldPeaks()) {
    cold.push_back({{"server", peak.server.value},
                    {"started_s", seconds(peak.startedAt)},
                    {"peak", rounded(peak.share)}});
  }
  Json& drains = all["drains"] = Json::array();
  for (const auto& [server, latest] : audit.drains())
    drains.push_back({{"server", server.value}, {"latest_ms", static_cast<double>(latest.count()) / 1000}});
  all["drain_grace_ms"] = static_cast<double>(scenario.drainGrace.count()) / 1000;
  return all;
}

}  // namespace rackroute::lab
