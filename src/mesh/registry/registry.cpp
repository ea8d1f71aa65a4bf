#include "mesh/registry/registry.hpp"

#include <algorithm>
#include <utility>

#include "mesh/registry/server_record_merge.hpp"

namespace rackroute::mesh {
namespace {

using namespace std::chrono_literals;

constexpr Span kMemberCountedFor = 60s;  // how long a disconnected member still counts for the retry budget
constexpr Span kDisconnectedRetention = 300s;
/// Longer than any update about the server is in flight, and than a draining server keeps serving.
constexpr Span kDepartureRetention = 60s;

}  // namespace

bool Registry::setLocalSession(Span now, const NodeName& node, bool open) {
  Member& member = members_[node];
  const bool before = isConnected(member);
  member.local = open;
  member.lastChanged = now;
  return before != isConnected(member);
}

bool Registry::setReportedSession(Span now, const Address& reporter, const NodeName& node, bool open) {
  Member& member = members_[node];
  const bool before = isConnected(member);
  if (open) {
    member.reporters.insert(reporter);
  } else {
    member.reporters.erase(reporter);
  }
  member.lastChanged = now;
  return before != isConnected(member);
}

std::vector<NodeName> Registry::removeReporter(Span now, const Address& reporter) {
  std::vector<NodeName> changed;
  for (auto& [node, member] : members_) {
    if (member.reporters.erase(reporter) == 0) continue;
    member.lastChanged = now;
    if (!isConnected(member)) changed.push_back(node);
  }
  return changed;
}

std::vector<ServerRecord> Registry::update(const ServerRecord& served) {
  const auto [found, added] = servers_.try_emplace(served.id, served);
  std::vector<ServerRecord> changed;
  if (!added && !mergeServerRecord(found->second, served)) return changed;
  changed.push_back(found->second);
  replaceEarlier(found->second, changed);
  return changed;
}

// Handles a server that ended with its machine and never signed off: its sidecar has reconnected with another
// server, and the earlier one would otherwise count as connected, too.
void Registry::replaceEarlier(const ServerRecord& served, std::vector<ServerRecord>& changed) {
  if (served.gone || served.replaced) return;
  for (auto& [id, other] : servers_) {
    if (other.node != served.node || other.life >= served.life || other.gone || other.replaced) continue;
    other.replaced = true;
    changed.push_back(other);
  }
}

bool Registry::connected(const NodeName& node) const {
  const auto found = members_.find(node);
  return found != members_.end() && isConnected(found->second);
}

std::vector<NodeName> Registry::localNodes() const {
  std::vector<NodeName> nodes;
  for (const auto& [node, member] : members_) {
    if (member.local) nodes.push_back(node);
  }
  return nodes;
}

LifeNo Registry::highestLife(const NodeName& node) const {
  LifeNo highest;
  for (const auto& [id, served] : servers_) {
    if (served.node == node) highest = std::max(highest, served.life);
  }
  return highest;
}

std::vector<ServerStatus> Registry::serversOf(const ServiceName& service) const {
  std::vector<ServerStatus> all;
  for (const auto& [id, served] : servers_) {
    if (served.service == service) all.push_back({served, connected(served.node)});
  }
  return all;
}

std::vector<ServerStatus> Registry::serversOn(const NodeName& node) const {
  std::vector<ServerStatus> all;
  for (const auto& [id, served] : servers_) {
    if (served.node == node) all.push_back({served, connected(node)});
  }
  return all;
}

std::size_t Registry::members(Span now) const {
  return static_cast<std::size_t>(std::count_if(members_.begin(), members_.end(), [&](const auto& entry) {
    return isConnected(entry.second) || entry.second.lastChanged + kMemberCountedFor > now;
  }));
}

std::vector<InstanceId> Registry::sweep(Span now) {
  std::vector<InstanceId> departed;
  for (auto it = members_.begin(); it != members_.end();) {
    const bool expired = !isConnected(it->second) && it->second.lastChanged + kDisconnectedRetention < now;
    it = expired ? members_.erase(it) : std::next(it);
  }
  for (auto it = servers_.begin(); it != servers_.end();) {
    const ServerRecord& server = it->second;
    bool expired = members_.count(server.node) == 0;
    // A departure is kept longer than the member, as the sidecar may restart without knowledge of it.
    if (server.draining || server.gone || server.replaced)
      expired = departedSince_.try_emplace(it->first, now).first->second + kDepartureRetention < now;
    if (expired && (server.draining || server.gone)) departed.push_back(it->first);
    if (expired) departedSince_.erase(it->first);
    it = expired ? servers_.erase(it) : std::next(it);
  }
  return departed;
}

}  // namespace rackroute::mesh
