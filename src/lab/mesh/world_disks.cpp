#include "lab/mesh/emulated_world.hpp"

namespace rackroute::lab::mesh::emulated {
namespace {

constexpr double kChangesPerWrite =
    6;  // upper bound of the file and name changes of one write without a log rotation

}  // namespace

bool World::openDisk(std::size_t machine, const ControlNode::Options& initial) {
  ControlHost& host = controlOn(machine);
  Disk& disk = host.disk;
  disk.pending.clear();
  disk.syncing = 0;
  ControlNode::Options options = initial;
  for (;;) {
    host.control = std::make_unique<ControlNode>(options);
    disk.database = std::make_unique<Database>("/data", disk.files->fileSystem());
    const OpenOutcome outcome = disk.database->open([&](const std::string& key, const std::string& value) {
      if (const auto restored = host.control->restore(key, value); !restored)
        judge_.reportViolation(now_, "STORE", restored.error().line());
    });
    disk.files->runScheduled();
    if (outcome.state == OpenState::opened) return true;
    const bool unreadable = outcome.state == OpenState::corrupt;
    if (unreadable) judge_.reportViolation(now_, "STORE unreadable", outcome.error.line());
    if (!unreadable || !disk.database->setAside()) return false;
    options.firstBoot = false;
  }
}

bool World::writePending(Disk& disk) {
  std::vector<const Entries*> batches;
  for (std::size_t i = 0; i < disk.syncing; ++i) batches.push_back(&disk.pending[i].second);
  const bool written = disk.database->write(batches);
  disk.files->runScheduled();
  return written;
}

// Ends a write in progress at a random point: it is kept, lost or torn.
void World::closeDisk(std::size_t machine, bool powerLoss) {
  Disk& disk = controlOn(machine).disk;
  if (disk.syncing > 0) {
    disk.files->failAfter(static_cast<std::uint64_t>(uniform01(network_) * kChangesPerWrite));
    writePending(disk);
  }
  disk.database.reset();
  disk.files->restart(powerLoss, network_);
  disk.pending.clear();
  disk.syncing = 0;
}

void World::wipeDisk(std::size_t machine) { controlOn(machine).disk.files->wipe(); }

void World::startSync(std::size_t machine) {
  Disk& disk = controlOn(machine).disk;
  if (disk.syncing > 0 || disk.pending.empty()) return;
  disk.syncing = disk.pending.size();
  ++syncs_;
  const Span done = std::max(now_, disk.stalledUntil) + span(day_.syncTime * disk.slowdown);
  runOnProcess(done, machine, machines_[machine].incarnation, [this, machine] { syncCompleted(machine); });
}

void World::syncCompleted(std::size_t machine) {
  Disk& disk = controlOn(machine).disk;
  if (disk.stalledUntil > now_)
    return runOnProcess(disk.stalledUntil, machine, machines_[machine].incarnation,
                        [this, machine] { syncCompleted(machine); });
  syncCompleted(machine, writePending(disk));
}

void World::syncCompleted(std::size_t machine, bool written) {
  Disk& disk = controlOn(machine).disk;
  std::vector<std::uint64_t> batches;
  for (; disk.syncing > 0; --disk.syncing) {
    batches.push_back(disk.pending.front().first);
    disk.pending.pop_front();
  }
  startSync(machine);
  for (const std::uint64_t batch : batches)
    execute(machine, controlOn(machine).control->writeCompleted(now_, {batch}, written));
}

}  // namespace rackroute::lab::mesh::emulated
