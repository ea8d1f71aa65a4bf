#pragma once

// Requests of operators and sidecars to the nodes of a ControlCluster, for directed tests.

#include <catch2/catch.hpp>
#include <string>
#include <vector>

#include "control_cluster.hpp"
#include "route_value.hpp"

namespace rackroute::mesh::test {

using nlohmann::json;

inline std::string changeOf(const std::vector<json>& routes) {
  return json{{"upsert", {{"host_map", {{{"hostname", "a.example"}, {"path_routes", routes}}}}}}}.dump();
}

inline std::string change(const std::string& name, std::uint64_t version,
                          const std::string& timeout = "900ms") {
  return changeOf({routeValue(name, version, timeout)});
}

inline const std::string kFirst =
    json{{"upsert",
          {{"service_list", {{{"name", "desk"}, {"generation", "r1"}}}},
           {"host_map", {{{"hostname", "a.example"}, {"path_routes", {routeValue("look", 1, "900ms")}}}}}}}}
        .dump();

inline std::string name(std::size_t number) { return ControlCluster::name(number); }

/// Runs the cluster until the call is answered or the time is over. Returns the status; 0: no answer.
inline std::uint32_t statusOf(ControlCluster& cluster, std::uint64_t call, Span within = 900ms) {
  const Span until = cluster.now() + within;
  while (cluster.now() < until && !cluster.answer(call)) cluster.run(10ms);
  const auto answer = cluster.answer(call);
  return answer ? answer->status : 0;
}

inline std::uint32_t send(ControlCluster& cluster, const std::string& at, const std::string& body) {
  return statusOf(cluster, cluster.change(at, body));
}

/// Retries like an operator, at the next process after each failure.
inline std::uint32_t sendWithRetry(ControlCluster& cluster, const std::vector<std::string>& to,
                                   const std::string& body, Span within = 6s) {
  const Span until = cluster.now() + within;
  for (std::size_t i = 0; cluster.now() < until; ++i) {
    const std::string& at = to[i % to.size()];
    const std::uint32_t status = cluster.running(at) ? send(cluster, at, body) : 0;
    if (status != 0 && status < 500) return status;
    cluster.run(100ms);
  }
  return 0;
}

inline std::vector<std::string> names(std::size_t count) {
  std::vector<std::string> all;
  for (std::size_t i = 0; i < count; ++i) all.push_back(name(i));
  return all;
}

/// A cluster that has its first voter set and its first configuration.
inline ControlCluster foundedCluster(std::size_t size) {
  ControlCluster cluster(size);
  cluster.run(3s);
  REQUIRE(sendWithRetry(cluster, names(size), kFirst) == 200);
  cluster.run(500ms);
  return cluster;
}

inline const Item* routeAt(ControlCluster& cluster, const std::string& at, const std::string& route) {
  return cluster.node(at).items().find({ItemKind::route, route});
}

inline ClaimRequest claimOf(ControlCluster& cluster, const std::string& voter, std::uint64_t claim,
                            const std::string& key) {
  return {cluster.node(voter).membership().set().epoch, {"s:1"}, {{ClaimNo{claim}, hashOfKey(key)}}};
}

}  // namespace rackroute::mesh::test
