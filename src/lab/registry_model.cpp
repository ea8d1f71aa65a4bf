#include "lab/registry_model.hpp"

#include <algorithm>
#include <utility>

namespace rackroute::lab {

void RegistryModel::add(const RegisteredServer& server, bool there) {
  entries_.push_back({server, there ? Lifecycle::serving : Lifecycle::removed, std::nullopt});
}

void RegistryModel::change(ServerId server, Lifecycle lifecycle, std::optional<Span> startedAt) {
  const auto at = std::find_if(entries_.begin(), entries_.end(),
                               [&](const RegistryEntry& entry) { return entry.server.id == server; });
  if (at == entries_.end()) return;
  at->lifecycle = lifecycle;
  at->startedAt = startedAt;
  log_.push_back(at->server.place);
}

std::vector<std::uint32_t> RegistryModel::out(bool isOut) {
  out_ = isOut;
  std::vector<std::uint32_t> broken;
  if (isOut && asked_) {
    broken = watching();
    watching_.clear();
  }
  return broken;
}

std::optional<Span> RegistryModel::call(Span at) {
  if (out_) return std::nullopt;
  const Span begins = std::max(free_, at);
  if (begins - at > patience_) return std::nullopt;
  free_ = begins + callWork_;
  return free_;
}

void RegistryModel::joined(std::uint32_t balancer, bool watches) {
  if (watches) watching_.insert(balancer);
}

std::vector<RegistryEntry> RegistryModel::changesFor(std::uint32_t balancer) {
  std::vector<std::size_t> places(log_.begin() + static_cast<std::ptrdiff_t>(told_[balancer]), log_.end());
  told_[balancer] = log_.size();
  std::sort(places.begin(), places.end());
  places.erase(std::unique(places.begin(), places.end()), places.end());
  std::vector<RegistryEntry> changes;
  for (const std::size_t place : places) changes.push_back(entries_[place]);
  return changes;
}

std::vector<RegistryEntry> RegistryModel::whole() const {
  std::vector<RegistryEntry> all;
  for (const RegistryEntry& entry : entries_) {
    if (entry.lifecycle == Lifecycle::removed) continue;
    if (std::find(hidden_.begin(), hidden_.end(), entry.server.id) == hidden_.end()) all.push_back(entry);
  }
  return all;
}

}  // namespace rackroute::lab
