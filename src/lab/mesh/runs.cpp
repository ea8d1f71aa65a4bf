#include "lab/mesh/runs.hpp"

#include <algorithm>
#include <atomic>
#include <chrono>
#include <iomanip>
#include <map>
#include <mutex>
#include <ostream>
#include <set>
#include <string>
#include <thread>

namespace rackroute::lab::mesh {
namespace {

using nlohmann::json;

constexpr int kNameWidth = 26;

Day dayFor(const RunOptions& options, std::uint64_t seed) {
  if (options.soaks) return drawSoak(seed, options.size);
  return options.drawn ? drawDay(seed, options.size) : options.size;
}

void printRun(const Day& day, std::uint64_t seed, const ProcessRunResult& result, std::ostream& out) {
  for (const Violation& violation : result.violations)
    out << "BROKEN " << violation.rule << " at " << violation.at << " s: " << violation.detail << '\n';
  const char* verdict = result.late       ? "no verdict, this machine is too slow"
                        : result.passed() ? "kept"
                                          : "BROKEN";
  out << day.name << "  seed " << seed << "  " << verdict << "  served "
      << result.figures.at("served").get<double>() << " of " << result.figures.at("tries") << " tries"
      << std::endl;
}

void add(RunResults& all, const Day& day, std::uint64_t seed, const ProcessRunResult& result) {
  all.runs.push_back({{"day", day.name},
                      {"seed", seed},
                      {"kept", result.passed()},
                      {"late", result.late},
                      {"figures", result.figures}});
  all.passed = all.passed && (result.passed() || result.late);
  all.late = all.late || result.late;
}

void printMinimized(const Day& day, std::uint64_t seed, const DayResult& result, std::ostream& out) {
  std::set<std::string> rules;
  for (const Violation& violation : result.violations) {
    if (!rules.insert(violation.rule).second) continue;
    out << "# " << violation.rule << " with seed " << seed << '\n'
        << textOf(minimized(day, seed, violation.rule)) << std::flush;
  }
}

/// Prints how often each fault was injected and in how many days each rule was broken.
void printTotals(const std::vector<ProcessRunResult>& results, double elapsedSeconds, std::ostream& out) {
  double virtualSeconds = 0;
  std::map<std::string, std::uint64_t> injected;
  std::map<std::string, std::uint64_t> daysWithViolation;
  for (const ProcessRunResult& result : results) {
    virtualSeconds += result.figures.at("virtual_s").get<double>();
    for (const auto& [kind, count] : result.figures.at("struck").items())
      injected[kind] += count.get<std::uint64_t>();
    std::set<std::string> rules;
    for (const Violation& violation : result.violations) rules.insert(violation.rule);
    for (const std::string& rule : rules) ++daysWithViolation[rule];
  }
  const auto passed =
      std::count_if(results.begin(), results.end(), [](const auto& one) { return one.passed(); });
  out << results.size() << " days, " << passed << " kept, " << std::fixed << std::setprecision(1)
      << virtualSeconds << " virtual seconds in " << elapsedSeconds << " s\n";
  for (const auto& [kind, count] : injected)
    out << "  " << std::left << std::setw(kNameWidth) << kind << " injected " << count << " times\n";
  for (const auto& [rule, days] : daysWithViolation)
    out << "  " << std::left << std::setw(kNameWidth) << rule << " broken in " << days << " days\n";
  out << std::defaultfloat << std::setprecision(6) << std::flush;
}

}  // namespace

RunResults runInVirtualTime(const RunOptions& options, std::ostream& out) {
  const auto startedAt = std::chrono::steady_clock::now();
  std::vector<ProcessRunResult> results(options.seeds);
  std::atomic<unsigned> next{0};
  std::mutex outputMutex;
  const auto worker = [&] {
    for (unsigned i = next++; i < options.seeds; i = next++) {
      const std::uint64_t seed = options.seed + i;
      const Day day = dayFor(options, seed);
      static_cast<DayResult&>(results[i]) = runDay(day, seed);
      const std::lock_guard lock(outputMutex);
      printRun(day, seed, results[i], out);
    }
  };
  std::vector<std::thread> threads;
  for (unsigned job = 0; job < std::min(options.jobs, options.seeds); ++job) threads.emplace_back(worker);
  for (std::thread& thread : threads) thread.join();
  const std::chrono::duration<double> elapsed = std::chrono::steady_clock::now() - startedAt;
  RunResults all;
  for (unsigned i = 0; i < options.seeds; ++i) {
    const std::uint64_t seed = options.seed + i;
    const Day day = dayFor(options, seed);
    add(all, day, seed, results[i]);
    if (options.shrinks) printMinimized(day, seed, results[i], out);
  }
  printTotals(results, elapsed.count(), out);
  return all;
}

RunResults runOnProcesses(const RunOptions& options, std::ostream& out) {
  RunResults all;
  for (unsigned i = 0; i < options.seeds; ++i) {
    ProcessRunOptions plan = options.processes;
    plan.seed = options.seed + i;
    Day day = dayFor(options, plan.seed);
    if (options.drawn) day = restrictToProcesses(day);
    const ProcessRunResult result = runWithProcesses(day, plan);
    printRun(day, plan.seed, result, out);
    add(all, day, plan.seed, result);
  }
  return all;
}

}  // namespace rackroute::lab::mesh
