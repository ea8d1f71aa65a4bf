#pragma once

// Outcomes of the forwards that this sidecar received, kept so that a caller whose connection broke can query
// whether its request arrived and how it ended. A forward that has not arrived when it is queried is fenced:
// it is rejected if it arrives later. A state machine without I/O or clock, bounded in size and time.
// Invariant: a forward that this process may have admitted is never reported as not received.

#include <cstdint>
#include <deque>
#include <memory>
#include <optional>
#include <unordered_map>
#include <vector>

#include "mesh/forwarding/forwarding.hpp"
#include "mesh/names.hpp"

namespace rackroute::mesh {

class ForwardOutcomes {
 public:
  struct Limits {
    std::size_t maxCompleted = 20'000;                   // completed forwards kept
    std::size_t maxFenced = 5'000;                       // forwards to be rejected on arrival
    std::size_t maxWaiters = 4;                          // queries waiting for one forward
    std::size_t maxResponseBytes = 8U << 20;             // total size of the responses kept for queries
    Span completedRetention = std::chrono::seconds(20);  // see kOutcomeQueryWindow
    Span responseRetention = std::chrono::seconds(2);    // longer than it takes to notice a lost connection
    Span fenceRetention = std::chrono::seconds(60);      // longer than unread bytes can stay in a socket
  };
  /// How to handle a received forward or outcome query.
  struct Arrival {
    enum class Kind { admit, respond, wait };
    Kind kind = Kind::admit;
    ForwardReply reply{};                 // respond
    std::shared_ptr<const void> bytes{};  // respond: the server's response, if any
  };

  ForwardOutcomes(LifeNo life, const Limits& limits) : life_(life), limits_(limits) {}

  /// Handles a received forward or outcome query. admit: pass it to Admission; wait: complete() returns its
  /// ID once the queried forward has completed.
  Arrival receive(Span now, InboundRequestId requestId, const ForwardRequest& request);
  /// Records the response to a forward; returns the queries that waited for it and get the same response.
  /// size: memory used by the response.
  std::vector<InboundRequestId> complete(Span now, InboundRequestId requestId, const ForwardReply& reply,
                                         std::shared_ptr<const void> bytes, std::size_t size);
  /// Removes expired records. Must be called at least once a second: time without calls, as in a suspended
  /// process, does not count towards expiry, because delayed forwards stay unread just as long.
  void tick(Span now);
  [[nodiscard]] std::size_t size() const { return records_.size(); }
  [[nodiscard]] std::size_t responseBytes() const { return responseBytes_; }

 private:
  enum class State { inProgress, completed, fenced };
  struct Record {
    State state = State::inProgress;
    std::vector<InboundRequestId> waiters;
    ForwardReply reply;
    std::shared_ptr<const void> bytes;
    std::size_t size = 0;
  };
  struct HashForwardId {
    std::size_t operator()(const ForwardId& id) const {
      return id.origin ^ (id.number * 0x9e3779b97f4a7c15U);
    }
  };
  using Queue = std::deque<std::pair<Span, ForwardId>>;  // oldest first, by active time

  Arrival admit(InboundRequestId requestId, const ForwardId& id);
  Arrival query(InboundRequestId requestId, const ForwardRequest& request);
  Arrival fence(const ForwardId& id);
  void dropResponse(Record& record);
  void forgetOldestCompleted();
  void advance(Span now);

  LifeNo life_;
  Limits limits_;
  std::unordered_map<ForwardId, Record, HashForwardId> records_;
  std::unordered_map<std::uint64_t, ForwardId> inProgress_;  // by InboundRequestId
  Queue completed_;
  Queue withResponse_;  // completed forwards whose responses are kept
  Queue fenced_;
  std::size_t responseBytes_ = 0;
  Span activeTime_{};       // time during which the process was running
  Span lastCall_{};         // the time of the last call
  Span unreliableUntil_{};  // active time until which records may have been removed early
};

}  // namespace rackroute::mesh
