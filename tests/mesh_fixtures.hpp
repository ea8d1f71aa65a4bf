#pragma once

// Fixtures of the mesh's unit tests: the service "desk", its servers, three voters and a route.

#include <algorithm>
#include <catch2/catch.hpp>
#include <string>

#include "mesh/admission/admission.hpp"
#include "mesh/routing/request_router.hpp"
#include "route_value.hpp"

namespace rackroute::mesh {

using namespace std::chrono_literals;

inline Item route(const std::string& name, std::uint64_t generation, const std::string& timeout = "900ms") {
  Item item;
  item.key = {ItemKind::route, name};
  item.generation = {generation};
  item.hostname = "a.example";
  item.value = test::routeValue(name, generation, timeout);
  return item;
}

inline ServerRecord served(const std::string& id, std::uint64_t seq = 1) {
  ServerRecord made;
  made.id = {id};
  made.service = {"desk"};
  made.at = {"at-" + id};
  made.node = {"n-" + id};
  made.zone = "z";
  made.life = {1};
  made.seq = seq;
  made.capacity = 10;
  return made;
}

inline ServerHeartbeat heartbeat(const std::string& id, std::uint64_t seq, std::uint32_t capacity = 2) {
  ServerHeartbeat made;
  made.id = {id};
  made.service = {"desk"};
  made.address = {"app"};
  made.capacity = capacity;
  made.seq = seq;
  return made;
}

inline VoterId voterId(std::size_t voter) { return {{"v" + std::to_string(voter)}, {1}}; }

inline Admission admissionWithVoters() {
  Admission made({{"n"}, {"here:1"}, "z", {7}, {"desk"}, {"app"}, 2500ms, 60s, 1 << 20});
  VoterSet voters;
  voters.epoch = {1};
  voters.voters = {voterId(0), voterId(1), voterId(2)};
  made.claims().setVoters(voters);
  made.claims().setReachableVoters(3);
  return made;
}

inline ForwardRequest forwardRequest(RouteKind kind, std::uint32_t priority = 1,
                                     const std::string& route = "r") {
  ForwardRequest made;
  made.instance = {"i1"};
  made.service = {"desk"};
  made.left = 2s;
  made.targetLeft = 800ms;
  made.kind = kind;
  made.priority = priority;
  made.route = route;
  return made;
}

template <class Actions, class Kind>
std::size_t countOf(const Actions& actions, Kind kind) {
  return static_cast<std::size_t>(
      std::count_if(actions.begin(), actions.end(), [&](const auto& action) { return action.kind == kind; }));
}

inline Claims::Outcome winClaim(Admission& admission, ClaimNo no) {
  REQUIRE_FALSE(admission.claims().vote(voterId(0), {1}, no, true, std::nullopt));
  const auto ended = admission.claims().vote(voterId(1), {1}, no, true, std::nullopt);
  REQUIRE(ended);
  REQUIRE(ended->won);
  return *ended;
}

inline RequestRouter callerRouter(RouteKind kind, double slack = 100) {
  RequestRouter made({{"n"}, "z", {"line"}, {0.2, slack, 10s}, 5});
  made.setProcessCount(1);
  Items items;
  Item item = route("look", 1);
  static constexpr const char* kKinds[] = {"pure", "effectful", "keyed"};
  item.value["route_kind"] = kKinds[static_cast<int>(kind)];
  items.merge(item);
  made.configure(items);
  made.updateServer(0s, served("a"), true);
  made.updateServer(0s, served("b"), true);
  return made;
}

inline const ClientRequest kClientRequest{"a.example", "/look/1", 1500ms};

}  // namespace rackroute::mesh
