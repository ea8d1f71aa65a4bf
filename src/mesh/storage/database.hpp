#pragma once

// The database under a control process's store: a LevelDB in a folder of its own, on names that last. It owns
// the database; it blocks while the disk works, and knows no threads. It must never take what a disk merely
// refuses to give for lost.

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

using Entries = std::vector<std::pair<std::string, std::optional<std::string>>>;  // none: removed

enum class OpenState {
  opened,
  refused,     // the disk does not give or take it now; it may later
  unreadable,  // what is there is damaged, and stays so
  foreign,     // the folder holds something else, or was written by a newer version
};

struct OpenOutcome {
  OpenState state = OpenState::opened;
  Error error;  // unless it was opened
};

class Database {
 public:
  /// The data folder must be there; the database takes a folder in it.
  explicit Database(const std::string& dataFolder, FileSystem files = posixFileSystem());
  Database(const Database&) = delete;
  Database& operator=(const Database&) = delete;
  ~Database();

  /// Told of one entry of the database.
  using Entry = std::function<void(std::string key, std::string value)>;

  /// Opens it and tells of each entry that it holds, in the order of their keys, without keeping them. If the
  /// outcome is another than `opened`, some entries may have been told all the same, and the caller must
  /// forget them.
  OpenOutcome open(const Entry& entry);
  /// Writes all of them together. Once it returns true no loss of power takes any of it back; otherwise it
  /// may be there or not, and the next call opens the database anew.
  bool write(const std::vector<const Entries*>& batches);
  /// Moves a database that is unreadable out of the way, for whoever wants to look at it, and drops the one
  /// that was moved before. The next open() begins with an empty one.
  Result<void> setAside();

 private:
  leveldb::Status openDatabase();
  OpenOutcome checkVersion();
  OpenOutcome tellAll(const Entry& entry);
  [[nodiscard]] OpenOutcome outcomeOf(const leveldb::Status& status) const;

  std::string folder_;
  std::string asideFolder_;
  FileSystem files_;
  DurableEnv env_;
  std::unique_ptr<leveldb::Logger> silent_;
  std::unique_ptr<leveldb::DB> database_;
  bool usable_ = false;  // database_ is open, and took the last write
};

}  // namespace rackroute::mesh
