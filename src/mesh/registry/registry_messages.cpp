#include "mesh/registry/registry_messages.hpp"

namespace rackroute::mesh {
namespace {

using nlohmann::json;

// Bits of the flags field.
constexpr unsigned kDraining = 1;
constexpr unsigned kGone = 2;
constexpr unsigned kConnected = 4;
constexpr unsigned kLeaving = 8;

}  // namespace

json toJson(const ServerStatus& status) {
  const ServerRecord& served = status.served;
  // Earlier versions do not distinguish replaced from gone; updates list replaced servers in a separate
  // field.
  const bool ended = served.gone || served.replaced;
  const unsigned flags = (served.draining ? kDraining : 0) | (ended ? kGone : 0) |
                         (status.connected ? kConnected : 0) | (served.leaving ? kLeaving : 0);
  return json::array({served.id.value, served.service.value, served.at.value, served.node.value, served.zone,
                      served.life.value, served.seq, served.capacity, flags,
                      served.coldLeft / std::chrono::milliseconds(1)});
}

ServerStatus serverStatusFrom(const json& from) {
  ServerStatus status;
  ServerRecord& served = status.served;
  served.id = {from.at(0).get<std::string>()};
  served.service = {from.at(1).get<std::string>()};
  served.at = {from.at(2).get<std::string>()};
  served.node = {from.at(3).get<std::string>()};
  served.zone = from.at(4).get<std::string>();
  served.life = {from.at(5).get<std::uint64_t>()};
  served.seq = from.at(6).get<std::uint64_t>();
  served.capacity = from.at(7).get<std::uint32_t>();
  const auto flags = from.at(8).get<unsigned>();
  served.draining = (flags & kDraining) != 0;
  served.gone = (flags & kGone) != 0;
  served.leaving = (flags & kLeaving) != 0;
  status.connected = (flags & kConnected) != 0;
  served.coldLeft = std::chrono::milliseconds(from.at(9).get<std::int64_t>());
  return status;
}

json toJson(const Holder& holder) {
  return json::array({holder.at.value, holder.life.value, holder.no.value});
}

Holder holderFrom(const json& from) {
  return {
      {from.at(0).get<std::string>()}, {from.at(1).get<std::uint64_t>()}, {from.at(2).get<std::uint64_t>()}};
}

Address meshAddress(const Address& control, std::uint16_t port) {
  return {control.value.substr(0, control.value.rfind(':')) + ':' + std::to_string(port)};
}

}  // namespace rackroute::mesh
