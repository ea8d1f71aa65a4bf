#include "routes/table.hpp"

#include <algorithm>
#include <array>
#include <cmath>
#include <stdexcept>
#include <tuple>

namespace rackroute::routes {
namespace {

constexpr std::size_t kMaxHostBytes = 253;  // the maximum length of a DNS name

char lower(char c) { return c >= 'A' && c <= 'Z' ? static_cast<char>(c - 'A' + 'a') : c; }

bool equalsIgnoreCase(std::string_view a, std::string_view b) {
  return std::equal(a.begin(), a.end(), b.begin(), b.end(),
                    [](char x, char y) { return lower(x) == lower(y); });
}

/// A host without port and trailing dot, in lower case.
class NormalizedHost {
 public:
  explicit NormalizedHost(std::string_view text) {
    if (!text.starts_with('[')) text = text.substr(0, text.find(':'));  // an IPv6 address contains colons
    if (text.starts_with('[')) text = text.substr(0, text.find(']') + 1);
    if (text.ends_with('.')) text.remove_suffix(1);
    size_ = std::min(text.size(), text_.size());
    // A host longer than any valid name is truncated to a length that matches no exact host.
    std::transform(text.begin(), text.begin() + static_cast<std::ptrdiff_t>(size_), text_.begin(), lower);
  }
  [[nodiscard]] std::string_view text() const { return {text_.data(), size_}; }

 private:
  std::array<char, kMaxHostBytes + 1> text_{};
  std::size_t size_ = 0;
};

std::string hostKey(const Route& route) {
  std::string key = route.host;
  std::transform(key.begin(), key.end(), key.begin(), lower);
  return key;
}

/// The path without a trailing slash, so that /bind/ and /bind are one prefix.
std::string pathKey(const Route& route) {
  std::string key = route.path;
  if (key.ends_with('/')) key.pop_back();
  return key;
}

int conditionCount(const Route& route) {
  return (route.method.empty() ? 0 : 1) + (route.useCase.empty() ? 0 : 1) +
         (route.header.empty()  ? 0
          : route.value.empty() ? 1
                                : 2);
}

bool matchesConditions(const Route& route, const RouteQuery& query) {
  if (!route.method.empty() && route.method != query.method) return false;
  if (!route.useCase.empty() && route.useCase != query.useCase) return false;
  if (route.header.empty()) return true;
  return std::any_of(query.headers.begin(), query.headers.end(), [&](const auto& header) {
    return equalsIgnoreCase(header.first, route.header) &&
           (route.value.empty() || route.value == header.second);
  });
}

/// Whether one query can match the conditions of both.
bool mayOverlap(const Route& a, const Route& b) {
  const auto disjoint = [](const std::string& x, const std::string& y) {
    return !x.empty() && !y.empty() && x != y;
  };
  if (disjoint(a.method, b.method) || disjoint(a.useCase, b.useCase)) return false;
  // A query may repeat a header, so different values of one header don't exclude each other.
  return true;
}

bool sameConditions(const Route& a, const Route& b) {
  return a.method == b.method && a.useCase == b.useCase && equalsIgnoreCase(a.header, b.header) &&
         a.value == b.value;
}

/// Whether every query that matches a also matches b.
bool isNarrower(const Route& a, const Route& b) {
  const auto implies = [](const std::string& x, const std::string& y) { return y.empty() || x == y; };
  const bool header = b.header.empty() || (equalsIgnoreCase(a.header, b.header) && implies(a.value, b.value));
  return implies(a.method, b.method) && implies(a.useCase, b.useCase) && header;
}

std::string validateRoute(const Route& route) {
  const std::string_view name = std::string_view(route.host).substr(route.host.starts_with("*.") ? 2 : 0);
  if (name.find('*') != std::string_view::npos) return "host: an asterisk is only allowed as the first label";
  if (!route.host.empty() && name.empty()) return "host: a domain must follow the asterisk";
  if (name.size() > kMaxHostBytes) return "host: exceeds 253 bytes";
  if (!name.starts_with('[') && name.find(':') != std::string_view::npos)
    return "host: must not contain a port";
  if (name.starts_with('.') || name.ends_with('.') || name.find("..") != std::string_view::npos)
    return "host: contains an empty label";
  if (!route.path.empty() && !route.path.starts_with('/')) return "path: must begin with a slash";
  if (route.path.find('?') != std::string::npos) return "path: must not contain a query string";
  if (resolvesToOtherPath(route.path)) return "path: contains empty or dot segments";
  if (route.header.empty() && !route.value.empty()) return "value: requires a header";
  if (route.targets.empty()) return "pool: missing";
  double sum = 0;
  for (const Target& target : route.targets) {
    if (!(target.weight >= 0) || !std::isfinite(target.weight)) return "part: must not be negative";
    sum += target.weight;
  }
  if (sum <= 0) return "part: at least one must be positive";
  return "";
}

PoolId choose(const std::vector<Target>& targets, std::uint64_t number) {
  double sum = 0;
  for (const Target& target : targets) sum += target.weight;
  double at = static_cast<double>(number >> 11U) / 9007199254740992.0 * sum;
  for (const Target& target : targets) {
    if (at < target.weight) return target.pool;
    at -= target.weight;
  }
  // Reached only by rounding errors: take the last target with a positive weight.
  return std::find_if(targets.rbegin(), targets.rend(), [](const Target& t) { return t.weight > 0; })->pool;
}

}  // namespace

bool resolvesToOtherPath(std::string_view path) {
  path = path.substr(0, path.find('?'));
  for (std::size_t from = 0; from < path.size();) {
    const std::size_t slash = std::min(path.find('/', from), path.size());
    const std::string_view segment = path.substr(from, slash - from);
    // Servers resolve dot segments, also as %2e, and may merge slashes, which would bypass routes.
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

std::vector<RouteError> validate(std::span<const Route> routes) {
  std::vector<RouteError> errors;
  std::map<std::pair<std::string, std::string>, std::vector<std::uint32_t>> byPlace;
  for (std::uint32_t i = 0; i < routes.size(); ++i) {
    if (const std::string message = validateRoute(routes[i]); !message.empty()) {
      errors.push_back({RouteErrorKind::malformed, {i}, std::nullopt, message});
      continue;
    }
    std::vector<std::uint32_t>& earlier = byPlace[{hostKey(routes[i]), pathKey(routes[i])}];
    for (const std::uint32_t other : earlier) {
      const Route& a = routes[other];
      const Route& b = routes[i];
      if (sameConditions(a, b)) {
        errors.push_back({RouteErrorKind::shadowed,
                          {i},
                          RouteIndex{other},
                          "has the same conditions as an earlier route and is never selected"});
      } else if (mayOverlap(a, b) && !isNarrower(a, b) && !isNarrower(b, a)) {
        errors.push_back({RouteErrorKind::ambiguous,
                          {i},
                          RouteIndex{other},
                          "a query can match both routes, and neither is more specific"});
      }
    }
    earlier.push_back(i);
  }
  return errors;
}

Table::Table(std::vector<Route> routes) : routes_(std::move(routes)) {
  if (const std::vector<RouteError> errors = validate(routes_); !errors.empty())
    throw std::invalid_argument("route " + routes_[errors.front().route.value].name + ": " +
                                errors.front().message);
  const auto add = [&](Paths& paths, std::uint32_t i) {
    const std::string prefix = pathKey(routes_[i]);
    paths.maxPrefixSize = std::max(paths.maxPrefixSize, prefix.size());
    paths.byPrefix[prefix].push_back({i});
  };
  for (std::uint32_t i = 0; i < routes_.size(); ++i) {
    const std::string host = hostKey(routes_[i]);
    if (host.empty())
      add(any_, i);
    else if (host.starts_with('*'))
      add(wildcard_[host.substr(1)], i);
    else
      add(exact_[host], i);
  }
  const auto sort = [&](Paths& paths) {
    for (auto& [prefix, all] : paths.byPrefix) {
      std::stable_sort(all.begin(), all.end(), [&](RouteIndex a, RouteIndex b) {
        return conditionCount(routes_[a.value]) > conditionCount(routes_[b.value]);
      });
    }
  };
  for (auto& [host, paths] : exact_) sort(paths);
  for (auto& [host, paths] : wildcard_) sort(paths);
  sort(any_);
}

template <class Visitor>
std::optional<RouteIndex> Table::searchPaths(const Paths& paths, std::string_view path,
                                             const RouteQuery& query, const Visitor& visit) const {
  if (paths.byPrefix.empty()) return std::nullopt;
  // Try the path, then drop one segment at a time.
  std::string_view prefix = path;
  for (;;) {
    if (prefix.size() <= paths.maxPrefixSize) {
      if (const auto at = paths.byPrefix.find(prefix); at != paths.byPrefix.end()) {
        for (const RouteIndex index : at->second) {
          const bool matches = matchesConditions(routes_[index.value], query);
          visit(index, matches);
          if (matches) return index;
        }
      }
    }
    if (prefix.empty()) return std::nullopt;
    prefix = prefix.substr(0, prefix.rfind('/'));
  }
}

template <class Visitor>
std::optional<RouteIndex> Table::search(const RouteQuery& query, const Visitor& visit) const {
  std::string_view path = query.path.substr(0, query.path.find('?'));
  if (resolvesToOtherPath(path)) return std::nullopt;
  if (path.ends_with('/')) path.remove_suffix(1);
  if (!path.empty() && !path.starts_with('/')) path = {};  // OPTIONS *: match by host alone
  const NormalizedHost host(query.host);
  const std::string_view name = host.text();
  if (const auto at = exact_.find(name); at != exact_.end()) {
    if (const auto found = searchPaths(at->second, path, query, visit)) return found;
  }
  for (std::size_t dot = wildcard_.empty() ? std::string_view::npos : name.find('.', 1);
       dot != std::string_view::npos; dot = name.find('.', dot + 1)) {
    if (const auto at = wildcard_.find(name.substr(dot)); at != wildcard_.end()) {
      if (const auto found = searchPaths(at->second, path, query, visit)) return found;
    }
  }
  return searchPaths(any_, path, query, visit);
}

std::optional<Match> Table::find(const RouteQuery& query, std::uint64_t number) const {
  const std::optional<RouteIndex> route = search(query, [](RouteIndex, bool) {});
  if (!route) return std::nullopt;
  return Match{*route, choose(routes_[route->value].targets, number)};
}

std::vector<std::string> Table::explain(const RouteQuery& query, std::uint64_t number) const {
  std::vector<std::string> lines;
  if (resolvesToOtherPath(query.path)) return {"no route: the path contains empty or dot segments"};
  const auto visit = [&](RouteIndex index, bool matches) {
    const Route& route = routes_[index.value];
    lines.push_back((matches ? "matches " : "skips ") + route.name + ": host " +
                    (route.host.empty() ? "any" : route.host) + ", path " +
                    (route.path.empty() ? "any" : route.path) +
                    (matches ? "" : "; method, use case or header differs"));
  };
  const std::optional<RouteIndex> route = search(query, visit);
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
