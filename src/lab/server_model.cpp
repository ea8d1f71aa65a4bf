#include "lab/server_model.hpp"

#include <algorithm>
#include <utility>

#include "lab/random.hpp"

namespace rackroute::lab {
namespace {

constexpr double kServiceTimeWeight = 0.2;  // smoothing factor of the moving average
constexpr double kOverloadMargin = 0.7;     // relative to the overload limit

}  // namespace

bool DedupStore::insertIfNew(Span now, std::uint64_t dedupKey, Span window) {
  while (!order_.empty() && order_.front().first <= now) {
    const auto at = until_.find(order_.front().second);
    if (at != until_.end() && at->second <= now) until_.erase(at);
    order_.pop_front();
  }
  const auto [at, made] = until_.try_emplace(dedupKey, now + window);
  if (!made && at->second > now) return false;
  at->second = now + window;
  order_.emplace_back(now + window, dedupKey);
  return true;
}

double ServerModel::warmFraction(Span now) const {
  if (traits_.coldTime <= Span{0} || startedAt_ == Span::min()) return 1;
  const double age = seconds(now - startedAt_) / seconds(traits_.coldTime);
  return std::min(1.0, traits_.coldShare + (1 - traits_.coldShare) * age);
}

bool ServerModel::offer(Span now, const Job& job) {
  addColdWork(now, job.work);
  if (!up_ || queue_.size() >= traits_.queue) return false;
  if (!hung() && static_cast<double>(running_.size()) < traits_.cores) {
    startJob(now, job);
  } else {
    queue_.push_back(job);
  }
  return true;
}

void ServerModel::startJob(Span now, const Job& job) {
  const bool effect = job.dedup == nullptr || job.dedup->insertIfNew(now, job.dedupKey, job.window);
  const double speed = traits_.speed * warmFraction(now) / slowdown_;
  const Span takes = span(workFor(now, job, effect) / speed);
  running_.push_back({job, now, now + takes, effect});
}

double ServerModel::workFor(Span now, const Job& job, bool effect) {
  if (!effect) return job.work * traits_.repeatWork;
  if (!job.key || traits_.keys == 0) return job.work;
  const auto at = recentKeyIndex_.find(*job.key);
  const bool warm = at != recentKeyIndex_.end() && now - at->second->second <= traits_.keyTime;
  if (at != recentKeyIndex_.end()) {
    recentKeys_.erase(at->second);
    recentKeyIndex_.erase(at);
  }
  recentKeys_.emplace_front(*job.key, now);
  recentKeyIndex_[*job.key] = recentKeys_.begin();
  if (recentKeys_.size() > traits_.keys) {
    recentKeyIndex_.erase(recentKeys_.back().first);
    recentKeys_.pop_back();
  }
  return warm ? job.work * (1 - traits_.keySaving) : job.work;
}

std::optional<Span> ServerModel::next() const {
  if (running_.empty() || hung()) return std::nullopt;
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
    startJob(*at, following);
  }
  return finished;
}

std::optional<Span> ServerModel::cancel(Span now, std::uint64_t job) {
  if (traits_.cancelStops == CancelStops::nothing) return std::nullopt;
  const auto queued =
      std::find_if(queue_.begin(), queue_.end(), [&](const Job& waiting) { return waiting.id == job; });
  if (queued != queue_.end()) {
    queue_.erase(queued);
    return Span{0};
  }
  if (traits_.cancelStops != CancelStops::all) return std::nullopt;
  const auto running =
      std::find_if(running_.begin(), running_.end(), [&](const Running& r) { return r.job.id == job; });
  if (running == running_.end()) return std::nullopt;
  const Span worked = now - running->from;
  running_.erase(running);
  if (!queue_.empty() && !hung()) {
    const Job following = queue_.front();
    queue_.pop_front();
    startJob(now, following);
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
  recentKeys_.clear();
  recentKeyIndex_.clear();
  hungSince_.reset();
  up_ = false;
  return lost;
}

void ServerModel::start(Span now, bool cold) {
  up_ = true;
  overloaded_ = false;
  startedAt_ = cold ? now : Span::min();
  coldWork_.clear();
  coldWorkSum_ = 0;
  slowdown_ = 1;
  service_ = 0;
  reported_ = Span{0};
}

void ServerModel::hang(Span now) {
  if (up_ && !hung()) hungSince_ = now;
}

void ServerModel::resume(Span now) {
  if (!hung()) return;
  for (Running& running : running_) running.until += now - *hungSince_;
  hungSince_.reset();
  while (!queue_.empty() && static_cast<double>(running_.size()) < traits_.cores) {
    const Job following = queue_.front();
    queue_.pop_front();
    startJob(now, following);
  }
}

double ServerModel::backlog(Span now) const {
  double work = 0;
  for (const Job& job : queue_) work += job.work;
  work *= slowdown_ / (traits_.speed * warmFraction(now));
  for (const Running& running : running_) work += std::max(0.0, seconds(running.until - now));
  return work / traits_.cores;
}

// Work that reaches a cold server counts toward its overload limit even if it is rejected. Beyond the limit
// the server fails.
void ServerModel::addColdWork(Span now, double work) {
  if (traits_.overloadMultiple <= 0 || !up_ || !cold(now)) return;
  coldWork_.emplace_back(now, work);
  coldWorkSum_ += work;
  while (coldWork_.front().first + traits_.overloadWindow < now) {
    coldWorkSum_ -= coldWork_.front().second;
    coldWork_.pop_front();
  }
  if (coldWorkSum_ > traits_.overloadMultiple * capacity(now) * seconds(traits_.overloadWindow))
    overloaded_ = true;
}

bool ServerModel::canAbsorb(Span now, double work) const {
  if (traits_.overloadMultiple <= 0 || !cold(now)) return true;
  double sum = work;
  for (const auto& [at, earlier] : coldWork_) sum += at + traits_.overloadWindow < now ? 0 : earlier;
  return sum <= kOverloadMargin * traits_.overloadMultiple * capacity(now) * seconds(traits_.overloadWindow);
}

void ServerModel::report(Span now, Span service) {
  service_ = service_ <= 0 ? seconds(service) : service_ + kServiceTimeWeight * (seconds(service) - service_);
  if (traits_.reportEvery <= Span{0} ||
      (reportedAt_ != Span::min() && now < reportedAt_ + traits_.reportEvery))
    return;
  reportedAt_ = now;
  reported_ = span(service_);
}

}  // namespace rackroute::lab
