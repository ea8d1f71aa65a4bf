#include "mesh/control/control_identity.hpp"

#include <nlohmann/json.hpp>

namespace rackroute::mesh {
using nlohmann::json;

StoreEntry entryOf(const ControlIdentity& identity) {
  const json value{{"incarnation", identity.incarnation.value},
                   {"founder", identity.founder},
                   {"state", identity.holdsState},
                   {"state_epoch", identity.stateEpoch.value}};
  return {kIdentityKey, value.dump()};
}

Result<ControlIdentity> identityFrom(const std::string& value) {
  const json read = json::parse(value, nullptr, false);
  try {
    ControlIdentity identity;
    identity.incarnation = {read.at("incarnation").get<std::uint64_t>()};
    identity.founder = read.at("founder").get<bool>();
    identity.holdsState = read.at("state").get<bool>();
    identity.stateEpoch = {read.at("state_epoch").get<std::uint64_t>()};
    return identity;
  } catch (const json::exception& error) {
    return failure("store", std::string("malformed identity record: ") + error.what());
  }
}

}  // namespace rackroute::mesh
