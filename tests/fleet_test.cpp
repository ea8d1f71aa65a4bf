// Fleet membership: convergence of views, the wire format, and the protocol of one member against simulated
// peers.

#include <algorithm>
#include <array>
#include <catch2/catch.hpp>
#include <random>

#include "balancer_fixture.hpp"
#include "fleet/membership.hpp"
#include "fleet/wire.hpp"
#include "lab/fleet/drill_checker.hpp"
#include "lab/fleet/virtual_fleet.hpp"

using namespace rackroute;
using namespace rackroute::fleet;
using namespace std::chrono_literals;

namespace {

constexpr std::uint64_t kStart = 1'700'000'000'000;

std::string memberName(std::size_t number) { return std::string("m").append(std::to_string(number)); }

MemberUpdate makeUpdate(const std::string& name, State state = State::alive,
                        MemberVersion version = {kStart, 0}) {
  MemberUpdate update;
  update.info = std::make_shared<const MemberInfo>(
      MemberInfo{name, std::string("127.0.9.1:").append(name.substr(1)), "z0"});
  update.id = memberId(name);
  update.version = version;
  update.state = state;
  return update;
}

Message makeMessage(MessageKind kind, const std::string& from, std::vector<MemberUpdate> updates = {}) {
  Message result;
  result.kind = kind;
  result.self = makeUpdate(from);
  result.updates = std::move(updates);
  return result;
}

/// A member under test. Its peers are simulated and answer its probes unless they are unresponsive.
class TestMember : public MembershipHost {
 public:
  explicit TestMember(std::vector<std::string> others, MembershipConfig config = {},
                      std::uint64_t start = kStart)
      : member({"m100", "127.0.9.1:100", "z0"}, start, {}, config, 7, *this) {
    std::vector<MemberUpdate> updates;
    for (const std::string& name : others) updates.push_back(makeUpdate(name));
    member.addKnownMembers(now, updates);
    member.start(now);
  }
  void send(const std::string& address, const Message& message) override {
    sent.emplace_back(address, message);
  }
  void exchange(const std::string& address) override { exchanges.push_back(address); }
  void memberChanged(const MemberRecord& record, std::optional<State>) override {
    states[record.info->name] = record.state;
  }
  void nameConflict(bool yes, const std::string&) override { hasNameConflict = yes; }

  void advance(Span length) {
    for (const Span until = now + length; member.due() <= until;) {
      now = member.due();
      member.wake(now);
      answer();
    }
    now += 1ms;
  }
  /// Answers the messages sent since the last call on behalf of the responsive peers.
  void answer() {
    for (const auto& [address, message] : std::exchange(sent, {})) {
      if ((message.kind != MessageKind::ping && message.kind != MessageKind::pingRequest) || allSilent ||
          address.ends_with(unresponsive))
        continue;
      // Relays of indirect probes don't reach the unresponsive peer either.
      Message ack = makeMessage(message.kind == MessageKind::ping ? MessageKind::ack : MessageKind::nack,
                                memberName(std::stoul(address.substr(address.rfind(':') + 1))));
      ack.probeNumber = message.probeNumber;
      ack.subject = message.subject;
      for (const MemberUpdate& update : message.updates)  // refutes
        if (update.id == ack.self.id) incarnations[update.id.value] = update.version.incarnation + 1;
      ack.self.version.incarnation = incarnations[ack.self.id.value];
      member.handleMessage(now, ack);
    }
  }
  State state(const std::string& name) { return member.view().find(memberId(name))->state; }

  Span now{};
  std::vector<std::pair<std::string, Message>> sent;
  std::vector<std::string> exchanges;
  std::map<std::string, State> states;
  bool allSilent = false;
  std::string unresponsive = "none";  // suffix of the address of an unresponsive peer
  bool hasNameConflict = false;
  std::map<std::uint64_t, std::uint32_t> incarnations;  // of the peers, by id
  Membership member;
};

}  // namespace

TEST_CASE("views converge whatever the order and duplication of updates") {
  std::mt19937 random(3);
  std::vector<MemberUpdate> updates;
  for (int i = 0; i < 400; ++i)
    updates.push_back(makeUpdate(memberName(random() % 12), static_cast<State>(random() % 4),
                                 {kStart + random() % 3, static_cast<std::uint32_t>(random() % 4)}));
  const auto viewOf = [&](const std::vector<MemberUpdate>& applied) {
    View view(100, 1h, 1h);
    for (const MemberUpdate& one : applied) view.apply({}, one);
    std::vector<std::tuple<MemberId, MemberVersion, State>> all;
    for (const MemberRecord& record : view.all()) all.emplace_back(record.id, record.version, record.state);
    return std::pair(all, view.digest());
  };
  const auto first = viewOf(updates);
  for (int round = 0; round < 50; ++round) {
    updates.push_back(updates[random() % updates.size()]);
    std::shuffle(updates.begin(), updates.end(), random);
    CHECK(viewOf(updates) == first);
  }
}

TEST_CASE(
    "the safe count rises immediately and falls on a leave, but on a death only after the retention time") {
  View view(10, 1h, 10min);
  for (const char* name : {"m1", "m2", "m3"}) view.apply({}, makeUpdate(name));
  CHECK(view.possiblyRunning() == 3);
  view.apply(1s, makeUpdate("m1", State::dead));
  view.apply(1s, makeUpdate("m2", State::left));
  CHECK(view.possiblyRunning() == 2);
  view.removeExpired(30min, true);
  CHECK(view.possiblyRunning() == 2);
  view.removeExpired(2h, false);  // isolated: may be a partition
  CHECK(view.possiblyRunning() == 2);
  view.removeExpired(2h, true);
  CHECK(view.possiblyRunning() == 1);
  MemberUpdate old = makeUpdate("m1", State::dead);
  old.age = 2h;  // still gossiped by others
  CHECK(view.apply(2h, old) == View::ApplyResult::ignored);
}

TEST_CASE("a view is limited in size, and a member that left can be evicted") {
  View view(2, 1h, 1h);
  view.apply({}, makeUpdate("m1"));
  view.apply({}, makeUpdate("m2"));
  CHECK(view.apply({}, makeUpdate("m3")) == View::ApplyResult::full);
  view.apply({}, makeUpdate("m1", State::left));
  CHECK(view.apply({}, makeUpdate("m3")) == View::ApplyResult::added);
  CHECK(view.find(memberId("m1")) == nullptr);
}

TEST_CASE("messages round-trip through the wire format, and unknown fields of later versions are skipped") {
  Message sent = makeMessage(MessageKind::pingRequest, "m1",
                             {makeUpdate("m2", State::suspect, {kStart, 7}), makeUpdate("m3", State::dead)});
  sent.probeNumber = 42;
  sent.subject = memberId("m9");
  sent.updates[0].accuser = memberId("m4");
  sent.updates[1].age = 5s;
  std::string body = encode("austin", sent).substr(kChecksumBytes);
  body[0] = static_cast<char>(body[0] + 1);  // one more field
  const std::string bytes = withChecksum(body + "\x63\x93\x01\xa1x\x80");
  Message read;
  REQUIRE(decode("austin", bytes, read) == DecodeError::none);
  CHECK((read.kind == MessageKind::pingRequest && read.probeNumber == 42 && read.subject == sent.subject));
  REQUIRE(read.updates.size() == 2);
  CHECK((read.updates[0].version == sent.updates[0].version &&
         read.updates[0].accuser == sent.updates[0].accuser));
  CHECK((read.updates[1].age == 5s && read.updates[1].info->name == "m3"));
  CHECK(decode("houston", bytes, read) == DecodeError::wrongFleet);
}

TEST_CASE("a datagram never exceeds its maximum size, however many updates it is given") {
  Message sent = makeMessage(MessageKind::gossip, "m1",
                             std::vector<MemberUpdate>(500, makeUpdate(std::string(45, 'm'))));
  const std::string bytes = encode("austin", sent);
  CHECK(bytes.size() <= kMaxDatagramBytes);
  Message read;
  REQUIRE(decode("austin", bytes, read) == DecodeError::none);
  CHECK(read.updates.size() > 5);
}

TEST_CASE("malformed, oversized and truncated messages are rejected with the right error") {
  Message read;
  CHECK(decode("austin", "", read) == DecodeError::corrupt);
  CHECK(decode("austin", std::string(1300, 'x'), read) == DecodeError::outOfRange);
  CHECK(decode("austin", withChecksum({"\xdf\xff\xff\xff\xff", 5}), read) ==
        DecodeError::outOfRange);  // a map of 4 billion
  CHECK(decode("austin", withChecksum({"\x81\x00\x05", 3}), read) == DecodeError::unsupportedVersion);
  Message large = makeMessage(MessageKind::gossip, "m1");
  large.self = makeUpdate(std::string(200, 'm'));
  CHECK(decode("austin", encode("austin", large), read) == DecodeError::outOfRange);
  large.self = makeUpdate("m\n1");
  CHECK(decode("austin", encode("austin", large), read) == DecodeError::outOfRange);
  const std::string encoded = encode("austin", makeMessage(MessageKind::ping, "m1", {makeUpdate("m2")}));
  for (std::size_t size = 0; size < encoded.size(); ++size)
    CHECK(decode("austin", withChecksum(std::string_view(encoded).substr(kChecksumBytes, size)), read) !=
          (size + kChecksumBytes < encoded.size() ? DecodeError::none : DecodeError::corrupt));
  // The checksum detects every single-bit error, even where the bytes would still decode.
  for (std::size_t bit = 0; bit < 8 * encoded.size(); ++bit) {
    std::string corrupted = encoded;
    corrupted[bit / 8] = static_cast<char>(corrupted[bit / 8] ^ (1 << bit % 8));
    CHECK(decode("austin", corrupted, read) == DecodeError::corrupt);
  }
}

TEST_CASE("corrupted messages with valid checksums never break a member or its limits") {
  std::mt19937 random(11);
  TestMember local({"m1", "m2", "m3"});
  std::uint64_t accepted = 0;
  for (int round = 0; round < 20'000; ++round) {
    std::string bytes = encode(
        "austin", makeMessage(static_cast<MessageKind>(random() % 5), memberName(random() % 9),
                              {makeUpdate("m100", static_cast<State>(random() % 4)), makeUpdate("m2")}));
    bytes.erase(0, kChecksumBytes);
    for (unsigned i = random() % 4; i > 0; --i) bytes[random() % bytes.size()] = static_cast<char>(random());
    if (random() % 8 == 0) bytes.resize(random() % bytes.size());
    Message read;
    if (decode("austin", withChecksum(bytes), read) != DecodeError::none) continue;
    ++accepted;
    local.now += 1ms;
    local.member.handleMessage(local.now, read);
    local.sent.clear();
    if (local.member.due() <= local.now) local.member.wake(local.now);
  }
  CHECK(accepted > 1000);
  CHECK(local.member.view().all().size() <= MembershipConfig{}.maxMembers);
  CHECK(local.member.self().state == State::alive);
}

TEST_CASE("a member refutes its death with a higher incarnation, and at the maximum with a later start") {
  TestMember local({"m1"});
  local.member.handleMessage(local.now,
                             makeMessage(MessageKind::gossip, "m1", {makeUpdate("m100", State::suspect)}));
  CHECK(local.member.self().version == MemberVersion{kStart, 1});
  local.member.handleMessage(local.now, makeMessage(MessageKind::gossip, "m1",
                                                    {makeUpdate("m100", State::dead, {kStart, 0x7ffffffe})}));
  CHECK(local.member.self().version == MemberVersion{kStart + 1, 0});
  local.member.handleMessage(
      local.now,
      makeMessage(MessageKind::gossip, "m1", {makeUpdate("m100", State::dead, {kStart + 1, UINT32_MAX})}));
  CHECK(local.member.self().version == MemberVersion{kStart + 1, 0});  // beyond the maximum incarnation
  CHECK(local.member.counters().rejectedInvalid == 1);
}

TEST_CASE("a member that restarts with its clock set back still ranks above its previous start") {
  TestMember local({"m1"}, {}, kStart - 3'600'000);
  local.member.handleMessage(local.now,
                             makeMessage(MessageKind::gossip, "m1", {makeUpdate("m100", State::dead)}));
  CHECK(local.member.self().version.start > kStart);
}

TEST_CASE("stale updates neither revive a dead member nor override a refutation") {
  TestMember local({"m1", "m2"});
  local.member.handleMessage(local.now,
                             makeMessage(MessageKind::gossip, "m1", {makeUpdate("m2", State::dead)}));
  local.member.handleMessage(local.now, makeMessage(MessageKind::ping, "m2"));  // a delayed message
  CHECK(local.state("m2") == State::dead);
  local.member.handleMessage(
      local.now, makeMessage(MessageKind::gossip, "m1", {makeUpdate("m2", State::alive, {kStart, 1})}));
  local.member.handleMessage(local.now,
                             makeMessage(MessageKind::gossip, "m1", {makeUpdate("m2", State::dead)}));
  CHECK(local.state("m2") == State::alive);
}

TEST_CASE("a killed member becomes suspect, then dead, and stays in the safe count") {
  TestMember local({"m1", "m2", "m3", "m4", "m5"});
  local.unresponsive = ":3";
  local.advance(30s);
  CHECK(local.state("m3") == State::dead);
  CHECK((local.state("m1") == State::alive && local.member.safeCount() == 6));
  CHECK(local.member.connectivity() == Connectivity::full);
}

TEST_CASE("a member without any replies reports isolation, declares nobody dead and keeps its safe count") {
  TestMember local({"m1", "m2", "m3", "m4", "m5"});
  local.allSilent = true;
  local.advance(120s);
  CHECK(local.member.view().count(State::dead) == 0);
  CHECK(local.member.connectivity() == Connectivity::isolated);
  CHECK(local.member.safeCount() == 6);
  local.allSilent = false;
  local.advance(60s);
  CHECK(local.member.view().count(State::dead) == 0);
  MembershipConfig plain;
  plain.lifeguard = false;  // plain SWIM declares all of them dead
  TestMember other({"m1", "m2", "m3", "m4", "m5"}, plain);
  other.allSilent = true;
  other.advance(120s);
  CHECK(other.member.view().count(State::dead) == 5);
}

TEST_CASE("a member that was suspended reports partial connectivity instead of declaring others dead") {
  TestMember local({"m1", "m2", "m3", "m4", "m5"});
  local.advance(20s);
  CHECK(local.member.connectivity() == Connectivity::full);
  local.member.handleMessage(local.now,
                             makeMessage(MessageKind::gossip, "m1", {makeUpdate("m2", State::suspect)}));
  local.now += 20s;
  local.member.wake(local.now);
  CHECK(local.state("m2") == State::suspect);  // the suspicion was extended by the stall
  CHECK(local.member.connectivity() == Connectivity::partial);
  CHECK(local.member.counters().stalls == 1);
}

TEST_CASE(
    "of two processes with one name the later start keeps it, and the other gets it back when that one "
    "ends") {
  TestMember local({"m1"});
  Message conflicting = makeMessage(MessageKind::ping, "m100");
  conflicting.self.info = std::make_shared<const MemberInfo>(MemberInfo{"m100", "127.0.9.2:100", "z0"});
  conflicting.self.version.start = kStart - 5;
  local.member.handleMessage(local.now, conflicting);
  CHECK_FALSE(local.member.displaced());
  REQUIRE(local.sent.size() == 1);  // it is notified of the later start
  CHECK(local.sent.front().first == "127.0.9.2:100");
  conflicting.self.version.start = kStart + 5;
  local.member.handleMessage(local.now, conflicting);
  CHECK((local.member.displaced() && local.hasNameConflict && local.member.safeCount() == 2));
  local.sent.clear();
  local.member.handleMessage(local.now, makeMessage(MessageKind::ping, "m1"));
  CHECK(local.sent.empty());  // a displaced member doesn't answer
  local.advance(20s);
  CHECK((!local.member.displaced() && !local.hasNameConflict));
  CHECK(local.member.self().version.start > kStart + 5);
}

TEST_CASE("a death learned by exchange is only a suspicion, and the accused is notified") {
  TestMember local({"m1", "m2"});
  ViewMessage theirs{makeUpdate("m1"), 1, {makeUpdate("m2", State::dead)}, {}};
  local.member.merge(local.now, theirs);
  CHECK(local.state("m2") == State::suspect);
  local.now = local.member.due();
  local.member.wake(local.now);
  const auto notified = std::ranges::any_of(local.sent, [](const auto& one) {
    return one.first == "127.0.9.1:2" && !one.second.updates.empty() &&
           one.second.updates[0].id == memberId("m2");
  });
  CHECK(notified);
}

TEST_CASE("an exchange of large views transfers only the buckets that differ") {
  std::vector<std::string> names;
  for (std::size_t i = 0; i < 400; ++i) names.push_back(memberName(1000 + i));
  TestMember one(names);
  names.push_back("m7");
  TestMember other(names);
  const ViewMessage request = one.member.viewRequest();
  const ViewMessage sent = other.member.viewFor(other.now, request.bucketDigests);
  CHECK((sent.updates.size() > 0 && sent.updates.size() < 30));
  ViewMessage received;
  CHECK(decode("f", encode("f", sent), received) == DecodeError::none);
  CHECK(received.bucketDigests == sent.bucketDigests);
  one.member.merge(one.now, received);
  CHECK(one.member.digest() == other.member.digest());
  // A request without digests, from an earlier version or a new member, gets the entire view.
  CHECK(other.member.viewFor(other.now).updates.size() == 401);
  CHECK(TestMember({"m1"}).member.viewRequest().bucketDigests.empty());
  ViewMessage invalid = sent;
  invalid.bucketDigests.push_back(1);
  CHECK(decode("f", encode("f", invalid), received) == DecodeError::outOfRange);
}

TEST_CASE("every second probe goes to the next live member by id") {
  TestMember local({"m1", "m2", "m3", "m4", "m5", "m6", "m7", "m8"});
  const auto& all = local.member.view().all();
  const auto next = std::ranges::upper_bound(all, memberId("m100"), {}, &MemberRecord::id);
  const std::string nextMember = (next == all.end() ? all.front() : *next).info->address;
  int probes = 0;
  int misses = 0;  // consecutive
  for (int period = 0; period < 40; ++period) {
    local.now = local.member.due();
    local.member.wake(local.now);
    const bool probed = std::ranges::any_of(local.sent, [&](const auto& one) {
      return one.first == nextMember && one.second.kind == MessageKind::ping;
    });
    const bool any =
        std::ranges::any_of(local.sent, [](const auto& one) { return one.second.kind == MessageKind::ping; });
    local.answer();
    if (!any) continue;
    probes += probed ? 1 : 0;
    misses = probed ? 0 : misses + 1;
    CHECK(misses <= 1);
  }
  CHECK(probes > 10);
}

TEST_CASE("a member that missed replies exchanges views before it declares anyone dead") {
  TestMember local({"m1", "m2", "m3", "m4"});
  local.advance(3s);
  local.unresponsive = ":1";
  while (local.state("m1") == State::alive) local.advance(1s);
  local.allSilent = true;  // m1 refutes now, but the refutation is lost
  local.advance(20s);
  CHECK(local.state("m1") == State::suspect);
  local.allSilent = false;
  local.exchanges.clear();
  while (local.exchanges.empty()) local.advance(1s);
  CHECK(local.state("m1") == State::suspect);
  local.advance(30s);
  CHECK(local.state("m1") == State::dead);  // unless it is refuted
}

TEST_CASE("partitioned halves that declared each other dead merge again, in virtual time") {
  const char* const text = R"(
name = "halves"
length_s = 90
[fleet]
members = 24
[[fault]]
kind = "cut"
at_s = 15
for_s = 40
who = "half 0"
[promise]
settle_s = 15
hearing = "whole")";
  const lab::Drill drill = lab::readDrillText(text, "halves");
  const lab::Json run = lab::runDrillVirtual(drill, 5);
  CHECK(run["kept"] == true);
  CHECK(run["figures"]["deaths_told"] > 0);
  CHECK(lab::runDrillVirtual(drill, 5).dump() == run.dump());  // deterministic
  // A cut that lasts to the end of the run must fail the drill.
  lab::Drill cutUntilEnd = drill;
  cutUntilEnd.faults[0].length = 0s;
  cutUntilEnd.expected.hearing = "whole";
  CHECK(lab::runDrillVirtual(cutUntilEnd, 5)["kept"] == false);
}

TEST_CASE("errors in a drill file name the key") {
  const auto read = [](const std::string& text) { return lab::readDrillText(text, "file"); };
  CHECK_THROWS_WITH(read("name = \"x\"\n[[fault]]\nkind = \"cut\"\nwho = \"halves\""),
                    Catch::Contains("fault.0.who"));
  CHECK_THROWS_WITH(read("name = \"x\"\n[fleet]\nmember = 3"), Catch::Contains("members meant"));
}

TEST_CASE("the load on a cold server from both halves of a partitioned fleet stays within the limit") {
  // Sixteen balancers configured as four. On either side of a partition the safe count is sixteen, while only
  // eight are reachable.
  constexpr std::uint32_t kMembers = 16;
  const auto countSent = [&](std::uint32_t counted, bool cold) {
    std::size_t sent = 0;
    for (std::uint32_t i = 0; i < kMembers; ++i) {
      BalancerConfig terms = fixture::config();
      terms.seed = i + 1;
      terms.balancerCount = 4;
      terms.balancerIndex = i;
      fixture::FakeFleet fleet(terms);
      fleet.balancer.setBalancerCount(counted);
      fleet.loadServers(10);
      for (int burst = 0; !cold && burst < 40; ++burst) fleet.submit(fixture::kIdempotent);
      if (!cold) {
        sent += fleet.sent.size();
        continue;
      }
      for (int queries = 0; queries < 1000; ++queries)
        fleet.runQuery(fixture::kIdempotent, Outcome::completed);  // 20 s
      ListedServer fresh = fixture::server(11);
      fresh.startedAt = fleet.now;
      fleet.updateList(ServerListKind::changes, {fresh});
      for (const Span until = fleet.now + 3s; fleet.now < until;)
        sent += fleet.runQuery(fixture::kIdempotent, Outcome::completed) == ServerId{11} ? 1 : 0;
    }
    return static_cast<double>(sent);
  };
  const BalancerConfig terms = fixture::config();
  const double warm = kMembers * 50.0 / 10;  // responses per second of one warm server, from all balancers
  const double limit = terms.coldShare * terms.overloadMultiple * warm * 3;
  const double given = countSent(kMembers, true);
  CHECK((given > 0 && given <= limit));
  // The initial load on unknown servers must be derived from the safe count, not the reachable members.
  CHECK(countSent(kMembers, false) < countSent(kMembers / 2, false));
}
