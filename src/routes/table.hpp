#pragma once

// Selects the pool of a query by host, path prefix, method, use case and header, with weighted splits of
// traffic between pools. Tables in which only the order of two routes would decide between them are rejected.
// No I/O, no clock and no randomness.
//
// Precedence: exact hosts before wildcards, longer wildcards before shorter ones, routes for any host last;
// within a host the longest path prefix; within a path the route with the most conditions. A query that
// matches a host but none of its paths falls through to the next host.

#include <cstdint>
#include <map>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <unordered_map>
#include <utility>
#include <vector>

#include "rackroute/types.hpp"

namespace rackroute::routes {

using PoolId = Id<struct PoolTag, std::uint32_t>;
using RouteIndex = Id<struct RouteTag, std::uint32_t>;  // index in the list of routes

/// A pool that a route sends traffic to.
struct Target {
  PoolId pool;
  double weight = 1;  // share of the traffic, relative to the other targets
};

/// A route as configured; an empty field matches anything.
struct Route {
  std::string name;
  std::string host;  // claims.example.org, or *.example.org for all subdomains; no port
  std::string path;  // a prefix of complete segments, such as /bind
  std::string method;
  std::string useCase;
  std::string header;  // name of a header
  std::string value;   // exact header value; empty: any value, but the header must be present
  std::vector<Target> targets;
};

/// The properties of a query that routes match on.
struct RouteQuery {
  std::string_view method;
  std::string_view host;  // with or without a port
  std::string_view path;  // with or without a query string
  std::string_view useCase;
  std::span<const std::pair<std::string_view, std::string_view>> headers;
};

/// The route selected for a query, and the pool selected from its targets.
struct Match {
  RouteIndex route;
  PoolId pool;
};

/// ambiguous: some query matches two routes of equal precedence; shadowed: an equal route makes this one
/// unreachable.
enum class RouteErrorKind { malformed, ambiguous, shadowed };

/// An error in a route; other is the route that it conflicts with.
struct RouteError {
  RouteErrorKind kind = RouteErrorKind::malformed;
  RouteIndex route;
  std::optional<RouteIndex> other;
  std::string message;
};

/// Returns all errors in the order of the routes.
std::vector<RouteError> validate(std::span<const Route> routes);

/// A compiled route table.
class Table {
 public:
  /// Throws std::invalid_argument with the first error of validate().
  explicit Table(std::vector<Route> routes);

  /// The matching route and its pool, if any. `number` selects the target of a split: it should be uniformly
  /// distributed over queries, and equal for repetitions of one query.
  [[nodiscard]] std::optional<Match> find(const RouteQuery& query, std::uint64_t number) const;
  /// Describes the decisions of find(), one line per step.
  [[nodiscard]] std::vector<std::string> explain(const RouteQuery& query, std::uint64_t number) const;
  [[nodiscard]] const std::vector<Route>& routes() const { return routes_; }

 private:
  struct TextHash {
    using is_transparent = void;
    std::size_t operator()(std::string_view text) const { return std::hash<std::string_view>{}(text); }
  };
  template <class Value>
  using TextMap = std::unordered_map<std::string, Value, TextHash, std::equal_to<>>;
  using RoutesAtPath = std::vector<RouteIndex>;  // most conditions first
  struct Paths {
    TextMap<RoutesAtPath> byPrefix;
    std::size_t maxPrefixSize = 0;  // bytes of the longest prefix, which bounds the search
  };
  template <class Visitor>
  [[nodiscard]] std::optional<RouteIndex> search(const RouteQuery& query, const Visitor& visit) const;
  template <class Visitor>
  [[nodiscard]] std::optional<RouteIndex> searchPaths(const Paths& paths, std::string_view path,
                                                      const RouteQuery& query, const Visitor& visit) const;

  std::vector<Route> routes_;
  TextMap<Paths> exact_;
  TextMap<Paths> wildcard_;  // by the part after the asterisk, such as .example.org
  Paths any_;
};

/// Whether a path has empty or dot segments, which servers may resolve to another path. Such a query matches
/// no route.
bool resolvesToOtherPath(std::string_view path);

}  // namespace rackroute::routes
