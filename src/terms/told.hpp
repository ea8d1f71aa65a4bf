#pragma once

#include <cstdint>
#include <map>
#include <stdexcept>
#include <string>
#include <string_view>
#include <vector>

#include "rackroute/types.hpp"

namespace rackroute::told {

struct Malformed : std::runtime_error {
  using std::runtime_error::runtime_error;
};

[[noreturn]] void malformed(std::string_view what, std::string_view value);

std::int64_t micros(std::string_view millis, std::string_view what);

/// A server's service time in its load reports, which have the settings' names and units.
inline constexpr std::string_view kServiceTime = "lat_ms";

/// What a balancer is told at its start, each value by its path.
using Pairs = std::map<std::string, std::string, std::less<>>;

class Names {  // ids for names, in the order of their first mention
 public:
  std::uint32_t id(std::string_view name) {
    const auto [at, made] = ids_.emplace(std::string(name), static_cast<std::uint32_t>(ids_.size()));
    if (made) names_.push_back(at->first);
    return at->second;
  }
  [[nodiscard]] std::uint32_t known(std::string_view name, std::string_view what) const {
    const auto at = ids_.find(name);
    if (at == ids_.end()) malformed(what, name);
    return at->second;
  }
  [[nodiscard]] bool empty() const { return ids_.empty(); }
  [[nodiscard]] const std::vector<std::string>& all() const { return names_; }  // by id

 private:
  std::map<std::string, std::uint32_t, std::less<>> ids_;
  std::vector<std::string> names_;
};

/// The pairs decoded, the one place for both protocols: the terms, the names behind their ids, and what
/// only connections need.
struct Told {
  Told(std::uint64_t seed, const Pairs& pairs);

  BalancerConfig terms;
  Names zones;
  Names useCases;
  Names accounts;
  Span dialTimeout{};
  Span connectionIdle{};
};

/// The same server has the same id in every process: its name's FNV-1a hash.
ServerId serverId(std::string_view name);

}  // namespace rackroute::told
