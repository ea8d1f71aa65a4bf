#include "terms/told.hpp"

#include <charconv>
#include <cmath>
#include <initializer_list>
#include <utility>

namespace rackroute::told {
namespace {

class Reader {
 public:
  explicit Reader(const Pairs& pairs) : pairs_(pairs) {}
  [[nodiscard]] std::string_view text(const std::string& name) const {
    const auto at = pairs_.find(name);
    return at == pairs_.end() || at->second == "-" ? std::string_view{} : at->second;
  }
  template <class Number>
  [[nodiscard]] Number value(const std::string& name, Number otherwise) const {
    const std::string_view found = text(name);
    if (found.empty()) return otherwise;
    Number value{};
    const auto [end, error] = std::from_chars(found.data(), found.data() + found.size(), value);
    if (error != std::errc{} || end != found.data() + found.size()) malformed(name, found);
    return value;
  }
  [[nodiscard]] Span span(const std::string& name) const {
    const std::string_view found = text(name);
    return Span{found.empty() ? 0 : micros(found, name)};
  }
  [[nodiscard]] bool yes(const std::string& name) const { return text(name) == "true" || text(name) == "1"; }
  template <class Value>
  [[nodiscard]] Value word(const std::string& name,
                           std::initializer_list<std::pair<std::string_view, Value>> words) const {
    const std::string_view found = text(name);
    for (const auto& [word, value] : words) {
      if (word == found) return value;
    }
    malformed(name, found);
  }

 private:
  const Pairs& pairs_;
};

}  // namespace

void malformed(std::string_view what, std::string_view value) {
  throw Malformed(std::string(what) + ": '" + std::string(value) + "'");
}

std::int64_t micros(std::string_view millis, std::string_view what) {
  double value{};
  const auto [end, error] = std::from_chars(millis.data(), millis.data() + millis.size(), value);
  if (error != std::errc{} || end != millis.data() + millis.size() || !(std::abs(value) < 9e12))
    malformed(what, millis);
  return std::llround(value * 1000.0);
}

ServerId serverId(std::string_view name) {
  std::uint64_t hash = 14695981039346656037U;
  for (const char c : name) hash = (hash ^ static_cast<unsigned char>(c)) * 1099511628211U;
  return {hash};
}

Told::Told(std::uint64_t seed, const Pairs& pairs) {
  const Reader reader(pairs);
  terms.seed = seed;
  const auto count = reader.value<std::uint32_t>("use_cases.count", 0);
  for (std::uint32_t i = 0; i < count; ++i) {
    const std::string at = "use_cases." + std::to_string(i) + '.';
    useCases.id(reader.text(at + "name"));
    UseCase use;
    use.retrySafety = reader.word<RetrySafety>(at + "effect", {{"retryable", RetrySafety::idempotent},
                                                               {"dedup", RetrySafety::deduplicated},
                                                               {"fragile", RetrySafety::nonIdempotent}});
    use.dedupScope = reader.word<DedupScope>(at + "group", {{"all", DedupScope::all},
                                                            {"zone", DedupScope::zone},
                                                            {"cell", DedupScope::cell},
                                                            {"", DedupScope::cell}});
    use.dedupWindow = reader.span(at + "window_ms");
    use.importance = reader.value(at + "importance", 1.0);
    use.lateImportance = reader.value(at + "late_importance", 0.0);
    use.sloTime = reader.span(at + "slo_time_ms");
    terms.useCases.push_back(use);
  }
  const auto accountCount = reader.value<std::uint32_t>("accounts.count", 0);
  for (std::uint32_t i = 0; i < accountCount; ++i) {
    const std::string at = "accounts." + std::to_string(i) + '.';
    accounts.id(reader.text(at + "name"));
    terms.accountShares.push_back(reader.value(at + "portion", 0.0));
  }
  terms.beyondShareImportance = reader.value("beyond_share_importance", 1.0);
  terms.zone = {zones.id(reader.text("locality"))};
  terms.balancerCount = reader.value<std::uint32_t>("peers_total", 1);
  terms.balancerIndex = reader.value<std::uint32_t>("my_number", 0);
  terms.discoveryOnRequest = reader.text("registry_mode") == "on_request";
  terms.weightsFollowLoad = reader.word<bool>(
      "weights", {{"", false}, {"none", false}, {"nominal", false}, {"rough", false}, {"live", true}});
  // Guards against a moved file whose gaps were left open: a pool's sidecar must know its place in it.
  for (const std::string name : {"locality", "peers_total", "my_number"})
    if (terms.weightsFollowLoad && reader.text(name).empty())
      malformed(name + " is needed with weights", "live");
  if (reader.yes("bounds.retry_after")) terms.maxRetryAfter = reader.span("bounds.max_retry_after_ms");
  terms.maxExecutions = reader.value<std::uint32_t>("bounds.max_executions", 1);
  terms.keyAffinity = reader.yes("family_info.warm_keys");
  terms.tick = reader.span("granularity_ms");
  terms.drainGrace = reader.span("rules.drain_grace_ms");
  terms.coldShare = reader.value("rules.cold_share", 1.0);
  terms.coldTime = reader.span("rules.cold_ms");
  terms.overloadMultiple = reader.value("rules.tip_multiple", 1.0);
  terms.overloadWindow = reader.span("rules.overload_for_ms");
  dialTimeout = reader.span("bounds.dial_timeout_ms");
  connectionIdle = reader.span("bounds.conn_idle_ms");
}

}  // namespace rackroute::told
