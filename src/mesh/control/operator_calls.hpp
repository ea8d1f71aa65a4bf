#pragma once

// Calls of operators that have no answer yet: changes of the configuration and reads of it. It owns them; it
// takes inputs and returns answers, with no I/O and no clock. It must never acknowledge an order before it is
// decided, refuse one that is or may be, or answer anything from this process's own copy alone.
//
// | answer | when |
// | --- | --- |
// | 200 | the order is decided, or was before; a read: the items that a majority has confirmed |
// | 400 | the change is wrong by itself, or names a service that a majority does not know |
// | 409 | another value is decided for a version that it gives; what stands is in the body |
// | 503 | this process is not in touch with a majority, or no majority answered in time: nothing is said of
// the order |

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
  /// All must outlive it.
  OperatorCalls(const Items& items, Agreement& agreement, MajorityRead& reads)
      : items_(items), agreement_(agreement), reads_(reads) {}

  /// settled: this process is in touch with a majority and has read from one since.
  void change(Span now, OperatorCallNo call, std::string_view body, bool settled, const VoterSet& set,
              Effects& effects, ControlActions& actions);
  void readBack(Span now, OperatorCallNo call, bool settled, const VoterSet& set, Effects& effects,
                ControlActions& actions);
  void ended(const OrderOutcome& outcome, ControlActions& actions);
  /// Goes on with what waited for a read that is over.
  void advance(Span now, Effects& effects, ControlActions& actions);
  /// Gives up what waits too long, and all at once if the process is not settled any more.
  void tick(Span now, bool settled, ControlActions& actions);

 private:
  struct Call {
    bool readsBack = false;
    OrderPtr order;          // of a change
    std::uint64_t read = 0;  // waits for it; 0: for the decision
    Span until{};
  };
  void propose(Span now, OperatorCallNo call, Call& held, Effects& effects);
  /// The service that the change's routes name and nobody has, as far as this process knows. An order that
  /// was taken is acknowledged again, whatever has become of the service since.
  [[nodiscard]] std::optional<std::string> unknownService(const Order& order) const;
  static void answer(OperatorCallNo call, std::uint32_t status, std::string body, ControlActions& actions,
                     Span retryAfter = Span{});

  const Items& items_;
  Agreement& agreement_;
  MajorityRead& reads_;
  std::map<OperatorCallNo, Call> calls_;
};

}  // namespace rackroute::mesh
