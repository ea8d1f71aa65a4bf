#pragma once

// Watches over a drill with real processes: the relay between them, the timetable of faults, each member's
// own word at its operators' door, and the judge. Who starts the processes is passed in. Loopback only.

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "lab/fleet/judge.hpp"
#include "lab/fleet/relay.hpp"
#include "lab/fleet/ways.hpp"
#include "lab/tally.hpp"
#include "sidecar/loop.hpp"

namespace rackroute::lab {

class DoorLink;

class Rig {
 public:
  /// What is done to processes: start one, or signal one that runs. Started on behalf of a twin: at its
  /// place.
  struct Hands {
    std::function<void(std::uint32_t place)> start;
    std::function<void(std::uint32_t place, int signal)> signal;
  };

  Rig(sidecar::Loop& loop, const Drill& drill, std::uint64_t seed, Hands hands);
  Rig(const Rig&) = delete;
  Rig& operator=(const Rig&) = delete;
  ~Rig();

  /// What a process at that place is told beside all else: its name, its door and its fleet.
  [[nodiscard]] Json told(std::uint32_t place) const;
  /// Where it finds discovery, and a server of that zone, past the relay.
  std::string discoveryFor(std::uint32_t member, const std::string& address) {
    return relay_.forward(member, address, [this, member] { return ways_.listed(member); });
  }
  std::string serverFor(std::uint32_t member, const std::string& address, std::uint32_t zone) {
    return relay_.forward(member, address, [this, member, zone] { return ways_.served(member, zone); });
  }
  [[nodiscard]] Span lostAt(std::uint32_t member) const { return relay_.lostAt(member); }
  void set(Hands hands) { hands_ = std::move(hands); }
  [[nodiscard]] std::string clientsAt(std::uint32_t place) const { return relay_.listens(place, 8000); }
  [[nodiscard]] std::uint32_t places() const { return drill_.members + 1; }
  /// Plays the timetable from now on. With started, all run already, and its starts are passed over.
  void begin(bool started);
  [[nodiscard]] Json finish();
  [[nodiscard]] Span now() const { return loop_.now() - zero_; }

 private:
  friend class DoorLink;

  void perform(const Deed& deed);
  void ask(std::uint32_t member);
  void heard(std::uint32_t member, const std::string& body);
  void look();
  [[nodiscard]] std::string door(std::uint32_t place) const { return relay_.listens(place, 9000); }

  sidecar::Loop& loop_;
  const Drill& drill_;
  std::uint64_t seed_;
  Hands hands_;
  Timetable table_;
  Ways ways_;
  DrillJudge judge_;
  Span zero_{};
  bool begun_ = false;
  Relay relay_;
  std::map<std::string, std::uint32_t> names_;
  std::map<DoorLink*, std::shared_ptr<DoorLink>> doors_;
  std::vector<std::uint32_t> starts_;  // by member: an answer of an earlier process counts for nothing
  std::vector<bool> runs_;
  std::vector<bool> frozen_;
  std::optional<std::uint32_t> twinOf_;
  std::uint64_t answers_ = 0;
  Span latestLook_{};
  Span lookedAt_{};
};

}  // namespace rackroute::lab
