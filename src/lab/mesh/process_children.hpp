#pragma once

// The mesh programs as child processes: generates their settings, starts them, and sends the signals that
// terminate, freeze or reload them.

#include <cstdint>
#include <nlohmann/json.hpp>
#include <string>

#include "lab/children.hpp"
#include "lab/mesh/process_context.hpp"
#include "lab/mesh/processes.hpp"

namespace rackroute::lab::mesh {

class ProcessChildren {
 public:
  /// relayed: each sidecar's inbound listener is behind a ForwardRelay.
  ProcessChildren(ProcessContext& context, const ProcessRunOptions& options, bool relayed);
  ProcessChildren(const ProcessChildren&) = delete;
  ProcessChildren& operator=(const ProcessChildren&) = delete;
  ~ProcessChildren();

  void start(std::uint32_t machine, bool firstBoot);
  /// Sends SIGKILL and restarts the process at `until`, unless it has been started again before.
  void kill(std::uint32_t machine, Span until, bool wiped);
  void freeze(std::uint32_t machine, Span until);
  void terminate(std::uint32_t machine);
  void reload(std::uint32_t machine);
  /// When the process was last killed, or the end of its last freeze.
  [[nodiscard]] Span disturbedAt(std::uint32_t machine) const { return disturbedAt_[machine]; }
  /// When a process on the machine last got its first stop signal.
  [[nodiscard]] Span stoppedAt(std::uint32_t machine) const { return stoppedAt_[machine]; }
  [[nodiscard]] bool hasExited(std::uint32_t machine) { return children_.gone(machine); }
  [[nodiscard]] pid_t idAt(std::uint32_t machine) const { return children_.idAt(machine); }
  /// Reports processes that exited without a signal from the lab.
  void checkExits();
  /// Reports requests that the exits of sidecars cut off, according to their logs.
  void checkStops() const;

 private:
  [[nodiscard]] nlohmann::json settings(std::uint32_t machine, bool firstBoot) const;
  [[nodiscard]] std::string dataFolderOf(std::uint32_t machine) const {
    return folder_ + '/' + context_.machines.nameOf(machine);
  }
  [[nodiscard]] std::string logFileOf(std::uint32_t machine) const;

  ProcessContext& context_;
  const ProcessRunOptions& options_;
  bool relayed_;
  std::string folder_;
  Children children_;
  std::vector<Span> disturbedAt_;
  std::vector<Span> startedAt_;
  std::vector<Span> stoppedAt_;
  std::vector<std::uint64_t> logStart_;  // sizes of the log files when this run began
};

}  // namespace rackroute::lab::mesh
