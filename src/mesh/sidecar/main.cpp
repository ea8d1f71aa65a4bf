// The command line and the settings of the data plane's program.

#include <CLI/CLI.hpp>
#include <algorithm>
#include <chrono>
#include <functional>
#include <stdexcept>
#include <string>
#include <utility>

#include "mesh/configuration/settings.hpp"
#include "mesh/sidecar/sidecar_program.hpp"
#include "mesh/transport/log.hpp"
#include "mesh/transport/process_start.hpp"

namespace rackroute::mesh {
namespace {

// One part in so many of the memory is for answers that repeats may want.
constexpr std::size_t kKeptPart = 8;
constexpr std::size_t kLeastMemoryMb = 64;  // that is reckoned with, whatever the settings tell

Sidecar::Built builtFrom(const Settings& settings) {
  const auto wall = std::chrono::system_clock::now().time_since_epoch();
  const LifeNo life{static_cast<std::uint64_t>(std::chrono::duration_cast<Span>(wall).count())};
  Sidecar::Built built;
  built.router.node = settings.node;
  built.router.zone = settings.zone;
  built.router.service = settings.target;
  built.router.allowance = {settings.retryRatio, settings.retrySlack, settings.retryWindow};
  built.router.seed = life.value ^ std::hash<std::string>{}(settings.node.value);
  built.admission.node = settings.node;
  built.admission.at = settings.inbound;
  built.admission.zone = settings.zone;
  built.admission.life = life;
  built.admission.service = settings.target;
  built.admission.server = settings.server;
  built.admission.drain = settings.drain;
  built.admission.keyWindow = settings.keyWindow;
  built.admission.maxCachedBytes = (std::max(settings.memoryMb, kLeastMemoryMb) << 20) / kKeptPart;
  built.controlClient.node = settings.node;
  built.controlClient.at = settings.inbound;
  built.controlClient.zone = settings.zone;
  built.controlClient.life = life;
  for (const Address& seed : settings.seeds)
    built.controlClient.seeds.push_back(meshAddress(seed, settings.firstPort));
  return built;
}

int run(int count, char** words) {
  CLI::App app("The data plane of a rackroute mesh: carries the requests of one machine.",
               "rackroute-mesh-sidecar");
  std::string file;
  std::string level = "warning";
  app.add_option("--settings", file, "The settings file; otherwise the one that RACKROUTE_CONFIG names");
  app.add_option("--log", level, "The least that is logged")
      ->check(CLI::IsMember({"info", "warning", "error"}));
  app.set_version_flag("--version", kVersionText);
  CLI11_PARSE(app, count, words);
  openLog("sidecar", level);
  const std::string path = settingsPath(file);
  auto read = readSettingsFile(path);
  if (!read) throw std::runtime_error(read.error().line());
  const Settings settings = std::move(read).value();
  for (const auto& [name, at] :
       {std::pair("inbound", settings.inbound), std::pair("outbound", settings.outbound)}) {
    if (at.value.empty())
      throw std::runtime_error("settings (" + path + "): listen_addrs." + name + " is missing");
  }
  limitDescriptors(settings);
  return runSidecar(settings, builtFrom(settings), path);
}

}  // namespace
}  // namespace rackroute::mesh

int main(int count, char** words) {
  return rackroute::mesh::guardedMain("rackroute-mesh-sidecar",
                                      [&] { return rackroute::mesh::run(count, words); });
}
