#pragma once

// LevelDB's environment on files whose names last. LevelDB syncs what it writes, but not the folder after it
// has made, renamed or removed a file, so that a loss of power may take back each of these by itself: the
// database is then unreadable, or silently older than what it acknowledged. Here a name is on disk before
// anything rests on it. It owns no files and decides nothing else.

#include <leveldb/env.h>

#include <functional>
#include <string>
#include <utility>

namespace rackroute::mesh {

/// The file system under a store: LevelDB's view of it, and the one call which that lacks.
struct FileSystem {
  leveldb::Env* env = nullptr;  // must outlive whoever uses it
  /// Returns once all names that were made, renamed or removed in that folder before are on disk.
  std::function<leveldb::Status(const std::string& folder)> syncFolder;
};

/// The file system of this machine.
FileSystem posixFileSystem();

class DurableEnv final : public leveldb::EnvWrapper {
 public:
  explicit DurableEnv(FileSystem files) : EnvWrapper(files.env), files_(std::move(files)) {}

  /// Of a manifest without the torn record that a loss of power may have left at its end.
  leveldb::Status NewSequentialFile(const std::string& name, leveldb::SequentialFile** file) override;
  /// A file's name is on disk once its first sync returns.
  leveldb::Status NewWritableFile(const std::string& name, leveldb::WritableFile** file) override;
  leveldb::Status NewAppendableFile(const std::string& name, leveldb::WritableFile** file) override;
  /// The new name is on disk when it returns, so that what the old one led to may be removed after it.
  leveldb::Status RenameFile(const std::string& from, const std::string& to) override;
  /// Refuses to remove a manifest that the database's CURRENT may name.
  leveldb::Status RemoveFile(const std::string& name) override;
  /// The folder is there and its name on disk when it succeeds, whether it was there before or not.
  leveldb::Status CreateDir(const std::string& folder) override;

 private:
  leveldb::WritableFile* withDurableName(const std::string& name, leveldb::WritableFile* file) const;

  FileSystem files_;
};

}  // namespace rackroute::mesh
