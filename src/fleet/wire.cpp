#include "fleet/wire.hpp"

#include <Poco/Checksum.h>

#include <chrono>
#include <limits>
#include <msgpack.hpp>
#include <utility>

namespace rackroute::fleet {
namespace {

// Map keys of a message, and of an update within it.
enum : std::uint8_t {
  kVersionKey,
  kFleet,
  kKind,
  kProbeNumber,
  kSubject,
  kSelf,
  kDigest,
  kUpdates,
  kBucketDigests
};
enum : std::uint8_t { kName, kAddress, kZone, kStart, kIncarnation, kState, kAge, kAccuser };

constexpr std::size_t kMaxUpdates = 20000;  // in a view message
constexpr std::size_t kMaxFields = 64;      // in a map, including unknown fields of later versions
constexpr std::size_t kMaxTextBytes = 64;   // of names, zones and addresses
constexpr std::size_t kMaxDepth = 8;        // nesting levels
constexpr std::uint64_t kMaxAge = 1000ULL * 3600 * 24 * 365;  // ms

using Buffer = msgpack::sbuffer;
using Packer = msgpack::packer<Buffer>;

void pack(Packer& packer, const MemberUpdate& update) {
  const bool ended = update.state == State::dead || update.state == State::left;
  const bool suspected = update.state == State::suspect;
  packer.pack_map(6U + (ended ? 1U : 0U) + (suspected ? 1U : 0U));
  packer.pack(std::uint8_t{kName}).pack(update.info->name);
  packer.pack(std::uint8_t{kAddress}).pack(update.info->address);
  packer.pack(std::uint8_t{kZone}).pack(update.info->zone);
  packer.pack(std::uint8_t{kStart}).pack(update.version.start);
  packer.pack(std::uint8_t{kIncarnation}).pack(update.version.incarnation);
  packer.pack(std::uint8_t{kState}).pack(static_cast<std::uint8_t>(update.state));
  if (ended) {
    const auto age = std::chrono::duration_cast<std::chrono::milliseconds>(update.age).count();
    packer.pack(std::uint8_t{kAge}).pack(static_cast<std::uint64_t>(std::max<std::int64_t>(age, 0)));
  }
  if (suspected) packer.pack(std::uint8_t{kAccuser}).pack(update.accuser.value);
}

/// Thrown for a well-formed value outside its bounds.
struct OutOfRange {};

std::uint64_t number(const msgpack::object& object, std::uint64_t max) {
  if (object.type != msgpack::type::POSITIVE_INTEGER) throw msgpack::type_error();
  if (object.via.u64 > max) throw OutOfRange{};
  return object.via.u64;
}

std::string text(const msgpack::object& object) {
  if (object.type != msgpack::type::STR) throw msgpack::type_error();
  if (object.via.str.size > kMaxTextBytes) throw OutOfRange{};
  // Rejects characters that would have to be escaped in log lines and in JSON output.
  for (std::uint32_t i = 0; i < object.via.str.size; ++i) {
    if (!isPlain(object.via.str.ptr[i])) throw OutOfRange{};
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

/// Calls field(key, value) for each entry of a map; skips keys that are not integers, which later versions
/// may add.
template <class Field>
void forEachField(const msgpack::object& object, Field field) {
  if (object.type != msgpack::type::MAP) throw msgpack::type_error();
  for (std::uint32_t i = 0; i < object.via.map.size; ++i) {
    const auto& pair = object.via.map.ptr[i];
    if (pair.key.type == msgpack::type::POSITIVE_INTEGER) field(pair.key.via.u64, pair.val);
  }
}

MemberUpdate parseUpdate(const msgpack::object& object) {
  MemberUpdate update;
  MemberInfo info;
  std::uint32_t seen = 0;
  forEachField(object, [&](std::uint64_t key, const msgpack::object& value) {
    if (key <= kState) seen |= 1U << key;
    switch (key) {
      case kName:
        info.name = text(value);
        break;
      case kAddress:
        info.address = text(value);
        break;
      case kZone:
        info.zone = text(value);
        break;
      case kStart:
        update.version.start = number(value, std::numeric_limits<std::uint64_t>::max());
        break;
      case kIncarnation:
        update.version.incarnation =
            static_cast<std::uint32_t>(number(value, std::numeric_limits<std::uint32_t>::max()));
        break;
      case kState:
        update.state = static_cast<State>(number(value, static_cast<std::uint64_t>(State::left)));
        break;
      case kAge:
        update.age = std::chrono::milliseconds(number(value, kMaxAge));
        break;
      case kAccuser:
        update.accuser.value = number(value, std::numeric_limits<std::uint64_t>::max());
        break;
      default:
        break;
    }
  });
  if (seen != (2U << kState) - 1) throw msgpack::type_error();
  if (info.name.empty() || info.address.empty()) throw OutOfRange{};
  update.id = memberId(info.name);
  update.info = std::make_shared<const MemberInfo>(std::move(info));
  return update;
}

BucketDigests parseBucketDigests(const msgpack::object& object) {
  if (object.type != msgpack::type::ARRAY) throw msgpack::type_error();
  if (object.via.array.size != kDigestBuckets) throw OutOfRange{};
  BucketDigests bucketDigests;
  for (std::uint32_t i = 0; i < object.via.array.size; ++i)
    bucketDigests.push_back(number(object.via.array.ptr[i], std::numeric_limits<std::uint64_t>::max()));
  return bucketDigests;
}

/// Decodes the parts that Message and ViewMessage have in common.
DecodeError read(const std::string& fleet, std::string_view datagram, std::size_t maxUpdates,
                 Message& message, BucketDigests* bucketDigests = nullptr) {
  // Corrupted bytes might still decode, for instance as another name or a later start.
  if (datagram.size() < kChecksumBytes) return DecodeError::corrupt;
  const std::string_view bytes = datagram.substr(kChecksumBytes);
  if (datagram.substr(0, kChecksumBytes) != checksum(bytes)) return DecodeError::corrupt;
  try {
    std::size_t end = 0;
    const auto handle = msgpack::unpack(
        bytes.data(), bytes.size(), end, nullptr, nullptr,
        msgpack::unpack_limit(maxUpdates, kMaxFields, bytes.size(), bytes.size(), bytes.size(), kMaxDepth));
    if (end != bytes.size()) return DecodeError::corrupt;
    std::uint64_t version = 0;
    std::string name;
    std::uint32_t seen = 0;
    const msgpack::object* self = nullptr;
    const msgpack::object* updates = nullptr;
    forEachField(handle.get(), [&](std::uint64_t key, const msgpack::object& value) {
      if (key <= kUpdates) seen |= 1U << key;
      switch (key) {
        case kVersionKey:
          version = number(value, std::numeric_limits<std::uint32_t>::max());
          break;
        case kFleet:
          name = text(value);
          break;
        case kKind:
          message.kind =
              static_cast<MessageKind>(number(value, static_cast<std::uint64_t>(MessageKind::gossip)));
          break;
        case kProbeNumber:
          message.probeNumber =
              static_cast<std::uint32_t>(number(value, std::numeric_limits<std::uint32_t>::max()));
          break;
        case kSubject:
          message.subject.value = number(value, std::numeric_limits<std::uint64_t>::max());
          break;
        case kSelf:
          self = &value;
          break;
        case kDigest:
          message.digest = number(value, std::numeric_limits<std::uint64_t>::max());
          break;
        case kUpdates:
          updates = &value;
          break;
        case kBucketDigests:
          if (bucketDigests != nullptr) *bucketDigests = parseBucketDigests(value);
          break;
        default:
          break;
      }
    });
    if (seen != (2U << kUpdates) - 1)
      return version != 0 && version != kWireVersion ? DecodeError::unsupportedVersion : DecodeError::corrupt;
    if (version != kWireVersion) return DecodeError::unsupportedVersion;
    if (name != fleet) return DecodeError::wrongFleet;
    message.self = parseUpdate(*self);
    if (updates->type != msgpack::type::ARRAY) return DecodeError::corrupt;
    message.updates.reserve(updates->via.array.size);
    for (std::uint32_t i = 0; i < updates->via.array.size; ++i)
      message.updates.push_back(parseUpdate(updates->via.array.ptr[i]));
    return DecodeError::none;
  } catch (const OutOfRange&) {
    return DecodeError::outOfRange;
  } catch (const msgpack::size_overflow&) {
    return DecodeError::outOfRange;
  } catch (const std::exception&) {  // msgpack's exceptions have no other common base class
    return DecodeError::corrupt;
  }
}

void packEnvelope(Packer& packer, const std::string& fleet, MessageKind kind, std::uint32_t number,
                  MemberId subject, const MemberUpdate& self, std::uint64_t digest,
                  bool hasBucketDigests = false) {
  packer.pack_map(hasBucketDigests ? 9 : 8);
  packer.pack(std::uint8_t{kVersionKey}).pack(kWireVersion);
  packer.pack(std::uint8_t{kFleet}).pack(fleet);
  packer.pack(std::uint8_t{kKind}).pack(static_cast<std::uint8_t>(kind));
  packer.pack(std::uint8_t{kProbeNumber}).pack(number);
  packer.pack(std::uint8_t{kSubject}).pack(subject.value);
  packer.pack(std::uint8_t{kDigest}).pack(digest);
  packer.pack(std::uint8_t{kSelf});
  pack(packer, self);
  packer.pack(std::uint8_t{kUpdates});
}

}  // namespace

std::string_view nameOf(DecodeError error) {
  constexpr std::array<std::string_view, kDecodeErrors> kNames = {"none", "garbled", "version", "other_fleet",
                                                                  "absurd"};
  return kNames.at(static_cast<std::size_t>(error));
}

std::string withChecksum(std::string_view body) { return checksum(body).append(body); }

std::string encode(const std::string& fleet, const Message& message) {
  constexpr std::size_t kMaxArrayHeader = 3;  // bytes
  Buffer head;
  Packer outer(head);
  packEnvelope(outer, fleet, message.kind, message.probeNumber, message.subject, message.self,
               message.digest);
  Buffer body;
  Packer inner(body);
  std::uint32_t updates = 0;
  std::size_t included = 0;
  for (const MemberUpdate& update : message.updates) {
    pack(inner, update);
    if (kChecksumBytes + head.size() + kMaxArrayHeader + body.size() > kMaxDatagramBytes) break;
    included = body.size();
    ++updates;
  }
  outer.pack_array(updates);
  std::string bytes(head.data(), head.size());
  return withChecksum(bytes.append(body.data() == nullptr ? "" : body.data(), included));
}

std::string encode(const std::string& fleet, const ViewMessage& view) {
  Buffer bytes;
  Packer packer(bytes);
  const bool hasBucketDigests = !view.bucketDigests.empty();
  packEnvelope(packer, fleet, MessageKind::gossip, 0, {}, view.self, view.digest, hasBucketDigests);
  packer.pack_array(static_cast<std::uint32_t>(view.updates.size()));
  for (const MemberUpdate& update : view.updates) pack(packer, update);
  if (hasBucketDigests) packer.pack(std::uint8_t{kBucketDigests}).pack(view.bucketDigests);
  return withChecksum({bytes.data(), bytes.size()});
}

DecodeError decode(const std::string& fleet, std::string_view bytes, Message& message) {
  Message decoded;
  const DecodeError error = bytes.size() > kMaxDatagramBytes ? DecodeError::outOfRange
                                                             : read(fleet, bytes, kMaxDatagramBytes, decoded);
  if (error == DecodeError::none) message = std::move(decoded);
  return error;
}

DecodeError decode(const std::string& fleet, std::string_view bytes, ViewMessage& view) {
  Message message;
  BucketDigests bucketDigests;
  const DecodeError error = bytes.size() > kMaxViewMessageBytes
                                ? DecodeError::outOfRange
                                : read(fleet, bytes, kMaxUpdates, message, &bucketDigests);
  if (error == DecodeError::none)
    view = {message.self, message.digest, std::move(message.updates), std::move(bucketDigests)};
  return error;
}

}  // namespace rackroute::fleet
