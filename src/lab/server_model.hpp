#pragma once

// Model of a simulated server: cores that serve a bounded FIFO queue, cold start with warm-up and overload,
// key cache, deduplication of repeats, load reports and a connection limit. The model is deterministic and
// has no sockets or clock of its own, so virtual runs and socket runs share it.

#include <cstdint>
#include <deque>
#include <list>
#include <optional>
#include <unordered_map>
#include <vector>

#include "rackroute/types.hpp"

namespace rackroute::lab {

/// Deduplication memory shared by a group of servers. A key is kept for its window from the start of
/// execution.
class DedupStore {
 public:
  /// Records the key; false if it was already recorded within its window.
  bool insertIfNew(Span now, std::uint64_t dedupKey, Span window);

 private:
  std::unordered_map<std::uint64_t, Span> until_;
  std::deque<std::pair<Span, std::uint64_t>> order_;  // approximately by expiry
};

enum class CancelStops { nothing, queued, all };

struct ServerTraits {
  double cores = 1;             // an integer
  double speed = 1;             // relative to a standard core
  std::size_t queue = 64;       // maximum waiting executions
  double coldShare = 1;         // capacity right after a start, relative to warm
  Span coldTime{};              // warm-up time; 0: never cold
  double overloadMultiple = 0;  // relative to the present capacity; 0: never overloads
  Span overloadWindow{};
  double keySaving = 0;  // share of the work saved for a recently served key
  Span keyTime{};        // retention of a served key
  std::size_t keys = 0;  // capacity of the key cache
  std::size_t connections = 1000;
  Span reportEvery{};  // 0: no load reports
  CancelStops cancelStops = CancelStops::queued;
  double repeatWork = 0.1;  // cost of a discarded repeat, relative to its work
};

struct Job {
  std::uint64_t id = 0;
  double work = 0;  // seconds of a standard core
  std::optional<std::uint64_t> key;
  std::uint64_t dedupKey = 0;   // 0: none
  DedupStore* dedup = nullptr;  // null: repeats are executed
  Span window{};
};

struct Finished {
  Job job;
  Span at{};
  Span worked{};        // core time spent
  bool effect = false;  // false for a discarded repeat
};

class ServerModel {
 public:
  explicit ServerModel(const ServerTraits& traits) : traits_(traits) {}

  /// False if the server is down or its queue is full; the job is then not executed.
  bool offer(Span now, const Job& job);
  /// Jobs that finished up to now, in order of completion.
  std::vector<Finished> advance(Span now);
  /// Time of the next completion.
  [[nodiscard]] std::optional<Span> next() const;
  /// Cancels a job as far as cancelStops allows; returns the core time already spent if it was stopped.
  std::optional<Span> cancel(Span now, std::uint64_t job);

  /// Stops the server and returns its unfinished jobs.
  std::vector<Finished> stop(Span now);
  void start(Span now, bool cold);
  void slowDown(double times) { slowdown_ = times; }
  void hang(Span now);
  void resume(Span now);

  /// Present capacity, in standard cores.
  [[nodiscard]] double capacity(Span now) const { return traits_.cores * traits_.speed * warmFraction(now); }
  [[nodiscard]] bool cold(Span now) const { return warmFraction(now) < 1; }
  [[nodiscard]] bool up() const { return up_; }
  [[nodiscard]] bool hung() const { return hungSince_.has_value(); }
  [[nodiscard]] bool overloaded() const { return overloaded_; }
  [[nodiscard]] std::size_t inFlight() const { return running_.size() + queue_.size(); }
  /// Seconds until all jobs in flight are done, with all cores busy.
  [[nodiscard]] double backlog(Span now) const;
  /// Whether additional work keeps a cold server well below its overload limit.
  [[nodiscard]] bool canAbsorb(Span now, double work) const;
  /// Service time without queueing, as last reported; 0 before the first report.
  [[nodiscard]] Span reported() const { return reported_; }
  [[nodiscard]] const ServerTraits& traits() const { return traits_; }
  [[nodiscard]] Span startedAt() const { return startedAt_; }

 private:
  struct Running {
    Job job;
    Span from;
    Span until;
    bool effect;
  };
  [[nodiscard]] double warmFraction(Span now) const;
  void startJob(Span now, const Job& job);
  double workFor(Span now, const Job& job, bool effect);
  void addColdWork(Span now, double work);
  void report(Span now, Span service);

  ServerTraits traits_;
  std::vector<Running> running_;
  std::deque<Job> queue_;
  std::list<std::pair<std::uint64_t, Span>> recentKeys_;  // most recently used first
  std::unordered_map<std::uint64_t, std::list<std::pair<std::uint64_t, Span>>::iterator> recentKeyIndex_;
  std::deque<std::pair<Span, double>> coldWork_;  // work received while cold
  double coldWorkSum_ = 0;
  std::optional<Span> hungSince_;
  Span startedAt_ = Span::min();  // min: warm from the beginning
  Span reported_{};
  Span reportedAt_ = Span::min();
  double service_ = 0;  // moving average, in seconds
  double slowdown_ = 1;
  bool up_ = true;
  bool overloaded_ = false;
};

}  // namespace rackroute::lab
