#pragma once

// What members of a fleet say of each other: the words, and which of two words holds. No I/O, no time.

#include <compare>
#include <cstdint>
#include <memory>
#include <string>
#include <string_view>
#include <tuple>
#include <vector>

#include "rackroute/types.hpp"

namespace rackroute::fleet {

/// A member by its name, the same at every other; none: 0.
using MemberId = Id<struct MemberTag, std::uint64_t>;

/// FNV-1a of the name, 64 bits.
[[nodiscard]] constexpr MemberId memberId(std::string_view name) {
  std::uint64_t value = 0xcbf29ce484222325U;
  for (const char c : name) value = (value ^ static_cast<unsigned char>(c)) * 0x100000001b3U;
  return {value == 0 ? 1 : value};
}

/// What names, zones and addresses are made of: printable ASCII, no spaces, nothing that JSON or a log line
/// quotes.
[[nodiscard]] constexpr bool isPlain(char c) { return c > ' ' && c <= '~' && c != '"' && c != '\\'; }

/// What does not change in a member's life.
struct Card {
  std::string name;
  std::string address;  // where others reach it, "127.0.0.1:7946"
  std::string zone;
};
using CardPtr = std::shared_ptr<const Card>;

/// Which start of a name, and how often that start had to speak up against talk of its death.
struct Life {
  std::uint64_t start = 0;  // ms since 1970 by its own clock, moved past any earlier start that others know
  std::uint32_t incarnation = 0;
  auto operator<=>(const Life&) const = default;
};

/// In the order in which they outrank each other within one life and incarnation.
enum class State : std::uint8_t { alive, suspect, dead, left };
[[nodiscard]] std::string_view nameOf(State state);

/// One member's state as somebody tells it.
struct Word {
  CardPtr card;
  MemberId id;
  Life life;
  State state = State::alive;
  Span age{};     // how long it has been dead, or gone
  MemberId from;  // who suspects it
};

/// Whether the first word outranks the second; the same words in any order, doubled or lost, so lead to the
/// same.
[[nodiscard]] inline bool outranks(const Life& life, State state, const Life& held, State heldState) {
  return std::tie(life, state) > std::tie(held, heldState);
}

/// Bytes that it takes in a message, rather more than less.
[[nodiscard]] inline std::size_t sizeOf(const Word& word) {
  constexpr std::size_t kFields = 48;  // numbers, keys and lengths, each at its longest
  return word.card->name.size() + word.card->address.size() + word.card->zone.size() + kFields;
}

enum class Hearing : std::uint8_t { whole, partial, alone };
[[nodiscard]] std::string_view nameOf(Hearing hearing);

enum class Kind : std::uint8_t { ping, ack, ask, nack, news };

/// One datagram between members.
struct Message {
  Kind kind = Kind::news;
  std::uint32_t number = 0;  // of the probe that it belongs to
  MemberId about;            // ping: who is meant (none: whoever is there); ask, ack, nack: who is probed
  Word self;                 // the sender
  std::uint64_t digest = 0;  // of the sender's view
  std::vector<Word> words;
};

/// A view falls into parts by its members' ids; two that exchange views tell only the parts that differ.
inline constexpr std::size_t kParts = 64;
[[nodiscard]] constexpr std::size_t partOf(MemberId id) { return id.value >> 58U; }
/// What each part holds, as a digest. Empty: not told, and so all is to be told.
using Marks = std::vector<std::uint64_t>;

/// A view, as members exchange it over a connection.
struct Whole {
  Word self;
  std::uint64_t digest = 0;
  std::vector<Word> words;
  Marks marks;  // of the view that the words are from
};

}  // namespace rackroute::fleet
