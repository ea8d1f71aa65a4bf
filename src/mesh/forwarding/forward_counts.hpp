#pragma once

// Counts forwards by verdict, for periodic log lines.

#include <array>
#include <cstdint>
#include <nlohmann/json.hpp>
#include <string>

#include "mesh/forwarding/forwarding.hpp"

namespace rackroute::mesh {

class ForwardCounts {
 public:
  void count(Verdict verdict) { ++counts_[static_cast<std::size_t>(verdict)]; }
  /// Returns the nonzero counts by verdict since the last call, or null if there are none, and resets them.
  nlohmann::json take() {
    nlohmann::json taken;
    for (std::size_t i = 0; i < counts_.size(); ++i) {
      if (counts_[i] > 0) taken[std::string(nameOf(static_cast<Verdict>(i)))] = counts_[i];
    }
    counts_ = {};
    return taken;
  }

 private:
  std::array<std::uint64_t, kVerdictCount> counts_{};
};

}  // namespace rackroute::mesh
