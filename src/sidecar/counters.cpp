#include "sidecar/counters.hpp"

#include <cstddef>

namespace rackroute::sidecar {

std::string_view nameOf(Outcome outcome) {
  constexpr std::array<std::string_view, 8> kNames = {"completed",      "error", "full",      "timeout",
                                                      "connect_failed", "reset", "cancelled", "moot"};
  return kNames.at(static_cast<std::size_t>(outcome));
}

void Counters::print(std::ostream& out) const {
  out << "counters queries=" << queries << " completed=" << completed << " rejected=" << rejected
      << " aborted=" << aborted << " clients_left=" << clientsLeft << " bad_queries=" << badQueries
      << " executions=" << executions << " relayed=" << relayed;
  for (std::size_t i = 0; i < outcomes.size(); ++i)
    out << " execution_" << nameOf(static_cast<Outcome>(i)) << '=' << outcomes.at(i);
  out << " late_answers=" << lateAnswers << " client_connections=" << clientConnections
      << " server_connections=" << serverConnections << " dials_failed=" << dialsFailed
      << " reused=" << reused << " discovery_calls=" << discoveryCalls
      << " discovery_failures=" << discoveryFailures << " lists=" << lists
      << " out_of_descriptors=" << outOfDescriptors << " turns=" << turns << " timers=" << timers
      << " latest_timer_us=" << maxTimerDelay << " faults=" << faults;
}

}  // namespace rackroute::sidecar
