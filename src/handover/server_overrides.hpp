#pragma once

// Servers that operators disabled or enabled by hand, with the text format in which a process hands them to
// its successor. Must never lose a disabled server, nor accept a truncated record. No I/O.

#include <chrono>
#include <cstddef>
#include <map>
#include <optional>
#include <string>
#include <string_view>

#include "rackroute/types.hpp"

namespace rackroute::handover {

using Moment = std::chrono::sys_time<std::chrono::milliseconds>;  // wall-clock time

/// An operator's latest decision on a server: disabled, or enabled again.
struct ServerOverride {
  bool disabled = false;
  Moment at{};
};

/// The latest override of each server.
class ServerOverrides {
 public:
  /// Records an override unless a later one is present. Returns false if there is no space for another
  /// server.
  bool record(ServerId server, ServerOverride entry);
  /// Drops entries of servers that were enabled before the given time.
  void dropEnabledBefore(Moment time);
  [[nodiscard]] const std::map<ServerId, ServerOverride>& all() const { return overrides_; }
  [[nodiscard]] std::string text() const;
  /// Returns nothing if the text is truncated, malformed or of another version.
  [[nodiscard]] static std::optional<ServerOverrides> parse(std::string_view text);

 private:
  std::map<ServerId, ServerOverride> overrides_;
};

/// One override as a line without its newline: "out" or "back", the server's id in hex, Unix time in ms.
std::string formatOverride(ServerId server, ServerOverride entry);
bool parseOverride(std::string_view line, ServerId& server, ServerOverride& entry);

}  // namespace rackroute::handover
