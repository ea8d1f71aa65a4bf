#include "lab/server_model.hpp"

#include <algorithm>
#include <utility>

#include "lab/draws.hpp"

namespace rackroute::lab {
namespace {

constexpr double kServiceShare = 0.2;  // of the recent mean that one answer makes; some ten answers count
constexpr double kBorne = 0.7;         // of the tipping budget; what is on its way comes on top

}  // namespace

bool Marks::first(Span now, std::uint64_t mark, Span window) {
  while (!order_.empty() && order_.front().first <= now) {
    const auto at = until_.find(order_.front().second);
    if (at != until_.end() && at->second <= now) until_.erase(at);
    order_.pop_front();
  }
  const auto [at, made] = until_.try_emplace(mark, now + window);
  if (!made && at->second > now) return false;
  at->second = now + window;
  order_.emplace_back(now + window, mark);
  return true;
}

double ServerModel::warmth(Span now) const {
  if (traits_.coldTime <= Span{0} || startedAt_ == Span::min()) return 1;
  const double age = seconds(now - startedAt_) / seconds(traits_.coldTime);
  return std::min(1.0, traits_.coldShare + (1 - traits_.coldShare) * age);
}

bool ServerModel::offer(Span now, const Job& job) {
  pressed(now, job.work);
  if (!up_ || queue_.size() >= traits_.queue) return false;
  if (!hangs() && static_cast<double>(running_.size()) < traits_.cores) {
    begin(now, job);
  } else {
    queue_.push_back(job);
  }
  return true;
}

void ServerModel::begin(Span now, const Job& job) {
  const bool effect = job.marks == nullptr || job.marks->first(now, job.mark, job.window);
  const double speed = traits_.speed * warmth(now) / slow_;
  const Span takes = span(workFor(now, job, effect) / speed);
  running_.push_back({job, now, now + takes, effect});
}

double ServerModel::workFor(Span now, const Job& job, bool effect) {
  if (!effect) return job.work * traits_.repeatWork;
  if (!job.key || traits_.keys == 0) return job.work;
  const auto at = metAt_.find(*job.key);
  const bool warm = at != metAt_.end() && now - at->second->second <= traits_.keyTime;
  if (at != metAt_.end()) {
    met_.erase(at->second);
    metAt_.erase(at);
  }
  met_.emplace_front(*job.key, now);
  metAt_[*job.key] = met_.begin();
  if (met_.size() > traits_.keys) {
    metAt_.erase(met_.back().first);
    met_.pop_back();
  }
  return warm ? job.work * (1 - traits_.keySaving) : job.work;
}

std::optional<Span> ServerModel::next() const {
  if (running_.empty() || hangs()) return std::nullopt;
  return std::min_element(running_.begin(), running_.end(),
                          [](const Running& a, const Running& b) { return a.until < b.until; })
      ->until;
}

std::vector<Finished> ServerModel::advance(Span now) {
  std::vector<Finished> finished;
  while (const std::optional<Span> at = next()) {
    if (*at > now) break;
    const auto done =
        std::find_if(running_.begin(), running_.end(), [&](const Running& r) { return r.until == *at; });
    finished.push_back({done->job, *at, done->until - done->from, done->effect});
    report(*at, done->until - done->from);
    running_.erase(done);
    if (queue_.empty()) continue;
    const Job following = queue_.front();
    queue_.pop_front();
    begin(*at, following);
  }
  return finished;
}

std::optional<Span> ServerModel::cancel(Span now, std::uint64_t job) {
  if (traits_.cancelStops == CancelStops::nothing) return std::nullopt;
  const auto waits =
      std::find_if(queue_.begin(), queue_.end(), [&](const Job& waiting) { return waiting.id == job; });
  if (waits != queue_.end()) {
    queue_.erase(waits);
    return Span{0};
  }
  if (traits_.cancelStops != CancelStops::all) return std::nullopt;
  const auto runs =
      std::find_if(running_.begin(), running_.end(), [&](const Running& r) { return r.job.id == job; });
  if (runs == running_.end()) return std::nullopt;
  const Span worked = now - runs->from;
  running_.erase(runs);
  if (!queue_.empty() && !hangs()) {
    const Job following = queue_.front();
    queue_.pop_front();
    begin(now, following);
  }
  return worked;
}

std::vector<Finished> ServerModel::stop(Span now) {
  std::vector<Finished> lost;
  for (const Running& running : running_)
    lost.push_back({running.job, now, now - running.from, running.effect});
  for (const Job& job : queue_) lost.push_back({job, now, Span{0}, false});
  running_.clear();
  queue_.clear();
  met_.clear();
  metAt_.clear();
  hangingSince_.reset();
  up_ = false;
  return lost;
}

void ServerModel::start(Span now, bool cold) {
  up_ = true;
  fell_ = false;
  startedAt_ = cold ? now : Span::min();
  pressure_.clear();
  pressureSum_ = 0;
  slow_ = 1;
  service_ = 0;
  reported_ = Span{0};
}

void ServerModel::hang(Span now) {
  if (up_ && !hangs()) hangingSince_ = now;
}

void ServerModel::goOn(Span now) {
  if (!hangs()) return;
  for (Running& running : running_) running.until += now - *hangingSince_;
  hangingSince_.reset();
  while (!queue_.empty() && static_cast<double>(running_.size()) < traits_.cores) {
    const Job following = queue_.front();
    queue_.pop_front();
    begin(now, following);
  }
}

double ServerModel::backlog(Span now) const {
  double work = 0;
  for (const Job& job : queue_) work += job.work;
  work *= slow_ / (traits_.speed * warmth(now));
  for (const Running& running : running_) work += std::max(0.0, seconds(running.until - now));
  return work / traits_.cores;
}

// What reaches a cold server presses on it, also what it turns away; too much of it and it stays down.
void ServerModel::pressed(Span now, double work) {
  if (traits_.overloadMultiple <= 0 || !up_ || !cold(now)) return;
  pressure_.emplace_back(now, work);
  pressureSum_ += work;
  while (pressure_.front().first + traits_.overloadWindow < now) {
    pressureSum_ -= pressure_.front().second;
    pressure_.pop_front();
  }
  if (pressureSum_ > traits_.overloadMultiple * capacity(now) * seconds(traits_.overloadWindow)) fell_ = true;
}

bool ServerModel::bears(Span now, double work) const {
  if (traits_.overloadMultiple <= 0 || !cold(now)) return true;
  double sum = work;
  for (const auto& [at, pressing] : pressure_) sum += at + traits_.overloadWindow < now ? 0 : pressing;
  return sum <= kBorne * traits_.overloadMultiple * capacity(now) * seconds(traits_.overloadWindow);
}

void ServerModel::report(Span now, Span service) {
  service_ = service_ <= 0 ? seconds(service) : service_ + kServiceShare * (seconds(service) - service_);
  if (traits_.reportEvery <= Span{0} ||
      (reportedAt_ != Span::min() && now < reportedAt_ + traits_.reportEvery))
    return;
  reportedAt_ = now;
  reported_ = span(service_);
}

}  // namespace rackroute::lab
