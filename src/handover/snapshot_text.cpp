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

std::string formatSnapshot(const Learned& snapshot) {
  std::ostringstream out;
  out.precision(12);
  out << snapshot.answerTime << ' ' << snapshot.answersPerSecond << ' ' << snapshot.setSize;
  for (const auto& pair : {snapshot.warmAnswers, snapshot.warmTime, snapshot.unloaded})
    out << ' ' << pair[0] << ' ' << pair[1];
  out << ' ' << snapshot.servers.size();
  for (const LearnedServer& server : snapshot.servers) {
    out << '\n'
        << server.id.value << ' ' << server.used << ' ' << server.ejected << ' ' << server.run << ' '
        << server.trialIn.count() << ' ' << server.weight << ' ' << server.limit << ' ' << server.coldCredit
        << ' ' << server.pace << ' ' << server.service;
  }
  return out.str() + "\nend";
}

std::optional<Learned> parseSnapshot(const std::string& text) {
  std::istringstream in(text);
  Learned snapshot;
  std::size_t servers = 0;
  in >> snapshot.answerTime >> snapshot.answersPerSecond >> snapshot.setSize;
  for (auto* pair : {&snapshot.warmAnswers, &snapshot.warmTime, &snapshot.unloaded})
    in >> (*pair)[0] >> (*pair)[1];
  in >> servers;
  if (!in || servers > kMaxServers || snapshot.answersPerSecond > kMaxResponsesPerSecond) return std::nullopt;
  if (!allFiniteNonNegative({snapshot.answerTime, snapshot.answersPerSecond, snapshot.setSize,
                             snapshot.warmAnswers[0], snapshot.warmAnswers[1], snapshot.warmTime[0],
                             snapshot.warmTime[1], snapshot.unloaded[0], snapshot.unloaded[1]}))
    return std::nullopt;
  for (; servers > 0; --servers) {
    LearnedServer server;
    Span::rep trialIn = 0;
    in >> server.id.value >> server.used >> server.ejected >> server.run >> trialIn >> server.weight >>
        server.limit >> server.coldCredit >> server.pace >> server.service;
    server.trialIn = Span{trialIn};
    // The cold credit may be negative, so only its finiteness is checked.
    if (!in || !allFiniteNonNegative({server.weight, server.limit, server.pace, server.service}) ||
        server.weight > 1 || !std::isfinite(server.coldCredit) || server.run > kMaxConsecutiveFailures)
      return std::nullopt;
    snapshot.servers.push_back(server);
  }
  std::string end;
  if (!(in >> end) || end != "end") return std::nullopt;
  return snapshot;
}

}  // namespace rackroute::handover
