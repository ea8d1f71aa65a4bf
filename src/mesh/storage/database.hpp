#pragma once

// The database of a control process: LevelDB in a folder of its own, with durable file names. Calls block on
// the disk, and the class is not thread-safe. A disk error must never be treated as corruption.

#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "mesh/configuration/error.hpp"
#include "mesh/storage/durable_env.hpp"

namespace leveldb {
class DB;
}

namespace rackroute::mesh {

using Entries = std::vector<std::pair<std::string, std::optional<std::string>>>;  // none: a removal

enum class OpenState {
  opened,
  unavailable,   // a disk error that may be temporary
  corrupt,       // permanently damaged
  unrecognized,  // not a database of this program, or written by a newer version
};

struct OpenOutcome {
  OpenState state = OpenState::opened;
  Error error;  // unless opened
};

class Database {
 public:
  /// The data folder must exist; the database uses a subfolder of it.
  explicit Database(const std::string& dataFolder, FileSystem files = posixFileSystem());
  Database(const Database&) = delete;
  Database& operator=(const Database&) = delete;
  ~Database();

  /// Called for each entry of the database.
  using EntryVisitor = std::function<void(std::string key, std::string value)>;

  /// Opens the database and visits all entries in the order of their keys. If the outcome is not `opened`,
  /// some entries may have been visited, and the caller must discard them.
  OpenOutcome open(const EntryVisitor& visit);
  /// Writes all batches atomically. If it returns true, they are durable; otherwise they may or may not have
  /// been written, and the next call reopens the database.
  bool write(const std::vector<const Entries*>& batches);
  /// Moves a corrupt database to the aside folder for inspection, replacing the previous one there. The next
  /// open() creates an empty database.
  Result<void> setAside();

 private:
  leveldb::Status openDatabase();
  OpenOutcome checkVersion();
  OpenOutcome visitEntries(const EntryVisitor& visit);
  [[nodiscard]] OpenOutcome outcomeOf(const leveldb::Status& status) const;

  std::string folder_;
  std::string asideFolder_;
  FileSystem files_;
  DurableEnv env_;
  std::unique_ptr<leveldb::Logger> logger_;
  std::unique_ptr<leveldb::DB> database_;
  bool usable_ = false;  // database_ is open, and the last write succeeded
};

}  // namespace rackroute::mesh
