// The data-plane program: command line and settings.

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

// This fraction (1/n) of the memory may hold responses for repeated requests.
constexpr std::size_t kKeptResponsesShare = 8;
constexpr std::size_t kMinMemoryMb = 64;  // lower limit for the memory setting

Sidecar::Config makeConfig(const Settings& settings) {
  const auto wall = std::chrono::system_clock::now().time_since_epoch();
  const LifeNo life{static_cast<std::uint64_t>(std::chrono::duration_cast<Span>(wall).count())};
  Sidecar::Config config;
  config.router.node = settings.node;
  config.router.zone = settings.zone;
  config.router.service = settings.target;
  config.router.allowance = {settings.retryRatio, settings.retrySlack, settings.retryWindow};
  config.router.seed = life.value ^ std::hash<std::string>{}(settings.node.value);
  config.admission.node = settings.node;
  config.admission.at = settings.inbound;
  config.admission.zone = settings.zone;
  config.admission.life = life;
  config.admission.service = settings.target;
  config.admission.server = settings.server;
  config.admission.drain = settings.drain;
  config.admission.keyWindow = settings.keyWindow;
  config.admission.maxCachedBytes = (std::max(settings.memoryMb, kMinMemoryMb) << 20) / kKeptResponsesShare;
  config.controlClient.node = settings.node;
  config.controlClient.at = settings.inbound;
  config.controlClient.zone = settings.zone;
  config.controlClient.life = life;
  for (const Address& seed : settings.seeds)
    config.controlClient.seeds.push_back(meshAddress(seed, settings.firstPort));
  return config;
}

int run(int argc, char** argv) {
  CLI::App app("Data plane of a rackroute mesh: forwards the requests of one machine.",
               "rackroute-mesh-sidecar");
  std::string file;
  std::string level = "warning";
  app.add_option("--settings", file, "Settings file; default: the file named by RACKROUTE_CONFIG");
  app.add_option("--log", level, "Minimum log level")->check(CLI::IsMember({"info", "warning", "error"}));
  app.set_version_flag("--version", kVersionText);
  CLI11_PARSE(app, argc, argv);
  openLog("sidecar", level);
  const std::string path = settingsPath(file);
  auto read = readSettingsFile(path);
  if (!read) throw std::runtime_error(read.error().line());
  const Settings settings = std::move(read).value();
  for (const auto& [name, at] :
       {std::pair("inbound", settings.inbound), std::pair("outbound", settings.outbound)}) {
    if (at.value.empty())
      throw std::runtime_error("settings (" + path + "): listen_addrs." + name + " is not set");
  }
  limitDescriptors(settings);
  return runSidecar(settings, makeConfig(settings), path);
}

}  // namespace
}  // namespace rackroute::mesh

int main(int argc, char** argv) {
  return rackroute::mesh::guardedMain("rackroute-mesh-sidecar",
                                      [&] { return rackroute::mesh::run(argc, argv); });
}
