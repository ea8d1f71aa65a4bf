#include "lab/fleet/drill_network.hpp"

#include <algorithm>

#include "fleet/wire.hpp"

namespace rackroute::lab {

DrillNetwork::DrillNetwork(const Drill& drill, const Timetable& table, std::uint64_t seed)
    : drill_(drill), table_(table), random_(makeRandomEngine(seed, Purpose::network)), deaf_(drill.members) {}

bool DrillNetwork::applies(std::uint32_t fault, std::uint32_t from, std::uint32_t to) const {
  return table_.who[fault][from] && table_.whom[fault][to];
}

bool DrillNetwork::cut(std::uint32_t from, std::uint32_t to) const {
  if (deaf_[to]) return true;
  for (const std::uint32_t fault : active_) {
    const FaultKind kind = drill_.faults[fault].kind;
    if (kind == FaultKind::cut && (applies(fault, from, to) || applies(fault, to, from))) return true;
    if (kind == FaultKind::oneWay && applies(fault, from, to)) return true;
  }
  return false;
}

Span DrillNetwork::delay(std::uint32_t from, std::uint32_t to) {
  const Span mean = from % drill_.zones == to % drill_.zones ? drill_.sameZoneDelay : drill_.crossZoneDelay;
  return span(seconds(mean) * (1 + drill_.jitter * (2 * uniform01(random_) - 1)));
}

std::vector<Delivery> DrillNetwork::deliver(std::uint32_t from, std::uint32_t to) {
  if (cut(from, to)) return {};
  std::vector<Delivery> deliveries(1, Delivery{delay(from, to)});
  for (const std::uint32_t no : active_) {
    if (!applies(no, from, to)) continue;
    const Fault& fault = drill_.faults[no];
    const bool hit = fault.share >= 1 || uniform01(random_) < fault.share;
    if (!hit) continue;
    switch (fault.kind) {
      case FaultKind::loss:
        return {};
      case FaultKind::delay:
        deliveries.front().delay += span(seconds(fault.delay) * uniform01(random_));
        break;
      case FaultKind::doubled: {
        Delivery again = deliveries.front();
        again.delay += span(seconds(fault.delay) * uniform01(random_));
        deliveries.push_back(again);
        break;
      }
      case FaultKind::corrupt:
        deliveries.front().corrupted = true;
        break;
      case FaultKind::newer:
        for (Delivery& delivery : deliveries) delivery.unknownField = true;
        break;
      default:
        break;
    }
  }
  return deliveries;
}

std::optional<Span> DrillNetwork::connectDelay(std::uint32_t from, std::uint32_t to) {
  if (cut(from, to) || cut(to, from)) return std::nullopt;
  return delay(from, to);
}

bool DrillNetwork::reachesDiscovery(std::uint32_t member) const {
  return std::ranges::none_of(active_, [&](std::uint32_t fault) {
    return drill_.faults[fault].kind == FaultKind::noDiscovery && table_.who[fault][member];
  });
}

bool DrillNetwork::reachesServers(std::uint32_t member, std::uint32_t zone) const {
  return std::ranges::none_of(active_, [&](std::uint32_t no) {
    const Fault& fault = drill_.faults[no];
    return fault.kind == FaultKind::noServers && table_.who[no][member] && fault.zone.value_or(zone) == zone;
  });
}

void DrillNetwork::corrupt(std::string& bytes) {
  if (bytes.empty()) return;
  const auto place = static_cast<std::size_t>(uniform01(random_) * static_cast<double>(bytes.size()));
  bytes[place] = static_cast<char>(bytes[place] ^ (1 << static_cast<int>(8 * uniform01(random_))));
}

// Works on msgpack maps of up to 14 fields.
void DrillNetwork::addUnknownField(std::string& bytes) {
  constexpr unsigned kMap = 0x80;
  if (bytes.size() <= fleet::kChecksumBytes) return;
  std::string body = bytes.substr(fleet::kChecksumBytes);
  const auto first = static_cast<unsigned>(static_cast<unsigned char>(body[0]));
  if ((first & 0xf0U) != kMap || first == (kMap | 0xfU)) return;
  body[0] = static_cast<char>(first + 1);
  bytes = fleet::withChecksum(body + "\x7f\xa3new");
}

}  // namespace rackroute::lab
