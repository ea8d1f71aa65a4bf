#include "sidecar/fleet_config.hpp"

#include <Poco/JSON/Array.h>
#include <Poco/JSON/Object.h>

#include <algorithm>
#include <set>
#include <stdexcept>

#include "sidecar/discovery.hpp"

namespace rackroute::sidecar {
namespace {

using Poco::JSON::Array;
using Poco::JSON::Object;

constexpr std::size_t kMaxNameBytes = 64;
constexpr std::size_t kMaxJoinAddresses = 64;

[[noreturn]] void fail(const std::string& key, const std::string& what) {
  throw std::runtime_error("fleet." + key + ": " + what);
}

double number(const Object& object, const std::string& key, double fallback, double min, double max) {
  if (!object.has(key)) return fallback;
  const auto given = object.get(key);
  if (!given.isNumeric() || given.isBoolean()) fail(key, "must be a number");
  const auto value = given.convert<double>();
  if (!(value >= min && value <= max))
    fail(key, "must be a number from " + std::to_string(min) + " to " + std::to_string(max));
  return value;
}

std::string text(const Object& object, const std::string& key) {
  const auto given = object.get(key);
  if (!given.isString()) fail(key, given.isEmpty() ? "is missing" : "must be a string");
  return given.convert<std::string>();
}

std::string address(const std::string& key, const std::string& value) {
  try {
    const auto parsed = numericAddress(value);
    if (parsed.port() == 0 || parsed.family() != Poco::Net::SocketAddress::IPv4)
      throw std::invalid_argument(value);
    return parsed.toString();
  } catch (const std::exception&) {
    fail(key, "must be an IPv4 address with port, not '" + value + "'");
  }
}

bool isValidName(const std::string& value) {
  return value.size() <= kMaxNameBytes && std::ranges::all_of(value, fleet::isPlain);
}

std::string name(const std::string& key, const std::string& value) {
  if (value.empty() || !isValidName(value))
    fail(key, "must be 1 to 64 letters, digits or punctuation, without spaces or quotes");
  return value;
}

Span seconds(double value) { return Span{static_cast<Span::rep>(value * 1e6)}; }

}  // namespace

bool FleetConfig::operator==(const FleetConfig& other) const {
  return name == other.name && self.name == other.self.name && self.address == other.self.address &&
         self.zone == other.self.zone && listen == other.listen && join == other.join &&
         membership.period == other.membership.period &&
         membership.suspicionMultiplier == other.membership.suspicionMultiplier &&
         membership.maxMembers == other.membership.maxMembers &&
         membership.deadRetention == other.membership.deadRetention &&
         maxBytesPerSecond == other.maxBytesPerSecond;
}

FleetConfig readFleetConfig(const Poco::Dynamic::Var& json, const std::string& member,
                            const std::string& zone) {
  if (json.type() != typeid(Object::Ptr)) throw std::runtime_error("fleet: must be an object");
  const Object& object = *json.extract<Object::Ptr>();
  static const std::set<std::string> known = {"name",         "listen",         "advertise",
                                              "join",         "period_ms",      "suspicion",
                                              "most_members", "bytes_a_second", "keep_dead_s"};
  for (const auto& [key, value] : object) {
    if (!known.contains(key)) fail(key, "unknown key");
  }
  FleetConfig config;
  config.name = name("name", text(object, "name"));
  config.listen = address("listen", text(object, "listen"));
  config.self.address =
      object.has("advertise") ? address("advertise", text(object, "advertise")) : config.listen;
  if (numericAddress(config.self.address).host().isWildcard())
    fail(object.has("advertise") ? "advertise" : "listen", "must be an address that other members can reach");
  if (member.empty() || member == "-" || !isValidName(member))
    throw std::runtime_error(
        "fleet: the configuration's name must be 1 to 64 letters, digits or punctuation");
  config.self.name = member;
  if (!isValidName(zone))
    throw std::runtime_error("fleet: settings.locality must be up to 64 letters, digits or punctuation");
  config.self.zone = zone;
  if (object.has("join")) {
    const Array::Ptr join = object.getArray("join");
    if (join.isNull() || join->size() > kMaxJoinAddresses)
      fail("join", "must be a list of up to " + std::to_string(kMaxJoinAddresses) + " addresses");
    for (const auto& item : *join) {
      if (!item.isString()) fail("join", "must contain addresses");
      config.join.push_back(address("join", item.convert<std::string>()));
    }
  }
  config.membership.period = seconds(number(object, "period_ms", 1000, 100, 60'000) / 1000);
  config.membership.suspicionMultiplier = number(object, "suspicion", 1, 0.5, 10);
  config.membership.maxMembers = static_cast<std::size_t>(number(object, "most_members", 2000, 2, 20'000));
  config.membership.deadRetention = seconds(number(object, "keep_dead_s", 86'400, 60, 604'800));
  config.maxBytesPerSecond =
      static_cast<std::size_t>(number(object, "bytes_a_second", 65'536, 4096, 10'000'000));
  return config;
}

}  // namespace rackroute::sidecar
