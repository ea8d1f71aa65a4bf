#pragma once

// JSON encoding of the values that several kinds of mesh messages share.

#include <nlohmann/json.hpp>

#include "mesh/names.hpp"

namespace rackroute::mesh {

/// A server's record, and whether its sidecar has a session with the control plane.
struct ServerStatus {
  ServerRecord served;
  bool connected = true;
};

nlohmann::json toJson(const ServerStatus& status);
/// Throws nlohmann::json exceptions on malformed input.
ServerStatus serverStatusFrom(const nlohmann::json& from);
nlohmann::json toJson(const Holder& holder);
/// Throws nlohmann::json exceptions on malformed input.
Holder holderFrom(const nlohmann::json& from);
/// The ip:port of the mesh session listener on the machine of a control address.
Address meshAddress(const Address& control, std::uint16_t port);

}  // namespace rackroute::mesh
