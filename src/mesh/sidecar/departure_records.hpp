#pragma once

// Acknowledgements that wait: what a server says of its leaving is acknowledged once control processes have
// it on their disks, so that the end of this process takes nothing back. It owns which calls wait and what is
// recorded; a state machine without I/O or clock. Bounded: the oldest are forgotten, and recorded anew when
// the server calls again.

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <vector>

#include "mesh/names.hpp"

namespace rackroute::mesh {

using ServerCallNo = Id<struct ServerCallTag, std::uint64_t>;  // one call of a server

class DepartureRecords {
 public:
  /// Whether that much is on the disks that it is to be on.
  [[nodiscard]] bool isRecorded(const InstanceId& id, bool gone) const;
  /// The call waits until it is. Returns the number of the record to ask control processes for.
  std::uint64_t wait(Span now, ServerCallNo call, const InstanceId& id, bool gone);
  /// A control process has that record on its disk. Returns the calls that are answered by it: all that wait
  /// for it, once as many processes have it as are needed.
  std::vector<ServerCallNo> recorded(const Address& by, std::uint64_t number, std::size_t needed);
  /// Calls that have waited for too long; their servers call again.
  std::vector<ServerCallNo> overdue(Span now);
  struct Asked {
    std::uint64_t number;
    InstanceId id;
  };
  /// Records to be asked for again, as no answer has come for a while.
  std::vector<Asked> repeats(Span now);

 private:
  struct Waiting {
    InstanceId id;
    bool gone = false;
    std::set<Address> by;
    std::vector<ServerCallNo> calls;
    Span until{};
    Span askedAt{};
  };
  void remember(const InstanceId& id, bool gone);

  std::map<std::uint64_t, Waiting> waiting_;
  std::map<InstanceId, bool> recorded_;  // whether the sign-off is; else the drain
  std::vector<InstanceId> recordedInOrder_;
  std::uint64_t last_ = 0;
};

}  // namespace rackroute::mesh
