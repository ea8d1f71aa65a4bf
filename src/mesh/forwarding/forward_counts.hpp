#pragma once

// Counts forwards by how they ended, for the log: what other processes were told here, and what they told. It
// decides nothing.

#include <array>
#include <cstdint>
#include <nlohmann/json.hpp>
#include <string>

#include "mesh/forwarding/forwarding.hpp"

namespace rackroute::mesh {

class ForwardCounts {
 public:
  void count(Verdict verdict) { ++counts_[static_cast<std::size_t>(verdict)]; }
  /// The counts since the last call, by verdict, without those that are 0; null: all are.
  nlohmann::json take() {
    nlohmann::json taken;
    for (std::size_t i = 0; i < counts_.size(); ++i) {
      if (counts_[i] > 0) taken[std::string(nameOf(static_cast<Verdict>(i)))] = counts_[i];
    }
    counts_ = {};
    return taken;
  }

 private:
  std::array<std::uint64_t, kVerdicts> counts_{};
};

}  // namespace rackroute::mesh
