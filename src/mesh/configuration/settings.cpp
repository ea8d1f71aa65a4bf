#include "mesh/configuration/settings.hpp"

#include <nlohmann/json.hpp>
#include <utility>

#include "mesh/configuration/duration_text.hpp"
#include "mesh/configuration/schema.hpp"

namespace rackroute::mesh {
namespace {

using nlohmann::json;
using namespace std::chrono_literals;

// Defaults for bounds that the settings file leaves out.
constexpr Span kDefaultDrain = 2500ms;
constexpr Span kDefaultGrace = 6s;
constexpr Span kDefaultKeyWindow = 60s;
constexpr Span kDefaultRetryWindow = 10s;
constexpr double kDefaultRetryRatio = 0.1;
constexpr double kDefaultRetrySlack = 10;

std::string textOf(const json& from, const char* name) {
  const auto field = from.find(name);
  return field != from.end() && field->is_string() ? field->get<std::string>() : std::string();
}

}  // namespace

Result<Settings> readSettings(std::string_view text) {
  if (auto valid = validateJson(Schema::settings, text); !valid) return std::move(valid).error();
  const json all = json::parse(text);
  Settings settings;
  settings.node = {all["node_name"].get<std::string>()};
  settings.ip = all["ip"].get<std::string>();
  settings.zone = all["zone"].get<std::string>();
  settings.zones = all["zones"].size();
  for (const json& seed : all["seed_list"]) settings.seeds.push_back({seed.get<std::string>()});
  const json& addresses = all["listen_addrs"];
  settings.inbound = {textOf(addresses, "inbound")};
  // Behind a relay or a mapped port the advertised address differs from the one to bind.
  settings.inboundBind = {textOf(addresses, "inbound_bind")};
  if (settings.inboundBind.value.empty()) settings.inboundBind = settings.inbound;
  settings.outbound = {textOf(addresses, "outbound")};
  settings.ready = {textOf(addresses, "ready_addr")};
  settings.control = {textOf(addresses, "control_addr")};
  settings.firstPort = all["port_range"][0].get<std::uint16_t>();
  settings.lastPort = all["port_range"][1].get<std::uint16_t>();
  if (settings.lastPort < settings.firstPort)
    return failure("settings", "the end of port_range is below its start");
  settings.firstBoot = all.value("first_boot", false);
  settings.dataFolder = textOf(all, "data_dir");
  if (const auto limits = all.find("limits"); limits != all.end()) {
    settings.memoryMb = limits->value("memory_mb", std::uint64_t{0});
    settings.descriptors = limits->value("max_fds", std::uint64_t{0});
  }
  settings.target = {textOf(all, "target")};
  settings.server = {textOf(all, "app_addr")};
  if (const auto tolerance = all.find("tolerance"); tolerance != all.end())
    settings.toleratedMachineLosses = tolerance->value("machine_losses", 0U);
  const json& bounds = all["bound_map"];
  std::string invalid;
  const auto span = [&](const char* name, Span fallback) {
    const auto found = bounds.find(name);
    if (found == bounds.end()) return fallback;
    const auto read = found->is_string() ? parseDuration(found->get<std::string>()) : std::nullopt;
    if (!read) invalid = name;
    return read.value_or(fallback);
  };
  const auto number = [&](const char* name, double fallback) {
    const auto found = bounds.find(name);
    if (found == bounds.end()) return fallback;
    if (!found->is_number()) invalid = name;
    return found->is_number() ? found->get<double>() : fallback;
  };
  settings.drain = span("drain", kDefaultDrain);
  settings.grace = span("grace", kDefaultGrace);
  settings.keyWindow = span("key_window", kDefaultKeyWindow);
  settings.retryWindow = span("retry_window", kDefaultRetryWindow);
  settings.retryRatio = number("retry_ratio", kDefaultRetryRatio);
  settings.retrySlack = number("retry_slack", kDefaultRetrySlack);
  if (!invalid.empty()) return failure("settings", "bound_map." + invalid + " has an invalid value");
  return settings;
}

}  // namespace rackroute::mesh
