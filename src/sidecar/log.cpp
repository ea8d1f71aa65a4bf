#include "sidecar/log.hpp"

#include <array>
#include <cstddef>

namespace rackroute::sidecar {
namespace {

constexpr std::array<std::string_view, 5> kNames = {"debug", "info", "warning", "error", "off"};
Level lowest = Level::info;

}  // namespace

bool setLevel(std::string_view name) {
  for (std::size_t i = 0; i < kNames.size(); ++i) {
    if (kNames[i] != name) continue;
    lowest = static_cast<Level>(i);
    return true;
  }
  return false;
}

bool logs(Level level) { return level >= lowest && level != Level::off; }

Line::~Line() {
  if (!logs(level_)) return;
  text_ << '\n';
  std::cerr << kNames[static_cast<std::size_t>(level_)] << ' ' << text_.str() << std::flush;
}

}  // namespace rackroute::sidecar
