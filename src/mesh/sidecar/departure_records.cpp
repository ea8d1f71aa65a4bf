#include "mesh/sidecar/departure_records.hpp"

#include <algorithm>
#include <utility>

namespace rackroute::mesh {
namespace {

using namespace std::chrono_literals;

constexpr Span kCallTimeout = 700ms;  // below the server's own timeout of 1 s
constexpr Span kRetryInterval = 200ms;
constexpr std::size_t kMaxRecorded = 256;

}  // namespace

bool DepartureRecords::isRecorded(const InstanceId& id, bool signedOff) const {
  const auto found = recorded_.find(id);
  return found != recorded_.end() && (found->second || !signedOff);
}

std::uint64_t DepartureRecords::addCall(Span now, ServerCallNo call, const InstanceId& id, bool signedOff) {
  auto found = std::find_if(pending_.begin(), pending_.end(), [&](const auto& entry) {
    return entry.second.id == id && entry.second.signedOff == signedOff;
  });
  if (found == pending_.end())
    found = pending_.emplace(++lastNumber_, Pending{id, signedOff, {}, {}, now + kCallTimeout, now}).first;
  found->second.calls.push_back(call);
  return found->first;
}

std::vector<ServerCallNo> DepartureRecords::recorded(const Address& by, std::uint64_t number,
                                                     std::size_t needed) {
  const auto found = pending_.find(number);
  if (found == pending_.end()) return {};
  Pending& pending = found->second;
  pending.recordedBy.insert(by);
  if (pending.recordedBy.size() < needed) return {};
  markRecorded(pending.id, pending.signedOff);
  std::vector<ServerCallNo> calls = std::move(pending.calls);
  pending_.erase(found);
  return calls;
}

void DepartureRecords::markRecorded(const InstanceId& id, bool signedOff) {
  const auto [found, added] = recorded_.try_emplace(id, signedOff);
  found->second = found->second || signedOff;
  if (!added) return;
  recordedOrder_.push_back(id);
  if (recordedOrder_.size() <= kMaxRecorded) return;
  recorded_.erase(recordedOrder_.front());
  recordedOrder_.erase(recordedOrder_.begin());
}

std::vector<ServerCallNo> DepartureRecords::expired(Span now) {
  std::vector<ServerCallNo> calls;
  for (auto at = pending_.begin(); at != pending_.end();) {
    if (at->second.deadline > now) {
      ++at;
      continue;
    }
    calls.insert(calls.end(), at->second.calls.begin(), at->second.calls.end());
    at = pending_.erase(at);
  }
  return calls;
}

std::vector<DepartureRecords::Request> DepartureRecords::retries(Span now) {
  std::vector<Request> due;
  for (auto& [number, pending] : pending_) {
    if (pending.requestedAt + kRetryInterval > now) continue;
    pending.requestedAt = now;
    due.push_back({number, pending.id});
  }
  return due;
}

}  // namespace rackroute::mesh
