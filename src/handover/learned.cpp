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

std::string text(const Learned& all) {
  std::ostringstream out;
  out.precision(12);
  out << all.answerTime << ' ' << all.answersPerSecond << ' ' << all.setSize;
  for (const auto& pair : {all.warmAnswers, all.warmTime, all.unloaded})
    out << ' ' << pair[0] << ' ' << pair[1];
  out << ' ' << all.servers.size();
  for (const LearnedServer& server : all.servers) {
    out << '\n'
        << server.id.value << ' ' << server.used << ' ' << server.ejected << ' ' << server.run << ' '
        << server.trialIn.count() << ' ' << server.weight << ' ' << server.limit << ' ' << server.coldCredit
        << ' ' << server.pace << ' ' << server.service;
  }
  return out.str() + "\nend";
}

std::optional<Learned> readLearned(const std::string& text) {
  std::istringstream in(text);
  Learned all;
  std::size_t servers = 0;
  in >> all.answerTime >> all.answersPerSecond >> all.setSize;
  for (auto* pair : {&all.warmAnswers, &all.warmTime, &all.unloaded}) in >> (*pair)[0] >> (*pair)[1];
  in >> servers;
  if (!in || servers > kMostServers || all.answersPerSecond > kMostAnswers) return std::nullopt;
  if (!plain({all.answerTime, all.answersPerSecond, all.setSize, all.warmAnswers[0], all.warmAnswers[1],
              all.warmTime[0], all.warmTime[1], all.unloaded[0], all.unloaded[1]}))
    return std::nullopt;
  for (; servers > 0; --servers) {
    LearnedServer server;
    Span::rep trialIn = 0;
    in >> server.id.value >> server.used >> server.ejected >> server.run >> trialIn >> server.weight >>
        server.limit >> server.coldCredit >> server.pace >> server.service;
    server.trialIn = Span{trialIn};
    // Credit may be owed, and a warm server's is no longer reckoned.
    if (!in || !plain({server.weight, server.limit, server.pace, server.service}) || server.weight > 1 ||
        !std::isfinite(server.coldCredit) || server.run > kMostRun)
      return std::nullopt;
    all.servers.push_back(server);
  }
  std::string end;
  if (!(in >> end) || end != "end") return std::nullopt;
  return all;
}

}  // namespace rackroute::handover
