// Stories of the route table: what goes first, what is refused at load, and a plain scan as its judge.

#include <catch2/catch.hpp>
#include <random>
#include <tuple>

#include "routes/table.hpp"

using namespace rackroute;
using namespace rackroute::routes;

namespace {

Route route(const std::string& host, const std::string& path, std::uint32_t pool) {
  Route made;
  made.name = host + path;
  made.host = host;
  made.path = path;
  made.targets = {{{pool}, 1}};
  return made;
}

Asked asked(std::string_view method, std::string_view host, std::string_view path,
            std::string_view useCase = "") {
  return {method, host, path, useCase, {}};
}

std::uint32_t poolOf(const Table& table, const Asked& query) {
  const auto match = table.find(query, 0);
  return match ? match->pool.value : 999;
}

Flaw flawOf(std::vector<Route> routes) {
  const std::vector<Fault> faults = faultsOf(routes);
  REQUIRE(faults.size() == 1);
  CHECK_THROWS_AS(Table(std::move(routes)), std::invalid_argument);
  return faults.front().flaw;
}

/// What find() must come to, by looking at every route.
std::optional<std::uint32_t> scan(const std::vector<Route>& routes, const Asked& query) {
  std::optional<std::uint32_t> best;
  std::tuple<int, std::size_t, std::size_t, int> most;
  for (std::uint32_t i = 0; i < routes.size(); ++i) {
    const Route& one = routes[i];
    const bool wild = one.host.starts_with('*');
    const std::string_view suffix = std::string_view(one.host).substr(wild ? 1 : 0);
    if (wild ? !(query.host.ends_with(suffix) && query.host.size() > suffix.size())
             : !one.host.empty() && one.host != query.host)
      continue;
    if (!query.path.starts_with(one.path)) continue;
    if (query.path.size() > one.path.size() && query.path[one.path.size()] != '/') continue;
    if (!one.method.empty() && one.method != query.method) continue;
    if (!one.useCase.empty() && one.useCase != query.useCase) continue;
    const std::tuple rank(one.host.empty() ? 0
                          : wild           ? 1
                                           : 2,
                          one.host.size(), one.path.size(),
                          (one.method.empty() ? 0 : 1) + (one.useCase.empty() ? 0 : 1));
    if (best && rank <= most) continue;
    best = i;
    most = rank;
  }
  return best;
}

}  // namespace

TEST_CASE("exact hosts go before wildcards, longer ones and longer prefixes first, any host last") {
  const Table table({route("", "", 0), route("*.example.org", "", 1), route("*.claims.example.org", "", 2),
                     route("claims.example.org", "/look", 3), route("claims.example.org", "/look/up", 4),
                     route("", "/up", 5)});
  CHECK(poolOf(table, asked("GET", "claims.example.org", "/look/7")) == 3);
  CHECK(poolOf(table, asked("GET", "Claims.Example.ORG.:8080", "/look/up/?q=/x")) == 4);
  CHECK(poolOf(table, asked("GET", "claims.example.org", "/lookup")) == 1);  // whole segments only
  CHECK(poolOf(table, asked("GET", "a.b.claims.example.org", "/up")) == 2);
  CHECK(poolOf(table, asked("GET", "example.org", "/up/1")) == 5);
  CHECK(poolOf(table, asked("GET", "[::1]:80", "/")) == 0);
}

TEST_CASE("within one path the route with more conditions goes first, and what meets none goes on") {
  Route binds = route("rating.example.org", "/bind", 1);
  binds.method = "POST";
  Route marked = binds;
  marked.name = "marked";
  marked.header = "X-Trial";
  marked.value = "yes";
  marked.targets = {{{2}, 1}};
  const Table table({binds, marked, route("rating.example.org", "", 3)});
  const std::pair<std::string_view, std::string_view> headers[] = {{"x-trial", "yes"}};
  Asked query = asked("POST", "rating.example.org", "/bind/1");
  CHECK(poolOf(table, query) == 1);
  query.headers = headers;
  CHECK(poolOf(table, query) == 2);
  query.method = "GET";
  CHECK(poolOf(table, query) == 3);
  CHECK(table.explain(query, 0).back().find("pool 3") == 0);
}

TEST_CASE("a path that servers may resolve to another one meets no route") {
  const Table table({route("", "", 0)});
  for (const char* path : {"/a/../bind", "/a/./b", "/%2e%2E/b", "//bind", "/a//b", "/.."})
    CHECK(poolOf(table, asked("GET", "h", path)) == 999);
  for (const char* path : {"/a/", "/a..b/.c", "/...", "*", "/a?x=/../"})
    CHECK(poolOf(table, asked("GET", "h", path)) == 0);
}

TEST_CASE("routes that only their order would tell apart are refused, and each is named") {
  Route get = route("h", "/a", 0);
  get.method = "GET";
  Route read = route("h", "/a/", 1);
  read.useCase = "read";
  CHECK(flawOf({get, read}) == Flaw::ambiguous);
  CHECK(flawOf({get, get}) == Flaw::shadowed);
  Route both = get;
  both.useCase = "read";
  CHECK(flawOf({get, read, both}) == Flaw::ambiguous);
  Route post = read;
  post.method = "POST";
  CHECK(faultsOf(std::vector<Route>{get, post}).empty());  // no query meets both
  for (const char* host : {"a.*.org", "*", "*.", "h:80", ".h", "a..b"})
    CHECK(flawOf({route(host, "", 0)}) == Flaw::malformed);
  for (const char* path : {"a", "/a?b", "/a/../b"}) CHECK(flawOf({route("h", path, 0)}) == Flaw::malformed);
  Route none = route("h", "", 0);
  none.targets = {{{0}, 0}};
  CHECK(flawOf({none}) == Flaw::malformed);
}

TEST_CASE("a split gives each pool its part, and one query always the same") {
  Route moving = route("", "", 0);
  moving.targets = {{{1}, 0}, {{2}, 3}, {{3}, 1}};
  const Table table({moving});
  std::mt19937_64 numbers(5);
  int toThird = 0;
  for (int i = 0; i < 40000; ++i) {
    const std::uint64_t number = numbers();
    const auto match = table.find(asked("GET", "h", "/"), number);
    REQUIRE(match->pool == table.find(asked("GET", "h", "/"), number)->pool);
    REQUIRE(match->pool.value != 1);
    toThird += match->pool.value == 3 ? 1 : 0;
  }
  CHECK(toThird == Approx(10000).margin(300));
  CHECK(table.find(asked("GET", "h", "/"), ~std::uint64_t{0})->pool.value == 3);
}

TEST_CASE("the compiled table finds what a look at every route finds") {
  std::mt19937 chance(9);
  const auto one = [&](const std::vector<std::string>& of) { return of[chance() % of.size()]; };
  const std::vector<std::string> hosts = {"",        "a.org",     "b.a.org", "c.b.a.org",
                                          "*.a.org", "*.b.a.org", "*.org"};
  const std::vector<std::string> paths = {"", "/x", "/x/y", "/x/y/z", "/xy", "/y"};
  const std::vector<std::string> methods = {"", "GET", "POST"};
  const std::vector<std::string> useCases = {"", "read", "pay"};
  int found = 0;
  for (int round = 0; round < 300; ++round) {
    std::vector<Route> routes;
    for (int i = 0; i < 25; ++i) {
      routes.push_back(route(one(hosts), one(paths), static_cast<std::uint32_t>(i)));
      routes.back().method = one(methods);
      routes.back().useCase = one(useCases);
      if (!faultsOf(routes).empty()) routes.pop_back();
    }
    const Table table(routes);
    for (int i = 0; i < 100; ++i) {
      const std::string host = one({"a.org", "b.a.org", "c.b.a.org", "d.b.a.org", "x.org", "other"});
      const std::string path = one({"/x", "/x/y", "/x/y/z", "/x/yy", "/xy/z", "/y", "/z", "/"});
      const std::string method = one({"GET", "POST"});
      const std::string useCase = one({"read", "pay"});
      const Asked query = asked(method, host, path, useCase);
      const auto match = table.find(query, 0);
      const auto expected = scan(routes, query);
      REQUIRE(match.has_value() == expected.has_value());
      if (!match) continue;
      ++found;
      REQUIRE(match->route.value == *expected);
    }
  }
  CHECK(found > 10000);
}
