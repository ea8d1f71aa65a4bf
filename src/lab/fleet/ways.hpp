#pragma once

// What becomes of what one member sends another, with the faults that now last: cut, lost, late, twice,
// spoilt. The same in virtual time and in the relay between processes. It owns its chance; no clock, no I/O.

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "lab/fleet/drill.hpp"

namespace rackroute::lab {

/// One arrival of a datagram.
struct Passage {
  Span delay{};
  bool spoilt = false;
  bool newer = false;
};

class Ways {
 public:
  Ways(const Drill& drill, const Timetable& table, std::uint64_t seed);

  void begins(std::uint32_t fault) { lasting_.push_back(fault); }
  void ends(std::uint32_t fault) { std::erase(lasting_, fault); }
  /// Whether what is said to this member arrives.
  void hears(std::uint32_t member, bool yes) { deaf_[member] = !yes; }
  /// No arrival: it is lost.
  [[nodiscard]] std::vector<Passage> pass(std::uint32_t from, std::uint32_t to);
  /// How long a connection's bytes take; nothing if they never come, in either direction.
  [[nodiscard]] std::optional<Span> connects(std::uint32_t from, std::uint32_t to);
  /// Whether what this member says to discovery arrives, and what it says back.
  [[nodiscard]] bool listed(std::uint32_t member) const;
  /// The same for servers of that zone.
  [[nodiscard]] bool served(std::uint32_t member, std::uint32_t zone) const;
  /// Changes one byte, or adds a field at its end that no version knows.
  void spoil(std::string& bytes);
  static void renew(std::string& bytes);

 private:
  [[nodiscard]] bool applies(std::uint32_t fault, std::uint32_t from, std::uint32_t to) const;
  [[nodiscard]] bool cut(std::uint32_t from, std::uint32_t to) const;
  [[nodiscard]] Span way(std::uint32_t from, std::uint32_t to);

  const Drill& drill_;
  const Timetable& table_;
  Chance chance_;
  std::vector<std::uint32_t> lasting_;
  std::vector<bool> deaf_;  // by member
};

}  // namespace rackroute::lab
