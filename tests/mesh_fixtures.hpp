#pragma once

// What the tests of the mesh's parts have in common: one service "desk", its servers, three voters, a route.

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

inline Served served(const std::string& id, std::uint64_t seq = 1) {
  Served made;
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

inline Beat beat(const std::string& id, std::uint64_t seq, std::uint32_t capacity = 2) {
  Beat told;
  told.id = {id};
  told.service = {"desk"};
  told.address = {"app"};
  told.capacity = capacity;
  told.seq = seq;
  return told;
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

inline ForwardRequest ask(RouteKind kind, std::uint32_t priority = 1, const std::string& route = "r") {
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

template <class Acts, class Kind>
std::size_t countOf(const Acts& acts, Kind kind) {
  return static_cast<std::size_t>(
      std::count_if(acts.begin(), acts.end(), [&](const auto& a) { return a.kind == kind; }));
}

inline Claims::Outcome winClaim(Admission& admission, ClaimNo no) {
  REQUIRE_FALSE(admission.claims().vote(voterId(0), {1}, no, true, std::nullopt));
  const auto ended = admission.claims().vote(voterId(1), {1}, no, true, std::nullopt);
  REQUIRE(ended);
  REQUIRE(ended->won);
  return *ended;
}

inline RequestRouter caller(RouteKind kind, double slack = 100) {
  RequestRouter made({{"n"}, "z", {"line"}, {0.2, slack, 10s}, 5});
  made.processes(1);
  Items items;
  Item item = route("look", 1);
  static constexpr const char* kKinds[] = {"pure", "effectful", "keyed"};
  item.value["route_kind"] = kKinds[static_cast<int>(kind)];
  items.merge(item);
  made.configured(items);
  made.told(0s, served("a"), true);
  made.told(0s, served("b"), true);
  return made;
}

inline const Asked kAsked{"a.example", "/look/1", 1500ms};

}  // namespace rackroute::mesh
