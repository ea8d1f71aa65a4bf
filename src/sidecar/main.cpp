// Entry point of the sidecar: reads the configuration, creates the components and handles signals. SIGTERM
// and SIGINT stop it, SIGHUP reloads the configuration, SIGUSR1 logs the counters.

#include <Poco/Exception.h>
#include <Poco/JSON/Array.h>
#include <Poco/JSON/Object.h>
#include <Poco/JSON/Parser.h>
#include <Poco/Net/SocketAddress.h>
#include <Poco/Net/StreamSocketImpl.h>
#include <Poco/Observer.h>
#include <sys/resource.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <charconv>
#include <csignal>
#include <cstdlib>
#include <fstream>
#include <iostream>
#include <map>
#include <optional>
#include <sstream>
#include <stdexcept>
#include <string>

#include "handover/snapshot_text.hpp"
#include "sidecar/admin_listener.hpp"
#include "sidecar/client_listener.hpp"
#include "sidecar/discovery.hpp"
#include "sidecar/dispatcher.hpp"
#include "sidecar/fleet_config.hpp"
#include "sidecar/fleet_transport.hpp"
#include "sidecar/handover.hpp"
#include "sidecar/log.hpp"
#include "sidecar/loop.hpp"
#include "sidecar/server_pool.hpp"
#include "sidecar/signals.hpp"
#include "terms/balancer_settings.hpp"

namespace rackroute::sidecar {
namespace {

using Poco::Dynamic::Var;
using Poco::JSON::Array;
using Poco::JSON::Object;

constexpr std::size_t kUnsentMemoryDivisor = 4;      // a quarter of the memory may hold unsent data
constexpr std::size_t kMinUnsentBytes = 16 * 1024;   // per connection
constexpr std::size_t kMaxUnsentBytes = 256 * 1024;  // per connection
constexpr std::size_t kAdminDescriptors = 56;        // reserved for the admin listener and the program itself
constexpr std::size_t kFleetDescriptors = 40;        // reserved for the fleet's sockets and exchanges

void flatten(const std::string& path, const Var& value, settings::KeyValues& settingPairs) {
  if (value.isEmpty()) return;
  if (value.type() == typeid(Object::Ptr)) {
    for (const auto& [name, inner] : *value.extract<Object::Ptr>())
      flatten(path.empty() ? name : path + '.' + name, inner, settingPairs);
  } else if (value.type() == typeid(Array::Ptr)) {
    const auto& list = *value.extract<Array::Ptr>();
    settingPairs[path + ".count"] = std::to_string(list.size());
    for (std::size_t i = 0; i < list.size(); ++i)
      flatten(path + '.' + std::to_string(i), list.get(static_cast<unsigned>(i)), settingPairs);
  } else {
    settingPairs[path] = value.convert<std::string>();
  }
}

Var required(const Object& document, const std::string& name) {
  const Var value = document.get(name);
  if (value.isEmpty()) throw std::runtime_error("missing configuration key: " + name);
  return value;
}

/// The validated configuration file named by LB_CONFIG, read at the start and on SIGHUP.
struct Configuration {
  std::string name;
  std::string listen;
  Poco::Net::SocketAddress discovery;
  std::uint64_t seed = 0;
  settings::KeyValues settingPairs;
  std::optional<rlim_t> descriptors;
  std::optional<std::uint64_t> memoryMegabytes;
  std::optional<Poco::Net::SocketAddress> admin;
  std::optional<FleetConfig> fleet;
  Var known;
};

Configuration readConfiguration() {
  const char* const path = std::getenv("LB_CONFIG");
  if (path == nullptr) throw std::runtime_error("LB_CONFIG is not set");
  std::ifstream file(path);
  std::ostringstream text;
  if (!file || !(text << file.rdbuf())) throw std::runtime_error(std::string("cannot read ") + path);
  const Var parsed = Poco::JSON::Parser().parse(text.str());
  if (parsed.type() != typeid(Object::Ptr))
    throw std::runtime_error("the configuration is not a JSON object");
  const auto document = parsed.extract<Object::Ptr>();

  Configuration config;
  config.name = document->optValue<std::string>("name", "-");
  config.listen = required(*document, "listen").convert<std::string>();
  numericAddress(config.listen);
  config.discovery = numericAddress(required(*document, "discovery").convert<std::string>());
  const auto seed = required(*document, "seed").convert<std::string>();
  const auto read = std::from_chars(seed.data(), seed.data() + seed.size(), config.seed, 16);
  if (read.ec != std::errc{} || read.ptr != seed.data() + seed.size()) settings::throwMalformed("seed", seed);
  flatten("", required(*document, "settings"), config.settingPairs);
  if (const auto limits = document->getObject("limits"); limits && limits->has("sockets"))
    config.descriptors = limits->getValue<std::uint32_t>("sockets");
  if (const auto limits = document->getObject("limits"); limits && limits->has("memory_mb"))
    config.memoryMegabytes = limits->getValue<std::uint32_t>("memory_mb");
  config.known = required(*document, "known");
  // The environment takes precedence: a second process shares the configuration, but not the admin address.
  auto admin = document->optValue<std::string>("admin", "");
  if (const char* const fromEnvironment = std::getenv("LB_ADMIN");
      fromEnvironment != nullptr && *fromEnvironment != '\0')
    admin = fromEnvironment;
  if (!admin.empty()) config.admin = numericAddress(admin);
  if (const Var fleet = document->get("fleet"); !fleet.isEmpty()) {
    const auto zone = config.settingPairs.find("locality");
    config.fleet = readFleetConfig(fleet, config.name, zone != config.settingPairs.end() ? zone->second : "");
  }
  return config;
}

// Applies the configured descriptor limit to the process and divides it among the components. During a
// handover each of the two processes gets half.
void limitDescriptors(const Configuration& config, ClientListener& clients, ServerPool& servers,
                      bool shared) {
  static const rlim_t initialLimit = [] {
    rlimit limit{};
    ::getrlimit(RLIMIT_NOFILE, &limit);
    return limit.rlim_cur;
  }();
  rlimit limit{};
  ::getrlimit(RLIMIT_NOFILE, &limit);
  limit.rlim_cur = std::min(initialLimit, config.descriptors.value_or(initialLimit)) / (shared ? 2 : 1);
  ::setrlimit(RLIMIT_NOFILE, &limit);
  const std::size_t descriptors = limit.rlim_cur;
  clients.limitDescriptors(descriptors);
  // Bounds the memory used by unsent data of all connections.
  if (config.memoryMegabytes) {
    const std::size_t perConnection =
        (*config.memoryMegabytes << 20) / kUnsentMemoryDivisor / std::max<std::size_t>(descriptors, 1);
    clients.limitUnsentBytes(std::clamp(perConnection, kMinUnsentBytes, kMaxUnsentBytes));
    servers.limitUnsentBytes(std::clamp(perConnection, kMinUnsentBytes, kMaxUnsentBytes));
  }
  // Executions leave some descriptors for the admin listener and the fleet.
  const std::size_t reserved =
      (config.admin ? kAdminDescriptors : 0) + (config.fleet ? kFleetDescriptors : 0);
  if (reserved > 0) servers.limitConnections(descriptors / 2 - std::min(reserved, descriptors / 4));
}

// Reloads the configuration. An invalid file changes nothing. Only the discovery address and the resource
// limits are applied; other changes are logged as needing a restart.
void reload(Configuration& current, ClientListener& clients, ServerPool& servers, Discovery& discovery,
            bool shared) {
  try {
    Configuration updated = readConfiguration();
    const settings::ParsedSettings checkedSettings(updated.seed, updated.settingPairs);
    limitDescriptors(updated, clients, servers, shared);
    discovery.moveTo(updated.discovery);
    std::string needsRestart;
    if (updated.listen != current.listen) needsRestart += ",listen";
    if (updated.admin != current.admin) needsRestart += ",admin";
    if (updated.name != current.name) needsRestart += ",name";
    if (updated.fleet != current.fleet) needsRestart += ",fleet";
    if (updated.settingPairs != current.settingPairs) needsRestart += ",settings";
    LogLine(Level::info) << "reloaded discovery=" << updated.discovery.toString()
                         << (needsRestart.empty() ? "" : " needs_restart=")
                         << needsRestart.substr(needsRestart.empty() ? 0 : 1);
    current.discovery = updated.discovery;
  } catch (const Poco::Exception& error) {
    LogLine(Level::warning) << "reload_refused what=\"" << error.displayText() << '"';
  } catch (const std::exception& error) {
    LogLine(Level::warning) << "reload_refused what=\"" << error.what() << '"';
  }
}

// Restores the old process's server list, unless the configuration has a newer one.
void restoreState(const Object& state, Dispatcher& dispatcher, settings::NameTable& zones, const Loop& loop,
                  ServerList& known, std::uint64_t& index) {
  try {
    const auto everListed = state.getArray("ever");
    for (const auto& server : *everListed)
      dispatcher.recordListed(ServerId{std::stoull(server.convert<std::string>())});
    std::uint64_t version = 0;
    ServerList list =
        readList(Poco::JSON::Parser().parse(state.getValue<std::string>("list")), zones, loop, version);
    if (version < index || list.servers.empty()) return;
    known = std::move(list);
    index = version;
  } catch (const Poco::Exception& error) {
    LogLine(Level::warning) << "no_handover what=\"" << error.displayText() << '"';
  } catch (const std::exception& error) {
    LogLine(Level::warning) << "no_handover what=\"" << error.what() << '"';
  }
}

int run() {
  if (const char* level = std::getenv("RACKROUTE_LOG"); level != nullptr && !setLevel(level))
    throw std::runtime_error("unknown level in RACKROUTE_LOG: " + std::string(level));
  Loop loop;
  Signals signals(loop);
  // Ignores SIGHUP during startup; its default action would terminate the process.
  signals.on(SIGHUP, [] {});
  Configuration config = readConfiguration();
  settings::ParsedSettings settings(config.seed, config.settingPairs);
  settings.config.discoveryOnRequest = true;  // this discovery service only answers requests

  // Handover needs an admin address, which tells the two processes apart for operators.
  const char* const folder = std::getenv("TMPDIR");
  Handover handover(loop, config.admin && folder != nullptr ? folder : "", config.listen);
  const std::optional<Inherited> inherited = handover.requestState();

  Dispatcher dispatcher(loop);
  ClientListener clients(loop, dispatcher, settings);
  ServerPool servers(loop, dispatcher, settings);
  limitDescriptors(config, clients, servers, inherited.has_value());
  std::uint64_t index = 0;
  ServerList known = readList(config.known, settings.zones, loop, index);
  if (inherited) restoreState(*inherited->state, dispatcher, settings.zones, loop, known, index);
  known.kind = ServerListKind::persisted;
  config.known.clear();
  Discovery discovery(loop, dispatcher, settings.zones, config.discovery, index);
  discovery.storeList(known);
  AdminListener admin(loop, dispatcher, settings,
                      [&](ServerId server, bool disabled, std::function<void(bool)> done) {
                        handover.setServerDisabled(server, disabled, std::move(done));
                      });
  std::optional<FleetTransport> fleet;
  if (config.fleet) {
    fleet.emplace(loop, *config.fleet, config.seed, [&](std::uint32_t members) {
      dispatcher.setBalancerCount(std::max(members, settings.config.balancerCount));
    });
    admin.showFleet(*fleet);
    handover.setFleetHooks([&] { return fleet->state(); },
                           [&](bool yielding) { fleet->setYielding(yielding); });
  }
  const auto stop = [&] {
    LogLine(Level::info) << "stopping";
    admin.setReady(false);
    if (fleet) fleet->leave();
    handover.stop();
    clients.stop([&] { loop.stop(); });
  };
  signals.on(SIGTERM, stop);
  signals.on(SIGINT, stop);
  signals.on(SIGHUP, [&] { reload(config, clients, servers, discovery, handover.isShared()); });
  signals.on(SIGUSR1, [&] {
    std::ostringstream text;
    loop.counters.print(text);
    LogLine(Level::always) << text.str();
  });
  if (config.admin) admin.listen(*config.admin);
  inherited ? clients.adopt(inherited->listener)
            : clients.listen(numericAddress(config.listen), config.admin.has_value());
  dispatcher.start(settings, clients, servers, discovery, known);
  if (inherited) {
    if (const auto snapshot = handover::parseSnapshot(inherited->state->optValue<std::string>("learned", "")))
      dispatcher.restore(*snapshot);
  }
  // An old process that hangs or has resumed may hold the fleet address; this one starts nevertheless.
  if (fleet && !inherited) config.admin ? fleet->startWhenFree() : fleet->start();
  handover.start(
      dispatcher, clients, discovery,
      [&] {
        // Both processes are the same fleet member: this one joins once the other has yielded.
        if (fleet && inherited) fleet->resume(inherited->state->optValue<std::string>("fleet", ""));
        admin.setReady(true);
      },
      [&] { limitDescriptors(config, clients, servers, handover.isShared()); });
  LogLine(Level::info) << "listening name=" << config.name << " address=" << config.listen
                       << " servers=" << known.servers.size();
  if (fleet) loop.runGuarded([] {});  // sets the poll timeout for the first timer
  loop.run();

  std::ostringstream counters;
  loop.counters.print(counters);
  LogLine(Level::info) << counters.str();
  LogLine(Level::info) << "stopped";
  return 0;
}

}  // namespace
}  // namespace rackroute::sidecar

int main() {
  try {
    return rackroute::sidecar::run();
  } catch (const Poco::Exception& error) {
    std::cerr << "rackroute: " << error.displayText() << '\n';
  } catch (const std::exception& error) {
    std::cerr << "rackroute: " << error.what() << '\n';
  }
  return 1;
}
