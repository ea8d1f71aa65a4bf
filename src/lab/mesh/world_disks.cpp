#include "lab/mesh/emulated.hpp"

namespace rackroute::lab::mesh::emulated {
namespace {

constexpr double kChangesOfAWrite = 6;  // of files and names, at most, unless the database begins a new log

}  // namespace

bool World::openDisk(std::size_t machine, const ControlNode::Options& built) {
  Core& here = core(machine);
  Disk& disk = here.disk;
  disk.waiting.clear();
  disk.syncing = 0;
  ControlNode::Options anew = built;
  for (;;) {
    here.control = std::make_unique<ControlNode>(anew);
    disk.database = std::make_unique<Database>("/data", disk.files->fileSystem());
    const OpenOutcome outcome = disk.database->open([&](const std::string& key, const std::string& value) {
      if (const auto read = here.control->restore(key, value); !read)
        judge_.failed(now_, "STORE", read.error().line());
    });
    disk.files->runScheduled();
    if (outcome.state == OpenState::opened) return true;
    const bool unreadable = outcome.state == OpenState::corrupt;
    if (unreadable) judge_.failed(now_, "STORE unreadable", outcome.error.line());
    if (!unreadable || !disk.database->setAside()) return false;
    anew.firstBoot = false;
  }
}

bool World::writeInFlight(Disk& disk) {
  std::vector<const Entries*> batches;
  for (std::size_t i = 0; i < disk.syncing; ++i) batches.push_back(&disk.waiting[i].second);
  const bool done = disk.database->write(batches);
  disk.files->runScheduled();
  return done;
}

// What was being written is there, missing or torn.
void World::endDisk(std::size_t machine, bool power) {
  Disk& disk = core(machine).disk;
  if (disk.syncing > 0) {
    disk.files->endAfter(static_cast<std::uint64_t>(uniform01(network_) * kChangesOfAWrite));
    writeInFlight(disk);
  }
  disk.database.reset();
  disk.files->restart(power, network_);
  disk.waiting.clear();
  disk.syncing = 0;
}

void World::wipeDisk(std::size_t machine) { core(machine).disk.files->wipe(); }

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
  synced(machine, writeInFlight(disk));
}

void World::synced(std::size_t machine, bool done) {
  Disk& disk = core(machine).disk;
  std::vector<std::uint64_t> batches;
  for (; disk.syncing > 0; --disk.syncing) {
    batches.push_back(disk.waiting.front().first);
    disk.waiting.pop_front();
  }
  sync(machine);
  for (const std::uint64_t batch : batches)
    act(machine, core(machine).control->writeCompleted(now_, {batch}, done));
}

}  // namespace rackroute::lab::mesh::emulated
