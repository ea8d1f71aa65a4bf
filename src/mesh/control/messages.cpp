#include "mesh/control/messages.hpp"

#include <algorithm>
#include <array>
#include <limits>
#include <span>
#include <tuple>
#include <type_traits>

#include "mesh/configuration/item_check.hpp"
#include "mesh/control/base64.hpp"

namespace rackroute::mesh {
namespace {

using nlohmann::json;

/// Items of one ItemsReply: some milliseconds' work on a slow machine, so that none holds up who reads it.
constexpr std::size_t kItemsAMessage = 150;
/// Entries of a list. A session bounds the bytes of a message; this bounds what they may become in memory.
constexpr std::size_t kMostEntries = 1'000'000;
/// Voters of a set and founders; twelve vote at most, the rest is spare.
constexpr std::size_t kMostVoters = 64;
/// Characters of an address.
constexpr std::size_t kLongestAddress = 256;
/// Of epochs and rounds, which rise by one. Guards against a damaged message: a higher one would stand above
/// all that follow.
constexpr std::uint64_t kHighestCount = std::uint64_t{1} << 62;
/// Of a server's cold time in milliseconds, either way, so that it can be counted in microseconds.
constexpr std::int64_t kLongestColdTime = std::numeric_limits<std::int64_t>::max() / 1000;
constexpr std::size_t kNewsFields = 10;
constexpr unsigned kMostNewsFlags = 15;

/// Why a message is refused; it never leaves this file but as an Error or as the exception of voterSetFrom.
class Refusal : public json::exception {
 public:
  explicit Refusal(const std::string& what) : json::exception(kId, what.c_str()) {}

 private:
  static constexpr int kId = 900;  // none of the library's own
};

// --- how each type is laid out

template <class Owner, class Member>
struct Field {
  const char* name;
  Member Owner::*member;
  bool required = true;
};
template <class Owner, class Member>
constexpr Field<Owner, Member> field(const char* name, Member Owner::*member) {
  return {name, member};
}

/// A field that earlier processes leave out: it keeps its default then.
template <class Owner, class Member>
constexpr Field<Owner, Member> laterField(const char* name, Member Owner::*member) {
  return {name, member, false};
}

/// Objects: `fields`, and for messages `kind`. Arrays: `positions`, the members in their order.
template <class T>
struct Layout;

template <>
struct Layout<VoterId> {
  static constexpr auto positions = std::make_tuple(&VoterId::at, &VoterId::incarnation);
};
template <>
struct Layout<VoterSet> {
  static constexpr auto fields =
      std::make_tuple(field("epoch", &VoterSet::epoch), field("voters", &VoterSet::voters),
                      field("readers", &VoterSet::readers), field("before", &VoterSet::previousSize),
                      field("founders", &VoterSet::foundingSize));
};
template <>
struct Layout<Ballot> {
  static constexpr auto positions = std::make_tuple(&Ballot::round, &Ballot::proposer);
};
template <>
struct Layout<RegisterId> {
  static constexpr auto positions = std::make_tuple(&RegisterId::item, &RegisterId::version);
};
template <>
struct Layout<AcceptedOrder> {
  static constexpr auto positions = std::make_tuple(&AcceptedOrder::ballot, &AcceptedOrder::order);
};
template <>
struct Layout<DecidedRegister> {
  static constexpr auto positions = std::make_tuple(&DecidedRegister::id, &DecidedRegister::print);
};
template <>
struct Layout<Holder> {
  static constexpr auto positions = std::make_tuple(&Holder::at, &Holder::life, &Holder::no);
};
template <>
struct Layout<Vote> {
  static constexpr auto positions = std::make_tuple(&Vote::claim, &Vote::holder);
};

template <>
struct Layout<Hello> {
  static constexpr const char* kind = "hello";
  static constexpr auto fields = std::make_tuple(
      field("format", &Hello::format), field("control", &Hello::control), field("node", &Hello::node),
      field("life", &Hello::life), field("at", &Hello::at), field("inc", &Hello::incarnation),
      field("founder", &Hello::founder), field("holds", &Hello::holdsState));
};
template <>
struct Layout<Welcome> {
  static constexpr const char* kind = "welcome";
  static constexpr auto fields =
      std::make_tuple(field("format", &Welcome::format), field("self", &Welcome::self),
                      field("founder", &Welcome::founder), field("holds", &Welcome::holdsState),
                      field("zone", &Welcome::zone), field("controls", &Welcome::controls),
                      field("voters", &Welcome::voters), field("life", &Welcome::highestLife));
};
template <>
struct Layout<Heartbeat> {
  static constexpr const char* kind = "beat";
  static constexpr auto fields = std::make_tuple(
      field("seq", &Heartbeat::sequence), field("echo", &Heartbeat::echo), field("epoch", &Heartbeat::epoch),
      field("digest", &Heartbeat::digest), field("holds", &Heartbeat::holdsState),
      field("settled", &Heartbeat::settled), field("members", &Heartbeat::members));
};
template <>
struct Layout<ControlAddresses> {
  static constexpr const char* kind = "controls";
  static constexpr auto fields = std::make_tuple(field("list", &ControlAddresses::list));
};
template <>
struct Layout<VotersUpdate> {
  static constexpr const char* kind = "voters";
  static constexpr auto fields = std::make_tuple(field("set", &VotersUpdate::voters));
};
template <>
struct Layout<Prepare> {
  static constexpr const char* kind = "prepare";
  static constexpr auto fields = std::make_tuple(
      field("ballot", &Prepare::ballot), field("epoch", &Prepare::epoch), field("list", &Prepare::registers));
};
template <>
struct Layout<PrepareReply> {
  static constexpr const char* kind = "prepared";
  static constexpr auto fields =
      std::make_tuple(field("ballot", &PrepareReply::ballot), field("epoch", &PrepareReply::epoch),
                      field("voter", &PrepareReply::voter), field("granted", &PrepareReply::granted),
                      field("promised", &PrepareReply::promised), field("accepted", &PrepareReply::accepted),
                      field("decided", &PrepareReply::decided), field("standing", &PrepareReply::standing));
};
template <>
struct Layout<Accept> {
  static constexpr const char* kind = "accept";
  static constexpr auto fields =
      std::make_tuple(field("ballot", &Accept::ballot), field("epoch", &Accept::epoch),
                      field("order", &Accept::order), laterField("decided", &Accept::mayBeDecided));
};
template <>
struct Layout<AcceptReply> {
  static constexpr const char* kind = "accepted";
  static constexpr auto fields =
      std::make_tuple(field("ballot", &AcceptReply::ballot), field("epoch", &AcceptReply::epoch),
                      field("voter", &AcceptReply::voter), field("granted", &AcceptReply::granted),
                      field("promised", &AcceptReply::promised), field("decided", &AcceptReply::decided),
                      field("standing", &AcceptReply::standing));
};
template <>
struct Layout<Decided> {
  static constexpr const char* kind = "decided";
  static constexpr auto fields =
      std::make_tuple(field("order", &Decided::order), laterField("later", &Decided::later));
};
template <>
struct Layout<ItemsRequest> {
  static constexpr const char* kind = "want";
  static constexpr auto fields =
      std::make_tuple(field("versions", &ItemsRequest::versions), field("read", &ItemsRequest::read),
                      field("confirmed", &ItemsRequest::confirmed));
};
template <>
struct Layout<ItemsReply> {
  static constexpr const char* kind = "items";
  // The list last: itemsReplies() writes it behind the others.
  static constexpr auto fields =
      std::make_tuple(field("part", &ItemsReply::part), field("parts", &ItemsReply::parts),
                      field("read", &ItemsReply::read), field("holds", &ItemsReply::holdsState),
                      field("confirmed", &ItemsReply::confirmed), field("list", &ItemsReply::items));
};
template <>
struct Layout<ReadRequest> {
  static constexpr const char* kind = "read";
  static constexpr auto fields =
      std::make_tuple(field("read", &ReadRequest::read), field("epoch", &ReadRequest::epoch));
};
template <>
struct Layout<ReadReply> {
  static constexpr const char* kind = "reading";
  static constexpr auto fields = std::make_tuple(
      field("read", &ReadReply::read), field("epoch", &ReadReply::epoch), field("voter", &ReadReply::voter),
      field("digest", &ReadReply::digest), field("accepted", &ReadReply::accepted));
};
template <>
struct Layout<RegistryUpdate> {
  static constexpr const char* kind = "roster";
  static constexpr auto fields =
      std::make_tuple(field("nodes", &RegistryUpdate::nodes), field("list", &RegistryUpdate::servers));
};
template <>
struct Layout<ServersUpdate> {
  static constexpr const char* kind = "servers";
  static constexpr auto fields = std::make_tuple(field("list", &ServersUpdate::servers));
};
template <>
struct Layout<Follow> {
  static constexpr const char* kind = "follow";
  static constexpr auto fields = std::make_tuple(field("list", &Follow::services));
};
template <>
struct Layout<ClaimRequest> {
  static constexpr const char* kind = "claim";
  static constexpr auto fields =
      std::make_tuple(field("epoch", &ClaimRequest::epoch), field("at", &ClaimRequest::at),
                      field("list", &ClaimRequest::claims));
};
template <>
struct Layout<ReleaseRequest> {
  static constexpr const char* kind = "release";
  static constexpr auto fields =
      std::make_tuple(field("at", &ReleaseRequest::at), field("list", &ReleaseRequest::claims));
};
template <>
struct Layout<Votes> {
  static constexpr const char* kind = "votes";
  static constexpr auto fields = std::make_tuple(field("epoch", &Votes::epoch), field("voter", &Votes::voter),
                                                 field("list", &Votes::votes));
};
template <>
struct Layout<SnapshotRequest> {
  static constexpr const char* kind = "snapshot";
  static constexpr auto fields = std::make_tuple(field("epoch", &SnapshotRequest::epoch));
};
template <>
struct Layout<SnapshotPart> {
  static constexpr const char* kind = "state";
  static constexpr auto fields =
      std::make_tuple(field("epoch", &SnapshotPart::epoch), field("voter", &SnapshotPart::voter),
                      field("part", &SnapshotPart::part), field("last", &SnapshotPart::last),
                      field("promises", &SnapshotPart::promises), field("accepted", &SnapshotPart::accepted),
                      field("decided", &SnapshotPart::decided));
};

template <class T>
concept LaidAsObject = requires {
  Layout<T>::fields;
};
template <class T>
concept LaidAsArray = requires {
  Layout<T>::positions;
};

// --- encoding

/// Appends values as JSON text. Text and not json objects, so that an item's text is written out once and
/// shared by all messages that carry the item.
class Writer {
 public:
  void put(bool value) { text_ += value ? "true" : "false"; }
  void put(std::uint32_t value) { text_ += std::to_string(value); }
  void put(std::uint64_t value) { text_ += std::to_string(value); }
  void put(const std::string& value) { put(json(value)); }
  /// Names that are no UTF-8 are written with replacements, as the other side could not read them.
  void put(const json& value) { text_ += value.dump(-1, ' ', false, json::error_handler_t::replace); }
  void put(const std::vector<std::uint8_t>& bytes) { text_ += '"' + toBase64(bytes) + '"'; }
  void put(const KeyPrint& print) { text_ += '"' + textOf(print) + '"'; }
  void put(const ItemKey& key) { put(textOf(key)); }
  void put(const Item& item) { text_ += wireOf(item); }
  void put(const News& news) { put(toJson(news)); }
  void put(const OrderPtr& order) { put(order->items); }
  template <class Tag, class Value>
  void put(const Id<Tag, Value>& id) {
    put(id.value);
  }
  template <class T>
  void put(const std::optional<T>& value) {
    if (value)
      put(*value);
    else
      text_ += "null";
  }
  template <class First, class Second>
  void put(const std::pair<First, Second>& pair) {
    text_ += '[';
    put(pair.first);
    text_ += ',';
    put(pair.second);
    text_ += ']';
  }
  template <class T>
  void put(const std::vector<T>& list) {
    putList(std::span<const T>(list));
  }
  template <class T>
  void putList(std::span<const T> list) {
    text_ += '[';
    for (const T& entry : list) {
      put(entry);
      text_ += ',';
    }
    close(']');
  }
  template <LaidAsArray T>
  void put(const T& value) {
    text_ += '[';
    std::apply([&](auto... member) { ((put(value.*member), text_ += ','), ...); }, Layout<T>::positions);
    close(']');
  }
  template <LaidAsObject T>
  void put(const T& value) {
    text_ += '{';
    if constexpr (requires { Layout<T>::kind; }) text_ += std::string("\"t\":\"") + Layout<T>::kind + "\",";
    std::apply([&](auto... each) { ((putField(each.name, value.*each.member)), ...); }, Layout<T>::fields);
    close('}');
  }
  template <class T>
  void putField(const char* name, const T& value) {
    text_ += std::string("\"") + name + "\":";
    put(value);
    text_ += ',';
  }
  /// Takes back the last characters, if they are these.
  void takeBack(std::string_view end) {
    if (std::string_view(text_).ends_with(end)) text_.resize(text_.size() - end.size());
  }
  void append(std::string_view text) { text_ += text; }
  std::string take() { return std::move(text_); }

 private:
  void close(char end) {
    takeBack(",");
    text_ += end;
  }

  std::string text_;
};

// --- decoding

void require(bool holds, const char* what) {
  if (!holds) throw Refusal(what);
}

std::uint64_t unsignedFrom(const json& from, std::uint64_t highest) {
  if (from.is_number_unsigned()) {
    const auto value = from.get<std::uint64_t>();
    require(value <= highest, "is too large");
    return value;
  }
  require(from.is_number_integer(), "is no whole number");
  const auto value = from.get<std::int64_t>();
  require(value >= 0, "is below 0");
  require(static_cast<std::uint64_t>(value) <= highest, "is too large");
  return static_cast<std::uint64_t>(value);
}

std::int64_t signedFrom(const json& from) {
  require(from.is_number_integer(), "is no whole number");
  const bool fits = !from.is_number_unsigned() ||
                    from.get<std::uint64_t>() <= std::uint64_t{std::numeric_limits<std::int64_t>::max()};
  require(fits, "is too large");
  return from.get<std::int64_t>();
}

void requireText(const json& from) { require(from.is_string(), "is no text"); }

void requireArray(const json& from, std::size_t entries) {
  require(from.is_array() && from.size() == entries, "is no array of that many entries");
}

const json& memberOf(const json& from, const char* name) {
  const auto found = from.find(name);
  require(found != from.end(), "is missing");
  return *found;
}

/// Reads values from JSON and throws a Refusal for what can't be one.
class Reader {
 public:
  static void get(const json& from, bool& to) {
    require(from.is_boolean(), "is neither true nor false");
    to = from.get<bool>();
  }
  static void get(const json& from, std::uint32_t& to) {
    to = static_cast<std::uint32_t>(unsignedFrom(from, std::numeric_limits<std::uint32_t>::max()));
  }
  static void get(const json& from, std::uint64_t& to) {
    to = unsignedFrom(from, std::numeric_limits<std::uint64_t>::max());
  }
  static void get(const json& from, std::string& to) {
    requireText(from);
    to = from.get_ref<const std::string&>();
  }
  static void get(const json& from, Epoch& to) { to.value = unsignedFrom(from, kHighestCount); }
  static void get(const json& from, Address& to) {
    get(from, to.value);
    require(!to.value.empty(), "is no address");
    require(to.value.size() <= kLongestAddress, "is too long for an address");
  }
  static void get(const json& from, std::vector<std::uint8_t>& to) {
    requireText(from);
    auto bytes = fromBase64(from.get_ref<const std::string&>());
    require(bytes.has_value(), "is no base64");
    to = *std::move(bytes);
  }
  static void get(const json& from, KeyPrint& to) {
    requireText(from);
    const auto print = printFrom(from.get_ref<const std::string&>());
    require(print.has_value(), "is no print of a key");
    to = *print;
  }
  static void get(const json& from, ItemKey& to) {
    requireText(from);
    auto key = keyOf(from.get_ref<const std::string&>());
    require(key.has_value(), "is no item's name");
    to = *std::move(key);
  }
  /// The versions that a process holds, as Items::beyond() reads them.
  static void get(const json& from, json& to) {
    require(from.is_object(), "is no object");
    for (const json& version : from) {
      std::pair<std::uint64_t, std::uint64_t> generationAndPrint;
      get(version, generationAndPrint);
    }
    to = from;
  }
  static void get(const json& from, Item& to) {
    require(from.is_object(), "is no item");
    get(memberOf(from, "k"), to.key);
    get(memberOf(from, "g"), to.generation);
    if (from.contains("p")) get(from["p"], to.print);
    to.dropped = !from.contains("v");
    if (to.dropped) return;
    if (from.contains("h")) get(from["h"], to.hostname);
    // Before it is copied, which a value nested very deep would not survive.
    if (const std::string fault = faultOf(to.key.kind, from["v"]); !fault.empty())
      throw Refusal("holds " + textOf(to.key) + ", which " + fault);
    to.value = from["v"];
    if (to.key.kind == ItemKind::voters) getVoters(to);
  }
  static void get(const json& from, OrderPtr& to) {
    std::vector<Item> items;
    get(from, items);
    require(!items.empty(), "is an order of nothing");
    to = makeOrder(std::move(items));
  }
  static void get(const json& from, News& to) {
    requireArray(from, kNewsFields);
    for (std::size_t text = 0; text < 5; ++text) requireText(from[text]);
    for (std::size_t number = 5; number < 7; ++number) {
      std::uint64_t lifeOrSequence = 0;
      get(from[number], lifeOrSequence);
    }
    std::uint32_t capacity = 0;
    get(from[7], capacity);
    unsignedFrom(from[8], kMostNewsFlags);
    const std::int64_t coldLeft = signedFrom(from[9]);
    require(coldLeft >= -kLongestColdTime && coldLeft <= kLongestColdTime, "has too long a cold time");
    to = newsFrom(from);
  }
  template <class Tag, class Value>
  static void get(const json& from, Id<Tag, Value>& to) {
    get(from, to.value);
  }
  template <class T>
  static void get(const json& from, std::optional<T>& to) {
    to.reset();
    if (!from.is_null()) get(from, to.emplace());
  }
  template <class First, class Second>
  static void get(const json& from, std::pair<First, Second>& to) {
    requireArray(from, 2);
    get(from[0], to.first);
    get(from[1], to.second);
  }
  template <class T>
  static void get(const json& from, std::vector<T>& to) {
    require(from.is_array(), "is no list");
    require(from.size() <= kMostEntries, "is too long");
    to.clear();
    to.reserve(from.size());
    for (const json& entry : from) get(entry, to.emplace_back());
  }
  template <LaidAsArray T>
  static void get(const json& from, T& to) {
    constexpr auto& positions = Layout<T>::positions;
    requireArray(from, std::tuple_size_v<std::remove_cvref_t<decltype(positions)>>);
    std::size_t place = 0;
    std::apply([&](auto... member) { (get(from[place++], to.*member), ...); }, positions);
    check(to);
  }
  template <LaidAsObject T>
  static void get(const json& from, T& to) {
    require(from.is_object(), "is no object");
    std::apply([&](auto... each) { (getField(from, each.name, each.required, to.*each.member), ...); },
               Layout<T>::fields);
    check(to);
  }

 private:
  template <class T>
  static void getField(const json& from, const char* name, bool required, T& to) try {
    if (!required && !from.contains(name)) return;
    get(memberOf(from, name), to);
  } catch (const Refusal& refusal) {
    throw Refusal(std::string(name) + ' ' + refusal.what());
  }

  /// A set of voters that is agreed on like any item: its epoch is the item's version.
  static void getVoters(const Item& item) {
    VoterSet set;
    get(item.value, set);
    require(set.epoch.value == item.generation.value && set.epoch.value > 0,
            "holds a set of voters of another epoch than its version");
  }

  // What must hold between the fields of one value.
  template <class T>
  static void check(const T&) {}
  static void check(const Ballot& ballot) { require(ballot.round <= kHighestCount, "has too high a round"); }
  static void check(const ItemsReply& reply) {
    require(reply.parts <= kMostEntries && reply.part < reply.parts, "is a part that there can't be");
  }
  static void check(const VoterSet& set) {
    const bool sizesFit = set.voters.size() <= kMostVoters && set.previousSize <= kMostVoters &&
                          set.foundingSize <= kMostVoters;
    require(sizesFit, "has too many voters");
    require(set.epoch.value == 0 || !set.voters.empty(), "has no voters");
    const auto sameOrLater = [](const VoterId& a, const VoterId& b) { return a.at >= b.at; };
    const bool inOrder =
        std::adjacent_find(set.voters.begin(), set.voters.end(), sameOrLater) == set.voters.end();
    require(inOrder, "has its voters out of order, or two at one address");
    require(set.readers.size() <= set.voters.size(), "has more readers than voters");
    const bool allVote = std::all_of(set.readers.begin(), set.readers.end(),
                                     [&](const VoterId& reader) { return set.contains(reader); });
    require(allVote, "has a reader that is no voter");
  }
};

template <class T>
Message read(const json& text) {
  T message;
  Reader::get(text, message);
  return message;
}

struct Kind {
  std::string_view name;
  Message (*read)(const json& text);
};

template <class... T>
constexpr auto kindsOf(std::type_identity<std::variant<T...>>) {
  return std::array<Kind, sizeof...(T)>{Kind{Layout<T>::kind, &read<T>}...};
}
/// In the order of Message's alternatives.
constexpr auto kKinds = kindsOf(std::type_identity<Message>{});

}  // namespace

std::string encode(const Message& message) {
  Writer writer;
  std::visit([&](const auto& each) { writer.put(each); }, message);
  return writer.take();
}

Result<Message> decode(const json& text) {
  if (!text.is_object()) return failure("message", "is no object");
  const auto name = text.find("t");
  if (name == text.end() || !name->is_string()) return failure("message", "is of no kind");
  const auto& wanted = name->get_ref<const std::string&>();
  const auto kind =
      std::find_if(kKinds.begin(), kKinds.end(), [&](const Kind& each) { return each.name == wanted; });
  if (kind == kKinds.end()) return failure("message", "is of an unknown kind");
  // Guards against whatever a damaged or foreign process sends: nothing of it is taken.
  try {
    return kind->read(text);
  } catch (const json::exception& error) {
    return failure("message", wanted + ": " + error.what());
  }
}

std::vector<std::shared_ptr<const std::string>> itemsReplies(const ItemsReply& head,
                                                             const std::vector<Item>& items) {
  const std::size_t parts = std::max<std::size_t>(1, (items.size() + kItemsAMessage - 1) / kItemsAMessage);
  std::vector<std::shared_ptr<const std::string>> texts;
  texts.reserve(parts);
  ItemsReply reply = head;
  reply.items.clear();
  reply.parts = parts;
  for (std::size_t part = 0; part < parts; ++part) {
    reply.part = part;
    const std::size_t first = part * kItemsAMessage;
    const std::size_t count = std::min(kItemsAMessage, items.size() - first);
    Writer writer;
    writer.put(reply);
    writer.takeBack("[]}");
    writer.putList(std::span<const Item>(items).subspan(first, count));
    writer.append("}");
    texts.push_back(std::make_shared<const std::string>(writer.take()));
  }
  return texts;
}

std::string_view kindOf(const Message& message) { return kKinds[message.index()].name; }

json toJson(const VoterSet& set) {
  Writer writer;
  writer.put(set);
  return json::parse(writer.take());
}

VoterSet voterSetFrom(const json& from) {
  VoterSet set;
  Reader::get(from, set);
  return set;
}

}  // namespace rackroute::mesh
