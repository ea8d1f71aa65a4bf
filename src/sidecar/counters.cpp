#include "sidecar/counters.hpp"

#include <array>
#include <cstddef>
#include <string_view>

namespace rackroute::sidecar {

void Counters::print(std::ostream& out) const {
  constexpr std::array<std::string_view, 8> kOutcomes = {"completed",      "error", "full",      "timeout",
                                                         "connect_failed", "reset", "cancelled", "moot"};
  out << "counters queries=" << queries << " completed=" << completed << " rejected=" << rejected
      << " aborted=" << aborted << " clients_left=" << clientsLeft << " bad_queries=" << badQueries
      << " executions=" << executions;
  for (std::size_t i = 0; i < kOutcomes.size(); ++i)
    out << " execution_" << kOutcomes[i] << '=' << outcomes[i];
  out << " late_answers=" << lateAnswers << " client_connections=" << clientConnections
      << " server_connections=" << serverConnections << " dials_failed=" << dialsFailed
      << " reused=" << reused << " discovery_calls=" << discoveryCalls
      << " discovery_failures=" << discoveryFailures << " lists=" << lists
      << " out_of_descriptors=" << outOfDescriptors << " timers=" << timers
      << " latest_timer_us=" << latestTimer << " faults=" << faults;
}

}  // namespace rackroute::sidecar
