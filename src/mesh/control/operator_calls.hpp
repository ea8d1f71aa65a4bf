#pragma once

// Pending calls of operators: changes of the configuration and reads of it. Takes inputs and returns answers;
// performs no I/O and reads no clock. An order must not be acknowledged before it is decided, nor refused if
// it is or may become decided, and no answer may be based on this process's copy of the configuration alone.
//
// | answer | when |
// | --- | --- |
// | 200 | the order is decided, now or already before; a read: the items that a majority has confirmed |
// | 400 | the change is invalid, or names a service that a majority does not know |
// | 409 | another value is decided for a version in the change; the body has the items in force |
// | 503 | this process is not in contact with a majority, or no majority answered in time; the state of the
// order is unknown |

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "mesh/configuration/items.hpp"
#include "mesh/control/agreement.hpp"
#include "mesh/control/control_action.hpp"
#include "mesh/control/majority_read.hpp"

namespace rackroute::mesh {

class OperatorCalls {
 public:
  /// The arguments must outlive this object.
  OperatorCalls(const Items& items, Agreement& agreement, MajorityRead& reads)
      : items_(items), agreement_(agreement), reads_(reads) {}

  /// settled: this process is in contact with a majority and has read from one since.
  void change(Span now, OperatorCallNo call, std::string_view body, bool settled, const VoterSet& set,
              Effects& effects, ControlActions& actions);
  void readBack(Span now, OperatorCallNo call, bool settled, const VoterSet& set, Effects& effects,
                ControlActions& actions);
  /// Answers the call of an order whose outcome is known.
  void orderEnded(const OrderOutcome& outcome, ControlActions& actions);
  /// Continues the calls whose majority read has finished.
  void advance(Span now, Effects& effects, ControlActions& actions);
  /// Fails calls that are past their deadline, or all of them if the process is no longer settled.
  void tick(Span now, bool settled, ControlActions& actions);

 private:
  struct Call {
    bool readsBack = false;
    OrderPtr order;          // of a change
    std::uint64_t read = 0;  // the majority read that it waits for; 0: it waits for the order's decision
    Span until{};
  };
  void propose(Span now, OperatorCallNo call, Call& pending, Effects& effects);
  /// A service that the change's routes name and that is unknown to this process. None for an order that is
  /// already decided: it is acknowledged again even if the service has been removed since.
  [[nodiscard]] std::optional<std::string> unknownService(const Order& order) const;
  static void answer(OperatorCallNo call, std::uint32_t status, std::string body, ControlActions& actions,
                     Span retryAfter = Span{});

  const Items& items_;
  Agreement& agreement_;
  MajorityRead& reads_;
  std::map<OperatorCallNo, Call> calls_;
};

}  // namespace rackroute::mesh
