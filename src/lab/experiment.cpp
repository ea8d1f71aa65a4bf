#include "lab/experiment.hpp"

#include <algorithm>
#include <atomic>
#include <boost/math/distributions/students_t.hpp>
#include <cmath>
#include <exception>
#include <mutex>
#include <numeric>
#include <thread>

#include "lab/virtual_run.hpp"

namespace rackroute::lab {
namespace {

constexpr double kQuantile95 = 0.975;  // upper quantile of a two-sided 95% interval

struct Figures {
  double goodput = 0;
  double worst = 0;
  double wastedShare = 0;
  double executionsPerQuery = 0;
  double p99 = 0;  // of the first use case, in ms
  std::uint64_t broken = 0;
  std::string firstBroken;
};

Figures figuresOf(const Result& result) {
  const Json& all = result.json["figures"];
  Figures figures;
  figures.goodput = result.goodput;
  figures.worst = all["worst_10_s"].get<double>();
  const double worked = all["worked_ms"].get<double>();
  figures.wastedShare = worked > 0 ? all["wasted_ms"].get<double>() / worked : 0;
  const double judged = result.json["judged"].get<double>();
  figures.executionsPerQuery = judged > 0 ? all["executions"].get<double>() / judged : 0;
  figures.p99 = all["use_cases"][0]["p99_ms"].get<double>();
  figures.broken = result.breaches;
  if (!result.breachDetails.empty()) figures.firstBroken = nameOf(result.breachDetails.front().rule);
  return figures;
}

Json json(const Interval& interval) {
  return {{"mean", rounded(interval.mean)}, {"half", rounded(interval.half)}};
}

template <class Get>
Interval over(const std::vector<Figures>& all, const Get& get) {
  std::vector<double> values;
  for (const Figures& figures : all) values.push_back(get(figures));
  return intervalOf(values);
}

Json summary(const std::vector<Figures>& all) {
  Json result;
  result["goodput"] = json(over(all, [](const Figures& f) { return f.goodput; }));
  result["worst_10_s"] = json(over(all, [](const Figures& f) { return f.worst; }));
  result["p99_ms"] = json(over(all, [](const Figures& f) { return f.p99; }));
  result["wasted_share"] = json(over(all, [](const Figures& f) { return f.wastedShare; }));
  result["executions_per_query"] = json(over(all, [](const Figures& f) { return f.executionsPerQuery; }));
  std::uint64_t broken = 0;
  std::string first;
  for (const Figures& figures : all) {
    broken += figures.broken;
    if (first.empty()) first = figures.firstBroken;
  }
  result["broken"] = broken;
  if (!first.empty()) result["first_broken"] = first;
  return result;
}

std::vector<Figures> runSeeds(const Scenario& scenario, const std::string& policy, const ExperimentPlan& plan,
                              std::atomic<std::size_t>& done, std::size_t all, std::mutex& progressMutex) {
  std::vector<Figures> figures(plan.seeds.size());
  inParallel(plan.seeds.size(), plan.jobs, [&](std::size_t i) {
    RunPlan run;
    run.seed = plan.seeds[i];
    run.policy = policy;
    figures[i] = figuresOf(runVirtual(scenario, run));
    const std::size_t now = ++done;
    if (!plan.progress) return;
    const std::lock_guard lock(progressMutex);
    plan.progress(now, all);
  });
  return figures;
}

}  // namespace

Interval intervalOf(const std::vector<double>& values) {
  if (values.empty()) return {};
  const auto count = static_cast<double>(values.size());
  const double mean = std::accumulate(values.begin(), values.end(), 0.0) / count;
  if (values.size() < 2) return {mean, 0};
  double squares = 0;
  for (const double value : values) squares += (value - mean) * (value - mean);
  const boost::math::students_t student(count - 1);
  return {mean, boost::math::quantile(student, kQuantile95) * std::sqrt(squares / (count - 1) / count)};
}

void inParallel(std::size_t count, unsigned jobs, const std::function<void(std::size_t)>& task) {
  std::atomic<std::size_t> next{0};
  std::exception_ptr failed;
  std::mutex failureMutex;
  const auto work = [&] {
    for (std::size_t i = next++; i < count; i = next++) {
      try {
        task(i);
      } catch (...) {
        const std::lock_guard lock(failureMutex);
        if (!failed) failed = std::current_exception();
        next = count;
      }
    }
  };
  std::vector<std::thread> threads;
  for (unsigned i = 1; i < std::min<std::size_t>(std::max(jobs, 1U), count); ++i) threads.emplace_back(work);
  work();
  for (std::thread& thread : threads) thread.join();
  if (failed) std::rethrow_exception(failed);
}

Json compareJson(const Scenario& scenario, const ExperimentPlan& plan) {
  Json all;
  all["format"] = 1;
  all["kind"] = "compare";
  all["scenario"] = scenario.name;
  all["about"] = scenario.about;
  all["seeds"] = plan.seeds;
  std::atomic<std::size_t> done{0};
  std::mutex progressMutex;
  std::vector<std::vector<Figures>> played;
  for (const std::string& policy : plan.policies) {
    played.push_back(
        runSeeds(scenario, policy, plan, done, plan.policies.size() * plan.seeds.size(), progressMutex));
    Json one = summary(played.back());
    one["policy"] = policy;
    if (played.size() > 1) {
      // Paired difference: both policies face the same queries and troubles for each seed.
      std::vector<double> ahead;
      for (std::size_t i = 0; i < plan.seeds.size(); ++i)
        ahead.push_back(played.front()[i].goodput - played.back()[i].goodput);
      const Interval interval = intervalOf(ahead);
      one["first_ahead"] = json(interval);
      one["verdict"] = ahead.size() < 2                           ? "one seed tells nothing"
                       : std::abs(interval.mean) <= interval.half ? "within noise"
                       : interval.mean > 0                        ? "first is better"
                                                                  : "first is worse";
    }
    all["policies"].push_back(std::move(one));
  }
  return all;
}

Json sweepJson(const std::string& file, const std::vector<Override>& overrides, const Sweep& sweep,
               const ExperimentPlan& plan) {
  std::vector<Scenario> scenarios;  // read before the first run, so that invalid values fail early
  for (const std::string& value : sweep.values) {
    std::vector<Override> with = overrides;
    with.emplace_back(sweep.key, value);
    scenarios.push_back(readScenario(file, with));
  }
  Json all;
  all["format"] = 1;
  all["kind"] = "sweep";
  all["scenario"] = scenarios.front().name;
  all["about"] = scenarios.front().about;
  all["over"] = sweep.key;
  all["seeds"] = plan.seeds;
  std::atomic<std::size_t> done{0};
  std::mutex progressMutex;
  const std::size_t runs = scenarios.size() * plan.policies.size() * plan.seeds.size();
  for (std::size_t i = 0; i < scenarios.size(); ++i) {
    for (const std::string& policy : plan.policies) {
      Json one = summary(runSeeds(scenarios[i], policy, plan, done, runs, progressMutex));
      one["policy"] = policy;
      one["value"] = sweep.values[i];
      all["points"].push_back(std::move(one));
    }
  }
  return all;
}

}  // namespace rackroute::lab
