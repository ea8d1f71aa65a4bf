#pragma once

// The mesh's own programs as real processes: their settings, their starts, and the signals that end or freeze
// them.

#include <cstdint>
#include <nlohmann/json.hpp>
#include <string>

#include "lab/children.hpp"
#include "lab/mesh/process_context.hpp"
#include "lab/mesh/processes.hpp"

namespace rackroute::lab::mesh {

class ProcessChildren {
 public:
  /// relayed: a relay stands at each sidecar's inbound.
  ProcessChildren(ProcessContext& context, const ProcessPlan& plan, bool relayed);
  ProcessChildren(const ProcessChildren&) = delete;
  ProcessChildren& operator=(const ProcessChildren&) = delete;
  ~ProcessChildren();

  void start(std::uint32_t machine, bool firstBoot);
  /// SIGKILL; it starts again then, if nobody else has started it.
  void kill(std::uint32_t machine, Span until, bool wiped);
  void freeze(std::uint32_t machine, Span until);
  void term(std::uint32_t machine);
  void hangUp(std::uint32_t machine);
  /// When it was last killed, frozen or started; what it holds may have been cut by that.
  [[nodiscard]] Span disturbedAt(std::uint32_t machine) const { return disturbedAt_[machine]; }
  [[nodiscard]] bool gone(std::uint32_t machine) { return children_.gone(machine); }
  [[nodiscard]] pid_t idAt(std::uint32_t machine) const { return children_.idAt(machine); }
  /// Judges those that ended though nobody told them to.
  void look();

 private:
  [[nodiscard]] nlohmann::json settings(std::uint32_t machine, bool firstBoot) const;
  [[nodiscard]] std::string dataOf(std::uint32_t machine) const {
    return folder_ + '/' + context_.machines.nameOf(machine);
  }

  ProcessContext& context_;
  const ProcessPlan& plan_;
  bool relayed_;
  std::string folder_;
  Children children_;
  std::vector<Span> disturbedAt_;
  std::vector<Span> startedAt_;
};

}  // namespace rackroute::lab::mesh
