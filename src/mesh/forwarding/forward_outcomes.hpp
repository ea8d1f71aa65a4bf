#pragma once

// What became of the forwards that this sidecar received: kept so that a caller whose connection broke may
// ask whether its request came, and what of it. A request that had not come when it was asked after is turned
// away for good should it come late. No I/O, no clock; sizes and times are bounded. It must never say that a
// forward did not come when it may have been admitted, in this life.

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
    std::size_t ended = 20'000;                  // forwards remembered after their end
    std::size_t fenced = 5'000;                  // forwards to be turned away
    std::size_t waiters = 4;                     // questions that wait for one forward
    std::size_t answerBytes = 8U << 20;          // of answers kept for questions, all together
    Span remembered = std::chrono::seconds(20);  // after a forward's end; see kOutcomeTrust
    Span answerKept = std::chrono::seconds(2);   // a broken connection is noticed far sooner
    Span fenceKept = std::chrono::seconds(60);   // far longer than unread bytes lie in a socket
  };
  /// What to do with a forward, or a question after one, that came.
  struct Arrival {
    enum class Kind { admit, answer, wait };
    Kind kind = Kind::admit;
    ForwardReply reply{};                 // answer
    std::shared_ptr<const void> bytes{};  // answer: the server's, if there is one
  };

  ForwardOutcomes(LifeNo life, const Limits& limits) : life_(life), limits_(limits) {}

  /// A forward or a question came; admit: it is to be asked of Admission, wait: ended() will name it.
  Arrival arrived(Span now, AskNo no, const ForwardRequest& request);
  /// A forward was answered; returns the questions that waited for this and get the same answer.
  /// size: of the answer's bytes, as memory.
  std::vector<AskNo> ended(Span now, AskNo no, const ForwardReply& reply, std::shared_ptr<const void> bytes,
                           std::size_t size);
  /// Forgets what is over. To be called at least once a second: time in which it is not called, as in a
  /// frozen process, does not count, since late forwards wait unread just as long.
  void tick(Span now);
  [[nodiscard]] std::size_t remembered() const { return records_.size(); }
  [[nodiscard]] std::size_t answerBytes() const { return answerBytes_; }

 private:
  enum class State { atWork, ended, fenced };
  struct Record {
    State state = State::atWork;
    std::vector<AskNo> waiters;
    ForwardReply reply;
    std::shared_ptr<const void> bytes;
    std::size_t size = 0;
  };
  struct HashForwardId {
    std::size_t operator()(const ForwardId& id) const {
      return id.origin ^ (id.number * 0x9e3779b97f4a7c15U);
    }
  };
  using Order = std::deque<std::pair<Span, ForwardId>>;  // by time awake

  Arrival admitted(AskNo no, const ForwardId& id);
  Arrival outcome(AskNo no, const ForwardRequest& request);
  Arrival fence(const ForwardId& id);
  void dropBytes(Record& record);
  void forgetOldestEnded();
  void advance(Span now);

  LifeNo life_;
  Limits limits_;
  std::unordered_map<ForwardId, Record, HashForwardId> records_;
  std::unordered_map<std::uint64_t, ForwardId> atWork_;  // by AskNo
  Order ended_;                                          // as they ended
  Order withBytes_;                                      // of these, the ones whose answers are kept
  Order fenced_;                                         // as they were asked after
  std::size_t answerBytes_ = 0;
  Span awake_{};     // time in which the process ran
  Span seen_{};      // the last call's time
  Span gapUntil_{};  // until then forwards that ended are forgotten early, in time awake
};

}  // namespace rackroute::mesh
