#include "sidecar/fleet_told.hpp"

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

constexpr std::size_t kLongestName = 64;  // bytes; what a message has room for many times
constexpr std::size_t kMostJoin = 64;     // addresses; a handful is enough to find the others

[[noreturn]] void fail(const std::string& key, const std::string& what) {
  throw std::runtime_error("fleet." + key + ": " + what);
}

double number(const Object& object, const std::string& key, double otherwise, double least, double most) {
  if (!object.has(key)) return otherwise;
  const auto given = object.get(key);
  if (!given.isNumeric() || given.isBoolean()) fail(key, "wants a number");
  const auto value = given.convert<double>();
  if (!(value >= least && value <= most))
    fail(key, "wants a number from " + std::to_string(least) + " to " + std::to_string(most));
  return value;
}

std::string text(const Object& object, const std::string& key) {
  const auto given = object.get(key);
  if (!given.isString()) fail(key, given.isEmpty() ? "is missing" : "wants a text");
  return given.convert<std::string>();
}

std::string address(const std::string& key, const std::string& value) {
  try {
    const auto read = numericAddress(value);
    if (read.port() == 0 || read.family() != Poco::Net::SocketAddress::IPv4)
      throw std::invalid_argument(value);
    return read.toString();
  } catch (const std::exception&) {
    fail(key, "wants an IPv4 address with its port, not '" + value + "'");
  }
}

bool isName(const std::string& value) {
  return value.size() <= kLongestName && std::ranges::all_of(value, fleet::isPlain);
}

std::string name(const std::string& key, const std::string& value) {
  if (value.empty() || !isName(value))
    fail(key, "wants 1 to 64 letters, digits and signs, no spaces or quotes");
  return value;
}

Span seconds(double value) { return Span{static_cast<Span::rep>(value * 1e6)}; }

}  // namespace

bool FleetTold::operator==(const FleetTold& other) const {
  return fleet == other.fleet && self.name == other.self.name && self.address == other.self.address &&
         self.zone == other.self.zone && listen == other.listen && join == other.join &&
         rhythm.period == other.rhythm.period &&
         rhythm.suspicionMultiplier == other.rhythm.suspicionMultiplier &&
         rhythm.maxMembers == other.rhythm.maxMembers && rhythm.deadRetention == other.rhythm.deadRetention &&
         bytesASecond == other.bytesASecond;
}

FleetTold readFleet(const Poco::Dynamic::Var& json, const std::string& member, const std::string& zone) {
  if (json.type() != typeid(Object::Ptr)) throw std::runtime_error("fleet: wants an object");
  const Object& object = *json.extract<Object::Ptr>();
  static const std::set<std::string> known = {"name",         "listen",         "advertise",
                                              "join",         "period_ms",      "suspicion",
                                              "most_members", "bytes_a_second", "keep_dead_s"};
  for (const auto& [key, value] : object) {
    if (!known.contains(key)) fail(key, "is unknown");
  }
  FleetTold told;
  told.fleet = name("name", text(object, "name"));
  told.listen = address("listen", text(object, "listen"));
  told.self.address = object.has("advertise") ? address("advertise", text(object, "advertise")) : told.listen;
  if (numericAddress(told.self.address).host().isWildcard())
    fail(object.has("advertise") ? "advertise" : "listen", "wants an address that others can reach");
  if (member.empty() || member == "-" || !isName(member))
    throw std::runtime_error("fleet: the configuration's name wants 1 to 64 letters, digits and signs");
  told.self.name = member;
  if (!isName(zone))
    throw std::runtime_error("fleet: settings.locality wants up to 64 letters, digits and signs");
  told.self.zone = zone;
  if (object.has("join")) {
    const Array::Ptr join = object.getArray("join");
    if (join.isNull() || join->size() > kMostJoin)
      fail("join", "wants a list of up to " + std::to_string(kMostJoin) + " addresses");
    for (const auto& one : *join) {
      if (!one.isString()) fail("join", "wants addresses");
      told.join.push_back(address("join", one.convert<std::string>()));
    }
  }
  told.rhythm.period = seconds(number(object, "period_ms", 1000, 100, 60'000) / 1000);
  told.rhythm.suspicionMultiplier = number(object, "suspicion", 1, 0.5, 10);
  told.rhythm.maxMembers = static_cast<std::size_t>(number(object, "most_members", 2000, 2, 20'000));
  told.rhythm.deadRetention = seconds(number(object, "keep_dead_s", 86'400, 60, 604'800));
  told.bytesASecond = static_cast<std::size_t>(number(object, "bytes_a_second", 65'536, 4096, 10'000'000));
  return told;
}

}  // namespace rackroute::sidecar
