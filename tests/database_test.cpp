// The control process's database on an emulated disk, with process crashes, power losses and disk errors at
// random times.

#include "mesh/storage/database.hpp"

#include <catch2/catch.hpp>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "lab/mesh/emulated_files.hpp"
#include "mesh/storage/manifest_tail.hpp"

using namespace rackroute;
using namespace rackroute::lab;
using namespace rackroute::lab::mesh;
using rackroute::mesh::Database;
using rackroute::mesh::Entries;
using rackroute::mesh::FileSystem;
using rackroute::mesh::OpenOutcome;
using rackroute::mesh::OpenState;

namespace {

constexpr const char* kData = "/data";
constexpr std::uint64_t kSeeds = 120;

/// A disk, the process that uses it, and the writes that were acknowledged to it.
class Machine {
 public:
  explicit Machine(std::uint64_t seed, bool syncsFolders = true)
      : random_(makeRandomEngine(seed, Purpose::troubles)), files_(kData), fileSystem_(files_.fileSystem()) {
    if (!syncsFolders) fileSystem_.syncFolder = [](const std::string&) { return leveldb::Status::OK(); };
  }
  ~Machine() { stop(); }

  [[nodiscard]] std::uint64_t below(std::uint64_t end) { return random_() % end; }
  EmulatedFiles& files() { return files_; }
  RandomEngine& random() { return random_; }

  OpenOutcome start() {
    stop();
    database_ = std::make_unique<Database>(kData, fileSystem_);
    std::map<std::string, std::string> found;
    OpenOutcome outcome = database_->open(
        [&](std::string key, std::string value) { found[std::move(key)] = std::move(value); });
    files_.runScheduled();
    if (outcome.state == OpenState::opened) compare(found);
    return outcome;
  }
  /// Ends the process, by a crash or a power loss.
  void end(bool power) {
    stop();
    files_.restart(power, random_);
  }
  void write(std::size_t size) {
    Entries entries;
    for (std::uint64_t i = 0; i <= below(3); ++i) {
      const std::string key = "k" + std::to_string(below(12));
      std::optional<std::string> value;
      if (below(5) > 0) value = std::to_string(++values_) + std::string(size, 'x');
      entries.emplace_back(key, value);
      possible_[key].push_back(value);
    }
    const bool done = database_->write({&entries});
    files_.runScheduled();
    if (!done) return;
    for (const auto& [key, value] : entries) {
      acknowledged_[key] = value;
      possible_[key] = {value};
    }
  }
  Database& database() { return *database_; }
  /// Number of keys whose value is neither the last acknowledged one nor a later one.
  [[nodiscard]] std::size_t lost() const { return lost_; }
  void forget() {
    acknowledged_.clear();
    possible_.clear();
  }

 private:
  void stop() {
    files_.runScheduled();
    database_.reset();
  }
  void compare(const std::map<std::string, std::string>& found) {
    for (auto& [key, possible] : possible_) {
      const auto at = found.find(key);
      const std::optional<std::string> value =
          at == found.end() ? std::nullopt : std::optional<std::string>(at->second);
      const bool never = acknowledged_.count(key) == 0 && !value;
      bool known = never;
      for (const auto& one : possible) known = known || one == value;
      if (!known) ++lost_;
      // A value that was read must not be lost by a later start either.
      if (!never) acknowledged_[key] = value;
      possible = {value};
    }
  }

  RandomEngine random_;
  EmulatedFiles files_;
  FileSystem fileSystem_;
  std::unique_ptr<Database> database_;
  std::map<std::string, std::optional<std::string>> acknowledged_;
  std::map<std::string, std::vector<std::optional<std::string>>> possible_;
  std::uint64_t values_ = 0;
  std::size_t lost_ = 0;
};

/// Results of a sequence of processes on one disk.
struct RunResults {
  std::size_t unreadable = 0;
  std::size_t lost = 0;
};

RunResults runProcesses(std::uint64_t seed, bool syncsFolders) {
  Machine machine(seed, syncsFolders);
  RunResults results;
  for (int run = 0; run < 12; ++run) {
    // Processes may end while they open the database, while they write or in between.
    if (machine.below(3) > 0) machine.files().failAfter(machine.below(120));
    const OpenOutcome outcome = machine.start();
    if (outcome.state == OpenState::corrupt) {
      ++results.unreadable;
      break;
    }
    const std::uint64_t writes = machine.below(40);
    const std::size_t size = machine.below(2) == 0 ? 20 : 60'000;
    for (std::uint64_t i = 0; i < writes && outcome.state == OpenState::opened; ++i) {
      if (machine.below(10) == 0) machine.files().setFull(true);
      machine.write(size);
      machine.files().setFull(false);
    }
    machine.end(machine.below(2) == 0);
  }
  results.lost = machine.lost();
  return results;
}

}  // namespace

TEST_CASE("crashes, power losses and full disks never corrupt the database or lose acknowledged writes",
          "[database]") {
  for (std::uint64_t seed = 1; seed <= kSeeds; ++seed) {
    const RunResults results = runProcesses(seed, true);
    INFO("seed " << seed);
    CHECK(results.unreadable == 0);
    CHECK(results.lost == 0);
  }
}

// Validates the test above: without folder syncs the emulated disk does lose acknowledged data.
TEST_CASE("without folder syncs the database becomes corrupt and loses acknowledged writes", "[database]") {
  RunResults sum;
  for (std::uint64_t seed = 1; seed <= kSeeds; ++seed) {
    const RunResults results = runProcesses(seed, false);
    sum.unreadable += results.unreadable;
    sum.lost += results.lost;
  }
  INFO("unreadable " << sum.unreadable << ", lost " << sum.lost);
  CHECK(sum.unreadable > 0);
  CHECK(sum.lost > 0);
}

TEST_CASE("a corrupt database is set aside, and a disk error is not treated as corruption", "[database]") {
  Machine machine(1);
  REQUIRE(machine.start().state == OpenState::opened);
  machine.write(20);
  machine.end(false);
  machine.files().setFull(true);
  CHECK(machine.start().state == OpenState::unavailable);
  machine.files().setFull(false);
  CHECK(machine.start().state == OpenState::opened);
  machine.end(false);
  REQUIRE(machine.files().RemoveFile("/data/held/CURRENT").ok());
  leveldb::WriteStringToFile(&machine.files(), "MANIFEST-999999\n", "/data/held/CURRENT");
  for (int times = 0; times < 2; ++times) {
    REQUIRE(machine.start().state == OpenState::corrupt);
    REQUIRE(machine.database().setAside());
    CHECK(machine.files().FileExists("/data/unreadable/CURRENT"));
    machine.forget();
    REQUIRE(machine.start().state == OpenState::opened);
    machine.write(20);
    machine.end(true);
    REQUIRE(machine.start().state == OpenState::opened);
    machine.end(false);
    leveldb::WriteStringToFile(&machine.files(), "MANIFEST-999999\n", "/data/held/CURRENT");
  }
  CHECK(machine.lost() == 0);
}

TEST_CASE("a database is not opened while its folder's name can't be synced", "[database]") {
  EmulatedFiles files(kData);
  FileSystem fileSystem = files.fileSystem();
  bool refuses = true;
  fileSystem.syncFolder = [&refuses, sync = fileSystem.syncFolder](const std::string& folder) {
    const bool refused = refuses && folder == kData;
    return refused ? leveldb::Status::IOError(folder, "refused") : sync(folder);
  };
  const auto nothing = [](const std::string&, const std::string&) {};
  Database database(kData, fileSystem);
  CHECK(database.open(nothing).state == OpenState::unavailable);
  refuses = false;
  CHECK(database.open(nothing).state == OpenState::opened);
  files.runScheduled();
}

TEST_CASE("a torn record at the end of a manifest is ignored, but not corruption before the end",
          "[database]") {
  EmulatedFiles files(kData);
  Database database(kData, files.fileSystem());
  REQUIRE(database.open([](const std::string&, const std::string&) {}).state == OpenState::opened);
  std::string name;
  std::string manifest;
  REQUIRE(leveldb::ReadFileToString(&files, "/data/held/CURRENT", &name).ok());
  name.pop_back();
  REQUIRE(leveldb::ReadFileToString(&files, "/data/held/" + name, &manifest).ok());
  using rackroute::mesh::readableManifestSize;
  CHECK(readableManifestSize("") == 0);
  CHECK(readableManifestSize(manifest) == manifest.size());
  const std::string record = manifest.substr(0, 7 + static_cast<unsigned char>(manifest[4]));
  REQUIRE(readableManifestSize(record) == record.size());
  for (std::size_t size = 1; size < record.size(); ++size) {
    const std::string torn = record.substr(0, size);
    CHECK(readableManifestSize(manifest + torn) == manifest.size());
    CHECK(readableManifestSize(manifest + torn + std::string(record.size() - size, '\0')) == manifest.size());
  }
  std::string damaged = manifest;
  damaged[damaged.size() - 1] ^= 1;
  damaged.resize(32768, '\0');
  CHECK(readableManifestSize(damaged) < manifest.size());
  CHECK(readableManifestSize(damaged + manifest) == damaged.size() + manifest.size());
  files.runScheduled();
}
