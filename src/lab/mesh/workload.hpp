#pragma once

// The services, routes and request kinds of an emulated deployment, and the configuration changes of its
// operators. Shared by runs in virtual time and with real processes.

#include <array>
#include <cstdint>
#include <map>
#include <nlohmann/json.hpp>
#include <set>
#include <string>

#include "lab/mesh/judge.hpp"

namespace rackroute::lab::mesh {

inline constexpr Span kDrainTime = std::chrono::milliseconds(2500);
inline constexpr Span kApplyTime = std::chrono::milliseconds(2500);
inline constexpr Span kGracePeriod = std::chrono::seconds(6);
/// From a stop signal until clients send no more requests that may outlast the process.
inline constexpr Span kClientsInformed = std::chrono::seconds(3);
inline constexpr Span kHeartbeatInterval = std::chrono::milliseconds(1300);  // of servers to their sidecar
inline constexpr Span kRetryWindow = std::chrono::seconds(10);
inline constexpr double kRetryRatio = 0.2;
inline constexpr double kRetrySlack = 60;
inline constexpr const char* kHost = "lab.example";

struct RouteSpec {
  const char* name;
  const char* prefix;
  RequestKind kind;
  int service;
  double targetTime;  // seconds
  double deadline;    // seconds
  int priority;
};
inline constexpr std::array<RouteSpec, 5> kRoutes{
    {{"look", "/look/", RequestKind::pure, 0, 0.6, 1.5, 2},
     {"order", "/order/", RequestKind::keyed, 0, 0.8, 2.0, 1},
     {"pay", "/pay/", RequestKind::keyed, 1, 0.4, 1.0, 0},
     {"list", "/list/", RequestKind::pure, 1, 2.0, 5.0, 2},
     {"note", "/note/", RequestKind::effectful, 1, 0.6, 1.5, 1}}};

inline constexpr std::size_t kLongRoute = 3;  // has the longest timeout

std::string serviceName(int service);
/// The route in the form that operators send.
nlohmann::json routeValue(const RouteSpec& route, std::uint64_t generation);

/// A client request, over all its attempts.
struct LoadRequest {
  std::size_t route = 0;
  std::string key;
  Span deadline{};
  int tries = 0;
  bool isRepeat = false;  // repeats a successful keyed request, which must get the same response
};

/// Records the changes that operators sent and those that were acknowledged, and assigns their versions.
class OperatorRecord {
 public:
  /// The body of the first change: all services and routes, and `idle` routes without requests.
  std::string initialConfig(std::uint32_t idle);
  /// The body of a change of a route's timeout, with a version from nextVersion().
  std::string change(std::uint32_t routeNo, std::uint64_t generation, int operatorNo, bool invalid);
  std::uint64_t nextVersion(std::uint32_t salt) { return generation_ += 1 + salt % 3; }
  void initialConfigAcknowledged(Span now);
  void changeAcknowledged(Span now, const std::string& route, std::uint64_t generation);
  /// Version and time of the newest acknowledged change; nullptr if there is none.
  [[nodiscard]] const std::pair<std::uint64_t, Span>* newest(const std::string& route) const;
  /// Checks the configuration that was read back.
  void checkReadBack(Span now, const nlohmann::json& read, Judge& judge) const;
  [[nodiscard]] std::uint64_t sent() const { return sent_; }
  [[nodiscard]] std::uint64_t acked() const { return acknowledgedCount_; }

 private:
  std::uint64_t generation_ = 10;
  std::map<std::string, std::pair<std::uint64_t, Span>> acknowledged_;
  std::map<std::string, std::map<std::uint64_t, std::set<std::string>>> values_;  // by route and version
  std::uint64_t sent_ = 0;
  std::uint64_t acknowledgedCount_ = 0;
};

/// Runs the final checks of a day and returns its figures.
nlohmann::json finishDay(Judge& judge, std::uint64_t changes, std::uint64_t acknowledged,
                         double minServedShare, Span now);
nlohmann::json finishDay(Judge& judge, const OperatorRecord& record, double minServedShare, Span now);

}  // namespace rackroute::lab::mesh
