#pragma once

// The rules, judged from what clients, servers and operators of an emulated day saw. It owns the record of
// that and knows nothing of the mesh's parts.

#include <cstdint>
#include <deque>
#include <map>
#include <set>
#include <string>
#include <vector>

#include "rackroute/types.hpp"

namespace rackroute::lab::mesh {

struct Broken {
  std::string rule;
  double at = 0;
  std::string what;
};

enum class Sort { pure, effectful, keyed };

class Judge {
 public:
  struct Bounds {
    Span drain{}, apply{}, keyWindow{}, retryWindow{};
    double retryRatio = 0;
    double retrySlack = 0;
  };
  explicit Judge(Bounds bounds) : bounds_(bounds) {}

  void sent(Span now, std::uint64_t attempt, Sort sort, const std::string& key, int service);
  /// A server begins to work on it; seal: of this run alone.
  void ran(Span now, std::uint64_t attempt, int service, std::uint64_t seal, Span drainAcked);
  void arrived(Span now, std::uint64_t attempt, int service);
  /// seal: 0 without one.
  void answered(Span now, std::uint64_t attempt, std::uint32_t status, std::uint64_t seal);
  /// Its client closed the connection and waits for no answer.
  void left(Span now, std::uint64_t attempt);
  /// A server was at work on it until now, or would have been for that much longer had it not been told to
  /// stop.
  void worked(Span now, std::uint64_t attempt, Span notWorked);
  void used(Span now, std::uint32_t sidecar, std::uint64_t life, std::uint64_t generation,
            std::uint64_t least);
  void lost(Span now, const std::string& what) { broken_.push_back({"LOST", seconds(now), what}); }
  void failed(Span now, const std::string& rule, const std::string& what) {
    broken_.push_back({rule, seconds(now), what});
  }
  void end();
  [[nodiscard]] const std::vector<Broken>& broken() const { return broken_; }
  [[nodiscard]] std::uint64_t asked() const { return asked_; }
  [[nodiscard]] std::uint64_t servedWhole() const { return served_; }
  [[nodiscard]] std::uint64_t runs() const { return runs_; }
  /// Runs for clients that had left half a second before, and those that would have lasted so long.
  [[nodiscard]] std::uint64_t abandonedAtWork() const { return abandoned_.atWork; }
  [[nodiscard]] std::uint64_t abandonedThatMayHaveBeen() const { return abandoned_.mayHaveBeen; }
  [[nodiscard]] std::uint64_t repeatsAnswered() const { return repeats_; }
  [[nodiscard]] const std::map<std::uint32_t, std::uint64_t>& statuses() const { return statuses_; }

 private:
  static double seconds(Span span) { return std::chrono::duration<double>(span).count(); }
  struct Attempt {
    Sort sort = Sort::pure;
    std::string key;
    int service = 0;
    std::uint32_t ran = 0;
    std::uint32_t arrivals = 0;
    bool promised = false;  // that it has not run and never will
    std::set<std::uint64_t> seals;
    Span leftAt = Span::max();  // when its client left
  };
  /// Of requests whose clients had left, kGoneAfter (half a second) after that.
  struct Abandoned {
    std::uint64_t begun = 0;        // servers began to work on them
    std::uint64_t atWork = 0;       // of those that may be repeated: servers were still at work on them
    std::uint64_t mayHaveBeen = 0;  // likewise, or would have been had they not been told to stop
  };
  struct Key {
    Span firstSent{};
    std::uint64_t firstSeal = 0;
  };
  Bounds bounds_;
  std::map<std::uint64_t, Attempt> attempts_;
  std::map<std::string, Key> keys_;
  std::map<int, std::vector<Span>> requests_;
  std::map<int, std::vector<Span>> further_;
  std::map<std::uint32_t, std::pair<std::uint64_t, std::uint64_t>>
      inForce_;  // life and generation by sidecar
  Abandoned abandoned_;
  std::vector<Broken> broken_;
  std::map<std::uint32_t, std::uint64_t> statuses_;
  std::uint64_t asked_ = 0;
  std::uint64_t served_ = 0;
  std::uint64_t runs_ = 0;
  std::uint64_t repeats_ = 0;
};

}  // namespace rackroute::lab::mesh
