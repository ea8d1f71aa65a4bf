#include "lab/mesh/stop_log.hpp"

#include <chrono>
#include <nlohmann/json.hpp>

#include "lab/mesh/workload.hpp"

namespace rackroute::lab::mesh {
namespace {

using namespace std::chrono_literals;
using nlohmann::json;

constexpr Span kSignalDelay = 100ms;  // until the process handles the signal; requests may come first

Span milliseconds(const json& line, const char* field) {
  return std::chrono::milliseconds(line.value(field, std::int64_t{0}));
}

/// Collects the findings of one exit.
class ExitCheck {
 public:
  ExitCheck(const json& exit, Span grace, std::vector<std::string>& findings)
      : exit_(exit),
        stopping_(milliseconds(exit, "stopping_ms")),
        early_(stopping_ < grace * 5 / 6),
        findings_(findings) {}

  void run() {
    for (const json& work : exit_.value("executions", json::array())) check(work, "execution", Span{0});
    for (const json& work : exit_.value("requests", json::array())) check(work, "request", kClientsInformed);
  }

 private:
  /// mayOutlast: work that is accepted within this time after the signal may outlast the process.
  void check(const json& work, const char* what, Span mayOutlast) {
    const Span age = milliseconds(work, "age_ms");
    const bool acceptedLate = age + mayOutlast + kSignalDelay < stopping_;
    const bool expired = milliseconds(work, "left_ms") <= Span{0};
    if (expired || !(acceptedLate || early_)) return;
    findings_.push_back("an exit " + std::to_string(stopping_ / 1ms) +
                        " ms after the stop signal cut off a " + what + " on route " +
                        work.value("route", std::string()) + " that was " + std::to_string(age / 1ms) +
                        " ms old, with " + std::to_string(milliseconds(work, "left_ms") / 1ms) + " ms left");
  }

  const json& exit_;
  Span stopping_;
  bool early_;
  std::vector<std::string>& findings_;
};

}  // namespace

std::vector<std::string> findRequestsCutByStops(std::istream& log, Span grace) {
  std::vector<std::string> findings;
  std::string line;
  while (std::getline(log, line)) {
    const json parsed = json::parse(line, nullptr, false);
    if (!parsed.is_object() || parsed.value("what", "") != "stopped") continue;
    ExitCheck(parsed, grace, findings).run();
  }
  return findings;
}

}  // namespace rackroute::lab::mesh
