#include "mesh/registry/registry.hpp"

#include <algorithm>
#include <utility>

#include "mesh/registry/server_news_merge.hpp"

namespace rackroute::mesh {
namespace {

using namespace std::chrono_literals;

constexpr Span kCounted = 60s;      // silent members still share the allowance of further tries that long
constexpr Span kKeptSilent = 300s;  // a member's servers, before it is forgotten
/// What a server said of its leaving: longer than any news of it is on its way, and than it serves on.
constexpr Span kKeptDeparted = 60s;

}  // namespace

bool Registry::heardHere(Span now, const NodeName& node, bool heard) {
  Member& member = members_[node];
  const bool before = isHeard(member);
  member.here = heard;
  member.lastHeard = now;
  return before != isHeard(member);
}

bool Registry::heardThere(Span now, const Address& teller, const NodeName& node, bool heard) {
  Member& member = members_[node];
  const bool before = isHeard(member);
  if (heard) {
    member.tellers.insert(teller);
  } else {
    member.tellers.erase(teller);
  }
  member.lastHeard = now;
  return before != isHeard(member);
}

std::vector<NodeName> Registry::forgetTeller(Span now, const Address& teller) {
  std::vector<NodeName> changed;
  for (auto& [node, member] : members_) {
    if (member.tellers.erase(teller) == 0) continue;
    member.lastHeard = now;
    if (!isHeard(member)) changed.push_back(node);
  }
  return changed;
}

std::vector<Served> Registry::told(const Served& served) {
  const auto [found, added] = servers_.try_emplace(served.id, served);
  std::vector<Served> changed;
  if (!added && !mergeNews(found->second, served)) return changed;
  changed.push_back(found->second);
  replaceEarlier(found->second, changed);
  return changed;
}

// Guards against a server that ended with its machine and said nothing: the process that came back has
// another one, and is heard, so that the earlier one would count as heard too.
void Registry::replaceEarlier(const Served& served, std::vector<Served>& changed) {
  if (served.gone || served.replaced) return;
  for (auto& [id, other] : servers_) {
    if (other.node != served.node || other.life >= served.life || other.gone || other.replaced) continue;
    other.replaced = true;
    changed.push_back(other);
  }
}

bool Registry::heard(const NodeName& node) const {
  const auto found = members_.find(node);
  return found != members_.end() && isHeard(found->second);
}

std::vector<NodeName> Registry::here() const {
  std::vector<NodeName> nodes;
  for (const auto& [node, member] : members_) {
    if (member.here) nodes.push_back(node);
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

std::vector<News> Registry::of(const ServiceName& service) const {
  std::vector<News> all;
  for (const auto& [id, served] : servers_) {
    if (served.service == service) all.push_back({served, heard(served.node)});
  }
  return all;
}

std::vector<News> Registry::on(const NodeName& node) const {
  std::vector<News> all;
  for (const auto& [id, served] : servers_) {
    if (served.node == node) all.push_back({served, heard(node)});
  }
  return all;
}

std::size_t Registry::members(Span now) const {
  return static_cast<std::size_t>(std::count_if(members_.begin(), members_.end(), [&](const auto& entry) {
    return isHeard(entry.second) || entry.second.lastHeard + kCounted > now;
  }));
}

std::vector<InstanceId> Registry::sweep(Span now) {
  std::vector<InstanceId> departed;
  for (auto at = members_.begin(); at != members_.end();) {
    const bool over = !isHeard(at->second) && at->second.lastHeard + kKeptSilent < now;
    at = over ? members_.erase(at) : std::next(at);
  }
  for (auto at = servers_.begin(); at != servers_.end();) {
    const Served& server = at->second;
    bool over = members_.count(server.node) == 0;
    // Guards against a leaving that is forgotten with its sidecar, whose next life does not know of it.
    if (server.draining || server.gone || server.replaced)
      over = departedSince_.try_emplace(at->first, now).first->second + kKeptDeparted < now;
    if (over && (server.draining || server.gone)) departed.push_back(at->first);
    if (over) departedSince_.erase(at->first);
    at = over ? servers_.erase(at) : std::next(at);
  }
  return departed;
}

}  // namespace rackroute::mesh
