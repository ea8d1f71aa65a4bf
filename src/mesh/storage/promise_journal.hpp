#pragma once

// How promises on keys stand on disk, and how they go to a voter that must read them: both compact and
// binary.
//
// On disk a record is one batch of promises and releases, in the order in which they were made, under the
// process's uptime; a record goes whole when all of its promises have ended, without reading it. Uptime is
// counted over restarts from what the records tell, not by the time of day, so that a stepped clock ends no
// promise early; the time that a process is down does not count, which keeps promises longer and never
// shorter. Entries of the format before ("k/" and JSON) are read as well and end like the others.
//
// A record's key is "p/", the uptime in microseconds and the record's number, both as 8 bytes with the
// highest first. Its value, with numbers as LEB128 but where a size is told:
//   version (1 byte)
//   count of claimers, for each: length of the address, the address, the life (8 bytes, lowest first)
//   count of changes, for each: flags (1 byte), print of the key (16 bytes), which claimer, number of the
//   claim
// A part of a snapshot is the same, but for the flags the promise's age in milliseconds.

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
  /// One entry of the store, in the order of its keys. False: it is none of the journal's. An error: it is
  /// one, and can't be read; the caller must treat the promises as lost.
  Result<bool> restore(const std::string& key, const std::string& value, Promises& promises);
  /// After all entries: the uptime at which this life begins; promises of the old format begin to end here.
  Span resume(Promises& promises);
  /// The entry for one batch; promises and releases as they were made.
  struct Change {
    KeyHash key;
    Holder holder;
    bool released = false;
  };
  StoreEntry record(Span uptime, const std::vector<Change>& changes);
  /// Removals of records whose promises have all ended, a bounded number a call.
  std::vector<StoreEntry> expire(Span uptime, Span keep);
  /// Removals of all records: the process has taken another incarnation.
  std::vector<StoreEntry> clear();

 private:
  struct Record {
    Span uptime{};
    std::uint64_t number = 0;
  };
  Result<bool> restoreRecord(const std::string& key, const std::string& value, Promises& promises);
  Result<bool> restoreOldEntry(const std::string& key, const std::string& value);
  void release(const Change& change);

  std::deque<Record> records_;           // on disk, in their order
  std::map<KeyHash, Holder> oldFormat_;  // entries of the old format that are on disk and not released
  std::vector<KeyHash> oldReleased_;     // entries of the old format that are on disk and may go
  Span resumed_{};
  std::uint64_t lastNumber_ = 0;
};

/// All promises in parts of a bounded size, each with its age, so that no two clocks are compared. None, if
/// nothing is promised.
std::vector<std::vector<std::uint8_t>> snapshotOf(const Promises& promises, Span uptime);
/// Takes one part; promises that are held already stay, with all their holders. An error: nothing was taken.
Result<void> readSnapshot(const std::vector<std::uint8_t>& part, Span uptime, Promises& promises);

}  // namespace rackroute::mesh
