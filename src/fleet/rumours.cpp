#include "fleet/rumours.hpp"

namespace rackroute::fleet {

void Rumours::add(const Word& word) {
  Entry& entry = words_[word.id];
  places_.erase({entry.told, entry.order, word.id});
  entry = {word, 0, UINT64_MAX - ++last_};
  places_.insert({0, entry.order, word.id});
}

std::vector<Word> Rumours::next(std::size_t room, std::uint32_t times) {
  std::vector<Word> words;
  std::vector<Place> told;
  for (auto at = places_.begin(); at != places_.end(); at = places_.erase(at)) {
    const Word& word = words_.at(std::get<2>(*at)).word;
    if (sizeOf(word) > room) break;
    room -= sizeOf(word);
    words.push_back(word);
    told.push_back(*at);
  }
  for (const auto& [count, order, id] : told) {
    Entry& entry = words_.at(id);
    if (++entry.told >= times)
      words_.erase(id);
    else
      places_.insert({entry.told, order, id});
  }
  return words;
}

void Rumours::clear() {
  words_.clear();
  places_.clear();
}

}  // namespace rackroute::fleet
