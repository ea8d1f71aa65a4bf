#include "mesh/balancing/server_pool.hpp"

#include <xxhash.h>

#include <algorithm>
#include <cassert>
#include <utility>

#include "mesh/registry/server_record_merge.hpp"

namespace rackroute::mesh {
namespace {

using namespace std::chrono_literals;

constexpr std::uint32_t kFailuresToEject = 5;  // consecutive failures
constexpr Span kEjectionTime = 10s;            // mean time until the probe
constexpr double kEjectionJitter = 0.5;   // fraction of the time; spreads the probes of several processes
constexpr double kMaxEjectedShare = 0.5;  // of a service's servers
constexpr double kWeightGain = 0.1;       // for each success
constexpr double kMinWeight = 0.05;
constexpr std::uint32_t kSpareInFlight = 2;    // above twice the mean, before a server is skipped
constexpr double kColdFactor = 0.3;            // applied to the selection weight of a cold server
constexpr double kOtherZoneFactor = 0.1;       // relative to a server in the own zone with as many free slots
constexpr double kOwnZoneFreeShare = 0.2;      // share of free slots below which other zones gain weight
constexpr double kMinFreeShare = 0.02;         // keeps full servers selectable, to notice freed slots
constexpr Span kNoQuorumBackoff = 700ms;       // no keyed requests to a sidecar without a quorum
constexpr Span kUnknownBackoff = 3s;           // no requests to a server that its sidecar does not know
constexpr Span kDisconnectedRetention = 120s;  // outlasts network partitions; removed afterwards

}  // namespace

ServerPool::ServerPool(std::string ownZone, NodeName self, std::uint64_t seed)
    : ownZone_(std::move(ownZone)), self_(std::move(self)), random_(seed) {}

void ServerPool::update(Span now, const ServerRecord& server, bool connected) {
  Group& group = groups_[server.service];
  const auto found = group.find(server.id);
  if (found == group.end()) {
    if (server.gone || server.replaced) return;
    Server fresh;
    fresh.record = server;
    fresh.connected = connected;
    fresh.connectionChangedAt = now;
    fresh.coldUntil = now + server.coldLeft;
    // A new server starts at the mean weight of the others, or at 1 if it is the first.
    double sum = 0;
    for (const auto& [id, other] : group) sum += other.weight;
    if (!group.empty()) fresh.weight = sum / static_cast<double>(group.size());
    group.emplace(server.id, std::move(fresh));
    serviceOf_[server.id] = server.service;
    return;
  }
  Server& existing = found->second;
  const LifeNo life = existing.record.life;
  const bool newer = std::pair(server.life, server.seq) > std::pair(life, existing.record.seq);
  mergeServerRecord(existing.record, server);
  if (newer) {
    existing.coldUntil = now + server.coldLeft;
    existing.unknownUntil = Span{0};
    if (server.life != life) existing.reportedDraining = false;
  }
  if (existing.connected != connected) existing.connectionChangedAt = now;
  existing.connected = connected;
}

double ServerPool::slotsOf(const Server& server) {
  return std::max<std::uint32_t>(server.record.capacity, 1);
}

// Free slots as last reported by the server's sidecar, less the requests sent from here since then.
double ServerPool::freeSlotsOf(const Server& server) {
  const double since = static_cast<double>(server.inFlight) - static_cast<double>(server.inFlightAtLoad);
  return slotsOf(server) - std::max(0.0, server.load.busy + server.load.queued + since);
}

// Weight of servers in other zones: traffic between zones is expensive, but queueing is worse, so the factor
// rises to 1 as the own zone runs out of free slots.
double ServerPool::otherZoneFactor(Span now, const Group& group) const {
  double slots = 0;
  double freeSlots = 0;
  for (const auto& [id, server] : group) {
    if (server.record.zone != ownZone_ || !known(now, server) || server.ejected || !server.connected)
      continue;
    slots += slotsOf(server);
    freeSlots += std::max(0.0, freeSlotsOf(server)) * server.weight;
  }
  if (slots <= 0) return 1;
  return 1 - (1 - kOtherZoneFactor) * std::min(1.0, freeSlots / slots / kOwnZoneFreeShare);
}

double ServerPool::selectionWeight(Span now, const Server& server, double otherZones) const {
  const double slots = slotsOf(server);
  double weight = server.weight * std::max(kMinFreeShare * slots, freeSlotsOf(server));
  if (server.record.zone != ownZone_) weight *= otherZones;
  if (server.coldUntil > now) weight *= kColdFactor;
  return weight;
}

std::optional<PickedServer> ServerPool::pick(Span now, const ServiceName& service, bool keyed,
                                             const std::set<InstanceId>& excluded) {
  const auto found = groups_.find(service);
  if (found == groups_.end()) return std::nullopt;
  Group& group = found->second;
  checkInvariants(group);
  std::size_t usableCount = 0;
  std::size_t knownCount = 0;
  std::size_t disconnected = 0;
  double inFlight = 0;
  for (const auto& [id, server] : group) {
    if (!usable(server)) continue;
    ++usableCount;
    if (!known(now, server)) continue;
    ++knownCount;
    if (!server.connected) ++disconnected;
    inFlight += server.inFlight;
  }
  if (usableCount == 0) return std::nullopt;
  // When half of the servers appear disconnected at once, the connection information itself is not trusted.
  const bool distrustConnections = 2 * disconnected >= knownCount;
  const double mean = inFlight / static_cast<double>(std::max<std::size_t>(knownCount, 1));
  const double otherZones = otherZoneFactor(now, group);
  std::vector<std::pair<double, Server*>> candidates;
  // Filters are relaxed step by step until a candidate remains: first the in-flight limit, then the
  // connection, quorum and unknown-server checks.
  for (int strict = 2; strict >= 0 && candidates.empty(); --strict) {
    for (auto& [id, server] : group) {
      if (!usable(server) || excluded.count(id) > 0) continue;
      if (server.ejected && (server.probing || server.probeAt > now)) continue;
      if (strict > 0 && !known(now, server)) continue;
      if (strict > 0 && !server.connected && !distrustConnections) continue;
      if (strict > 0 && keyed && server.noQuorumUntil > now) continue;
      if (strict > 1 && server.inFlight > 2 * mean + kSpareInFlight) continue;
      candidates.emplace_back(selectionWeight(now, server, otherZones), &server);
    }
  }
  if (candidates.empty()) return std::nullopt;
  double sum = 0;
  for (const auto& candidate : candidates) sum += candidate.first;
  double left = std::uniform_real_distribution<double>(0, sum)(random_);
  Server* chosen = candidates.back().second;
  for (const auto& [weight, server] : candidates) {
    if (left < weight) {
      chosen = server;
      break;
    }
    left -= weight;
  }
  ++chosen->inFlight;
  if (chosen->ejected) chosen->probing = true;
  return PickedServer{chosen->record.id, chosen->record.at, chosen->record.life};
}

void ServerPool::recordFailure(Span now, Server& server, Group& group) {
  server.weight = std::max(kMinWeight, server.weight / 2);
  ++server.failuresInRow;
  const auto ejectedUntil = [&] {
    const std::string pair = self_.value + '/' + server.record.id.value;
    const double fraction = static_cast<double>(XXH3_64bits(pair.data(), pair.size()) % 1000) / 1000;
    return now + std::chrono::duration_cast<Span>(kEjectionTime *
                                                  (1 - kEjectionJitter / 2 + kEjectionJitter * fraction));
  };
  if (server.ejected) {
    server.probing = false;
    server.probeAt = ejectedUntil();
    return;
  }
  if (server.failuresInRow < kFailuresToEject) return;
  std::size_t all = 0;
  std::size_t ejected = 0;
  for (const auto& [id, other] : group) {
    if (!known(now, other)) continue;
    ++all;
    if (other.ejected) ++ejected;
  }
  // A broken network path looks like many broken servers: no server is ejected beyond the cap.
  if (static_cast<double>(ejected + 1) > kMaxEjectedShare * static_cast<double>(all)) return;
  server.ejected = true;
  server.probing = false;
  server.probeAt = ejectedUntil();
}

void ServerPool::recordOutcome(Span now, const InstanceId& id, ServerOutcome outcome,
                               const std::optional<Load>& load) {
  Group* group = nullptr;
  Server* server = find(id, &group);
  if (server == nullptr) return;
  if (server->inFlight > 0) --server->inFlight;
  if (load) {
    server->load = *load;
    server->inFlightAtLoad = server->inFlight;
  }
  switch (outcome) {
    case ServerOutcome::succeeded:
      server->weight = std::min(1.0, server->weight + kWeightGain);
      server->failuresInRow = 0;
      server->ejected = server->probing = false;
      break;
    case ServerOutcome::serverError:
      // The server responds: an error lowers its weight but is not counted as a consecutive failure.
      server->weight = std::max(kMinWeight, server->weight / 2);
      server->failuresInRow = 0;
      server->ejected = server->probing = false;
      break;
    case ServerOutcome::failed:
    case ServerOutcome::unreachable:
      recordFailure(now, *server, *group);
      break;
    case ServerOutcome::draining:
      server->reportedDraining = true;
      break;
    case ServerOutcome::unknownServer:
      // Reported by the server's own sidecar, so this also applies while connection information is
      // distrusted. It holds until a newer record of the server or for the backoff.
      server->unknownUntil = now + kUnknownBackoff;
      break;
    case ServerOutcome::noQuorum:
      server->noQuorumUntil = now + kNoQuorumBackoff;
      break;
    case ServerOutcome::atCapacity:
      break;
  }
  // An inconclusive probe leaves the server ejected; the next request may probe it again.
  if (server->ejected) server->probing = false;
}

ServerPool::Server* ServerPool::find(const InstanceId& id, Group** group) {
  const auto service = serviceOf_.find(id);
  if (service == serviceOf_.end()) return nullptr;
  *group = &groups_[service->second];
  const auto found = (*group)->find(id);
  return found == (*group)->end() ? nullptr : &found->second;
}

std::size_t ServerPool::countUsable(const ServiceName& service) const {
  const auto group = groups_.find(service);
  if (group == groups_.end()) return 0;
  return static_cast<std::size_t>(std::count_if(group->second.begin(), group->second.end(),
                                                [](const auto& entry) { return usable(entry.second); }));
}

std::size_t ServerPool::countEjected(Span now, const ServiceName& service) const {
  const auto group = groups_.find(service);
  if (group == groups_.end()) return 0;
  return static_cast<std::size_t>(
      std::count_if(group->second.begin(), group->second.end(), [&](const auto& entry) {
        return usable(entry.second) && entry.second.ejected && entry.second.probeAt > now;
      }));
}

void ServerPool::sweep(Span now) {
  for (auto& [service, group] : groups_) {
    for (auto it = group.begin(); it != group.end();) {
      const Server& server = it->second;
      const bool expired = server.record.gone || server.record.replaced ||
                           (!server.connected && server.connectionChangedAt + kDisconnectedRetention < now);
      if (expired && server.inFlight == 0) {
        serviceOf_.erase(it->first);
        it = group.erase(it);
      } else {
        ++it;
      }
    }
  }
}

// The cap on the ejected share applies when a server is ejected and may be exceeded when others leave later,
// so it is not checked here.
void ServerPool::checkInvariants(const Group& group) const {
  for (const auto& [id, server] : group) {
    assert(server.weight >= kMinWeight && server.weight <= 1);
    assert(!server.probing || server.ejected);
    static_cast<void>(id);
    static_cast<void>(server);
  }
}

}  // namespace rackroute::mesh
