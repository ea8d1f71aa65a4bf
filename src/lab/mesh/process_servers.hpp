#pragma once

// The application servers of a mesh of real processes: one beside each sidecar, within the lab. They beat,
// run requests, refuse them when full, and fail as the day has it.

#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <string>

#include "lab/mesh/process_context.hpp"
#include "lab/random.hpp"
#include "mesh/transport/http_server_connection.hpp"
#include "mesh/transport/listener.hpp"

namespace rackroute::lab::mesh {

class ProcessServers {
 public:
  /// callerOf: the service on the machine where a client sent the attempt.
  ProcessServers(ProcessContext& context, RandomEngine& chance,
                 std::function<int(std::uint64_t attempt)> callerOf)
      : context_(context), chance_(chance), callerOf_(std::move(callerOf)) {}

  /// Its listener, for all lives; throws Poco's exceptions where the address can't be had.
  void open(std::uint32_t machine);
  /// Another life of it begins.
  void begin(std::uint32_t machine);
  /// Ends without a word, with all its connections.
  void crash(std::uint32_t machine);
  /// Drains, signs off once that was acknowledged and served out, and begins anew.
  void release(std::uint32_t machine) { servers_.at(machine).draining = true; }
  void losesAnswers(std::uint32_t machine, double part) { servers_.at(machine).loses = part; }
  /// Part of the answers name another request, or come twice.
  void spoilsAnswers(std::uint32_t machine, double part) { servers_.at(machine).spoils = part; }
  void slows(std::uint32_t machine, double times) { servers_.at(machine).slow = times; }
  /// Requests of keyed routes that it is working on.
  [[nodiscard]] std::uint32_t keyedAtWork(std::uint32_t machine) const { return servers_.at(machine).keyed; }

  struct Run {
    std::uint64_t attempt = 0;
    std::string where;
  };
  /// The run that a seal belongs to; nullptr: there was none.
  [[nodiscard]] const Run* runOf(std::uint64_t seal) const;

 private:
  using ConnectionRef = std::shared_ptr<rackroute::mesh::HttpServerConnection>;
  struct Server {
    std::string id;
    bool up = true;
    bool draining = false;
    Span drainAcked{-1};
    std::uint64_t lives = 0;
    std::uint64_t seq = 0;
    std::uint32_t busy = 0;
    double slow = 1, loses = 0, spoils = 0;
    std::uint32_t keyed = 0;
    std::deque<std::function<void()>> queue;
    std::shared_ptr<rackroute::mesh::HttpServerConnection::ListenerContext> shared;
    std::unique_ptr<rackroute::mesh::Listener> listener;
  };
  struct Work {
    std::uint64_t attempt = 0;
    bool keyed = false;
    Span giveUp{};
  };

  void beat(std::uint32_t machine, std::uint64_t life);
  void signOff(std::uint32_t machine, std::uint64_t life);
  void serve(std::uint32_t machine, const ConnectionRef& connection, const http::Message& request);
  void checkUnchanged(std::uint64_t attempt, const http::Message& request);
  void work(std::uint32_t machine, const ConnectionRef& connection, const Work& work);
  void finish(std::uint32_t machine, const ConnectionRef& connection, const Work& work, std::uint64_t seal,
              bool inTime, double luck);

  ProcessContext& context_;
  RandomEngine& chance_;
  std::function<int(std::uint64_t)> callerOf_;
  std::map<std::uint32_t, Server> servers_;  // by machine
  std::map<std::uint64_t, Run> runs_;        // by seal
  std::uint64_t seals_ = 0;
};

}  // namespace rackroute::lab::mesh
