#pragma once

// The application servers of a mesh of real processes, one per sidecar, run within the lab's process. They
// send heartbeats, execute requests, reject them when overloaded, and fail as the scenario demands.

#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>

#include "lab/mesh/process_context.hpp"
#include "lab/random.hpp"
#include "mesh/transport/http_server_connection.hpp"
#include "mesh/transport/listener.hpp"

namespace rackroute::lab::mesh {

class ProcessServers {
 public:
  /// callerOf: the service on the machine where a client sent the attempt.
  ProcessServers(ProcessContext& context, RandomEngine& rng,
                 std::function<int(std::uint64_t attempt)> callerOf)
      : context_(context), rng_(rng), callerOf_(std::move(callerOf)) {}
  ProcessServers(const ProcessServers&) = delete;
  ProcessServers& operator=(const ProcessServers&) = delete;
  /// Ends the open connections, which own each other with their listener's context.
  ~ProcessServers();

  /// Opens the listener, which all instances on the machine share; throws Poco exceptions if binding fails.
  void listen(std::uint32_t machine);
  /// Starts a new instance.
  void startInstance(std::uint32_t machine);
  /// Stops the instance without deregistration and cuts its connections.
  void crash(std::uint32_t machine);
  /// Drains the instance, deregisters it when the drain is complete, and starts a new one.
  void drainAndRestart(std::uint32_t machine) { servers_.at(machine).draining = true; }
  void setResponseLoss(std::uint32_t machine, double ratio) { servers_.at(machine).lossRatio = ratio; }
  /// Sets the ratio of responses that carry a wrong attempt ID or are sent twice.
  void setResponseCorruption(std::uint32_t machine, double ratio) {
    servers_.at(machine).corruptionRatio = ratio;
  }
  void setSlowdown(std::uint32_t machine, double factor) { servers_.at(machine).slowdown = factor; }
  /// Number of keyed requests in execution.
  [[nodiscard]] std::uint32_t keyedInExecution(std::uint32_t machine) const {
    return servers_.at(machine).keyed;
  }

  /// Whether a server executes the attempt now.
  [[nodiscard]] bool isExecuting(std::uint64_t attempt) const { return executing_.count(attempt) > 0; }

  struct Run {
    std::uint64_t attempt = 0;
    std::string location;
  };
  /// The execution with a seal; nullptr if there is none.
  [[nodiscard]] const Run* runOf(std::uint64_t seal) const;

 private:
  using ConnectionRef = std::shared_ptr<rackroute::mesh::HttpServerConnection>;
  struct Server {
    std::string id;
    bool up = true;
    bool draining = false;
    Span drainAcked{-1};
    std::uint64_t instanceNo = 0;
    std::uint64_t seq = 0;
    std::uint32_t busy = 0;
    double slowdown = 1, lossRatio = 0, corruptionRatio = 0;
    std::uint32_t keyed = 0;
    std::deque<std::function<void()>> queue;
    std::shared_ptr<rackroute::mesh::HttpServerConnection::ListenerContext> listenerContext;
    std::unique_ptr<rackroute::mesh::Listener> listener;
  };
  struct Work {
    std::uint64_t attempt = 0;
    bool keyed = false;
    Span deadline{};
    bool onLongRoute = false;
  };

  static void cutConnections(Server& server);
  void sendHeartbeat(std::uint32_t machine, std::uint64_t instanceNo);
  void deregister(std::uint32_t machine, std::uint64_t instanceNo);
  void serve(std::uint32_t machine, const ConnectionRef& connection, const http::Message& request);
  void checkUnchanged(std::uint64_t attempt, const http::Message& request);
  void execute(std::uint32_t machine, const ConnectionRef& connection, const Work& work);
  [[nodiscard]] double drawServiceTime(const Work& work);
  void finish(std::uint32_t machine, const ConnectionRef& connection, const Work& work, std::uint64_t seal,
              bool inTime, double sample);

  ProcessContext& context_;
  RandomEngine& rng_;
  std::function<int(std::uint64_t)> callerOf_;
  std::map<std::uint32_t, Server> servers_;  // by machine
  std::map<std::uint64_t, Run> runs_;        // by seal
  std::set<std::uint64_t> executing_;        // attempts
  std::uint64_t seals_ = 0;
};

}  // namespace rackroute::lab::mesh
