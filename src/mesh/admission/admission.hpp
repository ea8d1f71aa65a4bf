#pragma once

// Admission to a server, by the process on its machine. It knows which servers live here and what they
// say of themselves, how many requests each is working on, and which operations ran here. It owns all of
// that; it takes inputs and returns what to send, claim and answer, with no I/O and no clock. It must never
// let a request to a server that is another, gone, or drains for too long; never run a key without a won
// claim; and never say that something has not run when it may have.

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

namespace rackroute::mesh {

/// What a server says in a beat, or with its sign-off.
struct Beat {
  InstanceId id;
  ServiceName service;
  Address address;
  std::string zone;
  std::uint32_t capacity = 1;
  bool draining = false;
  bool gone = false;
  Span coldLeft{};
  std::uint64_t seq = 0;
};

/// How an execution at a server here ended.
enum class AtServer { answered, notSent, broken, timedOut, spoilt };

/// A server's answer, as much of it as decides anything; the bytes are kept by whoever reads them.
struct ServerAnswer {
  std::uint32_t status = 0;
  bool notRun = false;  // it says so
  std::shared_ptr<const void> bytes;
  std::size_t size = 0;
};

/// What is to be done. Which fields matter goes by the kind.
struct AdmissionAction {
  enum class Kind { run, answer, claim, giveBack, tell, cancel };
  Kind kind = Kind::run;
  InboundRequestId ask;
  Address server{};                     // run
  InstanceId instance{};                // run
  ServiceName caller{};                 // run
  Span left{};                          // run: until its client gives up
  ForwardReply told{};                  // answer
  std::shared_ptr<const void> bytes{};  // answer: the server's, if there is one
  std::size_t size = 0;                 // answer: of the bytes, as memory
  KeyHash key{};                        // claim, giveBack
  ClaimNo claim{};                      // claim, giveBack
  Served served{};                      // tell
};
using AdmissionActions = std::vector<AdmissionAction>;

class Admission {
 public:
  struct Built {
    NodeName node;
    Address at;
    std::string zone;
    LifeNo life;
    ServiceName service;  // of the server on this machine, as the settings tell
    Address server;       // where it listens, as they tell; empty: only its beats tell
    Span drain{};
    Span keyWindow{};
    std::size_t mostKept = 0;  // bytes of answers that are kept for repeats
  };
  explicit Admission(Built built);

  AdmissionActions beat(Span now, const Beat& beat);
  /// What others know of a server here from an earlier life of this process. That it is ready counts until
  /// the first beat, and that it leaves for good.
  AdmissionActions adopt(Span now, const Served& served);
  /// The highest life that a control process knows of this node. Its news of servers goes on in the life
  /// after that one, if it is no older than this process's: the clock that counts lives was stepped back
  /// since, and all news of this life would be taken for old. All servers are told of anew then. The life in
  /// holders of claims stays as it was: there it only tells one life from another.
  AdmissionActions followLife(LifeNo highest);
  /// A request from another process; key: of its operation, if its route is keyed.
  AdmissionActions asked(Span now, InboundRequestId no, const ForwardRequest& ask,
                         const std::optional<std::string>& key);
  AdmissionActions claimEnded(Span now, const Claims::Outcome& ended);
  AdmissionActions ran(Span now, InboundRequestId no, AtServer how, const ServerAnswer& answer);
  /// The connection that the request came on has ended: its caller left, or the way broke. One that waits is
  /// turned away; one at work is cancelled if it may be repeated; a keyed one goes on, as a repeat may want
  /// its answer.
  AdmissionActions abandoned(Span now, InboundRequestId no);
  AdmissionActions tick(Span now);
  /// When tick() is to be called at the latest; none: whenever.
  [[nodiscard]] std::optional<Span> nextTick() const;
  Claims& claims() { return claims_; }
  /// The process leaves: nothing new is let in.
  AdmissionActions leave(Span now);
  [[nodiscard]] LifeNo life() const { return built_.life; }
  [[nodiscard]] std::size_t atWork() const { return jobs_.size(); }
  [[nodiscard]] std::vector<Served> servers() const;
  [[nodiscard]] std::size_t kept() const { return kept_; }

 private:
  struct Server {
    Served told;
    Address address;
    std::uint64_t seq = 0;           // its own calls
    Span drainsSince = Span::max();  // that far back, if it drained when it was first heard of here
    Span coldUntil{};
    std::uint32_t busy = 0;
    std::deque<InboundRequestId> waiting;  // the most worth for a slot's time first, then as they came
    double meanRun = 0.2;                  // seconds
    Span lastBeat{};
  };
  enum class Stage { claiming, waiting, running };
  struct Job {
    InboundRequestId no;
    ForwardRequest ask;
    Span deadline{};
    Span startBy{};
    double length = 0;  // seconds that it is expected to hold a slot
    double value = 0;   // worth for each second of it
    Span startedAt{};
    Stage stage = Stage::claiming;
    std::optional<KeyHash> key;
    ClaimNo claim;
  };
  enum class Past { working, answered, unknown };
  struct Operation {
    Past past = Past::working;
    ClaimNo claim;
    InboundRequestId by;
    std::shared_ptr<const void> bytes;
    std::size_t size = 0;
    Span at{};
    std::vector<std::pair<InboundRequestId, Span>> waiters;  // and when each gives up
  };

  [[nodiscard]] bool fits(Span now, const Job& job, const Server& server) const;
  void tell(Server& server, AdmissionActions& acts);
  /// The entry of the server that calls; a new one, if it is not known here.
  Server& entryFor(Span now, const Beat& beat);
  void makePlace();
  void depart(Span now, Server& server, bool draining, bool gone) const;
  /// What others know of a server's leaving.
  void learnDeparture(Span now, const Served& served, AdmissionActions& acts);
  void over(Span now, Server& server, AdmissionActions& acts);
  void turnAwayAll(Span now, Server& server, AdmissionActions& acts);
  void admit(Span now, Job& job, Server& server, AdmissionActions& acts);
  void claim(Span now, Job& job, AdmissionActions& acts);
  void run(Span now, Job& job, Server& server, AdmissionActions& acts);
  void next(Span now, Server& server, AdmissionActions& acts);
  void refuse(Span now, InboundRequestId no, Verdict verdict, const Server* server, AdmissionActions& acts,
              std::optional<Holder> holder = {});
  void endOperation(Span now, const KeyHash& key, Past past, const ServerAnswer& answer,
                    AdmissionActions& acts);
  void forgetOperation(Span now, const KeyHash& key, AdmissionActions& acts);
  void settle(Span now, InboundRequestId no, AdmissionActions& acts);
  [[nodiscard]] bool open(Span now, const Server& server) const;
  [[nodiscard]] Span waitAhead(const Server& server) const;
  [[nodiscard]] double lengthOf(const ForwardRequest& ask) const;
  [[nodiscard]] ForwardReply toldOf(Span now, Verdict verdict, const Server* server) const;
  [[nodiscard]] std::uint32_t room(const Server& server) const;
  void check() const;

  Built built_;
  Claims claims_;
  std::map<InstanceId, Server> servers_;
  std::map<InstanceId, Served> departed_;   // of this machine, as others tell; they have not called here
  std::deque<InstanceId> departedInOrder_;  // as they became known
  std::map<InboundRequestId, Job> jobs_;
  std::map<ClaimNo, InboundRequestId> claiming_;
  std::unordered_map<KeyHash, Operation, KeyHashHasher> operations_;
  std::map<std::string, double> lengths_;       // seconds, by route
  std::set<KeyHash> awaited_;                   // operations at work that repeats may wait for
  std::deque<std::pair<Span, KeyHash>> ended_;  // operations, as they ended
  std::size_t kept_ = 0;
  std::uint64_t said_ = 0;
  LifeNo newsLife_;        // in news of servers; built_.life but where an earlier life had a higher one
  LifeNo supersededLife_;  // that earlier life; 0: none
  std::pair<LifeNo, std::uint64_t> adopted_{};  // what was told of it last, before this life
  bool beaten_ = false;                         // a server has called here in this life
  bool leaving_ = false;
};

}  // namespace rackroute::mesh
