#include "lab/mesh/emulated.hpp"

namespace rackroute::lab::mesh::emulated {
namespace {

using Batch = std::vector<std::pair<std::string, std::optional<std::string>>>;

void applyBatch(const Batch& batch, std::map<std::string, std::string>& entries) {
  for (const auto& [key, value] : batch) {
    if (value) {
      entries[key] = *value;
    } else {
      entries.erase(key);
    }
  }
}

}  // namespace

// What was written and not yet synced: each later batch is there or not, and nothing after a missing one.
void World::loseDiskTail(std::size_t machine) {
  Disk& disk = core(machine).disk;
  std::size_t stays = 0;
  while (stays < disk.waiting.size() && fraction(network_) < 0.5) ++stays;
  for (std::size_t i = 0; i < stays; ++i) applyBatch(disk.waiting[i].second, disk.synced);
  disk.waiting.clear();
  disk.syncing = 0;
}

void World::sync(std::size_t machine) {
  Disk& disk = core(machine).disk;
  if (disk.syncing > 0 || disk.waiting.empty()) return;
  disk.syncing = disk.waiting.size();
  ++syncs_;
  const Span done = std::max(now_, disk.stalledUntil) + span(day_.sync * disk.slow);
  atProcess(done, machine, machines_[machine].life, [this, machine] { synced(machine); });
}

void World::synced(std::size_t machine) {
  Disk& disk = core(machine).disk;
  if (disk.stalledUntil > now_)
    return atProcess(disk.stalledUntil, machine, machines_[machine].life,
                     [this, machine] { synced(machine); });
  std::vector<std::uint64_t> done;
  const bool full = disk.full;
  for (; disk.syncing > 0; --disk.syncing) {
    if (!full) applyBatch(disk.waiting.front().second, disk.synced);
    done.push_back(disk.waiting.front().first);
    disk.waiting.pop_front();
  }
  sync(machine);
  for (const std::uint64_t batch : done) act(machine, core(machine).control->written(now_, {batch}, !full));
}

}  // namespace rackroute::lab::mesh::emulated
