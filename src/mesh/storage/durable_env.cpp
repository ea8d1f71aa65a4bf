#include "mesh/storage/durable_env.hpp"

#include <fcntl.h>
#include <unistd.h>

#include <algorithm>
#include <cerrno>
#include <cstring>
#include <memory>
#include <utility>

#include "mesh/storage/manifest_tail.hpp"

namespace rackroute::mesh {
namespace {

using leveldb::Status;

constexpr const char* kCurrentFile = "CURRENT";  // holds the name of the manifest in force
constexpr const char* kManifestPrefix = "MANIFEST-";

std::string folderOf(const std::string& path) {
  const std::size_t slash = path.rfind('/');
  return slash == std::string::npos ? "." : path.substr(0, slash);
}

std::string nameOf(const std::string& path) { return path.substr(path.rfind('/') + 1); }

Status syncPosixFolder(const std::string& folder) {
  const auto failed = [&] { return Status::IOError(folder, std::strerror(errno)); };
  const int descriptor = ::open(folder.c_str(), O_RDONLY | O_DIRECTORY | O_CLOEXEC);
  if (descriptor < 0) return failed();
  const bool synced = ::fsync(descriptor) == 0;
  const Status status = synced ? Status::OK() : failed();
  ::close(descriptor);
  return status;
}

/// A file that was just made: its first sync also syncs its folder.
class NewFile final : public leveldb::WritableFile {
 public:
  NewFile(leveldb::WritableFile* file, std::function<Status()> syncFolder)
      : file_(file), syncFolder_(std::move(syncFolder)) {}

  Status Append(const leveldb::Slice& data) override { return file_->Append(data); }
  Status Close() override { return file_->Close(); }
  Status Flush() override { return file_->Flush(); }
  Status Sync() override {
    const Status contents = file_->Sync();
    if (!contents.ok() || nameSynced_) return contents;
    Status name = syncFolder_();
    nameSynced_ = name.ok();
    return name;
  }

 private:
  std::unique_ptr<leveldb::WritableFile> file_;
  std::function<Status()> syncFolder_;
  bool nameSynced_ = false;
};

/// The first bytes of a file.
class FileStart final : public leveldb::SequentialFile {
 public:
  FileStart(leveldb::SequentialFile* file, std::size_t size) : file_(file), left_(size) {}

  Status Read(std::size_t most, leveldb::Slice* result, char* scratch) override {
    Status read = file_->Read(std::min(most, left_), result, scratch);
    if (read.ok()) left_ -= result->size();
    return read;
  }
  Status Skip(std::uint64_t size) override {
    const std::size_t skipped = std::min(static_cast<std::size_t>(size), left_);
    left_ -= skipped;
    return file_->Skip(skipped);
  }

 private:
  std::unique_ptr<leveldb::SequentialFile> file_;
  std::size_t left_;
};

bool isManifest(const std::string& path) { return nameOf(path).starts_with(kManifestPrefix); }

}  // namespace

FileSystem posixFileSystem() { return {leveldb::Env::Default(), syncPosixFolder}; }

leveldb::WritableFile* DurableEnv::withDurableName(const std::string& name,
                                                   leveldb::WritableFile* file) const {
  return new NewFile(file, [sync = files_.syncFolder, folder = folderOf(name)] { return sync(folder); });
}

// Guards against a loss of power while a manifest was written.
Status DurableEnv::NewSequentialFile(const std::string& name, leveldb::SequentialFile** file) {
  Status opened = target()->NewSequentialFile(name, file);
  if (!opened.ok() || !isManifest(name)) return opened;
  std::string manifest;
  Status read = leveldb::ReadFileToString(target(), name, &manifest);
  if (read.ok()) {
    *file = new FileStart(*file, readableManifestSize(manifest));
  } else {
    delete std::exchange(*file, nullptr);
  }
  return read;
}

Status DurableEnv::NewWritableFile(const std::string& name, leveldb::WritableFile** file) {
  Status made = target()->NewWritableFile(name, file);
  if (made.ok()) *file = withDurableName(name, *file);
  return made;
}

Status DurableEnv::NewAppendableFile(const std::string& name, leveldb::WritableFile** file) {
  Status opened = target()->NewAppendableFile(name, file);
  if (opened.ok()) *file = withDurableName(name, *file);
  return opened;
}

Status DurableEnv::RenameFile(const std::string& from, const std::string& to) {
  Status renamed = target()->RenameFile(from, to);
  if (!renamed.ok()) return renamed;
  if (folderOf(from) != folderOf(to)) {
    if (Status synced = files_.syncFolder(folderOf(from)); !synced.ok()) return synced;
  }
  return files_.syncFolder(folderOf(to));
}

// Guards against a sync of the folder that fails after CURRENT was renamed: LevelDB takes the change for
// failed and removes the new manifest, which CURRENT names by then.
Status DurableEnv::RemoveFile(const std::string& name) {
  if (isManifest(name)) {
    std::string current;
    const Status read = leveldb::ReadFileToString(target(), folderOf(name) + '/' + kCurrentFile, &current);
    const bool mayBeInForce = read.ok() ? current == nameOf(name) + '\n' : !read.IsNotFound();
    if (mayBeInForce) return Status::IOError(name, "may be the manifest in force");
  }
  return target()->RemoveFile(name);
}

// Guards also against a folder that an earlier process made and did not live to sync.
Status DurableEnv::CreateDir(const std::string& folder) {
  const Status made = target()->CreateDir(folder);
  if (!made.ok() && !target()->FileExists(folder)) return made;
  return files_.syncFolder(folderOf(folder));
}

}  // namespace rackroute::mesh
