#include "lab/mesh/process_children.hpp"

#include <signal.h>
#include <unistd.h>

#include <algorithm>
#include <filesystem>

namespace rackroute::lab::mesh {
namespace {

using nlohmann::json;
namespace fs = std::filesystem;

constexpr Span kHandlersSet = std::chrono::seconds(1);
constexpr int kFirstPort = 7380;
constexpr int kLastPort = 7395;

}  // namespace

ProcessChildren::ProcessChildren(ProcessContext& context, const ProcessPlan& plan, bool relayed)
    : context_(context),
      plan_(plan),
      relayed_(relayed),
      folder_((fs::temp_directory_path() / ("rackroute-mesh-" + std::to_string(::getpid()))).string()),
      children_(context.day.controls + context.day.sidecars),
      disturbedAt_(children_.places(), Span::min() / 2),
      startedAt_(children_.places()) {}

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
    seeds.push_back(machines.at(i, Port::control).value);
  json told{{"node_name", machines.nameOf(machine)},
            {"ip", machines.ipOf(machine)},
            {"zone", machines.zoneOf(machine)},
            {"zones", zones},
            {"listen_addrs", {{"control_addr", machines.at(machine, Port::control).value}}},
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
    told["data_dir"] = dataOf(machine);
    return told;
  }
  json& addresses = told["listen_addrs"];
  addresses["inbound"] = machines.at(machine, Port::inbound).value;
  if (relayed_) addresses["inbound_bind"] = machines.at(machine, Port::behindRelay).value;
  addresses["outbound"] = machines.at(machine, Port::outbound).value;
  addresses["ready_addr"] = machines.at(machine, Port::ready).value;
  told["target"] = serviceName(machines.serviceOf(machine));
  told["app_addr"] = machines.at(machine, Port::server).value;
  return told;
}

void ProcessChildren::start(std::uint32_t machine, bool firstBoot) {
  const bool control = context_.machines.isControl(machine);
  if (control) fs::create_directories(dataOf(machine));
  Children::Start how;
  how.program = control ? plan_.control : plan_.sidecar;
  how.arguments = {"--log", "info"};
  if (control) {
    how.arguments.insert(
        how.arguments.end(),
        {"--per-zone", std::to_string(std::max(1U, context_.day.controls / context_.day.zones))});
  }
  how.variable = "RACKROUTE_CONFIG";
  how.settings = settings(machine, firstBoot).dump();
  if (!plan_.logs.empty()) how.log = plan_.logs + '/' + context_.machines.nameOf(machine) + ".log";
  children_.start(machine, how);
  startedAt_[machine] = context_.now();
  context_.tell("started " + context_.machines.nameOf(machine) + " at " + context_.machines.ipOf(machine) +
                (control ? ", a control" : ", a sidecar"));
}

void ProcessChildren::kill(std::uint32_t machine, Span until, bool wiped) {
  disturbedAt_[machine] = context_.now();
  children_.signal(machine, SIGKILL);
  context_.tell("killed " + context_.machines.nameOf(machine) + (wiped ? ", and its disk is lost" : ""));
  std::error_code ignored;
  if (wiped) fs::remove_all(dataOf(machine), ignored);
  context_.loop.at(context_.zero + until, [this, machine] {
    if (children_.gone(machine)) start(machine, false);
  });
}

void ProcessChildren::freeze(std::uint32_t machine, Span until) {
  disturbedAt_[machine] = until;
  children_.signal(machine, SIGSTOP);
  context_.tell("froze " + context_.machines.nameOf(machine));
  context_.loop.at(context_.zero + until, [this, machine] { children_.signal(machine, SIGCONT); });
}

void ProcessChildren::hangUp(std::uint32_t machine) {
  // A process that has only just begun has no handler yet, and SIGHUP ends it.
  if (children_.gone(machine) || startedAt_[machine] + kHandlersSet > context_.now()) return;
  children_.signal(machine, SIGHUP);
  context_.tell("told " + context_.machines.nameOf(machine) + " to read its settings again");
}

void ProcessChildren::term(std::uint32_t machine) {
  children_.signal(machine, SIGTERM);
  context_.tell("told " + context_.machines.nameOf(machine) + " to end");
}

void ProcessChildren::look() {
  for (const std::size_t place : children_.takeUnexpectedExits()) {
    context_.judge.failed(context_.now(), "ENDED",
                          context_.machines.nameOf(static_cast<std::uint32_t>(place)) + " ended by itself");
  }
}

}  // namespace rackroute::lab::mesh
