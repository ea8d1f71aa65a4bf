// The route table: precedence, rejected tables, weighted splits, and a comparison with a linear scan.

#include <catch2/catch.hpp>
#include <random>
#include <tuple>

#include "routes/table.hpp"

using namespace rackroute;
using namespace rackroute::routes;

namespace {

Route route(const std::string& host, const std::string& path, std::uint32_t pool) {
  Route result;
  result.name = host + path;
  result.host = host;
  result.path = path;
  result.targets = {{{pool}, 1}};
  return result;
}

RouteQuery makeQuery(std::string_view method, std::string_view host, std::string_view path,
                     std::string_view useCase = "") {
  return {method, host, path, useCase, {}};
}

std::uint32_t poolOf(const Table& table, const RouteQuery& query) {
  const auto match = table.find(query, 0);
  return match ? match->pool.value : 999;
}

RouteErrorKind errorKindOf(std::vector<Route> routes) {
  const std::vector<RouteError> errors = validate(routes);
  REQUIRE(errors.size() == 1);
  CHECK_THROWS_AS(Table(std::move(routes)), std::invalid_argument);
  return errors.front().kind;
}

/// The route that find() must return, determined by a linear scan.
std::optional<std::uint32_t> findByScan(const std::vector<Route>& routes, const RouteQuery& query) {
  std::optional<std::uint32_t> best;
  std::tuple<int, std::size_t, std::size_t, int> bestRank;
  for (std::uint32_t i = 0; i < routes.size(); ++i) {
    const Route& candidate = routes[i];
    const bool wild = candidate.host.starts_with('*');
    const std::string_view suffix = std::string_view(candidate.host).substr(wild ? 1 : 0);
    if (wild ? !(query.host.ends_with(suffix) && query.host.size() > suffix.size())
             : !candidate.host.empty() && candidate.host != query.host)
      continue;
    if (!query.path.starts_with(candidate.path)) continue;
    if (query.path.size() > candidate.path.size() && query.path[candidate.path.size()] != '/') continue;
    if (!candidate.method.empty() && candidate.method != query.method) continue;
    if (!candidate.useCase.empty() && candidate.useCase != query.useCase) continue;
    const std::tuple rank(candidate.host.empty() ? 0
                          : wild                 ? 1
                                                 : 2,
                          candidate.host.size(), candidate.path.size(),
                          (candidate.method.empty() ? 0 : 1) + (candidate.useCase.empty() ? 0 : 1));
    if (best && rank <= bestRank) continue;
    best = i;
    bestRank = rank;
  }
  return best;
}

}  // namespace

TEST_CASE("exact hosts precede wildcards, longer hosts and prefixes precede shorter ones, any host is last") {
  const Table table({route("", "", 0), route("*.example.org", "", 1), route("*.claims.example.org", "", 2),
                     route("claims.example.org", "/look", 3), route("claims.example.org", "/look/up", 4),
                     route("", "/up", 5)});
  CHECK(poolOf(table, makeQuery("GET", "claims.example.org", "/look/7")) == 3);
  CHECK(poolOf(table, makeQuery("GET", "Claims.Example.ORG.:8080", "/look/up/?q=/x")) == 4);
  CHECK(poolOf(table, makeQuery("GET", "claims.example.org", "/lookup")) == 1);  // only entire segments match
  CHECK(poolOf(table, makeQuery("GET", "a.b.claims.example.org", "/up")) == 2);
  CHECK(poolOf(table, makeQuery("GET", "example.org", "/up/1")) == 5);
  CHECK(poolOf(table, makeQuery("GET", "[::1]:80", "/")) == 0);
}

TEST_CASE("within one path the route with more conditions comes first, and unmatched queries fall through") {
  Route byMethod = route("rating.example.org", "/bind", 1);
  byMethod.method = "POST";
  Route byHeader = byMethod;
  byHeader.name = "marked";
  byHeader.header = "X-Trial";
  byHeader.value = "yes";
  byHeader.targets = {{{2}, 1}};
  const Table table({byMethod, byHeader, route("rating.example.org", "", 3)});
  const std::pair<std::string_view, std::string_view> headers[] = {{"x-trial", "yes"}};
  RouteQuery query = makeQuery("POST", "rating.example.org", "/bind/1");
  CHECK(poolOf(table, query) == 1);
  query.headers = headers;
  CHECK(poolOf(table, query) == 2);
  query.method = "GET";
  CHECK(poolOf(table, query) == 3);
  CHECK(table.explain(query, 0).back().find("pool 3") == 0);
}

TEST_CASE("a path that servers may resolve to another one matches no route") {
  const Table table({route("", "", 0)});
  for (const char* path : {"/a/../bind", "/a/./b", "/%2e%2E/b", "//bind", "/a//b", "/.."})
    CHECK(poolOf(table, makeQuery("GET", "h", path)) == 999);
  for (const char* path : {"/a/", "/a..b/.c", "/...", "*", "/a?x=/../"})
    CHECK(poolOf(table, makeQuery("GET", "h", path)) == 0);
}

TEST_CASE("routes distinguished only by their order and malformed routes are rejected") {
  Route get = route("h", "/a", 0);
  get.method = "GET";
  Route read = route("h", "/a/", 1);
  read.useCase = "read";
  CHECK(errorKindOf({get, read}) == RouteErrorKind::ambiguous);
  CHECK(errorKindOf({get, get}) == RouteErrorKind::shadowed);
  Route both = get;
  both.useCase = "read";
  CHECK(errorKindOf({get, read, both}) == RouteErrorKind::ambiguous);
  Route post = read;
  post.method = "POST";
  CHECK(validate(std::vector<Route>{get, post}).empty());  // no query matches both
  for (const char* host : {"a.*.org", "*", "*.", "h:80", ".h", "a..b"})
    CHECK(errorKindOf({route(host, "", 0)}) == RouteErrorKind::malformed);
  for (const char* path : {"a", "/a?b", "/a/../b"})
    CHECK(errorKindOf({route("h", path, 0)}) == RouteErrorKind::malformed);
  Route none = route("h", "", 0);
  none.targets = {{{0}, 0}};
  CHECK(errorKindOf({none}) == RouteErrorKind::malformed);
}

TEST_CASE("a split follows its weights, and one number always selects the same pool") {
  Route split = route("", "", 0);
  split.targets = {{{1}, 0}, {{2}, 3}, {{3}, 1}};
  const Table table({split});
  std::mt19937_64 numbers(5);
  int toPool3 = 0;
  for (int i = 0; i < 40000; ++i) {
    const std::uint64_t number = numbers();
    const auto match = table.find(makeQuery("GET", "h", "/"), number);
    REQUIRE(match->pool == table.find(makeQuery("GET", "h", "/"), number)->pool);
    REQUIRE(match->pool.value != 1);
    toPool3 += match->pool.value == 3 ? 1 : 0;
  }
  CHECK(toPool3 == Approx(10000).margin(300));
  CHECK(table.find(makeQuery("GET", "h", "/"), ~std::uint64_t{0})->pool.value == 3);
}

TEST_CASE("the compiled table finds the same route as a linear scan") {
  std::mt19937 random(9);
  const auto pickOne = [&](const std::vector<std::string>& of) { return of[random() % of.size()]; };
  const std::vector<std::string> hosts = {"",        "a.org",     "b.a.org", "c.b.a.org",
                                          "*.a.org", "*.b.a.org", "*.org"};
  const std::vector<std::string> paths = {"", "/x", "/x/y", "/x/y/z", "/xy", "/y"};
  const std::vector<std::string> methods = {"", "GET", "POST"};
  const std::vector<std::string> useCases = {"", "read", "pay"};
  int found = 0;
  for (int round = 0; round < 300; ++round) {
    std::vector<Route> routes;
    for (int i = 0; i < 25; ++i) {
      routes.push_back(route(pickOne(hosts), pickOne(paths), static_cast<std::uint32_t>(i)));
      routes.back().method = pickOne(methods);
      routes.back().useCase = pickOne(useCases);
      if (!validate(routes).empty()) routes.pop_back();
    }
    const Table table(routes);
    for (int i = 0; i < 100; ++i) {
      const std::string host = pickOne({"a.org", "b.a.org", "c.b.a.org", "d.b.a.org", "x.org", "other"});
      const std::string path = pickOne({"/x", "/x/y", "/x/y/z", "/x/yy", "/xy/z", "/y", "/z", "/"});
      const std::string method = pickOne({"GET", "POST"});
      const std::string useCase = pickOne({"read", "pay"});
      const RouteQuery query = makeQuery(method, host, path, useCase);
      const auto match = table.find(query, 0);
      const auto expected = findByScan(routes, query);
      REQUIRE(match.has_value() == expected.has_value());
      if (!match) continue;
      ++found;
      REQUIRE(match->route.value == *expected);
    }
  }
  CHECK(found > 10000);
}
