#include "mesh/control/durable_writes.hpp"

#include <algorithm>
#include <cassert>

namespace rackroute::mesh {
namespace {

constexpr Span kRetryPause = std::chrono::milliseconds(250);  // as long as the store pauses after a refusal
// Some minutes of promises at full load: a disk that refuses or hangs for longer must not eat the memory.
constexpr std::size_t kMostPendingBytes = 16 * 1024 * 1024;
constexpr std::size_t kMostPendingBatches = 50'000;  // small ones cost more than their bytes

std::size_t sizeOf(const std::string& key, const std::optional<std::string>& value) {
  return key.size() + (value ? value->size() : 0);
}

}  // namespace

std::uint64_t PendingWrites::begin(const std::vector<StoreEntry>& entries) {
  const std::uint64_t number = ++last_;
  for (const auto& [name, value] : entries) {
    Key& key = keys_[name];
    ++key.inFlight;
    bytes_ += sizeOf(name, value);
  }
  inFlight_.push_back({number, entries});
  return number;
}

std::vector<std::uint64_t> PendingWrites::written(std::uint64_t batch, bool done) {
  // Guards against word of a batch that was never submitted, or out of order: nothing follows from it.
  assert(!inFlight_.empty() && inFlight_.front().number == batch);
  if (inFlight_.empty() || inFlight_.front().number != batch) return {};
  const WriteBatch told = std::move(inFlight_.front());
  inFlight_.pop_front();
  for (const StoreEntry& entry : told.entries) settle(entry, batch, done);
  if (done) written_.push_back(batch);
  return takeDurable();
}

// Entries settle in the order in which they were submitted, so the last word of a key is the latest.
void PendingWrites::settle(const StoreEntry& entry, std::uint64_t batch, bool done) {
  const auto found = keys_.find(entry.first);
  Key& key = found->second;
  --key.inFlight;
  bytes_ -= sizeOf(entry.first, entry.second);
  const std::uint64_t refusedFirst = key.refusedIn == 0 ? batch : key.refusedIn;
  forgetRefusal(entry.first, key);
  if (!done) {
    key.refusedIn = refusedFirst;
    key.refused = entry.second;
    ++refusedIn_[refusedFirst];
    refusedKeys_.insert(entry.first);
    bytes_ += sizeOf(entry.first, entry.second);
  } else if (key.inFlight == 0) {
    keys_.erase(found);
  }
}

void PendingWrites::forgetRefusal(const std::string& name, Key& key) {
  if (key.refusedIn == 0) return;
  const auto count = refusedIn_.find(key.refusedIn);
  if (--count->second == 0) refusedIn_.erase(count);
  bytes_ -= sizeOf(name, key.refused);
  refusedKeys_.erase(name);
  key.refusedIn = 0;
  key.refused.reset();
}

// Guards against a batch that is told of as durable while one before it is not, as what it holds may rest on
// that: votes of an epoch whose set is not on disk yet.
std::vector<std::uint64_t> PendingWrites::takeDurable() {
  std::vector<std::uint64_t> durable;
  while (!written_.empty() && (refusedIn_.empty() || written_.front() < refusedIn_.begin()->first)) {
    durable.push_back(written_.front());
    written_.pop_front();
  }
  return durable;
}

std::optional<WriteBatch> PendingWrites::retry(Span now) {
  if (refusedKeys_.empty() || now < nextRetry_) return std::nullopt;
  WriteBatch again;
  for (const std::string& name : refusedKeys_) {
    const Key& key = keys_.at(name);
    // Guards against an older entry that goes over a newer one, and against half of what belongs together:
    // the word of the newer one, or of the last retry, comes first.
    if (key.inFlight > 0) return std::nullopt;
    again.entries.emplace_back(name, key.refused);
  }
  nextRetry_ = now + kRetryPause;
  again.number = begin(again.entries);
  return again;
}

std::vector<std::string> PendingWrites::pendingKeys() const {
  std::vector<std::string> names;
  for (const auto& [name, key] : keys_) names.push_back(name);
  return names;
}

bool PendingWrites::full() const {
  return bytes_ >= kMostPendingBytes || inFlight_.size() + written_.size() >= kMostPendingBatches;
}

}  // namespace rackroute::mesh
