#include "mesh/balancing/server_pool.hpp"

#include <xxhash.h>

#include <algorithm>
#include <cassert>
#include <utility>

#include "mesh/registry/server_news_merge.hpp"

namespace rackroute::mesh {
namespace {

using namespace std::chrono_literals;

constexpr std::uint32_t kRunToEject = 5;     // failures in a row, as the source has it
constexpr Span kOut = 10s;                   // until the trial, in the mean; the source has 30 s
constexpr double kOutSpread = 0.5;           // of that; who ejected together does not try again together
constexpr double kMostOut = 0.5;             // of a service's servers
constexpr double kGain = 0.1;                // of weight for a success
constexpr double kFloor = 0.05;              // of weight
constexpr std::uint32_t kSpareInFlight = 2;  // beyond twice the mean, before a server is skipped
constexpr double kColdPart = 0.3;            // of its chance while a server is cold
constexpr double kElsewhere = 0.1;   // chance of a server in another zone beside one here with equal room
constexpr double kAmpleRoom = 0.2;   // of the own zone's slots; with less the others' chance rises
constexpr double kLeastRoom = 0.02;  // a full server is still picked now and then, to see it empty
constexpr Span kVoteless = 700ms;    // without keyed work for a process that reached no quorum
constexpr Span kStrange = 3s;        // without work for a server that its process does not know
constexpr Span kUnheardKept = 120s;  // a season of cuts is shorter; afterwards a silent server is gone

}  // namespace

ServerPool::ServerPool(std::string ownZone, NodeName self, std::uint64_t seed)
    : ownZone_(std::move(ownZone)), self_(std::move(self)), chance_(seed) {}

void ServerPool::told(Span now, const Served& server, bool heard) {
  Group& group = groups_[server.service];
  const auto found = group.find(server.id);
  if (found == group.end()) {
    if (server.gone || server.replaced) return;
    Server fresh;
    fresh.told = server;
    fresh.heard = heard;
    fresh.unheardSince = now;
    fresh.coldUntil = now + server.coldLeft;
    // A new server's weight starts at the mean of the others, or 1 if there is none.
    double sum = 0;
    for (const auto& [id, other] : group) sum += other.weight;
    if (!group.empty()) fresh.weight = sum / static_cast<double>(group.size());
    group.emplace(server.id, std::move(fresh));
    serviceOf_[server.id] = server.service;
    return;
  }
  Server& held = found->second;
  const LifeNo life = held.told.life;
  const bool newer = std::pair(server.life, server.seq) > std::pair(life, held.told.seq);
  mergeNews(held.told, server);
  if (newer) {
    held.coldUntil = now + server.coldLeft;
    held.strangeUntil = Span{0};
    if (server.life != life) held.leaving = false;
  }
  if (held.heard != heard) held.unheardSince = now;
  held.heard = heard;
}

double ServerPool::slotsOf(const Server& server) { return std::max<std::uint32_t>(server.told.capacity, 1); }

// Free slots as its admission told last, less what was sent from here since.
double ServerPool::roomOf(const Server& server) {
  const double since = static_cast<double>(server.mine) - static_cast<double>(server.mineThen);
  return slotsOf(server) - std::max(0.0, server.load.busy + server.load.queued + since);
}

// Bytes between zones are dear, waiting is dearer: the fuller the own zone, the more goes elsewhere.
double ServerPool::elsewhere(Span now, const Group& group) const {
  double slots = 0;
  double room = 0;
  for (const auto& [id, server] : group) {
    if (server.told.zone != ownZone_ || !known(now, server) || server.out || !server.heard) continue;
    slots += slotsOf(server);
    room += std::max(0.0, roomOf(server)) * server.weight;
  }
  if (slots <= 0) return 1;
  return 1 - (1 - kElsewhere) * std::min(1.0, room / slots / kAmpleRoom);
}

double ServerPool::chance(Span now, const Server& server, double elsewhere) const {
  const double slots = slotsOf(server);
  double chance = server.weight * std::max(kLeastRoom * slots, roomOf(server));
  if (server.told.zone != ownZone_) chance *= elsewhere;
  if (server.coldUntil > now) chance *= kColdPart;
  return chance;
}

std::optional<Picked> ServerPool::pick(Span now, const ServiceName& service, bool keyed,
                                       const std::set<InstanceId>& but) {
  const auto found = groups_.find(service);
  if (found == groups_.end()) return std::nullopt;
  Group& group = found->second;
  check(group);
  std::size_t usableCount = 0;
  std::size_t knownCount = 0;
  std::size_t unheard = 0;
  double inFlight = 0;
  for (const auto& [id, server] : group) {
    if (!usable(server)) continue;
    ++usableCount;
    if (!known(now, server)) continue;
    ++knownCount;
    if (!server.heard) ++unheard;
    inFlight += server.mine;
  }
  if (usableCount == 0) return std::nullopt;
  // Guards against a detector that is deaf itself: when it misses half of the servers at once, it is doubted.
  const bool doubted = 2 * unheard >= knownCount;
  const double mean = inFlight / static_cast<double>(std::max<std::size_t>(knownCount, 1));
  const double others = elsewhere(now, group);
  std::vector<std::pair<double, Server*>> open;
  // First with all that advises against a server, then without, then with servers whose failures ejected
  // them long enough for a trial.
  for (int strict = 2; strict >= 0 && open.empty(); --strict) {
    for (auto& [id, server] : group) {
      if (!usable(server) || but.count(id) > 0) continue;
      if (server.out && (server.onTrial || server.trialAt > now)) continue;
      if (strict > 0 && !known(now, server)) continue;
      if (strict > 0 && !server.heard && !doubted) continue;
      if (strict > 0 && keyed && server.votelessUntil > now) continue;
      if (strict > 1 && server.mine > 2 * mean + kSpareInFlight) continue;
      open.emplace_back(chance(now, server, others), &server);
    }
  }
  if (open.empty()) return std::nullopt;
  double sum = 0;
  for (const auto& candidate : open) sum += candidate.first;
  double left = std::uniform_real_distribution<double>(0, sum)(chance_);
  Server* chosen = open.back().second;
  for (const auto& [chance, server] : open) {
    if (left < chance) {
      chosen = server;
      break;
    }
    left -= chance;
  }
  ++chosen->mine;
  if (chosen->out) chosen->onTrial = true;
  return Picked{chosen->told.id, chosen->told.at, chosen->told.life};
}

void ServerPool::failed(Span now, Server& server, Group& group) {
  server.weight = std::max(kFloor, server.weight / 2);
  ++server.run;
  const auto outUntil = [&] {
    const std::string pair = self_.value + '/' + server.told.id.value;
    const double part = static_cast<double>(XXH3_64bits(pair.data(), pair.size()) % 1000) / 1000;
    return now + std::chrono::duration_cast<Span>(kOut * (1 - kOutSpread / 2 + kOutSpread * part));
  };
  if (server.out) {
    server.onTrial = false;
    server.trialAt = outUntil();
    return;
  }
  if (server.run < kRunToEject) return;
  std::size_t all = 0;
  std::size_t out = 0;
  for (const auto& [id, other] : group) {
    if (!known(now, other)) continue;
    ++all;
    if (other.out) ++out;
  }
  // Guards against a broken way that looks like broken servers: past the cap nothing more is ejected.
  if (static_cast<double>(out + 1) > kMostOut * static_cast<double>(all)) return;
  server.out = true;
  server.onTrial = false;
  server.trialAt = outUntil();
}

void ServerPool::ended(Span now, const InstanceId& id, Ending ending, const std::optional<Load>& load) {
  Group* group = nullptr;
  Server* server = find(id, &group);
  if (server == nullptr) return;
  if (server->mine > 0) --server->mine;
  if (load) {
    server->load = *load;
    server->mineThen = server->mine;
  }
  switch (ending) {
    case Ending::served:
      server->weight = std::min(1.0, server->weight + kGain);
      server->run = 0;
      server->out = server->onTrial = false;
      break;
    case Ending::erred:
      // It runs and answers; that counts for its weight, not for a run of failures.
      server->weight = std::max(kFloor, server->weight / 2);
      server->run = 0;
      server->out = server->onTrial = false;
      break;
    case Ending::failed:
    case Ending::wayFailed:
      failed(now, *server, *group);
      break;
    case Ending::leaving:
      server->leaving = true;
      break;
    case Ending::strange:
      // Its own process says so, which is no detector's doubt: until other news of it, or a while later.
      server->strangeUntil = now + kStrange;
      break;
    case Ending::voteless:
      server->votelessUntil = now + kVoteless;
      break;
    case Ending::full:
      break;
  }
  // A trial that told nothing of the server's health leaves it out, for the next request to try.
  if (server->out) server->onTrial = false;
}

ServerPool::Server* ServerPool::find(const InstanceId& id, Group** group) {
  const auto service = serviceOf_.find(id);
  if (service == serviceOf_.end()) return nullptr;
  *group = &groups_[service->second];
  const auto found = (*group)->find(id);
  return found == (*group)->end() ? nullptr : &found->second;
}

std::size_t ServerPool::standing(const ServiceName& service) const {
  const auto group = groups_.find(service);
  if (group == groups_.end()) return 0;
  return static_cast<std::size_t>(std::count_if(group->second.begin(), group->second.end(),
                                                [](const auto& entry) { return usable(entry.second); }));
}

std::size_t ServerPool::ejected(Span now, const ServiceName& service) const {
  const auto group = groups_.find(service);
  if (group == groups_.end()) return 0;
  return static_cast<std::size_t>(
      std::count_if(group->second.begin(), group->second.end(), [&](const auto& entry) {
        return usable(entry.second) && entry.second.out && entry.second.trialAt > now;
      }));
}

void ServerPool::sweep(Span now) {
  for (auto& [service, group] : groups_) {
    for (auto at = group.begin(); at != group.end();) {
      const Server& server = at->second;
      const bool over = server.told.gone || server.told.replaced ||
                        (!server.heard && server.unheardSince + kUnheardKept < now);
      if (over && server.mine == 0) {
        serviceOf_.erase(at->first);
        at = group.erase(at);
      } else {
        ++at;
      }
    }
  }
}

// The cap binds when a server is ejected; servers that leave later may shrink the pool under it.
void ServerPool::check(const Group& group) const {
  for (const auto& [id, server] : group) {
    assert(server.weight >= kFloor && server.weight <= 1);
    assert(!server.onTrial || server.out);
    static_cast<void>(id);
    static_cast<void>(server);
  }
}

}  // namespace rackroute::mesh
