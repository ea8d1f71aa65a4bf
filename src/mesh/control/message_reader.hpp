#pragma once

// Reads messages and their parts from JSON. What another process sends may be anything: each value is checked
// for its type, its bounds and what must hold between fields, before it is copied.

#include <algorithm>
#include <cstdint>
#include <limits>
#include <string>
#include <tuple>
#include <type_traits>

#include "mesh/configuration/item_check.hpp"
#include "mesh/control/base64.hpp"
#include "mesh/control/message_layout.hpp"

namespace rackroute::mesh::codec {

using nlohmann::json;

/// Entries of a list. A session bounds the bytes of a message; this bounds what they may become in memory.
inline constexpr std::size_t kMostEntries = 1'000'000;
/// Voters of a set and founders; twelve vote at most, the rest is spare.
inline constexpr std::size_t kMostVoters = 64;
/// Characters of an address.
inline constexpr std::size_t kLongestAddress = 256;
/// Of epochs and rounds, which rise by one. Guards against a damaged message: a higher one would stand above
/// all that follow.
inline constexpr std::uint64_t kHighestCount = std::uint64_t{1} << 62;
/// Of a server's cold time in milliseconds, either way, so that it can be counted in microseconds.
inline constexpr std::int64_t kLongestColdTime = std::numeric_limits<std::int64_t>::max() / 1000;
inline constexpr std::size_t kNewsFields = 10;
inline constexpr unsigned kMostNewsFlags = 15;

/// Why a message is refused; it leaves messages.cpp only as an Error, or as the exception of voterSetFrom.
class Refusal : public json::exception {
 public:
  explicit Refusal(const std::string& what) : json::exception(kId, what.c_str()) {}

 private:
  static constexpr int kId = 900;  // none of the library's own
};

inline void require(bool holds, const char* what) {
  if (!holds) throw Refusal(what);
}

inline std::uint64_t unsignedFrom(const json& from, std::uint64_t highest) {
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

inline std::int64_t signedFrom(const json& from) {
  require(from.is_number_integer(), "is no whole number");
  const bool fits = !from.is_number_unsigned() ||
                    from.get<std::uint64_t>() <= std::uint64_t{std::numeric_limits<std::int64_t>::max()};
  require(fits, "is too large");
  return from.get<std::int64_t>();
}

inline void requireText(const json& from) { require(from.is_string(), "is no text"); }

inline void requireArray(const json& from, std::size_t entries) {
  require(from.is_array() && from.size() == entries, "is no array of that many entries");
}

inline const json& memberOf(const json& from, const char* name) {
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
    if (from.contains("p")) get(from["p"], to.hash);
    to.dropped = !from.contains("v");
    if (to.dropped) return;
    if (from.contains("h")) get(from["h"], to.hostname);
    // Before it is copied, which a value nested very deep would not survive.
    if (const std::string fault = validateItem(to.key.kind, from["v"]); !fault.empty())
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

}  // namespace rackroute::mesh::codec
