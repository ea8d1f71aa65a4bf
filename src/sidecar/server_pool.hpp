#pragma once

// Pool of connections to servers. Runs each execution on its own connection, keeps idle connections for reuse
// and reports the outcome. An execution is sent at most once, a connection is reused only after a fully read
// response, and "never ran" is reported only if the query was not fully written.

#include <Poco/Net/SocketAddress.h>

#include <cstddef>
#include <limits>
#include <list>
#include <map>
#include <memory>
#include <set>
#include <string>

#include "http/message.hpp"
#include "rackroute/balancer.hpp"
#include "sidecar/loop.hpp"
#include "terms/balancer_settings.hpp"

namespace rackroute::sidecar {

class Dispatcher;
class ServerConnection;
struct ServerList;

struct ExecutionKey {
  QueryId query;
  ExecutionNo no;
  auto operator<=>(const ExecutionKey&) const = default;
};

class ServerPool {
 public:
  ServerPool(Loop& loop, Dispatcher& dispatcher, const settings::ParsedSettings& settings);
  ServerPool(const ServerPool&) = delete;
  ServerPool& operator=(const ServerPool&) = delete;
  ~ServerPool();

  void updateServers(const ServerList& list);
  void execute(ExecutionKey execution, ServerId server, const std::shared_ptr<const http::Message>& query,
               Span timeout, bool bodyStreaming = false);
  /// Sends a part of a streamed body. Returns true when the sender should pause until
  /// Dispatcher::resumeBody().
  bool bodyPart(ExecutionKey execution, std::string data, bool last);
  void pauseResponse(ExecutionKey execution, bool pause);
  void cancel(ExecutionKey execution);
  /// Cancels the execution if its body has not been sent completely.
  void cancelIfBodyIncomplete(ExecutionKey execution);
  /// Marks a server as disabled; idle connections to it are closed.
  void setDisabled(ServerId server, bool disabled);
  /// Limits the number of connections, so that descriptors remain for other uses.
  void limitConnections(std::size_t limit) { maxConnections_ = limit; }
  /// Limits the bytes buffered for writing on one connection.
  void limitUnsentBytes(std::size_t limit) { maxUnsentBytes_ = limit; }
  /// Closes the connection that has been idle for longest. Returns false if none is idle.
  bool freeDescriptor();

 private:
  friend class ServerConnection;

  std::shared_ptr<ServerConnection> takeIdleConnection(ServerId server);
  std::shared_ptr<ServerConnection> dial(ServerId server);

  Loop& loop_;
  Dispatcher& dispatcher_;
  Span dialTimeout_;
  Span idleTimeout_;
  struct Endpoint {
    Poco::Net::SocketAddress address;
    Span removedAt = Span::max();
  };

  void closeIdle(ServerId server);

  std::map<ServerId, Endpoint> endpoints_;
  std::set<ServerId> disabled_;  // by operators
  std::size_t maxUnsentBytes_ = 64 * 1024;
  std::size_t maxConnections_ = std::numeric_limits<std::size_t>::max();
  std::map<ServerConnection*, std::shared_ptr<ServerConnection>> connections_;
  std::list<ServerConnection*> idle_;  // longest idle first
  std::map<ExecutionKey, ServerConnection*> executions_;
};

}  // namespace rackroute::sidecar
