#pragma once

// The rules, judged from what clients, servers and operators of an emulated day saw. It owns the record of
// that and knows nothing of the mesh's parts.

#include <cstdint>
#include <deque>
#include <map>
#include <set>
#include <string>
#include <vector>

#include "rackroute/terms.hpp"

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
  std::vector<Broken> broken_;
  std::map<std::uint32_t, std::uint64_t> statuses_;
  std::uint64_t asked_ = 0;
  std::uint64_t served_ = 0;
  std::uint64_t runs_ = 0;
  std::uint64_t repeats_ = 0;
};

}  // namespace rackroute::lab::mesh
