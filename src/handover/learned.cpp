#include "handover/learned.hpp"

#include <cmath>
#include <cstddef>
#include <initializer_list>
#include <sstream>

namespace rackroute::handover {
namespace {

constexpr std::size_t kMostServers = 16384;
constexpr double kMostAnswers = 1e5;  // a second; more than one thread gives
constexpr double kMostRun = 1e6;      // failures in a row

bool plain(std::initializer_list<double> values) {  // a number, not negative
  for (const double value : values) {
    if (!std::isfinite(value) || value < 0) return false;
  }
  return true;
}

}  // namespace

std::string text(const BalancerSnapshot& all) {
  std::ostringstream out;
  out.precision(12);
  out << all.meanLatency << ' ' << all.responsesPerSecond << ' ' << all.subsetSize;
  for (const auto& pair : {all.warmResponses, all.warmServerSeconds, all.unloadedLatency})
    out << ' ' << pair[0] << ' ' << pair[1];
  out << ' ' << all.servers.size();
  for (const ServerSnapshot& server : all.servers) {
    out << '\n'
        << server.id.value << ' ' << server.inSubset << ' ' << server.ejected << ' '
        << server.consecutiveFailures << ' ' << server.trialIn.count() << ' ' << server.weight << ' '
        << server.limit << ' ' << server.coldCredit << ' ' << server.unitLatency << ' ' << server.serviceTime;
  }
  return out.str() + "\nend";
}

std::optional<BalancerSnapshot> readLearned(const std::string& text) {
  std::istringstream in(text);
  BalancerSnapshot all;
  std::size_t servers = 0;
  in >> all.meanLatency >> all.responsesPerSecond >> all.subsetSize;
  for (auto* pair : {&all.warmResponses, &all.warmServerSeconds, &all.unloadedLatency})
    in >> (*pair)[0] >> (*pair)[1];
  in >> servers;
  if (!in || servers > kMostServers || all.responsesPerSecond > kMostAnswers) return std::nullopt;
  if (!plain({all.meanLatency, all.responsesPerSecond, all.subsetSize, all.warmResponses[0],
              all.warmResponses[1], all.warmServerSeconds[0], all.warmServerSeconds[1],
              all.unloadedLatency[0], all.unloadedLatency[1]}))
    return std::nullopt;
  for (; servers > 0; --servers) {
    ServerSnapshot server;
    Span::rep trialIn = 0;
    in >> server.id.value >> server.inSubset >> server.ejected >> server.consecutiveFailures >> trialIn >>
        server.weight >> server.limit >> server.coldCredit >> server.unitLatency >> server.serviceTime;
    server.trialIn = Span{trialIn};
    // Credit may be owed, and a warm server's is no longer reckoned.
    if (!in || !plain({server.weight, server.limit, server.unitLatency, server.serviceTime}) ||
        server.weight > 1 || !std::isfinite(server.coldCredit) || server.consecutiveFailures > kMostRun)
      return std::nullopt;
    all.servers.push_back(server);
  }
  std::string end;
  if (!(in >> end) || end != "end") return std::nullopt;
  return all;
}

}  // namespace rackroute::handover
