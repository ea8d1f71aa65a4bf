#pragma once

// Tracks the recording of server departures (drains and sign-offs). A departure is acknowledged to the server
// only after control processes have persisted it, so that it survives the end of this process. A state
// machine without I/O or clock. Bounded: the oldest recorded departures are forgotten and are recorded again
// if the server repeats its call.

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <vector>

#include "mesh/names.hpp"

namespace rackroute::mesh {

using ServerCallNo = Id<struct ServerCallTag, std::uint64_t>;  // one HTTP call of the local server

class DepartureRecords {
 public:
  /// Whether the drain, or with `signedOff` the sign-off, has been recorded.
  [[nodiscard]] bool isRecorded(const InstanceId& id, bool signedOff) const;
  /// Adds a call that waits for the departure to be recorded. Returns the record number for control
  /// processes.
  std::uint64_t addCall(Span now, ServerCallNo call, const InstanceId& id, bool signedOff);
  /// A control process has persisted the record. Returns the calls that can be acknowledged: all that wait
  /// for the record once `needed` processes have it.
  std::vector<ServerCallNo> recorded(const Address& by, std::uint64_t number, std::size_t needed);
  /// Removes and returns the calls that have waited too long. Their servers will retry.
  std::vector<ServerCallNo> expired(Span now);
  struct Request {
    std::uint64_t number;
    InstanceId id;
  };
  /// Records that must be requested again because they were not confirmed in time.
  std::vector<Request> retries(Span now);

 private:
  struct Pending {
    InstanceId id;
    bool signedOff = false;
    std::set<Address> recordedBy;
    std::vector<ServerCallNo> calls;
    Span deadline{};
    Span requestedAt{};
  };
  void markRecorded(const InstanceId& id, bool signedOff);

  std::map<std::uint64_t, Pending> pending_;
  std::map<InstanceId, bool> recorded_;  // true: the sign-off; false: the drain only
  std::vector<InstanceId> recordedOrder_;
  std::uint64_t lastNumber_ = 0;
};

}  // namespace rackroute::mesh
