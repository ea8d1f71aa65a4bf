#pragma once

// Tracks writes to the disk and the actions that wait for them. Batches of entries are numbered in submission
// order, and the store reports their results in that order. When a batch fails, the latest entry of each of
// its keys is kept in memory and retried until it is written. PendingWrites tracks the entries; DurableWrites
// also holds the action deferred until a batch is durable. Both are state machines without I/O or a clock.
//
// A deferred action is released only when its batch and all batches before it are on disk, so nothing that a
// power failure could undo is ever reported.

#include <cstddef>
#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "mesh/control/effects.hpp"

namespace rackroute::mesh {

/// Entries that are written to the disk together.
struct WriteBatch {
  std::uint64_t number = 0;
  std::vector<StoreEntry> entries;
};

/// Tracks which entries are not yet on disk.
class PendingWrites {
 public:
  /// Registers a batch that is being submitted and returns its number.
  std::uint64_t submit(const std::vector<StoreEntry>& entries);
  /// Handles the result of the oldest batch without one. Returns, in order, the batches that are now on disk
  /// together with all batches before them; a failed batch is never returned.
  std::vector<std::uint64_t> completed(std::uint64_t batch, bool succeeded);
  /// Returns all failed entries as one batch to submit now, if there are any and the retry interval has
  /// passed.
  std::optional<WriteBatch> retry(Span now);

  /// Whether everything submitted is on disk.
  [[nodiscard]] bool allDurable() const { return keys_.empty(); }
  /// Whether the latest entry of the key is in flight or failed.
  [[nodiscard]] bool isPending(const std::string& key) const { return keys_.count(key) > 0; }
  /// All pending keys in ascending order.
  [[nodiscard]] std::vector<std::string> pendingKeys() const;
  /// Whether so much data is pending that no more requests may be accepted until the disk has caught up.
  [[nodiscard]] bool full() const;

 private:
  struct Key {
    std::size_t inFlight = 0;                // batches in flight that write the key
    std::uint64_t failedIn = 0;              // first failed batch since the key was last written; 0 if none
    std::optional<std::string> failedValue;  // value in the last failed batch
  };
  void applyResult(const StoreEntry& entry, std::uint64_t batch, bool succeeded);
  void clearFailure(const std::string& name, Key& key);
  std::vector<std::uint64_t> takeDurableBatches();

  std::deque<WriteBatch> inFlight_;
  std::map<std::string, Key> keys_;                         // keys that are not durable
  std::set<std::string> failedKeys_;                        // those of them that failed
  std::map<std::uint64_t, std::size_t> failedKeysByBatch_;  // number of failed keys by Key::failedIn
  std::deque<std::uint64_t> writtenBatches_;                // written, but not yet returned by completed()
  std::size_t bytes_ = 0;                                   // in flight or failed
  std::uint64_t lastBatch_ = 0;
  Span nextRetry_{};
};

/// Tracks writes together with an action of type `Deferred` per batch, which is released once the batch is
/// durable.
template <class Deferred>
class DurableWrites {
 public:
  /// Returns the batch to submit now.
  WriteBatch submit(std::vector<StoreEntry> entries, Deferred deferred) {
    const std::uint64_t batch = pending_.submit(entries);
    deferred_.emplace(batch, std::move(deferred));
    return {batch, std::move(entries)};
  }
  /// As PendingWrites::completed(), but returns the deferred actions. Those of a failed batch are discarded:
  /// the requester retries, or submits another batch.
  std::vector<Deferred> completed(std::uint64_t batch, bool succeeded) {
    if (!succeeded) deferred_.erase(batch);
    std::vector<Deferred> ready;
    for (const std::uint64_t durable : pending_.completed(batch, succeeded)) {
      const auto found = deferred_.find(durable);
      if (found == deferred_.end()) continue;  // a retry batch
      ready.push_back(std::move(found->second));
      deferred_.erase(found);
    }
    return ready;
  }
  std::optional<WriteBatch> retry(Span now) { return pending_.retry(now); }

  [[nodiscard]] bool allDurable() const { return pending_.allDurable(); }
  [[nodiscard]] bool isPending(const std::string& key) const { return pending_.isPending(key); }
  [[nodiscard]] std::vector<std::string> pendingKeys() const { return pending_.pendingKeys(); }
  [[nodiscard]] bool full() const { return pending_.full(); }

 private:
  PendingWrites pending_;
  std::map<std::uint64_t, Deferred> deferred_;
};

}  // namespace rackroute::mesh
