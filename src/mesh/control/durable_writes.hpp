#pragma once

// What the control process has given to its disk, and what waits for it. Batches of entries are numbered in
// the order in which they are submitted, and the disk tells of each in that order whether it is written. What
// a refused batch held stands only in memory then: the latest entry of each key is kept and offered again
// until it is written. PendingWrites owns the entries, DurableWrites also what waits for a batch; state
// machines without I/O or clock. They must never let anything be told that a loss of power could take: what
// waits for a batch is given out only once the batch and all before it are on disk.

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

/// A batch for the disk.
struct WriteBatch {
  std::uint64_t number = 0;
  std::vector<StoreEntry> entries;
};

class PendingWrites {
 public:
  /// The batch is submitted with the number that this returns.
  std::uint64_t begin(const std::vector<StoreEntry>& entries);
  /// The disk's word of the batch that was submitted first of those it has not told of. Batches that are now
  /// on disk together with all before them, in their order; a refused one never is.
  std::vector<std::uint64_t> written(std::uint64_t batch, bool done);
  /// All refused entries as one batch to be submitted now, if there are any and it is time.
  std::optional<WriteBatch> retry(Span now);

  /// Whether the disk holds all that was submitted.
  [[nodiscard]] bool clean() const { return keys_.empty(); }
  /// Whether the key's latest entry stands only in memory: not told of yet, or refused.
  [[nodiscard]] bool isPending(const std::string& key) const { return keys_.count(key) > 0; }
  /// All such keys, in their order.
  [[nodiscard]] std::vector<std::string> pendingKeys() const;
  /// So much stands only in memory that no more may be taken from peers until the disk has caught up.
  [[nodiscard]] bool full() const;

 private:
  struct Key {
    std::size_t inFlight = 0;     // batches that write it and are not told of
    std::uint64_t refusedIn = 0;  // the first batch since it was last written that was refused; 0: none was
    std::optional<std::string> refused;  // its value in the last one that was
  };
  void settle(const StoreEntry& entry, std::uint64_t batch, bool done);
  void forgetRefusal(const std::string& name, Key& key);
  std::vector<std::uint64_t> takeDurable();

  std::deque<WriteBatch> inFlight_;
  std::map<std::string, Key> keys_;                 // those that stand only in memory
  std::set<std::string> refusedKeys_;               // of these, the refused ones
  std::map<std::uint64_t, std::size_t> refusedIn_;  // refused keys by Key::refusedIn
  std::deque<std::uint64_t> written_;               // on disk, but not all before them
  std::size_t bytes_ = 0;                           // in flight or refused
  std::uint64_t last_ = 0;
  Span nextRetry_{};
};

/// Waiting: what may be done, or told, once a batch is on disk.
template <class Waiting>
class DurableWrites {
 public:
  /// The batch to be submitted now.
  WriteBatch begin(std::vector<StoreEntry> entries, Waiting waiting) {
    const std::uint64_t batch = pending_.begin(entries);
    waiting_.emplace(batch, std::move(waiting));
    return {batch, std::move(entries)};
  }
  /// As PendingWrites::written(), with what waited. What waited for a refused batch is forgotten: whoever
  /// waits asks again, or makes another batch.
  std::vector<Waiting> written(std::uint64_t batch, bool done) {
    if (!done) waiting_.erase(batch);
    std::vector<Waiting> ready;
    for (const std::uint64_t durable : pending_.written(batch, done)) {
      const auto found = waiting_.find(durable);
      if (found == waiting_.end()) continue;  // a batch of entries that were refused before
      ready.push_back(std::move(found->second));
      waiting_.erase(found);
    }
    return ready;
  }
  std::optional<WriteBatch> retry(Span now) { return pending_.retry(now); }

  [[nodiscard]] bool clean() const { return pending_.clean(); }
  [[nodiscard]] bool isPending(const std::string& key) const { return pending_.isPending(key); }
  [[nodiscard]] std::vector<std::string> pendingKeys() const { return pending_.pendingKeys(); }
  [[nodiscard]] bool full() const { return pending_.full(); }

 private:
  PendingWrites pending_;
  std::map<std::uint64_t, Waiting> waiting_;
};

}  // namespace rackroute::mesh
