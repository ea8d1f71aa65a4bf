#pragma once

// Processes that a run on real sockets starts, signals and ends. It owns them: none outlives it, whatever
// ends the run. Each reads one file with its settings, named to it by one variable.

#include <sys/types.h>

#include <cstddef>
#include <memory>
#include <string>
#include <vector>

namespace Poco {
class TemporaryFile;
}

namespace rackroute::lab {

class Children {
 public:
  struct Start {
    std::string program;
    std::vector<std::string> arguments{};  // after the program's name
    std::string variable;                  // that names the file with the settings
    std::string settings;                  // its content
    std::vector<std::string> more{};       // further variables, NAME=VALUE
    std::string log;                       // a file that is added to; empty: nowhere
  };

  /// For a program that starts some: as many descriptors as it may have, and a call to break off (INT, TERM)
  /// that ends the run in order, its children with it.
  static void prepare();
  [[nodiscard]] static bool brokenOff();

  explicit Children(std::size_t places);
  Children(const Children&) = delete;
  Children& operator=(const Children&) = delete;
  ~Children();

  /// What still runs at the place is killed first: the new one needs its addresses. Throws where none can be
  /// started.
  void start(std::size_t place, const Start& how);
  /// After SIGKILL it is gone when this returns; after SIGTERM it may end by itself.
  void signal(std::size_t place, int number);
  /// Those that ended since the last call though nobody told them to.
  std::vector<std::size_t> endedByThemselves();
  /// Ended, whoever told it to, or never started.
  [[nodiscard]] bool gone(std::size_t place);
  /// 0: none runs.
  [[nodiscard]] pid_t idAt(std::size_t place) const { return children_[place].id; }
  [[nodiscard]] std::size_t places() const { return children_.size(); }

 private:
  struct Child {
    pid_t id = 0;
    bool mayEnd = false;
    std::unique_ptr<Poco::TemporaryFile> file;
  };
  static bool reap(Child& child);

  std::vector<Child> children_;
};

}  // namespace rackroute::lab
