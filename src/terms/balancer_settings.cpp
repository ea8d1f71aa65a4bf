#include "terms/balancer_settings.hpp"

#include <charconv>
#include <cmath>
#include <initializer_list>
#include <utility>

namespace rackroute::settings {
namespace {

/// Typed access to the key-value pairs. A missing key and the value "-" count as unset.
class Reader {
 public:
  explicit Reader(const KeyValues& pairs) : pairs_(pairs) {}
  [[nodiscard]] std::string_view text(const std::string& name) const {
    const auto at = pairs_.find(name);
    return at == pairs_.end() || at->second == "-" ? std::string_view{} : at->second;
  }
  template <class Number>
  [[nodiscard]] Number value(const std::string& name, Number fallback) const {
    const std::string_view found = text(name);
    if (found.empty()) return fallback;
    Number value{};
    const auto [end, error] = std::from_chars(found.data(), found.data() + found.size(), value);
    if (error != std::errc{} || end != found.data() + found.size()) throwMalformed(name, found);
    return value;
  }
  [[nodiscard]] Span span(const std::string& name) const {
    const std::string_view found = text(name);
    return Span{found.empty() ? 0 : microsFromMillis(found, name)};
  }
  [[nodiscard]] bool flag(const std::string& name) const { return text(name) == "true" || text(name) == "1"; }
  /// The value that belongs to the text of the key; throws if the text is none of the choices.
  template <class Value>
  [[nodiscard]] Value choice(const std::string& name,
                             std::initializer_list<std::pair<std::string_view, Value>> choices) const {
    const std::string_view found = text(name);
    for (const auto& [choice, value] : choices) {
      if (choice == found) return value;
    }
    throwMalformed(name, found);
  }

 private:
  const KeyValues& pairs_;
};

}  // namespace

void throwMalformed(std::string_view what, std::string_view value) {
  throw MalformedValue(std::string(what) + ": '" + std::string(value) + "'");
}

std::int64_t microsFromMillis(std::string_view millis, std::string_view what) {
  double value{};
  const auto [end, error] = std::from_chars(millis.data(), millis.data() + millis.size(), value);
  if (error != std::errc{} || end != millis.data() + millis.size() || !(std::abs(value) < 9e12))
    throwMalformed(what, millis);
  return std::llround(value * 1000.0);
}

ServerId serverId(std::string_view name) {
  std::uint64_t hash = 14695981039346656037U;
  for (const char c : name) hash = (hash ^ static_cast<unsigned char>(c)) * 1099511628211U;
  return {hash};
}

ParsedSettings::ParsedSettings(std::uint64_t seed, const KeyValues& pairs) {
  const Reader reader(pairs);
  config.seed = seed;
  const auto count = reader.value<std::uint32_t>("use_cases.count", 0);
  for (std::uint32_t i = 0; i < count; ++i) {
    const std::string at = "use_cases." + std::to_string(i) + '.';
    useCases.id(reader.text(at + "name"));
    UseCase use;
    use.retrySafety = reader.choice<RetrySafety>(at + "effect", {{"retryable", RetrySafety::idempotent},
                                                                 {"dedup", RetrySafety::deduplicated},
                                                                 {"fragile", RetrySafety::nonIdempotent}});
    use.dedupScope = reader.choice<DedupScope>(at + "group", {{"all", DedupScope::all},
                                                              {"zone", DedupScope::zone},
                                                              {"cell", DedupScope::cell},
                                                              {"", DedupScope::cell}});
    use.dedupWindow = reader.span(at + "window_ms");
    use.importance = reader.value(at + "importance", 1.0);
    use.lateImportance = reader.value(at + "late_importance", 0.0);
    use.sloTime = reader.span(at + "slo_time_ms");
    config.useCases.push_back(use);
  }
  const auto accountCount = reader.value<std::uint32_t>("accounts.count", 0);
  for (std::uint32_t i = 0; i < accountCount; ++i) {
    const std::string at = "accounts." + std::to_string(i) + '.';
    accounts.id(reader.text(at + "name"));
    config.accountShares.push_back(reader.value(at + "portion", 0.0));
  }
  config.beyondShareImportance = reader.value("beyond_share_importance", 1.0);
  config.zone = {zones.id(reader.text("locality"))};
  config.balancerCount = reader.value<std::uint32_t>("peers_total", 1);
  config.balancerIndex = reader.value<std::uint32_t>("my_number", 0);
  config.discoveryOnRequest = reader.text("registry_mode") == "on_request";
  config.weightsFollowLoad = reader.choice<bool>(
      "weights", {{"", false}, {"none", false}, {"nominal", false}, {"rough", false}, {"live", true}});
  // With live weights a sidecar must know its zone and its index among its peers. This rejects a migrated
  // file in which these settings were left unset.
  for (const std::string name : {"locality", "peers_total", "my_number"})
    if (config.weightsFollowLoad && reader.text(name).empty())
      throwMalformed(name + " is needed with weights", "live");
  if (reader.flag("bounds.retry_after")) config.maxRetryAfter = reader.span("bounds.max_retry_after_ms");
  config.maxExecutions = reader.value<std::uint32_t>("bounds.max_executions", 1);
  config.keyAffinity = reader.flag("family_info.warm_keys");
  config.tick = reader.span("granularity_ms");
  config.drainGrace = reader.span("rules.drain_grace_ms");
  config.coldShare = reader.value("rules.cold_share", 1.0);
  config.coldTime = reader.span("rules.cold_ms");
  config.overloadMultiple = reader.value("rules.tip_multiple", 1.0);
  config.overloadWindow = reader.span("rules.overload_for_ms");
  dialTimeout = reader.span("bounds.dial_timeout_ms");
  connectionIdle = reader.span("bounds.conn_idle_ms");
}

}  // namespace rackroute::settings
