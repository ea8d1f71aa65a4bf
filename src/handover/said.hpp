#pragma once

// What operators said of servers by hand, as a successor needs it. It owns that record and its text form; it
// must never take a server back in by losing track of it, nor read a record that is not whole. No I/O.

#include <chrono>
#include <cstddef>
#include <map>
#include <optional>
#include <string>
#include <string_view>

#include "rackroute/types.hpp"

namespace rackroute::handover {

using Moment = std::chrono::sys_time<std::chrono::milliseconds>;  // of the common clock

struct Word {
  bool out = false;
  Moment at{};
};

class Said {
 public:
  /// The later word holds. False: there is no room for one more server that is out.
  bool note(ServerId server, Word word);
  /// Words of servers put back before then tell nothing any more.
  void forgetBack(Moment before);
  [[nodiscard]] const std::map<ServerId, Word>& all() const { return words_; }
  [[nodiscard]] std::string text() const;
  /// Nothing if it is not whole, or of another version.
  [[nodiscard]] static std::optional<Said> read(std::string_view text);

 private:
  std::map<ServerId, Word> words_;
};

/// One word as a line without its end: "out" or "back", the server, the time.
std::string line(ServerId server, Word word);
bool readLine(std::string_view line, ServerId& server, Word& word);

}  // namespace rackroute::handover
