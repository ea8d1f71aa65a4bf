#pragma once

// What a process is told at its start: the settings file, checked whole against its schema. It owns nothing
// else and reads no file by itself.

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
  std::vector<Address> seeds;                 // control addresses
  Address inbound, outbound, ready, control;  // empty where the role does not serve it
  Address inboundBind;                        // where inbound's requests are taken; others reach inbound
  std::uint16_t firstPort = 0;                // of those left free for the mesh's own session
  std::uint16_t lastPort = 0;
  bool firstBoot = false;
  std::string dataFolder;
  std::uint64_t memoryMb = 0;        // 0: not told
  std::uint64_t descriptors = 0;     // 0: not told
  ServiceName target;                // of the server on this machine
  Address server;                    // where that server listens; empty: not told
  std::uint32_t bearableLosses = 0;  // control machines that may be lost at one time
  Span drain{}, grace{}, keyWindow{}, retryWindow{};
  double retryRatio = 0;
  double retrySlack = 0;
};

/// Fields that it does not know are ignored; a missing or wrong one is named in the failure.
Result<Settings> readSettings(std::string_view text);

}  // namespace rackroute::mesh
