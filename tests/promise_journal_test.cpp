// How promises stand on disk and go to other voters: drawn lives against a plain model, and spoilt bytes.

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

/// The process with this disk, as it starts.
struct Life {
  explicit Life(const Disk& disk) {
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

/// That many promises, that many a record.
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

TEST_CASE("promises on disk are those of a plain model over drawn lives, and no restart shortens one",
          "[promises]") {
  std::mt19937 draw(11);
  const auto below = [&](std::uint64_t end) { return draw() % end; };
  Disk disk;
  std::map<KeyHash, std::map<Holder, Span>> model;  // when promised, by the uptime of the present life
  auto life = std::make_unique<Life>(disk);
  std::uint64_t lastClaim = 0;
  std::size_t restored = 0;
  std::size_t ended = 0;
  for (int step = 0; step < 20'000; ++step) {
    life->uptime += std::chrono::milliseconds(below(below(50) == 0 ? 20'000 : 200));
    std::vector<Change> changes;
    for (std::uint64_t i = below(6); i > 0; --i) {
      const KeyHash key = keyNo(below(300));
      auto& holders = model[key];
      if (below(3) == 0 && !holders.empty()) {
        const Holder holder = holders.begin()->first;
        REQUIRE(life->promises.release(key, holder));
        holders.erase(holder);
        changes.push_back({key, holder, true});
      } else if (below(5) == 0) {
        const Holder learned = holderNo(++lastClaim, below(9));
        life->promises.learn(life->uptime, key, learned);
        holders[learned] = life->uptime;
        changes.push_back({key, learned});
      } else {
        const Holder claimer = holderNo(++lastClaim, below(9));
        if (life->promises.claim(life->uptime, key, claimer) != claimer) continue;
        REQUIRE(holders.empty());
        holders[claimer] = life->uptime;
        changes.push_back({key, claimer});
      }
    }
    if (!changes.empty()) write(disk, {life->journal.record(life->uptime, changes)});
    write(disk, life->journal.expire(life->uptime, kKeep));
    for (const KeyHash& key : life->promises.expire(life->uptime)) {
      for (const auto& [holder, at] : model[key]) REQUIRE(at + kKeep <= life->uptime);
      model[key].clear();
      ++ended;
    }
    if (below(100) > 0) continue;
    const Span before = life->uptime;
    life = std::make_unique<Life>(disk);
    REQUIRE(life->uptime <= before);
    std::map<KeyHash, std::map<Holder, Span>> held;
    life->promises.forEach(
        [&](const KeyHash& key, const Holder& holder, Span at) { held[key][holder] = at; });
    for (const auto& [key, holders] : model) {
      for (const auto& [holder, at] : holders) {
        if (at + kKeep <= before) continue;  // over, and held only because the key has others
        REQUIRE(held[key].count(holder) == 1);
        REQUIRE(held[key][holder] + kKeep - life->uptime >= at + kKeep - before);
        ++restored;
      }
    }
    for (const auto& [key, holders] : held) {
      for (const auto& [holder, at] : holders) REQUIRE(model[key].count(holder) == 1);
    }
    // Uptime goes on from the records', so that what is held keeps its own time.
    for (auto& [key, holders] : model)
      std::erase_if(holders, [&](const auto& entry) { return held[key].count(entry.first) == 0; });
  }
  CHECK(restored > 1000);
  CHECK(ended > 1000);
  CHECK(disk.size() < 3000);
  write(disk, life->journal.clear());
  CHECK(disk.empty());
}

TEST_CASE("torn and foreign records of promises are errors and never more", "[promises]") {
  PromiseJournal journal;
  const StoreEntry entry = journal.record(
      5s, {{keyNo(1), holderNo(1)}, {keyNo(2), holderNo(300, 2)}, {keyNo(1), holderNo(1), true}});
  const std::string& whole = *entry.second;
  const auto restored = [&](const std::string& key, const std::string& value) {
    Promises promises(kKeep);
    PromiseJournal fresh;
    const auto result = fresh.restore(key, value, promises);
    if (!result) CHECK(promises.all().empty());
    return result.has_value();
  };
  REQUIRE(restored(entry.first, whole));
  for (std::size_t size = 0; size < whole.size(); ++size)
    CHECK_FALSE(restored(entry.first, whole.substr(0, size)));
  CHECK_FALSE(restored(entry.first, whole + "x"));
  for (std::size_t size = 2; size < entry.first.size(); ++size)
    CHECK_FALSE(restored(entry.first.substr(0, size), whole));
  CHECK_FALSE(restored("p/" + std::string(16, '\xff'), whole));
  CHECK_FALSE(restored(entry.first, "\x02" + whole.substr(1)));
  CHECK_FALSE(restored(entry.first, "[\"a\",1,2,3]"));
  // Counts far beyond the bytes that follow.
  CHECK_FALSE(restored(entry.first, "\x01" + std::string(9, '\xff') + "\x01"));
  std::mt19937 draw(3);
  for (int i = 0; i < 20'000; ++i) {
    std::string spoilt = whole;
    for (auto n = draw() % 3 + 1; n > 0; --n) spoilt[draw() % spoilt.size()] = static_cast<char>(draw());
    restored(entry.first, spoilt);
  }
  for (const char* value : {"", "[", "{}", "[1,2,3]", "[\"a\",-1,2,3]", "[\"a\",1]"})
    CHECK_FALSE(restored("k/" + textOf(keyNo(1)), value));
  CHECK_FALSE(restored("k/short", oldValue(holderNo(1))));
}

TEST_CASE("promises of the old format are taken over, released and ended like the others", "[promises]") {
  Disk disk;
  for (std::uint64_t no = 1; no <= 3; ++no) disk["k/" + textOf(keyNo(no))] = oldValue(holderNo(no));
  {
    Life life(disk);
    REQUIRE(life.promises.holders(keyNo(1)) == std::vector{holderNo(1)});
    CHECK(life.promises.release(keyNo(1), holderNo(1)));
    write(disk, {life.journal.record(10s, {{keyNo(1), holderNo(1), true}})});
  }
  Life life(disk);
  CHECK(life.uptime == 10s);
  CHECK(life.promises.holders(keyNo(1)).empty());
  CHECK(life.promises.holders(keyNo(2)) == std::vector{holderNo(2)});
  CHECK(life.promises.expire(10s + kKeep - 1s).empty());
  write(disk, life.journal.expire(10s + kKeep - 1s, kKeep));
  CHECK(disk.size() == 3);  // the released one has gone
  CHECK(life.promises.expire(10s + kKeep).size() == 2);
  write(disk, life.journal.expire(10s + kKeep, kKeep));
  CHECK(disk.empty());
  Promises promises(kKeep);
  CHECK_FALSE(PromiseJournal().restore("i/route", "{}", promises).value());
}

TEST_CASE("a snapshot gives another voter all holders with their ages, in bounded parts", "[promises]") {
  Promises promises(kKeep);
  for (std::uint64_t no = 0; no < 8000; ++no)
    promises.learn(std::chrono::milliseconds(no), keyNo(no), holderNo(no, no % 100));
  for (std::uint64_t no = 0; no < 8000; no += 7) promises.learn(1s, keyNo(no), holderNo(no, 101));
  const auto parts = snapshotOf(promises, 20s);
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
  CHECK(snapshotOf(Promises(kKeep), 20s).empty());

  Promises few(kKeep);
  few.learn(1s, keyNo(1), holderNo(1));
  few.learn(2s, keyNo(2), holderNo(2, 2));
  const auto part = snapshotOf(few, 300s).at(0);
  std::mt19937 draw(5);
  for (std::size_t size = 0; size < part.size(); ++size) {
    Promises none(kKeep);
    CHECK_FALSE(readSnapshot({part.begin(), part.begin() + static_cast<std::ptrdiff_t>(size)}, 9s, none));
    CHECK(none.all().empty());
  }
  for (int i = 0; i < 20'000; ++i) {
    auto spoilt = part;
    spoilt[draw() % spoilt.size()] = static_cast<std::uint8_t>(draw());
    Promises none(kKeep);
    if (!readSnapshot(spoilt, 9s, none)) REQUIRE(none.all().empty());
  }
  Promises none(kKeep);
  CHECK_FALSE(readSnapshot(bytesOf("{}"), 9s, none));
}

// Not a test: prints what a store of them takes, and how long a start reads it, before and now.
TEST_CASE("how long a start reads a store of promises", "[.measure]") {
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

// Not a test: prints what promises take on disk and how long it takes to read them, before and now.
TEST_CASE("what promises take on disk and how long they take to read", "[.measure]") {
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
      std::unique_ptr<Life> life;
      const double time = secondsOf([&] { life = std::make_unique<Life>(now); });
      REQUIRE(life->promises.all().size() == count);
      double snapshotSize = 0;
      std::vector<std::vector<std::uint8_t>> parts;
      const double made = secondsOf([&] { parts = snapshotOf(life->promises, life->uptime); });
      for (const auto& part : parts) snapshotSize += static_cast<double>(part.size());
      Promises read(kKeep);
      const double taken = secondsOf([&] {
        for (const auto& part : parts) REQUIRE(readSnapshot(part, life->uptime, read));
      });
      std::cout << count << " promises, " << batch
                << " a record: " << sizeOf(now) / static_cast<double>(count) << " bytes each, read in "
                << time * 1000 << " ms; snapshot " << snapshotSize / static_cast<double>(count)
                << " bytes each in " << parts.size() << " parts, made in " << made * 1000 << " ms, taken in "
                << taken * 1000 << " ms\n";
    }
  }
}

TEST_CASE("records of two lives with one uptime stand side by side", "[promises]") {
  Disk disk;
  for (std::uint64_t no = 1; no <= 5; ++no) {
    Life life(disk);
    write(disk, {life.journal.record(life.uptime, {{keyNo(no), holderNo(no)}})});
  }
  CHECK(Life(disk).promises.all().size() == 5);
}
