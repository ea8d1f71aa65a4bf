#pragma once

// The servers that one process may send requests to, and which of them gets the next: the held set, failure
// runs that eject until a trial, the capped share, the weights that pick. It owns what was learned of each
// server; no I/O, no clock, and chance only from a seed. It must never pick a server that drains, has signed
// off or is out, and never let go of a server because a list lacks it.

#include <cstdint>
#include <map>
#include <optional>
#include <random>
#include <set>
#include <vector>

#include "mesh/names.hpp"

namespace rackroute::mesh {

/// How an execution ended, as far as its server is concerned.
enum class Ending {
  served,     // the server answered with success
  erred,      // the server answered that it failed
  failed,     // reset, silence or spoilt bytes at the server, as its own process relays
  wayFailed,  // its process could not be reached, or broke off
  full,       // turned away as nothing was free; says nothing of its health
  leaving,    // turned away as it leaves
  strange,    // that process knows no such server
  voteless,   // its process reaches no quorum: nothing for keyed work
};

/// What a server's process told of its load along with an answer.
struct Load {
  std::uint32_t busy = 0;
  std::uint32_t queued = 0;
};

struct Picked {
  InstanceId id;
  Address at;
  LifeNo life;  // of the process there
};

class ServerPool {
 public:
  ServerPool(std::string ownZone, NodeName self, std::uint64_t seed);

  /// News of one server; heard: whether its process's session stands.
  void told(Span now, const Served& server, bool heard);
  /// One of the service's servers that is none of these, or nothing.
  std::optional<Picked> pick(Span now, const ServiceName& service, bool keyed,
                             const std::set<InstanceId>& but);
  void ended(Span now, const InstanceId& id, Ending ending, const std::optional<Load>& load);
  /// Servers of the service that may be picked at all, out or not.
  [[nodiscard]] std::size_t standing(const ServiceName& service) const;
  [[nodiscard]] std::size_t ejected(Span now, const ServiceName& service) const;
  /// Forgets servers that signed off, and those long unheard.
  void sweep(Span now);

 private:
  struct Server {
    Served told;
    bool heard = true;
    Span unheardSince{};
    Span coldUntil{};
    double weight = 1;
    std::uint32_t run = 0;
    bool out = false;  // ejected until its trial succeeds
    Span trialAt{};
    bool onTrial = false;
    Span votelessUntil{};
    Span strangeUntil{};     // its process does not know it
    std::uint32_t mine = 0;  // executions from here
    Load load{};
    std::uint32_t mineThen = 0;  // when the load was told
    bool leaving = false;        // it said so itself
  };
  using Group = std::map<InstanceId, Server>;
  [[nodiscard]] static bool usable(const Server& server) {
    const Served& told = server.told;
    return !told.draining && !told.gone && !told.replaced && !told.leaving && !server.leaving;
  }
  /// Its own process has not said, a short while ago, that there is no such server.
  [[nodiscard]] static bool known(Span now, const Server& server) {
    return usable(server) && server.strangeUntil <= now;
  }
  [[nodiscard]] static double slotsOf(const Server& server);
  [[nodiscard]] static double roomOf(const Server& server);
  [[nodiscard]] double elsewhere(Span now, const Group& group) const;
  [[nodiscard]] double chance(Span now, const Server& server, double elsewhere) const;
  void failed(Span now, Server& server, Group& group);
  Server* find(const InstanceId& id, Group** group);
  void check(const Group& group) const;

  std::string ownZone_;
  NodeName self_;
  std::mt19937_64 chance_;
  std::map<ServiceName, Group> groups_;
  std::map<InstanceId, ServiceName> serviceOf_;
};

}  // namespace rackroute::mesh
