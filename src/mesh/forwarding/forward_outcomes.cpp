#include "mesh/forwarding/forward_outcomes.hpp"

#include <algorithm>
#include <utility>

namespace rackroute::mesh {
namespace {

// The most that the time between two calls counts as active time; tick() is called more often than this
// unless the process is suspended.
constexpr Span kMaxStep = std::chrono::seconds(1);

ForwardOutcomes::Arrival respondWith(Verdict verdict) {
  ForwardOutcomes::Arrival arrival;
  arrival.kind = ForwardOutcomes::Arrival::Kind::respond;
  arrival.reply.verdict = verdict;
  return arrival;
}

}  // namespace

void ForwardOutcomes::advance(Span now) {
  activeTime_ += std::clamp(now - lastCall_, Span{0}, kMaxStep);
  lastCall_ = now;
}

ForwardOutcomes::Arrival ForwardOutcomes::receive(Span now, InboundRequestId requestId,
                                                  const ForwardRequest& request) {
  advance(now);
  if (request.outcomeQuery) return request.id ? query(requestId, request) : respondWith(Verdict::unknown);
  if (!request.id) return {};
  return admit(requestId, *request.id);
}

ForwardOutcomes::Arrival ForwardOutcomes::admit(InboundRequestId requestId, const ForwardId& id) {
  const auto [found, added] = records_.try_emplace(id);
  if (added) {
    inProgress_[requestId.value] = id;
    return {};
  }
  // A request that arrives after its caller was informed that it was not received must not be executed, nor
  // may any request be executed twice.
  return respondWith(found->second.state == State::fenced ? Verdict::notReceived : Verdict::unknown);
}

ForwardOutcomes::Arrival ForwardOutcomes::query(InboundRequestId requestId, const ForwardRequest& request) {
  // The records of an earlier run of the process are lost, and its server may have executed the request.
  if (*request.outcomeQuery != life_) return respondWith(Verdict::unknown);
  const auto found = records_.find(*request.id);
  if (found == records_.end()) return fence(*request.id);
  Record& record = found->second;
  if (record.state == State::fenced) return respondWith(Verdict::notReceived);
  if (record.state == State::inProgress) {
    if (record.waiters.size() >= limits_.maxWaiters) return respondWith(Verdict::unknown);
    record.waiters.push_back(requestId);
    Arrival arrival;
    arrival.kind = Arrival::Kind::wait;
    return arrival;
  }
  if (record.reply.verdict == Verdict::executed && !record.bytes) return respondWith(Verdict::unknown);
  Arrival arrival = respondWith(record.reply.verdict);
  arrival.reply = record.reply;
  arrival.bytes = record.bytes;
  return arrival;
}

ForwardOutcomes::Arrival ForwardOutcomes::fence(const ForwardId& id) {
  if (activeTime_ < unreliableUntil_ || fenced_.size() >= limits_.maxFenced)
    return respondWith(Verdict::unknown);
  records_[id].state = State::fenced;
  fenced_.emplace_back(activeTime_, id);
  return respondWith(Verdict::notReceived);
}

std::vector<InboundRequestId> ForwardOutcomes::complete(Span now, InboundRequestId requestId,
                                                        const ForwardReply& reply,
                                                        std::shared_ptr<const void> bytes, std::size_t size) {
  advance(now);
  const auto current = inProgress_.find(requestId.value);
  if (current == inProgress_.end()) return {};
  const ForwardId id = current->second;
  inProgress_.erase(current);
  Record& record = records_.at(id);
  record.state = State::completed;
  record.reply = reply;
  completed_.emplace_back(activeTime_, id);
  if (bytes) {
    record.bytes = std::move(bytes);
    record.size = size;
    responseBytes_ += size;
    withResponse_.emplace_back(activeTime_, id);
  }
  std::vector<InboundRequestId> waiters = std::exchange(record.waiters, {});
  // Bounds the memory for responses by dropping the oldest; queries for those get `unknown`.
  while (responseBytes_ > limits_.maxResponseBytes) {
    const auto oldest = records_.find(withResponse_.front().second);
    withResponse_.pop_front();
    if (oldest != records_.end()) dropResponse(oldest->second);
  }
  if (completed_.size() > limits_.maxCompleted) {
    unreliableUntil_ = activeTime_ + limits_.completedRetention;
    forgetOldestCompleted();
  }
  return waiters;
}

void ForwardOutcomes::dropResponse(Record& record) {
  responseBytes_ -= std::exchange(record.size, 0);
  record.bytes.reset();
}

void ForwardOutcomes::forgetOldestCompleted() {
  const auto found = records_.find(completed_.front().second);
  completed_.pop_front();
  if (found == records_.end()) return;
  dropResponse(found->second);
  records_.erase(found);
}

void ForwardOutcomes::tick(Span now) {
  advance(now);
  while (!withResponse_.empty() && withResponse_.front().first + limits_.responseRetention <= activeTime_) {
    const auto found = records_.find(withResponse_.front().second);
    withResponse_.pop_front();
    if (found != records_.end()) dropResponse(found->second);
  }
  while (!completed_.empty() && completed_.front().first + limits_.completedRetention <= activeTime_)
    forgetOldestCompleted();
  while (!fenced_.empty() && fenced_.front().first + limits_.fenceRetention <= activeTime_) {
    records_.erase(fenced_.front().second);
    fenced_.pop_front();
  }
}

}  // namespace rackroute::mesh
