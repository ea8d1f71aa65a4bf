#pragma once

// A machine's disk as files, names and folders, in memory, for a LevelDB that runs on it in one thread. What
// is on disk and what only the running machine sees are kept apart: a file lasts as its last sync covered it,
// and a name that was made, renamed or removed lasts once its folder was synced. A loss of power leaves each
// later write present, missing or torn, and keeps or loses each later change of a name by itself. It owns all
// files; it draws from the chance that it is given and from nothing else.

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

  /// As a store takes it; this must outlive it.
  rackroute::mesh::FileSystem fileSystem();

  // --- what befalls the disk

  /// Takes no more bytes, until told otherwise.
  void full(bool isFull) { full_ = isFull; }
  /// The process ends after so many further changes of files and names: the next one and all after it fail.
  void endAfter(std::uint64_t changes) { left_ = changes; }
  /// The files as the next process finds them. `power`: after a loss of power, else after the process's end.
  void restart(bool power, RandomEngine& chance);
  /// The disk is lost with all that was on it.
  void wipe();
  /// Changes of files and names so far.
  [[nodiscard]] std::uint64_t changes() const { return changes_; }
  /// What the database wants done in the background; to be called after each of its calls, and before it is
  /// destroyed.
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
    std::string contents;         // as the running machine sees it
    std::string durable;          // as its last sync covered it
    std::vector<Write> unsynced;  // since, in order
  };
  using FilePtr = std::shared_ptr<File>;
  using Names = std::map<std::string, FilePtr>;
  /// A change of names that its folder's sync has not covered.
  struct NameChange {
    enum class Kind { made, removed, renamed, folderMade, folderRenamed };
    Kind kind = Kind::made;
    std::string name;  // renamed: the new one
    std::string from;  // renamed: the old one
    FilePtr file;      // made, renamed
  };
  class Writer;

  /// Whether the process still runs; counts a change.
  leveldb::Status change();
  leveldb::Status append(const FilePtr& file, const std::string& bytes);
  leveldb::Status sync(const FilePtr& file);
  leveldb::Status syncFolder(const std::string& folder);
  void note(NameChange change) { unsyncedNames_.push_back(std::move(change)); }
  void losePower(RandomEngine& chance);
  static void loseUnsynced(File& file, RandomEngine& chance);
  static void apply(const NameChange& change, Names& names, std::set<std::string>& folders);

  Names names_;  // as the running machine sees them, by path
  std::set<std::string> folders_;
  Names durableNames_;
  std::set<std::string> durableFolders_;
  std::vector<NameChange> unsyncedNames_;
  std::deque<std::pair<void (*)(void*), void*>> scheduled_;
  std::optional<std::uint64_t> left_;  // changes until the process ends
  std::uint64_t changes_ = 0;
  bool full_ = false;
};

}  // namespace rackroute::lab::mesh
