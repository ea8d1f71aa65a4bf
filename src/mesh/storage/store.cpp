#include "mesh/storage/store.hpp"

#include <chrono>
#include <utility>

namespace rackroute::mesh {
namespace {

using namespace std::chrono_literals;

constexpr auto kRetryDelay = 250ms;  // after a failed write

}  // namespace

Store::Store(const std::string& dataFolder, FileSystem files) : database_(dataFolder, std::move(files)) {}

Store::~Store() {
  {
    const std::lock_guard guard(mutex_);
    stopping_ = true;
  }
  wakeup_.notify_one();
  if (thread_.joinable()) thread_.join();
}

void Store::start(WriteCallback callback) {
  callback_ = std::move(callback);
  thread_ = std::thread([this] { run(); });
}

void Store::write(std::uint64_t batch, Entries entries) {
  {
    const std::lock_guard guard(mutex_);
    waiting_.push_back({batch, std::move(entries)});
  }
  wakeup_.notify_one();
}

std::vector<Store::Batch> Store::nextBatches() {
  std::unique_lock lock(mutex_);
  wakeup_.wait(lock, [this] { return stopping_ || !waiting_.empty(); });
  return std::exchange(waiting_, {});
}

void Store::run() {
  for (;;) {
    const std::vector<Batch> batches = nextBatches();
    if (batches.empty()) return;
    std::vector<const Entries*> all;
    all.reserve(batches.size());
    for (const Batch& batch : batches) all.push_back(&batch.entries);
    const bool done = database_.write(all);
    for (const Batch& batch : batches) callback_(batch.no, done);
    if (!done) std::this_thread::sleep_for(kRetryDelay);
  }
}

}  // namespace rackroute::mesh
