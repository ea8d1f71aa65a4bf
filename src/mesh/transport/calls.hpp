#pragma once

// The calls of servers, operators and the platform, declared in one table, for both programs.

#include <array>
#include <cstddef>
#include <optional>
#include <string_view>

namespace rackroute::mesh {

enum class CallKind { beat, signOff, changeItems, readItems, readiness };
enum class CallSocket { control, ready };  // the address that it comes to
enum class CallBy { auxiliary, core };     // the kind of machine whose address that is

struct CallRow {
  CallKind kind;
  std::string_view method;
  std::string_view path;
  bool named;  // the path goes on with a name
  CallSocket socket;
  CallBy by;
  std::size_t mostBytes;  // of its body
};

inline constexpr std::array<CallRow, 5> kCalls{{
    {CallKind::beat, "PUT", "/rackroute/instances/", true, CallSocket::control, CallBy::auxiliary, 64 << 10},
    {CallKind::signOff, "DELETE", "/rackroute/instances/", true, CallSocket::control, CallBy::auxiliary,
     64 << 10},
    {CallKind::changeItems, "PATCH", "/rackroute/config", false, CallSocket::control, CallBy::core, 16 << 20},
    {CallKind::readItems, "GET", "/rackroute/config", false, CallSocket::control, CallBy::core, 0},
    {CallKind::readiness, "GET", "/rackroute/readiness", false, CallSocket::ready, CallBy::auxiliary, 0},
}};

struct Called {
  const CallRow* row = nullptr;
  std::string_view name;  // that the path ends with
};

/// The row that a request at this socket means; pathKnown: some row has the path, whatever the method.
inline std::optional<Called> findCall(CallSocket socket, CallBy by, std::string_view method,
                                      std::string_view path, bool& pathKnown) {
  path = path.substr(0, path.find('?'));
  pathKnown = false;
  for (const CallRow& row : kCalls) {
    if (row.socket != socket || row.by != by) continue;
    const bool fits = row.named ? path.substr(0, row.path.size()) == row.path && path.size() > row.path.size()
                                : path == row.path;
    if (!fits) continue;
    pathKnown = true;
    if (row.method == method)
      return Called{&row, row.named ? path.substr(row.path.size()) : std::string_view()};
  }
  return std::nullopt;
}

}  // namespace rackroute::mesh
