#pragma once

// What an emulated deployment offers, and what its operators say of it: services, routes, the first items,
// changes of them, and what must be read back at the end. The same for virtual time and for real processes.

#include <array>
#include <cstdint>
#include <map>
#include <nlohmann/json.hpp>
#include <set>
#include <string>

#include "lab/mesh/judge.hpp"

namespace rackroute::lab::mesh {

inline constexpr Span kDrain = std::chrono::milliseconds(2500);
inline constexpr Span kApply = std::chrono::milliseconds(2500);
inline constexpr Span kGrace = std::chrono::seconds(6);
inline constexpr Span kBeat = std::chrono::milliseconds(1300);  // of servers
inline constexpr Span kRetryWindow = std::chrono::seconds(10);
inline constexpr double kRetryRatio = 0.2;
inline constexpr double kRetrySlack = 60;
inline constexpr const char* kHost = "lab.example";

struct RouteTold {
  const char* name;
  const char* prefix;
  Sort sort;
  int service;
  double aim;       // seconds
  double deadline;  // seconds
  int priority;
};
inline constexpr std::array<RouteTold, 5> kRoutes{{{"look", "/look/", Sort::pure, 0, 0.6, 1.5, 2},
                                                   {"order", "/order/", Sort::keyed, 0, 0.8, 2.0, 1},
                                                   {"pay", "/pay/", Sort::keyed, 1, 0.4, 1.0, 0},
                                                   {"list", "/list/", Sort::pure, 1, 2.0, 5.0, 2},
                                                   {"note", "/note/", Sort::effectful, 1, 0.6, 1.5, 1}}};

std::string serviceName(int service);
/// A route as operators send it.
nlohmann::json routeValue(const RouteTold& route, std::uint64_t generation);

/// One request of a client, over all its tries.
struct Wanted {
  std::size_t route = 0;
  std::string key;
  Span until{};
  int tries = 0;
  bool again = false;  // comes after a good answer, to see that it is given once more
};

/// What the operators have sent and what was acknowledged. It owns the versions that they give.
class OperatorBook {
 public:
  /// The first call's body; with so many routes more that nobody asks for.
  std::string firstItems(std::uint32_t idle);
  /// A change of a route's time-out, under the version that next() gave; bad: an invalid one.
  std::string change(std::uint32_t who, std::uint64_t generation, int operatorNo, bool bad);
  std::uint64_t next(std::uint32_t who) { return generation_ += 1 + who % 3; }
  void acknowledgedFirst(Span now);
  void acknowledged(Span now, const std::string& route, std::uint64_t generation);
  /// Version and time of the newest acknowledged change; nullptr: of none.
  [[nodiscard]] const std::pair<std::uint64_t, Span>* newest(const std::string& route) const;
  /// Judges what was read back.
  void readBack(Span now, const nlohmann::json& read, Judge& judge) const;
  [[nodiscard]] std::uint64_t sent() const { return sent_; }
  [[nodiscard]] std::uint64_t acked() const { return ackedCount_; }

 private:
  std::uint64_t generation_ = 10;
  std::map<std::string, std::pair<std::uint64_t, Span>> acked_;
  std::map<std::string, std::map<std::uint64_t, std::set<std::string>>> values_;  // by route and version
  std::uint64_t sent_ = 0;
  std::uint64_t ackedCount_ = 0;
};

/// Ends the judging of a day, whatever its clock, and tells what was asked and served.
nlohmann::json endOfDay(Judge& judge, std::uint64_t changes, std::uint64_t acknowledged, double leastServed,
                        Span now);
nlohmann::json endOfDay(Judge& judge, const OperatorBook& book, double leastServed, Span now);

}  // namespace rackroute::lab::mesh
