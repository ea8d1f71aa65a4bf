#pragma once

// Asynchronous writes to the control process's database, on a thread of its own. Batches that arrive during a
// sync are combined into the next write. A batch is reported as done only once it is durable.

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
  /// Called from the store's thread for each batch, in order.
  using WriteCallback = std::function<void(std::uint64_t batch, bool done)>;

  explicit Store(const std::string& dataFolder, FileSystem files = posixFileSystem());
  Store(const Store&) = delete;
  Store& operator=(const Store&) = delete;
  ~Store();

  /// See Database; must be called before start().
  OpenOutcome open(const Database::EntryVisitor& visit) { return database_.open(visit); }
  Result<void> setAside() { return database_.setAside(); }
  void start(WriteCallback callback);
  void write(std::uint64_t batch, Entries entries);

 private:
  struct Batch {
    std::uint64_t no = 0;
    Entries entries;
  };
  void run();
  std::vector<Batch> nextBatches();

  Database database_;
  WriteCallback callback_;
  std::mutex mutex_;
  std::condition_variable wakeup_;
  std::vector<Batch> waiting_;
  bool stopping_ = false;
  std::thread thread_;
};

}  // namespace rackroute::mesh
