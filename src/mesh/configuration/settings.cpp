#include "mesh/configuration/settings.hpp"

#include <nlohmann/json.hpp>
#include <utility>

#include "mesh/configuration/duration_text.hpp"
#include "mesh/configuration/schema.hpp"

namespace rackroute::mesh {
namespace {

using nlohmann::json;
using namespace std::chrono_literals;

// Where a bound is not in force the file leaves it out; these keep the parts that ask for it at work.
constexpr Span kDrainUntold = 2500ms;
constexpr Span kGraceUntold = 6s;
constexpr Span kKeyWindowUntold = 60s;
constexpr Span kRetryWindowUntold = 10s;
constexpr double kRetryRatioUntold = 0.1;
constexpr double kRetrySlackUntold = 10;

std::string textOf(const json& from, const char* name) {
  const auto found = from.find(name);
  return found != from.end() && found->is_string() ? found->get<std::string>() : std::string();
}

}  // namespace

Result<Settings> readSettings(std::string_view text) {
  if (auto shape = checkShape(Shape::settings, text); !shape) return std::move(shape).error();
  const json all = json::parse(text);
  Settings settings;
  settings.node = {all["node_name"].get<std::string>()};
  settings.ip = all["ip"].get<std::string>();
  settings.zone = all["zone"].get<std::string>();
  settings.zones = all["zones"].size();
  for (const json& seed : all["seed_list"]) settings.seeds.push_back({seed.get<std::string>()});
  const json& addresses = all["listen_addrs"];
  settings.inbound = {textOf(addresses, "inbound")};
  // Behind a relay or a mapped port the address that others reach is not the one to listen at.
  settings.inboundBind = {textOf(addresses, "inbound_bind")};
  if (settings.inboundBind.value.empty()) settings.inboundBind = settings.inbound;
  settings.outbound = {textOf(addresses, "outbound")};
  settings.ready = {textOf(addresses, "ready_addr")};
  settings.control = {textOf(addresses, "control_addr")};
  settings.firstPort = all["port_range"][0].get<std::uint16_t>();
  settings.lastPort = all["port_range"][1].get<std::uint16_t>();
  if (settings.lastPort < settings.firstPort) return failure("settings", "port_range ends before it begins");
  settings.firstBoot = all.value("first_boot", false);
  settings.dataFolder = textOf(all, "data_dir");
  if (const auto limits = all.find("limits"); limits != all.end()) {
    settings.memoryMb = limits->value("memory_mb", std::uint64_t{0});
    settings.descriptors = limits->value("max_fds", std::uint64_t{0});
  }
  settings.target = {textOf(all, "target")};
  settings.server = {textOf(all, "app_addr")};
  if (const auto borne = all.find("tolerance"); borne != all.end())
    settings.bearableLosses = borne->value("machine_losses", 0U);
  const json& bounds = all["bound_map"];
  std::string wrong;
  const auto span = [&](const char* name, Span untold) {
    const auto found = bounds.find(name);
    if (found == bounds.end()) return untold;
    const auto read = found->is_string() ? readSpan(found->get<std::string>()) : std::nullopt;
    if (!read) wrong = name;
    return read.value_or(untold);
  };
  const auto number = [&](const char* name, double untold) {
    const auto found = bounds.find(name);
    if (found == bounds.end()) return untold;
    if (!found->is_number()) wrong = name;
    return found->is_number() ? found->get<double>() : untold;
  };
  settings.drain = span("drain", kDrainUntold);
  settings.grace = span("grace", kGraceUntold);
  settings.keyWindow = span("key_window", kKeyWindowUntold);
  settings.retryWindow = span("retry_window", kRetryWindowUntold);
  settings.retryRatio = number("retry_ratio", kRetryRatioUntold);
  settings.retrySlack = number("retry_slack", kRetrySlackUntold);
  if (!wrong.empty()) return failure("settings", "bound_map." + wrong + " can't be read");
  return settings;
}

}  // namespace rackroute::mesh
