#include "mesh/control/server_news.hpp"

#include <utility>

namespace rackroute::mesh {

void ServerNews::sidecarCame(Span now, const NodeName& node, Out& out) {
  if (registry_.heardHere(now, node, true)) tellFollowers(registry_.on(node), out);
  out.controls.nodes.emplace_back(node, true);
}

void ServerNews::sidecarLeft(Span now, SessionNo session, const NodeName& node, Out& out) {
  follows_.erase(session);
  if (registry_.heardHere(now, node, false)) tellFollowers(registry_.on(node), out);
  out.controls.nodes.emplace_back(node, false);
}

void ServerNews::told(const ServersUpdate& update, Out& out) {
  std::vector<News> fresh;
  for (const News& news : update.servers) {
    for (Served& served : registry_.told(news.served)) {
      const bool heard = registry_.heard(served.node);
      fresh.push_back({std::move(served), heard});
    }
  }
  tellFollowers(fresh, out);
  out.controls.servers.insert(out.controls.servers.end(), fresh.begin(), fresh.end());
}

void ServerNews::follow(SessionNo session, const Subscribe& follow, Out& out) {
  std::set<ServiceName>& held = follows_[session];
  std::set<ServiceName> services;
  ServersUpdate update;
  for (const ServiceName& service : follow.services) {
    services.insert(service);
    if (held.count(service) > 0) continue;
    for (News& news : registry_.of(service)) update.servers.push_back(std::move(news));
  }
  held = std::move(services);
  if (!update.servers.empty()) out.followers.push_back({std::move(update), {session}});
}

void ServerNews::told(Span now, const Address& teller, const RegistryUpdate& update, Out& out) {
  std::vector<News> fresh;
  for (const News& news : update.servers) {
    for (Served& served : registry_.told(news.served)) fresh.push_back({std::move(served), false});
  }
  for (const auto& [node, stands] : update.nodes) {
    if (registry_.heardThere(now, teller, node, stands)) tellFollowers(registry_.on(node), out);
  }
  for (News& news : fresh) news.heard = registry_.heard(news.served.node);
  tellFollowers(fresh, out);
}

void ServerNews::tellerLost(Span now, const Address& teller, Out& out) {
  for (const NodeName& node : registry_.forgetTeller(now, teller)) tellFollowers(registry_.on(node), out);
}

RegistryUpdate ServerNews::all() const {
  RegistryUpdate update;
  for (const NodeName& node : registry_.here()) {
    update.nodes.emplace_back(node, true);
    for (News& news : registry_.on(node)) update.servers.push_back(std::move(news));
  }
  return update;
}

void ServerNews::tellFollowers(const std::vector<News>& all, Out& out) const {
  std::map<std::vector<std::size_t>, std::vector<SessionNo>> receivers;  // by which of the news they follow
  for (const auto& [session, services] : follows_) {
    std::vector<std::size_t> followed;
    for (std::size_t i = 0; i < all.size(); ++i) {
      if (services.count(all[i].served.service) > 0) followed.push_back(i);
    }
    if (!followed.empty()) receivers[std::move(followed)].push_back(session);
  }
  for (auto& [followed, sessions] : receivers) {
    ServersUpdate update;
    for (const std::size_t i : followed) update.servers.push_back(all[i]);
    out.followers.push_back({std::move(update), std::move(sessions)});
  }
}

}  // namespace rackroute::mesh
