#pragma once

// This process's votes on claims of operation keys: its promises in memory and their records for the disk. It
// must not vote while it lacks promises that it made or had to read, nor in an epoch other than its own. A
// vote may be sent only once the promise is on disk.

#include <cstdint>
#include <string>
#include <vector>

#include "mesh/claims/claims.hpp"
#include "mesh/control/effects.hpp"
#include "mesh/storage/promise_journal.hpp"

namespace rackroute::mesh {

class KeyVoter {
 public:
  explicit KeyVoter(Span keep) : keep_(keep), promises_(keep) {}

  /// Restores one entry of the store. False: the entry is not a record of promises. An error: promises are
  /// lost.
  Result<bool> restore(const std::string& key, const std::string& value);
  /// To be called once all entries are restored.
  void resume(Span now);
  /// Accumulated running time of this voter incarnation over all process restarts; the clock by which
  /// promises expire.
  [[nodiscard]] Span uptime(Span now) const { return uptimeAtStart_ + (now - startedAt_); }

  /// Votes on the claims. entries: records that must be on disk before the votes are sent; empty if nothing
  /// was promised.
  std::vector<Vote> vote(Span now, const ClaimRequest& request, LifeNo life,
                         std::vector<StoreEntry>& entries);
  void release(Span now, const ReleaseRequest& request, LifeNo life, std::vector<StoreEntry>& entries);
  /// Removes expired promises, at most a fixed number per call.
  void expire(Span now, std::vector<StoreEntry>& entries);
  /// Appends records of all promises, after they were read from other voters.
  void recordAll(Span now, std::vector<StoreEntry>& entries);
  /// Drops all promises, as the voter takes another incarnation.
  void clear(std::vector<StoreEntry>& entries);

  [[nodiscard]] Promises& promises() { return promises_; }
  [[nodiscard]] const Promises& promises() const { return promises_; }

 private:
  Span keep_;
  Promises promises_;
  PromiseJournal journal_;
  Span startedAt_{};
  Span uptimeAtStart_{};
};

}  // namespace rackroute::mesh
