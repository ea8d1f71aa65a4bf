// The fleet's view: words and which of them holds, the bytes on the wire, and one member among others played
// by hand.

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

std::string named(std::size_t number) { return std::string("m").append(std::to_string(number)); }

Word word(const std::string& name, State state = State::alive, Life life = {kStart, 0}) {
  Word made;
  made.card =
      std::make_shared<const Card>(Card{name, std::string("127.0.9.1:").append(name.substr(1)), "z0"});
  made.id = memberId(name);
  made.life = life;
  made.state = state;
  return made;
}

Message message(Kind kind, const std::string& from, std::vector<Word> words = {}) {
  Message made;
  made.kind = kind;
  made.self = word(from);
  made.words = std::move(words);
  return made;
}

/// One member; the others are played by hand, and answer its probes while they are told to.
class Alone : public Surroundings {
 public:
  explicit Alone(std::vector<std::string> others, Rhythm rhythm = {}, std::uint64_t start = kStart)
      : member({"m100", "127.0.9.1:100", "z0"}, start, {}, rhythm, 7, *this) {
    std::vector<Word> words;
    for (const std::string& name : others) words.push_back(word(name));
    member.know(now, words);
    member.begin(now);
  }
  void send(const std::string& address, const Message& message) override {
    sent.emplace_back(address, message);
  }
  void exchange(const std::string& address) override { exchanges.push_back(address); }
  void changed(const Held& held, std::optional<State>) override { states[held.card->name] = held.state; }
  void nameTaken(bool yes, const std::string&) override { taken = yes; }

  void pass(Span length) {
    for (const Span until = now + length; member.due() <= until;) {
      now = member.due();
      member.wake(now);
      answer();
    }
    now += 1ms;
  }
  /// The others answer what was sent to them, all but those that are silent.
  void answer() {
    for (const auto& [address, message] : std::exchange(sent, {})) {
      if ((message.kind != Kind::ping && message.kind != Kind::ask) || silent || address.ends_with(dead))
        continue;
      // Those that are asked to try the one that does not answer reach it no better.
      Message ack = ::message(message.kind == Kind::ping ? Kind::ack : Kind::nack,
                              named(std::stoul(address.substr(address.rfind(':') + 1))));
      ack.number = message.number;
      ack.about = message.about;
      for (const Word& said : message.words)  // it speaks up
        if (said.id == ack.self.id) lives[said.id.value] = said.life.incarnation + 1;
      ack.self.life.incarnation = lives[ack.self.id.value];
      member.heard(now, ack);
    }
  }
  State state(const std::string& name) { return member.view().find(memberId(name))->state; }

  Span now{};
  std::vector<std::pair<std::string, Message>> sent;
  std::vector<std::string> exchanges;
  std::map<std::string, State> states;
  bool silent = false;
  std::string dead = "none";  // how the address of one ends that does not answer
  bool taken = false;
  std::map<std::uint64_t, std::uint32_t> lives;  // incarnations of the others
  Membership member;
};

}  // namespace

TEST_CASE("words lead to the same view in any order, doubled or not") {
  std::mt19937 chance(3);
  std::vector<Word> words;
  for (int i = 0; i < 400; ++i)
    words.push_back(word(named(chance() % 12), static_cast<State>(chance() % 4),
                         {kStart + chance() % 3, static_cast<std::uint32_t>(chance() % 4)}));
  const auto viewOf = [&](const std::vector<Word>& told) {
    View view(100, 1h, 1h);
    for (const Word& one : told) view.take({}, one);
    std::vector<std::tuple<MemberId, Life, State>> all;
    for (const Held& held : view.all()) all.emplace_back(held.id, held.life, held.state);
    return std::pair(all, view.digest());
  };
  const auto first = viewOf(words);
  for (int round = 0; round < 50; ++round) {
    words.push_back(words[chance() % words.size()]);
    std::shuffle(words.begin(), words.end(), chance);
    CHECK(viewOf(words) == first);
  }
}

TEST_CASE("the safe count rises at once and falls by a leave, but by a death only long after") {
  View view(10, 1h, 10min);
  for (const char* name : {"m1", "m2", "m3"}) view.take({}, word(name));
  CHECK(view.safe() == 3);
  view.take(1s, word("m1", State::dead));
  view.take(1s, word("m2", State::left));
  CHECK(view.safe() == 2);
  view.forget(30min, true);
  CHECK(view.safe() == 2);
  view.forget(2h, false);  // alone: it may be a cut
  CHECK(view.safe() == 2);
  view.forget(2h, true);
  CHECK(view.safe() == 1);
  Word old = word("m1", State::dead);
  old.age = 2h;  // others still tell of it
  CHECK(view.take(2h, old) == View::Taken::nothing);
}

TEST_CASE("a view has room for so many members, and one that left makes room") {
  View view(2, 1h, 1h);
  view.take({}, word("m1"));
  view.take({}, word("m2"));
  CHECK(view.take({}, word("m3")) == View::Taken::full);
  view.take({}, word("m1", State::left));
  CHECK(view.take({}, word("m3")) == View::Taken::fresh);
  CHECK(view.find(memberId("m1")) == nullptr);
}

TEST_CASE("a message comes out of its bytes as it went in, and a later version's fields are passed over") {
  Message told = message(Kind::ask, "m1", {word("m2", State::suspect, {kStart, 7}), word("m3", State::dead)});
  told.number = 42;
  told.about = memberId("m9");
  told.words[0].from = memberId("m4");
  told.words[1].age = 5s;
  std::string body = encode("austin", told).substr(kSeal);
  body[0] = static_cast<char>(body[0] + 1);  // one field more
  const std::string bytes = sealed(body + "\x63\x93\x01\xa1x\x80");
  Message read;
  REQUIRE(decode("austin", bytes, read) == Refusal::none);
  CHECK((read.kind == Kind::ask && read.number == 42 && read.about == told.about));
  REQUIRE(read.words.size() == 2);
  CHECK((read.words[0].life == told.words[0].life && read.words[0].from == told.words[0].from));
  CHECK((read.words[1].age == 5s && read.words[1].card->name == "m3"));
  CHECK(decode("houston", bytes, read) == Refusal::otherFleet);
}

TEST_CASE("a datagram never grows over its bound, however much there is to tell") {
  Message told = message(Kind::news, "m1", std::vector<Word>(500, word(std::string(45, 'm'))));
  const std::string bytes = encode("austin", told);
  CHECK(bytes.size() <= kLongestDatagram);
  Message read;
  REQUIRE(decode("austin", bytes, read) == Refusal::none);
  CHECK(read.words.size() > 5);
}

TEST_CASE("garbage, absurd lengths and cut messages are refused with their reason") {
  Message read;
  CHECK(decode("austin", "", read) == Refusal::garbled);
  CHECK(decode("austin", std::string(1300, 'x'), read) == Refusal::absurd);
  CHECK(decode("austin", sealed({"\xdf\xff\xff\xff\xff", 5}), read) ==
        Refusal::absurd);  // a map of 4 billion
  CHECK(decode("austin", sealed({"\x81\x00\x05", 3}), read) == Refusal::version);
  Message large = message(Kind::news, "m1");
  large.self = word(std::string(200, 'm'));
  CHECK(decode("austin", encode("austin", large), read) == Refusal::absurd);
  large.self = word("m\n1");
  CHECK(decode("austin", encode("austin", large), read) == Refusal::absurd);
  const std::string whole = encode("austin", message(Kind::ping, "m1", {word("m2")}));
  for (std::size_t size = 0; size < whole.size(); ++size)
    CHECK(decode("austin", sealed(std::string_view(whole).substr(kSeal, size)), read) !=
          (size + kSeal < whole.size() ? Refusal::none : Refusal::garbled));
  // One bit that was changed on the way is seen, also where the rest would read well: another name, a later
  // start.
  for (std::size_t bit = 0; bit < 8 * whole.size(); ++bit) {
    std::string spoilt = whole;
    spoilt[bit / 8] = static_cast<char>(spoilt[bit / 8] ^ (1 << bit % 8));
    CHECK(decode("austin", spoilt, read) == Refusal::garbled);
  }
}

TEST_CASE("spoilt bytes are never taken for more than they are, and nothing they say breaks a member") {
  std::mt19937 chance(11);
  Alone here({"m1", "m2", "m3"});
  std::uint64_t taken = 0;
  for (int round = 0; round < 20'000; ++round) {
    std::string bytes =
        encode("austin", message(static_cast<Kind>(chance() % 5), named(chance() % 9),
                                 {word("m100", static_cast<State>(chance() % 4)), word("m2")}));
    bytes.erase(0, kSeal);
    for (unsigned i = chance() % 4; i > 0; --i) bytes[chance() % bytes.size()] = static_cast<char>(chance());
    if (chance() % 8 == 0) bytes.resize(chance() % bytes.size());
    Message read;
    if (decode("austin", sealed(bytes), read) != Refusal::none) continue;
    ++taken;
    here.now += 1ms;
    here.member.heard(here.now, read);
    here.sent.clear();
    if (here.member.due() <= here.now) here.member.wake(here.now);
  }
  CHECK(taken > 1000);
  CHECK(here.member.view().all().size() <= Rhythm{}.most);
  CHECK(here.member.self().state == State::alive);
}

TEST_CASE("talk of its own death ends with a higher incarnation, and at the last one with a new start") {
  Alone here({"m1"});
  here.member.heard(here.now, message(Kind::news, "m1", {word("m100", State::suspect)}));
  CHECK(here.member.self().life == Life{kStart, 1});
  here.member.heard(here.now, message(Kind::news, "m1", {word("m100", State::dead, {kStart, 0x7ffffffe})}));
  CHECK(here.member.self().life == Life{kStart + 1, 0});
  here.member.heard(here.now,
                    message(Kind::news, "m1", {word("m100", State::dead, {kStart + 1, UINT32_MAX})}));
  CHECK(here.member.self().life == Life{kStart + 1, 0});  // such a one can't be
  CHECK(here.member.figures().refusedAbsurd == 1);
}

TEST_CASE("one that starts anew with its clock set back is the later start all the same") {
  Alone here({"m1"}, {}, kStart - 3'600'000);
  here.member.heard(here.now, message(Kind::news, "m1", {word("m100", State::dead)}));
  CHECK(here.member.self().life.start > kStart);
}

TEST_CASE("old words do not raise the dead, nor bury one that has spoken up") {
  Alone here({"m1", "m2"});
  here.member.heard(here.now, message(Kind::news, "m1", {word("m2", State::dead)}));
  here.member.heard(here.now, message(Kind::ping, "m2"));  // a message that was long under way
  CHECK(here.state("m2") == State::dead);
  here.member.heard(here.now, message(Kind::news, "m1", {word("m2", State::alive, {kStart, 1})}));
  here.member.heard(here.now, message(Kind::news, "m1", {word("m2", State::dead)}));
  CHECK(here.state("m2") == State::alive);
}

TEST_CASE("one that is killed is suspected, then dead; while its death may be a cut the count keeps it") {
  Alone here({"m1", "m2", "m3", "m4", "m5"});
  here.dead = ":3";
  here.pass(30s);
  CHECK(here.state("m3") == State::dead);
  CHECK((here.state("m1") == State::alive && here.member.safeCount() == 6));
  CHECK(here.member.hearing() == Hearing::whole);
}

TEST_CASE("one whom nobody answers doubts itself: it buries nobody, says it is alone, and keeps its count") {
  Alone here({"m1", "m2", "m3", "m4", "m5"});
  here.silent = true;
  here.pass(120s);
  CHECK(here.member.view().count(State::dead) == 0);
  CHECK(here.member.hearing() == Hearing::alone);
  CHECK(here.member.safeCount() == 6);
  here.silent = false;
  here.pass(60s);
  CHECK(here.member.view().count(State::dead) == 0);
  Rhythm plain;
  plain.lifeguard = false;  // plain SWIM buries them all
  Alone other({"m1", "m2", "m3", "m4", "m5"}, plain);
  other.silent = true;
  other.pass(120s);
  CHECK(other.member.view().count(State::dead) == 5);
}

TEST_CASE("one that was frozen doubts itself first, not the others whom it did not hear") {
  Alone here({"m1", "m2", "m3", "m4", "m5"});
  here.pass(20s);
  CHECK(here.member.hearing() == Hearing::whole);
  here.member.heard(here.now, message(Kind::news, "m1", {word("m2", State::suspect)}));
  here.now += 20s;
  here.member.wake(here.now);
  CHECK(here.state("m2") == State::suspect);  // its time did not run while this one stood still
  CHECK(here.member.hearing() == Hearing::partial);
  CHECK(here.member.figures().stalls == 1);
}

TEST_CASE(
    "of two processes with one name the later start has it, and the other gets it back when that one is "
    "gone") {
  Alone here({"m1"});
  Message rival = message(Kind::ping, "m100");
  rival.self.card = std::make_shared<const Card>(Card{"m100", "127.0.9.2:100", "z0"});
  rival.self.life.start = kStart - 5;
  here.member.heard(here.now, rival);
  CHECK_FALSE(here.member.displaced());
  REQUIRE(here.sent.size() == 1);  // it is told of this one's later start
  CHECK(here.sent.front().first == "127.0.9.2:100");
  rival.self.life.start = kStart + 5;
  here.member.heard(here.now, rival);
  CHECK((here.member.displaced() && here.taken && here.member.safeCount() == 2));
  here.sent.clear();
  here.member.heard(here.now, message(Kind::ping, "m1"));
  CHECK(here.sent.empty());  // it is quiet
  here.pass(20s);
  CHECK((!here.member.displaced() && !here.taken));
  CHECK(here.member.self().life.start > kStart + 5);
}

TEST_CASE("an exchange's deaths are only suspicions, and who is accused is told") {
  Alone here({"m1", "m2"});
  Whole theirs{word("m1"), 1, {word("m2", State::dead)}, {}};
  here.member.merge(here.now, theirs);
  CHECK(here.state("m2") == State::suspect);
  here.now = here.member.due();
  here.member.wake(here.now);
  const auto told = std::ranges::any_of(here.sent, [](const auto& one) {
    return one.first == "127.0.9.1:2" && !one.second.words.empty() &&
           one.second.words[0].id == memberId("m2");
  });
  CHECK(told);
}

TEST_CASE("of two large views that exchange only the parts that differ are told") {
  std::vector<std::string> names;
  for (std::size_t i = 0; i < 400; ++i) names.push_back(named(1000 + i));
  Alone one(names);
  names.push_back("m7");
  Alone other(names);
  const Whole asked = one.member.question();
  const Whole told = other.member.whole(other.now, asked.marks);
  CHECK((told.words.size() > 0 && told.words.size() < 30));
  Whole arrived;
  CHECK(decode("f", encode("f", told), arrived) == Refusal::none);
  CHECK(arrived.marks == told.marks);
  one.member.merge(one.now, arrived);
  CHECK(one.member.digest() == other.member.digest());
  // One that asks without marks, of an earlier version or new, is told all.
  CHECK(other.member.whole(other.now).words.size() == 401);
  CHECK(Alone({"m1"}).member.question().marks.empty());
  Whole absurd = told;
  absurd.marks.push_back(1);
  CHECK(decode("f", encode("f", absurd), arrived) == Refusal::absurd);
}

TEST_CASE("every second probe goes to the next living member by id") {
  Alone here({"m1", "m2", "m3", "m4", "m5", "m6", "m7", "m8"});
  const auto& all = here.member.view().all();
  const auto next = std::ranges::upper_bound(all, memberId("m100"), {}, &Held::id);
  const std::string neighbour = (next == all.end() ? all.front() : *next).card->address;
  int met = 0;
  int missed = 0;  // in a row
  for (int period = 0; period < 40; ++period) {
    here.now = here.member.due();
    here.member.wake(here.now);
    const bool probed = std::ranges::any_of(
        here.sent, [&](const auto& one) { return one.first == neighbour && one.second.kind == Kind::ping; });
    const bool any =
        std::ranges::any_of(here.sent, [](const auto& one) { return one.second.kind == Kind::ping; });
    here.answer();
    if (!any) continue;
    met += probed ? 1 : 0;
    missed = probed ? 0 : missed + 1;
    CHECK(missed <= 1);
  }
  CHECK(met > 10);
}

TEST_CASE("one that missed an answer to its suspicion asks what it missed before it buries anyone") {
  Alone here({"m1", "m2", "m3", "m4"});
  here.pass(3s);
  here.dead = ":1";
  while (here.state("m1") == State::alive) here.pass(1s);
  here.silent = true;  // m1 speaks up now, and this one does not hear it
  here.pass(20s);
  CHECK(here.state("m1") == State::suspect);
  here.silent = false;
  here.exchanges.clear();
  while (here.exchanges.empty()) here.pass(1s);
  CHECK(here.state("m1") == State::suspect);
  here.pass(30s);
  CHECK(here.state("m1") == State::dead);  // it is, if nobody says otherwise
}

TEST_CASE("halves that buried each other become one again without a hand, in virtual time") {
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
  CHECK(lab::runDrillVirtual(drill, 5).dump() == run.dump());  // the same events, the same view
  // The judge sees what is wrong: without the last 30 s of it, the halves are still apart.
  lab::Drill apart = drill;
  apart.faults[0].length = 0s;
  apart.expected.hearing = "whole";
  CHECK(lab::runDrillVirtual(apart, 5)["kept"] == false);
}

TEST_CASE("a drill's file is read with care") {
  const auto read = [](const std::string& text) { return lab::readDrillText(text, "file"); };
  CHECK_THROWS_WITH(read("name = \"x\"\n[[fault]]\nkind = \"cut\"\nwho = \"halves\""),
                    Catch::Contains("fault.0.who"));
  CHECK_THROWS_WITH(read("name = \"x\"\n[fleet]\nmember = 3"), Catch::Contains("members meant"));
}

TEST_CASE("a cold server's budget over both halves of a cut fleet does not exceed the rule's") {
  // Sixteen balancers that were told of four at their start. The safe count names all sixteen on either side
  // of a cut; the count of those heard would name eight.
  constexpr std::uint32_t kMembers = 16;
  const auto play = [&](std::uint32_t counted, bool cold) {
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
  const double warm = kMembers * 50.0 / 10;  // answers a second of one warm server, from all balancers
  const double rule = terms.coldShare * terms.overloadMultiple * warm * 3;
  const double given = play(kMembers, true);
  CHECK((given > 0 && given <= rule));
  // What all begin at once on servers that nobody knows goes by the count, and must not go by who is heard.
  CHECK(play(kMembers, false) < play(kMembers / 2, false));
}
