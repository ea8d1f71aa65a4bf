#pragma once

// The binary formats of promises on operation keys: journal records in the store, and snapshots that are sent
// to other voters.
//
// A journal record is one batch of promises and releases in the order in which they were made, under the
// process's uptime. A record is removed as a whole, without reading it, when all of its promises have
// expired. Uptime continues over restarts from the newest record and is independent of the wall clock, so a
// clock step can't expire a promise early. Downtime isn't counted, which only prolongs promises. Entries of
// the old format ("k/" and JSON) are read as well and expire like the others.
//
// A record's key is "p/", the uptime in microseconds and the record's number, both as 8 bytes in big-endian
// order. Its value, with numbers as LEB128 unless a size is given:
//   version (1 byte)
//   count of claimers, for each: length of the address, the address, the life (8 bytes, little-endian)
//   count of changes, for each: flags (1 byte), hash of the key (16 bytes), index of the claimer, number of
//   the claim
// A part of a snapshot has the same format, but its entries have no flags and end with the promise's age in
// milliseconds.

#include <cstdint>
#include <deque>
#include <map>
#include <string>
#include <vector>

#include "mesh/claims/claims.hpp"
#include "mesh/configuration/error.hpp"
#include "mesh/control/effects.hpp"

namespace rackroute::mesh {

class PromiseJournal {
 public:
  /// Restores one entry of the store; called in the order of the keys. False: the entry doesn't belong to the
  /// journal. An error: it does, but is malformed, and the caller must treat the promises as lost.
  Result<bool> restore(const std::string& key, const std::string& value, Promises& promises);
  /// Called after all entries: returns the uptime at which this process begins, from which promises of the
  /// old format expire.
  Span resume(Promises& promises);
  /// A promise or a release.
  struct Change {
    KeyHash key;
    Holder holder;
    bool released = false;
  };
  /// Returns the entry for one batch of changes, in the order in which they were made.
  StoreEntry record(Span uptime, const std::vector<Change>& changes);
  /// Removals of records whose promises have all expired, a bounded number per call.
  std::vector<StoreEntry> expire(Span uptime, Span keep);
  /// Removals of all records, for a process that takes a new incarnation.
  std::vector<StoreEntry> clear();

 private:
  struct Record {
    Span uptime{};
    std::uint64_t number = 0;
  };
  Result<bool> restoreRecord(const std::string& key, const std::string& value, Promises& promises);
  Result<bool> restoreOldEntry(const std::string& key, const std::string& value);
  void release(const Change& change);

  std::deque<Record> records_;           // on disk, in order
  std::map<KeyHash, Holder> oldFormat_;  // entries in the old format on disk, not released
  std::vector<KeyHash> oldReleased_;     // entries in the old format on disk, to be removed
  Span restoredUptime_{};
  std::uint64_t lastNumber_ = 0;
};

/// Serializes all promises in parts of bounded size. Promises have ages rather than times, as clocks differ
/// between processes. Empty if there are no promises.
std::vector<std::vector<std::uint8_t>> writeSnapshot(const Promises& promises, Span uptime);
/// Merges one part into the promises; existing holders are kept. On an error nothing is merged.
Result<void> readSnapshot(const std::vector<std::uint8_t>& part, Span uptime, Promises& promises);

}  // namespace rackroute::mesh
