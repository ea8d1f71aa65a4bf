#pragma once

// Checks the rules of the mesh against what clients, servers and operators observe during a day. The judge is
// independent of the implementation of the mesh.

#include <cstdint>
#include <deque>
#include <map>
#include <set>
#include <string>
#include <vector>

#include "rackroute/types.hpp"

namespace rackroute::lab::mesh {

/// An observed violation of a rule.
struct Violation {
  std::string rule;
  double at = 0;
  std::string detail;
};

/// Requests that may be repeated freely, have side effects, or carry an idempotency key.
enum class RequestKind { pure, effectful, keyed };

/// Collects observations and the violations found in them. Times are relative to the start of the run.
class Judge {
 public:
  /// Time limits and the retry budget that the rules allow.
  struct Bounds {
    Span drain{}, apply{}, keyWindow{}, retryWindow{};
    double retryRatio = 0;
    double retrySlack = 0;
  };
  explicit Judge(Bounds bounds) : bounds_(bounds) {}

  void requestSent(Span now, std::uint64_t attempt, RequestKind kind, const std::string& key, int service);
  /// A server starts to execute the request. The seal identifies this execution; drainAckedAt is negative
  /// while the server's drain has not been acknowledged.
  void executionStarted(Span now, std::uint64_t attempt, int service, std::uint64_t seal, Span drainAckedAt);
  void requestArrived(Span now, std::uint64_t attempt, int service);
  /// The seal is 0 for a response without one.
  void responseReceived(Span now, std::uint64_t attempt, std::uint32_t status, std::uint64_t seal);
  /// The client closed its connection before a response.
  void clientDisconnected(Span now, std::uint64_t attempt);
  /// The execution ended now; if it was cancelled, it would have taken another `remaining`.
  void executionFinished(Span now, std::uint64_t attempt, Span remaining);
  /// A sidecar routes by a version of a route that must be at least `minimum`.
  void routeVersionUsed(Span now, std::uint32_t sidecar, std::uint64_t incarnation, std::uint64_t generation,
                        std::uint64_t minimum);
  void reportLoss(Span now, const std::string& detail) {
    violations_.push_back({"LOST", seconds(now), detail});
  }
  void reportViolation(Span now, const std::string& rule, const std::string& detail) {
    violations_.push_back({rule, seconds(now), detail});
  }
  /// Checks the rules that need the whole day's record.
  void finish();
  [[nodiscard]] const std::vector<Violation>& violations() const { return violations_; }
  [[nodiscard]] std::uint64_t requests() const { return requestCount_; }
  [[nodiscard]] std::uint64_t successes() const { return successes_; }
  [[nodiscard]] std::uint64_t executions() const { return executions_; }
  /// Executions still running half a second after their client disconnected.
  [[nodiscard]] std::uint64_t abandonedStillRunning() const { return abandoned_.stillRunning; }
  /// As above, and those that would still have been running had they not been cancelled.
  [[nodiscard]] std::uint64_t abandonedTotal() const { return abandoned_.total; }
  /// Successful responses to keyed attempts that were not executed themselves.
  [[nodiscard]] std::uint64_t replayedResponses() const { return replayedResponses_; }
  [[nodiscard]] const std::map<std::uint32_t, std::uint64_t>& statuses() const { return statuses_; }

 private:
  static double seconds(Span span) { return std::chrono::duration<double>(span).count(); }
  struct Attempt {
    RequestKind kind = RequestKind::pure;
    std::string key;
    int service = 0;
    std::uint32_t executions = 0;
    std::uint32_t arrivals = 0;
    bool refused = false;  // answered with a status that guarantees it is never executed
    std::set<std::uint64_t> seals;
    Span disconnectedAt = Span::max();  // when its client closed the connection
  };
  /// Requests whose clients had disconnected more than kCancelTime before.
  struct Abandoned {
    std::uint64_t started = 0;       // executions that started; requests without a key only
    std::uint64_t stillRunning = 0;  // pure requests that were still running
    std::uint64_t total = 0;         // pure requests that were, or without cancellation would have been
  };
  struct Key {
    Span firstSent{};
    std::uint64_t firstSeal = 0;
  };
  Bounds bounds_;
  std::map<std::uint64_t, Attempt> attempts_;
  std::map<std::string, Key> keys_;
  std::map<int, std::vector<Span>> requests_;  // times, by service
  std::map<int, std::vector<Span>> retries_;   // times of repeated arrivals, by service
  std::map<std::uint32_t, std::pair<std::uint64_t, std::uint64_t>>
      routeVersions_;  // incarnation and generation by sidecar
  Abandoned abandoned_;
  std::vector<Violation> violations_;
  std::map<std::uint32_t, std::uint64_t> statuses_;
  std::uint64_t requestCount_ = 0;
  std::uint64_t successes_ = 0;
  std::uint64_t executions_ = 0;
  std::uint64_t replayedResponses_ = 0;
};

}  // namespace rackroute::lab::mesh
