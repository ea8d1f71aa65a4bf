#pragma once

// The program's log: one line a piece of news on standard error, filtered by level. It owns nothing but the
// level and must never decide anything.

#include <iostream>
#include <sstream>
#include <string_view>

namespace rackroute::sidecar {

enum class Level { debug, info, warning, error, asked };  // asked: what somebody asked for just now

/// What is logged from here on; by its name, as in RACKROUTE_LOG. False: no such level.
bool setLevel(std::string_view name);
bool logs(Level level);

/// One line, written whole when it goes out of scope.
class Line {
 public:
  explicit Line(Level level) : level_(level) {}
  Line(const Line&) = delete;
  Line& operator=(const Line&) = delete;
  ~Line();

  template <class Value>
  Line& operator<<(const Value& value) {
    if (logs(level_)) text_ << value;
    return *this;
  }

 private:
  Level level_;
  std::ostringstream text_;
};

}  // namespace rackroute::sidecar
