#pragma once

// Which pool a query belongs to: by host, path prefix, method, use case and header, with a split of traffic
// between pools. It owns the compiled table and nothing of a query; no I/O, no clock, no chance of its own.
// It must never let two routes stand between which only their order would decide: such a table is not
// compiled.
//
// Precedence: an exact host before a wildcard, a longer wildcard before a shorter, any host last; within a
// host the longest path prefix; within a path the route with the most conditions. What matches a host but no
// path there goes on to the next host.

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
using RouteNo = Id<struct RouteTag, std::uint32_t>;  // its place in the list it came from

struct Target {
  PoolId pool;
  double part = 1;  // of the traffic, beside the other targets' parts
};

/// A rule as its author wrote it; an empty text asks for nothing.
struct Route {
  std::string name;
  std::string host;  // claims.example.org, or *.example.org for all below it; no port
  std::string path;  // a prefix of whole segments, such as /bind
  std::string method;
  std::string useCase;
  std::string header;  // its name
  std::string value;   // the header's, whole; empty: any, as long as it is there
  std::vector<Target> targets;
};

/// What is asked, as views into the query.
struct Asked {
  std::string_view method;
  std::string_view host;  // with a port or without
  std::string_view path;  // with a query or without
  std::string_view useCase;
  std::span<const std::pair<std::string_view, std::string_view>> headers;
};

struct Match {
  RouteNo route;
  PoolId pool;
};

enum class Flaw { malformed, ambiguous, shadowed };

/// What is wrong with a route; other is the one that it collides with.
struct Fault {
  Flaw flaw = Flaw::malformed;
  RouteNo route;
  std::optional<RouteNo> other;
  std::string what;
};

/// All faults of all routes, in their order. A table is compiled of faultless ones only.
std::vector<Fault> faultsOf(std::span<const Route> routes);

class Table {
 public:
  /// Throws std::invalid_argument with the first fault.
  explicit Table(std::vector<Route> routes);

  /// The pool, or none. A number for the query, the same each time it is asked for, decides between the
  /// targets of a split; it should be spread evenly over its whole range.
  [[nodiscard]] std::optional<Match> find(const Asked& asked, std::uint64_t number) const;
  /// The steps that find() takes, a line each, for the person who asks why.
  [[nodiscard]] std::vector<std::string> explain(const Asked& asked, std::uint64_t number) const;
  [[nodiscard]] const std::vector<Route>& routes() const { return routes_; }

 private:
  struct Hash {
    using is_transparent = void;
    std::size_t operator()(std::string_view text) const { return std::hash<std::string_view>{}(text); }
  };
  template <class Value>
  using ByText = std::unordered_map<std::string, Value, Hash, std::equal_to<>>;
  using AtPath = std::vector<RouteNo>;  // of one host and path, the most conditions first
  struct Paths {
    ByText<AtPath> byPrefix;
    std::size_t longest = 0;  // bytes of the longest prefix; no longer one is looked for
  };
  template <class Seen>
  [[nodiscard]] std::optional<RouteNo> search(const Asked& asked, const Seen& seen) const;
  template <class Seen>
  [[nodiscard]] std::optional<RouteNo> searchPaths(const Paths& paths, std::string_view path,
                                                   const Asked& asked, const Seen& seen) const;

  std::vector<Route> routes_;
  ByText<Paths> exact_;
  ByText<Paths> below_;  // wildcards, by what follows the asterisk: .example.org
  Paths any_;
};

/// Whether a path has segments that servers may resolve to another path: such a query matches no route.
bool unclean(std::string_view path);

}  // namespace rackroute::routes
