#include "mesh/storage/promise_journal.hpp"

#include <algorithm>
#include <chrono>
#include <nlohmann/json.hpp>
#include <optional>
#include <string_view>
#include <utility>

#include "mesh/registry/registry_messages.hpp"

namespace rackroute::mesh {
namespace {

using nlohmann::json;
using Milliseconds = std::chrono::milliseconds;

constexpr std::string_view kRecordPrefix = "p/";
constexpr std::string_view kOldEntryPrefix = "k/";
constexpr std::size_t kRecordKeySize = 2 + 8 + 8;
constexpr std::uint8_t kVersion = 1;
constexpr std::uint8_t kReleased = 1;  // a flag; other flags belong to newer versions
// Minimum sizes in bytes, which bound the counts that a reader accepts.
constexpr std::size_t kMinClaimerSize = 1 + 8;
constexpr std::size_t kMinChangeSize = 1 + 16 + 1 + 1;  // of a record
constexpr std::size_t kMinEntrySize = 16 + 1 + 1 + 1;   // of a snapshot
// Maximum sizes in bytes.
constexpr std::size_t kMaxNumberSize = 10;                          // of a 64 bit number as LEB128
constexpr std::size_t kMaxEntrySize = 16 + 3 * kMaxNumberSize;      // of a snapshot
constexpr std::size_t kMaxPartSize = 64 * 1024;                     // bounds the delay of other messages
constexpr std::size_t kMaxPartHeaderSize = 1 + 2 * kMaxNumberSize;  // without claimers and entries
constexpr std::size_t kMaxRemovalsPerCall = 512;
// Bounds on values that are read, which avoid overflows.
constexpr Milliseconds kMaxAge = std::chrono::hours(24 * 365);
constexpr Span kMaxUptime = std::chrono::hours(24 * 365 * 100);

/// The process of one or more claims; stored once in each record.
struct Claimer {
  Address at;
  LifeNo life;
  auto operator<=>(const Claimer&) const = default;
};

class Writer {
 public:
  void byte(std::uint8_t value) { bytes_.push_back(static_cast<char>(value)); }
  void number(std::uint64_t value) {
    for (; value >= 0x80; value >>= 7) byte(static_cast<std::uint8_t>(value | 0x80));
    byte(static_cast<std::uint8_t>(value));
  }
  void fixed(std::uint64_t value) {
    for (int i = 0; i < 8; ++i) byte(static_cast<std::uint8_t>(value >> (8 * i)));
  }
  void text(std::string_view value) { bytes_ += value; }
  [[nodiscard]] const std::string& bytes() const { return bytes_; }

 private:
  std::string bytes_;
};

/// Reads within the bounds of the input. After the first read beyond the end, failed() is true.
class Reader {
 public:
  explicit Reader(std::string_view bytes) : remaining_(bytes) {}
  std::uint8_t byte() {
    if (remaining_.empty()) {
      failed_ = true;
      return 0;
    }
    const auto value = static_cast<std::uint8_t>(remaining_.front());
    remaining_.remove_prefix(1);
    return value;
  }
  std::uint64_t number() {
    std::uint64_t value = 0;
    for (unsigned shift = 0; shift < 64; shift += 7) {
      const std::uint64_t next = byte();
      const std::uint64_t part = next & 0x7f;
      if (shift == 63 && part > 1) break;
      value |= part << shift;
      if ((next & 0x80) == 0) return value;
    }
    failed_ = true;
    return 0;
  }
  std::uint64_t fixed() {
    std::uint64_t value = 0;
    for (int i = 0; i < 8; ++i) value |= static_cast<std::uint64_t>(byte()) << (8 * i);
    return value;
  }
  std::string text(std::uint64_t size) {
    if (size > remaining_.size()) {
      failed_ = true;
      return {};
    }
    std::string value(remaining_.substr(0, size));
    remaining_.remove_prefix(size);
    return value;
  }
  /// Reads the number of elements that follow, each of at least that size.
  std::uint64_t count(std::size_t minSize) {
    const std::uint64_t value = number();
    if (value <= remaining_.size() / minSize) return value;
    failed_ = true;
    return 0;
  }
  [[nodiscard]] bool failed() const { return failed_; }
  [[nodiscard]] bool atEnd() const { return !failed_ && remaining_.empty(); }

 private:
  std::string_view remaining_;
  bool failed_ = false;
};

class ClaimerTable {
 public:
  std::uint64_t indexOf(const Holder& holder) {
    const auto [found, added] = indices_.try_emplace({holder.at, holder.life}, indices_.size());
    if (added) {
      writer_.number(holder.at.value.size());
      writer_.text(holder.at.value);
      writer_.fixed(holder.life.value);
    }
    return found->second;
  }
  [[nodiscard]] std::size_t count() const { return indices_.size(); }
  [[nodiscard]] const std::string& bytes() const { return writer_.bytes(); }

 private:
  std::map<Claimer, std::uint64_t> indices_;
  Writer writer_;
};

std::string assemble(const ClaimerTable& claimers, std::size_t count, const Writer& entries) {
  Writer output;
  output.byte(kVersion);
  output.number(claimers.count());
  output.text(claimers.bytes());
  output.number(count);
  output.text(entries.bytes());
  return output.bytes();
}

void writePrint(Writer& writer, const KeyHash& print) {
  writer.fixed(print.high);
  writer.fixed(print.low);
}

KeyHash readPrint(Reader& reader) {
  const std::uint64_t high = reader.fixed();
  return {high, reader.fixed()};
}

std::vector<Claimer> readClaimers(Reader& reader) {
  std::vector<Claimer> claimers(reader.count(kMinClaimerSize));
  for (Claimer& claimer : claimers) {
    claimer.at = {reader.text(reader.number())};
    claimer.life = {reader.fixed()};
  }
  return claimers;
}

/// None: the entry refers to a claimer that is not in the table.
std::optional<Holder> readHolder(Reader& reader, const std::vector<Claimer>& claimers) {
  const std::uint64_t index = reader.number();
  const ClaimNo no{reader.number()};
  if (reader.failed() || index >= claimers.size()) return std::nullopt;
  return Holder{claimers[index].at, claimers[index].life, no};
}

std::string recordKey(Span uptime, std::uint64_t number) {
  std::string key(kRecordPrefix);
  for (const std::uint64_t part : {static_cast<std::uint64_t>(uptime.count()), number}) {
    for (int i = 7; i >= 0; --i) key += static_cast<char>(part >> (8 * i));
  }
  return key;
}

std::uint64_t readBigEndian(std::string_view bytes) {
  std::uint64_t value = 0;
  for (const char byte : bytes) value = value << 8 | static_cast<std::uint8_t>(byte);
  return value;
}

Result<std::vector<PromiseJournal::Change>> readChanges(const std::string& value) {
  Reader reader(value);
  if (reader.byte() != kVersion) return failure("promise journal", "a record has an unknown version");
  const std::vector<Claimer> claimers = readClaimers(reader);
  std::vector<PromiseJournal::Change> changes(reader.count(kMinChangeSize));
  for (PromiseJournal::Change& change : changes) {
    const std::uint8_t flags = reader.byte();
    change.released = flags == kReleased;
    change.key = readPrint(reader);
    const auto holder = readHolder(reader, claimers);
    if (!holder || flags > kReleased) return failure("promise journal", "a record is malformed");
    change.holder = *holder;
  }
  if (!reader.atEnd()) return failure("promise journal", "a record is malformed");
  return changes;
}

std::string oldKey(const KeyHash& print) { return std::string(kOldEntryPrefix) + textOf(print); }

/// Reads an entry of the old format: [address, life, claim, time of day]. None: it is malformed.
std::optional<Holder> readOldHolder(const std::string& value) {
  const json entry = json::parse(value, nullptr, false);
  if (!entry.is_array() || entry.size() < 3) return std::nullopt;
  if (!entry[0].is_string() || !entry[1].is_number_unsigned() || !entry[2].is_number_unsigned())
    return std::nullopt;
  return holderFrom(entry);
}

}  // namespace

Result<bool> PromiseJournal::restore(const std::string& key, const std::string& value, Promises& promises) {
  if (key.starts_with(kRecordPrefix)) return restoreRecord(key, value, promises);
  if (key.starts_with(kOldEntryPrefix)) return restoreOldEntry(key, value);
  return false;
}

Result<bool> PromiseJournal::restoreRecord(const std::string& key, const std::string& value,
                                           Promises& promises) {
  const std::string_view bytes(key);
  if (bytes.size() != kRecordKeySize) return failure("promise journal", "a record's key has the wrong size");
  const Span uptime(static_cast<std::int64_t>(readBigEndian(bytes.substr(2, 8))));
  const std::uint64_t number = readBigEndian(bytes.substr(10));
  if (uptime < Span{0} || uptime > kMaxUptime)
    return failure("promise journal", "a record's uptime is out of range");
  auto changes = readChanges(value);
  if (!changes) return std::move(changes).error();
  for (const Change& change : changes.value()) {
    if (change.released) {
      promises.release(change.key, change.holder);
      release(change);
    } else {
      promises.learn(uptime, change.key, change.holder);
    }
  }
  records_.push_back({uptime, number});
  restoredUptime_ = std::max(restoredUptime_, uptime);
  lastNumber_ = std::max(lastNumber_, number);
  return true;
}

Result<bool> PromiseJournal::restoreOldEntry(const std::string& key, const std::string& value) {
  const auto print = keyHashFrom(std::string_view(key).substr(kOldEntryPrefix.size()));
  if (!print) return failure("promise journal", "the key of an entry in the old format is malformed");
  const auto holder = readOldHolder(value);
  if (!holder) return failure("promise journal", "an entry in the old format is malformed");
  oldFormat_[*print] = *holder;
  return true;
}

Span PromiseJournal::resume(Promises& promises) {
  for (const auto& [key, holder] : oldFormat_) promises.learn(restoredUptime_, key, holder);
  return restoredUptime_;
}

void PromiseJournal::release(const Change& change) {
  const auto found = oldFormat_.find(change.key);
  if (found == oldFormat_.end() || found->second != change.holder) return;
  oldReleased_.push_back(change.key);
  oldFormat_.erase(found);
}

StoreEntry PromiseJournal::record(Span uptime, const std::vector<Change>& changes) {
  ClaimerTable claimers;
  Writer entries;
  for (const Change& change : changes) {
    entries.byte(change.released ? kReleased : 0);
    writePrint(entries, change.key);
    entries.number(claimers.indexOf(change.holder));
    entries.number(change.holder.no.value);
    if (change.released) release(change);
  }
  // Keys must sort in the order of the records, even if the uptime steps back.
  if (!records_.empty()) uptime = std::max(uptime, records_.back().uptime);
  records_.push_back({uptime, ++lastNumber_});
  return {recordKey(uptime, lastNumber_), assemble(claimers, changes.size(), entries)};
}

std::vector<StoreEntry> PromiseJournal::expire(Span uptime, Span keep) {
  std::vector<StoreEntry> removals;
  const auto hasCapacity = [&] { return removals.size() < kMaxRemovalsPerCall; };
  for (; hasCapacity() && !oldReleased_.empty(); oldReleased_.pop_back())
    removals.emplace_back(oldKey(oldReleased_.back()), std::nullopt);
  while (hasCapacity() && !oldFormat_.empty() && restoredUptime_ + keep <= uptime) {
    removals.emplace_back(oldKey(oldFormat_.begin()->first), std::nullopt);
    oldFormat_.erase(oldFormat_.begin());
  }
  for (; hasCapacity() && !records_.empty() && records_.front().uptime + keep <= uptime; records_.pop_front())
    removals.emplace_back(recordKey(records_.front().uptime, records_.front().number), std::nullopt);
  return removals;
}

std::vector<StoreEntry> PromiseJournal::clear() {
  std::vector<StoreEntry> removals;
  for (const Record& record : records_)
    removals.emplace_back(recordKey(record.uptime, record.number), std::nullopt);
  for (const auto& [key, holder] : oldFormat_) removals.emplace_back(oldKey(key), std::nullopt);
  for (const KeyHash& key : oldReleased_) removals.emplace_back(oldKey(key), std::nullopt);
  records_.clear();
  oldFormat_.clear();
  oldReleased_.clear();
  return removals;
}

std::vector<std::vector<std::uint8_t>> writeSnapshot(const Promises& promises, Span uptime) {
  std::vector<std::vector<std::uint8_t>> parts;
  ClaimerTable claimers;
  Writer entries;
  std::size_t count = 0;
  const auto finishPart = [&] {
    if (count == 0) return;
    const std::string part = assemble(claimers, count, entries);
    parts.emplace_back(part.begin(), part.end());
    claimers = {};
    entries = {};
    count = 0;
  };
  promises.forEach([&](const KeyHash& key, const Holder& holder, Span at) {
    const std::size_t next =
        kMaxEntrySize + kMaxNumberSize + holder.at.value.size() + sizeof(holder.life.value);
    if (kMaxPartHeaderSize + claimers.bytes().size() + entries.bytes().size() + next > kMaxPartSize)
      finishPart();
    // Rounded down, so that the reader doesn't expire the promise too early.
    const auto age = std::chrono::floor<Milliseconds>(std::max(uptime - at, Span{0}));
    writePrint(entries, key);
    entries.number(claimers.indexOf(holder));
    entries.number(holder.no.value);
    entries.number(static_cast<std::uint64_t>(age.count()));
    ++count;
  });
  finishPart();
  return parts;
}

Result<void> readSnapshot(const std::vector<std::uint8_t>& part, Span uptime, Promises& promises) {
  struct Entry {
    KeyHash key;
    Holder holder;
    Span at{};
  };
  const std::string bytes(part.begin(), part.end());
  Reader reader(bytes);
  if (reader.byte() != kVersion) return failure("promise snapshot", "a part has an unknown version");
  const std::vector<Claimer> claimers = readClaimers(reader);
  std::vector<Entry> entries(reader.count(kMinEntrySize));
  for (Entry& entry : entries) {
    entry.key = readPrint(reader);
    const auto holder = readHolder(reader, claimers);
    const std::uint64_t age = reader.number();
    if (!holder || reader.failed() || age > static_cast<std::uint64_t>(kMaxAge.count()))
      return failure("promise snapshot", "a part is malformed");
    entry.holder = *holder;
    entry.at = uptime - Milliseconds(static_cast<std::int64_t>(age));
  }
  if (!reader.atEnd()) return failure("promise snapshot", "a part is malformed");
  for (const Entry& entry : entries) promises.learn(entry.at, entry.key, entry.holder);
  return boost::outcome_v2::success();
}

}  // namespace rackroute::mesh
