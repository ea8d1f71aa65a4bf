#pragma once

// The process beside a caller decides: which route a request takes, which server gets it, whether it goes to
// another, and when it is given up. It owns the requests of this machine that have no final answer yet and
// what was learned of the servers; it takes inputs and returns what to send and answer, with no I/O and no
// clock. It must never send what may have run and is not repeatable to a server that could run it again,
// and never answer 429 or 503 for what may have run.

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

namespace rackroute::mesh {

using CallNo = Id<struct CallTag, std::uint64_t>;  // one request of a client on this machine
using TryNo = Id<struct TryTag, std::uint64_t>;    // one time that it was sent to another process

/// What decides about a request; its bytes are kept by whoever read them.
struct Asked {
  std::string_view host;
  std::string_view path;
  std::optional<Span> patience;  // that its client will wait
};

/// What came of one try.
enum class ForwardResult {
  told,     // the other process answered
  notSent,  // no connection came up, or the whole request was never written to it
  broken,   // it was sent, and the connection ended without a whole answer
  silent,   // no answer in time
};

struct RoutingAction {
  enum class Kind { send, answer, pass, cancel };
  Kind kind = Kind::send;
  CallNo call;
  TryNo sent{};                         // send, cancel
  Address at{};                         // send
  ForwardRequest ask{};                 // send
  std::uint32_t status = 0;             // answer
  Span comeBack{};                      // answer: 0, no advice
  std::shared_ptr<const void> bytes{};  // pass: the answer that goes to the client
};
using RoutingActions = std::vector<RoutingAction>;

class RequestRouter {
 public:
  struct Built {
    NodeName node;
    std::string zone;
    ServiceName service;  // that runs on this machine
    RetryAllowance allowance;
    std::uint64_t seed = 0;
  };
  explicit RequestRouter(Built built);

  void configured(const Items& items) { table_.read(items); }
  void told(Span now, const Served& server, bool heard) { pool_.update(now, server, heard); }
  /// How many data-plane processes share the allowance for further tries.
  void processes(std::size_t count);
  RoutingActions asked(Span now, CallNo no, const Asked& asked);
  /// status: of the server's answer, if the verdict is that it ran.
  RoutingActions forwarded(Span now, CallNo no, TryNo sent, ForwardResult how, const ForwardReply& told,
                           std::uint32_t status, std::shared_ptr<const void> bytes);
  /// Its client has closed its connection and waits for nothing. What may be repeated is cancelled wherever
  /// it is; an effectful request is, too, and runs on where it has begun to; a keyed one goes on, as a repeat
  /// may want its answer.
  RoutingActions abandoned(Span now, CallNo no);
  RoutingActions tick(Span now);
  [[nodiscard]] std::optional<Span> nextTick() const;
  [[nodiscard]] const RouteTable& routes() const { return table_; }
  [[nodiscard]] const ServerPool& servers() const { return pool_; }
  [[nodiscard]] std::size_t atWork() const { return calls_.size(); }

 private:
  struct Try {
    /// request: it may run; holder: asks for the answer of an earlier run of its operation, and never runs;
    /// outcome: asks what came of a request whose connection broke.
    enum class Kind { request, holder, outcome };
    Kind kind = Kind::request;
    InstanceId instance;
    Address at;   // the process beside it
    LifeNo life;  // of that process
    Span sentAt;  // outcome: the request, not the question
  };
  struct Call {
    std::shared_ptr<const Route> route;
    ServiceName service;
    Span started{};
    Span deadline{};
    Span hedgeAt = Span::max();
    std::set<InstanceId> been;  // servers that it was sent to, or tried to be
    std::map<TryNo, Try> out;
    std::uint32_t reached = 0;   // servers that it may have reached
    std::uint32_t refusals = 0;  // that did not let it in
    std::uint32_t voteless = 0;  // of these, for want of a quorum
    bool mayHaveRun = false;
    Span quorumBack{};                      // until there may be a quorum, as refusals told
    Span wait = Span::max();                // the shortest until there may be room, as refusals told
    std::shared_ptr<const void> lastBytes;  // a server's answer that it failed, in case nothing better comes
  };
  bool sendOn(Span now, CallNo no, Call& call, RoutingActions& acts);
  void learn(Span now, const Try& tried, ForwardResult how, const ForwardReply& told, std::uint32_t status);
  void askHolder(Span now, CallNo no, Call& call, const Holder& holder, RoutingActions& acts);
  bool askOutcome(Span now, CallNo no, Call& call, TryNo sent, const Try& broken, RoutingActions& acts);
  void earlierRunUnknown(CallNo no, const Call& call, RoutingActions& acts);
  void giveUp(Span now, CallNo no, Call& call, RoutingActions& acts);
  void answer(CallNo no, std::uint32_t status, Span comeBack, RoutingActions& acts);
  RetryBudget& budget(const ServiceName& service);
  [[nodiscard]] Span hedgeAfter(const Route& route) const;

  Built built_;
  RouteTable table_;
  ServerPool pool_;
  std::mt19937_64 chance_;
  std::map<CallNo, Call> calls_;
  std::map<ServiceName, RetryBudget> budgets_;
  std::map<std::string, double> meanAnswer_;  // seconds, by route
  std::size_t processes_;
  std::uint64_t origin_;  // of this life's forwards, unlike any other's
  std::uint64_t tries_ = 0;
};

}  // namespace rackroute::mesh
