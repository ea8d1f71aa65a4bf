// The formats of promises on disk and in snapshots: random operations and restarts compared with a simple
// model, and malformed input.

#include "mesh/storage/promise_journal.hpp"

#include <unistd.h>

#include <catch2/catch.hpp>
#include <chrono>
#include <filesystem>
#include <iostream>
#include <map>
#include <nlohmann/json.hpp>
#include <random>

#include "mesh/registry/registry_messages.hpp"
#include "mesh/storage/store.hpp"

using namespace rackroute;
using namespace rackroute::mesh;
using namespace std::chrono_literals;
using nlohmann::json;

namespace {

constexpr Span kKeep = 75s;
using Disk = std::map<std::string, std::string>;
using Change = PromiseJournal::Change;

KeyHash keyNo(std::uint64_t no) { return hashOfKey("key " + std::to_string(no)); }

Holder holderNo(std::uint64_t no, std::uint64_t sidecar = 1) {
  return {{"100.64.0." + std::to_string(sidecar) + ":20000"}, {1'764'653'029'000'000 + sidecar}, {no}};
}

void write(Disk& disk, const std::vector<StoreEntry>& entries) {
  for (const auto& [key, value] : entries) {
    if (value) {
      disk[key] = *value;
    } else {
      disk.erase(key);
    }
  }
}

/// A process that starts with this disk.
struct Process {
  explicit Process(const Disk& disk) {
    for (const auto& [key, value] : disk) REQUIRE(journal.restore(key, value, promises).value());
    uptime = journal.resume(promises);
  }
  Promises promises{kKeep};
  PromiseJournal journal;
  Span uptime{};
};

std::string oldValue(const Holder& holder) {
  json text = toJson(holder);
  text.push_back(1'764'653'029'000'000);
  return text.dump();
}

/// Journal records of `count` promises, with `batch` promises each.
Disk recordsOf(std::uint64_t count, std::uint64_t batch) {
  Disk disk;
  PromiseJournal journal;
  for (std::uint64_t no = 0; no < count; no += batch) {
    std::vector<Change> changes;
    for (std::uint64_t i = no; i < std::min(no + batch, count); ++i)
      changes.push_back({keyNo(i), holderNo(i / 50, i % 50)});
    write(disk, {journal.record(std::chrono::milliseconds(no), changes)});
  }
  return disk;
}

std::vector<std::uint8_t> bytesOf(const std::string& text) { return {text.begin(), text.end()}; }

}  // namespace

TEST_CASE("promises on disk match a simple model over random operations, and restarts never shorten them",
          "[promises]") {
  std::mt19937 random(11);
  const auto below = [&](std::uint64_t end) { return random() % end; };
  Disk disk;
  std::map<KeyHash, std::map<Holder, Span>> model;  // when promised, in the current process's uptime
  auto process = std::make_unique<Process>(disk);
  std::uint64_t lastClaim = 0;
  std::size_t restored = 0;
  std::size_t ended = 0;
  for (int step = 0; step < 20'000; ++step) {
    process->uptime += std::chrono::milliseconds(below(below(50) == 0 ? 20'000 : 200));
    std::vector<Change> changes;
    for (std::uint64_t i = below(6); i > 0; --i) {
      const KeyHash key = keyNo(below(300));
      auto& holders = model[key];
      if (below(3) == 0 && !holders.empty()) {
        const Holder holder = holders.begin()->first;
        REQUIRE(process->promises.release(key, holder));
        holders.erase(holder);
        changes.push_back({key, holder, true});
      } else if (below(5) == 0) {
        const Holder learned = holderNo(++lastClaim, below(9));
        process->promises.learn(process->uptime, key, learned);
        holders[learned] = process->uptime;
        changes.push_back({key, learned});
      } else {
        const Holder claimer = holderNo(++lastClaim, below(9));
        if (process->promises.claim(process->uptime, key, claimer) != claimer) continue;
        REQUIRE(holders.empty());
        holders[claimer] = process->uptime;
        changes.push_back({key, claimer});
      }
    }
    if (!changes.empty()) write(disk, {process->journal.record(process->uptime, changes)});
    write(disk, process->journal.expire(process->uptime, kKeep));
    for (const KeyHash& key : process->promises.expire(process->uptime)) {
      for (const auto& [holder, at] : model[key]) REQUIRE(at + kKeep <= process->uptime);
      model[key].clear();
      ++ended;
    }
    if (below(100) > 0) continue;
    const Span before = process->uptime;
    process = std::make_unique<Process>(disk);
    REQUIRE(process->uptime <= before);
    std::map<KeyHash, std::map<Holder, Span>> held;
    process->promises.forEach(
        [&](const KeyHash& key, const Holder& holder, Span at) { held[key][holder] = at; });
    for (const auto& [key, holders] : model) {
      for (const auto& [holder, at] : holders) {
        if (at + kKeep <= before) continue;  // expired, and held only because the key has other holders
        REQUIRE(held[key].count(holder) == 1);
        REQUIRE(held[key][holder] + kKeep - process->uptime >= at + kKeep - before);
        ++restored;
      }
    }
    for (const auto& [key, holders] : held) {
      for (const auto& [holder, at] : holders) REQUIRE(model[key].count(holder) == 1);
    }
    // Uptime continues from the records, so the remaining holders keep their times.
    for (auto& [key, holders] : model)
      std::erase_if(holders, [&](const auto& entry) { return held[key].count(entry.first) == 0; });
  }
  CHECK(restored > 1000);
  CHECK(ended > 1000);
  CHECK(disk.size() < 3000);
  write(disk, process->journal.clear());
  CHECK(disk.empty());
}

TEST_CASE("torn and unknown records of promises are rejected without any effect", "[promises]") {
  PromiseJournal journal;
  const StoreEntry entry = journal.record(
      5s, {{keyNo(1), holderNo(1)}, {keyNo(2), holderNo(300, 2)}, {keyNo(1), holderNo(1), true}});
  const std::string& complete = *entry.second;
  const auto restored = [&](const std::string& key, const std::string& value) {
    Promises promises(kKeep);
    PromiseJournal fresh;
    const auto result = fresh.restore(key, value, promises);
    if (!result) CHECK(promises.all().empty());
    return result.has_value();
  };
  REQUIRE(restored(entry.first, complete));
  for (std::size_t size = 0; size < complete.size(); ++size)
    CHECK_FALSE(restored(entry.first, complete.substr(0, size)));
  CHECK_FALSE(restored(entry.first, complete + "x"));
  for (std::size_t size = 2; size < entry.first.size(); ++size)
    CHECK_FALSE(restored(entry.first.substr(0, size), complete));
  CHECK_FALSE(restored("p/" + std::string(16, '\xff'), complete));
  CHECK_FALSE(restored(entry.first, "\x02" + complete.substr(1)));
  CHECK_FALSE(restored(entry.first, "[\"a\",1,2,3]"));
  // Counts that exceed the remaining bytes.
  CHECK_FALSE(restored(entry.first, "\x01" + std::string(9, '\xff') + "\x01"));
  std::mt19937 random(3);
  for (int i = 0; i < 20'000; ++i) {
    std::string corrupted = complete;
    for (auto n = random() % 3 + 1; n > 0; --n)
      corrupted[random() % corrupted.size()] = static_cast<char>(random());
    restored(entry.first, corrupted);
  }
  for (const char* value : {"", "[", "{}", "[1,2,3]", "[\"a\",-1,2,3]", "[\"a\",1]"})
    CHECK_FALSE(restored("k/" + textOf(keyNo(1)), value));
  CHECK_FALSE(restored("k/short", oldValue(holderNo(1))));
}

TEST_CASE("promises in the old format are restored, released and expired like others", "[promises]") {
  Disk disk;
  for (std::uint64_t no = 1; no <= 3; ++no) disk["k/" + textOf(keyNo(no))] = oldValue(holderNo(no));
  {
    Process process(disk);
    REQUIRE(process.promises.holders(keyNo(1)) == std::vector{holderNo(1)});
    CHECK(process.promises.release(keyNo(1), holderNo(1)));
    write(disk, {process.journal.record(10s, {{keyNo(1), holderNo(1), true}})});
  }
  Process process(disk);
  CHECK(process.uptime == 10s);
  CHECK(process.promises.holders(keyNo(1)).empty());
  CHECK(process.promises.holders(keyNo(2)) == std::vector{holderNo(2)});
  CHECK(process.promises.expire(10s + kKeep - 1s).empty());
  write(disk, process.journal.expire(10s + kKeep - 1s, kKeep));
  CHECK(disk.size() == 3);  // the released one was removed
  CHECK(process.promises.expire(10s + kKeep).size() == 2);
  write(disk, process.journal.expire(10s + kKeep, kKeep));
  CHECK(disk.empty());
  Promises promises(kKeep);
  CHECK_FALSE(PromiseJournal().restore("i/route", "{}", promises).value());
}

TEST_CASE("a snapshot transfers all holders with their ages in parts of bounded size", "[promises]") {
  Promises promises(kKeep);
  for (std::uint64_t no = 0; no < 8000; ++no)
    promises.learn(std::chrono::milliseconds(no), keyNo(no), holderNo(no, no % 100));
  for (std::uint64_t no = 0; no < 8000; no += 7) promises.learn(1s, keyNo(no), holderNo(no, 101));
  const auto parts = writeSnapshot(promises, 20s);
  CHECK(parts.size() > 1);
  Promises read(kKeep);
  read.learn(50s, keyNo(1), holderNo(9999));
  for (const auto& part : parts) {
    REQUIRE(part.size() <= 64 * 1024);
    REQUIRE(readSnapshot(part, 50s, read));
  }
  REQUIRE(read.all().size() == promises.all().size());
  for (std::uint64_t no = 0; no < 8000; ++no) {
    for (const Holder& holder : promises.holders(keyNo(no))) {
      const auto holders = read.holders(keyNo(no));
      REQUIRE(std::count(holders.begin(), holders.end(), holder) == 1);
    }
    REQUIRE(read.all().at(keyNo(no)).at >= promises.all().at(keyNo(no)).at + 30s);
  }
  CHECK(read.holders(keyNo(1)).size() == 2);
  CHECK(writeSnapshot(Promises(kKeep), 20s).empty());

  Promises few(kKeep);
  few.learn(1s, keyNo(1), holderNo(1));
  few.learn(2s, keyNo(2), holderNo(2, 2));
  const auto part = writeSnapshot(few, 300s).at(0);
  std::mt19937 random(5);
  for (std::size_t size = 0; size < part.size(); ++size) {
    Promises none(kKeep);
    CHECK_FALSE(readSnapshot({part.begin(), part.begin() + static_cast<std::ptrdiff_t>(size)}, 9s, none));
    CHECK(none.all().empty());
  }
  for (int i = 0; i < 20'000; ++i) {
    auto corrupted = part;
    corrupted[random() % corrupted.size()] = static_cast<std::uint8_t>(random());
    Promises none(kKeep);
    if (!readSnapshot(corrupted, 9s, none)) REQUIRE(none.all().empty());
  }
  Promises none(kKeep);
  CHECK_FALSE(readSnapshot(bytesOf("{}"), 9s, none));
}

// Benchmark: size of the store and time to read it, in the old format and the current one.
TEST_CASE("time to restore promises from the store", "[.measure]") {
  const auto folder =
      std::filesystem::temp_directory_path() / ("rackroute-promises-" + std::to_string(::getpid()));
  const auto fill = [&](const Disk& disk) {
    std::filesystem::remove_all(folder);
    std::filesystem::create_directories(folder);
    Store store(folder.string());
    REQUIRE(store.open([](const std::string&, const std::string&) {}).state == OpenState::opened);
    store.start([](std::uint64_t, bool) {});
    std::uint64_t batch = 0;
    for (const auto& [key, value] : disk) store.write(++batch, {{key, value}});
  };
  const auto folderSize = [&] {
    std::uintmax_t size = 0;
    for (const auto& file : std::filesystem::recursive_directory_iterator(folder))
      size += file.is_regular_file() ? file.file_size() : 0;
    return static_cast<double>(size);
  };
  const auto print = [&](std::uint64_t count, const char* format, const auto& read) {
    const auto start = std::chrono::steady_clock::now();
    read();
    const double time = std::chrono::duration<double>(std::chrono::steady_clock::now() - start).count();
    std::cout << count << " promises, " << format << ": folder " << folderSize() / static_cast<double>(count)
              << " bytes each, opened and read in " << time * 1000 << " ms\n";
  };
  for (const std::uint64_t count : {10'000U, 40'000U, 160'000U}) {
    Disk disk;
    for (std::uint64_t no = 0; no < count; ++no)
      disk["k/" + textOf(keyNo(no))] = oldValue(holderNo(no / 50, no % 50));
    fill(disk);
    print(count, "JSON", [&] {
      Store store(folder.string());
      Disk all;
      const auto outcome =
          store.open([&](std::string key, std::string value) { all[key] = std::move(value); });
      REQUIRE(outcome.state == OpenState::opened);
      Promises promises(kKeep);
      for (const auto& [key, value] : all) {
        const json promise = json::parse(value);
        promises.learn(Span(promise.at(3).get<std::int64_t>()), *keyHashFrom(std::string_view(key).substr(2)),
                       holderFrom(promise));
      }
      REQUIRE(promises.all().size() == count);
    });
    for (const std::uint64_t size : {1U, 8U}) {
      fill(recordsOf(count, size));
      print(count, size == 1 ? "1 a record" : "8 a record", [&] {
        Store store(folder.string());
        Promises promises(kKeep);
        PromiseJournal journal;
        const auto outcome = store.open([&](const std::string& key, const std::string& value) {
          REQUIRE(journal.restore(key, value, promises).value());
        });
        REQUIRE(outcome.state == OpenState::opened);
        journal.resume(promises);
        REQUIRE(promises.all().size() == count);
      });
    }
  }
  std::filesystem::remove_all(folder);
}

// Benchmark: size of the promises on disk and time to read them, in the old format and the current one.
TEST_CASE("size of promises on disk and time to read them", "[.measure]") {
  const auto secondsOf = [](const auto& work) {
    const auto start = std::chrono::steady_clock::now();
    work();
    return std::chrono::duration<double>(std::chrono::steady_clock::now() - start).count();
  };
  const auto sizeOf = [](const Disk& disk) {
    std::size_t size = 0;
    for (const auto& [key, value] : disk) size += key.size() + value.size();
    return static_cast<double>(size);
  };
  for (const std::uint64_t count : {10'000U, 40'000U, 160'000U}) {
    Disk before;
    for (std::uint64_t no = 0; no < count; ++no)
      before["k/" + textOf(keyNo(no))] = oldValue(holderNo(no / 50, no % 50));
    Promises promises(kKeep);
    const double beforeTime = secondsOf([&] {
      for (const auto& [key, value] : before) {
        const json promise = json::parse(value);
        promises.learn(Span(promise.at(3).get<std::int64_t>()), *keyHashFrom(std::string_view(key).substr(2)),
                       holderFrom(promise));
      }
    });
    std::cout << count << " promises, JSON: " << sizeOf(before) / static_cast<double>(count)
              << " bytes each, read in " << beforeTime * 1000 << " ms\n";
    for (const std::uint64_t batch : {1U, 8U, 32U}) {
      const Disk now = recordsOf(count, batch);
      std::unique_ptr<Process> process;
      const double time = secondsOf([&] { process = std::make_unique<Process>(now); });
      REQUIRE(process->promises.all().size() == count);
      double snapshotSize = 0;
      std::vector<std::vector<std::uint8_t>> parts;
      const double made = secondsOf([&] { parts = writeSnapshot(process->promises, process->uptime); });
      for (const auto& part : parts) snapshotSize += static_cast<double>(part.size());
      Promises read(kKeep);
      const double taken = secondsOf([&] {
        for (const auto& part : parts) REQUIRE(readSnapshot(part, process->uptime, read));
      });
      std::cout << count << " promises, " << batch
                << " a record: " << sizeOf(now) / static_cast<double>(count) << " bytes each, read in "
                << time * 1000 << " ms; snapshot " << snapshotSize / static_cast<double>(count)
                << " bytes each in " << parts.size() << " parts, made in " << made * 1000 << " ms, taken in "
                << taken * 1000 << " ms\n";
    }
  }
}

TEST_CASE("processes that restart at the same uptime write distinct records", "[promises]") {
  Disk disk;
  for (std::uint64_t no = 1; no <= 5; ++no) {
    Process process(disk);
    write(disk, {process.journal.record(process.uptime, {{keyNo(no), holderNo(no)}})});
  }
  CHECK(Process(disk).promises.all().size() == 5);
}
