#pragma once

// Log of the program: one line per event on standard error, filtered by level.

#include <iostream>
#include <sstream>
#include <string_view>

namespace rackroute::sidecar {

enum class Level { debug, info, warning, error, always };  // always: output requested by an operator

/// Sets the minimum level by name, as in RACKROUTE_LOG. Returns false for an unknown name.
bool setLevel(std::string_view name);
bool isEnabled(Level level);

/// One log line, written when the object is destroyed.
class LogLine {
 public:
  explicit LogLine(Level level) : level_(level) {}
  LogLine(const LogLine&) = delete;
  LogLine& operator=(const LogLine&) = delete;
  ~LogLine();

  template <class Value>
  LogLine& operator<<(const Value& value) {
    if (isEnabled(level_)) text_ << value;
    return *this;
  }

 private:
  Level level_;
  std::ostringstream text_;
};

}  // namespace rackroute::sidecar
