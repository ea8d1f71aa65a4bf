#pragma once

// The control process's disk: a database and the one thread that waits for it. Batches that come while one is
// being synced go together with the next. It must never tell of a batch as written that a loss of power could
// take.

#include <condition_variable>
#include <cstdint>
#include <functional>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

#include "mesh/storage/database.hpp"

namespace rackroute::mesh {

class Store {
 public:
  /// told: called from the store's thread for each batch, in their order.
  using Told = std::function<void(std::uint64_t batch, bool done)>;

  explicit Store(const std::string& dataFolder, FileSystem files = posixFileSystem());
  Store(const Store&) = delete;
  Store& operator=(const Store&) = delete;
  ~Store();

  /// See Database; to be called before start() only.
  OpenOutcome open(const Database::Entry& entry) { return database_.open(entry); }
  Result<void> setAside() { return database_.setAside(); }
  void start(Told told);
  void write(std::uint64_t batch, Entries entries);

 private:
  struct Batch {
    std::uint64_t no = 0;
    Entries entries;
  };
  void run();
  std::vector<Batch> nextBatches();

  Database database_;
  Told told_;
  std::mutex mutex_;
  std::condition_variable more_;
  std::vector<Batch> waiting_;
  bool over_ = false;
  std::thread thread_;
};

}  // namespace rackroute::mesh
