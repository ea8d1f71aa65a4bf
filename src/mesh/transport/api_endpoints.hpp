#pragma once

// The HTTP API for servers, operators and the platform: the table of endpoints of both programs.

#include <array>
#include <cstddef>
#include <optional>
#include <string_view>

namespace rackroute::mesh {

enum class ApiCall { serverHeartbeat, serverDeregistration, changeItems, readItems, readiness };
enum class ApiListener { control, ready };   // the listen address that serves it
enum class MachineRole { auxiliary, core };  // the kind of machine that serves it

struct ApiEndpoint {
  ApiCall kind;
  std::string_view method;
  std::string_view path;
  bool hasName;  // the path is a prefix, followed by a name
  ApiListener listener;
  MachineRole role;
  std::size_t maxBodyBytes;
};

inline constexpr std::array<ApiEndpoint, 5> kApiEndpoints{{
    {ApiCall::serverHeartbeat, "PUT", "/rackroute/instances/", true, ApiListener::control,
     MachineRole::auxiliary, 64 << 10},
    {ApiCall::serverDeregistration, "DELETE", "/rackroute/instances/", true, ApiListener::control,
     MachineRole::auxiliary, 64 << 10},
    {ApiCall::changeItems, "PATCH", "/rackroute/config", false, ApiListener::control, MachineRole::core,
     16 << 20},
    {ApiCall::readItems, "GET", "/rackroute/config", false, ApiListener::control, MachineRole::core, 0},
    {ApiCall::readiness, "GET", "/rackroute/readiness", false, ApiListener::ready, MachineRole::auxiliary, 0},
}};

struct EndpointMatch {
  const ApiEndpoint* endpoint = nullptr;
  std::string_view name;  // the last part of the path, if the endpoint has a name
};

/// Finds the endpoint for a request. pathKnown: an endpoint with this path exists, perhaps for other methods.
inline std::optional<EndpointMatch> findApiEndpoint(ApiListener listener, MachineRole role,
                                                    std::string_view method, std::string_view path,
                                                    bool& pathKnown) {
  path = path.substr(0, path.find('?'));
  pathKnown = false;
  for (const ApiEndpoint& endpoint : kApiEndpoints) {
    if (endpoint.listener != listener || endpoint.role != role) continue;
    const bool matches = endpoint.hasName ? path.substr(0, endpoint.path.size()) == endpoint.path &&
                                                path.size() > endpoint.path.size()
                                          : path == endpoint.path;
    if (!matches) continue;
    pathKnown = true;
    if (endpoint.method == method)
      return EndpointMatch{&endpoint,
                           endpoint.hasName ? path.substr(endpoint.path.size()) : std::string_view()};
  }
  return std::nullopt;
}

}  // namespace rackroute::mesh
