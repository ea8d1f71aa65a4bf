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

constexpr const char* kCurrentFile = "CURRENT";  // contains the name of the current manifest
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

/// A file whose first sync also syncs its folder.
class SyncedNameFile final : public leveldb::WritableFile {
 public:
  SyncedNameFile(leveldb::WritableFile* file, std::function<Status()> syncFolder)
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

/// Reads only the given number of bytes from the start of a file.
class FilePrefix final : public leveldb::SequentialFile {
 public:
  FilePrefix(leveldb::SequentialFile* file, std::size_t size) : file_(file), remaining_(size) {}

  Status Read(std::size_t limit, leveldb::Slice* result, char* scratch) override {
    Status read = file_->Read(std::min(limit, remaining_), result, scratch);
    if (read.ok()) remaining_ -= result->size();
    return read;
  }
  Status Skip(std::uint64_t size) override {
    const std::size_t skipped = std::min(static_cast<std::size_t>(size), remaining_);
    remaining_ -= skipped;
    return file_->Skip(skipped);
  }

 private:
  std::unique_ptr<leveldb::SequentialFile> file_;
  std::size_t remaining_;
};

bool isManifest(const std::string& path) { return nameOf(path).starts_with(kManifestPrefix); }

}  // namespace

FileSystem posixFileSystem() { return {leveldb::Env::Default(), syncPosixFolder}; }

leveldb::WritableFile* DurableEnv::withDurableName(const std::string& name,
                                                   leveldb::WritableFile* file) const {
  return new SyncedNameFile(file,
                            [sync = files_.syncFolder, folder = folderOf(name)] { return sync(folder); });
}

// A power loss may have interrupted a write to the manifest.
Status DurableEnv::NewSequentialFile(const std::string& name, leveldb::SequentialFile** file) {
  Status opened = target()->NewSequentialFile(name, file);
  if (!opened.ok() || !isManifest(name)) return opened;
  std::string manifest;
  Status read = leveldb::ReadFileToString(target(), name, &manifest);
  if (read.ok()) {
    *file = new FilePrefix(*file, readableManifestSize(manifest));
  } else {
    delete std::exchange(*file, nullptr);
  }
  return read;
}

Status DurableEnv::NewWritableFile(const std::string& name, leveldb::WritableFile** file) {
  Status created = target()->NewWritableFile(name, file);
  if (created.ok()) *file = withDurableName(name, *file);
  return created;
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

// If the sync of the folder fails after CURRENT was renamed, LevelDB treats the change as failed and removes
// the new manifest, although CURRENT already refers to it.
Status DurableEnv::RemoveFile(const std::string& name) {
  if (isManifest(name)) {
    std::string current;
    const Status read = leveldb::ReadFileToString(target(), folderOf(name) + '/' + kCurrentFile, &current);
    const bool mayBeCurrent = read.ok() ? current == nameOf(name) + '\n' : !read.IsNotFound();
    if (mayBeCurrent) return Status::IOError(name, "may be the current manifest");
  }
  return target()->RemoveFile(name);
}

// An earlier process may have created the folder and ended before the sync, so it is synced in any case.
Status DurableEnv::CreateDir(const std::string& folder) {
  const Status created = target()->CreateDir(folder);
  if (!created.ok() && !target()->FileExists(folder)) return created;
  return files_.syncFolder(folderOf(folder));
}

}  // namespace rackroute::mesh
