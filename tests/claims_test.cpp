// Promises on operation keys and claims that are won with them, checked against simple models on random
// input.

#include "mesh/claims/claims.hpp"

#include <catch2/catch.hpp>

using namespace rackroute;
using namespace rackroute::mesh;
using namespace std::chrono_literals;

namespace {

const KeyHash kKey = hashOfKey("the key");

Holder holderNo(std::uint64_t no) { return {{"sidecar:1"}, {1}, {no}}; }

}  // namespace

// A recovering voter may read a losing claim's promise before the winner's; its release must not free the
// key.
TEST_CASE("a recovered voter keeps the winner's promise when a losing claim's promise is released",
          "[claims]") {
  const Holder lost = holderNo(1);
  const Holder winner = holderNo(2);
  const Holder late = holderNo(3);
  Promises a(60s);
  Promises b(60s);
  Promises c(60s);
  REQUIRE(b.claim(1s, kKey, lost) == lost);
  REQUIRE(a.claim(1s, kKey, winner) == winner);
  REQUIRE(c.claim(1s, kKey, winner) == winner);
  // Voter a loses its disk and reads the promises of the others.
  Promises recovered(60s);
  recovered.learn(1s, kKey, lost);
  recovered.learn(1s, kKey, winner);
  recovered.release(kKey, lost);
  b.release(kKey, lost);
  std::size_t granted = 0;
  if (recovered.claim(2s, kKey, late) == late) ++granted;
  if (b.claim(2s, kKey, late) == late) ++granted;
  CHECK(granted < 2);
  CHECK(recovered.claim(2s, kKey, late) == winner);
}

// Guards against unbounded growth by holders that peers report.
TEST_CASE("a key with more holders than the limit is granted to nobody before the promise expires",
          "[claims]") {
  Promises promises(60s);
  for (std::uint64_t no = 1; no <= 40; ++no) promises.learn(1s, kKey, holderNo(no));
  CHECK(promises.holders(kKey).size() < 20);
  for (std::uint64_t no = 1; no <= 40; ++no) promises.release(kKey, holderNo(no));
  CHECK(promises.claim(2s, kKey, holderNo(50)) != holderNo(50));
  CHECK(promises.claim(2s, kKey, holderNo(1)) != holderNo(1));
  CHECK(promises.expire(61s).size() == 1);
  CHECK(promises.claim(61s, kKey, holderNo(50)) == holderNo(50));
}

TEST_CASE("random learning, claims, releases and expiry leave the holders of a simple model", "[claims]") {
  std::mt19937 random(4);
  const auto below = [&](std::uint64_t end) { return random() % end; };
  Promises promises(60s);
  std::map<KeyHash, std::set<Holder>> model;
  std::map<KeyHash, Span> latest;
  Span now{};
  for (int step = 0; step < 40'000; ++step) {
    now += std::chrono::milliseconds(below(100));
    const KeyHash key = hashOfKey(std::to_string(below(200)));
    const Holder holder = holderNo(below(8));
    const auto kind = below(10);
    if (kind < 4) {
      const bool free = model[key].empty() || model[key] == std::set{holder};
      const Holder current = promises.claim(now, key, holder);
      REQUIRE((current == holder) == free);
      REQUIRE((free || model[key].count(current) == 1));
      if (model[key].empty()) latest[key] = now;
      if (free) model[key] = {holder};
    } else if (kind < 7) {
      REQUIRE(promises.release(key, holder) == (model[key].erase(holder) == 1));
    } else if (kind < 9) {
      const Span at = now - std::chrono::milliseconds(below(20'000));
      promises.learn(at, key, holder);
      latest[key] = model[key].empty() ? at : std::max(latest[key], at);
      model[key].insert(holder);
    } else {
      for (const KeyHash& ended : promises.expire(now)) {
        REQUIRE(latest.at(ended) + 60s <= now);
        model[ended].clear();
      }
    }
    const std::vector<Holder> holders = promises.holders(key);
    REQUIRE(std::set<Holder>(holders.begin(), holders.end()) == model[key]);
  }
}

TEST_CASE("a claim is won only with votes of a majority of the current set", "[claims]") {
  std::mt19937 random(9);
  const auto below = [&](std::uint64_t end) { return random() % end; };
  Claims claims;
  VoterSet set;
  std::map<ClaimNo, std::map<VoterId, bool>> counted;  // the model: the counted votes of the current set
  std::size_t won = 0;
  std::size_t lost = 0;
  claims.setReachableVoters(5);
  const ClaimNo early = claims.open(1s, kKey, 3600s);
  CHECK_FALSE(claims.canWin(1s));
  CHECK_FALSE(claims.vote({{"v0"}, {1}}, {0}, early, true, std::nullopt));
  counted[early];
  for (int step = 0; step < 60'000; ++step) {
    if (below(60) == 0) {
      set.epoch = {set.epoch.value + 1};
      set.voters.clear();
      for (std::size_t v = 0, size = 1 + below(5); v < size; ++v)
        set.voters.push_back({{"v" + std::to_string(v)}, {below(3)}});
      claims.setVoters(set);
      REQUIRE(claims.openClaims().size() == counted.size());
      for (auto& [no, votes] : counted) votes.clear();
    } else if (below(60) == 0) {
      VoterSet other = set;  // an outdated or repeated set has no effect
      other.epoch = {set.epoch.value - (set.epoch.value == 0 ? 0 : below(2))};
      other.voters.resize(1);
      claims.setVoters(other);
    }
    REQUIRE(claims.epoch() == set.epoch);
    if (counted.size() < 5) counted[claims.open(1s, kKey, 3600s)];
    VoterId voter{{"v" + std::to_string(below(6))}, {below(3)}};
    if (!set.voters.empty() && below(3) > 0) voter = set.voters[below(set.voters.size())];
    const std::uint64_t epochKind = below(8);
    const Epoch epoch{epochKind == 0 ? set.epoch.value + 1 : set.epoch.value - (epochKind == 1 ? 1 : 0)};
    const bool granted = below(3) > 0;
    const ClaimNo no = std::next(counted.begin(), static_cast<std::ptrdiff_t>(below(counted.size())))->first;
    const auto ended =
        claims.vote(voter, epoch, no, granted, granted ? std::nullopt : std::optional(holderNo(99)));
    auto& votes = counted.at(no);
    const bool member = std::find(set.voters.begin(), set.voters.end(), voter) != set.voters.end();
    if (member && epoch == set.epoch && set.epoch.value > 0) votes.try_emplace(voter, granted);
    const auto grants = static_cast<std::size_t>(
        std::count_if(votes.begin(), votes.end(), [](const auto& vote) { return vote.second; }));
    const std::size_t majority = set.voters.size() / 2 + 1;
    const bool wins = set.epoch.value > 0 && grants >= majority;
    const bool loses = set.epoch.value > 0 && votes.size() - grants + majority > set.voters.size();
    REQUIRE(ended.has_value() == (wins || loses));
    for (const VoterId& each : set.voters) {
      const auto open = claims.openWithoutVoteOf(each);
      const bool missing =
          std::any_of(open.begin(), open.end(), [&](const auto& claim) { return claim.no == no; });
      REQUIRE(missing == (!ended && votes.count(each) == 0));
    }
    if (!ended) continue;
    REQUIRE(ended->won == wins);
    REQUIRE(ended->holder == (wins ? std::nullopt : std::optional(holderNo(99))));
    ++(wins ? won : lost);
    counted.erase(no);
  }
  CHECK(won > 1000);
  CHECK(lost > 500);
}
