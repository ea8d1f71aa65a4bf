// Who votes, and whether a process is in touch with those who do: drawn days in virtual time.

#include <algorithm>
#include <catch2/catch.hpp>
#include <map>
#include <optional>
#include <random>
#include <set>

#include "mesh/control/majority_contact.hpp"
#include "mesh/control/membership.hpp"

using namespace rackroute;
using namespace rackroute::mesh;
using namespace std::chrono_literals;

namespace {

class Draw {
 public:
  explicit Draw(std::uint32_t seed) : random_(seed) {}
  std::uint64_t below(std::uint64_t end) { return random_() % end; }
  bool oneIn(std::uint64_t times) { return below(times) == 0; }
  Span upTo(Span most) { return Span(below(static_cast<std::uint64_t>(most.count()) + 1)); }

 private:
  std::mt19937_64 random_;
};

VoterId voterAt(std::size_t number, std::uint64_t incarnation = 1) {
  return {{"10.0.0." + std::to_string(100 + number) + ":7000"}, {incarnation}};
}

VoterSet setOf(std::size_t size) {
  VoterSet set;
  set.epoch = {1};
  for (std::size_t i = 0; i < size; ++i) set.voters.push_back(voterAt(i));
  return set;
}

}  // namespace

TEST_CASE("majority contact: a lease from the moment of sending, of a majority") {
  MajorityContact contact;
  const VoterSet set = setOf(5);
  const VoterId self = voterAt(0);
  REQUIRE(!contact.inTouch(0ms, set, self));
  const auto first = contact.sent(0ms);
  contact.echoed(voterAt(1), first);
  REQUIRE(!contact.inTouch(1ms, set, self));
  const auto second = contact.sent(300ms);
  contact.echoed(voterAt(2), second);
  // Two others and itself; the earlier of the two ends it, however late the echoes came.
  REQUIRE(contact.until(set, self) == kContactLease);
  REQUIRE(contact.inTouch(kContactLease - 1ms, set, self));
  REQUIRE(!contact.inTouch(kContactLease, set, self));
  contact.echoed(voterAt(1), second);
  REQUIRE(contact.until(set, self) == 300ms + kContactLease);
  contact.echoed(voterAt(1), first);  // overtaken
  REQUIRE(contact.until(set, self) == 300ms + kContactLease);
  // Numbers that were never sent, and other lives of a voter.
  contact.echoed(voterAt(3), second + 1);
  contact.forget(voterAt(2).at);
  REQUIRE(!contact.inTouch(301ms, set, self));
  contact.echoed(voterAt(2, 2), second);
  REQUIRE(!contact.inTouch(301ms, set, self));
  // Who votes in another set only does not count in this one.
  contact.echoed(voterAt(7), second);
  REQUIRE(!contact.inTouch(301ms, set, self));
  REQUIRE(contact.inTouch(301ms, withReplacement(set, voterAt(2), voterAt(7)), self));
  // Alone it is always in touch; of founders it needs a majority of all there are.
  REQUIRE(contact.inTouch(1h, setOf(1), self));
  VoterSet founders = setOf(1);
  founders.epoch = {0};
  founders.foundingSize = 3;
  REQUIRE(!contact.inTouch(301ms, founders, self));
}

TEST_CASE("majority contact: drawn cuts, delays and lives never leave it in touch without a majority") {
  std::size_t touched = 0;
  for (std::uint32_t seed = 0; seed < 60; ++seed) {
    Draw draw(seed);
    const std::size_t size = 3 + draw.below(4);
    VoterSet set = setOf(size);
    const VoterId self = voterAt(0);
    MajorityContact contact;
    struct Way {
      bool there = true;  // of heartbeats, cut in one direction
      bool back = true;   // of echoes
      VoterId at;         // present life of the voter
      std::uint64_t highest = 0;
      Span sentAt = Span::min();  // of the latest heartbeat whose echo has come, in that life
    };
    struct Word {
      Span due{};
      std::size_t to = 0;
      bool echo = false;
      VoterId voter;
      std::uint64_t sequence = 0;
    };
    std::vector<Way> ways(size);
    for (std::size_t i = 0; i < size; ++i) ways[i].at = voterAt(i);
    std::vector<Word> words;
    std::map<std::uint64_t, Span> sentAt;
    for (Span now{0}; now < 60s; now += 20ms) {
      if (now % 300ms == 0ms) {
        const std::uint64_t sequence = contact.sent(now);
        sentAt[sequence] = now;
        for (std::size_t i = 1; i < size; ++i) {
          if (ways[i].there)
            words.push_back({now + draw.upTo(draw.oneIn(9) ? 3s : 80ms), i, false, {}, sequence});
        }
      }
      for (std::size_t next = 0; next < words.size();) {
        if (words[next].due > now) {
          ++next;
          continue;
        }
        const Word word = words[next];
        words.erase(words.begin() + static_cast<std::ptrdiff_t>(next));
        Way& way = ways[word.to];
        if (word.echo) {
          contact.echoed(word.voter, word.sequence);
          if (word.voter == way.at) way.sentAt = std::max(way.sentAt, sentAt.at(word.sequence));
        } else {
          way.highest = std::max(way.highest, word.sequence);
          if (way.back)
            words.push_back({now + draw.upTo(draw.oneIn(9) ? 3s : 80ms), word.to, true, way.at, way.highest});
        }
      }
      Way& drawn = ways[1 + draw.below(size - 1)];
      if (draw.oneIn(60)) drawn.there = !drawn.there;
      if (draw.oneIn(60)) drawn.back = !drawn.back;
      if (draw.oneIn(400)) {
        // Its disk was lost: another voter in the same place.
        const VoterId next{drawn.at.at, {drawn.at.incarnation.value + 1}};
        set = withReplacement(set, drawn.at, next);
        contact.forget(next.at);
        drawn.at = next;
        drawn.sentAt = Span::min();
      }
      const auto fresh = std::count_if(ways.begin() + 1, ways.end(), [&](const Way& way) {
        return way.sentAt != Span::min() && way.sentAt + kContactLease > now;
      });
      const bool majority = static_cast<std::size_t>(fresh) + 1 >= set.quorum();
      INFO("seed " << seed << " at " << now.count());
      REQUIRE(contact.inTouch(now, set, self) == majority);
      touched += majority ? 1 : 0;
    }
  }
  REQUIRE(touched > 10000);
}
