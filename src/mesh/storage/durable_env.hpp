#pragma once

// A LevelDB environment with durable file names. LevelDB syncs file contents, but not the folder after it
// creates, renames or removes a file, so a power loss may undo these operations one by one: the database is
// then unreadable, or silently older than what it acknowledged. This environment syncs each name before
// anything depends on it.

#include <leveldb/env.h>

#include <functional>
#include <string>
#include <utility>

namespace rackroute::mesh {

/// The file system under a store: LevelDB's environment and the folder sync that it lacks.
struct FileSystem {
  leveldb::Env* env = nullptr;  // must outlive its users
  /// Makes all earlier creations, renames and removals in the folder durable.
  std::function<leveldb::Status(const std::string& folder)> syncFolder;
};

/// The file system of this machine.
FileSystem posixFileSystem();

class DurableEnv final : public leveldb::EnvWrapper {
 public:
  explicit DurableEnv(FileSystem files) : EnvWrapper(files.env), files_(std::move(files)) {}

  /// Leaves out a torn record at the end of a manifest, as a power loss may have left it.
  leveldb::Status NewSequentialFile(const std::string& name, leveldb::SequentialFile** file) override;
  /// The file's name is durable once its first sync returns.
  leveldb::Status NewWritableFile(const std::string& name, leveldb::WritableFile** file) override;
  leveldb::Status NewAppendableFile(const std::string& name, leveldb::WritableFile** file) override;
  /// The new name is durable on return, so the file that it replaces may be removed.
  leveldb::Status RenameFile(const std::string& from, const std::string& to) override;
  /// Refuses to remove a manifest that CURRENT may refer to.
  leveldb::Status RemoveFile(const std::string& name) override;
  /// Succeeds if the folder exists, new or old, and its name is durable.
  leveldb::Status CreateDir(const std::string& folder) override;

 private:
  leveldb::WritableFile* withDurableName(const std::string& name, leveldb::WritableFile* file) const;

  FileSystem files_;
};

}  // namespace rackroute::mesh
