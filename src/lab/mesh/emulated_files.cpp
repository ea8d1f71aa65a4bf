#include "lab/mesh/emulated_files.hpp"

#include <algorithm>

namespace rackroute::lab::mesh {
namespace {

using leveldb::Slice;
using leveldb::Status;

constexpr double kAllDroppedShare = 0.25;  // share of power losses that drop all unsynced writes of a file
constexpr const char* kManifestPrefix = "/MANIFEST-";
constexpr std::size_t kTornDivisor = 2;  // a torn write keeps its first half

std::string folderOf(const std::string& path) { return path.substr(0, path.rfind('/')); }

Status notFound(const std::string& name) { return Status::NotFound(name, "no such file"); }

class Reader final : public leveldb::SequentialFile {
 public:
  explicit Reader(std::string contents) : contents_(std::move(contents)) {}
  Status Read(std::size_t maxBytes, Slice* result, char* scratch) override {
    const std::size_t size = contents_.copy(scratch, maxBytes, at_);
    at_ += size;
    *result = Slice(scratch, size);
    return Status::OK();
  }
  Status Skip(std::uint64_t size) override {
    at_ = std::min(contents_.size(), at_ + static_cast<std::size_t>(size));
    return Status::OK();
  }

 private:
  std::string contents_;
  std::size_t at_ = 0;
};

class RandomReader final : public leveldb::RandomAccessFile {
 public:
  explicit RandomReader(std::string contents) : contents_(std::move(contents)) {}
  Status Read(std::uint64_t offset, std::size_t maxBytes, Slice* result, char* scratch) const override {
    const std::size_t at = std::min(contents_.size(), static_cast<std::size_t>(offset));
    *result = Slice(scratch, contents_.copy(scratch, maxBytes, at));
    return Status::OK();
  }

 private:
  std::string contents_;
};

class NoLock final : public leveldb::FileLock {};

}  // namespace

/// Buffers appended data until it is flushed, like LevelDB's own writable files.
class EmulatedFiles::Writer final : public leveldb::WritableFile {
 public:
  Writer(EmulatedFiles& files, FilePtr file, std::string syncedFolder)
      : files_(files), file_(std::move(file)), syncedFolder_(std::move(syncedFolder)) {}
  Status Append(const Slice& data) override {
    buffer_.append(data.data(), data.size());
    return Status::OK();
  }
  Status Close() override { return Flush(); }
  Status Flush() override {
    if (buffer_.empty()) return Status::OK();
    return files_.append(file_, std::exchange(buffer_, {}));
  }
  Status Sync() override {
    Status status = syncedFolder_.empty() ? Status::OK() : files_.syncFolder(syncedFolder_);
    if (status.ok()) status = Flush();
    return status.ok() ? files_.sync(file_) : status;
  }

 private:
  EmulatedFiles& files_;
  FilePtr file_;
  std::string syncedFolder_;  // synced before the file; empty for none
  std::string buffer_;
};

rackroute::mesh::FileSystem EmulatedFiles::fileSystem() {
  return {this, [this](const std::string& folder) { return syncFolder(folder); }};
}

// --- faults of the disk

Status EmulatedFiles::countChange() {
  if (changesLeft_ && *changesLeft_ == 0) return Status::IOError("disk", "the process has ended");
  if (changesLeft_) --*changesLeft_;
  ++changes_;
  return Status::OK();
}

void EmulatedFiles::restart(bool powerLoss, RandomEngine& chance) {
  changesLeft_.reset();
  scheduled_.clear();
  if (powerLoss) losePower(chance);
}

void EmulatedFiles::wipe() {
  const std::string dataFolder = *folders_.begin();  // sorts before its contents
  names_.clear();
  durableNames_.clear();
  folders_ = durableFolders_ = {dataFolder};
  unsyncedNames_.clear();
}

void EmulatedFiles::losePower(RandomEngine& chance) {
  for (const NameChange& change : unsyncedNames_) {
    if (uniform01(chance) < 0.5) apply(change, durableNames_, durableFolders_);
  }
  unsyncedNames_.clear();
  // Files in a folder whose own name was lost are unreachable.
  std::erase_if(durableNames_,
                [this](const auto& entry) { return durableFolders_.count(folderOf(entry.first)) == 0; });
  for (const auto& [name, file] : durableNames_) loseUnsynced(*file, chance);
  names_ = durableNames_;
  folders_ = durableFolders_;
}

// A dropped write before one that is kept leaves zeros in its place.
void EmulatedFiles::loseUnsynced(File& file, RandomEngine& chance) {
  const bool allDropped = uniform01(chance) < kAllDroppedShare;
  for (const Write& write : file.unsynced) {
    const double outcome = allDropped ? 1 : uniform01(chance);
    if (outcome >= 2.0 / 3) continue;
    const bool torn = outcome >= 1.0 / 3;
    const std::size_t size = torn ? write.bytes.size() / kTornDivisor : write.bytes.size();
    // The file size may already include blocks that were not written.
    const bool extended = torn && uniform01(chance) < 0.5;
    const std::size_t end = write.at + (extended ? write.bytes.size() : size);
    if (file.durable.size() < end) file.durable.resize(end, '\0');
    std::copy_n(write.bytes.begin(), size, file.durable.begin() + static_cast<std::ptrdiff_t>(write.at));
  }
  file.unsynced.clear();
  file.contents = file.durable;
}

void EmulatedFiles::runScheduled() {
  while (!scheduled_.empty()) {
    const auto [function, argument] = scheduled_.front();
    scheduled_.pop_front();
    function(argument);
  }
}

// --- contents

Status EmulatedFiles::append(const FilePtr& file, const std::string& bytes) {
  Status status = countChange();
  if (!status.ok()) return status;
  const std::string written = full_ ? bytes.substr(0, bytes.size() / kTornDivisor) : bytes;
  file->unsynced.push_back({file->contents.size(), written});
  file->contents += written;
  return full_ ? Status::IOError("disk", "no space left") : Status::OK();
}

Status EmulatedFiles::sync(const FilePtr& file) {
  Status status = countChange();
  if (!status.ok()) return status;
  file->durable.append(file->contents, file->durable.size(), std::string::npos);  // files only grow
  file->unsynced.clear();
  return Status::OK();
}

Status EmulatedFiles::NewSequentialFile(const std::string& name, leveldb::SequentialFile** file) {
  const auto found = names_.find(name);
  if (found == names_.end()) return notFound(name);
  *file = new Reader(found->second->contents);
  return Status::OK();
}

Status EmulatedFiles::NewRandomAccessFile(const std::string& name, leveldb::RandomAccessFile** file) {
  const auto found = names_.find(name);
  if (found == names_.end()) return notFound(name);
  *file = new RandomReader(found->second->contents);
  return Status::OK();
}

// LevelDB creates each file only once, except for the lock file of the folder.
Status EmulatedFiles::NewWritableFile(const std::string& name, leveldb::WritableFile** file) {
  Status status = countChange();
  if (!status.ok()) return status;
  if (folders_.count(folderOf(name)) == 0) return notFound(name);
  const FilePtr created = std::make_shared<File>();
  names_[name] = created;
  recordNameChange({NameChange::Kind::created, name, {}, created});
  // LevelDB syncs the folder together with a manifest, and with no other file.
  const bool isManifest = name.find(kManifestPrefix) != std::string::npos;
  *file = new Writer(*this, created, isManifest ? folderOf(name) : std::string());
  return Status::OK();
}

Status EmulatedFiles::GetFileSize(const std::string& name, std::uint64_t* size) {
  const auto found = names_.find(name);
  if (found == names_.end()) return notFound(name);
  *size = found->second->contents.size();
  return Status::OK();
}

// --- names

void EmulatedFiles::apply(const NameChange& change, Names& names, std::set<std::string>& folders) {
  switch (change.kind) {
    case NameChange::Kind::created:
      names[change.name] = change.file;
      return;
    case NameChange::Kind::removed:
      names.erase(change.name);
      folders.erase(change.name);
      return;
    case NameChange::Kind::renamed:
      names[change.name] = change.file;
      names.erase(change.from);
      return;
    case NameChange::Kind::folderCreated:
      folders.insert(change.name);
      return;
    case NameChange::Kind::folderRenamed: {
      Names moved;
      for (const auto& [name, file] : names) {
        const bool inside = folderOf(name) == change.from;
        moved[inside ? change.name + name.substr(change.from.size()) : name] = file;
      }
      names = std::move(moved);
      folders.erase(change.from);
      folders.insert(change.name);
      return;
    }
  }
}

Status EmulatedFiles::syncFolder(const std::string& folder) {
  Status status = countChange();
  if (!status.ok()) return status;
  if (folders_.count(folder) == 0) return notFound(folder);
  std::vector<NameChange> others;
  for (NameChange& change : unsyncedNames_) {
    if (folderOf(change.name) == folder) {
      apply(change, durableNames_, durableFolders_);
    } else {
      others.push_back(std::move(change));
    }
  }
  unsyncedNames_ = std::move(others);
  return Status::OK();
}

bool EmulatedFiles::FileExists(const std::string& name) {
  return names_.count(name) > 0 || folders_.count(name) > 0;
}

Status EmulatedFiles::GetChildren(const std::string& folder, std::vector<std::string>* names) {
  names->clear();
  if (folders_.count(folder) == 0) return notFound(folder);
  for (const auto& [name, file] : names_) {
    if (folderOf(name) == folder) names->push_back(name.substr(folder.size() + 1));
  }
  return Status::OK();
}

Status EmulatedFiles::RemoveFile(const std::string& name) {
  Status status = countChange();
  if (!status.ok()) return status;
  if (names_.erase(name) == 0) return notFound(name);
  recordNameChange({NameChange::Kind::removed, name, {}, nullptr});
  return Status::OK();
}

Status EmulatedFiles::RenameFile(const std::string& from, const std::string& to) {
  Status status = countChange();
  if (!status.ok()) return status;
  NameChange renamed{NameChange::Kind::renamed, to, from, nullptr};
  if (folders_.count(from) > 0) {
    renamed.kind = NameChange::Kind::folderRenamed;
  } else if (const auto found = names_.find(from); found != names_.end()) {
    renamed.file = found->second;
  } else {
    return notFound(from);
  }
  apply(renamed, names_, folders_);
  recordNameChange(std::move(renamed));
  return Status::OK();
}

Status EmulatedFiles::CreateDir(const std::string& folder) {
  Status status = countChange();
  if (!status.ok()) return status;
  if (!folders_.insert(folder).second) return Status::IOError(folder, "already exists");
  recordNameChange({NameChange::Kind::folderCreated, folder, {}, nullptr});
  return Status::OK();
}

Status EmulatedFiles::RemoveDir(const std::string& folder) {
  Status status = countChange();
  if (!status.ok()) return status;
  if (folders_.erase(folder) == 0) return notFound(folder);
  recordNameChange({NameChange::Kind::removed, folder, {}, nullptr});
  return Status::OK();
}

// --- locks, background work and logs

Status EmulatedFiles::LockFile(const std::string&, leveldb::FileLock** lock) {
  *lock = new NoLock;  // only one process at a time uses the disk
  return Status::OK();
}

Status EmulatedFiles::UnlockFile(leveldb::FileLock* lock) {
  delete lock;
  return Status::OK();
}

void EmulatedFiles::Schedule(void (*function)(void*), void* argument) {
  scheduled_.emplace_back(function, argument);
}

void EmulatedFiles::StartThread(void (*function)(void*), void* argument) { Schedule(function, argument); }

Status EmulatedFiles::GetTestDirectory(std::string* path) {
  *path = *folders_.begin();
  return Status::OK();
}

Status EmulatedFiles::NewLogger(const std::string&, leveldb::Logger** logger) {
  *logger = nullptr;
  return Status::NotSupported("an emulated disk keeps no log files");
}

}  // namespace rackroute::lab::mesh
