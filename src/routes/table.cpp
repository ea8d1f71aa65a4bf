#include "routes/table.hpp"

#include <algorithm>
#include <array>
#include <cmath>
#include <stdexcept>
#include <tuple>

namespace rackroute::routes {
namespace {

constexpr std::size_t kLongestHost = 253;  // bytes; what a name may have

char lower(char c) { return c >= 'A' && c <= 'Z' ? static_cast<char>(c - 'A' + 'a') : c; }

bool sameName(std::string_view a, std::string_view b) {  // names of hosts and headers know no case
  return std::equal(a.begin(), a.end(), b.begin(), b.end(),
                    [](char x, char y) { return lower(x) == lower(y); });
}

/// A host as routes are kept: lower case, no port, no dot at its end.
class Host {
 public:
  explicit Host(std::string_view text) {
    if (!text.starts_with('[')) text = text.substr(0, text.find(':'));  // an address of IPv6 keeps its colons
    if (text.starts_with('[')) text = text.substr(0, text.find(']') + 1);
    if (text.ends_with('.')) text.remove_suffix(1);
    size_ = std::min(text.size(), kept_.size());
    // Guards against a host longer than any name: it is cut, and so matches none that is exact.
    std::transform(text.begin(), text.begin() + static_cast<std::ptrdiff_t>(size_), kept_.begin(), lower);
  }
  [[nodiscard]] std::string_view text() const { return {kept_.data(), size_}; }

 private:
  std::array<char, kLongestHost + 1> kept_{};
  std::size_t size_ = 0;
};

std::string hostKey(const Route& route) {
  std::string key = route.host;
  std::transform(key.begin(), key.end(), key.begin(), lower);
  return key;
}

/// Without a slash at its end: /bind/ and /bind are one prefix.
std::string pathKey(const Route& route) {
  std::string key = route.path;
  if (key.ends_with('/')) key.pop_back();
  return key;
}

int conditions(const Route& route) {
  return (route.method.empty() ? 0 : 1) + (route.useCase.empty() ? 0 : 1) +
         (route.header.empty()  ? 0
          : route.value.empty() ? 1
                                : 2);
}

bool meets(const Route& route, const Asked& asked) {
  if (!route.method.empty() && route.method != asked.method) return false;
  if (!route.useCase.empty() && route.useCase != asked.useCase) return false;
  if (route.header.empty()) return true;
  return std::any_of(asked.headers.begin(), asked.headers.end(), [&](const auto& header) {
    return sameName(header.first, route.header) && (route.value.empty() || route.value == header.second);
  });
}

/// Whether one query may meet the conditions of both.
bool together(const Route& a, const Route& b) {
  const auto apart = [](const std::string& x, const std::string& y) {
    return !x.empty() && !y.empty() && x != y;
  };
  if (apart(a.method, b.method) || apart(a.useCase, b.useCase)) return false;
  // A query may carry a header twice, so two values of one header do not keep routes apart.
  return true;
}

bool sameConditions(const Route& a, const Route& b) {
  return a.method == b.method && a.useCase == b.useCase && sameName(a.header, b.header) && a.value == b.value;
}

/// Whether whatever meets a meets b too.
bool within(const Route& a, const Route& b) {
  const auto asks = [](const std::string& x, const std::string& y) { return y.empty() || x == y; };
  const bool header = b.header.empty() || (sameName(a.header, b.header) && asks(a.value, b.value));
  return asks(a.method, b.method) && asks(a.useCase, b.useCase) && header;
}

std::string malformed(const Route& route) {
  const std::string_view name = std::string_view(route.host).substr(route.host.starts_with("*.") ? 2 : 0);
  if (name.find('*') != std::string_view::npos)
    return "host: an asterisk stands alone, first and before a dot";
  if (!route.host.empty() && name.empty()) return "host: nothing follows the asterisk";
  if (name.size() > kLongestHost) return "host: is longer than any name";
  if (!name.starts_with('[') && name.find(':') != std::string_view::npos) return "host: goes without a port";
  if (name.starts_with('.') || name.ends_with('.') || name.find("..") != std::string_view::npos)
    return "host: a part of the name is empty";
  if (!route.path.empty() && !route.path.starts_with('/')) return "path: begins with a slash";
  if (route.path.find('?') != std::string::npos) return "path: goes without a query";
  if (unclean(route.path)) return "path: has segments that resolve to another path";
  if (route.header.empty() && !route.value.empty()) return "value: goes with a header";
  if (route.targets.empty()) return "pool: is missing";
  double sum = 0;
  for (const Target& target : route.targets) {
    if (!(target.part >= 0) || !std::isfinite(target.part)) return "part: is 0 or more";
    sum += target.part;
  }
  if (sum <= 0) return "part: one at least is above 0";
  return "";
}

PoolId choose(const std::vector<Target>& targets, std::uint64_t number) {
  double sum = 0;
  for (const Target& target : targets) sum += target.part;
  double at = static_cast<double>(number >> 11U) / 9007199254740992.0 * sum;
  for (const Target& target : targets) {
    if (at < target.part) return target.pool;
    at -= target.part;
  }
  // Only rounding comes here: the last that gets anything.
  return std::find_if(targets.rbegin(), targets.rend(), [](const Target& t) { return t.part > 0; })->pool;
}

}  // namespace

bool unclean(std::string_view path) {
  path = path.substr(0, path.find('?'));
  for (std::size_t from = 0; from < path.size();) {
    const std::size_t slash = std::min(path.find('/', from), path.size());
    const std::string_view segment = path.substr(from, slash - from);
    // Guards against a way round a route: servers resolve dots, also written as %2e, and may fold slashes.
    const bool inner = slash < path.size() && from > 0;
    if (segment.empty() && inner) return true;
    std::string_view rest = segment;
    std::size_t dots = 0;
    while (!rest.empty()) {
      if (rest.starts_with('.'))
        rest.remove_prefix(1);
      else if (rest.starts_with("%2e") || rest.starts_with("%2E"))
        rest.remove_prefix(3);
      else
        break;
      ++dots;
    }
    if (rest.empty() && (dots == 1 || dots == 2)) return true;
    from = slash + 1;
  }
  return false;
}

std::vector<Fault> faultsOf(std::span<const Route> routes) {
  std::vector<Fault> faults;
  std::map<std::pair<std::string, std::string>, std::vector<std::uint32_t>> places;
  for (std::uint32_t i = 0; i < routes.size(); ++i) {
    if (const std::string what = malformed(routes[i]); !what.empty()) {
      faults.push_back({Flaw::malformed, {i}, std::nullopt, what});
      continue;
    }
    std::vector<std::uint32_t>& here = places[{hostKey(routes[i]), pathKey(routes[i])}];
    for (const std::uint32_t before : here) {
      const Route& a = routes[before];
      const Route& b = routes[i];
      if (sameConditions(a, b)) {
        faults.push_back(
            {Flaw::shadowed, {i}, RouteNo{before}, "asks for the same, and so never gets a query"});
      } else if (together(a, b) && !within(a, b) && !within(b, a)) {
        faults.push_back(
            {Flaw::ambiguous, {i}, RouteNo{before}, "a query may meet both, and neither is the narrower"});
      }
    }
    here.push_back(i);
  }
  return faults;
}

Table::Table(std::vector<Route> routes) : routes_(std::move(routes)) {
  if (const std::vector<Fault> faults = faultsOf(routes_); !faults.empty())
    throw std::invalid_argument("route " + routes_[faults.front().route.value].name + ": " +
                                faults.front().what);
  const auto add = [&](Paths& paths, std::uint32_t i) {
    const std::string prefix = pathKey(routes_[i]);
    paths.longest = std::max(paths.longest, prefix.size());
    paths.byPrefix[prefix].push_back({i});
  };
  for (std::uint32_t i = 0; i < routes_.size(); ++i) {
    const std::string host = hostKey(routes_[i]);
    if (host.empty())
      add(any_, i);
    else if (host.starts_with('*'))
      add(below_[host.substr(1)], i);
    else
      add(exact_[host], i);
  }
  const auto sort = [&](Paths& paths) {
    for (auto& [prefix, all] : paths.byPrefix) {
      std::stable_sort(all.begin(), all.end(), [&](RouteNo a, RouteNo b) {
        return conditions(routes_[a.value]) > conditions(routes_[b.value]);
      });
    }
  };
  for (auto& [host, paths] : exact_) sort(paths);
  for (auto& [host, paths] : below_) sort(paths);
  sort(any_);
}

template <class Seen>
std::optional<RouteNo> Table::searchPaths(const Paths& paths, std::string_view path, const Asked& asked,
                                          const Seen& seen) const {
  if (paths.byPrefix.empty()) return std::nullopt;
  // From the whole path back, segment by segment; nothing longer than the longest prefix is looked for.
  std::string_view prefix = path;
  for (;;) {
    if (prefix.size() <= paths.longest) {
      if (const auto at = paths.byPrefix.find(prefix); at != paths.byPrefix.end()) {
        for (const RouteNo no : at->second) {
          const bool met = meets(routes_[no.value], asked);
          seen(no, met);
          if (met) return no;
        }
      }
    }
    if (prefix.empty()) return std::nullopt;
    prefix = prefix.substr(0, prefix.rfind('/'));
  }
}

template <class Seen>
std::optional<RouteNo> Table::search(const Asked& asked, const Seen& seen) const {
  std::string_view path = asked.path.substr(0, asked.path.find('?'));
  if (unclean(path)) return std::nullopt;
  if (path.ends_with('/')) path.remove_suffix(1);
  if (!path.empty() && !path.starts_with('/')) path = {};  // the asterisk of OPTIONS: the host alone counts
  const Host host(asked.host);
  const std::string_view name = host.text();
  if (const auto at = exact_.find(name); at != exact_.end()) {
    if (const auto found = searchPaths(at->second, path, asked, seen)) return found;
  }
  for (std::size_t dot = below_.empty() ? std::string_view::npos : name.find('.', 1);
       dot != std::string_view::npos; dot = name.find('.', dot + 1)) {
    if (const auto at = below_.find(name.substr(dot)); at != below_.end()) {
      if (const auto found = searchPaths(at->second, path, asked, seen)) return found;
    }
  }
  return searchPaths(any_, path, asked, seen);
}

std::optional<Match> Table::find(const Asked& asked, std::uint64_t number) const {
  const std::optional<RouteNo> route = search(asked, [](RouteNo, bool) {});
  if (!route) return std::nullopt;
  return Match{*route, choose(routes_[route->value].targets, number)};
}

std::vector<std::string> Table::explain(const Asked& asked, std::uint64_t number) const {
  std::vector<std::string> lines;
  if (unclean(asked.path)) return {"no route: the path has segments that resolve to another path"};
  const auto seen = [&](RouteNo no, bool met) {
    const Route& route = routes_[no.value];
    lines.push_back((met ? "takes " : "passes by ") + route.name + ": host " +
                    (route.host.empty() ? "any" : route.host) + ", path " +
                    (route.path.empty() ? "any" : route.path) +
                    (met ? "" : "; method, use case or header differ"));
  };
  const std::optional<RouteNo> route = search(asked, seen);
  if (!route) {
    lines.emplace_back("no route");
    return lines;
  }
  const PoolId pool = choose(routes_[route->value].targets, number);
  lines.push_back("pool " + std::to_string(pool.value) + ", one of " +
                  std::to_string(routes_[route->value].targets.size()));
  return lines;
}

}  // namespace rackroute::routes
