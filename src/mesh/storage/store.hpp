#pragma once

// The control process's disk: a LevelDB and the one thread that waits for it. Batches that come while one is
// being synced go together with the next. It owns the database; it must never tell of a batch as written that
// a loss of power could take.

#include <condition_variable>
#include <functional>
#include <memory>
#include <mutex>
#include <optional>
#include <string>
#include <thread>
#include <vector>

#include "mesh/configuration/error.hpp"

namespace leveldb {
class DB;
}

namespace rackroute::mesh {

using Entries = std::vector<std::pair<std::string, std::optional<std::string>>>;  // none: removed

class Store {
 public:
  /// told: called from the store's thread for each batch, in their order.
  using Told = std::function<void(std::uint64_t batch, bool done)>;

  explicit Store(std::string folder);
  Store(const Store&) = delete;
  Store& operator=(const Store&) = delete;
  ~Store();

  /// Told of one entry of the store.
  using Entry = std::function<void(std::string key, std::string value)>;

  /// Opens the folder and tells of each entry that it holds, in the order of their keys, without keeping
  /// them. foreign: it is no store of ours, and waiting won't help; nothing was told then. After any other
  /// error some entries may have been told, and the caller must forget them.
  Result<void> open(bool& foreign, const Entry& entry);
  void start(Told told);
  void write(std::uint64_t batch, Entries entries);

 private:
  struct Batch {
    std::uint64_t no = 0;
    Entries entries;
  };
  Result<void> openDatabase();
  Result<void> checkVersion(bool& foreign);
  void run();

  std::string folder_;
  std::unique_ptr<leveldb::DB> database_;
  Told told_;
  std::mutex mutex_;
  std::condition_variable more_;
  std::vector<Batch> waiting_;
  bool over_ = false;
  std::thread thread_;
};

}  // namespace rackroute::mesh
