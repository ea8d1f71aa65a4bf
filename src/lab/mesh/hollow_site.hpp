#pragma once

/// Where the processes of a hollow run stand on loopback, what their settings say, and the configuration that
/// the operator sends them.

#include <cstdint>
#include <nlohmann/json.hpp>
#include <string>
#include <vector>

#include "lab/mesh/hollow.hpp"
#include "lab/mesh/hollow_sidecar.hpp"

namespace rackroute::lab::mesh {

class HollowSite {
 public:
  /// network: the second part of all addresses; folder: under which control processes keep their disks.
  HollowSite(const HollowPlan& plan, std::uint32_t network, std::string folder);

  /// Where operators reach a control process.
  [[nodiscard]] rackroute::mesh::Address operatorAddress(std::uint32_t control) const;
  /// The folder of a control process's disk.
  [[nodiscard]] std::string diskOf(std::uint32_t control) const;
  /// The settings file of a control process.
  [[nodiscard]] nlohmann::json settingsOf(std::uint32_t control, bool firstBoot) const;
  /// The first call of the operator, with every item.
  [[nodiscard]] std::string firstItems() const;
  /// A call that gives the watched route a version.
  [[nodiscard]] static std::string changeOf(std::uint64_t version);
  /// The sidecars of one of plan.threads threads.
  [[nodiscard]] std::vector<HollowIdentity> identities(std::uint32_t thread) const;

 private:
  [[nodiscard]] std::string controlIp(std::uint32_t control) const;
  [[nodiscard]] std::string sidecarIp(std::uint32_t sidecar) const;
  [[nodiscard]] static std::string serviceOf(std::uint32_t service);
  [[nodiscard]] static nlohmann::json routeItem(const std::string& name, std::uint32_t service,
                                                std::uint64_t version);

  HollowPlan plan_;
  std::uint32_t network_;
  std::string folder_;
};

}  // namespace rackroute::lab::mesh
