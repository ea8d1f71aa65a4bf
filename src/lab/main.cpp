// rackroute-lab: runs scenarios, compares policies, sweeps parameters and renders reports.
// Exit status: 0 success; 1 a rule was broken or the expected figure missed; 2 invalid input; 3 no verdict,
// because the machine was too slow to generate the load.

#include <CLI/CLI.hpp>
#include <chrono>
#include <cstdio>
#include <filesystem>
#include <fstream>
#include <iostream>
#include <iterator>
#include <thread>

#include "lab/experiment.hpp"
#include "lab/fleet/drill_checker.hpp"
#include "lab/fleet/process_fleet.hpp"
#include "lab/fleet/virtual_fleet.hpp"
#include "lab/mesh/agreement_explorer.hpp"
#include "lab/mesh/claim_explorer.hpp"
#include "lab/mesh/runs.hpp"
#include "lab/mesh/voter_set_explorer.hpp"
#include "lab/report.hpp"
#include "lab/socket_run.hpp"
#include "lab/virtual_run.hpp"

namespace {

using namespace rackroute::lab;
namespace fs = std::filesystem;

constexpr int kAsExpected = 0;
constexpr int kFailed = 1;
constexpr int kBadInput = 2;
constexpr int kNoVerdict = 3;
constexpr auto kProgressInterval = std::chrono::seconds(2);

struct BadInput : std::runtime_error {
  using std::runtime_error::runtime_error;
};

/// Writes a file atomically: to a temporary file, which is then renamed.
void writeAtomically(const std::string& path, const std::string& text) {
  const std::string companion = path + ".part";
  {
    std::ofstream out(companion, std::ios::binary);
    out << text;
    out.flush();
    if (!out) {
      std::error_code ignored;
      fs::remove(companion, ignored);
      throw BadInput(path + ": cannot be written");
    }
  }
  std::error_code failed;
  fs::rename(companion, path, failed);
  if (!failed) return;
  std::error_code ignored;
  fs::remove(companion, ignored);
  throw BadInput(path + ": cannot be written: " + failed.message());
}

std::string readFile(const std::string& path) {
  std::ifstream in(path, std::ios::binary);
  std::string text{std::istreambuf_iterator<char>(in), {}};
  if (!in || fs::is_directory(path)) throw BadInput(path + ": cannot be read");
  return text;
}

/// Prints the progress of a long run to standard error at intervals.
class Progress {
 public:
  void report(double done) {
    const auto now = std::chrono::steady_clock::now();
    if (now < next_) return;
    next_ = now + kProgressInterval;
    std::fprintf(stderr, "%3.0f%%\n", 100 * done);
  }

 private:
  std::chrono::steady_clock::time_point next_ = std::chrono::steady_clock::now() + kProgressInterval;
};

std::vector<Override> parseOverrides(const std::vector<std::string>& arguments) {
  std::vector<Override> overrides;
  for (const std::string& argument : arguments) {
    const std::size_t at = argument.find('=');
    if (at == std::string::npos || at == 0) throw BadInput("--set " + argument + ": expected KEY=VALUE");
    overrides.emplace_back(argument.substr(0, at), argument.substr(at + 1));
  }
  return overrides;
}

std::vector<std::string> split(const std::string& text) {
  std::vector<std::string> parts;
  std::istringstream in(text);
  for (std::string part; std::getline(in, part, ',');) parts.push_back(part);
  return parts;
}

void printBreaches(const Result& result) {
  for (const Breach& breach : result.breachDetails) {
    std::cout << "BROKEN " << nameOf(breach.rule) << ": " << breach.subject << '\n';
    for (const std::string& line : breach.timeline) std::cout << "  " << line << '\n';
  }
  if (result.breaches > result.breachDetails.size())
    std::cout << "and " << result.breaches - result.breachDetails.size() << " more\n";
}

struct Options {
  std::string file;
  std::vector<std::string> overrides;
  std::string clock = "virtual";
  std::string policy = "module";
  std::string program;
  std::string sidecar;
  std::string control;
  std::uint64_t seed = 1;
  unsigned seeds = 5;
  unsigned jobs = std::max(1U, std::thread::hardware_concurrency());
  unsigned drills = 1;
  std::string plot;
  std::string companion;
  std::string logs;
  std::string json;
  std::string log;
  std::string over;
  std::string policies;
  std::vector<std::string> results;
  std::string html;
  std::string folder = "lab/scenarios";
  bool drawn = false;
  bool soaks = false;
  bool shrinks = false;
  bool printsEvents = false;
  unsigned voters = 3;
  unsigned depth = 11;
  unsigned wipes = 1;
  bool won = false;
  mesh::VoterSetSearch search;
  mesh::AgreementSearch orders;
};

Result runOnSockets(const Options& options, const Scenario& scenario) {
  if (options.policy != "module")
    throw BadInput("--policy " + options.policy + ": runs on sockets use the module only");
  if (!options.log.empty()) throw BadInput("--log requires the virtual clock");
  Progress progress;
  SocketPlan plan;
  plan.seed = options.seed;
  plan.program = options.program;
  if (!fs::exists(plan.program)) throw BadInput("--program " + plan.program + ": no such file");
  plan.progress = [&](double done) { progress.report(done); };
  if (!options.companion.empty()) {
    Drill drill = readDrill(options.companion);
    drill.members = scenario.balancers;
    drill.length = scenario.length;
    plan.companion = makeDrillCompanion(drill, options.seed);
  }
  return runSockets(scenario, plan);
}

Result runInVirtualTime(const Options& options, const Scenario& scenario) {
  RunPlan plan;
  plan.seed = options.seed;
  plan.policy = options.policy;
  static_cast<void>(policyOf(options.policy));
  Progress progress;
  plan.progress = [&](double done) { progress.report(done); };
  std::ostringstream log;
  if (!options.log.empty()) plan.executions = &log;
  const Result result = runVirtual(scenario, plan);
  if (!options.log.empty()) writeAtomically(options.log, log.str());
  return result;
}

int run(const Options& options) {
  if (!options.companion.empty() && options.clock != "sockets")
    throw BadInput("--fleet requires --clock sockets");
  const Scenario scenario = readScenario(options.file, parseOverrides(options.overrides));
  const Result result =
      options.clock == "sockets" ? runOnSockets(options, scenario) : runInVirtualTime(options, scenario);
  if (!options.json.empty()) writeAtomically(options.json, result.json.dump(1) + '\n');
  // A machine that could not send in time gives no verdict on the program.
  if (result.ranLate) {
    std::printf("the lab ran late, up to %.1f ms: no verdict\n",
                result.json["lab_late"]["latest_ms"].get<double>());
    return kNoVerdict;
  }
  printBreaches(result);
  if (result.json.contains("beside"))
    std::cout << "beside: " << (result.json["beside"]["kept"].get<bool>() ? "kept  " : "BROKEN  ")
              << result.json["beside"]["figures"].dump() << '\n';
  const Json& figures = result.json["figures"];
  std::printf("%s  goodput %.4f (expected %.3f)  worst 10 s %.3f  executions %llu  broken %llu\n",
              scenario.name.c_str(), result.goodput, scenario.expected.goodput,
              figures["worst_10_s"].get<double>(),
              static_cast<unsigned long long>(figures["executions"].get<std::uint64_t>()),
              static_cast<unsigned long long>(result.breaches));
  const bool companionPassed = !result.json.contains("beside") || result.json["beside"]["kept"].get<bool>();
  const bool passed = companionPassed && (result.breaches == 0 || !scenario.expected.rulesKept);
  return passed && (options.policy != "module" || result.goodput >= scenario.expected.goodput) ? kAsExpected
                                                                                               : kFailed;
}

ExperimentPlan experimentPlan(const Options& options, const std::vector<std::string>& policies,
                              Progress& progress) {
  ExperimentPlan plan;
  for (unsigned i = 0; i < options.seeds; ++i) plan.seeds.push_back(options.seed + i);
  plan.policies = options.policies.empty() ? policies : split(options.policies);
  for (const std::string& policy : plan.policies) static_cast<void>(policyOf(policy));
  plan.jobs = options.jobs;
  plan.progress = [&](std::size_t done, std::size_t all) {
    progress.report(static_cast<double>(done) / static_cast<double>(all));
  };
  return plan;
}

void printRow(const Json& one, const std::string& first) {
  std::printf("%-14s %-13s goodput %.4f +-%.4f  worst 10 s %.3f  broken %llu", first.c_str(),
              one["policy"].get<std::string>().c_str(), one["goodput"]["mean"].get<double>(),
              one["goodput"]["half"].get<double>(), one["worst_10_s"]["mean"].get<double>(),
              static_cast<unsigned long long>(one["broken"].get<std::uint64_t>()));
  if (one.contains("first_ahead"))
    std::printf("  first ahead by %.4f +-%.4f: %s", one["first_ahead"]["mean"].get<double>(),
                one["first_ahead"]["half"].get<double>(), one["verdict"].get<std::string>().c_str());
  std::printf("\n");
}

/// Only rules broken by the module count; those broken by baselines are printed.
int verdict(const Json& all) {
  for (const Json& one : all) {
    if (one["policy"] == "module" && one["broken"].get<std::uint64_t>() > 0) return kFailed;
  }
  return kAsExpected;
}

int compare(const Options& options) {
  const Scenario scenario = readScenario(options.file, parseOverrides(options.overrides));
  std::vector<std::string> policies;
  for (const PolicyKind kind : kPolicies) policies.emplace_back(nameOf(kind));
  Progress progress;
  const Json all = compareJson(scenario, experimentPlan(options, policies, progress));
  if (!options.json.empty()) writeAtomically(options.json, all.dump(1) + '\n');
  for (const Json& one : all["policies"]) printRow(one, scenario.name);
  return verdict(all["policies"]);
}

int sweep(const Options& options) {
  const std::size_t at = options.over.find('=');
  if (at == std::string::npos || at == 0 || at + 1 == options.over.size())
    throw BadInput("--over " + options.over + ": expected KEY=A,B,C");
  Progress progress;
  const Json all = sweepJson(options.file, parseOverrides(options.overrides),
                             {options.over.substr(0, at), split(options.over.substr(at + 1))},
                             experimentPlan(options, {"module"}, progress));
  if (!options.json.empty()) writeAtomically(options.json, all.dump(1) + '\n');
  for (const Json& one : all["points"]) printRow(one, one["value"].get<std::string>());
  return verdict(all["points"]);
}

int report(const Options& options) {
  std::vector<Json> results;
  for (const std::string& path : options.results) {
    try {
      results.push_back(Json::parse(readFile(path)));
    } catch (const Json::exception&) {
      throw BadInput(path + ": not valid JSON");
    }
  }
  try {
    writeAtomically(options.html, reportHtml(results));
  } catch (const Json::exception& error) {
    throw BadInput(std::string("incomplete result file: ") + error.what());
  }
  return kAsExpected;
}

/// Runs a membership drill over several seeds, in virtual time or with real processes.
int runDrill(const Options& options) {
  const Drill drill = readDrill(options.file, parseOverrides(options.overrides));
  Json runs = Json::array();
  bool passed = true;
  bool late = false;
  for (unsigned i = 0; i < options.drills; ++i) {
    Progress progress;
    const auto onProgress = [&](double done) { progress.report((i + done) / options.drills); };
    Json run = options.clock == "sockets"
                   ? runDrillProcesses(drill, {options.seed + i, options.program, options.logs, onProgress})
                   : runDrillVirtual(drill, options.seed + i, onProgress);
    for (const Json& broken : run["broken"])
      std::cout << "BROKEN " << broken["promise"].get<std::string>() << " at " << broken["second"]
                << " s: " << broken["member"].get<std::string>() << ' ' << broken["what"].get<std::string>()
                << '\n';
    passed = passed && run["kept"].get<bool>();
    late = late || run.value("late", false);
    std::cout << drill.name << "  seed " << options.seed + i << "  "
              << (run["kept"].get<bool>() ? "kept" : "BROKEN") << "  " << run["figures"].dump() << std::endl;
    if (!options.plot.empty()) writeAtomically(options.plot, renderSvg(run));
    runs.push_back(std::move(run));
  }
  if (!options.json.empty()) writeAtomically(options.json, runs.dump(1) + '\n');
  // A machine that stalled gives no verdict on the program.
  if (late && !passed) std::printf("the lab ran late: no verdict\n");
  return passed ? kAsExpected : late ? kNoVerdict : kFailed;
}

/// Runs one day of an emulated mesh over several seeds, or a randomly drawn day of the same size for each
/// seed.
int runMesh(const Options& options) {
  mesh::RunOptions runs;
  runs.size = mesh::readDay(options.file, parseOverrides(options.overrides));
  runs.seed = options.seed;
  runs.seeds = options.drills;
  runs.drawn = options.drawn;
  runs.soaks = options.soaks;
  runs.shrinks = options.shrinks;
  runs.jobs = options.jobs;
  runs.processes = {options.sidecar, options.control, options.seed, options.logs, {}};
  if (options.printsEvents)
    runs.processes.onEvent = [](const std::string& line) { std::cout << line << std::endl; };
  const bool sockets = options.clock == "sockets";
  if (!sockets && options.soaks) throw BadInput("--soak requires --clock sockets");
  if (sockets && options.shrinks)
    throw BadInput("--shrink requires virtual time: runs with processes are not repeatable");
  const mesh::RunResults played =
      sockets ? mesh::runOnProcesses(runs, std::cout) : mesh::runInVirtualTime(runs, std::cout);
  if (!options.json.empty()) writeAtomically(options.json, played.runs.dump(1) + '\n');
  return !played.passed ? kFailed : played.late ? kNoVerdict : kAsExpected;
}

/// Explores all message orders and losses for one key.
int exploreKeys(const Options& options) {
  const mesh::ClaimSearchResult found =
      mesh::explore({mesh::ClaimFlaw::none, options.voters, options.depth, options.wipes, 2, options.won});
  std::cout << found.states << " states, " << (found.trace ? "a key that runs twice:" : "no key runs twice")
            << '\n';
  if (found.trace) {
    for (const std::string& step : *found.trace) std::cout << "  " << step << '\n';
  }
  return found.trace ? kFailed : kAsExpected;
}

int printSearch(const mesh::SearchResult& found, std::chrono::duration<double> took, const char* broken) {
  std::printf("%llu states, all%s within %u steps%s, %.1f s: %s%s\n",
              static_cast<unsigned long long>(found.states), found.exhausted ? " there are," : "",
              found.depth, found.stateLimitReached ? " (stopped at the most states allowed)" : "",
              took.count(), found.trace ? "" : "never ", broken);
  if (found.trace) {
    for (const std::string& step : *found.trace) std::printf("  %s\n", step.c_str());
  }
  return found.trace ? kFailed : kAsExpected;
}

/// Explores all interleavings of claims on a key while disks are lost and the voter set changes, or of the
/// agreement on orders.
template <class Search>
int exploreStates(const Search& search, const char* broken) {
  const auto begin = std::chrono::steady_clock::now();
  const mesh::SearchResult found = mesh::explore(search);
  return printSearch(found, std::chrono::steady_clock::now() - begin, broken);
}

int check(const Options& options) {
  const Scenario scenario = readScenario(options.file, parseOverrides(options.overrides));
  std::printf("%s: %u balancers, %u servers in %u zones, %.0f queries a second for %.0f s, %zu troubles\n",
              scenario.name.c_str(), scenario.balancers, scenario.servers, scenario.zones,
              scenario.queriesPerSecond(), seconds(scenario.length), scenario.troubles.size());
  return kAsExpected;
}

int list(const Options& options) {
  std::error_code failed;
  std::vector<std::string> files;
  for (const auto& entry : fs::directory_iterator(options.folder, failed)) {
    if (entry.path().extension() == ".toml") files.push_back(entry.path().string());
  }
  if (failed) throw BadInput(options.folder + ": cannot be read");
  std::sort(files.begin(), files.end());
  for (const std::string& file : files) {
    const Scenario scenario = readScenario(file);
    std::printf("%-22s %s\n", scenario.name.c_str(), scenario.about.c_str());
  }
  return kAsExpected;
}

}  // namespace

int main(int argc, char** argv) {
  CLI::App app{"Runs failure scenarios with the module, compares it with baselines and renders reports."};
  app.require_subcommand(1);
  Options options;
  const auto scenario = [&](CLI::App* command) {
    command->add_option("FILE", options.file, "scenario file")->required();
    command->add_option("--set", options.overrides,
                        "overrides a value of the file: KEY=VALUE, such as load.share=0.8");
    return command;
  };
  const auto experiment = [&](CLI::App* command) {
    command->add_option("--seeds", options.seeds, "number of seeds, starting at --seed")
        ->check(CLI::Range(1U, 10'000U));
    command->add_option("--seed", options.seed, "first seed");
    command->add_option("--jobs", options.jobs, "concurrent runs")->check(CLI::Range(1U, 1024U));
    command->add_option("--policies", options.policies, "comma-separated list of policies");
    command->add_option("--json", options.json, "result file");
  };
  CLI::App* running = scenario(app.add_subcommand("run", "runs one scenario"));
  running->add_option("--clock", options.clock, "virtual, or sockets with real processes")
      ->check(CLI::IsMember({"virtual", "sockets"}));
  options.program = (fs::path(argv[0]).parent_path() / "rackroute").string();
  running->add_option("--program", options.program,
                      "rackroute executable for sockets; default: next to this program");
  running->add_option("--fleet", options.companion,
                      "membership drill to run along with the queries, on sockets");
  running->add_option("--policy", options.policy, "module, random, round_robin, least_of_two or all_seeing");
  running->add_option("--seed", options.seed);
  running->add_option("--json", options.json, "result file");
  running->add_option("--log", options.log, "execution log, one JSON object per line");
  CLI::App* drilling = scenario(app.add_subcommand("fleet", "runs one membership drill"));
  drilling->add_option("--clock", options.clock, "virtual, or sockets with real processes")
      ->check(CLI::IsMember({"virtual", "sockets"}));
  drilling->add_option("--program", options.program,
                       "rackroute executable for sockets; default: next to this program");
  drilling->add_option("--seed", options.seed, "first seed");
  drilling->add_option("--seeds", options.drills, "number of seeds, starting at --seed")
      ->check(CLI::Range(1U, 10'000U));
  drilling->add_option("--json", options.json, "result file");
  drilling->add_option("--logs", options.logs, "directory for the logs of the processes");
  drilling->add_option("--plot", options.plot, "SVG chart of each member's view over time");
  CLI::App* meshing = scenario(app.add_subcommand("mesh", "runs one day of an emulated mesh"));
  meshing->add_option("--seed", options.seed, "first seed");
  meshing->add_option("--seeds", options.drills, "number of seeds, starting at --seed")
      ->check(CLI::Range(1U, 100'000U));
  meshing->add_flag("--drawn", options.drawn, "random troubles for each seed instead of those of the file");
  meshing->add_flag("--soak", options.soaks, "with sockets: random series of signals, restarts and changes");
  meshing->add_flag("--shrink", options.shrinks,
                    "reduce the troubles of a failing day to a minimal set that still breaks each rule");
  meshing->add_option("--jobs", options.jobs, "concurrent days in virtual time")->check(CLI::Range(1U, 256U));
  meshing->add_option("--json", options.json, "result file");
  meshing->add_option("--clock", options.clock, "virtual, or sockets with real processes on loopback")
      ->check(CLI::IsMember({"virtual", "sockets"}));
  options.sidecar = (fs::path(argv[0]).parent_path() / "rackroute-mesh-sidecar").string();
  options.control = (fs::path(argv[0]).parent_path() / "rackroute-control").string();
  meshing->add_option("--sidecar", options.sidecar, "executable for sockets; default: next to this program");
  meshing->add_option("--control", options.control, "executable for sockets; default: next to this program");
  meshing->add_option("--logs", options.logs, "directory for the logs of the processes");
  meshing->add_flag("--tell", options.printsEvents, "with sockets: print events, one per line");
  CLI::App* exploring =
      app.add_subcommand("keys", "explores all message orders and losses for one key, up to a depth");
  exploring->add_option("--voters", options.voters)->check(CLI::Range(3U, 7U));
  exploring->add_option("--depth", options.depth)->check(CLI::Range(1U, 40U));
  exploring->add_option("--wipes", options.wipes)->check(CLI::Range(0U, 3U));
  exploring->add_flag("--won", options.won, "start from the state in which the first claimer has won");
  CLI::App* exploringSets = app.add_subcommand(
      "explore", "explores all orders of claims on one key while the voter set changes, up to a depth");
  mesh::VoterSetSearch& search = options.search;
  exploringSets->add_option("--voters", search.voters)->check(CLI::Range(3U, 7U));
  exploringSets->add_option("--standbys", search.standbys, "processes that may join")
      ->check(CLI::Range(0U, 1U));
  exploringSets->add_option("--claimers", search.claimers)->check(CLI::Range(2U, 3U));
  exploringSets->add_option("--wipes", search.wipes, "disks that may be lost")->check(CLI::Range(0U, 3U));
  exploringSets->add_option("--changes", search.changes, "changes of the voter set")
      ->check(CLI::Range(0U, 3U));
  exploringSets->add_option("--power-losses", search.powerLosses)->check(CLI::Range(0U, 3U));
  exploringSets->add_flag("--removals", search.removals, "voters may be removed");
  exploringSets->add_flag("--joins", search.joins, "standbys may join as further voters");
  exploringSets->add_flag("--rejoins", search.rejoins, "removed voters may join again");
  exploringSets->add_flag("--releases", search.releases, "claims may be released");
  exploringSets->add_flag("--silent-replaced", search.silentReplaced,
                          "a standby may replace a voter that is up");
  exploringSets->add_flag("--won", search.won, "start from the state in which the first claimer has won");
  exploringSets->add_option("--depth", search.depth, "steps")->check(CLI::Range(1U, 60U));
  exploringSets->add_option("--most-states", search.maxStates);
  CLI::App* exploringOrders = app.add_subcommand(
      "explore-orders", "explores all message orders of the agreement on orders, up to a depth");
  mesh::AgreementSearch& orders = options.orders;
  exploringOrders->add_option("--voters", orders.voters)->check(CLI::Range(3U, 5U));
  exploringOrders->add_option("--proposers", orders.proposers)->check(CLI::Range(1U, 3U));
  exploringOrders->add_option("--losses", orders.losses, "messages that may be lost")
      ->check(CLI::Range(0U, 5U));
  exploringOrders->add_option("--restarts", orders.restarts, "power losses")->check(CLI::Range(0U, 3U));
  exploringOrders->add_option("--timers", orders.timers, "timers that may fire")->check(CLI::Range(0U, 9U));
  exploringOrders->add_flag("--wipe", orders.wipe, "one voter may lose its disk and is replaced");
  exploringOrders->add_option("--depth", orders.depth, "steps")->check(CLI::Range(1U, 60U));
  exploringOrders->add_option("--most-states", orders.maxStates);
  CLI::App* comparing = scenario(app.add_subcommand("compare", "plays one scenario with all policies"));
  experiment(comparing);
  CLI::App* sweeping =
      scenario(app.add_subcommand("sweep", "runs one scenario over several values of a key"));
  sweeping->add_option("--over", options.over, "KEY=A,B,C")->required();
  experiment(sweeping);
  CLI::App* reporting = app.add_subcommand("report", "renders result files as an HTML page");
  reporting->add_option("OUT", options.results, "result files")->required();
  reporting->add_option("--html", options.html, "output file")->required();
  CLI::App* checking = scenario(app.add_subcommand("check", "validates a scenario and prints its size"));
  CLI::App* listing = app.add_subcommand("list", "lists the scenarios of a directory");
  listing->add_option("--folder", options.folder);
  try {
    app.parse(argc, argv);
    if (*running) return run(options);
    if (*drilling) return runDrill(options);
    if (*meshing) return runMesh(options);
    if (*exploring) return exploreKeys(options);
    if (*exploringSets) return exploreStates(options.search, "a key that runs twice");
    if (*exploringOrders) return exploreStates(options.orders, "an order that breaks the rules");
    if (*comparing) return compare(options);
    if (*sweeping) return sweep(options);
    if (*reporting) return report(options);
    if (*checking) return check(options);
    if (*listing) return list(options);
  } catch (const CLI::ParseError& error) {
    return app.exit(error) == 0 ? kAsExpected : kBadInput;
  } catch (const std::exception& error) {
    std::cerr << error.what() << '\n';
    return kBadInput;
  }
  return kBadInput;
}
