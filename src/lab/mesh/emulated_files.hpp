#pragma once

// An in-memory file system with crash semantics, as the environment of a single-threaded LevelDB. Synced and
// unsynced state are kept apart: file contents are durable up to the last sync of the file, and created,
// renamed or removed names are durable once their folder is synced. A power loss keeps, drops or tears each
// unsynced write, and keeps or drops each unsynced name change independently. All randomness comes from the
// Chance that the caller passes.

#include <leveldb/env.h>

#include <cstdint>
#include <deque>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "lab/random.hpp"
#include "mesh/storage/durable_env.hpp"

namespace rackroute::lab::mesh {

class EmulatedFiles final : public leveldb::Env {
 public:
  explicit EmulatedFiles(std::string dataFolder)
      : folders_{dataFolder}, durableFolders_{std::move(dataFolder)} {}

  /// The file system for a Database, which must not outlive this object.
  rackroute::mesh::FileSystem fileSystem();

  // --- faults of the disk

  /// While full, appends fail after half of their bytes.
  void setFull(bool isFull) { full_ = isFull; }
  /// Emulates a crash after this many further changes of files and names: all later ones fail.
  void failAfter(std::uint64_t changes) { changesLeft_ = changes; }
  /// Prepares the files for the next process, after a power loss or after the end of the process alone.
  void restart(bool powerLoss, RandomEngine& chance);
  /// Removes everything from the disk.
  void wipe();
  /// Number of changes of files and names so far.
  [[nodiscard]] std::uint64_t changes() const { return changes_; }
  /// Runs the background work of the database. Call it after each call of the database and before destroying
  /// it.
  void runScheduled();

  // --- leveldb::Env

  leveldb::Status NewSequentialFile(const std::string& name, leveldb::SequentialFile** file) override;
  leveldb::Status NewRandomAccessFile(const std::string& name, leveldb::RandomAccessFile** file) override;
  leveldb::Status NewWritableFile(const std::string& name, leveldb::WritableFile** file) override;
  bool FileExists(const std::string& name) override;
  leveldb::Status GetChildren(const std::string& folder, std::vector<std::string>* names) override;
  leveldb::Status RemoveFile(const std::string& name) override;
  leveldb::Status CreateDir(const std::string& folder) override;
  leveldb::Status RemoveDir(const std::string& folder) override;
  leveldb::Status GetFileSize(const std::string& name, std::uint64_t* size) override;
  leveldb::Status RenameFile(const std::string& from, const std::string& to) override;
  leveldb::Status LockFile(const std::string& name, leveldb::FileLock** lock) override;
  leveldb::Status UnlockFile(leveldb::FileLock* lock) override;
  void Schedule(void (*function)(void*), void* argument) override;
  void StartThread(void (*function)(void*), void* argument) override;
  leveldb::Status GetTestDirectory(std::string* path) override;
  leveldb::Status NewLogger(const std::string& name, leveldb::Logger** logger) override;
  std::uint64_t NowMicros() override { return 0; }
  void SleepForMicroseconds(int) override {}

 private:
  struct Write {
    std::size_t at = 0;
    std::string bytes;
  };
  struct File {
    std::string contents;         // as seen by the running process
    std::string durable;          // as of the last sync
    std::vector<Write> unsynced;  // since the last sync, in order
  };
  using FilePtr = std::shared_ptr<File>;
  using Names = std::map<std::string, FilePtr>;
  /// A name change whose folder has not been synced since.
  struct NameChange {
    enum class Kind { created, removed, renamed, folderCreated, folderRenamed };
    Kind kind = Kind::created;
    std::string name;  // renamed: the new one
    std::string from;  // renamed: the old one
    FilePtr file;      // created, renamed
  };
  class Writer;

  /// Counts a change; fails once the emulated process has crashed.
  leveldb::Status countChange();
  leveldb::Status append(const FilePtr& file, const std::string& bytes);
  leveldb::Status sync(const FilePtr& file);
  leveldb::Status syncFolder(const std::string& folder);
  void recordNameChange(NameChange change) { unsyncedNames_.push_back(std::move(change)); }
  void losePower(RandomEngine& chance);
  static void loseUnsynced(File& file, RandomEngine& chance);
  static void apply(const NameChange& change, Names& names, std::set<std::string>& folders);

  Names names_;  // as seen by the running process, by path
  std::set<std::string> folders_;
  Names durableNames_;
  std::set<std::string> durableFolders_;
  std::vector<NameChange> unsyncedNames_;
  std::deque<std::pair<void (*)(void*), void*>> scheduled_;
  std::optional<std::uint64_t> changesLeft_;  // until the emulated crash
  std::uint64_t changes_ = 0;
  bool full_ = false;
};

}  // namespace rackroute::lab::mesh
