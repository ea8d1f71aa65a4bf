#pragma once

/// What the threads of hollow sidecars count and the run's own thread reads: traffic with each control
/// process, who holds which change, who is connected. Everything here is atomic; nothing waits.

#include <array>
#include <atomic>
#include <chrono>
#include <cstddef>
#include <cstdint>

namespace rackroute::lab::mesh {

constexpr std::uint32_t kMostControls = 12;
constexpr std::uint32_t kMostChanges = 4'096;  // of one run
/// The route whose versions are followed to every sidecar.
constexpr const char* kWatchedRoute = "watched";

/// The steady clock in microseconds, the same for all threads.
inline std::int64_t steadyMicroseconds() {
  const auto now = std::chrono::steady_clock::now().time_since_epoch();
  return std::chrono::duration_cast<std::chrono::microseconds>(now).count();
}

inline double milliseconds(std::int64_t microseconds) { return static_cast<double>(microseconds) / 1000; }

/// Traffic between the sidecars and one control process, counted at the sidecars.
struct SessionTraffic {
  std::atomic<std::uint64_t> messagesToControl{0};
  std::atomic<std::uint64_t> messagesFromControl{0};
  std::atomic<std::uint64_t> bytesToControl{0};
  std::atomic<std::uint64_t> bytesFromControl{0};
  std::atomic<std::uint64_t> sessions{0};
};

struct TrafficCopy {
  std::uint64_t messagesToControl = 0;
  std::uint64_t messagesFromControl = 0;
  std::uint64_t bytesToControl = 0;
  std::uint64_t bytesFromControl = 0;
};

/// How many sidecars hold each version of the watched route, and since when the last of them.
class ChangeBoard {
 public:
  void held(std::uint64_t version) {
    if (version >= kMostChanges) return;
    Entry& entry = entries_[version];
    const std::int64_t now = steadyMicroseconds();
    std::int64_t last = entry.last.load();
    while (last < now && !entry.last.compare_exchange_weak(last, now)) {
    }
    entry.holders.fetch_add(1);
  }
  [[nodiscard]] std::uint32_t holders(std::uint64_t version) const {
    return entries_[version].holders.load();
  }
  [[nodiscard]] std::int64_t last(std::uint64_t version) const { return entries_[version].last.load(); }

 private:
  struct Entry {
    std::atomic<std::uint32_t> holders{0};
    std::atomic<std::int64_t> last{0};  // microseconds of the steady clock
  };
  std::array<Entry, kMostChanges> entries_;
};

struct Board {
  std::array<SessionTraffic, kMostControls> traffic;
  ChangeBoard changes;
  std::atomic<std::uint32_t> whole{0};  // sidecars that are connected to every control process and ready
  std::atomic<std::uint32_t> unconnected{0};  // sidecars without any session
  std::atomic<bool> measuring{false};         // claims and news are drawn
};

}  // namespace rackroute::lab::mesh
