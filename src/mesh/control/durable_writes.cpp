#include "mesh/control/durable_writes.hpp"

#include <algorithm>
#include <cassert>

namespace rackroute::mesh {
namespace {

constexpr Span kRetryInterval = std::chrono::milliseconds(250);  // the store pauses as long after a failure
// Bounds memory when the disk fails or hangs for a long time. Holds several minutes of promises at full load.
constexpr std::size_t kMaxPendingBytes = 16 * 1024 * 1024;
constexpr std::size_t kMaxPendingBatches = 50'000;  // small batches cost more than their bytes

std::size_t sizeOf(const std::string& key, const std::optional<std::string>& value) {
  return key.size() + (value ? value->size() : 0);
}

}  // namespace

std::uint64_t PendingWrites::submit(const std::vector<StoreEntry>& entries) {
  const std::uint64_t number = ++lastBatch_;
  for (const auto& [name, value] : entries) {
    Key& key = keys_[name];
    ++key.inFlight;
    bytes_ += sizeOf(name, value);
  }
  inFlight_.push_back({number, entries});
  return number;
}

std::vector<std::uint64_t> PendingWrites::completed(std::uint64_t batch, bool succeeded) {
  // Results must arrive in submission order; any other result is ignored.
  assert(!inFlight_.empty() && inFlight_.front().number == batch);
  if (inFlight_.empty() || inFlight_.front().number != batch) return {};
  const WriteBatch finished = std::move(inFlight_.front());
  inFlight_.pop_front();
  for (const StoreEntry& entry : finished.entries) applyResult(entry, batch, succeeded);
  if (succeeded) writtenBatches_.push_back(batch);
  return takeDurableBatches();
}

// Results arrive in submission order, so the last one for a key is for its latest entry.
void PendingWrites::applyResult(const StoreEntry& entry, std::uint64_t batch, bool succeeded) {
  const auto found = keys_.find(entry.first);
  Key& key = found->second;
  --key.inFlight;
  bytes_ -= sizeOf(entry.first, entry.second);
  const std::uint64_t firstFailure = key.failedIn == 0 ? batch : key.failedIn;
  clearFailure(entry.first, key);
  if (!succeeded) {
    key.failedIn = firstFailure;
    key.failedValue = entry.second;
    ++failedKeysByBatch_[firstFailure];
    failedKeys_.insert(entry.first);
    bytes_ += sizeOf(entry.first, entry.second);
  } else if (key.inFlight == 0) {
    keys_.erase(found);
  }
}

void PendingWrites::clearFailure(const std::string& name, Key& key) {
  if (key.failedIn == 0) return;
  const auto count = failedKeysByBatch_.find(key.failedIn);
  if (--count->second == 0) failedKeysByBatch_.erase(count);
  bytes_ -= sizeOf(name, key.failedValue);
  failedKeys_.erase(name);
  key.failedIn = 0;
  key.failedValue.reset();
}

// A batch is not reported as durable before all earlier ones are, because its contents may depend on them:
// for example, votes of an epoch whose voter set is not on disk yet.
std::vector<std::uint64_t> PendingWrites::takeDurableBatches() {
  std::vector<std::uint64_t> durable;
  while (!writtenBatches_.empty() &&
         (failedKeysByBatch_.empty() || writtenBatches_.front() < failedKeysByBatch_.begin()->first)) {
    durable.push_back(writtenBatches_.front());
    writtenBatches_.pop_front();
  }
  return durable;
}

std::optional<WriteBatch> PendingWrites::retry(Span now) {
  if (failedKeys_.empty() || now < nextRetry_) return std::nullopt;
  WriteBatch batch;
  for (const std::string& name : failedKeys_) {
    const Key& key = keys_.at(name);
    // A retry must not overwrite a newer entry that is in flight, nor split entries that belong together, so
    // it waits for the results of all of them.
    if (key.inFlight > 0) return std::nullopt;
    batch.entries.emplace_back(name, key.failedValue);
  }
  nextRetry_ = now + kRetryInterval;
  batch.number = submit(batch.entries);
  return batch;
}

std::vector<std::string> PendingWrites::pendingKeys() const {
  std::vector<std::string> names;
  for (const auto& [name, key] : keys_) names.push_back(name);
  return names;
}

bool PendingWrites::full() const {
  return bytes_ >= kMaxPendingBytes || inFlight_.size() + writtenBatches_.size() >= kMaxPendingBatches;
}

}  // namespace rackroute::mesh
