#pragma once

// Decodes messages and their parts from JSON. Input from another process is untrusted: the type, the bounds
// and the consistency between fields are checked for each value before it is copied.

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

/// Maximum number of list entries. The session limits the size of a message; this limits the memory it can
/// expand to.
inline constexpr std::size_t kMaxEntries = 1'000'000;
/// Maximum size of a voter set and of the list of founders; well above the supported number of voters.
inline constexpr std::size_t kMaxVoters = 64;
/// Maximum length of an address in bytes.
inline constexpr std::size_t kMaxAddressLength = 256;
/// Maximum epoch and round. Both increase in steps of one; a higher value from a corrupt message would exceed
/// all later ones.
inline constexpr std::uint64_t kMaxCounter = std::uint64_t{1} << 62;
/// Maximum magnitude of a server's cold time in milliseconds, so that it can be represented in microseconds.
inline constexpr std::int64_t kMaxColdTimeMs = std::numeric_limits<std::int64_t>::max() / 1000;
inline constexpr std::size_t kNewsFieldCount = 10;
inline constexpr unsigned kMaxNewsFlags = 15;

/// Describes why a message was rejected. Not thrown outside messages.cpp, except by voterSetFrom.
class DecodeError : public json::exception {
 public:
  explicit DecodeError(const std::string& what) : json::exception(kId, what.c_str()) {}

 private:
  static constexpr int kId = 900;  // not used by nlohmann::json
};

inline void require(bool condition, const char* what) {
  if (!condition) throw DecodeError(what);
}

inline std::uint64_t unsignedFrom(const json& from, std::uint64_t highest) {
  if (from.is_number_unsigned()) {
    const auto value = from.get<std::uint64_t>();
    require(value <= highest, "is too large");
    return value;
  }
  require(from.is_number_integer(), "is not an integer");
  const auto value = from.get<std::int64_t>();
  require(value >= 0, "is negative");
  require(static_cast<std::uint64_t>(value) <= highest, "is too large");
  return static_cast<std::uint64_t>(value);
}

inline std::int64_t signedFrom(const json& from) {
  require(from.is_number_integer(), "is not an integer");
  const bool fits = !from.is_number_unsigned() ||
                    from.get<std::uint64_t>() <= std::uint64_t{std::numeric_limits<std::int64_t>::max()};
  require(fits, "is too large");
  return from.get<std::int64_t>();
}

inline void requireString(const json& from) { require(from.is_string(), "is not a string"); }

inline void requireArray(const json& from, std::size_t entries) {
  require(from.is_array() && from.size() == entries, "is not an array of the expected length");
}

inline const json& memberOf(const json& from, const char* name) {
  const auto found = from.find(name);
  require(found != from.end(), "is missing");
  return *found;
}

/// Decodes values from JSON; throws DecodeError for invalid input.
class Reader {
 public:
  static void get(const json& from, bool& to) {
    require(from.is_boolean(), "is not a boolean");
    to = from.get<bool>();
  }
  static void get(const json& from, std::uint32_t& to) {
    to = static_cast<std::uint32_t>(unsignedFrom(from, std::numeric_limits<std::uint32_t>::max()));
  }
  static void get(const json& from, std::uint64_t& to) {
    to = unsignedFrom(from, std::numeric_limits<std::uint64_t>::max());
  }
  static void get(const json& from, std::string& to) {
    requireString(from);
    to = from.get_ref<const std::string&>();
  }
  static void get(const json& from, Epoch& to) { to.value = unsignedFrom(from, kMaxCounter); }
  static void get(const json& from, Address& to) {
    get(from, to.value);
    require(!to.value.empty(), "is empty");
    require(to.value.size() <= kMaxAddressLength, "exceeds the maximum length of an address");
  }
  static void get(const json& from, std::vector<std::uint8_t>& to) {
    requireString(from);
    auto bytes = fromBase64(from.get_ref<const std::string&>());
    require(bytes.has_value(), "is not valid base64");
    to = *std::move(bytes);
  }
  static void get(const json& from, KeyHash& to) {
    requireString(from);
    const auto hash = keyHashFrom(from.get_ref<const std::string&>());
    require(hash.has_value(), "is not a key hash");
    to = *hash;
  }
  static void get(const json& from, ItemKey& to) {
    requireString(from);
    auto key = keyOf(from.get_ref<const std::string&>());
    require(key.has_value(), "is not an item name");
    to = *std::move(key);
  }
  /// Item versions as read by Items::beyond().
  static void get(const json& from, json& to) {
    require(from.is_object(), "is not an object");
    for (const json& version : from) {
      std::pair<std::uint64_t, std::uint64_t> generationAndHash;
      get(version, generationAndHash);
    }
    to = from;
  }
  static void get(const json& from, Item& to) {
    require(from.is_object(), "is not an item");
    get(memberOf(from, "k"), to.key);
    get(memberOf(from, "g"), to.generation);
    if (from.contains("p")) get(from["p"], to.hash);
    to.dropped = !from.contains("v");
    if (to.dropped) return;
    if (from.contains("h")) get(from["h"], to.hostname);
    // Checked before the copy, which could exhaust the stack for a deeply nested value.
    if (const std::string fault = validateItem(to.key.kind, from["v"]); !fault.empty())
      throw DecodeError("contains " + textOf(to.key) + ", which " + fault);
    to.value = from["v"];
    if (to.key.kind == ItemKind::voters) getVoters(to);
  }
  static void get(const json& from, OrderPtr& to) {
    std::vector<Item> items;
    get(from, items);
    require(!items.empty(), "is an empty order");
    to = makeOrder(std::move(items));
  }
  static void get(const json& from, ServerStatus& to) {
    requireArray(from, kNewsFieldCount);
    for (std::size_t text = 0; text < 5; ++text) requireString(from[text]);
    for (std::size_t number = 5; number < 7; ++number) {
      std::uint64_t lifeOrSequence = 0;
      get(from[number], lifeOrSequence);
    }
    std::uint32_t capacity = 0;
    get(from[7], capacity);
    unsignedFrom(from[8], kMaxNewsFlags);
    const std::int64_t coldLeft = signedFrom(from[9]);
    require(coldLeft >= -kMaxColdTimeMs && coldLeft <= kMaxColdTimeMs, "has a cold time out of range");
    to = serverStatusFrom(from);
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
    require(from.is_array(), "is not a list");
    require(from.size() <= kMaxEntries, "is too long");
    to.clear();
    to.reserve(from.size());
    for (const json& entry : from) get(entry, to.emplace_back());
  }
  template <ArrayLayout T>
  static void get(const json& from, T& to) {
    constexpr auto& elements = Layout<T>::elements;
    requireArray(from, std::tuple_size_v<std::remove_cvref_t<decltype(elements)>>);
    std::size_t index = 0;
    std::apply([&](auto... member) { (get(from[index++], to.*member), ...); }, elements);
    check(to);
  }
  template <ObjectLayout T>
  static void get(const json& from, T& to) {
    require(from.is_object(), "is not an object");
    std::apply([&](auto... each) { (getField(from, each.name, each.required, to.*each.member), ...); },
               Layout<T>::fields);
    check(to);
  }

 private:
  template <class T>
  static void getField(const json& from, const char* name, bool required, T& to) try {
    if (!required && !from.contains(name)) return;
    get(memberOf(from, name), to);
  } catch (const DecodeError& error) {
    throw DecodeError(std::string(name) + ' ' + error.what());
  }

  /// A voter set item: its epoch must equal the item's version.
  static void getVoters(const Item& item) {
    VoterSet set;
    get(item.value, set);
    require(set.epoch.value == item.generation.value && set.epoch.value > 0,
            "contains a voter set whose epoch differs from the item version");
  }

  // Consistency checks between the fields of a value.
  template <class T>
  static void check(const T&) {}
  static void check(const Ballot& ballot) {
    require(ballot.round <= kMaxCounter, "has a round that is too high");
  }
  static void check(const ItemsReply& reply) {
    require(reply.parts <= kMaxEntries && reply.part < reply.parts, "has an invalid part number");
  }
  static void check(const VoterSet& set) {
    const bool sizesFit =
        set.voters.size() <= kMaxVoters && set.previousSize <= kMaxVoters && set.foundingSize <= kMaxVoters;
    require(sizesFit, "has too many voters");
    require(set.epoch.value == 0 || !set.voters.empty(), "has no voters");
    const auto sameOrLater = [](const VoterId& a, const VoterId& b) { return a.at >= b.at; };
    const bool inOrder =
        std::adjacent_find(set.voters.begin(), set.voters.end(), sameOrLater) == set.voters.end();
    require(inOrder, "has unsorted voters or duplicate addresses");
    require(set.readers.size() <= set.voters.size(), "has more readers than voters");
    const bool allVote = std::all_of(set.readers.begin(), set.readers.end(),
                                     [&](const VoterId& reader) { return set.contains(reader); });
    require(allVote, "has a reader that is not a voter");
  }
};

}  // namespace rackroute::mesh::codec
