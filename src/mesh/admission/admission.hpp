#pragma once

// Admission control for the servers on one machine, in the data-plane process beside them. It owns the state
// of the local servers, the requests that are queued or in flight at them, and the operations that ran here.
// A state machine without I/O or clock: inputs return the actions to take. Invariants: a request never
// reaches a server that is another instance, has signed off or has drained for too long; a keyed request runs
// only with a won claim; and a request that may have run is never reported as not run.

#include <cstdint>
#include <deque>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <unordered_map>
#include <utility>
#include <vector>

#include "mesh/claims/claims.hpp"
#include "mesh/forwarding/forwarding.hpp"
#include "mesh/forwarding/open_work.hpp"

namespace rackroute::mesh {

/// A server's periodic heartbeat, or its sign-off.
struct ServerHeartbeat {
  InstanceId id;
  ServiceName service;
  Address address;
  std::string zone;
  std::uint32_t capacity = 1;
  bool draining = false;
  bool gone = false;  // the server signs off
  Span coldLeft{};    // remaining warm-up time
  std::uint64_t seq = 0;
};

/// How an execution at a local server ended.
enum class ExecutionResult { answered, notSent, connectionLost, timedOut, malformed };

/// The parts of a server's answer that affect decisions; the reader of the connection owns the bytes.
struct ServerAnswer {
  std::uint32_t status = 0;
  bool notRun = false;  // the server states that it did not run the request
  std::shared_ptr<const void> bytes;
  std::size_t size = 0;
};

/// An action for the caller to take. The comments name the kinds that use each field.
struct AdmissionAction {
  enum class Kind { run, answer, claim, releaseClaim, announce, cancel };
  Kind kind = Kind::run;
  InboundRequestId request;
  Address server{};                     // run
  InstanceId instance{};                // run
  ServiceName caller{};                 // run
  Span left{};                          // run: time until the client's deadline
  ForwardReply reply{};                 // answer
  std::shared_ptr<const void> bytes{};  // answer: the server's answer, if there is one
  std::size_t size = 0;                 // answer: memory held by the bytes
  KeyHash key{};                        // claim, releaseClaim
  ClaimNo claim{};                      // claim, releaseClaim
  ServerRecord served{};                // announce
};
using AdmissionActions = std::vector<AdmissionAction>;

class Admission {
 public:
  struct Config {
    NodeName node;
    Address at;
    std::string zone;
    LifeNo life;
    ServiceName service;  // of the server on this machine, from the settings
    Address server;       // its listen address, from the settings; empty: known from heartbeats only
    Span drain{};
    Span keyWindow{};
    std::size_t maxCachedBytes = 0;  // of answers cached for repeats
  };
  explicit Admission(Config config);

  AdmissionActions heartbeat(Span now, const ServerHeartbeat& heartbeat);
  /// Takes over what other processes know of a local server from an earlier run of this process: until the
  /// first heartbeat that it is ready, and permanently that it drains or has signed off.
  AdmissionActions adopt(Span now, const ServerRecord& served);
  /// Handles the highest life number of this node that a control process knows. If this process's number is
  /// not higher (the clock was stepped back), announcements continue with the next number, as they would be
  /// dropped as outdated otherwise, and all servers are announced again. Claims keep the original number.
  AdmissionActions continueAfterLife(LifeNo highest);
  /// A request forwarded by another process; key: its operation key, if its route is keyed.
  AdmissionActions handleRequest(Span now, InboundRequestId no, const ForwardRequest& request,
                                 const std::optional<std::string>& key);
  AdmissionActions claimEnded(Span now, const Claims::Outcome& ended);
  AdmissionActions executionEnded(Span now, InboundRequestId no, ExecutionResult how,
                                  const ServerAnswer& answer);
  /// The connection of a forwarded request has closed. A queued request is refused; a running one is
  /// cancelled if it is pure; a keyed one continues, as a repeat may request its answer.
  AdmissionActions abandoned(Span now, InboundRequestId no);
  AdmissionActions tick(Span now);
  /// The latest time for the next tick(); none: no deadline is pending.
  [[nodiscard]] std::optional<Span> nextTick() const;
  Claims& claims() { return claims_; }
  /// This process exits soon: it starts no more requests with a deadline after `latest`, as its exit would
  /// cut them off. Called again when `latest` changes.
  AdmissionActions completeBy(Span now, Span latest);
  /// Starts the shutdown of this process: no new request is admitted.
  AdmissionActions leave(Span now);
  [[nodiscard]] LifeNo life() const { return config_.life; }
  [[nodiscard]] std::size_t inFlight() const { return jobs_.size(); }
  /// The executions at the local servers.
  [[nodiscard]] std::vector<OpenWork> openWork(Span now) const;
  /// Whether new requests for the server are admitted.
  [[nodiscard]] bool admits(Span now, const InstanceId& id) const;
  [[nodiscard]] std::vector<ServerRecord> servers() const;
  [[nodiscard]] std::size_t cachedBytes() const { return cachedBytes_; }

 private:
  struct Server {
    ServerRecord announced;
    Address address;
    std::uint64_t seq = 0;             // of its last heartbeat; 0: none was received in this run
    Span drainingSince = Span::max();  // see markDeparture()
    Span coldUntil{};
    std::uint32_t busy = 0;
    std::deque<InboundRequestId> waiting;  // by value per second, then by arrival
    double meanRunSeconds = 0.2;
    Span lastHeartbeat{};
  };
  enum class Stage { claiming, waiting, running };
  struct Job {
    InboundRequestId no;
    ForwardRequest request;
    Span deadline{};
    Span startBy{};
    double expectedSeconds = 0;  // of slot time
    double valuePerSecond = 0;   // of slot time
    Span startedAt{};
    Stage stage = Stage::claiming;
    std::optional<KeyHash> key;
    ClaimNo claim;
  };
  enum class OperationState { running, answered, unknown };
  struct Operation {
    OperationState state = OperationState::running;
    ClaimNo claim;
    InboundRequestId by;
    std::shared_ptr<const void> bytes;
    std::size_t size = 0;
    Span at{};
    std::vector<std::pair<InboundRequestId, Span>> waiters;  // repeats, each with its time limit
  };

  [[nodiscard]] bool canStartInTime(Span now, const Job& job, const Server& server) const;
  void announce(Server& server, AdmissionActions& actions);
  Server& findOrAddServer(Span now, const ServerHeartbeat& heartbeat);
  void evictIdleServer();
  /// since: when the departure was first received; a drain time ago if an earlier run may have received it,
  /// so that a restart does not extend the drain.
  static void markDeparture(Span since, Server& server, bool draining, bool gone);
  /// Applies a departure that other processes know of.
  void applyKnownDeparture(Span now, const ServerRecord& served, AdmissionActions& actions);
  void markReplaced(Span now, Server& server, AdmissionActions& actions);
  void refuseWaiting(Span now, Server& server, AdmissionActions& actions);
  void startOrEnqueue(Span now, Job& job, Server& server, AdmissionActions& actions);
  void openClaim(Span now, Job& job, AdmissionActions& actions);
  void start(Span now, Job& job, Server& server, AdmissionActions& actions);
  void startWaiting(Span now, Server& server, AdmissionActions& actions);
  void refuse(Span now, InboundRequestId no, Verdict verdict, const Server* server, AdmissionActions& actions,
              std::optional<Holder> holder = {});
  void endOperation(Span now, const KeyHash& key, OperationState state, const ServerAnswer& answer,
                    AdmissionActions& actions);
  void forgetOperation(Span now, const KeyHash& key, AdmissionActions& actions);
  void settle(Span now, InboundRequestId no, AdmissionActions& actions);
  [[nodiscard]] bool isOpen(Span now, const Server& server) const;
  /// Whether a request with this deadline surely ends before this process exits.
  [[nodiscard]] bool endsBeforeExit(Span deadline) const { return deadline <= latestEnd_; }
  [[nodiscard]] Span estimatedWait(const Server& server) const;
  [[nodiscard]] double expectedSeconds(const ForwardRequest& request) const;
  [[nodiscard]] ForwardReply replyFor(Span now, Verdict verdict, const Server* server) const;
  [[nodiscard]] std::uint32_t capacityOf(const Server& server) const;
  void checkInvariants() const;

  Config config_;
  Claims claims_;
  std::map<InstanceId, Server> servers_;
  std::map<InstanceId, ServerRecord> departed_;  // reported by others; no heartbeat was received in this run
  std::deque<InstanceId> departedOrder_;         // oldest first
  std::map<InboundRequestId, Job> jobs_;
  std::map<ClaimNo, InboundRequestId> jobsByClaim_;
  std::unordered_map<KeyHash, Operation, KeyHashHasher> operations_;
  std::map<std::string, double> meanSecondsByRoute_;
  std::set<KeyHash> awaitedOperations_;                   // running, with repeats that may wait
  std::deque<std::pair<Span, KeyHash>> endedOperations_;  // oldest first
  std::size_t cachedBytes_ = 0;
  std::uint64_t lastSeq_ = 0;
  LifeNo announcedLife_;   // config_.life, unless an earlier run had a higher number
  LifeNo supersededLife_;  // number of that earlier run; 0: none
  std::pair<LifeNo, std::uint64_t> adoptedVersion_{};  // of the last announcement that was adopted
  bool heartbeatSeen_ = false;                         // in this run
  bool leaving_ = false;
  Span latestEnd_ = Span::max();  // of requests that are started
};

}  // namespace rackroute::mesh
