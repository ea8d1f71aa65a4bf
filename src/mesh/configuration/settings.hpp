#pragma once

// The settings of a mesh process, parsed from the text of the settings file and validated against its schema.

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include "mesh/configuration/error.hpp"
#include "mesh/names.hpp"

namespace rackroute::mesh {

struct Settings {
  NodeName node;
  std::string ip;
  std::string zone;
  std::size_t zones = 1;
  std::vector<Address> seeds;                 // addresses of control processes
  Address inbound, outbound, ready, control;  // empty if the role doesn't use it
  Address inboundBind;                        // address to bind; others connect to `inbound`
  std::uint16_t firstPort = 0;                // of the range reserved for mesh sessions
  std::uint16_t lastPort = 0;
  bool firstBoot = false;
  std::string dataFolder;
  std::uint64_t memoryMb = 0;                // 0: unknown
  std::uint64_t descriptors = 0;             // 0: unknown
  ServiceName target;                        // the service of the server on this machine
  Address server;                            // listen address of that server; empty: unknown
  std::uint32_t toleratedMachineLosses = 0;  // control machines whose simultaneous loss must be survived
  Span drain{}, grace{}, keyWindow{}, retryWindow{};
  double retryRatio = 0;
  double retrySlack = 0;
};

/// Unknown fields are ignored; the error names a missing or invalid one.
Result<Settings> readSettings(std::string_view text);

}  // namespace rackroute::mesh
