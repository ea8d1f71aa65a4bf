#pragma once

// Routes clients' requests in the data-plane process beside the caller: selects the route and the server, and
// decides on retries, hedging and timeouts. It owns this machine's unanswered requests and what is known of
// the servers. A state machine without I/O or clock: inputs return the actions to take. Invariants: a request
// that may have run and is not repeatable is never sent to a server that could run it again, and a request
// that may have run is never answered with 429 or 503.

#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <vector>

#include "mesh/balancing/retry_budget.hpp"
#include "mesh/balancing/server_pool.hpp"
#include "mesh/forwarding/forwarding.hpp"
#include "mesh/forwarding/open_work.hpp"

namespace rackroute::mesh {

using CallNo = Id<struct CallTag, std::uint64_t>;        // one request of a client on this machine
using AttemptNo = Id<struct AttemptTag, std::uint64_t>;  // one attempt to forward a request

/// The parts of a client's request that affect routing; the reader of the connection owns the bytes.
struct ClientRequest {
  std::string_view host;
  std::string_view path;
  std::optional<Span> timeout;  // the client's own
};

/// How one attempt ended.
enum class ForwardResult {
  replied,         // the other process answered
  notSent,         // no connection was established, or the request was not written completely
  connectionLost,  // the request was sent, and the connection closed before a complete answer
  timedOut,        // no answer in time
};

/// An action for the caller to take. The comments name the kinds that use each field.
struct RoutingAction {
  enum class Kind { send, answer, pass, cancel };
  Kind kind = Kind::send;
  CallNo call;
  AttemptNo attempt{};                  // send, cancel
  Address at{};                         // send
  ForwardRequest forward{};             // send
  std::uint32_t status = 0;             // answer
  Span retryAfter{};                    // answer; 0: none
  std::shared_ptr<const void> bytes{};  // pass: the answer to relay to the client
};
using RoutingActions = std::vector<RoutingAction>;

class RequestRouter {
 public:
  struct Config {
    NodeName node;
    std::string zone;
    ServiceName service;  // of the server on this machine
    RetryAllowance allowance;
    std::uint64_t seed = 0;
  };
  explicit RequestRouter(Config config);

  void configure(const Items& items) { table_.load(items); }
  /// connected: whether the server's process has an open control session.
  void updateServer(Span now, const ServerRecord& server, bool connected) {
    pool_.update(now, server, connected);
  }
  /// Sets how many data-plane processes share the retry budget.
  void setProcessCount(std::size_t count);
  RoutingActions handleRequest(Span now, CallNo no, const ClientRequest& request);
  /// status: of the server's answer, if the server ran the request.
  RoutingActions forwardEnded(Span now, CallNo no, AttemptNo attemptNo, ForwardResult how,
                              const ForwardReply& reply, std::uint32_t status,
                              std::shared_ptr<const void> bytes);
  /// The client has closed its connection. Pending attempts of pure and effectful requests are cancelled; an
  /// effectful one that a server has started still runs to its end. A keyed request continues, as a repeat
  /// may ask for its answer.
  RoutingActions abandoned(Span now, CallNo no);
  RoutingActions tick(Span now);
  [[nodiscard]] std::optional<Span> nextTick() const;
  [[nodiscard]] const RouteTable& routes() const { return table_; }
  [[nodiscard]] const ServerPool& servers() const { return pool_; }
  [[nodiscard]] std::size_t inFlight() const { return calls_.size(); }
  [[nodiscard]] std::vector<OpenWork> openWork(Span now) const;

 private:
  struct Attempt {
    /// request: forwards the request, which may run; holder: queries the answer of an earlier run of its
    /// operation, and never runs; outcome: queries the outcome of a request whose connection was lost.
    enum class Kind { request, holder, outcome };
    Kind kind = Kind::request;
    InstanceId instance;
    Address at;   // the process beside the server
    LifeNo life;  // of that process
    Span sentAt;  // outcome: when the request was sent, not the query
  };
  struct Call {
    std::shared_ptr<const Route> route;
    ServiceName service;
    Span started{};
    Span deadline{};
    Span hedgeAt = Span::max();
    std::set<InstanceId> triedServers;
    std::map<AttemptNo, Attempt> pending;
    std::uint32_t reached = 0;         // servers that the request may have reached
    std::uint32_t refusals = 0;        // attempts that were not admitted
    std::uint32_t quorumRefusals = 0;  // of these, for lack of a quorum
    bool mayHaveRun = false;
    Span quorumRetryAfter{};                  // longest advice from refusals for lack of a quorum
    Span shortestWait = Span::max();          // shortest queue estimate from other refusals
    std::shared_ptr<const void> lastFailure;  // relayed if no attempt succeeds
  };
  bool sendToNext(Span now, CallNo no, Call& call, RoutingActions& actions);
  void reportOutcome(Span now, const Attempt& attempt, ForwardResult how, const ForwardReply& reply,
                     std::uint32_t status);
  void queryHolder(Span now, CallNo no, Call& call, const Holder& holder, RoutingActions& actions);
  bool queryOutcome(Span now, CallNo no, Call& call, AttemptNo attemptNo, const Attempt& lost,
                    RoutingActions& actions);
  void answerEarlierRunUnknown(CallNo no, const Call& call, RoutingActions& actions);
  void finishWithoutAnswer(Span now, CallNo no, Call& call, RoutingActions& actions);
  void answer(CallNo no, std::uint32_t status, Span retryAfter, RoutingActions& actions);
  RetryBudget& budget(const ServiceName& service);
  [[nodiscard]] Span hedgeDelay(const Route& route) const;

  Config config_;
  RouteTable table_;
  ServerPool pool_;
  std::mt19937_64 random_;
  std::map<CallNo, Call> calls_;
  std::map<ServiceName, RetryBudget> budgets_;
  std::map<std::string, double> meanSecondsByRoute_;
  std::size_t processCount_;
  std::uint64_t forwardOrigin_;  // identifies the forwards of this run in the whole mesh
  std::uint64_t lastAttempt_ = 0;
};

}  // namespace rackroute::mesh
