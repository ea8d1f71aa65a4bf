#pragma once

// This process's votes on claims of operation keys: its promises, in memory and as records for the disk. It
// owns both. It must never vote while it lacks promises that it made or had to read, nor in an epoch other
// than its own; a vote is told only once the promise is on disk.

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

  /// One entry of the store. False: none of its own. An error: promises are lost.
  Result<bool> restore(const std::string& key, const std::string& value);
  /// After all entries.
  void resume(Span now);
  /// Time that this identity of the voter has run, over all lives of the process; what promises end by.
  [[nodiscard]] Span uptime(Span now) const { return uptimeAtStart_ + (now - startedAt_); }

  /// Votes on the claims; entries: what must be on disk before they are told. Empty, if nothing new was
  /// promised.
  std::vector<Vote> vote(Span now, const ClaimRequest& request, LifeNo life,
                         std::vector<StoreEntry>& entries);
  void release(Span now, const ReleaseRequest& request, LifeNo life, std::vector<StoreEntry>& entries);
  /// Forgets promises that have ended, a bounded number a call.
  void expire(Span now, std::vector<StoreEntry>& entries);
  /// Records of all promises: after they were read from other voters.
  void recordAll(Span now, std::vector<StoreEntry>& entries);
  /// Another incarnation: all promises go.
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
