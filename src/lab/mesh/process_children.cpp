#include "lab/mesh/process_children.hpp"

#include <signal.h>
#include <unistd.h>

#include <algorithm>
#include <filesystem>
#include <fstream>

#include "lab/mesh/stop_log.hpp"
#include "lab/mesh/workload.hpp"

namespace rackroute::lab::mesh {
namespace {

using nlohmann::json;
namespace fs = std::filesystem;

constexpr Span kSignalHandlerDelay = std::chrono::seconds(1);  // from the start of a process
constexpr int kFirstPort = 7380;
constexpr int kLastPort = 7395;

}  // namespace

ProcessChildren::ProcessChildren(ProcessContext& context, const ProcessRunOptions& options, bool relayed)
    : context_(context),
      options_(options),
      relayed_(relayed),
      folder_((fs::temp_directory_path() / ("rackroute-mesh-" + std::to_string(::getpid()))).string()),
      children_(context.day.controls + context.day.sidecars),
      disturbedAt_(children_.places(), Span::min() / 2),
      startedAt_(children_.places()),
      stoppedAt_(children_.places(), Span::min() / 2) {
  fs::create_directories(folder_);
  for (std::uint32_t machine = 0; machine < children_.places(); ++machine) {
    std::error_code missing;
    const std::uint64_t size = fs::file_size(logFileOf(machine), missing);
    logStart_.push_back(missing ? 0 : size);
  }
}

ProcessChildren::~ProcessChildren() {
  std::error_code ignored;
  fs::remove_all(folder_, ignored);
}

json ProcessChildren::settings(std::uint32_t machine, bool firstBoot) const {
  const MachineMap& machines = context_.machines;
  json zones = json::object();
  for (std::uint32_t i = 0; i < context_.day.zones; ++i) zones["z" + std::to_string(i)] = "r";
  json seeds = json::array();
  for (std::uint32_t i = 0; i < std::min<std::uint32_t>(3, context_.day.controls); ++i)
    seeds.push_back(machines.addressOf(i, Port::control).value);
  json config{{"node_name", machines.nameOf(machine)},
              {"ip", machines.ipOf(machine)},
              {"zone", machines.zoneOf(machine)},
              {"zones", zones},
              {"listen_addrs", {{"control_addr", machines.addressOf(machine, Port::control).value}}},
              {"port_range", {kFirstPort, kLastPort}},
              {"seed_list", seeds},
              {"first_boot", firstBoot},
              {"data_dir", nullptr},
              {"limits", {{"memory_mb", 256}}},
              {"tolerance", {{"machine_losses", 1}}},
              {"bound_map",
               {{"drain", "2500ms"},
                {"grace", "6s"},
                {"apply", "2500ms"},
                {"key_window", std::to_string(static_cast<int>(context_.day.keyWindow)) + "s"},
                {"retry_ratio", kRetryRatio},
                {"retry_slack", kRetrySlack},
                {"retry_window", "10s"}}}};
  if (machines.isControl(machine)) {
    config["data_dir"] = dataFolderOf(machine);
    return config;
  }
  json& addresses = config["listen_addrs"];
  addresses["inbound"] = machines.addressOf(machine, Port::inbound).value;
  if (relayed_) addresses["inbound_bind"] = machines.addressOf(machine, Port::behindRelay).value;
  addresses["outbound"] = machines.addressOf(machine, Port::outbound).value;
  addresses["ready_addr"] = machines.addressOf(machine, Port::ready).value;
  config["target"] = serviceName(machines.serviceOf(machine));
  config["app_addr"] = machines.addressOf(machine, Port::server).value;
  return config;
}

void ProcessChildren::start(std::uint32_t machine, bool firstBoot) {
  const bool control = context_.machines.isControl(machine);
  if (control) fs::create_directories(dataFolderOf(machine));
  Children::Start childOptions;
  childOptions.program = control ? options_.control : options_.sidecar;
  childOptions.arguments = {"--log", "info"};
  if (control) {
    childOptions.arguments.insert(
        childOptions.arguments.end(),
        {"--per-zone", std::to_string(std::max(1U, context_.day.controls / context_.day.zones))});
  }
  childOptions.variable = "RACKROUTE_CONFIG";
  childOptions.settings = settings(machine, firstBoot).dump();
  childOptions.log = logFileOf(machine);
  children_.start(machine, childOptions);
  startedAt_[machine] = context_.now();
  context_.logEvent("started " + context_.machines.nameOf(machine) + " at " +
                    context_.machines.ipOf(machine) + (control ? " (control)" : " (sidecar)"));
}

void ProcessChildren::kill(std::uint32_t machine, Span until, bool wiped) {
  disturbedAt_[machine] = context_.now();
  children_.signal(machine, SIGKILL);
  context_.logEvent("killed " + context_.machines.nameOf(machine) + (wiped ? " and wiped its disk" : ""));
  std::error_code ignored;
  if (wiped) fs::remove_all(dataFolderOf(machine), ignored);
  context_.loop.at(context_.startTime + until, [this, machine] {
    if (children_.gone(machine)) start(machine, false);
  });
}

void ProcessChildren::freeze(std::uint32_t machine, Span until) {
  disturbedAt_[machine] = until;
  children_.signal(machine, SIGSTOP);
  context_.logEvent("froze " + context_.machines.nameOf(machine));
  context_.loop.at(context_.startTime + until, [this, machine] { children_.signal(machine, SIGCONT); });
}

void ProcessChildren::reload(std::uint32_t machine) {
  // SIGHUP terminates a process that has not installed its signal handlers yet.
  if (children_.gone(machine) || startedAt_[machine] + kSignalHandlerDelay > context_.now()) return;
  children_.signal(machine, SIGHUP);
  context_.logEvent("sent SIGHUP to " + context_.machines.nameOf(machine));
}

void ProcessChildren::terminate(std::uint32_t machine) {
  children_.signal(machine, SIGTERM);
  if (stoppedAt_[machine] < startedAt_[machine]) stoppedAt_[machine] = context_.now();
  context_.logEvent("sent SIGTERM to " + context_.machines.nameOf(machine));
}

std::string ProcessChildren::logFileOf(std::uint32_t machine) const {
  return (options_.logs.empty() ? folder_ : options_.logs) + '/' + context_.machines.nameOf(machine) + ".log";
}

void ProcessChildren::checkStops() const {
  for (std::uint32_t machine = 0; machine < children_.places(); ++machine) {
    if (context_.machines.isControl(machine)) continue;
    std::ifstream log(logFileOf(machine));
    log.seekg(static_cast<std::streamoff>(logStart_[machine]));
    for (const std::string& finding : findRequestsCutByStops(log, kGracePeriod))
      context_.judge.reportLoss(context_.now(), context_.machines.nameOf(machine) + ": " + finding);
  }
}

void ProcessChildren::checkExits() {
  for (const std::size_t place : children_.takeUnexpectedExits()) {
    context_.judge.reportViolation(
        context_.now(), "ENDED",
        context_.machines.nameOf(static_cast<std::uint32_t>(place)) + " exited unexpectedly");
  }
}

}  // namespace rackroute::lab::mesh
