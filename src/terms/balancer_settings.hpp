#pragma once

// Decodes a balancer's settings from key-value pairs into typed configuration.

#include <cstdint>
#include <map>
#include <stdexcept>
#include <string>
#include <string_view>
#include <vector>

#include "rackroute/types.hpp"

namespace rackroute::settings {

/// A setting or field whose text can't be parsed; what() names it and quotes the value.
struct MalformedValue : std::runtime_error {
  using std::runtime_error::runtime_error;
};

/// Throws MalformedValue.
[[noreturn]] void throwMalformed(std::string_view what, std::string_view value);

/// Parses a decimal number of milliseconds; throws MalformedValue naming `what` if it is invalid or too
/// large.
std::int64_t microsFromMillis(std::string_view millis, std::string_view what);

/// Field of a server's load report that carries its service time, in milliseconds.
inline constexpr std::string_view kServiceTimeField = "lat_ms";

/// A balancer's start-up settings: values by dotted path, such as "bounds.conn_idle_ms".
using KeyValues = std::map<std::string, std::string, std::less<>>;

/// Assigns dense ids to names in order of first use.
class NameTable {
 public:
  /// The id of the name, newly assigned if the name is not known yet.
  std::uint32_t id(std::string_view name) {
    const auto [at, inserted] = ids_.emplace(std::string(name), static_cast<std::uint32_t>(ids_.size()));
    if (inserted) names_.push_back(at->first);
    return at->second;
  }
  /// The id of a known name; throws MalformedValue naming `what` otherwise.
  [[nodiscard]] std::uint32_t idOf(std::string_view name, std::string_view what) const {
    const auto at = ids_.find(name);
    if (at == ids_.end()) throwMalformed(what, name);
    return at->second;
  }
  [[nodiscard]] bool empty() const { return ids_.empty(); }
  /// All names, indexed by id.
  [[nodiscard]] const std::vector<std::string>& all() const { return names_; }

 private:
  std::map<std::string, std::uint32_t, std::less<>> ids_;
  std::vector<std::string> names_;
};

/// The decoded settings, shared by both protocols: the balancer's configuration, the names behind its ids,
/// and connection timeouts.
struct ParsedSettings {
  ParsedSettings(std::uint64_t seed, const KeyValues& pairs);

  BalancerConfig config;
  NameTable zones;
  NameTable useCases;
  NameTable accounts;
  Span dialTimeout{};
  Span connectionIdle{};
};

/// The FNV-1a hash of the server's name, so that every process derives the same id.
ServerId serverId(std::string_view name);

}  // namespace rackroute::settings
