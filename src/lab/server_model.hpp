#pragma once

// One stand-in server as a model: cores that work off a FIFO queue with a bound, a cold start with its ramp
// and its collapse, a key cache, a memory of marks against repeats, load reports, a bound on connections. It
// knows no sockets, reads no clock and draws nothing: the same calls give the same answers, in virtual time
// as on sockets. It must never judge a balancer; that is the audit's.

#include <cstdint>
#include <deque>
#include <list>
#include <optional>
#include <unordered_map>
#include <vector>

#include "rackroute/types.hpp"

namespace rackroute::lab {

/// What servers that discard repeats together remember: each mark for its window, from when it began to run.
class Marks {
 public:
  /// True: not seen within the window, and seen from now on.
  bool first(Span now, std::uint64_t mark, Span window);

 private:
  std::unordered_map<std::uint64_t, Span> until_;
  std::deque<std::pair<Span, std::uint64_t>> order_;  // by end of window, roughly; what is over is forgotten
};

enum class CancelStops { nothing, queued, all };

struct ServerTraits {
  double cores = 1;             // whole
  double speed = 1;             // of a standard core
  std::size_t queue = 64;       // executions waiting
  double coldShare = 1;         // of its capacity right after a start
  Span coldTime{};              // until it is warm; 0: never cold
  double overloadMultiple = 0;  // of its present capacity; 0: never falls over
  Span overloadWindow{};
  double keySaving = 0;  // share of the work for a key met lately
  Span keyTime{};        // how long it remembers
  std::size_t keys = 0;  // how many it remembers
  std::size_t connections = 1000;
  Span reportEvery{};  // 0: no load reports
  CancelStops cancelStops = CancelStops::queued;
  double repeatWork = 0.1;  // share of the work that a discarded repeat costs
};

struct Job {
  std::uint64_t id = 0;
  double work = 0;  // seconds of a standard core
  std::optional<std::uint64_t> key;
  std::uint64_t mark = 0;  // against repeats; 0: none
  Marks* marks = nullptr;  // of the servers that discard its repeats
  Span window{};
};

struct Finished {
  Job job;
  Span at{};
  Span worked{};        // core time spent on it
  bool effect = false;  // it took effect, and was no discarded repeat
};

class ServerModel {
 public:
  explicit ServerModel(const ServerTraits& traits) : traits_(traits) {}

  /// False: turned away unseen, its queue is full.
  bool offer(Span now, const Job& job);
  /// What has finished up to now, in order.
  std::vector<Finished> advance(Span now);
  /// When the next one finishes.
  [[nodiscard]] std::optional<Span> next() const;
  /// Its balancer no longer waits for it. The core time that was spent on it in vain, if it stopped by that.
  std::optional<Span> cancel(Span now, std::uint64_t job);

  /// Ends all that it holds; those jobs come back. Nothing is done until it starts again.
  std::vector<Finished> stop(Span now);
  void start(Span now, bool cold);
  void slowDown(double times) { slow_ = times; }
  void hang(Span now);
  void goOn(Span now);

  /// Present capacity, in seconds of a standard core a second.
  [[nodiscard]] double capacity(Span now) const { return traits_.cores * traits_.speed * warmth(now); }
  [[nodiscard]] bool cold(Span now) const { return warmth(now) < 1; }
  [[nodiscard]] bool up() const { return up_; }
  [[nodiscard]] bool hangs() const { return hangingSince_.has_value(); }
  [[nodiscard]] bool fell() const { return fell_; }
  [[nodiscard]] std::size_t held() const { return running_.size() + queue_.size(); }
  /// Seconds until what it holds is worked off, all cores busy.
  [[nodiscard]] double backlog(Span now) const;
  /// Whether so much more work stays well below what would push it over.
  [[nodiscard]] bool bears(Span now, double work) const;
  /// The service time of one execution without waiting, as last reported; 0: never.
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
  [[nodiscard]] double warmth(Span now) const;
  void begin(Span now, const Job& job);
  double workFor(Span now, const Job& job, bool effect);
  void pressed(Span now, double work);
  void report(Span now, Span service);

  ServerTraits traits_;
  std::vector<Running> running_;
  std::deque<Job> queue_;
  std::list<std::pair<std::uint64_t, Span>> met_;  // keys, the latest first
  std::unordered_map<std::uint64_t, std::list<std::pair<std::uint64_t, Span>>::iterator> metAt_;
  std::deque<std::pair<Span, double>> pressure_;  // work that came while it was cold
  double pressureSum_ = 0;
  std::optional<Span> hangingSince_;
  Span startedAt_ = Span::min();  // min: long ago
  Span reported_{};
  Span reportedAt_ = Span::min();
  double service_ = 0;  // seconds, recent mean
  double slow_ = 1;
  bool up_ = true;
  bool fell_ = false;
};

}  // namespace rackroute::lab
