#include "mesh/storage/database.hpp"

#include <leveldb/db.h>
#include <leveldb/write_batch.h>

namespace rackroute::mesh {
namespace {

using leveldb::Status;

constexpr std::size_t kWriteBuffer = 1 << 20;   // bytes held twice at the worst; what is live is far less
constexpr int kOpenFiles = 64;                  // LevelDB's floor; the descriptors are for connections
constexpr const char* kVersionKey = "version";  // of what the folder holds
constexpr const char* kVersion = "1";
constexpr const char* kFolder = "/held";             // within the data folder, so that other files do no harm
constexpr const char* kAsideFolder = "/unreadable";  // the last one that could not be read

/// LevelDB's own log is of no use to operators, and would cost renames and writes at each start.
class SilentLogger final : public leveldb::Logger {
 public:
  void Logv(const char*, std::va_list) override {}
};

}  // namespace

Database::Database(const std::string& dataFolder, FileSystem files)
    : folder_(dataFolder + kFolder),
      asideFolder_(dataFolder + kAsideFolder),
      files_(files),
      env_(std::move(files)),
      silent_(std::make_unique<SilentLogger>()) {}

Database::~Database() = default;

Status Database::openDatabase() {
  // Guards against a lock on the folder that this process itself still holds after a try that failed.
  database_.reset();
  // Guards against a folder that a loss of power takes back, with all that was acknowledged in it.
  if (Status made = env_.CreateDir(folder_); !made.ok()) return made;
  // Guards against names that an earlier process left unsynced, before anything is removed for their sake.
  if (Status synced = files_.syncFolder(folder_); !synced.ok()) return synced;
  leveldb::Options options;
  options.env = &env_;
  options.info_log = silent_.get();
  options.create_if_missing = true;
  options.write_buffer_size = kWriteBuffer;
  options.max_open_files = kOpenFiles;
  options.compression = leveldb::kNoCompression;
  leveldb::DB* database = nullptr;
  Status opened = leveldb::DB::Open(options, folder_, &database);
  database_.reset(database);
  usable_ = opened.ok();
  return opened;
}

OpenOutcome Database::outcomeOf(const Status& status) const {
  if (status.ok()) return {};
  const OpenState state = status.IsCorruption() ? OpenState::unreadable : OpenState::refused;
  return {state, failure("store", status.ToString(), folder_)};
}

// An empty folder is ours; one that holds anything must say that it is.
OpenOutcome Database::checkVersion() {
  std::string version;
  const Status status = database_->Get(leveldb::ReadOptions(), kVersionKey, &version);
  if (status.ok() && version == kVersion) return {};
  if (!status.ok() && !status.IsNotFound()) return outcomeOf(status);
  const std::unique_ptr<leveldb::Iterator> any(database_->NewIterator(leveldb::ReadOptions()));
  any->SeekToFirst();
  if (!any->Valid()) return outcomeOf(any->status());
  return {OpenState::foreign,
          failure("store", "it holds something else, or was written by a newer version", folder_)};
}

OpenOutcome Database::tellAll(const Entry& entry) {
  leveldb::ReadOptions once;
  once.fill_cache = false;
  once.verify_checksums = true;
  const std::unique_ptr<leveldb::Iterator> at(database_->NewIterator(once));
  for (at->SeekToFirst(); at->Valid(); at->Next()) {
    if (at->key() != kVersionKey) entry(at->key().ToString(), at->value().ToString());
  }
  return outcomeOf(at->status());
}

OpenOutcome Database::open(const Entry& entry) {
  OpenOutcome outcome = outcomeOf(openDatabase());
  if (outcome.state == OpenState::opened) outcome = checkVersion();
  if (outcome.state == OpenState::opened) outcome = tellAll(entry);
  usable_ = outcome.state == OpenState::opened;
  return outcome;
}

bool Database::write(const std::vector<const Entries*>& batches) {
  if (!usable_ && !openDatabase().ok()) return false;
  leveldb::WriteBatch all;
  all.Put(kVersionKey, kVersion);
  for (const Entries* batch : batches) {
    for (const auto& [key, value] : *batch) {
      if (value) {
        all.Put(key, *value);
      } else {
        all.Delete(key);
      }
    }
  }
  leveldb::WriteOptions synced;
  synced.sync = true;
  // Guards against a log that a refused write left half written: what came after it would be lost with it.
  usable_ = database_->Write(synced, &all).ok();
  return usable_;
}

Result<void> Database::setAside() {
  database_.reset();
  std::vector<std::string> older;
  env_.GetChildren(asideFolder_, &older);  // of none there is nothing to drop
  for (const std::string& name : older) {
    if (name != "." && name != "..") env_.target()->RemoveFile(asideFolder_ + '/' + name);
  }
  env_.RemoveDir(asideFolder_);
  const Status moved = env_.RenameFile(folder_, asideFolder_);
  if (!moved.ok()) return failure("store", moved.ToString(), folder_);
  return boost::outcome_v2::success();
}

}  // namespace rackroute::mesh
