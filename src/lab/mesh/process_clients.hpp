#pragma once

// The clients of a mesh of real processes: requests as they arrive, tries again after failures, and repeats
// of good answers. Every byte of an answer is compared with the run that it must be of.

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>

#include "lab/mesh/process_context.hpp"
#include "lab/mesh/process_servers.hpp"
#include "lab/random.hpp"

namespace rackroute::lab::mesh {

class ProcessClients {
 public:
  /// disturbedAt: when a machine's process was last killed or frozen.
  using DisturbedAt = std::function<Span(std::uint32_t machine)>;
  ProcessClients(ProcessContext& context, const ProcessServers& servers, RandomEngine& arrivals,
                 RandomEngine& chance, DisturbedAt disturbedAt)
      : context_(context),
        servers_(servers),
        arrivals_(arrivals),
        chance_(chance),
        disturbedAt_(std::move(disturbedAt)) {}

  /// The first request, and from there on all until the end.
  void arrive();
  /// No new work for a machine whose process leaves, until it is back.
  void avoid(std::uint32_t machine) { leaving_.insert(machine); }
  void use(std::uint32_t machine) { leaving_.erase(machine); }
  /// Keyed requests without an answer; machine: of those that were sent there, none: of all.
  [[nodiscard]] std::uint64_t keyedOpen(std::optional<std::uint32_t> machine) const;
  /// The service beside the sidecar to which an attempt was sent.
  [[nodiscard]] int callerOf(std::uint64_t attempt) const;

 private:
  struct Open {
    std::uint32_t machine = 0;
    bool keyed = false;
  };
  void ask(std::uint32_t machine, const Wanted& wanted);
  void answered(std::uint32_t machine, const Wanted& wanted, std::uint64_t attempt,
                const std::shared_ptr<const http::Message>& answer);
  void judgeEnd(std::uint32_t machine, std::uint64_t attempt, Span sentAt,
                rackroute::mesh::RequestOutcome how);
  void check(const Wanted& wanted, std::uint64_t attempt, const http::Message& answer);
  void again(const Wanted& wanted);
  [[nodiscard]] std::uint32_t anySidecar() {
    return context_.machines.sidecar(static_cast<std::uint32_t>(uniform01(chance_) * context_.day.sidecars));
  }

  ProcessContext& context_;
  const ProcessServers& servers_;
  RandomEngine& arrivals_;
  RandomEngine& chance_;
  DisturbedAt disturbedAt_;
  std::map<std::uint64_t, Open> open_;                // attempts without an answer
  std::map<std::uint64_t, std::uint32_t> machineOf_;  // by attempt
  std::set<std::uint32_t> leaving_;
  std::uint64_t attempts_ = 0;
  std::uint64_t keys_ = 0;
  std::uint32_t told_ = 0;
};

}  // namespace rackroute::lab::mesh
