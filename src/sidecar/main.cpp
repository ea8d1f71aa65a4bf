// Starts the sidecar from what it is told, and ends it when asked. It owns the parts and their order, and
// turns signals into calls: TERM and INT stop it, HUP has it told anew, USR1 prints the counters. It must
// never start half told, nor end or forget anything because it was told anew.

#include <Poco/Exception.h>
#include <Poco/JSON/Array.h>
#include <Poco/JSON/Object.h>
#include <Poco/JSON/Parser.h>
#include <Poco/Net/SocketAddress.h>
#include <Poco/Net/StreamSocketImpl.h>
#include <Poco/Observer.h>
#include <sys/resource.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <charconv>
#include <csignal>
#include <cstdlib>
#include <fstream>
#include <iostream>
#include <map>
#include <optional>
#include <sstream>
#include <stdexcept>
#include <string>

#include "handover/snapshot_text.hpp"
#include "sidecar/admin_side.hpp"
#include "sidecar/client_side.hpp"
#include "sidecar/discovery.hpp"
#include "sidecar/exchange.hpp"
#include "sidecar/fleet_side.hpp"
#include "sidecar/fleet_told.hpp"
#include "sidecar/handover.hpp"
#include "sidecar/log.hpp"
#include "sidecar/loop.hpp"
#include "sidecar/server_side.hpp"
#include "sidecar/signals.hpp"
#include "terms/balancer_settings.hpp"

namespace rackroute::sidecar {
namespace {

using Poco::Dynamic::Var;
using Poco::JSON::Array;
using Poco::JSON::Object;

constexpr std::size_t kForBodies = 4;             // one part in so many of the memory waits to be written
constexpr std::size_t kLeastBacklog = 16 * 1024;  // bytes a connection; a few round trips at 64 kB a second
constexpr std::size_t kMostBacklog = 256 * 1024;  // bytes a connection; more makes nothing quicker
constexpr std::size_t kForDoor = 56;  // descriptors; the door's 32 and the program's own dozen, and a margin

constexpr std::size_t kForFleet = 40;  // descriptors; exchanges at a time, two sockets and a margin

void flatten(const std::string& path, const Var& value, settings::KeyValues& pairs) {
  if (value.isEmpty()) return;
  if (value.type() == typeid(Object::Ptr)) {
    for (const auto& [name, inner] : *value.extract<Object::Ptr>())
      flatten(path.empty() ? name : path + '.' + name, inner, pairs);
  } else if (value.type() == typeid(Array::Ptr)) {
    const auto& list = *value.extract<Array::Ptr>();
    pairs[path + ".count"] = std::to_string(list.size());
    for (std::size_t i = 0; i < list.size(); ++i)
      flatten(path + '.' + std::to_string(i), list.get(static_cast<unsigned>(i)), pairs);
  } else {
    pairs[path] = value.convert<std::string>();
  }
}

Var needed(const Object& document, const std::string& name) {
  const Var value = document.get(name);
  if (value.isEmpty()) throw std::runtime_error("the configuration lacks " + name);
  return value;
}

/// What the file that LB_CONFIG names tells, checked as a whole; the same at the start and on HUP.
struct Assignment {
  std::string name;
  std::string listen;
  Poco::Net::SocketAddress discovery;
  std::uint64_t seed = 0;
  settings::KeyValues pairs;
  std::optional<rlim_t> descriptors;
  std::optional<std::uint64_t> megabytes;         // of memory
  std::optional<Poco::Net::SocketAddress> admin;  // the operators' door, where there is one
  std::optional<FleetTold> fleet;                 // the fleet, where members talk to each other
  Var known;
};

Assignment readAssignment() {
  const char* const path = std::getenv("LB_CONFIG");
  if (path == nullptr) throw std::runtime_error("LB_CONFIG is not set");
  std::ifstream file(path);
  std::ostringstream text;
  if (!file || !(text << file.rdbuf())) throw std::runtime_error(std::string("cannot read ") + path);
  const Var parsed = Poco::JSON::Parser().parse(text.str());
  if (parsed.type() != typeid(Object::Ptr)) throw std::runtime_error("the configuration is no object");
  const auto document = parsed.extract<Object::Ptr>();

  Assignment made;
  made.name = document->optValue<std::string>("name", "-");
  made.listen = needed(*document, "listen").convert<std::string>();
  numericAddress(made.listen);
  made.discovery = numericAddress(needed(*document, "discovery").convert<std::string>());
  const auto seed = needed(*document, "seed").convert<std::string>();
  const auto read = std::from_chars(seed.data(), seed.data() + seed.size(), made.seed, 16);
  if (read.ec != std::errc{} || read.ptr != seed.data() + seed.size()) settings::throwMalformed("seed", seed);
  flatten("", needed(*document, "settings"), made.pairs);
  if (const auto limits = document->getObject("limits"); limits && limits->has("sockets"))
    made.descriptors = limits->getValue<std::uint32_t>("sockets");
  if (const auto limits = document->getObject("limits"); limits && limits->has("memory_mb"))
    made.megabytes = limits->getValue<std::uint32_t>("memory_mb");
  made.known = needed(*document, "known");
  // The variable goes first: a second process has a door of its own and all else the same.
  auto door = document->optValue<std::string>("admin", "");
  if (const char* const given = std::getenv("LB_ADMIN"); given != nullptr && *given != '\0') door = given;
  if (!door.empty()) made.admin = numericAddress(door);
  if (const Var fleet = document->get("fleet"); !fleet.isEmpty()) {
    const auto zone = made.pairs.find("locality");
    made.fleet = readFleet(fleet, made.name, zone != made.pairs.end() ? zone->second : "");
  }
  return made;
}

// Guards against more descriptors than the machine is given: the system itself then says no.
// Two processes that are one sidecar have half each.
void limitDescriptors(const Assignment& told, ClientSide& clients, ServerSide& servers, bool shared) {
  static const rlim_t atStart = [] {
    rlimit limit{};
    ::getrlimit(RLIMIT_NOFILE, &limit);
    return limit.rlim_cur;
  }();
  rlimit limit{};
  ::getrlimit(RLIMIT_NOFILE, &limit);
  limit.rlim_cur = std::min(atStart, told.descriptors.value_or(atStart)) / (shared ? 2 : 1);
  ::setrlimit(RLIMIT_NOFILE, &limit);
  // Guards against executions that leave none for the operators' door: beside the application's share some
  // are kept back.
  const std::size_t all = limit.rlim_cur;
  clients.limitDescriptors(all);
  // Guards against long messages by the dozen that eat the memory: a part of it, over all connections.
  if (told.megabytes) {
    const std::size_t each = (*told.megabytes << 20) / kForBodies / std::max<std::size_t>(all, 1);
    clients.limitBacklog(std::clamp(each, kLeastBacklog, kMostBacklog));
    servers.limitBacklog(std::clamp(each, kLeastBacklog, kMostBacklog));
  }
  const std::size_t kept = (told.admin ? kForDoor : 0) + (told.fleet ? kForFleet : 0);
  if (kept > 0) servers.limitConnections(all / 2 - std::min(kept, all / 4));
}

// Guards against a reload that costs service: a file that can't be used changes nothing, and one that can
// moves discovery and the descriptor limit; the rest is told to the balancer once, and waits for a restart.
void tellAnew(Assignment& told, ClientSide& clients, ServerSide& servers, Discovery& discovery, bool shared) {
  try {
    Assignment anew = readAssignment();
    const settings::ParsedSettings checked(anew.seed, anew.pairs);
    limitDescriptors(anew, clients, servers, shared);
    discovery.moveTo(anew.discovery);
    std::string waits;
    if (anew.listen != told.listen) waits += ",listen";
    if (anew.admin != told.admin) waits += ",admin";
    if (anew.name != told.name) waits += ",name";
    if (anew.fleet != told.fleet) waits += ",fleet";
    if (anew.pairs != told.pairs) waits += ",settings";
    Line(Level::info) << "reloaded discovery=" << anew.discovery.toString()
                      << (waits.empty() ? "" : " needs_restart=") << waits.substr(waits.empty() ? 0 : 1);
    told.discovery = anew.discovery;
  } catch (const Poco::Exception& error) {
    Line(Level::warning) << "reload_refused what=\"" << error.displayText() << '"';
  } catch (const std::exception& error) {
    Line(Level::warning) << "reload_refused what=\"" << error.what() << '"';
  }
}

// Guards against a list in the configuration that is older than what the process before was told.
void takeOver(const Object& state, Exchange& exchange, settings::NameTable& zones, const Loop& loop,
              Listed& known, std::uint64_t& index) {
  try {
    const auto ever = state.getArray("ever");
    for (const auto& server : *ever) exchange.learn(ServerId{std::stoull(server.convert<std::string>())});
    std::uint64_t version = 0;
    Listed listed =
        readList(Poco::JSON::Parser().parse(state.getValue<std::string>("list")), zones, loop, version);
    if (version < index || listed.servers.empty()) return;
    known = std::move(listed);
    index = version;
  } catch (const Poco::Exception& error) {
    Line(Level::warning) << "no_handover what=\"" << error.displayText() << '"';
  } catch (const std::exception& error) {
    Line(Level::warning) << "no_handover what=\"" << error.what() << '"';
  }
}

int run() {
  if (const char* level = std::getenv("RACKROUTE_LOG"); level != nullptr && !setLevel(level))
    throw std::runtime_error("RACKROUTE_LOG is not a level: " + std::string(level));
  Loop loop;
  Signals signals(loop);
  // Guards against a reload that comes before the start is over: its default action would end the program.
  signals.on(SIGHUP, [] {});
  Assignment assignment = readAssignment();
  settings::ParsedSettings told(assignment.seed, assignment.pairs);
  told.config.discoveryOnRequest = true;  // here discovery only ever answers

  // Another process comes only where operators call this one by a door of its own.
  const char* const folder = std::getenv("TMPDIR");
  Handover change(loop, assignment.admin && folder != nullptr ? folder : "", assignment.listen);
  const std::optional<Inherited> inherited = change.ask();

  Exchange exchange(loop);
  ClientSide clients(loop, exchange, told);
  ServerSide servers(loop, exchange, told);
  limitDescriptors(assignment, clients, servers, inherited.has_value());
  std::uint64_t index = 0;
  Listed known = readList(assignment.known, told.zones, loop, index);
  if (inherited) takeOver(*inherited->state, exchange, told.zones, loop, known, index);
  known.listing = Listing::persisted;
  assignment.known.clear();
  Discovery discovery(loop, exchange, told.zones, assignment.discovery, index);
  discovery.keep(known);
  AdminSide admin(loop, exchange, told, [&](ServerId server, bool out, std::function<void(bool)> said) {
    change.say(server, out, std::move(said));
  });
  std::optional<FleetSide> fleet;
  if (assignment.fleet) {
    fleet.emplace(loop, *assignment.fleet, assignment.seed,
                  [&](std::uint32_t members) { exchange.fleetOf(std::max(members, told.config.balancers)); });
    admin.show(*fleet);
    change.handOn([&] { return fleet->state(); }, [&](bool yes) { fleet->yield(yes); });
  }
  const auto stop = [&] {
    Line(Level::info) << "stopping";
    admin.ready(false);
    if (fleet) fleet->leave();
    change.stop();
    clients.stop([&] { loop.stop(); });
  };
  signals.on(SIGTERM, stop);
  signals.on(SIGINT, stop);
  signals.on(SIGHUP, [&] { tellAnew(assignment, clients, servers, discovery, change.isShared()); });
  signals.on(SIGUSR1, [&] {
    std::ostringstream text;
    loop.counters.print(text);
    Line(Level::asked) << text.str();
  });
  if (assignment.admin) admin.listen(*assignment.admin);
  inherited ? clients.adopt(inherited->listener)
            : clients.listen(numericAddress(assignment.listen), assignment.admin.has_value());
  exchange.start(told, clients, servers, discovery, known);
  if (inherited) {
    if (const auto learned = handover::parseSnapshot(inherited->state->optValue<std::string>("learned", "")))
      exchange.learn(*learned);
  }
  // Guards against an old process that hangs, or has just gone on, and has the fleet's address: it must not
  // keep this one from starting.
  if (fleet && !inherited) assignment.admin ? fleet->startWhenFree() : fleet->start();
  change.start(
      exchange, clients, discovery,
      [&] {
        // Two processes are one member: this one takes part once the other has stepped back.
        if (fleet && inherited) fleet->succeed(inherited->state->optValue<std::string>("fleet", ""));
        admin.ready(true);
      },
      [&] { limitDescriptors(assignment, clients, servers, change.isShared()); });
  Line(Level::info) << "listening name=" << assignment.name << " address=" << assignment.listen
                    << " servers=" << known.servers.size();
  if (fleet) loop.guarded([] {});  // so that the first poll ends with the first timer
  loop.run();

  std::ostringstream counters;
  loop.counters.print(counters);
  Line(Level::info) << counters.str();
  Line(Level::info) << "stopped";
  return 0;
}

}  // namespace
}  // namespace rackroute::sidecar

int main() {
  try {
    return rackroute::sidecar::run();
  } catch (const Poco::Exception& error) {
    std::cerr << "rackroute: " << error.displayText() << '\n';
  } catch (const std::exception& error) {
    std::cerr << "rackroute: " << error.what() << '\n';
  }
  return 1;
}
