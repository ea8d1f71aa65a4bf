#include "mesh/storage/database.hpp"

#include <leveldb/db.h>
#include <leveldb/write_batch.h>

namespace rackroute::mesh {
namespace {

using leveldb::Status;

constexpr std::size_t kWriteBuffer = 1 << 20;  // bytes
constexpr int kOpenFiles = 64;                 // LevelDB's minimum
// Entry with the version of the database's format.
constexpr const char* kVersionKey = "version";
constexpr const char* kVersion = "1";
// Folders within the data folder: the database, and the last one that was set aside as corrupt.
constexpr const char* kDatabaseFolder = "/held";
constexpr const char* kAsideFolder = "/unreadable";

/// Discards LevelDB's own log, which would cost a rename and writes at each start.
class SilentLogger final : public leveldb::Logger {
 public:
  void Logv(const char*, std::va_list) override {}
};

}  // namespace

Database::Database(const std::string& dataFolder, FileSystem files)
    : folder_(dataFolder + kDatabaseFolder),
      asideFolder_(dataFolder + kAsideFolder),
      files_(files),
      env_(std::move(files)),
      logger_(std::make_unique<SilentLogger>()) {}

Database::~Database() = default;

Status Database::openDatabase() {
  // Releases the lock that a failed earlier attempt may still hold on the folder.
  database_.reset();
  // Makes the folder's name durable: a power loss could otherwise remove it with all acknowledged data.
  if (Status created = env_.CreateDir(folder_); !created.ok()) return created;
  // Makes names durable that an earlier process did not sync, before files that they replace are removed.
  if (Status synced = files_.syncFolder(folder_); !synced.ok()) return synced;
  leveldb::Options options;
  options.env = &env_;
  options.info_log = logger_.get();
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
  const OpenState state = status.IsCorruption() ? OpenState::corrupt : OpenState::unavailable;
  return {state, failure("store", status.ToString(), folder_)};
}

// An empty database is accepted; any other one must contain the expected version.
OpenOutcome Database::checkVersion() {
  std::string version;
  const Status status = database_->Get(leveldb::ReadOptions(), kVersionKey, &version);
  if (status.ok() && version == kVersion) return {};
  if (!status.ok() && !status.IsNotFound()) return outcomeOf(status);
  const std::unique_ptr<leveldb::Iterator> iterator(database_->NewIterator(leveldb::ReadOptions()));
  iterator->SeekToFirst();
  if (!iterator->Valid()) return outcomeOf(iterator->status());
  return {OpenState::unrecognized,
          failure("store", "not a rackroute database, or written by a newer version", folder_)};
}

OpenOutcome Database::visitEntries(const EntryVisitor& visit) {
  leveldb::ReadOptions options;
  options.fill_cache = false;
  options.verify_checksums = true;
  const std::unique_ptr<leveldb::Iterator> iterator(database_->NewIterator(options));
  for (iterator->SeekToFirst(); iterator->Valid(); iterator->Next()) {
    if (iterator->key() != kVersionKey) visit(iterator->key().ToString(), iterator->value().ToString());
  }
  return outcomeOf(iterator->status());
}

OpenOutcome Database::open(const EntryVisitor& visit) {
  OpenOutcome outcome = outcomeOf(openDatabase());
  if (outcome.state == OpenState::opened) outcome = checkVersion();
  if (outcome.state == OpenState::opened) outcome = visitEntries(visit);
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
  // After a failed write the log may end in a partial record, and later records would be lost with it. The
  // next write reopens the database.
  usable_ = database_->Write(synced, &all).ok();
  return usable_;
}

Result<void> Database::setAside() {
  database_.reset();
  std::vector<std::string> previous;
  env_.GetChildren(asideFolder_, &previous);  // fails if there is none; then there is nothing to remove
  for (const std::string& name : previous) {
    if (name != "." && name != "..") env_.target()->RemoveFile(asideFolder_ + '/' + name);
  }
  env_.RemoveDir(asideFolder_);
  const Status moved = env_.RenameFile(folder_, asideFolder_);
  if (!moved.ok()) return failure("store", moved.ToString(), folder_);
  return boost::outcome_v2::success();
}

}  // namespace rackroute::mesh
