#pragma once

// What is to be told on: at most one word a member, each told a bounded number of times, the least told
// first. It owns nothing but that list. No I/O, no time.

#include <cstddef>
#include <cstdint>
#include <map>
#include <set>
#include <tuple>
#include <vector>

#include "fleet/member.hpp"

namespace rackroute::fleet {

class Rumours {
 public:
  /// In place of what was to be told of that member before.
  void add(const Word& word);
  /// The next ones to go into a message with so much room; each is dropped once told so often.
  [[nodiscard]] std::vector<Word> next(std::size_t room, std::uint32_t times);
  [[nodiscard]] std::size_t size() const { return words_.size(); }
  [[nodiscard]] bool empty() const { return words_.empty(); }
  void clear();

 private:
  struct Entry {
    Word word;
    std::uint32_t told = 0;
    std::uint64_t order = 0;  // of two told as often, the later one first
  };
  using Place = std::tuple<std::uint32_t, std::uint64_t, MemberId>;
  std::map<MemberId, Entry> words_;
  std::set<Place> places_;
  std::uint64_t last_ = 0;
};

}  // namespace rackroute::fleet
