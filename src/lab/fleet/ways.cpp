#include "lab/fleet/ways.hpp"

#include <algorithm>

#include "fleet/wire.hpp"

namespace rackroute::lab {

Ways::Ways(const Drill& drill, const Timetable& table, std::uint64_t seed)
    : drill_(drill), table_(table), chance_(chanceOf(seed, Purpose::network)), deaf_(drill.members) {}

bool Ways::applies(std::uint32_t fault, std::uint32_t from, std::uint32_t to) const {
  return table_.who[fault][from] && table_.whom[fault][to];
}

bool Ways::cut(std::uint32_t from, std::uint32_t to) const {
  if (deaf_[to]) return true;
  for (const std::uint32_t fault : lasting_) {
    const FaultKind kind = drill_.faults[fault].kind;
    if (kind == FaultKind::cut && (applies(fault, from, to) || applies(fault, to, from))) return true;
    if (kind == FaultKind::oneWay && applies(fault, from, to)) return true;
  }
  return false;
}

Span Ways::way(std::uint32_t from, std::uint32_t to) {
  const Span mean = from % drill_.zones == to % drill_.zones ? drill_.sameZone : drill_.crossZone;
  return span(seconds(mean) * (1 + drill_.jitter * (2 * fraction(chance_) - 1)));
}

std::vector<Passage> Ways::pass(std::uint32_t from, std::uint32_t to) {
  if (cut(from, to)) return {};
  std::vector<Passage> passages(1, Passage{way(from, to)});
  for (const std::uint32_t no : lasting_) {
    if (!applies(no, from, to)) continue;
    const Fault& fault = drill_.faults[no];
    const bool hit = fault.share >= 1 || fraction(chance_) < fault.share;
    if (!hit) continue;
    switch (fault.kind) {
      case FaultKind::loss:
        return {};
      case FaultKind::delay:
        passages.front().delay += span(seconds(fault.delay) * fraction(chance_));
        break;
      case FaultKind::doubled: {
        Passage again = passages.front();
        again.delay += span(seconds(fault.delay) * fraction(chance_));
        passages.push_back(again);
        break;
      }
      case FaultKind::corrupt:
        passages.front().spoilt = true;
        break;
      case FaultKind::newer:
        for (Passage& passage : passages) passage.newer = true;
        break;
      default:
        break;
    }
  }
  return passages;
}

std::optional<Span> Ways::connects(std::uint32_t from, std::uint32_t to) {
  if (cut(from, to) || cut(to, from)) return std::nullopt;
  return way(from, to);
}

bool Ways::listed(std::uint32_t member) const {
  return std::ranges::none_of(lasting_, [&](std::uint32_t fault) {
    return drill_.faults[fault].kind == FaultKind::noDiscovery && table_.who[fault][member];
  });
}

bool Ways::served(std::uint32_t member, std::uint32_t zone) const {
  return std::ranges::none_of(lasting_, [&](std::uint32_t no) {
    const Fault& fault = drill_.faults[no];
    return fault.kind == FaultKind::noServers && table_.who[no][member] && fault.zone.value_or(zone) == zone;
  });
}

void Ways::spoil(std::string& bytes) {
  if (bytes.empty()) return;
  const auto place = static_cast<std::size_t>(fraction(chance_) * static_cast<double>(bytes.size()));
  bytes[place] = static_cast<char>(bytes[place] ^ (1 << static_cast<int>(8 * fraction(chance_))));
}

// A msgpack map of up to 14 fields gets one more.
void Ways::renew(std::string& bytes) {
  constexpr unsigned kMap = 0x80;
  if (bytes.size() <= fleet::kChecksumBytes) return;
  std::string body = bytes.substr(fleet::kChecksumBytes);
  const auto first = static_cast<unsigned>(static_cast<unsigned char>(body[0]));
  if ((first & 0xf0U) != kMap || first == (kMap | 0xfU)) return;
  body[0] = static_cast<char>(first + 1);
  bytes = fleet::withChecksum(body + "\x7f\xa3new");
}

}  // namespace rackroute::lab
