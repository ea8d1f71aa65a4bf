#include "sidecar/log.hpp"

#include <poll.h>
#include <unistd.h>

#include <array>
#include <cstddef>
#include <cstdint>
#include <utility>

namespace rackroute::sidecar {
namespace {

constexpr std::array<std::string_view, 5> kNames = {"debug", "info", "warning", "error", "asked"};
Level lowest = Level::info;
std::uint64_t dropped = 0;

}  // namespace

bool setLevel(std::string_view name) {
  for (std::size_t i = 0; i < kNames.size(); ++i) {
    if (kNames[i] != name) continue;
    lowest = static_cast<Level>(i);
    return true;
  }
  return false;
}

bool logs(Level level) { return level >= lowest; }

Line::~Line() {
  if (!logs(level_)) return;
  // Guards against a reader of the log that has stopped reading: its pipe fills up, and a write would block
  // the one thread. What does not fit is dropped, and the next line tells how much.
  pollfd end{STDERR_FILENO, POLLOUT, 0};
  if (::poll(&end, 1, 0) != 1 || (end.revents & POLLOUT) == 0) {
    ++dropped;
    return;
  }
  if (dropped > 0) text_ << " lines_dropped_before=" << std::exchange(dropped, 0);
  text_ << '\n';
  std::cerr << kNames[static_cast<std::size_t>(level_)] << ' ' << text_.str() << std::flush;
}

}  // namespace rackroute::sidecar
