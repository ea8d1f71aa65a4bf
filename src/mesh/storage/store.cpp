#include "mesh/storage/store.hpp"

#include <leveldb/db.h>
#include <leveldb/write_batch.h>

#include <chrono>
#include <utility>

namespace rackroute::mesh {
namespace {

using namespace std::chrono_literals;

constexpr std::size_t kWriteBuffer = 1 << 20;  // bytes held twice at the worst; what is live is far less
constexpr int kOpenFiles = 64;                 // LevelDB's floor; the descriptors are for connections
constexpr auto kReopenPause = 250ms;           // after a failed write; a full disk stays full for a while
constexpr const char* kMark = "version";       // of what the folder holds
constexpr const char* kVersion = "1";
constexpr const char* kFolder = "/held";  // within the data folder, so that other files there do no harm

}  // namespace

Store::Store(std::string folder) : folder_(std::move(folder)) {}

Store::~Store() {
  {
    const std::lock_guard guard(mutex_);
    over_ = true;
  }
  more_.notify_one();
  if (thread_.joinable()) thread_.join();
}

Result<void> Store::openDatabase() {
  leveldb::Options options;
  options.create_if_missing = true;
  options.write_buffer_size = kWriteBuffer;
  options.max_open_files = kOpenFiles;
  options.compression = leveldb::kNoCompression;
  leveldb::DB* database = nullptr;
  const leveldb::Status status = leveldb::DB::Open(options, folder_ + kFolder, &database);
  if (!status.ok()) return failure("store", status.ToString(), folder_);
  database_.reset(database);
  return boost::outcome_v2::success();
}

// An empty folder is ours; one that holds anything must say that it is.
Result<void> Store::checkVersion(bool& foreign) {
  std::string version;
  const leveldb::Status status = database_->Get(leveldb::ReadOptions(), kMark, &version);
  if (status.ok() && version == kVersion) return boost::outcome_v2::success();
  if (!status.ok() && !status.IsNotFound()) return failure("store", status.ToString(), folder_);
  const std::unique_ptr<leveldb::Iterator> any(database_->NewIterator(leveldb::ReadOptions()));
  any->SeekToFirst();
  if (!any->Valid() && any->status().ok()) return boost::outcome_v2::success();
  if (!any->status().ok()) return failure("store", any->status().ToString(), folder_);
  foreign = true;
  return failure("store", "it holds something else, or was written by a newer version", folder_);
}

Result<void> Store::open(bool& foreign, const Entry& entry) {
  foreign = false;
  // Guards against a lock on the folder that this process itself still holds after a read that failed.
  database_.reset();
  if (auto opened = openDatabase(); !opened) return std::move(opened).error();
  if (auto checked = checkVersion(foreign); !checked) return std::move(checked).error();
  leveldb::ReadOptions once;
  once.fill_cache = false;
  const std::unique_ptr<leveldb::Iterator> at(database_->NewIterator(once));
  for (at->SeekToFirst(); at->Valid(); at->Next()) {
    if (at->key() != kMark) entry(at->key().ToString(), at->value().ToString());
  }
  if (!at->status().ok()) return failure("store", at->status().ToString(), folder_);
  return boost::outcome_v2::success();
}

void Store::start(Told told) {
  told_ = std::move(told);
  thread_ = std::thread([this] { run(); });
}

void Store::write(std::uint64_t batch, Entries entries) {
  {
    const std::lock_guard guard(mutex_);
    waiting_.push_back({batch, std::move(entries)});
  }
  more_.notify_one();
}

void Store::run() {
  for (;;) {
    std::vector<Batch> batches;
    {
      std::unique_lock lock(mutex_);
      more_.wait(lock, [this] { return over_ || !waiting_.empty(); });
      if (over_ && waiting_.empty()) return;
      batches.swap(waiting_);
    }
    bool done = false;
    if (database_ || openDatabase()) {
      leveldb::WriteBatch all;
      all.Put(kMark, kVersion);
      for (const Batch& batch : batches) {
        for (const auto& [key, value] : batch.entries) {
          if (value) {
            all.Put(key, *value);
          } else {
            all.Delete(key);
          }
        }
      }
      leveldb::WriteOptions synced;
      synced.sync = true;
      done = database_->Write(synced, &all).ok();
      // Guards against a log that a refused write left half written: what came after it would be lost with
      // it.
      if (!done) database_.reset();
    }
    for (const Batch& batch : batches) told_(batch.no, done);
    if (!done) std::this_thread::sleep_for(kReopenPause);
  }
}

}  // namespace rackroute::mesh
