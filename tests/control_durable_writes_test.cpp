// Drawn batches to a drawn disk: what is told as durable is on it, and once it is calm nothing is missing.

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

/// Versions of all keys as they were when a batch was submitted; a removal has a version too.
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

TEST_CASE("drawn refusals of the disk lose nothing, and nothing is told that is not on it", "[durable]") {
  for (unsigned seed = 1; seed <= 60; ++seed) {
    std::mt19937 draw(seed);
    const auto below = [&](std::uint64_t end) { return draw() % end; };
    DurableWrites<std::pair<std::uint64_t, Versions>> writes;
    std::deque<WriteBatch> submitted;
    Versions memory;
    Versions lastRemoval;
    std::map<std::string, std::optional<std::string>> disk;
    std::uint64_t lastTold = 0;
    std::size_t told = 0;
    Span now{};
    Span lastRetry = -1s;
    bool broken = false;
    const auto tell = [&](bool refuse) {
      const WriteBatch batch = std::move(submitted.front());
      submitted.pop_front();
      // A refused write may stand on the disk all the same.
      if (!refuse || below(4) == 0) {
        for (const auto& [key, value] : batch.entries) disk[key] = value;
      }
      for (const auto& [number, versions] : writes.written(batch.number, !refuse)) {
        REQUIRE(number > lastTold);
        lastTold = number;
        ++told;
        // All that stood in memory when it was submitted is on the disk now, or something newer.
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
      if (below(40) == 0) broken = !broken;
      if (below(2) == 0) {
        std::vector<std::string> keys;
        for (std::uint64_t i = 0; i <= below(4); ++i) {
          keys.push_back("k" + std::to_string(below(30)));
          memory[keys.back()] = ++lastVersion;
          if (lastVersion % 4 == 0) lastRemoval[keys.back()] = lastVersion;
        }
        std::sort(keys.begin(), keys.end());
        keys.erase(std::unique(keys.begin(), keys.end()), keys.end());
        submitted.push_back(writes.begin(entriesOf(memory, keys), {++submissions, memory}));
        for (const std::string& key : keys) REQUIRE(writes.isPending(key));
      }
      if (auto again = writes.retry(now)) {
        REQUIRE(now - lastRetry >= 250ms);
        lastRetry = now;
        submitted.push_back(std::move(*again));
      }
      if (!submitted.empty() && below(3) > 0) tell(broken && below(3) > 0);
      for (const auto& [key, version] : memory) {
        if (!writes.isPending(key)) REQUIRE(disk.at(key) == entriesOf(memory, {key}).front().second);
      }
    }
    for (int i = 0; i < 100 && !(writes.clean() && submitted.empty()); ++i) {
      now += 250ms;
      if (auto again = writes.retry(now)) submitted.push_back(std::move(*again));
      while (!submitted.empty()) tell(false);
    }
    REQUIRE(writes.clean());
    REQUIRE(writes.pendingKeys().empty());
    for (const auto& [key, version] : memory)
      REQUIRE(disk.at(key) == entriesOf(memory, {key}).front().second);
    REQUIRE(told > 200);
    REQUIRE(lastTold <= submissions);
  }
}

TEST_CASE("an old refused entry is never written over a newer one", "[durable]") {
  DurableWrites<int> writes;
  const WriteBatch first = writes.begin({{"a", "1"}, {"b", "1"}}, 1);
  const WriteBatch second = writes.begin({{"a", "2"}}, 2);
  CHECK(writes.written(first.number, false).empty());
  CHECK_FALSE(writes.retry(1s));                       // the newer entry of one key is on its way
  CHECK(writes.written(second.number, true).empty());  // what came before it is not on disk
  CHECK(writes.pendingKeys() == std::vector<std::string>{"b"});
  const auto again = writes.retry(1s);
  REQUIRE(again);
  CHECK(again->entries == std::vector<StoreEntry>{{"b", "1"}});
  CHECK_FALSE(writes.retry(2s));
  CHECK(writes.written(again->number, true) == std::vector{2});
  CHECK(writes.clean());
}

// Guards against a disk that refuses or hangs while peers go on asking.
TEST_CASE("a disk that takes nothing for long is told of before the memory is full", "[durable]") {
  DurableWrites<int> writes;
  const auto begin = [&](int i) { return writes.begin({{std::to_string(i), std::string(1000, 'x')}}, i); };
  int sent = 0;
  SECTION("it hangs") {
    while (!writes.full() && sent < 100'000) begin(++sent);
  }
  SECTION("it refuses") {
    while (!writes.full() && sent < 100'000) writes.written(begin(++sent).number, false);
  }
  CHECK(sent > 10'000);
  CHECK(sent < 20'000);
}
