#pragma once

// Model of the network between members under the active faults: partitions, loss, delay, duplication and
// corruption. Shared by virtual time and the relay between processes. No clock and no I/O.

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "lab/fleet/drill.hpp"

namespace rackroute::lab {

/// One arrival of a datagram.
struct Delivery {
  Span delay{};
  bool corrupted = false;
  bool unknownField = false;
};

class DrillNetwork {
 public:
  DrillNetwork(const Drill& drill, const Timetable& table, std::uint64_t seed);

  void begins(std::uint32_t fault) { active_.push_back(fault); }
  void ends(std::uint32_t fault) { std::erase(active_, fault); }
  /// Whether messages to this member arrive.
  void setReceiving(std::uint32_t member, bool value) { deaf_[member] = !value; }
  /// The arrivals of a datagram; empty if it is lost.
  [[nodiscard]] std::vector<Delivery> deliver(std::uint32_t from, std::uint32_t to);
  /// One-way delay on a connection; nullopt if either direction is cut.
  [[nodiscard]] std::optional<Span> connectDelay(std::uint32_t from, std::uint32_t to);
  /// Whether traffic between the member and discovery passes.
  [[nodiscard]] bool reachesDiscovery(std::uint32_t member) const;
  /// Whether traffic between the member and servers of the zone passes.
  [[nodiscard]] bool reachesServers(std::uint32_t member, std::uint32_t zone) const;
  /// Flips one bit of the message.
  void corrupt(std::string& bytes);
  /// Appends a field that no version knows.
  static void addUnknownField(std::string& bytes);

 private:
  [[nodiscard]] bool applies(std::uint32_t fault, std::uint32_t from, std::uint32_t to) const;
  [[nodiscard]] bool cut(std::uint32_t from, std::uint32_t to) const;
  [[nodiscard]] Span delay(std::uint32_t from, std::uint32_t to);

  const Drill& drill_;
  const Timetable& table_;
  RandomEngine random_;
  std::vector<std::uint32_t> active_;
  std::vector<bool> deaf_;  // by member
};

}  // namespace rackroute::lab
