#include "lab/registry_model.hpp"

#include <algorithm>
#include <utility>

namespace rackroute::lab {

void RegistryModel::add(const RegisteredServer& server, bool listed) {
  entries_.push_back({server, listed ? Lifecycle::serving : Lifecycle::removed, std::nullopt});
}

void RegistryModel::change(ServerId server, Lifecycle lifecycle, std::optional<Span> startedAt) {
  const auto at = std::find_if(entries_.begin(), entries_.end(),
                               [&](const RegistryEntry& entry) { return entry.server.id == server; });
  if (at == entries_.end()) return;
  at->lifecycle = lifecycle;
  at->startedAt = startedAt;
  log_.push_back(at->server.index);
}

std::vector<std::uint32_t> RegistryModel::setOutage(bool inOutage) {
  out_ = inOutage;
  std::vector<std::uint32_t> broken;
  if (inOutage && onRequest_) {
    broken = watching();
    watching_.clear();
  }
  return broken;
}

std::optional<Span> RegistryModel::admitCall(Span at) {
  if (out_) return std::nullopt;
  const Span begins = std::max(idleAt_, at);
  if (begins - at > maxWait_) return std::nullopt;
  idleAt_ = begins + callWork_;
  return idleAt_;
}

void RegistryModel::subscribe(std::uint32_t balancer, bool watches) {
  if (watches) watching_.insert(balancer);
}

std::vector<RegistryEntry> RegistryModel::takeChanges(std::uint32_t balancer) {
  std::vector<std::size_t> indexes(log_.begin() + static_cast<std::ptrdiff_t>(sentUpTo_[balancer]),
                                   log_.end());
  sentUpTo_[balancer] = log_.size();
  std::sort(indexes.begin(), indexes.end());
  indexes.erase(std::unique(indexes.begin(), indexes.end()), indexes.end());
  std::vector<RegistryEntry> changes;
  for (const std::size_t index : indexes) changes.push_back(entries_[index]);
  return changes;
}

std::vector<RegistryEntry> RegistryModel::snapshot() const {
  std::vector<RegistryEntry> all;
  for (const RegistryEntry& entry : entries_) {
    if (entry.lifecycle == Lifecycle::removed) continue;
    if (std::find(hidden_.begin(), hidden_.end(), entry.server.id) == hidden_.end()) all.push_back(entry);
  }
  return all;
}

}  // namespace rackroute::lab
