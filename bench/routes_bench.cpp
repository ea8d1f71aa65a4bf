// Benchmarks lookups in the route table against a linear scan of the same routes.

#include <chrono>
#include <cstdio>
#include <random>
#include <string>
#include <vector>

#include "routes/table.hpp"

namespace {

using namespace rackroute::routes;

constexpr int kLookups = 200'000;
constexpr int kScans = 2'000;

std::vector<Route> makeRoutes(std::size_t count) {
  std::vector<Route> routes;
  for (std::size_t i = 0; i < count; ++i) {
    Route route;
    route.name = std::string("r").append(std::to_string(i));
    route.host = (i % 5 == 0 ? "*.zone" : "service") + std::to_string(i / 10) + ".example.org";
    route.path = "/part" + std::to_string(i % 10);
    route.targets = {{{static_cast<std::uint32_t>(i)}, 1}};
    routes.push_back(route);
  }
  return routes;
}

template <class Operation>
double meanNanos(int times, const Operation& operation) {
  const auto from = std::chrono::steady_clock::now();
  for (int i = 0; i < times; ++i) operation(i);
  return std::chrono::duration<double, std::nano>(std::chrono::steady_clock::now() - from).count() / times;
}

}  // namespace

int main() {
  for (const std::size_t count : {10UL, 100UL, 1'000UL, 10'000UL}) {
    const std::vector<Route> routes = makeRoutes(count);
    const Table table(routes);
    std::mt19937_64 random(1);
    std::vector<std::pair<std::string, std::string>> queries;
    for (int i = 0; i < 1000; ++i) {
      const std::size_t at = random() % count;
      queries.emplace_back("service" + std::to_string(at / 10) + ".example.org",
                           "/part" + std::to_string(at % 10) + "/1/2");
    }
    std::size_t found = 0;
    const double lookup = meanNanos(kLookups, [&](int i) {
      const auto& [host, path] = queries[static_cast<std::size_t>(i) % queries.size()];
      found += table.find({"GET", host, path, "read", {}}, random()) ? 1 : 0;
    });
    const double scan = meanNanos(kScans, [&](int i) {
      const auto& [host, path] = queries[static_cast<std::size_t>(i) % queries.size()];
      std::size_t longest = 0;
      for (const Route& route : routes) {
        if (route.host == host && path.starts_with(route.path) && route.path.size() >= longest)
          longest = route.path.size();
      }
      found += longest > 0 ? 1 : 0;
    });
    std::printf("%6zu routes: table %7.0f ns, scan %9.0f ns per lookup (%zu found)\n", count, lookup, scan,
                found);
  }
}
