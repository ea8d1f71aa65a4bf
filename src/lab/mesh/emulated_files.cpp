#include "lab/mesh/emulated_files.hpp"

#include <algorithm>

namespace rackroute::lab::mesh {
namespace {

using leveldb::Slice;
using leveldb::Status;

constexpr double kAllLostShare = 0.25;  // losses of power after which no unsynced write is there
constexpr const char* kManifestPrefix = "/MANIFEST-";
constexpr std::size_t kHalf = 2;  // a torn write has its first half only

std::string folderOf(const std::string& path) { return path.substr(0, path.rfind('/')); }

Status notFound(const std::string& name) { return Status::NotFound(name, "no such file"); }

class Reader final : public leveldb::SequentialFile {
 public:
  explicit Reader(std::string contents) : contents_(std::move(contents)) {}
  Status Read(std::size_t most, Slice* result, char* scratch) override {
    const std::size_t size = contents_.copy(scratch, most, at_);
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
  Status Read(std::uint64_t offset, std::size_t most, Slice* result, char* scratch) const override {
    const std::size_t at = std::min(contents_.size(), static_cast<std::size_t>(offset));
    *result = Slice(scratch, contents_.copy(scratch, most, at));
    return Status::OK();
  }

 private:
  std::string contents_;
};

class NoLock final : public leveldb::FileLock {};

}  // namespace

/// Keeps what is appended until it is flushed, as LevelDB's own files do.
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
  std::string syncedFolder_;  // with the file; empty: none
  std::string buffer_;
};

rackroute::mesh::FileSystem EmulatedFiles::fileSystem() {
  return {this, [this](const std::string& folder) { return syncFolder(folder); }};
}

// --- what befalls the disk

Status EmulatedFiles::change() {
  if (left_ && *left_ == 0) return Status::IOError("disk", "the process has ended");
  if (left_) --*left_;
  ++changes_;
  return Status::OK();
}

void EmulatedFiles::restart(bool power, RandomEngine& chance) {
  left_.reset();
  scheduled_.clear();
  if (power) losePower(chance);
}

void EmulatedFiles::wipe() {
  const std::string dataFolder = *folders_.begin();  // what it holds sorts after it
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
  // A file in a folder whose own name is lost can't be reached any more.
  std::erase_if(durableNames_,
                [this](const auto& entry) { return durableFolders_.count(folderOf(entry.first)) == 0; });
  for (const auto& [name, file] : durableNames_) loseUnsynced(*file, chance);
  names_ = durableNames_;
  folders_ = durableFolders_;
}

// A write that is missing before one that is present leaves zeros in its place.
void EmulatedFiles::loseUnsynced(File& file, RandomEngine& chance) {
  const bool allLost = uniform01(chance) < kAllLostShare;
  for (const Write& write : file.unsynced) {
    const double fate = allLost ? 1 : uniform01(chance);
    if (fate >= 2.0 / 3) continue;
    const bool torn = fate >= 1.0 / 3;
    const std::size_t size = torn ? write.bytes.size() / kHalf : write.bytes.size();
    // The file's length may cover what its blocks don't hold yet.
    const bool longer = torn && uniform01(chance) < 0.5;
    const std::size_t end = write.at + (longer ? write.bytes.size() : size);
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
  Status may = change();
  if (!may.ok()) return may;
  const std::string taken = full_ ? bytes.substr(0, bytes.size() / kHalf) : bytes;
  file->unsynced.push_back({file->contents.size(), taken});
  file->contents += taken;
  return full_ ? Status::IOError("disk", "no space left") : Status::OK();
}

Status EmulatedFiles::sync(const FilePtr& file) {
  Status may = change();
  if (!may.ok()) return may;
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

// LevelDB makes each file but the folder's lock once.
Status EmulatedFiles::NewWritableFile(const std::string& name, leveldb::WritableFile** file) {
  Status may = change();
  if (!may.ok()) return may;
  if (folders_.count(folderOf(name)) == 0) return notFound(name);
  const FilePtr made = std::make_shared<File>();
  names_[name] = made;
  note({NameChange::Kind::made, name, {}, made});
  // LevelDB syncs the folder with each sync of a manifest, and with that of no other file.
  const bool isManifest = name.find(kManifestPrefix) != std::string::npos;
  *file = new Writer(*this, made, isManifest ? folderOf(name) : std::string());
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
    case NameChange::Kind::made:
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
    case NameChange::Kind::folderMade:
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
  Status may = change();
  if (!may.ok()) return may;
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
  Status may = change();
  if (!may.ok()) return may;
  if (names_.erase(name) == 0) return notFound(name);
  note({NameChange::Kind::removed, name, {}, nullptr});
  return Status::OK();
}

Status EmulatedFiles::RenameFile(const std::string& from, const std::string& to) {
  Status may = change();
  if (!may.ok()) return may;
  NameChange renamed{NameChange::Kind::renamed, to, from, nullptr};
  if (folders_.count(from) > 0) {
    renamed.kind = NameChange::Kind::folderRenamed;
  } else if (const auto found = names_.find(from); found != names_.end()) {
    renamed.file = found->second;
  } else {
    return notFound(from);
  }
  apply(renamed, names_, folders_);
  note(std::move(renamed));
  return Status::OK();
}

Status EmulatedFiles::CreateDir(const std::string& folder) {
  Status may = change();
  if (!may.ok()) return may;
  if (!folders_.insert(folder).second) return Status::IOError(folder, "is there already");
  note({NameChange::Kind::folderMade, folder, {}, nullptr});
  return Status::OK();
}

Status EmulatedFiles::RemoveDir(const std::string& folder) {
  Status may = change();
  if (!may.ok()) return may;
  if (folders_.erase(folder) == 0) return notFound(folder);
  note({NameChange::Kind::removed, folder, {}, nullptr});
  return Status::OK();
}

// --- the rest

Status EmulatedFiles::LockFile(const std::string&, leveldb::FileLock** lock) {
  *lock = new NoLock;  // one process at a time uses the disk
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
  return Status::NotSupported("an emulated disk has no logs");
}

}  // namespace rackroute::lab::mesh
