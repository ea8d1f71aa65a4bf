#pragma once

// Child processes of a run on real sockets. All of them are terminated when the owner is destroyed. Each
// child reads its settings from a file whose path is passed in an environment variable.

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
    std::vector<std::string> arguments{};  // without the program name
    std::string variable;                  // environment variable with the path of the settings file
    std::string settings;                  // contents of the settings file
    std::vector<std::string> more{};       // further environment variables, NAME=VALUE
    std::string log;                       // file to append output to; empty: discarded
  };

  /// Call once before starting children: raises the descriptor limit and installs handlers for SIGINT and
  /// SIGTERM, which end the run in an orderly way.
  static void prepare();
  [[nodiscard]] static bool interrupted();

  explicit Children(std::size_t places);
  Children(const Children&) = delete;
  Children& operator=(const Children&) = delete;
  ~Children();

  /// Kills a process that still runs at this place first, because the new one needs its addresses. Throws if
  /// the process cannot be started.
  void start(std::size_t place, const Start& how);
  /// Waits for the exit after SIGKILL. After SIGTERM an exit is expected.
  void signal(std::size_t place, int number);
  /// Children that exited since the last call without a SIGTERM or SIGKILL from signal().
  std::vector<std::size_t> takeUnexpectedExits();
  /// True if the child has exited or was never started.
  [[nodiscard]] bool gone(std::size_t place);
  /// Process id; 0 if none runs.
  [[nodiscard]] pid_t idAt(std::size_t place) const { return children_[place].id; }
  [[nodiscard]] std::size_t places() const { return children_.size(); }

 private:
  struct Child {
    pid_t id = 0;
    bool terminating = false;
    std::unique_ptr<Poco::TemporaryFile> file;
  };
  static bool reap(Child& child);

  std::vector<Child> children_;
};

}  // namespace rackroute::lab
