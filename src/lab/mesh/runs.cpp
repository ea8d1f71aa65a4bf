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

Day dayFor(const RunsAsked& asked, std::uint64_t seed) {
  if (asked.soaks) return drawSoak(seed, asked.size);
  return asked.drawn ? drawDay(seed, asked.size) : asked.size;
}

void tellRun(const Day& day, std::uint64_t seed, const ProcessRunResult& result, std::ostream& out) {
  for (const Broken& broken : result.broken)
    out << "BROKEN " << broken.rule << " at " << broken.at << " s: " << broken.what << '\n';
  const char* verdict = result.late     ? "no verdict, this machine is too slow"
                        : result.kept() ? "kept"
                                        : "BROKEN";
  out << day.name << "  seed " << seed << "  " << verdict << "  served "
      << result.figures.at("served").get<double>() << " of " << result.figures.at("tries") << " tries"
      << std::endl;
}

void add(RunsPlayed& all, const Day& day, std::uint64_t seed, const ProcessRunResult& result) {
  all.runs.push_back({{"day", day.name},
                      {"seed", seed},
                      {"kept", result.kept()},
                      {"late", result.late},
                      {"figures", result.figures}});
  all.kept = all.kept && (result.kept() || result.late);
  all.late = all.late || result.late;
}

void tellShrunk(const Day& day, std::uint64_t seed, const Played& result, std::ostream& out) {
  std::set<std::string> rules;
  for (const Broken& broken : result.broken) {
    if (!rules.insert(broken.rule).second) continue;
    out << "# " << broken.rule << " with seed " << seed << '\n'
        << textOf(shrunk(day, seed, broken.rule)) << std::flush;
  }
}

/// How often each trouble struck, and in how many days each rule broke.
void tellTotals(const std::vector<ProcessRunResult>& results, double tookSeconds, std::ostream& out) {
  double virtualSeconds = 0;
  std::map<std::string, std::uint64_t> struck;
  std::map<std::string, std::uint64_t> daysBroken;
  for (const ProcessRunResult& result : results) {
    virtualSeconds += result.figures.at("virtual_s").get<double>();
    for (const auto& [kind, count] : result.figures.at("struck").items())
      struck[kind] += count.get<std::uint64_t>();
    std::set<std::string> rules;
    for (const Broken& broken : result.broken) rules.insert(broken.rule);
    for (const std::string& rule : rules) ++daysBroken[rule];
  }
  const auto kept = std::count_if(results.begin(), results.end(), [](const auto& one) { return one.kept(); });
  out << results.size() << " days, " << kept << " kept, " << std::fixed << std::setprecision(1)
      << virtualSeconds << " virtual seconds in " << tookSeconds << " s\n";
  for (const auto& [kind, count] : struck)
    out << "  " << std::left << std::setw(kNameWidth) << kind << " struck " << count << " times\n";
  for (const auto& [rule, days] : daysBroken)
    out << "  " << std::left << std::setw(kNameWidth) << rule << " broken in " << days << " days\n";
  out << std::defaultfloat << std::setprecision(6) << std::flush;
}

}  // namespace

RunsPlayed playInVirtualTime(const RunsAsked& asked, std::ostream& out) {
  const auto began = std::chrono::steady_clock::now();
  std::vector<ProcessRunResult> results(asked.seeds);
  std::atomic<unsigned> next{0};
  std::mutex telling;
  const auto playSome = [&] {
    for (unsigned i = next++; i < asked.seeds; i = next++) {
      const std::uint64_t seed = asked.seed + i;
      const Day day = dayFor(asked, seed);
      static_cast<Played&>(results[i]) = play(day, seed);
      const std::lock_guard lock(telling);
      tellRun(day, seed, results[i], out);
    }
  };
  std::vector<std::thread> threads;
  for (unsigned job = 0; job < std::min(asked.jobs, asked.seeds); ++job) threads.emplace_back(playSome);
  for (std::thread& thread : threads) thread.join();
  const std::chrono::duration<double> took = std::chrono::steady_clock::now() - began;
  RunsPlayed all;
  for (unsigned i = 0; i < asked.seeds; ++i) {
    const std::uint64_t seed = asked.seed + i;
    const Day day = dayFor(asked, seed);
    add(all, day, seed, results[i]);
    if (asked.shrinks) tellShrunk(day, seed, results[i], out);
  }
  tellTotals(results, took.count(), out);
  return all;
}

RunsPlayed playOnProcesses(const RunsAsked& asked, std::ostream& out) {
  RunsPlayed all;
  for (unsigned i = 0; i < asked.seeds; ++i) {
    ProcessRunOptions plan = asked.processes;
    plan.seed = asked.seed + i;
    Day day = dayFor(asked, plan.seed);
    if (asked.drawn) day = restrictToProcesses(day);
    const ProcessRunResult result = runWithProcesses(day, plan);
    tellRun(day, plan.seed, result, out);
    add(all, day, plan.seed, result);
  }
  return all;
}

}  // namespace rackroute::lab::mesh
