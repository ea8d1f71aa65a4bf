#include "fleet/wire.hpp"

#include <Poco/Checksum.h>

#include <chrono>
#include <limits>
#include <msgpack.hpp>
#include <utility>

namespace rackroute::fleet {
namespace {

// Keys of the outer map, and of a word's.
enum : std::uint8_t { kVersionKey, kFleet, kKind, kNumber, kAbout, kSelf, kDigest, kWords, kMarks };
enum : std::uint8_t { kName, kAddress, kZone, kStart, kIncarnation, kState, kAge, kFrom };

constexpr std::size_t kMostWords = 20000;                         // in a whole view
constexpr std::size_t kMostFields = 64;                           // of one map; a later version's too
constexpr std::size_t kLongestText = 64;                          // bytes; of names, zones and addresses
constexpr std::size_t kDeepest = 8;                               // maps within maps
constexpr std::uint64_t kLongestAge = 1000ULL * 3600 * 24 * 365;  // ms

using Buffer = msgpack::sbuffer;
using Packer = msgpack::packer<Buffer>;

void pack(Packer& packer, const Word& word) {
  const bool gone = word.state == State::dead || word.state == State::left;
  const bool accused = word.state == State::suspect;
  packer.pack_map(6U + (gone ? 1U : 0U) + (accused ? 1U : 0U));
  packer.pack(std::uint8_t{kName}).pack(word.card->name);
  packer.pack(std::uint8_t{kAddress}).pack(word.card->address);
  packer.pack(std::uint8_t{kZone}).pack(word.card->zone);
  packer.pack(std::uint8_t{kStart}).pack(word.life.start);
  packer.pack(std::uint8_t{kIncarnation}).pack(word.life.incarnation);
  packer.pack(std::uint8_t{kState}).pack(static_cast<std::uint8_t>(word.state));
  if (gone) {
    const auto age = std::chrono::duration_cast<std::chrono::milliseconds>(word.age).count();
    packer.pack(std::uint8_t{kAge}).pack(static_cast<std::uint64_t>(std::max<std::int64_t>(age, 0)));
  }
  if (accused) packer.pack(std::uint8_t{kFrom}).pack(word.from.value);
}

struct Absurd {};

std::uint64_t number(const msgpack::object& object, std::uint64_t most) {
  if (object.type != msgpack::type::POSITIVE_INTEGER) throw msgpack::type_error();
  if (object.via.u64 > most) throw Absurd{};
  return object.via.u64;
}

std::string text(const msgpack::object& object) {
  if (object.type != msgpack::type::STR) throw msgpack::type_error();
  if (object.via.str.size > kLongestText) throw Absurd{};
  // Guards against names that spoil a log line or the door's JSON.
  for (std::uint32_t i = 0; i < object.via.str.size; ++i) {
    if (!isPlain(object.via.str.ptr[i])) throw Absurd{};
  }
  return {object.via.str.ptr, object.via.str.size};
}

std::string checksum(std::string_view body) {
  Poco::Checksum sum(Poco::Checksum::TYPE_CRC32);
  sum.update(body.data(), static_cast<unsigned>(body.size()));
  std::string bytes;
  for (unsigned shift = 0; shift < 32; shift += 8)
    bytes += static_cast<char>(sum.checksum() >> shift & 0xffU);
  return bytes;
}

/// Calls back with each key and its value; keys that are no small numbers belong to later versions.
template <class Field>
void eachField(const msgpack::object& object, Field field) {
  if (object.type != msgpack::type::MAP) throw msgpack::type_error();
  for (std::uint32_t i = 0; i < object.via.map.size; ++i) {
    const auto& pair = object.via.map.ptr[i];
    if (pair.key.type == msgpack::type::POSITIVE_INTEGER) field(pair.key.via.u64, pair.val);
  }
}

Word readWord(const msgpack::object& object) {
  Word word;
  Card card;
  std::uint32_t seen = 0;
  eachField(object, [&](std::uint64_t key, const msgpack::object& value) {
    if (key <= kState) seen |= 1U << key;
    switch (key) {
      case kName:
        card.name = text(value);
        break;
      case kAddress:
        card.address = text(value);
        break;
      case kZone:
        card.zone = text(value);
        break;
      case kStart:
        word.life.start = number(value, std::numeric_limits<std::uint64_t>::max());
        break;
      case kIncarnation:
        word.life.incarnation =
            static_cast<std::uint32_t>(number(value, std::numeric_limits<std::uint32_t>::max()));
        break;
      case kState:
        word.state = static_cast<State>(number(value, static_cast<std::uint64_t>(State::left)));
        break;
      case kAge:
        word.age = std::chrono::milliseconds(number(value, kLongestAge));
        break;
      case kFrom:
        word.from.value = number(value, std::numeric_limits<std::uint64_t>::max());
        break;
      default:
        break;
    }
  });
  if (seen != (2U << kState) - 1) throw msgpack::type_error();
  if (card.name.empty() || card.address.empty()) throw Absurd{};
  word.id = memberId(card.name);
  word.card = std::make_shared<const Card>(std::move(card));
  return word;
}

Marks readMarks(const msgpack::object& object) {
  if (object.type != msgpack::type::ARRAY) throw msgpack::type_error();
  if (object.via.array.size != kParts) throw Absurd{};
  Marks marks;
  for (std::uint32_t i = 0; i < object.via.array.size; ++i)
    marks.push_back(number(object.via.array.ptr[i], std::numeric_limits<std::uint64_t>::max()));
  return marks;
}

/// What a message and a whole view have in common, read into a message.
Refusal read(const std::string& fleet, std::string_view whole, std::size_t mostWords, Message& made,
             Marks* marks = nullptr) {
  // Guards against bytes changed on the way, which might still read as words: a name, an incarnation, a later
  // start.
  if (whole.size() < kSeal) return Refusal::garbled;
  const std::string_view bytes = whole.substr(kSeal);
  if (whole.substr(0, kSeal) != checksum(bytes)) return Refusal::garbled;
  try {
    std::size_t end = 0;
    const auto handle = msgpack::unpack(
        bytes.data(), bytes.size(), end, nullptr, nullptr,
        msgpack::unpack_limit(mostWords, kMostFields, bytes.size(), bytes.size(), bytes.size(), kDeepest));
    if (end != bytes.size()) return Refusal::garbled;
    std::uint64_t version = 0;
    std::string name;
    std::uint32_t seen = 0;
    const msgpack::object* self = nullptr;
    const msgpack::object* words = nullptr;
    eachField(handle.get(), [&](std::uint64_t key, const msgpack::object& value) {
      if (key <= kWords) seen |= 1U << key;
      switch (key) {
        case kVersionKey:
          version = number(value, std::numeric_limits<std::uint32_t>::max());
          break;
        case kFleet:
          name = text(value);
          break;
        case kKind:
          made.kind = static_cast<Kind>(number(value, static_cast<std::uint64_t>(Kind::news)));
          break;
        case kNumber:
          made.number = static_cast<std::uint32_t>(number(value, std::numeric_limits<std::uint32_t>::max()));
          break;
        case kAbout:
          made.about.value = number(value, std::numeric_limits<std::uint64_t>::max());
          break;
        case kSelf:
          self = &value;
          break;
        case kDigest:
          made.digest = number(value, std::numeric_limits<std::uint64_t>::max());
          break;
        case kWords:
          words = &value;
          break;
        case kMarks:
          if (marks != nullptr) *marks = readMarks(value);
          break;
        default:
          break;
      }
    });
    if (seen != (2U << kWords) - 1)
      return version != 0 && version != kVersion ? Refusal::version : Refusal::garbled;
    if (version != kVersion) return Refusal::version;
    if (name != fleet) return Refusal::otherFleet;
    made.self = readWord(*self);
    if (words->type != msgpack::type::ARRAY) return Refusal::garbled;
    made.words.reserve(words->via.array.size);
    for (std::uint32_t i = 0; i < words->via.array.size; ++i)
      made.words.push_back(readWord(words->via.array.ptr[i]));
    return Refusal::none;
  } catch (const Absurd&) {
    return Refusal::absurd;
  } catch (const msgpack::size_overflow&) {
    return Refusal::absurd;
  } catch (const std::exception&) {  // what msgpack throws has no other common base
    return Refusal::garbled;
  }
}

void packOuter(Packer& packer, const std::string& fleet, Kind kind, std::uint32_t number, MemberId about,
               const Word& self, std::uint64_t digest, bool marked = false) {
  packer.pack_map(marked ? 9 : 8);
  packer.pack(std::uint8_t{kVersionKey}).pack(kVersion);
  packer.pack(std::uint8_t{kFleet}).pack(fleet);
  packer.pack(std::uint8_t{kKind}).pack(static_cast<std::uint8_t>(kind));
  packer.pack(std::uint8_t{kNumber}).pack(number);
  packer.pack(std::uint8_t{kAbout}).pack(about.value);
  packer.pack(std::uint8_t{kDigest}).pack(digest);
  packer.pack(std::uint8_t{kSelf});
  pack(packer, self);
  packer.pack(std::uint8_t{kWords});
}

}  // namespace

std::string_view nameOf(Refusal refusal) {
  constexpr std::array<std::string_view, kRefusals> kNames = {"none", "garbled", "version", "other_fleet",
                                                              "absurd"};
  return kNames.at(static_cast<std::size_t>(refusal));
}

std::string sealed(std::string_view body) { return checksum(body).append(body); }

std::string encode(const std::string& fleet, const Message& message) {
  constexpr std::size_t kArrayHead = 3;  // bytes at most
  Buffer head;
  Packer outer(head);
  packOuter(outer, fleet, message.kind, message.number, message.about, message.self, message.digest);
  Buffer body;
  Packer inner(body);
  std::uint32_t words = 0;
  std::size_t whole = 0;
  for (const Word& word : message.words) {
    pack(inner, word);
    if (kSeal + head.size() + kArrayHead + body.size() > kLongestDatagram) break;
    whole = body.size();
    ++words;
  }
  outer.pack_array(words);
  std::string bytes(head.data(), head.size());
  return sealed(bytes.append(body.data() == nullptr ? "" : body.data(), whole));
}

std::string encode(const std::string& fleet, const Whole& whole) {
  Buffer bytes;
  Packer packer(bytes);
  const bool marked = !whole.marks.empty();
  packOuter(packer, fleet, Kind::news, 0, {}, whole.self, whole.digest, marked);
  packer.pack_array(static_cast<std::uint32_t>(whole.words.size()));
  for (const Word& word : whole.words) pack(packer, word);
  if (marked) packer.pack(std::uint8_t{kMarks}).pack(whole.marks);
  return sealed({bytes.data(), bytes.size()});
}

Refusal decode(const std::string& fleet, std::string_view bytes, Message& message) {
  Message made;
  const Refusal refusal =
      bytes.size() > kLongestDatagram ? Refusal::absurd : read(fleet, bytes, kLongestDatagram, made);
  if (refusal == Refusal::none) message = std::move(made);
  return refusal;
}

Refusal decode(const std::string& fleet, std::string_view bytes, Whole& whole) {
  Message made;
  Marks marks;
  const Refusal refusal =
      bytes.size() > kLongestWhole ? Refusal::absurd : read(fleet, bytes, kMostWords, made, &marks);
  if (refusal == Refusal::none) whole = {made.self, made.digest, std::move(made.words), std::move(marks)};
  return refusal;
}

}  // namespace rackroute::fleet
