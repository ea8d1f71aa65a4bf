#pragma once

// The words of the mesh's own session that more than one part reads, as JSON. It decides nothing.

#include <nlohmann/json.hpp>

#include "mesh/names.hpp"

namespace rackroute::mesh {

/// What is told of a server, and whether its process's session stands.
struct News {
  Served served;
  bool heard = true;
};

nlohmann::json toJson(const News& news);
/// These throw nlohmann's exceptions for what no process of the mesh sends.
News newsFrom(const nlohmann::json& from);
nlohmann::json toJson(const Holder& holder);
Holder holderFrom(const nlohmann::json& from);
/// ip:port of the mesh's own session on the machine of a control address.
Address meshAddress(const Address& control, std::uint16_t port);

}  // namespace rackroute::mesh
