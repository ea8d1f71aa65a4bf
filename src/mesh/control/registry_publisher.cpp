#include "mesh/control/registry_publisher.hpp"

#include <utility>

namespace rackroute::mesh {

void RegistryPublisher::sidecarConnected(Span now, const NodeName& node, Updates& updates) {
  if (registry_.setLocalSession(now, node, true)) notifyFollowers(registry_.serversOn(node), updates);
  updates.controls.nodes.emplace_back(node, true);
}

void RegistryPublisher::sidecarDisconnected(Span now, SessionNo session, const NodeName& node,
                                            Updates& updates) {
  follows_.erase(session);
  if (registry_.setLocalSession(now, node, false)) notifyFollowers(registry_.serversOn(node), updates);
  updates.controls.nodes.emplace_back(node, false);
}

void RegistryPublisher::serversReported(const ServersUpdate& update, Updates& updates) {
  std::vector<ServerStatus> changed;
  for (const ServerStatus& status : update.servers) {
    for (ServerRecord& served : registry_.update(status.served)) {
      const bool connected = registry_.connected(served.node);
      changed.push_back({std::move(served), connected});
    }
  }
  notifyFollowers(changed, updates);
  updates.controls.servers.insert(updates.controls.servers.end(), changed.begin(), changed.end());
}

void RegistryPublisher::follow(SessionNo session, const Subscribe& follow, Updates& updates) {
  std::set<ServiceName>& followed = follows_[session];
  std::set<ServiceName> services;
  ServersUpdate update;
  for (const ServiceName& service : follow.services) {
    services.insert(service);
    if (followed.count(service) > 0) continue;
    for (ServerStatus& status : registry_.serversOf(service)) update.servers.push_back(std::move(status));
  }
  followed = std::move(services);
  if (!update.servers.empty()) updates.followers.push_back({std::move(update), {session}});
}

void RegistryPublisher::registryReported(Span now, const Address& reporter, const RegistryUpdate& update,
                                         Updates& updates) {
  std::vector<ServerStatus> changed;
  for (const ServerStatus& status : update.servers) {
    for (ServerRecord& served : registry_.update(status.served))
      changed.push_back({std::move(served), false});
  }
  for (const auto& [node, connected] : update.nodes) {
    if (registry_.setReportedSession(now, reporter, node, connected))
      notifyFollowers(registry_.serversOn(node), updates);
  }
  for (ServerStatus& status : changed) status.connected = registry_.connected(status.served.node);
  notifyFollowers(changed, updates);
}

void RegistryPublisher::reporterLost(Span now, const Address& reporter, Updates& updates) {
  for (const NodeName& node : registry_.removeReporter(now, reporter))
    notifyFollowers(registry_.serversOn(node), updates);
}

RegistryUpdate RegistryPublisher::localState() const {
  RegistryUpdate update;
  for (const NodeName& node : registry_.localNodes()) {
    update.nodes.emplace_back(node, true);
    for (ServerStatus& status : registry_.serversOn(node)) update.servers.push_back(std::move(status));
  }
  return update;
}

ServersUpdate RegistryPublisher::departuresOn(const NodeName& node) const {
  ServersUpdate update;
  for (ServerStatus& status : registry_.serversOn(node)) {
    if (status.served.draining || status.served.gone) update.servers.push_back(std::move(status));
  }
  return update;
}

void RegistryPublisher::notifyFollowers(const std::vector<ServerStatus>& changed, Updates& updates) const {
  std::map<std::vector<std::size_t>, std::vector<SessionNo>> recipients;  // by followed indices of changed
  for (const auto& [session, services] : follows_) {
    std::vector<std::size_t> followed;
    for (std::size_t i = 0; i < changed.size(); ++i) {
      if (services.count(changed[i].served.service) > 0) followed.push_back(i);
    }
    if (!followed.empty()) recipients[std::move(followed)].push_back(session);
  }
  for (auto& [followed, sessions] : recipients) {
    ServersUpdate update;
    for (const std::size_t i : followed) update.servers.push_back(changed[i]);
    updates.followers.push_back({std::move(update), std::move(sessions)});
  }
}

}  // namespace rackroute::mesh
