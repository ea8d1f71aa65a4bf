#include "mesh/registry/registry.hpp"

#include <algorithm>
#include <utility>

namespace rackroute::mesh {
namespace {

using namespace std::chrono_literals;

constexpr Span kCounted = 60s;      // silent members still share the allowance of further tries that long
constexpr Span kKeptSilent = 300s;  // a member's servers, before it is forgotten
constexpr Span kKeptGone = 30s;     // a sign-off; longer than any news of the server is on its way

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

bool Registry::told(const Served& served) {
  const auto [found, added] = servers_.try_emplace(served.id, served);
  if (added) return true;
  if (std::pair(served.life, served.seq) <= std::pair(found->second.life, found->second.seq)) return false;
  found->second = served;
  return true;
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

void Registry::sweep(Span now) {
  for (auto at = members_.begin(); at != members_.end();) {
    const bool over = !isHeard(at->second) && at->second.lastHeard + kKeptSilent < now;
    at = over ? members_.erase(at) : std::next(at);
  }
  for (auto at = servers_.begin(); at != servers_.end();) {
    bool over = members_.count(at->second.node) == 0;
    if (at->second.gone)
      over = over || goneSince_.try_emplace(at->first, now).first->second + kKeptGone < now;
    if (over) goneSince_.erase(at->first);
    at = over ? servers_.erase(at) : std::next(at);
  }
}

}  // namespace rackroute::mesh
