#include "mesh/plan/job_sheet.hpp"

#include <nlohmann/json.hpp>
#include <utility>

#include "mesh/plan/gauge.hpp"
#include "mesh/plan/span_text.hpp"

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

Result<JobSheet> readJobSheet(std::string_view text) {
  if (auto shape = checkShape(Shape::settings, text); !shape) return std::move(shape).error();
  const json all = json::parse(text);
  JobSheet sheet;
  sheet.node = {all["node_name"].get<std::string>()};
  sheet.ip = all["ip"].get<std::string>();
  sheet.zone = all["zone"].get<std::string>();
  sheet.zones = all["zones"].size();
  for (const json& seed : all["seed_list"]) sheet.seeds.push_back({seed.get<std::string>()});
  const json& addresses = all["listen_addrs"];
  sheet.inbound = {textOf(addresses, "inbound")};
  sheet.outbound = {textOf(addresses, "outbound")};
  sheet.ready = {textOf(addresses, "ready_addr")};
  sheet.control = {textOf(addresses, "control_addr")};
  sheet.firstPort = all["port_range"][0].get<std::uint16_t>();
  sheet.lastPort = all["port_range"][1].get<std::uint16_t>();
  if (sheet.lastPort < sheet.firstPort) return mishap("settings", "port_range ends before it begins");
  sheet.firstBoot = all.value("first_boot", false);
  sheet.dataFolder = textOf(all, "data_dir");
  if (const auto limits = all.find("limits"); limits != all.end()) {
    sheet.memoryMb = limits->value("memory_mb", std::uint64_t{0});
    sheet.descriptors = limits->value("max_fds", std::uint64_t{0});
  }
  sheet.target = {textOf(all, "target")};
  sheet.server = {textOf(all, "app_addr")};
  if (const auto borne = all.find("tolerance"); borne != all.end())
    sheet.bearableLosses = borne->value("machine_losses", 0U);
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
  sheet.drain = span("drain", kDrainUntold);
  sheet.grace = span("grace", kGraceUntold);
  sheet.keyWindow = span("key_window", kKeyWindowUntold);
  sheet.retryWindow = span("retry_window", kRetryWindowUntold);
  sheet.retryRatio = number("retry_ratio", kRetryRatioUntold);
  sheet.retrySlack = number("retry_slack", kRetrySlackUntold);
  if (!wrong.empty()) return mishap("settings", "bound_map." + wrong + " can't be read");
  return sheet;
}

}  // namespace rackroute::mesh
