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
Level minLevel = Level::info;
std::uint64_t droppedLines = 0;

}  // namespace

bool setLevel(std::string_view name) {
  for (std::size_t i = 0; i < kNames.size(); ++i) {
    if (kNames[i] != name) continue;
    minLevel = static_cast<Level>(i);
    return true;
  }
  return false;
}

bool isEnabled(Level level) { return level >= minLevel; }

LogLine::~LogLine() {
  if (!isEnabled(level_)) return;
  // If the reader of the log stops, its pipe fills up and a write would block the event loop. Lines are then
  // dropped, and the next line that is written reports how many.
  pollfd standardError{STDERR_FILENO, POLLOUT, 0};
  if (::poll(&standardError, 1, 0) != 1 || (standardError.revents & POLLOUT) == 0) {
    ++droppedLines;
    return;
  }
  if (droppedLines > 0) text_ << " lines_dropped_before=" << std::exchange(droppedLines, 0);
  text_ << '\n';
  std::cerr << kNames[static_cast<std::size_t>(level_)] << ' ' << text_.str() << std::flush;
}

}  // namespace rackroute::sidecar
