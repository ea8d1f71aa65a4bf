#include "mesh/forwarding/forward_outcomes.hpp"

#include <algorithm>
#include <utility>

namespace rackroute::mesh {
namespace {

// Between two calls no more than this counts as time awake; tick() comes more often in a process that runs.
constexpr Span kLongestStep = std::chrono::seconds(1);

ForwardOutcomes::Arrival answerOf(Verdict verdict) {
  ForwardOutcomes::Arrival arrival;
  arrival.kind = ForwardOutcomes::Arrival::Kind::answer;
  arrival.reply.verdict = verdict;
  return arrival;
}

}  // namespace

void ForwardOutcomes::advance(Span now) {
  awake_ += std::clamp(now - seen_, Span{0}, kLongestStep);
  seen_ = now;
}

ForwardOutcomes::Arrival ForwardOutcomes::arrived(Span now, AskNo no, const ForwardRequest& request) {
  advance(now);
  if (request.outcomeOf) return request.id ? outcome(no, request) : answerOf(Verdict::unknown);
  if (!request.id) return {};
  return admitted(no, *request.id);
}

ForwardOutcomes::Arrival ForwardOutcomes::admitted(AskNo no, const ForwardId& id) {
  const auto [found, added] = records_.try_emplace(id);
  if (added) {
    atWork_[no.value] = id;
    return {};
  }
  // Guards against a request that was read after its caller was told that it had not come; and against any
  // that comes twice.
  return answerOf(found->second.state == State::fenced ? Verdict::neverCame : Verdict::unknown);
}

ForwardOutcomes::Arrival ForwardOutcomes::outcome(AskNo no, const ForwardRequest& request) {
  // What an earlier life had received died with its memory, and its server may have run it.
  if (*request.outcomeOf != life_) return answerOf(Verdict::unknown);
  const auto found = records_.find(*request.id);
  if (found == records_.end()) return fence(*request.id);
  Record& record = found->second;
  if (record.state == State::fenced) return answerOf(Verdict::neverCame);
  if (record.state == State::atWork) {
    if (record.waiters.size() >= limits_.waiters) return answerOf(Verdict::unknown);
    record.waiters.push_back(no);
    Arrival arrival;
    arrival.kind = Arrival::Kind::wait;
    return arrival;
  }
  if (record.reply.verdict == Verdict::ran && !record.bytes) return answerOf(Verdict::unknown);
  Arrival arrival = answerOf(record.reply.verdict);
  arrival.reply = record.reply;
  arrival.bytes = record.bytes;
  return arrival;
}

ForwardOutcomes::Arrival ForwardOutcomes::fence(const ForwardId& id) {
  if (awake_ < gapUntil_ || fenced_.size() >= limits_.fenced) return answerOf(Verdict::unknown);
  records_[id].state = State::fenced;
  fenced_.emplace_back(awake_, id);
  return answerOf(Verdict::neverCame);
}

std::vector<AskNo> ForwardOutcomes::ended(Span now, AskNo no, const ForwardReply& reply,
                                          std::shared_ptr<const void> bytes, std::size_t size) {
  advance(now);
  const auto working = atWork_.find(no.value);
  if (working == atWork_.end()) return {};
  const ForwardId id = working->second;
  atWork_.erase(working);
  Record& record = records_.at(id);
  record.state = State::ended;
  record.reply = reply;
  ended_.emplace_back(awake_, id);
  if (bytes) {
    record.bytes = std::move(bytes);
    record.size = size;
    answerBytes_ += size;
    withBytes_.emplace_back(awake_, id);
  }
  std::vector<AskNo> waiters = std::exchange(record.waiters, {});
  // Guards against answers that eat the memory: the oldest go first; who asks is told that nobody knows.
  while (answerBytes_ > limits_.answerBytes) {
    const auto oldest = records_.find(withBytes_.front().second);
    withBytes_.pop_front();
    if (oldest != records_.end()) dropBytes(oldest->second);
  }
  if (ended_.size() > limits_.ended) {
    gapUntil_ = awake_ + limits_.remembered;
    forgetOldestEnded();
  }
  return waiters;
}

void ForwardOutcomes::dropBytes(Record& record) {
  answerBytes_ -= std::exchange(record.size, 0);
  record.bytes.reset();
}

void ForwardOutcomes::forgetOldestEnded() {
  const auto found = records_.find(ended_.front().second);
  ended_.pop_front();
  if (found == records_.end()) return;
  dropBytes(found->second);
  records_.erase(found);
}

void ForwardOutcomes::tick(Span now) {
  advance(now);
  while (!withBytes_.empty() && withBytes_.front().first + limits_.answerKept <= awake_) {
    const auto found = records_.find(withBytes_.front().second);
    withBytes_.pop_front();
    if (found != records_.end()) dropBytes(found->second);
  }
  while (!ended_.empty() && ended_.front().first + limits_.remembered <= awake_) forgetOldestEnded();
  while (!fenced_.empty() && fenced_.front().first + limits_.fenceKept <= awake_) {
    records_.erase(fenced_.front().second);
    fenced_.pop_front();
  }
}

}  // namespace rackroute::mesh
