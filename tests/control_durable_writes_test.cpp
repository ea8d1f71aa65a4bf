// Randomized tests of DurableWrites: a batch reported as durable is on disk, and no entry is lost once the
// disk recovers.

#include <algorithm>
#include <catch2/catch.hpp>
#include <deque>
#include <map>
#include <random>

#include "mesh/control/durable_writes.hpp"

using namespace rackroute;
using namespace rackroute::mesh;
using namespace std::chrono_literals;

namespace {

/// Versions of all keys at the time a batch was submitted; a removal has a version as well.
using Versions = std::map<std::string, std::uint64_t>;

std::vector<StoreEntry> entriesOf(const Versions& versions, const std::vector<std::string>& keys) {
  std::vector<StoreEntry> entries;
  for (const std::string& key : keys) {
    const std::uint64_t version = versions.at(key);
    entries.emplace_back(key, std::to_string(version));
    if (version % 4 == 0) entries.back().second.reset();
  }
  return entries;
}

}  // namespace

TEST_CASE("random disk failures lose no entries, and only durable batches are reported", "[durable]") {
  for (unsigned seed = 1; seed <= 60; ++seed) {
    std::mt19937 random(seed);
    const auto below = [&](std::uint64_t end) { return random() % end; };
    DurableWrites<std::pair<std::uint64_t, Versions>> writes;
    std::deque<WriteBatch> submitted;
    Versions memory;
    Versions lastRemoval;
    std::map<std::string, std::optional<std::string>> disk;
    std::uint64_t lastDurable = 0;
    std::size_t durableBatches = 0;
    Span now{};
    Span lastRetry = -1s;
    bool failing = false;
    const auto complete = [&](bool fail) {
      const WriteBatch batch = std::move(submitted.front());
      submitted.pop_front();
      // A failed write may have reached the disk nevertheless.
      if (!fail || below(4) == 0) {
        for (const auto& [key, value] : batch.entries) disk[key] = value;
      }
      for (const auto& [number, versions] : writes.completed(batch.number, !fail)) {
        REQUIRE(number > lastDurable);
        lastDurable = number;
        ++durableBatches;
        // Everything submitted up to that batch, or something newer, is on disk.
        for (const auto& [key, version] : versions) {
          REQUIRE(disk.count(key) == 1);
          REQUIRE((disk.at(key) ? std::stoull(*disk.at(key)) : lastRemoval.at(key)) >= version);
        }
      }
    };
    std::uint64_t lastVersion = 0;
    std::uint64_t submissions = 0;
    for (int step = 0; step < 3000; ++step) {
      now += std::chrono::milliseconds(below(40));
      if (below(40) == 0) failing = !failing;
      if (below(2) == 0) {
        std::vector<std::string> keys;
        for (std::uint64_t i = 0; i <= below(4); ++i) {
          keys.push_back("k" + std::to_string(below(30)));
          memory[keys.back()] = ++lastVersion;
          if (lastVersion % 4 == 0) lastRemoval[keys.back()] = lastVersion;
        }
        std::sort(keys.begin(), keys.end());
        keys.erase(std::unique(keys.begin(), keys.end()), keys.end());
        submitted.push_back(writes.submit(entriesOf(memory, keys), {++submissions, memory}));
        for (const std::string& key : keys) REQUIRE(writes.isPending(key));
      }
      if (auto retry = writes.retry(now)) {
        REQUIRE(now - lastRetry >= 250ms);
        lastRetry = now;
        submitted.push_back(std::move(*retry));
      }
      if (!submitted.empty() && below(3) > 0) complete(failing && below(3) > 0);
      for (const auto& [key, version] : memory) {
        if (!writes.isPending(key)) REQUIRE(disk.at(key) == entriesOf(memory, {key}).front().second);
      }
    }
    for (int i = 0; i < 100 && !(writes.allDurable() && submitted.empty()); ++i) {
      now += 250ms;
      if (auto retry = writes.retry(now)) submitted.push_back(std::move(*retry));
      while (!submitted.empty()) complete(false);
    }
    REQUIRE(writes.allDurable());
    REQUIRE(writes.pendingKeys().empty());
    for (const auto& [key, version] : memory)
      REQUIRE(disk.at(key) == entriesOf(memory, {key}).front().second);
    REQUIRE(durableBatches > 200);
    REQUIRE(lastDurable <= submissions);
  }
}

TEST_CASE("a failed entry never overwrites a newer one", "[durable]") {
  DurableWrites<int> writes;
  const WriteBatch first = writes.submit({{"a", "1"}, {"b", "1"}}, 1);
  const WriteBatch second = writes.submit({{"a", "2"}}, 2);
  CHECK(writes.completed(first.number, false).empty());
  CHECK_FALSE(writes.retry(1s));                         // a newer entry of one of the keys is in flight
  CHECK(writes.completed(second.number, true).empty());  // an earlier batch is not durable
  CHECK(writes.pendingKeys() == std::vector<std::string>{"b"});
  const auto retry = writes.retry(1s);
  REQUIRE(retry);
  CHECK(retry->entries == std::vector<StoreEntry>{{"b", "1"}});
  CHECK_FALSE(writes.retry(2s));
  CHECK(writes.completed(retry->number, true) == std::vector{2});
  CHECK(writes.allDurable());
}

// Guards against unbounded memory use while the disk fails or hangs and requests continue.
TEST_CASE("pending writes are bounded while the disk makes no progress", "[durable]") {
  DurableWrites<int> writes;
  const auto begin = [&](int i) { return writes.submit({{std::to_string(i), std::string(1000, 'x')}}, i); };
  int submitted = 0;
  SECTION("disk hangs") {
    while (!writes.full() && submitted < 100'000) begin(++submitted);
  }
  SECTION("disk fails") {
    while (!writes.full() && submitted < 100'000) writes.completed(begin(++submitted).number, false);
  }
  CHECK(submitted > 10'000);
  CHECK(submitted < 20'000);
}
