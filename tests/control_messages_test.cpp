// Tests of the message codec: random messages of every kind round-trip, and corrupted ones are rejected or
// decoded to a valid message.

#include <algorithm>
#include <catch2/catch.hpp>
#include <random>
#include <set>
#include <tuple>

#include "mesh/control/base64.hpp"
#include "mesh/control/messages.hpp"

using namespace rackroute;
using namespace rackroute::mesh;
using namespace std::chrono_literals;
using nlohmann::json;

namespace {

/// Generates random values; empty and maximal values are frequent.
class Generator {
 public:
  explicit Generator(std::uint32_t seed) : random_(seed) {}
  std::uint64_t below(std::uint64_t end) { return random_() % end; }
  std::uint64_t number() { return random_() >> below(64); }
  bool flag() { return below(2) == 0; }
  std::string text() {
    static const char* const parts[] = {"a", "\"", "\\", "\n", "ü", " ", "/", "zone-1", "]}"};
    std::string text = "n";
    for (std::uint64_t count = below(6); count > 0; --count) text += parts[below(std::size(parts))];
    return text;
  }
  template <class Make>
  auto list(Make make) {
    std::vector<decltype(make())> list;
    for (std::uint64_t count = below(4); count > 0; --count) list.push_back(make());
    return list;
  }
  // One draw a statement: the order of draws within an expression differs between compilers.
  Address address() {
    const std::uint64_t host = below(200);
    const std::uint64_t port = below(9);
    return {"10.0.0." + std::to_string(host) + ":8" + std::to_string(port)};
  }
  Epoch epoch() { return {number() >> 2}; }
  Ballot ballot() { return {number() >> 2, {number()}}; }
  VoterId voter() { return {address(), {number()}}; }
  ClaimNo claim() { return {number()}; }
  KeyHash print() { return {number(), number()}; }
  Holder holder() { return {address(), {number()}, {number()}}; }
  VoterSet voterSet() {
    std::map<Address, VoterId> byAddress;
    for (std::uint64_t count = below(6) + 1; count > 0; --count) {
      const VoterId generated = voter();
      byAddress[generated.at] = generated;
    }
    VoterSet set;
    set.epoch = epoch();
    for (const auto& [at, generated] : byAddress) set.voters.push_back(generated);
    for (const VoterId& each : set.voters) {
      if (flag()) set.readers.push_back(each);
    }
    set.previousSize = below(12);
    set.foundingSize = below(12);
    return set;
  }
  Item item() {
    Item item;
    item.generation = {number()};
    item.hash = number() | 1;
    item.dropped = below(4) == 0;
    const std::uint64_t kind = below(4);
    item.key = {static_cast<ItemKind>(kind), text()};
    if (item.dropped) return item;
    if (item.key.kind == ItemKind::route) {
      item.hostname = text();
      item.value = {{"path_prefix", "/" + text()}, {"route_kind", "pure"}, {"timeout", "1s"}};
      if (flag())
        item.value["target"] = text();
      else
        item.value["weighted"] = json::array({{{"target", text()}, {"weight", 0.5}}});
    } else if (item.key.kind == ItemKind::service) {
      item.value = {{"name", item.key.name}, {"more", {{"within", number()}}}};
    } else if (item.key.kind == ItemKind::limits) {
      item.value = {{"body_bytes", below(1000)}};
    } else {
      VoterSet set = voterSet();
      set.epoch = {below(1000) + 1};
      item.generation = {set.epoch.value};
      item.value = toJson(set);
    }
    return item;
  }
  std::vector<Item> items() {
    return list([&] { return item(); });
  }
  OrderPtr order() {
    std::vector<Item> generated = items();
    generated.push_back(item());
    return makeOrder(std::move(generated));
  }
  AcceptedOrder accepted() { return {ballot(), order()}; }
  RegisterId registerId() { return registerOf(item()); }
  DecidedRegister decided() { return {registerId(), number()}; }
  ServerStatus status() {
    ServerStatus status;
    status.served = {{text()},
                     {text()},
                     address(),
                     {text()},
                     text(),
                     {number()},
                     number(),
                     static_cast<std::uint32_t>(number()),
                     flag(),
                     flag(),
                     flag(),
                     flag(),
                     std::chrono::milliseconds(below(100000))};
    // `replaced` is not encoded for a server that has deregistered.
    status.served.replaced = status.served.replaced && !status.served.gone;
    status.connected = flag();
    return status;
  }
  /// Servers of one message, which have distinct ids.
  std::vector<ServerStatus> statuses() {
    std::vector<ServerStatus> drawn = list([&] { return status(); });
    std::set<InstanceId> ids;
    std::erase_if(drawn, [&](const ServerStatus& each) { return !ids.insert(each.served.id).second; });
    return drawn;
  }
  std::pair<ClaimNo, KeyHash> claimOfKey() { return {claim(), print()}; }
  json versions() {
    json versions = json::object();
    for (std::uint64_t count = below(4); count > 0; --count)
      versions["route/" + text()] = json::array({number(), number()});
    return versions;
  }

  /// Message kinds in the order of the alternatives of Message.
  Message message(std::size_t kind) {
    const auto address = [&] { return this->address(); };
    const auto registerId = [&] { return this->registerId(); };
    const auto accepted = [&] { return this->accepted(); };
    const auto decided = [&] { return this->decided(); };
    const auto claims = [&] { return claimOfKey(); };
    switch (kind) {
      case 0:
        return Hello{static_cast<std::uint32_t>(number()),
                     flag(),
                     {text()},
                     {number()},
                     address(),
                     {number()},
                     flag(),
                     flag()};
      case 1:
        return Welcome{static_cast<std::uint32_t>(number()),
                       voter(),
                       flag(),
                       flag(),
                       text(),
                       list(address),
                       voterSet(),
                       {number()}};
      case 2:
        return Heartbeat{number(), number(), epoch(), number(), flag(), flag(), number()};
      case 3:
        return ControlAddresses{list(address)};
      case 4:
        return VotersUpdate{voterSet()};
      case 5:
        return Prepare{ballot(), epoch(), list(registerId)};
      case 6:
        return PrepareReply{ballot(), epoch(),        voter(),       flag(),
                            ballot(), list(accepted), list(decided), items()};
      case 7:
        return Accept{ballot(), epoch(), order(), flag()};
      case 8:
        return AcceptReply{ballot(), epoch(), voter(), flag(), ballot(), list(decided), items()};
      case 9:
        return Decided{order(), list(decided)};
      case 10:
        return ItemsRequest{versions(), number(), flag()};
      case 11:
        return ItemsReply{1, 3, number(), flag(), flag(), items()};
      case 12:
        return ReadRequest{number(), epoch()};
      case 13:
        return ReadReply{number(), epoch(), voter(), number(), list(accepted)};
      case 14:
        return RegistryUpdate{list([&] { return std::pair<NodeName, bool>{{text()}, flag()}; }), statuses()};
      case 15:
        return ServersUpdate{statuses()};
      case 16:
        return Subscribe{list([&] { return ServiceName{text()}; })};
      case 17:
        return ClaimRequest{epoch(), this->address(), list(claims)};
      case 18:
        return ReleaseRequest{this->address(), list(claims)};
      case 19:
        return Votes{epoch(), voter(), list([&] {
                       return Vote{claim(), flag() ? std::optional<Holder>(holder()) : std::nullopt};
                     })};
      case 20:
        return SnapshotRequest{epoch()};
      default:
        return SnapshotPart{epoch(),
                            voter(),
                            number(),
                            flag(),
                            list([&] { return static_cast<std::uint8_t>(below(256)); }),
                            list(accepted),
                            list(decided)};
    }
  }

 private:
  std::mt19937_64 random_;
};

/// Converts to any field type; used only to count the fields of a struct.
struct AnyField {
  template <class T>
  operator T() const;
};
template <class T, std::size_t... Index>
constexpr bool hasFields(std::index_sequence<Index...>) {
  return requires { T{(static_cast<void>(Index), AnyField{})...}; };
}
template <class T, std::size_t Count = 9>
constexpr std::size_t fieldsIn() {
  if constexpr (Count == 0 || hasFields<T>(std::make_index_sequence<Count>()))
    return Count;
  else
    return fieldsIn<T, Count - 1>();
}

/// All fields of a struct, so that fields missing from the codec are detected.
template <class T>
auto fieldsOf(const T& value) {
  if constexpr (std::is_same_v<T, ItemsRequest>) {
    return std::tie(value.versions, value.read, value.confirmed);
  } else if constexpr (std::is_same_v<T, Item>) {
    return std::tie(value.key, value.generation, value.dropped, value.hostname, value.value, value.hash);
  } else if constexpr (fieldsIn<T>() == 9) {
    const auto& [a, b, c, d, e, f, g, h, i] = value;
    return std::tie(a, b, c, d, e, f, g, h, i);
  } else if constexpr (fieldsIn<T>() == 8) {
    const auto& [a, b, c, d, e, f, g, h] = value;
    return std::tie(a, b, c, d, e, f, g, h);
  } else if constexpr (fieldsIn<T>() == 7) {
    const auto& [a, b, c, d, e, f, g] = value;
    return std::tie(a, b, c, d, e, f, g);
  } else if constexpr (fieldsIn<T>() == 6) {
    const auto& [a, b, c, d, e, f] = value;
    return std::tie(a, b, c, d, e, f);
  } else if constexpr (fieldsIn<T>() == 5) {
    const auto& [a, b, c, d, e] = value;
    return std::tie(a, b, c, d, e);
  } else if constexpr (fieldsIn<T>() == 4) {
    const auto& [a, b, c, d] = value;
    return std::tie(a, b, c, d);
  } else if constexpr (fieldsIn<T>() == 3) {
    const auto& [a, b, c] = value;
    return std::tie(a, b, c);
  } else if constexpr (fieldsIn<T>() == 2) {
    const auto& [a, b] = value;
    return std::tie(a, b);
  } else {
    static_assert(fieldsIn<T>() == 1);
    const auto& [a] = value;
    return std::tie(a);
  }
}

template <class T>
bool same(const std::vector<T>& a, const std::vector<T>& b);
template <class T>
bool same(const T& a, const T& b) {
  if constexpr (std::is_same_v<T, OrderPtr>)
    return same(*a, *b);
  else if constexpr (std::equality_comparable<T>)
    return a == b;
  else
    return std::apply(
        [&](const auto&... left) {
          return std::apply([&](const auto&... right) { return (same(left, right) && ...); }, fieldsOf(b));
        },
        fieldsOf(a));
}
template <class T>
bool same(const std::vector<T>& a, const std::vector<T>& b) {
  return std::equal(a.begin(), a.end(), b.begin(), b.end(),
                    [](const T& left, const T& right) { return same(left, right); });
}
bool same(const Message& a, const Message& b) {
  return a.index() == b.index() &&
         std::visit([&](const auto& left) { return same(left, std::get<std::decay_t<decltype(left)>>(b)); },
                    a);
}

/// Corrupts one value at a random depth.
void corrupt(json& text, Generator& generator) {
  if (text.is_structured() && !text.empty() && generator.below(4) != 0) {
    auto inner = text.begin();
    std::advance(inner, static_cast<std::ptrdiff_t>(generator.below(text.size())));
    if (generator.below(5) == 0)
      text.erase(inner);
    else
      corrupt(*inner, generator);
    return;
  }
  static const std::vector<json> invalid{nullptr,
                                         true,
                                         -1,
                                         0,
                                         5,
                                         0.5,
                                         1e300,
                                         "",
                                         "text",
                                         json::array(),
                                         json::object(),
                                         json::array({nullptr}),
                                         std::uint64_t{1} << 63,
                                         std::numeric_limits<std::uint64_t>::max(),
                                         std::numeric_limits<std::int64_t>::min(),
                                         json::array({1, 2, 3})};
  text = invalid[generator.below(invalid.size())];
}

}  // namespace

TEST_CASE("messages: random messages of every kind round-trip") {
  Generator generator(11);
  std::set<std::string_view> kinds;
  for (std::size_t kind = 0; kind < std::variant_size_v<Message>; ++kind) {
    for (int round = 0; round < 60; ++round) {
      const Message message = generator.message(kind);
      REQUIRE(message.index() == kind);
      const std::string text = encode(message);
      INFO(text);
      REQUIRE(text.find('\n') == std::string::npos);
      const auto read = decode(json::parse(text));
      if (!read) FAIL(read.error().line());
      REQUIRE(same(read.value(), message));
      REQUIRE(json::parse(text)["t"] == kindOf(message));
      kinds.insert(kindOf(message));
    }
  }
  REQUIRE(kinds.size() == std::variant_size_v<Message>);
}

TEST_CASE("messages: corrupted messages are rejected or decoded to a valid message") {
  Generator generator(12);
  std::size_t refused = 0;
  std::size_t valid = 0;
  for (int round = 0; round < 20000; ++round) {
    json text = json::parse(encode(generator.message(generator.below(std::variant_size_v<Message>))));
    for (std::uint64_t count = generator.below(2) + 1; count > 0; --count) corrupt(text, generator);
    const auto read = decode(text);
    if (!read) {
      REQUIRE(read.error().step == "message");
      REQUIRE(!read.error().what.empty());
      ++refused;
      continue;
    }
    ++valid;
    const std::string again = encode(read.value());
    const auto reread = decode(json::parse(again));
    INFO(again);
    REQUIRE(reread);
    REQUIRE(same(reread.value(), read.value()));
  }
  REQUIRE(refused > 10000);
  REQUIRE(valid > 500);
}

TEST_CASE("messages: invalid messages are rejected with the name of the field") {
  const auto errorOf = [](const char* text) {
    const auto read = decode(json::parse(text));
    return read ? std::string() : read.error().line();
  };
  CHECK(errorOf("[]") == "message: is not an object");
  CHECK(errorOf("{}") == "message: has no kind");
  CHECK(errorOf(R"({"t":7})") == "message: has no kind");
  CHECK(errorOf(R"({"t":"claims"})") == "message: has an unknown kind");
  CHECK(errorOf(R"({"t":"snapshot"})") == "message: snapshot: epoch is missing");
  CHECK(errorOf(R"({"t":"snapshot","epoch":-1})") == "message: snapshot: epoch is negative");
  CHECK(errorOf(R"({"t":"snapshot","epoch":3.0})") == "message: snapshot: epoch is not an integer");
  CHECK(errorOf(R"({"t":"snapshot","epoch":true})") == "message: snapshot: epoch is not an integer");
  CHECK(errorOf(R"({"t":"snapshot","epoch":9223372036854775808})") ==
        "message: snapshot: epoch is too large");
  CHECK(errorOf(R"({"t":"snapshot","epoch":99999999999999999999})") ==
        "message: snapshot: epoch is not an integer");
  CHECK(errorOf(R"({"t":"snapshot","epoch":3,"later":1})").empty());
  // Unsorted voters, duplicate addresses, a reader that is not a voter, and an empty set.
  const auto errorOfSet = [&](const std::string& voters, const std::string& readers) {
    const std::string text = R"({"t":"voters","set":{"epoch":2,"before":1,"founders":0,"voters":)" + voters +
                             R"(,"readers":)" + readers + "}}";
    return errorOf(text.c_str());
  };
  CHECK(errorOfSet(R"([["a:1",1],["b:1",2]])", R"([["b:1",2]])").empty());
  CHECK(!errorOfSet(R"([["b:1",1],["a:1",2]])", "[]").empty());
  CHECK(!errorOfSet(R"([["a:1",1],["a:1",2]])", "[]").empty());
  CHECK(!errorOfSet(R"([["a:1",1]])", R"([["a:1",2]])").empty());
  CHECK(!errorOfSet("[]", "[]").empty());
  // Items that would fail when used: a route without a target, and a deeply nested value.
  const auto errorOfRoute = [&](const std::string& more) {
    const std::string text =
        R"({"t":"decided","order":[{"k":"route/a","g":1,"v":{"path_prefix":"/","route_kind":"pure","timeout":"1s")" +
        more + "}}]}";
    return errorOf(text.c_str());
  };
  CHECK(errorOfRoute(R"(,"target":"desk")").empty());
  CHECK(!errorOfRoute("").empty());
  CHECK(!errorOfRoute(R"(,"weighted":[{"target":"desk","weight":0}])").empty());
  const std::size_t depth = 100000;
  CHECK(!errorOfRoute(",\"target\":\"desk\",\"x\":" + std::string(depth, '[') + std::string(depth, ']'))
             .empty());
  CHECK(!errorOf(R"({"t":"decided","order":[]})").empty());
}

TEST_CASE("messages: the number of items per message is bounded") {
  Generator generator(13);
  for (const std::size_t count : {0U, 1U, 150U, 151U, 450U}) {
    std::vector<Item> items;
    while (items.size() < count) items.push_back(generator.item());
    const ItemsReply head{0, 1, 7, false, true, {}};
    const auto texts = itemsReplies(head, items);
    REQUIRE(texts.size() == std::max<std::size_t>(1, (count + 149) / 150));
    std::vector<Item> received;
    for (std::size_t part = 0; part < texts.size(); ++part) {
      const auto read = decode(json::parse(*texts[part]));
      REQUIRE(read);
      const auto& reply = std::get<ItemsReply>(read.value());
      REQUIRE(reply.part == part);
      REQUIRE(reply.parts == texts.size());
      REQUIRE(reply.last() == (part + 1 == texts.size()));
      REQUIRE((reply.read == 7 && !reply.holdsState && reply.confirmed));
      received.insert(received.end(), reply.items.begin(), reply.items.end());
    }
    REQUIRE(same(received, items));
  }
}

TEST_CASE("messages: base64 round-trips all bytes and rejects invalid text") {
  Generator generator(14);
  for (int round = 0; round < 300; ++round) {
    std::vector<std::uint8_t> bytes;
    for (std::uint64_t count = generator.below(40); count > 0; --count)
      bytes.push_back(static_cast<std::uint8_t>(generator.below(256)));
    REQUIRE(fromBase64(toBase64(bytes)) == bytes);
  }
  CHECK(toBase64({'M', 'a'}) == "TWE=");
  for (const char* invalid : {"T", "TWE", "TW!=", "====", "T===", "=TWE", "TW=E"})
    CHECK(!fromBase64(invalid));
}

TEST_CASE("voter set: exactly the single steps are recognized") {
  Generator generator(15);
  for (int round = 0; round < 2000; ++round) {
    VoterSet set = generator.voterSet();
    const VoterId joining{{"20.0.0.1:80"}, {generator.number()}};
    const VoterId leaving = set.voters[generator.below(set.voters.size())];
    const VoterId wiped{leaving.at, {leaving.incarnation.value + 1}};
    REQUIRE(isSingleStep(set, withVoter(set, joining)));
    REQUIRE(isSingleStep(set, withReplacement(set, leaving, joining)));
    REQUIRE(isSingleStep(set, withReplacement(set, leaving, wiped)));
    REQUIRE(isSingleStep(set, withoutVoter(set, leaving)) == (set.voters.size() > 1));
    REQUIRE(!isSingleStep(set, set));
    REQUIRE(!isSingleStep(set, withVoter(set, wiped)));
    REQUIRE(!isSingleStep(set, withVoter(withVoter(set, joining), wiped)));
    VoterSet changed = withReplacement(set, leaving, joining);
    const auto change = generator.below(4);
    if (change == 0) ++changed.epoch.value;
    if (change == 1) changed.readers.clear();
    if (change == 2) ++changed.previousSize;
    if (change == 3) changed.voters.push_back({{"20.0.0.2:80"}, {1}});
    REQUIRE(!isSingleStep(set, changed));
  }
}

TEST_CASE("voter set: each voter of the epoch counts once") {
  Generator generator(16);
  for (int round = 0; round < 500; ++round) {
    const VoterSet set = generator.voterSet();
    VoteCount votes(set);
    std::set<VoterId> counted;
    for (int vote = 0; vote < 20; ++vote) {
      VoterId voter = set.voters[generator.below(set.voters.size())];
      const bool earlier = generator.below(5) == 0;
      if (earlier) --voter.incarnation.value;
      const Epoch epoch{set.epoch.value + (generator.below(5) == 0 ? 1 : 0)};
      const bool counts = !earlier && epoch == set.epoch;
      REQUIRE(votes.add(voter, epoch) == counts);
      if (counts) counted.insert(voter);
      REQUIRE(votes.count() == counted.size());
      REQUIRE(votes.majority() == (counted.size() >= set.quorum()));
    }
  }
}
