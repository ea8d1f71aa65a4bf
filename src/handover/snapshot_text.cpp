#include "handover/snapshot_text.hpp"

#include <cmath>
#include <cstddef>
#include <initializer_list>
#include <sstream>

namespace rackroute::handover {
namespace {

constexpr std::size_t kMaxServers = 16384;
constexpr double kMaxResponsesPerSecond = 1e5;
constexpr double kMaxConsecutiveFailures = 1e6;

bool allFiniteNonNegative(std::initializer_list<double> values) {
  for (const double value : values) {
    if (!std::isfinite(value) || value < 0) return false;
  }
  return true;
}

}  // namespace

std::string formatSnapshot(const BalancerSnapshot& snapshot) {
  std::ostringstream out;
  out.precision(12);
  out << snapshot.meanLatency << ' ' << snapshot.responsesPerSecond << ' ' << snapshot.subsetSize;
  for (const auto& pair : {snapshot.warmResponses, snapshot.warmServerSeconds, snapshot.unloadedLatency})
    out << ' ' << pair[0] << ' ' << pair[1];
  out << ' ' << snapshot.servers.size();
  for (const ServerSnapshot& server : snapshot.servers) {
    out << '\n'
        << server.id.value << ' ' << server.inSubset << ' ' << server.ejected << ' '
        << server.consecutiveFailures << ' ' << server.trialIn.count() << ' ' << server.weight << ' '
        << server.limit << ' ' << server.coldCredit << ' ' << server.unitLatency << ' ' << server.serviceTime;
  }
  return out.str() + "\nend";
}

std::optional<BalancerSnapshot> parseSnapshot(const std::string& text) {
  std::istringstream in(text);
  BalancerSnapshot snapshot;
  std::size_t servers = 0;
  in >> snapshot.meanLatency >> snapshot.responsesPerSecond >> snapshot.subsetSize;
  for (auto* pair : {&snapshot.warmResponses, &snapshot.warmServerSeconds, &snapshot.unloadedLatency})
    in >> (*pair)[0] >> (*pair)[1];
  in >> servers;
  if (!in || servers > kMaxServers || snapshot.responsesPerSecond > kMaxResponsesPerSecond)
    return std::nullopt;
  if (!allFiniteNonNegative({snapshot.meanLatency, snapshot.responsesPerSecond, snapshot.subsetSize,
                             snapshot.warmResponses[0], snapshot.warmResponses[1],
                             snapshot.warmServerSeconds[0], snapshot.warmServerSeconds[1],
                             snapshot.unloadedLatency[0], snapshot.unloadedLatency[1]}))
    return std::nullopt;
  for (; servers > 0; --servers) {
    ServerSnapshot server;
    Span::rep trialIn = 0;
    in >> server.id.value >> server.inSubset >> server.ejected >> server.consecutiveFailures >> trialIn >>
        server.weight >> server.limit >> server.coldCredit >> server.unitLatency >> server.serviceTime;
    server.trialIn = Span{trialIn};
    // The cold credit may be negative, so only its finiteness is checked.
    if (!in || !allFiniteNonNegative({server.weight, server.limit, server.unitLatency, server.serviceTime}) ||
        server.weight > 1 || !std::isfinite(server.coldCredit) ||
        server.consecutiveFailures > kMaxConsecutiveFailures)
      return std::nullopt;
    snapshot.servers.push_back(server);
  }
  std::string end;
  if (!(in >> end) || end != "end") return std::nullopt;
  return snapshot;
}

}  // namespace rackroute::handover
