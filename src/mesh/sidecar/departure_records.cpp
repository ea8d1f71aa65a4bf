#include "mesh/sidecar/departure_records.hpp"

#include <algorithm>
#include <utility>

namespace rackroute::mesh {
namespace {

using namespace std::chrono_literals;

constexpr Span kPatience = 700ms;  // of a call; its server waits a second
constexpr Span kAskAgain = 200ms;
constexpr std::size_t kMostRecorded = 256;

}  // namespace

bool DepartureRecords::isRecorded(const InstanceId& id, bool gone) const {
  const auto found = recorded_.find(id);
  return found != recorded_.end() && (found->second || !gone);
}

std::uint64_t DepartureRecords::wait(Span now, ServerCallNo call, const InstanceId& id, bool gone) {
  auto found = std::find_if(waiting_.begin(), waiting_.end(), [&](const auto& entry) {
    return entry.second.id == id && entry.second.gone == gone;
  });
  if (found == waiting_.end())
    found = waiting_.emplace(++last_, Waiting{id, gone, {}, {}, now + kPatience, now}).first;
  found->second.calls.push_back(call);
  return found->first;
}

std::vector<ServerCallNo> DepartureRecords::recorded(const Address& by, std::uint64_t number,
                                                     std::size_t needed) {
  const auto found = waiting_.find(number);
  if (found == waiting_.end()) return {};
  Waiting& waiting = found->second;
  waiting.by.insert(by);
  if (waiting.by.size() < needed) return {};
  remember(waiting.id, waiting.gone);
  std::vector<ServerCallNo> calls = std::move(waiting.calls);
  waiting_.erase(found);
  return calls;
}

void DepartureRecords::remember(const InstanceId& id, bool gone) {
  const auto [found, added] = recorded_.try_emplace(id, gone);
  found->second = found->second || gone;
  if (!added) return;
  recordedInOrder_.push_back(id);
  if (recordedInOrder_.size() <= kMostRecorded) return;
  recorded_.erase(recordedInOrder_.front());
  recordedInOrder_.erase(recordedInOrder_.begin());
}

std::vector<ServerCallNo> DepartureRecords::overdue(Span now) {
  std::vector<ServerCallNo> calls;
  for (auto at = waiting_.begin(); at != waiting_.end();) {
    if (at->second.until > now) {
      ++at;
      continue;
    }
    calls.insert(calls.end(), at->second.calls.begin(), at->second.calls.end());
    at = waiting_.erase(at);
  }
  return calls;
}

std::vector<DepartureRecords::Asked> DepartureRecords::repeats(Span now) {
  std::vector<Asked> again;
  for (auto& [number, waiting] : waiting_) {
    if (waiting.askedAt + kAskAgain > now) continue;
    waiting.askedAt = now;
    again.push_back({number, waiting.id});
  }
  return again;
}

}  // namespace rackroute::mesh
